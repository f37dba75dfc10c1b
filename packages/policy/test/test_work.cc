// Guards against a choice by work that sends requests behind costly ones, that
// takes a costly request or a queue for a slow upstream, or that follows old
// reports as one with the other VMs.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/choice.h"
#include "lt/policy/work.h"

namespace
{

const int64_t MS = LT_US_PER_MS;
const int64_t S = LT_US_PER_S;
const uint64_t CHEAP = 1;
const uint64_t COSTLY = 2;

class Work : public testing::Test
{
protected:
  Work ()
  {
    lt_rng_init (&rng, 1);
    options = LT_WORK_OPTIONS_DEFAULT;
    cost_options = LT_COST_OPTIONS_DEFAULT;
    reopen ();
    for (uint64_t id = 1; id <= 4; id++)
      upstreams.push_back ({ id, 0, LT_DISTANCE_SAME_DOMAIN, 4, false, 0 });
    configure ();
  }
  ~Work () override
  {
    lt_choice_destroy (choice);
    lt_work_destroy (work);
  }

  void
  reopen ()
  {
    lt_choice_destroy (choice);
    lt_work_destroy (work);
    work = lt_work_create (&options, &cost_options);
    lt_choice_options_t choice_options = LT_CHOICE_OPTIONS_DEFAULT;
    choice_options.work = work;
    choice = lt_choice_create (&choice_options, &rng);
  }

  void
  configure ()
  {
    lt_choice_configure (choice, upstreams.data (),
                         (uint32_t)upstreams.size (), now);
  }

  static lt_cost_key_t
  key (uint64_t route)
  {
    lt_cost_features_t features = { 1, route, 0, 0, 0 };
    return lt_cost_key_make (&features);
  }

  // Teaches that requests of CHEAP take 100 ms and those of COSTLY 900 ms.
  void
  teach ()
  {
    for (int i = 0; i < 200; i++)
      {
        lt_cost_key_t cheap = key (CHEAP);
        lt_cost_key_t costly = key (COSTLY);
        lt_cost_learn (lt_work_cost (work), &cheap, 100e3, 1, now);
        lt_cost_learn (lt_work_cost (work), &costly, 900e3, 1, now);
      }
  }

  // Begins an attempt and returns its id.
  uint64_t
  begin (uint64_t upstream, uint64_t route)
  {
    lt_choice_estimate_t view = {};
    EXPECT_EQ (0, lt_choice_look_up (choice, upstream, now, &view));
    lt_work_load_t load
        = { upstream, 4, view.own_in_flight, view.peers_in_flight, true };
    lt_cost_key_t k = key (route);
    lt_work_begin (work, &load, ++last_attempt, &k, now);
    lt_choice_begin_attempt (choice, upstream, now);
    return last_attempt;
  }

  void
  end (uint64_t upstream, uint64_t attempt, int64_t latency_us,
       lt_work_end_t how = LT_WORK_COMPLETE)
  {
    lt_work_end (work, upstream, attempt, how, latency_us, now);
    lt_choice_end_attempt (choice, upstream);
    lt_choice_observe (choice, upstream, LT_CHOICE_SUCCESS, now);
  }

  int64_t
  pick (uint64_t route)
  {
    lt_cost_key_t k = key (route);
    lt_choice_request_t request = { .service = 0, .cost = &k };
    int64_t index = lt_choice_pick (choice, &request, now);
    return index < 0 ? index : (int64_t)upstreams[(size_t)index].id;
  }

  // Chooses COUNT times without an attempt; returns how often each was chosen.
  std::map<int64_t, int>
  picks (int count, uint64_t route = CHEAP)
  {
    std::map<int64_t, int> chosen;
    for (int i = 0; i < count; i++)
      chosen[pick (route)]++;
    return chosen;
  }

  void
  report (uint64_t upstream, uint64_t peer, int32_t in_flight)
  {
    lt_choice_set_peer_load (choice, upstream, peer, in_flight, now);
  }

  lt_rng_t rng;
  lt_work_options_t options;
  lt_cost_options_t cost_options;
  lt_work_t *work = nullptr;
  lt_choice_t *choice = nullptr;
  std::vector<lt_choice_upstream_t> upstreams;
  uint64_t last_attempt = 0;
  int64_t now = 100 * S;
};

// Equal counts, unequal work: a cheap request is not put behind costly ones.
TEST_F (Work, CheapRequestsAvoidCostlyOnes)
{
  teach ();
  for (uint64_t id = 1; id <= 4; id++)
    for (int i = 0; i < 5; i++)
      begin (id, id == 3 ? CHEAP : COSTLY);
  EXPECT_GT (picks (200)[3], 180);
}

// A request that has run far longer than expected still counts.
TEST_F (Work, OverdueRequestsStillCount)
{
  teach ();
  for (uint64_t id = 1; id <= 4; id++)
    for (int i = 0; i < 5; i++)
      begin (id, CHEAP);
  now += 5 * S;
  lt_work_stats_t stats = lt_work_get_stats (work, now);
  EXPECT_EQ (20u, stats.attempts);
  EXPECT_GT (stats.work, 1);
}

// All VMs of the failure domain have the same reports: they must not all
// choose the one upstream that looked least loaded.  Of 11 requests that take
// 500 ms, 2.2 are replaced while a report is on its way; 1.15 of these fit at
// the first upstream until it is as full as the others.
TEST_F (Work, OldReportsDoNotAttractAll)
{
  teach ();
  for (uint64_t id = 1; id <= 4; id++)
    for (uint64_t peer = 1; peer <= (id == 1 ? 2 : 3); peer++)
      report (id, peer, 1);
  std::map<int64_t, int> chosen = picks (1000);
  EXPECT_NEAR (520, chosen[1], 150);
  for (int64_t id = 2; id <= 4; id++)
    EXPECT_NEAR (160, chosen[id], 80) << id;
}

// Reports that stop are forgotten after their maximum age, and a VM that hears
// nothing still uses all upstreams.
TEST_F (Work, MissingReportsLeaveAllInUse)
{
  teach ();
  for (uint64_t id = 2; id <= 4; id++)
    report (id, 1, 12);
  EXPECT_GT (picks (200)[1], 190);
  now += 4 * S;
  for (uint64_t id = 1; id <= 4; id++)
    lt_choice_observe_peer (choice, id, 20, 0, now);
  std::map<int64_t, int> chosen;
  for (int i = 0; i < 12; i++)
    {
      int64_t id = pick (CHEAP);
      begin ((uint64_t)id, CHEAP);
      chosen[id]++;
    }
  for (int64_t id = 1; id <= 4; id++)
    EXPECT_EQ (3, chosen[id]) << id;
}

// Where no VM reports, upstreams count as loaded as the own domain's: requests
// stay while there is room, and leave when there are queues here.
TEST_F (Work, UnreportedUpstreamsAreNotTakenForIdle)
{
  teach ();
  upstreams[3].distance = LT_DISTANCE_SAME_REGION;
  configure ();
  for (uint64_t id = 1; id <= 3; id++)
    report (id, 1, 3);
  EXPECT_LT (picks (200)[4], 10);
  for (uint64_t id = 1; id <= 3; id++)
    report (id, 1, 12);
  EXPECT_GT (picks (200)[4], 190);
}

// An upstream that takes three times as long as others for the same requests
// is avoided; one that gets the costly requests is not.
TEST_F (Work, SlowIsNotCostly)
{
  teach ();
  for (int i = 0; i < 40; i++)
    {
      now += 100 * MS;
      end (1, begin (1, CHEAP), 300 * MS);
      end (2, begin (2, COSTLY), 900 * MS);
      end (3, begin (3, CHEAP), 100 * MS);
      end (4, begin (4, CHEAP), 100 * MS);
    }
  EXPECT_GT (lt_work_slowness (work, 1, now), 1.5);
  EXPECT_DOUBLE_EQ (1, lt_work_slowness (work, 2, now));
  EXPECT_DOUBLE_EQ (1, lt_work_slowness (work, 3, now));
  std::map<int64_t, int> chosen = picks (400);
  EXPECT_LT (chosen[1], 20);
  EXPECT_GT (chosen[2], 60);
  now += 60 * S;
  EXPECT_LT (lt_work_slowness (work, 1, now), 1.1);
}

// The wait in a queue that was known at the start is neither learned as cost
// nor taken for slowness.
TEST_F (Work, QueueExplainsTheWait)
{
  teach ();
  lt_cost_key_t k = key (CHEAP);
  double before = lt_cost_mean_us (lt_work_cost (work), &k, now);
  double service = lt_cost_service_mean_us (lt_work_cost (work), &k, now);
  report (1, 1, 12);
  for (int i = 0; i < 30; i++)
    end (1, begin (1, CHEAP), (int64_t)(service * 9 / 4 + before));
  EXPECT_NEAR (before, lt_cost_mean_us (lt_work_cost (work), &k, now),
               before * 0.3);
  EXPECT_LT (lt_work_slowness (work, 1, now), 1.1);
}

// A request that is stopped far above its expected time counts with that time;
// one that is stopped early says nothing.
TEST_F (Work, StoppedRequestsCountWithTheirTime)
{
  teach ();
  uint64_t observed = lt_cost_get_stats (lt_work_cost (work)).observations;
  end (1, begin (1, CHEAP), 20 * MS, LT_WORK_STOPPED);
  EXPECT_EQ (observed, lt_cost_get_stats (lt_work_cost (work)).observations);
  for (int i = 0; i < 10; i++)
    end (1, begin (1, CHEAP), 1500 * MS, LT_WORK_STOPPED);
  EXPECT_EQ (observed + 10,
             lt_cost_get_stats (lt_work_cost (work)).observations);
  EXPECT_GT (lt_work_slowness (work, 1, now), 1.5);
  end (1, begin (1, CHEAP), 1500 * MS, LT_WORK_FAILED);
  EXPECT_EQ (observed + 10,
             lt_cost_get_stats (lt_work_cost (work)).observations);
}

// A predictor that is wrong by ten times, in either direction, does not keep a
// VM from using all upstreams evenly.
TEST_F (Work, WrongPredictionsKeepTheSpread)
{
  for (double factor : { 0.1, 10.0 })
    {
      cost_options.default_us = 300e3 * factor;
      reopen ();
      configure ();
      std::map<int64_t, int> chosen;
      std::vector<std::pair<uint64_t, uint64_t>> open;
      for (int i = 0; i < 400; i++)
        {
          now += 25 * MS;
          int64_t id = pick (CHEAP);
          ASSERT_GT (id, 0);
          chosen[id]++;
          open.emplace_back ((uint64_t)id, begin ((uint64_t)id, CHEAP));
          if (open.size () < 12)
            continue;
          end (open.front ().first, open.front ().second, 300 * MS);
          open.erase (open.begin ());
        }
      for (int64_t id = 1; id <= 4; id++)
        EXPECT_GT (chosen[id], 60) << factor << " " << id;
      lt_cost_key_t k = key (CHEAP);
      EXPECT_NEAR (300e3, lt_cost_mean_us (lt_work_cost (work), &k, now),
                   30e3);
    }
}

// The random loss that spreads requests over upstreams with room does not send
// them to one that fails, nor to another region.
TEST_F (Work, SpreadingKeepsToGoodUpstreams)
{
  teach ();
  upstreams[3].distance = LT_DISTANCE_OTHER_REGION;
  configure ();
  for (uint64_t id = 1; id <= 3; id++)
    report (id, 1, 2);
  for (int i = 0; i < 3; i++)
    lt_choice_observe (choice, 1, LT_CHOICE_FAILURE, now);
  std::map<int64_t, int> chosen = picks (1000);
  EXPECT_EQ (0, chosen[1]);
  EXPECT_EQ (0, chosen[4]);
  EXPECT_GT (chosen[2], 300);
  EXPECT_GT (chosen[3], 300);
}

// A request without a cost is chosen for as without the option.
TEST_F (Work, RequestsWithoutCostGoByCounts)
{
  lt_choice_options_t plain = LT_CHOICE_OPTIONS_DEFAULT;
  lt_rng_t other_rng;
  lt_rng_init (&other_rng, 1);
  lt_choice_t *other = lt_choice_create (&plain, &other_rng);
  lt_choice_configure (other, upstreams.data (), (uint32_t)upstreams.size (),
                       now);
  lt_rng_init (&rng, 1);
  lt_choice_request_t request = { .service = 0 };
  for (int i = 0; i < 200; i++)
    {
      now += 10 * MS;
      int64_t index = lt_choice_pick (choice, &request, now);
      ASSERT_EQ (lt_choice_pick (other, &request, now), index);
      lt_choice_begin_attempt (choice, (uint64_t)index + 1, now);
      lt_choice_begin_attempt (other, (uint64_t)index + 1, now);
    }
  lt_choice_destroy (other);
}

// Guards against a choice by work that goes past the limits of admission by
// priority or leaves the allowed regions.
TEST_F (Work, LimitsAndRegionsBind)
{
  teach ();
  lt_cost_key_t k = key (CHEAP);
  lt_choice_limits_t limits = { { 0, 0, 0 } };
  upstreams[3].region_bit = 1;
  configure ();
  lt_choice_request_t request
      = { .service = 0, .allowed_regions = 1, .limits = &limits, .cost = &k };
  // Upstream 3 has the most work left, but is the only one below its limit.
  for (uint64_t id = 1; id <= 2; id++)
    for (int i = 0; i < 4; i++)
      begin (id, CHEAP);
  for (int i = 0; i < 3; i++)
    begin (3, COSTLY);
  for (int i = 0; i < 100; i++)
    ASSERT_EQ (2, lt_choice_pick (choice, &request, now));
  begin (3, COSTLY);
  EXPECT_EQ (-LT_EFULL, lt_choice_pick (choice, &request, now));
  // A refused choice leaves no offers behind for the next one.
  request.allowed_regions = 1 << 1;
  EXPECT_EQ (3, lt_choice_pick (choice, &request, now));
  limits = { { LT_CHOICE_CLOSED, 0, 0 } };
  EXPECT_EQ (-LT_EFULL, lt_choice_pick (choice, &request, now));
  request.allowed_regions = 1 << 2;
  EXPECT_EQ (-LT_EUNAVAILABLE, lt_choice_pick (choice, &request, now));
}

// Attempts that are unknown or end twice change nothing, and no upstream is
// chosen where none may get the request.
TEST_F (Work, UnknownAttemptsAndNoUpstreams)
{
  uint64_t attempt = begin (1, CHEAP);
  lt_work_end (work, 1, attempt + 1, LT_WORK_COMPLETE, 100 * MS, now);
  lt_work_end (work, 9, attempt, LT_WORK_COMPLETE, 100 * MS, now);
  EXPECT_EQ (1u, lt_work_get_stats (work, now).attempts);
  lt_work_end (work, 1, attempt, LT_WORK_COMPLETE, 100 * MS, now);
  lt_work_end (work, 1, attempt, LT_WORK_COMPLETE, 100 * MS, now);
  EXPECT_EQ (0u, lt_work_get_stats (work, now).attempts);
  EXPECT_EQ (1u, lt_work_get_stats (work, now).completed);
  for (lt_choice_upstream_t &u : upstreams)
    u.leaving = true;
  configure ();
  EXPECT_EQ (-LT_EUNAVAILABLE, pick (CHEAP));
}

} // namespace
