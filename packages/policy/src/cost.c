#include "lt/policy/cost.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/str.h"

enum
{
  WAYS = 8, /* Entries of one set, among which the least used is replaced. */
  /* Two buckets per power of two, from 1 ms to 65 s.  */
  BUCKETS = 32,
  BUCKETS_PER_POWER = 2,
  /* Counts of the histogram are in quarters of an observation.  */
  COUNT_SCALE = 4,
  COUNTS_MAX = 100 * COUNT_SCALE, /* All are halved above this sum. */
  /* Counts from which a histogram's quantiles or its tail are used.  */
  QUANTILE_COUNTS_MIN = 20 * COUNT_SCALE,
  TAIL_COUNTS_MIN = 2 * COUNT_SCALE,
  TIME_STEP_US = 100 * 1000,
  COARSE_BIT = 1, /* In the keys of routes and services. */
  /* How much more the evidence of these counts when a key is replaced: all
     keys of the route fall back to it.  */
  COARSE_FACTOR = 16
};

#define FIRST_BUCKET_US 1000.0
/* Observations with less evidence count as forgotten.  */
#define WEIGHT_MIN 0.5
/* Lower bound of the remaining cost, as a share of the mean.  */
#define REMAINING_MIN_SHARE 0.05

typedef struct entry
{
  uint64_t key; /* 0: unused. */
  float mean_us;
  float weight;
  float log_ratio;
  uint32_t updated; /* In steps of TIME_STEP_US. */
  uint8_t counts[BUCKETS];
} entry_t;

struct lt_cost
{
  lt_cost_options_t options;
  entry_t *entries;
  uint32_t set_count;
  double starts_us[BUCKETS + 1]; /* Lower bounds of the buckets. */
  lt_cost_stats_t stats;
};

lt_cost_t *
lt_cost_create (const lt_cost_options_t *options)
{
  lt_cost_t *cost = lt_alloc (sizeof (*cost));
  cost->options = *options;
  cost->set_count = 1;
  while ((uint64_t)cost->set_count * WAYS < options->keys_max)
    cost->set_count *= 2;
  size_t bytes = (size_t)cost->set_count * WAYS * sizeof (entry_t);
  cost->entries = lt_alloc (bytes);
  cost->stats.bytes = bytes + sizeof (*cost);
  for (uint32_t i = 1; i <= BUCKETS; i++)
    cost->starts_us[i]
        = FIRST_BUCKET_US * exp2 ((double)i / BUCKETS_PER_POWER);
  return cost;
}

void
lt_cost_destroy (lt_cost_t *cost)
{
  if (cost == NULL)
    return;
  free (cost->entries);
  free (cost);
}

/* The finalizer of SplitMix64 over the combination of both.  */
static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t x = a * 0x9e3779b97f4a7c15ULL + b;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/* Classes: no body, then one for each factor of 16 from 1 KiB on.  */
static uint64_t
size_class (uint64_t bytes)
{
  uint64_t class = bytes > 0;
  for (uint64_t limit = 1024; bytes > limit; limit *= 16)
    class ++;
  return class;
}

lt_cost_key_t
lt_cost_key_make (const lt_cost_features_t *features)
{
  uint64_t service = mix (1, features->service);
  uint64_t route = mix (service, features->route);
  uint64_t full
      = mix (mix (route, features->method), size_class (features->body_bytes));
  full = mix (full, features->workspace);
  /* Keys are not 0, and those of routes and services are odd.  */
  return (lt_cost_key_t){ .full = (full << 1) | (1ULL << 63),
                          .route = route | COARSE_BIT,
                          .service = service | COARSE_BIT };
}

static entry_t *
set_of (const lt_cost_t *cost, uint64_t key)
{
  return &cost->entries[((key >> 1) & (cost->set_count - 1)) * WAYS];
}

static const entry_t *
find (const lt_cost_t *cost, uint64_t key)
{
  const entry_t *set = set_of (cost, key);
  for (uint32_t i = 0; i < WAYS; i++)
    if (set[i].key == key)
      return &set[i];
  return NULL;
}

static double
weight_now (const lt_cost_t *cost, const entry_t *entry, int64_t now_us)
{
  int64_t elapsed_us = now_us - (int64_t)entry->updated * TIME_STEP_US;
  if (elapsed_us <= 0)
    return entry->weight;
  return entry->weight
         * exp (-(double)elapsed_us / (double)cost->options.decay_us);
}

static entry_t *
find_or_replace (lt_cost_t *cost, uint64_t key, int64_t now_us)
{
  entry_t *set = set_of (cost, key);
  entry_t *least = NULL;
  double least_weight = INFINITY;
  for (uint32_t i = 0; i < WAYS; i++)
    {
      if (set[i].key == key)
        return &set[i];
      double weight
          = set[i].key == 0 ? -1 : weight_now (cost, &set[i], now_us);
      if ((set[i].key & COARSE_BIT) != 0)
        weight *= COARSE_FACTOR;
      if (weight >= least_weight)
        continue;
      least_weight = weight;
      least = &set[i];
    }
  if (least->key == 0)
    cost->stats.keys++;
  else if (weight_now (cost, least, now_us) >= WEIGHT_MIN)
    cost->stats.evictions++;
  *least = (entry_t){ .key = key };
  return least;
}

static uint32_t
bucket_of (double cost_us)
{
  if (cost_us <= FIRST_BUCKET_US)
    return 0;
  double index = log2 (cost_us / FIRST_BUCKET_US) * BUCKETS_PER_POWER;
  return index >= BUCKETS - 1 ? BUCKETS - 1 : (uint32_t)index;
}

static uint32_t
sum_counts (const entry_t *entry)
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    sum += entry->counts[i];
  return sum;
}

static void
count (entry_t *entry, double cost_us, double weight)
{
  uint32_t bucket = bucket_of (cost_us);
  uint32_t added = (uint32_t)lround (weight * COUNT_SCALE);
  if (entry->counts[bucket] + added > UINT8_MAX
      || sum_counts (entry) + added > COUNTS_MAX)
    for (uint32_t i = 0; i < BUCKETS; i++)
      entry->counts[i] /= 2;
  entry->counts[bucket] = (uint8_t)(entry->counts[bucket] + added);
}

static void
learn_at_level (lt_cost_t *cost, uint64_t key, double cost_us, double weight,
                double log_ratio, int64_t now_us)
{
  entry_t *entry = find_or_replace (cost, key, now_us);
  double sum = weight_now (cost, entry, now_us) + weight;
  if (sum > cost->options.window)
    sum = cost->options.window;
  double share = weight / sum;
  entry->mean_us += (float)((cost_us - entry->mean_us) * share);
  entry->log_ratio += (float)((log_ratio - entry->log_ratio) * share);
  entry->weight = (float)sum;
  entry->updated = (uint32_t)(now_us / TIME_STEP_US);
  count (entry, cost_us, weight);
}

void
lt_cost_learn (lt_cost_t *cost, const lt_cost_key_t *key, double cost_us,
               double weight, int64_t now_us)
{
  if (!(cost_us >= 1) || !(weight > 0))
    return;
  double log_ratio = log (cost_us / lt_cost_mean_us (cost, key, now_us));
  cost->stats.observations++;
  learn_at_level (cost, key->full, cost_us, weight, log_ratio, now_us);
  learn_at_level (cost, key->route, cost_us, weight, log_ratio, now_us);
  learn_at_level (cost, key->service, cost_us, weight, log_ratio, now_us);
}

/* Draws the mean of ENTRY towards PRIOR_US, the mean of the level above.  */
static double
shrink (const lt_cost_t *cost, const entry_t *entry, double prior_us,
        int64_t now_us)
{
  if (entry == NULL)
    return prior_us;
  double weight = weight_now (cost, entry, now_us);
  double prior_weight = cost->options.prior_weight;
  return (entry->mean_us * weight + prior_us * prior_weight)
         / (weight + prior_weight);
}

double
lt_cost_service_mean_us (const lt_cost_t *cost, const lt_cost_key_t *key,
                         int64_t now_us)
{
  return shrink (cost, find (cost, key->service), cost->options.default_us,
                 now_us);
}

double
lt_cost_mean_us (const lt_cost_t *cost, const lt_cost_key_t *key,
                 int64_t now_us)
{
  double service_us = lt_cost_service_mean_us (cost, key, now_us);
  double route_us = shrink (cost, find (cost, key->route), service_us, now_us);
  return shrink (cost, find (cost, key->full), route_us, now_us);
}

/* Returns the entry of the most specific level first.  */
static const entry_t *
level_entry (const lt_cost_t *cost, const lt_cost_key_t *key, int level)
{
  const uint64_t keys[] = { key->full, key->route, key->service };
  return find (cost, keys[level]);
}

static double
histogram_quantile_us (const lt_cost_t *cost, const entry_t *entry, double q)
{
  double wanted = q * sum_counts (entry);
  double passed = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      double in_bucket = entry->counts[i];
      if (in_bucket == 0 || passed + in_bucket < wanted)
        {
          passed += in_bucket;
          continue;
        }
      double start_us = cost->starts_us[i];
      double share = (wanted - passed) / in_bucket;
      return start_us + (cost->starts_us[i + 1] - start_us) * share;
    }
  return entry->mean_us;
}

double
lt_cost_quantile_us (const lt_cost_t *cost, const lt_cost_key_t *key, double q,
                     int64_t now_us)
{
  double mean_us = lt_cost_mean_us (cost, key, now_us);
  for (int level = 0; level < 3; level++)
    {
      const entry_t *entry = level_entry (cost, key, level);
      if (entry == NULL || sum_counts (entry) < QUANTILE_COUNTS_MIN)
        continue;
      return histogram_quantile_us (cost, entry, q) * mean_us / entry->mean_us;
    }
  /* Without a histogram costs count as exponentially distributed.  */
  return q >= 1 ? INFINITY : -mean_us * log (1 - q);
}

/* Writes the mean of what the histogram holds beyond ELAPSED_US, less
   ELAPSED_US.  Returns false when it holds too little there.  */
static bool
tail_mean_us (const lt_cost_t *cost, const entry_t *entry, double elapsed_us,
              double *remaining_us)
{
  double counts = 0;
  double sum_us = 0;
  for (uint32_t i = 0; i < BUCKETS; i++)
    {
      double start_us = cost->starts_us[i];
      double end_us = cost->starts_us[i + 1];
      if (entry->counts[i] == 0 || end_us <= elapsed_us)
        continue;
      double from_us = start_us > elapsed_us ? start_us : elapsed_us;
      double counted
          = entry->counts[i] * (end_us - from_us) / (end_us - start_us);
      counts += counted;
      sum_us += counted * ((from_us + end_us) / 2 - elapsed_us);
    }
  if (counts < TAIL_COUNTS_MIN)
    return false;
  *remaining_us = sum_us / counts;
  return true;
}

/* Remaining cost where no histogram reaches: half the elapsed time more, as in
   a distribution whose tail is a power law.  */
static double
remaining_without_tail_us (double mean_us, double elapsed_us)
{
  double left_us = mean_us - elapsed_us;
  return left_us > elapsed_us / 2 ? left_us : elapsed_us / 2;
}

double
lt_cost_remaining_us (const lt_cost_t *cost, const lt_cost_key_t *key,
                      double elapsed_us, int64_t now_us)
{
  double mean_us = lt_cost_mean_us (cost, key, now_us);
  double least_us = mean_us * REMAINING_MIN_SHARE;
  if (elapsed_us <= 0)
    return mean_us;
  double remaining_us = remaining_without_tail_us (mean_us, elapsed_us);
  for (int level = 0; level < 3; level++)
    {
      const entry_t *entry = level_entry (cost, key, level);
      if (entry == NULL)
        continue;
      /* The level's distribution, scaled to the mean of this key.  */
      double scale = mean_us / entry->mean_us;
      if (!tail_mean_us (cost, entry, elapsed_us / scale, &remaining_us))
        continue;
      remaining_us *= scale;
      break;
    }
  return remaining_us > least_us ? remaining_us : least_us;
}

int
lt_cost_look_up (const lt_cost_t *cost, uint64_t level_key, int64_t now_us,
                 lt_cost_view_t *view)
{
  const entry_t *entry = find (cost, level_key);
  if (entry == NULL)
    return -LT_ENOTFOUND;
  *view
      = (lt_cost_view_t){ .weight = weight_now (cost, entry, now_us),
                          .mean_us = entry->mean_us,
                          .median_us
                          = histogram_quantile_us (cost, entry, 0.5),
                          .p99_us = histogram_quantile_us (cost, entry, 0.99),
                          .log_ratio = entry->log_ratio };
  return 0;
}

lt_cost_stats_t
lt_cost_get_stats (const lt_cost_t *cost)
{
  return cost->stats;
}
