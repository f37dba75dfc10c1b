/* What callers notice of a change.  */
#include "lt/config/diff.h"
#include "rows.h"

static void
say (lt_buf_t *out, bool applies, const char *text)
{
  if (applies)
    lt_buf_printf (out, "%s%s", out->len > 0 ? "; " : "", text);
}

/* Whether OLD allows a region that NOW does not.  */
static bool
loses_region (const lt_diff_t *diff, uint64_t old, uint64_t now)
{
  if (old == 0 || now == 0)
    return now != 0;
  for (uint32_t i = 0; i < diff->before->region_count; i++)
    {
      bool kept = (old >> i & 1) == 0;
      for (uint32_t k = 0; k < diff->after->region_count; k++)
        kept = kept
               || ((now >> k & 1) != 0
                   && str_equal (diff->before->regions[i],
                                 diff->after->regions[k]));
      if (!kept)
        return true;
    }
  return false;
}

static void
notice_regions (const lt_diff_t *diff, uint64_t old, uint64_t now,
                lt_buf_t *out)
{
  say (out, loses_region (diff, old, now),
       "requests get 503 when only regions that are left out could serve "
       "them");
}

static void
notice_workspace (const lt_diff_t *diff, const lt_workspace_t *old,
                  const lt_workspace_t *now, lt_buf_t *out)
{
  bool limited
      = !now->unlimited
        && (old->unlimited || now->rate_milli_per_s < old->rate_milli_per_s
            || now->burst < old->burst);
  bool freed
      = !old->unlimited
        && (now->unlimited || now->rate_milli_per_s > old->rate_milli_per_s
            || now->burst > old->burst);
  say (out, limited, "callers above the new limit get 429");
  say (out, freed, "callers get 429 less often");
  say (out, now->priority > old->priority,
       "under overload its requests come later");
  say (out, now->priority < old->priority,
       "under overload its requests come earlier");
  notice_regions (diff, old->allowed_regions, now->allowed_regions, out);
}

static bool
lists_all (const lt_diff_t *diff, const lt_route_t *old, const lt_route_t *now)
{
  for (uint32_t i = 0; i < old->workspace_count && !now->all_workspaces; i++)
    {
      uint32_t index = lt_snapshot_find_workspace (
          diff->after, diff->before->workspaces[old->workspaces[i]].name);
      if (index != LT_NO_INDEX && !lt_route_allows (now, index))
        return false;
    }
  return now->all_workspaces || !old->all_workspaces;
}

static bool
same_target (const lt_diff_t *diff, const lt_route_t *old,
             const lt_route_t *now)
{
  bool same = old->split_count == now->split_count
              && str_equal (diff->before->services[old->service].name,
                            diff->after->services[now->service].name);
  for (uint32_t i = 0; same && i < old->split_count; i++)
    same = old->splits[i].weight == now->splits[i].weight
           && str_equal (diff->before->services[old->splits[i].service].name,
                         diff->after->services[now->splits[i].service].name);
  return same;
}

static void
notice_route (const lt_diff_t *diff, const lt_route_t *old,
              const lt_route_t *now, lt_buf_t *out)
{
  say (out,
       !str_equal (old->path, now->path) || !str_equal (old->host, now->host),
       "requests to the old place get 404");
  say (out, !str_equal (old->methods, now->methods),
       "methods that are left out get 405");
  say (out, old->access == LT_ACCESS_OPEN && now->access == LT_ACCESS_KEYED,
       "callers without a key get 401");
  say (out, old->access == LT_ACCESS_KEYED && now->access == LT_ACCESS_OPEN,
       "callers need no key");
  say (out, !lists_all (diff, old, now),
       "callers of workspaces that are left out get 403");
  say (out, !same_target (diff, old, now),
       "responses come from other services, or in other parts");
  say (out, now->timeout_ms < old->timeout_ms, "slow requests end earlier");
  say (out, now->timeout_ms > old->timeout_ms, "slow requests end later");
  say (out, now->max_body_bytes < old->max_body_bytes,
       "larger bodies get 413");
  say (out,
       now->action != old->action || now->hedge != old->hedge
           || now->attempts_max != old->attempts_max,
       "failed requests are repeated in another way");
  say (out, now->priority > old->priority,
       "under overload its requests come later");
  say (out, now->priority < old->priority,
       "under overload its requests come earlier");
  notice_regions (diff, old->allowed_regions, now->allowed_regions, out);
}

static void
notice_key (const lt_diff_t *diff, const lt_diff_row_t *row, lt_buf_t *out)
{
  const lt_key_t *old = row->old_index == LT_NO_INDEX
                            ? NULL
                            : &diff->before->keys[row->old_index];
  const lt_key_t *now = row->new_index == LT_NO_INDEX
                            ? NULL
                            : &diff->after->keys[row->new_index];
  bool was_usable = old != NULL && old->state != LT_KEY_WITHDRAWN;
  bool is_usable = now != NULL && now->state != LT_KEY_WITHDRAWN;
  say (out, was_usable && !is_usable, "callers with this key get 401");
  say (out, !was_usable && is_usable, "callers with this key are accepted");
  say (out,
       was_usable && is_usable && !lt_digest_equal (&old->hash, &now->hash),
       "callers with the old secret get 401");
  say (
      out,
      was_usable && is_usable
          && !str_equal (lt_rows_workspace_name (diff->before, old->workspace),
                         lt_rows_workspace_name (diff->after, now->workspace)),
      "its requests count for another workspace");
}

void
lt_diff_row_notice (const lt_diff_t *diff, const lt_diff_row_t *row,
                    lt_buf_t *out)
{
  lt_buf_t text = { 0 };
  bool changed = row->op == LT_DIFF_CHANGED;
  uint32_t i = row->old_index;
  uint32_t k = row->new_index;
  if (row->kind == LT_DIFF_KEY)
    notice_key (diff, row, &text);
  if (row->kind == LT_DIFF_WORKSPACE && changed)
    notice_workspace (diff, &diff->before->workspaces[i],
                      &diff->after->workspaces[k], &text);
  if (row->kind == LT_DIFF_ROUTE && changed)
    notice_route (diff, &diff->before->routes[i], &diff->after->routes[k],
                  &text);
  say (&text, row->kind == LT_DIFF_ROUTE && row->op == LT_DIFF_REMOVED,
       "callers get 404 unless a shorter prefix matches");
  say (&text, row->kind == LT_DIFF_ROUTE && row->op == LT_DIFF_ADDED,
       "callers are served here");
  say (&text, row->kind == LT_DIFF_UPSTREAM && row->op == LT_DIFF_REMOVED,
       "less capacity of its service");
  say (&text, row->kind == LT_DIFF_UPSTREAM && row->op == LT_DIFF_ADDED,
       "more capacity of its service");
  lt_buf_append_str (out, lt_buf_str (&text));
  lt_buf_destroy (&text);
}
