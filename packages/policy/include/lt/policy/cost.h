/** @file
    Predicts what a request costs its upstream, in microseconds of one slot,
    from what is known before an upstream is chosen: service, route, method,
    size of the body and workspace.  Each combination is a key with a decayed
    mean and a small histogram of logarithmic buckets.  A key with little
    evidence is drawn towards its route, and the route towards its service.
    The table has a fixed size; a new key replaces the least used of its set.

    The module does no I/O; callers pass the current time.  */
#ifndef LT_POLICY_COST_H
#define LT_POLICY_COST_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_cost_options
  {
    /** Keys at most, of all levels; rounded up to a power of two.  */
    uint32_t keys_max;
    /** Time constant of the decay of a key's evidence.  */
    int64_t decay_us;
    /** Evidence, in observations, beyond which older ones are forgotten.  */
    double window;
    /** Weight of the level above, in observations.  */
    double prior_weight;
    /** Mean of a service that was never observed.  */
    double default_us;
  } lt_cost_options_t;

/* 32,768 keys take 1.8 MB.  With this window a kind whose cost doubles is
   predicted to within a fifth after 150 observations.  */
#define LT_COST_OPTIONS_DEFAULT                                               \
  ((lt_cost_options_t){ .keys_max = 32768,                                    \
                        .decay_us = 120LL * 1000 * 1000,                      \
                        .window = 50,                                         \
                        .prior_weight = 4,                                    \
                        .default_us = 300e3 })

  /** What is known of a request before its upstream is chosen.  */
  typedef struct lt_cost_features
  {
    uint64_t service; /**< Hashes of the names; 0 for a workspace: none. */
    uint64_t route;
    uint64_t workspace;
    uint64_t method;
    uint64_t body_bytes;
  } lt_cost_features_t;

  /** The keys of a request at each level.  */
  typedef struct lt_cost_key
  {
    uint64_t full;
    uint64_t route; /**< Of the route within the service. */
    uint64_t service;
  } lt_cost_key_t;

  /** What is known of one key.  */
  typedef struct lt_cost_view
  {
    double weight;    /**< Evidence, in observations. */
    double mean_us;   /**< Decayed mean of the observations. */
    double median_us; /**< Of the histogram. */
    double p99_us;
    /** Decayed mean of the logarithm of observed over predicted cost.  */
    double log_ratio;
  } lt_cost_view_t;

  typedef struct lt_cost_stats
  {
    uint64_t observations;
    uint64_t evictions; /**< Of keys that still had evidence. */
    uint32_t keys;
    size_t bytes;
  } lt_cost_stats_t;

  typedef struct lt_cost lt_cost_t;

  lt_cost_t *lt_cost_create (const lt_cost_options_t *options);
  void lt_cost_destroy (lt_cost_t *cost);
  lt_cost_key_t lt_cost_key_make (const lt_cost_features_t *features);
  /** Records that a request of KEY cost COST_US.  WEIGHT in (0, 1] is the
      trust in the observation.  */
  void lt_cost_learn (lt_cost_t *cost, const lt_cost_key_t *key,
                      double cost_us, double weight, int64_t now_us);
  /** Returns the expected cost of a request of KEY.  */
  double lt_cost_mean_us (const lt_cost_t *cost, const lt_cost_key_t *key,
                          int64_t now_us);
  /** Returns the expected cost of a request of KEY's service.  */
  double lt_cost_service_mean_us (const lt_cost_t *cost,
                                  const lt_cost_key_t *key, int64_t now_us);
  /** Returns the quantile Q in [0, 1] of the cost of a request of KEY.  */
  double lt_cost_quantile_us (const lt_cost_t *cost, const lt_cost_key_t *key,
                              double q, int64_t now_us);
  /** Returns the expected further cost of a request of KEY that has run for
      ELAPSED_US and has not ended; always above zero.  */
  double lt_cost_remaining_us (const lt_cost_t *cost, const lt_cost_key_t *key,
                               double elapsed_us, int64_t now_us);
  /** Writes what is known of one level's key (a member of lt_cost_key_t) to
      VIEW.  Returns 0 or -LT_ENOTFOUND.  */
  int lt_cost_look_up (const lt_cost_t *cost, uint64_t level_key,
                       int64_t now_us, lt_cost_view_t *view);
  lt_cost_stats_t lt_cost_get_stats (const lt_cost_t *cost);

#ifdef __cplusplus
}
#endif

#endif
