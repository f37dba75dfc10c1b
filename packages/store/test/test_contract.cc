// Contract tests of the platform adapters: the same cases run against the
// in-memory adapter and against the HTTP adapters, which connect to a stand-in
// store on a loopback port.
#include <ev.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/store/memory.h"
#include "lt/store/store.h"
#include "lt/standin/store.h"

namespace
{

const int64_t LONG_MS = 20000;

str_t
view (const std::string &s)
{
  return str_make (s.data (), s.size ());
}

class Backend
{
public:
  Backend () : loop (ev_loop_new (EVFLAG_AUTO)) {}
  virtual ~Backend () { ev_loop_destroy (loop); }
  virtual void fault (lt_platform_call_t kind, lt_platform_fault_t f) = 0;
  struct ev_loop *loop;
  lt_platform_t platform = {};
};

class MemoryBackend : public Backend
{
public:
  MemoryBackend ()
  {
    lt_platform_memory_create (loop, lt_clock_system (), &platform);
  }
  ~MemoryBackend () override { lt_platform_destroy (&platform); }
  void
  fault (lt_platform_call_t kind, lt_platform_fault_t f) override
  {
    lt_platform_memory_set_fault (&platform, kind, f);
  }
};

class HttpBackend : public Backend
{
public:
  explicit HttpBackend (const std::string &secret = "open sesame")
  {
    lt_standin_store_options_t options = {};
    options.loop = loop;
    options.access_key = STR_LIT ("AKID");
    options.secret_key = STR_LIT ("open sesame");
    EXPECT_EQ (0, lt_standin_store_create (&options, &store));
    std::string url
        = "http://127.0.0.1:" + std::to_string (lt_standin_store_port (store));
    std::string bucket = url + "/bucket";
    url += "/";
    lt_platform_http_options_t http = LT_PLATFORM_HTTP_OPTIONS_DEFAULT;
    http.table_url = view (url);
    http.object_url = view (bucket);
    http.access_key = STR_LIT ("AKID");
    http.secret_key = view (secret);
    EXPECT_EQ (0, lt_platform_http_create (loop, &http, &platform));
  }
  ~HttpBackend () override
  {
    lt_platform_destroy (&platform);
    lt_standin_store_destroy (store);
  }
  void
  fault (lt_platform_call_t kind, lt_platform_fault_t f) override
  {
    lt_standin_store_set_fault (
        store, static_cast<lt_standin_call_t> (kind),
        { f.down, f.lose_response, f.delay_ms, f.count });
  }
  lt_standin_store_t *store = nullptr;
};

struct Item
{
  int64_t version;
  std::string value;
  bool
  operator== (const Item &o) const
  {
    return version == o.version && value == o.value;
  }
};

struct Result
{
  int calls = 0;
  lt_outcome_t outcome = LT_OUTCOME_UNKNOWN;
  int error = 0;
  size_t failed_op = 0;
  std::vector<Item> items;
  std::string body;
  std::vector<std::string> vms;
};

void
on_table (void *user, const lt_table_result_t *r)
{
  auto *out = static_cast<Result *> (user);
  out->calls++;
  out->outcome = r->outcome;
  out->error = r->error;
  out->failed_op = r->failed_op;
  for (size_t i = 0; i < r->count; i++)
    out->items.push_back (
        { r->items[i].version, std::string (r->items[i].value.data != nullptr
                                                ? r->items[i].value.data
                                                : "",
                                            r->items[i].value.len) });
}

void
on_object (void *user, const lt_object_result_t *r)
{
  auto *out = static_cast<Result *> (user);
  out->calls++;
  out->outcome = r->outcome;
  out->error = r->error;
  if (r->body.len > 0)
    out->body.assign (r->body.data, r->body.len);
}

void
on_vms (void *user, const lt_vm_list_result_t *r)
{
  auto *out = static_cast<Result *> (user);
  out->calls++;
  out->outcome = r->outcome;
  for (size_t i = 0; i < r->count; i++)
    out->vms.push_back (
        std::string (r->vms[i].id.data, r->vms[i].id.len) + " "
        + std::string (r->vms[i].peer_address.data, r->vms[i].peer_address.len)
        + (r->vms[i].leaving ? " leaving" : ""));
}

void
wait (Backend &b, const Result &r)
{
  while (r.calls == 0)
    ev_run (b.loop, EVRUN_ONCE);
}

struct Op
{
  lt_table_op_kind_t kind;
  std::string key;
  int64_t expected;
  int64_t next;
  std::string value;
};

Result
submit (Backend &b, const std::vector<Op> &ops, int64_t timeout_ms)
{
  std::vector<lt_table_op_t> raw;
  for (const auto &o : ops)
    raw.push_back (
        { o.kind, view (o.key), o.expected, o.next, view (o.value), 0 });
  Result r;
  EXPECT_EQ (0, b.platform.table->vtable->submit (b.platform.table,
                                                  raw.data (), raw.size (),
                                                  timeout_ms, on_table, &r));
  EXPECT_EQ (0, r.calls) << "completed inside submit";
  wait (b, r);
  return r;
}

Op
get (const std::string &key)
{
  return { LT_TABLE_GET, key, 0, 0, "" };
}

Op
put (const std::string &key, int64_t expected, const std::string &value,
     int64_t next = 0)
{
  return { LT_TABLE_PUT, key, expected, next, value };
}

Op
del (const std::string &key, int64_t expected)
{
  return { LT_TABLE_DELETE, key, expected, 0, "" };
}

struct Step
{
  std::vector<Op> ops;
  lt_outcome_t outcome;
  std::vector<Item> items;
  size_t failed_op = 0;
  lt_platform_fault_t fault = {};
  int64_t timeout_ms = LONG_MS;
  bool until = false; // Repeats the read until the items match.
};

struct Case
{
  const char *name; // Failure that the case guards against.
  std::vector<Step> steps;
};

const lt_outcome_t DONE = LT_OUTCOME_DONE;
const lt_outcome_t REFUSED = LT_OUTCOME_REFUSED;
const lt_outcome_t UNKNOWN = LT_OUTCOME_UNKNOWN;
const lt_platform_fault_t LOSE = { false, true, 0, 1 };
const lt_platform_fault_t DOWN = { true, false, 0, 1 };
const lt_platform_fault_t SLOW = { false, false, 150, 1 };

std::vector<Case>
cases ()
{
  std::string binary ("\0\xff\"\\\n", 5);
  return {
    { "absent items look present",
      { { { get ("a") }, DONE, { { 0, "" } } },
        { { get ("a"), get ("b") }, DONE, { { 0, "" }, { 0, "" } } } } },
    { "bytes are changed in transit",
      { { { put ("a", 0, binary) }, DONE, {} },
        { { put ("b", 0, "") }, DONE, {} },
        { { get ("b"), get ("a") }, DONE, { { 1, "" }, { 1, binary } } } } },
    { "an insert overwrites",
      { { { put ("a", 0, "x") }, DONE, {} },
        { { put ("a", 0, "y") }, REFUSED, {} },
        { { get ("a") }, DONE, { { 1, "x" } } } } },
    { "a stale version overwrites",
      { { { put ("a", 0, "x") }, DONE, {} },
        { { put ("a", 1, "y") }, DONE, {} },
        { { put ("a", 1, "z") }, REFUSED, {} },
        { { get ("a") }, DONE, { { 2, "y" } } } } },
    { "a unique version is not kept, or does not fence a second creation",
      { { { put ("a", 0, "x", 700) }, DONE, {} },
        { { del ("a", 700) }, DONE, {} },
        { { put ("a", 0, "y", 800) }, DONE, {} },
        { { del ("a", 700) }, REFUSED, {} },
        { { put ("a", 800, "z") }, DONE, {} },
        { { get ("a") }, DONE, { { 801, "z" } } } } },
    { "an unconditional put is refused",
      { { { put ("a", -1, "x", 5) }, DONE, {} },
        { { put ("a", -1, "y", 9) }, DONE, {} },
        { { get ("a") }, DONE, { { 9, "y" } } } } },
    { "an unconditional delete of an absent item fails",
      { { { del ("a", -1) }, DONE, {} }, { { del ("a", 3) }, REFUSED, {} } } },
    { "a transaction applies in part",
      { { { put ("a", 0, "x") }, DONE, {} },
        { { put ("b", 0, "y"), put ("a", 0, "z"), del ("c", 4) },
          REFUSED,
          {},
          1 },
        { { get ("a"), get ("b") }, DONE, { { 1, "x" }, { 0, "" } } },
        { { put ("b", 0, "y"), del ("a", 1) }, DONE, {} },
        { { get ("a"), get ("b") }, DONE, { { 0, "" }, { 1, "y" } } } } },
    { "a lost response is reported as done, or the write is lost with it",
      { { { put ("a", 0, "x") }, UNKNOWN, {}, 0, LOSE },
        { { get ("a") }, DONE, { { 1, "x" } } },
        { { put ("b", 0, "x"), del ("a", 1) }, UNKNOWN, {}, 0, LOSE },
        { { get ("a"), get ("b") }, DONE, { { 0, "" }, { 1, "x" } } } } },
    { "a read whose response is lost returns items",
      { { { put ("a", 0, "x") }, DONE, {} },
        { { get ("a") }, UNKNOWN, {}, 0, LOSE } } },
    { "an outage is reported as refused, or applies the write",
      { { { put ("a", 0, "x") }, UNKNOWN, {}, 0, DOWN },
        { { get ("a") }, UNKNOWN, {}, 0, DOWN },
        { { get ("a") }, DONE, { { 0, "" } } } } },
    { "a timeout is exceeded, or a write that completes late is lost",
      { { { put ("a", 0, "x") }, UNKNOWN, {}, 0, SLOW, 30 },
        { { get ("a") }, DONE, { { 1, "x" } }, 0, {}, LONG_MS, true } } },
    { "a slow call within its timeout fails",
      { { { put ("a", 0, "x") }, DONE, {}, 0, SLOW },
        { { get ("a") }, DONE, { { 1, "x" } }, 0, SLOW } } },
  };
}

void
run_case (Backend &b, const Case &c)
{
  for (size_t i = 0; i < c.steps.size (); i++)
    {
      const Step &s = c.steps[i];
      bool read = s.ops[0].kind == LT_TABLE_GET;
      b.fault (read ? LT_CALL_TABLE_READ : LT_CALL_TABLE_WRITE, s.fault);
      Result r = submit (b, s.ops, s.timeout_ms);
      while (s.until && !(r.items == s.items))
        r = submit (b, s.ops, s.timeout_ms);
      EXPECT_EQ (s.outcome, r.outcome) << c.name << " step " << i;
      EXPECT_TRUE (s.items == r.items) << c.name << " step " << i;
      EXPECT_EQ (s.failed_op, r.failed_op) << c.name << " step " << i;
      EXPECT_EQ (1, r.calls) << c.name << " step " << i;
    }
}

using Factory = std::function<std::unique_ptr<Backend> ()>;

class Contract : public testing::TestWithParam<int>
{
protected:
  std::unique_ptr<Backend>
  make ()
  {
    if (GetParam () == 0)
      return std::make_unique<MemoryBackend> ();
    return std::make_unique<HttpBackend> ();
  }
};

TEST_P (Contract, Table)
{
  for (const auto &c : cases ())
    {
      auto b = make ();
      run_case (*b, c);
    }
}

// Guards against submitting operations that the table service would reject.
// An invalid operation makes the service reject the whole list.
TEST_P (Contract, RejectsMalformedLists)
{
  auto b = make ();
  std::string large (300 * 1024 + 1, 'x');
  std::vector<std::vector<Op>> lists = { {},
                                         { get ("a"), put ("b", 0, "") },
                                         { get ("a"), get ("a") },
                                         { get ("") },
                                         { put ("\xff", 0, "") },
                                         { put ("a", -1, "") },
                                         { put ("a", -2, "") },
                                         { put ("a", 0, large) },
                                         std::vector<Op> (101, get ("a")) };
  for (size_t i = 0; i < lists.size (); i++)
    {
      std::vector<lt_table_op_t> raw;
      for (const auto &o : lists[i])
        raw.push_back (
            { o.kind, view (o.key), o.expected, o.next, view (o.value), 0 });
      Result r;
      EXPECT_EQ (-LT_EINVAL, b->platform.table->vtable->submit (
                                 b->platform.table, raw.data (), raw.size (),
                                 LONG_MS, on_table, &r))
          << i;
    }
}

// Guards against objects changed in storage, against a put with if_absent that
// replaces an object, and against an unknown outcome reported as another one.
TEST_P (Contract, Objects)
{
  auto b = make ();
  lt_object_store_t *store = b->platform.objects;
  std::string body ("a\0b\xff", 4);
  struct
  {
    bool put;
    const char *name;
    std::string body;
    bool if_absent;
    lt_platform_fault_t fault;
    int64_t timeout_ms;
    lt_outcome_t outcome;
    int error;
    std::string expected;
  } steps[] = {
    { false, "x/1", "", false, {}, LONG_MS, REFUSED, -LT_ENOTFOUND, "" },
    { true, "x/1", body, true, {}, LONG_MS, DONE, 0, "" },
    { false, "x/1", "", false, {}, LONG_MS, DONE, 0, body },
    { true, "x/1", "other", true, {}, LONG_MS, REFUSED, -LT_EEXISTS, "" },
    { false, "x/1", "", false, {}, LONG_MS, DONE, 0, body },
    { true, "x/1", "other", false, {}, LONG_MS, DONE, 0, "" },
    { false, "x/1", "", false, {}, LONG_MS, DONE, 0, "other" },
    { true, "x/2", "lost", true, LOSE, LONG_MS, UNKNOWN, -LT_EIO, "" },
    { false, "x/2", "", false, {}, LONG_MS, DONE, 0, "lost" },
    // The fault has no count, because libcurl resends a GET when its
    // connection was closed.
    { false,
      "x/2",
      "",
      false,
      { false, true, 0, 0 },
      LONG_MS,
      UNKNOWN,
      -LT_EIO,
      "" },
    { false, "x/2", "", false, SLOW, 30, UNKNOWN, -LT_ETIMEOUT, "" },
  };
  int i = 0;
  for (const auto &s : steps)
    {
      Result r;
      b->fault (s.put ? LT_CALL_OBJECT_PUT : LT_CALL_OBJECT_GET, s.fault);
      if (s.put)
        store->vtable->put (store, str_from (s.name), view (s.body),
                            s.if_absent, s.timeout_ms, on_object, &r);
      else
        store->vtable->get (store, str_from (s.name), s.timeout_ms, on_object,
                            &r);
      wait (*b, r);
      EXPECT_EQ (s.outcome, r.outcome) << i;
      EXPECT_EQ (s.error, r.error) << i;
      EXPECT_EQ (s.expected, r.body) << i;
      i++;
    }
}

// Guards against pending calls whose completion callback is not called, or is
// called twice, when the adapter is destroyed.
TEST_P (Contract, DestroyCompletesPendingCalls)
{
  auto b = make ();
  Result r;
  std::string key = "a";
  lt_table_op_t op = { LT_TABLE_GET, view (key), 0, 0, { nullptr, 0 }, 0 };
  b->fault (LT_CALL_TABLE_READ, { false, false, 1000, 1 });
  b->platform.table->vtable->submit (b->platform.table, &op, 1, LONG_MS,
                                     on_table, &r);
  ev_run (b->loop, EVRUN_NOWAIT);
  lt_platform_destroy (&b->platform);
  EXPECT_EQ (1, r.calls);
  EXPECT_EQ (UNKNOWN, r.outcome);
  EXPECT_EQ (-LT_ECANCELED, r.error);
}

std::string
adapter_name (const testing::TestParamInfo<int> &adapter)
{
  return adapter.param == 0 ? "Memory" : "Http";
}

INSTANTIATE_TEST_SUITE_P (Adapters, Contract, testing::Values (0, 1),
                          adapter_name);

// Guards against a list that omits VMs or their leaving flag.
TEST (VmList, BothAdapters)
{
  const std::vector<std::string> expected
      = { "vm1 127.0.0.2:70", "vm2 127.0.0.3:70 leaving" };
  MemoryBackend memory;
  lt_vm_entry_t vms[] = { { STR_LIT ("vm1"), STR_LIT ("127.0.0.2:70"),
                            STR_LIT ("r"), STR_LIT ("d"), false },
                          { STR_LIT ("vm2"), STR_LIT ("127.0.0.3:70"),
                            STR_LIT ("r"), STR_LIT ("d"), true } };
  lt_platform_memory_set_vms (&memory.platform, vms, 2);
  HttpBackend http;
  lt_standin_store_set_object (
      http.store, STR_LIT ("/bucket/platform/vms.json"),
      STR_LIT ("{\"vms\":[{\"id\":\"vm1\",\"peer_address\":\"127.0.0.2:70\","
               "\"region\":\"r\",\"failure_domain\":\"d\"},{\"id\":\"vm2\","
               "\"peer_address\":\"127.0.0.3:70\",\"region\":\"r\","
               "\"failure_domain\":\"d\",\"leaving\":true}]}"));
  for (Backend *b : { (Backend *)&memory, (Backend *)&http })
    {
      Result r;
      b->platform.vms->vtable->list (b->platform.vms, LONG_MS, on_vms, &r);
      wait (*b, r);
      EXPECT_EQ (DONE, r.outcome);
      EXPECT_EQ (expected, r.vms);
    }
}

// Guards against reporting a malformed list as an empty one.
TEST (VmList, DamagedListIsUnknown)
{
  for (const char *body : { "", "{}", "{\"vms\":[{\"id\":1}]}", "[" })
    {
      HttpBackend http;
      lt_standin_store_set_object (
          http.store, STR_LIT ("/bucket/platform/vms.json"), str_from (body));
      Result r;
      http.platform.vms->vtable->list (http.platform.vms, LONG_MS, on_vms, &r);
      wait (http, r);
      EXPECT_EQ (UNKNOWN, r.outcome) << body;
    }
}

// Guards against reporting that a write may have taken effect when no
// connection to the store could be made.
TEST (Http, ConnectionRefusedHasNoEffect)
{
  HttpBackend http;
  lt_standin_store_stop (http.store);
  Result r = submit (http, { put ("a", 0, "x") }, LONG_MS);
  EXPECT_EQ (UNKNOWN, r.outcome);
  EXPECT_EQ (-LT_EUNAVAILABLE, r.error);
  ASSERT_EQ (0, lt_standin_store_start (http.store));
  r = submit (http, { put ("a", 0, "x") }, LONG_MS);
  EXPECT_EQ (DONE, r.outcome);
}

// Guards against libcurl resending a conditional write: the copy would fail
// its condition, and the caller would attribute its own write to another
// writer.
TEST (Http, WriteIsNotRepeatedOnDeadConnection)
{
  HttpBackend http;
  EXPECT_EQ (DONE, submit (http, { get ("warm") }, LONG_MS).outcome);
  http.fault (LT_CALL_TABLE_WRITE, LOSE);
  Result r = submit (http, { put ("a", 0, "x") }, LONG_MS);
  EXPECT_EQ (UNKNOWN, r.outcome);
  EXPECT_EQ (
      1, lt_standin_store_counters (http.store, LT_STANDIN_TABLE_WRITE).calls);
}

// Guards against unsigned or wrongly signed requests being accepted.
TEST (Http, WrongSecretIsRejected)
{
  HttpBackend wrong ("other secret");
  EXPECT_EQ (UNKNOWN, submit (wrong, { get ("a") }, LONG_MS).outcome);
  EXPECT_EQ (1, lt_standin_store_unsigned (wrong.store));
  HttpBackend right;
  EXPECT_EQ (DONE, submit (right, { get ("a") }, LONG_MS).outcome);
  EXPECT_EQ (0, lt_standin_store_unsigned (right.store));
}

// Guards against an expired item that still blocks an insert.
TEST (Memory, ExpiredItemIsAbsent)
{
  lt_manual_clock_t clock;
  lt_manual_clock_init (&clock, 0);
  clock.wall_us = 1000 * LT_US_PER_S;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lt_platform_t platform = {};
  lt_platform_memory_create (loop, &clock.base, &platform);
  for (int64_t at : { 1000, 1009, 1010 })
    {
      clock.wall_us = at * LT_US_PER_S;
      std::string key = "a";
      lt_table_op_t op
          = { LT_TABLE_PUT, view (key), 0, 0, { nullptr, 0 }, 1010 };
      Result r;
      platform.table->vtable->submit (platform.table, &op, 1, LONG_MS,
                                      on_table, &r);
      while (r.calls == 0)
        ev_run (loop, EVRUN_ONCE);
      EXPECT_EQ (at == 1009 ? REFUSED : DONE, r.outcome) << at;
    }
  lt_platform_destroy (&platform);
  ev_loop_destroy (loop);
}

} // namespace
