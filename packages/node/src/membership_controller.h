/** @file
    Drives the membership module (policy/membership.h) over the peer
    transport.  */
#ifndef LT_NODE_MEMBERSHIP_CONTROLLER_H
#define LT_NODE_MEMBERSHIP_CONTROLLER_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Opens the peer listener of the settings and creates the membership module
      (sets node->membership and node->peers).  The caller adds the controller
      to the node, after the config controller.  Returns 0 or a negative error
      number.  */
  int lt_membership_controller_create (lt_node_t *node,
                                       lt_controller_t **controller);
  /** Returns the address that other VMs connect to, with the port that was
      bound.  */
  str_t lt_membership_controller_address (const lt_controller_t *controller);

#ifdef __cplusplus
}
#endif

#endif
