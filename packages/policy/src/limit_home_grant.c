#include "limit_home_internal.h"

#include "limit_record.h"
#include "lt/base/clock.h"

/** Smallest grant, other than the rest of the pool.  */
#define STEP_PPM 5000
#define RECALL_WAIT_MAX_US (8 * LT_US_PER_S)

bool
lt_limit_is_return (const lt_limit_message_t *message)
{
  return message->type == LT_LIMIT_SHARE_RETURN;
}

static void
add_reply (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
           const lt_limit_grant_t *grant, lt_limit_message_type_t type,
           int32_t ppm, int64_t tokens)
{
  lt_limit_message_t reply = { .type = type,
                               .workspace = envelope->message.workspace,
                               .incarnation = envelope->message.incarnation,
                               .generation = grant->generation,
                               .transfer = grant->transfer,
                               .returned = grant->returned,
                               .ppm = ppm,
                               .tokens = tokens,
                               .sent_us = envelope->message.sent_us };
  lt_limit_queue_add (&home->replies, &envelope->vm, &reply);
}

static void
add_gone (lt_limit_home_t *home, const lt_limit_envelope_t *envelope)
{
  lt_limit_message_t reply = { .type = LT_LIMIT_SHARE_ACK,
                               .gone = true,
                               .workspace = envelope->message.workspace,
                               .incarnation = envelope->message.incarnation,
                               .generation = envelope->message.generation };
  lt_limit_queue_add (&home->replies, &envelope->vm, &reply);
}

/* Returns how many parts of the pool an ask for WANTED gets, for a holder that
   has HELD: none if the share would be too small for two requests.  */
static int32_t
grant_size (lt_limit_home_t *home, const lt_limit_pool_t *pool, int32_t wanted,
            int32_t held)
{
  int32_t left
      = LT_LIMIT_WHOLE_PPM
        - lt_limit_record_granted (&home->draft, pool->rate.workspace);
  int32_t size = wanted;
  /* Half of the rest at most, so that asks of one batch all get some.  */
  if (pool->asks > 1 && size > left / 2 && left > 2 * STEP_PPM)
    size = left / 2;
  if (size > left)
    size = left;
  int32_t least = lt_limit_min_ppm (&pool->rate);
  if (held + size < least)
    size = least - held <= left ? least - held : 0;
  return size > 0 ? size : 0;
}

/* Records a grant of SIZE parts in ENTRY of the draft.  */
static void
record_grant (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
              lt_limit_pool_t *pool, lt_limit_grant_t *entry, int32_t size,
              int64_t now_us)
{
  /* Until the takeover is written, the tokens belong to the former home; with
     the first record, the whole burst is unused.  */
  int64_t tokens = 0;
  if (lt_limit_home_owns (home))
    tokens = lt_limit_pool_take (pool, size, now_us);
  else if (home->record.version == 0)
    tokens = lt_limit_cap (&pool->rate, size);
  entry->ppm += size;
  entry->last_ppm = size;
  entry->transfer++;
  entry->acked_ms = home->draft.clock_ms;
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_GRANT, size, tokens);
}

/* Notes what an ask did not get.  A renewal takes only what is left.  */
static void
add_unmet (lt_limit_pool_t *pool, const lt_limit_message_t *message,
           int32_t size)
{
  if (pool != NULL && message->type == LT_LIMIT_SHARE_ASK
      && message->ppm > size)
    pool->unmet += message->ppm - size;
}

/* Handles an ask of a holder without entry.  Returns whether the draft must be
   written.  */
static bool
ask_first (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
           lt_limit_pool_t *pool, int64_t now_us)
{
  int32_t size = 0;
  if (pool != NULL && envelope->message.ppm > 0)
    size = grant_size (home, pool, envelope->message.ppm, 0);
  add_unmet (pool, &envelope->message, size);
  if (size == 0)
    {
      add_gone (home, envelope);
      return envelope->message.generation > 0;
    }
  lt_limit_grant_t entry = { .vm = envelope->vm,
                             .incarnation = envelope->message.incarnation,
                             .workspace = envelope->message.workspace,
                             .generation = home->record.version + 1 };
  lt_limit_record_add (&home->draft, &entry);
  record_grant (home, envelope, pool,
                &home->draft.grants[home->draft.count - 1], size, now_us);
  return true;
}

static bool
ask_more (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
          lt_limit_pool_t *pool, lt_limit_grant_t *entry, int64_t now_us)
{
  int32_t size = 0;
  if (pool != NULL && envelope->message.ppm > 0)
    size = grant_size (home, pool, envelope->message.ppm, entry->ppm);
  add_unmet (pool, &envelope->message, size);
  if (size > 0)
    {
      record_grant (home, envelope, pool, entry, size, now_us);
      return true;
    }
  /* An ask that gets nothing does not cost a write, unless its share is due
     for confirmation as well.  */
  int64_t age_ms = home->draft.clock_ms - entry->acked_ms;
  bool confirm
      = envelope->message.ppm == 0
        || age_ms * LT_US_PER_MS > home->options.times.validity_us / 8;
  if (confirm)
    entry->acked_ms = home->draft.clock_ms;
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_ACK, 0, 0);
  if (!confirm)
    home->replies.items[home->replies.count - 1].message.sent_us = 0;
  return confirm;
}

/* Sends the last grant again; its tokens stay lost.  */
static bool
repeat_grant (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
              lt_limit_grant_t *entry)
{
  entry->acked_ms = home->draft.clock_ms;
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_GRANT, entry->last_ppm, 0);
  return true;
}

static bool
handle_ask (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
            lt_limit_grant_t *entry, int64_t now_us)
{
  const lt_limit_message_t *message = &envelope->message;
  lt_limit_pool_t *pool = lt_limit_home_pool (home, message->workspace);
  if (entry == NULL)
    return ask_first (home, envelope, pool, now_us);
  if (message->generation < entry->generation)
    return entry->transfer == 1 && repeat_grant (home, envelope, entry);
  if (message->generation > entry->generation)
    return false;
  if (message->transfer == entry->transfer - 1)
    return repeat_grant (home, envelope, entry);
  if (message->transfer != entry->transfer)
    return false;
  return ask_more (home, envelope, pool, entry, now_us);
}

static bool
handle_return (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
               lt_limit_grant_t *entry)
{
  const lt_limit_message_t *message = &envelope->message;
  if (entry == NULL || entry->generation != message->generation)
    {
      add_gone (home, envelope);
      return true;
    }
  if (message->returned != entry->returned + 1 || message->ppm > entry->ppm)
    {
      add_reply (home, envelope, entry, LT_LIMIT_SHARE_ACK, 0, 0);
      home->replies.items[home->replies.count - 1].message.sent_us = 0;
      return false;
    }
  entry->returned++;
  entry->ppm -= message->ppm;
  entry->recall_wait_us = 0;
  lt_limit_pool_t *pool = lt_limit_home_pool (home, message->workspace);
  if (pool != NULL)
    {
      int64_t cap = lt_limit_cap (&pool->rate, message->ppm);
      pool->credit += message->tokens < cap ? message->tokens : cap;
    }
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_ACK, 0, 0);
  home->replies.items[home->replies.count - 1].message.sent_us = 0;
  if (entry->ppm == 0)
    lt_limit_record_remove (&home->draft, entry);
  return true;
}

bool
lt_limit_home_handle (lt_limit_home_t *home,
                      const lt_limit_envelope_t *envelope, int64_t now_us)
{
  const lt_limit_message_t *message = &envelope->message;
  size_t older = lt_limit_record_remove_older (&home->draft, &envelope->vm,
                                               message->incarnation);
  home->reclaimed += older;
  lt_limit_grant_t *entry
      = lt_limit_record_find (&home->draft, &envelope->vm, message->workspace);
  if (entry != NULL && entry->incarnation > message->incarnation)
    return older > 0;
  bool dirty = lt_limit_is_return (message)
                   ? handle_return (home, envelope, entry)
                   : handle_ask (home, envelope, entry, now_us);
  return dirty || older > 0;
}

void
lt_limit_home_recall (lt_limit_home_t *home, lt_limit_pool_t *pool,
                      int64_t now_us)
{
  int32_t holders = 0;
  for (size_t i = 0; i < home->draft.count; i++)
    holders += home->draft.grants[i].workspace == pool->rate.workspace;
  if (pool->unmet <= 0 || holders == 0)
    return;
  int64_t each = 2LL * pool->unmet / holders;
  each = each > STEP_PPM ? each : STEP_PPM;
  for (size_t i = 0; i < home->draft.count; i++)
    {
      lt_limit_grant_t *grant = &home->draft.grants[i];
      if (grant->workspace != pool->rate.workspace
          || now_us - grant->recalled_us < grant->recall_wait_us)
        continue;
      grant->recalled_us = now_us;
      grant->recall_wait_us = grant->recall_wait_us == 0
                                  ? home->options.recall_us
                                  : 2 * grant->recall_wait_us;
      if (grant->recall_wait_us > RECALL_WAIT_MAX_US)
        grant->recall_wait_us = RECALL_WAIT_MAX_US;
      lt_limit_message_t message
          = { .type = LT_LIMIT_SHARE_ASK,
              .recall = true,
              .workspace = grant->workspace,
              .incarnation = grant->incarnation,
              .ppm = each < LT_LIMIT_WHOLE_PPM ? (int32_t)each
                                               : LT_LIMIT_WHOLE_PPM };
      lt_limit_queue_add (&home->recalls, &grant->vm, &message);
    }
  pool->unmet = 0;
}
