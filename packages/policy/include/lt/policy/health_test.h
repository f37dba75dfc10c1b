/** @file
    Sequential test that detects a rise of the share of bad responses: a CUSUM
    of the log-likelihood ratio (Page 1954; Lorden 1971), run in parallel for
    several alternatives, that is, assumed sizes of the rise.

    With threshold h, one test with K alternatives that is evaluated once per
    step has a mean time between false alarms of at least exp (h) / K steps
    (Lorden 1971).  The bound holds for any number of trials per step.  */
#ifndef LT_POLICY_HEALTH_TEST_H
#define LT_POLICY_HEALTH_TEST_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** Alternatives: the probability with which a fault makes a response bad that
    would otherwise be good.  They are about a factor of 2 to 3 apart, close
    enough that a fault between two of them is detected as well.  */
#define LT_HEALTH_ALTERNATIVES 4
  extern const double lt_health_alternatives[LT_HEALTH_ALTERNATIVES];

  /** One step of one test.  Peers are the other upstreams of the service, in
      the same step.  */
  typedef struct lt_health_step
  {
    double baseline; /**< Expected share of bad ones, in (0, 1). */
    double trials;
    double bad;
    double peer_trials;
    double peer_bad;
  } lt_health_step_t;

  /** Sums since the estimated onset of a fault.  */
  typedef struct lt_health_onset
  {
    float baseline; /**< Of the last step. */
    float trials;
    float bad;
    float peer_trials;
    float peer_bad;
  } lt_health_onset_t;

  /** One test.  Each alternative has an onset estimate of its own.
      Zero-initialized means no evidence.  */
  typedef struct lt_health_test
  {
    double score[LT_HEALTH_ALTERNATIVES];
    lt_health_onset_t since[LT_HEALTH_ALTERNATIVES];
  } lt_health_test_t;

  /** Returns the log-likelihood ratio of alternative K against the share
      BASELINE, for BAD bad ones in TRIALS trials.  */
  double lt_health_llr (uint32_t k, double baseline, double trials,
                        double bad);
  /** Adds one step.  Scores may become negative; the caller then decides when
      to clear them.  */
  void lt_health_test_add (lt_health_test_t *test,
                           const lt_health_step_t *step);
  /** Drops the evidence of alternative K, which starts a new onset.  */
  void lt_health_test_clear (lt_health_test_t *test, uint32_t k);
  /** Returns the score of alternative K against the higher of the latest
      baseline and the peers' share of bad ones since the onset.  A fault of
      all upstreams raises the plain score until the baseline has followed; the
      comparison with the peers cancels it here.  */
  double lt_health_test_confirmed_score (const lt_health_test_t *test,
                                         uint32_t k);
  /** Returns the threshold with which TESTS tests, each evaluated STEPS_PER_S
      times a second, raise at most FALSE_ALARMS_PER_HOUR false alarms an hour
      in total.  */
  double lt_health_threshold (double false_alarms_per_hour, double tests,
                              double steps_per_s);

#ifdef __cplusplus
}
#endif

#endif
