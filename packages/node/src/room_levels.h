/** @file
    What routes and workspaces mean for admission by priority.  A service's
    levels of urgency are the different priorities of its routes and
   workspaces, most urgent first.  */
#ifndef LT_NODE_ROOM_LEVELS_H
#define LT_NODE_ROOM_LEVELS_H

#include "lt/config/snapshot.h"
#include "lt/policy/room.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_room_levels
  {
    int64_t keys[LT_ROOM_LEVELS_MAX]; /**< Sorted; see lt_room_level_key. */
    uint32_t count;
  } lt_room_levels_t;

  /** Returns a number that is lower for more urgent requests.  The priority of
      the workspace goes before that of the route; without a workspace
      (LT_NO_INDEX) the route's takes its place.  */
  int64_t lt_room_level_key (const lt_snapshot_t *snapshot,
                             const lt_route_t *route, uint32_t workspace);
  /** Returns whether the allowed regions of ROUTE or of WORKSPACE
     (LT_NO_INDEX: none) exclude REGION.  */
  bool lt_room_excludes_region (const lt_snapshot_t *snapshot,
                                const lt_route_t *route, uint32_t workspace,
                                str_t region);
  /** Adds KEY unless there are LT_ROOM_LEVELS_MAX already.  */
  void lt_room_levels_add (lt_room_levels_t *levels, int64_t key);
  /** Returns the level of KEY; one that is not listed has the level of the
     next less urgent one, or the last.  */
  uint32_t lt_room_levels_find (const lt_room_levels_t *levels, int64_t key);
  /** Writes the levels of each service of SNAPSHOT to LEVELS, which has an
      element for each, all zero.  */
  void lt_room_levels_collect (const lt_snapshot_t *snapshot,
                               lt_room_levels_t *levels);

#ifdef __cplusplus
}
#endif

#endif
