/** @file
    Counters of the request path.  */
#ifndef LT_NODE_NODE_COUNTERS_H
#define LT_NODE_NODE_COUNTERS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_request;

  /** Makes the counters of NODE: one for each refusal reason, retry reason and
      status class.  */
  void lt_node_counters_create (lt_node_t *node);
  /** Counts a request that ends.  */
  void lt_node_counters_request (lt_node_t *node,
                                 const struct lt_request *request);

#ifdef __cplusplus
}
#endif

#endif
