#include "patch.h"

#include <stdlib.h>
#include <string.h>

#include "index.h"
#include "lt/base/error.h"
#include "rows.h"

lt_patch_t *
lt_patch_create (void)
{
  lt_patch_t *patch = lt_alloc (sizeof (*patch));
  patch->arena = lt_arena_create ();
  return patch;
}

void
lt_patch_destroy (lt_patch_t *patch)
{
  if (patch == NULL)
    return;
  for (int kind = 0; kind < LT_ROW_KINDS; kind++)
    free (patch->removed[kind].items);
  free (patch->workspaces.items);
  free (patch->keys.items);
  free (patch->services.items);
  free (patch->upstreams.items);
  free (patch->routes.items);
  free (patch->stops.items);
  lt_arena_destroy (patch->arena);
  free (patch);
}

void
lt_patch_set_head (lt_patch_t *patch, const lt_snapshot_t *snapshot)
{
  patch->head
      = (lt_snapshot_t){ .version = snapshot->version,
                         .deployment = snapshot->deployment,
                         .day = snapshot->day,
                         .author = snapshot->author,
                         .created_wall_us = snapshot->created_wall_us };
}

static void
add_route (lt_patch_t *patch, const lt_snapshot_t *snapshot,
           const lt_route_t *route)
{
  lt_patch_route_t *row = LT_VEC_PUSH (&patch->routes);
  row->row = *route;
  row->row.allowed_regions = lt_region_names_merge (
      &patch->regions, snapshot->regions, route->allowed_regions);
  row->service = snapshot->services[route->service].name;
  row->workspace_count = route->workspace_count;
  row->workspaces
      = lt_arena_alloc (patch->arena, route->workspace_count * sizeof (str_t));
  for (uint32_t i = 0; i < route->workspace_count; i++)
    row->workspaces[i] = snapshot->workspaces[route->workspaces[i]].name;
}

void
lt_patch_add_row (lt_patch_t *patch, const lt_snapshot_t *snapshot,
                  lt_row_kind_t kind, uint32_t index)
{
  switch (kind)
    {
    case LT_ROW_WORKSPACE:
      {
        lt_workspace_t *row = LT_VEC_PUSH (&patch->workspaces);
        *row = snapshot->workspaces[index];
        row->allowed_regions = lt_region_names_merge (
            &patch->regions, snapshot->regions, row->allowed_regions);
        return;
      }
    case LT_ROW_KEY:
      {
        const lt_key_t *key = &snapshot->keys[index];
        *LT_VEC_PUSH (&patch->keys) = (lt_patch_key_t){
          *key, lt_rows_workspace_name (snapshot, key->workspace)
        };
        return;
      }
    case LT_ROW_SERVICE:
      *LT_VEC_PUSH (&patch->services) = snapshot->services[index];
      return;
    case LT_ROW_UPSTREAM:
      {
        const lt_upstream_t *upstream = &snapshot->upstreams[index];
        *LT_VEC_PUSH (&patch->upstreams) = (lt_patch_upstream_t){
          *upstream, snapshot->services[upstream->service].name
        };
        return;
      }
    case LT_ROW_ROUTE:
      add_route (patch, snapshot, &snapshot->routes[index]);
      return;
    case LT_ROW_STOP:
    default:
      {
        const lt_stop_t *stop = &snapshot->stops[index];
        *LT_VEC_PUSH (&patch->stops) = (lt_patch_stop_t){
          *stop, snapshot->upstreams[stop->upstream].name, false
        };
        return;
      }
    }
}

/* Every row struct but lt_stop_t begins with its name.  */
static int
name_compare (const void *a, const void *b)
{
  return str_compare (*(const str_t *)a, *(const str_t *)b);
}

static int
upstream_compare (const void *a, const void *b)
{
  const lt_upstream_t *x = a;
  const lt_upstream_t *y = b;
  int order = (x->service > y->service) - (x->service < y->service);
  return order != 0 ? order : str_compare (x->name, y->name);
}

static int
stop_compare (const void *a, const void *b)
{
  const lt_stop_t *x = a;
  const lt_stop_t *y = b;
  int order = (x->upstream > y->upstream) - (x->upstream < y->upstream);
  if (order == 0)
    order = (x->starts_wall_us > y->starts_wall_us)
            - (x->starts_wall_us < y->starts_wall_us);
  if (order == 0)
    order = (x->ends_wall_us > y->ends_wall_us)
            - (x->ends_wall_us < y->ends_wall_us);
  return order;
}

typedef struct apply
{
  const lt_snapshot_t *old;
  const lt_patch_t *patch;
  lt_snapshot_t *now;
  uint32_t *workspace_map; /* Old index to new index. */
  uint32_t *service_map;
  lt_region_names_t regions; /* That rows refer to until the last step. */
} apply_t;

static uint64_t
take_regions (apply_t *a, const str_t *table, uint64_t mask)
{
  return lt_region_names_merge (&a->regions, table, mask);
}

/* Collects the names of one kind whose old rows do not stay, sorted.  */
static lt_names_t
touched_names (const lt_names_t *removed, const void *rows, uint32_t count,
               size_t size)
{
  lt_names_t names = { 0 };
  for (uint32_t i = 0; i < removed->count; i++)
    *LT_VEC_PUSH (&names) = removed->items[i];
  for (uint32_t i = 0; i < count; i++)
    *LT_VEC_PUSH (&names) = *(const str_t *)((const char *)rows + i * size);
  if (names.count > 0)
    qsort (names.items, names.count, sizeof (str_t), name_compare);
  return names;
}

static bool
is_touched (const lt_names_t *names, str_t name)
{
  return names->count > 0
         && bsearch (&name, names->items, names->count, sizeof (str_t),
                     name_compare)
                != NULL;
}

static void
sort_rows (void *rows, uint32_t count, size_t size,
           int (*compare) (const void *, const void *))
{
  for (uint32_t i = 1; i < count; i++)
    if (compare ((char *)rows + (i - 1) * size, (char *)rows + i * size) >= 0)
      {
        qsort (rows, count, size, compare);
        return;
      }
}

static bool
rows_are_unique (const void *rows, uint32_t count, size_t size,
                 int (*compare) (const void *, const void *))
{
  for (uint32_t i = 1; i < count; i++)
    if (compare ((const char *)rows + (i - 1) * size,
                 (const char *)rows + i * size)
        == 0)
      return false;
  return true;
}

/* Maps positions of old rows to positions of new rows; both are sorted.  */
static uint32_t *
map_rows (const void *old, uint32_t old_count, const void *rows,
          uint32_t count, size_t size)
{
  uint32_t *map = lt_alloc (old_count * sizeof (uint32_t));
  uint32_t at = 0;
  for (uint32_t i = 0; i < old_count; i++)
    {
      const void *name = (const char *)old + i * size;
      while (at < count
             && name_compare ((const char *)rows + at * size, name) < 0)
        at++;
      bool same = at < count
                  && name_compare ((const char *)rows + at * size, name) == 0;
      map[i] = same ? at : LT_NO_INDEX;
    }
  return map;
}

static int
apply_workspaces (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  uint32_t old_count = a->old == NULL ? 0 : a->old->workspace_count;
  lt_names_t touched = touched_names (
      &a->patch->removed[LT_ROW_WORKSPACE], a->patch->workspaces.items,
      a->patch->workspaces.count, sizeof (lt_workspace_t));
  size_t size = sizeof (lt_workspace_t);
  now->workspaces = lt_arena_alloc (
      now->arena, (old_count + a->patch->workspaces.count) * size);
  for (uint32_t i = 0; i < old_count; i++)
    if (!is_touched (&touched, a->old->workspaces[i].name))
      {
        lt_workspace_t *row = &now->workspaces[now->workspace_count++];
        *row = a->old->workspaces[i];
        row->allowed_regions
            = take_regions (a, a->old->regions, row->allowed_regions);
      }
  for (uint32_t i = 0; i < a->patch->workspaces.count; i++)
    {
      lt_workspace_t *row = &now->workspaces[now->workspace_count++];
      *row = a->patch->workspaces.items[i];
      row->allowed_regions
          = take_regions (a, a->patch->regions.items, row->allowed_regions);
    }
  free (touched.items);
  for (uint32_t i = 0; i < now->workspace_count; i++)
    {
      lt_workspace_t *row = &now->workspaces[i];
      if (row->rate_milli_per_s <= 0 || row->burst <= 0)
        return -LT_EINVAL;
      row->name = lt_arena_copy (now->arena, row->name);
    }
  sort_rows (now->workspaces, now->workspace_count, size, name_compare);
  a->workspace_map
      = map_rows (old_count == 0 ? NULL : a->old->workspaces, old_count,
                  now->workspaces, now->workspace_count, size);
  return rows_are_unique (now->workspaces, now->workspace_count, size,
                          name_compare)
             ? 0
             : -LT_EINVAL;
}

static int
apply_keys (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  uint32_t old_count = a->old == NULL ? 0 : a->old->key_count;
  lt_names_t touched
      = touched_names (&a->patch->removed[LT_ROW_KEY], a->patch->keys.items,
                       a->patch->keys.count, sizeof (lt_patch_key_t));
  size_t size = sizeof (lt_key_t);
  now->keys
      = lt_arena_alloc (now->arena, (old_count + a->patch->keys.count) * size);
  for (uint32_t i = 0; i < old_count; i++)
    if (!is_touched (&touched, a->old->keys[i].name))
      {
        lt_key_t *row = &now->keys[now->key_count++];
        *row = a->old->keys[i];
        if (row->workspace != LT_NO_INDEX)
          row->workspace = a->workspace_map[row->workspace];
      }
  for (uint32_t i = 0; i < a->patch->keys.count; i++)
    {
      const lt_patch_key_t *add = &a->patch->keys.items[i];
      lt_key_t *row = &now->keys[now->key_count++];
      *row = add->row;
      row->workspace = lt_snapshot_find_workspace (now, add->workspace);
    }
  free (touched.items);
  for (uint32_t i = 0; i < now->key_count; i++)
    {
      lt_key_t *row = &now->keys[i];
      if (row->workspace == LT_NO_INDEX && row->state != LT_KEY_WITHDRAWN)
        return -LT_EINVAL;
      row->name = lt_arena_copy (now->arena, row->name);
    }
  sort_rows (now->keys, now->key_count, size, name_compare);
  return rows_are_unique (now->keys, now->key_count, size, name_compare)
             ? 0
             : -LT_EINVAL;
}

static int
apply_services (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  uint32_t old_count = a->old == NULL ? 0 : a->old->service_count;
  lt_names_t touched = touched_names (
      &a->patch->removed[LT_ROW_SERVICE], a->patch->services.items,
      a->patch->services.count, sizeof (lt_service_t));
  size_t size = sizeof (lt_service_t);
  now->services = lt_arena_alloc (
      now->arena, (old_count + a->patch->services.count) * size);
  for (uint32_t i = 0; i < old_count; i++)
    if (!is_touched (&touched, a->old->services[i].name))
      now->services[now->service_count++] = a->old->services[i];
  for (uint32_t i = 0; i < a->patch->services.count; i++)
    now->services[now->service_count++] = a->patch->services.items[i];
  free (touched.items);
  for (uint32_t i = 0; i < now->service_count; i++)
    {
      lt_service_t *row = &now->services[i];
      if (row->floor_percent < 0 || row->floor_percent > 100)
        return -LT_EINVAL;
      row->name = lt_arena_copy (now->arena, row->name);
      row->first_upstream = 0;
      row->upstream_count = 0;
    }
  sort_rows (now->services, now->service_count, size, name_compare);
  a->service_map
      = map_rows (old_count == 0 ? NULL : a->old->services, old_count,
                  now->services, now->service_count, size);
  return rows_are_unique (now->services, now->service_count, size,
                          name_compare)
             ? 0
             : -LT_EINVAL;
}

static int
finish_upstreams (lt_snapshot_t *now)
{
  for (uint32_t i = 0; i < now->upstream_count; i++)
    {
      lt_upstream_t *row = &now->upstreams[i];
      if (row->service == LT_NO_INDEX || row->slots <= 0
          || row->connections <= 0)
        return -LT_EINVAL;
      row->name = lt_arena_copy (now->arena, row->name);
      row->region = lt_arena_intern (now->arena, row->region);
      row->failure_domain = lt_arena_intern (now->arena, row->failure_domain);
      row->address = lt_arena_copy (now->arena, row->address);
    }
  sort_rows (now->upstreams, now->upstream_count, sizeof (lt_upstream_t),
             upstream_compare);
  for (uint32_t i = 0; i < now->upstream_count; i++)
    {
      lt_service_t *service = &now->services[now->upstreams[i].service];
      if (service->upstream_count++ == 0)
        service->first_upstream = i;
    }
  return 0;
}

static int
apply_upstreams (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  uint32_t old_count = a->old == NULL ? 0 : a->old->upstream_count;
  lt_names_t touched = touched_names (
      &a->patch->removed[LT_ROW_UPSTREAM], a->patch->upstreams.items,
      a->patch->upstreams.count, sizeof (lt_patch_upstream_t));
  now->upstreams
      = lt_arena_alloc (now->arena, (old_count + a->patch->upstreams.count)
                                        * sizeof (lt_upstream_t));
  for (uint32_t i = 0; i < old_count; i++)
    if (!is_touched (&touched, a->old->upstreams[i].name))
      {
        lt_upstream_t *row = &now->upstreams[now->upstream_count++];
        *row = a->old->upstreams[i];
        row->service = a->service_map[row->service];
      }
  for (uint32_t i = 0; i < a->patch->upstreams.count; i++)
    {
      const lt_patch_upstream_t *add = &a->patch->upstreams.items[i];
      lt_upstream_t *row = &now->upstreams[now->upstream_count++];
      *row = add->row;
      row->service = lt_snapshot_find_service (now, add->service);
    }
  free (touched.items);
  return finish_upstreams (now);
}

static int
index_compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

/* Sorts the workspaces of ROW; positions may have changed their order.  */
static int
finish_route (lt_snapshot_t *now, lt_route_t *row)
{
  if (row->service == LT_NO_INDEX || row->timeout_ms <= 0
      || row->max_body_bytes < 0 || row->access > LT_ACCESS_OPEN
      || row->action > LT_ACTION_NEVER_REPEAT
      || row->all_workspaces != (row->workspace_count == 0))
    return -LT_EINVAL;
  if (row->action != LT_ACTION_IDEMPOTENT && row->hedge)
    return -LT_EINVAL;
  row->name = lt_arena_copy (now->arena, row->name);
  row->path = lt_arena_copy (now->arena, row->path);
  row->methods = lt_arena_intern (now->arena, row->methods);
  uint32_t count = row->workspace_count;
  if (count > 0)
    qsort (row->workspaces, count, sizeof (uint32_t), index_compare);
  for (uint32_t i = 0; i < count; i++)
    if (row->workspaces[i] == LT_NO_INDEX
        || (i > 0 && row->workspaces[i - 1] == row->workspaces[i]))
      return -LT_EINVAL;
  return 0;
}

static void
keep_route (apply_t *a, const lt_route_t *old)
{
  lt_route_t *row = &a->now->routes[a->now->route_count++];
  *row = *old;
  row->service = a->service_map[old->service];
  row->allowed_regions
      = take_regions (a, a->old->regions, old->allowed_regions);
  row->workspaces = lt_arena_alloc (a->now->arena,
                                    old->workspace_count * sizeof (uint32_t));
  for (uint32_t i = 0; i < old->workspace_count; i++)
    row->workspaces[i] = a->workspace_map[old->workspaces[i]];
}

static void
add_new_route (apply_t *a, const lt_patch_route_t *add)
{
  lt_route_t *row = &a->now->routes[a->now->route_count++];
  *row = add->row;
  row->service = lt_snapshot_find_service (a->now, add->service);
  row->allowed_regions
      = take_regions (a, a->patch->regions.items, add->row.allowed_regions);
  row->workspace_count = add->workspace_count;
  row->workspaces = lt_arena_alloc (a->now->arena,
                                    add->workspace_count * sizeof (uint32_t));
  for (uint32_t i = 0; i < add->workspace_count; i++)
    row->workspaces[i]
        = lt_snapshot_find_workspace (a->now, add->workspaces[i]);
}

static int
apply_routes (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  uint32_t old_count = a->old == NULL ? 0 : a->old->route_count;
  lt_names_t touched = touched_names (
      &a->patch->removed[LT_ROW_ROUTE], a->patch->routes.items,
      a->patch->routes.count, sizeof (lt_patch_route_t));
  size_t size = sizeof (lt_route_t);
  now->routes = lt_arena_alloc (now->arena,
                                (old_count + a->patch->routes.count) * size);
  for (uint32_t i = 0; i < old_count; i++)
    if (!is_touched (&touched, a->old->routes[i].name))
      keep_route (a, &a->old->routes[i]);
  for (uint32_t i = 0; i < a->patch->routes.count; i++)
    add_new_route (a, &a->patch->routes.items[i]);
  free (touched.items);
  for (uint32_t i = 0; i < now->route_count; i++)
    {
      int err = finish_route (now, &now->routes[i]);
      if (err != 0)
        return err;
    }
  sort_rows (now->routes, now->route_count, size, name_compare);
  return rows_are_unique (now->routes, now->route_count, size, name_compare)
             ? 0
             : -LT_EINVAL;
}

static int
apply_regions (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  int err = lt_regions_build (now, &a->regions);
  if (err != 0 || a->patch->regions.overflow)
    return -LT_EINVAL;
  for (uint32_t i = 0; i < now->workspace_count; i++)
    now->workspaces[i].allowed_regions = lt_regions_convert (
        now, a->regions.items, now->workspaces[i].allowed_regions);
  for (uint32_t i = 0; i < now->route_count; i++)
    now->routes[i].allowed_regions = lt_regions_convert (
        now, a->regions.items, now->routes[i].allowed_regions);
  return 0;
}

static bool
stop_is_removed (const lt_patch_t *patch, const lt_snapshot_t *old,
                 const lt_stop_t *stop)
{
  for (uint32_t i = 0; i < patch->stops.count; i++)
    {
      const lt_patch_stop_t *p = &patch->stops.items[i];
      if (p->removed && p->row.starts_wall_us == stop->starts_wall_us
          && p->row.ends_wall_us == stop->ends_wall_us
          && str_equal (p->upstream, old->upstreams[stop->upstream].name))
        return true;
    }
  return false;
}

static int
apply_stops (apply_t *a)
{
  lt_snapshot_t *now = a->now;
  uint32_t old_count = a->old == NULL ? 0 : a->old->stop_count;
  size_t size = sizeof (lt_stop_t);
  now->stops = lt_arena_alloc (now->arena,
                               (old_count + a->patch->stops.count) * size);
  for (uint32_t i = 0; i < old_count; i++)
    {
      const lt_stop_t *stop = &a->old->stops[i];
      if (stop_is_removed (a->patch, a->old, stop))
        continue;
      lt_stop_t *row = &now->stops[now->stop_count++];
      *row = *stop;
      row->upstream = lt_snapshot_find_upstream (
          now, a->old->upstreams[stop->upstream].name);
    }
  for (uint32_t i = 0; i < a->patch->stops.count; i++)
    {
      const lt_patch_stop_t *add = &a->patch->stops.items[i];
      if (add->removed)
        continue;
      lt_stop_t *row = &now->stops[now->stop_count++];
      *row = add->row;
      row->upstream = lt_snapshot_find_upstream (now, add->upstream);
    }
  for (uint32_t i = 0; i < now->stop_count; i++)
    if (now->stops[i].upstream == LT_NO_INDEX
        || now->stops[i].starts_wall_us >= now->stops[i].ends_wall_us)
      return -LT_EINVAL;
  sort_rows (now->stops, now->stop_count, size, stop_compare);
  return rows_are_unique (now->stops, now->stop_count, size, stop_compare)
             ? 0
             : -LT_EINVAL;
}

int
lt_patch_apply (const lt_snapshot_t *old, const lt_patch_t *patch,
                lt_snapshot_t **snapshot)
{
  apply_t a = { .old = old,
                .patch = patch,
                .now = lt_alloc (sizeof (lt_snapshot_t)) };
  *a.now = patch->head;
  a.now->arena = lt_arena_create ();
  a.now->deployment = lt_arena_copy (a.now->arena, patch->head.deployment);
  a.now->day = lt_arena_copy (a.now->arena, patch->head.day);
  a.now->author = lt_arena_copy (a.now->arena, patch->head.author);
  int (*const steps[]) (apply_t *)
      = { apply_workspaces, apply_keys,   apply_services,
          apply_upstreams,  apply_routes, apply_regions };
  int err = 0;
  for (size_t i = 0; i < sizeof (steps) / sizeof (steps[0]) && err == 0; i++)
    err = steps[i](&a);
  if (err == 0)
    err = lt_snapshot_build_index (a.now);
  if (err == 0)
    err = apply_stops (&a);
  free (a.workspace_map);
  free (a.service_map);
  if (err != 0)
    {
      lt_snapshot_destroy (a.now);
      return err;
    }
  *snapshot = a.now;
  return 0;
}
