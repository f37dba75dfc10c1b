/* Values of rows in words.  */
#include <stdio.h>
#include <time.h>

#include "lt/base/clock.h"
#include "lt/config/diff.h"
#include "regions.h"
#include "rows.h"

typedef struct words
{
  lt_buf_t *out;
  bool changed_only;
  size_t count;
} words_t;

static void
separate (words_t *w)
{
  if (w->count++ > 0)
    lt_buf_printf (w->out, ", ");
}

static void
say_text (words_t *w, const char *column, str_t before, str_t after)
{
  if (w->changed_only ? str_equal (before, after) : after.len == 0)
    return;
  separate (w);
  if (w->changed_only)
    lt_buf_printf (w->out, "%s %.*s -> %.*s", column, STR_ARG (before),
                   STR_ARG (after));
  else
    lt_buf_printf (w->out, "%s %.*s", column, STR_ARG (after));
}

static void
say_number (words_t *w, const char *column, int64_t before, int64_t after)
{
  char old_text[24];
  char new_text[24];
  snprintf (old_text, sizeof (old_text), "%lld", (long long)before);
  snprintf (new_text, sizeof (new_text), "%lld", (long long)after);
  say_text (w, column, str_from (old_text), str_from (new_text));
}

static void
say_milli (words_t *w, const char *column, int64_t before, int64_t after)
{
  char old_text[32];
  char new_text[32];
  snprintf (old_text, sizeof (old_text), "%lld.%03lld",
            (long long)(before / 1000), (long long)(before % 1000));
  snprintf (new_text, sizeof (new_text), "%lld.%03lld",
            (long long)(after / 1000), (long long)(after % 1000));
  say_text (w, column, str_from (old_text), str_from (new_text));
}

/* For values of which 0 means that there is none.  */
static void
say_optional (words_t *w, const char *column, int64_t before, int64_t after)
{
  if (before != 0 || after != 0)
    say_number (w, column, before, after);
}

static void
say_word (words_t *w, const char *column, const char *before,
          const char *after)
{
  say_text (w, column, str_from (before), str_from (after));
}

static void
say_time (words_t *w, const char *column, int64_t wall_us)
{
  char text[32];
  struct tm tm;
  time_t seconds = (time_t)(wall_us / LT_US_PER_S);
  gmtime_r (&seconds, &tm);
  strftime (text, sizeof (text), "%Y-%m-%d %H:%M:%SZ", &tm);
  say_word (w, column, "", text);
}

static void
say_key (words_t *w, const lt_snapshot_t *before, const lt_key_t *old,
         const lt_snapshot_t *after, const lt_key_t *now)
{
  static const char *const states[] = { "sheet", "issued", "withdrawn" };
  say_text (w, "workspace", lt_rows_workspace_name (before, old->workspace),
            lt_rows_workspace_name (after, now->workspace));
  say_word (w, "state", states[old->state], states[now->state]);
  if (w->changed_only && !lt_digest_equal (&old->hash, &now->hash))
    {
      separate (w);
      lt_buf_printf (w->out, "another secret");
    }
}

static void
say_upstream (words_t *w, const lt_upstream_t *old, str_t old_service,
              const lt_upstream_t *now, str_t service)
{
  say_text (w, "service", old_service, service);
  say_text (w, "region", old->region, now->region);
  say_text (w, "failure_domain", old->failure_domain, now->failure_domain);
  say_text (w, "address", old->address, now->address);
  say_number (w, "slots", old->slots, now->slots);
  say_number (w, "connections", old->connections, now->connections);
  if (old->drained != now->drained || now->drained)
    say_word (w, "drained", old->drained ? "yes" : "no",
              now->drained ? "yes" : "no");
  if (old->evacuated != now->evacuated || now->evacuated)
    say_word (w, "evacuated", old->evacuated ? "yes" : "no",
              now->evacuated ? "yes" : "no");
}

/* Rows that any region may serve say so only when that changed.  */
static void
say_regions (words_t *w, const lt_snapshot_t *before, uint64_t old,
             const lt_snapshot_t *after, uint64_t now)
{
  lt_buf_t old_list = { 0 };
  lt_buf_t new_list = { 0 };
  if (old == 0 && now == 0)
    return;
  lt_regions_print (before->regions, old, &old_list);
  lt_regions_print (after->regions, now, &new_list);
  say_text (w, "allowed_regions",
            old == 0 ? STR_LIT ("*") : lt_buf_str (&old_list),
            now == 0 ? STR_LIT ("*") : lt_buf_str (&new_list));
  lt_buf_destroy (&old_list);
  lt_buf_destroy (&new_list);
}

static void
list_workspaces (const lt_snapshot_t *s, const lt_route_t *route,
                 lt_buf_t *out)
{
  if (route->all_workspaces)
    lt_buf_printf (out, "*");
  for (uint32_t i = 0; i < route->workspace_count; i++)
    lt_buf_printf (out, "%s%.*s", i > 0 ? "|" : "",
                   STR_ARG (s->workspaces[route->workspaces[i]].name));
}

static void
list_splits (const lt_snapshot_t *s, const lt_route_t *route, lt_buf_t *out)
{
  for (uint32_t i = 0; i < route->split_count; i++)
    lt_buf_printf (out, "%s%.*s:%d", i > 0 ? "|" : "",
                   STR_ARG (s->services[route->splits[i].service].name),
                   (int)route->splits[i].weight);
}

static void
say_deployed_route (words_t *w, const lt_snapshot_t *before,
                    const lt_route_t *old, const lt_snapshot_t *after,
                    const lt_route_t *now)
{
  lt_buf_t old_list = { 0 };
  lt_buf_t new_list = { 0 };
  list_splits (before, old, &old_list);
  list_splits (after, now, &new_list);
  say_text (w, "host", old->host, now->host);
  say_text (w, "splits", lt_buf_str (&old_list), lt_buf_str (&new_list));
  say_optional (w, "latency_target_ms", old->latency_target_ms,
                now->latency_target_ms);
  say_optional (w, "attempts_max", old->attempts_max, now->attempts_max);
  say_optional (w, "priority", old->priority, now->priority);
  lt_buf_destroy (&old_list);
  lt_buf_destroy (&new_list);
}

static void
say_service (words_t *w, const lt_service_t *old, const lt_service_t *now)
{
  say_number (w, "floor_percent", old->floor_percent, now->floor_percent);
  say_text (w, "health_path", old->health_path, now->health_path);
  say_optional (w, "warm_up_ms", old->warm_up_ms, now->warm_up_ms);
  if (old->warm_up_rate_milli_per_s != 0 || now->warm_up_rate_milli_per_s != 0)
    say_milli (w, "warm_up_rate_per_s", old->warm_up_rate_milli_per_s,
               now->warm_up_rate_milli_per_s);
}

static void
say_route (words_t *w, const lt_snapshot_t *before, const lt_route_t *old,
           const lt_snapshot_t *after, const lt_route_t *now)
{
  static const char *const accesses[] = { "keyed", "open" };
  static const char *const actions[]
      = { "idempotent", "repeatable", "never-repeat" };
  lt_buf_t old_list = { 0 };
  lt_buf_t new_list = { 0 };
  list_workspaces (before, old, &old_list);
  list_workspaces (after, now, &new_list);
  say_text (w, "path", old->path, now->path);
  say_text (w, "methods", old->methods, now->methods);
  say_text (w, "service", before->services[old->service].name,
            after->services[now->service].name);
  say_word (w, "access", accesses[old->access], accesses[now->access]);
  say_word (w, "action", actions[old->action], actions[now->action]);
  say_word (w, "hedge", old->hedge ? "yes" : "no", now->hedge ? "yes" : "no");
  say_number (w, "timeout_ms", old->timeout_ms, now->timeout_ms);
  say_number (w, "max_body_bytes", old->max_body_bytes, now->max_body_bytes);
  say_text (w, "workspaces", lt_buf_str (&old_list), lt_buf_str (&new_list));
  say_deployed_route (w, before, old, after, now);
  lt_buf_destroy (&old_list);
  lt_buf_destroy (&new_list);
  say_regions (w, before, old->allowed_regions, after, now->allowed_regions);
}

void
lt_diff_row_words (const lt_diff_t *diff, const lt_diff_row_t *row,
                   lt_buf_t *out)
{
  words_t w = { out, row->op == LT_DIFF_CHANGED, 0 };
  /* An added or removed row is compared with itself.  */
  bool removed = row->op == LT_DIFF_REMOVED;
  bool added = row->op == LT_DIFF_ADDED;
  const lt_snapshot_t *before = added ? diff->after : diff->before;
  const lt_snapshot_t *after = removed ? diff->before : diff->after;
  uint32_t i = added ? row->new_index : row->old_index;
  uint32_t k = removed ? row->old_index : row->new_index;
  switch (row->kind)
    {
    case LT_DIFF_WORKSPACE:
      say_milli (&w, "rate_per_s", before->workspaces[i].rate_milli_per_s,
                 after->workspaces[k].rate_milli_per_s);
      say_number (&w, "burst", before->workspaces[i].burst,
                  after->workspaces[k].burst);
      say_optional (&w, "priority", before->workspaces[i].priority,
                    after->workspaces[k].priority);
      say_regions (&w, before, before->workspaces[i].allowed_regions, after,
                   after->workspaces[k].allowed_regions);
      return;
    case LT_DIFF_KEY:
      say_key (&w, before, &before->keys[i], after, &after->keys[k]);
      return;
    case LT_DIFF_SERVICE:
      say_service (&w, &before->services[i], &after->services[k]);
      return;
    case LT_DIFF_UPSTREAM:
      say_upstream (&w, &before->upstreams[i],
                    before->services[before->upstreams[i].service].name,
                    &after->upstreams[k],
                    after->services[after->upstreams[k].service].name);
      return;
    case LT_DIFF_ROUTE:
      say_route (&w, before, &before->routes[i], after, &after->routes[k]);
      return;
    default:
      say_time (&w, "starts", after->stops[k].starts_wall_us);
      say_time (&w, "ends", after->stops[k].ends_wall_us);
    }
}
