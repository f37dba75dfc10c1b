/** @file
    State of one workspace on one VM; internal to the holder.  */
#ifndef LT_POLICY_LIMIT_SHARE_H
#define LT_POLICY_LIMIT_SHARE_H

#include "lt/policy/limit.h"

/** Lent tokens are counted in slots of a seventh of their validity; a slot is
    cleared once seven whole slots have passed after it.  */
#define LT_LIMIT_LENT_SLOTS 8

/** A return that the home has not confirmed.  */
typedef struct lt_limit_return
{
  int32_t ppm;
  int64_t tokens;
  int64_t sent_us;
  int64_t wait_us; /**< Until it is sent again. */
} lt_limit_return_t;

typedef struct lt_limit_share
{
  lt_limit_rate_t rate;
  bool removed;                /**< The workspace left the configuration. */
  struct lt_limit_share *next; /**< Of the removed shares. */
  int64_t created_us;
  int32_t ppm;
  int64_t tokens;
  int64_t filled_us;
  int64_t valid_until_us;
  int64_t generation;
  int64_t transfer;
  int64_t returned;
  lt_limit_return_t pending; /**< ppm 0: none. */

  int64_t lent[LT_LIMIT_LENT_SLOTS];
  int64_t lent_total;
  int64_t lent_slot;

  struct lt_limit_held *held; /**< Asks that wait for tokens here. */
  size_t held_count;
  size_t turns; /**< Held asks to serve before this VM's own requests. */

  int64_t borrowed;
  int64_t borrowed_until_us;
  int64_t borrow_number;
  int64_t borrow_sent_us;
  bool borrow_open;
  uint32_t borrow_rank; /**< Lender that the open ask went to. */
  bool borrow_hold;     /**< It waits there. */
  uint32_t best_rank;   /**< Lender with most parts among those asked. */
  int32_t best_ppm;
  int64_t waiting;
  int64_t denied_until_us;
  int64_t deny_wait_us;

  int64_t demand_count; /**< Since the last tick. */
  double demand_per_s;
  int64_t demand_us; /**< Time of the last tick. */
  int64_t used_us;   /**< Time of the last demand. */

  bool ask_open;
  int64_t ask_sent_us;
  int64_t ask_next_us;
  int64_t ask_wait_us;
} lt_limit_share_t;

/** Fills tokens up to NOW_US and forgets lent tokens that have expired.  */
void lt_limit_share_fill (lt_limit_share_t *share, int64_t batch_us,
                          int64_t now_us);
/** Returns whether parts of SHARE may be spent or lent at NOW_US.  */
bool lt_limit_share_valid (const lt_limit_share_t *share, int64_t now_us);
/** Takes one own or borrowed token.  Returns false when there is none.  */
bool lt_limit_share_take (lt_limit_share_t *share, int64_t now_us);
/** Subtracts up to WANTED tokens to lend; returns the number subtracted.  */
int64_t lt_limit_share_lend (lt_limit_share_t *share, int64_t wanted,
                             int64_t batch_us, int64_t now_us);
/** Adds BORROWED tokens that expire at UNTIL_US.  */
void lt_limit_share_borrow (lt_limit_share_t *share, int64_t borrowed,
                            int64_t until_us, int64_t now_us);
/** Moves up to PPM parts, with their tokens, into the pending return.  Returns
    false when nothing can be moved.  */
bool lt_limit_share_give (lt_limit_share_t *share, int32_t ppm,
                          int64_t now_us);
/** Applies a grant; duplicates and grants of older entries are ignored.  */
void lt_limit_share_grant (lt_limit_share_t *share,
                           const lt_limit_message_t *message,
                           int64_t validity_us, int64_t now_us);
/** Applies an acknowledgement.  */
void lt_limit_share_ack (lt_limit_share_t *share,
                         const lt_limit_message_t *message,
                         int64_t validity_us, int64_t now_us);
/** Updates the demand estimate.  */
void lt_limit_share_measure (lt_limit_share_t *share, int64_t now_us);
/** Parts that demand times HEADROOM needs; 0 when idle.  */
int32_t lt_limit_share_need (const lt_limit_share_t *share, double headroom);
/** Returns whether SHARE holds no state worth keeping.  */
bool lt_limit_share_unused (const lt_limit_share_t *share, int64_t now_us);

#endif
