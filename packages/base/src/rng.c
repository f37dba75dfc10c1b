#include "lt/base/rng.h"

#include <math.h>

void
lt_rng_init (lt_rng_t *rng, uint64_t seed)
{
  rng->state = seed;
}

uint64_t
lt_rng_next (lt_rng_t *rng)
{
  rng->state += 0x9e3779b97f4a7c15ULL;
  uint64_t z = rng->state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint64_t
lt_rng_below (lt_rng_t *rng, uint64_t bound)
{
  return (uint64_t)(((unsigned __int128)lt_rng_next (rng) * bound) >> 64);
}

double
lt_rng_unit (lt_rng_t *rng)
{
  return (double)(lt_rng_next (rng) >> 11) * 0x1.0p-53;
}

double
lt_rng_exponential (lt_rng_t *rng, double mean)
{
  return -mean * log1p (-lt_rng_unit (rng));
}
