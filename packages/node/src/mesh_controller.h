/** @file
    Discovery of the VMs of a hosted fleet: registers this VM with the
    platform, reads the other VMs and the fleet's shared secret from there, and
    keeps connections to the VMs of its region.  Sets node->directory.  */
#ifndef LT_NODE_MESH_CONTROLLER_H
#define LT_NODE_MESH_CONTROLLER_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Creates the controller and sets node->directory.  node->registry must be
      set.  */
  lt_controller_t *lt_mesh_controller_create (lt_node_t *node);

#ifdef __cplusplus
}
#endif

#endif
