// Guards against a cold upstream that gets more requests in a second than it
// takes, summed over VMs that share nothing but the store's clock and a list
// of VMs, each with errors of its own.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/choice.h"

namespace
{

const int64_t S = LT_US_PER_S;
const int64_t STEP = 10000;
const int64_t CLOCK_ERROR = 50000;
const int64_t T0 = 5000 * S;
const uint32_t DOMAINS = 6; // Two in each region.
const uint32_t UPSTREAMS_PER_DOMAIN = 3;
const int64_t RATE_MILLI = 3700;
const int64_t WARM_UP = 3 * S;
// The bound of the hosting platform: 1.5 times the rate, and 8.
const size_t MOST_IN_A_SECOND = 13;

struct Fleet
{
  uint32_t vms;
  uint64_t seed;
};

std::vector<Fleet>
fleets ()
{
  std::vector<Fleet> list = { { 2000, 1 }, { 2000, 2 } };
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      list.push_back ({ 30, seed });
      list.push_back ({ 135, seed });
    }
  return list;
}

std::string
fleet_name (const testing::TestParamInfo<Fleet> &info)
{
  return std::to_string (info.param.vms) + "Vms"
         + std::to_string (info.param.seed);
}

lt_distance_t
distance_between (uint32_t a, uint32_t b)
{
  if (a == b)
    return LT_DISTANCE_SAME_DOMAIN;
  return a / 2 == b / 2 ? LT_DISTANCE_SAME_REGION : LT_DISTANCE_OTHER_REGION;
}

struct ChoiceDeleter
{
  void
  operator() (lt_choice_t *choice) const
  {
    lt_choice_destroy (choice);
  }
};

struct Vm
{
  uint32_t domain;
  int64_t skew_us; // Of its clock.
  std::unique_ptr<lt_choice_t, ChoiceDeleter> choice;
  std::vector<lt_choice_upstream_t> upstreams;
  int64_t learns_us; // When it learns of the change at T0.
  std::vector<std::pair<int64_t, uint64_t>> in_flight;
};

class Cold : public testing::TestWithParam<Fleet>
{
protected:
  Cold ()
  {
    lt_rng_init (&rng, GetParam ().seed);
    options = LT_CHOICE_OPTIONS_DEFAULT;
  }

  // Makes the VMs.  LIST_ERROR: share of the VMs of which each VM, on its own,
  // does not know; LONG_ERROR: share of VMs that are gone but still listed.
  void
  make_fleet (double list_error = 0, double long_error = 0)
  {
    uint32_t count = GetParam ().vms;
    vms.resize (count);
    for (uint32_t i = 0; i < count; i++)
      {
        Vm &vm = vms[i];
        vm.domain = i * DOMAINS / count;
        vm.skew_us = (int64_t)lt_rng_below (&rng, 1000 * S);
        vm.choice.reset (lt_choice_create (&options, &rng));
        vm.learns_us = T0 + (int64_t)lt_rng_below (&rng, S);
        set_places (vm, i, list_error, long_error);
        for (uint32_t u = 0; u < DOMAINS * UPSTREAMS_PER_DOMAIN; u++)
          {
            uint32_t domain = u / UPSTREAMS_PER_DOMAIN;
            vm.upstreams.push_back ({ 0x9e3779b97f4a7c15ULL * (u + 1), 0,
                                      distance_between (vm.domain, domain), 4,
                                      false, 0, domain, 0, RATE_MILLI });
          }
        configure (vm, T0);
      }
  }

  void
  set_places (Vm &vm, uint32_t self, double list_error, double long_error)
  {
    lt_pace_place_t places[DOMAINS];
    std::vector<uint32_t> before (DOMAINS, 0);
    std::vector<std::vector<uint32_t>> counts (
        DOMAINS, std::vector<uint32_t> (LT_DISTANCES, 0));
    for (uint32_t i = 0; i < vms.size (); i++)
      {
        uint32_t domain = i * DOMAINS / (uint32_t)vms.size ();
        uint32_t entries = i == self ? 1
                                     : (lt_rng_unit (&rng) >= list_error)
                                           + (lt_rng_unit (&rng) < long_error);
        for (uint32_t d = 0; d < DOMAINS; d++)
          {
            lt_distance_t distance = distance_between (domain, d);
            counts[d][distance] += entries;
            if (i < self && distance == distance_between (vm.domain, d))
              before[d] += entries;
          }
      }
    int64_t offset_us = (int64_t)lt_rng_below (&rng, CLOCK_ERROR) - vm.skew_us;
    for (uint32_t d = 0; d < DOMAINS; d++)
      places[d] = lt_pace_place_for (counts[d].data (),
                                     distance_between (vm.domain, d),
                                     before[d], offset_us);
    lt_choice_set_places (vm.choice.get (), places, DOMAINS);
  }

  void
  configure (Vm &vm, int64_t t)
  {
    lt_choice_configure (vm.choice.get (), vm.upstreams.data (),
                         (uint32_t)vm.upstreams.size (), t + vm.skew_us);
  }

  // Sets whether the upstreams of DOMAIN (all if it is DOMAINS) take work.
  void
  set_leaving (Vm &vm, uint32_t domain, bool leaving)
  {
    for (lt_choice_upstream_t &u : vm.upstreams)
      if (domain == DOMAINS || u.place == domain)
        u.leaving = leaving;
  }

  // Lets the VM know that the upstreams of DOMAIN are cold for LEFT_US from T.
  void
  tell_cold (Vm &vm, uint32_t domain, int64_t t, int64_t left_us)
  {
    for (lt_choice_upstream_t &u : vm.upstreams)
      if (u.place == domain)
        {
          u.leaving = false;
          u.warm_until_us = t + left_us + vm.skew_us;
        }
    configure (vm, t);
  }

  void
  send (Vm &vm, int64_t t, bool repeatable)
  {
    lt_choice_request_t request = { 0, nullptr, 0, repeatable, 0 };
    int64_t now_us = t + vm.skew_us;
    int64_t index = lt_choice_pick (vm.choice.get (), &request, now_us);
    if (index < 0)
      return;
    uint64_t id = vm.upstreams[(size_t)index].id;
    lt_choice_begin_attempt (vm.choice.get (), id, now_us);
    vm.in_flight.push_back ({ t + S / 5, id });
    arrivals[(size_t)index].push_back (t);
  }

  // Plays from FROM to UNTIL; each VM has PER_S requests a second and calls
  // LEARN when it learns of the change.
  template <typename Learn>
  void
  play (int64_t from, int64_t until, double per_s, Learn learn)
  {
    arrivals.resize (DOMAINS * UPSTREAMS_PER_DOMAIN);
    for (int64_t t = from; t < until; t += STEP)
      for (Vm &vm : vms)
        {
          if (t <= vm.learns_us && vm.learns_us < t + STEP)
            learn (vm, t);
          while (!vm.in_flight.empty () && vm.in_flight[0].first <= t)
            {
              lt_choice_end_attempt (vm.choice.get (), vm.in_flight[0].second);
              vm.in_flight.erase (vm.in_flight.begin ());
            }
          if (lt_rng_unit (&rng) < per_s * STEP / S)
            send (vm, t, lt_rng_unit (&rng) < 0.5);
        }
  }

  // The most arrivals in a second, within FROM to UNTIL, at an upstream of
  // DOMAIN.
  size_t
  most_in_a_second (uint32_t domain, int64_t from, int64_t until)
  {
    size_t most = 0;
    for (size_t u = 0; u < arrivals.size (); u++)
      {
        if (u / UPSTREAMS_PER_DOMAIN != domain)
          continue;
        std::vector<int64_t> times;
        for (int64_t t : arrivals[u])
          if (t >= from && t < until)
            times.push_back (t);
        size_t first = 0;
        for (size_t i = 0; i < times.size (); i++)
          {
            while (times[i] - times[first] >= S)
              first++;
            most = std::max (most, i - first + 1);
          }
      }
    return most;
  }

  size_t
  count (uint32_t domain, int64_t from, int64_t until)
  {
    size_t sum = 0;
    for (size_t u = 0; u < arrivals.size (); u++)
      for (int64_t t : arrivals[u])
        sum += u / UPSTREAMS_PER_DOMAIN == domain && t >= from && t < until;
    return sum;
  }

  void
  expect_bound (uint32_t domain, int64_t from, int64_t until)
  {
    size_t most = most_in_a_second (domain, from, until);
    EXPECT_LE (most, MOST_IN_A_SECOND);
  }

  // A failure domain returns at once; LEARN tells a VM.  Before, the service
  // has nothing but it, or the other failure domains.
  void
  play_return (bool alone, double per_s)
  {
    for (Vm &vm : vms)
      {
        set_leaving (vm, alone ? DOMAINS : 0, true);
        configure (vm, T0);
      }
    play (T0 - S, T0 + 4 * S, per_s,
          [&] (Vm &vm, int64_t t) { tell_cold (vm, 0, t, WARM_UP); });
    expect_bound (0, T0, T0 + WARM_UP);
  }

  lt_rng_t rng;
  lt_choice_options_t options;
  std::vector<Vm> vms;
  std::vector<std::vector<int64_t>> arrivals;
};

// All VMs want to send to the upstreams of a failure domain that returns.
TEST_P (Cold, WholeFailureDomainReturns)
{
  make_fleet ();
  play_return (true, 20);
  // The rate is used: most of it, from when all know.
  size_t taken = count (0, T0 + S, T0 + WARM_UP);
  EXPECT_GE ((double)taken,
             0.5 * UPSTREAMS_PER_DOMAIN * 2 * RATE_MILLI / 1000);
}

// The same while the other failure domains take requests as well.
TEST_P (Cold, WholeFailureDomainReturnsBesideOthers)
{
  make_fleet ();
  play_return (false, 5);
  EXPECT_GT (count (1, T0, T0 + WARM_UP), 0u);
}

// The VMs' lists of VMs lack a tenth of the VMs, each another tenth.
TEST_P (Cold, ShortLists)
{
  make_fleet (0.1, 0);
  play_return (true, 20);
}

// The lists have a tenth too many.
TEST_P (Cold, LongLists)
{
  make_fleet (0, 0.1);
  play_return (true, 20);
}

// Both, by a fifth.
TEST_P (Cold, WrongLists)
{
  make_fleet (0.2, 0.2);
  play_return (true, 20);
}

// Warm upstreams under load become cold without a new start; the VMs learn of
// it one after the other.  The bound holds from when all know.
TEST_P (Cold, ColdWithoutANewStart)
{
  make_fleet ();
  for (Vm &vm : vms)
    {
      set_leaving (vm, DOMAINS, true);
      set_leaving (vm, 0, false);
      configure (vm, T0);
    }
  play (T0 - S, T0 + 5 * S, 20, [&] (Vm &vm, int64_t t) {
    tell_cold (vm, 0, t, T0 + WARM_UP + S - t);
  });
  EXPECT_GT (most_in_a_second (0, T0 - S, T0), MOST_IN_A_SECOND);
  expect_bound (0, T0 + S, T0 + WARM_UP);
}

// A VM that does not know its place sends nothing to cold upstreams, and says
// when they are warm.
TEST_P (Cold, VmThatKnowsNothing)
{
  make_fleet ();
  Vm &vm = vms[0];
  lt_choice_set_places (vm.choice.get (), nullptr, 0);
  set_leaving (vm, DOMAINS, true);
  tell_cold (vm, 0, T0, WARM_UP);
  arrivals.resize (DOMAINS * UPSTREAMS_PER_DOMAIN);
  for (int64_t t = T0; t < T0 + WARM_UP; t += STEP)
    {
      send (vm, t, true);
      EXPECT_EQ (T0 + WARM_UP + vm.skew_us,
                 lt_choice_next_us (vm.choice.get (), 0, 0, t + vm.skew_us));
    }
  EXPECT_EQ (0u, count (0, T0, T0 + WARM_UP));
  send (vm, T0 + WARM_UP, true);
  EXPECT_EQ (1u, count (0, T0, T0 + 2 * WARM_UP));
  play_return (true, 20);
}

INSTANTIATE_TEST_SUITE_P (Fleets, Cold, testing::ValuesIn (fleets ()),
                          fleet_name);

class ColdUpstream : public testing::Test
{
protected:
  ColdUpstream ()
  {
    lt_rng_init (&rng, 1);
    lt_choice_options_t options = LT_CHOICE_OPTIONS_DEFAULT;
    choice.reset (lt_choice_create (&options, &rng));
    const uint32_t counts[LT_DISTANCES] = { 1, 0, 0 };
    lt_pace_place_t place
        = lt_pace_place_for (counts, LT_DISTANCE_SAME_DOMAIN, 0, 0);
    lt_choice_set_places (choice.get (), &place, 1);
  }

  void
  configure (std::vector<lt_choice_upstream_t> list)
  {
    lt_choice_configure (choice.get (), list.data (), (uint32_t)list.size (),
                         now);
  }

  int64_t
  pick (bool repeatable)
  {
    lt_choice_request_t request = { 0, nullptr, 0, repeatable, 0 };
    return lt_choice_pick (choice.get (), &request, now);
  }

  // Picks and begins attempts at id 1 every 10 ms for a second.
  int
  sent_in_a_second ()
  {
    int sent = 0;
    for (int64_t end = now + S; now < end; now += STEP)
      if (pick (true) == 0)
        {
          lt_choice_begin_attempt (choice.get (), 1, now);
          lt_choice_end_attempt (choice.get (), 1);
          sent++;
        }
    return sent;
  }

  lt_rng_t rng;
  std::unique_ptr<lt_choice_t, ChoiceDeleter> choice;
  int64_t now = 100 * S;
};

// Without a warm-up rate a cold upstream takes any number of requests.
TEST_F (ColdUpstream, NoRateMeansNoLimit)
{
  configure (
      { { 1, 0, LT_DISTANCE_SAME_DOMAIN, 4, false, now + 9 * S, 0, 0, 0 } });
  EXPECT_EQ (100, sent_in_a_second ());
  EXPECT_FALSE (lt_choice_set_cold (choice.get (), 1, now + S, now));
}

// The lower of the warm-up rate and a rate that the upstream names is kept.
TEST_F (ColdUpstream, LowerOfBothRates)
{
  configure ({ { 1, 0, LT_DISTANCE_SAME_DOMAIN, 4, false, now + 60 * S, 0, 0,
                 4000 } });
  sent_in_a_second ();
  EXPECT_NEAR (4, sent_in_a_second (), 1);
  lt_choice_set_rate (choice.get (), 1, 2000, now);
  EXPECT_NEAR (2, sent_in_a_second (), 1);
  lt_choice_set_rate (choice.get (), 1, 9000, now);
  sent_in_a_second ();
  EXPECT_NEAR (4, sent_in_a_second (), 1);
}

// What the upstream says itself counts at once, and an older entry of it does
// not end it.
TEST_F (ColdUpstream, SaysThatItIsCold)
{
  std::vector<lt_choice_upstream_t> list
      = { { 1, 0, LT_DISTANCE_SAME_DOMAIN, 4, false, 0, 0, 0, RATE_MILLI } };
  configure (list);
  EXPECT_EQ (100, sent_in_a_second ());
  EXPECT_TRUE (lt_choice_set_cold (choice.get (), 1, now + 3 * S, now));
  EXPECT_FALSE (lt_choice_set_cold (choice.get (), 1, now + 3 * S, now));
  configure (list);
  lt_choice_estimate_t view = {};
  lt_choice_look_up (choice.get (), 1, now, &view);
  EXPECT_TRUE (view.cold);
  sent_in_a_second ();
  EXPECT_NEAR (3.7, sent_in_a_second (), 1);
  now += S;
  lt_choice_look_up (choice.get (), 1, now, &view);
  EXPECT_FALSE (view.cold);
  EXPECT_EQ (100, sent_in_a_second ());
}

// A request that must not be repeated goes to a warm upstream in the next
// failure domain; one that may be repeated does not make the way.
TEST_F (ColdUpstream, RepeatableRequestsFirst)
{
  configure (
      { { 1, 0, LT_DISTANCE_SAME_DOMAIN, 4, false, now + 9 * S, 0, 0,
          RATE_MILLI },
        { 2, 0, LT_DISTANCE_SAME_REGION, 4, false, 0, 0, 0, RATE_MILLI } });
  for (int i = 0; i < 4; i++)
    lt_choice_begin_attempt (choice.get (), 2, now);
  EXPECT_EQ (0, pick (true));
  EXPECT_EQ (1, pick (false));
  // Far away, the cold one is the lesser loss.
  configure (
      { { 1, 0, LT_DISTANCE_SAME_DOMAIN, 4, false, now + 9 * S, 0, 0,
          RATE_MILLI },
        { 2, 0, LT_DISTANCE_OTHER_REGION, 4, false, 0, 0, 0, RATE_MILLI } });
  EXPECT_EQ (0, pick (false));
}

} // namespace
