/** @file
    What the room module remembers of one service.  */
#ifndef LT_POLICY_ROOM_SERVICE_H
#define LT_POLICY_ROOM_SERVICE_H

#include <uthash.h>

#include "lt/policy/room.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LT_ROOM_WORKSPACES = 64,
    LT_ROOM_DOMAINS = 16
  };

  /** A count that decays exponentially.  */
  typedef struct lt_room_count
  {
    double value;
    int64_t updated_us;
  } lt_room_count_t;

  typedef struct lt_room_workspace
  {
    uint64_t workspace;
    lt_room_count_t sent;
  } lt_room_workspace_t;

  /** Load that another failure domain reported.  */
  typedef struct lt_room_domain
  {
    uint64_t domain;
    int32_t load_milli;
    int64_t reported_us;
  } lt_room_domain_t;

  typedef struct lt_room_distance
  {
    lt_room_count_t attempts;
    lt_room_count_t rejected;
    lt_room_domain_t domains[LT_ROOM_DOMAINS];
    uint32_t domain_count;
  } lt_room_distance_t;

  typedef struct lt_room_service
  {
    UT_hash_handle hh;
    uint64_t key;
    uint32_t levels;
    lt_room_count_t sent[LT_ROOM_LEVELS_MAX];
    double owed[LT_ROOM_LEVELS_MAX]; /**< Requests below the least share. */
    double credit; /**< Requests that may be sent in the failure domain. */
    int64_t credit_us;
    lt_room_distance_t distances[LT_DISTANCES];
    lt_room_workspace_t workspaces[LT_ROOM_WORKSPACES];
    uint32_t workspace_count;
  } lt_room_service_t;

  /** Returns the decayed value of COUNT.  */
  double lt_room_count_at (const lt_room_count_t *count, int64_t decay_us,
                           int64_t now_us);
  void lt_room_count_add (lt_room_count_t *count, double value,
                          int64_t decay_us, int64_t now_us);
  /** Counts a request of WORKSPACE as sent; forgets the workspace with the
      fewest when there are too many.  */
  void lt_room_service_use (lt_room_service_t *service, uint64_t workspace,
                            int64_t decay_us, int64_t now_us);
  const lt_room_workspace_t *
  lt_room_service_workspace (const lt_room_service_t *service,
                             uint64_t workspace);
  void lt_room_service_set_load (lt_room_service_t *service,
                                 lt_distance_t distance, uint64_t domain,
                                 int32_t load_milli, int64_t now_us);
  /** Returns the mean load of the failure domains at DISTANCE in requests per
      slot, or -1 when no report is younger than MAX_AGE_US.  */
  double lt_room_service_load (const lt_room_service_t *service,
                               lt_distance_t distance, int64_t max_age_us,
                               int64_t now_us);
  /** Returns the share of attempts at DISTANCE that upstreams rejected.  */
  double lt_room_service_rejected (const lt_room_service_t *service,
                                   lt_distance_t distance, int64_t decay_us,
                                   int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
