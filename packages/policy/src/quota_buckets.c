#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/quota.h"

enum
{
  /* About a tenth of the shortest deadlines.  */
  WAIT_MS = 150,
  /* Another home is chosen within about this time.  */
  NO_HOME_WAIT_MS = 500,
  /* Leaves most of the time for the upstream and a retry.  */
  START_WAIT_DIVISOR = 3
};

#define MILLI_PER_UNIT 1000.0

typedef struct bucket
{
  UT_hash_handle hh;
  uint64_t workspace;
  double rate_per_s; /* Of the whole fleet. */
  double burst;      /* Of the whole fleet. */
  uint32_t ppm;      /* Share of rate and burst. */
  double tokens;
  int64_t refilled_us;
  int64_t created_us;
  double demand_per_s;
  int64_t demand_us;
  bool configured; /* Used while a configuration is applied. */
} bucket_t;

struct lt_quota_buckets
{
  lt_quota_times_t times;
  lt_rng_t *rng;
  bucket_t *buckets;
  uint32_t default_ppm; /* Share of workspaces that are added. */
};

int64_t
lt_quota_token_wait_us (lt_quota_phase_t phase, int64_t time_left_us)
{
  switch (phase)
    {
    case LT_QUOTA_STARTING:
      return time_left_us / START_WAIT_DIVISOR;
    case LT_QUOTA_NO_HOME:
      return NO_HOME_WAIT_MS * LT_US_PER_MS;
    case LT_QUOTA_SERVED:
      break;
    }
  return WAIT_MS * LT_US_PER_MS;
}

lt_quota_buckets_t *
lt_quota_buckets_create (const lt_quota_times_t *times, lt_rng_t *rng)
{
  lt_quota_buckets_t *buckets = lt_alloc (sizeof (*buckets));
  buckets->times = *times;
  buckets->rng = rng;
  return buckets;
}

static void
remove_bucket (lt_quota_buckets_t *buckets, bucket_t *bucket)
{
  HASH_DEL (buckets->buckets, bucket); /* NOLINT(clang-analyzer-*) */
  free (bucket);
}

void
lt_quota_buckets_destroy (lt_quota_buckets_t *buckets)
{
  if (buckets == NULL)
    return;
  bucket_t *bucket;
  bucket_t *next;
  HASH_ITER (hh, buckets->buckets, bucket, next)
  {
    remove_bucket (buckets, bucket);
  }
  free (buckets);
}

static double
capacity (const bucket_t *bucket)
{
  return bucket->burst * bucket->ppm / LT_QUOTA_WHOLE_PPM;
}

static void
refill (bucket_t *bucket, int64_t now_us)
{
  double elapsed_s = (double)(now_us - bucket->refilled_us) / LT_US_PER_S;
  bucket->refilled_us = now_us;
  bucket->tokens
      += elapsed_s * bucket->rate_per_s * bucket->ppm / LT_QUOTA_WHOLE_PPM;
  if (bucket->tokens > capacity (bucket))
    bucket->tokens = capacity (bucket);
}

static void
set_ppm (const lt_quota_buckets_t *buckets, bucket_t *bucket, uint32_t ppm,
         int64_t now_us)
{
  refill (bucket, now_us);
  if (ppm > bucket->ppm
      && now_us - bucket->created_us < buckets->times.startup_us)
    bucket->tokens += buckets->times.startup_burst_ratio * bucket->burst
                      * (ppm - bucket->ppm) / LT_QUOTA_WHOLE_PPM;
  bucket->ppm = ppm;
  refill (bucket, now_us);
}

void
lt_quota_buckets_configure (lt_quota_buckets_t *buckets,
                            const lt_quota_rate_t *rates, uint32_t count,
                            int64_t now_us)
{
  bucket_t *bucket;
  bucket_t *next;
  for (bucket = buckets->buckets; bucket != NULL; bucket = bucket->hh.next)
    bucket->configured = false;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t workspace = rates[i].workspace;
      HASH_FIND (hh, buckets->buckets, &workspace, sizeof (workspace), bucket);
      if (bucket == NULL)
        {
          bucket = lt_alloc (sizeof (*bucket));
          bucket->workspace = workspace;
          bucket->refilled_us = bucket->demand_us = now_us;
          bucket->created_us = now_us;
          HASH_ADD (hh, buckets->buckets, workspace, sizeof (workspace),
                    bucket);
        }
      refill (bucket, now_us);
      bucket->rate_per_s = (double)rates[i].rate_milli_per_s / MILLI_PER_UNIT;
      bucket->burst = (double)rates[i].burst;
      bucket->configured = true;
      if (bucket->ppm == 0)
        set_ppm (buckets, bucket, buckets->default_ppm, now_us);
      refill (bucket, now_us);
    }
  HASH_ITER (hh, buckets->buckets, bucket, next)
  {
    if (!bucket->configured)
      remove_bucket (buckets, bucket);
  }
}

void
lt_quota_buckets_set_all (lt_quota_buckets_t *buckets, uint32_t ppm,
                          int64_t now_us)
{
  buckets->default_ppm = ppm;
  for (bucket_t *b = buckets->buckets; b != NULL; b = b->hh.next)
    set_ppm (buckets, b, ppm, now_us);
}

void
lt_quota_buckets_set (lt_quota_buckets_t *buckets, uint64_t workspace,
                      uint32_t ppm, int64_t now_us)
{
  bucket_t *bucket;
  HASH_FIND (hh, buckets->buckets, &workspace, sizeof (workspace), bucket);
  if (bucket != NULL)
    set_ppm (buckets, bucket, ppm, now_us);
}

void
lt_quota_buckets_empty (lt_quota_buckets_t *buckets, int64_t now_us)
{
  for (bucket_t *b = buckets->buckets; b != NULL; b = b->hh.next)
    {
      b->tokens = 0;
      b->refilled_us = now_us;
    }
}

static void
decay_demand (const lt_quota_buckets_t *buckets, bucket_t *bucket,
              int64_t now_us)
{
  double elapsed = (double)(now_us - bucket->demand_us);
  bucket->demand_us = now_us;
  bucket->demand_per_s
      *= exp (-elapsed / (double)buckets->times.demand_tau_us);
}

bool
lt_quota_buckets_take (lt_quota_buckets_t *buckets, uint64_t workspace,
                       bool first, int64_t now_us)
{
  bucket_t *bucket;
  HASH_FIND (hh, buckets->buckets, &workspace, sizeof (workspace), bucket);
  if (bucket == NULL)
    return false;
  refill (bucket, now_us);
  decay_demand (buckets, bucket, now_us);
  if (first)
    bucket->demand_per_s += LT_US_PER_S / (double)buckets->times.demand_tau_us;
  if (bucket->tokens >= 1)
    {
      bucket->tokens -= 1;
      return true;
    }
  if (capacity (bucket) >= 1)
    return false;
  /* A bucket whose capacity is below one token admits with a probability equal
     to its fraction of a token, so that the admitted rate is right on average
     over many such buckets.  */
  bool admitted = lt_rng_unit (buckets->rng) < bucket->tokens;
  bucket->tokens = 0;
  return admitted;
}

uint32_t
lt_quota_buckets_report (lt_quota_buckets_t *buckets, lt_quota_share_t *rows,
                         uint32_t cap, int64_t now_us)
{
  uint32_t count = 0;
  for (bucket_t *b = buckets->buckets; b != NULL && count < cap;
       b = b->hh.next)
    {
      decay_demand (buckets, b, now_us);
      rows[count++] = (lt_quota_share_t){
        .workspace = b->workspace,
        .demand_milli = (uint64_t)(b->demand_per_s * MILLI_PER_UNIT),
        .ppm = b->ppm,
      };
    }
  return count;
}
