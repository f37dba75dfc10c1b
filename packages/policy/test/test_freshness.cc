// Guards invariants I4 and I11: a VM serves keyed requests only while no
// change accepted more than 5 s ago can be missing from its configuration, and
// never goes back to a lower version.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "../bench/fleet.h"
#include "lt/policy/freshness.h"

static const int64_t ms = 1000;

namespace
{
struct Module
{
  lt_rng_t rng;
  lt_freshness_t *f;

  explicit Module (const char *id = "vm-1", const char *domain = "a",
                   uint64_t seed = 5)
  {
    lt_rng_init (&rng, seed);
    lt_freshness_options_t options = LT_FRESHNESS_OPTIONS_DEFAULT;
    options.vm_id = str_from (id);
    options.region = STR_LIT ("store");
    options.failure_domain = str_from (domain);
    options.store_region = STR_LIT ("store");
    f = lt_freshness_create (&options, &rng);
    lt_freshness_set_role (f, true, true);
  }
  Module (const Module &) = delete;
  ~Module () { lt_freshness_destroy (f); }

  // Returns whether an action of TYPE is queued; drops the others.
  bool
  has (lt_freshness_action_type_t type, lt_freshness_action_t *found = nullptr)
  {
    lt_freshness_action_t action;
    bool hit = false;
    while (lt_freshness_next_action (f, &action))
      if (action.type == type)
        {
          hit = true;
          if (found != nullptr)
            *found = action;
        }
    return hit;
  }

  // Reads the store at SENT_MS; the result, HEAD or a failure, arrives at
  // DONE_MS.
  void
  read (int64_t sent_ms, int64_t done_ms, int64_t head, bool failed = false)
  {
    lt_freshness_action_t action = {};
    lt_freshness_tick (f, sent_ms * ms);
    ASSERT_TRUE (has (LT_FRESHNESS_READ_STORE, &action));
    lt_freshness_on_read (f, done_ms * ms, action.read_id, failed, head);
  }

  // Sends a query at SENT_MS; ANSWER arrives at DONE_MS.
  void
  exchange (int64_t sent_ms, int64_t done_ms, lt_freshness_report_t answer)
  {
    lt_freshness_report_t query;
    lt_freshness_fill_query (f, sent_ms * ms, &query);
    answer.query_id = query.query_id;
    lt_freshness_on_answer (f, done_ms * ms, STR_LIT ("vm-9"), &answer);
  }

  bool
  allows (int64_t at_ms)
  {
    return lt_freshness_allows_keyed (f, at_ms * ms);
  }
};

lt_freshness_report_t
report (int64_t version, int64_t age_ms, int64_t held_ms = 0)
{
  lt_freshness_report_t r = {};
  r.applied_version = r.known_version = r.confirm_version = version;
  r.confirm_age_us = age_ms < 0 ? -1 : age_ms * ms;
  r.answer_delay_us = held_ms * ms;
  return r;
}

void
attest (lt_freshness_report_t &r, const char *vm, const char *domain,
        bool failing, int64_t known, int64_t age_ms)
{
  r.attestations[r.attestation_count++]
      = { str_from (vm), str_from (domain), failing, known, age_ms * ms };
}
}

// Guards the time of a confirmation: when the query was sent, minus the age
// that the peer reports, plus the time for which the peer delayed the answer.
TEST (Freshness, DatesConfirmations)
{
  struct
  {
    const char *name;
    std::function<void (Module &)> events;
    int64_t last_allowed_ms;
  } cases[] = {
    { "a slow read counts from when it was sent",
      [] (Module &m) { m.read (1000, 4000, 1); }, 6000 },
    { "the peer's age adds to that of the query",
      [] (Module &m) { m.exchange (1000, 1200, report (1, 700)); }, 5300 },
    { "the answer delay makes the confirmation later",
      [] (Module &m) { m.exchange (1000, 2000, report (1, 100, 900)); },
      6800 },
    { "an answer delay above the elapsed time is refused",
      [] (Module &m) { m.exchange (1000, 1200, report (1, 0, 201)); }, -1 },
    { "a peer without confirmation gives none",
      [] (Module &m) { m.exchange (1000, 1200, report (1, -1)); }, -1 },
    { "an answer to no query gives none",
      [] (Module &m) {
        lt_freshness_report_t r = report (1, 0);
        r.query_id = 77;
        lt_freshness_on_answer (m.f, 1200 * ms, STR_LIT ("vm-9"), &r);
      },
      -1 },
    { "an answer after 3 s gives none",
      [] (Module &m) { m.exchange (1000, 4001, report (1, 0)); }, -1 },
    { "an older confirmation does not replace a newer one",
      [] (Module &m) {
        m.read (1000, 1100, 1);
        m.exchange (1100, 1200, report (1, 2000));
      },
      6000 },
    { "a failed read gives none",
      [] (Module &m) { m.read (1000, 1100, 0, true); }, -1 }
  };
  for (const auto &c : cases)
    {
      Module m;
      lt_freshness_on_applied (m.f, 0, 1);
      c.events (m);
      EXPECT_EQ (c.last_allowed_ms >= 0, m.allows (c.last_allowed_ms))
          << c.name;
      EXPECT_FALSE (m.allows (c.last_allowed_ms + 1)) << c.name;
    }
}

// Guards the order of versions: only higher ones are applied, keyed requests
// stop when a higher known one is not applied within the grace time, and
// applying it allows them again.
TEST (Freshness, RefusesKeyedRequestsWhenBehind)
{
  Module m;
  lt_freshness_on_applied (m.f, 0, 3);
  m.read (1000, 1010, 3);
  lt_freshness_on_applied (m.f, 1020 * ms, 2);
  EXPECT_EQ (3, lt_freshness_applied (m.f));
  lt_freshness_action_t fetch = {};
  m.exchange (2000, 2010, report (4, 0));
  ASSERT_TRUE (m.has (LT_FRESHNESS_FETCH, &fetch));
  EXPECT_EQ (4, fetch.version);
  EXPECT_TRUE (m.allows (3000));
  EXPECT_FALSE (m.allows (3011));
  m.exchange (3020, 3030, report (5, 0));
  EXPECT_FALSE (m.allows (3040)) << "a further version renews no grace";
  lt_freshness_on_applied (m.f, 3050 * ms, 5);
  EXPECT_TRUE (m.allows (8020));
  EXPECT_FALSE (m.allows (8021));
  EXPECT_TRUE (m.has (LT_FRESHNESS_GOSSIP));
}

// Guards against a read that returns an old head after a newer one is known.
TEST (Freshness, IgnoresStaleReads)
{
  Module m;
  lt_freshness_on_applied (m.f, 0, 4);
  m.read (1000, 1010, 3);
  EXPECT_FALSE (m.allows (1020));
}

// Guards the rule by which attestations allow keyed requests during an outage
// of the store.
TEST (Freshness, AllowsKeyedRequestsInAttestedOutage)
{
  using Fill = std::function<void (lt_freshness_report_t &)>;
  struct
  {
    const char *name;
    Fill fill;
    bool allowed;
  } cases[] = { { "two domains",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 1, 100);
                  },
                  true },
                { "one domain",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "a", true, 1, 100);
                  },
                  false },
                { "one VM twice",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-2", "b", true, 1, 100);
                  },
                  false },
                { "a success after the failures",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 1, 100);
                    attest (r, "vm-4", "b", false, 1, 99);
                  },
                  false },
                { "a success between the failures",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 1, 900);
                    attest (r, "vm-4", "b", false, 1, 500);
                  },
                  false },
                { "a success before the failures",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 1, 900);
                    attest (r, "vm-4", "b", false, 1, 1900);
                  },
                  true },
                { "an attestation older than 5 s",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 1, 4950);
                  },
                  false },
                { "an attestation with a higher known version",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 2, 100);
                  },
                  false },
                { "a possible version",
                  [] (lt_freshness_report_t &r) {
                    attest (r, "vm-2", "a", true, 1, 100);
                    attest (r, "vm-3", "b", true, 1, 100);
                    r.possible_version = 2;
                    r.possible_write_id = 9;
                  },
                  false } };
  for (const auto &c : cases)
    {
      Module m;
      lt_freshness_on_applied (m.f, 0, 1);
      lt_freshness_report_t r = report (1, -1);
      c.fill (r);
      m.exchange (20000, 20010, r);
      EXPECT_EQ (c.allowed, m.allows (20100)) << c.name;
      EXPECT_FALSE (m.allows (25001)) << c.name;
    }
}

// Guards the announcement that precedes a write: all watchers but those of one
// failure domain must have acknowledged it.
TEST (Freshness, WaitsForAnnouncement)
{
  struct
  {
    const char *answers;
    bool announced;
  } cases[] = { { "", false },     { "12", true },  { "13", false },
                { "123", true },   { "134", true }, { "234", true },
                { "12344", true }, { "24", false } };
  for (const auto &c : cases)
    {
      Module m ("vm-0", "c");
      lt_freshness_watcher_t watchers[]
          = { { STR_LIT ("vm-1"), STR_LIT ("a") },
              { STR_LIT ("vm-2"), STR_LIT ("a") },
              { STR_LIT ("vm-3"), STR_LIT ("b") },
              { STR_LIT ("vm-4"), STR_LIT ("b") } };
      lt_freshness_on_write_begin (m.f, 1000 * ms, 2, watchers, 4);
      EXPECT_TRUE (m.has (LT_FRESHNESS_ANNOUNCE));
      lt_freshness_report_t stale = report (1, 0);
      stale.possible_version = 2;
      stale.possible_age_us = 200 * ms; // Announced before this write.
      lt_freshness_on_answer (m.f, 1100 * ms, STR_LIT ("vm-1"), &stale);
      lt_freshness_on_answer (m.f, 1100 * ms, STR_LIT ("vm-3"), &stale);
      EXPECT_FALSE (lt_freshness_write_announced (m.f));
      for (const char *a = c.answers; *a != '\0'; a++)
        {
          lt_freshness_report_t fresh = stale;
          fresh.possible_age_us = 50 * ms;
          std::string peer = std::string ("vm-") + *a;
          lt_freshness_on_answer (m.f, 1100 * ms, str_from (peer.c_str ()),
                                  &fresh);
        }
      EXPECT_EQ (c.announced, lt_freshness_write_announced (m.f)) << c.answers;
    }
}

// Guards against a possible version that remains after its write has ended,
// which would stop keyed requests in the next outage, and against one that is
// dropped while the write may still take effect.
TEST (Freshness, ClearsPossibleVersions)
{
  struct
  {
    const char *name;
    int64_t read_ms;
    int64_t head;
    int64_t possible;
  } cases[] = { { "the write may be in flight", 20000, 1, 2 },
                { "the write is certainly over", 31002, 1, 0 },
                { "the write took effect", 2000, 2, 0 } };
  for (const auto &c : cases)
    {
      Module m;
      lt_freshness_on_applied (m.f, 0, 1);
      lt_freshness_on_write_begin (m.f, 1000 * ms, 2, nullptr, 0);
      m.read (c.read_ms, c.read_ms + 10, c.head);
      EXPECT_EQ (c.possible, lt_freshness_possible (m.f)) << c.name;
    }
}

// Guards the second answer to a pending query, which carries a new
// confirmation without waiting for the next query.
TEST (Freshness, AnswersPendingQueriesAgain)
{
  Module m;
  lt_freshness_on_applied (m.f, 0, 1);
  lt_freshness_report_t query = report (1, -1);
  lt_freshness_report_t answer;
  query.query_id = 42;
  lt_freshness_on_query (m.f, 900 * ms, STR_LIT ("vm-7"), &query, &answer);
  EXPECT_EQ (-1, answer.confirm_age_us);
  m.has (LT_FRESHNESS_GOSSIP);
  lt_freshness_action_t read = {};
  lt_freshness_tick (m.f, 1000 * ms);
  ASSERT_TRUE (m.has (LT_FRESHNESS_READ_STORE, &read));
  lt_freshness_on_read (m.f, 1010 * ms, read.read_id, false, 1);
  lt_freshness_action_t action = {};
  ASSERT_TRUE (m.has (LT_FRESHNESS_ANSWER, &action));
  EXPECT_TRUE (str_equal (action.peer, STR_LIT ("vm-7")));
  lt_freshness_fill_answer (m.f, 1010 * ms, action.peer, &answer);
  EXPECT_EQ (42u, answer.query_id);
  EXPECT_EQ (110 * ms, answer.answer_delay_us);
  EXPECT_EQ (10 * ms, answer.confirm_age_us);
}

// Applies random faults to a fleet of 12 VMs for two minutes.
static void
random_schedule (fleet_t *fleet)
{
  lt_rng_t *rng = &fleet->rng;
  while (fleet->now_us < 120 * 1000 * ms)
    {
      fleet_run (fleet,
                 fleet->now_us + (int64_t)lt_rng_below (rng, 3000 * ms));
      int vm = (int)lt_rng_below (rng, 12);
      int64_t span_us = 2000 * ms + (int64_t)lt_rng_below (rng, 12000 * ms);
      int64_t until_us = fleet->now_us + span_us;
      switch (lt_rng_below (rng, 24))
        {
        case 0:
          fleet->vms[vm].cut_until_us = until_us;
          break;
        case 1:
          fleet->region_cut_until_us[lt_rng_below (rng, 3)] = until_us;
          break;
        case 2:
        case 3:
          fleet->vms[vm].paused_until_us = until_us;
          break;
        case 4:
          fleet_start_vm (fleet, vm);
          break;
        case 5:
          fleet->store_down_from_us = fleet->now_us;
          fleet->store_down_until_us = until_us;
          break;
        case 6:
        case 7:
          fleet->outage_after_accept = true;
          fleet->cut_after_accept = lt_rng_below (rng, 2) == 0;
          fleet->outage_us = span_us;
          break;
        default:
          fleet_propose (fleet, vm);
        }
    }
}

// Guards I4 as a whole under random faults: no VM serves keyed requests with a
// version that lacks a change accepted more than 5 s ago.
TEST (Freshness, RefusesWithdrawnKeysUnderRandomFaults)
{
  uint64_t allowed = 0;
  uint64_t in_outage = 0;
  int64_t accepted = 0;
  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      fleet_t *fleet = fleet_create (12, 6, seed);
      fleet->loss = seed % 3 == 0 ? 0.1 : 0;
      random_schedule (fleet);
      EXPECT_EQ (0u, fleet->violations) << "seed " << seed;
      allowed += fleet->allowed_ticks;
      in_outage += fleet->outage_allowed_ticks;
      accepted += fleet->head - 1;
      fleet_destroy (fleet);
    }
  // The schedules must reach all three: serving, outages and changes.
  EXPECT_GT (allowed, 100000u);
  EXPECT_GT (in_outage, 10000u);
  EXPECT_GT (accepted, 1000);
  printf ("seeds 1-300: %d changes, %llu ticks allowed, %llu in outages\n",
          (int)accepted, (unsigned long long)allowed,
          (unsigned long long)in_outage);
}

// Checks that the property test above can fail: without announcements, a store
// that goes down right after it accepted a change must cause violations.
TEST (Freshness, RandomFaultsExposeMissingAnnouncements)
{
  uint64_t violations = 0;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      fleet_t *fleet = fleet_create (12, 6, seed);
      fleet->no_announcement = true;
      random_schedule (fleet);
      violations += fleet->violations;
      fleet_destroy (fleet);
    }
  EXPECT_GT (violations, 0u);
}
