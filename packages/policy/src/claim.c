#include "lt/policy/claim.h"

/** While a caller waits, the table is asked at least this often.  */
#define WAITING_RETRY_MAX_US (100 * 1000LL)

typedef struct step
{
  lt_claim_t *claim;
  const lt_claim_event_t *event;
  int64_t now_us;
  int64_t wall_us;
  lt_claim_actions_t out;
} step_t;

static void
act (step_t *s, lt_claim_action_t action)
{
  s->out.items[s->out.count++] = action;
}

static void
act_kind (step_t *s, lt_claim_action_kind_t kind)
{
  act (s, (lt_claim_action_t){ .kind = kind });
}

/** Adds a table call after the back-off, which doubles up to MAX_US.  */
static void
act_again (step_t *s, lt_claim_action_kind_t kind, int64_t max_us)
{
  lt_claim_t *c = s->claim;
  int64_t delay_us = c->delay_us < max_us ? c->delay_us : max_us;
  act (s, (lt_claim_action_t){ .kind = kind, .delay_us = delay_us });
  c->delay_us = delay_us * 2;
}

/** Replies unless the caller has a reply or is gone.  */
static void
act_reply (step_t *s, lt_claim_reply_t reply, lt_claim_ran_t ran)
{
  if (s->claim->replied)
    return;
  s->claim->replied = true;
  act (s, (lt_claim_action_t){
              .kind = LT_CLAIM_ACTION_REPLY, .reply = reply, .ran = ran });
}

static void
finish (step_t *s)
{
  s->claim->state = LT_CLAIM_STATE_FINISHED;
  act_kind (s, LT_CLAIM_ACTION_FINISHED);
}

static void
insert (step_t *s, bool again)
{
  lt_claim_t *c = s->claim;
  c->state = LT_CLAIM_STATE_INSERTING;
  c->insert_open = true;
  if (again)
    act_again (s, LT_CLAIM_ACTION_INSERT, WAITING_RETRY_MAX_US);
  else
    act_kind (s, LT_CLAIM_ACTION_INSERT);
}

static void
read_back (step_t *s)
{
  s->claim->state = LT_CLAIM_STATE_READING;
  act_kind (s, LT_CLAIM_ACTION_READ);
}

/** Starts to give the claim up.  From here on FIRST_BYTE is never permitted,
    so a release that takes effect at any later time is safe.  */
static void
release (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->state = LT_CLAIM_STATE_RELEASING;
  c->delay_us = c->options.table_retry_first_us;
  c->give_up_us = s->now_us + c->options.release_retry_us;
  if (c->insert_open)
    return;
  if (c->held || c->inserts_unknown > 0)
    act_kind (s, LT_CLAIM_ACTION_RELEASE);
  else
    finish (s);
}

static void
record (step_t *s, bool answered)
{
  lt_claim_t *c = s->claim;
  c->state = LT_CLAIM_STATE_RECORDING;
  c->answered = answered;
  c->delay_us = c->options.table_retry_first_us;
  c->give_up_us = s->now_us + c->options.record_retry_us;
  act_kind (s, answered ? LT_CLAIM_ACTION_RECORD_ANSWER
                        : LT_CLAIM_ACTION_RECORD_LOST);
}

static void
claimed (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->held = true;
  if (s->now_us >= c->options.deadline_us)
    {
      act_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NOT);
      release (s);
      return;
    }
  c->state = LT_CLAIM_STATE_CLAIMED;
  act_kind (s, LT_CLAIM_ACTION_SEND);
}

static void
on_insert (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->insert_open = false;
  switch (s->event->outcome)
    {
    case LT_CLAIM_DONE:
      claimed (s);
      return;
    case LT_CLAIM_REFUSED:
      c->other_claimed = c->inserts_unknown == 0;
      read_back (s);
      return;
    case LT_CLAIM_UNKNOWN:
      c->inserts_unknown++;
      read_back (s);
      return;
    case LT_CLAIM_NOT_ACCEPTED:
      insert (s, true);
      return;
    }
}

/** Result of an insert that was under way when the claim was given up.  */
static void
on_late_insert (step_t *s)
{
  lt_claim_t *c = s->claim;
  c->insert_open = false;
  c->held |= s->event->outcome == LT_CLAIM_DONE;
  if (s->event->outcome == LT_CLAIM_UNKNOWN)
    c->inserts_unknown++;
  if (c->held || c->inserts_unknown > 0)
    act_kind (s, LT_CLAIM_ACTION_RELEASE);
  else
    finish (s);
}

/** Replies from the record of another attempt.  */
static void
reply_from (step_t *s, const lt_claim_record_t *found)
{
  const lt_claim_options_t *options = &s->claim->options;
  bool known = found->state >= LT_CLAIM_RECORD_CLAIMED
               && found->state <= LT_CLAIM_RECORD_LOST;
  if (known && !lt_digest_equal (&found->fingerprint, &options->fingerprint))
    act_reply (s, LT_CLAIM_REPLY_KEY_REUSED, LT_CLAIM_RAN_NOT);
  else if (found->state == LT_CLAIM_RECORD_ANSWERED)
    act_reply (s, LT_CLAIM_REPLY_RECORDED, LT_CLAIM_RAN_YES);
  else if (found->state == LT_CLAIM_RECORD_CLAIMED
           && s->wall_us < found->deadline_wall_us)
    act_reply (s, LT_CLAIM_REPLY_IN_PROGRESS, LT_CLAIM_RAN_UNKNOWN);
  else
    act_reply (s, LT_CLAIM_REPLY_OUTCOME_UNKNOWN, LT_CLAIM_RAN_UNKNOWN);
}

static void
on_read (step_t *s)
{
  lt_claim_t *c = s->claim;
  const lt_claim_record_t *found = s->event->record;
  if (s->event->outcome != LT_CLAIM_DONE)
    {
      act_again (s, LT_CLAIM_ACTION_READ, WAITING_RETRY_MAX_US);
      return;
    }
  c->other_claimed = found != NULL;
  if (found == NULL)
    {
      insert (s, true);
      return;
    }
  if (lt_claim_attempt_equal (&found->attempt, &c->options.attempt))
    {
      c->other_claimed = false;
      c->inserts_unknown -= c->inserts_unknown > 0;
      claimed (s);
      return;
    }
  reply_from (s, found);
  release (s);
}

static void
on_first_byte (step_t *s)
{
  if (s->now_us >= s->claim->options.deadline_us)
    {
      act_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NOT);
      release (s);
      return;
    }
  s->claim->state = LT_CLAIM_STATE_SENT;
  act_kind (s, LT_CLAIM_ACTION_PERMIT);
}

/** The reply waits for the release, so that a caller which repeats at once
    does not meet its own claim.  */
static void
on_not_sent (step_t *s)
{
  s->claim->waiting = (lt_claim_action_t){ .kind = LT_CLAIM_ACTION_REPLY,
                                           .reply = LT_CLAIM_REPLY_DISPATCH,
                                           .ran = LT_CLAIM_RAN_NOT };
  release (s);
}

static void
reply_waiting (step_t *s)
{
  lt_claim_action_t waiting = s->claim->waiting;
  s->claim->waiting = (lt_claim_action_t){ 0 };
  if (waiting.kind == LT_CLAIM_ACTION_REPLY)
    act_reply (s, waiting.reply, waiting.ran);
}

static void
on_release (step_t *s)
{
  lt_claim_t *c = s->claim;
  bool settled = s->event->outcome == LT_CLAIM_DONE
                 || s->event->outcome == LT_CLAIM_REFUSED;
  if (settled)
    reply_waiting (s);
  if (s->event->outcome == LT_CLAIM_DONE && !c->held)
    c->inserts_unknown -= c->inserts_unknown > 0;
  c->held = c->held && !settled;
  bool over = s->now_us >= c->give_up_us;
  if (over || (!c->held && c->inserts_unknown == 0))
    finish (s);
  else
    act_again (s, LT_CLAIM_ACTION_RELEASE, c->options.table_retry_max_us);
}

static void
on_record (step_t *s)
{
  lt_claim_t *c = s->claim;
  bool settled = s->event->outcome == LT_CLAIM_DONE
                 || s->event->outcome == LT_CLAIM_REFUSED;
  if (settled || s->now_us >= c->give_up_us)
    finish (s);
  else
    act_again (s,
               c->answered ? LT_CLAIM_ACTION_RECORD_ANSWER
                           : LT_CLAIM_ACTION_RECORD_LOST,
               c->options.table_retry_max_us);
}

/** The deadline passed or the caller left before a byte was permitted.  */
static void
abandon (step_t *s)
{
  lt_claim_t *c = s->claim;
  if (c->state == LT_CLAIM_STATE_CLAIMED)
    {
      act_kind (s, LT_CLAIM_ACTION_STOP);
      act_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NOT);
    }
  else if (c->other_claimed)
    act_reply (s, LT_CLAIM_REPLY_OUTCOME_UNKNOWN, LT_CLAIM_RAN_UNKNOWN);
  else
    act_reply (s, LT_CLAIM_REPLY_UNAVAILABLE, LT_CLAIM_RAN_NOT);
  release (s);
}

static void
on_time (step_t *s)
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
      act_kind (s, LT_CLAIM_ACTION_STOP);
      act_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_UNKNOWN);
      record (s, false);
      return;
    case LT_CLAIM_STATE_RELEASING:
      reply_waiting (s);
      return;
    default:
      return;
    }
}

/** After the first byte the request runs on, so that its outcome can be
    recorded for a repeat.  */
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
      insert (s, false);
      return;
    }
  act_reply (s, LT_CLAIM_REPLY_DEADLINE, LT_CLAIM_RAN_NOT);
  finish (s);
}

static void
on_broken (step_t *s)
{
  act_reply (s, LT_CLAIM_REPLY_DISPATCH, LT_CLAIM_RAN_UNKNOWN);
  record (s, false);
}

static void
on_answered (step_t *s)
{
  s->claim->replied = true;
  record (s, true);
}

typedef struct transition
{
  lt_claim_state_t state;
  lt_claim_event_kind_t event;
  void (*run) (step_t *s);
} transition_t;

static const transition_t transitions[] = {
  { LT_CLAIM_STATE_NEW, LT_CLAIM_EVENT_START, on_start },
  { LT_CLAIM_STATE_INSERTING, LT_CLAIM_EVENT_INSERT_RESULT, on_insert },
  { LT_CLAIM_STATE_READING, LT_CLAIM_EVENT_READ_RESULT, on_read },
  { LT_CLAIM_STATE_CLAIMED, LT_CLAIM_EVENT_FIRST_BYTE, on_first_byte },
  { LT_CLAIM_STATE_CLAIMED, LT_CLAIM_EVENT_NOT_SENT, on_not_sent },
  { LT_CLAIM_STATE_SENT, LT_CLAIM_EVENT_ANSWERED, on_answered },
  { LT_CLAIM_STATE_SENT, LT_CLAIM_EVENT_BROKEN, on_broken },
  { LT_CLAIM_STATE_RELEASING, LT_CLAIM_EVENT_INSERT_RESULT, on_late_insert },
  { LT_CLAIM_STATE_RELEASING, LT_CLAIM_EVENT_RELEASE_RESULT, on_release },
  { LT_CLAIM_STATE_RECORDING, LT_CLAIM_EVENT_RECORD_RESULT, on_record },
};

void
lt_claim_init (lt_claim_t *claim, const lt_claim_options_t *options)
{
  *claim = (lt_claim_t){ .options = *options,
                         .delay_us = options->table_retry_first_us };
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
           || event->kind == LT_CLAIM_EVENT_PAUSED)
    on_time (&s);
  else
    for (size_t i = 0; i < sizeof (transitions) / sizeof (transitions[0]); i++)
      if (transitions[i].state == claim->state
          && transitions[i].event == event->kind)
        {
          transitions[i].run (&s);
          break;
        }
  return s.out;
}

int64_t
lt_claim_next_us (const lt_claim_t *claim)
{
  bool waiting = claim->waiting.kind == LT_CLAIM_ACTION_REPLY;
  bool open = claim->state != LT_CLAIM_STATE_NEW
              && claim->state <= LT_CLAIM_STATE_SENT;
  return open || waiting ? claim->options.deadline_us : INT64_MAX;
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
