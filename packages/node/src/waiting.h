/** @file
    The list of all requests that wait inside this VM before an upstream has
    them, wherever they wait, and the timer that applies the rule to them (see
    lt/policy/wait_rule.h).  The places where requests wait decide on their
    order and on when one continues.  */
#ifndef LT_NODE_WAITING_H
#define LT_NODE_WAITING_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  typedef struct lt_waiting lt_waiting_t;

  /** Creates the list and sets node->waiting.  */
  void lt_waiting_create (struct lt_node *node);
  /** Frees the list, which must be empty.  */
  void lt_waiting_destroy (struct lt_node *node);
  /** Adds REQUEST, or changes its place if it waits already.  */
  void lt_waiting_begin (lt_request_t *request, lt_wait_place_t place);
  /** Removes REQUEST if it waits.  */
  void lt_waiting_end (lt_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
