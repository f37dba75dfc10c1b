#include "limit_holder_internal.h"

#include "limit_lend.h"

/** Requested tokens cover the measured demand for this time.  */
#define LOAN_DEMAND_S 0.1
#define DENIED_BACKOFF_MAX_US 1000000

static void
start_denied_backoff (lt_limit_share_t *share, int64_t now_us)
{
  share->denied_until_us = now_us + share->denied_backoff_us;
  share->denied_backoff_us *= 2;
  if (share->denied_backoff_us > DENIED_BACKOFF_MAX_US)
    share->denied_backoff_us = DENIED_BACKOFF_MAX_US;
}

void
lt_limit_holder_request_tokens (const lt_limit_holder_t *holder,
                                lt_limit_share_t *share, uint32_t rank,
                                bool may_queue, int64_t now_us,
                                lt_limit_actions_t *actions)
{
  double own = 0;
  if (lt_limit_share_is_valid (share, now_us))
    own = (double)share->rate.rate_milli_per_s / 1000 * share->ppm
          / LT_LIMIT_WHOLE_PPM;
  int64_t wanted = (int64_t)((share->demand_per_s - own) * LOAN_DEMAND_S);
  if (wanted < share->waiting_count)
    wanted = share->waiting_count;
  lt_limit_message_t message = lt_limit_holder_make_message (
      holder, share, LT_LIMIT_TOKENS_REQUEST, now_us);
  message.sequence = ++share->borrow_seq;
  message.tokens = wanted * LT_LIMIT_TOKEN;
  message.may_queue = may_queue;
  share->borrow_may_queue = may_queue;
  share->borrow_pending = true;
  share->borrow_rank = rank;
  share->borrow_sent_us = now_us;
  lt_limit_action_t action = { .type = LT_LIMIT_SEND_LENDER,
                               .group = lt_limit_group (message.workspace),
                               .rank = rank,
                               .message = message };
  lt_limit_actions_add (actions, &action);
}

void
lt_limit_holder_try_next_lender (const lt_limit_holder_t *holder,
                                 lt_limit_share_t *share, int64_t now_us,
                                 lt_limit_actions_t *actions)
{
  share->borrow_pending = false;
  uint32_t count
      = holder->other_lender_count[lt_limit_group (share->rate.workspace)];
  uint32_t next = share->borrow_rank + 1;
  if (!share->borrow_may_queue && next < count)
    {
      lt_limit_holder_request_tokens (holder, share, next, false, now_us,
                                      actions);
      return;
    }
  if (!share->borrow_may_queue && share->best_ppm > 0
      && share->best_rank < count)
    {
      lt_limit_holder_request_tokens (holder, share, share->best_rank, true,
                                      now_us, actions);
      return;
    }
  start_denied_backoff (share, now_us);
  lt_limit_holder_wake (actions, share);
}

void
lt_limit_holder_on_tokens_request (lt_limit_holder_t *holder,
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
  lt_limit_share_t *share
      = lt_limit_holder_ensure_share (holder, slot, now_us);
  int64_t loan_us = holder->options.times.loan_us;
  lt_limit_share_refill (share, loan_us, now_us);
  lt_limit_lend_handle_request (share, vm, message, loan_us, now_us, actions);
}

void
lt_limit_holder_on_tokens_lend (lt_limit_holder_t *holder,
                                lt_limit_share_t *share,
                                const lt_limit_message_t *message,
                                int64_t now_us, lt_limit_actions_t *actions)
{
  if (!share->borrow_pending || message->sequence != share->borrow_seq
      || message->sent_us != share->borrow_sent_us)
    return;
  if (message->ppm > share->best_ppm)
    {
      share->best_ppm = message->ppm;
      share->best_rank = share->borrow_rank;
    }
  if (message->tokens == 0)
    {
      lt_limit_holder_try_next_lender (holder, share, now_us, actions);
      return;
    }
  share->borrow_pending = false;
  share->denied_backoff_us = LT_LIMIT_DENIED_BACKOFF_US;
  lt_limit_share_borrow (share, message->tokens,
                         share->borrow_sent_us + holder->options.times.loan_us,
                         now_us);
  lt_limit_holder_wake (actions, share);
}
