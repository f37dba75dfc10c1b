/** @file
    Drives the claims of never-repeat actions (policy/claim.h): table calls in
    group commit, timers, and replies to callers.  */
#ifndef LT_NODE_CLAIM_CONTROLLER_H
#define LT_NODE_CLAIM_CONTROLLER_H

#include "lt/node/filter.h"
#include "lt/node/refusal.h"
#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_controller;
  typedef struct lt_claim_controller lt_claim_controller_t;
  /** One attempt to run an action.  */
  typedef struct lt_claim_action_run lt_claim_run_t;

  /** Also sets NODE's claim_controller.  */
  struct lt_controller *lt_claim_controller_create (struct lt_node *node);
  /** Starts to claim REQUEST's action; the request waits, and is resumed or
      answered later.  The caller keeps the result in filter_state[SLOT].  */
  lt_claim_run_t *lt_claim_controller_begin (lt_claim_controller_t *controller,
                                             lt_request_t *request, int slot,
                                             str_t idempotency_key);
  /** The whole answer is at hand.  Returns LT_FILTER_WAIT until its record is
      written, but not for long.  */
  lt_filter_result_t lt_claim_run_answer (lt_claim_run_t *run);
  /** The request ends; RUN goes on by itself as far as it must.  */
  void lt_claim_run_detach (lt_claim_run_t *run);

  /** Asked right before the first byte of REQUEST may leave.  Returns false
      when it must not be sent.  Always true for other routes.  */
  bool lt_claim_permits (lt_request_t *request);
  /** The dispatcher refuses REQUEST with REFUSAL.  Returns true when no byte
      was permitted and the refusal is sent after the claim was released, so
      that a caller that repeats at once does not meet its own claim.  */
  bool lt_claim_holds_refusal (lt_request_t *request, lt_refusal_t refusal);

#ifdef __cplusplus
}
#endif

#endif
