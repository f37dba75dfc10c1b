// A source controller with a registry, other VMs and a clock of the test.
#ifndef NODE_TEST_SOURCE_FIXTURE_H
#define NODE_TEST_SOURCE_FIXTURE_H

#include <ev.h>
#include <gtest/gtest.h>
#include <sodium.h>

#include <map>
#include <string>
#include <vector>

#include "bus.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/node/node.h"
#include "lt/node/source_controller.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"

namespace
{

const int64_t MS = LT_US_PER_MS;

struct Call
{
  bool is_read;
  lt_registry_kind_t kind;
  int64_t version;
  int64_t wait_ms;
  int64_t timeout_ms;
  lt_registry_done_t done;
  void *user;
};

struct Sent
{
  std::string to;
  uint16_t type;
  std::string payload;
};

struct FakeRegistry
{
  lt_registry_t base;
  std::vector<Call> calls;
  std::map<std::string, lt_registry_record_t> encoded;
};

struct FakePeers
{
  lt_peers_t base;
  std::vector<Sent> sent;
};

// The ids of the other VMs of the domain; the directory has no user pointer.
std::vector<std::string> others;

int
fake_read (lt_registry_t *base, lt_registry_kind_t kind, int64_t timeout_ms,
           lt_registry_done_t done, void *user)
{
  reinterpret_cast<FakeRegistry *> (base)->calls.push_back (
      { true, kind, 0, 0, timeout_ms, done, user });
  return 0;
}

int
fake_watch (lt_registry_t *base, lt_registry_kind_t kind, int64_t version,
            int64_t wait_ms, int64_t timeout_ms, lt_registry_done_t done,
            void *user)
{
  reinterpret_cast<FakeRegistry *> (base)->calls.push_back (
      { false, kind, version, wait_ms, timeout_ms, done, user });
  return 0;
}

void
fake_decode (lt_registry_t *base, lt_registry_kind_t, str_t encoded,
             lt_registry_done_t done, void *user)
{
  FakeRegistry *self = reinterpret_cast<FakeRegistry *> (base);
  auto found = self->encoded.find (std::string (encoded.data, encoded.len));
  lt_registry_result_t result = {};
  result.error = found == self->encoded.end () ? -LT_EPROTO : 0;
  if (result.error == 0)
    {
      result.records = &found->second;
      result.count = 1;
    }
  done (user, &result);
}

const lt_registry_vtable_t kRegistry
    = { fake_read, fake_watch, fake_decode, nullptr, nullptr };

int
fake_send (lt_peers_t *base, str_t vm_id, uint16_t type, uint64_t,
           str_t payload)
{
  reinterpret_cast<FakePeers *> (base)->sent.push_back (
      { std::string (vm_id.data, vm_id.len), type,
        std::string (payload.data, payload.len) });
  return 0;
}

const lt_peers_vtable_t kPeers = { fake_send };

size_t
near_vms (lt_node_t *, bool in_domain, str_t *ids, size_t cap)
{
  size_t count = in_domain ? others.size () : 0;
  for (size_t i = 0; i < count && i < cap; i++)
    ids[i] = str_from (others[i].c_str ());
  return count;
}

const lt_vm_directory_t kDirectory
    = { nullptr, nullptr, near_vms, [] (lt_node_t *, str_t) { return true; },
        [] (lt_node_t *) { return true; } };

lt_registry_record_t
upstream_record (const char *name, int64_t version, bool removed = false)
{
  lt_registry_record_t record = {};
  record.name = str_from (name);
  record.version = version;
  record.removed = removed;
  record.upstream.name = record.name;
  record.upstream.service = STR_LIT ("desk");
  record.upstream.address = STR_LIT ("127.0.0.1:9");
  record.upstream.failure_domain = STR_LIT ("zone-a");
  record.upstream.region = STR_LIT ("region-1");
  record.upstream.slots = 3;
  record.upstream.incarnation = 1;
  return record;
}

class SourceFixture : public testing::Test
{
protected:
  SourceFixture ()
  {
    (void)!sodium_init ();
    lt_log_set_level (LT_LOG_ERROR);
    others = { "vm-1", "vm-3" };
    lt_manual_clock_init (&clock, 1000000000);
    lt_settings_init (&settings);
    settings.vm_id = STR_LIT ("vm-2");
    settings.failure_domain = STR_LIT ("zone-a");
    settings.region = STR_LIT ("region-1");
    settings.key_hash_secret = STR_LIT ("hash-secret-0123456789");
    settings.leave_ms = 2000;
    node.loop = loop = ev_loop_new (EVFLAG_AUTO);
    node.clock = &clock.base;
    node.settings = &settings;
    node.dialect = &lt_dialect_default;
    node.metrics = lt_metrics_create ();
    lt_rng_init (&node.rng, 1);
    node.bus = lt_bus_create (&node);
    registry.base.vtable = &kRegistry;
    node.registry = &registry.base;
    peers.base.vtable = &kPeers;
    node.peers = &peers.base;
    node.directory = &kDirectory;
    source = lt_source_controller_create (&node);
    lt_node_add_controller (&node, source);
    source->vtable->start (source);
    service.name = STR_LIT ("desk");
    service.health_path = STR_LIT ("/health");
    service.connections = 10;
    split = { service.name, 1 };
    route.name = STR_LIT ("r");
    route.host = STR_LIT ("a.example");
    route.prefix = STR_LIT ("/r/");
    route.access = LT_ACCESS_OPEN;
    route.timeout_ms = 1000;
    route.latency_target_ms = 500;
    route.attempts_max = 2;
    route.splits = &split;
    route.split_count = 1;
    deployment.version = 7;
    deployment.routes = &route;
    deployment.route_count = 1;
    deployment.services = &service;
    deployment.service_count = 1;
  }

  ~SourceFixture () override
  {
    source->vtable->destroy (source);
    lt_bus_destroy (node.bus);
    lt_snapshot_ref_release (node.config);
    lt_metrics_destroy (node.metrics);
    ev_loop_destroy (loop);
  }

  // Fails all open calls and returns their number.
  size_t
  fail_calls ()
  {
    std::vector<Call> calls;
    calls.swap (registry.calls);
    for (const Call &call : calls)
      {
        lt_registry_result_t result = {};
        result.error = -LT_EUNAVAILABLE;
        call.done (call.user, &result);
      }
    return calls.size ();
  }

  // Completes the oldest call of KIND with RESULT.
  void
  complete_call (lt_registry_kind_t kind, const lt_registry_result_t &result)
  {
    for (size_t i = 0; i < registry.calls.size (); i++)
      {
        Call call = registry.calls[i];
        if (call.kind != kind)
          continue;
        registry.calls.erase (registry.calls.begin () + (ptrdiff_t)i);
        call.done (call.user, &result);
        return;
      }
    FAIL () << "no call of kind " << kind;
  }

  // Answers the oldest call of KIND.
  void
  respond (lt_registry_kind_t kind, int64_t version,
           const std::vector<lt_registry_record_t> &records,
           const char *encoded = "")
  {
    lt_registry_result_t result = {};
    result.version = version;
    result.records = records.data ();
    result.count = records.size ();
    result.encoded = str_from (encoded);
    result.clock_us = clock.now_us + registry_ahead_us;
    complete_call (kind, result);
  }

  // Responds to the oldest call of KIND, a watch, that its history is lost.
  void
  lose_history (lt_registry_kind_t kind)
  {
    lt_registry_result_t result = {};
    result.history_lost = true;
    complete_call (kind, result);
  }

  // The complete reads at the start, at version 100.
  void
  read_all ()
  {
    lt_registry_record_t config = {};
    config.name = STR_LIT ("config");
    config.version = 50;
    config.deployment = &deployment;
    config.encoded = STR_LIT ("version 7");
    respond (LT_REGISTRY_CONFIG, 100, { config });
    respond (LT_REGISTRY_UPSTREAMS, 100,
             { upstream_record ("u-1", 60), upstream_record ("u-2", 61) });
  }

  void
  pass (int64_t ms)
  {
    for (int64_t t = 0; t < ms; t += 100)
      {
        clock.now_us += 100 * MS;
        source->vtable->tick (source, clock.now_us);
      }
  }

  void
  receive (const char *from, uint16_t type, const lt_buf_t &payload)
  {
    lt_peer_message_t message = {};
    message.type = type;
    message.sender = str_from (from);
    message.incarnation = 1;
    message.payload = lt_buf_str (&payload);
    source->vtable->on_message (source, &message, clock.now_us);
  }

  void
  receive_report (const char *from, int64_t version, int64_t changed,
                  bool serving = true, int64_t config_age_us = 0,
                  int64_t config_version = 0)
  {
    lt_wire_registry_report_t report = {};
    report.sent_us = clock.now_us;
    report.serving = serving;
    report.outage_age_us = -1;
    report.config_version = config_version;
    report.parts[LT_REGISTRY_CONFIG]
        = { 100, 100, clock.now_us - config_age_us };
    report.parts[LT_REGISTRY_UPSTREAMS] = { version, changed, clock.now_us };
    lt_buf_t payload = {};
    lt_wire_registry_report_encode (&report, &payload);
    receive (from, LT_MESSAGE_REGISTRY_REPORT, payload);
    lt_buf_destroy (&payload);
  }

  void
  receive_records (const char *from, int64_t after, int64_t version,
                   const char *encoded)
  {
    lt_wire_registry_records_t records = {};
    records.kind = LT_REGISTRY_UPSTREAMS;
    records.after_version = after;
    records.version = version;
    records.outage_age_us = -1;
    records.records = str_from (encoded);
    lt_buf_t payload = {};
    lt_wire_registry_records_encode (&records, &payload);
    receive (from, LT_MESSAGE_REGISTRY_RECORDS, payload);
    lt_buf_destroy (&payload);
  }

  // Lets VM-1 report for MS milliseconds.
  void
  follow (int64_t ms, int64_t version = 100)
  {
    for (int64_t t = 0; t < ms; t += 300)
      {
        receive_report ("vm-1", version, version);
        pass (300);
      }
  }

  size_t
  sent_count (uint16_t type)
  {
    size_t count = 0;
    for (const Sent &sent : peers.sent)
      count += sent.type == type;
    return count;
  }

  // Decodes the first message sent, which must be a report.
  void
  first_report (lt_wire_registry_report_t *report)
  {
    ASSERT_FALSE (peers.sent.empty ());
    const std::string &payload = peers.sent[0].payload;
    ASSERT_EQ (0, lt_wire_registry_report_decode (
                      str_make (payload.data (), payload.size ()), report));
  }

  bool
  has_upstream (const char *name)
  {
    return node.config != nullptr
           && lt_snapshot_find_upstream (node.config->snapshot,
                                         str_from (name))
                  != LT_NO_INDEX;
  }

  struct ev_loop *loop;
  int64_t registry_ahead_us = 0; // The registry's clock, of the VM's.
  lt_manual_clock_t clock;
  lt_settings_t settings;
  lt_node_t node = {};
  FakeRegistry registry;
  FakePeers peers;
  lt_controller_t *source;
  lt_deployment_service_t service = {};
  lt_deployment_split_t split = {};
  lt_deployment_route_t route = {};
  lt_deployment_t deployment = {};
};

} // namespace

#endif
