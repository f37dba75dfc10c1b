#include "lt/policy/limit_home.h"

#include <stdlib.h>
#include <string.h>

#include "limit_record.h"
#include "lt/base/clock.h"
#include "lt/base/str.h"

#define INBOX_MAX 4096
/** Waiting messages that a new one is compared with, to drop repetitions.  */
#define INBOX_DEDUPE 256
/** Smallest grant, other than the rest of the pool.  */
#define STEP_PPM 5000
#define RECALL_WAIT_MAX_US (8 * LT_US_PER_S)
#define READ_RETRY_US LT_US_PER_S

typedef struct pool
{
  lt_limit_rate_t rate;
  int32_t ppm;
  int64_t tokens;
  int64_t filled_us;
  int64_t credit; /**< Tokens of returns in the draft. */
  uint32_t asks;  /**< In this batch. */
  int32_t unmet;  /**< Parts asked for and not granted in this batch. */
} pool_t;

typedef struct letter
{
  lt_limit_vm_t vm;
  lt_limit_message_t message;
} letter_t;

typedef struct letters
{
  letter_t *items;
  size_t count;
  size_t cap;
} letters_t;

typedef enum state
{
  STATE_UNREAD, /**< The record must be read before anything else. */
  STATE_READING,
  STATE_IDLE,
  STATE_WRITING
} state_t;

struct lt_limit_home
{
  lt_limit_home_options_t options;
  bool is_home;
  state_t state;
  pool_t *pools;
  uint32_t pool_count;
  lt_limit_record_t record; /**< As last read or written. */
  lt_limit_record_t draft;
  int64_t record_us;  /**< When the response with the record arrived. */
  int64_t seen_us;    /**< When its version was first seen. */
  int64_t written_us; /**< When the last write was sent. */
  int64_t leased_until_us;
  int64_t next_read_us;
  int64_t write_id;
  bool unresolved; /**< The outcome of the draft's write is unknown. */
  letters_t inbox;
  letters_t replies; /**< Sent when the draft is written. */
  letters_t recalls;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t reclaimed;
};

static void
letters_add (letters_t *list, const lt_limit_vm_t *vm,
             const lt_limit_message_t *message)
{
  if (list->count == list->cap)
    {
      list->cap = list->cap == 0 ? 8 : 2 * list->cap;
      list->items
          = lt_realloc (list->items, list->cap * sizeof (*list->items));
    }
  list->items[list->count++] = (letter_t){ *vm, *message };
}

static void
letters_send (letters_t *list, lt_limit_actions_t *actions)
{
  for (size_t i = 0; i < list->count; i++)
    {
      lt_limit_action_t action = { .type = LT_LIMIT_SEND,
                                   .vm = list->items[i].vm,
                                   .message = list->items[i].message };
      lt_limit_actions_add (actions, &action);
    }
  list->count = 0;
}

lt_limit_home_t *
lt_limit_home_create (const lt_limit_home_options_t *options)
{
  lt_limit_home_t *home = lt_alloc (sizeof (*home));
  home->options = *options;
  return home;
}

void
lt_limit_home_destroy (lt_limit_home_t *home)
{
  if (home == NULL)
    return;
  lt_limit_record_destroy (&home->record);
  lt_limit_record_destroy (&home->draft);
  free (home->pools);
  free (home->inbox.items);
  free (home->replies.items);
  free (home->recalls.items);
  free (home);
}

static pool_t *
find_pool (lt_limit_home_t *home, uint64_t workspace)
{
  for (uint32_t i = 0; i < home->pool_count; i++)
    if (home->pools[i].rate.workspace == workspace)
      return &home->pools[i];
  return NULL;
}

static void
fill_pool (pool_t *pool, int64_t now_us)
{
  pool->tokens
      += lt_limit_accrued (&pool->rate, pool->ppm, now_us - pool->filled_us);
  if (now_us > pool->filled_us)
    pool->filled_us = now_us;
  int64_t cap = lt_limit_cap (&pool->rate, pool->ppm);
  if (pool->tokens > cap)
    pool->tokens = cap;
}

static bool
owns_record (const lt_limit_home_t *home)
{
  return home->record.version > 0
         && lt_limit_vm_equal (&home->record.home, &home->options.vm)
         && home->record.home_incarnation == home->options.incarnation
         && !home->record.released;
}

void
lt_limit_home_configure (lt_limit_home_t *home, const lt_limit_rate_t *rates,
                         uint32_t count, int64_t now_us)
{
  pool_t *pools = lt_alloc ((count + 1) * sizeof (*pools));
  for (uint32_t i = 0; i < count; i++)
    {
      pool_t *old = find_pool (home, rates[i].workspace);
      if (old != NULL)
        {
          fill_pool (old, now_us);
          pools[i] = *old;
        }
      else if (owns_record (home))
        pools[i].ppm
            = LT_LIMIT_WHOLE_PPM
              - lt_limit_record_granted (&home->record, rates[i].workspace);
      if (old == NULL)
        pools[i].filled_us = now_us;
      pools[i].rate = rates[i];
      fill_pool (&pools[i], now_us);
    }
  free (home->pools);
  home->pools = pools;
  home->pool_count = count;
}

void
lt_limit_home_set_role (lt_limit_home_t *home, bool is_home)
{
  home->is_home = is_home;
}

static bool
is_return (const lt_limit_message_t *message)
{
  return message->type == LT_LIMIT_SHARE_RETURN;
}

void
lt_limit_home_message (lt_limit_home_t *home, const lt_limit_vm_t *vm,
                       const lt_limit_message_t *message, int64_t now_us)
{
  (void)now_us;
  if (message->recall || message->ppm < 0 || message->ppm > LT_LIMIT_WHOLE_PPM
      || message->tokens < 0)
    return;
  if (message->type != LT_LIMIT_SHARE_ASK
      && message->type != LT_LIMIT_SHARE_RENEW && !is_return (message))
    return;
  letters_t *inbox = &home->inbox;
  size_t compared = inbox->count < INBOX_DEDUPE ? inbox->count : INBOX_DEDUPE;
  for (size_t i = inbox->count - compared; i < inbox->count; i++)
    {
      letter_t *other = &inbox->items[i];
      if (other->message.workspace != message->workspace
          || is_return (&other->message) != is_return (message)
          || !lt_limit_vm_equal (&other->vm, vm))
        continue;
      if (message->incarnation >= other->message.incarnation)
        other->message = *message;
      return;
    }
  if (inbox->count < INBOX_MAX)
    letters_add (inbox, vm, message);
}

static void
add_reply (lt_limit_home_t *home, const letter_t *letter,
           const lt_limit_grant_t *grant, lt_limit_message_type_t type,
           int32_t ppm, int64_t tokens)
{
  lt_limit_message_t reply = { .type = type,
                               .workspace = letter->message.workspace,
                               .incarnation = letter->message.incarnation,
                               .generation = grant->generation,
                               .transfer = grant->transfer,
                               .returned = grant->returned,
                               .ppm = ppm,
                               .tokens = tokens,
                               .sent_us = letter->message.sent_us };
  letters_add (&home->replies, &letter->vm, &reply);
}

static void
add_gone (lt_limit_home_t *home, const letter_t *letter)
{
  lt_limit_message_t reply = { .type = LT_LIMIT_SHARE_ACK,
                               .gone = true,
                               .workspace = letter->message.workspace,
                               .incarnation = letter->message.incarnation,
                               .generation = letter->message.generation };
  letters_add (&home->replies, &letter->vm, &reply);
}

/* Returns how many parts of the pool an ask for WANTED gets, for a holder that
   has HELD: none if the share would be too small for two requests.  */
static int32_t
grant_size (lt_limit_home_t *home, const pool_t *pool, int32_t wanted,
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

/* Takes SIZE parts out of the pool; returns the tokens that go with them.  */
static int64_t
take_pool (pool_t *pool, int32_t size, int64_t now_us)
{
  fill_pool (pool, now_us);
  int32_t taken = size < pool->ppm ? size : pool->ppm;
  if (taken <= 0)
    return 0;
  int64_t tokens = (int64_t)((__int128)pool->tokens * taken / pool->ppm);
  pool->ppm -= taken;
  pool->tokens -= tokens;
  return tokens;
}

/* Records a grant of SIZE parts in ENTRY of the draft.  */
static void
record_grant (lt_limit_home_t *home, const letter_t *letter, pool_t *pool,
              lt_limit_grant_t *entry, int32_t size, int64_t now_us)
{
  /* Until the takeover is written, the tokens belong to the former home; with
     the first record, the whole burst is unused.  */
  int64_t tokens = 0;
  if (owns_record (home))
    tokens = take_pool (pool, size, now_us);
  else if (home->record.version == 0)
    tokens = lt_limit_cap (&pool->rate, size);
  entry->ppm += size;
  entry->last_ppm = size;
  entry->transfer++;
  entry->acked_ms = home->draft.clock_ms;
  add_reply (home, letter, entry, LT_LIMIT_SHARE_GRANT, size, tokens);
}

/* Notes what an ask did not get.  A renewal takes only what is left.  */
static void
add_unmet (pool_t *pool, const lt_limit_message_t *message, int32_t size)
{
  if (pool != NULL && message->type == LT_LIMIT_SHARE_ASK
      && message->ppm > size)
    pool->unmet += message->ppm - size;
}

/* Handles an ask of a holder without entry.  Returns whether the draft must be
   written.  */
static bool
ask_first (lt_limit_home_t *home, const letter_t *letter, pool_t *pool,
           int64_t now_us)
{
  int32_t size = 0;
  if (pool != NULL && letter->message.ppm > 0)
    size = grant_size (home, pool, letter->message.ppm, 0);
  add_unmet (pool, &letter->message, size);
  if (size == 0)
    {
      add_gone (home, letter);
      return letter->message.generation > 0;
    }
  lt_limit_grant_t entry = { .vm = letter->vm,
                             .incarnation = letter->message.incarnation,
                             .workspace = letter->message.workspace,
                             .generation = home->record.version + 1 };
  lt_limit_record_add (&home->draft, &entry);
  record_grant (home, letter, pool, &home->draft.grants[home->draft.count - 1],
                size, now_us);
  return true;
}

static bool
ask_more (lt_limit_home_t *home, const letter_t *letter, pool_t *pool,
          lt_limit_grant_t *entry, int64_t now_us)
{
  int32_t size = 0;
  if (pool != NULL && letter->message.ppm > 0)
    size = grant_size (home, pool, letter->message.ppm, entry->ppm);
  add_unmet (pool, &letter->message, size);
  if (size > 0)
    {
      record_grant (home, letter, pool, entry, size, now_us);
      return true;
    }
  /* An ask that gets nothing does not cost a write, unless its share is due
     for confirmation as well.  */
  int64_t age_ms = home->draft.clock_ms - entry->acked_ms;
  bool confirm
      = letter->message.ppm == 0
        || age_ms * LT_US_PER_MS > home->options.times.validity_us / 8;
  if (confirm)
    entry->acked_ms = home->draft.clock_ms;
  add_reply (home, letter, entry, LT_LIMIT_SHARE_ACK, 0, 0);
  if (!confirm)
    home->replies.items[home->replies.count - 1].message.sent_us = 0;
  return confirm;
}

/* Sends the last grant again; its tokens stay lost.  */
static bool
repeat_grant (lt_limit_home_t *home, const letter_t *letter,
              lt_limit_grant_t *entry)
{
  entry->acked_ms = home->draft.clock_ms;
  add_reply (home, letter, entry, LT_LIMIT_SHARE_GRANT, entry->last_ppm, 0);
  return true;
}

static bool
handle_ask (lt_limit_home_t *home, const letter_t *letter,
            lt_limit_grant_t *entry, int64_t now_us)
{
  const lt_limit_message_t *message = &letter->message;
  pool_t *pool = find_pool (home, message->workspace);
  if (entry == NULL)
    return ask_first (home, letter, pool, now_us);
  if (message->generation < entry->generation)
    return entry->transfer == 1 && repeat_grant (home, letter, entry);
  if (message->generation > entry->generation)
    return false;
  if (message->transfer == entry->transfer - 1)
    return repeat_grant (home, letter, entry);
  if (message->transfer != entry->transfer)
    return false;
  return ask_more (home, letter, pool, entry, now_us);
}

static bool
handle_return (lt_limit_home_t *home, const letter_t *letter,
               lt_limit_grant_t *entry)
{
  const lt_limit_message_t *message = &letter->message;
  if (entry == NULL || entry->generation != message->generation)
    {
      add_gone (home, letter);
      return true;
    }
  if (message->returned != entry->returned + 1 || message->ppm > entry->ppm)
    {
      add_reply (home, letter, entry, LT_LIMIT_SHARE_ACK, 0, 0);
      home->replies.items[home->replies.count - 1].message.sent_us = 0;
      return false;
    }
  entry->returned++;
  entry->ppm -= message->ppm;
  entry->recall_wait_us = 0;
  pool_t *pool = find_pool (home, message->workspace);
  if (pool != NULL)
    {
      int64_t cap = lt_limit_cap (&pool->rate, message->ppm);
      pool->credit += message->tokens < cap ? message->tokens : cap;
    }
  add_reply (home, letter, entry, LT_LIMIT_SHARE_ACK, 0, 0);
  home->replies.items[home->replies.count - 1].message.sent_us = 0;
  if (entry->ppm == 0)
    lt_limit_record_remove (&home->draft, entry);
  return true;
}

/* Applies one message to the draft.  Returns whether it must be written.  */
static bool
handle_letter (lt_limit_home_t *home, const letter_t *letter, int64_t now_us)
{
  const lt_limit_message_t *message = &letter->message;
  size_t older = lt_limit_record_remove_older (&home->draft, &letter->vm,
                                               message->incarnation);
  home->reclaimed += older;
  lt_limit_grant_t *entry
      = lt_limit_record_find (&home->draft, &letter->vm, message->workspace);
  if (entry != NULL && entry->incarnation > message->incarnation)
    return older > 0;
  bool dirty = is_return (message) ? handle_return (home, letter, entry)
                                   : handle_ask (home, letter, entry, now_us);
  return dirty || older > 0;
}

/* Asks the holders of a workspace with unmet asks for idle parts.  */
static void
recall_unmet (lt_limit_home_t *home, pool_t *pool, int64_t now_us)
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
      letters_add (&home->recalls, &grant->vm, &message);
    }
  pool->unmet = 0;
}

/* Time after which an unconfirmed share has certainly expired: its validity by
   a clock that may run 1/256 slow, and the lease of a home that answered.  */
static int64_t
reclaim_age_ms (const lt_limit_times_t *times)
{
  return (times->validity_us + times->validity_us / 256 + times->lease_us)
         / LT_US_PER_MS;
}

static void
start_draft (lt_limit_home_t *home, int64_t now_us)
{
  lt_limit_record_copy (&home->draft, &home->record);
  int64_t elapsed_ms = (now_us - home->record_us) / LT_US_PER_MS;
  home->draft.clock_ms += elapsed_ms - elapsed_ms / 1000;
  if (owns_record (home))
    return;
  home->draft.home = home->options.vm;
  home->draft.home_incarnation = home->options.incarnation;
  home->draft.epoch++;
  home->draft.released = false;
}

static void
send_write (lt_limit_home_t *home, int64_t now_us, lt_limit_actions_t *actions)
{
  home->draft.write_id = ++home->write_id;
  home->draft.version = home->record.version + 1;
  home->written_us = now_us;
  home->state = STATE_WRITING;
  home->writes++;
  lt_limit_action_t action = { .type = LT_LIMIT_WRITE,
                               .group = home->options.group,
                               .expected_version = home->record.version };
  lt_limit_actions_add (actions, &action);
}

static void
count_asks (lt_limit_home_t *home)
{
  for (uint32_t i = 0; i < home->pool_count; i++)
    home->pools[i].asks = 0;
  for (size_t i = 0; i < home->inbox.count; i++)
    {
      const lt_limit_message_t *message = &home->inbox.items[i].message;
      pool_t *pool = find_pool (home, message->workspace);
      if (pool != NULL && !is_return (message))
        pool->asks++;
    }
}

/* Applies waiting messages and the expiry of shares to a new draft, and writes
   it when it differs or when the lease is due.  */
static void
work (lt_limit_home_t *home, int64_t now_us, lt_limit_actions_t *actions)
{
  const lt_limit_times_t *times = &home->options.times;
  bool dirty = !owns_record (home)
               || home->leased_until_us - now_us < times->lease_us * 6 / 10;
  if (!dirty && home->inbox.count == 0)
    return;
  start_draft (home, now_us);
  count_asks (home);
  for (size_t i = 0; i < home->inbox.count; i++)
    dirty |= handle_letter (home, &home->inbox.items[i], now_us);
  home->inbox.count = 0;
  size_t expired
      = lt_limit_record_remove_expired (&home->draft, reclaim_age_ms (times));
  home->reclaimed += expired;
  for (uint32_t i = 0; i < home->pool_count; i++)
    recall_unmet (home, &home->pools[i], now_us);
  letters_send (&home->recalls, actions);
  if (dirty || expired > 0)
    {
      send_write (home, now_us, actions);
      return;
    }
  /* Nothing stored changed, but the recall times of entries did.  */
  int64_t clock_ms = home->record.clock_ms;
  lt_limit_record_copy (&home->record, &home->draft);
  home->record.clock_ms = clock_ms;
  letters_send (&home->replies, actions);
}

static bool
may_own (const lt_limit_home_t *home, int64_t now_us)
{
  const lt_limit_record_t *record = &home->record;
  if (record->version == 0 || record->released || owns_record (home))
    return true;
  if (lt_limit_vm_equal (&record->home, &home->options.vm))
    return record->home_incarnation < home->options.incarnation;
  int64_t lease_us = home->options.times.lease_us;
  return now_us - home->seen_us >= lease_us + lease_us / 10;
}

static void
send_read (lt_limit_home_t *home, lt_limit_actions_t *actions)
{
  home->state = STATE_READING;
  lt_limit_action_t action
      = { .type = LT_LIMIT_READ, .group = home->options.group };
  lt_limit_actions_add (actions, &action);
}

static void
release (lt_limit_home_t *home, int64_t now_us, lt_limit_actions_t *actions)
{
  start_draft (home, now_us);
  home->draft.released = true;
  send_write (home, now_us, actions);
}

void
lt_limit_home_tick (lt_limit_home_t *home, int64_t now_us,
                    lt_limit_actions_t *actions)
{
  if (home->state == STATE_READING || home->state == STATE_WRITING)
    return;
  if (!home->is_home)
    {
      home->inbox.count = 0;
      if (home->state == STATE_IDLE && owns_record (home))
        release (home, now_us, actions);
      return;
    }
  if (home->state == STATE_UNREAD)
    {
      if (now_us >= home->next_read_us)
        send_read (home, actions);
      return;
    }
  if (!may_own (home, now_us))
    {
      home->inbox.count = 0;
      if (now_us - home->record_us >= home->options.times.lease_us / 30)
        send_read (home, actions);
      return;
    }
  if (now_us - home->written_us >= home->options.batch_write_us
      || home->writes == 0)
    work (home, now_us, actions);
}

/* Makes the pools agree with the record.  KEEP says that nobody else wrote the
   record since the pools were last filled.  */
static void
settle_pools (lt_limit_home_t *home, bool keep, bool credit, int64_t now_us)
{
  for (uint32_t i = 0; i < home->pool_count; i++)
    {
      pool_t *pool = &home->pools[i];
      fill_pool (pool, now_us);
      pool->ppm
          = LT_LIMIT_WHOLE_PPM
            - lt_limit_record_granted (&home->record, pool->rate.workspace);
      if (!keep)
        pool->tokens = 0;
      if (credit)
        pool->tokens += pool->credit;
      pool->credit = 0;
      fill_pool (pool, now_us);
    }
}

/* The draft is in the table.  */
static void
commit (lt_limit_home_t *home, int64_t now_us, lt_limit_actions_t *actions)
{
  bool first = home->record.version == 0;
  bool own = owns_record (home);
  lt_limit_record_copy (&home->record, &home->draft);
  home->record_us = now_us;
  home->seen_us = now_us;
  home->unresolved = false;
  home->leased_until_us = home->written_us + home->options.times.lease_us;
  settle_pools (home, own, own, now_us);
  if (first)
    /* No share existed before, so the whole burst is unused.  */
    for (uint32_t i = 0; i < home->pool_count; i++)
      home->pools[i].tokens
          = lt_limit_cap (&home->pools[i].rate, home->pools[i].ppm);
  letters_send (&home->replies, actions);
  home->state = home->record.released ? STATE_UNREAD : STATE_IDLE;
}

void
lt_limit_home_write_done (lt_limit_home_t *home, lt_limit_outcome_t outcome,
                          int64_t now_us, lt_limit_actions_t *actions)
{
  if (home->state != STATE_WRITING)
    return;
  if (outcome == LT_LIMIT_DONE)
    {
      commit (home, now_us, actions);
      return;
    }
  home->state = STATE_UNREAD;
  home->next_read_us = now_us;
  home->unresolved = outcome == LT_LIMIT_UNKNOWN;
  if (outcome == LT_LIMIT_CONFLICT)
    {
      home->conflicts++;
      home->replies.count = 0;
    }
}

static bool
is_draft (const lt_limit_home_t *home, const lt_limit_record_t *record)
{
  return record->version == home->draft.version
         && record->write_id == home->draft.write_id
         && record->home_incarnation == home->draft.home_incarnation
         && lt_limit_vm_equal (&record->home, &home->draft.home);
}

void
lt_limit_home_read_done (lt_limit_home_t *home, lt_limit_outcome_t outcome,
                         const lt_limit_record_t *record, int64_t now_us,
                         lt_limit_actions_t *actions)
{
  if (home->state != STATE_READING)
    return;
  if (outcome != LT_LIMIT_DONE)
    {
      home->state = STATE_UNREAD;
      home->next_read_us = now_us + READ_RETRY_US;
      return;
    }
  if (home->unresolved && is_draft (home, record))
    {
      commit (home, now_us, actions);
      return;
    }
  home->unresolved = false;
  home->replies.count = 0;
  bool same = record->version == home->record.version && record->version > 0
              && owns_record (home);
  if (record->version != home->record.version)
    home->seen_us = now_us;
  lt_limit_record_copy (&home->record, record);
  home->record_us = now_us;
  settle_pools (home, same, false, now_us);
  home->state = STATE_IDLE;
}

const lt_limit_record_t *
lt_limit_home_draft (const lt_limit_home_t *home)
{
  return &home->draft;
}

lt_limit_home_status_t
lt_limit_home_status (const lt_limit_home_t *home, int64_t now_us)
{
  return (lt_limit_home_status_t){ .leased = owns_record (home)
                                             && now_us < home->leased_until_us,
                                   .version = home->record.version,
                                   .epoch = home->record.epoch,
                                   .grants = home->record.count,
                                   .writes = home->writes,
                                   .conflicts = home->conflicts,
                                   .reclaimed = home->reclaimed };
}
