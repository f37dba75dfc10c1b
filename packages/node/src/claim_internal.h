/** @file
    One run of a never-repeat action, and the controller that owns the runs. */
#ifndef LT_NODE_CLAIM_INTERNAL_H
#define LT_NODE_CLAIM_INTERNAL_H

#include <ev.h>

#include "claim_table.h"
#include "lt/node/claim_controller.h"
#include "lt/node/node.h"

/* Events that are counted, with their labels.  */
#define COUNT_TABLE(X)                                                        \
  X (COUNT_CLAIMED, "claimed")                                                \
  X (COUNT_SENT, "sent")                                                      \
  X (COUNT_NOT_PERMITTED, "not-permitted")                                    \
  X (COUNT_REPLAYED, "replayed")                                              \
  X (COUNT_IN_PROGRESS, "in-progress")                                        \
  X (COUNT_OUTCOME_UNKNOWN, "outcome-unknown")                                \
  X (COUNT_KEY_REUSED, "key-reused")                                          \
  X (COUNT_UNAVAILABLE, "unavailable")                                        \
  X (COUNT_RELEASE, "release")                                                \
  X (COUNT_RECORDED, "recorded")                                              \
  X (COUNT_LOST, "recorded-lost")                                             \
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
  lt_claim_run_t *runs;
  uint64_t sequence;
  int slot; /* Of the filter's state in requests. */
  int64_t last_tick_us;
  int64_t stop_started_us;
  lt_counter_t *counts[COUNTS];
};

struct lt_claim_action_run
{
  lt_claim_run_t *prev;
  lt_claim_run_t *next;
  lt_claim_controller_t *controller;
  lt_request_t *request; /* NULL once it has ended. */
  lt_claim_t claim;
  char key[LT_CLAIM_KEY_BYTES];
  lt_claim_record_t record; /* As this attempt writes it. */
  lt_buf_t content_type;
  lt_buf_t body;
  const lt_claim_record_t *found; /* Of the event being handled. */
  int open_calls;
  int depth; /* Nesting of events. */
  bool finished;
  bool answer_waits;
  bool refusal_held;
  lt_refusal_t held_refusal;
  ev_timer deadline;
  ev_timer answer_wait;
};

/** Hands an event to the claim of RUN and carries out its actions; RUN may be
    gone afterwards.  */
void lt_claim_run_event (lt_claim_run_t *run, lt_claim_event_kind_t kind,
                         lt_claim_table_result_t outcome,
                         const lt_claim_record_t *found);
/** Takes RUN off the controller's list and frees it.  */
void lt_claim_run_free (lt_claim_run_t *run);

#endif
