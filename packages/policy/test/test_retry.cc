// Guards against retries that are unsafe, too late or exceed their budget.
#include <gtest/gtest.h>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/retry.h"

namespace
{

const int64_t S = LT_US_PER_S;

class Retry : public testing::Test
{
protected:
  Retry ()
  {
    lt_rng_init (&rng, 1);
    options = LT_RETRY_OPTIONS_DEFAULT;
    recreate ();
  }
  ~Retry () override { lt_retry_destroy (retry); }

  void
  recreate ()
  {
    lt_retry_destroy (retry);
    retry = lt_retry_create (&options, &rng);
  }

  static lt_retry_attempt_t
  attempt ()
  {
    lt_retry_attempt_t a = {};
    a.service = 1;
    a.workspace = 2;
    a.failure = LT_RETRY_RESET;
    a.idempotent = true;
    a.byte_sent = true;
    a.other_upstream = true;
    a.attempts = 1;
    a.deadline_us = 10 * S;
    return a;
  }

  lt_rng_t rng;
  lt_retry_options_t options;
  lt_retry_t *retry = nullptr;
};

TEST_F (Retry, Decisions)
{
  const struct
  {
    const char *name;
    void (*change) (lt_retry_attempt_t *a);
    lt_retry_reason_t reason;
  } cases[] = {
    { "safe", [] (lt_retry_attempt_t *) {}, LT_RETRY_RETRIED },
    { "sent, not idempotent",
      [] (lt_retry_attempt_t *a) { a->idempotent = false; },
      LT_RETRY_NOT_SAFE },
    { "shed, not idempotent",
      [] (lt_retry_attempt_t *a) {
        a->idempotent = false;
        a->failure = LT_RETRY_SHED;
      },
      LT_RETRY_NOT_SAFE },
    { "not sent, not idempotent",
      [] (lt_retry_attempt_t *a) {
        a->idempotent = false;
        a->byte_sent = false;
        a->failure = LT_RETRY_CONNECT_FAILED;
      },
      LT_RETRY_RETRIED },
    { "response started",
      [] (lt_retry_attempt_t *a) { a->response_started = true; },
      LT_RETRY_RESPONSE_STARTED },
    { "third attempt", [] (lt_retry_attempt_t *a) { a->attempts = 3; },
      LT_RETRY_ATTEMPTS_USED },
    { "only one upstream",
      [] (lt_retry_attempt_t *a) { a->other_upstream = false; },
      LT_RETRY_NO_OTHER_UPSTREAM },
    { "deadline passed", [] (lt_retry_attempt_t *a) { a->deadline_us = S; },
      LT_RETRY_DEADLINE },
    { "deadline within the back-off",
      [] (lt_retry_attempt_t *a) { a->deadline_us = S + 100; },
      LT_RETRY_DEADLINE },
  };
  for (const auto &c : cases)
    {
      recreate ();
      lt_retry_attempt_t a = attempt ();
      c.change (&a);
      lt_retry_decision_t d = lt_retry_decide (retry, &a, S);
      EXPECT_EQ (c.reason, d.reason) << c.name;
      EXPECT_EQ (c.reason == LT_RETRY_RETRIED, d.retry) << c.name;
      EXPECT_EQ (1u, lt_retry_count (retry, c.reason)) << c.name;
      EXPECT_EQ (d.retry ? 1u : 0u, lt_retry_failure_count (retry, a.failure))
          << c.name;
    }
}

// Guards against retry storms: every attempt of every request fails.
TEST_F (Retry, BudgetBoundsAddedLoad)
{
  const int requests = 10000;
  int retries = 0;
  for (int i = 0; i < requests; i++)
    {
      int64_t now = i * 1000;
      lt_retry_attempt_t a = attempt ();
      a.workspace = i % 4;
      a.deadline_us = now + S;
      lt_retry_on_request (retry, a.service, a.workspace, now);
      while (lt_retry_decide (retry, &a, now).retry)
        {
          retries++;
          a.attempts++;
        }
    }
  EXPECT_GT (retries, 0);
  EXPECT_LE (retries, options.retry_ratio * requests + options.budget_burst
                          + options.budget_per_s * 10);
  EXPECT_GT (lt_retry_count (retry, LT_RETRY_SERVICE_BUDGET), 0u);
}

// Guards against a workspace whose requests always fail using up the retry
// budget of the other workspaces.
TEST_F (Retry, WorkspaceBudgetLeavesRetriesForOthers)
{
  int refused = 0;
  for (int i = 0; i < 4000; i++)
    {
      int64_t now = i * 1000;
      bool noisy = i % 10 == 0;
      lt_retry_attempt_t a = attempt ();
      a.workspace = noisy ? 100 : 200;
      a.deadline_us = now + S;
      lt_retry_on_request (retry, a.service, a.workspace, now);
      if (noisy)
        while (lt_retry_decide (retry, &a, now).retry)
          a.attempts++;
      else if (i >= 100 && i % 50 == 1) // The service has tokens by now.
        refused += !lt_retry_decide (retry, &a, now).retry;
    }
  EXPECT_GT (lt_retry_count (retry, LT_RETRY_WORKSPACE_BUDGET), 0u);
  EXPECT_EQ (0, refused);
}

// A request per minute earns less than a token, but can still be retried.
TEST_F (Retry, RareRequestsCanBeRetried)
{
  for (int i = 0; i < 10; i++)
    {
      lt_retry_attempt_t a = attempt ();
      int64_t now = i * 60 * S;
      a.deadline_us = now + S;
      lt_retry_on_request (retry, a.service, a.workspace, now);
      EXPECT_TRUE (lt_retry_decide (retry, &a, now).retry) << i;
    }
}

TEST_F (Retry, HedgeDelayFollowsQuantileAndBudgetBoundsHedges)
{
  EXPECT_EQ (-1, lt_retry_hedge_delay_us (retry, 1));
  for (int i = 0; i < 2000; i++)
    lt_retry_on_latency (retry, 1, i % 100 < 92 ? 10000 : 80000);
  int64_t delay = lt_retry_hedge_delay_us (retry, 1);
  EXPECT_GE (delay, 80000);
  EXPECT_LE (delay, 80000 * 17 / 16);
  for (int i = 0; i < 20000; i++)
    lt_retry_on_latency (retry, 1, 2000);
  EXPECT_LE (lt_retry_hedge_delay_us (retry, 1), 2200)
      << "old latencies still count";
  EXPECT_EQ (-1, lt_retry_hedge_delay_us (retry, 2)) << "other service";
  int hedges = 0;
  for (int i = 0; i < 1000; i++)
    {
      lt_retry_attempt_t a = attempt ();
      lt_retry_on_request (retry, 1, 2, i);
      hedges += lt_retry_decide_hedge (retry, &a, i).retry;
    }
  EXPECT_GT (hedges, 0);
  EXPECT_LE (hedges, options.hedge_ratio * 1000 + 1);
  lt_retry_attempt_t a = attempt ();
  a.idempotent = false;
  a.byte_sent = false;
  EXPECT_EQ (LT_RETRY_NOT_SAFE, lt_retry_decide_hedge (retry, &a, 0).reason)
      << "both attempts could run";
}

// Back-off has jitter and doubles; after a failed connection there is none.
TEST_F (Retry, Backoff)
{
  lt_retry_attempt_t a = attempt ();
  for (int i = 0; i < 50; i++)
    {
      recreate ();
      a.attempts = 1;
      int64_t first = lt_retry_decide (retry, &a, 0).delay_us;
      EXPECT_GE (first, options.backoff_us / 2);
      EXPECT_LT (first, options.backoff_us * 3 / 2);
      recreate ();
      a.attempts = 2;
      int64_t second = lt_retry_decide (retry, &a, 0).delay_us;
      EXPECT_GE (second, options.backoff_us);
      EXPECT_LT (second, options.backoff_us * 3);
    }
  recreate ();
  a.failure = LT_RETRY_CONNECT_FAILED;
  EXPECT_EQ (0, lt_retry_decide (retry, &a, 0).delay_us);
}

// lt_retry_has_budget checks both budgets without taking tokens.
TEST_F (Retry, HasBudgetTakesNoTokens)
{
  options.budget_burst = 1;
  options.budget_per_s = 0;
  recreate ();
  EXPECT_TRUE (lt_retry_has_budget (retry, 1, 2, S));
  EXPECT_TRUE (lt_retry_has_budget (retry, 1, 2, S)) << "no token was taken";
  lt_retry_attempt_t a = attempt ();
  EXPECT_TRUE (lt_retry_decide (retry, &a, S).retry);
  EXPECT_FALSE (lt_retry_has_budget (retry, 1, 2, S));
  EXPECT_TRUE (lt_retry_has_budget (retry, 3, 2, S)) << "another service";
}

// With unsent_is_free, retries after a failed connection take no token, since
// the upstream got no request.
TEST_F (Retry, ConnectFailureTakesNoTokenIfEnabled)
{
  options.budget_burst = 1;
  options.budget_per_s = 0;
  options.connect_failure_is_free = true;
  recreate ();
  lt_retry_attempt_t a = attempt ();
  a.failure = LT_RETRY_CONNECT_FAILED;
  a.byte_sent = false;
  for (int i = 0; i < 5; i++)
    EXPECT_TRUE (lt_retry_decide (retry, &a, S).retry);
  EXPECT_TRUE (lt_retry_has_budget (retry, 1, 2, S));
}

// The route's attempts_max overrides that of the options.
TEST_F (Retry, RouteOverridesMaximumAttempts)
{
  lt_retry_attempt_t a = attempt ();
  a.attempts = 2;
  a.attempts_max = 2;
  EXPECT_EQ (LT_RETRY_ATTEMPTS_USED, lt_retry_decide (retry, &a, S).reason);
}

} // namespace
