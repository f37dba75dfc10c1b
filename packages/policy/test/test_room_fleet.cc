// Guards against urgent requests that find no room under load, and against
// capacity that admission by priority leaves unused: 20 VMs of a failure
// domain share 45 upstreams and know each other's load with 0.1 s delay.
#include <gtest/gtest.h>

#include "room_world.h"

using namespace room_world;

namespace
{

// Capacity of a failure domain: 45 x 4 slots / 0.32 s = 565 requests/s.
std::vector<Kind>
kinds (double load)
{
  return { { 0, 110 * load, 250 * MS, 900 * MS, 4000 * MS, false },
           { 1, 170 * load, 300 * MS, 1200 * MS, 5000 * MS },
           { 2, 285 * load, 350 * MS, 2000 * MS, 8000 * MS } };
}

void
print (const char *name, const std::vector<Tally> &tallies)
{
  for (size_t k = 0; k < tallies.size (); k++)
    printf ("%-24s kind=%zu offered=%d served=%.3f on_time=%.3f value=%.3f "
            "refused=%d rejected=%d\n",
            name, k, tallies[k].offered, tallies[k].share (),
            tallies[k].on_time_share (), tallies[k].value_share (),
            tallies[k].refused, tallies[k].rejected);
}

std::vector<Tally>
burst (bool on, uint64_t seed)
{
  Options options;
  options.on = on;
  options.seed = seed;
  World world (options, kinds (0.75));
  int64_t begin = world.now + 5 * S;
  world.demand = [=] (int64_t now, size_t k, int) {
    return k == 2 && now >= begin ? 2.3 : 1.0;
  };
  world.run_until (begin);
  auto result = world.run_and_finish (begin + 20 * S);
  print (on ? "burst on" : "burst off", result);
  return result;
}

// Bounds: a kind is served no more than 5% less often than a less urgent one,
// and the fleet serves no more than 5% fewer requests before their deadline
// than one that sends everything at once.
TEST (RoomFleet, BurstOfTheLeastUrgentKind)
{
  for (uint64_t seed : { 1, 2 })
    {
      auto off = burst (false, seed);
      auto on = burst (true, seed);
      EXPECT_GE (on[0].value_share (), 0.95) << seed;
      EXPECT_GE (on[1].value_share (), 0.95) << seed;
      EXPECT_EQ (0, on[0].refused + on[1].refused) << seed;
      int served_off = 0;
      int served_on = 0;
      for (size_t k = 0; k < on.size (); k++)
        {
          served_off += off[k].finished;
          served_on += on[k].finished;
        }
      EXPECT_GE (served_on, 0.95 * served_off) << seed;
    }
}

// All failure domains are full, so that requests sent to another one, whose
// load is known worse, take its slots from its own urgent requests.
TEST (RoomFleet, BurstInAllFailureDomains)
{
  for (bool on : { false, true })
    {
      Options options;
      options.on = on;
      options.domains = 4;
      World world (options, kinds (0.75));
      int64_t begin = world.now + 2 * S;
      world.demand = [=] (int64_t now, size_t k, int) {
        return k == 2 && now >= begin ? 2.3 : 1.0;
      };
      world.run_until (begin + 3 * S);
      auto result = world.run_and_finish (begin + 8 * S);
      print (on ? "all domains on" : "all domains off", result);
      if (!on)
        continue;
      EXPECT_GE (result[0].value_share (), 0.95);
      EXPECT_GE (result[1].value_share (), 0.95);
    }
}

// Three priorities of workspaces and three of routes give nine levels; the
// load is 1.4 times what the slots take.
TEST (RoomFleet, NineLevelsAboveTheCapacity)
{
  std::vector<Kind> nine;
  for (uint32_t level = 0; level < 9; level++)
    nine.push_back (
        { level, 85, 300 * MS, 1200 * MS, 5000 * MS, level % 2 == 1 });
  World world (Options (), nine);
  world.run_until (world.now + 3 * S);
  auto result = world.run_and_finish (world.now + 15 * S);
  print ("nine levels", result);
  for (size_t k = 1; k < nine.size (); k++)
    {
      EXPECT_GE (result[k - 1].share (), result[k].share () - 0.05) << k;
      EXPECT_GE (result[k - 1].value_share (), 0.85 * result[k].value_share ())
          << k;
    }
  EXPECT_GE (result[0].value_share (), 0.95);
  EXPECT_GT (result[8].share (), 0);
}

// Half of the upstreams are gone from the middle of the burst on.
TEST (RoomFleet, HalfOfTheUpstreamsGoneDuringABurst)
{
  for (bool on : { false, true })
    {
      Options options;
      options.on = on;
      World world (options, kinds (0.6));
      int64_t begin = world.now + 5 * S;
      world.demand = [=] (int64_t now, size_t k, int) {
        return k == 2 && now >= begin ? 2.3 : 1.0;
      };
      world.run_until (begin + 5 * S);
      for (size_t u = 0; u < world.upstreams.size (); u += 2)
        world.upstreams[u].gone = true;
      auto result = world.run_and_finish (begin + 20 * S);
      print (on ? "half gone on" : "half gone off", result);
      if (!on)
        continue;
      EXPECT_GE (result[0].share (), 0.95);
      EXPECT_GE (result[0].share (), result[1].share () - 0.05);
      EXPECT_GE (result[1].share (), result[2].share () - 0.05);
      EXPECT_GT (result[2].share (), 0);
    }
}

// Demand moves between two failure domains by plus and minus 55%; together
// they have enough slots.
TEST (RoomFleet, WaveThatTravelsBetweenFailureDomains)
{
  for (bool on : { false, true })
    {
      Options options;
      options.on = on;
      options.domains = 2;
      World world (options, kinds (0.75));
      world.demand = [] (int64_t now, size_t, int d) {
        double phase = 2 * M_PI * (double)(now % (10 * S)) / (10 * S);
        return 1 + 0.55 * sin (phase) * (d == 0 ? 1 : -1);
      };
      world.run_until (world.now + 5 * S);
      auto result = world.run_and_finish (world.now + 20 * S);
      print (on ? "wave on" : "wave off", result);
      if (!on)
        continue;
      EXPECT_GE (result[0].share (), 0.95);
      EXPECT_GE (result[1].share (), 0.95);
      EXPECT_GE (result[2].share (), 0.95);
    }
}

// One workspace sends nine tenths of a kind's requests, more than its part.
TEST (RoomFleet, HotWorkspace)
{
  Options options;
  auto busy = kinds (0.75);
  busy[2].rate_per_s *= 2.3;
  World world (options, busy);
  lt_rng_t rng;
  lt_rng_init (&rng, 5);
  world.workspace = [&] (size_t k) -> uint64_t {
    return lt_rng_unit (&rng) < 0.9 ? 100 * k + 1
                                    : 100 * k + 2 + lt_rng_below (&rng, 7);
  };
  world.run_and_finish (world.now + 20 * S);
  Tally others;
  for (uint64_t w = 202; w < 210; w++)
    {
      others.offered += world.by_workspace[w].offered;
      others.served += world.by_workspace[w].served;
    }
  printf ("hot %.3f of %d, others %.3f of %d\n",
          world.by_workspace[201].share (), world.by_workspace[201].offered,
          others.share (), others.offered);
  EXPECT_GE (others.share (), 0.95);
  EXPECT_LT (world.by_workspace[201].share (), others.share ());
  EXPECT_GT (world.by_workspace[201].share (), 0.3);
}

TEST (RoomFleet, CallersThatRetryAtOnce)
{
  Options options;
  auto busy = kinds (0.75);
  busy[2].rate_per_s *= 2.3;
  busy[2].retries_at_once = true;
  World world (options, busy);
  world.retry_pause_us = 20 * MS;
  world.run_until (world.now + 3 * S);
  auto result = world.run_and_finish (world.now + 10 * S);
  print ("retry at once", result);
  EXPECT_GE (result[0].share (), 0.95);
  EXPECT_GE (result[1].share (), 0.95);
  EXPECT_GE (result[2].share (), 0.5);
}

// Nine of ten upstreams reject half of what arrives, and their health checks
// pass.  At least 0.7 of the upstreams stay in use.
TEST (RoomFleet, RejectionWithGoodHealth)
{
  double served[2] = { 0, 0 };
  for (bool on : { false, true })
    {
      Options options;
      options.on = on;
      World world (options, kinds (0.6));
      world.run_until (world.now + 3 * S);
      for (size_t u = 0; u < world.upstreams.size (); u++)
        world.upstreams[u].rejected_share = u % 10 == 0 ? 0 : 0.5;
      world.run_until (world.now + 5 * S);
      size_t used = 0;
      for (const auto &u : world.upstreams)
        used += world.now - u.used_us < 2 * S;
      EXPECT_GE (used, 0.7 * (double)world.upstreams.size ());
      auto result = world.run_and_finish (world.now + 10 * S);
      print (on ? "rejection on" : "rejection off", result);
      for (const Tally &t : result)
        served[on] += t.served;
      if (on)
        {
          EXPECT_GE (result[0].share (), result[2].share () - 0.05);
          EXPECT_GE (result[0].value_share (),
                     0.85 * result[2].value_share ());
        }
    }
  EXPECT_GE (served[1], 0.95 * served[0]);
}

// All VMs start at the same time, without knowledge, and callers come back.
TEST (RoomFleet, FirstTwoSecondsAfterAllVmsWereOff)
{
  Options options;
  auto busy = kinds (0.75);
  busy[2].rate_per_s *= 2.3;
  World world (options, busy);
  auto result = world.run_and_finish (world.now + 2 * S);
  print ("first two seconds", result);
  EXPECT_GE (result[0].share (), 0.95);
  EXPECT_GE (result[0].value_share (), 0.95);
  EXPECT_GE (result[1].share (), 0.95);
  // No upstream gets more than its slots and its queue take.
  EXPECT_EQ (0, result[0].rejected + result[1].rejected + result[2].rejected);
}

// A VM that neither receives nor sends messages keeps to its part, and its
// urgent requests are served.
TEST (RoomFleet, VmThatIsCutOff)
{
  Options options;
  auto busy = kinds (0.75);
  World world (options, busy);
  int64_t begin = world.now + 5 * S;
  world.demand = [=] (int64_t now, size_t k, int) {
    return k == 2 && now >= begin ? 2.3 : 1.0;
  };
  world.run_until (begin);
  world.vms[0]->cut_off = true;
  // Until then it counts the reports of the others as current.
  world.run_until (begin + options.room.peer_max_age_us + 1 * S);
  world.most_in_flight.clear ();
  auto result = world.run_and_finish (begin + 15 * S);
  print ("cut off", result);
  EXPECT_GE (result[0].share (), 0.95);
  EXPECT_GE (result[1].share (), 0.95);
  int in_flight = world.most_in_flight[0];
  printf ("cut off: in flight %d\n", in_flight);
  // Its part of the slots is 9, of which level 0 may use 1.8 times, and the
  // request that reaches the bound.
  EXPECT_LE (in_flight, 18);
}

} // namespace
