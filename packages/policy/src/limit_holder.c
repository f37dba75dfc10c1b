#include "lt/policy/limit_holder.h"

#include <stdlib.h>
#include <string.h>

#include "limit_lend.h"
#include "limit_share.h"
#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/str.h"

/** Asks aim above the measured demand, recalls leave less headroom.  */
#define ASK_HEADROOM 1.10
#define KEEP_HEADROOM 1.05
#define RETURN_HEADROOM 1.25
/** Grants come in steps of at least this size, so that small changes of
    demand write no record.  */
#define STEP_PPM 5000
#define LENDERS_MAX 3
#define ASK_WAIT_MAX_US (16 * 1000000LL)
#define BORROW_TIMEOUT_US 250000
/** Time that a borrowed batch covers at the measured demand.  */
#define BORROW_COVER_S 0.1
#define DENY_WAIT_US 50000
#define DENY_WAIT_MAX_US 1000000
#define RETRY_AFTER_MIN_US 1000
#define RETURN_WAIT_MAX_US (8 * 1000000LL)
/** A share is renewed after this part of its validity.  */
#define RENEW_PART 6

typedef struct slot
{
  lt_limit_rate_t rate;
  lt_limit_share_t *share; /**< NULL until the workspace is used. */
} slot_t;

struct lt_limit_holder
{
  lt_limit_holder_options_t options;
  slot_t *slots; /**< By workspace index. */
  uint32_t count;
  uint32_t *by_key;          /**< Slot indexes ordered by workspace. */
  lt_limit_share_t *removed; /**< Shares being returned. */
  unsigned char home[LT_LIMIT_GROUPS];
  unsigned char lenders[LT_LIMIT_GROUPS]; /**< Others. */
  bool lends[LT_LIMIT_GROUPS];
  bool draining;
};

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
    free (share->held);
  free (share);
}

static void
free_slots (lt_limit_holder_t *holder)
{
  for (uint32_t i = 0; i < holder->count; i++)
    free_share (holder->slots[i].share);
  free (holder->slots);
  free (holder->by_key);
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
compare_keys (const void *a, const void *b, void *user)
{
  const slot_t *slots = user;
  uint64_t x = slots[*(const uint32_t *)a].rate.workspace;
  uint64_t y = slots[*(const uint32_t *)b].rate.workspace;
  return x < y ? -1 : x > y;
}

static slot_t *
find_slot (const lt_limit_holder_t *holder, uint64_t workspace)
{
  uint32_t low = 0;
  uint32_t high = holder->count;
  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;
      slot_t *slot = &holder->slots[holder->by_key[mid]];
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
  const slot_t *slot = find_slot (holder, workspace);
  return slot != NULL ? (uint32_t)(slot - holder->slots) : UINT32_MAX;
}

static lt_limit_share_t *
find_share (const lt_limit_holder_t *holder, uint64_t workspace)
{
  slot_t *slot = find_slot (holder, workspace);
  if (slot != NULL && slot->share != NULL)
    return slot->share;
  for (lt_limit_share_t *s = holder->removed; s != NULL; s = s->next)
    if (s->rate.workspace == workspace)
      return s;
  return NULL;
}

static lt_limit_share_t *
use_share (lt_limit_holder_t *holder, slot_t *slot, int64_t now_us)
{
  if (slot->share != NULL)
    return slot->share;
  lt_limit_share_t *share = lt_alloc (sizeof (*share));
  share->rate = slot->rate;
  share->created_us = now_us;
  share->filled_us = now_us;
  share->demand_us = now_us;
  share->used_us = now_us;
  share->ask_wait_us = holder->options.ask_us;
  share->deny_wait_us = DENY_WAIT_US;
  slot->share = share;
  return share;
}

static void
keep_removed (lt_limit_holder_t *holder, lt_limit_share_t *share)
{
  share->next = holder->removed;
  holder->removed = share;
  share->removed = true;
}

static lt_limit_share_t *
take_removed (lt_limit_holder_t *holder, uint64_t workspace)
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
  slot_t *slots = lt_alloc ((count + 1) * sizeof (*slots));
  uint32_t *by_key = lt_alloc ((count + 1) * sizeof (*by_key));
  for (uint32_t i = 0; i < count; i++)
    {
      slots[i].rate = rates[i];
      by_key[i] = i;
      slot_t *old = find_slot (holder, rates[i].workspace);
      lt_limit_share_t *share
          = old != NULL ? old->share
                        : take_removed (holder, rates[i].workspace);
      if (old != NULL)
        old->share = NULL;
      if (share == NULL)
        continue;
      lt_limit_share_fill (share, holder->options.times.batch_us, now_us);
      share->rate = rates[i];
      lt_limit_share_fill (share, holder->options.times.batch_us, now_us);
      slots[i].share = share;
    }
  qsort_r (by_key, count, sizeof (*by_key), compare_keys, slots);
  for (uint32_t i = 0; i < holder->count; i++)
    {
      if (holder->slots[i].share != NULL)
        keep_removed (holder, holder->slots[i].share);
      holder->slots[i].share = NULL;
    }
  free_slots (holder);
  holder->slots = slots;
  holder->by_key = by_key;
  holder->count = count;
}

void
lt_limit_holder_set_home (lt_limit_holder_t *holder, uint32_t group,
                          lt_limit_place_t place)
{
  if (group < LT_LIMIT_GROUPS)
    holder->home[group] = (unsigned char)place;
}

void
lt_limit_holder_set_lenders (lt_limit_holder_t *holder, uint32_t group,
                             uint32_t others, bool self)
{
  if (group >= LT_LIMIT_GROUPS)
    return;
  holder->lenders[group]
      = (unsigned char)(others < LENDERS_MAX ? others : LENDERS_MAX);
  holder->lends[group] = self;
}

static bool
lends (const lt_limit_holder_t *holder, uint64_t workspace)
{
  return holder->lends[lt_limit_group (workspace)];
}

static lt_limit_place_t
home_of (const lt_limit_holder_t *holder, const lt_limit_share_t *share)
{
  return (lt_limit_place_t)
      holder->home[lt_limit_group (share->rate.workspace)];
}

static lt_limit_message_t
share_message (const lt_limit_holder_t *holder, const lt_limit_share_t *share,
               lt_limit_message_type_t type, int64_t now_us)
{
  return (lt_limit_message_t){ .type = type,
                               .workspace = share->rate.workspace,
                               .incarnation = holder->options.incarnation,
                               .generation = share->generation,
                               .transfer = share->transfer,
                               .returned = share->returned,
                               .sent_us = now_us };
}

static void
send_home (lt_limit_actions_t *actions, const lt_limit_message_t *message)
{
  lt_limit_action_t action = { .type = LT_LIMIT_SEND_HOME,
                               .group = lt_limit_group (message->workspace),
                               .message = *message };
  lt_limit_actions_add (actions, &action);
}

static void
wake (lt_limit_actions_t *actions, lt_limit_share_t *share)
{
  if (share->waiting == 0)
    return;
  share->waiting = 0;
  lt_limit_action_t action = { .type = LT_LIMIT_WAKE };
  action.message.workspace = share->rate.workspace;
  lt_limit_actions_add (actions, &action);
}

static void
send_return (const lt_limit_holder_t *holder, lt_limit_share_t *share,
             int64_t now_us, lt_limit_actions_t *actions)
{
  lt_limit_message_t message
      = share_message (holder, share, LT_LIMIT_SHARE_RETURN, now_us);
  message.ppm = share->pending.ppm;
  message.tokens = share->pending.tokens;
  share->pending.sent_us = now_us;
  send_home (actions, &message);
}

static void
deny (lt_limit_share_t *share, int64_t now_us)
{
  share->denied_until_us = now_us + share->deny_wait_us;
  share->deny_wait_us *= 2;
  if (share->deny_wait_us > DENY_WAIT_MAX_US)
    share->deny_wait_us = DENY_WAIT_MAX_US;
}

static int64_t
retry_after (const lt_limit_share_t *share, int64_t now_us)
{
  int64_t wait = share->denied_until_us - now_us;
  int64_t per_ms = lt_limit_accrued (&share->rate, share->ppm, 1000);
  if (per_ms > 0 && lt_limit_share_valid (share, now_us))
    {
      int64_t own = (LT_LIMIT_TOKEN - share->tokens) / per_ms * 1000;
      if (wait <= 0 || own < wait)
        wait = own;
    }
  else if (wait <= 0)
    wait = LT_US_PER_S;
  return wait > RETRY_AFTER_MIN_US ? wait : RETRY_AFTER_MIN_US;
}

static void
send_tokens_ask (const lt_limit_holder_t *holder, lt_limit_share_t *share,
                 uint32_t rank, bool hold, int64_t now_us,
                 lt_limit_actions_t *actions)
{
  double own = 0;
  if (lt_limit_share_valid (share, now_us))
    own = (double)share->rate.rate_milli_per_s / 1000 * share->ppm
          / LT_LIMIT_WHOLE_PPM;
  int64_t batch = (int64_t)((share->demand_per_s - own) * BORROW_COVER_S);
  if (batch < share->waiting)
    batch = share->waiting;
  lt_limit_message_t message
      = share_message (holder, share, LT_LIMIT_TOKENS_ASK, now_us);
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

/* The open tokens_ask got nothing: asks the next lender, then the one with
   most parts again, to wait there, and then gives up for a while.  */
static void
ask_next_lender (const lt_limit_holder_t *holder, lt_limit_share_t *share,
                 int64_t now_us, lt_limit_actions_t *actions)
{
  share->borrow_open = false;
  uint32_t count = holder->lenders[lt_limit_group (share->rate.workspace)];
  uint32_t next = share->borrow_rank + 1;
  if (!share->borrow_hold && next < count)
    {
      send_tokens_ask (holder, share, next, false, now_us, actions);
      return;
    }
  if (!share->borrow_hold && share->best_ppm > 0 && share->best_rank < count)
    {
      send_tokens_ask (holder, share, share->best_rank, true, now_us, actions);
      return;
    }
  deny (share, now_us);
  wake (actions, share);
}

/* Right after the start, the first share is on its way.  */
static bool
waits_for_first (const lt_limit_holder_t *holder,
                 const lt_limit_share_t *share)
{
  return share->generation == 0 && !holder->draining
         && home_of (holder, share) != LT_LIMIT_PLACE_NONE;
}

lt_limit_spend_t
lt_limit_holder_spend (lt_limit_holder_t *holder, uint32_t workspace,
                       bool repeat, int64_t now_us,
                       lt_limit_actions_t *actions)
{
  if (workspace >= holder->count)
    return (lt_limit_spend_t){ LT_LIMIT_REFUSED, LT_US_PER_S };
  lt_limit_share_t *share
      = use_share (holder, &holder->slots[workspace], now_us);
  if (!repeat)
    share->demand_count++;
  lt_limit_share_fill (share, holder->options.times.batch_us, now_us);
  lt_limit_lend_held (share, holder->options.times.batch_us, now_us, actions);
  if (lt_limit_share_take (share, now_us))
    return (lt_limit_spend_t){ LT_LIMIT_GRANTED, 0 };
  bool alone = holder->lenders[lt_limit_group (share->rate.workspace)] == 0;
  if (alone && waits_for_first (holder, share))
    {
      share->waiting++;
      return (lt_limit_spend_t){ LT_LIMIT_WAIT, 0 };
    }
  if (alone || holder->draining || now_us < share->denied_until_us)
    return (lt_limit_spend_t){ LT_LIMIT_REFUSED, retry_after (share, now_us) };
  share->waiting++;
  if (!share->borrow_open)
    {
      share->best_ppm = 0;
      send_tokens_ask (holder, share, 0, false, now_us, actions);
    }
  return (lt_limit_spend_t){ LT_LIMIT_WAIT, 0 };
}

static void
on_grant (lt_limit_holder_t *holder, lt_limit_share_t *share,
          const lt_limit_message_t *message, int64_t now_us,
          lt_limit_actions_t *actions)
{
  lt_limit_share_grant (share, message, holder->options.times.validity_us,
                        now_us);
  share->ask_open = false;
  share->ask_wait_us = holder->options.ask_us;
  wake (actions, share);
}

static void
on_ack (lt_limit_holder_t *holder, lt_limit_share_t *share,
        const lt_limit_message_t *message, int64_t now_us)
{
  lt_limit_share_ack (share, message, holder->options.times.validity_us,
                      now_us);
  share->ask_open = false;
}

/* Parts that stay here on a recall.  */
static int32_t
kept_ppm (const lt_limit_holder_t *holder, const lt_limit_share_t *share)
{
  int32_t need = lt_limit_share_need (share, KEEP_HEADROOM);
  if (share->removed || !lends (holder, share->rate.workspace))
    return need;
  int32_t least = lt_limit_min_ppm (&share->rate);
  if (least < holder->options.keep_ppm)
    least = holder->options.keep_ppm;
  return need > least ? need : least;
}

static void
on_recall (lt_limit_holder_t *holder, lt_limit_share_t *share,
           const lt_limit_message_t *message, int64_t now_us,
           lt_limit_actions_t *actions)
{
  int32_t spare = share->ppm - kept_ppm (holder, share);
  int32_t give = spare < message->ppm ? spare : message->ppm;
  if (give < STEP_PPM && give < share->ppm)
    return;
  if (lt_limit_share_give (share, give, now_us))
    send_return (holder, share, now_us, actions);
}

static void
on_tokens_ask (lt_limit_holder_t *holder, const lt_limit_vm_t *vm,
               const lt_limit_message_t *message, int64_t now_us,
               lt_limit_actions_t *actions)
{
  slot_t *slot = find_slot (holder, message->workspace);
  if (slot == NULL || holder->draining || message->tokens == 0)
    {
      lt_limit_lend_reply (NULL, vm, message, 0, actions);
      return;
    }
  lt_limit_share_t *share = use_share (holder, slot, now_us);
  int64_t batch_us = holder->options.times.batch_us;
  lt_limit_share_fill (share, batch_us, now_us);
  lt_limit_lend_ask (share, vm, message, batch_us, now_us, actions);
}

static void
on_tokens_lend (lt_limit_holder_t *holder, lt_limit_share_t *share,
                const lt_limit_message_t *message, int64_t now_us,
                lt_limit_actions_t *actions)
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
      ask_next_lender (holder, share, now_us, actions);
      return;
    }
  share->borrow_open = false;
  share->deny_wait_us = DENY_WAIT_US;
  lt_limit_share_borrow (
      share, message->tokens,
      share->borrow_sent_us + holder->options.times.batch_us, now_us);
  wake (actions, share);
}

void
lt_limit_holder_message (lt_limit_holder_t *holder, const lt_limit_vm_t *vm,
                         const lt_limit_message_t *message, int64_t now_us,
                         lt_limit_actions_t *actions)
{
  if (message->ppm < 0 || message->ppm > LT_LIMIT_WHOLE_PPM
      || message->tokens < 0)
    return;
  if (message->type == LT_LIMIT_TOKENS_ASK)
    {
      on_tokens_ask (holder, vm, message, now_us, actions);
      return;
    }
  lt_limit_share_t *share = find_share (holder, message->workspace);
  if (share == NULL || message->incarnation != holder->options.incarnation)
    return;
  lt_limit_share_fill (share, holder->options.times.batch_us, now_us);
  if (message->type == LT_LIMIT_SHARE_GRANT)
    on_grant (holder, share, message, now_us, actions);
  else if (message->type == LT_LIMIT_SHARE_ACK)
    on_ack (holder, share, message, now_us);
  else if (message->type == LT_LIMIT_SHARE_ASK && message->recall)
    on_recall (holder, share, message, now_us, actions);
  else if (message->type == LT_LIMIT_TOKENS_LEND)
    on_tokens_lend (holder, share, message, now_us, actions);
}

/* Returns the parts to ask for.  Sets *SPARE when they are for lending only,
   so that nobody is asked to return any.  */
static int32_t
wanted_ppm (const lt_limit_holder_t *holder, const lt_limit_share_t *share,
            bool *spare)
{
  *spare = false;
  int32_t want = lt_limit_share_need (share, ASK_HEADROOM) - share->ppm;
  /* Borrowing covers small shortfalls without a write of the record.  */
  int32_t least = share->ppm / 4 > STEP_PPM ? share->ppm / 4 : STEP_PPM;
  if (share->ppm > 0 && want < least)
    want = 0;
  if (want > 0 || share->removed || !lends (holder, share->rate.workspace))
    return want > 0 ? want : 0;
  *spare = true;
  /* The lenders divide what nobody asks for.  */
  uint32_t group = lt_limit_group (share->rate.workspace);
  want = LT_LIMIT_WHOLE_PPM / (holder->lenders[group] + 1) - share->ppm;
  return want >= STEP_PPM ? want : 0;
}

/* Sends an ask, a renewal, or the repetition of an unanswered one.  */
static void
ask_if_due (lt_limit_holder_t *holder, lt_limit_share_t *share, int64_t now_us,
            lt_limit_actions_t *actions)
{
  if (now_us < share->ask_next_us || holder->draining)
    return;
  int64_t validity_us = holder->options.times.validity_us;
  bool spare;
  int32_t want = wanted_ppm (holder, share, &spare);
  bool renew = share->ppm > 0 && !share->removed
               && share->valid_until_us - now_us
                      < validity_us - validity_us / RENEW_PART;
  if (want == 0 && !renew && !share->ask_open)
    return;
  bool ask = want > 0 && !spare;
  lt_limit_message_t message = share_message (
      holder, share, ask ? LT_LIMIT_SHARE_ASK : LT_LIMIT_SHARE_RENEW, now_us);
  message.ppm = want > 0 && want < STEP_PPM ? STEP_PPM : want;
  share->ask_open = true;
  share->ask_sent_us = now_us;
  share->ask_next_us = now_us + share->ask_wait_us;
  share->ask_wait_us *= 2;
  if (share->ask_wait_us > ASK_WAIT_MAX_US)
    share->ask_wait_us = ASK_WAIT_MAX_US;
  send_home (actions, &message);
}

/* Returns parts that demand has left, without being asked.  */
static void
return_idle (lt_limit_holder_t *holder, lt_limit_share_t *share,
             int64_t now_us, lt_limit_actions_t *actions)
{
  int32_t kept = (int32_t)(kept_ppm (holder, share) * RETURN_HEADROOM);
  if (lends (holder, share->rate.workspace)
      || share->ppm < 2 * kept + STEP_PPM)
    return;
  if (lt_limit_share_give (share, share->ppm - kept, now_us))
    send_return (holder, share, now_us, actions);
}

static void
tick_share (lt_limit_holder_t *holder, lt_limit_share_t *share, int64_t now_us,
            lt_limit_actions_t *actions)
{
  lt_limit_share_fill (share, holder->options.times.batch_us, now_us);
  lt_limit_lend_tick (share, holder->options.times.batch_us, now_us, actions);
  lt_limit_share_measure (share, now_us);
  if (share->borrow_open && now_us - share->borrow_sent_us > BORROW_TIMEOUT_US)
    ask_next_lender (holder, share, now_us, actions);
  if (home_of (holder, share) == LT_LIMIT_PLACE_NONE)
    return;
  if (share->pending.ppm > 0
      && now_us - share->pending.sent_us >= share->pending.wait_us)
    {
      share->pending.wait_us *= 2;
      if (share->pending.wait_us > RETURN_WAIT_MAX_US)
        share->pending.wait_us = RETURN_WAIT_MAX_US;
      send_return (holder, share, now_us, actions);
    }
  if ((holder->draining || share->removed) && share->ppm > 0
      && lt_limit_share_give (share, share->ppm, now_us))
    send_return (holder, share, now_us, actions);
  return_idle (holder, share, now_us, actions);
  ask_if_due (holder, share, now_us, actions);
}

void
lt_limit_holder_tick (lt_limit_holder_t *holder, int64_t now_us,
                      lt_limit_actions_t *actions)
{
  for (uint32_t i = 0; i < holder->count; i++)
    {
      slot_t *slot = &holder->slots[i];
      if (slot->share == NULL && !holder->draining
          && lends (holder, slot->rate.workspace))
        use_share (holder, slot, now_us);
      if (slot->share == NULL)
        continue;
      tick_share (holder, slot->share, now_us, actions);
      if (lt_limit_share_unused (slot->share, now_us))
        {
          free_share (slot->share);
          slot->share = NULL;
        }
    }
  for (lt_limit_share_t **at = &holder->removed; *at != NULL;)
    {
      lt_limit_share_t *share = *at;
      tick_share (holder, share, now_us, actions);
      if (!lt_limit_share_unused (share, now_us))
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
returned_all (const lt_limit_share_t *share)
{
  return share == NULL || (share->ppm == 0 && share->pending.ppm == 0);
}

bool
lt_limit_holder_drained (const lt_limit_holder_t *holder)
{
  for (uint32_t i = 0; i < holder->count; i++)
    if (!returned_all (holder->slots[i].share))
      return false;
  for (const lt_limit_share_t *s = holder->removed; s != NULL; s = s->next)
    if (!returned_all (s))
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
