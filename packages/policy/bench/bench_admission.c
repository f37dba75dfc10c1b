/* Benchmark of admission control (admission.h) in simulated time: goodput and
   the worst service of the other workspaces while one workspace sends five
   times its normal load.  Compares fair queueing with first come, first
   served, each with and without early refusal, at the sizes of both sites.

   Usage: policy_bench_admission [seed...]  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/clock.h"
#include "lt/base/metrics.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/admission.h"

#define WORKSPACES 8
#define REQUESTS 512
#define SIMULATED_US (600 * LT_US_PER_S)
#define DEADLINE_US (1500 * LT_US_PER_MS)

typedef struct site
{
  const char *name;
  uint32_t slots; /* This VM's share of the service's slots. */
  double service_us;
} site_t;

typedef struct request
{
  uint32_t workspace;
  int64_t arrived_us;
  int64_t service_us;
  int64_t ends_us; /* 0: queued; -1: unused entry. */
} request_t;

typedef struct bench
{
  lt_rng_t rng;
  lt_admission_t *admission;
  request_t requests[REQUESTS];
  uint64_t offered[WORKSPACES];
  uint64_t good[WORKSPACES]; /* Finished before the deadline. */
  uint64_t wasted;           /* Finished after the deadline. */
  lt_histogram_t latency[WORKSPACES];
  double service_us;
} bench_t;

static void
start_request (bench_t *b, uint64_t id, int64_t now_us)
{
  request_t *request = &b->requests[id - 1];
  /* The upstream finishes the request even if the caller has left at its
     deadline; finish_request then counts it as wasted.  */
  request->ends_us = now_us + request->service_us;
}

static void
expire_requests (bench_t *b, int64_t now_us)
{
  uint64_t expired[64];
  size_t count = lt_admission_expire (b->admission, now_us, expired, 64);
  for (size_t i = 0; i < count; i++)
    b->requests[expired[i] - 1].ends_us = -1;
}

static void
finish_request (bench_t *b, request_t *request, int64_t now_us)
{
  uint64_t started[64];
  int64_t latency_us = now_us - request->arrived_us;
  if (latency_us <= DEADLINE_US)
    {
      b->good[request->workspace]++;
      lt_histogram_add (&b->latency[request->workspace], latency_us);
    }
  else
    b->wasted++;
  request->ends_us = -1;
  expire_requests (b, now_us);
  size_t count = lt_admission_release (b->admission, request->service_us,
                                       now_us, started, 64);
  for (size_t i = 0; i < count; i++)
    start_request (b, started[i], now_us);
}

static request_t *
next_to_finish (bench_t *b)
{
  request_t *first = NULL;
  for (size_t i = 0; i < REQUESTS; i++)
    if (b->requests[i].ends_us > 0
        && (first == NULL || b->requests[i].ends_us < first->ends_us))
      first = &b->requests[i];
  return first;
}

static void
offer_request (bench_t *b, uint32_t workspace, int64_t now_us)
{
  uint64_t id = 0;
  while (b->requests[id].ends_us != -1)
    id++;
  request_t *request = &b->requests[id++];
  *request = (request_t){
    .workspace = workspace,
    .arrived_us = now_us,
    .service_us
    = (int64_t)(b->service_us * (0.5 + lt_rng_exponential (&b->rng, 0.5)))
  };
  b->offered[workspace]++;
  lt_admission_verdict_t verdict = lt_admission_offer (
      b->admission, id, workspace, now_us, now_us + DEADLINE_US);
  if (verdict == LT_ADMISSION_ADMIT)
    start_request (b, id, now_us);
  else if (verdict != LT_ADMISSION_QUEUED)
    request->ends_us = -1;
}

/* The workspaces together offer 80% of the capacity; workspace 0 offers FACTOR
   times its share of that.  */
static void
run (bench_t *b, const site_t *site, double factor)
{
  static const double shares[WORKSPACES]
      = { 0.3, 0.25, 0.2, 0.1, 0.06, 0.04, 0.03, 0.02 };
  double capacity = site->slots / site->service_us;
  double rates[WORKSPACES];
  double total_rate = 0;
  for (int i = 0; i < WORKSPACES; i++)
    {
      rates[i] = 0.8 * capacity * shares[i] * (i == 0 ? factor : 1);
      total_rate += rates[i];
    }
  int64_t now_us = 1;
  while (now_us < SIMULATED_US)
    {
      int64_t next_us
          = now_us + 1 + (int64_t)lt_rng_exponential (&b->rng, 1 / total_rate);
      for (request_t *end = next_to_finish (b);
           end != NULL && end->ends_us <= next_us; end = next_to_finish (b))
        finish_request (b, end, end->ends_us);
      now_us = next_us;
      expire_requests (b, now_us);
      double position = lt_rng_unit (&b->rng) * total_rate;
      uint32_t workspace = 0;
      while (workspace + 1 < WORKSPACES && position >= rates[workspace])
        position -= rates[workspace++];
      offer_request (b, workspace, now_us);
    }
}

static void
report (const bench_t *b, const site_t *site, const char *name, uint64_t seed,
        double factor)
{
  uint64_t good = 0;
  double worst = 100;
  int64_t worst_p99 = 0;
  for (int i = 0; i < WORKSPACES; i++)
    {
      good += b->good[i];
      if (i == 0)
        continue;
      double percent = 100.0 * (double)b->good[i] / (double)b->offered[i];
      int64_t p99 = lt_histogram_quantile (&b->latency[i], 0.99);
      worst = percent < worst ? percent : worst;
      worst_p99 = p99 > worst_p99 ? p99 : worst_p99;
    }
  printf ("%-8s %4llu load x%.0f %-22s goodput %7.1f/s  others' worst "
          "workspace: served %6.2f%%  p99 %7.1f ms  wasted %5.1f/s\n",
          site->name, (unsigned long long)seed, factor, name,
          (double)good * 1e6 / (double)SIMULATED_US, worst,
          (double)worst_p99 / 1e3,
          (double)b->wasted * 1e6 / (double)SIMULATED_US);
}

int
main (int argc, char **argv)
{
  /* One VM's share of 30 upstreams with 3 slots each, and of 24 with 6 slots
     each; at least 4, so that a VM is not limited to one request at a
     time.  */
  static const site_t sites[]
      = { { "kovacic", 4, 80000 }, { "regnly", 8, 80000 } };
  static const struct
  {
    const char *name;
    lt_admission_order_t order;
    bool refuse_early;
  } policies[] = { { "first come", LT_ADMISSION_FIFO, false },
                   { "first come, refuse", LT_ADMISSION_FIFO, true },
                   { "fair", LT_ADMISSION_FAIR, false },
                   { "fair, refuse", LT_ADMISSION_FAIR, true } };
  static const double factors[] = { 1, 5 };
  for (size_t s = 0; s < 2; s++)
    for (size_t f = 0; f < 2; f++)
      for (size_t p = 0; p < 4; p++)
        for (int i = 1; i < (argc > 1 ? argc : 2); i++)
          {
            uint64_t seed = argc > 1 ? strtoull (argv[i], NULL, 10) : 1;
            bench_t *b = lt_alloc (sizeof (*b));
            lt_rng_init (&b->rng, seed);
            for (size_t r = 0; r < REQUESTS; r++)
              b->requests[r].ends_us = -1;
            lt_admission_options_t options = LT_ADMISSION_OPTIONS_DEFAULT;
            options.slots = sites[s].slots;
            options.order = policies[p].order;
            options.refuse_early = policies[p].refuse_early;
            b->admission = lt_admission_create (&options);
            b->service_us = sites[s].service_us;
            run (b, &sites[s], factors[f]);
            report (b, &sites[s], policies[p].name, seed, factors[f]);
            lt_admission_destroy (b->admission);
            free (b);
          }
  return 0;
}
