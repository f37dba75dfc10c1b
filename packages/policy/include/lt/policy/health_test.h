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

  /** One test.  Zero-initialized means no evidence.  */
  typedef struct lt_health_test
  {
    double score[LT_HEALTH_ALTERNATIVES];
    double trials[LT_HEALTH_ALTERNATIVES]; /**< Since the score was 0. */
    double bad[LT_HEALTH_ALTERNATIVES];
  } lt_health_test_t;

  /** Returns the log-likelihood ratio of BAD bad ones in TRIALS trials,
      alternative K against baseline share BASELINE (0 < BASELINE < 1).  */
  double lt_health_llr (uint32_t k, double baseline, double trials,
                        double bad);
  /** Adds one step.  */
  void lt_health_test_add (lt_health_test_t *test, double baseline,
                           double trials, double bad);
  /** Returns the alternative with the highest score.  */
  uint32_t lt_health_test_best (const lt_health_test_t *test);
  /** Returns the threshold that keeps all TESTS tests, each evaluated
      STEPS_PER_S times a second, below ALARMS_PER_HOUR false alarms an hour
      together.  */
  double lt_health_threshold (double alarms_per_hour, double tests,
                              double steps_per_s);

#ifdef __cplusplus
}
#endif

#endif
