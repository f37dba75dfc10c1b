/** @file
    Runs the claims of never-repeat actions (policy/claim.h): makes their table
    calls with group commit, runs their timers and replies to callers.  */
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
  typedef struct lt_claim_run lt_claim_run_t;

  /** Creates the controller and sets node->claim_controller.  */
  struct lt_controller *lt_claim_controller_create (struct lt_node *node);
  /** Starts to claim REQUEST's action; the request waits, and is resumed or
      gets its response later.  The caller keeps the result in
     filter_state[SLOT].  */
  lt_claim_run_t *lt_claim_controller_begin (lt_claim_controller_t *controller,
                                             lt_request_t *request, int slot,
                                             str_t idempotency_key);
  /** Called when the whole response has been received.  Returns
      LT_FILTER_WAIT when the response is to wait until its record is written;
      the wait is bounded.  */
  lt_filter_result_t lt_claim_run_on_response (lt_claim_run_t *run);
  /** Called when the request ends.  RUN continues without it until its record
      or release is done.  */
  void lt_claim_run_detach (lt_claim_run_t *run);

  /** Called right before the first byte of REQUEST is sent upstream.  Returns
      whether it may be sent; always true for routes without claims.  */
  bool lt_claim_permits (lt_request_t *request);
  /** Called when the dispatcher refuses REQUEST with REFUSAL.  Returns true
      when no byte was permitted to leave and the refusal is sent only after
      the claim has been released, so that a caller that retries at once does
      not conflict with its own claim.  */
  bool lt_claim_defers_refusal (lt_request_t *request, lt_refusal_t refusal);

#ifdef __cplusplus
}
#endif

#endif
