#include "lt/policy/health.h"

#include <math.h>

#define FIRST_BUCKET_US 1000.0
#define BUCKETS_PER_DOUBLING 3.0

uint32_t
lt_health_bucket (int64_t latency_us)
{
  if (latency_us <= (int64_t)FIRST_BUCKET_US)
    return 0;
  double steps
      = BUCKETS_PER_DOUBLING * log2 ((double)latency_us / FIRST_BUCKET_US);
  if (steps >= LT_HEALTH_BUCKETS - 1)
    return LT_HEALTH_BUCKETS - 1;
  return (uint32_t)steps;
}

int64_t
lt_health_pool_slots (const lt_health_pool_t *pool)
{
  int64_t slots = 0;
  for (uint32_t i = 0; i < pool->count; i++)
    slots += pool->upstreams[i].slots;
  return slots;
}

int64_t
lt_health_pool_floor (const lt_health_pool_t *pool)
{
  return (lt_health_pool_slots (pool) * pool->floor_percent + 99) / 100;
}

const char *
lt_health_stream_name (lt_health_stream_t stream)
{
  return stream == LT_HEALTH_STREAM_FAILED ? "failed" : "slow";
}
