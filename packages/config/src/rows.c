#include "rows.h"

#include "regions.h"

uint32_t
lt_rows_count (const lt_snapshot_t *snapshot, lt_row_kind_t kind)
{
  const uint32_t counts[LT_ROW_KINDS]
      = { snapshot->workspace_count, snapshot->key_count,
          snapshot->service_count,   snapshot->upstream_count,
          snapshot->route_count,     snapshot->stop_count };
  return counts[kind];
}

str_t
lt_rows_workspace_name (const lt_snapshot_t *snapshot, uint32_t index)
{
  return index == LT_NO_INDEX ? str_make ("", 0)
                              : snapshot->workspaces[index].name;
}

str_t
lt_rows_name (const lt_snapshot_t *snapshot, lt_row_kind_t kind,
              uint32_t index)
{
  switch (kind)
    {
    case LT_ROW_WORKSPACE:
      return snapshot->workspaces[index].name;
    case LT_ROW_KEY:
      return snapshot->keys[index].name;
    case LT_ROW_SERVICE:
      return snapshot->services[index].name;
    case LT_ROW_UPSTREAM:
      return snapshot->upstreams[index].name;
    case LT_ROW_ROUTE:
      return snapshot->routes[index].name;
    default:
      return snapshot->upstreams[snapshot->stops[index].upstream].name;
    }
}

static bool
stops_equal (const lt_snapshot_t *a, uint32_t i, const lt_snapshot_t *b,
             uint32_t j)
{
  return a->stops[i].starts_wall_us == b->stops[j].starts_wall_us
         && a->stops[i].ends_wall_us == b->stops[j].ends_wall_us
         && str_equal (lt_rows_name (a, LT_ROW_STOP, i),
                       lt_rows_name (b, LT_ROW_STOP, j));
}

/* Stops are sorted by upstream.  */
static uint32_t
find_stop (const lt_snapshot_t *snapshot, const lt_snapshot_t *other,
           uint32_t index)
{
  uint32_t upstream = lt_snapshot_find_upstream (
      snapshot, lt_rows_name (other, LT_ROW_STOP, index));
  if (upstream == LT_NO_INDEX)
    return LT_NO_INDEX;
  uint32_t low = 0;
  uint32_t high = snapshot->stop_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (snapshot->stops[middle].upstream < upstream)
        low = middle + 1;
      else
        high = middle;
    }
  for (;
       low < snapshot->stop_count && snapshot->stops[low].upstream == upstream;
       low++)
    if (stops_equal (snapshot, low, other, index))
      return low;
  return LT_NO_INDEX;
}

uint32_t
lt_rows_find (const lt_snapshot_t *snapshot, lt_row_kind_t kind,
              const lt_snapshot_t *other, uint32_t index)
{
  if (kind == LT_ROW_STOP)
    return find_stop (snapshot, other, index);
  str_t name = lt_rows_name (other, kind, index);
  if (kind == LT_ROW_UPSTREAM)
    return lt_snapshot_find_upstream (snapshot, name);
  if (kind == LT_ROW_WORKSPACE)
    return lt_snapshot_find_workspace (snapshot, name);
  if (kind == LT_ROW_SERVICE)
    return lt_snapshot_find_service (snapshot, name);
  if (kind == LT_ROW_ROUTE)
    return lt_snapshot_find_route (snapshot, name);
  /* Keys of a deployment have no name.  */
  const lt_key_t *key
      = name.len > 0
            ? lt_snapshot_find_key_name (snapshot, name)
            : lt_snapshot_find_key (snapshot, &other->keys[index].hash);
  return key == NULL ? LT_NO_INDEX : (uint32_t)(key - snapshot->keys);
}

static bool
upstreams_equal (const lt_snapshot_t *a, const lt_upstream_t *x,
                 const lt_snapshot_t *b, const lt_upstream_t *y)
{
  return str_equal (a->services[x->service].name, b->services[y->service].name)
         && str_equal (x->region, y->region)
         && str_equal (x->failure_domain, y->failure_domain)
         && str_equal (x->address, y->address) && x->slots == y->slots
         && x->connections == y->connections && x->drained == y->drained
         && x->evacuated == y->evacuated;
}

static bool
routes_equal (const lt_snapshot_t *a, const lt_route_t *x,
              const lt_snapshot_t *b, const lt_route_t *y)
{
  bool same = str_equal (x->path, y->path)
              && str_equal (x->methods, y->methods)
              && str_equal (a->services[x->service].name,
                            b->services[y->service].name)
              && x->access == y->access && x->action == y->action
              && x->hedge == y->hedge && x->timeout_ms == y->timeout_ms
              && x->max_body_bytes == y->max_body_bytes
              && x->all_workspaces == y->all_workspaces
              && x->workspace_count == y->workspace_count;
  same = same && str_equal (x->host, y->host)
         && x->attempts_max == y->attempts_max
         && x->latency_target_ms == y->latency_target_ms
         && x->priority == y->priority && x->split_count == y->split_count
         && lt_regions_equal (a, x->allowed_regions, b, y->allowed_regions);
  for (uint32_t i = 0; same && i < x->split_count; i++)
    same = x->splits[i].weight == y->splits[i].weight
           && str_equal (a->services[x->splits[i].service].name,
                         b->services[y->splits[i].service].name);
  for (uint32_t i = 0; same && i < x->workspace_count; i++)
    same = str_equal (a->workspaces[x->workspaces[i]].name,
                      b->workspaces[y->workspaces[i]].name);
  return same;
}

bool
lt_rows_equal (lt_row_kind_t kind, const lt_snapshot_t *a, uint32_t i,
               const lt_snapshot_t *b, uint32_t j)
{
  switch (kind)
    {
    case LT_ROW_WORKSPACE:
      return a->workspaces[i].rate_milli_per_s
                 == b->workspaces[j].rate_milli_per_s
             && a->workspaces[i].burst == b->workspaces[j].burst
             && a->workspaces[i].priority == b->workspaces[j].priority
             && lt_regions_equal (a, a->workspaces[i].allowed_regions, b,
                                  b->workspaces[j].allowed_regions);
    case LT_ROW_KEY:
      return a->keys[i].state == b->keys[j].state
             && lt_digest_equal (&a->keys[i].hash, &b->keys[j].hash)
             && str_equal (lt_rows_workspace_name (a, a->keys[i].workspace),
                           lt_rows_workspace_name (b, b->keys[j].workspace));
    case LT_ROW_SERVICE:
      return a->services[i].floor_percent == b->services[j].floor_percent
             && str_equal (a->services[i].health_path,
                           b->services[j].health_path)
             && a->services[i].warm_up_ms == b->services[j].warm_up_ms
             && a->services[i].warm_up_rate_milli_per_s
                    == b->services[j].warm_up_rate_milli_per_s;
    case LT_ROW_UPSTREAM:
      return upstreams_equal (a, &a->upstreams[i], b, &b->upstreams[j]);
    case LT_ROW_ROUTE:
      return routes_equal (a, &a->routes[i], b, &b->routes[j]);
    default:
      return stops_equal (a, i, b, j);
    }
}
