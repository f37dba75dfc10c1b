// Tests of leaving upstreams: planned stops and announcements.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lt/policy/drain.h"

static const int64_t kSecond = 1000000;

class Drain : public testing::Test
{
protected:
  void
  SetUp () override
  {
    lt_drain_options_t options = LT_DRAIN_OPTIONS_DEFAULT;
    drain = lt_drain_create (&options);
    configure ();
  }

  void
  TearDown () override
  {
    lt_drain_destroy (drain);
  }

  void
  configure ()
  {
    lt_drain_config_t config = {};
    config.upstreams = upstreams.data ();
    config.upstream_count = static_cast<uint32_t> (upstreams.size ());
    config.services = &service;
    config.service_count = 1;
    config.stops = stops.data ();
    config.stop_count = static_cast<uint32_t> (stops.size ());
    lt_drain_configure (drain, &config);
  }

  // Returns the changes as a string: "+1" if upstream 1 starts leaving, "-1"
  // if it stops leaving.
  std::string
  update (int64_t wall_us)
  {
    lt_drain_change_t changes[8];
    uint32_t count = lt_drain_update (drain, wall_us, changes, 8);
    std::string text;
    for (uint32_t i = 0; i < count; i++)
      text += (changes[i].leaving ? "+" : "-")
              + std::to_string (changes[i].upstream);
    return text;
  }

  std::vector<lt_drain_upstream_t> upstreams = { { 11, 0, 3, false },
                                                 { 12, 0, 3, false },
                                                 { 13, 0, 3, false },
                                                 { 14, 0, 3, false } };
  lt_drain_service_t service = { 50, 10 * kSecond };
  std::vector<lt_drain_planned_stop_t> stops;
  lt_drain_t *drain;
};

// Guards against a planned stop that interrupts requests sent just before it
// (I10), and against new requests during the stop (I9).
TEST_F (Drain, StopsNewRequestsBeforePlannedStop)
{
  stops = { { 2, 100 * kSecond, 200 * kSecond } };
  configure ();
  struct
  {
    int64_t wall_s;
    const char *changes;
  } cases[] = { { 89, "" },  { 90, "+2" },  { 150, "" },
                { 199, "" }, { 200, "-2" }, { 300, "" } };
  for (const auto &c : cases)
    EXPECT_EQ (c.changes, update (c.wall_s * kSecond)) << c.wall_s;
}

// Guards against new requests to an upstream that announced its shutdown (I9),
// and against an upstream that never gets requests again.
TEST_F (Drain, AnnouncementEndsAfterSuccessfulProbes)
{
  lt_drain_on_response (drain, 1, false, 0);
  EXPECT_TRUE (lt_drain_on_response (drain, 1, true, 0));
  EXPECT_FALSE (lt_drain_on_response (drain, 1, true, 0));
  EXPECT_EQ ("+1", update (0));
  EXPECT_EQ (UINT32_MAX, lt_drain_probe_due (drain, kSecond));
  EXPECT_EQ (1u, lt_drain_probe_due (drain, 2 * kSecond));
  EXPECT_EQ (UINT32_MAX, lt_drain_probe_due (drain, 2 * kSecond));
  for (bool ok : { true, false, true })
    lt_drain_on_probe (drain, 1, ok);
  EXPECT_EQ ("", update (0));
  lt_drain_on_probe (drain, 1, true);
  EXPECT_EQ ("-1", update (0));
}

// Guards against treating servers that close every connection as leaving.
TEST_F (Drain, IgnoresUpstreamsThatAlwaysCloseConnections)
{
  for (int i = 0; i < 10; i++)
    EXPECT_FALSE (lt_drain_on_response (drain, 0, true, i));
  EXPECT_EQ ("", update (0));
}

// Guards against announcements that take a service below its floor (I1).
TEST_F (Drain, IgnoresAnnouncementsBelowTheFloor)
{
  for (uint32_t upstream = 0; upstream < 4; upstream++)
    lt_drain_on_response (drain, upstream, false, 0);
  EXPECT_TRUE (lt_drain_on_response (drain, 0, true, 0));
  EXPECT_TRUE (lt_drain_on_peer_announcement (drain, 12, 0));
  EXPECT_FALSE (lt_drain_on_response (drain, 2, true, 0));
  EXPECT_FALSE (lt_drain_on_peer_announcement (drain, 14, 0));
  EXPECT_EQ ("+0+1", update (0));
}

// Guards against new requests to a leaving upstream whose index changes with
// the configuration.
TEST_F (Drain, KeepsAnnouncementsByNameAcrossConfigurations)
{
  lt_drain_on_response (drain, 3, false, 0);
  EXPECT_TRUE (lt_drain_on_response (drain, 3, true, 0));
  EXPECT_EQ ("+3", update (0));
  upstreams.erase (upstreams.begin ());
  upstreams[0].drained = true;
  configure ();
  EXPECT_EQ ("+0+2", update (0));
  EXPECT_TRUE (lt_drain_is_leaving (drain, 2));
}
