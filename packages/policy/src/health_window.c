#include "health_window.h"

#include "lt/base/str.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weights are scaled back before doubles lose the small counts.  */
#define MOST_WEIGHT 1048576.0
#define PRIOR_TRIALS 50.0
/* With fewer responses from other failure domains all peers are compared.  */
#define LEAST_APART 5.0
#define MOST_BASELINE 0.99
#define SLOW_QUANTILE 0.9
#define LEAST_RESPONSES 50.0

/* Shares below these are normal operation: an upstream that fails one request
   in 200 is not worth an ejection even when its peers never fail.  */
static const double least_baseline[LT_HEALTH_STREAMS] = { 0.005, 0.01 };
static const double priors[LT_HEALTH_STREAMS] = { 0.01, 0.02 };

/* The smallest alternative is left out for slow responses: an upstream with a
   few more of them than its peers is not worth an ejection.  */
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
lt_health_shares_init (lt_health_shares_t *shares, uint32_t count)
{
  memset (shares, 0, sizeof *shares);
  shares->count = count;
  shares->weight = 1;
  shares->rows = lt_alloc ((count + 1) * sizeof *shares->rows);
}

void
lt_health_shares_clear (lt_health_shares_t *shares)
{
  free (shares->rows);
  shares->rows = NULL;
}

/* Returns the weight at NOW_US; moves *ORIGIN_US and sets *SCALE when the
   weight has become too large.  */
static double
forward_weight (int64_t *origin_us, int64_t now_us, double *scale)
{
  double age = (double)(now_us - *origin_us);
  double weight = exp2 (age / (double)LT_HEALTH_HALF_LIFE_US);
  *scale = 1;
  if (weight < MOST_WEIGHT)
    return weight;
  *scale = 1 / weight;
  *origin_us = now_us;
  return 1;
}

static void
scale_share (lt_health_share_t *share, double scale)
{
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      share->trials[s] *= scale;
      share->bad[s] *= scale;
    }
}

void
lt_health_shares_advance (lt_health_shares_t *shares, int64_t now_us)
{
  double scale;
  shares->weight = forward_weight (&shares->origin_us, now_us, &scale);
  if (scale == 1)
    return;
  for (uint32_t i = 0; i < shares->count; i++)
    scale_share (&shares->rows[i], scale);
  scale_share (&shares->total, scale);
}

void
lt_health_shares_add (lt_health_shares_t *shares, uint32_t upstream,
                      const lt_health_share_t *step)
{
  lt_health_share_t *row = &shares->rows[upstream];
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      double trials = step->trials[s] * shares->weight;
      double bad = step->bad[s] * shares->weight;
      row->trials[s] += trials;
      row->bad[s] += bad;
      shares->total.trials[s] += trials;
      shares->total.bad[s] += bad;
    }
}

void
lt_health_shares_forget (lt_health_shares_t *shares, uint32_t upstream)
{
  lt_health_share_t *row = &shares->rows[upstream];
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      shares->total.trials[s] -= row->trials[s];
      shares->total.bad[s] -= row->bad[s];
    }
  memset (row, 0, sizeof *row);
}

static double
baseline_of (const lt_health_shares_t *shares, lt_health_stream_t stream,
             double trials, double bad, double prior)
{
  double weight = shares->weight * PRIOR_TRIALS;
  double share
      = (fmax (bad, 0) + weight * prior) / (fmax (trials, 0) + weight);
  return fmin (fmax (share, least_baseline[stream]), MOST_BASELINE);
}

double
lt_health_shares_baseline (const lt_health_shares_t *shares, uint32_t upstream,
                           lt_health_stream_t stream, double prior)
{
  const lt_health_share_t *row = &shares->rows[upstream];
  double trials = shares->total.trials[stream] - row->trials[stream];
  double bad = shares->total.bad[stream] - row->bad[stream];
  return baseline_of (shares, stream, trials, bad, prior);
}

double
lt_health_shares_apart (const lt_health_shares_t *shares,
                        const lt_health_pool_t *pool, uint32_t upstream,
                        lt_health_stream_t stream)
{
  uint32_t domain = pool->upstreams[upstream].failure_domain;
  double prior = priors[stream];
  double trials = 0;
  double bad = 0;
  for (uint32_t u = 0; u < shares->count; u++)
    {
      if (pool->upstreams[u].failure_domain == domain)
        continue;
      trials += shares->rows[u].trials[stream];
      bad += shares->rows[u].bad[stream];
    }
  if (trials < LEAST_APART * shares->weight)
    return lt_health_shares_baseline (shares, upstream, stream, prior);
  return baseline_of (shares, stream, trials, bad, prior);
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
lt_health_sketches_forget (lt_health_sketches_t *sketches, uint32_t upstream,
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
lt_health_sketches_slow (const lt_health_sketches_t *sketches,
                         uint32_t upstream, uint32_t remote, uint32_t margin)
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
  if (sum < LEAST_RESPONSES * sketches->weight)
    return LT_HEALTH_BUCKETS;
  double above = sum;
  uint32_t bucket = 0;
  while (bucket < LT_HEALTH_BUCKETS && above > (1 - SLOW_QUANTILE) * sum)
    above -= others[bucket++];
  return bucket + margin;
}
