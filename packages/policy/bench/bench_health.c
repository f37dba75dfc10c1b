/** @file
    Simulates the time to detection and the false ejections of the health
    policy, and of a reference policy in which each VM avoids an upstream after
    5 failures in a row.

    usage: bench_health SITE SCENARIO FIRST-SEED SEEDS SECONDS

    SITE is kovacic-quotes, kovacic-orders, regnly-kiosk, regnly-ledger or
    target; SCENARIO is fail-PERCENT, slow-FACTOR, healthy, cut-domain,
    cut-region, dead-domain or all-bad.  Prints one line per policy; times are
    in seconds from the onset of the fault.  */
#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/balance.h"
#include "lt/policy/health_fleet.h"
#include "lt/policy/health_local.h"
#include "lt/policy/health_record.h"

#include "sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US 10000LL
#define UPDATE_US 100000LL
/* Interval between digests with failures.  A VM sends at most 10 digests a
   second, so at the target size, with 75 services in use, a digest without
   failures is sent every 7.5 s.  */
#define EARLY_US 250000LL
#define SECOND_US 1000000LL
/* Time without a fault at the start.  */
#define ONSET_US (60 * SECOND_US)
/* Duration of a write of the ejection record.  */
#define WRITE_US 30000LL
#define REGION_RTT_US 20000
/* Service times are log-normal with this median and sigma.  */
#define SERVICE_US 50000.0
#define SIGMA 0.5
/* Share of failures without a fault.  */
#define NOISE 0.01
#define TIMEOUT_US 1000000LL
#define START_US (1000 * SECOND_US)
#define REFERENCE_FAILURES 5
#define REFERENCE_AVOID_US (30 * SECOND_US)

typedef struct site
{
  const char *name;
  uint32_t vms;
  uint32_t upstreams;
  int32_t slots;
  uint32_t domains;
  double rate; /**< Requests per second and upstream. */
  int64_t domain_rtt_us;
  int64_t report_us; /**< Interval between digests without failures. */
} site_t;

static const site_t sites[]
    = { { "kovacic-quotes", 40, 30, 3, 6, 36, 500, EARLY_US },
        { "kovacic-orders", 40, 12, 3, 6, 36, 500, EARLY_US },
        { "regnly-kiosk", 40, 24, 6, 6, 72, 1500, EARLY_US },
        { "regnly-ledger", 40, 12, 6, 6, 72, 1500, EARLY_US },
        { "target", 2000, 22, 4, 10, 5, 1000, 7500000 } };

typedef struct scenario
{
  double fail; /**< Additional failure share of upstream 0. */
  double slow; /**< Latency factor of upstream 0. */
  /** Domain 1 is unreachable from the VMs of domain 0 (1) or region 0 (2).  */
  int cut;
  bool dead;  /**< All upstreams of domain 0 fail. */
  double all; /**< Additional failure share of all upstreams. */
} scenario_t;

typedef struct response
{
  int64_t at_us;
  uint32_t vm;
  uint32_t upstream;
  lt_health_outcome_t outcome;
  int64_t latency_us;
} response_t;

typedef struct vm
{
  uint32_t domain;
  lt_health_upstream_t *upstreams;
  lt_health_pool_t pool;
  lt_balance_pool_t *balance;
  lt_health_local_t *local;
  int64_t reported_us;
  /** Failures in a row, for the reference policy.  The health policy keeps the
      states before an update here.  */
  uint32_t *failures_in_row;
  /** End of the avoidance, for the reference policy.  */
  int64_t *avoided_until_us;
} vm_t;

typedef struct sim
{
  const site_t *site;
  scenario_t scenario;
  bool reference; /**< Runs the reference policy. */
  lt_rng_t rng;
  int64_t now_us;
  int64_t onset_us;
  vm_t *vms;
  double *speed; /**< Latency factor of each upstream. */
  lt_health_fleet_t *fleet;
  lt_ejection_view_t view;
  lt_ejection_record_t written;
  int64_t written_us;
  response_t *heap;
  size_t heap_count;
  size_t heap_cap;
  uint64_t requests;
  uint64_t harmed;        /**< Requests that the fault made bad. */
  uint64_t ejections;     /**< Written to the record. */
  uint64_t wrong;         /**< Ejections of healthy upstreams. */
  uint64_t avoided;       /**< Local avoidances, under either policy. */
  uint64_t avoided_wrong; /**< Avoidances of healthy upstreams. */
  uint64_t avoided_slow;  /**< Avoidances for slowness. */
  double first_s;         /**< First correct avoidance on some VM. */
  double fleet_s;         /**< First correct ejection. */
  /** When 90% of the region's VMs have stopped using upstream 0.  */
  double most_s;
} sim_t;

static uint32_t
region_of (const site_t *site, uint32_t domain)
{
  return domain * 3 / site->domains;
}

static void
heap_push (sim_t *sim, response_t response)
{
  if (sim->heap_count == sim->heap_cap)
    {
      sim->heap_cap = sim->heap_cap * 2 + 1024;
      sim->heap = lt_realloc (sim->heap, sim->heap_cap * sizeof *sim->heap);
    }
  size_t i = sim->heap_count++;
  while (i > 0 && sim->heap[(i - 1) / 2].at_us > response.at_us)
    {
      sim->heap[i] = sim->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  sim->heap[i] = response;
}

static response_t
heap_pop (sim_t *sim)
{
  response_t top = sim->heap[0];
  response_t last = sim->heap[--sim->heap_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= sim->heap_count)
        break;
      if (child + 1 < sim->heap_count
          && sim->heap[child + 1].at_us < sim->heap[child].at_us)
        child++;
      if (sim->heap[child].at_us >= last.at_us)
        break;
      sim->heap[i] = sim->heap[child];
      i = child;
    }
  sim->heap[i] = last;
  return top;
}

static void
create_vm (sim_t *sim, uint32_t index)
{
  const site_t *site = sim->site;
  vm_t *vm = &sim->vms[index];
  char names[4][64];
  uint32_t count = site->upstreams;
  lt_balance_upstream_t *list = lt_alloc (count * sizeof *list);
  char (*texts)[3][24] = lt_alloc (count * sizeof *texts);
  vm->domain = index % site->domains;
  vm->upstreams = lt_alloc (count * sizeof *vm->upstreams);
  vm->failures_in_row = lt_alloc (count * sizeof *vm->failures_in_row);
  vm->avoided_until_us = lt_alloc (count * sizeof *vm->avoided_until_us);
  for (uint32_t u = 0; u < count; u++)
    {
      uint32_t domain = u % site->domains;
      uint32_t region = region_of (site, domain);
      vm->upstreams[u] = (lt_health_upstream_t){
        site->slots, domain, region != region_of (site, vm->domain), false
      };
      snprintf (texts[u][0], 24, "u%u", u);
      snprintf (texts[u][1], 24, "r%u", region);
      snprintf (texts[u][2], 24, "d%u", domain);
      list[u] = (lt_balance_upstream_t){ str_from (texts[u][0]),
                                         str_from (texts[u][1]),
                                         str_from (texts[u][2]), site->slots,
                                         380 };
    }
  vm->pool = (lt_health_pool_t){ vm->upstreams, count, 60 };
  snprintf (names[0], 64, "vm%u", index);
  snprintf (names[1], 64, "r%u", region_of (site, vm->domain));
  snprintf (names[2], 64, "d%u", vm->domain);
  lt_balance_options_t options = LT_BALANCE_OPTIONS_DEFAULT;
  options.vm_id = str_from (names[0]);
  options.region = str_from (names[1]);
  options.failure_domain = str_from (names[2]);
  options.vms = site->vms;
  options.region_vms = site->vms / 3;
  options.domain_vms = site->vms / site->domains;
  vm->balance = lt_balance_pool_create (&options, list, count);
  lt_health_local_options_t local = LT_HEALTH_LOCAL_OPTIONS_DEFAULT;
  vm->local = lt_health_local_create (&local, &vm->pool);
  vm->reported_us
      = START_US
        - (int64_t)lt_rng_below (&sim->rng, (uint64_t)site->report_us);
  free (texts);
  free (list);
}

static void
create (sim_t *sim, const site_t *site, scenario_t scenario, bool reference,
        uint64_t seed)
{
  memset (sim, 0, sizeof *sim);
  sim->site = site;
  sim->scenario = scenario;
  sim->reference = reference;
  sim->now_us = START_US;
  sim->onset_us = START_US + ONSET_US;
  sim->first_s = sim->fleet_s = sim->most_s = INFINITY;
  lt_rng_init (&sim->rng, seed);
  sim->speed = lt_alloc (site->upstreams * sizeof *sim->speed);
  for (uint32_t u = 0; u < site->upstreams; u++)
    sim->speed[u] = 0.8 + 0.4 * lt_rng_unit (&sim->rng);
  sim->vms = lt_alloc (site->vms * sizeof *sim->vms);
  for (uint32_t v = 0; v < site->vms; v++)
    create_vm (sim, v);
  lt_health_fleet_options_t options = LT_HEALTH_FLEET_OPTIONS_DEFAULT;
  sim->fleet = lt_health_fleet_create (&options, &sim->vms[0].pool);
}

static void
destroy (sim_t *sim)
{
  for (uint32_t v = 0; v < sim->site->vms; v++)
    {
      vm_t *vm = &sim->vms[v];
      lt_balance_pool_destroy (vm->balance);
      lt_health_local_destroy (vm->local);
      free (vm->upstreams);
      free (vm->failures_in_row);
      free (vm->avoided_until_us);
    }
  lt_health_fleet_destroy (sim->fleet);
  lt_ejection_view_clear (&sim->view);
  lt_ejection_record_clear (&sim->written);
  free (sim->vms);
  free (sim->speed);
  free (sim->heap);
}

static bool
has_fault (const sim_t *sim)
{
  return sim->now_us >= sim->onset_us;
}

/* Returns whether the path from VM to UPSTREAM is cut.  */
static bool
is_cut (const sim_t *sim, const vm_t *vm, uint32_t upstream)
{
  uint32_t domain = upstream % sim->site->domains;
  if (!has_fault (sim))
    return false;
  if (sim->scenario.cut == 1)
    return vm->domain == 0 && domain == 1;
  return sim->scenario.cut == 2 && region_of (sim->site, vm->domain) == 0
         && domain == 1;
}

/* Returns whether UPSTREAM is faulty in this scenario.  */
static bool
is_target (const sim_t *sim, uint32_t upstream)
{
  const scenario_t *s = &sim->scenario;
  if (s->dead)
    return upstream % sim->site->domains == 0;
  return upstream == 0 && (s->fail > 0 || s->slow > 0);
}

static void
send_request (sim_t *sim, uint32_t v)
{
  vm_t *vm = &sim->vms[v];
  int u = lt_balance_pick (vm->balance, NULL, &sim->rng, sim->now_us);
  if (u < 0)
    return;
  sim->requests++;
  const scenario_t *s = &sim->scenario;
  bool target = has_fault (sim) && is_target (sim, (uint32_t)u);
  double factor = target && s->slow > 0 ? s->slow : 1;
  double latency = SERVICE_US * sim->speed[u]
                   * exp (SIGMA * sim_normal (&sim->rng)) * factor;
  if (vm->upstreams[u].remote)
    latency += REGION_RTT_US;
  else if ((uint32_t)u % sim->site->domains != vm->domain)
    latency += (double)sim->site->domain_rtt_us;
  bool fault = (target && (s->dead || lt_rng_unit (&sim->rng) < s->fail))
               || (has_fault (sim) && lt_rng_unit (&sim->rng) < s->all);
  if (fault || (target && s->slow > 0))
    sim->harmed++;
  response_t response = { .vm = v, .upstream = (uint32_t)u };
  response.outcome = LT_HEALTH_OK;
  if (fault || lt_rng_unit (&sim->rng) < NOISE)
    response.outcome = LT_HEALTH_FAILED;
  if (is_cut (sim, vm, (uint32_t)u) || latency > (double)TIMEOUT_US)
    {
      response.outcome = LT_HEALTH_TIMEOUT;
      latency = (double)TIMEOUT_US;
    }
  response.latency_us = (int64_t)latency;
  response.at_us = sim->now_us + response.latency_us;
  lt_balance_begin (vm->balance, (uint32_t)u);
  heap_push (sim, response);
}

static void
count_avoidance (sim_t *sim, const vm_t *vm, uint32_t u)
{
  bool correct = has_fault (sim) && is_target (sim, u);
  sim->avoided++;
  sim->avoided_wrong += !correct && !is_cut (sim, vm, u);
  double since_onset_s = (double)(sim->now_us - sim->onset_us) / 1e6;
  if (correct && since_onset_s < sim->first_s)
    sim->first_s = since_onset_s;
}

static void
reference_observe (sim_t *sim, vm_t *vm, const response_t *response)
{
  uint32_t u = response->upstream;
  if (response->outcome == LT_HEALTH_OK)
    {
      vm->failures_in_row[u] = 0;
      return;
    }
  if (++vm->failures_in_row[u] < REFERENCE_FAILURES
      || vm->avoided_until_us[u] > sim->now_us)
    return;
  vm->failures_in_row[u] = 0;
  vm->avoided_until_us[u] = sim->now_us + REFERENCE_AVOID_US;
  lt_balance_set_usable (vm->balance, u, false, sim->now_us);
  count_avoidance (sim, vm, u);
}

static void
process_responses (sim_t *sim)
{
  while (sim->heap_count > 0 && sim->heap[0].at_us <= sim->now_us)
    {
      response_t response = heap_pop (sim);
      vm_t *vm = &sim->vms[response.vm];
      lt_balance_end (vm->balance, response.upstream);
      lt_health_observation_t observation
          = { response.upstream, response.outcome, false,
              response.latency_us };
      if (sim->reference)
        reference_observe (sim, vm, &response);
      else
        lt_health_observe (vm->local, &observation, sim->now_us);
    }
}

static bool
vm_uses (const sim_t *sim, const vm_t *vm, uint32_t u)
{
  if (sim->reference)
    return vm->avoided_until_us[u] <= sim->now_us;
  return lt_health_state (vm->local, u) == LT_HEALTH_USABLE;
}

static void
update_vm (sim_t *sim, vm_t *vm)
{
  for (uint32_t u = 0; sim->reference && u < sim->site->upstreams; u++)
    lt_balance_set_usable (vm->balance, u, vm_uses (sim, vm, u), sim->now_us);
  if (sim->reference)
    return;
  uint32_t probe = lt_health_local_probe_due (vm->local, sim->now_us);
  if (probe != UINT32_MAX)
    lt_health_local_report_probe (vm->local, probe, !is_cut (sim, vm, probe),
                                  sim->now_us);
  for (uint32_t u = 0; u < sim->site->upstreams; u++)
    vm->failures_in_row[u] = lt_health_state (vm->local, u);
  if (lt_health_update (vm->local, &sim->view, sim->now_us) == 0)
    return;
  for (uint32_t u = 0; u < sim->site->upstreams; u++)
    {
      lt_health_state_t state = lt_health_state (vm->local, u);
      lt_balance_set_usable (vm->balance, u, state == LT_HEALTH_USABLE,
                             sim->now_us);
      if (state != LT_HEALTH_AVOIDED || vm->failures_in_row[u] == state)
        continue;
      count_avoidance (sim, vm, u);
      sim->avoided_slow += lt_health_local_evidence (vm->local, u)->stream
                           == LT_HEALTH_STREAM_SLOW;
    }
}

static void
run_aggregator (sim_t *sim)
{
  lt_health_action_t actions[64];
  lt_health_counts_t counts[64];
  if (sim->written_us > 0 && sim->now_us >= sim->written_us)
    {
      lt_ejection_view_apply (&sim->view, &sim->written, sim->now_us);
      sim->written_us = 0;
    }
  for (uint32_t v = 0; v < sim->site->vms; v++)
    {
      vm_t *vm = &sim->vms[v];
      bool early = lt_health_has_failures (vm->local);
      int64_t wait_us = early ? EARLY_US : sim->site->report_us;
      if (sim->now_us < vm->reported_us + wait_us)
        continue;
      vm->reported_us = sim->now_us;
      uint32_t count = lt_health_take_counts (vm->local, counts);
      lt_health_fleet_add_counts (sim->fleet, vm->domain, counts, count);
    }
  uint32_t count = lt_health_fleet_tick (sim->fleet, &sim->view, sim->now_us,
                                         actions, 64);
  for (uint32_t i = 0; i < count; i++)
    {
      const lt_health_action_t *action = &actions[i];
      int error = -1;
      if (action->kind == LT_HEALTH_PROBE)
        lt_health_fleet_report_probe (sim->fleet, action->upstream, true,
                                      sim->now_us);
      else if (sim->written_us == 0 && action->kind == LT_HEALTH_RETURN)
        error = lt_ejection_return (&sim->view, action->upstream, 0,
                                    &sim->written);
      else if (sim->written_us == 0)
        {
          error = lt_ejection_add (&sim->view, &sim->vms[0].pool,
                                   action->upstream, &action->evidence,
                                   sim->now_us, 0, &sim->written);
          bool correct = has_fault (sim) && is_target (sim, action->upstream);
          sim->ejections += error == 0;
          sim->wrong += error == 0 && !correct;
          double since_onset_s = (double)(sim->now_us - sim->onset_us) / 1e6;
          if (error == 0 && correct && since_onset_s < sim->fleet_s)
            sim->fleet_s = since_onset_s;
        }
      if (error == 0)
        sim->written_us = sim->now_us + WRITE_US;
    }
}

static void
update_most_s (sim_t *sim)
{
  uint32_t all = 0;
  uint32_t stopped = 0;
  if (!has_fault (sim) || sim->most_s < INFINITY)
    return;
  for (uint32_t v = 0; v < sim->site->vms; v++)
    {
      const vm_t *vm = &sim->vms[v];
      bool member = lt_balance_in_subset (vm->balance, 0);
      if (vm->upstreams[0].remote || (!member && vm_uses (sim, vm, 0)))
        continue;
      all++;
      stopped += !vm_uses (sim, vm, 0);
    }
  if (all > 0 && stopped * 10 >= all * 9)
    sim->most_s = (double)(sim->now_us - sim->onset_us) / 1e6;
}

static void
run (sim_t *sim, int64_t seconds)
{
  const site_t *site = sim->site;
  double per_tick = site->rate * site->upstreams * (double)TICK_US / 1e6;
  double due = lt_rng_exponential (&sim->rng, 1);
  int64_t end_us = sim->onset_us + seconds * SECOND_US;
  while (sim->now_us < end_us)
    {
      due -= per_tick;
      for (; due < 0; due += lt_rng_exponential (&sim->rng, 1))
        send_request (sim, (uint32_t)lt_rng_below (&sim->rng, site->vms));
      sim->now_us += TICK_US;
      process_responses (sim);
      if (sim->now_us % UPDATE_US != 0)
        continue;
      if (!sim->reference)
        run_aggregator (sim);
      for (uint32_t v = 0; v < site->vms; v++)
        update_vm (sim, &sim->vms[v]);
      update_most_s (sim);
    }
}

static bool
parse_scenario (const char *text, scenario_t *s)
{
  memset (s, 0, sizeof *s);
  if (strncmp (text, "fail-", 5) == 0)
    s->fail = strtod (text + 5, NULL) / 100;
  else if (strncmp (text, "slow-", 5) == 0)
    s->slow = strtod (text + 5, NULL);
  else if (strcmp (text, "cut-domain") == 0)
    s->cut = 1;
  else if (strcmp (text, "cut-region") == 0)
    s->cut = 2;
  else if (strcmp (text, "dead-domain") == 0)
    s->dead = true;
  else if (strcmp (text, "all-bad") == 0)
    s->all = 0.5;
  else
    return strcmp (text, "healthy") == 0;
  return true;
}

static void
run_policy (const site_t *site, scenario_t scenario, const char *name,
            bool reference, uint64_t first, size_t seeds, int64_t seconds)
{
  double *first_s = lt_alloc (seeds * sizeof *first_s);
  double *fleet_s = lt_alloc (seeds * sizeof *fleet_s);
  double *most_s = lt_alloc (seeds * sizeof *most_s);
  uint64_t sums[7] = { 0 };
  for (size_t i = 0; i < seeds; i++)
    {
      sim_t sim;
      create (&sim, site, scenario, reference, first + i);
      run (&sim, seconds);
      first_s[i] = sim.first_s;
      fleet_s[i] = sim.fleet_s;
      most_s[i] = sim.most_s;
      sums[0] += sim.requests;
      sums[1] += sim.harmed;
      sums[2] += sim.ejections;
      sums[3] += sim.wrong;
      sums[4] += sim.avoided;
      sums[5] += sim.avoided_wrong;
      sums[6] += sim.avoided_slow;
      destroy (&sim);
    }
  double hours
      = (double)seeds * (double)(seconds + ONSET_US / SECOND_US) / 3600;
  printf ("site=%s scenario=%s policy=%s seeds=%zu first_p50=%.1f "
          "fleet_p50=%.1f fleet_p90=%.1f most_p50=%.1f most_p90=%.1f "
          "harmed=%.1f ejections=%llu wrong=%llu wrong_per_h=%.3f "
          "avoided=%llu avoided_wrong_per_h=%.2f avoided_slow=%llu "
          "requests=%llu\n",
          site->name, name, reference ? "5-in-a-row" : "cusum", seeds,
          sim_quantile (first_s, seeds, 0.5),
          sim_quantile (fleet_s, seeds, 0.5),
          sim_quantile (fleet_s, seeds, 0.9),
          sim_quantile (most_s, seeds, 0.5), sim_quantile (most_s, seeds, 0.9),
          (double)sums[1] / (double)seeds, (unsigned long long)sums[2],
          (unsigned long long)sums[3], (double)sums[3] / hours,
          (unsigned long long)sums[4], (double)sums[5] / hours,
          (unsigned long long)sums[6], (unsigned long long)sums[0]);
  fflush (stdout);
  free (first_s);
  free (fleet_s);
  free (most_s);
}

int
main (int argc, char **argv)
{
  scenario_t scenario;
  if (argc != 6 || !parse_scenario (argv[2], &scenario))
    {
      fputs ("usage: bench_health SITE SCENARIO FIRST-SEED SEEDS SECONDS\n",
             stderr);
      return 2;
    }
  uint64_t first = strtoull (argv[3], NULL, 10);
  size_t seeds = strtoull (argv[4], NULL, 10);
  int64_t seconds = strtoll (argv[5], NULL, 10);
  for (size_t i = 0; seeds > 0 && i < sizeof sites / sizeof *sites; i++)
    {
      if (strcmp (sites[i].name, argv[1]) != 0)
        continue;
      run_policy (&sites[i], scenario, argv[2], false, first, seeds, seconds);
      run_policy (&sites[i], scenario, argv[2], true, first, seeds, seconds);
      return 0;
    }
  fputs ("unknown site or no seeds\n", stderr);
  return 2;
}
