#include "limit_holder_internal.h"

/** A request aims at the measured demand times REQUEST_HEADROOM, and a recall
    leaves the demand times RECALL_HEADROOM.  A return without a recall leaves
    RETURN_HEADROOM times as much as a recall.  */
#define REQUEST_HEADROOM 1.10
#define RECALL_HEADROOM 1.05
#define RETURN_HEADROOM 1.25
/** Least size of a request or return, so that small changes of demand do not
    cause writes of the record.  */
#define MIN_TRANSFER_PPM 5000
#define REQUEST_BACKOFF_MAX_US (16 * 1000000LL)
/** A share is renewed when 1 / RENEW_DIVISOR of its validity has passed.  */
#define RENEW_DIVISOR 6

static void
send_home (lt_limit_actions_t *actions, const lt_limit_message_t *message)
{
  lt_limit_action_t action = { .type = LT_LIMIT_SEND_HOME,
                               .group = lt_limit_group (message->workspace),
                               .message = *message };
  lt_limit_actions_add (actions, &action);
}

void
lt_limit_holder_send_return (const lt_limit_holder_t *holder,
                             lt_limit_share_t *share, int64_t now_us,
                             lt_limit_actions_t *actions)
{
  lt_limit_message_t message = lt_limit_holder_make_message (
      holder, share, LT_LIMIT_SHARE_RETURN, now_us);
  message.ppm = share->pending_return.ppm;
  message.tokens = share->pending_return.tokens;
  share->pending_return.sent_us = now_us;
  send_home (actions, &message);
}

void
lt_limit_holder_on_grant (lt_limit_holder_t *holder, lt_limit_share_t *share,
                          const lt_limit_message_t *message, int64_t now_us,
                          lt_limit_actions_t *actions)
{
  lt_limit_share_grant (share, message,
                        holder->options.times.share_validity_us, now_us);
  share->request_pending = false;
  share->request_backoff_us = holder->options.request_interval_us;
  lt_limit_holder_wake (actions, share);
}

void
lt_limit_holder_on_ack (lt_limit_holder_t *holder, lt_limit_share_t *share,
                        const lt_limit_message_t *message, int64_t now_us)
{
  lt_limit_share_ack (share, message, holder->options.times.share_validity_us,
                      now_us);
  share->request_pending = false;
}

/* Returns the ppm that this VM keeps on a recall.  */
static int32_t
kept_ppm (const lt_limit_holder_t *holder, const lt_limit_share_t *share)
{
  int32_t need = lt_limit_share_needed_ppm (share, RECALL_HEADROOM);
  if (share->removed
      || !lt_limit_holder_is_lender (holder, share->rate.workspace))
    return need;
  int32_t least = lt_limit_min_ppm (&share->rate);
  if (least < holder->options.lender_min_ppm)
    least = holder->options.lender_min_ppm;
  return need > least ? need : least;
}

void
lt_limit_holder_on_recall (lt_limit_holder_t *holder, lt_limit_share_t *share,
                           const lt_limit_message_t *message, int64_t now_us,
                           lt_limit_actions_t *actions)
{
  int32_t excess = share->ppm - kept_ppm (holder, share);
  int32_t return_ppm = excess < message->ppm ? excess : message->ppm;
  if (return_ppm < MIN_TRANSFER_PPM && return_ppm < share->ppm)
    return;
  if (lt_limit_share_begin_return (share, return_ppm, now_us))
    lt_limit_holder_send_return (holder, share, now_us, actions);
}

/* Returns the ppm to request.  Sets *FOR_LENDING when they are needed for
   lending only; the home then grants what is left in its pool but recalls
   nothing from other holders.  */
static int32_t
wanted_ppm (const lt_limit_holder_t *holder, const lt_limit_share_t *share,
            bool *for_lending)
{
  *for_lending = false;
  int32_t want
      = lt_limit_share_needed_ppm (share, REQUEST_HEADROOM) - share->ppm;
  /* Small shortfalls are covered by borrowing, which does not write the
     record.  */
  int32_t least
      = share->ppm / 4 > MIN_TRANSFER_PPM ? share->ppm / 4 : MIN_TRANSFER_PPM;
  if (share->ppm > 0 && want < least)
    want = 0;
  if (want > 0 || share->removed
      || !lt_limit_holder_is_lender (holder, share->rate.workspace))
    return want > 0 ? want : 0;
  *for_lending = true;
  /* The lenders divide among them what no holder requests.  */
  uint32_t group = lt_limit_group (share->rate.workspace);
  want = LT_LIMIT_WHOLE_PPM / (holder->other_lender_count[group] + 1)
         - share->ppm;
  return want >= MIN_TRANSFER_PPM ? want : 0;
}

void
lt_limit_holder_request_share (lt_limit_holder_t *holder,
                               lt_limit_share_t *share, int64_t now_us,
                               lt_limit_actions_t *actions)
{
  if (now_us < share->next_request_us || holder->draining)
    return;
  int64_t share_validity_us = holder->options.times.share_validity_us;
  bool for_lending;
  int32_t want = wanted_ppm (holder, share, &for_lending);
  bool renew = share->ppm > 0 && !share->removed
               && share->valid_until_us - now_us
                      < share_validity_us - share_validity_us / RENEW_DIVISOR;
  if (want == 0 && !renew && !share->request_pending)
    return;
  bool demanded = want > 0 && !for_lending;
  lt_limit_message_t message = lt_limit_holder_make_message (
      holder, share, demanded ? LT_LIMIT_SHARE_REQUEST : LT_LIMIT_SHARE_RENEW,
      now_us);
  message.ppm = want > 0 && want < MIN_TRANSFER_PPM ? MIN_TRANSFER_PPM : want;
  share->request_pending = true;
  share->request_sent_us = now_us;
  share->next_request_us = now_us + share->request_backoff_us;
  share->request_backoff_us *= 2;
  if (share->request_backoff_us > REQUEST_BACKOFF_MAX_US)
    share->request_backoff_us = REQUEST_BACKOFF_MAX_US;
  send_home (actions, &message);
}

void
lt_limit_holder_return_idle (lt_limit_holder_t *holder,
                             lt_limit_share_t *share, int64_t now_us,
                             lt_limit_actions_t *actions)
{
  int32_t kept = (int32_t)(kept_ppm (holder, share) * RETURN_HEADROOM);
  if (lt_limit_holder_is_lender (holder, share->rate.workspace)
      || share->ppm < 2 * kept + MIN_TRANSFER_PPM)
    return;
  if (lt_limit_share_begin_return (share, share->ppm - kept, now_us))
    lt_limit_holder_send_return (holder, share, now_us, actions);
}
