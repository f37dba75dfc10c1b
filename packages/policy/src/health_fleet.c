#include "lt/policy/health_fleet.h"

#include "health_window.h"
#include "lt/base/str.h"
#include "lt/policy/health_record.h"
#include "lt/policy/health_test.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A reporter's counts for one upstream are scaled down to this many times the
   usual number per report, so that one VM cannot decide alone.  */
#define REPORTER_CAP 4.0
#define REPORTER_LEAST 2.0
#define REPORT_SMOOTHING 0.01
#define SLOW_MARGIN 2
/* Log-likelihood ratios at which a domain supports or contradicts a fault,
   about 3 to 1 for and 7 to 1 against.  The second domain often has a tenth of
   the requests; with 2.0 for support too, a failure share of 5% took up to
   57 s instead of 30 s.  */
#define SUPPORT 1.0
#define CONTRADICTION 2.0
/* One failure more than normal; the upstreams of a domain that is cut off
   reach it within the same step.  */
#define DOMAIN_SCORE 4.0
#define LEAST_SUPPORTERS 2
#define LEAST_SUPPORT 0.5
#define MOST_CONTRADICTED 0.25

/* One upstream as the VMs of one failure domain see it.  */
typedef struct cell
{
  bool remote;     /**< The reporters are in another region. */
  double requests; /**< In this step, and so on. */
  double failed;
  float latency[2][LT_HEALTH_BUCKETS];
  lt_health_share_t share;
  lt_health_test_t tests[LT_HEALTH_STREAMS];
} cell_t;

typedef struct item
{
  double in_flight; /**< Sum of this step. */
  double load;      /**< Sum of the last step. */
  bool ejected;     /**< As of the last tick. */
  int64_t next_probe_us;
  uint32_t probes_ok;
} item_t;

struct lt_health_fleet
{
  lt_health_fleet_options_t options;
  const lt_health_pool_t *pool;
  double threshold;
  int64_t next_us;
  double usual; /**< Requests per report and upstream. */
  item_t *items;
  cell_t *cells; /**< [upstream][domain]. */
  lt_health_shares_t domains[LT_HEALTH_MAX_DOMAINS];
  bool seen[LT_HEALTH_MAX_DOMAINS];
  lt_health_shares_t fleet;
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
  fleet->threshold = lt_health_threshold (options->alarms_per_hour, tests,
                                          1e6 / (double)options->step_us);
  fleet->usual = 1;
  fleet->items = lt_alloc ((count + 1) * sizeof *fleet->items);
  size_t cells = ((size_t)count + 1) * LT_HEALTH_MAX_DOMAINS;
  fleet->cells = lt_alloc (cells * sizeof *fleet->cells);
  lt_health_shares_init (&fleet->fleet, count);
  lt_health_sketches_init (&fleet->sketches, count, 2);
  return fleet;
}

void
lt_health_fleet_destroy (lt_health_fleet_t *fleet)
{
  if (!fleet)
    return;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    if (fleet->seen[d])
      lt_health_shares_clear (&fleet->domains[d]);
  lt_health_shares_clear (&fleet->fleet);
  lt_health_sketches_clear (&fleet->sketches);
  free (fleet->items);
  free (fleet->cells);
  free (fleet);
}

static void
add_counts (lt_health_fleet_t *fleet, uint32_t domain,
            const lt_health_counts_t *counts)
{
  cell_t *cell = cell_at (fleet, counts->upstream, domain);
  double most = fmax (REPORTER_LEAST, REPORTER_CAP * fleet->usual);
  double scale = counts->requests > most ? most / counts->requests : 1;
  fleet->usual += REPORT_SMOOTHING * (counts->requests * scale - fleet->usual);
  cell->remote = counts->remote;
  cell->requests += counts->requests * scale;
  cell->failed += counts->failed * scale;
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    cell->latency[counts->remote][b] += (float)(counts->latency[b] * scale);
  fleet->items[counts->upstream].in_flight += counts->in_flight;
}

uint32_t
lt_health_fleet_add (lt_health_fleet_t *fleet, uint32_t failure_domain,
                     const lt_health_counts_t *counts, uint32_t count)
{
  uint32_t taken = 0;
  if (failure_domain >= LT_HEALTH_MAX_DOMAINS)
    return 0;
  if (!fleet->seen[failure_domain])
    {
      fleet->seen[failure_domain] = true;
      lt_health_shares_init (&fleet->domains[failure_domain],
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
      cell->share.trials[LT_HEALTH_STREAM_SLOW] += cell->latency[remote][b];
      if (b >= slow)
        cell->share.bad[LT_HEALTH_STREAM_SLOW] += cell->latency[remote][b];
    }
}

static void
share_add (lt_health_share_t *to, const lt_health_share_t *share)
{
  for (int s = 0; s < LT_HEALTH_STREAMS; s++)
    {
      to->trials[s] += share->trials[s];
      to->bad[s] += share->bad[s];
    }
}

/* Computes the shares of this step for all cells and sums them by domain.  */
static void
sum_step (lt_health_fleet_t *fleet, lt_health_share_t *totals)
{
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    {
      uint32_t slow[2];
      for (uint32_t remote = 0; remote < 2; remote++)
        slow[remote] = lt_health_sketches_slow (&fleet->sketches, u, remote,
                                                SLOW_MARGIN);
      for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
        {
          if (!fleet->seen[d])
            continue;
          cell_t *cell = cell_at (fleet, u, d);
          memset (&cell->share, 0, sizeof cell->share);
          cell->share.trials[LT_HEALTH_STREAM_FAILED] = cell->requests;
          cell->share.bad[LT_HEALTH_STREAM_FAILED] = cell->failed;
          count_slow (cell, 0, slow[0]);
          count_slow (cell, 1, slow[1]);
          share_add (&totals[d], &cell->share);
        }
    }
}

/* What is normal for upstream U on domain D: the domain's other upstreams,
   with the fleet's as prior.  A path that is bad for the whole domain raises
   it, so that it is not held against the upstreams.  */
static double
baseline (const lt_health_fleet_t *fleet, uint32_t u, uint32_t d,
          lt_health_stream_t stream)
{
  double prior = lt_health_shares_baseline (&fleet->fleet, u, stream,
                                            lt_health_prior (stream));
  return lt_health_shares_baseline (&fleet->domains[d], u, stream, prior);
}

static void
test_stream (lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
             const lt_health_share_t *totals)
{
  double sum[LT_HEALTH_ALTERNATIVES] = { 0 };
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      if (!fleet->seen[d])
        continue;
      cell_t *cell = cell_at (fleet, u, d);
      const lt_health_share_t *own = &cell->share;
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
typedef struct verdict
{
  double score;
  double base;
  double trials;
  double bad;
  double supporting; /**< Trials of domains that support. */
  double contradicting;
  uint32_t supporters;
  bool remote; /**< A supporter is in another region. */
} verdict_t;

/* Adds domain D's opinion on the share SHARE against its own baseline.  The
   estimated share is used, not the alternative: a small alternative is hardly
   contradicted by domains that see no failure at all.  */
static void
ask_domain (const lt_health_onset_t *since, double share, bool remote,
            verdict_t *verdict)
{
  double base = since->baseline;
  double good = since->trials - since->bad;
  double raised = fmin (fmax (share, base), 1 - 1e-6);
  double opinion = since->bad * log (raised / base)
                   + good * log ((1 - raised) / (1 - base));
  if (opinion >= SUPPORT)
    {
      verdict->supporters++;
      verdict->remote |= remote;
      verdict->supporting += since->trials;
    }
  if (opinion <= -CONTRADICTION)
    verdict->contradicting += since->trials;
}

static double
score_of (const lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
          uint32_t k)
{
  double score = 0;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    score += cell_at (fleet, u, d)->tests[s].score[k];
  return score;
}

/* Returns whether most upstreams of U's failure domain fail alike.  Then the
   domain may be cut off from the region that uses it, and no reporter is left
   that could contradict.  */
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
          || upstreams[v].out || fleet->items[v].ejected)
        continue;
      all++;
      failing += score_of (fleet, v, s, k) >= DOMAIN_SCORE;
    }
  return failing > 1 && failing * 3 >= all * 2;
}

/* Returns whether alternative K holds for enough domains and reporters.  */
static bool
is_confirmed (const lt_health_fleet_t *fleet, uint32_t u, lt_health_stream_t s,
              uint32_t k, lt_health_evidence_t *evidence)
{
  verdict_t v = { 0 };
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      const lt_health_test_t *test = &cell_at (fleet, u, d)->tests[s];
      v.score += lt_health_test_confirmed (test, k);
      v.trials += test->since[k].trials;
      v.bad += test->since[k].bad;
      v.base += test->since[k].baseline * test->since[k].trials;
    }
  if (v.score < fleet->threshold)
    return false;
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      const lt_health_test_t *test = &cell_at (fleet, u, d)->tests[s];
      if (test->since[k].trials > 0)
        ask_domain (&test->since[k], v.bad / v.trials,
                    cell_at (fleet, u, d)->remote, &v);
    }
  if (v.supporters < LEAST_SUPPORTERS
      || v.supporting < LEAST_SUPPORT * v.trials
      || v.contradicting > MOST_CONTRADICTED * v.trials)
    return false;
  if (!v.remote && domain_fails (fleet, u, s, k))
    return false;
  *evidence = (lt_health_evidence_t){ .stream = s,
                                      .score = v.score,
                                      .threshold = fleet->threshold,
                                      .share = v.bad / v.trials,
                                      .baseline = v.base / v.trials,
                                      .trials = v.trials,
                                      .domains = v.supporters };
  return true;
}

static bool
is_alarmed (const lt_health_fleet_t *fleet, uint32_t u,
            lt_health_evidence_t *best)
{
  bool alarmed = false;
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
        alarmed = true;
      }
  return alarmed;
}

/* Moves the step's counts into the windows and clears them.  */
static void
end_step (lt_health_fleet_t *fleet)
{
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    {
      fleet->items[u].load = fleet->items[u].in_flight;
      fleet->items[u].in_flight = 0;
      for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
        {
          cell_t *cell = cell_at (fleet, u, d);
          if (!fleet->seen[d] || cell->requests <= 0)
            continue;
          lt_health_shares_add (&fleet->domains[d], u, &cell->share);
          lt_health_shares_add (&fleet->fleet, u, &cell->share);
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
forget (lt_health_fleet_t *fleet, uint32_t u)
{
  lt_health_shares_forget (&fleet->fleet, u);
  lt_health_sketches_forget (&fleet->sketches, u, false);
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    {
      cell_t *cell = cell_at (fleet, u, d);
      memset (cell, 0, sizeof *cell);
      if (fleet->seen[d])
        lt_health_shares_forget (&fleet->domains[d], u);
    }
}

/* Follows the record: an ejected or stopped upstream has no evidence and is no
   peer.  */
static void
follow_record (lt_health_fleet_t *fleet, const lt_ejection_view_t *view)
{
  for (uint32_t u = 0; u < fleet->pool->count; u++)
    {
      item_t *item = &fleet->items[u];
      bool ejected = lt_ejection_is_ejected (view, u);
      if (ejected && !item->ejected)
        {
          int64_t hold_us = lt_ejection_find (view, u)->hold_us;
          item->next_probe_us = lt_ejection_seen_us (view, u) + hold_us;
          item->probes_ok = 0;
        }
      bool evidence_ends = ejected || fleet->pool->upstreams[u].out;
      if (evidence_ends || item->ejected)
        forget (fleet, u);
      item->ejected = ejected;
    }
}

static bool
next_action (lt_health_fleet_t *fleet, uint32_t u, int64_t now_us,
             lt_health_action_t *action)
{
  item_t *item = &fleet->items[u];
  action->upstream = u;
  if (!item->ejected)
    {
      action->kind = LT_HEALTH_EJECT;
      return !fleet->pool->upstreams[u].out
             && is_alarmed (fleet, u, &action->evidence);
    }
  if (item->probes_ok >= fleet->options.probes_to_return)
    {
      action->kind = LT_HEALTH_RETURN;
      return true;
    }
  if (now_us < item->next_probe_us)
    return false;
  item->next_probe_us = now_us + fleet->options.probe_interval_us;
  action->kind = LT_HEALTH_PROBE;
  return true;
}

static int
stronger_first (const void *a, const void *b)
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
  lt_health_share_t totals[LT_HEALTH_MAX_DOMAINS];
  if (now_us < fleet->next_us)
    return 0;
  fleet->next_us = now_us + fleet->options.step_us;
  memset (totals, 0, sizeof totals);
  lt_health_shares_advance (&fleet->fleet, now_us);
  lt_health_sketches_advance (&fleet->sketches, now_us);
  for (uint32_t d = 0; d < LT_HEALTH_MAX_DOMAINS; d++)
    if (fleet->seen[d])
      lt_health_shares_advance (&fleet->domains[d], now_us);

  follow_record (fleet, view);
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
  qsort (actions, count, sizeof *actions, stronger_first);
  return count;
}

void
lt_health_fleet_probed (lt_health_fleet_t *fleet, uint32_t upstream, bool ok,
                        int64_t now_us)
{
  if (upstream >= fleet->pool->count || !fleet->items[upstream].ejected)
    return;
  item_t *item = &fleet->items[upstream];
  item->probes_ok = ok ? item->probes_ok + 1 : 0;
  item->next_probe_us = now_us + fleet->options.probe_interval_us;
}

double
lt_health_fleet_load (const lt_health_fleet_t *fleet, uint32_t upstream)
{
  return upstream < fleet->pool->count ? fleet->items[upstream].load : 0;
}
