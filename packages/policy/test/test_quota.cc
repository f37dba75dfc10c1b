// The shares of all homes and the reserve must not add up to more than the
// full rate (invariant I5), and a home must not refuse while the fleet has
// tokens.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/quota.h"

namespace
{

const int64_t S = LT_US_PER_S;
const int64_t MS = LT_US_PER_MS;
const uint64_t W = 5;
const lt_quota_times_t TIMES = LT_QUOTA_TIMES_DEFAULT;

class Buckets : public testing::Test
{
protected:
  Buckets ()
  {
    lt_rng_init (&rng, 1);
    buckets = lt_quota_buckets_create (&TIMES, &rng);
  }
  ~Buckets () override { lt_quota_buckets_destroy (buckets); }

  void
  configure (int64_t rate, int64_t burst, uint32_t ppm)
  {
    lt_quota_rate_t r = { W, rate * 1000, burst };
    lt_quota_buckets_set_all (buckets, ppm, now);
    lt_quota_buckets_configure (buckets, &r, 1, now);
  }

  int
  take (int count)
  {
    int taken = 0;
    for (int i = 0; i < count; i++)
      taken += lt_quota_buckets_take (buckets, W, true, now);
    return taken;
  }

  lt_rng_t rng;
  lt_quota_buckets_t *buckets;
  int64_t now = 10 * S;
};

// A VM that has just started must not admit a full burst, because the process
// before it may have spent that burst already.
TEST_F (Buckets, StartWithPartialBurstAndRefillToBurst)
{
  configure (100, 48, LT_QUOTA_WHOLE_PPM);
  EXPECT_EQ (12, take (100));
  lt_quota_buckets_set_all (buckets, 0, now);
  lt_quota_buckets_set_all (buckets, LT_QUOTA_WHOLE_PPM, now + S);
  now += 100 * MS + S;
  lt_quota_buckets_empty (buckets, now);
  configure (100, 50, LT_QUOTA_WHOLE_PPM);
  now += 100 * MS;
  EXPECT_EQ (10, take (30));
  now += 60 * S;
  EXPECT_EQ (50, take (100));
}

// After the startup period, an added share comes without tokens, because
// another home used it until now.
TEST_F (Buckets, AddedShareHasNoTokensAfterStartup)
{
  configure (100, 50, 0);
  now += TIMES.startup_us;
  lt_quota_buckets_set_all (buckets, LT_QUOTA_WHOLE_PPM, now);
  EXPECT_EQ (0, take (10));
}

TEST_F (Buckets, ShareLimitsRateAndBurst)
{
  configure (100, 50, LT_QUOTA_WHOLE_PPM / 10);
  now += 60 * S;
  EXPECT_EQ (5, take (100));
  now += S;
  EXPECT_EQ (5, take (100));
}

TEST_F (Buckets, LowerLimitAppliesAtOnce)
{
  configure (100, 50, LT_QUOTA_WHOLE_PPM);
  now += 60 * S;
  configure (10, 5, LT_QUOTA_WHOLE_PPM);
  EXPECT_EQ (5, take (100));
}

TEST_F (Buckets, UnknownWorkspacesHaveNoTokens)
{
  configure (100, 50, LT_QUOTA_WHOLE_PPM);
  now += S;
  EXPECT_FALSE (lt_quota_buckets_take (buckets, W + 1, true, now));
}

// A bucket whose capacity is below one token admits its share on average.
TEST_F (Buckets, CapacityBelowOneTokenAdmitsOnAverage)
{
  configure (10, 10, LT_QUOTA_WHOLE_PPM / 100);
  int taken = 0;
  for (int i = 0; i < 100000; i++)
    {
      now += 10 * MS;
      taken += take (1);
    }
  // 1,000 s at one hundredth of 10 requests per second.
  EXPECT_NEAR (100, taken, 35);
}

// Shares stay in force until the next report, so a home that always waited for
// a full interval would be limited to the members that it had at its start.
// This caused 1 s of refusals after all VMs had been killed and restarted.
TEST (Reports, AreSentSoonerWhenTheMemberCountHasChanged)
{
  const lt_quota_last_report_t last = { 10 * S, 1, true };
  auto due = [&last] (uint32_t members, bool lent, int64_t now) {
    return lt_quota_report_is_due (&TIMES, &last, members, lent, now);
  };
  EXPECT_TRUE (due (2, true, 10 * S + 100 * MS));
  EXPECT_FALSE (due (2, true, 10 * S + 99 * MS));
  EXPECT_FALSE (due (1, true, 10 * S + 999 * MS));
  EXPECT_TRUE (due (1, true, 11 * S));
}

TEST (Reports, AreSentSoonerWhenTheParentHasAnswered)
{
  const lt_quota_last_report_t last = { 10 * S, 1, false };
  EXPECT_TRUE (
      lt_quota_report_is_due (&TIMES, &last, 1, true, 10 * S + 100 * MS));
  EXPECT_FALSE (lt_quota_report_is_due (&TIMES, &last, 0, true, 20 * S));
}

TEST (Members, CountsOnlyUnexpiredLeases)
{
  lt_quota_members_t *members = lt_quota_members_create (&TIMES);
  int64_t now = 100 * S;
  lt_quota_members_renew (members, 1, 0, now);
  EXPECT_EQ (0u, lt_quota_members_count (members, now));
  lt_quota_members_renew (members, 1, now - MS, now);
  lt_quota_members_renew (members, 2, now - TIMES.home_lease_us - 1, now);
  lt_quota_members_renew (members, 3, now + S, now);
  EXPECT_EQ (1u, lt_quota_members_count (members, now));
  EXPECT_EQ (0u, lt_quota_members_count (members, now + TIMES.home_lease_us));
  lt_quota_members_renew (members, 1, now - MS, now);
  lt_quota_members_renew (members, 1, 0, now);
  EXPECT_EQ (0u, lt_quota_members_count (members, now))
      << "lease ended by the member";
  lt_quota_members_destroy (members);
}

// Four homes that report to one parent; each can be cut off from it.
class Parent : public testing::Test
{
protected:
  struct Home
  {
    uint32_t members = 10;
    uint64_t demand_milli = 0;
    uint32_t ppm = 0;
    int64_t heard_us = 0;
    int64_t shares_us = 0; // When the last shares arrived.
    uint64_t serial = 0;
    bool cut = false;
  };

  Parent () : parent (lt_quota_parent_create (&TIMES))
  {
    for (uint64_t id = 1; id <= 4; id++)
      homes[id] = Home ();
  }
  ~Parent () override { lt_quota_parent_destroy (parent); }

  uint32_t
  own_ppm (const Home &home)
  {
    return home.members * (LT_QUOTA_WHOLE_PPM / VMS);
  }

  // Advances time by one report interval.  Each home reports unless it is cut
  // off, and uses its own allocation when its shares have expired.  Records
  // the sum of all shares after each step.
  void
  round ()
  {
    now += S;
    for (auto &entry : homes)
      {
        Home &home = entry.second;
        if (now - home.shares_us >= TIMES.parent_lease_us)
          home.ppm = own_ppm (home);
        if (!home.cut)
          report (entry.first, home);
        record_sum ();
      }
  }

  void
  report (uint64_t id, Home &home)
  {
    lt_quota_share_t row = { W, home.demand_milli, home.ppm };
    lt_quota_report_t r
        = { id, home.members, VMS, home.heard_us, home.serial, &row, 1 };
    lt_quota_share_t share = {};
    home.serial = lt_quota_parent_report (parent, &r, VMS, &share, now);
    home.heard_us = home.shares_us = now;
    home.ppm = share.ppm;
  }

  void
  record_sum ()
  {
    uint64_t sum = lt_quota_parent_reserve_ppm (parent, VMS, now);
    for (const auto &entry : homes)
      sum += entry.second.ppm;
    max_sum = std::max (max_sum, sum);
  }

  static constexpr uint32_t VMS = 40;
  lt_quota_parent_t *parent;
  std::map<uint64_t, Home> homes;
  int64_t now = 100 * S;
  uint64_t max_sum = 0;
};

TEST_F (Parent, AssignsSharesByDemand)
{
  homes[1].demand_milli = 9000;
  homes[2].demand_milli = 1000;
  for (int i = 0; i < 6; i++)
    round ();
  EXPECT_GT (homes[1].ppm, 4 * homes[2].ppm);
  EXPECT_GT (homes[3].ppm, 0u);
  max_sum = 0;
  round ();
  EXPECT_LE (max_sum, (uint64_t)LT_QUOTA_WHOLE_PPM);
}

TEST_F (Parent, NeverAssignsMoreThanTheFullRateWhileDemandMoves)
{
  for (int i = 0; i < 6; i++)
    round ();
  max_sum = 0;
  for (int i = 0; i < 200; i++)
    {
      homes[1 + i / 7 % 4].demand_milli = (uint64_t)(i * 7919 % 50000);
      round ();
    }
  EXPECT_LE (max_sum, (uint64_t)LT_QUOTA_WHOLE_PPM);
}

// A home that is cut off keeps its shares until they expire and then uses its
// own allocation, which the other homes have stopped using by then.
TEST_F (Parent, CutOffHomeUsesItsOwnAllocation)
{
  homes[1].demand_milli = 9000;
  homes[2].demand_milli = 9000;
  for (int i = 0; i < 6; i++)
    round ();
  max_sum = 0;
  homes[1].cut = true;
  for (int i = 0; i < 10; i++)
    round ();
  EXPECT_EQ (own_ppm (homes[1]), homes[1].ppm);
  EXPECT_LE (max_sum, (uint64_t)LT_QUOTA_WHOLE_PPM);
  homes[1].cut = false;
  for (int i = 0; i < 10; i++)
    round ();
  EXPECT_GT (homes[1].ppm, 0u);
  EXPECT_LE (max_sum, (uint64_t)LT_QUOTA_WHOLE_PPM);
}

// Homes that change to a new parent keep their shares until it assigns new
// ones, and the old parent keeps no reserve from their allocations.
TEST_F (Parent, NewParentTakesOverTheShares)
{
  homes[1].demand_milli = 9000;
  homes[2].demand_milli = 1000;
  for (int i = 0; i < 6; i++)
    round ();
  uint32_t before = homes[1].ppm;
  lt_quota_parent_t *old = parent;
  parent = lt_quota_parent_create (&TIMES);
  for (auto &entry : homes)
    {
      lt_quota_report_t end_lease
          = { entry.first, 0, VMS, entry.second.heard_us, 0, nullptr, 0 };
      lt_quota_parent_report (old, &end_lease, VMS, nullptr, now);
      entry.second.heard_us = 0;
      entry.second.serial = 0;
    }
  EXPECT_EQ (0u, lt_quota_parent_reserve_ppm (old, VMS, now));
  max_sum = 0;
  round ();
  EXPECT_EQ (before, homes[1].ppm);
  for (int i = 0; i < 6; i++)
    round ();
  EXPECT_GT (homes[1].ppm, 4 * homes[2].ppm);
  EXPECT_LE (max_sum, (uint64_t)LT_QUOTA_WHOLE_PPM);
  lt_quota_parent_destroy (old);
}

// A delayed report must not renew a lease that has expired.
TEST_F (Parent, DelayedReportDoesNotRenewAnExpiredLease)
{
  for (int i = 0; i < 6; i++)
    round ();
  now += TIMES.parent_lease_us;
  lt_quota_share_t row = { W, 1000, homes[1].ppm };
  lt_quota_report_t r
      = { 1, 10, VMS, homes[1].heard_us, homes[1].serial, &row, 1 };
  lt_quota_share_t share = {};
  lt_quota_parent_report (parent, &r, VMS, &share, now);
  EXPECT_EQ (0u, lt_quota_parent_reserve_ppm (parent, VMS, now));
}

// herd_kill of all: the buckets start with part of the burst, and the requests
// that callers sent while the VMs were away arrive at once.  A workspace that
// stays within its rate must not lose them.
TEST (QuotaHerdKill, PentUpRequestsWaitForTokens)
{
  const int64_t deadline = 2500 * MS;
  const int64_t rate = 30;
  lt_rng_t rng;
  lt_rng_init (&rng, 7);
  lt_quota_buckets_t *buckets = lt_quota_buckets_create (&TIMES, &rng);
  lt_quota_rate_t configured = { W, rate * 1000, 40 };
  int64_t now = 10 * S;
  lt_quota_buckets_set_all (buckets, LT_QUOTA_WHOLE_PPM, now);
  lt_quota_buckets_configure (buckets, &configured, 1, now);
  // 60% of the rate; 1.5 s of it arrives at once.
  std::vector<int64_t> waiting (27, now);
  size_t served = 0;
  size_t refused = 0;
  const int64_t start = now;
  for (; now < start + 3 * S; now += 10 * MS)
    {
      if ((now - start) % (50 * MS) == 0)
        waiting.push_back (now);
      if ((now - start) % (100 * MS) != 0)
        continue;
      std::vector<int64_t> left;
      for (int64_t since : waiting)
        if (now - since > lt_quota_token_wait_us (since - start < 1500 * MS
                                                      ? LT_QUOTA_STARTING
                                                      : LT_QUOTA_SERVED,
                                                  deadline))
          refused++;
        else if (lt_quota_buckets_take (buckets, W, now == since, now))
          served++;
        else
          left.push_back (since);
      waiting = left;
    }
  EXPECT_EQ (0u, refused);
  EXPECT_GE (served, 80u);
  lt_quota_buckets_destroy (buckets);
}

} // namespace
