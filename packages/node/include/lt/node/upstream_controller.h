/** @file
    Upstream selection of a fleet on a hosting platform: feeds the choice
    module with configuration and outcomes, provides the dispatcher's pools,
    and exchanges upstream updates (outcomes and load) with nearby VMs.  */
#ifndef LT_NODE_UPSTREAM_CONTROLLER_H
#define LT_NODE_UPSTREAM_CONTROLLER_H

#include "lt/config/snapshot.h"
#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_pools;
  typedef struct lt_upstream_controller lt_upstream_controller_t;

  /** Returns the id of UPSTREAM for the choice and for other VMs.  It
      includes the incarnation, so that an upstream that restarts under the
      same name does not inherit the estimate of its predecessor.  */
  uint64_t lt_upstream_id (const lt_upstream_t *upstream);
  lt_controller_t *lt_upstream_controller_create (struct lt_node *node);
  /** Returns the dispatcher's interface; owned by the controller.  */
  struct lt_pools *lt_upstream_controller_pools (lt_controller_t *controller);

#ifdef __cplusplus
}
#endif

#endif
