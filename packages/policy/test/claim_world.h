// Simulated environment of the claim state machine: a table with conditional
// writes, an upstream that counts how often each action runs, and VMs that
// crash, pause and lose results of table calls.
#ifndef LT_TEST_CLAIM_WORLD_H
#define LT_TEST_CLAIM_WORLD_H

#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lt/policy/claim.h"

namespace claim_world
{

const int64_t MS = 1000;

struct Item
{
  int64_t version;
  std::string bytes;
};

struct Call
{
  int attempt;
  lt_claim_action_kind_t kind;
  int64_t due_us;
  int64_t version;
  std::string bytes;
  bool applied = false;
  bool reported = false;
  lt_claim_table_result_t outcome = LT_CLAIM_TABLE_UNKNOWN;
  bool found = false;
  Item item = {};
};

// Progress of a request to the upstream.
enum class Sending
{
  NONE,
  DISPATCHING, // No byte has been permitted.
  SENT,        // A byte may have been sent.
  RAN,         // The upstream ran it; the response is in flight.
  ENDED
};

struct Attempt
{
  lt_claim_t claim;
  std::string key;
  int vm;
  Sending sending = Sending::NONE;
  int runs = 0;
  std::string reply;
  int replies = 0;
  bool not_run = false;
  bool finished = false;
};

class Simulation
{
public:
  int64_t now_us = 0;
  std::map<std::string, Item> table;
  std::vector<std::unique_ptr<Call>> calls;
  std::vector<std::unique_ptr<Attempt>> attempts;
  std::map<std::string, int> runs;
  std::map<int, bool> dead; // Crashed VMs.
  std::map<int, bool> paused;
  std::string violation; // First violated invariant.

  int
  start (int vm, const std::string &key, const std::string &body,
         int64_t timeout_us)
  {
    auto a = std::make_unique<Attempt> ();
    lt_claim_options_t options = LT_CLAIM_OPTIONS_DEFAULT;
    std::string name = "vm" + std::to_string (vm);
    lt_claim_attempt_make (str_from (name.c_str ()), 7, attempts.size (),
                           &options.attempt);
    options.fingerprint = lt_claim_fingerprint (
        STR_LIT ("POST"), STR_LIT ("/order"), str_from (body.c_str ()));
    options.deadline_us = now_us + timeout_us;
    lt_claim_init (&a->claim, &options);
    a->key = key;
    a->vm = vm;
    attempts.push_back (std::move (a));
    int id = (int)attempts.size () - 1;
    event (id, LT_CLAIM_EVENT_START);
    return id;
  }

  // Reports an event; returns true when the first byte is permitted.
  bool
  event (int id, lt_claim_event_kind_t kind,
         lt_claim_table_result_t outcome = LT_CLAIM_TABLE_DONE,
         const lt_claim_record_t *record = nullptr)
  {
    Attempt &a = *attempts[id];
    if (dead[a.vm])
      return false;
    lt_claim_event_t e = { kind, outcome, record };
    lt_claim_actions_t actions = lt_claim_step (&a.claim, &e, now_us, now_us);
    bool permitted = false;
    for (size_t i = 0; i < actions.count; i++)
      permitted |= execute (id, actions.items[i]);
    return permitted;
  }

  // Executes a call on the table without reporting its result.
  void
  apply (Call &c)
  {
    c.applied = true;
    std::string key = attempts[c.attempt]->key;
    auto at = table.find (key);
    bool version_matches
        = at != table.end () && at->second.version == c.version;
    c.outcome = LT_CLAIM_TABLE_DONE;
    if (c.kind == LT_CLAIM_ACTION_READ)
      {
        c.found = at != table.end ();
        if (c.found)
          c.item = at->second;
      }
    else if (c.kind == LT_CLAIM_ACTION_INSERT && at == table.end ())
      table[key] = { c.version, c.bytes };
    else if (c.kind == LT_CLAIM_ACTION_RELEASE && version_matches)
      table.erase (at);
    else if (c.kind != LT_CLAIM_ACTION_INSERT
             && c.kind != LT_CLAIM_ACTION_RELEASE && version_matches)
      table[key] = { c.version + 1, c.bytes };
    else
      c.outcome = LT_CLAIM_TABLE_CONDITION_FAILED;
  }

  void
  report (Call &c, lt_claim_table_result_t outcome)
  {
    c.reported = true;
    lt_claim_record_t record;
    bool read = c.kind == LT_CLAIM_ACTION_READ && c.found
                && outcome == LT_CLAIM_TABLE_DONE;
    if (read
        && lt_claim_record_decode (
               str_make (c.item.bytes.data (), c.item.bytes.size ()), &record)
               != 0)
      record.state = (lt_claim_record_state_t)0;
    event (c.attempt, result_event_kind (c.kind), outcome,
           read ? &record : nullptr);
  }

  void
  upstream_run (Attempt &a)
  {
    a.sending = Sending::RAN;
    a.runs++;
    if (++runs[a.key] > 1)
      set_violation ("an action ran more than once");
    check (a);
  }

  int64_t
  next_timer () const
  {
    int64_t next = INT64_MAX;
    for (const auto &a : attempts)
      if (!a->finished && !contains (dead, a->vm) && !contains (paused, a->vm))
        next = std::min (next, lt_claim_timer_us (&a->claim));
    return next;
  }

  void
  fire_timers ()
  {
    for (size_t i = 0; i < attempts.size (); i++)
      if (!contains (paused, attempts[i]->vm)
          && lt_claim_timer_us (&attempts[i]->claim) <= now_us)
        event ((int)i, LT_CLAIM_EVENT_TIMER);
  }

  static bool
  contains (const std::map<int, bool> &set, int vm)
  {
    auto at = set.find (vm);
    return at != set.end () && at->second;
  }

private:
  void
  set_violation (const std::string &invariant)
  {
    if (violation.empty ())
      violation = invariant;
  }

  void
  check (const Attempt &a)
  {
    if (a.not_run && a.runs > 0)
      set_violation ("a request reported as not run did run");
    if (a.replies > 1)
      set_violation ("a caller got more than one reply");
  }

  static lt_claim_event_kind_t
  result_event_kind (lt_claim_action_kind_t kind)
  {
    switch (kind)
      {
      case LT_CLAIM_ACTION_INSERT:
        return LT_CLAIM_EVENT_INSERT_RESULT;
      case LT_CLAIM_ACTION_READ:
        return LT_CLAIM_EVENT_READ_RESULT;
      case LT_CLAIM_ACTION_RELEASE:
        return LT_CLAIM_EVENT_RELEASE_RESULT;
      default:
        return LT_CLAIM_EVENT_RECORD_RESULT;
      }
  }

  void
  call (int id, const lt_claim_action_t &action)
  {
    Attempt &a = *attempts[id];
    auto c = std::make_unique<Call> ();
    c->attempt = id;
    c->kind = action.kind;
    c->due_us = now_us + action.delay_us;
    c->version = lt_claim_attempt_version (&a.claim.options.attempt);
    lt_claim_record_t record = {};
    record.state = action.kind == LT_CLAIM_ACTION_INSERT
                       ? LT_CLAIM_RECORD_CLAIMED
                   : action.kind == LT_CLAIM_ACTION_RECORD_RESPONSE
                       ? LT_CLAIM_RECORD_COMPLETED
                       : LT_CLAIM_RECORD_NO_RESPONSE;
    record.attempt = a.claim.options.attempt;
    record.fingerprint = a.claim.options.fingerprint;
    record.deadline_wall_us = a.claim.options.deadline_us;
    record.status = 201;
    lt_buf_t bytes = {};
    lt_claim_record_encode (&record, &bytes);
    c->bytes.assign (bytes.data, bytes.len);
    lt_buf_destroy (&bytes);
    calls.push_back (std::move (c));
  }

  bool
  execute (int id, const lt_claim_action_t &action)
  {
    Attempt &a = *attempts[id];
    switch (action.kind)
      {
      case LT_CLAIM_ACTION_SEND:
        a.sending = Sending::DISPATCHING;
        return false;
      case LT_CLAIM_ACTION_PERMIT:
        return true;
      case LT_CLAIM_ACTION_CANCEL:
        // The dispatcher may still request the first byte before it stops.
        return false;
      case LT_CLAIM_ACTION_REPLY:
        a.reply = std::string (lt_claim_reply_name (action.reply)) + " "
                  + lt_claim_ran_name (action.ran);
        a.replies++;
        a.not_run = action.ran == LT_CLAIM_RAN_NO;
        if (action.reply == LT_CLAIM_REPLY_RECORDED && runs[a.key] == 0)
          set_violation ("a recorded response was returned for an action that "
                         "did not run");
        check (a);
        return false;
      case LT_CLAIM_ACTION_FINISHED:
        a.finished = true;
        return false;
      default:
        call (id, action);
        return false;
      }
  }
};

} // namespace claim_world

#endif
