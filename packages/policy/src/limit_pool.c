#include "limit_pool.h"

void
lt_limit_pool_refill (lt_limit_pool_t *pool, int64_t now_us)
{
  pool->tokens
      += lt_limit_accrued (&pool->rate, pool->ppm, now_us - pool->refilled_us);
  if (now_us > pool->refilled_us)
    pool->refilled_us = now_us;
  int64_t cap = lt_limit_capacity (&pool->rate, pool->ppm);
  if (pool->tokens > cap)
    pool->tokens = cap;
}

int64_t
lt_limit_pool_take (lt_limit_pool_t *pool, int32_t size, int64_t now_us)
{
  lt_limit_pool_refill (pool, now_us);
  int32_t taken = size < pool->ppm ? size : pool->ppm;
  if (taken <= 0)
    return 0;
  int64_t tokens = (int64_t)((__int128)pool->tokens * taken / pool->ppm);
  pool->ppm -= taken;
  pool->tokens -= tokens;
  return tokens;
}
