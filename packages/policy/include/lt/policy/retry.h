/** @file
    Retries and hedges: when an attempt may be repeated, and how much load
    repeats may add.  Budgets are a ratio to requests, per service and per
    workspace in a service, so that retries cannot multiply load.  Hedging
    follows Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013.  */
#ifndef LT_POLICY_RETRY_H
#define LT_POLICY_RETRY_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_rng;

/** How an attempt failed.  */
#define LT_RETRY_FAILURE_TABLE(X)                                             \
  X (LT_RETRY_CONNECT_FAILED, "connect-failed")                               \
  X (LT_RETRY_RESET, "reset-before-header")                                   \
  X (LT_RETRY_TIMEOUT, "attempt-timeout")                                     \
  X (LT_RETRY_STATUS_FAILED, "status-failed")                                 \
  X (LT_RETRY_SHED, "shed")                                                   \
  X (LT_RETRY_TRUNCATED, "response-truncated")                                \
  X (LT_RETRY_NOT_RUN, "not-run")                                             \
  X (LT_RETRY_MIXED_UP, "response-not-its-own")

/** Why an attempt was, or was not, repeated.  */
#define LT_RETRY_REASON_TABLE(X)                                              \
  X (LT_RETRY_AGAIN, "retried")                                               \
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
    double budget_burst;    /**< Most saved tokens of a budget. */
    double budget_per_s;    /**< Least refill of a service, so that a rare
                               request can be retried. */
    int attempts_max;       /**< Of one request, without hedges. */
    /** Must leave room in hedge_ratio: at 0.95 healthy requests use up a
       budget of 5% and slow ones go without (bench_retry).  */
    double hedge_quantile;
    int64_t hedge_min_us;      /**< Least delay of a hedge. */
    int64_t hedge_min_samples; /**< No hedges before this many latencies. */
    int64_t backoff_us;        /**< Mean wait before the second attempt;
                                  doubles. */
    bool unsent_is_free;       /**< A repeat after a failed connection takes no
                                  budget: the upstream saw nothing. */
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

  /** A failed attempt.  SERVICE and WORKSPACE are hashes of names (lt_hash64),
      which stay the same across snapshots.  */
  typedef struct lt_retry_attempt
  {
    uint64_t service;
    uint64_t workspace;
    lt_retry_failure_t failure;
    bool idempotent;       /**< Of the route. */
    bool byte_sent;        /**< A byte of the request may have left. */
    bool response_started; /**< A byte of the response went to the caller. */
    bool other_upstream;   /**< There is an upstream not tried yet. */
    int attempts;          /**< Made so far. */
    int attempts_max;      /**< Of the route; 0: that of the options. */
    int64_t deadline_us;   /**< Of the request. */
  } lt_retry_attempt_t;

  typedef struct lt_retry_decision
  {
    bool retry;
    lt_retry_reason_t reason;
    int64_t delay_us;
  } lt_retry_decision_t;

  /** RNG spreads the back-off; it is not owned.  */
  lt_retry_t *lt_retry_create (const lt_retry_options_t *options,
                               struct lt_rng *rng);
  void lt_retry_destroy (lt_retry_t *retry);
  /** Sets the part of a budget that does not depend on requests.  */
  void lt_retry_set_burst (lt_retry_t *retry, double burst);
  /** Counts a new request (not an attempt) into the budgets.  */
  void lt_retry_on_request (lt_retry_t *retry, uint64_t service,
                            uint64_t workspace, int64_t now_us);
  /** Reports the time to the response header of a first attempt; of one that
      was cancelled, the time until then.  */
  void lt_retry_on_latency (lt_retry_t *retry, uint64_t service,
                            int64_t latency_us);
  /** Decides after a failed attempt; takes the tokens when it says retry.  */
  lt_retry_decision_t lt_retry_decide (lt_retry_t *retry,
                                       const lt_retry_attempt_t *attempt,
                                       int64_t now_us);
  /** Returns whether the budgets would let one more failed attempt be repeated
      now.  */
  bool lt_retry_has_budget (lt_retry_t *retry, uint64_t service,
                            uint64_t workspace, int64_t now_us);
  /** Returns how long after its start a first attempt may be hedged, or -1
      while too little is known.  */
  int64_t lt_retry_hedge_delay_us (const lt_retry_t *retry, uint64_t service);
  /** Decides at the hedge time.  The caller asks only for idempotent routes
      marked for hedging.  ATTEMPT describes the open attempt; its failure is
      not looked at.  */
  lt_retry_decision_t lt_retry_hedge (lt_retry_t *retry,
                                      const lt_retry_attempt_t *attempt,
                                      int64_t now_us);
  /** Returns how often each reason was given.  */
  uint64_t lt_retry_count (const lt_retry_t *retry, lt_retry_reason_t reason);
  /** Returns how often FAILURE was retried.  */
  uint64_t lt_retry_failure_count (const lt_retry_t *retry,
                                   lt_retry_failure_t failure);
  const char *lt_retry_reason_name (lt_retry_reason_t reason);
  const char *lt_retry_failure_name (lt_retry_failure_t failure);

#ifdef __cplusplus
}
#endif

#endif
