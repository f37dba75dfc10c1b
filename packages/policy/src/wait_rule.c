#include "lt/policy/wait_rule.h"

/* A request that is likely to time out at its upstream would take the slot of
   one that can still be answered.  */
static bool
is_late (const lt_wait_state_t *state, int64_t now_us)
{
  return state->work_us > 0 && !state->may_have_run
         && now_us + state->work_us >= state->deadline_us;
}

lt_wait_verdict_t
lt_wait_decide (const lt_wait_state_t *state, int64_t now_us)
{
  if (state->caller_left)
    return LT_WAIT_LEFT;
  if (state->may_be_cut)
    return LT_WAIT_STOPPING;
  if (state->deadline_us != 0 && now_us >= state->deadline_us)
    return LT_WAIT_EXPIRED;
  if (state->deadline_us != 0 && is_late (state, now_us))
    return LT_WAIT_LATE;
  if (state->chosen_us != 0
      && (state->config_changed
          || now_us - state->chosen_us >= LT_WAIT_REVIEW_US))
    return LT_WAIT_CHOOSE_AGAIN;
  return LT_WAIT_CONTINUE;
}

const char *
lt_wait_verdict_text (lt_wait_verdict_t verdict)
{
#define LT_WAIT_VERDICT_TEXT(name, text) text,
  static const char *const texts[]
      = { LT_WAIT_VERDICT_TABLE (LT_WAIT_VERDICT_TEXT) };
#undef LT_WAIT_VERDICT_TEXT
  return texts[verdict];
}
