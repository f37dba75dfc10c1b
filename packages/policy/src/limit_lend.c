#include "limit_lend.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/str.h"

/** Longest time of a request in the queue.  Borrowed tokens expire 250 ms
    after the request was sent, so a longer wait would leave no time to spend
    them.  */
#define QUEUE_TIMEOUT_US 100000
#define QUEUE_MAX 64

typedef struct lt_limit_token_request
{
  lt_limit_vm_t vm;
  lt_limit_message_t message;
  int64_t until_us;
} token_request_t;

void
lt_limit_lend_reply (const lt_limit_share_t *share, const lt_limit_vm_t *vm,
                     const lt_limit_message_t *message, int64_t tokens,
                     lt_limit_actions_t *actions)
{
  lt_limit_action_t action
      = { .type = LT_LIMIT_SEND, .vm = *vm, .message = *message };
  action.message.type = LT_LIMIT_TOKENS_LEND;
  action.message.tokens = tokens;
  action.message.ppm = share != NULL ? share->ppm : 0;
  lt_limit_actions_add (actions, &action);
}

static void
remove_first (lt_limit_share_t *share)
{
  share->queue_count--;
  memmove (share->queue, share->queue + 1,
           share->queue_count * sizeof (*share->queue));
}

static bool
lend (lt_limit_share_t *share, const lt_limit_vm_t *vm,
      const lt_limit_message_t *message, int64_t loan_us, int64_t now_us,
      lt_limit_actions_t *actions)
{
  int64_t lent = lt_limit_share_lend (share, message->tokens, loan_us, now_us);
  if (lent == 0)
    return false;
  share->demand_count += lent / LT_LIMIT_TOKEN;
  lt_limit_lend_reply (share, vm, message, lent, actions);
  return true;
}

void
lt_limit_lend_serve_queue (lt_limit_share_t *share, int64_t loan_us,
                           int64_t now_us, lt_limit_actions_t *actions)
{
  while (share->queue_count > 0 && share->queue_turns > 0
         && lend (share, &share->queue[0].vm, &share->queue[0].message,
                  loan_us, now_us, actions))
    {
      remove_first (share);
      share->queue_turns--;
    }
}

void
lt_limit_lend_handle_request (lt_limit_share_t *share, const lt_limit_vm_t *vm,
                              const lt_limit_message_t *message,
                              int64_t loan_us, int64_t now_us,
                              lt_limit_actions_t *actions)
{
  lt_limit_lend_serve_queue (share, loan_us, now_us, actions);
  if (share->queue_count == 0
      && lend (share, vm, message, loan_us, now_us, actions))
    return;
  if (!message->may_queue || share->queue_count == QUEUE_MAX
      || !lt_limit_share_is_valid (share, now_us))
    {
      share->demand_count++;
      lt_limit_lend_reply (share, vm, message, 0, actions);
      return;
    }
  if (share->queue == NULL)
    share->queue = lt_alloc (QUEUE_MAX * sizeof (*share->queue));
  share->queue[share->queue_count++]
      = (token_request_t){ *vm, *message, now_us + QUEUE_TIMEOUT_US };
  if (share->queue_turns == 0)
    share->queue_turns = 1;
}

void
lt_limit_lend_tick (lt_limit_share_t *share, int64_t loan_us, int64_t now_us,
                    lt_limit_actions_t *actions)
{
  /* Turns are normally earned by this VM's own requests.  When there are none,
     the queue must be served all the same.  */
  share->queue_turns = share->queue_count;
  lt_limit_lend_serve_queue (share, loan_us, now_us, actions);
  while (share->queue_count > 0 && share->queue[0].until_us <= now_us)
    {
      share->demand_count++;
      lt_limit_lend_reply (share, &share->queue[0].vm,
                           &share->queue[0].message, 0, actions);
      remove_first (share);
    }
}
