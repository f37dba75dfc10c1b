/** @file
    The place of this VM in the fleet, seen from the failure domains of the
    upstreams: how many VMs there are at which distance, and which of them this
    one is.  All VMs with the same list of VMs agree.  */
#ifndef LT_NODE_UPSTREAM_PLACES_H
#define LT_NODE_UPSTREAM_PLACES_H

#include "lt/node/node.h"
#include "lt/policy/choice.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_upstream_places lt_upstream_places_t;

  lt_upstream_places_t *lt_upstream_places_create (lt_node_t *node);
  void lt_upstream_places_destroy (lt_upstream_places_t *places);
  /** Takes the failure domains of the upstreams of SNAPSHOT, which must stay
      until the next call, and sets the member place of each of UPSTREAMS.
      Returns whether places are needed and have to be updated now.  */
  bool lt_upstream_places_configure (lt_upstream_places_t *places,
                                     const lt_snapshot_t *snapshot,
                                     lt_choice_upstream_t *upstreams);
  /** Returns whether places are to be kept up to date, as a service has a
      warm-up rate; also while no upstream is cold, because a VM without a
      place sends nothing to a cold one.  */
  bool lt_upstream_places_are_needed (const lt_upstream_places_t *places);
  /** Passes the places that follow from the list of VMs to CHOICE, if the list
      is complete.  */
  void lt_upstream_places_update (const lt_upstream_places_t *places,
                                  lt_choice_t *choice);
  /** Returns the distance between two locations.  */
  lt_distance_t lt_upstream_distance (str_t failure_domain, str_t region,
                                      str_t other_domain, str_t other_region);

#ifdef __cplusplus
}
#endif

#endif
