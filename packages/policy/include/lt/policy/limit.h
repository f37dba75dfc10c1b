/** @file
    Fleet-wide rate limit of a workspace, divided into shares: types of the
    holder (limit_holder.h) and the home (limit_home.h).

    Every VM is a holder: it has a share of a workspace's rate and burst and
    admits requests from a token bucket of that size.  One VM, the home of the
    workspace's group, grants the shares and records them in a table.  A share
    is a number of parts per million (ppm).  The ppm of a workspace always add
    up to the same total: each is in the pool of the home, at one holder, or in
    a message between the two.  A bucket with a share s refills at s * rate and
    holds at most s * burst, so all buckets together never admit more than one
    token bucket with the full rate and burst would.  */
#ifndef LT_POLICY_LIMIT_H
#define LT_POLICY_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** The full rate and burst of a workspace.  */
#define LT_LIMIT_WHOLE_PPM 1000000
/** Tokens are counted in units of 1e-9 request.  */
#define LT_LIMIT_TOKEN 1000000000LL
#define LT_LIMIT_BURST_MAX 1000000000LL
#define LT_LIMIT_RATE_MILLI_MAX 1000000000000LL
/** Number of groups of workspaces; each group has one table record.  It must
    not change: a workspace that moved to another record could be granted
    twice.  */
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

  /** Times that must be the same at the home and at all holders.  */
  typedef struct lt_limit_times
  {
    int64_t share_validity_us; /**< Of a share, by the holder's clock. */
    int64_t home_lease_us; /**< Ownership of a record, by the home's clock. */
    int64_t loan_us;       /**< Validity of borrowed tokens. */
  } lt_limit_times_t;

#define LT_LIMIT_TIMES_DEFAULT                                                \
  ((lt_limit_times_t){ .share_validity_us = 6 * 3600 * 1000000LL,             \
                       .home_lease_us = 10 * 1000000LL,                       \
                       .loan_us = 250000LL })

  typedef enum lt_limit_message_type
  {
    LT_LIMIT_SHARE_REQUEST = 10,  /**< Holder to home: request for a larger
                                 share;  home to holder: recall. */
    LT_LIMIT_SHARE_GRANT = 11,    /**< Home to holder. */
    LT_LIMIT_SHARE_RETURN = 12,   /**< Holder to home. */
    LT_LIMIT_SHARE_RENEW = 13,    /**< Holder to home. */
    LT_LIMIT_SHARE_ACK = 14,      /**< Home to holder. */
    LT_LIMIT_TOKENS_REQUEST = 15, /**< Borrower to lender. */
    LT_LIMIT_TOKENS_LEND = 16     /**< Lender to borrower. */
  } lt_limit_message_type_t;

  /** One message.  A field that a type does not use is 0.  */
  typedef struct lt_limit_message
  {
    lt_limit_message_type_t type;
    bool recall;        /**< The home asks the holder to return up to ppm. */
    bool entry_missing; /**< Acknowledgement: the record has no such entry. */
    bool may_queue;     /**< Token request: may wait in the lender's queue. */
    uint64_t workspace;
    int64_t incarnation; /**< Of the holder, in both directions. */
    int64_t generation;  /**< Of the holder's entry in the record; 0: none. */
    int64_t sequence;    /**< Share request, renewal: number of the last grant
                            applied.  Grant: its own number.  Token request and
                            response: number of the request. */
    int64_t return_seq;  /**< Number of the last return that the holder sent or
                          the home recorded. */
    int32_t ppm;         /**< Requested, granted, returned or recalled; in a
                            response to a token request: the lender's share. */
    int64_t tokens;      /**< Tokens transferred or requested. */
    int64_t sent_us; /**< Holder's clock when it sent the request, echoed in
                        the response.  0: the response does not extend the
                        share's validity. */
  } lt_limit_message_t;

  typedef enum lt_limit_action_type
  {
    LT_LIMIT_SEND,        /**< Send message to vm. */
    LT_LIMIT_SEND_HOME,   /**< Send message to the home of group. */
    LT_LIMIT_SEND_LENDER, /**< Send message to lender number rank of group. */
    LT_LIMIT_WAKE,        /**< Call lt_limit_holder_spend again for the waiting
                             requests of message.workspace. */
    LT_LIMIT_READ,        /**< Read the record of group. */
    LT_LIMIT_WRITE        /**< Write lt_limit_home_draft if the version of the
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

  /** Actions that the caller must perform in order, after which it clears the
      list.  Zero-initialized means empty.  */
  typedef struct lt_limit_actions
  {
    lt_limit_action_t *items;
    size_t count;
    size_t cap;
  } lt_limit_actions_t;

  /** Appends a copy of ACTION.  */
  void lt_limit_actions_add (lt_limit_actions_t *actions,
                             const lt_limit_action_t *action);
  void lt_limit_actions_destroy (lt_limit_actions_t *actions);
  /** Sets VM to the LEN bytes at ID.  Returns 0, or -LT_ERANGE when the id is
      empty or too long.  */
  int lt_limit_vm_set (lt_limit_vm_t *vm, const char *id, size_t len);
  /** Returns the group, and so the table record, of WORKSPACE.  */
  uint32_t lt_limit_group (uint64_t workspace);

  /** Returns the tokens that a share of PPM accrues in ELAPSED_US.  The result
      is 1/1000 below the exact number, because clocks of VMs drift by up to
      500 parts per million.  */
  int64_t lt_limit_accrued (const lt_limit_rate_t *rate, int32_t ppm,
                            int64_t elapsed_us);
  /** Returns the most tokens that a bucket with a share of PPM holds.  */
  int64_t lt_limit_capacity (const lt_limit_rate_t *rate, int32_t ppm);
  /** Returns the smallest useful share in ppm: its burst is two requests, or
      the full burst when that is smaller.  */
  int32_t lt_limit_min_ppm (const lt_limit_rate_t *rate);

#ifdef __cplusplus
}
#endif

#endif
