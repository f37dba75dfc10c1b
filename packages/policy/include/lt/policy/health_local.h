/** @file
    Health of one service's upstreams on one VM: counts outcomes for the
    aggregator, and avoids upstreams that fail for this VM as far as the floor
    allows.  Local avoidance is for path failures that only this VM sees, for
    the time until the aggregator ejects an upstream, and for the time when the
    store with the ejection record is unavailable.  */
#ifndef LT_POLICY_HEALTH_LOCAL_H
#define LT_POLICY_HEALTH_LOCAL_H

#include "lt/policy/health.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_health_local lt_health_local_t;
  struct lt_ejection_view;

  typedef struct lt_health_local_options
  {
    /** Bound on this VM, over all upstreams of the service.  */
    double false_alarms_per_hour;
    /** Duration of a cold start.  After an upstream was added or restarted,
        its responses are ignored for this long; after an ejection or
        avoidance, only the first response and latencies are.  */
    int64_t cold_start_us;
    /** Minimum duration of the first avoidance; doubles with each repeat.  */
    int64_t avoid_first_us;
    int64_t avoid_max_us;
    /** The number of repeats falls by one for each such time without
        avoidance.  */
    int64_t repeat_decay_us;
  } lt_health_local_options_t;

#define LT_HEALTH_LOCAL_OPTIONS_DEFAULT                                       \
  ((lt_health_local_options_t){ .false_alarms_per_hour = 0.01,                \
                                .cold_start_us = 10000000,                    \
                                .avoid_first_us = 5000000,                    \
                                .avoid_max_us = 80000000,                     \
                                .repeat_decay_us = 300000000 })

  /** What this VM may do with an upstream.  */
  typedef enum lt_health_state
  {
    LT_HEALTH_USABLE,
    LT_HEALTH_OUT_OF_SERVICE, /**< Draining, stopping, stopped or taken out. */
    LT_HEALTH_EJECTED, /**< Ejected for all VMs by the ejection record. */
    LT_HEALTH_AVOIDED  /**< Avoided by this VM only. */
  } lt_health_state_t;

  /** Creates the state for POOL, which must outlive it and keep its count.
      No upstream is in its cold start; see lt_health_begin_cold_start.  */
  lt_health_local_t *
  lt_health_local_create (const lt_health_local_options_t *options,
                          const lt_health_pool_t *pool);
  void lt_health_local_destroy (lt_health_local_t *local);

  /** Records the outcome of one attempt.  */
  void lt_health_observe (lt_health_local_t *local,
                          const lt_health_observation_t *observation,
                          int64_t now_us);
  /** Begins the cold start of an upstream that was added, restarted or
      undrained.  After an ejection or avoidance, lt_health_update does so.  */
  void lt_health_begin_cold_start (lt_health_local_t *local, uint32_t upstream,
                                   int64_t now_us);
  /** Updates the state of every upstream from the pool, the ejection record in
      VIEW (may be NULL) and the local evidence.  Ejections and avoidances
      together keep the floor: when ejections or drains take too many slots,
      local avoidances end first, weakest evidence first, and after these
      ejections are ignored.  Returns the number of states that changed.  */
  uint32_t lt_health_update (lt_health_local_t *local,
                             const struct lt_ejection_view *view,
                             int64_t now_us);
  /** Returns the state as of the last update.  */
  lt_health_state_t lt_health_state (const lt_health_local_t *local,
                                     uint32_t upstream);
  /** Returns the evidence of an avoided upstream, else NULL.  */
  const lt_health_evidence_t *
  lt_health_local_evidence (const lt_health_local_t *local, uint32_t upstream);
  /** Returns the share of the service's slots on usable upstreams.  */
  double lt_health_usable_share (const lt_health_local_t *local);

  /** Returns an upstream whose avoidance time is over and that must be probed
      now, or UINT32_MAX.  The next probe of that upstream is due a second
      later.  */
  uint32_t lt_health_local_probe_due (lt_health_local_t *local,
                                      int64_t now_us);
  /** Records the result of that probe.  */
  void lt_health_local_report_probe (lt_health_local_t *local,
                                     uint32_t upstream, bool ok,
                                     int64_t now_us);

  /** Returns whether the counts since the last lt_health_take_counts include a
      failure.  Such a digest should be sent early.  */
  bool lt_health_has_failures (const lt_health_local_t *local);
  /** Writes the counts of upstreams with requests since the last call to OUT,
      at most POOL's count, and clears them.  Returns the number written.
      The caller must fill in `in_flight`, which is 0.  */
  uint32_t lt_health_take_counts (lt_health_local_t *local,
                                  lt_health_counts_t *out);

#ifdef __cplusplus
}
#endif

#endif
