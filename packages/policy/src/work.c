#include "lt/policy/work.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"

enum
{
  ATTEMPTS_FIRST_CAP = 4,
  OFFERS_FIRST_CAP = 64,
  SWEEP_INTERVAL_S = 10,
  SLOW_DECAYS_KEPT = 5 /* Time constants after which evidence is dropped. */
};

/* Least room of an upstream, in requests.  */
#define ROOM_MIN 0.1
/* Where the expected wait makes up most of the time, the rest of it is taken
   for the cost, but at least this share.  */
#define COST_MIN_SHARE 0.2

typedef struct attempt
{
  uint64_t id;
  lt_cost_key_t key;
  int64_t started_us;
  double wait_us;     /* That the upstream's queue explains. */
  double expected_us; /* Mean cost, as predicted at the start. */
} attempt_t;

typedef struct upstream_work
{
  UT_hash_handle hh;
  uint64_t id;
  attempt_t *attempts;
  uint32_t count;
  uint32_t cap;
  double slow_log; /* Decayed mean of the logarithm of the ratio. */
  double slow_weight;
  int64_t slow_us;
} upstream_work_t;

/* An upstream that is offered to the next pick.  */
typedef struct offer
{
  uint32_t index;
  double loss;
  lt_work_load_t load;
  double expected; /* Requests there now, as expected. */
} offer_t;

struct lt_work
{
  lt_work_options_t options;
  lt_cost_t *cost;
  upstream_work_t *upstreams;
  uint64_t completed;
  uint64_t stopped;
  int64_t swept_us;
  offer_t *offers;
  uint32_t offer_count;
  uint32_t offer_cap;
  double *loads; /* Expected ones of the offers with reports. */
};

lt_work_t *
lt_work_create (const lt_work_options_t *options,
                const lt_cost_options_t *cost_options)
{
  lt_work_t *work = lt_alloc (sizeof (*work));
  work->options = *options;
  work->cost = lt_cost_create (cost_options);
  return work;
}

static void
remove_upstream (lt_work_t *work, upstream_work_t *upstream)
{
  HASH_DEL (work->upstreams, upstream); /* NOLINT(clang-analyzer-*) */
  free (upstream->attempts);
  free (upstream);
}

void
lt_work_destroy (lt_work_t *work)
{
  if (work == NULL)
    return;
  upstream_work_t *upstream;
  upstream_work_t *next;
  HASH_ITER (hh, work->upstreams, upstream, next)
  {
    remove_upstream (work, upstream);
  }
  lt_cost_destroy (work->cost);
  free (work->offers);
  free (work->loads);
  free (work);
}

lt_cost_t *
lt_work_cost (lt_work_t *work)
{
  return work->cost;
}

static upstream_work_t *
find (const lt_work_t *work, uint64_t id)
{
  upstream_work_t *upstream = NULL;
  HASH_FIND (hh, work->upstreams, &id, sizeof (id), upstream);
  return upstream;
}

/* Removes upstreams without requests and recent evidence, so that the table
   does not grow with upstreams that come and go.  */
static void
sweep (lt_work_t *work, int64_t now_us)
{
  if (now_us - work->swept_us < SWEEP_INTERVAL_S * LT_US_PER_S)
    return;
  work->swept_us = now_us;
  int64_t oldest_us = now_us - SLOW_DECAYS_KEPT * work->options.slow_decay_us;
  upstream_work_t *next = NULL;
  for (upstream_work_t *u = work->upstreams; u != NULL; u = next)
    {
      next = u->hh.next;
      if (u->count == 0 && u->slow_us < oldest_us)
        remove_upstream (work, u);
    }
}

static upstream_work_t *
find_or_add (lt_work_t *work, uint64_t id, int64_t now_us)
{
  upstream_work_t *upstream = find (work, id);
  if (upstream != NULL)
    return upstream;
  upstream = lt_alloc (sizeof (*upstream));
  upstream->id = id;
  upstream->slow_us = now_us;
  /* NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_ADD (hh, work->upstreams, id, sizeof (upstream->id), upstream);
  return upstream;
}

static double
slow_weight_now (const lt_work_t *work, const upstream_work_t *upstream,
                 int64_t now_us)
{
  return upstream->slow_weight
         * exp (-(double)(now_us - upstream->slow_us)
                / (double)work->options.slow_decay_us);
}

static double
slowness (const lt_work_t *work, const upstream_work_t *upstream,
          int64_t now_us)
{
  const lt_work_options_t *o = &work->options;
  if (upstream == NULL || upstream->slow_log <= o->slow_margin)
    return 1;
  double weight = slow_weight_now (work, upstream, now_us);
  double trust = weight / (weight + o->slow_prior_weight);
  return exp ((upstream->slow_log - o->slow_margin) * trust);
}

double
lt_work_slowness (const lt_work_t *work, uint64_t upstream, int64_t now_us)
{
  return slowness (work, find (work, upstream), now_us);
}

/* Returns the remaining work of this VM's requests at UPSTREAM, in units of
   MEAN_US, each counted with at most MOST.  */
static double
own_work (const lt_work_t *work, const upstream_work_t *upstream,
          double mean_us, double most, int64_t now_us)
{
  double sum = 0;
  for (uint32_t i = 0; upstream != NULL && i < upstream->count; i++)
    {
      const attempt_t *attempt = &upstream->attempts[i];
      double elapsed_us
          = (double)(now_us - attempt->started_us) - attempt->wait_us;
      double left = lt_cost_remaining_us (work->cost, &attempt->key,
                                          elapsed_us, now_us)
                    / mean_us;
      sum += left < most ? left : most;
    }
  return sum;
}

/* Returns the wait for a slot behind COUNT requests that have WORK left, in
   mean costs of the service: it takes as many ends of requests as are too
   many, and one of them ends each WORK / COUNT / SLOTS.  */
static double
expected_wait (double count, int32_t slots, double work)
{
  if (count <= slots - 1)
    return 0;
  return (count - slots + 1) / slots * work / count;
}

void
lt_work_offer (lt_work_t *work, uint32_t index, double loss,
               const lt_work_load_t *load)
{
  if (work->offer_count == work->offer_cap)
    {
      work->offer_cap
          = work->offer_cap == 0 ? OFFERS_FIRST_CAP : work->offer_cap * 2;
      work->offers = lt_realloc (work->offers,
                                 work->offer_cap * sizeof (*work->offers));
      work->loads
          = lt_realloc (work->loads, work->offer_cap * sizeof (*work->loads));
    }
  offer_t *offer = &work->offers[work->offer_count++];
  *offer = (offer_t){ .index = index, .loss = loss, .load = *load };
  if (offer->load.slots < 1)
    offer->load.slots = 1;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Reports are about a tenth of a second old, and all VMs of the failure domain
   have the same ones: if each chose the least loaded upstream, all would
   choose the same.  So requests that ended and began since are expected at
   each upstream: the first in proportion to its load, the others where there
   is room (Dahlin, "Interpreting Stale Load Information", IEEE TPDS 11(10),
   2000).  Returns the load up to which these others fill the upstreams, and
   their number in UNSEEN.  */
static double
fill_level (lt_work_t *work, double mean_us, double *unseen)
{
  double turnover = (double)work->options.report_age_us / mean_us;
  uint32_t reported = 0;
  for (uint32_t i = 0; i < work->offer_count; i++)
    {
      offer_t *offer = &work->offers[i];
      const lt_work_load_t *load = &offer->load;
      double ended = fmin (load->peers, load->slots) * fmin (turnover, 1);
      offer->expected = load->own + load->peers;
      if (!load->reported)
        continue;
      offer->expected -= ended;
      *unseen += ended;
      work->loads[reported++] = offer->expected;
    }
  qsort (work->loads, reported, sizeof (*work->loads), by_value);
  double level = 0;
  double sum = 0;
  for (uint32_t i = 0; i < reported && (i == 0 || work->loads[i] < level); i++)
    {
      sum += work->loads[i];
      level = (*unseen + sum) / (i + 1);
    }
  return level;
}

/* Returns the loss by load of a request with COST (in mean costs) at the
   upstream of OFFER.  */
static double
load_loss (const lt_work_t *work, const offer_t *offer, double level,
           double cost, double mean_us, double busy_loss, double queue_loss,
           int64_t now_us)
{
  const lt_work_options_t *o = &work->options;
  const lt_work_load_t *load = &offer->load;
  const upstream_work_t *upstream = find (work, load->upstream);
  double count = offer->expected;
  if (load->reported && count < level)
    count = level;
  /* Where other VMs do not report, their load is likely as here, but without
     a queue: else requests would stay here while there is room.  */
  if (!load->reported)
    count += fmin (level, load->slots * o->unreported_fill);
  /* Other VMs report counts: on average each of their requests has the mean
     cost of the service left.  */
  int32_t known = load->own + load->peers;
  double left = own_work (work, upstream, mean_us, o->request_work_max, now_us)
                + load->peers;
  double per_request = known > 0 ? left / known : 1;
  double slow = slowness (work, upstream, now_us);
  double fill = fmin (1, count / load->slots);
  double delay = expected_wait (count, load->slots, count * per_request) * slow
                 + cost * (slow - 1)
                 + o->cost_weight * fmax (cost - 1, 0) * fill;
  return busy_loss * fill + queue_loss * delay;
}

int64_t
lt_work_pick (lt_work_t *work, const lt_cost_key_t *key, double busy_loss,
              double queue_loss, lt_rng_t *rng, int64_t now_us)
{
  int64_t best = -LT_EUNAVAILABLE;
  double least = INFINITY;
  if (work->offer_count == 0)
    return best;
  double mean_us = lt_cost_service_mean_us (work->cost, key, now_us);
  double cost = lt_cost_mean_us (work->cost, key, now_us) / mean_us;
  double unseen = 0;
  double level = fill_level (work, mean_us, &unseen);
  double spread_loss = work->options.spread_loss * fmin (unseen, 1);
  for (uint32_t i = 0; i < work->offer_count; i++)
    {
      const offer_t *offer = &work->offers[i];
      if (offer->loss >= least)
        continue; /* The loss by load is never negative. */
      double room = fmax (level - offer->expected, ROOM_MIN);
      /* Among upstreams with equal losses each is chosen in proportion to its
         room: the least of exponential variates with the rooms as rates.  The
         bound keeps a request from going far away by chance.  */
      double spread = fmin (lt_rng_exponential (rng, 1) / room, 1);
      double loss = offer->loss
                    + load_loss (work, offer, level, cost, mean_us, busy_loss,
                                 queue_loss, now_us)
                    + spread_loss * spread;
      if (loss >= least)
        continue;
      least = loss;
      best = offer->index;
    }
  work->offer_count = 0;
  return best;
}

void
lt_work_begin (lt_work_t *work, const lt_work_load_t *load, uint64_t attempt,
               const lt_cost_key_t *key, int64_t now_us)
{
  sweep (work, now_us);
  upstream_work_t *upstream = find_or_add (work, load->upstream, now_us);
  if (upstream->count == upstream->cap)
    {
      upstream->cap
          = upstream->cap == 0 ? ATTEMPTS_FIRST_CAP : upstream->cap * 2;
      upstream->attempts = lt_realloc (
          upstream->attempts, upstream->cap * sizeof (*upstream->attempts));
    }
  int32_t slots = load->slots > 0 ? load->slots : 1;
  double mean_us = lt_cost_service_mean_us (work->cost, key, now_us);
  double left = own_work (work, upstream, mean_us,
                          work->options.request_work_max, now_us)
                + load->peers;
  upstream->attempts[upstream->count++] = (attempt_t){
    .id = attempt,
    .key = *key,
    .started_us = now_us,
    .wait_us = expected_wait (load->own + load->peers, slots, left) * mean_us
               * slowness (work, upstream, now_us),
    .expected_us = lt_cost_mean_us (work->cost, key, now_us),
  };
}

static void
observe_speed (const lt_work_t *work, upstream_work_t *upstream,
               double log_ratio, double trust, int64_t now_us)
{
  const lt_work_options_t *o = &work->options;
  log_ratio = fmax (-o->slow_log_max, fmin (o->slow_log_max, log_ratio));
  double weight = slow_weight_now (work, upstream, now_us) + trust;
  upstream->slow_log += (log_ratio - upstream->slow_log) * trust / weight;
  upstream->slow_weight = weight;
  upstream->slow_us = now_us;
}

/* Learns from an attempt that took LATENCY_US.  Its cost is what the queue at
   its start does not explain; the larger that part, the less the observation
   counts.  */
static void
learn (lt_work_t *work, upstream_work_t *upstream, const attempt_t *attempt,
       lt_work_end_t end, double latency_us, int64_t now_us)
{
  double cost_us = latency_us - attempt->wait_us;
  if (cost_us < latency_us * COST_MIN_SHARE)
    cost_us = latency_us * COST_MIN_SHARE;
  double trust = cost_us / latency_us;
  /* A request that was stopped shows something only if it was expected to be
     over by then.  */
  if (end == LT_WORK_STOPPED && cost_us < attempt->expected_us)
    return;
  /* The speed is compared with the whole time that was expected, so that a
     wait in the queue is not taken for slowness.  */
  double log_ratio
      = log (latency_us / (attempt->wait_us + attempt->expected_us));
  observe_speed (work, upstream, log_ratio, trust, now_us);
  lt_cost_learn (work->cost, &attempt->key, cost_us, trust, now_us);
}

void
lt_work_end (lt_work_t *work, uint64_t upstream_id, uint64_t attempt_id,
             lt_work_end_t end, int64_t latency_us, int64_t now_us)
{
  upstream_work_t *upstream = find (work, upstream_id);
  if (upstream == NULL)
    return;
  uint32_t at = 0;
  while (at < upstream->count && upstream->attempts[at].id != attempt_id)
    at++;
  if (at == upstream->count)
    return;
  attempt_t attempt = upstream->attempts[at];
  upstream->attempts[at] = upstream->attempts[--upstream->count];
  work->completed += end == LT_WORK_COMPLETE;
  work->stopped += end == LT_WORK_STOPPED;
  if (end != LT_WORK_FAILED && latency_us > 0)
    learn (work, upstream, &attempt, end, (double)latency_us, now_us);
}

lt_work_stats_t
lt_work_get_stats (const lt_work_t *work, int64_t now_us)
{
  lt_work_stats_t stats
      = { .completed = work->completed, .stopped = work->stopped };
  for (const upstream_work_t *u = work->upstreams; u != NULL; u = u->hh.next)
    {
      stats.attempts += u->count;
      stats.slow += slowness (work, u, now_us) > 1.5;
      for (uint32_t i = 0; i < u->count; i++)
        {
          const attempt_t *attempt = &u->attempts[i];
          double elapsed_us = (double)(now_us - attempt->started_us);
          stats.work
              += lt_cost_remaining_us (work->cost, &attempt->key,
                                       elapsed_us - attempt->wait_us, now_us)
                 / lt_cost_service_mean_us (work->cost, &attempt->key, now_us);
        }
    }
  return stats;
}
