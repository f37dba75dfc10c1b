#include "lt/node/refusal.h"

#define REFUSAL_INFO(id, reason, status, ran, retry_after, title)             \
  { reason, status, ran, retry_after, title },
static const lt_refusal_info_t refusals[]
    = { LT_REFUSAL_TABLE (REFUSAL_INFO) };

const lt_refusal_info_t *
lt_refusal_get (lt_refusal_t refusal)
{
  return &refusals[refusal];
}

const char *
lt_run_state_text (lt_run_state_t ran)
{
  static const char *const texts[] = { "not-run", "unknown", "ran" };
  return texts[ran];
}
