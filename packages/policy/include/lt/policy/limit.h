/** @file
    Fleet-wide rate and burst of a workspace as a conserved quantity: types
    shared by the holder (limit_holder.h) and the home (limit_home.h).

    The right to spend is a number of parts per million of the workspace's rate
    and burst.  Every part is at one place at a time: in the pool of the home,
    at a holder, or in a transfer.  A place with P parts fills its tokens at
    P * rate and keeps at most P * burst, so the places together never admit
    more than one token bucket with the whole rate and burst would.  */
#ifndef LT_POLICY_LIMIT_H
#define LT_POLICY_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** The whole of a workspace's rate and burst.  */
#define LT_LIMIT_WHOLE_PPM 1000000
/** Tokens are counted in units of 1e-9 request.  */
#define LT_LIMIT_TOKEN 1000000000LL
#define LT_LIMIT_BURST_MAX 1000000000LL
#define LT_LIMIT_RATE_MILLI_MAX 1000000000000LL
/** Number of table records.  Constant, because a workspace that moved to
    another record could be granted twice.  */
#define LT_LIMIT_GROUPS 256
#define LT_LIMIT_VM_BYTES 64

  /** Id of a VM, padded with NUL; the last byte is NUL.  */
  typedef struct lt_limit_vm
  {
    char id[LT_LIMIT_VM_BYTES];
  } lt_limit_vm_t;

  /** Rate and burst of one workspace.  */
  typedef struct lt_limit_rate
  {
    uint64_t workspace; /**< lt_hash64 of the name. */
    int64_t rate_milli_per_s;
    int64_t burst; /**< Requests. */
  } lt_limit_rate_t;

  /** Times that both sides must agree on.  */
  typedef struct lt_limit_times
  {
    int64_t validity_us; /**< Of a share, by the holder's clock. */
    int64_t lease_us;    /**< Of a home, by its clock. */
    int64_t batch_us;    /**< Validity of lent tokens. */
  } lt_limit_times_t;

#define LT_LIMIT_TIMES_DEFAULT                                                \
  ((lt_limit_times_t){ .validity_us = 6 * 3600 * 1000000LL,                   \
                       .lease_us = 10 * 1000000LL,                            \
                       .batch_us = 250000LL })

  typedef enum lt_limit_message_type
  {
    LT_LIMIT_SHARE_ASK = 10, /**< Holder to home; home to holder: recall. */
    LT_LIMIT_SHARE_GRANT = 11,
    LT_LIMIT_SHARE_RETURN = 12,
    LT_LIMIT_SHARE_RENEW = 13,
    LT_LIMIT_SHARE_ACK = 14,
    LT_LIMIT_TOKENS_ASK = 15,
    LT_LIMIT_TOKENS_LEND = 16
  } lt_limit_message_type_t;

  /** One message.  A field that a type does not use is 0.  */
  typedef struct lt_limit_message
  {
    lt_limit_message_type_t type;
    bool recall; /**< share_ask from the home: return up to ppm. */
    bool gone;   /**< share_ack: the record has no such entry. */
    bool hold;   /**< tokens_ask: wait for a token rather than lend none. */
    uint64_t workspace;
    int64_t incarnation; /**< Of the holder, in both directions. */
    int64_t generation;  /**< Of the holder's entry in the record; 0: none. */
    int64_t transfer;    /**< ask, renew: last grant applied; grant: its
                            number; tokens_ask and tokens_lend: number of the
                            ask. */
    int64_t returned;    /**< Last return sent (holder) or recorded (home). */
    int32_t ppm;     /**< Parts asked for, granted, returned or recalled. */
    int64_t tokens;  /**< Tokens moved or asked for. */
    int64_t sent_us; /**< Holder's clock when it sent the request; echoed in
                        the response, 0: the response confirms nothing. */
  } lt_limit_message_t;

  typedef enum lt_limit_action_type
  {
    LT_LIMIT_SEND,        /**< Send message to vm. */
    LT_LIMIT_SEND_HOME,   /**< Send message to the home of group. */
    LT_LIMIT_SEND_LENDER, /**< Send message to lender number rank of group. */
    LT_LIMIT_WAKE,        /**< Call spend again for the waiting requests of
                             workspace (message.workspace). */
    LT_LIMIT_READ,        /**< Read the record of group. */
    LT_LIMIT_WRITE        /**< Write the home's draft if the version of the
                             record of group is still expected_version. */
  } lt_limit_action_type_t;

  typedef struct lt_limit_action
  {
    lt_limit_action_type_t type;
    uint32_t group;
    uint32_t rank; /**< 0: the nearest lender. */
    lt_limit_vm_t vm;
    lt_limit_message_t message;
    int64_t expected_version;
  } lt_limit_action_t;

  /** Actions that a call asks for, in order.  Zero-initialized means empty;
      the caller carries them out and clears the list.  */
  typedef struct lt_limit_actions
  {
    lt_limit_action_t *items;
    size_t count;
    size_t cap;
  } lt_limit_actions_t;

  void lt_limit_actions_add (lt_limit_actions_t *actions,
                             const lt_limit_action_t *action);
  void lt_limit_actions_destroy (lt_limit_actions_t *actions);
  /** Fills VM from LEN bytes at ID.  Returns 0 or -LT_ERANGE.  */
  int lt_limit_vm_set (lt_limit_vm_t *vm, const char *id, size_t len);
  /** Returns the record that WORKSPACE belongs to.  */
  uint32_t lt_limit_group (uint64_t workspace);

  /** Tokens of PPM parts of RATE that accrue in ELAPSED_US.  Slightly fewer
      than exact (1/1000), because clocks of VMs drift by up to 500 ppm. */
  int64_t lt_limit_accrued (const lt_limit_rate_t *rate, int32_t ppm,
                            int64_t elapsed_us);
  /** Most tokens that PPM parts of RATE hold.  */
  int64_t lt_limit_cap (const lt_limit_rate_t *rate, int32_t ppm);
  /** Least useful share: its burst is two requests (or the whole burst).  */
  int32_t lt_limit_min_ppm (const lt_limit_rate_t *rate);

#ifdef __cplusplus
}
#endif

#endif
