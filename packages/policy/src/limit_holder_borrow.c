#include "limit_holder_internal.h"

#include "limit_lend.h"

/** Time that a borrowed batch covers at the measured demand.  */
#define BORROW_COVER_S 0.1
#define DENY_WAIT_MAX_US 1000000

static void
deny (lt_limit_share_t *share, int64_t now_us)
{
  share->denied_until_us = now_us + share->deny_wait_us;
  share->deny_wait_us *= 2;
  if (share->deny_wait_us > DENY_WAIT_MAX_US)
    share->deny_wait_us = DENY_WAIT_MAX_US;
}

void
lt_limit_holder_ask_lender (const lt_limit_holder_t *holder,
                            lt_limit_share_t *share, uint32_t rank, bool hold,
                            int64_t now_us, lt_limit_actions_t *actions)
{
  double own = 0;
  if (lt_limit_share_valid (share, now_us))
    own = (double)share->rate.rate_milli_per_s / 1000 * share->ppm
          / LT_LIMIT_WHOLE_PPM;
  int64_t batch = (int64_t)((share->demand_per_s - own) * BORROW_COVER_S);
  if (batch < share->waiting)
    batch = share->waiting;
  lt_limit_message_t message
      = lt_limit_holder_prepare (holder, share, LT_LIMIT_TOKENS_ASK, now_us);
  message.transfer = ++share->borrow_number;
  message.tokens = batch * LT_LIMIT_TOKEN;
  message.hold = hold;
  share->borrow_hold = hold;
  share->borrow_open = true;
  share->borrow_rank = rank;
  share->borrow_sent_us = now_us;
  lt_limit_action_t action = { .type = LT_LIMIT_SEND_LENDER,
                               .group = lt_limit_group (message.workspace),
                               .rank = rank,
                               .message = message };
  lt_limit_actions_add (actions, &action);
}

void
lt_limit_holder_ask_next (const lt_limit_holder_t *holder,
                          lt_limit_share_t *share, int64_t now_us,
                          lt_limit_actions_t *actions)
{
  share->borrow_open = false;
  uint32_t count = holder->lenders[lt_limit_group (share->rate.workspace)];
  uint32_t next = share->borrow_rank + 1;
  if (!share->borrow_hold && next < count)
    {
      lt_limit_holder_ask_lender (holder, share, next, false, now_us, actions);
      return;
    }
  if (!share->borrow_hold && share->best_ppm > 0 && share->best_rank < count)
    {
      lt_limit_holder_ask_lender (holder, share, share->best_rank, true,
                                  now_us, actions);
      return;
    }
  deny (share, now_us);
  lt_limit_holder_wake (actions, share);
}

void
lt_limit_holder_on_tokens_ask (lt_limit_holder_t *holder,
                               const lt_limit_vm_t *vm,
                               const lt_limit_message_t *message,
                               int64_t now_us, lt_limit_actions_t *actions)
{
  lt_limit_slot_t *slot = lt_limit_holder_slot (holder, message->workspace);
  if (slot == NULL || holder->draining || message->tokens == 0)
    {
      lt_limit_lend_reply (NULL, vm, message, 0, actions);
      return;
    }
  lt_limit_share_t *share = lt_limit_holder_use (holder, slot, now_us);
  int64_t batch_us = holder->options.times.batch_us;
  lt_limit_share_fill (share, batch_us, now_us);
  lt_limit_lend_ask (share, vm, message, batch_us, now_us, actions);
}

void
lt_limit_holder_on_tokens_lend (lt_limit_holder_t *holder,
                                lt_limit_share_t *share,
                                const lt_limit_message_t *message,
                                int64_t now_us, lt_limit_actions_t *actions)
{
  if (!share->borrow_open || message->transfer != share->borrow_number
      || message->sent_us != share->borrow_sent_us)
    return;
  if (message->ppm > share->best_ppm)
    {
      share->best_ppm = message->ppm;
      share->best_rank = share->borrow_rank;
    }
  if (message->tokens == 0)
    {
      lt_limit_holder_ask_next (holder, share, now_us, actions);
      return;
    }
  share->borrow_open = false;
  share->deny_wait_us = LT_LIMIT_DENY_WAIT_US;
  lt_limit_share_borrow (
      share, message->tokens,
      share->borrow_sent_us + holder->options.times.batch_us, now_us);
  lt_limit_holder_wake (actions, share);
}
