// One VM of a failure domain reads the registry for the others.  Whatever
// happens to the VM that reads, every VM that runs and is reached by one with
// access to the registry must know its state within the time for leaving
// upstreams, at few calls.
#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/relay.h"

namespace
{

const int64_t MS = LT_US_PER_MS;
const int64_t S = LT_US_PER_S;
const int64_t LEAVE = 4000 * MS;

struct RelayVm
{
  std::string id;
  lt_relay_t *relay = nullptr;
  int64_t clock_offset = 0; // Of its own clock.
  int64_t knows_us = 0;     // As of when it knows the registry.
  int64_t call_due = 0;
  int64_t frozen_until = 0;
  bool started_call = false; // Has made its first call.
  bool cut_from_registry = false;
  bool silent = false; // Its messages do not arrive, one way.
  bool draining = false;
  bool failing = false;
  bool reading = false;
  uint64_t incarnation = 1;
  int calls = 0;
};

// A failure domain in virtual time.  A call takes 45 ms, a report 1 ms.
class Domain
{
public:
  Domain (size_t count, uint64_t seed) : vms (count)
  {
    lt_rng_init (&rng, seed);
    for (size_t i = 0; i < count; i++)
      {
        char id[16];
        snprintf (id, sizeof (id), "vm-%04d", (int)i);
        vms[i].id = id;
        vms[i].clock_offset = (int64_t)lt_rng_below (&rng, 1000 * S);
        start (vms[i]);
      }
  }
  ~Domain ()
  {
    for (RelayVm &vm : vms)
      lt_relay_destroy (vm.relay);
  }
  Domain (const Domain &) = delete;
  Domain &operator= (const Domain &) = delete;

  void
  start (RelayVm &vm)
  {
    lt_relay_options_t options = lt_relay_options_for (LEAVE);
    lt_relay_destroy (vm.relay);
    vm.relay
        = lt_relay_create (&options, str_from (vm.id.c_str ()), local (vm));
    vm.started_call = false;
    vm.call_due = now;
    vm.failing = vm.reading = false;
  }

  int64_t
  local (const RelayVm &vm) const
  {
    return now + vm.clock_offset;
  }

  void
  run (int64_t duration)
  {
    for (int64_t end = now + duration; now < end; now += 10 * MS)
      for (RelayVm &vm : vms)
        if (now >= vm.frozen_until)
          step (vm);
  }

  void
  report (RelayVm &from)
  {
    lt_relay_report_t report
        = { local (from), from.knows_us + from.clock_offset,
            !from.failing && !from.draining, from.incarnation };
    for (RelayVm &to : vms)
      {
        if (&to == &from || from.silent || now < to.frozen_until)
          continue;
        int64_t verified = lt_relay_on_report (
            to.relay, str_from (from.id.c_str ()), &report, local (to) + MS);
        if (verified != 0 && from.knows_us > to.knows_us)
          to.knows_us = from.knows_us;
        // Never newer than the truth, but for the time on the way.
        if (verified != 0)
          {
            EXPECT_LE (verified, from.knows_us + to.clock_offset + MS);
          }
      }
  }

  void
  step (RelayVm &vm)
  {
    if (now % (500 * MS) == 0)
      list_peers (vm);
    bool first = !vm.started_call;
    vm.reading = lt_relay_reads (vm.relay, local (vm));
    if ((!vm.reading && !first) || now < vm.call_due)
      return;
    vm.calls++;
    vm.started_call = true;
    if (vm.cut_from_registry)
      {
        bool was = vm.failing;
        vm.failing = true;
        lt_relay_on_failure (vm.relay);
        vm.call_due
            = now + (lt_relay_retries_fast (vm.relay) ? 500 : 3000) * MS;
        if (!was)
          report (vm);
        return;
      }
    vm.failing = false;
    vm.knows_us = now;
    lt_relay_on_response (vm.relay, local (vm), local (vm));
    vm.call_due = now + LEAVE / 3;
    if (vm.reading)
      report (vm);
  }

  void
  list_peers (RelayVm &vm)
  {
    std::vector<str_t> ids;
    for (const RelayVm &other : vms)
      if (&other != &vm)
        ids.push_back (str_from (other.id.c_str ()));
    lt_relay_set_peers (vm.relay, ids.data (), ids.size (), ids.size ());
  }

  int
  calls () const
  {
    int sum = 0;
    for (const RelayVm &vm : vms)
      sum += vm.calls;
    return sum;
  }

  int
  readers () const
  {
    int sum = 0;
    for (const RelayVm &vm : vms)
      sum += vm.reading;
    return sum;
  }

  // Largest age of what a VM knows that runs and is not cut off from all.
  int64_t
  oldest () const
  {
    int64_t age = 0;
    for (const RelayVm &vm : vms)
      if (now >= vm.frozen_until + S)
        age = std::max (age, now - vm.knows_us);
    return age;
  }

  int64_t now = 1000 * S;
  std::vector<RelayVm> vms;
  lt_rng_t rng;
};

} // namespace

TEST (Relay, OneVmReadsAndTheOthersKnow)
{
  for (size_t count : { 1, 2, 5, 50, 200 })
    {
      Domain domain (count, 1);
      domain.run (10 * S);
      EXPECT_EQ (1, domain.readers ()) << count;
      EXPECT_TRUE (domain.vms[0].reading);
      int before = domain.calls ();
      for (int i = 0; i < 100; i++)
        {
          domain.run (100 * MS);
          EXPECT_LE (domain.oldest (), lt_relay_options_for (LEAVE).fresh_us)
              << count;
        }
      EXPECT_LE (domain.calls () - before, 12) << count;
    }
}

// Calls of all VMs that start together: one complete read each, and no flood
// of watches after it.
TEST (Relay, StartOfAllMakesOneReadEach)
{
  Domain domain (50, 2);
  domain.run (6 * S);
  EXPECT_LE (domain.calls (), 50 + 10);
}

struct Fault
{
  const char *name;
  void (*apply) (Domain &domain, RelayVm &vm);
};

const Fault kFaults[] = {
  { "frozen",
    [] (Domain &d, RelayVm &vm) { vm.frozen_until = d.now + 8 * S; } },
  { "cut from the registry",
    [] (Domain &, RelayVm &vm) { vm.cut_from_registry = true; } },
  { "silent", [] (Domain &, RelayVm &vm) { vm.silent = true; } },
  { "draining",
    [] (Domain &d, RelayVm &vm) {
      vm.draining = true;
      d.report (vm);
    } },
  { "killed and started again",
    [] (Domain &d, RelayVm &vm) {
      vm.frozen_until = d.now + 300 * MS;
      vm.incarnation++;
      d.start (vm);
    } },
};

// The VM that reads fails in one way or another, also two after each other:
// the others replace it before their knowledge is older than the bound, less
// a second to read and apply what changed.
TEST (Relay, ReaderIsReplacedWithinTheBound)
{
  for (const Fault &fault : kFaults)
    for (const Fault &second : kFaults)
      for (uint64_t seed = 1; seed <= 10; seed++)
        {
          Domain domain (12, seed);
          domain.run (5 * S + (int64_t)lt_rng_below (&domain.rng, S));
          domain.now -= domain.now % (10 * MS);
          fault.apply (domain, domain.vms[0]);
          domain.run (3 * S);
          second.apply (domain, domain.vms[1]);
          for (int i = 0; i < 50; i++)
            {
              domain.run (100 * MS);
              EXPECT_LE (domain.oldest (), LEAVE - S)
                  << fault.name << ", " << second.name << " seed " << seed;
            }
          EXPECT_LE (domain.readers (), 4) << fault.name << second.name;
        }
}

// The registry refuses all VMs of the domain but one.
TEST (Relay, OneVmWithAccessServesAll)
{
  for (size_t served : { 1, 7, 49 })
    {
      Domain domain (50, served);
      domain.run (6 * S);
      for (size_t i = 0; i < 50; i++)
        domain.vms[i].cut_from_registry = i != served;
      domain.run (4 * S);
      for (int i = 0; i < 100; i++)
        {
          domain.run (100 * MS);
          EXPECT_LE (domain.oldest (), LEAVE - S) << served;
        }
      EXPECT_TRUE (domain.vms[served].reading);
      EXPECT_EQ (1, domain.readers ());
    }
}

// The registry is away for all: few VMs keep asking, and all know soon when it
// is back.
TEST (Relay, OutageMakesFewCalls)
{
  Domain domain (50, 3);
  domain.run (6 * S);
  for (RelayVm &vm : domain.vms)
    vm.cut_from_registry = true;
  domain.run (10 * S);
  int before = domain.calls ();
  domain.run (10 * S);
  EXPECT_LE (domain.calls () - before, 50 * 4 + 3 * 20);
  for (RelayVm &vm : domain.vms)
    vm.cut_from_registry = false;
  domain.run (S);
  EXPECT_LE (domain.oldest (), S);
  domain.run (5 * S);
  EXPECT_EQ (1, domain.readers ());
}

// A report that was held up on the way is as old as it was when it was sent,
// whatever the clocks of the two VMs say.
TEST (Relay, DelayedReportsCountAsOld)
{
  lt_relay_options_t options = lt_relay_options_for (LEAVE);
  lt_relay_t *relay = lt_relay_create (&options, STR_LIT ("b"), 0);
  lt_relay_report_t report = { 500 * S, 500 * S, true, 1 };
  EXPECT_EQ (10 * S,
             lt_relay_on_report (relay, STR_LIT ("a"), &report, 10 * S));
  report.sent_us = report.verified_us = 501 * S;
  EXPECT_EQ (11 * S,
             lt_relay_on_report (relay, STR_LIT ("a"), &report, 15 * S));
  // A restarted VM has another clock.
  report = { 3 * S, 2 * S, true, 2 };
  EXPECT_EQ (15 * S,
             lt_relay_on_report (relay, STR_LIT ("a"), &report, 16 * S));
  report.serving = false;
  EXPECT_EQ (0, lt_relay_on_report (relay, STR_LIT ("a"), &report, 17 * S));
  lt_relay_destroy (relay);
}

// The first response after a time without any tells that the registry had
// been away, also to a VM that did not call it meanwhile.
TEST (Relay, EndOfAnOutageIsNoticedWithoutOwnFailures)
{
  lt_relay_options_t options = lt_relay_options_for (LEAVE);
  lt_relay_t *relay = lt_relay_create (&options, STR_LIT ("b"), S);
  EXPECT_FALSE (lt_relay_on_response (relay, 2 * S, 2 * S));
  EXPECT_FALSE (lt_relay_on_response (relay, 4 * S, 4 * S));
  EXPECT_TRUE (lt_relay_on_response (relay, 9 * S, 9 * S));
  lt_relay_destroy (relay);
}
