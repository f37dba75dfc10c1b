/** @file
    Load of the upstreams of a service, as the choice module knows it.  */
#ifndef LT_POLICY_CHOICE_LOAD_H
#define LT_POLICY_CHOICE_LOAD_H

#include "lt/policy/choice.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Sum over upstreams at one distance.  */
  typedef struct lt_choice_load
  {
    int32_t slots;
    int32_t in_flight;     /**< From this VM and from VMs that report. */
    int32_t own_in_flight; /**< From this VM. */
  } lt_choice_load_t;

  /** Adds UPSTREAM to the sum of its distance in LOADS, unless it is leaving,
      unknown, or more likely gray or unreachable than not.  */
  void lt_choice_load_add (lt_choice_load_t loads[LT_DISTANCES],
                           const lt_choice_t *choice,
                           const lt_choice_upstream_t *upstream,
                           int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
