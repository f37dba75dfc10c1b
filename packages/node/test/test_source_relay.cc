// The source controller with a registry, other VMs and a clock of the test:
// passing on changes within the failure domain.  Guards against upstreams that
// come back from old results, against gaps between versions, and against a
// call for each change from each VM.
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

class SourceRelay : public testing::Test
{
protected:
  SourceRelay ()
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

  ~SourceRelay () override
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

  // Answers the oldest call of KIND.
  void
  respond (lt_registry_kind_t kind, int64_t version,
           const std::vector<lt_registry_record_t> &records,
           const char *encoded = "")
  {
    for (size_t i = 0; i < registry.calls.size (); i++)
      {
        Call call = registry.calls[i];
        if (call.kind != kind)
          continue;
        registry.calls.erase (registry.calls.begin () + (ptrdiff_t)i);
        lt_registry_result_t result = {};
        result.version = version;
        result.records = records.data ();
        result.count = records.size ();
        result.encoded = str_from (encoded);
        result.clock_us = clock.now_us + registry_ahead_us;
        call.done (call.user, &result);
        return;
      }
    FAIL () << "no call of kind " << kind;
  }

  // The complete reads at the start, at version 100.
  void
  read_all ()
  {
    lt_registry_record_t config = {};
    config.name = STR_LIT ("config");
    config.version = 50;
    config.deployment = &deployment;
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
                  bool serving = true, int64_t config_age_us = 0)
  {
    lt_wire_registry_report_t report = {};
    report.sent_us = clock.now_us;
    report.serving = serving;
    report.outage_age_us = -1;
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

// A VM whose domain has a reader makes no calls, and applies what it gets.
TEST_F (SourceRelay, FollowerAppliesChangesWithoutCalls)
{
  read_all ();
  follow (5000);
  EXPECT_EQ (0u, registry.calls.size ());
  registry.encoded["new"] = upstream_record ("u-3", 105);
  registry.encoded["gone"] = upstream_record ("u-1", 106, true);
  receive_records ("vm-1", 100, 105, "new");
  EXPECT_TRUE (has_upstream ("u-3"));
  receive_records ("vm-1", 105, 106, "gone");
  EXPECT_FALSE (has_upstream ("u-1"));
  follow (5000, 106);
  EXPECT_EQ (0u, registry.calls.size ());
  EXPECT_EQ (0u, peers.sent.size ());
}

// Changes that were missed are read, once and without waiting.
TEST_F (SourceRelay, GapIsReadAtOnce)
{
  read_all ();
  follow (600);
  registry.encoded["late"] = upstream_record ("u-4", 120);
  receive_records ("vm-1", 110, 120, "late"); // 100 to 110 is missing.
  EXPECT_FALSE (has_upstream ("u-4"));
  receive_report ("vm-1", 120, 120);
  receive_report ("vm-1", 120, 120);
  pass (300);
  ASSERT_EQ (1u, registry.calls.size ());
  EXPECT_EQ (100, registry.calls[0].version);
  EXPECT_EQ (0, registry.calls[0].wait_ms);
  respond (
      LT_REGISTRY_UPSTREAMS, 121,
      { upstream_record ("u-1", 109, true), upstream_record ("u-4", 120) });
  EXPECT_TRUE (has_upstream ("u-4"));
  EXPECT_FALSE (has_upstream ("u-1"));
  follow (2000, 120);
  EXPECT_EQ (0u, registry.calls.size ());
}

// An own call that is answered late must not bring back an upstream whose
// removal another VM has passed on meanwhile.
TEST_F (SourceRelay, OldResultDoesNotBringBackAnUpstream)
{
  read_all ();
  follow (600);
  receive_report ("vm-1", 103, 103);
  pass (300);
  ASSERT_EQ (1u, registry.calls.size ());
  registry.encoded["gone"] = upstream_record ("u-1", 110, true);
  receive_records ("vm-1", 100, 110, "gone");
  EXPECT_FALSE (has_upstream ("u-1"));
  respond (LT_REGISTRY_UPSTREAMS, 103, { upstream_record ("u-1", 102) });
  EXPECT_FALSE (has_upstream ("u-1"));
  receive_records ("vm-1", 100, 104, "gone");
  receive_report ("vm-1", 104, 104);
  pass (500);
  EXPECT_EQ (0u, registry.calls.size ());
}

// When the reports end, the VM reads for itself within the time for leaving
// upstreams, and passes on what changed.
TEST_F (SourceRelay, ReadsWhenReportsEnd)
{
  read_all ();
  follow (3000);
  pass (settings.leave_ms / 2 + 300);
  ASSERT_EQ (2u, registry.calls.size ());
  peers.sent.clear ();
  respond (LT_REGISTRY_UPSTREAMS, 108, { upstream_record ("u-5", 107) },
           "five");
  ASSERT_EQ (4u, peers.sent.size ()); // Records and a report to each VM.
  lt_wire_registry_records_t records;
  ASSERT_EQ (LT_MESSAGE_REGISTRY_RECORDS, peers.sent[0].type);
  ASSERT_EQ (0, lt_wire_registry_records_decode (
                    str_make (peers.sent[0].payload.data (),
                              peers.sent[0].payload.size ()),
                    &records));
  EXPECT_EQ (100, records.after_version);
  EXPECT_EQ (108, records.version);
  EXPECT_TRUE (str_equal (STR_LIT ("five"), records.records));
}

// A VM that is cut off from the registry knows from others that it lacks
// changes.  It must read them soon after the cut has ended, however many VMs
// are to notice an outage before it.  (It served an old configuration for
// 4.2 s: large trouble-1, rule CONFIG.)
TEST_F (SourceRelay, MissedChangesAreReadSoonAfterFailures)
{
  others = { "vm-1", "vm-10", "vm-11", "vm-12", "vm-13" };
  read_all ();
  follow (2000);
  receive_report ("vm-1", 110, 110);
  int calls = 0;
  for (int i = 0; i < 100; i++)
    {
      pass (100);
      calls += (int)fail_calls ();
      receive_report ("vm-1", 110, 110);
    }
  EXPECT_GE (calls, 10); // At most 1.05 s between two.
  for (int i = 0; i < 11 && registry.calls.empty (); i++)
    pass (100);
  EXPECT_EQ (1u, registry.calls.size ());
}

// A VM that could not reach the registry while others did takes over as reader
// later.  Its failures were no outage of the registry, so upstreams that left
// meanwhile are gone at once, however many; they were used for 2.2 s more.
TEST_F (SourceRelay, OwnFailuresAreNoOutage)
{
  read_all ();
  pass (settings.leave_ms);
  ASSERT_EQ (2u, fail_calls ());
  follow (5000);
  fail_calls ();
  pass (settings.leave_ms);
  respond (LT_REGISTRY_CONFIG, 100, {});
  respond (LT_REGISTRY_UPSTREAMS, 120,
           { upstream_record ("u-1", 118, true),
             upstream_record ("u-2", 119, true) });
  EXPECT_FALSE (has_upstream ("u-1"));
  EXPECT_FALSE (has_upstream ("u-2"));
}

// The response to a call may never come.  Whatever a VM knows of others when
// it begins, the call ends so early that the VM is up to date 3 s after an
// outage; a VM that knew no others waited for 32 s.
TEST_F (SourceRelay, NoCallOutlivesAnOutageForLong)
{
  const int64_t kUpToDateMs = 3000;
  const int64_t kRetryMs = 150 + 100; // The first pause, and a tick.
  for (const Call &call : registry.calls)
    EXPECT_LE (call.timeout_ms + kRetryMs, kUpToDateMs) << "read";
  read_all ();
  for (int64_t leave_ms : { 1500, 2500, 3000 })
    for (size_t vms : { 0u, 1u, 3u })
      {
        settings.leave_ms = leave_ms;
        others.resize (vms, "vm-1");
        for (int i = 0; i < 100; i++)
          {
            pass (300);
            for (const Call &call : registry.calls)
              EXPECT_LE (call.timeout_ms + kRetryMs, kUpToDateMs)
                  << leave_ms << " " << vms;
            if (i % 3 == 0)
              fail_calls ();
            for (size_t left = registry.calls.size (); left > 0; left--)
              respond (registry.calls[0].kind, 100, {});
          }
      }
}

// The registry was away for every VM and entries lapsed: they are kept for a
// while.
TEST_F (SourceRelay, EntriesThatLapsedInAnOutageAreKept)
{
  read_all ();
  pass (settings.leave_ms);
  for (int i = 0; i < 40; i++)
    {
      fail_calls ();
      pass (100);
    }
  pass (2000);
  respond (LT_REGISTRY_CONFIG, 100, {});
  pass (100);
  respond (LT_REGISTRY_UPSTREAMS, 120,
           { upstream_record ("u-1", 118, true),
             upstream_record ("u-2", 119, true) });
  EXPECT_TRUE (has_upstream ("u-1"));
  EXPECT_TRUE (has_upstream ("u-2"));
  pass (3000);
  EXPECT_FALSE (has_upstream ("u-1"));
}

// A watch that hangs looks like one without changes.  A reader whose watch of
// the configuration hangs must not count as fresh because its watch of the
// upstreams is answered.  (All VMs of a domain kept an old configuration for
// 3.4 s after a silent outage: hinokuni trouble-3, seed 419801859570, rule
// CONFIG.)
TEST_F (SourceRelay, ReaderWithAHangingWatchIsReplaced)
{
  read_all ();
  follow (3000);
  for (int age = 0; age <= settings.leave_ms; age += 300)
    {
      receive_report ("vm-1", 100, 100, true, age * MS);
      pass (300);
    }
  EXPECT_EQ (2u, registry.calls.size ());
}

// The other side: the reports of a VM whose watch of the configuration hangs
// say how old that part is.
TEST_F (SourceRelay, ReportsNameTheAgeOfEachPart)
{
  read_all ();
  pass (settings.leave_ms);
  int64_t began_us = clock.now_us;
  for (int i = 0; i < 5; i++)
    {
      EXPECT_LE (registry.calls.back ().wait_ms, settings.leave_ms / 3);
      peers.sent.clear ();
      respond (LT_REGISTRY_UPSTREAMS, 100, {});
      pass (300);
    }
  lt_wire_registry_report_t report = {};
  ASSERT_NO_FATAL_FAILURE (first_report (&report));
  EXPECT_LT (report.parts[LT_REGISTRY_CONFIG].verified_us, began_us);
  EXPECT_GT (report.parts[LT_REGISTRY_UPSTREAMS].verified_us, began_us);
}

// Guards against VMs that rely on a response which was held up, as if it had
// shown the state of the registry when it arrived.
TEST_F (SourceRelay, ReportsDateALateResponseByTheRegistry)
{
  read_all ();
  pass (settings.leave_ms);
  respond (LT_REGISTRY_UPSTREAMS, 100, {});
  pass (300);
  peers.sent.clear ();
  registry_ahead_us = -1500 * MS;
  respond (LT_REGISTRY_UPSTREAMS, 100, {});
  lt_wire_registry_report_t report = {};
  ASSERT_NO_FATAL_FAILURE (first_report (&report));
  EXPECT_LE (report.parts[LT_REGISTRY_UPSTREAMS].verified_us,
             report.sent_us - 300 * MS);
}

// A VM that drains, or whose calls fail, says so at its next report.
TEST_F (SourceRelay, ReaderThatDrainsDoesNotServe)
{
  read_all ();
  pass (settings.leave_ms);
  node.draining = true;
  peers.sent.clear ();
  respond (LT_REGISTRY_UPSTREAMS, 100, {});
  lt_wire_registry_report_t report = {};
  ASSERT_NO_FATAL_FAILURE (first_report (&report));
  EXPECT_FALSE (report.serving);
}

// Malformed messages change nothing.
TEST_F (SourceRelay, MalformedMessagesAreIgnored)
{
  read_all ();
  follow (600);
  lt_buf_t payload = {};
  lt_buf_append (&payload, "\x95\x01\xff", 3);
  for (uint16_t type :
       { LT_MESSAGE_REGISTRY_REPORT, LT_MESSAGE_REGISTRY_RECORDS })
    for (size_t len = 0; len <= 3; len++)
      {
        payload.len = len;
        receive ("vm-1", type, payload);
      }
  lt_buf_destroy (&payload);
  receive_records ("vm-1", 100, 105, "not an encoding");
  EXPECT_TRUE (has_upstream ("u-1"));
  receive_report ("vm-1", 105, 105);
  pass (300);
  EXPECT_EQ (1u, registry.calls.size ());
}

// Guards against slots of a named rate that coincide, because a VM that leaves
// reading to another one does not notice that its clock drifts.
TEST_F (SourceRelay, FollowersReadTheClockNowAndThen)
{
  const int64_t step_ms = 3000;
  const int64_t drift_ppm = 100;
  read_all ();
  follow (step_ms);
  size_t calls = 0;
  for (int64_t t = 0; t < 3600 * 1000; t += step_ms)
    {
      registry_ahead_us += step_ms * MS * drift_ppm / 1000000;
      follow (step_ms);
      for (; !registry.calls.empty (); calls++)
        respond (registry.calls[0].kind, 100, {});
      ASSERT_LE (registry_ahead_us - node.registry_clock.offset_us, 100 * MS);
    }
  EXPECT_GE (calls, 4u);
  EXPECT_LE (calls, 14u);
}
