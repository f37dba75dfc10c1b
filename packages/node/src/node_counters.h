/** @file
    Metrics of the request path.  */
#ifndef LT_NODE_NODE_COUNTERS_H
#define LT_NODE_NODE_COUNTERS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_request;

  /** Creates NODE's metrics of requests: a counter for each refusal reason,
      retry reason, retried failure and status class, the histogram of request
      times and the gauge of requests in flight.  */
  void lt_node_metrics_create (lt_node_t *node);
  /** Counts a request at its end, by the class of its status, and adds its
      time to the histogram.  */
  void lt_node_metrics_count_request (lt_node_t *node,
                                      const struct lt_request *request);

#ifdef __cplusplus
}
#endif

#endif
