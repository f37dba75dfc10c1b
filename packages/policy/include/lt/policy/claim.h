/** @file
    At-most-once execution of one never-repeat request (invariants I7, I8).
    The state machine of one attempt: the driver reports events and carries
    out the returned actions in order.  Only the VM that claimed the action
    ever sends it, and only after its own insert is known to have taken
    effect.  */
#ifndef LT_POLICY_CLAIM_H
#define LT_POLICY_CLAIM_H

#include "lt/policy/claim_record.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_claim_event_kind
  {
    LT_CLAIM_EVENT_START,
    LT_CLAIM_EVENT_INSERT_RESULT,
    LT_CLAIM_EVENT_READ_RESULT,
    /** The dispatcher is about to hand the first byte to the socket.  It sends
        only if the result is LT_CLAIM_ACTION_PERMIT.  */
    LT_CLAIM_EVENT_FIRST_BYTE,
    /** The dispatcher gave up and no byte was permitted (no upstream, every
        connection attempt failed).  */
    LT_CLAIM_EVENT_NOT_SENT,
    /** A complete response arrived; the dispatcher streams it to the caller by
        itself.  */
    LT_CLAIM_EVENT_ANSWERED,
    /** After the first byte: reset, timeout or truncated response.  */
    LT_CLAIM_EVENT_BROKEN,
    LT_CLAIM_EVENT_RELEASE_RESULT,
    LT_CLAIM_EVENT_RECORD_RESULT,
    LT_CLAIM_EVENT_TIMER,     /**< The time of lt_claim_next_us came. */
    LT_CLAIM_EVENT_CANCELLED, /**< The caller closed its connection. */
    LT_CLAIM_EVENT_PAUSED     /**< The VM noticed its own pause. */
  } lt_claim_event_kind_t;

  /** Mirrors the outcome of a table call.  */
  typedef enum lt_claim_outcome
  {
    LT_CLAIM_DONE,
    LT_CLAIM_REFUSED,
    LT_CLAIM_UNKNOWN,
    LT_CLAIM_NOT_ACCEPTED /**< Unknown with -LT_EUNAVAILABLE: no effect. */
  } lt_claim_outcome_t;

  typedef struct lt_claim_event
  {
    lt_claim_event_kind_t kind;
    lt_claim_outcome_t outcome; /**< Of the three table results. */
    /** Of a successful read: the record, NULL when absent.  A record that
        cannot be decoded is reported with state 0.  */
    const lt_claim_record_t *record;
  } lt_claim_event_t;

  typedef enum lt_claim_action_kind
  {
    LT_CLAIM_ACTION_INSERT, /**< Put if absent, with the attempt's version. */
    LT_CLAIM_ACTION_READ,
    LT_CLAIM_ACTION_SEND,          /**< Start dispatching; see FIRST_BYTE. */
    LT_CLAIM_ACTION_PERMIT,        /**< Reply to FIRST_BYTE: send now. */
    LT_CLAIM_ACTION_STOP,          /**< End dispatching and open transfers. */
    LT_CLAIM_ACTION_RELEASE,       /**< Delete on the attempt's version. */
    LT_CLAIM_ACTION_RECORD_ANSWER, /**< Put on the attempt's version, state
                                      ANSWERED. */
    LT_CLAIM_ACTION_RECORD_LOST,   /**< The same, state LOST. */
    LT_CLAIM_ACTION_REPLY,         /**< Answer the caller. */
    /** The attempt may be freed once its open table call has completed.  */
    LT_CLAIM_ACTION_FINISHED
  } lt_claim_action_kind_t;

/** Replies: enumerator, name, HTTP status (0: chosen by the driver).  */
#define LT_CLAIM_REPLY_TABLE(X)                                               \
  X (LT_CLAIM_REPLY_IN_PROGRESS, "action-in-progress", 409)                   \
  X (LT_CLAIM_REPLY_OUTCOME_UNKNOWN, "outcome-unknown", 409)                  \
  X (LT_CLAIM_REPLY_KEY_REUSED, "key-reused", 422)                            \
  X (LT_CLAIM_REPLY_UNAVAILABLE, "claim-unavailable", 503)                    \
  X (LT_CLAIM_REPLY_DEADLINE, "deadline-exceeded", 504)                       \
  X (LT_CLAIM_REPLY_RECORDED, "recorded", 0)                                  \
  X (LT_CLAIM_REPLY_DISPATCH, "dispatch", 0)

#define LT_CLAIM_REPLY_ENUM(name, text, status) name,
  typedef enum lt_claim_reply
  {
    LT_CLAIM_REPLY_TABLE (LT_CLAIM_REPLY_ENUM) LT_CLAIM_REPLIES
  } lt_claim_reply_t;
#undef LT_CLAIM_REPLY_ENUM

  /** Value of X-Request-Ran.  */
  typedef enum lt_claim_ran
  {
    LT_CLAIM_RAN_NOT,
    LT_CLAIM_RAN_UNKNOWN,
    LT_CLAIM_RAN_YES
  } lt_claim_ran_t;

  typedef struct lt_claim_action
  {
    lt_claim_action_kind_t kind;
    /** Of table calls: start them this much later, whatever else happens until
        then; the machine accounts for them.  */
    int64_t delay_us;
    /** Of REPLY.  RECORDED: the reply is in the record of the event, or 409
        with ran "ran" if its body was not kept.  DISPATCH: the dispatcher's
        own refusal or the upstream's response.  */
    lt_claim_reply_t reply;
    lt_claim_ran_t ran;
  } lt_claim_action_t;

#define LT_CLAIM_ACTIONS_MAX 3

  typedef struct lt_claim_actions
  {
    lt_claim_action_t items[LT_CLAIM_ACTIONS_MAX];
    size_t count;
  } lt_claim_actions_t;

  typedef enum lt_claim_state
  {
    LT_CLAIM_STATE_NEW,
    LT_CLAIM_STATE_INSERTING,
    LT_CLAIM_STATE_READING,
    LT_CLAIM_STATE_CLAIMED,   /**< No byte was permitted yet. */
    LT_CLAIM_STATE_SENT,      /**< A byte may have left. */
    LT_CLAIM_STATE_RELEASING, /**< Never sends any more. */
    LT_CLAIM_STATE_RECORDING,
    LT_CLAIM_STATE_FINISHED
  } lt_claim_state_t;

  typedef struct lt_claim_options
  {
    lt_claim_attempt_t attempt;
    lt_digest_t fingerprint;
    int64_t deadline_us;          /**< Monotonic, of the request. */
    int64_t record_retry_us;      /**< How long an outcome is retried. */
    int64_t release_retry_us;     /**< How long a release is retried. */
    int64_t table_retry_first_us; /**< First delay, doubling. */
    int64_t table_retry_max_us;
  } lt_claim_options_t;

/** An abandoned insert can still arrive while the platform's own retries last,
    hence the long release; an outcome lost to a longer outage makes repeats
    get 409.  */
#define LT_CLAIM_OPTIONS_DEFAULT                                              \
  ((lt_claim_options_t){ .attempt = { { 0 }, 0, 0, 0 },                       \
                         .fingerprint = { { 0 } },                            \
                         .deadline_us = 0,                                    \
                         .record_retry_us = 600 * 1000000LL,                  \
                         .release_retry_us = 600 * 1000000LL,                 \
                         .table_retry_first_us = 20 * 1000LL,                 \
                         .table_retry_max_us = 10 * 1000000LL })

  /** One attempt.  Members are private.  */
  typedef struct lt_claim
  {
    lt_claim_options_t options;
    lt_claim_state_t state;
    bool insert_open;    /**< An insert has no result yet. */
    int inserts_unknown; /**< Inserts that may still take effect. */
    bool held;           /**< The record is known to exist. */
    bool other_claimed;  /**< Another attempt is known to hold the key. */
    bool replied;
    lt_claim_action_t waiting; /**< Reply that waits for the release. */
    bool answered;             /**< What RECORDING keeps. */
    int64_t delay_us;          /**< Of the next table retry. */
    int64_t give_up_us;        /**< End of RELEASING and RECORDING. */
  } lt_claim_t;

  void lt_claim_init (lt_claim_t *claim, const lt_claim_options_t *options);
  /** Handles EVENT.  WALL_US is compared with the deadline in records only.
      Events that do not fit the state are ignored.  */
  lt_claim_actions_t lt_claim_step (lt_claim_t *claim,
                                    const lt_claim_event_t *event,
                                    int64_t now_us, int64_t wall_us);
  /** Returns when LT_CLAIM_EVENT_TIMER is due, or INT64_MAX.  */
  int64_t lt_claim_next_us (const lt_claim_t *claim);
  /** Return "action-in-progress" and 409, and so on.  */
  const char *lt_claim_reply_name (lt_claim_reply_t reply);
  int lt_claim_reply_status (lt_claim_reply_t reply);
  /** Returns "not-run", "unknown" or "ran".  */
  const char *lt_claim_ran_name (lt_claim_ran_t ran);

#ifdef __cplusplus
}
#endif

#endif
