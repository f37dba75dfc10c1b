/** @file
    The VMs of a hosted fleet: announces this one in the platform's register,
    learns the others and the fleet's secret there, and keeps connections to
    those of the region.  Sets node->directory.  */
#ifndef LT_NODE_MESH_CONTROLLER_H
#define LT_NODE_MESH_CONTROLLER_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Needs node->registry.  */
  lt_controller_t *lt_mesh_controller_create (lt_node_t *node);

#ifdef __cplusplus
}
#endif

#endif
