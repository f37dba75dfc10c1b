/** @file
    Interface through which the dispatcher picks upstreams.  The health
    controller implements it, and the upstream controller for fleets on a
    hosting platform.  */
#ifndef LT_NODE_POOLS_H
#define LT_NODE_POOLS_H

#include "lt/node/node.h"
#include "lt/policy/cost.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_pools lt_pools_t;

  struct lt_choice_limits;
  struct lt_choice_load;

  /** Criteria for picking an upstream.  */
  typedef struct lt_pick
  {
    uint32_t service;
    const uint32_t *tried; /**< Upstreams that must not be picked. */
    uint32_t tried_count;
    bool repeatable;          /**< A failure would be retried elsewhere. */
    uint64_t allowed_regions; /**< Bits of the regions that may serve it; 0: no
                                 restriction. */
    const struct lt_choice_limits *limits; /**< NULL: none. */
    const lt_cost_key_t *cost;             /**< Keys of its likely cost. */
    bool counted; /**< As a request for its service, by an earlier pick. */
  } lt_pick_t;

  /** An attempt, for a choice by the likely cost of requests.  */
  typedef struct lt_pool_attempt
  {
    const lt_snapshot_t *snapshot;
    uint32_t upstream; /**< Index into SNAPSHOT. */
    uint64_t id;       /**< Unique for this incarnation of the VM. */
    const lt_cost_key_t *cost;
  } lt_pool_attempt_t;

  typedef struct lt_pools_vtable
  {
    /** Returns the snapshot that upstream indexes refer to, or NULL before
        the first.  The pools own the reference.  */
    lt_snapshot_ref_t *(*config) (lt_pools_t *pools);
    /** Returns the index of an upstream, -LT_EUNAVAILABLE, or -LT_EFULL when
        all are full by the pick's limits.  */
    int64_t (*pick) (lt_pools_t *pools, const lt_pick_t *pick, int64_t now_us);
    /** Returns the connect timeout of UPSTREAM in milliseconds; 0: the
        default.  May be NULL.  */
    int64_t (*connect_ms) (lt_pools_t *pools, uint32_t upstream);
    /** Returns how long it takes until an upstream of SERVICE in
        ALLOWED_REGIONS, whose upstreams take requests at a rate, takes another
        one; 0: rates are not the reason.  May be NULL.  */
    int64_t (*wait_us) (lt_pools_t *pools, uint32_t service,
                        uint64_t allowed_regions, int64_t now_us);
    /** Writes the load of SERVICE to LOADS, which has an element for each
        lt_distance_t.  May be NULL.  */
    void (*load) (lt_pools_t *pools, uint32_t service, int64_t now_us,
                  struct lt_choice_load *loads);
    /** Called when a request for SERVICE of SNAPSHOT was refused before any
        attempt.  May be NULL.  */
    void (*on_refused) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                        uint32_t service, int64_t now_us);
    /** Called when UPSTREAM, an index into SNAPSHOT, said that it leaves, in a
        response with STATUS to REQUEST_ID.  May be NULL.  */
    void (*on_leaving) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                        uint32_t upstream, int status, const char *request_id);
    /** Called when an attempt on UPSTREAM, an index into SNAPSHOT, begins or
        ends.  */
    void (*begin) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                   uint32_t upstream);
    void (*end) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                 uint32_t upstream);
    /** Called when a request begins or ends to wait for a connection to
        UPSTREAM, an index into SNAPSHOT; it counts in that upstream's load. */
    void (*begin_wait) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                        uint32_t upstream);
    void (*end_wait) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                      uint32_t upstream);
    /** Called before begin and end, with LATENCY_US as the time that the
        upstream took.  May be NULL: costs are not used.  */
    void (*begin_work) (lt_pools_t *pools, const lt_pool_attempt_t *attempt,
                        int64_t now_us);
    void (*end_work) (lt_pools_t *pools, const lt_pool_attempt_t *attempt,
                      lt_attempt_outcome_t outcome, int64_t latency_us);
  } lt_pools_vtable_t;

  struct lt_pools
  {
    const lt_pools_vtable_t *vtable;
  };

#ifdef __cplusplus
}
#endif

#endif
