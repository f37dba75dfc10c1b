#include "lt/policy/health_local.h"

#include "health_window.h"
#include "lt/base/str.h"
#include "lt/policy/health_record.h"
#include "lt/policy/health_test.h"

#include <stdlib.h>
#include <string.h>

/* After an ejection or avoidance the process was idle but did not restart.  So
   during its cold start only its first response and its latencies are ignored;
   later failures count, so that an upstream that still fails is detected
   again at once.  */
#define IDLE_COLD_RESPONSES 1
/* A response after this many refused connections in a row shows a restart.  */
#define RESTART_REFUSALS 3
/* One VM estimates the latency of an upstream's peers from few responses.
   With the aggregator's margin of 2, all avoidances of healthy upstreams were
   for slowness.  */
#define SLOW_MARGIN 3
/* The controllers' tick calls lt_health_update every 100 ms.  */
#define UPDATES_PER_S 10.0
#define PROBE_INTERVAL_US 1000000LL
#define PROBES_TO_RETURN 2
#define MAX_REPEATS 10

/* Tests and counts of one upstream, allocated at the first response: a VM of a
   large fleet uses only a subset of the upstreams.  */
typedef struct measurements
{
  lt_health_test_t tests[LT_HEALTH_STREAMS];
  lt_health_counts_t step;   /**< Since the last update. */
  lt_health_counts_t digest; /**< Since the last digest. */
  lt_health_tally_t tally;   /**< Derived from step by run_tests. */
} measurements_t;

typedef struct upstream_state
{
  lt_health_state_t state;
  int64_t cold_until_us;
  uint32_t refused; /**< Connections refused in a row. */
  /** Responses still to be ignored in the cold start; UINT32_MAX: all until it
      ends.  */
  uint32_t cold_responses;
  measurements_t *measurements; /**< NULL until the first response. */
  bool avoided;
  lt_health_evidence_t evidence; /**< Of the current avoidance. */
  int64_t avoided_until_us;
  int64_t next_probe_us;
  uint32_t probes_ok;
  uint32_t repeats;
  int64_t returned_us;
  bool dirty; /**< Listed in lt_health_local.dirty. */
} upstream_state_t;

struct lt_health_local
{
  lt_health_local_options_t options;
  const lt_health_pool_t *pool;
  double threshold;
  upstream_state_t *by_upstream;
  bool digest_has_failures;
  uint32_t *dirty; /**< Upstreams with responses since the last update. */
  uint32_t dirty_count;
  bool single_domain;
  lt_health_tallies_t tallies;
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
  local->threshold = lt_health_threshold (options->false_alarms_per_hour,
                                          tests, UPDATES_PER_S);
  local->by_upstream = lt_alloc ((count + 1) * sizeof *local->by_upstream);
  local->dirty = lt_alloc ((count + 1) * sizeof *local->dirty);
  local->single_domain = true;
  for (uint32_t i = 0; i < count; i++)
    {
      if (pool->upstreams[i].out_of_service)
        local->by_upstream[i].state = LT_HEALTH_OUT_OF_SERVICE;
      if (pool->upstreams[i].failure_domain
          != pool->upstreams[0].failure_domain)
        local->single_domain = false;
    }
  lt_health_tallies_init (&local->tallies, count);
  lt_health_sketches_init (&local->sketches, count, 1);
  return local;
}

void
lt_health_local_destroy (lt_health_local_t *local)
{
  if (!local)
    return;
  lt_health_tallies_clear (&local->tallies);
  lt_health_sketches_clear (&local->sketches);
  for (uint32_t i = 0; i < local->pool->count; i++)
    free (local->by_upstream[i].measurements);
  free (local->by_upstream);
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

/* Counts refused connections.  A response after several of them comes from a
   restarted process, whose cold-start time begins.  */
static void
detect_restart (const lt_health_local_t *local, upstream_state_t *entry,
                lt_health_outcome_t outcome, int64_t now_us)
{
  if (outcome == LT_HEALTH_REFUSED)
    {
      entry->refused++;
      return;
    }
  if (entry->refused >= RESTART_REFUSALS)
    {
      entry->cold_until_us = now_us + local->options.cold_start_us;
      entry->cold_responses = UINT32_MAX;
    }
  entry->refused = 0;
}

/* Returns whether the response is to be ignored during a cold start.  A
   refused connection is no response of the process; a timeout counts as a
   latency.  */
static bool
is_ignored_in_cold_start (upstream_state_t *entry,
                          const lt_health_observation_t *observation)
{
  if (observation->outcome == LT_HEALTH_REFUSED)
    return false;
  bool has_latency = observation->outcome == LT_HEALTH_OK
                     || observation->outcome == LT_HEALTH_TIMEOUT;
  if (entry->cold_responses == UINT32_MAX)
    return true;
  if (entry->cold_responses == 0)
    return has_latency;
  entry->cold_responses--;
  return true;
}

void
lt_health_observe (lt_health_local_t *local,
                   const lt_health_observation_t *observation, int64_t now_us)
{
  uint32_t u = observation->upstream;
  if (u >= local->pool->count || observation->outcome == LT_HEALTH_SHED)
    return;
  if (observation->outcome == LT_HEALTH_RESET
      && observation->quarantine_suspect)
    return;
  upstream_state_t *entry = &local->by_upstream[u];
  detect_restart (local, entry, observation->outcome, now_us);
  if (now_us < entry->cold_until_us
      && is_ignored_in_cold_start (entry, observation))
    return;
  if (!entry->measurements)
    entry->measurements = lt_alloc (sizeof *entry->measurements);
  count_response (&entry->measurements->step, observation);
  count_response (&entry->measurements->digest, observation);
  local->digest_has_failures |= observation->outcome != LT_HEALTH_OK;
  if (!entry->dirty)
    {
      entry->dirty = true;
      local->dirty[local->dirty_count++] = u;
    }
}

void
lt_health_begin_cold_start (lt_health_local_t *local, uint32_t upstream,
                            int64_t now_us)
{
  if (upstream >= local->pool->count)
    return;
  upstream_state_t *entry = &local->by_upstream[upstream];
  entry->cold_until_us = now_us + local->options.cold_start_us;
  entry->cold_responses = UINT32_MAX;
  if (entry->measurements)
    memset (entry->measurements->tests, 0, sizeof entry->measurements->tests);
}

static lt_health_tally_t
step_tally (const lt_health_local_t *local, uint32_t u)
{
  const lt_health_counts_t *step = &local->by_upstream[u].measurements->step;
  uint32_t remote = local->pool->upstreams[u].remote;
  uint32_t slow = lt_health_sketches_slow_bucket (&local->sketches, u, remote,
                                                  SLOW_MARGIN);
  lt_health_tally_t tally = { { 0 }, { 0 } };
  tally.trials[LT_HEALTH_STREAM_FAILED] = step->requests;
  tally.bad[LT_HEALTH_STREAM_FAILED] = step->failed;
  if (slow >= LT_HEALTH_BUCKETS)
    return tally;
  tally.trials[LT_HEALTH_STREAM_SLOW] = step->requests - step->failed;
  for (uint32_t b = slow; b < LT_HEALTH_BUCKETS; b++)
    tally.bad[LT_HEALTH_STREAM_SLOW] += step->latency[b];
  return tally;
}

/* Sums the counts of this step over the upstreams outside U's failure domain,
   or over all others when the service has only one domain.  */
static lt_health_tally_t
step_peers (const lt_health_local_t *local, uint32_t u)
{
  const lt_health_upstream_t *upstreams = local->pool->upstreams;
  lt_health_tally_t outside = { { 0 }, { 0 } };
  lt_health_tally_t all = { { 0 }, { 0 } };
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t v = local->dirty[i];
      bool same = upstreams[v].failure_domain == upstreams[u].failure_domain;
      for (int s = 0; s < LT_HEALTH_STREAMS && v != u; s++)
        {
          all.trials[s] += local->by_upstream[v].measurements->tally.trials[s];
          all.bad[s] += local->by_upstream[v].measurements->tally.bad[s];
          outside.trials[s]
              += same ? 0
                      : local->by_upstream[v].measurements->tally.trials[s];
          outside.bad[s]
              += same ? 0 : local->by_upstream[v].measurements->tally.bad[s];
        }
    }
  return local->single_domain ? all : outside;
}

static void
test_step (lt_health_local_t *local, uint32_t u)
{
  const lt_health_tally_t *tally = &local->by_upstream[u].measurements->tally;
  lt_health_tally_t peers = step_peers (local, u);
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      lt_health_test_t *test = &local->by_upstream[u].measurements->tests[s];
      lt_health_step_t step
          = { .baseline = lt_health_tallies_outside_baseline (
                  &local->tallies, local->pool, u, s),
              .trials = tally->trials[s],
              .bad = tally->bad[s],
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
    if (local->by_upstream[u].measurements->step.latency[b] > 0)
      lt_health_sketches_add (
          &local->sketches, u, remote, b,
          local->by_upstream[u].measurements->step.latency[b]);
}

/* Returns whether a test of U exceeds the threshold, and writes the evidence
   of the highest score.  */
static bool
exceeds_threshold (const lt_health_local_t *local, uint32_t u,
                   lt_health_evidence_t *evidence)
{
  bool exceeded = false;
  evidence->score = 0;
  if (!local->by_upstream[u].measurements)
    return false;
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    for (uint32_t k = lt_health_first_alternative (s);
         k < LT_HEALTH_ALTERNATIVES; k++)
      {
        const lt_health_test_t *test
            = &local->by_upstream[u].measurements->tests[s];
        double score = lt_health_test_confirmed_score (test, k);
        if (score < local->threshold || score <= evidence->score)
          continue;
        exceeded = true;
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
  return exceeded;
}

static void
start_avoidance (lt_health_local_t *local, uint32_t u,
                 const lt_health_evidence_t *evidence, int64_t now_us)
{
  upstream_state_t *entry = &local->by_upstream[u];
  int64_t healthy_us = now_us - entry->returned_us;
  int64_t decayed = healthy_us / local->options.repeat_decay_us;
  if (decayed >= (int64_t)entry->repeats)
    entry->repeats = 0;
  else
    entry->repeats -= (uint32_t)decayed;
  int64_t hold = local->options.avoid_first_us << entry->repeats;
  if (hold > local->options.avoid_max_us)
    hold = local->options.avoid_max_us;
  if (entry->repeats < MAX_REPEATS)
    entry->repeats++;
  entry->avoided = true;
  entry->evidence = *evidence;
  entry->avoided_until_us = now_us + hold;
  entry->next_probe_us = entry->avoided_until_us;
  entry->probes_ok = 0;
}

static lt_health_state_t
target_state (const lt_health_local_t *local, const lt_ejection_view_t *view,
              uint32_t u)
{
  if (local->pool->upstreams[u].out_of_service)
    return LT_HEALTH_OUT_OF_SERVICE;
  if (view && lt_ejection_is_ejected (view, u))
    return LT_HEALTH_EJECTED;
  return local->by_upstream[u].avoided ? LT_HEALTH_AVOIDED : LT_HEALTH_USABLE;
}

/* Runs the tests on the counts since the last update, then adds these to the
   windows and clears them.  The tests come first, so that a baseline does not
   include the step that is tested against it.  */
static void
run_tests (lt_health_local_t *local, int64_t now_us)
{
  lt_health_tallies_advance (&local->tallies, now_us);
  lt_health_sketches_advance (&local->sketches, now_us);
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t u = local->dirty[i];
      local->by_upstream[u].measurements->tally = step_tally (local, u);
    }
  for (uint32_t i = 0; i < local->dirty_count; i++)
    test_step (local, local->dirty[i]);
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t u = local->dirty[i];
      lt_health_tallies_add (&local->tallies, u,
                             &local->by_upstream[u].measurements->tally);
    }
  for (uint32_t i = 0; i < local->dirty_count; i++)
    {
      uint32_t u = local->dirty[i];
      add_sketch (local, u);
      memset (&local->by_upstream[u].measurements->step, 0,
              sizeof local->by_upstream[u].measurements->step);
      local->by_upstream[u].dirty = false;
    }
  local->dirty_count = 0;
}

/* Returns the upstream in STATE with the weakest evidence, or
   UINT32_MAX.  */
static uint32_t
weakest_evidence (const lt_health_local_t *local,
                  const lt_ejection_view_t *view,
                  const lt_health_state_t *states, lt_health_state_t state)
{
  uint32_t found = UINT32_MAX;
  double least = 0;
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      if (states[u] != state)
        continue;
      const lt_health_evidence_t *evidence = &local->by_upstream[u].evidence;
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

/* Makes upstreams usable again until the floor holds.  Returns the slots above
   the floor; negative when too many upstreams are out of service.  */
static int64_t
restore_floor (lt_health_local_t *local, const lt_ejection_view_t *view,
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
        uint32_t u = weakest_evidence (local, view, states, order[i]);
        if (u == UINT32_MAX)
          break;
        states[u] = LT_HEALTH_USABLE;
        local->by_upstream[u].avoided = false;
        left += local->pool->upstreams[u].slots;
      }
  return left - floor;
}

/* Avoids the upstreams that exceed the threshold, as far as the SPARE slots
   above the floor allow.  */
static void
avoid_failing (lt_health_local_t *local, lt_health_state_t *states,
               int64_t spare, int64_t now_us)
{
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      lt_health_evidence_t evidence;
      int32_t slots = local->pool->upstreams[u].slots;
      if (states[u] != LT_HEALTH_USABLE || slots > spare)
        continue;
      if (!exceeds_threshold (local, u, &evidence))
        continue;
      start_avoidance (local, u, &evidence, now_us);
      states[u] = LT_HEALTH_AVOIDED;
      spare -= slots;
    }
}

static void
enter_state (lt_health_local_t *local, uint32_t u, lt_health_state_t state,
             int64_t now_us)
{
  upstream_state_t *entry = &local->by_upstream[u];
  bool was_out = entry->state == LT_HEALTH_OUT_OF_SERVICE;
  entry->state = state;
  if (state == LT_HEALTH_USABLE)
    {
      entry->returned_us = now_us;
      lt_health_begin_cold_start (local, u, now_us);
      if (!was_out)
        entry->cold_responses = IDLE_COLD_RESPONSES;
      return;
    }
  if (state != LT_HEALTH_AVOIDED)
    entry->avoided = false;
  if (entry->measurements)
    memset (entry->measurements->tests, 0, sizeof entry->measurements->tests);
  lt_health_tallies_remove (&local->tallies, u);
  lt_health_sketches_remove (&local->sketches, u,
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
    states[u] = target_state (local, view, u);
  int64_t spare = restore_floor (local, view, states);
  avoid_failing (local, states, spare, now_us);
  for (uint32_t u = 0; u < count; u++)
    {
      if (states[u] == local->by_upstream[u].state)
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
  return local->by_upstream[upstream].state;
}

const lt_health_evidence_t *
lt_health_local_evidence (const lt_health_local_t *local, uint32_t upstream)
{
  const upstream_state_t *entry = &local->by_upstream[upstream];
  return entry->state == LT_HEALTH_AVOIDED ? &entry->evidence : NULL;
}

double
lt_health_usable_share (const lt_health_local_t *local)
{
  int64_t all = lt_health_pool_slots (local->pool);
  int64_t usable = 0;
  for (uint32_t u = 0; u < local->pool->count; u++)
    if (local->by_upstream[u].state == LT_HEALTH_USABLE)
      usable += local->pool->upstreams[u].slots;
  return all > 0 ? (double)usable / (double)all : 0;
}

uint32_t
lt_health_local_probe_due (lt_health_local_t *local, int64_t now_us)
{
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      upstream_state_t *entry = &local->by_upstream[u];
      if (entry->state != LT_HEALTH_AVOIDED || now_us < entry->next_probe_us)
        continue;
      entry->next_probe_us = now_us + PROBE_INTERVAL_US;
      return u;
    }
  return UINT32_MAX;
}

void
lt_health_local_report_probe (lt_health_local_t *local, uint32_t upstream,
                              bool ok, int64_t now_us)
{
  if (upstream >= local->pool->count)
    return;
  upstream_state_t *entry = &local->by_upstream[upstream];
  if (!entry->avoided || now_us < entry->avoided_until_us)
    return;
  entry->probes_ok = ok ? entry->probes_ok + 1 : 0;
  if (entry->probes_ok >= PROBES_TO_RETURN)
    entry->avoided = false;
}

bool
lt_health_has_failures (const lt_health_local_t *local)
{
  return local->digest_has_failures;
}

uint32_t
lt_health_take_counts (lt_health_local_t *local, lt_health_counts_t *out)
{
  uint32_t taken = 0;
  local->digest_has_failures = false;
  for (uint32_t u = 0; u < local->pool->count; u++)
    {
      measurements_t *measurements = local->by_upstream[u].measurements;
      if (!measurements || measurements->digest.requests == 0)
        continue;
      lt_health_counts_t *counts = &measurements->digest;
      out[taken] = *counts;
      out[taken].upstream = u;
      out[taken].remote = local->pool->upstreams[u].remote;
      taken++;
      memset (counts, 0, sizeof *counts);
    }
  return taken;
}
