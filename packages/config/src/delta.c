#include "lt/base/error.h"
#include "lt/config/diff.h"
#include "patch_codec.h"
#include "rows.h"

static void
add_removal (lt_patch_t *patch, const lt_snapshot_t *before,
             const lt_diff_row_t *row)
{
  lt_row_kind_t kind = (lt_row_kind_t)row->kind;
  if (kind != LT_ROW_STOP)
    {
      *LT_VEC_PUSH (&patch->removed[kind])
          = lt_rows_name (before, kind, row->old_index);
      return;
    }
  lt_patch_add_row (patch, before, kind, row->old_index);
  patch->stops.items[patch->stops.count - 1].removed = true;
}

void
lt_delta_encode (const lt_snapshot_t *before, const lt_snapshot_t *after,
                 lt_buf_t *out)
{
  lt_diff_t *diff = lt_diff_create (before, after);
  lt_patch_t *patch = lt_patch_create ();
  lt_patch_set_head (patch, after);
  patch->base_version = before->version;
  for (uint32_t i = 0; i < diff->row_count; i++)
    {
      const lt_diff_row_t *row = &diff->rows[i];
      if (row->op == LT_DIFF_REMOVED)
        add_removal (patch, before, row);
      else
        lt_patch_add_row (patch, after, (lt_row_kind_t)row->kind,
                          row->new_index);
    }
  lt_patch_encode (patch, out);
  lt_patch_destroy (patch);
  lt_diff_destroy (diff);
}

int
lt_delta_apply (const lt_snapshot_t *before, str_t delta,
                lt_snapshot_t **after)
{
  lt_patch_t *patch = NULL;
  int err = lt_patch_decode (delta, &patch);
  if (err != 0)
    return err;
  err = patch->base_version == before->version
            ? lt_patch_apply (before, patch, after)
            : -LT_ESTALE;
  lt_patch_destroy (patch);
  return err;
}
