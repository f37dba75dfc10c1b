/** @file
    Bounds the requests that this VM has at one upstream at a time, and keeps
    those beyond it until a connection is free.  */
#ifndef LT_NODE_DISPATCH_QUEUE_H
#define LT_NODE_DISPATCH_QUEUE_H

#include "dispatch_internal.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_dispatch_queue lt_dispatch_queue_t;

  /** Creates the queue and sets node->dispatch_queue.  */
  void lt_dispatch_queue_create (lt_node_t *node);
  /** Frees the queue, in which no request may be.  */
  void lt_dispatch_queue_destroy (lt_node_t *node);
  /** Returns whether the request may be sent to UPSTREAM, an index in the
      dispatch's configuration, now.  */
  bool lt_dispatch_queue_admits (const lt_dispatch_t *dispatch,
                                 uint32_t upstream);
  /** Lets the request wait for the upstream that was chosen last.  */
  void lt_dispatch_queue_add (lt_dispatch_t *dispatch);
  /** Removes the request if it waits here.  */
  void lt_dispatch_queue_leave (lt_dispatch_t *dispatch);
  /** Record that ATTEMPT has begun or ended.  LATENCY_US is the time that the
      upstream took.  */
  void lt_dispatch_queue_attempt_began (attempt_t *attempt);
  void lt_dispatch_queue_attempt_ended (const attempt_t *attempt,
                                        lt_attempt_outcome_t outcome,
                                        int64_t latency_us);

#ifdef __cplusplus
}
#endif

#endif
