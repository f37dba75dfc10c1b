/** @file
    Load balancing for one service: chooses the upstream with the least load,
    that is, requests in flight from this VM divided by slots; of several, the
    one unused for the longest time (Winston 1977; Lu et al. 2011 on balancing
    by local load only).  Upstreams in the VM's region come first, and those in
    its failure domain before the others.  Requests leave the region when it
    has too little usable capacity.

    The load that other VMs report is up to a second old.  Choosing by it would
    send all VMs to the same upstreams at once (Mitzenmacher 2000), so it only
    corrects the share of requests that leaves the region.

    To bound the connections, a VM of a large fleet uses only a subset of the
    upstreams, which rendezvous hashing chooses.  */
#ifndef LT_POLICY_BALANCE_H
#define LT_POLICY_BALANCE_H

#include "lt/base/rng.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_balance_pool lt_balance_pool_t;

  /** One upstream of a service.  The strings must stay valid only during
      lt_balance_pool_create.  */
  typedef struct lt_balance_upstream
  {
    str_t name; /**< Key of the rendezvous hash. */
    str_t region;
    str_t failure_domain;
    int32_t slots;       /**< Requests that it runs at a time. */
    int32_t connections; /**< Connections that it accepts. */
  } lt_balance_upstream_t;

  typedef struct lt_balance_options
  {
    str_t vm_id;
    str_t region;
    str_t failure_domain;
    uint32_t vms;        /**< VMs of the fleet. */
    uint32_t region_vms; /**< VMs of this VM's region. */
    uint32_t domain_vms; /**< VMs of this VM's failure domain. */
    /** Maximum of connections of this VM to one upstream.  */
    int32_t pool_connections;
    /** Duration of the slow start, in which the weight rises linearly.  */
    int64_t slow_start_us;
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

  /** Restrictions on one choice.  Zero-initialized means none.  */
  typedef struct lt_balance_request
  {
    /** Upstreams of earlier attempts.  They are excluded, and the others in
        their failure domains are chosen last.  */
    const uint32_t *tried;
    uint32_t tried_count;
    /** Per upstream, whether it may get the request; NULL: all may.  If this
        VM's subset has none of them, the other usable ones are used.  */
    const bool *allowed;
  } lt_balance_request_t;

  /** Creates the pool of one service.  Indexes are positions in UPSTREAMS, and
      all upstreams are usable.  */
  lt_balance_pool_t *
  lt_balance_pool_create (const lt_balance_options_t *options,
                          const lt_balance_upstream_t *upstreams,
                          uint32_t count);
  void lt_balance_pool_destroy (lt_balance_pool_t *pool);

  /** Returns the index of an upstream, or -LT_EUNAVAILABLE when no upstream
      may get the request.  REQUEST may be NULL.  The request does not count as
      in flight until lt_balance_begin.  */
  int lt_balance_pick (lt_balance_pool_t *pool,
                       const lt_balance_request_t *request, lt_rng_t *rng,
                       int64_t now_us);
  /** Count a request to UPSTREAM that begins or ends.  */
  void lt_balance_begin (lt_balance_pool_t *pool, uint32_t upstream);
  void lt_balance_end (lt_balance_pool_t *pool, uint32_t upstream);
  /** Returns the requests in flight from this VM to UPSTREAM.  */
  uint32_t lt_balance_in_flight (const lt_balance_pool_t *pool,
                                 uint32_t upstream);
  /** Sets whether UPSTREAM gets new requests.  One that becomes usable begins
      its slow start.  */
  void lt_balance_set_usable (lt_balance_pool_t *pool, uint32_t upstream,
                              bool usable, int64_t now_us);
  /** Sets the requests in flight from all other VMs to UPSTREAM, as last
      reported.  */
  void lt_balance_set_peer_load (lt_balance_pool_t *pool, uint32_t upstream,
                                 double in_flight, int64_t now_us);
  /** Records that UPSTREAM shed a request with status 503.  It gets no new
      requests for a back-off time with jitter, which doubles with each shed
      response in a row, up to 5 s or RETRY_AFTER_US, whichever is less.
      RETRY_AFTER_US is the value of Retry-After, or 0 when it was not
      given.  */
  void lt_balance_record_shed (lt_balance_pool_t *pool, uint32_t upstream,
                               int64_t retry_after_us, lt_rng_t *rng,
                               int64_t now_us);
  /** Records a response of UPSTREAM that was not shed: the next back-off is a
      first one again.  */
  void lt_balance_record_accepted (lt_balance_pool_t *pool, uint32_t upstream);
  /** Updates the numbers of VMs, which limit the size of the subset.  */
  void lt_balance_set_vms (lt_balance_pool_t *pool, uint32_t vms,
                           uint32_t region_vms, uint32_t domain_vms);
  /** Returns how many connections this VM may have to one upstream: the option
      pool_connections, or fewer when all VMs together would exceed the
      connections that the upstreams accept; at least 1.  */
  int32_t lt_balance_connection_limit (const lt_balance_pool_t *pool);
  /** Returns whether UPSTREAM is in this VM's rendezvous subset.  */
  bool lt_balance_in_subset (const lt_balance_pool_t *pool, uint32_t upstream);

#ifdef __cplusplus
}
#endif

#endif
