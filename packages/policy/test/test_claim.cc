// Checks invariants I7 (a request reported as not run did not run) and I8 (an
// action that must not be repeated runs at most once).
#include <gtest/gtest.h>

#include "claim_world.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/claim_batch.h"

using namespace claim_world;

namespace
{

const int64_t TIMEOUT_US = 500 * MS;

// Fault of one table call of VM 1.
enum CallFault
{
  OK,
  LOST_BEFORE,         // No effect, outcome unknown.
  LOST_AFTER,          // Takes effect, outcome unknown.
  DELAYED,             // Outcome unknown; takes effect after the repeat began.
  DELAYED_PAST_REPEAT, // Outcome unknown; takes effect after the repeat ended.
  DOWN,                // Not accepted.
  CRASH_BEFORE,
  CRASH_AFTER
};

// Course of the request that VM 1 sends to the upstream.
enum RequestCourse
{
  ANSWERED,
  NOT_SENT,
  RESET_BEFORE_RUN,
  RESET_AFTER_RUN,
  HANGS,
  CRASH_UNSENT,
  CRASH_SENT,
  CRASH_RAN,
  DISCONNECT_UNSENT,
  DISCONNECT_SENT,
  PAUSE_UNSENT,
  PAUSE_SENT
};

struct Case
{
  const char *name;
  std::vector<CallFault> faults; // Of the table calls of VM 1, in order.
  RequestCourse course;
  int runs;                 // In all, after the repeat through VM 2.
  const char *first_reply;  // To the request through VM 1.
  const char *repeat_reply; // To the repeat through VM 2.
};

const char *const EXECUTED = "answered";
const char *const FROM_RECORD = "recorded ran";
const char *const UNKNOWN_409 = "outcome-unknown unknown";
const char *const PROGRESS_409 = "action-in-progress unknown";
const char *const DOWN_503 = "claim-unavailable not-run";

const Case claim_cases[] = {
  { "nothing fails", {}, ANSWERED, 1, "answered", FROM_RECORD },
  { "insert lost before effect",
    { LOST_BEFORE },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
  { "insert lost after effect",
    { LOST_AFTER },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
  { "insert and read lost",
    { LOST_AFTER, LOST_AFTER, LOST_AFTER },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
  { "insert lost and repeated, then the first one arrives",
    { DELAYED },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
  { "table down for three calls",
    { DOWN, DOWN, DOWN },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
  { "table down until the deadline", std::vector<CallFault> (400, DOWN),
    ANSWERED, 1, DOWN_503, EXECUTED },
  { "delayed insert takes effect while the repeat claims",
    { DELAYED, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN, DOWN },
    ANSWERED,
    0,
    DOWN_503,
    UNKNOWN_409 },
  { "crash before the insert", { CRASH_BEFORE }, ANSWERED, 1, "", EXECUTED },
  { "crash after the insert", { CRASH_AFTER }, ANSWERED, 0, "", PROGRESS_409 },
  { "no upstream", {}, NOT_SENT, 1, "dispatch not-run", EXECUTED },
  { "no upstream, release lost before effect",
    { OK, LOST_BEFORE },
    NOT_SENT,
    1,
    "dispatch not-run",
    EXECUTED },
  { "no upstream, release lost after effect",
    { OK, LOST_AFTER },
    NOT_SENT,
    1,
    "dispatch not-run",
    EXECUTED },
  { "no upstream, delayed release takes effect after the repeat claimed",
    { OK, DELAYED_PAST_REPEAT, OK },
    NOT_SENT,
    1,
    "dispatch not-run",
    EXECUTED },
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
  { "caller disconnects before the first byte",
    {},
    DISCONNECT_UNSENT,
    1,
    "",
    EXECUTED },
  { "caller disconnects after the first byte",
    {},
    DISCONNECT_SENT,
    1,
    "answered",
    FROM_RECORD },
  { "paused past the deadline before the first byte",
    {},
    PAUSE_UNSENT,
    1,
    "deadline-exceeded not-run",
    EXECUTED },
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
    FROM_RECORD },
  { "record lost after effect",
    { OK, LOST_AFTER },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
  { "table down for the record",
    { OK, DOWN, DOWN },
    ANSWERED,
    1,
    "answered",
    FROM_RECORD },
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
    FROM_RECORD },
};

// Runs one case: VM 1 gets the request, then VM 2 gets its repeat.
class CaseRunner
{
public:
  explicit CaseRunner (const Case &c) : test_case (c) {}

  void
  run ()
  {
    int first = sim.start (1, "k", "body", TIMEOUT_US);
    run (first);
    int repeat = sim.start (2, "k", "body", TIMEOUT_US);
    apply_delayed (DELAYED);
    run (repeat);
    apply_delayed (DELAYED_PAST_REPEAT);
    run (repeat);
    EXPECT_EQ ("", sim.violation) << test_case.name;
    EXPECT_EQ (test_case.runs, sim.runs["k"]) << test_case.name;
    EXPECT_EQ (test_case.first_reply, sim.attempts[first]->reply)
        << test_case.name;
    EXPECT_EQ (test_case.repeat_reply, sim.attempts[repeat]->reply)
        << test_case.name;
  }

private:
  // Runs until attempt ID has finished, its VM has crashed, or it has replied
  // and only retries its release.
  void
  run (int id)
  {
    const Attempt &a = *sim.attempts[id];
    for (int i = 0; i < 4000; i++)
      {
        if (step_call () || step_request (id))
          continue;
        bool releasing
            = a.claim.state == LT_CLAIM_STATE_RELEASING && a.claim.replied;
        if (a.finished || releasing || Simulation::contains (sim.dead, a.vm))
          return;
        sim.now_us += MS;
        sim.fire_timers ();
      }
    ADD_FAILURE () << test_case.name << ": the attempt does not end";
  }

  void
  apply_delayed (CallFault fault)
  {
    for (auto &call : delayed)
      if (call.second == fault && !call.first->applied)
        sim.apply (*call.first);
  }

  CallFault
  next_fault (const Call &c)
  {
    if (sim.attempts[c.attempt]->vm != 1 || next >= test_case.faults.size ())
      return OK;
    return test_case.faults[next++];
  }

  bool
  step_call ()
  {
    for (size_t i = 0; i < sim.calls.size (); i++)
      {
        Call &c = *sim.calls[i];
        if (c.reported || c.due_us > sim.now_us
            || sim.dead[sim.attempts[c.attempt]->vm])
          continue;
        CallFault fault = next_fault (c);
        if (fault == CRASH_BEFORE || fault == CRASH_AFTER)
          sim.dead[1] = true;
        if (fault == OK || fault == LOST_AFTER || fault == CRASH_AFTER)
          sim.apply (c);
        if (fault == DELAYED || fault == DELAYED_PAST_REPEAT)
          delayed.push_back ({ &c, fault });
        sim.report (c, fault == OK     ? c.outcome
                       : fault == DOWN ? LT_CLAIM_TABLE_NOT_ACCEPTED
                                       : LT_CLAIM_TABLE_UNKNOWN);
        return true;
      }
    return false;
  }

  bool
  step_request (int id)
  {
    Attempt &a = *sim.attempts[id];
    RequestCourse course = a.vm == 1 ? test_case.course : ANSWERED;
    if (sim.dead[a.vm])
      return false;
    if (a.sending == Sending::DISPATCHING)
      return step_unsent (id, a, course);
    if (a.sending == Sending::SENT)
      return step_sent (id, a, course);
    if (a.sending != Sending::RAN || course == HANGS || course == PAUSE_SENT)
      return false;
    a.sending = Sending::ENDED;
    if (course == RESET_AFTER_RUN)
      return sim.event (id, LT_CLAIM_EVENT_FAILED), true;
    a.reply = "answered";
    return sim.event (id, LT_CLAIM_EVENT_RESPONSE), true;
  }

  bool
  step_unsent (int id, Attempt &a, RequestCourse course)
  {
    if (course == CRASH_UNSENT)
      return sim.dead[1] = true;
    if (course == DISCONNECT_UNSENT)
      sim.event (id, LT_CLAIM_EVENT_CANCELLED);
    if (course == PAUSE_UNSENT)
      sim.now_us += 2 * TIMEOUT_US;
    a.sending = Sending::ENDED;
    if (course == NOT_SENT)
      return sim.event (id, LT_CLAIM_EVENT_NOT_SENT), true;
    if (sim.event (id, LT_CLAIM_EVENT_FIRST_BYTE))
      a.sending = Sending::SENT;
    return true;
  }

  bool
  step_sent (int id, Attempt &a, RequestCourse course)
  {
    if (course == DISCONNECT_SENT)
      sim.event (id, LT_CLAIM_EVENT_CANCELLED);
    if (course == CRASH_SENT)
      return sim.dead[1] = true;
    if (course == RESET_BEFORE_RUN)
      {
        a.sending = Sending::ENDED;
        return sim.event (id, LT_CLAIM_EVENT_FAILED), true;
      }
    sim.upstream_run (a);
    if (course == CRASH_RAN)
      sim.dead[1] = true;
    if (course == PAUSE_SENT)
      {
        sim.now_us += 2 * TIMEOUT_US;
        sim.event (id, LT_CLAIM_EVENT_RESUMED);
      }
    return true;
  }

  Simulation sim;
  const Case &test_case;
  size_t next = 0;
  std::vector<std::pair<Call *, CallFault>> delayed;
};

TEST (Claim, CrashesAndLostResults)
{
  for (const auto &test_case : claim_cases)
    CaseRunner (test_case).run ();
}

// Guards against a repeat that gets the response of a different request, and
// against an in-progress reply that persists after the deadline.
TEST (Claim, RepeatRepliesFromRecord)
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
    { LT_CLAIM_RECORD_COMPLETED, true, 0, FROM_RECORD },
    { LT_CLAIM_RECORD_NO_RESPONSE, true, 10, UNKNOWN_409 },
    { LT_CLAIM_RECORD_CLAIMED, false, 10, "key-reused not-run" },
    { LT_CLAIM_RECORD_COMPLETED, false, 10, "key-reused not-run" },
    { (lt_claim_record_state_t)0, true, 10, UNKNOWN_409 },
  };
  for (const auto &c : cases)
    {
      Simulation sim;
      sim.runs["k"] = 1;
      int id = sim.start (2, "k", "body", TIMEOUT_US);
      sim.event (id, LT_CLAIM_EVENT_INSERT_RESULT,
                 LT_CLAIM_TABLE_CONDITION_FAILED);
      lt_claim_record_t record = {};
      record.state = c.state;
      record.deadline_wall_us = c.deadline_us;
      record.fingerprint = lt_claim_fingerprint (
          STR_LIT ("POST"), STR_LIT ("/order"),
          c.same_body ? STR_LIT ("body") : STR_LIT ("other"));
      lt_claim_attempt_make (STR_LIT ("vm9"), 1, 1, &record.attempt);
      sim.event (id, LT_CLAIM_EVENT_READ_RESULT, LT_CLAIM_TABLE_DONE, &record);
      EXPECT_EQ (c.reply, sim.attempts[id]->reply);
      EXPECT_TRUE (sim.attempts[id]->finished);
    }
}

// Guards against abandoning an insert that can still take effect: the claim
// would block the key permanently.
TEST (Claim, AbandonedInsertIsReleased)
{
  Simulation sim;
  int id = sim.start (1, "k", "body", TIMEOUT_US);
  Call &insert = *sim.calls[0];
  sim.report (insert, LT_CLAIM_TABLE_UNKNOWN);
  sim.now_us += TIMEOUT_US;
  sim.fire_timers ();
  EXPECT_EQ (DOWN_503, sim.attempts[id]->reply);
  int64_t applied_us = sim.now_us + 20 * 1000 * MS;
  for (size_t i = 1; i < sim.calls.size (); i++)
    {
      Call &c = *sim.calls[i];
      sim.now_us = std::max (sim.now_us, c.due_us);
      if (!insert.applied && sim.now_us >= applied_us)
        sim.apply (insert);
      sim.apply (c);
      sim.report (c, c.outcome);
    }
  EXPECT_TRUE (insert.applied);
  EXPECT_TRUE (sim.table.empty ());
  EXPECT_TRUE (sim.attempts[id]->finished);
  EXPECT_EQ ("", sim.violation);
}

// Random schedule: each step picks one of the possible events at random.
class Schedule
{
public:
  explicit Schedule (uint64_t seed) { lt_rng_init (&rng, seed); }

  void
  run ()
  {
    for (int i = 0; i < 300 && sim.violation.empty (); i++)
      {
        step ();
        for (auto &a : sim.attempts)
          seen_answered += a->reply == "answered";
      }
    run_to_end ();
  }

  // Returns the attempt that holds the claim in the table, or -1.
  int
  claim_owner ()
  {
    auto at = sim.table.find ("k");
    lt_claim_record_t record;
    if (at == sim.table.end ()
        || lt_claim_record_decode (
               str_make (at->second.bytes.data (), at->second.bytes.size ()),
               &record)
               != 0)
      return -1;
    return (int)record.attempt.sequence;
  }

  Simulation sim;
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
  step ()
  {
    switch (below (8))
      {
      case 0:
        if (sim.attempts.size () < 6)
          sim.start (1 + (int)below (2), "k", "body",
                     (int64_t)(1 + below (300)) * MS);
        break;
      case 1:
        sim.now_us += (int64_t)below (60) * MS;
        sim.fire_timers ();
        break;
      case 2:
        inject_fault ();
        break;
      case 3:
      case 4:
        move_request ();
        break;
      default:
        move_call ();
      }
  }

  // Crashes VM 1 or 2 (once per schedule), pauses or resumes a VM, or
  // disconnects a caller.
  void
  inject_fault ()
  {
    int vm = 1 + (int)below (2);
    if (chance (0.05) && crashes == 0)
      {
        sim.dead[vm] = true;
        crashes++;
      }
    else if (chance (0.2))
      {
        sim.paused[vm] = !sim.paused[vm];
        for (size_t i = 0; i < sim.attempts.size (); i++)
          if (!sim.paused[vm] && sim.attempts[i]->vm == vm)
            sim.event ((int)i, LT_CLAIM_EVENT_RESUMED);
      }
    else if (chance (0.2) && !sim.attempts.empty ())
      {
        size_t i = below (sim.attempts.size ());
        if (!sim.paused[sim.attempts[i]->vm])
          sim.event ((int)i, LT_CLAIM_EVENT_CANCELLED);
      }
  }

  void
  move_call ()
  {
    if (sim.calls.empty ())
      return;
    Call &c = *sim.calls[below (sim.calls.size ())];
    int vm = sim.attempts[c.attempt]->vm;
    if (c.due_us > sim.now_us || (sim.dead[vm] && chance (0.5)))
      return;
    if (!c.applied && !c.reported && chance (0.15))
      {
        c.applied = true; // Not accepted: never takes effect.
        c.outcome = LT_CLAIM_TABLE_NOT_ACCEPTED;
      }
    else if (!c.applied && (!c.reported || chance (0.5)))
      sim.apply (c);
    else if (c.applied && !c.reported && !sim.paused[vm])
      sim.report (c, chance (0.3) ? LT_CLAIM_TABLE_UNKNOWN : c.outcome);
    if (!c.reported && !sim.paused[vm] && chance (0.15))
      sim.report (c, LT_CLAIM_TABLE_UNKNOWN);
  }

  // A request that was sent may run at any later time, even after its VM has
  // crashed or the attempt has timed out.
  void
  move_request ()
  {
    if (sim.attempts.empty ())
      return;
    int id = (int)below (sim.attempts.size ());
    Attempt &a = *sim.attempts[id];
    bool acts = !sim.dead[a.vm] && !sim.paused[a.vm];
    if (a.sending == Sending::DISPATCHING && acts && chance (0.25))
      {
        a.sending = Sending::ENDED;
        sim.event (id, LT_CLAIM_EVENT_NOT_SENT);
      }
    else if (a.sending == Sending::DISPATCHING && acts)
      {
        a.sending = Sending::ENDED;
        if (sim.event (id, LT_CLAIM_EVENT_FIRST_BYTE))
          a.sending = Sending::SENT;
      }
    else if (a.sending == Sending::SENT && chance (0.8))
      sim.upstream_run (a);
    else if (a.sending == Sending::RAN && acts)
      {
        a.sending = Sending::ENDED;
        bool broken = chance (0.3);
        if (!broken && a.replies == 0)
          a.reply = "answered";
        sim.event (id,
                   broken ? LT_CLAIM_EVENT_FAILED : LT_CLAIM_EVENT_RESPONSE);
      }
  }

  // Runs all attempts to their end without further faults.  Abandoned calls
  // still take effect at some time.
  void
  run_to_end ()
  {
    sim.paused.clear ();
    for (int round = 0; round < 700; round++)
      {
        for (size_t i = 0; i < sim.calls.size (); i++)
          {
            Call &c = *sim.calls[i];
            if (c.due_us > sim.now_us)
              continue;
            if (!c.applied && (!c.reported || chance (0.1)))
              sim.apply (c);
            if (!c.reported)
              sim.report (c, c.outcome);
          }
        for (int i = 0; i < 20; i++)
          move_request ();
        sim.now_us += 1000 * MS;
        sim.fire_timers ();
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

// Guards against interleavings that the cases above do not cover.  The bounds
// on the counts guard against schedules that exercise too little.
TEST (Claim, RunsAtMostOnceInRandomSchedules)
{
  int ran = 0;
  int refused = 0;
  int recorded = 0;
  int lost = 0;
  for (uint64_t seed = 1; seed <= last_seed (); seed++)
    {
      Schedule schedule (seed);
      schedule.run ();
      const Simulation &sim = schedule.sim;
      ASSERT_EQ ("", sim.violation) << "seed " << seed;
      bool permitted = false;
      for (const auto &a : sim.attempts)
        {
          permitted |= a->sending == Sending::SENT || a->runs > 0;
          refused += a->not_run;
          recorded += a->reply == FROM_RECORD;
          bool ends = a->finished || Simulation::contains (sim.dead, a->vm);
          ASSERT_TRUE (ends) << "seed " << seed;
        }
      ran += permitted;
      // A claim may only remain if its request was sent or its VM crashed.
      int owner = schedule.claim_owner ();
      if (owner < 0)
        continue;
      const Attempt &a = *sim.attempts[owner];
      bool dead = Simulation::contains (sim.dead, a.vm);
      bool sent = a.sending == Sending::SENT || a.runs > 0;
      lost += dead && !sent;
      ASSERT_TRUE (dead || sent) << "seed " << seed;
    }
  EXPECT_GT (ran, 1000);
  EXPECT_GT (refused, 1000);
  EXPECT_GT (recorded, 20);
  EXPECT_GT (lost, 0);
  std::printf ("seeds=1..%llu ran=%d refused_not_run=%d recorded=%d "
               "claims_of_dead=%d\n",
               (unsigned long long)last_seed (), ran, refused, recorded, lost);
}

// Guards against encoding and decoding that change a record, and against
// accepting a damaged record.
TEST (ClaimRecord, RoundTripAndDamagedRecords)
{
  lt_claim_record_t in = {};
  in.state = LT_CLAIM_RECORD_COMPLETED;
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

// Guards against two actions sharing a key, and against versions that are
// equal for two attempts or equal to the updated version of another attempt.
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

// Guards against an operation that is lost, executed twice, or shares a
// transaction with another one on the same key.
TEST (ClaimBatch, RequeuesAfterRefusalAndSeparatesEqualKeys)
{
  lt_claim_batch_options_t options = LT_CLAIM_BATCH_OPTIONS_DEFAULT;
  options.ops_max = 3;
  options.pending_max = 1;
  options.queue_max = 6;
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
  EXPECT_EQ ("124", keys (lt_claim_batch_start (batch, taken)));
  EXPECT_EQ (0u, lt_claim_batch_start (batch, taken)) << "pending_max is 1";
  lt_claim_batch_requeue (batch, taken, 3, 1);
  EXPECT_EQ (5u, lt_claim_batch_queued (batch));
  EXPECT_EQ ("14", keys (lt_claim_batch_start (batch, taken)));
  lt_claim_batch_complete (batch);
  EXPECT_EQ ("1", keys (lt_claim_batch_start (batch, taken)));
  lt_claim_batch_complete (batch);
  EXPECT_EQ ("3", keys (lt_claim_batch_start (batch, taken)));
  lt_claim_batch_complete (batch);
  EXPECT_EQ ("1", keys (lt_claim_batch_start (batch, taken)));
  lt_claim_batch_complete (batch);
  EXPECT_EQ (0u, lt_claim_batch_start (batch, taken));
  lt_claim_batch_destroy (batch);
}

} // namespace
