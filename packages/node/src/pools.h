/** @file
    Interface through which the dispatcher picks upstreams.  The health
    controller implements it, and the upstream controller for fleets on a
    hosting platform.  */
#ifndef LT_NODE_POOLS_H
#define LT_NODE_POOLS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_pools lt_pools_t;

  /** Criteria for picking an upstream.  */
  typedef struct lt_pick
  {
    uint32_t service;
    const uint32_t *tried; /**< Upstreams that must not be picked. */
    uint32_t tried_count;
    bool repeatable;          /**< A failure would be retried elsewhere. */
    uint64_t allowed_regions; /**< Bits of the regions that may serve it; 0: no
                                 restriction. */
  } lt_pick_t;

  typedef struct lt_pools_vtable
  {
    /** Returns the snapshot that upstream indexes refer to, or NULL before
        the first.  The pools own the reference.  */
    lt_snapshot_ref_t *(*config) (lt_pools_t *pools);
    /** Returns the index of an upstream, or -LT_EUNAVAILABLE.  */
    int64_t (*pick) (lt_pools_t *pools, const lt_pick_t *pick, int64_t now_us);
    /** Returns the connect timeout of UPSTREAM in milliseconds; 0: the
        default.  May be NULL.  */
    int64_t (*connect_ms) (lt_pools_t *pools, uint32_t upstream);
    /** Returns how long it takes until an upstream of SERVICE in
        ALLOWED_REGIONS, whose upstreams take requests at a rate, takes another
        one; 0: rates are not the reason.  May be NULL.  */
    int64_t (*wait_us) (lt_pools_t *pools, uint32_t service,
                        uint64_t allowed_regions, int64_t now_us);
    /** Called when a request for SERVICE of SNAPSHOT was refused before any
        attempt.  May be NULL.  */
    void (*on_refused) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                        uint32_t service, int64_t now_us);
    /** Called when an attempt on UPSTREAM, an index into SNAPSHOT, begins or
        ends.  */
    void (*begin) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                   uint32_t upstream);
    void (*end) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                 uint32_t upstream);
  } lt_pools_vtable_t;

  struct lt_pools
  {
    const lt_pools_vtable_t *vtable;
  };

#ifdef __cplusplus
}
#endif

#endif
