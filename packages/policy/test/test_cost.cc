// Guards against predictions that stay wrong when costs change, that mix kinds
// of requests whose costs differ, or that grow without bound in memory.
#include <gtest/gtest.h>

#include <cmath>

#include "../bench/sim.h"
#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/cost.h"

namespace
{

const double MS = 1000;

class Cost : public testing::Test
{
protected:
  Cost ()
  {
    lt_rng_init (&rng, 1);
    options = LT_COST_OPTIONS_DEFAULT;
    cost = lt_cost_create (&options);
  }
  ~Cost () override { lt_cost_destroy (cost); }

  void
  reopen ()
  {
    lt_cost_destroy (cost);
    cost = lt_cost_create (&options);
  }

  static lt_cost_key_t
  key (uint64_t route, uint64_t workspace = 0, uint64_t body_bytes = 0)
  {
    lt_cost_features_t features = { 1, route, workspace, 2, body_bytes };
    return lt_cost_key_make (&features);
  }

  double
  draw (double mean_us)
  {
    const double spread = 0.5;
    return mean_us * exp (spread * sim_normal (&rng) - spread * spread / 2);
  }

  void
  learn (const lt_cost_key_t &k, double mean_us, int count)
  {
    for (int i = 0; i < count; i++)
      {
        now += 20 * LT_US_PER_MS;
        lt_cost_learn (cost, &k, draw (mean_us), 1, now);
      }
  }

  double
  mean (const lt_cost_key_t &k)
  {
    return lt_cost_mean_us (cost, &k, now);
  }

  lt_rng_t rng;
  lt_cost_options_t options;
  lt_cost_t *cost;
  int64_t now = LT_US_PER_S;
};

// A kind whose cost doubles, as after a release of its service: the prediction
// follows within a few seconds of its traffic.
TEST_F (Cost, FollowsAKindWhoseCostDoubles)
{
  lt_cost_key_t k = key (7);
  learn (k, 200 * MS, 400);
  EXPECT_NEAR (200 * MS, mean (k), 40 * MS);
  learn (k, 400 * MS, 150);
  EXPECT_NEAR (400 * MS, mean (k), 80 * MS);
  EXPECT_NEAR (400 * MS * exp (-0.125),
               lt_cost_quantile_us (cost, &k, 0.5, now), 100 * MS);
}

// Requests of a new route are expected to cost what those of the service do,
// and what they themselves do after a few.
TEST_F (Cost, NewRouteStartsWithItsService)
{
  EXPECT_DOUBLE_EQ (options.default_us, mean (key (7)));
  learn (key (7), 100 * MS, 200);
  EXPECT_NEAR (100 * MS, mean (key (8)), 25 * MS);
  learn (key (8), 900 * MS, 20);
  EXPECT_GT (mean (key (8)), 600 * MS);
  EXPECT_LT (mean (key (7)), 200 * MS);
}

// A workspace that sends only costly requests changes neither the prediction
// for the other workspaces of the route, nor the other way around.
TEST_F (Cost, TellsACostlyWorkspaceApart)
{
  for (int i = 0; i < 200; i++)
    {
      learn (key (7, 10 + i % 5), 100 * MS, 1);
      learn (key (7, 99), 1000 * MS, 1);
    }
  EXPECT_GT (mean (key (7, 99)), 800 * MS);
  for (uint64_t workspace = 10; workspace < 15; workspace++)
    EXPECT_LT (mean (key (7, workspace)), 200 * MS);
}

// Bodies of different size classes have costs of their own.
TEST_F (Cost, TellsSizesApart)
{
  for (int i = 0; i < 100; i++)
    {
      learn (key (7, 1, 100), 100 * MS, 1);
      learn (key (7, 1, 100000), 800 * MS, 1);
    }
  EXPECT_LT (mean (key (7, 1, 200)), 200 * MS);
  EXPECT_GT (mean (key (7, 1, 200000)), 600 * MS);
}

// A prediction that is off by ten times in either direction, as a wrong
// default is, is corrected by the first few requests.
TEST_F (Cost, RecoversFromAnErrorOfTenTimes)
{
  for (double factor : { 0.1, 10.0 })
    {
      options.default_us = 300 * MS * factor;
      reopen ();
      learn (key (7), 300 * MS, 30);
      EXPECT_NEAR (300 * MS, mean (key (7)), 120 * MS) << factor;
    }
}

// However long a request has run, some work is left, with and without
// evidence.
TEST_F (Cost, RemainingIsNeverZero)
{
  for (int count : { 0, 1, 300 })
    {
      learn (key (7), 200 * MS, count);
      lt_cost_key_t k = key (7);
      for (double elapsed = 0; elapsed < 1e9; elapsed = elapsed * 1.5 + 1000)
        EXPECT_GT (lt_cost_remaining_us (cost, &k, elapsed, now), 5 * MS)
            << count << " " << elapsed;
    }
}

// A few requests take six times as long: one that has run three times the mean
// is likely one of them, and has much left.
TEST_F (Cost, RemainingFollowsTheTail)
{
  lt_cost_key_t k = key (7);
  for (int i = 0; i < 3000; i++)
    learn (k, i % 25 == 0 ? 1200 * MS : 200 * MS, 1);
  double at_start = lt_cost_remaining_us (cost, &k, 0, now);
  double at_mean = lt_cost_remaining_us (cost, &k, 200 * MS, now);
  double late = lt_cost_remaining_us (cost, &k, 700 * MS, now);
  EXPECT_NEAR (240 * MS, at_start, 80 * MS);
  EXPECT_GT (at_mean, 60 * MS);
  EXPECT_GT (late, 1.2 * at_start);
}

// Keys of 45,000 workspaces do not take more memory than configured, nor
// displace the key of a busy route.
TEST_F (Cost, MemoryIsBounded)
{
  options.keys_max = 4096;
  reopen ();
  size_t bytes = lt_cost_get_stats (cost).bytes;
  EXPECT_LT (bytes, (size_t)4096 * 64);
  for (uint64_t workspace = 1; workspace <= 45000; workspace++)
    learn (key (7, workspace), 150 * MS, 1);
  lt_cost_stats_t stats = lt_cost_get_stats (cost);
  EXPECT_LE (stats.keys, 4096u);
  EXPECT_EQ (bytes, stats.bytes);
  EXPECT_GT (stats.evictions, 0u);
  lt_cost_view_t view;
  EXPECT_EQ (0, lt_cost_look_up (cost, key (7).route, now, &view));
  EXPECT_NEAR (150 * MS, mean (key (7, 50000)), 40 * MS);
}

// Evidence that is old gives way to that of the level above.
TEST_F (Cost, OldEvidenceDecays)
{
  learn (key (7), 1000 * MS, 50);
  learn (key (8), 100 * MS, 1000);
  double fresh = mean (key (7));
  now += 20 * options.decay_us;
  learn (key (8), 100 * MS, 50);
  EXPECT_GT (fresh, 700 * MS);
  EXPECT_LT (mean (key (7)), 300 * MS);
}

// Damaged observations are ignored.
TEST_F (Cost, IgnoresImpossibleObservations)
{
  lt_cost_key_t k = key (7);
  for (double value : { 0.0, -5.0, (double)NAN })
    lt_cost_learn (cost, &k, value, 1, now);
  lt_cost_learn (cost, &k, 100 * MS, 0, now);
  EXPECT_EQ (0u, lt_cost_get_stats (cost).observations);
  EXPECT_DOUBLE_EQ (options.default_us, mean (k));
}

} // namespace
