#include "limit_lend.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/str.h"

/** The borrower's tokens expire 250 ms after its ask, so that a longer wait
    would leave no time to spend them.  */
#define HOLD_US 100000
#define HELD_MAX 64

typedef struct lt_limit_held
{
  lt_limit_vm_t vm;
  lt_limit_message_t message;
  int64_t until_us;
} held_t;

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
  share->held_count--;
  memmove (share->held, share->held + 1,
           share->held_count * sizeof (*share->held));
}

static bool
lend (lt_limit_share_t *share, const lt_limit_vm_t *vm,
      const lt_limit_message_t *message, int64_t batch_us, int64_t now_us,
      lt_limit_actions_t *actions)
{
  int64_t lent
      = lt_limit_share_lend (share, message->tokens, batch_us, now_us);
  if (lent == 0)
    return false;
  share->demand_count += lent / LT_LIMIT_TOKEN;
  lt_limit_lend_reply (share, vm, message, lent, actions);
  return true;
}

void
lt_limit_lend_held (lt_limit_share_t *share, int64_t batch_us, int64_t now_us,
                    lt_limit_actions_t *actions)
{
  while (share->held_count > 0 && share->turns > 0
         && lend (share, &share->held[0].vm, &share->held[0].message, batch_us,
                  now_us, actions))
    {
      remove_first (share);
      share->turns--;
    }
}

void
lt_limit_lend_ask (lt_limit_share_t *share, const lt_limit_vm_t *vm,
                   const lt_limit_message_t *message, int64_t batch_us,
                   int64_t now_us, lt_limit_actions_t *actions)
{
  lt_limit_lend_held (share, batch_us, now_us, actions);
  if (share->held_count == 0
      && lend (share, vm, message, batch_us, now_us, actions))
    return;
  if (!message->hold || share->held_count == HELD_MAX
      || !lt_limit_share_valid (share, now_us))
    {
      share->demand_count++;
      lt_limit_lend_reply (share, vm, message, 0, actions);
      return;
    }
  if (share->held == NULL)
    share->held = lt_alloc (HELD_MAX * sizeof (*share->held));
  share->held[share->held_count++]
      = (held_t){ *vm, *message, now_us + HOLD_US };
  if (share->turns == 0)
    share->turns = 1;
}

void
lt_limit_lend_tick (lt_limit_share_t *share, int64_t batch_us, int64_t now_us,
                    lt_limit_actions_t *actions)
{
  /* Own requests that do not come must not keep the tokens.  */
  share->turns = share->held_count;
  lt_limit_lend_held (share, batch_us, now_us, actions);
  while (share->held_count > 0 && share->held[0].until_us <= now_us)
    {
      share->demand_count++;
      lt_limit_lend_reply (share, &share->held[0].vm, &share->held[0].message,
                           0, actions);
      remove_first (share);
    }
}
