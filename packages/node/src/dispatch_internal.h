/** @file
    Internal types and functions of the dispatcher.  */
#ifndef LT_NODE_DISPATCH_INTERNAL_H
#define LT_NODE_DISPATCH_INTERNAL_H

#include <ev.h>

#include "dispatch.h"
#include "lt/node/node.h"
#include "lt/policy/cost.h"
#include "lt/policy/pending.h"
#include "lt/policy/retry.h"
#include "lt/policy/room.h"
#include "lt/policy/wait_rule.h"
#include "upstream_client.h"

enum
{
  ATTEMPTS_MAX = 6,
  /* Upstreams without a free connection that a choice passes over.  */
  BUSY_MAX = 4
};

typedef struct attempt
{
  lt_dispatch_t *dispatch;
  lt_transfer_t *transfer;   /* NULL when the attempt is not in progress. */
  lt_snapshot_ref_t *config; /* Snapshot that UPSTREAM is an index into. */
  uint32_t upstream;
  uint64_t upstream_key; /* Of its connections, see lt/policy/pending.h. */
  int64_t started_us;
  int64_t header_us;
  int status;
  int64_t retry_after_ms;
  int64_t rate_milli_per_s; /* See lt_observation_event_t. */
  int64_t warm_until_us;    /* The same. */
  bool byte_sent;
  bool connection_lost; /* See lt_transfer_result_t. */
  const char *fault;    /* The same. */
  bool closing;         /* The upstream closes the connection. */
  bool paused;          /* Until the caller has read part of the body. */
  bool not_run;         /* The upstream reported that it did not run. */
  bool wrong_response;  /* Of another request, or altered on the way. */
  bool retry_decided;   /* DECISION was made on receipt of the header. */
  lt_retry_decision_t decision;
} attempt_t;

struct lt_dispatch
{
  lt_request_t *request;
  lt_snapshot_ref_t *config; /* Snapshot of the pools at the last attempt. */
  str_t service_name;        /* Belongs to the request's snapshot. */
  uint32_t service;          /* Index in CONFIG; LT_NO_INDEX: absent. */
  bool restricted;           /* ALLOWED_REGIONS applies; empty: nowhere. */
  uint64_t allowed_regions;  /* Mask over the regions of CONFIG. */
  attempt_t attempts[ATTEMPTS_MAX];
  uint32_t attempt_count;
  uint32_t may_have_run; /* Attempts sent, without those marked not_run. */
  attempt_t *winner;     /* The attempt whose response is used. */
  lt_buf_t target;
  uint64_t service_hash;
  uint64_t workspace_hash;
  lt_cost_key_t cost;      /* Set if the pools use costs. */
  bool timed_out;          /* The last attempt timed out. */
  bool last_reset;         /* The last attempt's connection was reset. */
  bool refusal_pending;    /* The retry timer only delays the refusal. */
  uint32_t busy[BUSY_MAX]; /* Indexes in CONFIG; during a choice only. */
  uint32_t busy_count;
  uint32_t chosen; /* Index in CONFIG; of the last choice. */
  bool has_waited; /* For a connection, at least once. */
  /* The wait for a connection; the dispatch queue's.  */
  lt_pending_entry_t queued;
  lt_snapshot_ref_t *queued_config;
  uint32_t queued_upstream; /* Index in QUEUED_CONFIG. */
  int64_t queued_since_us;
  /* Admission by priority; the room controller's.  */
  bool waiting;
  struct lt_dispatch *previous_waiting;
  struct lt_dispatch *next_waiting;
  lt_room_request_t room_request;
  int64_t waiting_since_us;
  lt_refusal_t room_refusal;
  int64_t room_retry_after_ms; /* 0: it has not refused the request. */
  ev_timer retry_timer;
  ev_timer hedge_timer;
};

/** Returns the service that handles the request: the route's, or one drawn by
    weight from its traffic splits.  */
str_t lt_dispatch_choose_service (const lt_request_t *request);
/** Switches DISPATCH to the pools' configuration and picks an upstream that
    was not tried yet and is not busy, within LIMITS unless NULL.  Returns its
    index, -LT_EUNAVAILABLE or -LT_EFULL.  */
int64_t lt_dispatch_pick (lt_dispatch_t *dispatch,
                          const lt_choice_limits_t *limits);
/** Returns whether the route and the workspace of the request allow no region
    in common, as of the last lt_dispatch_pick.  */
bool lt_dispatch_has_no_region (const lt_dispatch_t *dispatch);
/** Sends the request to another upstream, or lets it wait for one.  Returns
    false when it neither was sent nor waits.  */
bool lt_dispatch_start (lt_dispatch_t *dispatch);
/** As lt_dispatch_start, without admission by priority.  */
bool lt_dispatch_start_now (lt_dispatch_t *dispatch);
/** Sends the request to another upstream within LIMITS.  Returns 0,
    -LT_EUNAVAILABLE when none can take it, or -LT_EFULL when all that can are
    full, or have no free connection.  */
int lt_dispatch_try (lt_dispatch_t *dispatch,
                     const lt_choice_limits_t *limits);
/** Returns whether the end of a planned stop could cut the request if it were
    sent now.  One that may be repeated, and has waited for a connection, is
    expected to take as long as those before it; others may last until their
    deadline.  */
bool lt_dispatch_may_be_cut (const lt_dispatch_t *dispatch);
/** Sets the fields of STATE that tell of a wait for a connection.  */
void lt_dispatch_describe_wait (const lt_dispatch_t *dispatch,
                                lt_wait_state_t *state);
/** Lets a request that waits for a connection choose an upstream again; it
    keeps its place among those that wait.  */
void lt_dispatch_choose_again (lt_dispatch_t *dispatch);
/** Refuses a request that waits, as VERDICT says.  */
void lt_dispatch_end_wait (lt_dispatch_t *dispatch, lt_wait_verdict_t verdict);
/** Refuses a request for which no response is in use and no attempt is in
    progress.  */
void lt_dispatch_refuse (lt_dispatch_t *dispatch);
/** Refuses REQUEST with the Retry-After of REFUSAL, unless its claim defers
    that.  */
lt_filter_result_t lt_dispatch_refuse_with (lt_request_t *request,
                                            lt_refusal_t refusal);
/** Refuses a request for which there is no upstream.  */
lt_filter_result_t lt_dispatch_refuse_no_upstream (lt_dispatch_t *dispatch);
/** Sets NOT_RUN and WRONG_RESPONSE of ATTEMPT from a response header.  */
void lt_dispatch_check_response (attempt_t *attempt,
                                 const lt_header_list_t *headers);
/** Returns the rate that the response with HEADERS names, as
    lt_observation_event_t has it.  */
int64_t lt_dispatch_read_rate (const attempt_t *attempt,
                               const lt_header_list_t *headers);
/** Returns when the upstream is warm by the response with HEADERS, as
    lt_observation_event_t has it.  */
int64_t lt_dispatch_read_warm_until (const attempt_t *attempt,
                                     const lt_header_list_t *headers);
/** Tells the pools when the response with HEADERS says that the upstream
    leaves.  */
void lt_dispatch_read_leaving (const attempt_t *attempt,
                               const lt_header_list_t *headers);
/** Returns whether callers may take STATUS to mean that the request did not
    run.  The dispatcher does not forward such a response of an upstream but
    retries or refuses the request.  */
bool lt_dispatch_status_implies_not_run (int status);
/** Logs the outcome of ATTEMPT unless it is a success.  */
void lt_dispatch_log_attempt (const attempt_t *attempt,
                              lt_attempt_outcome_t outcome);
/** Asks the retry policy whether to retry after a failed attempt, and counts
    the decision.  */
lt_retry_decision_t lt_dispatch_decide_retry (lt_dispatch_t *dispatch,
                                              const attempt_t *attempt,
                                              lt_retry_failure_t failure);
/** Asks the retry policy whether to hedge the first attempt now, and counts
    the decision.  */
lt_retry_decision_t lt_dispatch_decide_hedge (lt_dispatch_t *dispatch);
/** Starts the timer for a hedge of the first attempt, if the route hedges.  */
void lt_dispatch_start_hedge_timer (lt_dispatch_t *dispatch);
bool lt_dispatch_is_idempotent (const lt_dispatch_t *dispatch);
/** Sets the keys of the request's likely cost, once, if the pools use
    costs.  */
void lt_dispatch_describe_cost (lt_dispatch_t *dispatch);
/** Report that ATTEMPT begins or has ended, for pools that use costs.  */
void lt_dispatch_begin_work (const attempt_t *attempt);
void lt_dispatch_end_work (const attempt_t *attempt,
                           lt_attempt_outcome_t outcome, int64_t latency_us);
/** Maps the end of a transfer to a failure of the retry policy.  */
lt_retry_failure_t lt_dispatch_failure (lt_transfer_end_t end);

#endif
