/** @file
    The share of one workspace that the home has not granted; internal to the
    home.  */
#ifndef LT_POLICY_LIMIT_POOL_H
#define LT_POLICY_LIMIT_POOL_H

#include "lt/policy/limit.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_limit_pool
  {
    lt_limit_rate_t rate;
    int32_t ppm;
    int64_t tokens;
    int64_t refilled_us;
    int64_t returned_tokens; /**< Tokens of returns in the draft, not yet in
                                tokens. */
    uint32_t request_count;  /**< Requests that are applied to the draft. */
    int32_t unmet_ppm;       /**< Requested but not granted in the draft. */
  } lt_limit_pool_t;

  /** Adds the tokens accrued until NOW_US.  */
  void lt_limit_pool_refill (lt_limit_pool_t *pool, int64_t now_us);
  /** Removes SIZE ppm, and their proportion of the tokens, from the pool.
      Returns these tokens.  */
  int64_t lt_limit_pool_take (lt_limit_pool_t *pool, int32_t size,
                              int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
