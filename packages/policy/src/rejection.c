#include "lt/policy/rejection.h"

#include <math.h>

static double
kept_share (const lt_rejection_t *rejection, int64_t decay_us, int64_t now_us)
{
  return exp (-(double)(now_us - rejection->updated_us) / (double)decay_us);
}

void
lt_rejection_add (lt_rejection_t *rejection, double attempts, double rejected,
                  int64_t decay_us, int64_t now_us)
{
  double kept = kept_share (rejection, decay_us, now_us);
  rejection->attempts = rejection->attempts * kept + attempts;
  rejection->rejected = rejection->rejected * kept + rejected;
  rejection->updated_us = now_us;
}

double
lt_rejection_share (const lt_rejection_t *rejection, int64_t decay_us,
                    int64_t now_us)
{
  double kept = kept_share (rejection, decay_us, now_us);
  /* One further attempt that was not rejected is the prior.  */
  return rejection->rejected * kept / (rejection->attempts * kept + 1);
}
