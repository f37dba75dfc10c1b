/** @file
    Drives the rate limit (policy/limit_holder.h, limit_home.h): messages 10 to
    16, the table records "limits/GROUP", and requests that wait for tokens. */
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

  /** Also sets NODE's limit_controller.  */
  struct lt_controller *lt_limit_controller_create (struct lt_node *node);
  /** Spends one token for REQUEST, or lets it wait for one: then the request
      is resumed or refused later, and filter_state[SLOT] is in use until
      lt_limit_controller_forget.  */
  lt_filter_result_t
  lt_limit_controller_spend (lt_limit_controller_t *controller,
                             lt_request_t *request, int slot);
  /** REQUEST ends; it no longer waits.  */
  void lt_limit_controller_forget (lt_limit_controller_t *controller,
                                   lt_request_t *request, int slot);

#ifdef __cplusplus
}
#endif

#endif
