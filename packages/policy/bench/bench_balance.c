/** @file
    Simulates load balancing with lt_balance and with alternatives.  Measures
    slot overruns (requests that meet an upstream without a free slot), waiting
    times and the share of requests to other regions.

    usage: bench_balance SITE USE-PERCENT SCENARIO FIRST-SEED SEEDS SECONDS

    SITE is kovacic-quotes, kovacic-orders, regnly-kiosk or regnly-ledger;
    SCENARIO is even (all VMs get the same traffic), skew (half of the traffic
    arrives in region 0) or short (half or more of region 0's upstreams are not
    usable).  Prints one line per policy.  */
#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/balance.h"

#include "sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DOMAINS 6
#define REGIONS 3
#define MAX_UPSTREAMS 64
#define SECOND_US 1000000LL
#define START_US (1000 * SECOND_US)
/* Service times are log-normal with this mean and sigma.  */
#define SERVICE_US 50000.0
#define SIGMA 0.5
#define REGION_RTT_US 20000.0

typedef struct site
{
  const char *name;
  uint32_t vms;
  uint32_t upstreams;
  int32_t slots;
  double domain_rtt_us;
} site_t;

static const site_t sites[] = { { "kovacic-quotes", 40, 30, 3, 500 },
                                { "kovacic-orders", 40, 12, 3, 500 },
                                { "regnly-kiosk", 40, 24, 6, 1500 },
                                { "regnly-ledger", 40, 12, 6, 1500 } };

typedef enum policy
{
  POLICY_ROUND_ROBIN,        /**< Over all upstreams. */
  POLICY_ROUND_ROBIN_REGION, /**< Over those of the region. */
  POLICY_TWO_CHOICES,  /**< Better of two in the region, by local load. */
  POLICY_TWO_SHARED,   /**< The same with load that VMs report each second. */
  POLICY_LOCAL,        /**< lt_balance without reported load. */
  POLICY_SHARED_1S,    /**< lt_balance, load reported each second. */
  POLICY_SHARED_250MS, /**< lt_balance, load reported every 250 ms. */
  POLICY_SLOTS,        /**< Each VM owns a fixed part of the region's slots. */
  POLICY_TWO_VMS,      /**< Two VMs per region send all requests. */
  POLICIES
} policy_t;

static const char *const names[POLICIES]
    = { "round-robin",        "round-robin-region", "two-choices-local",
        "two-choices-shared", "balance-alone",      "balance-1s",
        "balance-250ms",      "slot-shares",        "two-vms" };

typedef struct request
{
  int64_t arrived_us;
  uint32_t vm;
  uint32_t upstream;
  double service_us;
  struct request *next;
} request_t;

typedef struct queue
{
  request_t *head;
  request_t **tail;
} queue_t;

typedef struct event
{
  int64_t at_us;
  request_t *request;
} event_t;

typedef struct sim
{
  const site_t *site;
  policy_t policy;
  lt_rng_t rng;
  int64_t now_us;
  lt_balance_pool_t *pools[64];
  bool out[MAX_UPSTREAMS];
  double total[MAX_UPSTREAMS];      /**< In flight when last reported. */
  double own[64][MAX_UPSTREAMS];    /**< The part of each VM in that. */
  uint32_t next[64];                /**< Round-robin position of each VM. */
  int32_t busy[MAX_UPSTREAMS];      /**< Slots in use. */
  queue_t waiting[MAX_UPSTREAMS];   /**< Requests without a slot. */
  int32_t owned[64][MAX_UPSTREAMS]; /**< Free slots that a VM owns. */
  queue_t held[64]; /**< Requests that wait at a VM for an owned slot. */
  event_t *heap;
  size_t heap_count;
  size_t heap_cap;
  uint64_t requests;
  uint64_t overruns;
  uint64_t remote;
  double hop_us;         /**< Sum of network latencies. */
  uint64_t waits[20000]; /**< Histogram of waiting times, by 0.1 ms. */
  double wait_us;        /**< Sum of waiting times. */
} sim_t;

static uint32_t
region_of (uint32_t index)
{
  return index % DOMAINS * REGIONS / DOMAINS;
}

static void
queue_push (queue_t *queue, request_t *request)
{
  if (!queue->head)
    queue->tail = &queue->head;
  request->next = NULL;
  *queue->tail = request;
  queue->tail = &request->next;
}

static request_t *
queue_pop (queue_t *queue)
{
  request_t *request = queue->head;
  if (request)
    queue->head = request->next;
  return request;
}

static void
heap_push (sim_t *sim, event_t event)
{
  if (sim->heap_count == sim->heap_cap)
    {
      sim->heap_cap = sim->heap_cap * 2 + 256;
      sim->heap = lt_realloc (sim->heap, sim->heap_cap * sizeof *sim->heap);
    }
  size_t i = sim->heap_count++;
  while (i > 0 && sim->heap[(i - 1) / 2].at_us > event.at_us)
    {
      sim->heap[i] = sim->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  sim->heap[i] = event;
}

static event_t
heap_pop (sim_t *sim)
{
  event_t top = sim->heap[0];
  event_t last = sim->heap[--sim->heap_count];
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
create_pool (sim_t *sim, uint32_t vm)
{
  char texts[MAX_UPSTREAMS + 1][3][16];
  lt_balance_upstream_t list[MAX_UPSTREAMS];
  uint32_t count = sim->site->upstreams;
  for (uint32_t i = 0; i <= count; i++)
    {
      uint32_t index = i < count ? i : vm;
      snprintf (texts[i][0], 16, "n%u", index);
      snprintf (texts[i][1], 16, "r%u", region_of (index));
      snprintf (texts[i][2], 16, "d%u", index % DOMAINS);
      if (i < count)
        list[i] = (lt_balance_upstream_t){ str_from (texts[i][0]),
                                           str_from (texts[i][1]),
                                           str_from (texts[i][2]),
                                           sim->site->slots, 380 };
    }
  lt_balance_options_t options = LT_BALANCE_OPTIONS_DEFAULT;
  options.vm_id = str_from (texts[count][0]);
  options.region = str_from (texts[count][1]);
  options.failure_domain = str_from (texts[count][2]);
  options.vms = sim->site->vms;
  options.region_vms = sim->site->vms / REGIONS;
  options.domain_vms = sim->site->vms / DOMAINS;
  sim->pools[vm] = lt_balance_pool_create (&options, list, count);
  for (uint32_t u = 0; u < count; u++)
    if (sim->out[u])
      lt_balance_set_usable (sim->pools[vm], u, false, START_US);
}

/* Assigns the slots of each region to its VMs in turn.  */
static void
assign_slots (sim_t *sim)
{
  uint32_t vm = 0;
  for (int32_t slot = 0; slot < sim->site->slots; slot++)
    for (uint32_t u = 0; u < sim->site->upstreams; u++)
      {
        if (sim->out[u])
          continue;
        do
          vm = (vm + 1) % sim->site->vms;
        while (region_of (vm) != region_of (u));
        sim->owned[vm][u]++;
      }
}

static int
round_robin (sim_t *sim, uint32_t vm, bool region_only)
{
  for (uint32_t i = 0; i < sim->site->upstreams; i++)
    {
      uint32_t u = sim->next[vm]++ % sim->site->upstreams;
      bool near = region_of (u) == region_of (vm);
      if (!sim->out[u] && (near || !region_only))
        return (int)u;
    }
  return -1;
}

/* Returns the less loaded of two random upstreams of the region.  The load is
   what VM has in flight, plus what the other VMs had when loads were last
   reported.  */
static int
two_choices (sim_t *sim, uint32_t vm)
{
  int best = -1;
  double best_load = 0;
  for (int found = 0; found < 2;)
    {
      uint32_t u = (uint32_t)lt_rng_below (&sim->rng, sim->site->upstreams);
      if (sim->out[u] || region_of (u) != region_of (vm))
        continue;
      found++;
      double load = lt_balance_in_flight (sim->pools[vm], u);
      load += sim->total[u] - sim->own[vm][u];
      if (best >= 0 && load >= best_load)
        continue;
      best = (int)u;
      best_load = load;
    }
  return best;
}

/* Returns an upstream where VM owns a free slot, or -1.  */
static int
own_slot (const sim_t *sim, uint32_t vm)
{
  for (uint32_t u = 0; u < sim->site->upstreams; u++)
    if (sim->owned[vm][u] > 0)
      return (int)u;
  return -1;
}

/* Returns the VM that sends requests in place of VM: one of two in its region.
 */
static uint32_t
sender_for (sim_t *sim, uint32_t vm)
{
  return vm % DOMAINS / 2 * 2 + (uint32_t)lt_rng_below (&sim->rng, 2);
}

static void
start_service (sim_t *sim, request_t *request)
{
  double wait = (double)(sim->now_us - request->arrived_us);
  uint64_t bin = (uint64_t)(wait / 100);
  sim->waits[bin < 20000 ? bin : 19999]++;
  sim->wait_us += wait;
  sim->busy[request->upstream]++;
  event_t event = { sim->now_us + (int64_t)request->service_us, request };
  heap_push (sim, event);
}

static void
send_to (sim_t *sim, request_t *request, uint32_t upstream)
{
  request->upstream = upstream;
  bool remote = region_of (request->vm) != region_of (upstream);
  sim->remote += remote;
  if (remote)
    sim->hop_us += REGION_RTT_US;
  else if (request->vm % DOMAINS != upstream % DOMAINS)
    sim->hop_us += sim->site->domain_rtt_us;
  lt_balance_begin (sim->pools[request->vm], upstream);
  if (sim->busy[upstream] < sim->site->slots)
    {
      start_service (sim, request);
      return;
    }
  sim->overruns++;
  queue_push (&sim->waiting[upstream], request);
}

static void
arrive (sim_t *sim, uint32_t vm)
{
  request_t *request = lt_alloc (sizeof *request);
  request->arrived_us = sim->now_us;
  request->vm = vm;
  request->service_us
      = SERVICE_US * exp (SIGMA * sim_normal (&sim->rng) - SIGMA * SIGMA / 2);
  sim->requests++;
  int u;
  switch (sim->policy)
    {
    case POLICY_ROUND_ROBIN:
      u = round_robin (sim, vm, false);
      break;
    case POLICY_ROUND_ROBIN_REGION:
      u = round_robin (sim, vm, true);
      break;
    case POLICY_TWO_CHOICES:
    case POLICY_TWO_SHARED:
      u = two_choices (sim, vm);
      break;
    case POLICY_SLOTS:
      u = own_slot (sim, vm);
      if (u >= 0)
        sim->owned[vm][u]--;
      else
        queue_push (&sim->held[vm], request);
      break;
    case POLICY_TWO_VMS:
      request->vm = sender_for (sim, vm);
      sim->hop_us += request->vm % DOMAINS != vm % DOMAINS
                         ? sim->site->domain_rtt_us
                         : 0;
      u = lt_balance_pick (sim->pools[request->vm], NULL, &sim->rng,
                           sim->now_us);
      break;
    default:
      u = lt_balance_pick (sim->pools[vm], NULL, &sim->rng, sim->now_us);
    }
  if (u >= 0)
    send_to (sim, request, (uint32_t)u);
}

static void
finish (sim_t *sim, request_t *request)
{
  uint32_t u = request->upstream;
  uint32_t vm = request->vm;
  sim->busy[u]--;
  lt_balance_end (sim->pools[vm], u);
  free (request);
  request_t *next = queue_pop (&sim->waiting[u]);
  if (next)
    start_service (sim, next);
  if (sim->policy != POLICY_SLOTS)
    return;
  request_t *held = queue_pop (&sim->held[vm]);
  if (held)
    send_to (sim, held, u);
  else
    sim->owned[vm][u]++;
}

static void
report_loads (sim_t *sim)
{
  for (uint32_t u = 0; u < sim->site->upstreams; u++)
    {
      double sum = 0;
      for (uint32_t vm = 0; vm < sim->site->vms; vm++)
        sum += lt_balance_in_flight (sim->pools[vm], u);
      for (uint32_t vm = 0; vm < sim->site->vms; vm++)
        {
          double own = lt_balance_in_flight (sim->pools[vm], u);
          sim->total[u] = sum;
          sim->own[vm][u] = own;
          lt_balance_set_peer_load (sim->pools[vm], u, sum - own, sim->now_us);
        }
    }
}

static int64_t
report_interval (policy_t policy)
{
  switch (policy)
    {
    case POLICY_TWO_SHARED:
    case POLICY_SHARED_1S:
      return SECOND_US;
    case POLICY_SHARED_250MS:
    case POLICY_TWO_VMS:
      return SECOND_US / 4;
    default:
      return 0;
    }
}

static uint32_t
arrival_vm (sim_t *sim, bool skew)
{
  for (;;)
    {
      uint32_t vm = (uint32_t)lt_rng_below (&sim->rng, sim->site->vms);
      bool keep = region_of (vm) == 0 || lt_rng_unit (&sim->rng) < 0.5;
      if (!skew || keep)
        return vm;
    }
}

static void
run (sim_t *sim, double use, bool skew, int64_t seconds)
{
  double slots = (double)sim->site->upstreams * sim->site->slots;
  double mean_us = SERVICE_US / (slots * use);
  int64_t end_us = START_US + seconds * SECOND_US;
  int64_t arrival_us = START_US;
  int64_t interval_us = report_interval (sim->policy);
  int64_t report_us = interval_us > 0 ? START_US + interval_us : INT64_MAX;
  sim->now_us = START_US;
  while (sim->now_us < end_us)
    {
      int64_t end_of_service
          = sim->heap_count > 0 ? sim->heap[0].at_us : INT64_MAX;
      if (report_us <= arrival_us && report_us <= end_of_service)
        {
          sim->now_us = report_us;
          report_loads (sim);
          report_us += interval_us;
        }
      else if (arrival_us <= end_of_service)
        {
          sim->now_us = arrival_us;
          arrive (sim, arrival_vm (sim, skew));
          arrival_us += 1 + (int64_t)lt_rng_exponential (&sim->rng, mean_us);
        }
      else
        {
          sim->now_us = end_of_service;
          finish (sim, heap_pop (sim).request);
        }
    }
}

static void
drain_queue (queue_t *queue)
{
  for (request_t *request = queue_pop (queue); request;
       request = queue_pop (queue))
    free (request);
}

static void
destroy (sim_t *sim)
{
  for (uint32_t vm = 0; vm < sim->site->vms; vm++)
    {
      lt_balance_pool_destroy (sim->pools[vm]);
      drain_queue (&sim->held[vm]);
    }
  for (uint32_t u = 0; u < sim->site->upstreams; u++)
    drain_queue (&sim->waiting[u]);
  while (sim->heap_count > 0)
    free (heap_pop (sim).request);
  free (sim->heap);
  free (sim);
}

static void
run_policy (const site_t *site, policy_t policy, double use,
            const char *scenario, uint64_t first, size_t seeds,
            int64_t seconds)
{
  static uint64_t waits[20000];
  uint64_t requests = 0;
  uint64_t overruns = 0;
  uint64_t remote = 0;
  double wait_us = 0;
  double hop_us = 0;
  memset (waits, 0, sizeof waits);
  for (size_t i = 0; i < seeds; i++)
    {
      sim_t *sim = lt_alloc (sizeof *sim);
      sim->site = site;
      sim->policy = policy;
      lt_rng_init (&sim->rng, first + i);
      for (uint32_t u = 0; u < site->upstreams; u++)
        sim->out[u] = strcmp (scenario, "short") == 0 && region_of (u) == 0
                      && u / DOMAINS < site->upstreams / DOMAINS * 3 / 5;
      for (uint32_t vm = 0; vm < site->vms; vm++)
        create_pool (sim, vm);
      assign_slots (sim);
      run (sim, use, strcmp (scenario, "skew") == 0, seconds);
      requests += sim->requests;
      overruns += sim->overruns;
      remote += sim->remote;
      wait_us += sim->wait_us;
      hop_us += sim->hop_us;
      for (uint32_t b = 0; b < 20000; b++)
        waits[b] += sim->waits[b];
      destroy (sim);
    }
  uint64_t started = 0;
  for (uint32_t b = 0; b < 20000; b++)
    started += waits[b];
  uint64_t below = 0;
  uint32_t p99 = 0;
  while (p99 < 19999 && below + waits[p99] < started / 100 * 99)
    below += waits[p99++];
  printf ("site=%s use=%.0f scenario=%s policy=%s overruns=%.4f "
          "wait_mean_ms=%.2f wait_p99_ms=%.1f hop_mean_ms=%.2f "
          "cross_region=%.4f not_started=%.4f requests=%llu\n",
          site->name, use * 100, scenario, names[policy],
          (double)overruns / (double)requests,
          wait_us / (double)started / 1000, (double)p99 / 10,
          hop_us / (double)requests / 1000, (double)remote / (double)requests,
          1 - (double)started / (double)requests,
          (unsigned long long)requests);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  if (argc != 7)
    {
      fputs ("usage: bench_balance SITE USE-PERCENT SCENARIO FIRST-SEED "
             "SEEDS SECONDS\n",
             stderr);
      return 2;
    }
  for (size_t i = 0; i < sizeof sites / sizeof *sites; i++)
    {
      if (strcmp (sites[i].name, argv[1]) != 0)
        continue;
      for (policy_t policy = 0; policy < POLICIES; policy++)
        run_policy (&sites[i], policy, strtod (argv[2], NULL) / 100, argv[3],
                    strtoull (argv[4], NULL, 10), strtoull (argv[5], NULL, 10),
                    strtoll (argv[6], NULL, 10));
      return 0;
    }
  fputs ("unknown site\n", stderr);
  return 2;
}
