/** @file
    The holder side of the rate limit: the shares of one VM.  It admits
    requests from its shares without a round trip, requests a larger share from
    the home when demand exceeds it, returns what the home recalls, and renews
    its shares before they expire.  For short peaks it borrows tokens from
    lenders: VMs that keep a share for this purpose.  */
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
    int32_t lender_min_ppm;      /**< Share that a lender keeps on a recall. */
    int64_t request_interval_us; /**< Least time between requests to the home;
                                    doubles while they are unanswered. */
  } lt_limit_holder_options_t;

#define LT_LIMIT_HOLDER_OPTIONS_DEFAULT                                       \
  ((lt_limit_holder_options_t){ .incarnation = 1,                             \
                                .times = LT_LIMIT_TIMES_DEFAULT,              \
                                .lender_min_ppm = 40000,                      \
                                .request_interval_us = 500000 })

  typedef enum lt_limit_verdict
  {
    LT_LIMIT_GRANTED,
    LT_LIMIT_REFUSED, /**< retry_after_us is set. */
    LT_LIMIT_WAIT     /**< Tokens were requested; spend again after
                         LT_LIMIT_WAKE, or refuse after the caller's own time
                         limit. */
  } lt_limit_verdict_t;

  typedef struct lt_limit_spend
  {
    lt_limit_verdict_t verdict;
    int64_t retry_after_us;
  } lt_limit_spend_t;

  /** Whether the home of a group is known, and whether it is this VM.  */
  typedef enum lt_limit_home_location
  {
    LT_LIMIT_HOME_NONE,
    LT_LIMIT_HOME_REMOTE,
    LT_LIMIT_HOME_LOCAL
  } lt_limit_home_location_t;

  /** State of one workspace, for the status page and tests.  */
  typedef struct lt_limit_holder_state
  {
    int32_t ppm;
    int64_t tokens;   /**< Own tokens in units of 1 / LT_LIMIT_TOKEN. */
    int64_t lent;     /**< Lent tokens that have not expired. */
    int64_t borrowed; /**< Borrowed tokens that are left. */
    int64_t valid_until_us;
    double demand_per_s;
  } lt_limit_holder_status_t;

  lt_limit_holder_t *
  lt_limit_holder_create (const lt_limit_holder_options_t *options);
  void lt_limit_holder_destroy (lt_limit_holder_t *holder);
  /** Sets the rates of all workspaces; the position in RATES is the workspace
      index of lt_limit_holder_spend.  Shares of known workspaces stay, with
      tokens up to the new burst; shares of removed workspaces are returned to
      the home.  */
  void lt_limit_holder_configure (lt_limit_holder_t *holder,
                                  const lt_limit_rate_t *rates, uint32_t count,
                                  int64_t now_us);
  /** Returns the index of WORKSPACE, or UINT32_MAX.  */
  uint32_t lt_limit_holder_index (const lt_limit_holder_t *holder,
                                  uint64_t workspace);
  /** Sets the location of the home of GROUP.  The caller addresses
      LT_LIMIT_SEND_HOME.  */
  void lt_limit_holder_set_home (lt_limit_holder_t *holder, uint32_t group,
                                 lt_limit_home_location_t location);
  /** Sets the number of other lenders of GROUP and whether this VM is a lender
      itself.  The lender of a region is its first VM by rendezvous hash.  The
      caller numbers the other lenders from the nearest (rank 0).  */
  void lt_limit_holder_set_lenders (lt_limit_holder_t *holder, uint32_t group,
                                    uint32_t others, bool self);
  /** Spends one token of the workspace with index WORKSPACE.  REPEAT is true
      when the request was already counted as demand, that is, after
      LT_LIMIT_WAKE.  */
  lt_limit_spend_t lt_limit_holder_spend (lt_limit_holder_t *holder,
                                          uint32_t workspace, bool repeat,
                                          int64_t now_us,
                                          lt_limit_actions_t *actions);
  /** Handles a message from VM: a grant, an acknowledgement, a recall, a token
      request or the response to one.  Other types, and messages for another
      incarnation of this VM, are ignored.  */
  void lt_limit_holder_message (lt_limit_holder_t *holder,
                                const lt_limit_vm_t *vm,
                                const lt_limit_message_t *message,
                                int64_t now_us, lt_limit_actions_t *actions);
  /** Updates the demand averages and sends share requests, renewals and
      repetitions of unanswered messages.  Call every 100 ms.  */
  void lt_limit_holder_tick (lt_limit_holder_t *holder, int64_t now_us,
                             lt_limit_actions_t *actions);
  /** Prepares a planned stop: returns all shares and stops requesting, lending
      and borrowing.  Keep calling lt_limit_holder_tick until
      lt_limit_holder_drained.  */
  void lt_limit_holder_drain (lt_limit_holder_t *holder, int64_t now_us,
                              lt_limit_actions_t *actions);
  /** Returns true when the home has confirmed the return of every share.  */
  bool lt_limit_holder_drained (const lt_limit_holder_t *holder);
  /** Writes the state of the workspace with index WORKSPACE into STATUS.
      Returns 0, or -LT_ENOTFOUND for an index out of range.  */
  int lt_limit_holder_status (const lt_limit_holder_t *holder,
                              uint32_t workspace,
                              lt_limit_holder_status_t *status);

#ifdef __cplusplus
}
#endif

#endif
