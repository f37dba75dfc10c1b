#include "lt/policy/health_test.h"

#include <math.h>
#include <string.h>

const double lt_health_alternatives[LT_HEALTH_ALTERNATIVES]
    = { 0.04, 0.15, 0.5, 0.95 };

/* Weight of the baseline, in trials, when the peers' share since the onset is
   estimated: a few trials of peers must not cancel the evidence.  */
#define PEER_PRIOR_TRIALS 3.0

double
lt_health_llr (uint32_t k, double baseline, double trials, double bad)
{
  double share = lt_health_alternatives[k];
  double bad_share = 1.0 - (1.0 - baseline) * (1.0 - share);
  return bad * log (bad_share / baseline) + (trials - bad) * log1p (-share);
}

void
lt_health_test_add (lt_health_test_t *test, const lt_health_step_t *step)
{
  for (uint32_t k = 0; k < LT_HEALTH_ALTERNATIVES; k++)
    {
      lt_health_onset_t *since = &test->since[k];
      test->score[k]
          += lt_health_llr (k, step->baseline, step->trials, step->bad);
      since->baseline = (float)step->baseline;
      since->trials += (float)step->trials;
      since->bad += (float)step->bad;
      since->peer_trials += (float)step->peer_trials;
      since->peer_bad += (float)step->peer_bad;
    }
}

void
lt_health_test_clear (lt_health_test_t *test, uint32_t k)
{
  test->score[k] = 0;
  memset (&test->since[k], 0, sizeof test->since[k]);
}

double
lt_health_test_confirmed_score (const lt_health_test_t *test, uint32_t k)
{
  const lt_health_onset_t *since = &test->since[k];
  if (since->trials <= 0)
    return 0;
  double peers = (since->peer_bad + PEER_PRIOR_TRIALS * since->baseline)
                 / (since->peer_trials + PEER_PRIOR_TRIALS);
  double expected = fmax (peers, since->baseline);
  double score = lt_health_llr (k, expected, since->trials, since->bad);
  return fmin (score, test->score[k]);
}

double
lt_health_threshold (double false_alarms_per_hour, double tests,
                     double steps_per_s)
{
  double steps_per_hour = 3600.0 * steps_per_s;
  return log (tests * LT_HEALTH_ALTERNATIVES * steps_per_hour
              / false_alarms_per_hour);
}
