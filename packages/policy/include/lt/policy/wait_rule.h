/** @file
    The rule by which a request that waits inside the VM, before any upstream
    has it, stops waiting.  It is the same wherever the request waits.

    The module does no I/O; callers pass the current time.  */
#ifndef LT_POLICY_WAIT_RULE_H
#define LT_POLICY_WAIT_RULE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/* Verdicts: enumerator, text for logs and metrics.  */
#define LT_WAIT_VERDICT_TABLE(X)                                              \
  X (LT_WAIT_CONTINUE, "continue")                                            \
  /** Choose an upstream again: what the choice was based on has changed.  */ \
  X (LT_WAIT_CHOOSE_AGAIN, "choose-again")                                    \
  X (LT_WAIT_LEFT, "caller-left")                                             \
  X (LT_WAIT_EXPIRED, "expired")                                              \
  /** Less time is left than its upstreams are likely to take.  */            \
  X (LT_WAIT_LATE, "late")                                                    \
  /** This process may be killed before the deadline.  */                     \
  X (LT_WAIT_STOPPING, "stopping")

#define LT_WAIT_VERDICT_ENUM(name, text) name,
  typedef enum lt_wait_verdict
  {
    LT_WAIT_VERDICT_TABLE (LT_WAIT_VERDICT_ENUM) LT_WAIT_VERDICTS
  } lt_wait_verdict_t;
#undef LT_WAIT_VERDICT_ENUM

  /** A request that waits.  All times are of the monotonic clock.  */
  typedef struct lt_wait_state
  {
    int64_t deadline_us; /**< 0: not known yet. */
    int64_t work_us;     /**< Likely time at upstreams; 0: not known. */
    int64_t chosen_us;   /**< Last choice of an upstream; 0: none. */
    bool caller_left;
    bool may_be_cut;     /**< By the end of a planned stop. */
    bool may_have_run;   /**< An earlier attempt of it. */
    bool config_changed; /**< Since the last choice of an upstream. */
  } lt_wait_state_t;

  /** Time after which a waiting request chooses an upstream again, so that it
      does not wait for one that leaves or no longer responds.  */
#define LT_WAIT_REVIEW_US (100 * 1000)

  lt_wait_verdict_t lt_wait_decide (const lt_wait_state_t *state,
                                    int64_t now_us);
  const char *lt_wait_verdict_text (lt_wait_verdict_t verdict);

#ifdef __cplusplus
}
#endif

#endif
