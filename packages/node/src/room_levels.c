#include "room_levels.h"

enum
{
  ROUTE_PRIORITY_BITS = 32
};

static int64_t
make_key (int32_t first, int32_t second)
{
  return (int64_t)first * (1LL << ROUTE_PRIORITY_BITS) + second;
}

int64_t
lt_room_level_key (const lt_snapshot_t *snapshot, const lt_route_t *route,
                   uint32_t workspace)
{
  int32_t first = workspace == LT_NO_INDEX
                      ? route->priority
                      : snapshot->workspaces[workspace].priority;
  return make_key (first, route->priority);
}

bool
lt_room_excludes_region (const lt_snapshot_t *snapshot,
                         const lt_route_t *route, uint32_t workspace,
                         str_t region)
{
  uint64_t bit = 1ULL << LT_REGION_BIT_OTHER;
  uint64_t of_workspace
      = workspace == LT_NO_INDEX
            ? 0
            : snapshot->workspaces[workspace].allowed_regions;
  for (uint32_t i = 0; i < snapshot->region_count; i++)
    if (str_equal (snapshot->regions[i], region))
      bit = 1ULL << i;
  return (route->allowed_regions != 0 && (route->allowed_regions & bit) == 0)
         || (of_workspace != 0 && (of_workspace & bit) == 0);
}

void
lt_room_levels_add (lt_room_levels_t *levels, int64_t key)
{
  uint32_t at = 0;
  while (at < levels->count && levels->keys[at] < key)
    at++;
  if (levels->count == LT_ROOM_LEVELS_MAX
      || (at < levels->count && levels->keys[at] == key))
    return;
  for (uint32_t i = levels->count; i > at; i--)
    levels->keys[i] = levels->keys[i - 1];
  levels->keys[at] = key;
  levels->count++;
}

uint32_t
lt_room_levels_find (const lt_room_levels_t *levels, int64_t key)
{
  uint32_t at = 0;
  while (at + 1 < levels->count && levels->keys[at] < key)
    at++;
  return at;
}

/* Adds the levels of ROUTE's requests to LEVELS.  PRIORITIES are those of all
   workspaces.  */
static void
add_route (const lt_snapshot_t *snapshot, const lt_route_t *route,
           const lt_room_levels_t *priorities, lt_room_levels_t *levels)
{
  if (route->access == LT_ACCESS_OPEN)
    lt_room_levels_add (levels, make_key (route->priority, route->priority));
  for (uint32_t i = 0; i < route->workspace_count; i++)
    lt_room_levels_add (
        levels, lt_room_level_key (snapshot, route, route->workspaces[i]));
  for (uint32_t i = 0; route->all_workspaces && i < priorities->count; i++)
    lt_room_levels_add (
        levels, make_key ((int32_t)priorities->keys[i], route->priority));
}

void
lt_room_levels_collect (const lt_snapshot_t *snapshot,
                        lt_room_levels_t *levels)
{
  lt_room_levels_t priorities = { .count = 0 };
  for (uint32_t i = 0; i < snapshot->workspace_count; i++)
    lt_room_levels_add (&priorities, snapshot->workspaces[i].priority);
  for (uint32_t i = 0; i < snapshot->route_count; i++)
    {
      const lt_route_t *route = &snapshot->routes[i];
      if (route->split_count == 0)
        add_route (snapshot, route, &priorities, &levels[route->service]);
      for (uint32_t k = 0; k < route->split_count; k++)
        add_route (snapshot, route, &priorities,
                   &levels[route->splits[k].service]);
    }
}
