/** @file
    Queue of messages, each with its sender or recipient; internal to the
    home.  */
#ifndef LT_POLICY_LIMIT_QUEUE_H
#define LT_POLICY_LIMIT_QUEUE_H

#include "lt/policy/limit.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_limit_envelope
  {
    lt_limit_vm_t vm;
    lt_limit_message_t message;
  } lt_limit_envelope_t;

  typedef struct lt_limit_queue
  {
    lt_limit_envelope_t *items;
    size_t count;
    size_t cap;
  } lt_limit_queue_t;

  /** Appends MESSAGE from or to VM.  */
  void lt_limit_queue_add (lt_limit_queue_t *queue, const lt_limit_vm_t *vm,
                           const lt_limit_message_t *message);
  /** Empties the queue and frees a large array.  */
  void lt_limit_queue_clear (lt_limit_queue_t *queue);
  /** Moves the messages to ACTIONS as LT_LIMIT_SEND.  */
  void lt_limit_queue_send (lt_limit_queue_t *queue,
                            lt_limit_actions_t *actions);
  void lt_limit_queue_destroy (lt_limit_queue_t *queue);

#ifdef __cplusplus
}
#endif

#endif
