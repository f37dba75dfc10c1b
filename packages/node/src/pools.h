/** @file
    Where the dispatcher gets upstreams from.  The health controller implements
    it.  */
#ifndef LT_NODE_POOLS_H
#define LT_NODE_POOLS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_pools lt_pools_t;

  /** What an upstream is picked for.  */
  typedef struct lt_pick
  {
    uint32_t service;
    const uint32_t *tried; /**< Upstreams that are not picked again. */
    uint32_t tried_count;
    bool repeatable; /**< A failure would be repeated elsewhere. */
  } lt_pick_t;

  typedef struct lt_pools_vtable
  {
    /** Returns the snapshot that the pools stand on, or NULL before the first;
        upstream indexes refer to it.  The pools keep the reference.  */
    lt_snapshot_ref_t *(*config) (lt_pools_t *pools);
    /** Returns the index of an upstream, or -LT_EUNAVAILABLE.  */
    int64_t (*pick) (lt_pools_t *pools, const lt_pick_t *pick, int64_t now_us);
    /** Returns how long a connection to UPSTREAM may take, 0: built-in.  May
        be NULL.  */
    int64_t (*connect_ms) (lt_pools_t *pools, uint32_t upstream);
    /** A request for SERVICE of SNAPSHOT was refused before a pick.  May be
        NULL.  */
    void (*refuse) (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                    uint32_t service, int64_t now_us);
    /** An attempt at UPSTREAM begins or ends; SNAPSHOT is the one that the
        index refers to.  */
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
