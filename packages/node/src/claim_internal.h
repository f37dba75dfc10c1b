/** @file
    The state of one attempt to run a never-repeat action, and of the
    controller that owns these runs.  */
#ifndef LT_NODE_CLAIM_INTERNAL_H
#define LT_NODE_CLAIM_INTERNAL_H

#include <ev.h>

#include "claim_table.h"
#include "lt/node/claim_controller.h"
#include "lt/node/node.h"

/* Counted events, each with its value of the metric label.  */
#define COUNT_TABLE(X)                                                        \
  X (COUNT_CLAIMED, "claimed")                                                \
  X (COUNT_SENT, "sent")                                                      \
  X (COUNT_NOT_PERMITTED, "not-permitted")                                    \
  X (COUNT_REPLAYED, "replayed")                                              \
  X (COUNT_IN_PROGRESS, "in-progress")                                        \
  X (COUNT_OUTCOME_UNKNOWN, "outcome-unknown")                                \
  X (COUNT_KEY_REUSED, "key-reused")                                          \
  X (COUNT_UNAVAILABLE, "unavailable")                                        \
  X (COUNT_RELEASED, "release")                                               \
  X (COUNT_RECORDED, "recorded")                                              \
  X (COUNT_RECORDED_NO_RESPONSE, "recorded-lost")                             \
  X (COUNT_RECORD_UNKNOWN, "record-unknown")                                  \
  X (COUNT_DAMAGED, "damaged-record")

#define COUNT_ENUM(name, text) name,
typedef enum count
{
  COUNT_TABLE (COUNT_ENUM) COUNTS
} count_t;

struct lt_claim_controller
{
  lt_controller_t base;
  claim_table_t *table;
  lt_claim_run_t *runs; /* List of all runs; owned. */
  uint64_t sequence;    /* Number of the latest attempt. */
  int slot;             /* Index of the run in filter_state of a request. */
  int64_t last_tick_us;
  int64_t stop_started_us;
  lt_counter_t *counts[COUNTS];
};

struct lt_claim_run
{
  lt_claim_run_t *prev;
  lt_claim_run_t *next;
  lt_claim_controller_t *controller;
  lt_request_t *request; /* NULL after the request has ended. */
  lt_claim_t claim;
  char key[LT_CLAIM_KEY_BYTES];
  lt_claim_record_t record; /* The record that this attempt writes. */
  lt_buf_t content_type;    /* Storage of record.content_type. */
  lt_buf_t body;            /* Storage of record.body. */
  /* Record that the table returned with the current event, or NULL.  */
  const lt_claim_record_t *found;
  int pending_calls;     /* Table calls without a result. */
  int event_depth;       /* Number of nested events being handled. */
  bool finished;         /* The claim has no further actions. */
  bool response_waiting; /* The response waits for its record. */
  bool refusal_deferred; /* Refuse the request after the release. */
  lt_refusal_t deferred_refusal;
  ev_timer claim_timer;    /* Next timer event of the claim. */
  ev_timer response_timer; /* Bounds the wait of the response. */
};

/** Passes an event to the claim of RUN and performs the resulting actions.
    FOUND is the record that was read, or NULL.  RUN may have been freed when
    this returns.  */
void lt_claim_run_event (lt_claim_run_t *run, lt_claim_event_kind_t kind,
                         lt_claim_table_result_t outcome,
                         const lt_claim_record_t *found);
/** Removes RUN from the controller's list and frees it.  */
void lt_claim_run_free (lt_claim_run_t *run);

#endif
