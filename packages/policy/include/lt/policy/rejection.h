/** @file
    Decayed estimate of the share of attempts that an upstream rejects without
    running them.  */
#ifndef LT_POLICY_REJECTION_H
#define LT_POLICY_REJECTION_H

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /** Counts that decay exponentially; all zero at first.  */
  typedef struct lt_rejection
  {
    double attempts;
    double rejected;
    int64_t updated_us;
  } lt_rejection_t;

  /** Counts ATTEMPTS, of which REJECTED were rejected.  DECAY_US is the time
      constant.  */
  void lt_rejection_add (lt_rejection_t *rejection, double attempts,
                         double rejected, int64_t decay_us, int64_t now_us);
  /** Returns the share, between 0 and 1.  It tends to 0 without evidence, and
      one rejection alone gives one half.  */
  double lt_rejection_share (const lt_rejection_t *rejection, int64_t decay_us,
                             int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
