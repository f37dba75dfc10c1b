/** @file
    Tells the health controller which upstreams leave: drained by operators,
    in a planned stop, or announced by the upstream.  */
#ifndef LT_NODE_DRAIN_CONTROLLER_H
#define LT_NODE_DRAIN_CONTROLLER_H

#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Sets node->drain_controller; comes after the health controller.  */
  lt_controller_t *lt_drain_controller_create (struct lt_node *node);

#ifdef __cplusplus
}
#endif

#endif
