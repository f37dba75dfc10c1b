/** @file
    Drives the rate limit (policy/limit_holder.h, limit_home.h): exchanges
    message types 10 to 16 with other VMs, reads and writes the table records
    "limits/GROUP", and queues requests that wait for tokens.  */
#ifndef LT_NODE_LIMIT_CONTROLLER_H
#define LT_NODE_LIMIT_CONTROLLER_H

#include "lt/node/filter.h"
#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_controller;
  typedef struct lt_limit_controller lt_limit_controller_t;

  /** Creates the controller and sets node->limit_controller.  */
  struct lt_controller *lt_limit_controller_create (struct lt_node *node);
  /** Spends one token for REQUEST, or lets it wait for one: then the request
      is resumed or refused later, and filter_state[SLOT] is in use until
      lt_limit_controller_cancel.  */
  lt_filter_result_t
  lt_limit_controller_spend (lt_limit_controller_t *controller,
                             lt_request_t *request, int slot);
  /** Drops the wait of REQUEST for a token, if any; called when it ends.  */
  void lt_limit_controller_cancel (lt_limit_controller_t *controller,
                                   lt_request_t *request, int slot);

#ifdef __cplusplus
}
#endif

#endif
