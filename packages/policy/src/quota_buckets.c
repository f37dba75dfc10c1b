#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/quota.h"

#define MILLI 1000.0

typedef struct bucket
{
  UT_hash_handle hh;
  uint64_t workspace;
  double rate_per_s; /* Of the whole. */
  double burst;
  uint32_t ppm;
  double tokens;
  int64_t filled_us;
  int64_t started_us;
  double demand_per_s;
  int64_t demand_us;
  bool kept;
} bucket_t;

struct lt_quota_buckets
{
  lt_quota_times_t times;
  lt_rng_t *rng;
  bucket_t *buckets;
  uint32_t ppm; /* Of workspaces that are new. */
};

lt_quota_buckets_t *
lt_quota_buckets_create (const lt_quota_times_t *times, lt_rng_t *rng)
{
  lt_quota_buckets_t *buckets = lt_alloc (sizeof (*buckets));
  buckets->times = *times;
  buckets->rng = rng;
  return buckets;
}

static void
drop (lt_quota_buckets_t *buckets, bucket_t *bucket)
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
  HASH_ITER (hh, buckets->buckets, bucket, next) { drop (buckets, bucket); }
  free (buckets);
}

static double
capacity (const bucket_t *bucket)
{
  return bucket->burst * bucket->ppm / LT_QUOTA_WHOLE_PPM;
}

static void
fill (bucket_t *bucket, int64_t now_us)
{
  double elapsed_s = (double)(now_us - bucket->filled_us) / LT_US_PER_S;
  bucket->filled_us = now_us;
  bucket->tokens
      += elapsed_s * bucket->rate_per_s * bucket->ppm / LT_QUOTA_WHOLE_PPM;
  if (bucket->tokens > capacity (bucket))
    bucket->tokens = capacity (bucket);
}

static void
set_ppm (const lt_quota_buckets_t *buckets, bucket_t *bucket, uint32_t ppm,
         int64_t now_us)
{
  fill (bucket, now_us);
  if (ppm > bucket->ppm
      && now_us - bucket->started_us < buckets->times.start_us)
    bucket->tokens += buckets->times.start_share * bucket->burst
                      * (ppm - bucket->ppm) / LT_QUOTA_WHOLE_PPM;
  bucket->ppm = ppm;
  fill (bucket, now_us);
}

void
lt_quota_buckets_configure (lt_quota_buckets_t *buckets,
                            const lt_quota_rate_t *rates, uint32_t count,
                            int64_t now_us)
{
  bucket_t *bucket;
  bucket_t *next;
  for (bucket = buckets->buckets; bucket != NULL; bucket = bucket->hh.next)
    bucket->kept = false;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t workspace = rates[i].workspace;
      HASH_FIND (hh, buckets->buckets, &workspace, sizeof (workspace), bucket);
      if (bucket == NULL)
        {
          bucket = lt_alloc (sizeof (*bucket));
          bucket->workspace = workspace;
          bucket->filled_us = bucket->demand_us = now_us;
          bucket->started_us = now_us;
          HASH_ADD (hh, buckets->buckets, workspace, sizeof (workspace),
                    bucket);
        }
      fill (bucket, now_us);
      bucket->rate_per_s = (double)rates[i].rate_milli_per_s / MILLI;
      bucket->burst = (double)rates[i].burst;
      bucket->kept = true;
      if (bucket->ppm == 0)
        set_ppm (buckets, bucket, buckets->ppm, now_us);
      fill (bucket, now_us);
    }
  HASH_ITER (hh, buckets->buckets, bucket, next)
  {
    if (!bucket->kept)
      drop (buckets, bucket);
  }
}

void
lt_quota_buckets_set_all (lt_quota_buckets_t *buckets, uint32_t ppm,
                          int64_t now_us)
{
  buckets->ppm = ppm;
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
      b->filled_us = now_us;
    }
}

static void
relax_demand (const lt_quota_buckets_t *buckets, bucket_t *bucket,
              int64_t now_us)
{
  double elapsed = (double)(now_us - bucket->demand_us);
  bucket->demand_us = now_us;
  bucket->demand_per_s *= exp (-elapsed / (double)buckets->times.demand_us);
}

bool
lt_quota_buckets_take (lt_quota_buckets_t *buckets, uint64_t workspace,
                       bool first, int64_t now_us)
{
  bucket_t *bucket;
  HASH_FIND (hh, buckets->buckets, &workspace, sizeof (workspace), bucket);
  if (bucket == NULL)
    return false;
  fill (bucket, now_us);
  relax_demand (buckets, bucket, now_us);
  if (first)
    bucket->demand_per_s += LT_US_PER_S / (double)buckets->times.demand_us;
  if (bucket->tokens >= 1)
    {
      bucket->tokens -= 1;
      return true;
    }
  if (capacity (bucket) >= 1)
    return false;
  /* A bucket too small for a whole token gives its part of one for a part of
     the chance, which is right on average over many buckets.  */
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
      relax_demand (buckets, b, now_us);
      rows[count++] = (lt_quota_share_t){
        .workspace = b->workspace,
        .demand_milli = (uint64_t)(b->demand_per_s * MILLI),
        .ppm = b->ppm,
      };
    }
  return count;
}
