// Tests the membership of a simulated fleet with encoded heartbeats: all views
// converge after every fault, and running VMs are not declared dead.
#include <gtest/gtest.h>

#include "../bench/member_fleet.h"

static const int64_t s = 1000000;

// Runs until all views agree.  Returns the time in seconds, or -1 after
// LIMIT_S.
static double
settle (member_fleet_t *fleet, int limit_s)
{
  int64_t start_us = fleet->now_us;
  while (!member_agree (fleet))
    {
      if (fleet->now_us - start_us > limit_s * s)
        return -1;
      member_run (fleet, fleet->now_us + s / 10);
    }
  return (double)(fleet->now_us - start_us) / 1e6;
}

// Applies one fault at a time for 20 s, and checks that all views agree within
// 60 s after it has ended.
TEST (MemberFleet, ViewsConvergeAfterFaults)
{
  struct
  {
    const char *name;
    void (*begin) (member_fleet_t *);
    void (*end) (member_fleet_t *);
  } cases[] = {
    { "killed and restarted", [] (member_fleet_t *f) { member_kill (f, 3); },
      [] (member_fleet_t *f) { member_start (f, 3, 5); } },
    { "sent frames are lost",
      [] (member_fleet_t *f) { f->vms[3].cut_out = true; },
      [] (member_fleet_t *f) { f->vms[3].cut_out = false; } },
    { "received frames are lost",
      [] (member_fleet_t *f) { f->vms[3].cut_in = true; },
      [] (member_fleet_t *f) { f->vms[3].cut_in = false; } },
    { "region split", [] (member_fleet_t *f) { f->split = 9; },
      [] (member_fleet_t *f) { f->split = 0; } },
    { "paused",
      [] (member_fleet_t *f) {
        f->vms[3].paused_until_us = f->now_us + 20 * s;
      },
      [] (member_fleet_t *) {} },
  };
  for (const auto &c : cases)
    for (uint64_t seed = 1; seed <= 3; seed++)
      {
        member_fleet_t *fleet = member_fleet_create (24, 6, seed);
        ASSERT_LE (0, settle (fleet, 60)) << c.name << " seed " << seed;
        member_run (fleet, fleet->now_us + 10 * s);
        c.begin (fleet);
        member_run (fleet, fleet->now_us + 20 * s);
        c.end (fleet);
        EXPECT_LE (0, settle (fleet, 60)) << c.name << " seed " << seed;
        member_fleet_destroy (fleet);
      }
}

// Guards against running VMs that are declared dead: when frames are lost, and
// by a VM that receives nothing and so could suspect all others.
TEST (MemberFleet, RunningVmsAreNotDeclaredDead)
{
  struct
  {
    const char *name;
    double loss;
    bool receives_nothing;
  } cases[] = { { "no loss", 0, false },
                { "5% loss", 0.05, false },
                { "20% loss", 0.2, false },
                { "one VM receives nothing", 0, true } };
  for (const auto &c : cases)
    for (uint64_t seed = 1; seed <= 3; seed++)
      {
        member_fleet_t *fleet = member_fleet_create (24, 6, seed);
        ASSERT_LE (0, settle (fleet, 60)) << c.name << " seed " << seed;
        fleet->false_deaths = 0;
        fleet->loss = c.loss;
        fleet->vms[3].cut_in = c.receives_nothing;
        member_run (fleet, fleet->now_us + 60 * s);
        EXPECT_EQ (0u, fleet->false_deaths) << c.name << " seed " << seed;
        member_fleet_destroy (fleet);
      }
}

// Guards against traffic that grows with the fleet: the heartbeats that a VM
// sends and receives stay below 5 KB/s in total.
TEST (MemberFleet, HeartbeatsStayWithinByteBudget)
{
  for (int vms : { 24, 200 })
    {
      member_fleet_t *fleet = member_fleet_create (vms, 6, 1);
      member_prime (fleet);
      member_run (fleet, fleet->now_us + 20 * s);
      fleet->bytes = 0;
      member_run (fleet, fleet->now_us + 20 * s);
      double sent = (double)fleet->bytes / 20 / vms;
      EXPECT_GT (sent, 100) << vms;
      EXPECT_LT (2 * sent, 5000) << vms;
      member_fleet_destroy (fleet);
    }
}
