// Tests several VMs over real loopback connections with a manual clock:
// joining, distributing the configuration, and rejecting unauthenticated
// input.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <vector>

#include "site.h"

namespace
{
struct Fleet : World
{
  std::vector<std::unique_ptr<Site>> vms;

  ~Fleet () { vms.clear (); }
  Site &
  add (const std::string &id, const std::string &domain)
  {
    std::string seeds = vms.empty () ? "" : vms[0]->address ();
    vms.push_back (std::make_unique<Site> (*this, id, domain, seeds, true));
    return *vms.back ();
  }
  // Advances the manual clock until DONE, by at most LIMIT_S seconds.
  bool
  run_until (const std::function<bool ()> &done, int limit_s = 60)
  {
    for (int i = 0; i < limit_s * 20; i++)
      {
        if (done ())
          return true;
        lt_manual_clock_advance (&clock, 50 * LT_US_PER_MS);
        for (auto &vm : vms)
          if (vm->node.bus != nullptr)
            vm->tick ();
        turn ();
      }
    return done ();
  }
  bool
  all (const std::function<bool (Site &)> &holds)
  {
    for (auto &vm : vms)
      if (vm->node.bus != nullptr && !holds (*vm))
        return false;
    return true;
  }
  bool
  joined ()
  {
    return all ([&] (Site &vm) {
      return lt_membership_live_count (vm.node.membership) == vms.size ();
    });
  }
  static lt_member_state_t
  state_of (Site &viewer, const char *id)
  {
    lt_member_view_t view;
    if (!lt_membership_find (viewer.node.membership, str_from (id), &view))
      return LT_MEMBER_DEAD;
    return view.info.state;
  }
};
}

// Checks that VMs join through a seed, that a change reaches all of them, and
// that VMs that do not read the store get its confirmation.
TEST (Peers, VmsJoinAndDistributeChanges)
{
  Fleet fleet;
  for (int i = 0; i < 5; i++)
    fleet.add ("vm-" + std::to_string (i), i % 2 == 0 ? "vest-a" : "vest-b");
  ASSERT_TRUE (fleet.run_until ([&] { return fleet.joined (); }));
  Outcome outcome;
  ASSERT_EQ (0, fleet.vms[3]->apply ("ana", 0, "anna", &outcome));
  ASSERT_TRUE (fleet.run_until ([&] { return outcome.calls > 0; }));
  ASSERT_EQ (LT_APPLY_ACCEPTED, outcome.outcome);
  EXPECT_TRUE (fleet.run_until (
      [&] {
        return fleet.all (
            [] (Site &vm) { return vm.applied () == 1 && vm.serves (); });
      },
      9));
  EXPECT_TRUE (fleet.run_until ([&] {
    return lt_config_controller_vm_count (fleet.vms[0]->node.config_controller)
           == 5;
  }));
}

// Checks that after a change and an outage of the store, a new VM gets the
// snapshot from the others, and all VMs go on serving.
TEST (Peers, VmsServeDuringStoreOutage)
{
  Fleet fleet;
  for (int i = 0; i < 4; i++)
    fleet.add ("vm-" + std::to_string (i), i % 2 == 0 ? "vest-a" : "vest-b");
  ASSERT_TRUE (fleet.run_until ([&] { return fleet.joined (); }));
  Outcome outcome;
  fleet.vms[0]->apply ("ana", 0, "anna", &outcome);
  ASSERT_TRUE (fleet.run_until ([&] { return outcome.calls > 0; }));
  for (int kind = 0; kind < LT_CALL_KINDS; kind++)
    fleet.fault ((lt_platform_call_t)kind, { true, false, 0, 0 });
  fleet.add ("vm-9", "vest-b");
  EXPECT_TRUE (fleet.run_until ([&] {
    return fleet.joined () && fleet.all ([] (Site &vm) {
      return vm.applied () == 1 && vm.serves ();
    });
  }));
  for (int second = 0; second < 30; second++)
    {
      fleet.run_until ([] { return false; }, 1);
      EXPECT_TRUE (fleet.all ([] (Site &vm) { return vm.serves (); }))
          << second;
    }
  Outcome during;
  fleet.vms[1]->apply ("eva", 1, "berta", &during);
  EXPECT_TRUE (fleet.run_until ([&] { return during.calls > 0; }));
  EXPECT_EQ (LT_APPLY_UNAVAILABLE, during.outcome);
  EXPECT_TRUE (fleet.all ([] (Site &vm) { return vm.serves (); }))
      << "a failed change must not stop the fleet";
}

// Checks that a killed VM is detected as dead, and that it rejoins as a new
// process with the same id on another port.
TEST (Peers, KilledVmIsDetectedAndRejoins)
{
  Fleet fleet;
  for (int i = 0; i < 4; i++)
    fleet.add ("vm-" + std::to_string (i), "vest-a");
  ASSERT_TRUE (fleet.run_until ([&] { return fleet.joined (); }));
  fleet.vms[3]->stop ();
  EXPECT_TRUE (fleet.run_until ([&] {
    return fleet.all ([] (Site &vm) {
      return Fleet::state_of (vm, "vm-3") == LT_MEMBER_DEAD;
    });
  }));
  fleet.vms[3]->start ();
  EXPECT_TRUE (fleet.run_until ([&] { return fleet.joined (); }));
}

// Checks that in a planned stop the others are notified that the VM is leaving
// before it has stopped, and that it no longer owns any key.
TEST (Peers, LeavingVmIsAnnouncedAndOwnsNothing)
{
  Fleet fleet;
  for (int i = 0; i < 3; i++)
    fleet.add ("vm-" + std::to_string (i), "vest-a");
  ASSERT_TRUE (fleet.run_until ([&] { return fleet.joined (); }));
  fleet.vms[2]->node.draining = true;
  EXPECT_TRUE (fleet.run_until ([&] {
    return Fleet::state_of (*fleet.vms[0], "vm-2") == LT_MEMBER_LEAVING
           && Fleet::state_of (*fleet.vms[1], "vm-2") == LT_MEMBER_LEAVING;
  }));
  for (int i = 0; i < 50; i++)
    {
      std::string key = std::to_string (i);
      EXPECT_FALSE (
          str_equal (lt_membership_owner (fleet.vms[0]->node.membership,
                                          str_make (key.data (), key.size ())),
                     STR_LIT ("vm-2")));
    }
}

// Checks that a connection with unauthenticated input is closed without a
// response and counted, and that the VMs go on.
TEST (Peers, UnauthenticatedConnectionsAreClosed)
{
  Fleet fleet;
  fleet.add ("vm-0", "vest-a");
  fleet.add ("vm-1", "vest-a");
  ASSERT_TRUE (fleet.run_until ([&] { return fleet.joined (); }));
  struct
  {
    std::string bytes;
    const char *reason;
  } cases[] = { { "GET / HTTP/1.1\r\n\r\n", "too-large" },
                { std::string ("\0\0\0\x10", 4), "too-small" },
                { std::string ("\0\0\0\x30", 4) + std::string (48, 'x'),
                  "bad-mac" } };
  Site &vm = *fleet.vms[0];
  struct sockaddr_in to;
  ASSERT_EQ (0, lt_parse_address (str_from (vm.address ().c_str ()), &to));
  for (const auto &c : cases)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      ASSERT_EQ (
          0, connect (fd, reinterpret_cast<sockaddr *> (&to), sizeof (to)));
      ASSERT_EQ ((ssize_t)c.bytes.size (),
                 write (fd, c.bytes.data (), c.bytes.size ()));
      char response[16];
      ssize_t got = -1;
      EXPECT_TRUE (fleet.run_until (
          [&] {
            got = recv (fd, response, sizeof (response), MSG_DONTWAIT);
            return got == 0 || (got < 0 && errno == ECONNRESET);
          },
          10));
      EXPECT_LE (got, 0) << c.reason;
      close (fd);
      lt_buf_t text = {};
      lt_metrics_print (vm.node.metrics, &text);
      std::string line
          = std::string ("lavendertrack_peer_closed_total{reason=\"")
            + c.reason + "\"} 1\n";
      EXPECT_NE (std::string::npos,
                 std::string (text.data, text.len).find (line))
          << c.reason;
      lt_buf_destroy (&text);
    }
  fleet.run_until ([] { return false; }, 10);
  EXPECT_TRUE (fleet.joined ());
}
