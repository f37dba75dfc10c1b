#include "lt/config/diff.h"

#include <stdlib.h>

#include "lt/base/error.h"
#include "rows.h"

static void
add_row (lt_diff_t *diff, lt_diff_kind_t kind, lt_diff_op_t op,
         uint32_t old_index, uint32_t new_index)
{
  diff->rows = lt_vec_grow (diff->rows, diff->row_count, &diff->row_cap,
                            sizeof (lt_diff_row_t));
  diff->rows[diff->row_count++]
      = (lt_diff_row_t){ kind, op, old_index, new_index };
  lt_diff_counts_t *counts = &diff->counts[kind];
  counts->added += op == LT_DIFF_ADDED;
  counts->removed += op == LT_DIFF_REMOVED;
  counts->changed += op == LT_DIFF_CHANGED;
}

static void
compare_kind (lt_diff_t *diff, lt_diff_kind_t kind)
{
  lt_row_kind_t rows = (lt_row_kind_t)kind;
  const lt_snapshot_t *before = diff->before;
  const lt_snapshot_t *after = diff->after;
  uint32_t old_count = before == NULL ? 0 : lt_rows_count (before, rows);
  diff->counts[kind].before = old_count;
  for (uint32_t i = 0; i < old_count; i++)
    {
      if (kind == LT_DIFF_KEY && before->keys[i].state == LT_KEY_WITHDRAWN)
        diff->counts[kind].before--;
      uint32_t k = lt_rows_find (after, rows, before, i);
      if (k == LT_NO_INDEX)
        add_row (diff, kind, LT_DIFF_REMOVED, i, k);
      else if (!lt_rows_equal (rows, before, i, after, k))
        add_row (diff, kind, LT_DIFF_CHANGED, i, k);
    }
  uint32_t count = lt_rows_count (after, rows);
  for (uint32_t k = 0; k < count; k++)
    if (before == NULL || lt_rows_find (before, rows, after, k) == LT_NO_INDEX)
      add_row (diff, kind, LT_DIFF_ADDED, LT_NO_INDEX, k);
}

lt_diff_t *
lt_diff_create (const lt_snapshot_t *before, const lt_snapshot_t *after)
{
  lt_diff_t *diff = lt_alloc (sizeof (*diff));
  diff->before = before;
  diff->after = after;
  for (int kind = 0; kind < LT_DIFF_KINDS; kind++)
    compare_kind (diff, (lt_diff_kind_t)kind);
  return diff;
}

void
lt_diff_destroy (lt_diff_t *diff)
{
  if (diff == NULL)
    return;
  free (diff->rows);
  free (diff);
}

const char *
lt_diff_kind_name (lt_diff_kind_t kind)
{
  static const char *const names[LT_DIFF_KINDS]
      = { "workspace", "key", "service", "upstream", "route", "stop" };
  return names[kind];
}

const char *
lt_diff_op_name (lt_diff_op_t op)
{
  static const char *const names[] = { "added", "removed", "changed" };
  return names[op];
}

str_t
lt_diff_row_name (const lt_diff_t *diff, const lt_diff_row_t *row)
{
  lt_row_kind_t kind = (lt_row_kind_t)row->kind;
  const lt_snapshot_t *s
      = row->new_index == LT_NO_INDEX ? diff->before : diff->after;
  uint32_t index
      = row->new_index == LT_NO_INDEX ? row->old_index : row->new_index;
  if (row->kind == LT_DIFF_KEY && s->keys[index].name.len == 0)
    return lt_rows_workspace_name (s, s->keys[index].workspace);
  return row->new_index == LT_NO_INDEX
             ? lt_rows_name (diff->before, kind, row->old_index)
             : lt_rows_name (diff->after, kind, row->new_index);
}

int
lt_diff_check_removals (const lt_diff_t *diff, lt_findings_t *findings)
{
  static const lt_diff_kind_t kinds[]
      = { LT_DIFF_KEY, LT_DIFF_ROUTE, LT_DIFF_UPSTREAM };
  int err = 0;
  for (size_t i = 0; i < sizeof (kinds) / sizeof (kinds[0]); i++)
    {
      const lt_diff_counts_t *counts = &diff->counts[kinds[i]];
      if ((uint64_t)counts->removed * 100
          <= (uint64_t)counts->before * LT_DIFF_REMOVAL_PERCENT)
        continue;
      lt_findings_add (findings, LT_SEVERITY_ERROR, STR_LIT ("change"), 0,
                       str_from (lt_diff_kind_name (kinds[i])),
                       str_make (NULL, 0),
                       "at most %d%% of the %s rows removed; %u of %u are "
                       "(--allow-removal permits it)",
                       LT_DIFF_REMOVAL_PERCENT, lt_diff_kind_name (kinds[i]),
                       counts->removed, counts->before);
      err = -LT_EFINDINGS;
    }
  return err;
}

void
lt_diff_print (const lt_diff_t *diff, uint32_t max_rows, lt_buf_t *out)
{
  for (uint32_t i = 0; i < diff->row_count && i < max_rows; i++)
    {
      const lt_diff_row_t *row = &diff->rows[i];
      lt_buf_printf (out, "%s %s \"%.*s\": ", lt_diff_op_name (row->op),
                     lt_diff_kind_name (row->kind),
                     STR_ARG (lt_diff_row_name (diff, row)));
      lt_diff_row_words (diff, row, out);
      lt_buf_printf (out, "\n");
    }
  if (diff->row_count > max_rows)
    lt_buf_printf (out, "%u more rows are not listed\n",
                   diff->row_count - max_rows);
  if (diff->row_count == 0)
    lt_buf_printf (out, "no rows differ\n");
  for (int kind = 0; kind < LT_DIFF_KINDS; kind++)
    {
      const lt_diff_counts_t *c = &diff->counts[kind];
      if (c->added + c->removed + c->changed == 0)
        continue;
      lt_buf_printf (out, "%s rows: %u added, %u removed",
                     lt_diff_kind_name ((lt_diff_kind_t)kind), c->added,
                     c->removed);
      if (c->removed > 0 && c->before > 0)
        lt_buf_printf (out, " (%.1f%% of %u)", 100.0 * c->removed / c->before,
                       c->before);
      lt_buf_printf (out, ", %u changed\n", c->changed);
    }
}
