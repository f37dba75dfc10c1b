#include "limit_share.h"

#include <math.h>
#include <string.h>

/** Time constant of the demand average.  */
#define DEMAND_TAU_S 10.0
/** Demand below this counts as none.  */
#define DEMAND_IDLE_PER_S 0.02
/** Least burst, in requests, of a share that is requested for the VM's own
    demand.  */
#define MIN_SHARE_REQUESTS 4
#define UNUSED_TIMEOUT_US (60 * 1000000LL)
#define RETURN_BACKOFF_US 500000

static int64_t
min_i64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_i64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static void
expire_loans (lt_limit_share_t *share, int64_t loan_us, int64_t now_us)
{
  /* Rounded up, with 1/1000 added for clock drift.  */
  int64_t slot_us = (loan_us + loan_us / 1000) / (LT_LIMIT_LENT_SLOTS - 1) + 1;
  int64_t slot = now_us / slot_us;
  if (slot - share->current_lent_slot >= LT_LIMIT_LENT_SLOTS)
    {
      memset (share->lent, 0, sizeof (share->lent));
      share->lent_total = 0;
      share->current_lent_slot = slot;
    }
  while (share->current_lent_slot < slot)
    {
      share->current_lent_slot++;
      int64_t *entry
          = &share->lent[share->current_lent_slot % LT_LIMIT_LENT_SLOTS];
      share->lent_total -= *entry;
      *entry = 0;
    }
}

/* Limits the tokens here and the lent tokens together to the burst of the
   share.  */
static void
clamp_tokens (lt_limit_share_t *share)
{
  int64_t cap
      = lt_limit_capacity (&share->rate, share->ppm) - share->lent_total;
  share->tokens = max_i64 (0, min_i64 (share->tokens, cap));
}

void
lt_limit_share_refill (lt_limit_share_t *share, int64_t loan_us,
                       int64_t now_us)
{
  expire_loans (share, loan_us, now_us);
  share->tokens += lt_limit_accrued (&share->rate, share->ppm,
                                     now_us - share->refilled_us);
  share->refilled_us = max_i64 (share->refilled_us, now_us);
  clamp_tokens (share);
}

bool
lt_limit_share_is_valid (const lt_limit_share_t *share, int64_t now_us)
{
  return share->ppm > 0 && now_us < share->valid_until_us;
}

bool
lt_limit_share_take (lt_limit_share_t *share, int64_t now_us)
{
  /* Borrowed tokens first, because they expire.  */
  if (share->borrowed >= LT_LIMIT_TOKEN && now_us < share->borrowed_until_us)
    {
      share->borrowed -= LT_LIMIT_TOKEN;
      return true;
    }
  if (lt_limit_share_is_valid (share, now_us)
      && share->tokens >= LT_LIMIT_TOKEN)
    {
      share->tokens -= LT_LIMIT_TOKEN;
      share->queue_turns = share->queue_count;
      return true;
    }
  return false;
}

int64_t
lt_limit_share_lend (lt_limit_share_t *share, int64_t wanted, int64_t loan_us,
                     int64_t now_us)
{
  if (!lt_limit_share_is_valid (share, now_us)
      || share->tokens < LT_LIMIT_TOKEN)
    return 0;
  /* One borrower gets at most half of the tokens, or one token, so that it
     does not empty the bucket.  */
  int64_t max_tokens = max_i64 (1, share->tokens / 2 / LT_LIMIT_TOKEN);
  int64_t lent = min_i64 (wanted, max_tokens * LT_LIMIT_TOKEN);
  lent -= lent % LT_LIMIT_TOKEN;
  if (lent <= 0)
    return 0;
  expire_loans (share, loan_us, now_us);
  share->tokens -= lent;
  share->lent[share->current_lent_slot % LT_LIMIT_LENT_SLOTS] += lent;
  share->lent_total += lent;
  return lent;
}

void
lt_limit_share_borrow (lt_limit_share_t *share, int64_t borrowed,
                       int64_t until_us, int64_t now_us)
{
  if (now_us >= until_us)
    return;
  if (share->borrowed > 0 && now_us < share->borrowed_until_us)
    {
      share->borrowed += borrowed;
      share->borrowed_until_us = min_i64 (until_us, share->borrowed_until_us);
      return;
    }
  share->borrowed = borrowed;
  share->borrowed_until_us = until_us;
}

bool
lt_limit_share_begin_return (lt_limit_share_t *share, int32_t ppm,
                             int64_t now_us)
{
  int64_t burst = share->rate.burst * LT_LIMIT_TOKEN;
  int64_t keep = 0;
  if (share->lent_total > 0 && burst > 0)
    keep = (int64_t)(((__int128)share->lent_total * LT_LIMIT_WHOLE_PPM + burst
                      - 1)
                     / burst);
  int64_t return_ppm = min_i64 (ppm, share->ppm - keep);
  if (return_ppm <= 0 || share->pending_return.ppm > 0)
    return false;
  int64_t tokens
      = (int64_t)((__int128)share->tokens * return_ppm / share->ppm);
  share->pending_return
      = (lt_limit_return_t){ .ppm = (int32_t)return_ppm,
                             .tokens = tokens,
                             .sent_us = now_us,
                             .backoff_us = RETURN_BACKOFF_US };
  share->return_seq++;
  share->ppm -= (int32_t)return_ppm;
  share->tokens -= tokens;
  clamp_tokens (share);
  return true;
}

void
lt_limit_share_grant (lt_limit_share_t *share,
                      const lt_limit_message_t *message,
                      int64_t share_validity_us, int64_t now_us)
{
  if (message->generation < share->generation
      || message->sent_us < share->created_us || message->sent_us > now_us)
    return;
  if (message->generation > share->generation)
    {
      /* The former entry was removed from the record, so this grant replaces
         the share.  */
      if (message->sequence != 1)
        return;
      share->ppm = 0;
      share->tokens = 0;
      share->valid_until_us = 0;
      share->generation = message->generation;
      share->grant_seq = 0;
      share->return_seq = 0;
      share->pending_return = (lt_limit_return_t){ 0 };
    }
  if (message->sequence > share->grant_seq + 1)
    return;
  if (message->sequence == share->grant_seq + 1)
    {
      share->grant_seq++;
      share->ppm += message->ppm;
      share->tokens += message->tokens;
      clamp_tokens (share);
    }
  share->valid_until_us
      = max_i64 (share->valid_until_us, message->sent_us + share_validity_us);
}

void
lt_limit_share_ack (lt_limit_share_t *share, const lt_limit_message_t *message,
                    int64_t share_validity_us, int64_t now_us)
{
  if (message->generation != share->generation)
    return;
  if (message->entry_missing)
    {
      share->ppm = 0;
      share->tokens = 0;
      share->valid_until_us = 0;
      share->pending_return = (lt_limit_return_t){ 0 };
      return;
    }
  if (message->return_seq >= share->return_seq)
    share->pending_return = (lt_limit_return_t){ 0 };
  if (message->sent_us >= share->created_us && message->sent_us > 0
      && message->sent_us <= now_us)
    share->valid_until_us = max_i64 (share->valid_until_us,
                                     message->sent_us + share_validity_us);
}

void
lt_limit_share_update_demand (lt_limit_share_t *share, int64_t now_us)
{
  double elapsed_s = (double)(now_us - share->demand_updated_us) / 1e6;
  if (elapsed_s <= 0)
    return;
  double rate = (double)share->demand_count / elapsed_s;
  double weight = 1 - exp (-elapsed_s / DEMAND_TAU_S);
  share->demand_per_s += weight * (rate - share->demand_per_s);
  share->demand_updated_us = now_us;
  if (share->demand_count > 0)
    share->last_demand_us = now_us;
  share->demand_count = 0;
}

int32_t
lt_limit_share_needed_ppm (const lt_limit_share_t *share, double headroom)
{
  if (share->removed || share->demand_per_s < DEMAND_IDLE_PER_S)
    return 0;
  if (share->rate.rate_milli_per_s <= 0)
    return 0;
  double need = headroom * share->demand_per_s * 1000.0 * LT_LIMIT_WHOLE_PPM
                / (double)share->rate.rate_milli_per_s;
  /* A share with a burst of few requests is empty most of the time; borrowing
     admits more.  */
  double least = MIN_SHARE_REQUESTS / 2.0 * lt_limit_min_ppm (&share->rate);
  if (need < (share->ppm > 0 ? least / 2 : least))
    return 0;
  return need < LT_LIMIT_WHOLE_PPM ? (int32_t)need : LT_LIMIT_WHOLE_PPM;
}

bool
lt_limit_share_is_unused (const lt_limit_share_t *share, int64_t now_us)
{
  return share->ppm == 0 && share->pending_return.ppm == 0
         && !share->request_pending && !share->borrow_pending
         && share->lent_total == 0 && share->queue_count == 0
         && now_us - share->last_demand_us > UNUSED_TIMEOUT_US;
}
