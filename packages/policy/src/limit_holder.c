#include "lt/policy/limit_holder.h"

#include <stdlib.h>

#include "limit_holder_internal.h"
#include "limit_lend.h"
#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/str.h"

#define LENDERS_MAX 3
#define BORROW_TIMEOUT_US 250000
#define RETRY_AFTER_MIN_US 1000
#define RETURN_BACKOFF_MAX_US (8 * 1000000LL)

lt_limit_holder_t *
lt_limit_holder_create (const lt_limit_holder_options_t *options)
{
  lt_limit_holder_t *holder = lt_alloc (sizeof (*holder));
  holder->options = *options;
  return holder;
}

static void
free_share (lt_limit_share_t *share)
{
  if (share != NULL)
    free (share->queue);
  free (share);
}

static void
free_slots (lt_limit_holder_t *holder)
{
  for (uint32_t i = 0; i < holder->count; i++)
    free_share (holder->slots[i].share);
  free (holder->slots);
  free (holder->by_workspace);
}

void
lt_limit_holder_destroy (lt_limit_holder_t *holder)
{
  if (holder == NULL)
    return;
  free_slots (holder);
  while (holder->removed != NULL)
    {
      lt_limit_share_t *share = holder->removed;
      holder->removed = share->next;
      free_share (share);
    }
  free (holder);
}

static int
compare_workspaces (const void *a, const void *b, void *user)
{
  const lt_limit_slot_t *slots = user;
  uint64_t x = slots[*(const uint32_t *)a].rate.workspace;
  uint64_t y = slots[*(const uint32_t *)b].rate.workspace;
  return x < y ? -1 : x > y;
}

lt_limit_slot_t *
lt_limit_holder_slot (const lt_limit_holder_t *holder, uint64_t workspace)
{
  uint32_t low = 0;
  uint32_t high = holder->count;
  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;
      lt_limit_slot_t *slot = &holder->slots[holder->by_workspace[mid]];
      if (slot->rate.workspace == workspace)
        return slot;
      if (slot->rate.workspace < workspace)
        low = mid + 1;
      else
        high = mid;
    }
  return NULL;
}

uint32_t
lt_limit_holder_index (const lt_limit_holder_t *holder, uint64_t workspace)
{
  const lt_limit_slot_t *slot = lt_limit_holder_slot (holder, workspace);
  return slot != NULL ? (uint32_t)(slot - holder->slots) : UINT32_MAX;
}

static lt_limit_share_t *
find_share (const lt_limit_holder_t *holder, uint64_t workspace)
{
  lt_limit_slot_t *slot = lt_limit_holder_slot (holder, workspace);
  if (slot != NULL && slot->share != NULL)
    return slot->share;
  for (lt_limit_share_t *s = holder->removed; s != NULL; s = s->next)
    if (s->rate.workspace == workspace)
      return s;
  return NULL;
}

lt_limit_share_t *
lt_limit_holder_ensure_share (lt_limit_holder_t *holder, lt_limit_slot_t *slot,
                              int64_t now_us)
{
  if (slot->share != NULL)
    return slot->share;
  lt_limit_share_t *share = lt_alloc (sizeof (*share));
  share->rate = slot->rate;
  share->created_us = now_us;
  share->refilled_us = now_us;
  share->demand_updated_us = now_us;
  share->last_demand_us = now_us;
  share->request_backoff_us = holder->options.request_interval_us;
  share->denied_backoff_us = LT_LIMIT_DENIED_BACKOFF_US;
  slot->share = share;
  return share;
}

static void
push_removed (lt_limit_holder_t *holder, lt_limit_share_t *share)
{
  share->next = holder->removed;
  holder->removed = share;
  share->removed = true;
}

static lt_limit_share_t *
pop_removed (lt_limit_holder_t *holder, uint64_t workspace)
{
  for (lt_limit_share_t **at = &holder->removed; *at != NULL;
       at = &(*at)->next)
    {
      lt_limit_share_t *share = *at;
      if (share->rate.workspace != workspace)
        continue;
      *at = share->next;
      share->removed = false;
      return share;
    }
  return NULL;
}

void
lt_limit_holder_configure (lt_limit_holder_t *holder,
                           const lt_limit_rate_t *rates, uint32_t count,
                           int64_t now_us)
{
  lt_limit_slot_t *slots = lt_alloc ((count + 1) * sizeof (*slots));
  uint32_t *by_workspace = lt_alloc ((count + 1) * sizeof (*by_workspace));
  for (uint32_t i = 0; i < count; i++)
    {
      slots[i].rate = rates[i];
      by_workspace[i] = i;
      lt_limit_slot_t *old = lt_limit_holder_slot (holder, rates[i].workspace);
      lt_limit_share_t *share = old != NULL
                                    ? old->share
                                    : pop_removed (holder, rates[i].workspace);
      if (old != NULL)
        old->share = NULL;
      if (share == NULL)
        continue;
      lt_limit_share_refill (share, holder->options.times.loan_us, now_us);
      share->rate = rates[i];
      lt_limit_share_refill (share, holder->options.times.loan_us, now_us);
      slots[i].share = share;
    }
  qsort_r (by_workspace, count, sizeof (*by_workspace), compare_workspaces,
           slots);
  for (uint32_t i = 0; i < holder->count; i++)
    {
      if (holder->slots[i].share != NULL)
        push_removed (holder, holder->slots[i].share);
      holder->slots[i].share = NULL;
    }
  free_slots (holder);
  holder->slots = slots;
  holder->by_workspace = by_workspace;
  holder->count = count;
}

void
lt_limit_holder_set_home (lt_limit_holder_t *holder, uint32_t group,
                          lt_limit_home_location_t location)
{
  if (group < LT_LIMIT_GROUPS)
    holder->home_location[group] = (unsigned char)location;
}

void
lt_limit_holder_set_lenders (lt_limit_holder_t *holder, uint32_t group,
                             uint32_t others, bool self)
{
  if (group >= LT_LIMIT_GROUPS)
    return;
  holder->other_lender_count[group]
      = (unsigned char)(others < LENDERS_MAX ? others : LENDERS_MAX);
  holder->is_lender[group] = self;
}

bool
lt_limit_holder_is_lender (const lt_limit_holder_t *holder, uint64_t workspace)
{
  return holder->is_lender[lt_limit_group (workspace)];
}

lt_limit_home_location_t
lt_limit_holder_home (const lt_limit_holder_t *holder,
                      const lt_limit_share_t *share)
{
  return (lt_limit_home_location_t)
      holder->home_location[lt_limit_group (share->rate.workspace)];
}

lt_limit_message_t
lt_limit_holder_make_message (const lt_limit_holder_t *holder,
                              const lt_limit_share_t *share,
                              lt_limit_message_type_t type, int64_t now_us)
{
  return (lt_limit_message_t){ .type = type,
                               .workspace = share->rate.workspace,
                               .incarnation = holder->options.incarnation,
                               .generation = share->generation,
                               .sequence = share->grant_seq,
                               .return_seq = share->return_seq,
                               .sent_us = now_us };
}

void
lt_limit_holder_wake (lt_limit_actions_t *actions, lt_limit_share_t *share)
{
  if (share->waiting_count == 0)
    return;
  share->waiting_count = 0;
  lt_limit_action_t action = { .type = LT_LIMIT_WAKE };
  action.message.workspace = share->rate.workspace;
  lt_limit_actions_add (actions, &action);
}

static int64_t
retry_after (const lt_limit_share_t *share, int64_t now_us)
{
  int64_t wait = share->denied_until_us - now_us;
  int64_t per_ms = lt_limit_accrued (&share->rate, share->ppm, 1000);
  if (per_ms > 0 && lt_limit_share_is_valid (share, now_us))
    {
      int64_t own = (LT_LIMIT_TOKEN - share->tokens) / per_ms * 1000;
      if (wait <= 0 || own < wait)
        wait = own;
    }
  else if (wait <= 0)
    wait = LT_US_PER_S;
  return wait > RETRY_AFTER_MIN_US ? wait : RETRY_AFTER_MIN_US;
}

/* Returns whether requests should wait for the first grant after a start.  */
static bool
awaits_first_grant (const lt_limit_holder_t *holder,
                    const lt_limit_share_t *share)
{
  return share->generation == 0 && !holder->draining
         && lt_limit_holder_home (holder, share) != LT_LIMIT_HOME_NONE;
}

lt_limit_spend_t
lt_limit_holder_spend (lt_limit_holder_t *holder, uint32_t workspace,
                       bool repeat, int64_t now_us,
                       lt_limit_actions_t *actions)
{
  if (workspace >= holder->count)
    return (lt_limit_spend_t){ LT_LIMIT_REFUSED, LT_US_PER_S };
  lt_limit_share_t *share = lt_limit_holder_ensure_share (
      holder, &holder->slots[workspace], now_us);
  if (!repeat)
    share->demand_count++;
  lt_limit_share_refill (share, holder->options.times.loan_us, now_us);
  lt_limit_lend_serve_queue (share, holder->options.times.loan_us, now_us,
                             actions);
  if (lt_limit_share_take (share, now_us))
    return (lt_limit_spend_t){ LT_LIMIT_GRANTED, 0 };
  bool no_lenders
      = holder->other_lender_count[lt_limit_group (share->rate.workspace)]
        == 0;
  bool denied = now_us < share->denied_until_us;
  /* A denial by lenders without a share does not mean that the rate is used
     up.  */
  if ((no_lenders || (denied && share->best_ppm == 0))
      && awaits_first_grant (holder, share))
    {
      share->waiting_count++;
      return (lt_limit_spend_t){ LT_LIMIT_WAIT, 0 };
    }
  if (no_lenders || holder->draining || denied)
    return (lt_limit_spend_t){ LT_LIMIT_REFUSED, retry_after (share, now_us) };
  share->waiting_count++;
  if (!share->borrow_pending)
    {
      share->best_ppm = 0;
      lt_limit_holder_request_tokens (holder, share, 0, false, now_us,
                                      actions);
    }
  return (lt_limit_spend_t){ LT_LIMIT_WAIT, 0 };
}

void
lt_limit_holder_message (lt_limit_holder_t *holder, const lt_limit_vm_t *vm,
                         const lt_limit_message_t *message, int64_t now_us,
                         lt_limit_actions_t *actions)
{
  if (message->ppm < 0 || message->ppm > LT_LIMIT_WHOLE_PPM
      || message->tokens < 0)
    return;
  if (message->type == LT_LIMIT_TOKENS_REQUEST)
    {
      lt_limit_holder_on_tokens_request (holder, vm, message, now_us, actions);
      return;
    }
  lt_limit_share_t *share = find_share (holder, message->workspace);
  if (share == NULL || message->incarnation != holder->options.incarnation)
    return;
  lt_limit_share_refill (share, holder->options.times.loan_us, now_us);
  if (message->type == LT_LIMIT_SHARE_GRANT)
    lt_limit_holder_on_grant (holder, share, message, now_us, actions);
  else if (message->type == LT_LIMIT_SHARE_ACK)
    lt_limit_holder_on_ack (holder, share, message, now_us);
  else if (message->type == LT_LIMIT_SHARE_REQUEST && message->recall)
    lt_limit_holder_on_recall (holder, share, message, now_us, actions);
  else if (message->type == LT_LIMIT_TOKENS_LEND)
    lt_limit_holder_on_tokens_lend (holder, share, message, now_us, actions);
}

static void
tick_share (lt_limit_holder_t *holder, lt_limit_share_t *share, int64_t now_us,
            lt_limit_actions_t *actions)
{
  lt_limit_share_refill (share, holder->options.times.loan_us, now_us);
  lt_limit_lend_tick (share, holder->options.times.loan_us, now_us, actions);
  lt_limit_share_update_demand (share, now_us);
  if (share->borrow_pending
      && now_us - share->borrow_sent_us > BORROW_TIMEOUT_US)
    lt_limit_holder_try_next_lender (holder, share, now_us, actions);
  if (share->denied_until_us > 0 && now_us >= share->denied_until_us
      && !share->borrow_pending)
    lt_limit_holder_wake (actions, share);
  if (lt_limit_holder_home (holder, share) == LT_LIMIT_HOME_NONE)
    return;
  if (share->pending_return.ppm > 0
      && now_us - share->pending_return.sent_us
             >= share->pending_return.backoff_us)
    {
      share->pending_return.backoff_us *= 2;
      if (share->pending_return.backoff_us > RETURN_BACKOFF_MAX_US)
        share->pending_return.backoff_us = RETURN_BACKOFF_MAX_US;
      lt_limit_holder_send_return (holder, share, now_us, actions);
    }
  if ((holder->draining || share->removed) && share->ppm > 0
      && lt_limit_share_begin_return (share, share->ppm, now_us))
    lt_limit_holder_send_return (holder, share, now_us, actions);
  lt_limit_holder_return_idle (holder, share, now_us, actions);
  lt_limit_holder_request_share (holder, share, now_us, actions);
}

void
lt_limit_holder_tick (lt_limit_holder_t *holder, int64_t now_us,
                      lt_limit_actions_t *actions)
{
  for (uint32_t i = 0; i < holder->count; i++)
    {
      lt_limit_slot_t *slot = &holder->slots[i];
      if (slot->share == NULL && !holder->draining
          && lt_limit_holder_is_lender (holder, slot->rate.workspace))
        lt_limit_holder_ensure_share (holder, slot, now_us);
      if (slot->share == NULL)
        continue;
      tick_share (holder, slot->share, now_us, actions);
      if (lt_limit_share_is_unused (slot->share, now_us))
        {
          free_share (slot->share);
          slot->share = NULL;
        }
    }
  for (lt_limit_share_t **at = &holder->removed; *at != NULL;)
    {
      lt_limit_share_t *share = *at;
      tick_share (holder, share, now_us, actions);
      if (!lt_limit_share_is_unused (share, now_us))
        {
          at = &share->next;
          continue;
        }
      *at = share->next;
      free_share (share);
    }
}

void
lt_limit_holder_drain (lt_limit_holder_t *holder, int64_t now_us,
                       lt_limit_actions_t *actions)
{
  holder->draining = true;
  lt_limit_holder_tick (holder, now_us, actions);
}

static bool
has_returned_all (const lt_limit_share_t *share)
{
  return share == NULL || (share->ppm == 0 && share->pending_return.ppm == 0);
}

bool
lt_limit_holder_drained (const lt_limit_holder_t *holder)
{
  for (uint32_t i = 0; i < holder->count; i++)
    if (!has_returned_all (holder->slots[i].share))
      return false;
  for (const lt_limit_share_t *s = holder->removed; s != NULL; s = s->next)
    if (!has_returned_all (s))
      return false;
  return holder->draining;
}

int
lt_limit_holder_status (const lt_limit_holder_t *holder, uint32_t workspace,
                        lt_limit_holder_status_t *status)
{
  *status = (lt_limit_holder_status_t){ 0 };
  if (workspace >= holder->count)
    return -LT_ENOTFOUND;
  const lt_limit_share_t *share = holder->slots[workspace].share;
  if (share == NULL)
    return 0;
  status->ppm = share->ppm;
  status->tokens = share->tokens;
  status->lent = share->lent_total;
  status->borrowed = share->borrowed;
  status->valid_until_us = share->valid_until_us;
  status->demand_per_s = share->demand_per_s;
  return 0;
}
