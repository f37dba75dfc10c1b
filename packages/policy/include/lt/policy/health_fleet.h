/** @file
    The aggregator of one service: collects the counts of all VMs, tests each
    upstream against the others, and proposes ejections and returns.  A
    proposal takes effect only when it is written to the ejection record
    (health_record.h).

    An upstream is ejected when
    - its score exceeds the threshold, which follows from the rate of false
      alarms in the options;
    - at least two failure domains of reporters support the ejection, and they
      send at least half of the upstream's requests;
    - domains that send more than a quarter of its requests do not contradict:
      a failure that only some VMs see is one of the network path.
    When most upstreams of a failure domain seem to fail, a reporter in another
    region must support the ejection too; otherwise only local avoidance
    applies.  */
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
    double false_alarms_per_hour; /**< Bound for the whole service. */
    int64_t step_us;              /**< Time between two evaluations. */
    int64_t probe_interval_us;
    uint32_t probes_to_return; /**< Successful probes in a row. */
  } lt_health_fleet_options_t;

#define LT_HEALTH_FLEET_OPTIONS_DEFAULT                                       \
  ((lt_health_fleet_options_t){ .false_alarms_per_hour = 0.001,               \
                                .step_us = 250000,                            \
                                .probe_interval_us = 1000000,                 \
                                .probes_to_return = 3 })

  /** What the caller must do.  */
  typedef enum lt_health_action_kind
  {
    LT_HEALTH_EJECT,  /**< Write the result of lt_ejection_add. */
    LT_HEALTH_RETURN, /**< Write the result of lt_ejection_return. */
    LT_HEALTH_PROBE   /**< Send one probe, then call
                         lt_health_fleet_report_probe. */
  } lt_health_action_kind_t;

  typedef struct lt_health_action
  {
    lt_health_action_kind_t kind;
    uint32_t upstream;
    lt_health_evidence_t evidence; /**< Only with LT_HEALTH_EJECT. */
  } lt_health_action_t;

  /** Creates the aggregator of POOL, which must outlive it and keep its
      count.  */
  lt_health_fleet_t *
  lt_health_fleet_create (const lt_health_fleet_options_t *options,
                          const lt_health_pool_t *pool);
  void lt_health_fleet_destroy (lt_health_fleet_t *fleet);
  /** Adds the counts of one VM; FAILURE_DOMAIN is that of the VM.  Entries
      with an upstream out of range or more failures than requests are dropped.
      Returns the number of entries added.  */
  uint32_t lt_health_fleet_add_counts (lt_health_fleet_t *fleet,
                                       uint32_t failure_domain,
                                       const lt_health_counts_t *counts,
                                       uint32_t count);
  /** Runs the tests once per step_us; calls before that return 0.  Writes at
      most CAP actions, the strongest evidence first, and returns their number.
      A proposal that was not written, because of the floor or a concurrent
      write, is repeated as long as the evidence holds.  */
  uint32_t lt_health_fleet_tick (lt_health_fleet_t *fleet,
                                 const struct lt_ejection_view *view,
                                 int64_t now_us, lt_health_action_t *actions,
                                 uint32_t cap);
  /** Records the result of a probe.  */
  void lt_health_fleet_report_probe (lt_health_fleet_t *fleet,
                                     uint32_t upstream, bool ok,
                                     int64_t now_us);
  /** Returns the requests in flight to UPSTREAM from all VMs that reported in
      the last step.  */
  double lt_health_fleet_in_flight (const lt_health_fleet_t *fleet,
                                    uint32_t upstream);

#ifdef __cplusplus
}
#endif

#endif
