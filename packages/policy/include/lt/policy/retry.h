/** @file
    Retries and hedged requests: decides whether an attempt may be repeated and
    bounds the load that repeats add.  Retry budgets are token buckets that
    requests fill, one per service and one per workspace in a service, so that
    retries add at most a fixed share of the load.  Hedging follows Dean and
    Barroso, "The Tail at Scale", CACM 56(2), 2013.  */
#ifndef LT_POLICY_RETRY_H
#define LT_POLICY_RETRY_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_rng;

/** How an attempt failed: enumerator, name.  */
#define LT_RETRY_FAILURE_TABLE(X)                                             \
  X (LT_RETRY_CONNECT_FAILED, "connect-failed")                               \
  X (LT_RETRY_RESET, "reset-before-header")                                   \
  X (LT_RETRY_TIMEOUT, "attempt-timeout")                                     \
  X (LT_RETRY_STATUS_FAILED, "status-failed")                                 \
  X (LT_RETRY_SHED, "shed")                                                   \
  X (LT_RETRY_TRUNCATED, "response-truncated")                                \
  X (LT_RETRY_NOT_RUN, "not-run")                                             \
  X (LT_RETRY_WRONG_RESPONSE, "response-not-its-own")                         \
  X (LT_RETRY_MALFORMED, "response-malformed")

/** Why an attempt was, or was not, repeated: enumerator, name.  */
#define LT_RETRY_REASON_TABLE(X)                                              \
  X (LT_RETRY_RETRIED, "retried")                                             \
  X (LT_RETRY_HEDGED, "hedged")                                               \
  X (LT_RETRY_NOT_SAFE, "not-safe")                                           \
  X (LT_RETRY_RESPONSE_STARTED, "response-started")                           \
  X (LT_RETRY_ATTEMPTS_USED, "attempts-used")                                 \
  X (LT_RETRY_DEADLINE, "deadline")                                           \
  X (LT_RETRY_SERVICE_BUDGET, "service-budget")                               \
  X (LT_RETRY_WORKSPACE_BUDGET, "workspace-budget")                           \
  X (LT_RETRY_NO_OTHER_UPSTREAM, "no-other-upstream")                         \
  X (LT_RETRY_HEDGE_BUDGET, "hedge-budget")

#define LT_RETRY_ENUM(name, text) name,
  typedef enum lt_retry_failure
  {
    LT_RETRY_FAILURE_TABLE (LT_RETRY_ENUM) LT_RETRY_FAILURES
  } lt_retry_failure_t;
  typedef enum lt_retry_reason
  {
    LT_RETRY_REASON_TABLE (LT_RETRY_ENUM) LT_RETRY_REASONS
  } lt_retry_reason_t;
#undef LT_RETRY_ENUM

  typedef struct lt_retry_options
  {
    double retry_ratio;     /**< Retries per request of a service. */
    double workspace_ratio; /**< Retries per request of a workspace. */
    double hedge_ratio;     /**< Hedges per request of a service. */
    double budget_burst;    /**< Capacity of each budget in tokens. */
    double budget_per_s;    /**< Tokens that each retry budget gains per second
                               regardless of requests, so that services with
                               few requests can retry. */
    int attempts_max;       /**< Attempts of one request, without hedges. */
    /** Quantile of the latency after which an attempt is hedged.  The share of
        requests above it must be smaller than hedge_ratio: at 0.95, normal
        requests use up a budget of 5% and none is left for slow ones (measured
        with bench_retry).  */
    double hedge_quantile;
    int64_t hedge_min_us;      /**< Minimum delay of a hedge. */
    int64_t hedge_min_samples; /**< Latencies needed before the first hedge. */
    int64_t backoff_us;        /**< Mean delay before the second attempt;
                                  doubles with each further one. */
    bool connect_failure_is_free; /**< A retry after a failed connection takes
                            no token, since the upstream got no request. */
  } lt_retry_options_t;

#define LT_RETRY_OPTIONS_DEFAULT                                              \
  ((lt_retry_options_t){ .retry_ratio = 0.1,                                  \
                         .workspace_ratio = 0.2,                              \
                         .hedge_ratio = 0.05,                                 \
                         .budget_burst = 10,                                  \
                         .budget_per_s = 0.2,                                 \
                         .attempts_max = 3,                                   \
                         .hedge_quantile = 0.97,                              \
                         .hedge_min_us = 1000,                                \
                         .hedge_min_samples = 50,                             \
                         .backoff_us = 2000 })

  typedef struct lt_retry lt_retry_t;

  /** An attempt to repeat.  SERVICE and WORKSPACE are hashes of their names
      (lt_hash64), which are stable when the configuration changes.  */
  typedef struct lt_retry_attempt
  {
    uint64_t service;
    uint64_t workspace;
    lt_retry_failure_t failure;
    bool idempotent;       /**< The route is idempotent. */
    bool byte_sent;        /**< A byte of the request may have been sent. */
    bool response_started; /**< A byte of the response was sent to the
                                caller. */
    bool other_upstream;   /**< An upstream has not been tried yet. */
    int attempts;          /**< Attempts made so far. */
    int attempts_max;      /**< Of the route; 0: use the options' value. */
    int64_t deadline_us;   /**< Of the request; monotonic. */
  } lt_retry_attempt_t;

  typedef struct lt_retry_decision
  {
    bool retry;
    lt_retry_reason_t reason;
    int64_t delay_us; /**< Back-off before the retry. */
  } lt_retry_decision_t;

  /** RNG adds jitter to the back-off; it is not owned.  */
  lt_retry_t *lt_retry_create (const lt_retry_options_t *options,
                               struct lt_rng *rng);
  void lt_retry_destroy (lt_retry_t *retry);
  /** Sets the capacity of each budget (budget_burst).  */
  void lt_retry_set_burst (lt_retry_t *retry, double burst);
  /** Adds the tokens earned by a new request (not an attempt) to the budgets.
   */
  void lt_retry_on_request (lt_retry_t *retry, uint64_t service,
                            uint64_t workspace, int64_t now_us);
  /** Reports the latency of a first attempt: the time to the response header,
      or to the cancellation of the attempt.  */
  void lt_retry_on_latency (lt_retry_t *retry, uint64_t service,
                            int64_t latency_us);
  /** Decides whether to retry a failed attempt.  Takes the tokens from the
      budgets if it does.  */
  lt_retry_decision_t lt_retry_decide (lt_retry_t *retry,
                                       const lt_retry_attempt_t *attempt,
                                       int64_t now_us);
  /** Returns whether both budgets allow a retry now.  Takes no tokens.  */
  bool lt_retry_has_budget (lt_retry_t *retry, uint64_t service,
                            uint64_t workspace, int64_t now_us);
  /** Returns how long after its start a first attempt may be hedged, or -1 if
      too few latencies were reported.  */
  int64_t lt_retry_hedge_delay_us (const lt_retry_t *retry, uint64_t service);
  /** Decides whether to hedge ATTEMPT, which is still in progress, after the
      hedge delay.  Takes a token if so.  To be called only for routes with
      hedging enabled.  ATTEMPT's failure is ignored.  */
  lt_retry_decision_t lt_retry_decide_hedge (lt_retry_t *retry,
                                             const lt_retry_attempt_t *attempt,
                                             int64_t now_us);
  /** Returns the number of decisions with REASON.  */
  uint64_t lt_retry_count (const lt_retry_t *retry, lt_retry_reason_t reason);
  /** Returns the number of retries after FAILURE.  */
  uint64_t lt_retry_failure_count (const lt_retry_t *retry,
                                   lt_retry_failure_t failure);
  const char *lt_retry_reason_name (lt_retry_reason_t reason);
  const char *lt_retry_failure_name (lt_retry_failure_t failure);

#ifdef __cplusplus
}
#endif

#endif
