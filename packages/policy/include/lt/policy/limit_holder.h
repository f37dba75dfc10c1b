/** @file
    The holder side of the rate limit: the shares of one VM.  Spends locally,
    asks the home for more when demand exceeds the share, returns what the home
    recalls, renews, and lends and borrows short-lived token batches.  */
#ifndef LT_POLICY_LIMIT_HOLDER_H
#define LT_POLICY_LIMIT_HOLDER_H

#include "lt/policy/limit.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_limit_holder lt_limit_holder_t;

  typedef struct lt_limit_holder_options
  {
    int64_t incarnation;
    lt_limit_times_t times;
    int32_t keep_ppm; /**< Share that a lender keeps on a recall. */
    int64_t ask_us;   /**< Least time between asks; doubles unanswered. */
  } lt_limit_holder_options_t;

#define LT_LIMIT_HOLDER_OPTIONS_DEFAULT                                       \
  ((lt_limit_holder_options_t){ .incarnation = 1,                             \
                                .times = LT_LIMIT_TIMES_DEFAULT,              \
                                .keep_ppm = 40000,                            \
                                .ask_us = 500000 })

  typedef enum lt_limit_verdict
  {
    LT_LIMIT_GRANTED,
    LT_LIMIT_REFUSED, /**< retry_after_us is set. */
    LT_LIMIT_WAIT     /**< Tokens were asked for; spend again after
                         LT_LIMIT_WAKE, or refuse after the caller's bound. */
  } lt_limit_verdict_t;

  typedef struct lt_limit_spend
  {
    lt_limit_verdict_t verdict;
    int64_t retry_after_us;
  } lt_limit_spend_t;

  /** Where the home of a group is.  */
  typedef enum lt_limit_place
  {
    LT_LIMIT_PLACE_NONE,
    LT_LIMIT_PLACE_OTHER,
    LT_LIMIT_PLACE_SELF
  } lt_limit_place_t;

  /** State of one workspace, for the status page and tests.  */
  typedef struct lt_limit_holder_state
  {
    int32_t ppm;
    int64_t tokens;
    int64_t lent;
    int64_t borrowed;
    int64_t valid_until_us;
    double demand_per_s;
  } lt_limit_holder_status_t;

  lt_limit_holder_t *
  lt_limit_holder_create (const lt_limit_holder_options_t *options);
  void lt_limit_holder_destroy (lt_limit_holder_t *holder);
  /** Sets the rates of all workspaces; the position in RATES is the workspace
      index of lt_limit_holder_spend.  Shares of known workspaces stay, cut to
      the new burst; those of removed workspaces are returned.  */
  void lt_limit_holder_configure (lt_limit_holder_t *holder,
                                  const lt_limit_rate_t *rates, uint32_t count,
                                  int64_t now_us);
  /** Returns the index of WORKSPACE, or UINT32_MAX.  */
  uint32_t lt_limit_holder_index (const lt_limit_holder_t *holder,
                                  uint64_t workspace);
  /** Says where the home of GROUP is; the caller routes
      LT_LIMIT_SEND_HOME.  */
  void lt_limit_holder_set_home (lt_limit_holder_t *holder, uint32_t group,
                                 lt_limit_place_t place);
  /** Says how many other lenders GROUP has, which the caller orders from the
      nearest, and whether this VM is a lender: the first VM of each region by
      rendezvous hash.  */
  void lt_limit_holder_set_lenders (lt_limit_holder_t *holder, uint32_t group,
                                    uint32_t others, bool self);
  /** Spends one token of the workspace with index WORKSPACE.  REPEAT says that
      the request was already counted as demand (called after a wake).  */
  lt_limit_spend_t lt_limit_holder_spend (lt_limit_holder_t *holder,
                                          uint32_t workspace, bool repeat,
                                          int64_t now_us,
                                          lt_limit_actions_t *actions);
  /** Handles a message from VM: grant, ack, recall, tokens_ask, tokens_lend.
      Any other type, and a message for another incarnation, is ignored.  */
  void lt_limit_holder_message (lt_limit_holder_t *holder,
                                const lt_limit_vm_t *vm,
                                const lt_limit_message_t *message,
                                int64_t now_us, lt_limit_actions_t *actions);
  /** Call every 100 ms: demand estimate, asks, renewals, repeats.  */
  void lt_limit_holder_tick (lt_limit_holder_t *holder, int64_t now_us,
                             lt_limit_actions_t *actions);
  /** Planned stop: returns all shares and grants nothing more; repeat ticks
      until lt_limit_holder_drained.  */
  void lt_limit_holder_drain (lt_limit_holder_t *holder, int64_t now_us,
                              lt_limit_actions_t *actions);
  /** Returns true when every share was returned and confirmed.  */
  bool lt_limit_holder_drained (const lt_limit_holder_t *holder);
  /** Reads the state of the workspace with index WORKSPACE.  Returns 0 or
      -LT_ENOTFOUND.  */
  int lt_limit_holder_status (const lt_limit_holder_t *holder,
                              uint32_t workspace,
                              lt_limit_holder_status_t *status);

#ifdef __cplusplus
}
#endif

#endif
