/** @file
    Share of one workspace on one VM, with its token bucket, loans and pending
    messages; internal to the holder.  */
#ifndef LT_POLICY_LIMIT_SHARE_H
#define LT_POLICY_LIMIT_SHARE_H

#include "lt/policy/limit.h"

/** Lent tokens are counted in time slots of one seventh of their validity.  A
    slot is cleared once seven whole slots have passed after it.  */
#define LT_LIMIT_LENT_SLOTS 8

/** A return to the home that is not confirmed.  */
typedef struct lt_limit_return
{
  int32_t ppm;
  int64_t tokens;
  int64_t sent_us;
  int64_t backoff_us; /**< Until it is sent again. */
} lt_limit_return_t;

typedef struct lt_limit_share
{
  lt_limit_rate_t rate;
  bool removed; /**< The workspace is not configured any more. */
  struct lt_limit_share *next; /**< In the list of removed shares. */
  int64_t created_us;
  int32_t ppm;
  int64_t tokens;
  int64_t refilled_us;
  int64_t valid_until_us;
  int64_t generation;
  int64_t grant_seq;                /**< Last grant applied. */
  int64_t return_seq;               /**< Last return sent. */
  lt_limit_return_t pending_return; /**< ppm 0: none. */

  int64_t lent[LT_LIMIT_LENT_SLOTS]; /**< Ring of time slots. */
  int64_t lent_total;
  int64_t current_lent_slot;

  struct lt_limit_token_request *queue; /**< Token requests that wait here. */
  size_t queue_count;
  size_t queue_turns; /**< Queued requests to serve before own requests. */

  int64_t borrowed;
  int64_t borrowed_until_us;
  int64_t borrow_seq;
  int64_t borrow_sent_us;
  bool borrow_pending;
  uint32_t borrow_rank;  /**< Lender that the pending token request went to. */
  bool borrow_may_queue; /**< The pending token request may wait there. */
  uint32_t best_rank;    /**< Lender with the largest share that answered. */
  int32_t best_ppm;
  int64_t waiting_count;   /**< Requests that wait for tokens. */
  int64_t denied_until_us; /**< Until then no tokens are requested. */
  int64_t denied_backoff_us;

  int64_t demand_count; /**< Since the last tick. */
  double demand_per_s;
  int64_t demand_updated_us; /**< Time of the last tick. */
  int64_t last_demand_us;    /**< Last tick that saw demand. */

  bool request_pending;
  int64_t request_sent_us;
  int64_t next_request_us;
  int64_t request_backoff_us;
} lt_limit_share_t;

/** Adds the tokens accrued until NOW_US and removes expired lent tokens from
    the count.  */
void lt_limit_share_refill (lt_limit_share_t *share, int64_t loan_us,
                            int64_t now_us);
/** Returns whether tokens of SHARE may be spent or lent at NOW_US.  */
bool lt_limit_share_is_valid (const lt_limit_share_t *share, int64_t now_us);
/** Takes one own or borrowed token.  Returns false when there is none.  */
bool lt_limit_share_take (lt_limit_share_t *share, int64_t now_us);
/** Removes up to WANTED tokens for lending and returns the number removed.  */
int64_t lt_limit_share_lend (lt_limit_share_t *share, int64_t wanted,
                             int64_t loan_us, int64_t now_us);
/** Adds BORROWED tokens that expire at UNTIL_US.  */
void lt_limit_share_borrow (lt_limit_share_t *share, int64_t borrowed,
                            int64_t until_us, int64_t now_us);
/** Moves up to PPM, with their proportion of the tokens, into the pending
    return.  Returns false when a return is already pending or nothing can be
    moved.  */
bool lt_limit_share_begin_return (lt_limit_share_t *share, int32_t ppm,
                                  int64_t now_us);
/** Applies a grant; duplicates and grants of older entries are ignored.  */
void lt_limit_share_grant (lt_limit_share_t *share,
                           const lt_limit_message_t *message,
                           int64_t share_validity_us, int64_t now_us);
/** Applies an acknowledgement of a return, a request or a renewal.  */
void lt_limit_share_ack (lt_limit_share_t *share,
                         const lt_limit_message_t *message,
                         int64_t share_validity_us, int64_t now_us);
/** Updates the demand average from the requests since the last call.  */
void lt_limit_share_update_demand (lt_limit_share_t *share, int64_t now_us);
/** Returns the ppm that the measured demand times HEADROOM needs.  Returns 0
    when that is too little for a share of its own.  */
int32_t lt_limit_share_needed_ppm (const lt_limit_share_t *share,
                                   double headroom);
/** Returns whether SHARE can be freed: it is empty, was unused for a minute
    and has nothing pending.  */
bool lt_limit_share_is_unused (const lt_limit_share_t *share, int64_t now_us);

#endif
