/** @file
    Health of one service's upstreams as one VM sees it: counts for the
    aggregator, and local avoidance of upstreams that fail for this VM, within
    the floor.  Local avoidance answers path failures that only this VM sees,
    and covers the time until the fleet decides or while the store is down.  */
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
    double alarms_per_hour; /**< False avoidances an hour on this VM, over all
                               upstreams of the service. */
    int64_t cold_us;        /**< Responses are no evidence for this long after
                               an upstream was added or restarted; after an
                               ejection only latency and the first answers. */
    int64_t avoid_first_us; /**< First avoidance; doubles with each repeat. */
    int64_t avoid_longest_us;
    int64_t decay_us; /**< One repeat is forgotten after this time. */
  } lt_health_local_options_t;

#define LT_HEALTH_LOCAL_OPTIONS_DEFAULT                                       \
  ((lt_health_local_options_t){ .alarms_per_hour = 0.01,                      \
                                .cold_us = 10000000,                          \
                                .avoid_first_us = 5000000,                    \
                                .avoid_longest_us = 80000000,                 \
                                .decay_us = 300000000 })

  /** What this VM may do with an upstream.  */
  typedef enum lt_health_state
  {
    LT_HEALTH_USABLE,
    LT_HEALTH_OUT,     /**< Draining, stopping or stopped. */
    LT_HEALTH_EJECTED, /**< By the record. */
    LT_HEALTH_AVOIDED  /**< By this VM. */
  } lt_health_state_t;

  /** Creates the state for POOL, which must outlive it and keep its count.
      All upstreams count as added long ago; see lt_health_mark_cold.  */
  lt_health_local_t *
  lt_health_local_create (const lt_health_local_options_t *options,
                          const lt_health_pool_t *pool);
  void lt_health_local_destroy (lt_health_local_t *local);

  /** Records one answer.  */
  void lt_health_observe (lt_health_local_t *local,
                          const lt_health_observation_t *observation,
                          int64_t now_us);
  /** Starts the cold time of an upstream: it was added, restarted or
      undrained.  Returns from ejection and avoidance are noticed by
      lt_health_update.  */
  void lt_health_mark_cold (lt_health_local_t *local, uint32_t upstream,
                            int64_t now_us);
  /** Brings the state of every upstream up to date with POOL, the record and
      the local evidence.  Record and local entries together leave at least
      the floor: when the record or a drain takes more, local avoidances go
      first (weakest evidence first), then ejections are disregarded.  Returns
      how many states changed.  */
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

  /** Returns an upstream whose avoidance time is over and that should be
      probed now, or UINT32_MAX.  One probe at a time.  */
  uint32_t lt_health_local_probe_due (lt_health_local_t *local,
                                      int64_t now_us);
  /** Reports the result of that probe.  */
  void lt_health_local_probed (lt_health_local_t *local, uint32_t upstream,
                               bool ok, int64_t now_us);

  /** Returns whether the counts since the last lt_health_take_counts include
      a failure; such a digest is worth sending early.  */
  bool lt_health_has_failures (const lt_health_local_t *local);
  /** Writes the counts of upstreams with requests since the last call to OUT,
      at most POOL's count, and clears them.  Returns the number written.
      In_flight is left 0 for the caller to fill.  */
  uint32_t lt_health_take_counts (lt_health_local_t *local,
                                  lt_health_counts_t *out);

#ifdef __cplusplus
}
#endif

#endif
