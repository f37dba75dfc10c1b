#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/health_fleet.h"
#include "lt/policy/health_local.h"
#include "lt/policy/health_record.h"
#include "lt/policy/health_test.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <vector>

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr int64_t kStart = 1000 * kSecond;

struct Pool
{
  std::vector<lt_health_upstream_t> upstreams;
  lt_health_pool_t pool;

  Pool (uint32_t count, int32_t floor_percent, int32_t slots = 3)
  {
    for (uint32_t i = 0; i < count; i++)
      upstreams.push_back ({ slots, i % 6, false, false });
    pool = { upstreams.data (), count, floor_percent };
  }
};

struct View
{
  lt_ejection_view_t view{};
  ~View () { lt_ejection_view_clear (&view); }
};

struct Record
{
  lt_ejection_record_t record{};
  ~Record () { lt_ejection_record_clear (&record); }
};

const lt_health_evidence_t kEvidence
    = { LT_HEALTH_STREAM_FAILED, 30, 20, 1, 0.01, 10, 2 };

int
add (View &v, const Pool &p, uint32_t upstream, int64_t now)
{
  Record next;
  int error = lt_ejection_add (&v.view, &p.pool, upstream, &kEvidence, now, 0,
                               &next.record);
  if (error == 0)
    lt_ejection_view_apply (&v.view, &next.record, now);
  return error;
}

void
return_upstream (View &v, uint32_t upstream, int64_t now)
{
  Record next;
  ASSERT_EQ (0, lt_ejection_return (&v.view, upstream, 0, &next.record));
  ASSERT_EQ (0, lt_ejection_view_apply (&v.view, &next.record, now));
}

}

/* Guards against false alarms above the stated rate: with threshold h, the
   mean time between alarms of one test must be at least exp (h) / K steps.  */
TEST (HealthTest, FalseAlarmRateStaysBelowTheBound)
{
  constexpr double kThreshold = 7;
  constexpr int kSteps = 2000000;
  lt_rng_t rng;
  lt_rng_init (&rng, 11);
  lt_health_test_t test = {};
  int alarms = 0;
  for (int i = 0; i < kSteps; i++)
    {
      double bad = lt_rng_unit (&rng) < 0.01;
      lt_health_step_t step = { 0.01, 1, bad, 0, 0 };
      lt_health_test_add (&test, &step);
      bool alarm = false;
      for (uint32_t k = 0; k < LT_HEALTH_ALTERNATIVES; k++)
        {
          alarm |= test.score[k] >= kThreshold;
          if (test.score[k] <= 0)
            lt_health_test_clear (&test, k);
        }
      alarms += alarm;
      if (alarm)
        test = {};
    }
  double bound = kSteps * LT_HEALTH_ALTERNATIVES / std::exp (kThreshold);
  EXPECT_LT (alarms, bound) << "seed 11";
  EXPECT_GT (alarms, 0) << "without any alarm the bound is not tested";
}

/* Guards against evidence against one upstream from a fault that all share. */
TEST (HealthTest, FailuresOfPeersCancelTheScore)
{
  lt_health_test_t test = {};
  lt_health_step_t step = { 0.01, 20, 18, 200, 180 };
  lt_health_test_add (&test, &step);
  EXPECT_GT (test.score[3], 50);
  EXPECT_LT (lt_health_test_confirmed_score (&test, 3), 5);
  step = { 0.01, 20, 18, 200, 2 };
  test = {};
  lt_health_test_add (&test, &step);
  EXPECT_GT (lt_health_test_confirmed_score (&test, 3), 50);
}

/* Guards against a floor that is rounded down, or computed from the number of
   upstreams instead of their slots.  */
TEST (EjectionRecord, FloorIsCheckedBySlots)
{
  Pool p (4, 60);
  p.upstreams[0].slots = 10;
  View v;
  EXPECT_EQ (19, lt_health_pool_slots (&p.pool));
  EXPECT_EQ (12, lt_health_pool_floor (&p.pool));
  EXPECT_EQ (-LT_EUNAVAILABLE, add (v, p, 0, kStart));
  EXPECT_EQ (0, add (v, p, 1, kStart));
  EXPECT_EQ (-LT_EEXISTS, add (v, p, 1, kStart));
  EXPECT_EQ (0, add (v, p, 2, kStart));
  EXPECT_EQ (-LT_EUNAVAILABLE, add (v, p, 3, kStart));
  EXPECT_EQ (-LT_EINVAL, add (v, p, 4, kStart));
}

/* Guards against ejections and drains that together leave fewer slots than the
   floor.  */
TEST (EjectionRecord, DrainingUpstreamsCountAgainstTheFloor)
{
  Pool p (4, 50);
  p.upstreams[3].out_of_service = true;
  View v;
  EXPECT_EQ (0, add (v, p, 0, kStart));
  EXPECT_EQ (-LT_EUNAVAILABLE, add (v, p, 1, kStart));
}

/* Guards against ejecting another upstream with the slots of a returned one
   while some VM may still act on the record in which that one is ejected.  */
TEST (EjectionRecord, ReturnedSlotsCountAfterThePropagationBound)
{
  Pool p (4, 75);
  View v;
  ASSERT_EQ (0, add (v, p, 0, kStart));
  return_upstream (v, 0, kStart + kSecond);
  int64_t free_us = kStart + kSecond + LT_EJECTION_PROPAGATION_US;
  EXPECT_EQ (-LT_EUNAVAILABLE, add (v, p, 1, free_us - 1));
  EXPECT_EQ (0, add (v, p, 1, free_us));
}

/* Guards against a new aggregator that counts the propagation bound from the
   time of the write, which it cannot measure: it must wait the whole bound
   from when it first saw the entry.  */
TEST (EjectionRecord, PropagationBoundCountsFromWhenTheEntryWasFirstSeen)
{
  Pool p (4, 75);
  View first;
  ASSERT_EQ (0, add (first, p, 0, kStart));
  return_upstream (first, 0, kStart);
  View second;
  int64_t seen = kStart + 8 * kSecond;
  ASSERT_EQ (0,
             lt_ejection_view_apply (&second.view, &first.view.record, seen));
  EXPECT_EQ (-LT_EUNAVAILABLE, add (second, p, 1, seen + 9 * kSecond));
  EXPECT_EQ (0, add (second, p, 1, seen + LT_EJECTION_PROPAGATION_US));
}

/* Guards against a flapping upstream that is ejected for the same time again
   and again, and against entries and repeat counts that never decay.  */
TEST (EjectionRecord, EjectionTimeDoublesWithRepeatsAndDecays)
{
  Pool p (12, 50);
  View v;
  int64_t now = kStart;
  int64_t hold = LT_EJECTION_FIRST_US;
  for (int i = 0; i < 10; i++)
    {
      ASSERT_EQ (0, add (v, p, 0, now));
      EXPECT_EQ (hold, lt_ejection_find (&v.view, 0)->min_duration_us);
      hold = std::min<int64_t> (2 * hold, LT_EJECTION_MAX_US);
      now += LT_EJECTION_MAX_US;
      return_upstream (v, 0, now);
      now += 20 * kSecond;
    }
  uint32_t repeats = lt_ejection_find (&v.view, 0)->repeats;
  now += 2 * LT_EJECTION_DECAY_US;
  ASSERT_EQ (0, add (v, p, 0, now));
  EXPECT_EQ (repeats - 1, lt_ejection_find (&v.view, 0)->repeats);
  return_upstream (v, 0, now);
  now += 20 * LT_EJECTION_DECAY_US;
  ASSERT_EQ (0, add (v, p, 1, now));
  EXPECT_EQ (nullptr, lt_ejection_find (&v.view, 0));
}

/* Guards against a delayed copy of the record that overwrites a newer one.  */
TEST (EjectionRecord, OlderVersionsAreRefused)
{
  Pool p (4, 50);
  View v;
  Record old;
  ASSERT_EQ (0, add (v, p, 0, kStart));
  lt_ejection_record_copy (&old.record, &v.view.record);
  return_upstream (v, 0, kStart);
  EXPECT_EQ (-LT_ESTALE,
             lt_ejection_view_apply (&v.view, &old.record, kStart));
  EXPECT_FALSE (lt_ejection_is_ejected (&v.view, 0));
}

/* Checks the floor (I1) under random schedules: VMs with stale views propose
   at random, only the version decides which write succeeds, responses to
   writes are lost, and some upstreams are out of service.  The slots that no
   serving VM treats as ejected must never be fewer than the floor, or than all
   slots in service.  */
TEST (EjectionRecord, FloorHoldsUnderRandomSchedules)
{
  uint32_t written = 0;
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      lt_rng_t rng;
      lt_rng_init (&rng, seed);
      uint32_t count = 6 + lt_rng_below (&rng, 25);
      Pool p (count, 50 + 10 * (int32_t)lt_rng_below (&rng, 5));
      for (auto &u : p.upstreams)
        u.slots = 1 + (int32_t)lt_rng_below (&rng, 6);
      for (uint32_t i = 0; i < count / 8; i++)
        p.upstreams[lt_rng_below (&rng, count)].out_of_service = true;
      constexpr int kVms = 5;
      View views[kVms];
      int64_t fresh_us[kVms] = { kStart, kStart, kStart, kStart, kStart };
      Record table;
      int64_t now = kStart;
      for (int step = 0; step < 400; step++)
        {
          now += (int64_t)lt_rng_below (&rng, 2 * kSecond);
          int vm = (int)lt_rng_below (&rng, kVms);
          uint32_t u = (uint32_t)lt_rng_below (&rng, count);
          Record next;
          int error = 0;
          switch (lt_rng_below (&rng, 3))
            {
            case 0:
              lt_ejection_view_apply (&views[vm].view, &table.record, now);
              fresh_us[vm] = now;
              break;
            case 1:
              error = lt_ejection_add (&views[vm].view, &p.pool, u, &kEvidence,
                                       now, 0, &next.record);
              break;
            default:
              error = lt_ejection_return (&views[vm].view, u, 0, &next.record);
            }
          if (next.record.version == table.record.version + 1 && error == 0)
            {
              lt_ejection_record_copy (&table.record, &next.record);
              written++;
              if (lt_rng_below (&rng, 4) > 0)
                lt_ejection_view_apply (&views[vm].view, &next.record, now);
            }
          /* A VM that has not read the record for the propagation bound
             serves nothing.  */
          int64_t left = 0;
          for (uint32_t i = 0; i < count; i++)
            {
              bool gone = p.upstreams[i].out_of_service;
              for (int m = 0; m < kVms; m++)
                gone |= now - fresh_us[m] < LT_EJECTION_PROPAGATION_US
                        && lt_ejection_is_ejected (&views[m].view, i);
              left += gone ? 0 : p.upstreams[i].slots;
            }
          int64_t drained = 0;
          for (auto &x : p.upstreams)
            drained += x.out_of_service ? x.slots : 0;
          int64_t floor = lt_health_pool_floor (&p.pool);
          int64_t most = lt_health_pool_slots (&p.pool) - drained;
          ASSERT_GE (left, std::min (floor, most)) << "step " << step;
        }
    }
  EXPECT_GT (written, 1000U)
      << "too few writes for the check to mean anything";
}

namespace
{

/* The health state of one VM, and simulated traffic through it.  */
struct Vm
{
  Pool &p;
  lt_health_local_t *local;
  View view;
  lt_rng_t rng;
  int64_t now = kStart;

  Vm (Pool &pool, uint64_t seed) : p (pool)
  {
    lt_health_local_options_t options = LT_HEALTH_LOCAL_OPTIONS_DEFAULT;
    local = lt_health_local_create (&options, &p.pool);
    lt_rng_init (&rng, seed);
  }
  ~Vm () { lt_health_local_destroy (local); }

  /* Simulates SECONDS with ten updates a second and ten requests per update to
     random upstreams; requests to unusable ones are left out.  RESPOND returns
     the outcome of a request and may change its latency.  */
  using Respond
      = std::function<lt_health_outcome_t (uint32_t, int64_t *, lt_rng_t *)>;
  void
  run (int seconds, const Respond &respond, bool suspect = false)
  {
    for (int i = 0; i < seconds * 10; i++)
      {
        for (int r = 0; r < 10; r++)
          {
            uint32_t u = (uint32_t)lt_rng_below (&rng, p.pool.count);
            if (lt_health_state (local, u) != LT_HEALTH_USABLE)
              continue;
            int64_t latency = 30000 + (int64_t)lt_rng_below (&rng, 40000);
            lt_health_observation_t o = { u, LT_HEALTH_OK, suspect, latency };
            o.outcome = respond (u, &o.latency_us, &rng);
            lt_health_observe (local, &o, now);
          }
        now += kSecond / 10;
        lt_health_update (local, &view.view, now);
      }
  }
  uint32_t
  avoided () const
  {
    uint32_t n = 0;
    for (uint32_t u = 0; u < p.pool.count; u++)
      n += lt_health_state (local, u) == LT_HEALTH_AVOIDED;
    return n;
  }
};

struct LocalCase
{
  const char *guards;
  bool suspect;
  Vm::Respond respond;
  bool avoids_first;
  uint32_t avoided;
};

bool
one_in_100 (lt_rng_t *rng)
{
  return lt_rng_below (rng, 100) == 0;
}

}

TEST (HealthLocal, AvoidsFailingAndSlowUpstreams)
{
  const LocalCase cases[] = {
    { "a failure share of 1% is normal", false,
      [] (uint32_t, int64_t *, lt_rng_t *r) {
        return one_in_100 (r) ? LT_HEALTH_FAILED : LT_HEALTH_OK;
      },
      false, 0 },
    { "an upstream that always fails is avoided", false,
      [] (uint32_t u, int64_t *, lt_rng_t *) {
        return u == 0 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
      },
      true, 1 },
    { "an upstream that fails 20% of requests is avoided", false,
      [] (uint32_t u, int64_t *, lt_rng_t *r) {
        return u == 0 && lt_rng_below (r, 5) == 0 ? LT_HEALTH_TIMEOUT
                                                  : LT_HEALTH_OK;
      },
      true, 1 },
    { "an upstream slower than the others is avoided", false,
      [] (uint32_t u, int64_t *latency, lt_rng_t *) {
        *latency *= u == 0 ? 5 : 1;
        return LT_HEALTH_OK;
      },
      true, 1 },
    { "no upstream is avoided when all are slow", false,
      [] (uint32_t, int64_t *latency, lt_rng_t *) {
        *latency *= 20;
        return LT_HEALTH_OK;
      },
      false, 0 },
    { "shed responses are not counted", false,
      [] (uint32_t u, int64_t *, lt_rng_t *) {
        return u == 0 ? LT_HEALTH_SHED : LT_HEALTH_OK;
      },
      false, 0 },
    { "resets of quarantine suspects are not counted", true,
      [] (uint32_t u, int64_t *, lt_rng_t *) {
        return u == 0 ? LT_HEALTH_RESET : LT_HEALTH_OK;
      },
      false, 0 },
    { "no upstream is avoided when all fail", false,
      [] (uint32_t, int64_t *, lt_rng_t *r) {
        return lt_rng_below (r, 10) < 9 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
      },
      false, 0 },
    { "a failure domain that fails as a whole is avoided", false,
      [] (uint32_t u, int64_t *, lt_rng_t *) {
        return u % 6 == 0 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
      },
      true, 2 },
    { "avoidance stops at the floor", false,
      [] (uint32_t u, int64_t *, lt_rng_t *) {
        return u < 5 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
      },
      false, 3 },
  };
  for (const LocalCase &c : cases)
    {
      SCOPED_TRACE (c.guards);
      Pool p (12, 75);
      Vm vm (p, 5);
      vm.run (30,
              [] (uint32_t, int64_t *, lt_rng_t *) { return LT_HEALTH_OK; });
      ASSERT_EQ (0U, vm.avoided ());
      vm.run (60, c.respond, c.suspect);
      EXPECT_EQ (c.avoided, vm.avoided ());
      EXPECT_EQ (c.avoids_first,
                 lt_health_state (vm.local, 0) == LT_HEALTH_AVOIDED);
    }
}

/* Guards against avoiding a started process for its first slow or failed
   responses.  */
TEST (HealthLocal, ResponsesInAColdStartAreIgnored)
{
  Pool p (12, 50);
  Vm vm (p, 5);
  auto failing = [] (uint32_t u, int64_t *, lt_rng_t *) {
    return u == 0 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
  };
  vm.run (30, [] (uint32_t, int64_t *, lt_rng_t *) { return LT_HEALTH_OK; });
  lt_health_begin_cold_start (vm.local, 0, vm.now);
  vm.run (9, failing);
  EXPECT_EQ (0U, vm.avoided ());
  vm.run (20, failing);
  EXPECT_EQ (1U, vm.avoided ());
}

/* Guards against avoiding a restarted process for its first responses: after
   several refused connections, responses are ignored for the cold start.  */
TEST (HealthLocal, RestartBeginsAColdStart)
{
  Pool p (12, 50);
  Vm vm (p, 5);
  vm.run (30, [] (uint32_t, int64_t *, lt_rng_t *) { return LT_HEALTH_OK; });
  for (int i = 0; i < 3; i++)
    {
      lt_health_observation_t o = { 0, LT_HEALTH_REFUSED, false, 0 };
      lt_health_observe (vm.local, &o, vm.now);
    }
  vm.run (9, [] (uint32_t u, int64_t *, lt_rng_t *) {
    return u == 0 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
  });
  EXPECT_EQ (0U, vm.avoided ());
}

/* Guards against an avoidance that ends without successful probes, and against
   one that never ends.  */
TEST (HealthLocal, AvoidanceEndsAfterSuccessfulProbes)
{
  Pool p (12, 50);
  Vm vm (p, 5);
  auto ok = [] (uint32_t, int64_t *, lt_rng_t *) { return LT_HEALTH_OK; };
  vm.run (30, ok);
  vm.run (10, [] (uint32_t u, int64_t *, lt_rng_t *) {
    return u == 0 ? LT_HEALTH_REFUSED : LT_HEALTH_OK;
  });
  ASSERT_EQ (1U, vm.avoided ());
  vm.run (60, ok);
  ASSERT_EQ (1U, vm.avoided ());
  const bool results[] = { true, false, true, true };
  for (bool result : results)
    {
      ASSERT_EQ (1U, vm.avoided ());
      ASSERT_EQ (0U, lt_health_local_probe_due (vm.local, vm.now));
      EXPECT_EQ (UINT32_MAX, lt_health_local_probe_due (vm.local, vm.now));
      lt_health_local_report_probe (vm.local, 0, result, vm.now);
      vm.run (1, ok);
    }
  EXPECT_EQ (0U, vm.avoided ());
}

/* Guards against ejections and local avoidances that together go below the
   floor on one VM, here without the store, so that the record stays as last
   read.  */
TEST (HealthLocal, EjectionsAndAvoidancesShareTheFloor)
{
  Pool p (12, 75);
  Vm vm (p, 5);
  auto failing = [] (uint32_t u, int64_t *, lt_rng_t *) {
    return u < 4 ? LT_HEALTH_FAILED : LT_HEALTH_OK;
  };
  ASSERT_EQ (0, add (vm.view, p, 11, kStart));
  ASSERT_EQ (0, add (vm.view, p, 10, kStart));
  vm.run (60, failing);
  EXPECT_EQ (1U, vm.avoided ());
  EXPECT_EQ (LT_HEALTH_EJECTED, lt_health_state (vm.local, 11));
  ASSERT_EQ (0, add (vm.view, p, 9, vm.now));
  lt_health_update (vm.local, &vm.view.view, vm.now);
  EXPECT_EQ (0U, vm.avoided ());
  EXPECT_DOUBLE_EQ (0.75, lt_health_usable_share (vm.local));
  p.upstreams[8].out_of_service = true;
  lt_health_update (vm.local, &vm.view.view, vm.now);
  EXPECT_DOUBLE_EQ (0.75, lt_health_usable_share (vm.local));
  EXPECT_EQ (LT_HEALTH_OUT_OF_SERVICE, lt_health_state (vm.local, 8));
}

namespace
{

/* The aggregator with reporters in six failure domains.  */
struct Fleet
{
  Pool &p;
  lt_health_fleet_t *fleet;
  View view;
  lt_rng_t rng;
  int64_t now = kStart;
  int ejections = 0;
  int returns = 0;
  int refused = 0;

  Fleet (Pool &pool, uint64_t seed) : p (pool)
  {
    lt_health_fleet_options_t options = LT_HEALTH_FLEET_OPTIONS_DEFAULT;
    fleet = lt_health_fleet_create (&options, &p.pool);
    lt_rng_init (&rng, seed);
  }
  ~Fleet () { lt_health_fleet_destroy (fleet); }

  /* SHARE returns the share of requests from domain D to upstream U that fail;
     probes succeed when PROBE_OK.  */
  using Share = std::function<double (uint32_t d, uint32_t u)>;
  void
  run (int seconds, const Share &share, bool probe_ok, uint32_t vms = 3,
       uint32_t domains = 6)
  {
    for (int i = 0; i < seconds; i++)
      {
        for (uint32_t r = 0; r < domains * vms; r++)
          report (r % domains, share);
        now += kSecond;
        tick (probe_ok);
      }
  }
  void
  report (uint32_t d, const Share &share)
  {
    std::vector<lt_health_counts_t> counts;
    for (uint32_t u = 0; u < p.pool.count; u++)
      {
        if (lt_ejection_is_ejected (&view.view, u))
          continue;
        lt_health_counts_t c = {};
        c.upstream = u;
        c.requests = 2;
        for (int n = 0; n < 2; n++)
          if (lt_rng_unit (&rng) < share (d, u))
            c.failed++;
          else
            c.latency[16 + lt_rng_below (&rng, 3)]++;
        counts.push_back (c);
      }
    lt_health_fleet_add_counts (fleet, d, counts.data (),
                                (uint32_t)counts.size ());
  }
  void
  tick (bool probe_ok)
  {
    lt_health_action_t actions[64];
    uint32_t n = lt_health_fleet_tick (fleet, &view.view, now, actions, 64);
    for (uint32_t i = 0; i < n; i++)
      switch (actions[i].kind)
        {
        case LT_HEALTH_EJECT:
          if (add (view, p, actions[i].upstream, now) == 0)
            ejections++;
          else
            refused++;
          break;
        case LT_HEALTH_RETURN:
          return_upstream (view, actions[i].upstream, now);
          returns++;
          break;
        case LT_HEALTH_PROBE:
          lt_health_fleet_report_probe (fleet, actions[i].upstream, probe_ok,
                                        now);
          break;
        }
  }
};

struct FleetCase
{
  const char *guards;
  Fleet::Share share;
  int ejections;
  uint32_t domains;
};

}

TEST (HealthFleet, EjectsOnlyWithEnoughEvidence)
{
  const FleetCase cases[] = {
    { "a failure share of 1% is normal",
      [] (uint32_t, uint32_t) { return 0.01; }, 0, 6 },
    { "an upstream that fails for all reporters is ejected",
      [] (uint32_t, uint32_t u) { return u == 3 ? 0.3 : 0.01; }, 1, 6 },
    { "a failure seen by one domain is a path failure",
      [] (uint32_t d, uint32_t u) { return d == 0 && u == 3 ? 1 : 0.01; }, 0,
      6 },
    { "a failure seen by two of six domains is a path failure",
      [] (uint32_t d, uint32_t u) { return d < 2 && u == 3 ? 1 : 0.01; }, 0,
      6 },
    { "two reporting domains that cannot reach the others eject nothing",
      [] (uint32_t d, uint32_t u) { return d < 2 && u % 6 > 1 ? 1 : 0.01; }, 0,
      6 },
    { "a domain unreachable for two reporting domains is not ejected",
      [] (uint32_t d, uint32_t u) { return d < 2 && u % 6 == 4 ? 1 : 0.01; },
      0, 6 },
    { "one reporting domain is not enough",
      [] (uint32_t, uint32_t u) { return u == 3 ? 1 : 0.01; }, 0, 1 },
    { "no upstream is ejected when all fail",
      [] (uint32_t, uint32_t) { return 0.9; }, 0, 6 },
    { "a domain without support from another region is not ejected",
      [] (uint32_t, uint32_t u) { return u % 6 == 4 ? 1 : 0.01; }, 0, 6 },
    { "ejections stop at the floor",
      [] (uint32_t, uint32_t u) { return u < 5 ? 0.6 : 0.01; }, 3, 6 },
  };
  for (const FleetCase &c : cases)
    {
      SCOPED_TRACE (c.guards);
      Pool p (12, 75);
      Fleet f (p, 7);
      auto normal = [] (uint32_t, uint32_t) { return 0.01; };
      f.run (30, normal, false, 3, c.domains);
      ASSERT_EQ (0, f.ejections);
      f.run (60, c.share, false, 3, c.domains);
      EXPECT_EQ (c.ejections, f.ejections);
    }
}

/* Guards against the return of an upstream whose probes fail, and against a
   new ejection for evidence from before the return.  */
TEST (HealthFleet, UpstreamReturnsAfterSuccessfulProbes)
{
  Pool p (12, 75);
  Fleet f (p, 7);
  auto normal = [] (uint32_t, uint32_t) { return 0.01; };
  f.run (20, normal, false);
  f.run (
      10, [] (uint32_t, uint32_t u) { return u == 3 ? 1 : 0.01; }, false);
  ASSERT_EQ (1, f.ejections);
  f.run (60, normal, false);
  EXPECT_EQ (0, f.returns);
  f.run (10, normal, true);
  EXPECT_EQ (1, f.returns);
  f.run (60, normal, true);
  EXPECT_EQ (1, f.ejections);
}

/* Guards against malformed digests.  */
TEST (HealthFleet, InvalidCountsAreDropped)
{
  Pool p (2, 50);
  Fleet f (p, 1);
  lt_health_counts_t counts[2] = {};
  counts[0].upstream = 2;
  counts[1].requests = 1;
  counts[1].failed = 2;
  EXPECT_EQ (0U, lt_health_fleet_add_counts (f.fleet, 0, counts, 2));
  EXPECT_EQ (0U, lt_health_fleet_add_counts (f.fleet, LT_HEALTH_MAX_DOMAINS,
                                             counts, 2));
}
