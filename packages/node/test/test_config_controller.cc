// Guards changes of the configuration on one VM with the in-memory platform:
// each is accepted once, a conflict names the change that was accepted first,
// and the outcome of a write without a response is found by reading it back.
#include "site.h"

// One VM with a store of its own.
struct SingleVm : World, Site
{
  SingleVm () : Site (*static_cast<World *> (this)) {}
  void
  tick (int64_t advance_ms = 100)
  {
    lt_manual_clock_advance (&clock, advance_ms * LT_US_PER_MS);
    Site::tick ();
    turn ();
  }
};

// Guards the order of changes: consecutive ones are accepted, one on an old
// base is rejected with the author of the change that was accepted first.
TEST (ConfigController, AcceptsChangesAndReportsConflicts)
{
  SingleVm site;
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

// Guards the outcome under each fault of the store: DONE is called once, and
// the reported outcome agrees with the table afterwards.
TEST (ConfigController, ReportsOutcomeUnderStoreFaults)
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
    { "response to the object write is lost",
      LT_CALL_OBJECT_PUT,
      { false, true, 0, 0 },
      LT_APPLY_UNAVAILABLE,
      0 },
    { "write is refused by an outage",
      LT_CALL_TABLE_WRITE,
      { true, false, 0, 0 },
      LT_APPLY_UNAVAILABLE,
      0 },
    { "response to the table write is lost",
      LT_CALL_TABLE_WRITE,
      { false, true, 0, 0 },
      LT_APPLY_ACCEPTED,
      1 },
  };
  for (const auto &c : cases)
    {
      SingleVm site;
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

// Guards a write whose response is lost and whose result cannot be read: it is
// reported as unknown, and the version is applied when the store recovers.
TEST (ConfigController, ReportsUnknownOutcomeAndAppliesLater)
{
  SingleVm site;
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

// Guards against platform calls that complete after the controller was
// destroyed, with a change in progress.
TEST (ConfigController, DestroysWithPendingCalls)
{
  SingleVm site;
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
TEST (ConfigController, ServesKeyedOnlyAfterStoreRead)
{
  SingleVm site;
  Outcome outcome;
  site.apply ("ana", 0, "anna", &outcome);
  site.turn ();
  site.apply ("eva", 1, "anna", &outcome);
  site.turn ();
  ASSERT_EQ (2, site.applied ());
  site.stop ();
  site.start ();
  EXPECT_FALSE (site.serves ());
  for (int i = 0; i < 20; i++)
    site.tick ();
  EXPECT_EQ (2, site.applied ());
  EXPECT_TRUE (site.serves ());
  site.fault (LT_CALL_TABLE_READ, { true, false, 0, 0 });
  for (int i = 0; i < 70; i++)
    site.tick ();
  EXPECT_FALSE (site.serves ());
}

// Guards the order, the authors and the paging of the history.
TEST (ConfigController, ReadsHistoryNewestFirst)
{
  SingleVm site;
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
