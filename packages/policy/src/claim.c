#include "lt/policy/claim.h"

/** Longest delay between table retries while a caller waits for a reply.  */
#define WAITING_RETRY_MAX_US (100 * 1000LL)

typedef struct step
{
  lt_claim_t *claim;
  const lt_claim_event_t *event;
  int64_t now_us;
  int64_t wall_us;
  lt_claim_actions_t actions;
} step_t;

static void
add_action (step_t *s, lt_claim_action_t action)
{
  s->actions.items[s->actions.count++] = action;
}

static void
add_action_kind (step_t *s, lt_claim_action_kind_t kind)
{
  add_action (s, (lt_claim_action_t){ .kind = kind });
}

/** Adds a table call delayed by the back-off, which is at most MAX_US, and
    doubles the back-off.  */
static void
add_retry (step_t *s, lt_claim_action_kind_t kind, int64_t max_us)
{
  lt_claim_t *c = s->claim;
  int64_t delay_us = c->retry_delay_us < max_us ? c->retry_delay_us : max_us;
  add_action (s, (lt_claim_action_t){ .kind = kind, .delay_us = delay_us });
  c->retry_delay_us = delay_us * 2;
}

/** Adds a reply unless the caller already has one or has disconnected.  */
static void
add_reply (step_t *s, lt_claim_reply_t reply, lt_claim_ran_t ran)
{
  if (s->claim->replied)
    return;
  s->claim->replied = true;
  add_action (s, (lt_claim_action_t){ .kind = LT_CLAIM_ACTION_REPLY,
                                      .reply = reply,
                                      .ran = ran });
}

static void
finish (step_t *s)
{
  s->claim->state = LT_CLAIM_STATE_FINISHED;
  add_action_kind (s, LT_CLAIM_ACTION_FINISHED);
}

static void
start_insert (step_t *s, bool is_retry)
{
  lt_claim_t *c = s->claim;
  c->state = LT_CLAIM_STATE_INSERTING;
  c->insert_pending = true;
  if (is_retry)
    add_retry (s, LT_CLAIM_ACTION_INSERT, WAITING_RETRY_MAX_US);
  else
    add_action_kind (s, LT_CLAIM_ACTION_INSERT);
}

static void
start_read (step_t *s)
{
  s->claim->state = LT_CLAIM_STATE_READING;
  add_action_kind (s, LT_CLAIM_ACTION_READ);
}

/** Starts releasing the claim.  From here on FIRST_BYTE is never permitted, so
    the release is safe whenever it takes effect.  */
static void
start_release (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->state = LT_CLAIM_STATE_RELEASING;
  c->retry_delay_us = c->options.table_retry_first_us;
  c->give_up_us = s->now_us + c->options.release_retry_us;
  if (c->insert_pending)
    return;
  if (c->record_exists || c->inserts_unknown > 0)
    add_action_kind (s, LT_CLAIM_ACTION_RELEASE);
  else
    finish (s);
}

static void
start_record (step_t *s, bool has_response)
{
  lt_claim_t *c = s->claim;
  c->state = LT_CLAIM_STATE_RECORDING;
  c->has_response = has_response;
  c->retry_delay_us = c->options.table_retry_first_us;
  c->give_up_us = s->now_us + c->options.record_retry_us;
  add_action_kind (s, has_response ? LT_CLAIM_ACTION_RECORD_RESPONSE
                                   : LT_CLAIM_ACTION_RECORD_NO_RESPONSE);
}

static void
on_claimed (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->record_exists = true;
  if (s->now_us >= c->options.deadline_us)
    {
      add_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NO);
      start_release (s);
      return;
    }
  c->state = LT_CLAIM_STATE_CLAIMED;
  add_action_kind (s, LT_CLAIM_ACTION_SEND);
}

static void
on_insert_result (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->insert_pending = false;
  switch (s->event->outcome)
    {
    case LT_CLAIM_TABLE_DONE:
      on_claimed (s);
      return;
    case LT_CLAIM_TABLE_CONDITION_FAILED:
      c->held_by_other = c->inserts_unknown == 0;
      start_read (s);
      return;
    case LT_CLAIM_TABLE_UNKNOWN:
      c->inserts_unknown++;
      start_read (s);
      return;
    case LT_CLAIM_TABLE_NOT_ACCEPTED:
      start_insert (s, true);
      return;
    }
}

/** Handles the result of an insert that was pending when the release started.
 */
static void
on_insert_result_releasing (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->insert_pending = false;
  c->record_exists |= s->event->outcome == LT_CLAIM_TABLE_DONE;
  if (s->event->outcome == LT_CLAIM_TABLE_UNKNOWN)
    c->inserts_unknown++;
  if (c->record_exists || c->inserts_unknown > 0)
    add_action_kind (s, LT_CLAIM_ACTION_RELEASE);
  else
    finish (s);
}

/** Replies according to FOUND, the record of another attempt.  */
static void
reply_from_record (step_t *s, const lt_claim_record_t *found)
{
  const lt_claim_options_t *options = &s->claim->options;
  bool known = found->state >= LT_CLAIM_RECORD_CLAIMED
               && found->state <= LT_CLAIM_RECORD_NO_RESPONSE;
  if (known && !lt_digest_equal (&found->fingerprint, &options->fingerprint))
    add_reply (s, LT_CLAIM_REPLY_KEY_REUSED, LT_CLAIM_RAN_NO);
  else if (found->state == LT_CLAIM_RECORD_COMPLETED)
    add_reply (s, LT_CLAIM_REPLY_RECORDED, LT_CLAIM_RAN_YES);
  else if (found->state == LT_CLAIM_RECORD_CLAIMED
           && s->wall_us < found->deadline_wall_us)
    add_reply (s, LT_CLAIM_REPLY_IN_PROGRESS, LT_CLAIM_RAN_UNKNOWN);
  else
    add_reply (s, LT_CLAIM_REPLY_OUTCOME_UNKNOWN, LT_CLAIM_RAN_UNKNOWN);
}

static void
on_read_result (step_t *s)
{
  lt_claim_t *c = s->claim;
  const lt_claim_record_t *found = s->event->record;
  if (s->event->outcome != LT_CLAIM_TABLE_DONE)
    {
      add_retry (s, LT_CLAIM_ACTION_READ, WAITING_RETRY_MAX_US);
      return;
    }
  c->held_by_other = found != NULL;
  if (found == NULL)
    {
      start_insert (s, true);
      return;
    }
  if (lt_claim_attempt_equal (&found->attempt, &c->options.attempt))
    {
      c->held_by_other = false;
      c->inserts_unknown -= c->inserts_unknown > 0;
      on_claimed (s);
      return;
    }
  reply_from_record (s, found);
  start_release (s);
}

static void
on_first_byte (step_t *s)
{
  if (s->now_us >= s->claim->options.deadline_us)
    {
      add_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NO);
      start_release (s);
      return;
    }
  s->claim->state = LT_CLAIM_STATE_SENT;
  add_action_kind (s, LT_CLAIM_ACTION_PERMIT);
}

/** Defers the reply until the claim is released: a caller that repeats the
    request at once would otherwise be refused because of its own claim.  */
static void
on_not_sent (step_t *s)
{
  s->claim->deferred_reply
      = (lt_claim_action_t){ .kind = LT_CLAIM_ACTION_REPLY,
                             .reply = LT_CLAIM_REPLY_DISPATCH,
                             .ran = LT_CLAIM_RAN_NO };
  start_release (s);
}

static void
add_deferred_reply (step_t *s)
{
  lt_claim_action_t reply = s->claim->deferred_reply;
  s->claim->deferred_reply = (lt_claim_action_t){ 0 };
  if (reply.kind == LT_CLAIM_ACTION_REPLY)
    add_reply (s, reply.reply, reply.ran);
}

static void
on_release_result (step_t *s)
{
  lt_claim_t *c = s->claim;
  bool settled = s->event->outcome == LT_CLAIM_TABLE_DONE
                 || s->event->outcome == LT_CLAIM_TABLE_CONDITION_FAILED;
  if (settled)
    add_deferred_reply (s);
  if (s->event->outcome == LT_CLAIM_TABLE_DONE && !c->record_exists)
    c->inserts_unknown -= c->inserts_unknown > 0;
  c->record_exists = c->record_exists && !settled;
  bool timed_out = s->now_us >= c->give_up_us;
  if (timed_out || (!c->record_exists && c->inserts_unknown == 0))
    finish (s);
  else
    add_retry (s, LT_CLAIM_ACTION_RELEASE, c->options.table_retry_max_us);
}

static void
on_record_result (step_t *s)
{
  lt_claim_t *c = s->claim;
  bool settled = s->event->outcome == LT_CLAIM_TABLE_DONE
                 || s->event->outcome == LT_CLAIM_TABLE_CONDITION_FAILED;
  if (settled || s->now_us >= c->give_up_us)
    finish (s);
  else
    add_retry (s,
               c->has_response ? LT_CLAIM_ACTION_RECORD_RESPONSE
                               : LT_CLAIM_ACTION_RECORD_NO_RESPONSE,
               c->options.table_retry_max_us);
}

/** Handles a deadline or a disconnect of the caller before a byte was
    permitted.  */
static void
abandon (step_t *s)
{
  lt_claim_t *c = s->claim;
  if (c->state == LT_CLAIM_STATE_CLAIMED)
    {
      add_action_kind (s, LT_CLAIM_ACTION_CANCEL);
      add_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NO);
    }
  else if (c->held_by_other)
    add_reply (s, LT_CLAIM_REPLY_OUTCOME_UNKNOWN, LT_CLAIM_RAN_UNKNOWN);
  else
    add_reply (s, LT_CLAIM_REPLY_UNAVAILABLE, LT_CLAIM_RAN_NO);
  start_release (s);
}

static void
on_timer (step_t *s)
{
  lt_claim_t *c = s->claim;
  if (s->now_us < c->options.deadline_us)
    return;
  switch (c->state)
    {
    case LT_CLAIM_STATE_INSERTING:
    case LT_CLAIM_STATE_READING:
    case LT_CLAIM_STATE_CLAIMED:
      abandon (s);
      return;
    case LT_CLAIM_STATE_SENT:
      add_action_kind (s, LT_CLAIM_ACTION_CANCEL);
      add_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_UNKNOWN);
      start_record (s, false);
      return;
    case LT_CLAIM_STATE_RELEASING:
      add_deferred_reply (s);
      return;
    default:
      return;
    }
}

/** After the first byte the request continues without the caller, so that its
    outcome is recorded for a repeat.  */
static void
on_cancelled (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->replied = true;
  if (c->state == LT_CLAIM_STATE_NEW)
    finish (s);
  else if (c->state < LT_CLAIM_STATE_SENT)
    abandon (s);
}

static void
on_start (step_t *s)
{
  if (s->now_us < s->claim->options.deadline_us)
    {
      start_insert (s, false);
      return;
    }
  add_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NO);
  finish (s);
}

static void
on_failed (step_t *s)
{
  add_reply (s, LT_CLAIM_REPLY_DISPATCH, LT_CLAIM_RAN_UNKNOWN);
  start_record (s, false);
}

static void
on_response (step_t *s)
{
  s->claim->replied = true;
  start_record (s, true);
}

typedef struct transition
{
  lt_claim_state_t state;
  lt_claim_event_kind_t event;
  void (*run) (step_t *s);
} transition_t;

static const transition_t transitions[] = {
  { LT_CLAIM_STATE_NEW, LT_CLAIM_EVENT_START, on_start },
  { LT_CLAIM_STATE_INSERTING, LT_CLAIM_EVENT_INSERT_RESULT, on_insert_result },
  { LT_CLAIM_STATE_READING, LT_CLAIM_EVENT_READ_RESULT, on_read_result },
  { LT_CLAIM_STATE_CLAIMED, LT_CLAIM_EVENT_FIRST_BYTE, on_first_byte },
  { LT_CLAIM_STATE_CLAIMED, LT_CLAIM_EVENT_NOT_SENT, on_not_sent },
  { LT_CLAIM_STATE_SENT, LT_CLAIM_EVENT_RESPONSE, on_response },
  { LT_CLAIM_STATE_SENT, LT_CLAIM_EVENT_FAILED, on_failed },
  { LT_CLAIM_STATE_RELEASING, LT_CLAIM_EVENT_INSERT_RESULT,
    on_insert_result_releasing },
  { LT_CLAIM_STATE_RELEASING, LT_CLAIM_EVENT_RELEASE_RESULT,
    on_release_result },
  { LT_CLAIM_STATE_RECORDING, LT_CLAIM_EVENT_RECORD_RESULT, on_record_result },
};

void
lt_claim_init (lt_claim_t *claim, const lt_claim_options_t *options)
{
  *claim = (lt_claim_t){ .options = *options,
                         .retry_delay_us = options->table_retry_first_us };
}

lt_claim_actions_t
lt_claim_step (lt_claim_t *claim, const lt_claim_event_t *event,
               int64_t now_us, int64_t wall_us)
{
  step_t s = {
    .claim = claim, .event = event, .now_us = now_us, .wall_us = wall_us
  };
  if (event->kind == LT_CLAIM_EVENT_CANCELLED)
    on_cancelled (&s);
  else if (event->kind == LT_CLAIM_EVENT_TIMER
           || event->kind == LT_CLAIM_EVENT_RESUMED)
    on_timer (&s);
  else
    for (size_t i = 0; i < sizeof (transitions) / sizeof (transitions[0]); i++)
      if (transitions[i].state == claim->state
          && transitions[i].event == event->kind)
        {
          transitions[i].run (&s);
          break;
        }
  return s.actions;
}

int64_t
lt_claim_timer_us (const lt_claim_t *claim)
{
  bool has_deferred_reply
      = claim->deferred_reply.kind == LT_CLAIM_ACTION_REPLY;
  bool before_response = claim->state != LT_CLAIM_STATE_NEW
                         && claim->state <= LT_CLAIM_STATE_SENT;
  return before_response || has_deferred_reply ? claim->options.deadline_us
                                               : INT64_MAX;
}

#define REPLY_NAME(name, text, status) [name] = (text),
#define REPLY_STATUS(name, text, status) [name] = (status),

const char *
lt_claim_reply_name (lt_claim_reply_t reply)
{
  static const char *const names[] = { LT_CLAIM_REPLY_TABLE (REPLY_NAME) };
  return names[reply];
}

int
lt_claim_reply_status (lt_claim_reply_t reply)
{
  static const int statuses[] = { LT_CLAIM_REPLY_TABLE (REPLY_STATUS) };
  return statuses[reply];
}

const char *
lt_claim_ran_name (lt_claim_ran_t ran)
{
  static const char *const names[] = { "not-run", "unknown", "ran" };
  return names[ran];
}
