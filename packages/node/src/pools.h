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

  typedef struct lt_pools_vtable
  {
    /** Returns the snapshot that the pools stand on, or NULL before the first;
        upstream indexes refer to it.  The pools keep the reference.  */
    lt_snapshot_ref_t *(*config) (lt_pools_t *pools);
    /** Returns the index of an upstream of SERVICE that is not among TRIED, or
        -LT_EUNAVAILABLE.  */
    int64_t (*pick) (lt_pools_t *pools, uint32_t service,
                     const uint32_t *tried, uint32_t tried_count,
                     int64_t now_us);
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
