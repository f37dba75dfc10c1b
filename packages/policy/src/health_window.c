#include "health_window.h"

#include "lt/base/str.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* When the weight reaches this value, all counts are scaled down, before new
   counts would lose precision beside old ones in a double.  */
#define MAX_WEIGHT 1048576.0
/* Weight of the prior in a baseline, in trials.  */
#define PRIOR_TRIALS 50.0
/* With fewer responses from other failure domains, the baseline includes the
   peers of the same domain.  */
#define MIN_OUTSIDE_TRIALS 5.0
#define MAX_BASELINE 0.99
#define SLOW_QUANTILE 0.9
/* With fewer responses of peers, no latency counts as slow.  */
#define MIN_PEER_RESPONSES 50.0

/* Minimum baselines of the streams.  Shares below these are normal operation:
   an upstream that fails one request in 200 must not be ejected even when its
   peers never fail.  */
static const double min_baselines[LT_HEALTH_STREAMS] = { 0.005, 0.01 };
static const double priors[LT_HEALTH_STREAMS] = { 0.01, 0.02 };

/* The smallest alternative is not tested for slow responses: an upstream with
   slightly more of them than its peers must not be ejected.  */
static const uint32_t first_alternatives[LT_HEALTH_STREAMS] = { 0, 1 };

uint32_t
lt_health_first_alternative (lt_health_stream_t stream)
{
  return first_alternatives[stream];
}

double
lt_health_prior (lt_health_stream_t stream)
{
  return priors[stream];
}

void
lt_health_tallies_init (lt_health_tallies_t *tallies, uint32_t count)
{
  memset (tallies, 0, sizeof *tallies);
  tallies->count = count;
  tallies->weight = 1;
  tallies->rows = lt_alloc ((count + 1) * sizeof *tallies->rows);
}

void
lt_health_tallies_clear (lt_health_tallies_t *tallies)
{
  free (tallies->rows);
  tallies->rows = NULL;
}

/* Returns the weight at NOW_US, and sets *SCALE to the factor by which the
   caller must scale all counts.  It is 1 unless the weight has become too
   large; then *ORIGIN_US moves to NOW_US.  */
static double
forward_weight (int64_t *origin_us, int64_t now_us, double *scale)
{
  double age = (double)(now_us - *origin_us);
  double weight = exp2 (age / (double)LT_HEALTH_HALF_LIFE_US);
  *scale = 1;
  if (weight < MAX_WEIGHT)
    return weight;
  *scale = 1 / weight;
  *origin_us = now_us;
  return 1;
}

static void
scale_tally (lt_health_tally_t *tally, double scale)
{
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      tally->trials[s] *= scale;
      tally->bad[s] *= scale;
    }
}

void
lt_health_tallies_advance (lt_health_tallies_t *tallies, int64_t now_us)
{
  double scale;
  tallies->weight = forward_weight (&tallies->origin_us, now_us, &scale);
  if (scale == 1)
    return;
  for (uint32_t i = 0; i < tallies->count; i++)
    scale_tally (&tallies->rows[i], scale);
  scale_tally (&tallies->total, scale);
}

void
lt_health_tallies_add (lt_health_tallies_t *tallies, uint32_t upstream,
                       const lt_health_tally_t *step)
{
  lt_health_tally_t *row = &tallies->rows[upstream];
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      double trials = step->trials[s] * tallies->weight;
      double bad = step->bad[s] * tallies->weight;
      row->trials[s] += trials;
      row->bad[s] += bad;
      tallies->total.trials[s] += trials;
      tallies->total.bad[s] += bad;
    }
}

void
lt_health_tallies_remove (lt_health_tallies_t *tallies, uint32_t upstream)
{
  lt_health_tally_t *row = &tallies->rows[upstream];
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      tallies->total.trials[s] -= row->trials[s];
      tallies->total.bad[s] -= row->bad[s];
    }
  memset (row, 0, sizeof *row);
}

static double
baseline_of (const lt_health_tallies_t *tallies, lt_health_stream_t stream,
             double trials, double bad, double prior)
{
  double weight = tallies->weight * PRIOR_TRIALS;
  double share
      = (fmax (bad, 0) + weight * prior) / (fmax (trials, 0) + weight);
  return fmin (fmax (share, min_baselines[stream]), MAX_BASELINE);
}

double
lt_health_tallies_baseline (const lt_health_tallies_t *tallies,
                            uint32_t upstream, lt_health_stream_t stream,
                            double prior)
{
  const lt_health_tally_t *row = &tallies->rows[upstream];
  double trials = tallies->total.trials[stream] - row->trials[stream];
  double bad = tallies->total.bad[stream] - row->bad[stream];
  return baseline_of (tallies, stream, trials, bad, prior);
}

double
lt_health_tallies_outside_baseline (const lt_health_tallies_t *tallies,
                                    const lt_health_pool_t *pool,
                                    uint32_t upstream,
                                    lt_health_stream_t stream)
{
  uint32_t domain = pool->upstreams[upstream].failure_domain;
  double prior = priors[stream];
  double trials = 0;
  double bad = 0;
  for (uint32_t u = 0; u < tallies->count; u++)
    {
      if (pool->upstreams[u].failure_domain == domain)
        continue;
      trials += tallies->rows[u].trials[stream];
      bad += tallies->rows[u].bad[stream];
    }
  if (trials < MIN_OUTSIDE_TRIALS * tallies->weight)
    return lt_health_tallies_baseline (tallies, upstream, stream, prior);
  return baseline_of (tallies, stream, trials, bad, prior);
}

void
lt_health_sketches_init (lt_health_sketches_t *sketches, uint32_t count,
                         uint32_t classes)
{
  memset (sketches, 0, sizeof *sketches);
  sketches->count = count;
  sketches->classes = classes;
  sketches->weight = 1;
  size_t rows = (size_t)count * classes + 1;
  sketches->rows = lt_alloc (rows * sizeof (void *));
}

static size_t
row_index (const lt_health_sketches_t *sketches, uint32_t upstream,
           uint32_t remote)
{
  return sketches->classes == 1 ? upstream : 2 * (size_t)upstream + remote;
}

void
lt_health_sketches_clear (lt_health_sketches_t *sketches)
{
  size_t rows = (size_t)sketches->count * sketches->classes;
  for (size_t i = 0; sketches->rows && i < rows; i++)
    free (sketches->rows[i]);
  free (sketches->rows);
  sketches->rows = NULL;
}

void
lt_health_sketches_advance (lt_health_sketches_t *sketches, int64_t now_us)
{
  double scale;
  sketches->weight = forward_weight (&sketches->origin_us, now_us, &scale);
  if (scale == 1)
    return;
  size_t rows = (size_t)sketches->count * sketches->classes;
  for (size_t i = 0; i < rows; i++)
    for (uint32_t b = 0; sketches->rows[i] && b < LT_HEALTH_BUCKETS; b++)
      sketches->rows[i][b] *= (float)scale;
  for (uint32_t i = 0; i < 2 * LT_HEALTH_BUCKETS; i++)
    sketches->total[i / LT_HEALTH_BUCKETS][i % LT_HEALTH_BUCKETS] *= scale;
}

void
lt_health_sketches_add (lt_health_sketches_t *sketches, uint32_t upstream,
                        uint32_t remote, uint32_t bucket, double responses)
{
  double weighted = responses * sketches->weight;
  float **row = &sketches->rows[row_index (sketches, upstream, remote)];
  if (!*row)
    *row = lt_alloc (LT_HEALTH_BUCKETS * sizeof **row);
  (*row)[bucket] += (float)weighted;
  sketches->total[remote][bucket] += weighted;
}

void
lt_health_sketches_remove (lt_health_sketches_t *sketches, uint32_t upstream,
                           bool remote)
{
  for (uint32_t r = 0; r < 2; r++)
    {
      if (sketches->classes == 1 && r != remote)
        continue;
      float *row = sketches->rows[row_index (sketches, upstream, r)];
      for (uint32_t b = 0; row && b < LT_HEALTH_BUCKETS; b++)
        {
          sketches->total[r][b] -= row[b];
          row[b] = 0;
        }
    }
}

uint32_t
lt_health_sketches_slow_bucket (const lt_health_sketches_t *sketches,
                                uint32_t upstream, uint32_t remote,
                                uint32_t margin)
{
  const float *row = sketches->rows[row_index (sketches, upstream, remote)];
  double others[LT_HEALTH_BUCKETS];
  double sum = 0;
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    {
      double own = row ? row[b] : 0;
      others[b] = fmax (sketches->total[remote][b] - own, 0);
      sum += others[b];
    }
  if (sum < MIN_PEER_RESPONSES * sketches->weight)
    return LT_HEALTH_BUCKETS;
  double above = sum;
  uint32_t bucket = 0;
  while (bucket < LT_HEALTH_BUCKETS && above > (1 - SLOW_QUANTILE) * sum)
    above -= others[bucket++];
  return bucket + margin;
}
