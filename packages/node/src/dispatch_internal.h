/** @file
    State of the dispatcher, shared by its files.  */
#ifndef LT_NODE_DISPATCH_INTERNAL_H
#define LT_NODE_DISPATCH_INTERNAL_H

#include <ev.h>

#include "dispatch.h"
#include "lt/node/node.h"
#include "lt/policy/retry.h"
#include "upstream_client.h"

enum
{
  ATTEMPTS_MAX = 4
};

typedef struct attempt
{
  lt_dispatch_t *dispatch;
  lt_transfer_t *transfer;   /* NULL when the attempt is not open. */
  lt_snapshot_ref_t *config; /* What UPSTREAM refers to. */
  uint32_t upstream;
  int64_t started_us;
  int64_t header_us;
  int status;
  int64_t retry_after_ms;
  bool byte_sent;
  bool closing;
  bool paused;
  bool not_run;  /* The upstream said so. */
  bool mixed_up; /* The answer is not this request's own. */
  bool decided;  /* DECISION was taken when the header came. */
  lt_retry_decision_t decision;
} attempt_t;

struct lt_dispatch
{
  lt_request_t *request;
  lt_snapshot_ref_t *config; /* That of the pools at the last attempt. */
  str_t service_name;        /* Of the request's snapshot. */
  uint32_t service;          /* In CONFIG; LT_NO_INDEX: not there. */
  attempt_t attempts[ATTEMPTS_MAX];
  uint32_t attempt_count;
  uint32_t may_have_run; /* Attempts sent and not refused as not run. */
  attempt_t *winner;     /* The attempt whose answer is used. */
  lt_buf_t target;
  uint64_t service_hash;
  uint64_t workspace_hash;
  bool timed_out;  /* The last attempt ran into the deadline. */
  bool last_reset; /* The last attempt lost its connection. */
  bool no_retry;   /* The retry timer only delays the refusal. */
  ev_timer retry_timer;
  ev_timer hedge_timer;
};

/** Brings DISPATCH to the configuration of the pools and picks an upstream
   that was not tried yet.  Returns its index or -LT_EUNAVAILABLE.  */
int64_t lt_dispatch_pick (lt_dispatch_t *dispatch);
/** Reads the header of an answer: whether the request did not run, and whether
    the answer is that of another request.  */
void lt_dispatch_check_answer (attempt_t *attempt,
                               const lt_header_list_t *headers);
/** Returns whether the proxy answers in place of an upstream's answer with
    this status, which would promise that the request did not run.  */
bool lt_dispatch_status_promises (int status);
/** Logs how ATTEMPT ended.  */
void lt_dispatch_log_attempt (const attempt_t *attempt,
                              lt_attempt_outcome_t outcome);
/** Asks the retry policy after a failed attempt, and counts the decision.  */
lt_retry_decision_t lt_dispatch_decide_retry (lt_dispatch_t *dispatch,
                                              const attempt_t *attempt,
                                              lt_retry_failure_t failure);
/** Asks whether the first attempt may be hedged now, and counts the decision.
 */
lt_retry_decision_t lt_dispatch_decide_hedge (lt_dispatch_t *dispatch);
bool lt_dispatch_is_idempotent (const lt_dispatch_t *dispatch);
/** Returns the retry policy's name for the end of a transfer.  */
lt_retry_failure_t lt_dispatch_failure (lt_transfer_end_t end);

#endif
