#include "lt/config/snapshot.h"

#include <stdlib.h>

#include "arena.h"

void
lt_snapshot_destroy (lt_snapshot_t *snapshot)
{
  if (snapshot == NULL)
    return;
  lt_arena_destroy (snapshot->arena);
  lt_arena_destroy (snapshot->shared);
  free (snapshot);
}

size_t
lt_snapshot_memory_bytes (const lt_snapshot_t *snapshot)
{
  return sizeof (*snapshot) + lt_arena_bytes (snapshot->arena);
}

/* Finds NAME among rows that begin with their name and are sorted by it.  */
static uint32_t
find_name (const void *rows, uint32_t count, size_t size, str_t name)
{
  uint32_t low = 0;
  uint32_t high = count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const str_t *at = (const str_t *)((const char *)rows + middle * size);
      int order = str_compare (*at, name);
      if (order == 0)
        return middle;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return LT_NO_INDEX;
}

uint32_t
lt_snapshot_find_workspace (const lt_snapshot_t *snapshot, str_t name)
{
  return find_name (snapshot->workspaces, snapshot->workspace_count,
                    sizeof (lt_workspace_t), name);
}

uint32_t
lt_snapshot_find_service (const lt_snapshot_t *snapshot, str_t name)
{
  return find_name (snapshot->services, snapshot->service_count,
                    sizeof (lt_service_t), name);
}

uint32_t
lt_snapshot_find_route (const lt_snapshot_t *snapshot, str_t name)
{
  return find_name (snapshot->routes, snapshot->route_count,
                    sizeof (lt_route_t), name);
}

const lt_key_t *
lt_snapshot_find_key_name (const lt_snapshot_t *snapshot, str_t name)
{
  uint32_t index = find_name (snapshot->keys, snapshot->key_count,
                              sizeof (lt_key_t), name);
  return index == LT_NO_INDEX ? NULL : &snapshot->keys[index];
}

bool
lt_route_allows (const lt_route_t *route, uint32_t workspace)
{
  if (route->all_workspaces)
    return true;
  uint32_t low = 0;
  uint32_t high = route->workspace_count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (route->workspaces[middle] == workspace)
        return true;
      if (route->workspaces[middle] < workspace)
        low = middle + 1;
      else
        high = middle;
    }
  return false;
}
