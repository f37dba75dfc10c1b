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

  /** Keeps a well-formed X-Request-Id, or makes one.  */
  lt_filter_t *lt_filter_request_id_create (void);
  /** Holds requests back for a moment while there is no configuration.  */
  lt_filter_t *lt_filter_await_config_create (void);
  /** Finds the route; refuses paths that are not in normal form.  */
  lt_filter_t *lt_filter_route_create (void);
  /** Refuses bodies over the route's limit.  */
  lt_filter_t *lt_filter_size_create (void);
  /** Finds the workspace of the presented key and removes the key.  */
  lt_filter_t *lt_filter_authenticate_create (void);
  /** Refuses keyed requests while the configuration may be out of date.  */
  lt_filter_t *lt_filter_freshness_create (void);
  /** Sets the deadline: X-Deadline-Ms, capped by the route's timeout.  */
  lt_filter_t *lt_filter_deadline_create (void);
  /** Refuses requests that crashed upstreams.  */
  lt_filter_t *lt_filter_quarantine_create (void);
  /** Spends one token of the workspace's rate.  */
  lt_filter_t *lt_filter_limit_create (void);
  /** Queues requests fairly by workspace in front of each service.  */
  lt_filter_t *lt_filter_admission_create (struct lt_metrics *metrics);
  /** Claims never-repeat actions.  */
  lt_filter_t *lt_filter_claim_create (void);
  /** Sends the request to an upstream; the last filter.  */
  lt_filter_t *lt_filter_dispatch_create (void);

  /** Frees a filter that owns nothing else.  */
  void lt_filter_free (lt_filter_t *filter);
  /** Allocates a filter that has no state of its own.  */
  lt_filter_t *lt_filter_plain_create (const lt_filter_vtable_t *vtable);

#ifdef __cplusplus
}
#endif

#endif
