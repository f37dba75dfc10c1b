// Tests of membership and failure detection.  The set of live VMs decides
// which VM owns a service, a share or a lease: a false death moves ownership
// without need, and a missed one delays the move.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lt/policy/membership.h"

static const int64_t ms = 1000;

namespace
{
lt_member_update_t
update (const char *id, uint64_t incarnation, lt_member_state_t state)
{
  lt_member_update_t u = {};
  u.id = str_from (id);
  u.incarnation = incarnation;
  u.state = state;
  u.address = STR_LIT ("10.0.0.1:1");
  u.region = STR_LIT ("vest");
  u.failure_domain = STR_LIT ("vest-a");
  return u;
}

// The module on VM "vm-0"; a test delivers the messages of other VMs.
struct Module
{
  lt_rng_t rng;
  lt_membership_t *m;
  int64_t now_ms = 1000;

  Module ()
  {
    lt_rng_init (&rng, 5);
    lt_membership_options_t options = LT_MEMBERSHIP_OPTIONS_DEFAULT;
    options.id = STR_LIT ("vm-0");
    options.incarnation = 10;
    options.address = STR_LIT ("10.0.0.9:1");
    options.region = STR_LIT ("vest");
    options.failure_domain = STR_LIT ("vest-a");
    m = lt_membership_create (&options, &rng);
  }
  Module (const Module &) = delete;
  ~Module () { lt_membership_destroy (m); }

  // Delivers a heartbeat of FROM with UPDATES; returns the updates in the
  // acknowledgement.
  std::vector<std::string>
  receive_heartbeat (const char *from,
                     std::vector<lt_member_update_t> updates = {})
  {
    lt_membership_message_t message = {};
    lt_member_update_t ack_updates[64];
    lt_membership_message_t ack = {};
    message.count = 1;
    message.updates = updates.data ();
    message.update_count = (uint32_t)updates.size ();
    ack.updates = ack_updates;
    ack.update_cap = 64;
    lt_member_update_t sender = update (from, 1, LT_MEMBER_ALIVE);
    lt_membership_on_heartbeat (m, now_ms * ms, &sender, &message, &ack);
    std::vector<std::string> texts;
    for (uint32_t i = 0; i < ack.update_count; i++)
      texts.push_back (
          std::string (ack.updates[i].id.data, ack.updates[i].id.len) + " "
          + lt_member_state_name (ack.updates[i].state));
    return texts;
  }
  void
  receive_ack (const char *from)
  {
    lt_membership_message_t message = {};
    lt_member_update_t sender = update (from, 1, LT_MEMBER_ALIVE);
    lt_membership_on_ack (m, now_ms * ms, &sender, 0, &message);
  }
  std::string
  state (const char *id)
  {
    lt_member_view_t view;
    if (!lt_membership_find (m, str_from (id), &view))
      return "unknown";
    return lt_member_state_name (view.info.state);
  }
  // Ticks every 100 ms for SPAN_MS and passes each action to ON_ACTION.
  void
  run (
      int64_t span_ms,
      const std::function<void (const lt_membership_action_t &)> &on_action
      = [] (const lt_membership_action_t &) {})
  {
    for (int64_t end = now_ms + span_ms; now_ms < end;)
      {
        now_ms += 100;
        lt_membership_tick (m, now_ms * ms);
        lt_membership_action_t action;
        while (lt_membership_next_action (m, &action))
          on_action (action);
      }
  }
};

std::string
text (str_t s)
{
  return std::string (s.data == nullptr ? "" : s.data, s.len);
}
}

// Guards the precedence of updates about one VM: the higher incarnation wins,
// then alive < suspect < leaving < dead.
TEST (Membership, OrdersUpdatesByIncarnationAndState)
{
  struct
  {
    uint64_t old_incarnation;
    lt_member_state_t old_state;
    uint64_t incarnation;
    lt_member_state_t state;
    const char *result;
  } cases[] = {
    { 5, LT_MEMBER_ALIVE, 5, LT_MEMBER_SUSPECT, "suspect" },
    { 5, LT_MEMBER_SUSPECT, 5, LT_MEMBER_ALIVE, "suspect" },
    { 5, LT_MEMBER_SUSPECT, 6, LT_MEMBER_ALIVE, "alive" },
    { 5, LT_MEMBER_ALIVE, 4, LT_MEMBER_DEAD, "alive" },
    { 5, LT_MEMBER_ALIVE, 5, LT_MEMBER_LEAVING, "leaving" },
    { 5, LT_MEMBER_LEAVING, 5, LT_MEMBER_SUSPECT, "leaving" },
    { 5, LT_MEMBER_LEAVING, 5, LT_MEMBER_DEAD, "dead" },
    { 5, LT_MEMBER_DEAD, 5, LT_MEMBER_ALIVE, "dead" },
    { 5, LT_MEMBER_DEAD, 6, LT_MEMBER_ALIVE, "alive" },
  };
  for (const auto &c : cases)
    {
      Module module;
      module.receive_heartbeat (
          "vm-1", { update ("vm-7", c.old_incarnation - 1, LT_MEMBER_ALIVE),
                    update ("vm-7", c.old_incarnation, c.old_state),
                    update ("vm-7", c.incarnation, c.state) });
      EXPECT_EQ (c.result, module.state ("vm-7"))
          << c.old_state << " " << c.incarnation << " " << c.state;
    }
}

// Guards refutation: a false update about this VM raises its incarnation above
// that of the update, and the correction is gossiped, again when the first
// refutation was lost.
TEST (Membership, RefutesFalseUpdatesAboutItself)
{
  struct
  {
    uint64_t incarnation;
    lt_member_state_t state;
    uint64_t result;
  } cases[] = { { 10, LT_MEMBER_SUSPECT, 11 },
                { 10, LT_MEMBER_DEAD, 11 },
                { 15, LT_MEMBER_ALIVE, 16 },
                { 9, LT_MEMBER_DEAD, 10 },
                { 10, LT_MEMBER_ALIVE, 10 } };
  for (const auto &c : cases)
    {
      Module module;
      module.receive_heartbeat ("vm-1",
                                { update ("vm-0", c.incarnation, c.state) });
      EXPECT_EQ (c.result, lt_membership_incarnation (module.m));
    }
  Module module;
  for (int i = 0; i < 100; i++)
    module.receive_heartbeat ("vm-1"); // Uses up the gossip of the start.
  EXPECT_TRUE (module.receive_heartbeat ("vm-1").empty ());
  EXPECT_EQ (std::vector<std::string>{ "vm-0 alive" },
             module.receive_heartbeat (
                 "vm-1", { update ("vm-0", 9, LT_MEMBER_DEAD) }));
}

// Guards the steps of failure detection: a VM is suspect only after indirect
// probes, dead only after the time for refutation, and neither when an
// indirect probe reaches it; it is then marked as one-way.
TEST (Membership, DetectsDeadAndOneWayVms)
{
  struct
  {
    const char *name;
    bool answers;
    bool indirect_reached;
    const char *after_3_5s;
    const char *after_9_5s;
    bool one_way;
  } cases[] = { { "answers", true, false, "alive", "alive", false },
                { "silent", false, false, "suspect", "dead", false },
                { "one way", false, true, "alive", "alive", true } };
  for (const auto &c : cases)
    {
      Module module;
      module.receive_heartbeat ("vm-1");
      module.receive_heartbeat ("vm-2");
      module.receive_heartbeat ("vm-3");
      int requests = 0;
      auto on_action = [&] (const lt_membership_action_t &action) {
        std::string id = text (action.id);
        std::string target = text (action.target);
        if (action.type == LT_MEMBERSHIP_HEARTBEAT
            && (id != "vm-1" || c.answers))
          module.receive_ack (id.c_str ());
        if (action.type == LT_MEMBERSHIP_PROBE_REQUEST && target == "vm-1")
          {
            requests++;
            lt_membership_on_probe_result (module.m, module.now_ms * ms,
                                           str_from (target.c_str ()),
                                           c.indirect_reached);
          }
      };
      module.run (3500, on_action);
      EXPECT_EQ (c.after_3_5s, module.state ("vm-1")) << c.name;
      module.run (6000, on_action);
      EXPECT_EQ (c.after_9_5s, module.state ("vm-1")) << c.name;
      EXPECT_EQ (!c.answers, requests > 0) << c.name;
      lt_member_view_t view;
      ASSERT_TRUE (lt_membership_find (module.m, STR_LIT ("vm-1"), &view));
      EXPECT_EQ (c.one_way, view.one_way) << c.name;
      EXPECT_EQ ("alive", module.state ("vm-2")) << c.name;
    }
}

// Guards indirect probes: this VM probes a target for another VM and reports
// the result.
TEST (Membership, ProbesAtRequestOfOtherVms)
{
  for (bool answers : { true, false })
    {
      Module module;
      module.receive_heartbeat ("vm-1");
      module.receive_heartbeat ("vm-2");
      module.run (100);
      lt_membership_on_probe_request (module.m, module.now_ms * ms,
                                      STR_LIT ("vm-1"), 77, STR_LIT ("vm-2"));
      if (answers)
        module.receive_ack ("vm-2");
      std::string seen;
      module.run (1000, [&] (const lt_membership_action_t &action) {
        if (action.type == LT_MEMBERSHIP_PROBE_RESULT)
          seen += text (action.id) + " " + text (action.target) + " "
                  + std::to_string (action.correlation)
                  + (action.reached ? " reached," : " silent,");
      });
      EXPECT_EQ (answers ? "vm-1 vm-2 77 reached," : "vm-1 vm-2 77 silent,",
                 seen);
    }
}

// Guards against suspecting other VMs because of a pause of this process, and
// checks that the pause is reported, so that leases are confirmed again.
TEST (Membership, DetectsOwnPause)
{
  Module module;
  module.receive_heartbeat ("vm-1");
  module.receive_heartbeat ("vm-2");
  int pauses = 0;
  auto on_action = [&] (const lt_membership_action_t &action) {
    pauses += action.type == LT_MEMBERSHIP_PAUSED;
    if (action.type == LT_MEMBERSHIP_HEARTBEAT)
      module.receive_ack (text (action.id).c_str ());
  };
  module.run (3000, on_action);
  EXPECT_EQ (0, pauses);
  lt_membership_action_t action;
  lt_membership_tick (module.m, (module.now_ms + 100) * ms);
  while (lt_membership_next_action (module.m, &action))
    ; // Heartbeats are under way when the pause begins.
  module.now_ms += 20000;
  module.run (2000, on_action);
  EXPECT_EQ (1, pauses);
  EXPECT_EQ ("alive", module.state ("vm-1"));
  EXPECT_EQ ("alive", module.state ("vm-2"));
}

// Guards ownership by rendezvous hashing: keys spread over the live VMs, only
// the keys of a VM that dies or leaves move, and a leaving VM owns none.
TEST (Membership, OwnersFollowRendezvousHashing)
{
  Module module;
  module.receive_heartbeat ("vm-1", { update ("vm-2", 1, LT_MEMBER_ALIVE),
                                      update ("vm-3", 1, LT_MEMBER_SUSPECT) });
  std::map<std::string, std::string> before;
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; i++)
    {
      std::string key = "service-" + std::to_string (i);
      before[key] = text (
          lt_membership_owner (module.m, str_make (key.data (), key.size ())));
      counts[before[key]]++;
    }
  for (const char *id : { "vm-0", "vm-1", "vm-2", "vm-3" })
    EXPECT_GT (counts[id], 60) << id;
  uint64_t generation = lt_membership_generation (module.m);
  module.receive_heartbeat ("vm-1", { update ("vm-2", 1, LT_MEMBER_DEAD) });
  EXPECT_LT (generation, lt_membership_generation (module.m));
  lt_membership_leave (module.m, module.now_ms * ms);
  for (const auto &b : before)
    {
      std::string owner = text (lt_membership_owner (
          module.m, str_make (b.first.data (), b.first.size ())));
      if (b.second == "vm-1" || b.second == "vm-3")
        EXPECT_EQ (b.second, owner) << b.first;
      else
        EXPECT_TRUE (owner == "vm-1" || owner == "vm-3") << b.first;
    }
}

// Guards the choice of watchers, two in each failure domain, and the majority
// check that keeps a minority of a region from attesting an outage.
TEST (Membership, ChoosesWatchers)
{
  Module module;
  std::vector<lt_member_update_t> updates;
  static const char *const ids[]
      = { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8" };
  for (int i = 0; i < 8; i++)
    {
      updates.push_back (update (ids[i], 1, LT_MEMBER_ALIVE));
      updates.back ().failure_domain
          = i % 2 == 0 ? STR_LIT ("vest-a") : STR_LIT ("vest-b");
      if (i == 7)
        updates.back ().region = STR_LIT ("ost");
    }
  module.receive_heartbeat ("vm-1", updates);
  str_t vms[8];
  str_t domains[8];
  ASSERT_EQ (4u, lt_membership_watchers (module.m, STR_LIT ("vest"), 2, vms,
                                         domains, 8));
  std::map<std::string, int> per_domain;
  for (int i = 0; i < 4; i++)
    {
      EXPECT_NE ("vm-8", text (vms[i]));
      per_domain[text (domains[i])]++;
    }
  EXPECT_EQ (2, per_domain["vest-a"]);
  EXPECT_EQ (2, per_domain["vest-b"]);
  EXPECT_EQ (3u, lt_membership_watchers (module.m, STR_LIT ("vest"), 2, vms,
                                         domains, 3));
  EXPECT_TRUE (lt_membership_has_region_majority (module.m, STR_LIT ("vest")));
  for (int i = 0; i < 4; i++)
    module.receive_heartbeat ("vm-1",
                              { update (ids[i + 1], 1, LT_MEMBER_DEAD) });
  EXPECT_FALSE (
      lt_membership_has_region_majority (module.m, STR_LIT ("vest")));
}

// Guards hints: this VM connects to their addresses, but a hint neither makes
// a VM live nor leads to a connection to itself.
TEST (Membership, ConnectsToHints)
{
  Module module;
  lt_membership_add_hint (module.m, 0, STR_LIT (""), STR_LIT ("10.0.0.5:1"));
  lt_membership_add_hint (module.m, 0, STR_LIT ("vm-0"),
                          STR_LIT ("10.0.0.9:1"));
  std::map<std::string, int> connects;
  module.run (5000, [&] (const lt_membership_action_t &action) {
    if (action.type == LT_MEMBERSHIP_CONNECT)
      connects[text (action.address)]++;
  });
  EXPECT_EQ (1u, connects.size ());
  EXPECT_GT (connects["10.0.0.5:1"], 1);
  EXPECT_EQ (1u, lt_membership_live_count (module.m));
}
