/** @file
    Benchmark of the choice by counts and by work (work.h, cost.h) in simulated
    time.  Upstreams have 4 slots and a queue of 16; requests are of 12 kinds
    with means of 140 to 470 ms and a lognormal spread of 0.3 to 0.8, and 2% of
    them take 5 to 7 times as long.  VMs report their load to the 20 of their
    failure domain 0.1 s after a change and choose among the upstreams of three
    domains.  Arguments: SEED VMS UTILISATION_PERCENT SECONDS; with 0 VMs the
    time and memory of the predictor at the size of docs/CAPACITY.md.

    Printed for each way to choose: wait in the upstream's queue (p50, p99, as
    a share of the requests' own cost at p99 too), rejected requests, work of
    the busiest upstream over the mean, error of the prediction.  */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/choice.h"
#include "lt/policy/work.h"
#include "sim.h"

enum
{
  SLOTS = 4,
  QUEUE = 16,
  KINDS = 12,
  DOMAIN_VMS = 20,
  DOMAINS_SEEN = 3,
  REPORT_MS = 100,
  WARM_S = 20,
  PATH_MS = 2 /* From the VM to the upstream, each way. */
};

typedef enum way
{
  WAY_COUNTS,
  WAY_EQUAL,  /* By work, with one key for all requests. */
  WAY_ORACLE, /* One key for each tenth of the logarithm of the true cost. */
  WAY_LEARNED,
  WAYS
} way_t;

static const char *const way_names[]
    = { "counts", "equal", "oracle", "learned" };

typedef struct job
{
  uint32_t vm;
  uint32_t upstream;
  uint64_t id;
  int64_t arrived_ms;
  int64_t ends_ms;
  double cost_ms;
} job_t;

typedef struct upstream
{
  job_t running[SLOTS];
  uint32_t running_count;
  job_t queue[QUEUE];
  uint32_t queued;
  double done_ms; /* Work of the jobs that it took. */
} upstream_t;

typedef struct vm
{
  lt_choice_t *choice;
  lt_work_t *work; /* NULL: counts. */
  uint32_t domain;
  uint32_t *index;     /* Upstream of each index of the choice. */
  bool *changed;       /* By index. */
  uint32_t *successes; /* By index, since the last report. */
  int64_t report_ms;   /* Next report; 0: none due. */
} vm_t;

typedef struct sim
{
  way_t way;
  lt_rng_t rng;        /* Of the load, which is the same for each way. */
  lt_rng_t choice_rng; /* Of the choices. */
  uint32_t vm_count;
  uint32_t upstream_count;
  uint32_t seen; /* Upstreams that a VM knows. */
  uint32_t domains;
  vm_t *vms;
  upstream_t *upstreams;
  double means_ms[KINDS];
  double spreads[KINDS];
  int64_t now_ms;
  uint64_t next_id;
  double *waits_ms;
  double *slowdowns;
  size_t waits;
  size_t waits_cap;
  uint64_t arrived;
  uint64_t rejected;
  double pick_s; /* Time of this machine in lt_choice_pick. */
  double error_sum;
} sim_t;

static double
seconds_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
}

static int64_t
now_us (const sim_t *s)
{
  return s->now_ms * LT_US_PER_MS;
}

static uint32_t
upstreams_before (const sim_t *s, uint32_t domain)
{
  return (uint32_t)((uint64_t)s->upstream_count * domain / s->domains);
}

static void
create_vm (sim_t *s, uint32_t i)
{
  vm_t *vm = &s->vms[i];
  lt_choice_options_t options = LT_CHOICE_OPTIONS_DEFAULT;
  lt_work_options_t work_options = LT_WORK_OPTIONS_DEFAULT;
  lt_cost_options_t cost_options = LT_COST_OPTIONS_DEFAULT;
  cost_options.keys_max = 512;
  vm->domain = (uint32_t)((uint64_t)i * s->domains / s->vm_count);
  if (s->way != WAY_COUNTS)
    vm->work = lt_work_create (&work_options, &cost_options);
  options.work = vm->work;
  vm->choice = lt_choice_create (&options, &s->choice_rng);
  lt_choice_upstream_t *list = calloc (s->upstream_count, sizeof (*list));
  vm->index = calloc (s->upstream_count, sizeof (*vm->index));
  vm->changed = calloc (s->upstream_count, sizeof (*vm->changed));
  vm->successes = calloc (s->upstream_count, sizeof (*vm->successes));
  uint32_t count = 0;
  for (uint32_t d = 0; d < DOMAINS_SEEN && d < s->domains; d++)
    {
      uint32_t domain = (vm->domain + d) % s->domains;
      for (uint32_t u = upstreams_before (s, domain);
           u < upstreams_before (s, domain + 1); u++)
        {
          list[count]
              = (lt_choice_upstream_t){ .id = u + 1,
                                        .slots = SLOTS,
                                        .distance
                                        = d == 0 ? LT_DISTANCE_SAME_DOMAIN
                                                 : LT_DISTANCE_SAME_REGION };
          vm->index[count++] = u;
        }
    }
  lt_choice_configure (vm->choice, list, count, now_us (s));
  s->seen = count;
  free (list);
}

static lt_cost_key_t
key_for (const sim_t *s, uint32_t kind, double cost_ms)
{
  uint64_t route = kind;
  if (s->way == WAY_EQUAL)
    route = 1;
  if (s->way == WAY_ORACLE)
    route = 1000 + (uint64_t)(10 * log (cost_ms + 1));
  lt_cost_features_t features = { .service = 1, .route = route };
  return lt_cost_key_make (&features);
}

static void
mark_changed (sim_t *s, uint32_t vm_index, uint32_t upstream,
              uint32_t successes)
{
  vm_t *vm = &s->vms[vm_index];
  for (uint32_t i = 0; i < s->seen; i++)
    if (vm->index[i] == upstream)
      {
        vm->changed[i] = true;
        vm->successes[i] += successes;
      }
  if (vm->report_ms == 0)
    vm->report_ms = s->now_ms + REPORT_MS;
}

static void
report (sim_t *s, uint32_t from)
{
  vm_t *vm = &s->vms[from];
  vm->report_ms = 0;
  for (uint32_t i = 0; i < s->seen; i++)
    {
      if (!vm->changed[i])
        continue;
      vm->changed[i] = false;
      lt_choice_estimate_t view;
      uint64_t id = vm->index[i] + 1;
      lt_choice_look_up (vm->choice, id, now_us (s), &view);
      for (uint32_t to = 0; to < s->vm_count; to++)
        if (to != from && s->vms[to].domain == vm->domain)
          {
            lt_choice_observe_peer (s->vms[to].choice, id, vm->successes[i], 0,
                                    now_us (s));
            lt_choice_set_peer_load (s->vms[to].choice, id, from + 1,
                                     view.own_in_flight, now_us (s));
          }
      vm->successes[i] = 0;
    }
}

static void
run_job (sim_t *s, upstream_t *u, job_t job)
{
  if (s->now_ms >= WARM_S * 1000)
    {
      if (s->waits == s->waits_cap)
        {
          s->waits_cap = s->waits_cap * 2 + 1024;
          size_t bytes = s->waits_cap * sizeof (double);
          s->waits_ms = realloc (s->waits_ms, bytes);
          s->slowdowns = realloc (s->slowdowns, bytes);
        }
      double wait_ms = (double)(s->now_ms - job.arrived_ms);
      s->waits_ms[s->waits] = wait_ms;
      s->slowdowns[s->waits++] = wait_ms / job.cost_ms;
      u->done_ms += job.cost_ms;
    }
  job.ends_ms = s->now_ms + (int64_t)ceil (job.cost_ms);
  u->running[u->running_count++] = job;
}

static void
end_attempt (sim_t *s, const job_t *job, lt_work_end_t end)
{
  vm_t *vm = &s->vms[job->vm];
  int64_t latency_us
      = (s->now_ms - job->arrived_ms + 2 * (int64_t)PATH_MS) * LT_US_PER_MS;
  if (vm->work != NULL)
    lt_work_end (vm->work, job->upstream + 1, job->id, end, latency_us,
                 now_us (s));
  lt_choice_end_attempt (vm->choice, job->upstream + 1);
  lt_choice_observe (vm->choice, job->upstream + 1,
                     end == LT_WORK_COMPLETE ? LT_CHOICE_SUCCESS
                                             : LT_CHOICE_SHED,
                     now_us (s));
  mark_changed (s, job->vm, job->upstream, end == LT_WORK_COMPLETE);
}

static void
advance_upstream (sim_t *s, upstream_t *u)
{
  for (uint32_t i = u->running_count; i-- > 0;)
    {
      if (u->running[i].ends_ms > s->now_ms)
        continue;
      end_attempt (s, &u->running[i], LT_WORK_COMPLETE);
      u->running[i] = u->running[--u->running_count];
    }
  uint32_t taken = 0;
  while (u->running_count < SLOTS && taken < u->queued)
    run_job (s, u, u->queue[taken++]);
  u->queued -= taken;
  for (uint32_t i = 0; taken > 0 && i < u->queued; i++)
    u->queue[i] = u->queue[i + taken];
}

static double
draw_cost_ms (sim_t *s, uint32_t kind)
{
  double spread = s->spreads[kind];
  double cost = s->means_ms[kind]
                * exp (spread * sim_normal (&s->rng) - spread * spread / 2);
  if (lt_rng_unit (&s->rng) < 0.02)
    cost *= 5 + 2 * lt_rng_unit (&s->rng);
  return cost;
}

static void
arrive (sim_t *s)
{
  uint32_t vm_index = (uint32_t)lt_rng_below (&s->rng, s->vm_count);
  vm_t *vm = &s->vms[vm_index];
  uint32_t kind = (uint32_t)lt_rng_below (&s->rng, KINDS);
  double cost_ms = draw_cost_ms (s, kind);
  lt_cost_key_t key = key_for (s, kind, cost_ms);
  lt_choice_request_t request
      = { .repeatable = true, .cost = vm->work == NULL ? NULL : &key };
  double start_s = seconds_now ();
  int64_t picked = lt_choice_pick (vm->choice, &request, now_us (s));
  s->pick_s += seconds_now () - start_s;
  uint32_t index = vm->index[picked];
  job_t job = { .vm = vm_index,
                .upstream = index,
                .id = ++s->next_id,
                .arrived_ms = s->now_ms,
                .cost_ms = cost_ms };
  bool measured = s->now_ms >= WARM_S * 1000;
  if (vm->work != NULL)
    {
      lt_choice_estimate_t view;
      lt_choice_look_up (vm->choice, index + 1, now_us (s), &view);
      lt_work_load_t load = { .upstream = index + 1,
                              .slots = SLOTS,
                              .own = view.own_in_flight,
                              .peers = view.peers_in_flight };
      if (measured)
        s->error_sum += fabs (
            log (lt_cost_mean_us (lt_work_cost (vm->work), &key, now_us (s))
                 / cost_ms / 1000));
      lt_work_begin (vm->work, &load, job.id, &key, now_us (s));
    }
  lt_choice_begin_attempt (vm->choice, index + 1, now_us (s));
  mark_changed (s, vm_index, index, 0);
  s->arrived += measured;
  upstream_t *u = &s->upstreams[index];
  if (u->running_count < SLOTS)
    run_job (s, u, job);
  else if (u->queued < QUEUE)
    u->queue[u->queued++] = job;
  else
    {
      s->rejected += measured;
      end_attempt (s, &job, LT_WORK_FAILED);
    }
}

static void
print_result (sim_t *s)
{
  double sum = 0;
  double most = 0;
  for (uint32_t u = 0; u < s->upstream_count; u++)
    {
      sum += s->upstreams[u].done_ms;
      most = fmax (most, s->upstreams[u].done_ms);
    }
  double mean_ms = 0;
  for (size_t i = 0; i < s->waits; i++)
    mean_ms += s->waits_ms[i] / (double)s->waits;
  printf ("%-8s requests=%llu wait_mean_ms=%.1f wait_p50_ms=%.0f "
          "wait_p99_ms=%.0f wait_over_cost_p99=%.2f rejected=%llu "
          "busiest_over_mean=%.2f log_error=%.2f pick_us=%.1f\n",
          way_names[s->way], (unsigned long long)s->arrived, mean_ms,
          sim_quantile (s->waits_ms, s->waits, 0.5),
          sim_quantile (s->waits_ms, s->waits, 0.99),
          sim_quantile (s->slowdowns, s->waits, 0.99),
          (unsigned long long)s->rejected, most / (sum / s->upstream_count),
          s->error_sum / (double)(s->arrived == 0 ? 1 : s->arrived),
          s->pick_s * 1e6 / (double)s->next_id);
}

static void
simulate (way_t way, uint64_t seed, uint32_t vms, double utilisation,
          int64_t seconds)
{
  sim_t s = { .way = way, .vm_count = vms };
  lt_rng_init (&s.rng, seed);
  lt_rng_init (&s.choice_rng, seed + 1);
  s.domains = (vms + DOMAIN_VMS - 1) / DOMAIN_VMS;
  /* Three upstreams for each VM, as measured at 133 VMs; the largest fleet has
     one for each, so that the run fits into memory.  */
  s.upstream_count = vms > 1000 ? vms : vms * 3;
  s.vms = calloc (vms, sizeof (*s.vms));
  s.upstreams = calloc (s.upstream_count, sizeof (*s.upstreams));
  double mean_ms = 0;
  for (uint32_t k = 0; k < KINDS; k++)
    {
      s.means_ms[k] = 140 + 330.0 * k / (KINDS - 1);
      s.spreads[k] = 0.3 + 0.5 * (k * 5 % KINDS) / (KINDS - 1);
      mean_ms += s.means_ms[k] / KINDS * (0.98 + 0.02 * 6);
    }
  for (uint32_t i = 0; i < vms; i++)
    create_vm (&s, i);
  double per_ms = utilisation * s.upstream_count * SLOTS / mean_ms;
  double next_ms = 0;
  for (; s.now_ms < (WARM_S + seconds) * 1000; s.now_ms++)
    {
      for (uint32_t u = 0; u < s.upstream_count; u++)
        advance_upstream (&s, &s.upstreams[u]);
      for (uint32_t i = 0; i < vms; i++)
        if (s.vms[i].report_ms != 0 && s.vms[i].report_ms <= s.now_ms)
          report (&s, i);
      while (next_ms <= (double)s.now_ms)
        {
          arrive (&s);
          next_ms += lt_rng_exponential (&s.rng, 1 / per_ms);
        }
    }
  print_result (&s);
  for (uint32_t i = 0; i < vms; i++)
    {
      lt_choice_destroy (s.vms[i].choice);
      lt_work_destroy (s.vms[i].work);
      free (s.vms[i].index);
      free (s.vms[i].changed);
      free (s.vms[i].successes);
    }
  free (s.vms);
  free (s.upstreams);
  free (s.waits_ms);
  free (s.slowdowns);
}

/* Time and memory of the predictor with 19,000 routes and 45,000 workspaces,
   of which few send most requests.  */
static void
measure_predictor (uint64_t seed)
{
  enum
  {
    REQUESTS = 2000000,
    REQUEST_INTERVAL_US = 13333 /* 75 a second. */
  };
  lt_cost_options_t options = LT_COST_OPTIONS_DEFAULT;
  lt_cost_t *cost = lt_cost_create (&options);
  lt_cost_key_t *keys = calloc (REQUESTS, sizeof (*keys));
  lt_rng_t rng;
  lt_rng_init (&rng, seed);
  for (size_t i = 0; i < REQUESTS; i++)
    {
      double skew = lt_rng_unit (&rng);
      lt_cost_features_t features
          = { .service = lt_rng_below (&rng, 1300),
              .workspace = (uint64_t)(45000 * pow (skew, 6)) };
      features.route
          = features.service * 100 + lt_rng_below (&rng, 19000 / 1300);
      keys[i] = lt_cost_key_make (&features);
    }
  double start_s = seconds_now ();
  for (size_t i = 0; i < REQUESTS; i++)
    lt_cost_learn (cost, &keys[i], 300e3, 1, (int64_t)i * REQUEST_INTERVAL_US);
  double middle_s = seconds_now ();
  double sum = 0;
  for (size_t i = 0; i < REQUESTS; i++)
    sum += lt_cost_mean_us (cost, &keys[i],
                            REQUESTS * (int64_t)REQUEST_INTERVAL_US);
  double end_s = seconds_now ();
  size_t full = 0;
  size_t routes = 0;
  lt_cost_view_t view;
  for (size_t i = 0; i < REQUESTS; i++)
    {
      full += lt_cost_look_up (cost, keys[i].full, 0, &view) == 0;
      routes += lt_cost_look_up (cost, keys[i].route, 0, &view) == 0;
    }
  lt_cost_stats_t stats = lt_cost_get_stats (cost);
  printf ("predictor learn_ns=%.0f mean_ns=%.0f keys=%u evictions=%llu "
          "bytes=%zu known_key_share=%.3f known_route_share=%.3f mean_us=%.0f"
          "\n",
          (middle_s - start_s) * 1e9 / REQUESTS,
          (end_s - middle_s) * 1e9 / REQUESTS, stats.keys,
          (unsigned long long)stats.evictions, stats.bytes,
          (double)full / REQUESTS, (double)routes / REQUESTS, sum / REQUESTS);
  free (keys);
  lt_cost_destroy (cost);
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    {
      fprintf (stderr, "usage: %s SEED VMS UTILISATION_PERCENT SECONDS\n",
               argv[0]);
      return 2;
    }
  uint64_t seed = strtoull (argv[1], NULL, 10);
  uint32_t vms = (uint32_t)strtoul (argv[2], NULL, 10);
  double utilisation = strtod (argv[3], NULL) / 100;
  int64_t seconds = strtoll (argv[4], NULL, 10);
  if (vms == 0)
    measure_predictor (seed);
  for (int way = 0; way < WAYS && vms > 0; way++)
    simulate ((way_t)way, seed, vms, utilisation, seconds);
  return 0;
}
