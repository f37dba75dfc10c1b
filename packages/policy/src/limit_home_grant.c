#include "limit_home_internal.h"

#include "limit_record.h"
#include "lt/base/clock.h"

/** Several requests divide a pool only into grants of at least this size; also
    the least size of a recall.  */
#define MIN_TRANSFER_PPM 5000
#define RECALL_BACKOFF_MAX_US (8 * LT_US_PER_S)

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
                               .sequence = grant->grant_seq,
                               .return_seq = grant->return_seq,
                               .ppm = ppm,
                               .tokens = tokens,
                               .sent_us = envelope->message.sent_us };
  lt_limit_queue_add (&home->replies, &envelope->vm, &reply);
}

static void
add_missing_entry_reply (lt_limit_home_t *home,
                         const lt_limit_envelope_t *envelope)
{
  lt_limit_message_t reply = { .type = LT_LIMIT_SHARE_ACK,
                               .entry_missing = true,
                               .workspace = envelope->message.workspace,
                               .incarnation = envelope->message.incarnation,
                               .generation = envelope->message.generation };
  lt_limit_queue_add (&home->replies, &envelope->vm, &reply);
}

/* Returns the ppm to grant to a holder that has HELD_PPM and requests WANTED.
   Returns 0 when the resulting share would be below lt_limit_min_ppm.  */
static int32_t
grant_size (lt_limit_home_t *home, const lt_limit_pool_t *pool, int32_t wanted,
            int32_t held_ppm)
{
  int32_t left
      = LT_LIMIT_WHOLE_PPM
        - lt_limit_record_granted_ppm (&home->draft, pool->rate.workspace);
  int32_t size = wanted;
  /* When several requests are queued, each gets at most half of what is left,
     so that the first ones do not take everything.  */
  if (pool->request_count > 1 && size > left / 2
      && left > 2 * MIN_TRANSFER_PPM)
    size = left / 2;
  if (size > left)
    size = left;
  int32_t least = lt_limit_min_ppm (&pool->rate);
  if (held_ppm + size < least)
    size = least - held_ppm <= left ? least - held_ppm : 0;
  return size > 0 ? size : 0;
}

/* Records a grant of SIZE ppm in ENTRY of the draft.  */
static void
record_grant (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
              lt_limit_pool_t *pool, lt_limit_grant_t *entry, int32_t size,
              int64_t now_us)
{
  /* Before a takeover is written, the tokens of the pool belong to the former
     home.  With the first record, the full burst is unused.  */
  int64_t tokens = 0;
  if (lt_limit_home_is_owner (home))
    tokens = lt_limit_pool_take (pool, size, now_us);
  else if (home->record.version == 0)
    tokens = lt_limit_capacity (&pool->rate, size);
  entry->ppm += size;
  entry->last_ppm = size;
  entry->grant_seq++;
  entry->confirmed_ms = home->draft.clock_ms;
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_GRANT, size, tokens);
}

/* Counts the ppm that a request was not granted, to be recalled from holders.
   Renewals only get what is left in the pool and cause no recalls.  */
static void
add_unmet (lt_limit_pool_t *pool, const lt_limit_message_t *message,
           int32_t size)
{
  if (pool != NULL && message->type == LT_LIMIT_SHARE_REQUEST
      && message->ppm > size)
    pool->unmet_ppm += message->ppm - size;
}

/* Handles a request of a holder that has no entry.  Returns whether the draft
   must be written.  */
static bool
grant_first (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
             lt_limit_pool_t *pool, int64_t now_us)
{
  int32_t size = 0;
  if (pool != NULL && envelope->message.ppm > 0)
    size = grant_size (home, pool, envelope->message.ppm, 0);
  add_unmet (pool, &envelope->message, size);
  if (size == 0)
    {
      add_missing_entry_reply (home, envelope);
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
grant_more (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
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
  /* A request that is granted nothing does not cause a write, unless the share
     is also due to be confirmed.  */
  int64_t age_ms = home->draft.clock_ms - entry->confirmed_ms;
  bool confirm
      = envelope->message.ppm == 0
        || age_ms * LT_US_PER_MS > home->options.times.share_validity_us / 8;
  if (confirm)
    entry->confirmed_ms = home->draft.clock_ms;
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_ACK, 0, 0);
  if (!confirm)
    home->replies.items[home->replies.count - 1].message.sent_us = 0;
  return confirm;
}

/* Sends the last grant again without its tokens: the holder may have received
   and spent them.  */
static bool
repeat_grant (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
              lt_limit_grant_t *entry)
{
  entry->confirmed_ms = home->draft.clock_ms;
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_GRANT, entry->last_ppm, 0);
  return true;
}

static bool
handle_request (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
                lt_limit_grant_t *entry, int64_t now_us)
{
  const lt_limit_message_t *message = &envelope->message;
  lt_limit_pool_t *pool = lt_limit_home_pool (home, message->workspace);
  if (entry == NULL)
    return grant_first (home, envelope, pool, now_us);
  if (message->generation < entry->generation)
    return entry->grant_seq == 1 && repeat_grant (home, envelope, entry);
  if (message->generation > entry->generation)
    return false;
  if (message->sequence == entry->grant_seq - 1)
    return repeat_grant (home, envelope, entry);
  if (message->sequence != entry->grant_seq)
    return false;
  return grant_more (home, envelope, pool, entry, now_us);
}

static bool
handle_return (lt_limit_home_t *home, const lt_limit_envelope_t *envelope,
               lt_limit_grant_t *entry)
{
  const lt_limit_message_t *message = &envelope->message;
  if (entry == NULL || entry->generation != message->generation)
    {
      add_missing_entry_reply (home, envelope);
      return true;
    }
  if (message->return_seq != entry->return_seq + 1
      || message->ppm > entry->ppm)
    {
      add_reply (home, envelope, entry, LT_LIMIT_SHARE_ACK, 0, 0);
      home->replies.items[home->replies.count - 1].message.sent_us = 0;
      return false;
    }
  entry->return_seq++;
  entry->ppm -= message->ppm;
  entry->recall_backoff_us = 0;
  lt_limit_pool_t *pool = lt_limit_home_pool (home, message->workspace);
  if (pool != NULL)
    {
      int64_t cap = lt_limit_capacity (&pool->rate, message->ppm);
      pool->returned_tokens += message->tokens < cap ? message->tokens : cap;
    }
  add_reply (home, envelope, entry, LT_LIMIT_SHARE_ACK, 0, 0);
  home->replies.items[home->replies.count - 1].message.sent_us = 0;
  if (entry->ppm == 0)
    lt_limit_record_remove (&home->draft, entry);
  return true;
}

bool
lt_limit_home_apply (lt_limit_home_t *home,
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
                   : handle_request (home, envelope, entry, now_us);
  return dirty || older > 0;
}

void
lt_limit_home_recall (lt_limit_home_t *home, lt_limit_pool_t *pool,
                      int64_t now_us)
{
  int32_t holders = 0;
  for (size_t i = 0; i < home->draft.count; i++)
    holders += home->draft.grants[i].workspace == pool->rate.workspace;
  if (pool->unmet_ppm <= 0 || holders == 0)
    return;
  int64_t each = 2LL * pool->unmet_ppm / holders;
  each = each > MIN_TRANSFER_PPM ? each : MIN_TRANSFER_PPM;
  for (size_t i = 0; i < home->draft.count; i++)
    {
      lt_limit_grant_t *grant = &home->draft.grants[i];
      if (grant->workspace != pool->rate.workspace
          || now_us - grant->recalled_us < grant->recall_backoff_us)
        continue;
      grant->recalled_us = now_us;
      grant->recall_backoff_us = grant->recall_backoff_us == 0
                                     ? home->options.recall_interval_us
                                     : 2 * grant->recall_backoff_us;
      if (grant->recall_backoff_us > RECALL_BACKOFF_MAX_US)
        grant->recall_backoff_us = RECALL_BACKOFF_MAX_US;
      lt_limit_message_t message
          = { .type = LT_LIMIT_SHARE_REQUEST,
              .recall = true,
              .workspace = grant->workspace,
              .incarnation = grant->incarnation,
              .ppm = each < LT_LIMIT_WHOLE_PPM ? (int32_t)each
                                               : LT_LIMIT_WHOLE_PPM };
      lt_limit_queue_add (&home->recalls, &grant->vm, &message);
    }
  pool->unmet_ppm = 0;
}
