/** @file
    The aggregator of one service: collects the counts of all VMs, tests each
    upstream against the others, and proposes ejections and returns.  It holds
    no authority: a proposal takes effect only through the ejection record.

    An ejection needs a score above the threshold of the stated false alarm
    rate, support from at least two failure domains of reporters that carry at
    least half of the upstream's requests, and no contradiction by domains that
    carry more than a quarter: what only some VMs see is a path failure.
    When most upstreams of a failure domain fail alike, a reporter of another
    region must support it too; else it is left to local avoidance.  */
#ifndef LT_POLICY_HEALTH_FLEET_H
#define LT_POLICY_HEALTH_FLEET_H

#include "lt/policy/health.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_health_fleet lt_health_fleet_t;
  struct lt_ejection_view;

  typedef struct lt_health_fleet_options
  {
    double alarms_per_hour; /**< False ejections an hour of the service. */
    int64_t step_us;        /**< Time between two evaluations. */
    int64_t probe_interval_us;
    uint32_t probes_to_return; /**< Successes in a row. */
  } lt_health_fleet_options_t;

#define LT_HEALTH_FLEET_OPTIONS_DEFAULT                                       \
  ((lt_health_fleet_options_t){ .alarms_per_hour = 0.001,                     \
                                .step_us = 250000,                            \
                                .probe_interval_us = 1000000,                 \
                                .probes_to_return = 3 })

  typedef enum lt_health_action_kind
  {
    LT_HEALTH_EJECT,  /**< lt_ejection_add and conditional write. */
    LT_HEALTH_RETURN, /**< lt_ejection_return and conditional write. */
    LT_HEALTH_PROBE   /**< Send one probe, then lt_health_fleet_probed. */
  } lt_health_action_kind_t;

  typedef struct lt_health_action
  {
    lt_health_action_kind_t kind;
    uint32_t upstream;
    lt_health_evidence_t evidence; /**< Of LT_HEALTH_EJECT. */
  } lt_health_action_t;

  /** Creates the state for POOL, which must outlive it and keep its count.  */
  lt_health_fleet_t *
  lt_health_fleet_create (const lt_health_fleet_options_t *options,
                          const lt_health_pool_t *pool);
  void lt_health_fleet_destroy (lt_health_fleet_t *fleet);
  /** Adds the counts of one VM in FAILURE_DOMAIN (of the VM).  Entries with
      an upstream out of range or more failures than requests are dropped.
      Returns how many were taken.  */
  uint32_t lt_health_fleet_add (lt_health_fleet_t *fleet,
                                uint32_t failure_domain,
                                const lt_health_counts_t *counts,
                                uint32_t count);
  /** Evaluates once per step; earlier calls return 0.  Writes at most CAP
      actions and returns their number.  A proposal that fails (floor, lost
      race) comes again while its evidence holds.  */
  uint32_t lt_health_fleet_tick (lt_health_fleet_t *fleet,
                                 const struct lt_ejection_view *view,
                                 int64_t now_us, lt_health_action_t *actions,
                                 uint32_t cap);
  /** Reports the result of a probe.  */
  void lt_health_fleet_probed (lt_health_fleet_t *fleet, uint32_t upstream,
                               bool ok, int64_t now_us);
  /** Returns the requests in flight to UPSTREAM over all VMs that reported in
      the last step.  */
  double lt_health_fleet_load (const lt_health_fleet_t *fleet,
                               uint32_t upstream);

#ifdef __cplusplus
}
#endif

#endif
