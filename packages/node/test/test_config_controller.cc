// Guards changes of the configuration on one VM with the in-memory platform:
// each is accepted once, conflicts name the change that came between, and lost
// answers are settled by reading back.
#include <gtest/gtest.h>

#include <ev.h>
#include <sodium.h>

#include <functional>
#include <string>
#include <vector>

#include "bus.h"
#include "lt/base/error.h"
#include "lt/config/sheet.h"
#include "lt/node/config_controller.h"
#include "lt/node/node.h"
#include "lt/platform/memory.h"
#include "lt/policy/freshness.h"

namespace
{
struct Outcome
{
  int calls = 0;
  lt_apply_outcome_t outcome = LT_APPLY_UNAVAILABLE;
  int64_t version = -1;
  std::string author;
};

void
on_applied (void *user, const lt_apply_result_t *result)
{
  Outcome *o = static_cast<Outcome *> (user);
  o->calls++;
  o->outcome = result->outcome;
  o->version = result->change.version;
  o->author.assign (
      result->change.author.data == nullptr ? "" : result->change.author.data,
      result->change.author.len);
}

// One node without callers: loop, platform, bus and the config controller.
struct Site
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lt_manual_clock_t clock;
  lt_settings_t settings;
  lt_node_t node = {};
  lt_controller_t *controller = nullptr;

  Site ()
  {
    (void)!sodium_init ();
    lt_log_set_level (LT_LOG_ERROR);
    lt_manual_clock_init (&clock, 1000000000000);
    lt_settings_init (&settings);
    settings.vm_id = STR_LIT ("vm-1");
    settings.region = settings.store_region = STR_LIT ("vest");
    settings.failure_domain = STR_LIT ("vest-a");
    node.loop = loop;
    node.clock = &clock.base;
    node.settings = &settings;
    node.metrics = lt_metrics_create ();
    lt_rng_init (&node.rng, 3);
    lt_platform_memory_create (loop, &clock.base, &node.platform);
    node.bus = lt_bus_create (&node);
    start ();
  }
  Site (const Site &) = delete;
  ~Site ()
  {
    stop ();
    lt_platform_destroy (&node.platform);
    lt_bus_destroy (node.bus);
    lt_metrics_destroy (node.metrics);
    ev_loop_destroy (loop);
  }

  void
  start ()
  {
    controller = lt_config_controller_create (&node);
    lt_node_add_controller (&node, controller);
  }
  // The process ends; the platform stays.
  void
  stop ()
  {
    controller->vtable->destroy (controller);
    node.controller_count = 0;
    turn ();
    lt_snapshot_ref_release (node.config);
    node.config = nullptr;
  }

  void
  turn ()
  {
    for (int i = 0; i < 10; i++)
      ev_run (loop, EVRUN_NOWAIT);
  }
  void
  tick (int64_t advance_ms = 100)
  {
    lt_manual_clock_advance (&clock, advance_ms * LT_US_PER_MS);
    controller->vtable->tick (controller, clock.now_us);
    turn ();
  }

  lt_snapshot_t *
  snapshot (const char *workspace)
  {
    std::string sheet = "kind;name;day;rows;workspace;rate_per_s;burst\n"
                        "sheet;shop;2026-12-04;2\n"
                        "workspace;"
                        + std::string (workspace) + "\nlimit;;;;" + workspace
                        + ";5;5\n";
    lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
    options.source = STR_LIT ("sheet");
    options.hash_secret = STR_LIT ("hash-secret-0123456789");
    lt_findings_t findings = {};
    lt_snapshot_t *result = nullptr;
    int error = lt_sheet_parse (str_make (sheet.data (), sheet.size ()),
                                &options, &findings, &result);
    lt_buf_t text = {};
    lt_findings_print (&findings, &text);
    EXPECT_EQ (0, error) << (text.data == nullptr ? "" : text.data);
    lt_buf_destroy (&text);
    lt_findings_destroy (&findings);
    return result;
  }

  int
  apply (const char *workspace, int64_t base, const char *author,
         Outcome *outcome)
  {
    return lt_config_controller_apply (node.config_controller,
                                       snapshot (workspace), base,
                                       str_from (author), on_applied, outcome);
  }

  int64_t
  applied () const
  {
    return node.config == nullptr ? 0 : node.config->snapshot->version;
  }

  void
  fault (lt_platform_call_t kind, lt_platform_fault_t f)
  {
    lt_platform_memory_set_fault (&node.platform, kind, f);
  }
};
}

// Guards the order of changes: consecutive ones are accepted, one on an old
// base is refused with the author of the change that came between.
TEST (ConfigController, AcceptsAndNamesConflicts)
{
  Site site;
  Outcome first;
  ASSERT_EQ (0, site.apply ("ana", 0, "anna", &first));
  EXPECT_EQ (0, first.calls) << "never inside the call";
  Outcome busy;
  EXPECT_EQ (-LT_EFULL, site.apply ("eva", 0, "berta", &busy));
  site.turn ();
  EXPECT_EQ (1, first.calls);
  EXPECT_EQ (LT_APPLY_ACCEPTED, first.outcome);
  EXPECT_EQ (1, first.version);
  EXPECT_EQ (1, site.applied ());
  EXPECT_TRUE (
      str_equal (site.node.config->snapshot->author, STR_LIT ("anna")));
  Outcome stale;
  site.apply ("eva", 0, "berta", &stale);
  site.turn ();
  EXPECT_EQ (LT_APPLY_CONFLICT, stale.outcome);
  EXPECT_EQ (1, stale.version);
  EXPECT_EQ ("anna", stale.author);
  Outcome next;
  site.apply ("eva", 1, "berta", &next);
  site.turn ();
  EXPECT_EQ (LT_APPLY_ACCEPTED, next.outcome);
  EXPECT_EQ (2, site.applied ());
  EXPECT_EQ (0, busy.calls);
}

// Guards the outcome under each fault of the store, that DONE is called once,
// and that what was reported is what the table says in the end.
TEST (ConfigController, SettlesFaults)
{
  struct
  {
    const char *name;
    lt_platform_call_t kind;
    lt_platform_fault_t fault;
    lt_apply_outcome_t outcome;
    int64_t head; // Version in force in the end.
  } cases[] = {
    { "no fault", LT_CALL_VM_LIST, {}, LT_APPLY_ACCEPTED, 1 },
    { "head cannot be read",
      LT_CALL_TABLE_READ,
      { true, false, 0, 0 },
      LT_APPLY_UNAVAILABLE,
      0 },
    { "object cannot be put",
      LT_CALL_OBJECT_PUT,
      { true, false, 0, 0 },
      LT_APPLY_UNAVAILABLE,
      0 },
    { "object's answer is lost",
      LT_CALL_OBJECT_PUT,
      { false, true, 0, 0 },
      LT_APPLY_UNAVAILABLE,
      0 },
    { "write is refused by an outage",
      LT_CALL_TABLE_WRITE,
      { true, false, 0, 0 },
      LT_APPLY_UNAVAILABLE,
      0 },
    { "write's answer is lost",
      LT_CALL_TABLE_WRITE,
      { false, true, 0, 0 },
      LT_APPLY_ACCEPTED,
      1 },
  };
  for (const auto &c : cases)
    {
      Site site;
      Outcome outcome;
      site.fault (c.kind, c.fault);
      ASSERT_EQ (0, site.apply ("ana", 0, "anna", &outcome)) << c.name;
      for (int i = 0; i < 150 && outcome.calls == 0; i++)
        site.tick ();
      EXPECT_EQ (1, outcome.calls) << c.name;
      EXPECT_EQ (c.outcome, outcome.outcome) << c.name;
      site.fault (c.kind, {});
      for (int i = 0; i < 30; i++)
        site.tick ();
      EXPECT_EQ (c.head, site.applied ()) << c.name;
    }
}

// Guards a write whose answer is lost and whose result cannot be read: it is
// reported as unknown, and the version is taken up when the store is back.
TEST (ConfigController, ReportsUnknownAndCatchesUp)
{
  Site site;
  Outcome outcome;
  site.fault (LT_CALL_TABLE_WRITE, { false, true, 50, 1 });
  ASSERT_EQ (0, site.apply ("ana", 0, "anna", &outcome));
  site.turn ();
  site.fault (LT_CALL_TABLE_READ, { true, false, 0, 0 });
  ev_sleep (0.06); // The platform's timers run on real time.
  for (int i = 0; i < 150 && outcome.calls == 0; i++)
    site.tick ();
  EXPECT_EQ (LT_APPLY_UNKNOWN, outcome.outcome);
  EXPECT_EQ (0, site.applied ());
  EXPECT_EQ (1, lt_freshness_possible (site.node.freshness));
  site.fault (LT_CALL_TABLE_READ, {});
  for (int i = 0; i < 30; i++)
    site.tick ();
  EXPECT_EQ (1, site.applied ());
  EXPECT_EQ (0, lt_freshness_possible (site.node.freshness));
}

// Guards a change in progress when the process ends, and answers of the
// platform that come after it.
TEST (ConfigController, EndsWithOpenCalls)
{
  Site site;
  Outcome outcome;
  site.fault (LT_CALL_TABLE_READ, { false, false, 50, 0 });
  site.tick ();
  ASSERT_EQ (0, site.apply ("ana", 0, "anna", &outcome));
  site.stop ();
  EXPECT_EQ (1, outcome.calls);
  EXPECT_EQ (LT_APPLY_UNAVAILABLE, outcome.outcome);
  site.fault (LT_CALL_TABLE_READ, {});
  ev_sleep (0.06); // The platform's timers run on real time.
  site.turn ();
  site.start ();
}

// Guards a restart: the version in force is read from the store and keyed
// requests are served again only then; a store that is down stops them.
TEST (ConfigController, RecoversFromStoreAndGates)
{
  Site site;
  Outcome outcome;
  site.apply ("ana", 0, "anna", &outcome);
  site.turn ();
  site.apply ("eva", 1, "anna", &outcome);
  site.turn ();
  ASSERT_EQ (2, site.applied ());
  site.stop ();
  site.start ();
  EXPECT_FALSE (
      lt_freshness_allows_keyed (site.node.freshness, site.clock.now_us));
  for (int i = 0; i < 20; i++)
    site.tick ();
  EXPECT_EQ (2, site.applied ());
  EXPECT_TRUE (
      lt_freshness_allows_keyed (site.node.freshness, site.clock.now_us));
  site.fault (LT_CALL_TABLE_READ, { true, false, 0, 0 });
  for (int i = 0; i < 70; i++)
    site.tick ();
  EXPECT_FALSE (
      lt_freshness_allows_keyed (site.node.freshness, site.clock.now_us));
}

// Guards the history: newest first, with authors, in pages.
TEST (ConfigController, ReadsHistory)
{
  Site site;
  Outcome outcome;
  const char *authors[] = { "anna", "berta", "cilka" };
  for (int i = 0; i < 3; i++)
    {
      site.apply (i % 2 == 0 ? "ana" : "eva", i, authors[i], &outcome);
      site.turn ();
    }
  struct
  {
    int64_t before;
    size_t count;
    const char *expected;
  } cases[] = { { 0, 10, "3 cilka,2 berta,1 anna," },
                { 0, 2, "3 cilka,2 berta," },
                { 3, 2, "2 berta,1 anna," },
                { 1, 5, "" } };
  for (const auto &c : cases)
    {
      std::string text = "not called";
      int error = lt_config_controller_history (
          site.node.config_controller, c.before, c.count,
          [] (void *user, int failed, const lt_change_record_t *records,
              size_t count) {
            std::string *out = static_cast<std::string *> (user);
            out->clear ();
            EXPECT_EQ (0, failed);
            for (size_t i = 0; i < count; i++)
              *out += std::to_string (records[i].version) + " "
                      + std::string (records[i].author.data,
                                     records[i].author.len)
                      + ",";
          },
          &text);
      EXPECT_EQ (0, error);
      site.turn ();
      EXPECT_EQ (c.expected, text);
    }
  EXPECT_EQ (-LT_EINVAL,
             lt_config_controller_history (site.node.config_controller, 0, 51,
                                           nullptr, nullptr));
}
