/** @file
    Follows the configuration and the register of upstreams of a hosting
    platform and puts snapshots in force.  A version is never replaced by an
    older one.  What is known stays in force while the register cannot be
    reached.  */
#ifndef LT_NODE_SOURCE_CONTROLLER_H
#define LT_NODE_SOURCE_CONTROLLER_H

#include <stdbool.h>

#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  typedef struct lt_source_controller lt_source_controller_t;

  /** Creates the controller and sets node->source_controller; needs
      node->registry.  */
  lt_controller_t *lt_source_controller_create (struct lt_node *node);
  /** Returns how long ago the register last answered, or -1.  */
  int64_t lt_source_controller_age_us (lt_source_controller_t *controller,
                                       int64_t now_us);

  /** Returns whether keys may be accepted: always, unless the deployment wants
      them refused while the register cannot be reached.  */
  bool lt_source_controller_allows_keyed (lt_source_controller_t *controller,
                                          int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
