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

/** First wait after all lenders denied tokens; it doubles.  */
#define LT_LIMIT_DENY_WAIT_US 50000

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
    uint32_t *by_key;          /**< Slot indexes ordered by workspace. */
    lt_limit_share_t *removed; /**< Shares being returned. */
    unsigned char home[LT_LIMIT_GROUPS];
    unsigned char lenders[LT_LIMIT_GROUPS]; /**< Others. */
    bool lends[LT_LIMIT_GROUPS];
    bool draining;
  };

  /** Returns the slot of WORKSPACE, or NULL.  */
  lt_limit_slot_t *lt_limit_holder_slot (const lt_limit_holder_t *holder,
                                         uint64_t workspace);
  /** Returns the share of SLOT, which is created on first use.  */
  lt_limit_share_t *lt_limit_holder_use (lt_limit_holder_t *holder,
                                         lt_limit_slot_t *slot,
                                         int64_t now_us);
  /** Returns whether this VM lends tokens of WORKSPACE.  */
  bool lt_limit_holder_lends (const lt_limit_holder_t *holder,
                              uint64_t workspace);
  /** Returns where the home of the share's group is.  */
  lt_limit_place_t lt_limit_holder_home (const lt_limit_holder_t *holder,
                                         const lt_limit_share_t *share);
  /** Returns a message of TYPE with the share's counters.  */
  lt_limit_message_t lt_limit_holder_prepare (const lt_limit_holder_t *holder,
                                              const lt_limit_share_t *share,
                                              lt_limit_message_type_t type,
                                              int64_t now_us);
  /** Lets the waiting requests of SHARE spend again.  */
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
  /** Sends an ask, a renewal, or the repetition of an unanswered one.  */
  void lt_limit_holder_ask (lt_limit_holder_t *holder, lt_limit_share_t *share,
                            int64_t now_us, lt_limit_actions_t *actions);
  /** Returns parts that demand has left, without being asked.  */
  void lt_limit_holder_return_idle (lt_limit_holder_t *holder,
                                    lt_limit_share_t *share, int64_t now_us,
                                    lt_limit_actions_t *actions);

  /** Asks the lender at RANK for tokens; with HOLD, the ask waits there.  */
  void lt_limit_holder_ask_lender (const lt_limit_holder_t *holder,
                                   lt_limit_share_t *share, uint32_t rank,
                                   bool hold, int64_t now_us,
                                   lt_limit_actions_t *actions);
  /** The open tokens_ask got nothing: asks the next lender, then the one with
      most parts again, to wait there, and then gives up for a while.  */
  void lt_limit_holder_ask_next (const lt_limit_holder_t *holder,
                                 lt_limit_share_t *share, int64_t now_us,
                                 lt_limit_actions_t *actions);
  void lt_limit_holder_on_tokens_ask (lt_limit_holder_t *holder,
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
