/** @file
    Constructors of the request filters, in the order of the chain.  */
#ifndef LT_NODE_FILTERS_H
#define LT_NODE_FILTERS_H

#include "lt/node/filter.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_metrics;

  /** Keeps a well-formed request id of the caller, or generates one if the
      dialect says so.  */
  lt_filter_t *lt_filter_request_id_create (void);
  /** Delays requests for up to 0.5 s while there is no configuration.  */
  lt_filter_t *lt_filter_await_config_create (void);
  /** Finds the route; refuses paths that are not in normal form.  */
  lt_filter_t *lt_filter_route_create (void);
  /** Refuses bodies over the route's limit.  */
  lt_filter_t *lt_filter_size_create (void);
  /** Finds the workspace of the caller's API key and removes the key from the
      request.  */
  lt_filter_t *lt_filter_authenticate_create (void);
  /** Refuses keyed requests while the configuration may be out of date.  */
  lt_filter_t *lt_filter_freshness_create (void);
  /** Sets the deadline from the caller's deadline header, capped by the
      route's timeout.  */
  lt_filter_t *lt_filter_deadline_create (void);
  /** Refuses requests that are quarantined because they crashed upstreams.  */
  lt_filter_t *lt_filter_quarantine_create (void);
  /** Takes one token of the workspace's rate limit.  */
  lt_filter_t *lt_filter_limit_create (void);
  /** Limits the concurrent requests of each service and queues the rest
      fairly by workspace.  */
  lt_filter_t *lt_filter_admission_create (struct lt_metrics *metrics);
  /** Claims never-repeat actions under their idempotency key, so that each is
      run at most once.  */
  lt_filter_t *lt_filter_claim_create (void);
  /** Sends the request to an upstream; the last filter.  */
  lt_filter_t *lt_filter_dispatch_create (void);

  /** Destroy function of filters that own no further memory.  */
  void lt_filter_free (lt_filter_t *filter);
  /** Allocates a filter without state of its own.  */
  lt_filter_t *lt_filter_stateless_create (const lt_filter_vtable_t *vtable);

#ifdef __cplusplus
}
#endif

#endif
