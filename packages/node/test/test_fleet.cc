// Tests VMs as separate processes, with the HTTP stand-in of the platform.
#include <gtest/gtest.h>

#include "fleet.h"

class FleetTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    for (const char *name : { "q1", "q2", "o1" })
      fleet.start_upstream (name);
    for (int i = 0; i < 3; i++)
      ASSERT_TRUE (fleet.wait_alive (i))
          << read_file (fleet.log_file ("vm-" + std::to_string (i + 1)));
    for (int i = 0; i < 3; i++)
      ASSERT_TRUE (fleet.wait_members (i, 3));
    CommandResult applied = fleet.ctl (
        0, { "apply", "--day", "any", fleet.sheet ("basic.csv") });
    ASSERT_EQ (0, applied.status) << applied.output;
  }

  Fleet fleet{ 3 };
  const std::string key = "Authorization: Bearer demo-key-1";
};

// Guards against a change that takes effect only on the VM that accepted it.
TEST_F (FleetTest, AppliedSheetServesOnEveryVm)
{
  for (int i = 0; i < 3; i++)
    {
      EXPECT_EQ (200, fleet.request (i, "GET", "/quotes/1", { key }).status);
      EXPECT_EQ (401, fleet
                          .request (i, "GET", "/quotes/1",
                                    { "Authorization: Bearer wrong" })
                          .status);
    }
}

// Guards against a withdrawn key that other VMs still accept (I4).
TEST_F (FleetTest, WithdrawnKeyIsRejectedOnEveryVm)
{
  CommandResult result = fleet.ctl (1, { "key", "withdraw", "demo-1" });
  EXPECT_EQ (0, result.status) << result.output;
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (401, fleet.request (i, "GET", "/quotes/1", { key }).status);
}

// Guards against requests that are aborted by a planned stop of a VM (I10).
TEST_F (FleetTest, PlannedStopAbortsNoRequest)
{
  std::atomic<bool> stop{ false };
  std::atomic<int> answered{ 0 }, cut{ 0 }, refused_connect{ 0 };
  std::vector<std::thread> callers;
  for (int c = 0; c < 4; c++)
    callers.emplace_back ([&] {
      while (!stop)
        {
          Reply reply = fleet.request (2, "GET", "/quotes/1", { key });
          if (reply.code == CURLE_OK && reply.status < 500)
            answered++;
          else if (reply.code == CURLE_COULDNT_CONNECT)
            refused_connect++;
          else
            cut++;
          usleep (5000);
        }
    });
  usleep (200000);
  fleet.vms[2].process->signal (SIGTERM);
  EXPECT_EQ (0, fleet.vms[2].process->wait ());
  stop = true;
  for (std::thread &t : callers)
    t.join ();
  EXPECT_GT (answered, 20);
  EXPECT_EQ (0, cut);
}

// Guards against a VM that has no configuration after a restart while the
// store is down.
TEST_F (FleetTest, RestartedVmGetsTheConfigurationFromPeers)
{
  fleet.store.reset ();
  fleet.vms[2].process->signal (SIGKILL);
  fleet.vms[2].process->wait ();
  fleet.start_vm (2);
  ASSERT_TRUE (fleet.wait_ready (2));
  EXPECT_EQ (200, fleet.request (2, "GET", "/stock").status);
  // The store's region attests the outage, so keyed requests are served too.
  EXPECT_TRUE (fleet.wait_for ([&] {
    return fleet.request (2, "GET", "/quotes/1", { key }).status == 200;
  }));
  for (int i = 0; i < 2; i++)
    EXPECT_EQ (200, fleet.request (i, "GET", "/quotes/1", { key }).status);
}

// Guards against a change that is reported as in force before a VM that is
// only known from the seeds has confirmed it.
TEST (Fleet, ApplyNamesVmsThatHaveNotReported)
{
  Fleet fleet (2, 1);
  for (const char *name : { "q1", "q2", "o1" })
    fleet.start_upstream (name);
  ASSERT_TRUE (fleet.wait_alive (0));
  CommandResult applied = fleet.ctl (0, { "--timeout", "2", "apply", "--day",
                                          "any", fleet.sheet ("basic.csv") });
  EXPECT_NE (std::string::npos,
             applied.output.find (local (fleet.vms[1].peer_port)))
      << applied.output;
  EXPECT_EQ (std::string::npos, applied.output.find ("in force on 2 VMs"));
  // The VM receives the change when it joins, and then confirms it with its
  // id.
  fleet.start_vm (1);
  ASSERT_TRUE (fleet.wait_ready (1));
  ASSERT_TRUE (fleet.wait_members (0, 2));
  CommandResult drained = fleet.ctl (0, { "upstream", "drain", "q1" });
  EXPECT_EQ (0, drained.status) << drained.output;
  EXPECT_NE (std::string::npos, drained.output.find ("in force on 2 VMs"))
      << drained.output;
}
