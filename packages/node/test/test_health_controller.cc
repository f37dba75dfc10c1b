// Tests of the health controllers of three VMs that share one table.  The VMs
// call each other directly, without sockets.
#include "health_codec.h"
#include "lt/base/error.h"
#include "lt/config/sheet.h"
#include "lt/node/health_controller.h"
#include "lt/node/node.h"
#include "lt/store/memory.h"
#include "lt/policy/freshness.h"
#include "pools.h"

#include <ev.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <sodium.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kTick = 100000;

struct Fleet;

struct Vm
{
  lt_peers_t peers{};
  lt_node_t node{};
  lt_settings_t settings{};
  lt_controller_t *controller = nullptr;
  Fleet *fleet = nullptr;
  std::string id;
  std::string domain;
  bool partitioned = false; // No messages to or from other VMs.
};

std::string
sheet_of (int upstreams, int first)
{
  std::string text = "kind,name,day,rows,floor_percent,service,region,"
                     "failure_domain,address,slots,connections\n";
  text += "sheet,test,2026-12-04," + std::to_string (upstreams + 1)
          + ",,,,,,,\n";
  text += "service,quotes,,,60,,,,,,\n";
  for (int i = 0; i < upstreams; i++)
    text += "upstream,u" + std::to_string (i + first) + ",,,,quotes,r0,d"
            + std::to_string (i % 2)
            + ",127.0.0.1:" + std::to_string (9000 + i) + ",3,400\n";
  return text;
}

struct Fleet
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lt_manual_clock_t clock{};
  lt_platform_t platform{};
  std::vector<std::unique_ptr<Vm>> vms;
  lt_rng_t rng{};
  bool probe_ok = false;
  bool suspect = false; // Every request that is reset is a quarantine suspect.
  int probes = 0;
  std::vector<std::pair<lt_health_probe_done_t, void *>> open_probes;

  Fleet ()
  {
    static const int sodium = sodium_init ();
    (void)sodium;
    lt_log_set_level (LT_LOG_ERROR);
    lt_manual_clock_init (&clock, 1000000000000);
    lt_rng_init (&rng, 3);
    if (lt_platform_memory_create (loop, &clock.base, &platform) != 0)
      abort ();
    for (int i = 0; i < 3; i++)
      add_vm (i);
    install (sheet_of (6, 0), 1);
  }
  ~Fleet ()
  {
    for (auto &vm : vms)
      {
        vm->controller->vtable->destroy (vm->controller);
        lt_snapshot_ref_release (vm->node.config);
        lt_metrics_destroy (vm->node.metrics);
      }
    lt_platform_destroy (&platform);
    ev_loop_destroy (loop);
  }

  static int
  send (lt_peers_t *peers, str_t vm_id, uint16_t type, uint64_t correlation,
        str_t payload)
  {
    Vm *from = reinterpret_cast<Vm *> (peers);
    for (auto &vm : from->fleet->vms)
      if (!from->partitioned && !vm->partitioned
          && str_equal (vm->settings.vm_id, vm_id))
        {
          std::string copy (payload.data, payload.len);
          lt_peer_message_t message
              = { type, correlation, from->settings.vm_id, 1,
                  str_make (copy.data (), copy.size ()) };
          vm->controller->vtable->on_message (
              vm->controller, &message,
              lt_clock_now_us (&from->fleet->clock.base));
          return 0;
        }
    return -LT_ENOTFOUND;
  }

  void
  add_vm (int i)
  {
    static const lt_peers_vtable_t peers_vtable = { send };
    auto vm = std::make_unique<Vm> ();
    vm->fleet = this;
    vm->id = "vm-" + std::to_string (i);
    vm->domain = "d" + std::to_string (i % 2);
    vm->peers.vtable = &peers_vtable;
    lt_settings_init (&vm->settings);
    vm->settings.vm_id = str_from (vm->id.c_str ());
    vm->settings.region = STR_LIT ("r0");
    vm->settings.failure_domain = str_from (vm->domain.c_str ());
    vm->node.loop = loop;
    vm->node.clock = &clock.base;
    vm->node.settings = &vm->settings;
    vm->node.metrics = lt_metrics_create ();
    vm->node.platform = platform;
    vm->node.peers = &vm->peers;
    lt_rng_init (&vm->node.rng, (uint64_t)i);
    lt_health_hooks_t hooks = {};
    hooks.user = vm.get ();
    hooks.owner = [] (void *, str_t) { return STR_LIT ("vm-0"); };
    hooks.others = [] (void *user, str_t *ids, size_t cap) {
      Vm *self = static_cast<Vm *> (user);
      size_t count = 0;
      for (auto &v : self->fleet->vms)
        if (v.get () != self && count < cap)
          ids[count++] = v->settings.vm_id;
      return cap == 0 ? self->fleet->vms.size () - 1 : count;
    };
    hooks.probe = [] (void *user, str_t, lt_health_probe_done_t done,
                      void *done_user) {
      Fleet *fleet = static_cast<Vm *> (user)->fleet;
      fleet->probes++;
      fleet->open_probes.emplace_back (done, done_user);
      return 0;
    };
    hooks.is_suspect = [] (void *user, const lt_digest_t *) {
      return static_cast<Vm *> (user)->fleet->suspect;
    };
    vm->controller = lt_health_controller_create (&vm->node, &hooks);
    vms.push_back (std::move (vm));
  }

  void
  install (const std::string &sheet, int64_t version)
  {
    for (auto &vm : vms)
      {
        lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
        options.source = STR_LIT ("sheet");
        options.hash_secret = STR_LIT ("hash-secret-0123456789");
        lt_findings_t findings = {};
        lt_snapshot_t *snapshot = nullptr;
        int error = lt_sheet_parse (str_from (sheet.c_str ()), &options,
                                    &findings, &snapshot);
        lt_buf_t text = {};
        lt_findings_print (&findings, &text);
        ASSERT_EQ (0, error) << std::string (text.data, text.len);
        lt_buf_destroy (&text);
        lt_findings_destroy (&findings);
        snapshot->version = version;
        lt_snapshot_ref_t *old = vm->node.config;
        vm->node.config = lt_snapshot_ref_create (snapshot);
        vm->controller->vtable->on_config (
            vm->controller, old ? old->snapshot : nullptr, snapshot, now ());
        lt_snapshot_ref_release (old);
      }
  }

  int64_t
  now ()
  {
    return lt_clock_now_us (&clock.base);
  }
  lt_pools_t *
  pools (int vm)
  {
    return lt_health_controller_pools (vms[vm]->node.health_controller);
  }

  // Returns the outcome of an attempt by VM at an upstream.
  using OutcomeFn = std::function<lt_attempt_outcome_t (int vm, std::string)>;
  // Runs SECONDS of simulated time with 5 requests a tick on each VM.
  void
  run (int seconds, const OutcomeFn &outcome_of)
  {
    for (int t = 0; t < seconds * 10; t++)
      {
        for (int v = 0; v < 3; v++)
          for (int r = 0; r < 5; r++)
            request (v, outcome_of);
        lt_manual_clock_advance (&clock, kTick);
        for (auto &vm : vms)
          vm->controller->vtable->tick (vm->controller, now ());
        auto probes_now = std::move (open_probes);
        open_probes.clear ();
        for (auto &p : probes_now)
          p.first (p.second, probe_ok);
        for (int i = 0; i < 3; i++)
          ev_run (loop, EVRUN_NOWAIT);
      }
  }
  void
  request (int v, const OutcomeFn &outcome_of)
  {
    lt_pools_t *p = pools (v);
    lt_snapshot_ref_t *config = p->vtable->config (p);
    lt_pick_t pick = {};
    int64_t u = p->vtable->pick (p, &pick, now ());
    ASSERT_GE (u, 0);
    p->vtable->begin (p, config->snapshot, (uint32_t)u);
    p->vtable->end (p, config->snapshot, (uint32_t)u);
    str_t name = config->snapshot->upstreams[u].name;
    lt_observation_event_t event = {};
    event.upstream = (uint32_t)u;
    event.snapshot = config->snapshot;
    event.latency_us = 30000 + (int64_t)lt_rng_below (&rng, 40000);
    event.outcome = outcome_of (v, std::string (name.data, name.len));
    vms[v]->controller->vtable->on_attempt_end (vms[v]->controller, &event,
                                                now ());
  }
  // Returns how many of 200 picks on VM V choose the upstream.
  int
  picks (int v, const std::string &name)
  {
    lt_pools_t *p = pools (v);
    lt_snapshot_ref_t *config = p->vtable->config (p);
    int count = 0;
    lt_pick_t pick = {};
    for (int i = 0; i < 200; i++)
      {
        int64_t u = p->vtable->pick (p, &pick, now ());
        p->vtable->begin (p, config->snapshot, (uint32_t)u);
        p->vtable->end (p, config->snapshot, (uint32_t)u);
        str_t got = config->snapshot->upstreams[u].name;
        count += std::string (got.data, got.len) == name;
      }
    return count;
  }
  json_t *
  service_status (int v, json_t **root)
  {
    *root = vms[v]->controller->vtable->status (vms[v]->controller);
    return json_array_get (json_object_get (*root, "services"), 0);
  }
  int64_t
  number (int v, const char *key)
  {
    json_t *root;
    json_t *service = service_status (v, &root);
    int64_t value = json_integer_value (json_object_get (service, key));
    json_decref (root);
    return value;
  }
  size_t
  length (int v, const char *key)
  {
    json_t *root;
    json_t *service = service_status (v, &root);
    size_t size = json_array_size (json_object_get (service, key));
    json_decref (root);
    return size;
  }
};

lt_attempt_outcome_t
all_ok (int, const std::string &)
{
  return LT_ATTEMPT_OK;
}

lt_attempt_outcome_t
u0_fails (int, const std::string &name)
{
  return name == "u0" ? LT_ATTEMPT_FAILED : LT_ATTEMPT_OK;
}

}

// Guards the whole sequence: evidence, ejection record, notification of the
// other VMs, probes and return, and the reason shown in the status.
TEST (HealthController, UpstreamIsEjectedAndReturnedOnAllVms)
{
  Fleet fleet;
  fleet.run (10, all_ok);
  EXPECT_EQ (0, fleet.number (0, "record_version"));
  fleet.run (10, u0_fails);
  for (int v = 0; v < 3; v++)
    {
      EXPECT_EQ (1, fleet.number (v, "record_version"));
      EXPECT_EQ (0, fleet.picks (v, "u0"));
    }
  json_t *root;
  json_t *service = fleet.service_status (2, &root);
  json_t *entry = json_array_get (json_object_get (service, "ejections"), 0);
  EXPECT_STREQ ("u0", json_string_value (json_object_get (entry, "upstream")));
  json_t *evidence = json_object_get (entry, "evidence");
  EXPECT_STREQ ("failed",
                json_string_value (json_object_get (evidence, "reason")));
  EXPECT_GE (
      json_integer_value (json_object_get (evidence, "failure_domains")), 2);
  json_decref (root);

  fleet.run (30, all_ok);
  EXPECT_GT (fleet.probes, 0);
  EXPECT_EQ (1, fleet.number (1, "record_version"));
  fleet.probe_ok = true;
  fleet.run (20, all_ok);
  for (int v = 0; v < 3; v++)
    {
      EXPECT_EQ (2, fleet.number (v, "record_version"));
      EXPECT_GT (fleet.picks (v, "u0"), 0);
    }
}

// Guards against a VM that uses a stale record while others already count the
// slots of a returned upstream as usable and eject another one (I1).  A VM
// that reaches neither the aggregator nor the table must stop using the record
// after the propagation bound.
TEST (HealthController, StaleRecordIsUnusedAfterPropagationBound)
{
  Fleet fleet;
  fleet.run (10, all_ok);
  fleet.run (10, u0_fails);
  ASSERT_EQ (0, fleet.picks (2, "u0"));
  lt_freshness_options_t options = LT_FRESHNESS_OPTIONS_DEFAULT;
  options.vm_id = STR_LIT ("vm-2");
  lt_freshness_t *freshness = lt_freshness_create (&options, &fleet.rng);
  lt_platform_t unreachable = {};
  ASSERT_EQ (0, lt_platform_memory_create (fleet.loop, &fleet.clock.base,
                                           &unreachable));
  lt_platform_fault_t down = {};
  down.down = true;
  lt_platform_memory_set_fault (&unreachable, LT_CALL_TABLE_READ, down);
  lt_platform_t reachable = fleet.vms[2]->node.platform;
  fleet.vms[2]->node.platform = unreachable;
  fleet.vms[2]->node.freshness = freshness;
  fleet.vms[2]->partitioned = true;
  fleet.run (5, all_ok);
  EXPECT_EQ (0, fleet.picks (2, "u0"));
  fleet.run (10, all_ok);
  EXPECT_GT (fleet.picks (2, "u0"), 0);
  EXPECT_EQ (0, fleet.picks (0, "u0"));
  fleet.vms[2]->node.platform = reachable;
  fleet.vms[2]->node.freshness = nullptr;
  lt_freshness_destroy (freshness);
  lt_platform_destroy (&unreachable);
}

// Guards against ejecting upstreams because of resets by requests that are
// suspected of crashing upstreams.
TEST (HealthController, ResetsByQuarantineSuspectsAreNotCounted)
{
  auto u0_resets = [] (int, const std::string &name) {
    return name == "u0" ? LT_ATTEMPT_RESET : LT_ATTEMPT_OK;
  };
  Fleet fleet;
  fleet.run (10, all_ok);
  fleet.suspect = true;
  fleet.run (10, u0_resets);
  EXPECT_EQ (0, fleet.number (0, "record_version"));
  EXPECT_GT (fleet.picks (0, "u0"), 0);
  fleet.suspect = false;
  fleet.run (10, u0_resets);
  EXPECT_EQ (1, fleet.number (0, "record_version"));
}

// Guards against ejections that are not in the record while the store is down,
// and against local avoidance that leaves less than the floor usable.
TEST (HealthController, StoreOutageAllowsOnlyLocalAvoidanceAboveFloor)
{
  Fleet fleet;
  fleet.run (10, all_ok);
  lt_platform_fault_t down = {};
  down.down = true;
  lt_platform_memory_set_fault (&fleet.platform, LT_CALL_TABLE_READ, down);
  lt_platform_memory_set_fault (&fleet.platform, LT_CALL_TABLE_WRITE, down);
  fleet.run (30, [] (int, const std::string &name) {
    bool bad = name == "u0" || name == "u1" || name == "u2" || name == "u3";
    return bad ? LT_ATTEMPT_RESET : LT_ATTEMPT_OK;
  });
  for (int v = 0; v < 3; v++)
    {
      EXPECT_EQ (0, fleet.number (v, "record_version"));
      EXPECT_EQ (2U, fleet.length (v, "avoided_here"));
    }
  lt_platform_memory_set_fault (&fleet.platform, LT_CALL_TABLE_READ, {});
  lt_platform_memory_set_fault (&fleet.platform, LT_CALL_TABLE_WRITE, {});
}

// Guards against taking a lost response of the table for a failed write: the
// record must be read back and not written twice.
TEST (HealthController, RecordIsReadBackAfterLostWriteResponse)
{
  Fleet fleet;
  fleet.run (10, all_ok);
  lt_platform_fault_t lost = {};
  lost.lose_response = true;
  lost.count = 1;
  lt_platform_memory_set_fault (&fleet.platform, LT_CALL_TABLE_WRITE, lost);
  fleet.run (15, u0_fails);
  for (int v = 0; v < 3; v++)
    {
      EXPECT_EQ (1, fleet.number (v, "record_version"));
      EXPECT_EQ (0, fleet.picks (v, "u0"));
    }
}

// Guards against ejecting an upstream for all VMs when only one VM's network
// path to it fails.
TEST (HealthController, PathFailureOfOneVmIsAvoidedLocally)
{
  Fleet fleet;
  fleet.run (10, all_ok);
  fleet.run (20, [] (int v, const std::string &name) {
    return v == 2 && name == "u0" ? LT_ATTEMPT_TIMEOUT : LT_ATTEMPT_OK;
  });
  EXPECT_EQ (0, fleet.number (0, "record_version"));
  EXPECT_EQ (1U, fleet.length (2, "avoided_here"));
  EXPECT_EQ (0, fleet.picks (2, "u0"));
  EXPECT_GT (fleet.picks (0, "u0"), 0);
}

// Guards against ejections that apply to another upstream after a change of
// the configuration shifts the indexes, and against drains that are lost.
TEST (HealthController, RecordAndDrainsAreMatchedByNameAfterReload)
{
  Fleet fleet;
  fleet.run (10, all_ok);
  fleet.run (10, [] (int, const std::string &name) {
    return name == "u3" ? LT_ATTEMPT_FAILED : LT_ATTEMPT_OK;
  });
  ASSERT_EQ (0, fleet.picks (1, "u3"));
  lt_health_controller_t *first = fleet.vms[0]->node.health_controller;
  EXPECT_EQ (0,
             lt_health_controller_set_leaving (first, STR_LIT ("u4"), true));
  EXPECT_EQ (-LT_ENOTFOUND,
             lt_health_controller_set_leaving (first, STR_LIT ("none"), true));
  EXPECT_EQ (0, fleet.picks (0, "u4"));
  fleet.install (sheet_of (6, 1), 2);
  for (int v = 0; v < 3; v++)
    EXPECT_EQ (0, fleet.picks (v, "u3"));
  EXPECT_EQ (0, fleet.picks (0, "u4"));
  EXPECT_GT (fleet.picks (1, "u4"), 0);
  EXPECT_GT (fleet.picks (1, "u6"), 0);
}

// Guards against accepting truncated payloads: every strict prefix must be
// refused.
TEST (HealthCodec, TruncatedPayloadsAreRefused)
{
  lt_health_counts_t counts = {};
  counts.upstream = 3;
  counts.requests = 7;
  counts.failed = 2;
  counts.latency[5] = 5;
  lt_health_evidence_message_t evidence
      = { STR_LIT ("quotes"), STR_LIT ("d0"), 99, 4, &counts, 1 };
  uint32_t load = 6;
  lt_health_ejections_message_t ejections
      = { STR_LIT ("quotes"), 99, 4, 1000, STR_LIT ("\x90"), &load, 1 };
  lt_buf_t bytes[2] = {};
  lt_health_evidence_encode (&evidence, &bytes[0]);
  lt_health_ejections_encode (&ejections, &bytes[1]);
  lt_health_counts_t got[4];
  uint32_t loads[4];
  for (int kind = 0; kind < 2; kind++)
    for (size_t len = 0; len <= bytes[kind].len; len++)
      {
        str_t part = str_make (bytes[kind].data, len);
        int error
            = kind == 0
                  ? lt_health_evidence_decode (part, &evidence, got, 4)
                  : lt_health_ejections_decode (part, &ejections, loads, 4);
        EXPECT_EQ (len == bytes[kind].len ? 0 : -LT_EPROTO, error) << len;
      }
  EXPECT_EQ (7U, got[0].requests);
  EXPECT_EQ (5U, got[0].latency[5]);
  EXPECT_EQ (6U, loads[0]);
  EXPECT_EQ (99U, ejections.upstreams_hash);
  for (lt_buf_t &b : bytes)
    lt_buf_destroy (&b);
}
