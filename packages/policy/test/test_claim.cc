// Guards invariants I7 (a request refused as not run did not run) and I8 (a
// never-repeat action runs at most once).
#include <gtest/gtest.h>

#include "claim_world.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/claim_batch.h"

using namespace claim_world;

namespace
{

const int64_t TIMEOUT_US = 500 * MS;

// What happens to one table call of VM 1.
enum Fate
{
  OK,
  LOST_BEFORE, // No effect, outcome unknown.
  LOST_AFTER,  // Takes effect, outcome unknown.
  LATE,        // Outcome unknown; takes effect after the repeat began.
  LATER,       // Outcome unknown; takes effect after the repeat ended.
  DOWN,        // Not accepted.
  CRASH_BEFORE,
  CRASH_AFTER
};

// What happens to the request of VM 1 on its way.
enum Way
{
  ANSWERED,
  NOT_SENT,
  RESET_BEFORE_RUN,
  RESET_AFTER_RUN,
  HANGS,
  CRASH_UNSENT,
  CRASH_SENT,
  CRASH_RAN,
  CANCEL_UNSENT,
  CANCEL_SENT,
  PAUSE_UNSENT,
  PAUSE_SENT
};

struct Point
{
  const char *name;
  std::vector<Fate> fates; // Of the table calls of VM 1, in order.
  Way way;
  int runs; // After the repeat through VM 2.
  const char *first;
  const char *repeat;
};

const char *const SENT_AGAIN = "answered";
const char *const RECORDED = "recorded ran";
const char *const UNKNOWN_409 = "outcome-unknown unknown";
const char *const PROGRESS_409 = "action-in-progress unknown";
const char *const DOWN_503 = "claim-unavailable not-run";

const Point points[] = {
  { "nothing fails", {}, ANSWERED, 1, "answered", RECORDED },
  { "insert lost before effect",
    { LOST_BEFORE },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "insert lost after effect",
    { LOST_AFTER },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "insert and read lost",
    { LOST_AFTER, LOST_AFTER, LOST_AFTER },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "insert lost, absent, inserted again, then the first arrives",
    { LATE },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "table down, then back",
    { DOWN, DOWN, DOWN },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "table down until the deadline", std::vector<Fate> (400, DOWN), ANSWERED,
    1, DOWN_503, SENT_AGAIN },
  { "insert arrives while the repeat claims",
    { LATE, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN },
    ANSWERED,
    0,
    DOWN_503,
    UNKNOWN_409 },
  { "crash before the insert", { CRASH_BEFORE }, ANSWERED, 1, "", SENT_AGAIN },
  { "crash after the insert", { CRASH_AFTER }, ANSWERED, 0, "", PROGRESS_409 },
  { "no upstream", {}, NOT_SENT, 1, "dispatch not-run", SENT_AGAIN },
  { "no upstream, release lost before effect",
    { OK, LOST_BEFORE },
    NOT_SENT,
    1,
    "dispatch not-run",
    SENT_AGAIN },
  { "no upstream, release lost after effect",
    { OK, LOST_AFTER },
    NOT_SENT,
    1,
    "dispatch not-run",
    SENT_AGAIN },
  { "no upstream, release arrives after the repeat claimed",
    { OK, LATER, OK },
    NOT_SENT,
    1,
    "dispatch not-run",
    SENT_AGAIN },
  { "no upstream, crash before the release",
    { OK, CRASH_BEFORE },
    NOT_SENT,
    0,
    "",
    PROGRESS_409 },
  { "reset before it ran",
    {},
    RESET_BEFORE_RUN,
    0,
    "dispatch unknown",
    UNKNOWN_409 },
  { "reset after it ran",
    {},
    RESET_AFTER_RUN,
    1,
    "dispatch unknown",
    UNKNOWN_409 },
  { "no response until the deadline",
    {},
    HANGS,
    1,
    "deadline-exceeded unknown",
    UNKNOWN_409 },
  { "crash before the first byte", {}, CRASH_UNSENT, 0, "", PROGRESS_409 },
  { "crash after the first byte", {}, CRASH_SENT, 0, "", PROGRESS_409 },
  { "crash after it ran", {}, CRASH_RAN, 1, "", PROGRESS_409 },
  { "caller leaves before the first byte",
    {},
    CANCEL_UNSENT,
    1,
    "",
    SENT_AGAIN },
  { "caller leaves after the first byte",
    {},
    CANCEL_SENT,
    1,
    "answered",
    RECORDED },
  { "paused past the deadline before the first byte",
    {},
    PAUSE_UNSENT,
    1,
    "deadline-exceeded not-run",
    SENT_AGAIN },
  { "paused past the deadline after the first byte",
    {},
    PAUSE_SENT,
    1,
    "deadline-exceeded unknown",
    UNKNOWN_409 },
  { "record lost before effect",
    { OK, LOST_BEFORE },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "record lost after effect",
    { OK, LOST_AFTER },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "table down for the record",
    { OK, DOWN, DOWN },
    ANSWERED,
    1,
    "answered",
    RECORDED },
  { "crash before the record",
    { OK, CRASH_BEFORE },
    ANSWERED,
    1,
    "answered",
    PROGRESS_409 },
  { "crash after the record",
    { OK, CRASH_AFTER },
    ANSWERED,
    1,
    "answered",
    RECORDED },
};

// Plays one point: VM 1 gets the request, VM 2 its repeat.
class Player
{
public:
  explicit Player (const Point &p) : point (p) {}

  void
  play ()
  {
    int first = world.start (1, "k", "body", TIMEOUT_US);
    run (first);
    int repeat = world.start (2, "k", "body", TIMEOUT_US);
    flush (LATE);
    run (repeat);
    flush (LATER);
    run (repeat);
    EXPECT_EQ ("", world.fault) << point.name;
    EXPECT_EQ (point.runs, world.runs["k"]) << point.name;
    EXPECT_EQ (point.first, world.attempts[first]->reply) << point.name;
    EXPECT_EQ (point.repeat, world.attempts[repeat]->reply) << point.name;
  }

private:
  // Runs until ID is over, or only releases what may still arrive.
  void
  run (int id)
  {
    const Attempt &a = *world.attempts[id];
    for (int i = 0; i < 4000; i++)
      {
        if (step_call () || step_way (id))
          continue;
        bool releasing
            = a.claim.state == LT_CLAIM_STATE_RELEASING && a.claim.replied;
        if (a.finished || releasing || World::is (world.dead, a.vm))
          return;
        world.now_us += MS;
        world.fire_timers ();
      }
    ADD_FAILURE () << point.name << ": the attempt does not end";
  }

  void
  flush (Fate fate)
  {
    for (auto &held : late)
      if (held.second == fate && !held.first->applied)
        world.apply (*held.first);
  }

  Fate
  take_fate (const Call &c)
  {
    if (world.attempts[c.attempt]->vm != 1 || next >= point.fates.size ())
      return OK;
    return point.fates[next++];
  }

  bool
  step_call ()
  {
    for (size_t i = 0; i < world.calls.size (); i++)
      {
        Call &c = *world.calls[i];
        if (c.reported || c.due_us > world.now_us
            || world.dead[world.attempts[c.attempt]->vm])
          continue;
        Fate fate = take_fate (c);
        if (fate == CRASH_BEFORE || fate == CRASH_AFTER)
          world.dead[1] = true;
        if (fate == OK || fate == LOST_AFTER || fate == CRASH_AFTER)
          world.apply (c);
        if (fate == LATE || fate == LATER)
          late.push_back ({ &c, fate });
        world.report (c, fate == OK     ? c.outcome
                         : fate == DOWN ? LT_CLAIM_NOT_ACCEPTED
                                        : LT_CLAIM_UNKNOWN);
        return true;
      }
    return false;
  }

  bool
  step_way (int id)
  {
    Attempt &a = *world.attempts[id];
    Way way = a.vm == 1 ? point.way : ANSWERED;
    if (world.dead[a.vm])
      return false;
    if (a.sending == Sending::DISPATCHING)
      return step_unsent (id, a, way);
    if (a.sending == Sending::LEFT)
      return step_left (id, a, way);
    if (a.sending != Sending::RAN || way == HANGS || way == PAUSE_SENT)
      return false;
    a.sending = Sending::OVER;
    if (way == RESET_AFTER_RUN)
      return world.event (id, LT_CLAIM_EVENT_BROKEN), true;
    a.reply = "answered";
    return world.event (id, LT_CLAIM_EVENT_ANSWERED), true;
  }

  bool
  step_unsent (int id, Attempt &a, Way way)
  {
    if (way == CRASH_UNSENT)
      return world.dead[1] = true;
    if (way == CANCEL_UNSENT)
      world.event (id, LT_CLAIM_EVENT_CANCELLED);
    if (way == PAUSE_UNSENT)
      world.now_us += 2 * TIMEOUT_US;
    a.sending = Sending::OVER;
    if (way == NOT_SENT)
      return world.event (id, LT_CLAIM_EVENT_NOT_SENT), true;
    if (world.event (id, LT_CLAIM_EVENT_FIRST_BYTE))
      a.sending = Sending::LEFT;
    return true;
  }

  bool
  step_left (int id, Attempt &a, Way way)
  {
    if (way == CANCEL_SENT)
      world.event (id, LT_CLAIM_EVENT_CANCELLED);
    if (way == CRASH_SENT)
      return world.dead[1] = true;
    if (way == RESET_BEFORE_RUN)
      {
        a.sending = Sending::OVER;
        return world.event (id, LT_CLAIM_EVENT_BROKEN), true;
      }
    world.upstream_run (a);
    if (way == CRASH_RAN)
      world.dead[1] = true;
    if (way == PAUSE_SENT)
      {
        world.now_us += 2 * TIMEOUT_US;
        world.event (id, LT_CLAIM_EVENT_PAUSED);
      }
    return true;
  }

  World world;
  const Point &point;
  size_t next = 0;
  std::vector<std::pair<Call *, Fate>> late;
};

TEST (Claim, CrashAndLostAnswerPoints)
{
  for (const auto &point : points)
    Player (point).play ();
}

// Guards against a repeat that gets somebody else's outcome, and against a
// 409 that never changes.
TEST (Claim, RepeatsGetTheRecord)
{
  const struct
  {
    lt_claim_record_state_t state;
    bool same_body;
    int64_t deadline_us;
    const char *reply;
  } cases[] = {
    { LT_CLAIM_RECORD_CLAIMED, true, 10, PROGRESS_409 },
    { LT_CLAIM_RECORD_CLAIMED, true, 0, UNKNOWN_409 },
    { LT_CLAIM_RECORD_ANSWERED, true, 0, RECORDED },
    { LT_CLAIM_RECORD_LOST, true, 10, UNKNOWN_409 },
    { LT_CLAIM_RECORD_CLAIMED, false, 10, "key-reused not-run" },
    { LT_CLAIM_RECORD_ANSWERED, false, 10, "key-reused not-run" },
    { (lt_claim_record_state_t)0, true, 10, UNKNOWN_409 },
  };
  for (const auto &c : cases)
    {
      World world;
      world.runs["k"] = 1;
      int id = world.start (2, "k", "body", TIMEOUT_US);
      world.event (id, LT_CLAIM_EVENT_INSERT_RESULT, LT_CLAIM_REFUSED);
      lt_claim_record_t record = {};
      record.state = c.state;
      record.deadline_wall_us = c.deadline_us;
      record.fingerprint = lt_claim_fingerprint (
          STR_LIT ("POST"), STR_LIT ("/order"),
          c.same_body ? STR_LIT ("body") : STR_LIT ("other"));
      lt_claim_attempt_make (STR_LIT ("vm9"), 1, 1, &record.attempt);
      world.event (id, LT_CLAIM_EVENT_READ_RESULT, LT_CLAIM_DONE, &record);
      EXPECT_EQ (c.reply, world.attempts[id]->reply);
      EXPECT_TRUE (world.attempts[id]->finished);
    }
}

// Guards against giving up on an insert that is still on its way: the claim
// would block the key for good.
TEST (Claim, AbandonedLateInsertIsReleased)
{
  World world;
  int id = world.start (1, "k", "body", TIMEOUT_US);
  Call &insert = *world.calls[0];
  world.report (insert, LT_CLAIM_UNKNOWN);
  world.now_us += TIMEOUT_US;
  world.fire_timers ();
  EXPECT_EQ (DOWN_503, world.attempts[id]->reply);
  int64_t landed_us = world.now_us + 20 * 1000 * MS;
  for (size_t i = 1; i < world.calls.size (); i++)
    {
      Call &c = *world.calls[i];
      world.now_us = std::max (world.now_us, c.due_us);
      if (!insert.applied && world.now_us >= landed_us)
        world.apply (insert);
      world.apply (c);
      world.report (c, c.outcome);
    }
  EXPECT_TRUE (insert.applied);
  EXPECT_TRUE (world.table.empty ());
  EXPECT_TRUE (world.attempts[id]->finished);
  EXPECT_EQ ("", world.fault);
}

// Random schedules: every enabled thing may happen next.
class Schedule
{
public:
  explicit Schedule (uint64_t seed) { lt_rng_init (&rng, seed); }

  void
  run ()
  {
    for (int i = 0; i < 300 && world.fault.empty (); i++)
      {
        once ();
        for (auto &a : world.attempts)
          seen_answered += a->reply == "answered";
      }
    drain ();
  }

  // Returns the attempt that the record in the table names, or -1.
  int
  claim_owner ()
  {
    auto at = world.table.find ("k");
    lt_claim_record_t record;
    if (at == world.table.end ()
        || lt_claim_record_decode (
               str_make (at->second.bytes.data (), at->second.bytes.size ()),
               &record)
               != 0)
      return -1;
    return (int)record.attempt.sequence;
  }

  World world;
  int seen_answered = 0;
  int crashes = 0;

private:
  bool
  chance (double p)
  {
    return lt_rng_unit (&rng) < p;
  }

  size_t
  below (size_t n)
  {
    return lt_rng_below (&rng, n);
  }

  void
  once ()
  {
    switch (below (8))
      {
      case 0:
        if (world.attempts.size () < 6)
          world.start (1 + (int)below (2), "k", "body",
                       (int64_t)(1 + below (300)) * MS);
        break;
      case 1:
        world.now_us += (int64_t)below (60) * MS;
        world.fire_timers ();
        break;
      case 2:
        trouble ();
        break;
      case 3:
      case 4:
        move_request ();
        break;
      default:
        move_call ();
      }
  }

  // Crashes (VM 1 or 2, then replaced), pauses and callers that leave.
  void
  trouble ()
  {
    int vm = 1 + (int)below (2);
    if (chance (0.05) && crashes == 0)
      {
        world.dead[vm] = true;
        crashes++;
      }
    else if (chance (0.2))
      {
        world.paused[vm] = !world.paused[vm];
        for (size_t i = 0; i < world.attempts.size (); i++)
          if (!world.paused[vm] && world.attempts[i]->vm == vm)
            world.event ((int)i, LT_CLAIM_EVENT_PAUSED);
      }
    else if (chance (0.2) && !world.attempts.empty ())
      {
        size_t i = below (world.attempts.size ());
        if (!world.paused[world.attempts[i]->vm])
          world.event ((int)i, LT_CLAIM_EVENT_CANCELLED);
      }
  }

  void
  move_call ()
  {
    if (world.calls.empty ())
      return;
    Call &c = *world.calls[below (world.calls.size ())];
    int vm = world.attempts[c.attempt]->vm;
    if (c.due_us > world.now_us || (world.dead[vm] && chance (0.5)))
      return;
    if (!c.applied && !c.reported && chance (0.15))
      {
        c.applied = true; // Refused before it was sent.
        c.outcome = LT_CLAIM_NOT_ACCEPTED;
      }
    else if (!c.applied && (!c.reported || chance (0.5)))
      world.apply (c);
    else if (c.applied && !c.reported && !world.paused[vm])
      world.report (c, chance (0.3) ? LT_CLAIM_UNKNOWN : c.outcome);
    if (!c.reported && !world.paused[vm] && chance (0.15))
      world.report (c, LT_CLAIM_UNKNOWN);
  }

  // Bytes that have left may run at any later time, also when the VM is gone
  // and when it has given up.
  void
  move_request ()
  {
    if (world.attempts.empty ())
      return;
    int id = (int)below (world.attempts.size ());
    Attempt &a = *world.attempts[id];
    bool acts = !world.dead[a.vm] && !world.paused[a.vm];
    if (a.sending == Sending::DISPATCHING && acts && chance (0.25))
      {
        a.sending = Sending::OVER;
        world.event (id, LT_CLAIM_EVENT_NOT_SENT);
      }
    else if (a.sending == Sending::DISPATCHING && acts)
      {
        a.sending = Sending::OVER;
        if (world.event (id, LT_CLAIM_EVENT_FIRST_BYTE))
          a.sending = Sending::LEFT;
      }
    else if (a.sending == Sending::LEFT && chance (0.8))
      world.upstream_run (a);
    else if (a.sending == Sending::RAN && acts)
      {
        a.sending = Sending::OVER;
        bool broken = chance (0.3);
        if (!broken && a.replies == 0)
          a.reply = "answered";
        world.event (id,
                     broken ? LT_CLAIM_EVENT_BROKEN : LT_CLAIM_EVENT_ANSWERED);
      }
  }

  // Lets everything end without further faults; calls that were given up
  // arrive at some time.
  void
  drain ()
  {
    world.paused.clear ();
    for (int round = 0; round < 700; round++)
      {
        for (size_t i = 0; i < world.calls.size (); i++)
          {
            Call &c = *world.calls[i];
            if (c.due_us > world.now_us)
              continue;
            if (!c.applied && (!c.reported || chance (0.1)))
              world.apply (c);
            if (!c.reported)
              world.report (c, c.outcome);
          }
        for (int i = 0; i < 20; i++)
          move_request ();
        world.now_us += 1000 * MS;
        world.fire_timers ();
      }
  }

  lt_rng_t rng;
};

uint64_t
last_seed ()
{
  const char *text = getenv ("LT_CLAIM_SEEDS");
  return text == nullptr ? 4000 : strtoull (text, nullptr, 10);
}

// Guards against schedules that nobody thought of.  The counts guard against
// schedules in which nothing happens.
TEST (Claim, RandomSchedulesRunAtMostOnce)
{
  int ran = 0;
  int refused = 0;
  int recorded = 0;
  int lost = 0;
  for (uint64_t seed = 1; seed <= last_seed (); seed++)
    {
      Schedule schedule (seed);
      schedule.run ();
      const World &world = schedule.world;
      ASSERT_EQ ("", world.fault) << "seed " << seed;
      bool permitted = false;
      for (const auto &a : world.attempts)
        {
          permitted |= a->sending == Sending::LEFT || a->runs > 0;
          refused += a->not_run;
          recorded += a->reply == RECORDED;
          bool ends = a->finished || World::is (world.dead, a->vm);
          ASSERT_TRUE (ends) << "seed " << seed;
        }
      ran += permitted;
      // A claim outlives only a request that left, or the VM that made it.
      int owner = schedule.claim_owner ();
      if (owner < 0)
        continue;
      const Attempt &a = *world.attempts[owner];
      bool dead = World::is (world.dead, a.vm);
      bool left = a.sending == Sending::LEFT || a.runs > 0;
      lost += dead && !left;
      ASSERT_TRUE (dead || left) << "seed " << seed;
    }
  EXPECT_GT (ran, 1000);
  EXPECT_GT (refused, 1000);
  EXPECT_GT (recorded, 20);
  EXPECT_GT (lost, 0);
  std::printf ("seeds=1..%llu ran=%d refused_not_run=%d recorded=%d "
               "claims_of_dead=%d\n",
               (unsigned long long)last_seed (), ran, refused, recorded, lost);
}

// Guards against records that change on the way, and against damaged ones
// being read as something else.
TEST (ClaimRecord, RoundTripAndDamage)
{
  lt_claim_record_t in = {};
  in.state = LT_CLAIM_RECORD_ANSWERED;
  lt_claim_attempt_make (STR_LIT ("vm-1"), 5, 6, &in.attempt);
  in.fingerprint = lt_digest_make (STR_LIT (""), STR_LIT ("x"));
  in.deadline_wall_us = -3;
  in.status = 201;
  in.body_kept = true;
  in.content_type = STR_LIT ("text/plain");
  in.body = STR_LIT ("a\0b");
  lt_buf_t bytes = {};
  lt_claim_record_encode (&in, &bytes);
  lt_claim_record_t out;
  ASSERT_EQ (0, lt_claim_record_decode (lt_buf_str (&bytes), &out));
  EXPECT_TRUE (lt_claim_attempt_equal (&in.attempt, &out.attempt));
  EXPECT_TRUE (lt_digest_equal (&in.fingerprint, &out.fingerprint));
  EXPECT_EQ (in.state, out.state);
  EXPECT_EQ (in.deadline_wall_us, out.deadline_wall_us);
  EXPECT_EQ (201, out.status);
  EXPECT_TRUE (out.body_kept);
  EXPECT_TRUE (str_equal (in.body, out.body));
  EXPECT_TRUE (str_equal (in.content_type, out.content_type));
  for (size_t len = 0; len < bytes.len; len++)
    EXPECT_EQ (-LT_EPROTO,
               lt_claim_record_decode (str_make (bytes.data, len), &out))
        << len;
  for (size_t at : { 0, 1, 2, 4, 10 })
    {
      std::string damaged (bytes.data, bytes.len);
      damaged[at] = '\xee';
      EXPECT_EQ (-LT_EPROTO,
                 lt_claim_record_decode (
                     str_make (damaged.data (), damaged.size ()), &out))
          << at;
    }
  std::string large (LT_CLAIM_BODY_MAX_BYTES + 1, 'x');
  in.body = str_make (large.data (), large.size ());
  lt_buf_clear (&bytes);
  lt_claim_record_encode (&in, &bytes);
  ASSERT_EQ (0, lt_claim_record_decode (lt_buf_str (&bytes), &out));
  EXPECT_FALSE (out.body_kept);
  EXPECT_EQ (0u, out.body.len);
  lt_buf_destroy (&bytes);
}

// Guards against two actions sharing a key, and against versions that do not
// tell attempts apart or collide with the update of another.
TEST (ClaimRecord, KeysAndVersions)
{
  char a[LT_CLAIM_KEY_BYTES];
  char b[LT_CLAIM_KEY_BYTES];
  lt_claim_key (STR_LIT ("ab"), STR_LIT ("c"), STR_LIT ("k"), a);
  lt_claim_key (STR_LIT ("a"), STR_LIT ("bc"), STR_LIT ("k"), b);
  EXPECT_STRNE (a, b);
  EXPECT_EQ (LT_CLAIM_KEY_BYTES - 1, (int)strlen (a));
  std::map<int64_t, int> seen;
  for (uint64_t i = 0; i < 10000; i++)
    {
      lt_claim_attempt_t attempt;
      lt_claim_attempt_make (STR_LIT ("vm"), i % 7, i, &attempt);
      int64_t version = lt_claim_attempt_version (&attempt);
      EXPECT_GT (version, 0);
      EXPECT_EQ (0, version % 2);
      EXPECT_EQ (1, ++seen[version]);
    }
}

// Guards against an operation that is lost, doubled, or shares a transaction
// with another one on the same key.
TEST (ClaimBatch, RefusedAndRepeatedKeys)
{
  lt_claim_batch_options_t options = LT_CLAIM_BATCH_OPTIONS_DEFAULT;
  options.ops_max = 3;
  options.open_max = 1;
  options.waiting_max = 6;
  options.bytes_max = 100;
  lt_claim_batch_t *batch = lt_claim_batch_create (&options);
  const lt_claim_batch_op_t ops[]
      = { { 1, 10, nullptr }, { 2, 10, nullptr }, { 1, 10, nullptr },
          { 3, 95, nullptr }, { 4, 10, nullptr }, { 1, 10, nullptr } };
  for (const auto &op : ops)
    EXPECT_EQ (0, lt_claim_batch_add (batch, &op));
  EXPECT_EQ (-LT_EFULL, lt_claim_batch_add (batch, &ops[0]));
  lt_claim_batch_op_t taken[3];
  auto keys = [&] (size_t n) {
    std::string text;
    for (size_t i = 0; i < n; i++)
      text += std::to_string (taken[i].key);
    return text;
  };
  EXPECT_EQ ("124", keys (lt_claim_batch_take (batch, taken)));
  EXPECT_EQ (0u, lt_claim_batch_take (batch, taken)) << "one at a time";
  lt_claim_batch_refused (batch, taken, 3, 1);
  EXPECT_EQ (5u, lt_claim_batch_waiting (batch));
  EXPECT_EQ ("14", keys (lt_claim_batch_take (batch, taken)));
  lt_claim_batch_end (batch);
  EXPECT_EQ ("1", keys (lt_claim_batch_take (batch, taken)));
  lt_claim_batch_end (batch);
  EXPECT_EQ ("3", keys (lt_claim_batch_take (batch, taken)));
  lt_claim_batch_end (batch);
  EXPECT_EQ ("1", keys (lt_claim_batch_take (batch, taken)));
  lt_claim_batch_end (batch);
  EXPECT_EQ (0u, lt_claim_batch_take (batch, taken));
  lt_claim_batch_destroy (batch);
}

} // namespace
