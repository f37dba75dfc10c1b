/** @file
    The parts of one workspace that the home has not granted; internal to the
    home.  */
#ifndef LT_POLICY_LIMIT_POOL_H
#define LT_POLICY_LIMIT_POOL_H

#include "lt/policy/limit.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct pool
  {
    lt_limit_rate_t rate;
    int32_t ppm;
    int64_t tokens;
    int64_t filled_us;
    int64_t credit; /**< Tokens of returns in the draft. */
    uint32_t asks;  /**< In this batch. */
    int32_t unmet;  /**< Parts asked for and not granted in this batch. */
  } lt_limit_pool_t;

  /** Fills tokens up to NOW_US.  */
  void lt_limit_pool_fill (lt_limit_pool_t *pool, int64_t now_us);
  /** Takes SIZE parts out of the pool; returns the tokens that go with them.
   */
  int64_t lt_limit_pool_take (lt_limit_pool_t *pool, int32_t size,
                              int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
