#include "lt/policy/limit_home.h"

#include <stdlib.h>

#include "limit_home_internal.h"
#include "limit_record.h"
#include "lt/base/clock.h"
#include "lt/base/str.h"

#define INBOX_MAX 4096
/** Number of queued messages that a new one is compared with, so that a
    repeated message replaces the earlier one.  */
#define INBOX_DEDUPE 256
#define READ_RETRY_US LT_US_PER_S

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
  lt_limit_queue_destroy (&home->inbox);
  lt_limit_queue_destroy (&home->replies);
  lt_limit_queue_destroy (&home->recalls);
  free (home);
}

lt_limit_pool_t *
lt_limit_home_pool (lt_limit_home_t *home, uint64_t workspace)
{
  for (uint32_t i = 0; i < home->pool_count; i++)
    if (home->pools[i].rate.workspace == workspace)
      return &home->pools[i];
  return NULL;
}

bool
lt_limit_home_is_owner (const lt_limit_home_t *home)
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
  lt_limit_pool_t *pools = lt_alloc ((count + 1) * sizeof (*pools));
  for (uint32_t i = 0; i < count; i++)
    {
      lt_limit_pool_t *old = lt_limit_home_pool (home, rates[i].workspace);
      if (old != NULL)
        {
          lt_limit_pool_refill (old, now_us);
          pools[i] = *old;
        }
      else if (lt_limit_home_is_owner (home))
        pools[i].ppm = LT_LIMIT_WHOLE_PPM
                       - lt_limit_record_granted_ppm (&home->record,
                                                      rates[i].workspace);
      if (old == NULL)
        pools[i].refilled_us = now_us;
      pools[i].rate = rates[i];
      lt_limit_pool_refill (&pools[i], now_us);
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

void
lt_limit_home_message (lt_limit_home_t *home, const lt_limit_vm_t *vm,
                       const lt_limit_message_t *message, int64_t now_us)
{
  (void)now_us;
  if (message->recall || message->ppm < 0 || message->ppm > LT_LIMIT_WHOLE_PPM
      || message->tokens < 0)
    return;
  if (message->type != LT_LIMIT_SHARE_REQUEST
      && message->type != LT_LIMIT_SHARE_RENEW
      && !lt_limit_is_return (message))
    return;
  lt_limit_queue_t *inbox = &home->inbox;
  size_t compared = inbox->count < INBOX_DEDUPE ? inbox->count : INBOX_DEDUPE;
  for (size_t i = inbox->count - compared; i < inbox->count; i++)
    {
      lt_limit_envelope_t *other = &inbox->items[i];
      if (other->message.workspace != message->workspace
          || lt_limit_is_return (&other->message)
                 != lt_limit_is_return (message)
          || !lt_limit_vm_equal (&other->vm, vm))
        continue;
      if (message->incarnation >= other->message.incarnation)
        other->message = *message;
      return;
    }
  if (inbox->count < INBOX_MAX)
    lt_limit_queue_add (inbox, vm, message);
}

/* Time after which an unconfirmed share has expired on its holder in any case:
   its validity by a clock that may run 1/256 slow, and the lease of the home
   that may have confirmed it last.  */
static int64_t
reclaim_age_ms (const lt_limit_times_t *times)
{
  return (times->share_validity_us + times->share_validity_us / 256
          + times->home_lease_us)
         / LT_US_PER_MS;
}

static void
start_draft (lt_limit_home_t *home, int64_t now_us)
{
  lt_limit_record_copy (&home->draft, &home->record);
  int64_t elapsed_ms = (now_us - home->record_us) / LT_US_PER_MS;
  home->draft.clock_ms += elapsed_ms - elapsed_ms / 1000;
  if (lt_limit_home_is_owner (home))
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
  home->phase = LT_LIMIT_HOME_WRITING;
  home->writes++;
  lt_limit_action_t action = { .type = LT_LIMIT_WRITE,
                               .group = home->options.group,
                               .expected_version = home->record.version };
  lt_limit_actions_add (actions, &action);
}

static void
count_requests (lt_limit_home_t *home)
{
  for (uint32_t i = 0; i < home->pool_count; i++)
    home->pools[i].request_count = 0;
  for (size_t i = 0; i < home->inbox.count; i++)
    {
      const lt_limit_message_t *message = &home->inbox.items[i].message;
      lt_limit_pool_t *pool = lt_limit_home_pool (home, message->workspace);
      if (pool != NULL && !lt_limit_is_return (message))
        pool->request_count++;
    }
}

/* Applies the queued messages to a new draft, removes expired entries from it,
   and writes it when it differs from the record or when the lease must be
   renewed.  */
static void
process_inbox (lt_limit_home_t *home, int64_t now_us,
               lt_limit_actions_t *actions)
{
  const lt_limit_times_t *times = &home->options.times;
  bool dirty
      = !lt_limit_home_is_owner (home)
        || home->leased_until_us - now_us < times->home_lease_us * 6 / 10;
  if (!dirty && home->inbox.count == 0)
    return;
  start_draft (home, now_us);
  count_requests (home);
  for (size_t i = 0; i < home->inbox.count; i++)
    dirty |= lt_limit_home_apply (home, &home->inbox.items[i], now_us);
  lt_limit_queue_clear (&home->inbox);
  size_t expired
      = lt_limit_record_remove_expired (&home->draft, reclaim_age_ms (times));
  home->reclaimed += expired;
  for (uint32_t i = 0; i < home->pool_count; i++)
    lt_limit_home_recall (home, &home->pools[i], now_us);
  lt_limit_queue_send (&home->recalls, actions);
  if (dirty || expired > 0)
    {
      send_write (home, now_us, actions);
      return;
    }
  /* No stored field has changed, but the recall times of entries may have.  */
  int64_t clock_ms = home->record.clock_ms;
  lt_limit_record_copy (&home->record, &home->draft);
  home->record.clock_ms = clock_ms;
  lt_limit_queue_send (&home->replies, actions);
}

static bool
may_take_ownership (const lt_limit_home_t *home, int64_t now_us)
{
  const lt_limit_record_t *record = &home->record;
  if (record->version == 0 || record->released
      || lt_limit_home_is_owner (home))
    return true;
  if (lt_limit_vm_equal (&record->home, &home->options.vm))
    return record->home_incarnation < home->options.incarnation;
  int64_t home_lease_us = home->options.times.home_lease_us;
  return now_us - home->version_seen_us >= home_lease_us + home_lease_us / 10;
}

static void
send_read (lt_limit_home_t *home, lt_limit_actions_t *actions)
{
  home->phase = LT_LIMIT_HOME_READING;
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
  if (home->phase == LT_LIMIT_HOME_READING
      || home->phase == LT_LIMIT_HOME_WRITING)
    return;
  if (!home->is_home)
    {
      lt_limit_queue_clear (&home->inbox);
      if (home->phase == LT_LIMIT_HOME_IDLE && lt_limit_home_is_owner (home))
        release (home, now_us, actions);
      return;
    }
  if (home->phase == LT_LIMIT_HOME_UNREAD)
    {
      if (now_us >= home->next_read_us)
        send_read (home, actions);
      return;
    }
  if (!may_take_ownership (home, now_us))
    {
      lt_limit_queue_clear (&home->inbox);
      if (now_us - home->record_us >= home->options.times.home_lease_us / 30)
        send_read (home, actions);
      return;
    }
  if (now_us - home->written_us >= home->options.write_interval_us
      || home->writes == 0)
    process_inbox (home, now_us, actions);
}

/* Recomputes the pools from the record.  KEEP_TOKENS says that no other VM has
   written the record since the pools were last refilled, so that their tokens
   are still valid.  With ADD_RETURNED, the tokens of returns in the draft are
   added.  */
static void
update_pools (lt_limit_home_t *home, bool keep_tokens, bool add_returned,
              int64_t now_us)
{
  for (uint32_t i = 0; i < home->pool_count; i++)
    {
      lt_limit_pool_t *pool = &home->pools[i];
      lt_limit_pool_refill (pool, now_us);
      pool->ppm = LT_LIMIT_WHOLE_PPM
                  - lt_limit_record_granted_ppm (&home->record,
                                                 pool->rate.workspace);
      if (!keep_tokens)
        pool->tokens = 0;
      if (add_returned)
        pool->tokens += pool->returned_tokens;
      pool->returned_tokens = 0;
      lt_limit_pool_refill (pool, now_us);
    }
}

/* Makes the draft, which the table has accepted, the current record.  */
static void
commit (lt_limit_home_t *home, int64_t now_us, lt_limit_actions_t *actions)
{
  bool first = home->record.version == 0;
  bool was_owner = lt_limit_home_is_owner (home);
  lt_limit_record_copy (&home->record, &home->draft);
  home->record_us = now_us;
  home->version_seen_us = now_us;
  home->write_unresolved = false;
  home->leased_until_us = home->written_us + home->options.times.home_lease_us;
  update_pools (home, was_owner, was_owner, now_us);
  if (first)
    /* No share existed before, so the full burst is unused.  */
    for (uint32_t i = 0; i < home->pool_count; i++)
      home->pools[i].tokens
          = lt_limit_capacity (&home->pools[i].rate, home->pools[i].ppm);
  lt_limit_queue_send (&home->replies, actions);
  home->phase
      = home->record.released ? LT_LIMIT_HOME_UNREAD : LT_LIMIT_HOME_IDLE;
}

void
lt_limit_home_write_done (lt_limit_home_t *home, lt_limit_outcome_t outcome,
                          int64_t now_us, lt_limit_actions_t *actions)
{
  if (home->phase != LT_LIMIT_HOME_WRITING)
    return;
  if (outcome == LT_LIMIT_DONE)
    {
      commit (home, now_us, actions);
      return;
    }
  home->phase = LT_LIMIT_HOME_UNREAD;
  home->next_read_us = now_us;
  home->write_unresolved = outcome == LT_LIMIT_UNKNOWN;
  if (outcome == LT_LIMIT_CONFLICT)
    {
      home->conflicts++;
      lt_limit_queue_clear (&home->replies);
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
  if (home->phase != LT_LIMIT_HOME_READING)
    return;
  if (outcome != LT_LIMIT_DONE)
    {
      home->phase = LT_LIMIT_HOME_UNREAD;
      home->next_read_us = now_us + READ_RETRY_US;
      return;
    }
  if (home->write_unresolved && is_draft (home, record))
    {
      commit (home, now_us, actions);
      return;
    }
  home->write_unresolved = false;
  lt_limit_queue_clear (&home->replies);
  bool unchanged = record->version == home->record.version
                   && record->version > 0 && lt_limit_home_is_owner (home);
  if (record->version != home->record.version)
    home->version_seen_us = now_us;
  lt_limit_record_copy (&home->record, record);
  home->record_us = now_us;
  update_pools (home, unchanged, false, now_us);
  home->phase = LT_LIMIT_HOME_IDLE;
}

const lt_limit_record_t *
lt_limit_home_draft (const lt_limit_home_t *home)
{
  return &home->draft;
}

lt_limit_home_status_t
lt_limit_home_status (const lt_limit_home_t *home, int64_t now_us)
{
  return (lt_limit_home_status_t){ .leased = lt_limit_home_is_owner (home)
                                             && now_us < home->leased_until_us,
                                   .version = home->record.version,
                                   .epoch = home->record.epoch,
                                   .grants = home->record.count,
                                   .writes = home->writes,
                                   .conflicts = home->conflicts,
                                   .reclaimed = home->reclaimed };
}
