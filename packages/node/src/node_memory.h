/** @file
    The node's byte budget for what callers and upstreams can fill.  */
#ifndef LT_NODE_NODE_MEMORY_H
#define LT_NODE_NODE_MEMORY_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_settings;

  /** Returns the budget that SETTINGS' memory limit leaves after what the
      process itself needs, of which it has allocated OWN_BYTES.  */
  int64_t lt_node_memory_budget_bytes (const struct lt_settings *settings,
                                       int64_t own_bytes);
  /** Creates NODE's budget and its metrics.  */
  void lt_node_memory_create (struct lt_node *node);
  /** Adapts the budget to what the process itself needs, which grows with the
      configuration.  Does nothing while much is held for callers.  */
  void lt_node_memory_update (struct lt_node *node);
  /** Appends DATA to the response of REQUEST and charges the budget.  Returns
      false if the response would hold more than LIMIT bytes, or if there is no
      room for a large one.  An empty buffer takes DATA in any case.  */
  bool lt_node_memory_append_response (lt_request_t *request, str_t data,
                                       size_t limit);
  /** Shrinks the buffer and the charge of a response that is streamed to a
      caller, and has held more.  */
  void lt_node_memory_shrink_response (lt_request_t *request, size_t bytes);
  /** Returns the charge of the response to the budget.  */
  void lt_node_memory_release_response (lt_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
