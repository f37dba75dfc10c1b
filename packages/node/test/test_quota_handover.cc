// Rates while the homes of failure domains and the parent of the homes are
// paused, woken, cut off, drained and restarted: VMs with real controllers,
// and messages and a clock of the test.  Guards against two VMs that admit
// from the same part of a rate while one takes over from the other.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bus.h"
#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/node/node.h"
extern "C"
{
#include "quota_internal.h"
}

namespace
{

const int64_t kMs = LT_US_PER_MS;
const int64_t kStepUs = 5 * kMs;
const int64_t kNearUs = 1 * kMs;
const int64_t kFarUs = 25 * kMs;
const int64_t kDeadlineUs = 1500 * kMs;
const int64_t kRate = 200;
// What the platform's rule allows beyond rate and burst.
const int64_t kOverPermille = 100;
const int64_t kSlack = 20;
const int64_t kWindowUs = 5 * LT_US_PER_S;

struct Shape
{
  int domains = 4;
  int vms_per_domain = 3;
  int64_t burst = 100;
  double load = 2; // Of the rate, over all VMs.

  int
  vms () const
  {
    return domains * vms_per_domain;
  }

  // Requests in a window.
  size_t
  allowed () const
  {
    return (size_t)((kRate * kWindowUs / LT_US_PER_S + burst)
                        * (1000 + kOverPermille) / 1000
                    + kSlack);
  }
};

struct Message
{
  std::string from;
  uint16_t type;
  uint64_t correlation;
  std::string payload;
};

class World;
struct Vm;

struct Peers
{
  lt_peers_t base;
  Vm *vm;
};

struct Vm
{
  lt_node_t node = {}; // First, so that the directory finds the VM.
  Peers peers = {};
  World *world = nullptr;
  std::string id, domain, region;
  lt_settings_t settings;
  lt_controller_t *quota = nullptr; // NULL while it is down.
  bool cut = false;
  bool mute = false; // Its messages are lost.
  int64_t resumes_us = 0;
  int64_t next_tick_us = 0;
  // By arrival: each sender has a connection of its own, so one that is far
  // away holds up no other.
  std::multimap<int64_t, Message> inbox;
  std::map<uint64_t, int64_t> requested_us;
};

class World
{
public:
  explicit World (uint64_t seed, const Shape &of = Shape ()) : shape (of)
  {
    lt_rng_init (&rng, seed);
    lt_manual_clock_init (&clock, 1000 * LT_US_PER_S);
    workspace.name = STR_LIT ("ws");
    workspace.rate_milli_per_s = kRate * 1000;
    workspace.burst = shape.burst;
    snapshot.workspaces = &workspace;
    snapshot.workspace_count = 1;
    for (int i = 0; i < shape.vms (); i++)
      add_vm (i);
  }

  ~World ()
  {
    for (auto &vm : vms)
      {
        stop (*vm);
        lt_metrics_destroy (vm->node.metrics);
      }
  }

  void
  run (int64_t us, bool with_faults)
  {
    for (int64_t end = clock.now_us + us; clock.now_us < end;)
      {
        clock.now_us += kStepUs;
        if (with_faults && below (1000) < 15)
          inject_fault ();
        for (auto &vm : vms)
          step (*vm);
      }
  }

  void
  heal ()
  {
    for (auto &vm : vms)
      vm->cut = vm->mute = false;
  }

  bool
  reaches (const Vm &from, const Vm &to) const
  {
    return to.quota != nullptr && !from.cut && !to.cut && !from.mute;
  }

  Vm &
  find (str_t id)
  {
    for (auto &vm : vms)
      if (str_equal (id, str_from (vm->id.c_str ())))
        return *vm;
    abort ();
  }

  uint64_t
  below (uint64_t n)
  {
    return lt_rng_below (&rng, n);
  }

  const Shape shape;
  lt_rng_t rng;
  lt_manual_clock_t clock;
  lt_workspace_t workspace = {};
  lt_snapshot_t snapshot = {};
  std::vector<std::unique_ptr<Vm>> vms;
  bool restarts = true; // VMs in a planned stop end and start again.
  int64_t admitted = 0;
  size_t highest = 0; // Admitted in one window.

private:
  void
  add_vm (int i)
  {
    static const lt_peers_vtable_t peers_vtable = { send };
    static const lt_vm_directory_t directory
        = { nullptr,
            [] (lt_node_t *node, str_t *ids, size_t cap) {
              return others (node, ids, cap, false);
            },
            [] (lt_node_t *node, bool, str_t *ids, size_t cap) {
              return others (node, ids, cap, true);
            },
            [] (lt_node_t *node, str_t vm_id) {
              Vm *self = reinterpret_cast<Vm *> (node);
              const Vm &other = self->world->find (vm_id);
              return self->world->reaches (*self, other)
                     && self->world->reaches (other, *self);
            },
            [] (lt_node_t *) { return true; },
            nullptr };
    vms.push_back (std::make_unique<Vm> ());
    Vm &vm = *vms.back ();
    vm.world = this;
    vm.id = "vm-" + std::string (1, (char)('a' + i % shape.domains)) + "-"
            + std::to_string (i / shape.domains);
    vm.domain = "zone-" + std::to_string (i % shape.domains);
    vm.region = "region-" + std::to_string (i % shape.domains / 2);
    lt_settings_init (&vm.settings);
    vm.settings.vm_id = str_from (vm.id.c_str ());
    vm.settings.failure_domain = str_from (vm.domain.c_str ());
    vm.settings.region = str_from (vm.region.c_str ());
    vm.settings.rate_over_permille = kOverPermille;
    vm.settings.rate_slack = kSlack;
    vm.peers = { { &peers_vtable }, &vm };
    vm.node.clock = &clock.base;
    vm.node.settings = &vm.settings;
    vm.node.metrics = lt_metrics_create ();
    vm.node.peers = &vm.peers.base;
    vm.node.directory = &directory;
    lt_rng_init (&vm.node.rng, below (UINT64_MAX));
    start (vm);
  }

  void
  start (Vm &vm)
  {
    vm.quota = lt_quota_controller_create (&vm.node);
    vm.node.draining = false;
    vm.quota->vtable->on_config (vm.quota, nullptr, &snapshot, clock.now_us);
    vm.next_tick_us = clock.now_us + (int64_t)below (100 * kMs);
  }

  void
  stop (Vm &vm)
  {
    if (vm.quota != nullptr)
      vm.quota->vtable->destroy (vm.quota);
    vm.quota = nullptr;
    vm.inbox.clear ();
    vm.requested_us.clear ();
  }

  static size_t
  others (lt_node_t *node, str_t *ids, size_t cap, bool in_domain)
  {
    Vm *self = reinterpret_cast<Vm *> (node);
    size_t count = 0;
    for (auto &vm : self->world->vms)
      {
        if (vm.get () == self || (in_domain && vm->domain != self->domain))
          continue;
        if (count < cap)
          ids[count] = str_from (vm->id.c_str ());
        count++;
      }
    return cap == 0 ? count : std::min (count, cap);
  }

  static int
  send (lt_peers_t *peers, str_t vm_id, uint16_t type, uint64_t correlation,
        str_t payload)
  {
    Vm *self = reinterpret_cast<Peers *> (peers)->vm;
    World *world = self->world;
    Vm &to = world->find (vm_id);
    if (!world->reaches (*self, to))
      return 0; // Queued by the transport, and lost.
    int64_t delay_us = to.domain == self->domain ? kNearUs : kFarUs;
    to.inbox.insert ({ world->clock.now_us + delay_us,
                       { self->id, type, correlation,
                         std::string (payload.data, payload.len) } });
    return 0;
  }

  // The VMs with low ids, which are home or parent, are hit most often.
  void
  inject_fault ()
  {
    Vm &vm = *vms[std::min (below (vms.size ()), below (vms.size ()))];
    int64_t for_us
        = (int64_t)(below (10) < 7 ? below (1500) : below (7000)) * kMs;
    switch (below (6))
      {
      case 0:
      case 1:
        vm.resumes_us = clock.now_us + for_us;
        break;
      case 2:
        vm.cut = !vm.cut;
        break;
      case 3:
        vm.mute = !vm.mute;
        break;
      case 4:
        stop (vm);
        vm.resumes_us = clock.now_us + for_us;
        break;
      case 5:
        vm.node.draining = true;
        break;
      }
  }

  void
  step (Vm &vm)
  {
    if (clock.now_us < vm.resumes_us)
      return;
    if (vm.quota == nullptr)
      start (vm);
    if (restarts && vm.node.draining && below (400) == 0)
      {
        stop (vm);
        start (vm);
      }
    bool requests_first = below (2) == 0;
    if (requests_first)
      request (vm);
    receive (vm);
    if (!requests_first)
      request (vm);
    if (clock.now_us >= vm.next_tick_us)
      {
        vm.quota->vtable->tick (vm.quota, clock.now_us);
        vm.next_tick_us = clock.now_us + 100 * kMs;
      }
  }

  void
  receive (Vm &vm)
  {
    while (!vm.inbox.empty () && vm.inbox.begin ()->first <= clock.now_us)
      {
        Message m = vm.inbox.begin ()->second;
        vm.inbox.erase (vm.inbox.begin ());
        lt_peer_message_t message = {};
        message.type = m.type;
        message.sender = str_from (m.from.c_str ());
        message.correlation = m.correlation;
        message.payload = str_make (m.payload.data (), m.payload.size ());
        vm.quota->vtable->on_message (vm.quota, &message, clock.now_us);
        if (m.type == LT_MESSAGE_QUOTA_GRANT
            || m.type == LT_MESSAGE_QUOTA_LENT)
          count_tokens (vm, message);
      }
  }

  void
  count_tokens (Vm &vm, const lt_peer_message_t &message)
  {
    lt_wire_quota_tokens_t tokens;
    auto requested = vm.requested_us.find (message.correlation);
    if (requested == vm.requested_us.end ()
        || lt_wire_quota_tokens_decode (message.payload, &tokens) != 0)
      return;
    if (tokens.count > 0 && clock.now_us - requested->second < kDeadlineUs)
      admit ();
    vm.requested_us.erase (requested);
  }

  // As lt_quota_controller_spend, without a request of a caller.
  void
  request (Vm &vm)
  {
    if (lt_rng_unit (&rng) >= shape.load * kRate / shape.vms ()
                                  * (double)kStepUs / (double)LT_US_PER_S)
      return;
    lt_quota_controller_t *c = vm.node.quota_controller;
    uint64_t hash = lt_hash64 (workspace.name);
    int64_t now_us = clock.now_us;
    if (c->vms > 0 && lt_quota_uses_own_allocation (c, now_us))
      {
        if (lt_quota_buckets_take (c->own_buckets, hash, true, now_us))
          admit ();
      }
    else if (!lt_quota_can_use_home (c, now_us))
      return;
    else if (!lt_quota_is_self (c, c->home_lease.id))
      {
        uint64_t number = ++c->next_number;
        vm.requested_us[number] = now_us;
        lt_quota_send_request (c, hash, 1, number, now_us);
      }
    else if (lt_quota_buckets_take (c->home_buckets, hash, true, now_us))
      admit ();
    else if (lt_quota_borrow (c, str_make (nullptr, 0), 0, hash, now_us))
      {
        // The parent borrows from its own reserve at once.
        if (lt_quota_is_self (c, c->parent_lease.id))
          admit ();
        else
          vm.requested_us[c->next_number] = now_us;
      }
  }

  void
  admit ()
  {
    admitted++;
    recent_us.push_back (clock.now_us);
    while (clock.now_us - recent_us.front () > kWindowUs)
      recent_us.pop_front ();
    highest = std::max (highest, recent_us.size ());
  }

  std::deque<int64_t> recent_us; // When requests were admitted.
};

TEST (QuotaHandover, NoTwoVmsAdmitFromTheSamePartOfARate)
{
  lt_log_set_level (LT_LOG_ERROR);
  const char *forced = getenv ("LT_HANDOVER_SEED");
  const char *count = getenv ("LT_HANDOVER_SEEDS");
  uint64_t first = forced == nullptr ? 1 : strtoull (forced, nullptr, 10);
  uint64_t seeds = count == nullptr ? 200 : strtoull (count, nullptr, 10);
  size_t highest = 0;
  int64_t admitted = 0;
  for (uint64_t seed = first; seed < first + seeds; seed++)
    {
      World world (seed);
      world.run (4 * LT_US_PER_S, false);
      world.run (20 * LT_US_PER_S, true);
      world.heal ();
      world.run (12 * LT_US_PER_S, false);
      EXPECT_LE (world.highest, world.shape.allowed ()) << "seed " << seed;
      highest = std::max (highest, world.highest);
      admitted += world.admitted;
    }
  printf ("%lld admitted, at most %zu of %zu in a window\n",
          (long long)admitted, highest, Shape ().allowed ());
  EXPECT_GT (admitted, (int64_t)seeds * 1000);
}

// A home of the rates in a planned stop must not go on spending the
// allocations that its members have taken back from it.
TEST (QuotaHandover, AHomeThatStopsSpendsNoAllocationOfItsMembers)
{
  lt_log_set_level (LT_LOG_ERROR);
  for (int domains : { 1, 2, 4 })
    for (int per_domain : { 1, 2, 3, 6 })
      for (uint64_t seed = 1; seed <= 5; seed++)
        {
          Shape shape;
          shape.domains = domains;
          shape.vms_per_domain = per_domain;
          shape.burst = 10;
          shape.load = 4;
          World world (seed, shape);
          world.restarts = false;
          world.run (8 * LT_US_PER_S, false);
          for (int i = 0; i < domains; i++)
            world.vms[(size_t)i]->node.draining = true;
          world.run (6 * LT_US_PER_S, false);
          EXPECT_LE (world.highest, shape.allowed ())
              << domains << " domains of " << per_domain << " VMs, seed "
              << seed;
        }
}

} // namespace
