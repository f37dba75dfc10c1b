// Guards invariant I5: over all VMs together no workspace is admitted more
// than rate * W + burst in any window W, whatever fails.
#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "limit_world.h"
#include "lt/base/clock.h"

namespace
{

// One token bucket fed with every admission of the fleet: its level stays at
// or above zero exactly if no window exceeds rate * W + burst.
struct Reference
{
  int64_t level, at_us, admitted, refused;
};

struct Judge
{
  Reference of[WORLD_SPACES];
  int64_t violations;
  int64_t worst;
};

void
on_admitted (world_t *w, int, int space, int64_t)
{
  auto *judge = static_cast<Judge *> (w->user);
  Reference &r = judge->of[space];
  const lt_limit_rate_t &rate = w->rates[space];
  int64_t burst = rate.burst * LT_LIMIT_TOKEN;
  __int128 level
      = r.level + (__int128)(w->now_us - r.at_us) * rate.rate_milli_per_s;
  r.level = level < burst ? (int64_t)level : burst;
  r.at_us = w->now_us;
  r.level -= LT_LIMIT_TOKEN;
  r.admitted++;
  if (r.level >= 0)
    return;
  judge->violations++;
  judge->worst = std::min (judge->worst, r.level);
}

void
on_refused (world_t *w, int, int space)
{
  static_cast<Judge *> (w->user)->of[space].refused++;
}

struct World
{
  world_t w;
  Judge judge = {};

  World (uint64_t seed, int vms, std::vector<lt_limit_rate_t> rates,
         lt_limit_times_t times)
  {
    world_init (&w, seed);
    w.user = &judge;
    w.admitted = on_admitted;
    w.refused = on_refused;
    w.times = times;
    w.vm_count = vms;
    w.space_count = (int)rates.size ();
    for (int i = 0; i < w.space_count; i++)
      {
        w.rates[i] = rates[i];
        judge.of[i].level = rates[i].burst * LT_LIMIT_TOKEN;
      }
    for (int i = 0; i < vms; i++)
      {
        w.vms[i].region = i % WORLD_REGIONS;
        w.vms[i].offset_us = 3600 * LT_US_PER_S * (i + 1);
        world_start (&w, i, false);
      }
  }
  ~World () { world_destroy (&w); }

  void
  home (int space, int vm)
  {
    int lenders[] = { 0, 1, 2 };
    for (int i = 0; i < w.vm_count; i++)
      {
        lenders[0] = i % 3;
        lenders[1] = (i + 1) % 3;
        lenders[2] = (i + 2) % 3;
        world_set_view (&w, i, space, vm, lenders, 3);
      }
  }

  // Offers PER_S requests a second per VM for SECONDS, all of them to VM HOT
  // unless that is -1.
  void
  load (double seconds, double per_s, int hot = -1)
  {
    int64_t end = w.now_us + (int64_t)(seconds * 1e6);
    while (w.now_us < end)
      {
        world_run (&w, w.now_us
                           + (int64_t)lt_rng_exponential (
                               &w.rng, 1e6 / (per_s * w.vm_count)));
        int vm = (int)lt_rng_below (&w.rng, (uint64_t)w.vm_count);
        if (hot >= 0)
          vm = hot;
        if (w.vms[vm].alive && w.vms[vm].paused_until_us <= w.now_us)
          world_arrive (&w, vm,
                        (int)lt_rng_below (&w.rng, (uint64_t)w.space_count));
      }
  }

  int64_t
  admitted ()
  {
    int64_t sum = 0;
    for (int i = 0; i < w.space_count; i++)
      sum += judge.of[i].admitted;
    return sum;
  }
};

const lt_limit_times_t SHORT
    = { 40 * LT_US_PER_S, 3 * LT_US_PER_S, 1 * LT_US_PER_S };

// One random fault at a random place.
void
random_fault (World &world)
{
  world_t *w = &world.w;
  int vm = (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count);
  int space = (int)lt_rng_below (&w->rng, (uint64_t)w->space_count);
  int region = (int)lt_rng_below (&w->rng, WORLD_REGIONS);
  auto any
      = [w] { return (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count); };
  switch (lt_rng_below (&w->rng, 10))
    {
    case 0:
    case 1: // Crash, then newer incarnation or a new id.
      if (w->vms[vm].alive)
        world_stop (w, vm);
      else
        world_start (w, vm, lt_rng_below (&w->rng, 2) == 0);
      break;
    case 2: // Pause, also past lease and validity.
      w->vms[vm].paused_until_us
          = w->now_us
            + (int64_t)lt_rng_below (
                &w->rng, lt_rng_below (&w->rng, 4) == 0 ? 60000000 : 8000000);
      break;
    case 3:
      w->store_up = lt_rng_below (&w->rng, 3) > 0;
      break;
    case 4:
    case 5: // Each VM picks its own home; two may believe they are.
      for (int i = 0; i < w->vm_count; i++)
        {
          int lenders[] = { any (), any () - 1 };
          world_set_view (w, i, space, any () % 2 == 0 ? vm : any (), lenders,
                          2);
        }
      break;
    case 6:
      world.home (space, vm);
      break;
    case 7:
      for (int i = 0; i < WORLD_REGIONS; i++)
        w->cut[region][i] = w->cut[i][region]
            = i != region && lt_rng_below (&w->rng, 2) == 0;
      break;
    case 8:
      w->loss = lt_rng_unit (&w->rng) * 0.3;
      w->repeat = lt_rng_unit (&w->rng) * 0.3;
      w->late = lt_rng_unit (&w->rng) * 0.3;
      w->late_us = 1 + (int64_t)lt_rng_below (&w->rng, 50000000);
      break;
    default:
      w->lost_response = lt_rng_unit (&w->rng) * 0.3;
      w->late_write = lt_rng_unit (&w->rng) * 0.3;
    }
}

// Guards I5 against any mixture of crashes, pauses, restarts, replacements,
// lost, repeated and late messages, store outages, lost responses, late
// writes, divided opinions about the home, partitions and drifting clocks.
TEST (Limit, NeverExceedsRateAndBurstOnRandomSchedules)
{
  const char *first = getenv ("LT_LIMIT_SEED");
  const char *runs = getenv ("LT_LIMIT_RUNS");
  uint64_t seed = first != nullptr ? strtoull (first, nullptr, 10) : 1;
  uint64_t end = seed + (runs != nullptr ? strtoull (runs, nullptr, 10) : 60);
  int64_t admitted = 0;
  for (; seed < end; seed++)
    {
      World world (seed, 6,
                   { { 0, 40000, 30 },
                     { 1, 5000, 3 },
                     { 2, 300000, 600 },
                     { 3, 2000, 300 } },
                   SHORT);
      world_t *w = &world.w;
      for (int i = 0; i < w->vm_count; i++)
        w->vms[i].drift = (lt_rng_unit (&w->rng) - 0.5) * 0.001;
      for (int i = 0; i < w->space_count; i++)
        world.home (i, i);
      bool faults = seed % 4 != 0;
      for (int step = 0; step < 120; step++)
        {
          static const double loads[] = { 0, 5, 40, 200 };
          // Load moves between VMs, so that parts and tokens move too.
          int hot = (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count);
          world.load (2, 0.1 + loads[lt_rng_below (&w->rng, 4)],
                      lt_rng_below (&w->rng, 2) == 0 ? hot : -1);
          if (faults && lt_rng_below (&w->rng, 2) == 0)
            random_fault (world);
        }
      admitted += world.admitted ();
      ASSERT_EQ (0, world.judge.violations)
          << "seed " << seed << " worst level "
          << (double)world.judge.worst / LT_LIMIT_TOKEN;
    }
  RecordProperty ("admitted", std::to_string (admitted));
  // The check means nothing when little is admitted.
  EXPECT_GT (admitted, (int64_t)(1000 * (end - seed)));
  printf ("admitted %lld over seeds up to %llu\n", (long long)admitted,
          (unsigned long long)(end - 1));
}

}
