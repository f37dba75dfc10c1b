#include "lt/policy/retry.h"

#include <stdlib.h>
#include <uthash.h>

#include "lt/base/clock.h"
#include "lt/base/hash.h"
#include "lt/base/metrics.h"
#include "lt/base/rng.h"

/** Number of workspace budgets.  Workspaces whose hashes collide share a
    budget, which can only reduce the retries of each.  */
enum
{
  WORKSPACE_BUDGETS = 4096
};

/** The counts of the latency histogram are halved when it holds this many
    latencies, so that recent ones weigh more.  */
#define LATENCY_WINDOW 4096

/** Token bucket filled by requests and over time.  */
typedef struct budget
{
  double tokens;
  int64_t updated_us;
  bool initialized;
} budget_t;

typedef struct service
{
  UT_hash_handle hh;
  uint64_t id;
  budget_t retries;
  budget_t hedges;
  lt_histogram_t latency;
  int64_t hedge_delay_us;
  uint64_t samples_since_quantile;
} service_t;

struct lt_retry
{
  lt_retry_options_t options;
  lt_rng_t *rng;
  service_t *services;
  budget_t workspaces[WORKSPACE_BUDGETS];
  uint64_t reasons[LT_RETRY_REASONS];
  uint64_t failures[LT_RETRY_FAILURES];
};

lt_retry_t *
lt_retry_create (const lt_retry_options_t *options, struct lt_rng *rng)
{
  lt_retry_t *retry = lt_alloc (sizeof (*retry));
  retry->options = *options;
  retry->rng = rng;
  return retry;
}

void
lt_retry_destroy (lt_retry_t *retry)
{
  if (retry == NULL)
    return;
  service_t *service;
  service_t *next;
  HASH_ITER (hh, retry->services, service, next)
  {
    /* The analyzer does not see that uthash keeps hh.tbl set.  */
    HASH_DELETE (hh, retry->services, service); /* NOLINT(clang-analyzer-*) */
    free (service);
  }
  free (retry);
}

static service_t *
service_find (const lt_retry_t *retry, uint64_t id)
{
  service_t *service = NULL;
  HASH_FIND (hh, retry->services, &id, sizeof (id), service);
  return service;
}

static service_t *
service_get (lt_retry_t *retry, uint64_t id)
{
  service_t *service = service_find (retry, id);
  if (service != NULL)
    return service;
  service = lt_alloc (sizeof (*service));
  service->id = id;
  service->hedge_delay_us = -1;
  HASH_ADD (hh, retry->services, id, sizeof (service->id), service);
  return service;
}

static budget_t *
workspace_budget (lt_retry_t *retry, uint64_t service, uint64_t workspace)
{
  const uint64_t ids[] = { service, workspace };
  uint64_t hash = lt_hash64 (str_make ((const char *)ids, sizeof (ids)));
  return &retry->workspaces[hash % WORKSPACE_BUDGETS];
}

/** Adds TOKENS and the refill since the last call at PER_S tokens per second.
    A new budget starts with one token.  */
static void
budget_add (const lt_retry_t *retry, budget_t *budget, double tokens,
            double per_s, int64_t now_us)
{
  if (!budget->initialized)
    {
      budget->initialized = true;
      budget->updated_us = now_us;
      budget->tokens = 1;
    }
  double seconds = (double)(now_us - budget->updated_us) / (double)LT_US_PER_S;
  budget->updated_us = now_us;
  budget->tokens += tokens + seconds * per_s;
  if (budget->tokens > retry->options.budget_burst)
    budget->tokens = retry->options.budget_burst;
}

void
lt_retry_set_burst (lt_retry_t *retry, double burst)
{
  retry->options.budget_burst = burst;
}

void
lt_retry_on_request (lt_retry_t *retry, uint64_t service, uint64_t workspace,
                     int64_t now_us)
{
  const lt_retry_options_t *options = &retry->options;
  service_t *s = service_get (retry, service);
  budget_add (retry, &s->retries, options->retry_ratio, options->budget_per_s,
              now_us);
  budget_add (retry, &s->hedges, options->hedge_ratio, 0, now_us);
  budget_add (retry, workspace_budget (retry, service, workspace),
              options->workspace_ratio, options->budget_per_s, now_us);
}

/** Recomputes the quantile only every hedge_min_samples latencies: a scan of
    the histogram for each request would cost more than the request.  */
void
lt_retry_on_latency (lt_retry_t *retry, uint64_t service, int64_t latency_us)
{
  service_t *s = service_get (retry, service);
  lt_histogram_add (&s->latency, latency_us);
  if (s->latency.count < (uint64_t)retry->options.hedge_min_samples
      || ++s->samples_since_quantile
             < (uint64_t)retry->options.hedge_min_samples)
    return;
  s->samples_since_quantile = 0;
  int64_t delay_us
      = lt_histogram_quantile (&s->latency, retry->options.hedge_quantile);
  s->hedge_delay_us = delay_us > retry->options.hedge_min_us
                          ? delay_us
                          : retry->options.hedge_min_us;
  if (s->latency.count < LATENCY_WINDOW)
    return;
  s->latency.count = 0;
  for (size_t i = 0;
       i < sizeof (s->latency.counts) / sizeof (s->latency.counts[0]); i++)
    {
      s->latency.counts[i] /= 2;
      s->latency.count += s->latency.counts[i];
    }
}

static lt_retry_decision_t
decline (lt_retry_t *retry, lt_retry_reason_t reason)
{
  retry->reasons[reason]++;
  return (lt_retry_decision_t){ .reason = reason };
}

/** Returns LT_RETRY_RETRIED if ATTEMPT may be repeated, not considering
   deadline and budgets; otherwise the reason why not.  */
static lt_retry_reason_t
check_repeatable (const lt_retry_t *retry, const lt_retry_attempt_t *attempt)
{
  if (attempt->response_started)
    return LT_RETRY_RESPONSE_STARTED;
  if (attempt->byte_sent && !attempt->idempotent)
    return LT_RETRY_NOT_SAFE;
  int attempts_max = attempt->attempts_max > 0 ? attempt->attempts_max
                                               : retry->options.attempts_max;
  if (attempt->attempts >= attempts_max)
    return LT_RETRY_ATTEMPTS_USED;
  if (!attempt->other_upstream)
    return LT_RETRY_NO_OTHER_UPSTREAM;
  return LT_RETRY_RETRIED;
}

/** Returns a random delay between 0.5 and 1.5 times a mean that doubles with
    each attempt.  A failed connection is retried at once, since it used no
    capacity of an upstream.  */
static int64_t
backoff_us (lt_retry_t *retry, const lt_retry_attempt_t *attempt)
{
  if (attempt->failure == LT_RETRY_CONNECT_FAILED)
    return 0;
  int doublings = attempt->attempts > 1 ? attempt->attempts - 1 : 0;
  double mean = (double)(retry->options.backoff_us << doublings);
  return (int64_t)(mean * (0.5 + lt_rng_unit (retry->rng)));
}

bool
lt_retry_has_budget (lt_retry_t *retry, uint64_t service, uint64_t workspace,
                     int64_t now_us)
{
  service_t *s = service_get (retry, service);
  budget_t *budget = workspace_budget (retry, service, workspace);
  budget_add (retry, &s->retries, 0, retry->options.budget_per_s, now_us);
  budget_add (retry, budget, 0, retry->options.budget_per_s, now_us);
  return s->retries.tokens >= 1 && budget->tokens >= 1;
}

lt_retry_decision_t
lt_retry_decide (lt_retry_t *retry, const lt_retry_attempt_t *attempt,
                 int64_t now_us)
{
  lt_retry_reason_t reason = check_repeatable (retry, attempt);
  if (reason != LT_RETRY_RETRIED)
    return decline (retry, reason);
  int64_t delay_us = backoff_us (retry, attempt);
  if (now_us + delay_us >= attempt->deadline_us)
    return decline (retry, LT_RETRY_DEADLINE);
  if (attempt->failure == LT_RETRY_CONNECT_FAILED
      && retry->options.connect_failure_is_free)
    {
      retry->reasons[LT_RETRY_RETRIED]++;
      retry->failures[attempt->failure]++;
      return (lt_retry_decision_t){ .retry = true,
                                    .reason = LT_RETRY_RETRIED };
    }
  service_t *s = service_get (retry, attempt->service);
  budget_t *workspace
      = workspace_budget (retry, attempt->service, attempt->workspace);
  budget_add (retry, &s->retries, 0, retry->options.budget_per_s, now_us);
  budget_add (retry, workspace, 0, retry->options.budget_per_s, now_us);
  if (s->retries.tokens < 1)
    return decline (retry, LT_RETRY_SERVICE_BUDGET);
  if (workspace->tokens < 1)
    return decline (retry, LT_RETRY_WORKSPACE_BUDGET);
  s->retries.tokens -= 1;
  workspace->tokens -= 1;
  retry->reasons[LT_RETRY_RETRIED]++;
  retry->failures[attempt->failure]++;
  return (lt_retry_decision_t){ .retry = true,
                                .reason = LT_RETRY_RETRIED,
                                .delay_us = delay_us };
}

int64_t
lt_retry_hedge_delay_us (const lt_retry_t *retry, uint64_t service)
{
  const service_t *s = service_find (retry, service);
  return s == NULL ? -1 : s->hedge_delay_us;
}

lt_retry_decision_t
lt_retry_decide_hedge (lt_retry_t *retry, const lt_retry_attempt_t *attempt,
                       int64_t now_us)
{
  lt_retry_reason_t reason = check_repeatable (retry, attempt);
  if (reason != LT_RETRY_RETRIED)
    return decline (retry, reason);
  if (!attempt->idempotent)
    return decline (retry, LT_RETRY_NOT_SAFE);
  if (now_us >= attempt->deadline_us)
    return decline (retry, LT_RETRY_DEADLINE);
  service_t *s = service_get (retry, attempt->service);
  if (s->hedges.tokens < 1)
    return decline (retry, LT_RETRY_HEDGE_BUDGET);
  s->hedges.tokens -= 1;
  retry->reasons[LT_RETRY_HEDGED]++;
  return (lt_retry_decision_t){ .retry = true, .reason = LT_RETRY_HEDGED };
}

uint64_t
lt_retry_count (const lt_retry_t *retry, lt_retry_reason_t reason)
{
  return retry->reasons[reason];
}

uint64_t
lt_retry_failure_count (const lt_retry_t *retry, lt_retry_failure_t failure)
{
  return retry->failures[failure];
}

#define RETRY_NAME(name, text) [name] = (text),

const char *
lt_retry_reason_name (lt_retry_reason_t reason)
{
  static const char *const names[] = { LT_RETRY_REASON_TABLE (RETRY_NAME) };
  return names[reason];
}

const char *
lt_retry_failure_name (lt_retry_failure_t failure)
{
  static const char *const names[] = { LT_RETRY_FAILURE_TABLE (RETRY_NAME) };
  return names[failure];
}
