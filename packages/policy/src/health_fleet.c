#include "lt/policy/health_fleet.h"

#include "health_window.h"
#include "lt/base/str.h"
#include "lt/policy/health_record.h"
#include "lt/policy/health_test.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A reporter's counts for one upstream are scaled down to at most this many
   times the average requests per report, so that no VM can decide alone.  */
#define MAX_REPORT_RATIO 4.0
/* Reports of up to this many requests are never scaled down.  */
#define MIN_REPORT_CAP 2.0
#define AVERAGE_SMOOTHING 0.01
#define SLOW_MARGIN 2
/* Log-likelihood ratios at which a reporting failure domain supports or
   contradicts a fault: odds of about 3 to 1 for it and 7 to 1 against it.  The
   second domain often has a tenth of the requests; with 2.0 for support as
   well, detecting a failure share of 5% took up to 57 s instead of 30 s.  */
#define SUPPORT_LLR 1.0
#define CONTRADICTION_LLR 2.0
/* Score from which an upstream counts towards a fault of its whole failure
   domain.  One failure more than normal reaches it, so the upstreams of a
   domain that is cut off all reach it in the same step.  */
#define DOMAIN_FAULT_SCORE 4.0
/* Bounds on the domains that support and contradict an ejection; the shares
   are of the upstream's requests.  */
#define MIN_SUPPORTING_DOMAINS 2
#define MIN_SUPPORTING_SHARE 0.5
#define MAX_CONTRADICTING_SHARE 0.25

/* Counts and tests of one upstream from the VMs of one failure domain.  */
typedef struct cell
{
  bool remote; /**< The reporters are in another region. */
  /* These are of the current step.  */
  double requests;
  double failed;
  float latency[2][LT_HEALTH_BUCKETS]; /**< [remote][bucket]. */
  lt_health_tally_t tally;
  lt_health_test_t tests[LT_HEALTH_STREAMS];
} cell_t;

typedef struct upstream_state
{
  double in_flight; /**< Sum over the reports of this step. */
  double load;      /**< In_flight of the last step. */
  bool ejected;     /**< As of the last tick. */
  int64_t next_probe_us;
  uint32_t probes_ok;
} upstream_state_t;

struct lt_health_fleet
{
  lt_health_fleet_options_t options;
  const lt_health_pool_t *pool;
  double threshold;
  int64_t next_us;
  double average_requests; /**< Per report and upstream. */
  upstream_state_t *by_upstream;
  cell_t *cells; /**< [upstream][domain]. */
  lt_health_tallies_t by_domain[LT_HEALTH_MAX_DOMAINS]; /**< By reporters. */
  bool has_reported[LT_HEALTH_MAX_DOMAINS];             /**< By domain. */
  lt_health_tallies_t all; /**< Over all reporters. */
  lt_health_sketches_t sketches;
};

static cell_t *
cell_at (const lt_health_fleet_t *fleet, uint32_t upstream, uint32_t domain)
{
  return &fleet->cells[(size_t)upstream * LT_HEALTH_MAX_DOMAINS + domain];
}

lt_health_fleet_t *
lt_health_fleet_create (const lt_health_fleet_options_t *options,
                        const lt_health_pool_t *pool)
{
  lt_health_fleet_t *fleet = lt_alloc (sizeof *fleet);
  uint32_t count = pool->count;
  fleet->options = *options;
  fleet->pool = pool;
  double tests = (double)LT_HEALTH_STREAMS * (count > 0 ? count : 1);
  fleet->threshold = lt_health_threshold (
      options->false_alarms_per_hour, tests, 1e6 / (double)options->step_us);
  fleet->average_requests = 1;
  fleet->by_upstream = lt_alloc ((count + 1) * sizeof *fleet->by_upstream);
  size_t cells = ((size_t)count + 1) * LT_HEALTH_MAX_DOMAINS;
  fleet->cells = lt_alloc (cells * sizeof *fleet->cells);
  lt_health_tallies_init (&fleet->all, count);
  lt_health_sketches_init (&fleet->sketches, count, 2);
  return fleet;
}

void
lt_health_fleet_destroy (lt_health_fleet_t *fleet)
{
  if (!fleet)
    return;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    if (fleet->has_reported[d])
      lt_health_tallies_clear (&fleet->by_domain[d]);
  lt_health_tallies_clear (&fleet->all);
  lt_health_sketches_clear (&fleet->sketches);
  free (fleet->by_upstream);
  free (fleet->cells);
  free (fleet);
}

static void
add_counts (lt_health_fleet_t *fleet, uint32_t domain,
            const lt_health_counts_t *counts)
{
  cell_t *cell = cell_at (fleet, counts->upstream, domain);
  double max_requests
      = fmax (MIN_REPORT_CAP, MAX_REPORT_RATIO * fleet->average_requests);
  double scale
      = counts->requests > max_requests ? max_requests / counts->requests : 1;
  fleet->average_requests
      += AVERAGE_SMOOTHING
         * (counts->requests * scale - fleet->average_requests);
  cell->remote = counts->remote;
  cell->requests += counts->requests * scale;
  cell->failed += counts->failed * scale;
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    cell->latency[counts->remote][b] += (float)(counts->latency[b] * scale);
  fleet->by_upstream[counts->upstream].in_flight += counts->in_flight;
}

uint32_t
lt_health_fleet_add_counts (lt_health_fleet_t *fleet, uint32_t failure_domain,
                            const lt_health_counts_t *counts, uint32_t count)
{
  uint32_t taken = 0;
  if (failure_domain >= LT_HEALTH_MAX_DOMAINS)
    return 0;
  if (!fleet->has_reported[failure_domain])
    {
      fleet->has_reported[failure_domain] = true;
      lt_health_tallies_init (&fleet->by_domain[failure_domain],
                              fleet->pool->count);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      if (counts[i].upstream >= fleet->pool->count
          || counts[i].failed > counts[i].requests)
        continue;
      add_counts (fleet, failure_domain, &counts[i]);
      taken++;
    }
  return taken;
}

static void
count_slow (cell_t *cell, uint32_t remote, uint32_t slow)
{
  if (slow >= LT_HEALTH_BUCKETS)
    return;
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    {
      cell->tally.trials[LT_HEALTH_STREAM_SLOW] += cell->latency[remote][b];
      if (b >= slow)
        cell->tally.bad[LT_HEALTH_STREAM_SLOW] += cell->latency[remote][b];
    }
}

static void
add_tally (lt_health_tally_t *to, const lt_health_tally_t *tally)
{
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      to->trials[s] += tally->trials[s];
      to->bad[s] += tally->bad[s];
    }
}

/* Computes the tallies of this step for all cells, and adds them up for each
   reporting domain in TOTALS.  */
static void
sum_step (lt_health_fleet_t *fleet, lt_health_tally_t *totals)
{
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    {
      uint32_t slow[2];
      for (uint32_t remote = 0; remote < 2; remote++)
        slow[remote] = lt_health_sketches_slow_bucket (&fleet->sketches, u,
                                                       remote, SLOW_MARGIN);
      for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
        {
          if (!fleet->has_reported[d])
            continue;
          cell_t *cell = cell_at (fleet, u, d);
          memset (&cell->tally, 0, sizeof cell->tally);
          cell->tally.trials[LT_HEALTH_STREAM_FAILED] = cell->requests;
          cell->tally.bad[LT_HEALTH_STREAM_FAILED] = cell->failed;
          count_slow (cell, 0, slow[0]);
          count_slow (cell, 1, slow[1]);
          add_tally (&totals[d], &cell->tally);
        }
    }
}

/* Returns the expected share of bad responses for upstream U to reporters in
   domain D: the share that they see from other upstreams, with that of the
   whole fleet as prior.  A path fault of the reporting domain raises it, and
   so is no evidence against upstreams.  */
static double
baseline (const lt_health_fleet_t *fleet, uint32_t u, uint32_t d,
          lt_health_stream_t stream)
{
  double prior = lt_health_tallies_baseline (&fleet->all, u, stream,
                                             lt_health_prior (stream));
  return lt_health_tallies_baseline (&fleet->by_domain[d], u, stream, prior);
}

/* Adds this step to the tests of U in stream S.  An alternative starts a new
   onset in all domains when its sum over them is not positive.  */
static void
test_stream (lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
             const lt_health_tally_t *totals)
{
  double sum[LT_HEALTH_ALTERNATIVES] = { 0 };
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      if (!fleet->has_reported[d])
        continue;
      cell_t *cell = cell_at (fleet, u, d);
      const lt_health_tally_t *own = &cell->tally;
      lt_health_step_t step
          = { .baseline = baseline (fleet, u, d, s),
              .trials = own->trials[s],
              .bad = own->bad[s],
              .peer_trials = totals[d].trials[s] - own->trials[s],
              .peer_bad = totals[d].bad[s] - own->bad[s] };
      lt_health_test_add (&cell->tests[s], &step);
      for (uint32_t k = 0; k < LT_HEALTH_ALTERNATIVES; k++)
        sum[k] += cell->tests[s].score[k];
    }
  for (uint32_t k = 0; k < LT_HEALTH_ALTERNATIVES; k++)
    for (uint32_t d = 0; sum[k] <= 0 && d < LT_HEALTH_MAX_DOMAINS; d++)
      lt_health_test_clear (&cell_at (fleet, u, d)->tests[s], k);
}

/* Sums of one alternative over the reporting domains.  */
typedef struct domain_votes
{
  double score;
  double base; /**< Baselines, weighted by trials. */
  double trials;
  double bad;
  double supporting;    /**< Trials of domains that support the fault. */
  double contradicting; /**< Trials of domains that contradict it. */
  uint32_t supporters;
  bool remote; /**< A supporting domain is in another region. */
} domain_votes_t;

/* Adds the vote of one reporting domain: the log-likelihood ratio of the share
   SHARE, estimated over all domains, against the domain's baseline.  The
   test's alternative would not do instead of SHARE: a small one is hardly
   contradicted by domains that see no failure at all.  */
static void
add_vote (const lt_health_onset_t *since, double share, bool remote,
          domain_votes_t *votes)
{
  double base = since->baseline;
  double good = since->trials - since->bad;
  double raised = fmin (fmax (share, base), 1 - 1e-6);
  double llr = since->bad * log (raised / base)
               + good * log ((1 - raised) / (1 - base));
  if (llr >= SUPPORT_LLR)
    {
      votes->supporters++;
      votes->remote |= remote;
      votes->supporting += since->trials;
    }
  if (llr <= -CONTRADICTION_LLR)
    votes->contradicting += since->trials;
}

static double
fleet_score (const lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
             uint32_t k)
{
  double score = 0;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    score += cell_at (fleet, u, d)->tests[s].score[k];
  return score;
}

/* Returns whether most upstreams of U's failure domain have a similar fault.
   Then the domain may be cut off from the region that uses it, so that no
   reporter can reach it and contradict the fault.  */
static bool
domain_fails (const lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
              uint32_t k)
{
  const lt_health_upstream_t *upstreams = fleet->pool->upstreams;
  uint32_t all = 0;
  uint32_t failing = 0;
  for (uint32_t v = 0; v < fleet->pool->count; v++)
    {
      if (upstreams[v].failure_domain != upstreams[u].failure_domain
          || upstreams[v].out_of_service || fleet->by_upstream[v].ejected)
        continue;
      all++;
      failing += fleet_score (fleet, v, s, k) >= DOMAIN_FAULT_SCORE;
    }
  return failing > 1 && failing * 3 >= all * 2;
}

/* Returns whether alternative K exceeds the threshold and enough reporting
   domains support it; then writes the evidence.  */
static bool
is_confirmed (const lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
              uint32_t k, lt_health_evidence_t *evidence)
{
  domain_votes_t votes = { 0 };
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      const lt_health_test_t *test = &cell_at (fleet, u, d)->tests[s];
      votes.score += lt_health_test_confirmed_score (test, k);
      votes.trials += test->since[k].trials;
      votes.bad += test->since[k].bad;
      votes.base += test->since[k].baseline * test->since[k].trials;
    }
  if (votes.score < fleet->threshold)
    return false;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      const lt_health_test_t *test = &cell_at (fleet, u, d)->tests[s];
      if (test->since[k].trials > 0)
        add_vote (&test->since[k], votes.bad / votes.trials,
                  cell_at (fleet, u, d)->remote, &votes);
    }
  if (votes.supporters < MIN_SUPPORTING_DOMAINS
      || votes.supporting < MIN_SUPPORTING_SHARE * votes.trials
      || votes.contradicting > MAX_CONTRADICTING_SHARE * votes.trials)
    return false;
  if (!votes.remote && domain_fails (fleet, u, s, k))
    return false;
  *evidence = (lt_health_evidence_t){ .stream = s,
                                      .score = votes.score,
                                      .threshold = fleet->threshold,
                                      .share = votes.bad / votes.trials,
                                      .baseline = votes.base / votes.trials,
                                      .trials = votes.trials,
                                      .domains = votes.supporters };
  return true;
}

/* Returns whether an ejection of U is justified, and writes the evidence of
   the highest score.  */
static bool
should_eject (const lt_health_fleet_t *fleet, uint32_t u,
              lt_health_evidence_t *best)
{
  bool justified = false;
  best->score = 0;
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    for (uint32_t k = lt_health_first_alternative (s);
         k < LT_HEALTH_ALTERNATIVES; k++)
      {
        lt_health_evidence_t evidence;
        if (!is_confirmed (fleet, u, s, k, &evidence)
            || evidence.score <= best->score)
          continue;
        *best = evidence;
        justified = true;
      }
  return justified;
}

/* Adds this step's counts to the windows and clears them.  */
static void
end_step (lt_health_fleet_t *fleet)
{
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    {
      fleet->by_upstream[u].load = fleet->by_upstream[u].in_flight;
      fleet->by_upstream[u].in_flight = 0;
      for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
        {
          cell_t *cell = cell_at (fleet, u, d);
          if (!fleet->has_reported[d] || cell->requests <= 0)
            continue;
          lt_health_tallies_add (&fleet->by_domain[d], u, &cell->tally);
          lt_health_tallies_add (&fleet->all, u, &cell->tally);
          for (uint32_t i = 0; i < 2 * LT_HEALTH_BUCKETS; i++)
            {
              uint32_t remote = i / LT_HEALTH_BUCKETS;
              uint32_t b = i % LT_HEALTH_BUCKETS;
              if (cell->latency[remote][b] > 0)
                lt_health_sketches_add (&fleet->sketches, u, remote, b,
                                        cell->latency[remote][b]);
            }
          cell->requests = 0;
          cell->failed = 0;
          memset (cell->latency, 0, sizeof cell->latency);
        }
    }
}

static void
drop_evidence (lt_health_fleet_t *fleet, uint32_t u)
{
  lt_health_tallies_remove (&fleet->all, u);
  lt_health_sketches_remove (&fleet->sketches, u, false);
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      cell_t *cell = cell_at (fleet, u, d);
      memset (cell, 0, sizeof *cell);
      if (fleet->has_reported[d])
        lt_health_tallies_remove (&fleet->by_domain[d], u);
    }
}

/* Updates the ejections from the record.  Evidence about an upstream that is
   ejected or out of service is dropped, and it is no peer of the others.  */
static void
apply_record (lt_health_fleet_t *fleet, const lt_ejection_view_t *view)
{
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    {
      upstream_state_t *entry = &fleet->by_upstream[u];
      bool ejected = lt_ejection_is_ejected (view, u);
      if (ejected && !entry->ejected)
        {
          int64_t hold_us = lt_ejection_find (view, u)->min_duration_us;
          entry->next_probe_us = lt_ejection_first_seen_us (view, u) + hold_us;
          entry->probes_ok = 0;
        }
      bool drops_evidence
          = ejected || fleet->pool->upstreams[u].out_of_service;
      if (drops_evidence || entry->ejected)
        drop_evidence (fleet, u);
      entry->ejected = ejected;
    }
}

/* Returns whether U needs an action now, and writes it.  */
static bool
next_action (lt_health_fleet_t *fleet, uint32_t u, int64_t now_us,
             lt_health_action_t *action)
{
  upstream_state_t *entry = &fleet->by_upstream[u];
  action->upstream = u;
  if (!entry->ejected)
    {
      action->kind = LT_HEALTH_EJECT;
      return !fleet->pool->upstreams[u].out_of_service
             && should_eject (fleet, u, &action->evidence);
    }
  if (entry->probes_ok >= fleet->options.probes_to_return)
    {
      action->kind = LT_HEALTH_RETURN;
      return true;
    }
  if (now_us < entry->next_probe_us)
    return false;
  entry->next_probe_us = now_us + fleet->options.probe_interval_us;
  action->kind = LT_HEALTH_PROBE;
  return true;
}

static int
by_falling_score (const void *a, const void *b)
{
  double x = ((const lt_health_action_t *)a)->evidence.score;
  double y = ((const lt_health_action_t *)b)->evidence.score;
  return (x < y) - (x > y);
}

uint32_t
lt_health_fleet_tick (lt_health_fleet_t *fleet, const lt_ejection_view_t *view,
                      int64_t now_us, lt_health_action_t *actions,
                      uint32_t cap)
{
  lt_health_tally_t totals[LT_HEALTH_MAX_DOMAINS];
  if (now_us < fleet->next_us)
    return 0;
  fleet->next_us = now_us + fleet->options.step_us;
  memset (totals, 0, sizeof totals);
  lt_health_tallies_advance (&fleet->all, now_us);
  lt_health_sketches_advance (&fleet->sketches, now_us);
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    if (fleet->has_reported[d])
      lt_health_tallies_advance (&fleet->by_domain[d], now_us);

  apply_record (fleet, view);
  sum_step (fleet, totals);
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    for (int s = 0; s < LT_HEALTH_STREAMS; s++)
      test_stream (fleet, u, s, totals);
  end_step (fleet);

  uint32_t count = 0;
  for (uint32_t u = 0; u < fleet->pool->count && count < cap; u++)
    {
      memset (&actions[count], 0, sizeof actions[count]);
      if (next_action (fleet, u, now_us, &actions[count]))
        count++;
    }
  qsort (actions, count, sizeof *actions, by_falling_score);
  return count;
}

void
lt_health_fleet_report_probe (lt_health_fleet_t *fleet, uint32_t upstream,
                              bool ok, int64_t now_us)
{
  if (upstream >= fleet->pool->count || !fleet->by_upstream[upstream].ejected)
    return;
  upstream_state_t *entry = &fleet->by_upstream[upstream];
  entry->probes_ok = ok ? entry->probes_ok + 1 : 0;
  entry->next_probe_us = now_us + fleet->options.probe_interval_us;
}

double
lt_health_fleet_in_flight (const lt_health_fleet_t *fleet, uint32_t upstream)
{
  return upstream < fleet->pool->count ? fleet->by_upstream[upstream].load : 0;
}
