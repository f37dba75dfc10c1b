/** @file
    Sequential test for a rise of a Bernoulli share: CUSUM of the
    log-likelihood ratio (Page 1954; Lorden 1971) run side by side for several
    alternative shares.

    With threshold h, one test with K alternatives that is evaluated once per
    step has a mean time between false alarms of at least exp (h) / K steps
    (Lorden 1971).  The bound needs no assumption on the number of trials in a
    step.  */
#ifndef LT_POLICY_HEALTH_TEST_H
#define LT_POLICY_HEALTH_TEST_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** Alternatives: a request that would have been good turns bad with one of
    these probabilities.  They are about a factor of 2 to 3 apart, so a share
    between two of them is still found.  */
#define LT_HEALTH_ALTERNATIVES 4
  extern const double lt_health_alternatives[LT_HEALTH_ALTERNATIVES];

  /** One step of one test.  Peers are the other upstreams of the service, in
      the same step.  */
  typedef struct lt_health_step
  {
    double baseline; /**< Expected bad share, in (0, 1). */
    double trials;
    double bad;
    double peer_trials;
    double peer_bad;
  } lt_health_step_t;

  /** Sums since an onset.  */
  typedef struct lt_health_onset
  {
    float baseline; /**< Of the last step. */
    float trials;
    float bad;
    float peer_trials;
    float peer_bad;
  } lt_health_onset_t;

  /** One test: sums since the onset that each alternative estimates.
      Zero-initialized means no evidence.  */
  typedef struct lt_health_test
  {
    double score[LT_HEALTH_ALTERNATIVES];
    lt_health_onset_t since[LT_HEALTH_ALTERNATIVES];
  } lt_health_test_t;

  /** Returns the log-likelihood ratio of BAD bad ones in TRIALS trials,
      alternative K against BASELINE.  */
  double lt_health_llr (uint32_t k, double baseline, double trials,
                        double bad);
  /** Adds one step; scores may become negative.  */
  void lt_health_test_add (lt_health_test_t *test,
                           const lt_health_step_t *step);
  /** Forgets the evidence of alternative K: a new onset.  */
  void lt_health_test_clear (lt_health_test_t *test, uint32_t k);
  /** Returns the score of alternative K against the worse of the latest
      baseline and the peers' own bad share since the onset.  A fault that all
     upstreams share raises the score before the baseline has followed; here it
      cancels.  */
  double lt_health_test_confirmed (const lt_health_test_t *test, uint32_t k);
  /** Returns the threshold that keeps all TESTS tests, each evaluated
      STEPS_PER_S times a second, below ALARMS_PER_HOUR false alarms an hour
      together.  */
  double lt_health_threshold (double alarms_per_hour, double tests,
                              double steps_per_s);

#ifdef __cplusplus
}
#endif

#endif
