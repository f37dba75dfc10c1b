// Guards against requests in a wrong order of urgency, against admission by
// priority where all requests are equal, and against a wait for a region that
// may not serve the request.
#include <gtest/gtest.h>

#include "room_levels.h"

namespace
{

lt_route_t
make_route (int32_t priority, uint32_t service)
{
  lt_route_t route = {};
  route.priority = priority;
  route.service = service;
  route.all_workspaces = true;
  return route;
}

TEST (RoomLevels, PriorityOfTheWorkspaceGoesFirst)
{
  lt_workspace_t workspaces[3] = {};
  workspaces[0].priority = 2;
  workspaces[1].priority = 0;
  workspaces[2].priority = 2;
  lt_route_t routes[] = { make_route (1, 0), make_route (0, 0) };
  lt_snapshot_t snapshot = {};
  snapshot.workspaces = workspaces;
  snapshot.workspace_count = 3;
  snapshot.routes = routes;
  snapshot.route_count = 2;
  lt_room_levels_t levels = {};
  lt_room_levels_collect (&snapshot, &levels);
  ASSERT_EQ (4u, levels.count);
  auto level = [&] (int route, uint32_t workspace) {
    return lt_room_levels_find (
        &levels, lt_room_level_key (&snapshot, &routes[route], workspace));
  };
  EXPECT_EQ (0u, level (1, 1));
  EXPECT_EQ (1u, level (0, 1));
  EXPECT_EQ (2u, level (1, 0));
  EXPECT_EQ (3u, level (0, 0));
  EXPECT_EQ (3u, level (0, 2));
}

TEST (RoomLevels, EqualPrioritiesAreOneLevel)
{
  lt_workspace_t workspace = {};
  workspace.priority = 1;
  lt_route_t routes[] = { make_route (1, 0), make_route (1, 0) };
  lt_snapshot_t snapshot = {};
  snapshot.workspaces = &workspace;
  snapshot.workspace_count = 1;
  snapshot.routes = routes;
  snapshot.route_count = 2;
  lt_room_levels_t levels = {};
  lt_room_levels_collect (&snapshot, &levels);
  EXPECT_EQ (1u, levels.count);
}

TEST (RoomLevels, EachServiceHasTheLevelsOfItsOwnRoutes)
{
  lt_split_t splits[] = { { 0, 1 }, { 1, 1 } };
  lt_route_t routes[] = { make_route (0, 0), make_route (2, 0) };
  routes[1].splits = splits;
  routes[1].split_count = 2;
  routes[0].access = routes[1].access = LT_ACCESS_OPEN;
  lt_snapshot_t snapshot = {};
  snapshot.routes = routes;
  snapshot.route_count = 2;
  lt_room_levels_t levels[2] = {};
  lt_room_levels_collect (&snapshot, levels);
  EXPECT_EQ (2u, levels[0].count);
  EXPECT_EQ (1u, levels[1].count);
  EXPECT_EQ (1u, lt_room_levels_find (
                     &levels[0],
                     lt_room_level_key (&snapshot, &routes[1], LT_NO_INDEX)));
}

TEST (RoomLevels, MoreThanTheBoundShareTheLast)
{
  lt_room_levels_t levels = {};
  for (int64_t key = 0; key < 2 * LT_ROOM_LEVELS_MAX; key++)
    lt_room_levels_add (&levels, key);
  EXPECT_EQ ((uint32_t)LT_ROOM_LEVELS_MAX, levels.count);
  EXPECT_EQ (0u, lt_room_levels_find (&levels, 0));
  EXPECT_EQ ((uint32_t)LT_ROOM_LEVELS_MAX - 1,
             lt_room_levels_find (&levels, 100));
}

TEST (RoomLevels, AllowedRegionsExcludeTheOwn)
{
  str_t regions[] = { STR_LIT ("north"), STR_LIT ("south") };
  lt_workspace_t workspace = {};
  lt_route_t route = make_route (0, 0);
  lt_snapshot_t snapshot = {};
  snapshot.regions = regions;
  snapshot.region_count = 2;
  snapshot.workspaces = &workspace;
  snapshot.workspace_count = 1;
  auto excludes = [&] (const char *region) {
    return lt_room_excludes_region (&snapshot, &route, 0, str_from (region));
  };
  EXPECT_FALSE (excludes ("north"));
  route.allowed_regions = 2;
  EXPECT_TRUE (excludes ("north"));
  EXPECT_FALSE (excludes ("south"));
  EXPECT_TRUE (excludes ("elsewhere"));
  route.allowed_regions = 0;
  workspace.allowed_regions = 1;
  EXPECT_FALSE (excludes ("north"));
  EXPECT_TRUE (excludes ("south"));
}

} // namespace
