/** @file
    Choice of an upstream for one request: the least loaded by local in-flight
    over slots, the longest unused of several (Winston 1977; Lu et al. 2011 on
    local knowledge), from the nearest tier that has enough healthy capacity:
    own failure domain, own region, all regions.

    The load that other VMs share is up to a second old.  Choosing by it sends
    all VMs to the same upstreams (Mitzenmacher 2000), so it only corrects the
    part of requests that leaves the region.  */
#ifndef LT_POLICY_BALANCE_H
#define LT_POLICY_BALANCE_H

#include "lt/base/rng.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_balance_pool lt_balance_pool_t;

  /** One upstream of a service; texts are copied.  */
  typedef struct lt_balance_upstream
  {
    str_t name; /**< Key of the rendezvous subset. */
    str_t region;
    str_t failure_domain;
    int32_t slots;
    int32_t connections;
  } lt_balance_upstream_t;

  typedef struct lt_balance_options
  {
    str_t vm_id;
    str_t region;
    str_t failure_domain;
    uint32_t vms;             /**< VMs of the fleet. */
    uint32_t region_vms;      /**< VMs of this VM's region. */
    uint32_t domain_vms;      /**< VMs of this VM's failure domain. */
    int32_t pool_connections; /**< Most connections of this VM to one
                                 upstream. */
    int64_t slow_start_us;    /**< The weight rises linearly for this long. */
  } lt_balance_options_t;

#define LT_BALANCE_OPTIONS_DEFAULT                                            \
  ((lt_balance_options_t){ .vm_id = { NULL, 0 },                              \
                           .region = { NULL, 0 },                             \
                           .failure_domain = { NULL, 0 },                     \
                           .vms = 1,                                          \
                           .region_vms = 1,                                   \
                           .domain_vms = 1,                                   \
                           .pool_connections = 4,                             \
                           .slow_start_us = 10000000 })

  /** Limits of one choice.  Zero-initialized means none.  */
  typedef struct lt_balance_request
  {
    const uint32_t *tried; /**< Upstreams of earlier attempts: excluded, and
                              their failure domains come last. */
    uint32_t tried_count;
  } lt_balance_request_t;

  lt_balance_pool_t *
  lt_balance_pool_create (const lt_balance_options_t *options,
                          const lt_balance_upstream_t *upstreams,
                          uint32_t count);
  void lt_balance_pool_destroy (lt_balance_pool_t *pool);

  /** Returns an upstream index, or -LT_EUNAVAILABLE when no upstream may get
      new work.  The choice does not count as in flight until
      lt_balance_begin.  */
  int lt_balance_pick (lt_balance_pool_t *pool,
                       const lt_balance_request_t *request, lt_rng_t *rng,
                       int64_t now_us);
  /** Counts a request sent to, or ended by, UPSTREAM.  */
  void lt_balance_begin (lt_balance_pool_t *pool, uint32_t upstream);
  void lt_balance_end (lt_balance_pool_t *pool, uint32_t upstream);
  /** Returns the requests that this VM has in flight to UPSTREAM.  */
  uint32_t lt_balance_in_flight (const lt_balance_pool_t *pool,
                                 uint32_t upstream);
  /** Sets whether UPSTREAM gets new work; becoming usable starts its slow
      start.  */
  void lt_balance_set_usable (lt_balance_pool_t *pool, uint32_t upstream,
                              bool usable, int64_t now_us);
  /** Sets what the other VMs have in flight to UPSTREAM, as last heard.  */
  void lt_balance_set_shared_load (lt_balance_pool_t *pool, uint32_t upstream,
                                   double in_flight, int64_t now_us);
  /** Backs off after a 503 with Retry-After (0: none given).  The time
      doubles with each shed response in a row, up to RETRY_AFTER_US; a
      response that is not shed ends the row (lt_balance_accepted).  */
  void lt_balance_shed (lt_balance_pool_t *pool, uint32_t upstream,
                        int64_t retry_after_us, lt_rng_t *rng, int64_t now_us);
  void lt_balance_accepted (lt_balance_pool_t *pool, uint32_t upstream);
  /** Updates the numbers of VMs, which bound the subset.  */
  void lt_balance_set_vms (lt_balance_pool_t *pool, uint32_t vms,
                           uint32_t region_vms, uint32_t domain_vms);
  /** Returns how many connections this VM may have to one upstream: at most
      the option, less when the VMs would together exceed what the upstreams
      accept.  At least 1.  */
  int32_t lt_balance_connection_limit (const lt_balance_pool_t *pool);
  /** Returns whether UPSTREAM is in this VM's rendezvous subset.  */
  bool lt_balance_in_subset (const lt_balance_pool_t *pool, uint32_t upstream);

#ifdef __cplusplus
}
#endif

#endif
