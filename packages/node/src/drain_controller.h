/** @file
    Tells the health controller which upstreams are leaving: those that an
    operator drains, that are in a planned stop, or that announced their own
    shutdown.  */
#ifndef LT_NODE_DRAIN_CONTROLLER_H
#define LT_NODE_DRAIN_CONTROLLER_H

#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Creates the controller and sets node->drain_controller.  The health
      controller must have been created before.  */
  lt_controller_t *lt_drain_controller_create (struct lt_node *node);

#ifdef __cplusplus
}
#endif

#endif
