/** @file
    Seeded random numbers (SplitMix64, Steele et al. 2014).  */
#ifndef LT_BASE_RNG_H
#define LT_BASE_RNG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_rng
  {
    uint64_t state;
  } lt_rng_t;

  void lt_rng_init (lt_rng_t *rng, uint64_t seed);
  uint64_t lt_rng_next (lt_rng_t *rng);
  /** Returns a number below BOUND; BOUND must be positive.  */
  uint64_t lt_rng_below (lt_rng_t *rng, uint64_t bound);
  /** Returns a number in [0, 1).  */
  double lt_rng_unit (lt_rng_t *rng);
  /** Returns an exponential variate with the given mean.  */
  double lt_rng_exponential (lt_rng_t *rng, double mean);

#ifdef __cplusplus
}
#endif

#endif
