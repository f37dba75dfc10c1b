/** @file
    The holder's state, shared by its source files.  */
#ifndef LT_POLICY_LIMIT_HOLDER_INTERNAL_H
#define LT_POLICY_LIMIT_HOLDER_INTERNAL_H

#include "limit_share.h"
#include "lt/policy/limit_holder.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** First wait after all lenders refused a token request; it doubles with each
    further refusal.  */
#define LT_LIMIT_DENIED_BACKOFF_US 50000

  /** One configured workspace.  */
  typedef struct lt_limit_slot
  {
    lt_limit_rate_t rate;
    lt_limit_share_t *share; /**< NULL until the workspace is used. */
  } lt_limit_slot_t;

  struct lt_limit_holder
  {
    lt_limit_holder_options_t options;
    lt_limit_slot_t *slots; /**< By workspace index. */
    uint32_t count;
    uint32_t *by_workspace;    /**< Slot indexes ordered by workspace. */
    lt_limit_share_t *removed; /**< Shares of removed workspaces, until they
                                  are returned; linked by next. */
    unsigned char home_location[LT_LIMIT_GROUPS];
    unsigned char other_lender_count[LT_LIMIT_GROUPS];
    bool is_lender[LT_LIMIT_GROUPS];
    bool draining;
  };

  /** Returns the slot of WORKSPACE, or NULL.  */
  lt_limit_slot_t *lt_limit_holder_slot (const lt_limit_holder_t *holder,
                                         uint64_t workspace);
  /** Returns the share of SLOT, which is created on first use.  */
  lt_limit_share_t *lt_limit_holder_ensure_share (lt_limit_holder_t *holder,
                                                  lt_limit_slot_t *slot,
                                                  int64_t now_us);
  /** Returns whether this VM is a lender for WORKSPACE.  */
  bool lt_limit_holder_is_lender (const lt_limit_holder_t *holder,
                                  uint64_t workspace);
  /** Returns where the home of the share's group is.  */
  lt_limit_home_location_t
  lt_limit_holder_home (const lt_limit_holder_t *holder,
                        const lt_limit_share_t *share);
  /** Returns a message of TYPE with the incarnation, generation and sequence
      numbers of SHARE.  */
  lt_limit_message_t
  lt_limit_holder_make_message (const lt_limit_holder_t *holder,
                                const lt_limit_share_t *share,
                                lt_limit_message_type_t type, int64_t now_us);
  /** Adds LT_LIMIT_WAKE when requests are waiting for tokens of SHARE.  */
  void lt_limit_holder_wake (lt_limit_actions_t *actions,
                             lt_limit_share_t *share);

  /** Sends the pending return of SHARE to the home.  */
  void lt_limit_holder_send_return (const lt_limit_holder_t *holder,
                                    lt_limit_share_t *share, int64_t now_us,
                                    lt_limit_actions_t *actions);
  void lt_limit_holder_on_grant (lt_limit_holder_t *holder,
                                 lt_limit_share_t *share,
                                 const lt_limit_message_t *message,
                                 int64_t now_us, lt_limit_actions_t *actions);
  void lt_limit_holder_on_ack (lt_limit_holder_t *holder,
                               lt_limit_share_t *share,
                               const lt_limit_message_t *message,
                               int64_t now_us);
  void lt_limit_holder_on_recall (lt_limit_holder_t *holder,
                                  lt_limit_share_t *share,
                                  const lt_limit_message_t *message,
                                  int64_t now_us, lt_limit_actions_t *actions);
  /** Sends a share request or a renewal when one is due, also to repeat an
      unanswered one.  */
  void lt_limit_holder_request_share (lt_limit_holder_t *holder,
                                      lt_limit_share_t *share, int64_t now_us,
                                      lt_limit_actions_t *actions);
  /** Returns the part of the share that demand no longer needs, without a
      recall.  */
  void lt_limit_holder_return_idle (lt_limit_holder_t *holder,
                                    lt_limit_share_t *share, int64_t now_us,
                                    lt_limit_actions_t *actions);

  /** Requests tokens from the lender at RANK.  With MAY_QUEUE, the request may
      wait there.  */
  void lt_limit_holder_request_tokens (const lt_limit_holder_t *holder,
                                       lt_limit_share_t *share, uint32_t rank,
                                       bool may_queue, int64_t now_us,
                                       lt_limit_actions_t *actions);
  /** Continues after the pending token request got no tokens: requests them
      from the next lender, then again, with permission to queue, from the
      lender with the largest share.  After that no tokens are requested until
      a back-off time has passed.  */
  void lt_limit_holder_try_next_lender (const lt_limit_holder_t *holder,
                                        lt_limit_share_t *share,
                                        int64_t now_us,
                                        lt_limit_actions_t *actions);
  void lt_limit_holder_on_tokens_request (lt_limit_holder_t *holder,
                                          const lt_limit_vm_t *vm,
                                          const lt_limit_message_t *message,
                                          int64_t now_us,
                                          lt_limit_actions_t *actions);
  void lt_limit_holder_on_tokens_lend (lt_limit_holder_t *holder,
                                       lt_limit_share_t *share,
                                       const lt_limit_message_t *message,
                                       int64_t now_us,
                                       lt_limit_actions_t *actions);

#ifdef __cplusplus
}
#endif

#endif
