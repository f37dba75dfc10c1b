// Guards against an upstream that gets more requests than the rate that it has
// named, summed over VMs that do not talk to each other, and against slots
// that stay unused.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/pace.h"

namespace
{

const int64_t S = LT_US_PER_S;
const int64_t STEP = 10000;
const int64_t CLOCK_ERROR = 50000;

struct Vm
{
  lt_pace_place_t place;
  lt_pace_t pace;
  int64_t skew_us; // Of its clock.
};

// Three regions with two failure domains each; the upstream is in the first
// domain.
std::vector<Vm>
make_fleet (uint32_t count, int64_t rate_milli, lt_rng_t *rng)
{
  std::vector<Vm> vms (count);
  uint64_t upstream = lt_rng_next (rng);
  uint32_t counts[LT_DISTANCES] = {};
  std::vector<std::pair<lt_distance_t, uint32_t>> ranks;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t domain = i * 6 / count;
      lt_distance_t distance = domain == 0   ? LT_DISTANCE_SAME_DOMAIN
                               : domain == 1 ? LT_DISTANCE_SAME_REGION
                                             : LT_DISTANCE_OTHER_REGION;
      ranks.push_back ({ distance, counts[distance]++ });
    }
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t skew_us = (int64_t)lt_rng_below (rng, 1000 * S);
      int64_t error_us = (int64_t)lt_rng_below (rng, CLOCK_ERROR);
      vms[i] = { lt_pace_place_for (counts, ranks[i].first, ranks[i].second,
                                    error_us - skew_us),
                 { upstream, rate_milli, 0 },
                 skew_us };
    }
  return vms;
}

// Lets each VM that WANTS to send, and may, do so, and returns the times.
template <typename Wants>
std::vector<int64_t>
play (std::vector<Vm> &vms, int64_t begin_us, int64_t end_us, Wants wants)
{
  std::vector<int64_t> sent;
  for (int64_t t = begin_us; t < end_us; t += STEP)
    for (Vm &vm : vms)
      {
        int64_t now_us = t + vm.skew_us;
        if (!wants (t)
            || lt_pace_next_us (&vm.pace, &vm.place, now_us) > now_us)
          continue;
        lt_pace_take (&vm.pace, &vm.place, now_us);
        sent.push_back (t);
      }
  return sent;
}

size_t
most_in (const std::vector<int64_t> &sent, int64_t window_us)
{
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < sent.size (); i++)
    {
      while (sent[i] - sent[first] > window_us)
        first++;
      most = std::max (most, i - first + 1);
    }
  return most;
}

const uint32_t kFleets[] = { 1, 2, 9, 44, 443, 2000 };
const int64_t kRatesMilli[] = { 300, 1000, 2500, 6400, 100000 };

} // namespace

// All VMs have more requests than they may send: the upstream gets its rate,
// and in no window of 4 s more than one and a half times that and 5.
TEST (Pace, SumOverAllVmsIsTheRate)
{
  lt_rng_t rng;
  lt_rng_init (&rng, 11);
  for (uint32_t count : kFleets)
    for (int64_t rate : kRatesMilli)
      {
        if (count * rate > 10000000)
          continue;
        std::vector<Vm> vms = make_fleet (count, rate, &rng);
        int64_t length_us = 40 * S;
        std::vector<int64_t> sent = play (vms, 5000 * S, 5000 * S + length_us,
                                          [] (int64_t) { return true; });
        double due = (double)rate / 1000 * (double)length_us / S;
        EXPECT_LE ((double)most_in (sent, 4 * S),
                   1.5 * 4 * (double)rate / 1000 + 5)
            << count << " VMs, " << rate;
        EXPECT_GE ((double)sent.size (), 0.9 * due - 1)
            << count << " " << rate;
        EXPECT_LE ((double)sent.size (),
                   due + (double)rate / 1000 * LT_PACE_SLOT_VALID_US / S + 2)
            << count << " " << rate;
      }
}

// Unused slots expire: after a quiet time the VMs do not use them all at once.
TEST (Pace, BurstsOfAllVmsKeepTheBound)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    for (int64_t rate : kRatesMilli)
      {
        lt_rng_t rng;
        lt_rng_init (&rng, seed);
        std::vector<Vm> vms = make_fleet (44, rate, &rng);
        std::vector<int64_t> sent
            = play (vms, 9000 * S, 9060 * S,
                    [] (int64_t t) { return t / (7 * S) % 2 == 0; });
        EXPECT_LE ((double)most_in (sent, 4 * S),
                   1.5 * 4 * (double)rate / 1000 + 5)
            << "seed " << seed << ", " << rate;
      }
}

// Of the slots, six of ten are for the VMs of the upstream's failure domain,
// and they go round these.  Groups without VMs leave theirs to the others.
TEST (Pace, MostSlotsAreForTheVmsNearby)
{
  lt_rng_t rng;
  lt_rng_init (&rng, 3);
  std::vector<Vm> vms = make_fleet (44, 1000, &rng);
  vms.resize (8); // Of the first domain.
  for (Vm &vm : vms)
    {
      std::vector<Vm> one = { vm };
      std::vector<int64_t> sent
          = play (one, 5000 * S, 5400 * S, [] (int64_t) { return true; });
      EXPECT_NEAR (0.6 * 400 / 8, (double)sent.size (), 1.1);
    }
  const uint32_t none_near[LT_DISTANCES] = { 0, 0, 5 };
  EXPECT_EQ (
      0x3ffU,
      lt_pace_place_for (none_near, LT_DISTANCE_OTHER_REGION, 2, 0).turns);
  const uint32_t no_region[LT_DISTANCES] = { 3, 0, 5 };
  EXPECT_EQ (
      __builtin_popcount (
          lt_pace_place_for (no_region, LT_DISTANCE_OTHER_REGION, 2, 0).turns),
      4);
}

TEST (Pace, UnknownFleetMeansNoSlot)
{
  lt_pace_place_t place = {};
  lt_pace_t pace = { 7, 1000, 0 };
  EXPECT_EQ (INT64_MAX, lt_pace_next_us (&pace, &place, 100 * S));
  pace.rate_milli_per_s = 0;
  EXPECT_EQ (100 * S, lt_pace_next_us (&pace, &place, 100 * S));
}

// The sample with the shortest way counts, until drift may be larger.
TEST (Pace, RemoteClockFollowsTheFastestSample)
{
  lt_remote_clock_t clock = {};
  lt_remote_clock_sample (&clock, 500 * S, 10 * S);
  EXPECT_EQ (490 * S, clock.offset_us);
  lt_remote_clock_sample (&clock, 510 * S - 30000, 20 * S);
  EXPECT_EQ (490 * S, clock.offset_us);
  lt_remote_clock_sample (&clock, 520 * S + 5000, 30 * S);
  EXPECT_EQ (490 * S + 5000, clock.offset_us);
  lt_remote_clock_sample (&clock, 4120 * S - 100000, 3630 * S);
  EXPECT_EQ (490 * S - 100000, clock.offset_us);
}
