/** @file
    Upstreams of a hosted fleet: drives the choice module, gives the dispatcher
    its pools, and tells near VMs what this one sees (news).  */
#ifndef LT_NODE_UPSTREAM_CONTROLLER_H
#define LT_NODE_UPSTREAM_CONTROLLER_H

#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_pools;
  typedef struct lt_upstream_controller lt_upstream_controller_t;

  lt_controller_t *lt_upstream_controller_create (struct lt_node *node);
  /** Returns the dispatcher's view; owned by the controller.  */
  struct lt_pools *lt_upstream_controller_pools (lt_controller_t *controller);

#ifdef __cplusplus
}
#endif

#endif
