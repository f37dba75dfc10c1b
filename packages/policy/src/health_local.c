#include "lt/policy/health_local.h"

#include "health_window.h"
#include "lt/base/str.h"
#include "lt/policy/health_record.h"
#include "lt/policy/health_test.h"

#include <stdlib.h>
#include <string.h>

/* After an ejection or avoidance the process is idle, not new: its first
   answer and its latency are no evidence, later failures are, so that an
   upstream that goes on failing is found again at once.  */
#define COLD_ANSWERS 1
#define RESTART_REFUSALS 3
/* One VM knows its peers' latency from few responses.  With the aggregator's
   margin of 2 all false avoidances of healthy upstreams were for slowness.  */
#define SLOW_MARGIN 3
/* lt_health_update runs from the controllers' tick, every 100 ms.  */
#define UPDATES_PER_S 10.0
#define PROBE_INTERVAL_US 1000000LL
#define PROBES_TO_RETURN 2
#define MOST_REPEATS 10

/* What an upstream needs once this VM sends to it.  A VM of a large fleet uses
   a subset of the upstreams only.  */
typedef struct used
{
  lt_health_test_t tests[LT_HEALTH_STREAMS];
  lt_health_counts_t step;   /**< Since the last update. */
  lt_health_counts_t report; /**< Since the last digest. */
  lt_health_share_t share;   /**< Of step, while in dirty. */
} used_t;

typedef struct item
{
  lt_health_state_t state;
  int64_t cold_until_us;
  uint32_t refused;      /**< Connections refused in a row. */
  uint32_t cold_answers; /**< That are left out; UINT32_MAX: by time. */
  used_t *used;          /**< NULL until the first response. */
  bool avoided;
  lt_health_evidence_t evidence; /**< Of the current avoidance. */
  int64_t avoided_until_us;
  int64_t next_probe_us;
  uint32_t probes_ok;
  uint32_t repeats;
  int64_t returned_us;
  bool dirty; /**< Listed in dirty. */
} item_t;

struct lt_health_local
{
  lt_health_local_options_t options;
  const lt_health_pool_t *pool;
  double threshold;
  item_t *items;
  bool report_failures;
  uint32_t *dirty; /**< Upstreams with counts in step. */
  uint32_t dirty_count;
  bool one_domain;
  lt_health_shares_t shares;
  lt_health_sketches_t sketches;
};

lt_health_local_t *
lt_health_local_create (const lt_health_local_options_t *options,
                        const lt_health_pool_t *pool)
{
  lt_health_local_t *local = lt_alloc (sizeof *local);
  uint32_t count = pool->count;
  local->options = *options;
  local->pool = pool;
  double tests = (double)LT_HEALTH_STREAMS * (count > 0 ? count : 1);
  local->threshold
      = lt_health_threshold (options->alarms_per_hour, tests, UPDATES_PER_S);
  local->items = lt_alloc ((count + 1) * sizeof *local->items);
  local->dirty = lt_alloc ((count + 1) * sizeof *local->dirty);
  local->one_domain = true;
  for (uint32_t i = 0; i < count; i++)
    {
      if (pool->upstreams[i].out)
        local->items[i].state = LT_HEALTH_OUT;
      if (pool->upstreams[i].failure_domain
          != pool->upstreams[0].failure_domain)
        local->one_domain = false;
    }
  lt_health_shares_init (&local->shares, count);
  lt_health_sketches_init (&local->sketches, count, 1);
  return local;
}

void
lt_health_local_destroy (lt_health_local_t *local)
{
  if (!local)
    return;
  lt_health_shares_clear (&local->shares);
  lt_health_sketches_clear (&local->sketches);
  for (uint32_t i = 0; i < local->pool->count; i++)
    free (local->items[i].used);
  free (local->items);
  free (local->dirty);
  free (local);
}

static void
count_response (lt_health_counts_t *counts,
                const lt_health_observation_t *observation)
{
  counts->requests++;
  if (observation->outcome != LT_HEALTH_OK)
    {
      counts->failed++;
      return;
    }
  uint32_t bucket = lt_health_bucket (observation->latency_us);
  if (counts->latency[bucket] < UINT16_MAX)
    counts->latency[bucket]++;
}

/* An answer after several refused connections is of a new process.  */
static void
notice_restart (const lt_health_local_t *local, item_t *item,
                lt_health_outcome_t outcome, int64_t now_us)
{
  if (outcome == LT_HEALTH_REFUSED)
    {
      item->refused++;
      return;
    }
  if (item->refused >= RESTART_REFUSALS)
    {
      item->cold_until_us = now_us + local->options.cold_us;
      item->cold_answers = UINT32_MAX;
    }
  item->refused = 0;
}

/* A refused connection is not an answer.  A timeout is slowness.  */
static bool
is_cold_answer (item_t *item, const lt_health_observation_t *observation)
{
  if (observation->outcome == LT_HEALTH_REFUSED)
    return false;
  bool timed = observation->outcome == LT_HEALTH_OK
               || observation->outcome == LT_HEALTH_TIMEOUT;
  if (item->cold_answers == UINT32_MAX)
    return true;
  if (item->cold_answers == 0)
    return timed;
  item->cold_answers--;
  return true;
}

void
lt_health_observe (lt_health_local_t *local,
                   const lt_health_observation_t *observation, int64_t now_us)
{
  uint32_t u = observation->upstream;
  if (u >= local->pool->count || observation->outcome == LT_HEALTH_SHED)
    return;
  if (observation->outcome == LT_HEALTH_RESET && observation->suspect)
    return;
  item_t *item = &local->items[u];
  notice_restart (local, item, observation->outcome, now_us);
  if (now_us < item->cold_until_us && is_cold_answer (item, observation))
    return;
  if (!item->used)
    item->used = lt_alloc (sizeof *item->used);
  count_response (&item->used->step, observation);
  count_response (&item->used->report, observation);
  local->report_failures |= observation->outcome != LT_HEALTH_OK;
  if (!item->dirty)
    {
      item->dirty = true;
      local->dirty[local->dirty_count++] = u;
    }
}

void
lt_health_mark_cold (lt_health_local_t *local, uint32_t upstream,
                     int64_t now_us)
{
  if (upstream >= local->pool->count)
    return;
  item_t *item = &local->items[upstream];
  item->cold_until_us = now_us + local->options.cold_us;
  item->cold_answers = UINT32_MAX;
  if (item->used)
    memset (item->used->tests, 0, sizeof item->used->tests);
}

static lt_health_share_t
step_share (const lt_health_local_t *local, uint32_t u)
{
  const lt_health_counts_t *step = &local->items[u].used->step;
  uint32_t remote = local->pool->upstreams[u].remote;
  uint32_t slow
      = lt_health_sketches_slow (&local->sketches, u, remote, SLOW_MARGIN);
  lt_health_share_t share = { { 0 }, { 0 } };
  share.trials[LT_HEALTH_STREAM_FAILED] = step->requests;
  share.bad[LT_HEALTH_STREAM_FAILED] = step->failed;
  if (slow >= LT_HEALTH_BUCKETS)
    return share;
  share.trials[LT_HEALTH_STREAM_SLOW] = step->requests - step->failed;
  for (uint32_t b = slow; b < LT_HEALTH_BUCKETS; b++)
    share.bad[LT_HEALTH_STREAM_SLOW] += step->latency[b];
  return share;
}

/* Sums the step's counts of the upstreams in other failure domains than U, or
   of all others when U's domain is the only one.  */
static lt_health_share_t
step_peers (const lt_health_local_t *local, uint32_t u)
{
  const lt_health_upstream_t *upstreams = local->pool->upstreams;
  lt_health_share_t apart = { { 0 }, { 0 } };
  lt_health_share_t all = { { 0 }, { 0 } };
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t v = local->dirty[i];
      bool same = upstreams[v].failure_domain == upstreams[u].failure_domain;
      for (int s = 0; s < LT_HEALTH_STREAMS && v != u; s++)
        {
          all.trials[s] += local->items[v].used->share.trials[s];
          all.bad[s] += local->items[v].used->share.bad[s];
          apart.trials[s] += same ? 0 : local->items[v].used->share.trials[s];
          apart.bad[s] += same ? 0 : local->items[v].used->share.bad[s];
        }
    }
  return local->one_domain ? all : apart;
}

static void
test_step (lt_health_local_t *local, uint32_t u)
{
  const lt_health_share_t *share = &local->items[u].used->share;
  lt_health_share_t peers = step_peers (local, u);
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      lt_health_test_t *test = &local->items[u].used->tests[s];
      lt_health_step_t step = { .baseline = lt_health_shares_apart (
                                    &local->shares, local->pool, u, s),
                                .trials = share->trials[s],
                                .bad = share->bad[s],
                                .peer_trials = peers.trials[s],
                                .peer_bad = peers.bad[s] };
      lt_health_test_add (test, &step);
      for (uint32_t k = 0; k < LT_HEALTH_ALTERNATIVES; k++)
        if (test->score[k] <= 0)
          lt_health_test_clear (test, k);
    }
}

static void
add_sketch (lt_health_local_t *local, uint32_t u)
{
  uint32_t remote = local->pool->upstreams[u].remote;
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    if (local->items[u].used->step.latency[b] > 0)
      lt_health_sketches_add (&local->sketches, u, remote, b,
                              local->items[u].used->step.latency[b]);
}

/* Returns whether the tests of U are over the threshold, with the evidence. */
static bool
is_alarmed (const lt_health_local_t *local, uint32_t u,
            lt_health_evidence_t *evidence)
{
  bool alarmed = false;
  evidence->score = 0;
  if (!local->items[u].used)
    return false;
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    for (uint32_t k = lt_health_first_alternative (s);
         k < LT_HEALTH_ALTERNATIVES; k++)
      {
        const lt_health_test_t *test = &local->items[u].used->tests[s];
        double score = lt_health_test_confirmed (test, k);
        if (score < local->threshold || score <= evidence->score)
          continue;
        alarmed = true;
        *evidence
            = (lt_health_evidence_t){ .stream = s,
                                      .score = score,
                                      .threshold = local->threshold,
                                      .share = test->since[k].bad
                                               / test->since[k].trials,
                                      .baseline = test->since[k].baseline,
                                      .trials = test->since[k].trials,
                                      .domains = 1 };
      }
  return alarmed;
}

static void
avoid (lt_health_local_t *local, uint32_t u,
       const lt_health_evidence_t *evidence, int64_t now_us)
{
  item_t *item = &local->items[u];
  int64_t healthy = now_us - item->returned_us;
  int64_t forgotten = healthy / local->options.decay_us;
  if (forgotten >= (int64_t)item->repeats)
    item->repeats = 0;
  else
    item->repeats -= (uint32_t)forgotten;
  int64_t hold = local->options.avoid_first_us << item->repeats;
  if (hold > local->options.avoid_longest_us)
    hold = local->options.avoid_longest_us;
  if (item->repeats < MOST_REPEATS)
    item->repeats++;
  item->avoided = true;
  item->evidence = *evidence;
  item->avoided_until_us = now_us + hold;
  item->next_probe_us = item->avoided_until_us;
  item->probes_ok = 0;
}

static lt_health_state_t
wanted_state (const lt_health_local_t *local, const lt_ejection_view_t *view,
              uint32_t u)
{
  if (local->pool->upstreams[u].out)
    return LT_HEALTH_OUT;
  if (view && lt_ejection_is_ejected (view, u))
    return LT_HEALTH_EJECTED;
  return local->items[u].avoided ? LT_HEALTH_AVOIDED : LT_HEALTH_USABLE;
}

/* Runs the tests over the counts since the last update, and puts them into
   the windows.  */
static void
run_tests (lt_health_local_t *local, int64_t now_us)
{
  lt_health_shares_advance (&local->shares, now_us);
  lt_health_sketches_advance (&local->sketches, now_us);
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t u = local->dirty[i];
      local->items[u].used->share = step_share (local, u);
    }
  for (uint32_t i = 0; i < local->dirty_count; i++)
    test_step (local, local->dirty[i]);
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t u = local->dirty[i];
      lt_health_shares_add (&local->shares, u, &local->items[u].used->share);
    }
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t u = local->dirty[i];
      add_sketch (local, u);
      memset (&local->items[u].used->step, 0,
              sizeof local->items[u].used->step);
      local->items[u].dirty = false;
    }
  local->dirty_count = 0;
}

/* Returns the upstream in STATE with the weakest evidence, or UINT32_MAX.  */
static uint32_t
weakest (const lt_health_local_t *local, const lt_ejection_view_t *view,
         const lt_health_state_t *states, lt_health_state_t state)
{
  uint32_t found = UINT32_MAX;
  double least = 0;
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      if (states[u] != state)
        continue;
      const lt_health_evidence_t *evidence = &local->items[u].evidence;
      if (state == LT_HEALTH_EJECTED)
        evidence = &lt_ejection_find (view, u)->evidence;
      double strength = evidence->score / evidence->threshold;
      if (found != UINT32_MAX && strength >= least)
        continue;
      found = u;
      least = strength;
    }
  return found;
}

/* Makes upstreams usable again until the floor holds.  */
static int64_t
keep_floor (lt_health_local_t *local, const lt_ejection_view_t *view,
            lt_health_state_t *states)
{
  static const lt_health_state_t order[]
      = { LT_HEALTH_AVOIDED, LT_HEALTH_EJECTED };
  int64_t left = 0;
  for (uint32_t u = 0; u < local->pool->count; u++)
    if (states[u] == LT_HEALTH_USABLE)
      left += local->pool->upstreams[u].slots;
  int64_t floor = lt_health_pool_floor (local->pool);
  for (int i = 0; i < 2; i++)
    while (left < floor)
      {
        uint32_t u = weakest (local, view, states, order[i]);
        if (u == UINT32_MAX)
          break;
        states[u] = LT_HEALTH_USABLE;
        local->items[u].avoided = false;
        left += local->pool->upstreams[u].slots;
      }
  return left - floor;
}

/* Avoids alarmed upstreams while SPARE slots above the floor last.  */
static void
add_avoidances (lt_health_local_t *local, lt_health_state_t *states,
                int64_t spare, int64_t now_us)
{
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      lt_health_evidence_t evidence;
      int32_t slots = local->pool->upstreams[u].slots;
      if (states[u] != LT_HEALTH_USABLE || slots > spare)
        continue;
      if (!is_alarmed (local, u, &evidence))
        continue;
      avoid (local, u, &evidence, now_us);
      states[u] = LT_HEALTH_AVOIDED;
      spare -= slots;
    }
}

static void
enter_state (lt_health_local_t *local, uint32_t u, lt_health_state_t state,
             int64_t now_us)
{
  item_t *item = &local->items[u];
  bool was_out = item->state == LT_HEALTH_OUT;
  item->state = state;
  if (state == LT_HEALTH_USABLE)
    {
      item->returned_us = now_us;
      lt_health_mark_cold (local, u, now_us);
      if (!was_out)
        item->cold_answers = COLD_ANSWERS;
      return;
    }
  if (state != LT_HEALTH_AVOIDED)
    item->avoided = false;
  if (item->used)
    memset (item->used->tests, 0, sizeof item->used->tests);
  lt_health_shares_forget (&local->shares, u);
  lt_health_sketches_forget (&local->sketches, u,
                             local->pool->upstreams[u].remote);
}

uint32_t
lt_health_update (lt_health_local_t *local, const lt_ejection_view_t *view,
                  int64_t now_us)
{
  uint32_t count = local->pool->count;
  uint32_t changed = 0;
  lt_health_state_t *states = lt_alloc ((count + 1) * sizeof *states);
  run_tests (local, now_us);
  for (uint32_t u = 0; u < count; u++)
    states[u] = wanted_state (local, view, u);
  int64_t spare = keep_floor (local, view, states);
  add_avoidances (local, states, spare, now_us);
  for (uint32_t u = 0; u < count; u++)
    {
      if (states[u] == local->items[u].state)
        continue;
      enter_state (local, u, states[u], now_us);
      changed++;
    }
  free (states);
  return changed;
}

lt_health_state_t
lt_health_state (const lt_health_local_t *local, uint32_t upstream)
{
  return local->items[upstream].state;
}

const lt_health_evidence_t *
lt_health_local_evidence (const lt_health_local_t *local, uint32_t upstream)
{
  const item_t *item = &local->items[upstream];
  return item->state == LT_HEALTH_AVOIDED ? &item->evidence : NULL;
}

double
lt_health_usable_share (const lt_health_local_t *local)
{
  int64_t all = lt_health_pool_slots (local->pool);
  int64_t usable = 0;
  for (uint32_t u = 0; u < local->pool->count; u++)
    if (local->items[u].state == LT_HEALTH_USABLE)
      usable += local->pool->upstreams[u].slots;
  return all > 0 ? (double)usable / (double)all : 0;
}

uint32_t
lt_health_local_probe_due (lt_health_local_t *local, int64_t now_us)
{
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      item_t *item = &local->items[u];
      if (item->state != LT_HEALTH_AVOIDED || now_us < item->next_probe_us)
        continue;
      item->next_probe_us = now_us + PROBE_INTERVAL_US;
      return u;
    }
  return UINT32_MAX;
}

void
lt_health_local_probed (lt_health_local_t *local, uint32_t upstream, bool ok,
                        int64_t now_us)
{
  if (upstream >= local->pool->count)
    return;
  item_t *item = &local->items[upstream];
  if (!item->avoided || now_us < item->avoided_until_us)
    return;
  item->probes_ok = ok ? item->probes_ok + 1 : 0;
  if (item->probes_ok >= PROBES_TO_RETURN)
    item->avoided = false;
}

bool
lt_health_has_failures (const lt_health_local_t *local)
{
  return local->report_failures;
}

uint32_t
lt_health_take_counts (lt_health_local_t *local, lt_health_counts_t *out)
{
  uint32_t taken = 0;
  local->report_failures = false;
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      used_t *used = local->items[u].used;
      if (!used || used->report.requests == 0)
        continue;
      lt_health_counts_t *counts = &used->report;
      out[taken] = *counts;
      out[taken].upstream = u;
      out[taken].remote = local->pool->upstreams[u].remote;
      taken++;
      memset (counts, 0, sizeof *counts);
    }
  return taken;
}
