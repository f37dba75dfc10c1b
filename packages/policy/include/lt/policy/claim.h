/** @file
    At-most-once execution of a request that must not be repeated.  Guarantees
    that an action runs at most once (invariant I8) and that a request reported
    as not run did not run (I7).

    A VM claims the action by inserting a record into a table shared by the
    fleet.  Only the VM that holds the claim sends the request, and only after
    its insert is known to have taken effect.  This is the state machine of one
    attempt and does no I/O: the caller reports events and executes the
    returned actions in order.  */
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
    /** The dispatcher is about to write the first byte to the socket.  It may
        do so only if LT_CLAIM_ACTION_PERMIT is returned.  */
    LT_CLAIM_EVENT_FIRST_BYTE,
    /** The dispatcher gave up before a byte was permitted: no upstream was
        available or every connection attempt failed.  */
    LT_CLAIM_EVENT_NOT_SENT,
    /** A complete response arrived.  The dispatcher streams it to the caller;
        no LT_CLAIM_ACTION_REPLY follows.  */
    LT_CLAIM_EVENT_RESPONSE,
    /** The request failed after the first byte: reset, timeout or truncated
        response.  */
    LT_CLAIM_EVENT_FAILED,
    LT_CLAIM_EVENT_RELEASE_RESULT,
    LT_CLAIM_EVENT_RECORD_RESULT,
    LT_CLAIM_EVENT_TIMER,     /**< The time lt_claim_timer_us is due. */
    LT_CLAIM_EVENT_CANCELLED, /**< The caller closed its connection. */
    LT_CLAIM_EVENT_RESUMED    /**< The VM resumed after a pause. */
  } lt_claim_event_kind_t;

  /** Outcome of a table call.  */
  typedef enum lt_claim_table_result
  {
    LT_CLAIM_TABLE_DONE,
    LT_CLAIM_TABLE_CONDITION_FAILED, /**< The condition of the write did not
                                        hold. */
    LT_CLAIM_TABLE_UNKNOWN, /**< The call may or may not have taken effect. */
    LT_CLAIM_TABLE_NOT_ACCEPTED /**< Failed with -LT_EUNAVAILABLE; no effect.
                                 */
  } lt_claim_table_result_t;

  typedef struct lt_claim_event
  {
    lt_claim_event_kind_t kind;
    lt_claim_table_result_t outcome; /**< Set for the *_RESULT events. */
    /** Set for a successful read: the record, or NULL if there is none.  A
        record that cannot be decoded has state 0.  Not owned.  */
    const lt_claim_record_t *record;
  } lt_claim_event_t;

  typedef enum lt_claim_action_kind
  {
    LT_CLAIM_ACTION_INSERT, /**< Put if absent, at the attempt's version. */
    LT_CLAIM_ACTION_READ,
    LT_CLAIM_ACTION_SEND,    /**< Start dispatching the request. */
    LT_CLAIM_ACTION_PERMIT,  /**< Permits the first byte. */
    LT_CLAIM_ACTION_CANCEL,  /**< Cancel dispatching and transfers. */
    LT_CLAIM_ACTION_RELEASE, /**< Delete if at the attempt's version. */
    LT_CLAIM_ACTION_RECORD_RESPONSE, /**< Put if at the attempt's version, in
                                      state LT_CLAIM_RECORD_COMPLETED. */
    LT_CLAIM_ACTION_RECORD_NO_RESPONSE, /**< The same,
                                           LT_CLAIM_RECORD_NO_RESPONSE. */
    LT_CLAIM_ACTION_REPLY,              /**< Send a reply to the caller. */
    /** The attempt may be freed once its pending table call has completed.
     */
    LT_CLAIM_ACTION_FINISHED
  } lt_claim_action_kind_t;

/** Replies: enumerator, name, HTTP status (0: chosen by the caller of
    lt_claim_step).  */
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

  /** Whether the request ran; the value of the X-Request-Ran header.  */
  typedef enum lt_claim_ran
  {
    LT_CLAIM_RAN_NO,
    LT_CLAIM_RAN_UNKNOWN,
    LT_CLAIM_RAN_YES
  } lt_claim_ran_t;

  typedef struct lt_claim_action
  {
    lt_claim_action_kind_t kind;
    /** For table calls: delay before the call starts.  The call must start
        even if other events arrive first, since the state machine expects its
        result.  */
    int64_t delay_us;
    /** For LT_CLAIM_ACTION_REPLY.  RECORDED: the response stored in the record
        of the event, or 409 with "ran" if its body was not stored.  DISPATCH:
        the dispatcher's own error reply or the upstream's response.  */
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
    LT_CLAIM_STATE_CLAIMED,   /**< No byte has been permitted yet. */
    LT_CLAIM_STATE_SENT,      /**< A byte may have been sent. */
    LT_CLAIM_STATE_RELEASING, /**< Sending is no longer permitted. */
    LT_CLAIM_STATE_RECORDING,
    LT_CLAIM_STATE_FINISHED
  } lt_claim_state_t;

  typedef struct lt_claim_options
  {
    lt_claim_attempt_t attempt;
    lt_digest_t fingerprint;
    int64_t deadline_us;          /**< Of the request; monotonic clock. */
    int64_t record_retry_us;      /**< Time limit of retries of a record. */
    int64_t release_retry_us;     /**< The same for a release. */
    int64_t table_retry_first_us; /**< First delay; doubles per retry. */
    int64_t table_retry_max_us;
  } lt_claim_options_t;

/** Releases are retried for 10 minutes because an abandoned insert can still
    reach the table while the platform retries it.  If the table is down for
    longer than record_retry_us, the outcome is not recorded and repeats of the
    request get 409.  */
#define LT_CLAIM_OPTIONS_DEFAULT                                              \
  ((lt_claim_options_t){ .attempt = { { 0 }, 0, 0, 0 },                       \
                         .fingerprint = { { 0 } },                            \
                         .deadline_us = 0,                                    \
                         .record_retry_us = 600 * 1000000LL,                  \
                         .release_retry_us = 600 * 1000000LL,                 \
                         .table_retry_first_us = 20 * 1000LL,                 \
                         .table_retry_max_us = 10 * 1000000LL })

  /** State of one attempt.  Members are private, except that options and
      state may be read.  */
  typedef struct lt_claim
  {
    lt_claim_options_t options;
    lt_claim_state_t state;
    bool insert_pending; /**< An insert has no result yet. */
    int inserts_unknown; /**< Inserts that may still take effect. */
    bool record_exists;  /**< This attempt's record is known to exist. */
    bool held_by_other;  /**< Another attempt is known to hold the key. */
    bool replied;
    lt_claim_action_t deferred_reply; /**< Sent once the release is done. */
    bool has_response;      /**< The outcome to record includes a response. */
    int64_t retry_delay_us; /**< Delay of the next table retry. */
    int64_t give_up_us;     /**< End of retries in RELEASING and RECORDING. */
  } lt_claim_t;

  void lt_claim_init (lt_claim_t *claim, const lt_claim_options_t *options);
  /** Handles EVENT and returns the actions to execute.  NOW_US is monotonic
      time.  WALL_US is wall-clock time and is only compared with deadlines in
      records.  Events that the current state does not expect are ignored.  */
  lt_claim_actions_t lt_claim_step (lt_claim_t *claim,
                                    const lt_claim_event_t *event,
                                    int64_t now_us, int64_t wall_us);
  /** Returns the monotonic time at which LT_CLAIM_EVENT_TIMER is due, or
      INT64_MAX if no timer is needed.  */
  int64_t lt_claim_timer_us (const lt_claim_t *claim);
  /** Returns the name in LT_CLAIM_REPLY_TABLE, such as "key-reused".  */
  const char *lt_claim_reply_name (lt_claim_reply_t reply);
  /** Returns the HTTP status in LT_CLAIM_REPLY_TABLE.  */
  int lt_claim_reply_status (lt_claim_reply_t reply);
  /** Returns "not-run", "unknown" or "ran".  */
  const char *lt_claim_ran_name (lt_claim_ran_t ran);

#ifdef __cplusplus
}
#endif

#endif
