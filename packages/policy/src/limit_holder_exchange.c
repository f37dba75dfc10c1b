#include "limit_holder_internal.h"

/** Asks aim above the measured demand, recalls leave less headroom.  */
#define ASK_HEADROOM 1.10
#define KEEP_HEADROOM 1.05
#define RETURN_HEADROOM 1.25
/** Grants come in steps of at least this size, so that small changes of
    demand write no record.  */
#define STEP_PPM 5000
#define ASK_WAIT_MAX_US (16 * 1000000LL)
/** A share is renewed after this part of its validity.  */
#define RENEW_PART 6

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
  lt_limit_message_t message
      = lt_limit_holder_prepare (holder, share, LT_LIMIT_SHARE_RETURN, now_us);
  message.ppm = share->pending.ppm;
  message.tokens = share->pending.tokens;
  share->pending.sent_us = now_us;
  send_home (actions, &message);
}

void
lt_limit_holder_on_grant (lt_limit_holder_t *holder, lt_limit_share_t *share,
                          const lt_limit_message_t *message, int64_t now_us,
                          lt_limit_actions_t *actions)
{
  lt_limit_share_grant (share, message, holder->options.times.validity_us,
                        now_us);
  share->ask_open = false;
  share->ask_wait_us = holder->options.ask_us;
  lt_limit_holder_wake (actions, share);
}

void
lt_limit_holder_on_ack (lt_limit_holder_t *holder, lt_limit_share_t *share,
                        const lt_limit_message_t *message, int64_t now_us)
{
  lt_limit_share_ack (share, message, holder->options.times.validity_us,
                      now_us);
  share->ask_open = false;
}

/* Parts that stay here on a recall.  */
static int32_t
kept_ppm (const lt_limit_holder_t *holder, const lt_limit_share_t *share)
{
  int32_t need = lt_limit_share_need (share, KEEP_HEADROOM);
  if (share->removed || !lt_limit_holder_lends (holder, share->rate.workspace))
    return need;
  int32_t least = lt_limit_min_ppm (&share->rate);
  if (least < holder->options.keep_ppm)
    least = holder->options.keep_ppm;
  return need > least ? need : least;
}

void
lt_limit_holder_on_recall (lt_limit_holder_t *holder, lt_limit_share_t *share,
                           const lt_limit_message_t *message, int64_t now_us,
                           lt_limit_actions_t *actions)
{
  int32_t spare = share->ppm - kept_ppm (holder, share);
  int32_t give = spare < message->ppm ? spare : message->ppm;
  if (give < STEP_PPM && give < share->ppm)
    return;
  if (lt_limit_share_give (share, give, now_us))
    lt_limit_holder_send_return (holder, share, now_us, actions);
}

/* Returns the parts to ask for.  Sets *SPARE when they are for lending only,
   so that nobody is asked to return any.  */
static int32_t
wanted_ppm (const lt_limit_holder_t *holder, const lt_limit_share_t *share,
            bool *spare)
{
  *spare = false;
  int32_t want = lt_limit_share_need (share, ASK_HEADROOM) - share->ppm;
  /* Borrowing covers small shortfalls without a write of the record.  */
  int32_t least = share->ppm / 4 > STEP_PPM ? share->ppm / 4 : STEP_PPM;
  if (share->ppm > 0 && want < least)
    want = 0;
  if (want > 0 || share->removed
      || !lt_limit_holder_lends (holder, share->rate.workspace))
    return want > 0 ? want : 0;
  *spare = true;
  /* The lenders divide what nobody asks for.  */
  uint32_t group = lt_limit_group (share->rate.workspace);
  want = LT_LIMIT_WHOLE_PPM / (holder->lenders[group] + 1) - share->ppm;
  return want >= STEP_PPM ? want : 0;
}

void
lt_limit_holder_ask (lt_limit_holder_t *holder, lt_limit_share_t *share,
                     int64_t now_us, lt_limit_actions_t *actions)
{
  if (now_us < share->ask_next_us || holder->draining)
    return;
  int64_t validity_us = holder->options.times.validity_us;
  bool spare;
  int32_t want = wanted_ppm (holder, share, &spare);
  bool renew = share->ppm > 0 && !share->removed
               && share->valid_until_us - now_us
                      < validity_us - validity_us / RENEW_PART;
  if (want == 0 && !renew && !share->ask_open)
    return;
  bool ask = want > 0 && !spare;
  lt_limit_message_t message = lt_limit_holder_prepare (
      holder, share, ask ? LT_LIMIT_SHARE_ASK : LT_LIMIT_SHARE_RENEW, now_us);
  message.ppm = want > 0 && want < STEP_PPM ? STEP_PPM : want;
  share->ask_open = true;
  share->ask_sent_us = now_us;
  share->ask_next_us = now_us + share->ask_wait_us;
  share->ask_wait_us *= 2;
  if (share->ask_wait_us > ASK_WAIT_MAX_US)
    share->ask_wait_us = ASK_WAIT_MAX_US;
  send_home (actions, &message);
}

void
lt_limit_holder_return_idle (lt_limit_holder_t *holder,
                             lt_limit_share_t *share, int64_t now_us,
                             lt_limit_actions_t *actions)
{
  int32_t kept = (int32_t)(kept_ppm (holder, share) * RETURN_HEADROOM);
  if (lt_limit_holder_lends (holder, share->rate.workspace)
      || share->ppm < 2 * kept + STEP_PPM)
    return;
  if (lt_limit_share_give (share, share->ppm - kept, now_us))
    lt_limit_holder_send_return (holder, share, now_us, actions);
}
