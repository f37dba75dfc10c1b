/** @file
    Distance between a VM and an upstream.  */
#ifndef LT_POLICY_DISTANCE_H
#define LT_POLICY_DISTANCE_H

#ifdef __cplusplus
extern "C"
{
#endif

  /** Where an upstream is, seen from a VM, or the reverse.  */
  typedef enum lt_distance
  {
    LT_DISTANCE_SAME_DOMAIN,  /**< In the same failure domain. */
    LT_DISTANCE_SAME_REGION,  /**< In another failure domain of the region. */
    LT_DISTANCE_OTHER_REGION, /**< In another region. */
    LT_DISTANCES
  } lt_distance_t;

#ifdef __cplusplus
}
#endif

#endif
