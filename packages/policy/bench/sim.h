/** @file
    Functions shared by the bench drivers that simulate.  */
#ifndef LT_POLICY_BENCH_SIM_H
#define LT_POLICY_BENCH_SIM_H

#include <math.h>
#include <stdlib.h>

#include "lt/base/rng.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Returns a standard normal variate (Box and Muller 1958).  */
  static inline double
  sim_normal (lt_rng_t *rng)
  {
    double u = 1.0 - lt_rng_unit (rng);
    return sqrt (-2 * log (u)) * cos (6.283185307179586 * lt_rng_unit (rng));
  }

  static inline int
  sim_by_value (const void *a, const void *b)
  {
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
  }

  /** Sorts VALUES and returns their quantile Q.  */
  static inline double
  sim_quantile (double *values, size_t count, double q)
  {
    qsort (values, count, sizeof (double), sim_by_value);
    return values[(size_t)(q * (double)(count - 1) + 0.5)];
  }

#ifdef __cplusplus
}
#endif

#endif
