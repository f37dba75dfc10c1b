#include "limit_queue.h"

#include <stdlib.h>

#include "lt/base/str.h"

/** The array of an emptied queue is freed when it has room for more messages
    than this, so that a burst does not keep memory allocated.  */
#define RETAINED_CAP_MAX 1000

void
lt_limit_queue_add (lt_limit_queue_t *queue, const lt_limit_vm_t *vm,
                    const lt_limit_message_t *message)
{
  if (queue->count == queue->cap)
    {
      queue->cap = queue->cap == 0 ? 8 : 2 * queue->cap;
      queue->items
          = lt_realloc (queue->items, queue->cap * sizeof (*queue->items));
    }
  queue->items[queue->count++] = (lt_limit_envelope_t){ *vm, *message };
}

void
lt_limit_queue_clear (lt_limit_queue_t *queue)
{
  queue->count = 0;
  if (queue->cap > RETAINED_CAP_MAX)
    lt_limit_queue_destroy (queue);
}

void
lt_limit_queue_send (lt_limit_queue_t *queue, lt_limit_actions_t *actions)
{
  for (size_t i = 0; i < queue->count; i++)
    {
      lt_limit_action_t action = { .type = LT_LIMIT_SEND,
                                   .vm = queue->items[i].vm,
                                   .message = queue->items[i].message };
      lt_limit_actions_add (actions, &action);
    }
  lt_limit_queue_clear (queue);
}

void
lt_limit_queue_destroy (lt_limit_queue_t *queue)
{
  free (queue->items);
  *queue = (lt_limit_queue_t){ 0 };
}
