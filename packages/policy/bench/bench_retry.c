/** @file
    Benchmark of retry.h in simulated time: requests that miss their deadline
    and added load, without retries, with retries, and with retries and hedges.
    One of 30 upstreams is gray, except in the scenarios "all-failing" and
    "none".  Upstreams have 3 slots and a queue, the balancer picks the less
    loaded of two random upstreams, and the gray one is never ejected.
    Arguments: SEED [SEED...].  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/retry.h"

enum
{
  UPSTREAMS = 30,
  SLOTS = 3,
  REQUESTS = 100000,
  ATTEMPTS_MAX = 4,
  DEADLINE_US = 300000,
  BASE_US = 5000,
  MEAN_US = 20000,
  SLOW_FACTOR = 20,
  RESET_US = 1000,
  SERVICE = 1
};

static const double load = 0.5;

typedef struct scenario
{
  const char *name;
  double slow; /**< Share of a gray upstream's responses that are
                  SLOW_FACTOR times slower. */
  double fail; /**< Share that fail with 500 after RESET_US. */
  double hang; /**< Share that get no response. */
  int gray;    /**< Number of gray upstreams. */
} scenario_t;

typedef struct attempt
{
  int upstream;
  int64_t started_us;
  int64_t work_us;
  bool open;
  bool running; /**< Occupies a slot. */
  bool fails;
} attempt_t;

typedef struct request
{
  attempt_t attempts[ATTEMPTS_MAX];
  int count;
  int retries;
  int64_t arrived_us;
  bool finished;
  bool hedged;
} request_t;

typedef enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_FINISH,
  EVENT_RETRY,
  EVENT_HEDGE,
  EVENT_DEADLINE
} event_kind_t;

typedef struct event
{
  int64_t at_us;
  event_kind_t kind;
  int request;
  int attempt;
} event_t;

typedef struct queued_attempt
{
  int request;
  int attempt;
} queued_attempt_t;

typedef struct upstream
{
  int running;
  queued_attempt_t *queue;
  size_t head;
  size_t tail;
  int in_flight;
} upstream_t;

typedef struct sim
{
  const scenario_t *scenario;
  bool retries;
  bool hedges;
  lt_rng_t rng;
  lt_retry_t *retry;
  request_t *requests;
  upstream_t upstreams[UPSTREAMS];
  event_t *heap;
  size_t heap_len;
  size_t heap_cap;
  int64_t now_us;
  uint64_t attempts;
  uint64_t late;
  uint64_t failed;
} sim_t;

static void
push_event (sim_t *s, int64_t at_us, event_kind_t kind, int request,
            int attempt)
{
  if (s->heap_len == s->heap_cap)
    {
      s->heap_cap = s->heap_cap == 0 ? 1024 : 2 * s->heap_cap;
      s->heap = lt_realloc (s->heap, s->heap_cap * sizeof (event_t));
    }
  size_t i = s->heap_len++;
  event_t event = { at_us, kind, request, attempt };
  for (; i > 0 && s->heap[(i - 1) / 2].at_us > at_us; i = (i - 1) / 2)
    s->heap[i] = s->heap[(i - 1) / 2];
  s->heap[i] = event;
}

static event_t
pop_event (sim_t *s)
{
  event_t first = s->heap[0];
  event_t last = s->heap[--s->heap_len];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= s->heap_len)
        break;
      if (child + 1 < s->heap_len
          && s->heap[child + 1].at_us < s->heap[child].at_us)
        child++;
      if (s->heap[child].at_us >= last.at_us)
        break;
      s->heap[i] = s->heap[child];
      i = child;
    }
  s->heap[i] = last;
  return first;
}

/** Draws at random how the upstream handles the attempt.  */
static void
draw_behaviour (sim_t *s, attempt_t *a)
{
  const scenario_t *c = s->scenario;
  a->work_us = BASE_US + (int64_t)lt_rng_exponential (&s->rng, MEAN_US);
  if (a->upstream >= c->gray)
    return;
  double share = lt_rng_unit (&s->rng);
  if (share < c->fail)
    {
      a->fails = true;
      a->work_us = RESET_US;
    }
  else if (share < c->fail + c->hang)
    a->work_us = INT64_MAX / 2;
  else if (share < c->fail + c->hang + c->slow)
    a->work_us *= SLOW_FACTOR;
}

static void
run_attempt (sim_t *s, int r, int i)
{
  attempt_t *a = &s->requests[r].attempts[i];
  a->running = true;
  s->upstreams[a->upstream].running++;
  push_event (s, s->now_us + a->work_us, EVENT_FINISH, r, i);
}

static bool
was_tried (const request_t *r, int upstream)
{
  for (int i = 0; i < r->count; i++)
    if (r->attempts[i].upstream == upstream)
      return true;
  return false;
}

static int
choose_upstream (sim_t *s, const request_t *r)
{
  int best = -1;
  for (int picks = 0; picks < 2;)
    {
      int u = (int)lt_rng_below (&s->rng, UPSTREAMS);
      if (was_tried (r, u))
        continue;
      picks++;
      if (best < 0 || s->upstreams[u].in_flight < s->upstreams[best].in_flight)
        best = u;
    }
  return best;
}

static void
start_attempt (sim_t *s, int r)
{
  request_t *q = &s->requests[r];
  int i = q->count;
  attempt_t *a = &q->attempts[i];
  *a = (attempt_t){ .upstream = choose_upstream (s, q),
                    .started_us = s->now_us,
                    .open = true };
  q->count++;
  draw_behaviour (s, a);
  s->attempts++;
  upstream_t *u = &s->upstreams[a->upstream];
  u->in_flight++;
  if (u->running < SLOTS)
    run_attempt (s, r, i);
  else
    u->queue[u->tail++] = (queued_attempt_t){ r, i };
}

/** Ends an attempt and gives its slot to the next queued attempt, if any.  */
static void
close_attempt (sim_t *s, attempt_t *a)
{
  upstream_t *u = &s->upstreams[a->upstream];
  a->open = false;
  u->in_flight--;
  if (!a->running)
    return;
  u->running--;
  while (u->head < u->tail)
    {
      queued_attempt_t w = u->queue[u->head++];
      if (!s->requests[w.request].attempts[w.attempt].open)
        continue;
      run_attempt (s, w.request, w.attempt);
      return;
    }
}

static void
end_request (sim_t *s, request_t *r)
{
  r->finished = true;
  for (int i = 0; i < r->count; i++)
    if (r->attempts[i].open)
      {
        if (i == 0)
          lt_retry_on_latency (s->retry, SERVICE,
                               s->now_us - r->attempts[0].started_us);
        close_attempt (s, &r->attempts[i]);
      }
}

static lt_retry_attempt_t
make_retry_attempt (const request_t *r)
{
  return (lt_retry_attempt_t){ .service = SERVICE,
                               .workspace = 1,
                               .failure = LT_RETRY_STATUS_FAILED,
                               .idempotent = true,
                               .byte_sent = true,
                               .other_upstream = r->count < ATTEMPTS_MAX,
                               .attempts = 1 + r->retries,
                               .deadline_us = r->arrived_us + DEADLINE_US };
}

static void
on_failure (sim_t *s, int r)
{
  request_t *q = &s->requests[r];
  for (int i = 0; i < q->count; i++)
    if (q->attempts[i].open)
      return;
  lt_retry_attempt_t a = make_retry_attempt (q);
  lt_retry_decision_t d = { 0 };
  if (s->retries)
    d = lt_retry_decide (s->retry, &a, s->now_us);
  if (d.retry)
    {
      q->retries++;
      push_event (s, s->now_us + d.delay_us, EVENT_RETRY, r, 0);
      return;
    }
  s->failed++;
  end_request (s, q);
}

static void
on_finish (sim_t *s, const event_t *e)
{
  request_t *r = &s->requests[e->request];
  attempt_t *a = &r->attempts[e->attempt];
  if (!a->open)
    return;
  close_attempt (s, a);
  if (a->fails)
    {
      on_failure (s, e->request);
      return;
    }
  if (e->attempt == 0)
    lt_retry_on_latency (s->retry, SERVICE, s->now_us - a->started_us);
  end_request (s, r);
}

static void
on_arrival (sim_t *s, int r)
{
  request_t *q = &s->requests[r];
  q->arrived_us = s->now_us;
  lt_retry_on_request (s->retry, SERVICE, 1, s->now_us);
  start_attempt (s, r);
  push_event (s, s->now_us + DEADLINE_US, EVENT_DEADLINE, r, 0);
  int64_t delay_us = lt_retry_hedge_delay_us (s->retry, SERVICE);
  if (s->hedges && delay_us >= 0)
    push_event (s, s->now_us + delay_us, EVENT_HEDGE, r, 0);
  if (r + 1 == REQUESTS)
    return;
  double arrivals_per_us = load * UPSTREAMS * SLOTS / (BASE_US + MEAN_US);
  push_event (s,
              s->now_us
                  + (int64_t)lt_rng_exponential (&s->rng, 1 / arrivals_per_us),
              EVENT_ARRIVAL, r + 1, 0);
}

static void
on_hedge (sim_t *s, int r)
{
  request_t *q = &s->requests[r];
  lt_retry_attempt_t a = make_retry_attempt (q);
  if (q->count == 1 && q->attempts[0].open
      && lt_retry_decide_hedge (s->retry, &a, s->now_us).retry)
    start_attempt (s, r);
}

static void
handle (sim_t *s, const event_t *e)
{
  request_t *r = &s->requests[e->request];
  s->now_us = e->at_us;
  if (r->finished)
    return;
  switch (e->kind)
    {
    case EVENT_ARRIVAL:
      on_arrival (s, e->request);
      return;
    case EVENT_FINISH:
      on_finish (s, e);
      return;
    case EVENT_RETRY:
      start_attempt (s, e->request);
      return;
    case EVENT_HEDGE:
      on_hedge (s, e->request);
      return;
    case EVENT_DEADLINE:
      s->late++;
      end_request (s, r);
      return;
    }
}

static void
simulate (uint64_t seed, const scenario_t *scenario, bool retries, bool hedges)
{
  static const char *const modes[] = { "none", "retries", "retries+hedges" };
  sim_t s = { .scenario = scenario, .retries = retries, .hedges = hedges };
  lt_rng_init (&s.rng, seed);
  lt_retry_options_t options = LT_RETRY_OPTIONS_DEFAULT;
  s.retry = lt_retry_create (&options, &s.rng);
  s.requests = lt_alloc (REQUESTS * sizeof (request_t));
  for (int i = 0; i < UPSTREAMS; i++)
    s.upstreams[i].queue = lt_alloc ((size_t)REQUESTS * ATTEMPTS_MAX
                                     * sizeof (queued_attempt_t));
  push_event (&s, 0, EVENT_ARRIVAL, 0, 0);
  while (s.heap_len > 0)
    {
      event_t e = pop_event (&s);
      handle (&s, &e);
    }
  printf ("seed=%llu gray=%s mode=%s late_percent=%.3f failed_percent=%.3f "
          "added_load_percent=%.2f retries=%llu hedges=%llu\n",
          (unsigned long long)seed, scenario->name,
          modes[(retries ? 1 : 0) + (hedges ? 1 : 0)],
          100.0 * (double)s.late / REQUESTS,
          100.0 * (double)s.failed / REQUESTS,
          100.0 * ((double)s.attempts / REQUESTS - 1),
          (unsigned long long)lt_retry_count (s.retry, LT_RETRY_RETRIED),
          (unsigned long long)lt_retry_count (s.retry, LT_RETRY_HEDGED));
  for (int i = 0; i < UPSTREAMS; i++)
    free (s.upstreams[i].queue);
  free (s.requests);
  free (s.heap);
  lt_retry_destroy (s.retry);
}

int
main (int argc, char **argv)
{
  static const scenario_t scenarios[] = {
    { .name = "slow", .slow = 1, .gray = 1 },
    { .name = "half-failing", .fail = 0.5, .gray = 1 },
    { .name = "hanging", .hang = 0.3, .gray = 1 },
    { .name = "all-failing", .fail = 1, .gray = UPSTREAMS },
    { .name = "none" },
  };
  for (int i = 1; i < (argc > 1 ? argc : 2); i++)
    {
      uint64_t seed = argc > 1 ? strtoull (argv[i], NULL, 10) : 1;
      for (size_t j = 0; j < sizeof (scenarios) / sizeof (scenarios[0]); j++)
        {
          simulate (seed, &scenarios[j], false, false);
          simulate (seed, &scenarios[j], true, false);
          simulate (seed, &scenarios[j], true, true);
        }
    }
  return 0;
}
