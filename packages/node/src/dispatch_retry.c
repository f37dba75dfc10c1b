#include "dispatch_internal.h"
#include "pools.h"

bool
lt_dispatch_is_idempotent (const lt_dispatch_t *dispatch)
{
  return dispatch->request->route->action == LT_ACTION_IDEMPOTENT;
}

static bool
other_upstream_exists (lt_dispatch_t *dispatch)
{
  lt_pools_t *pools = dispatch->request->node->pools;
  int64_t now_us = lt_node_now_us (dispatch->request->node);
  return pools->vtable->pick (pools, dispatch->service, dispatch->tried,
                              dispatch->attempt_count, now_us)
         >= 0;
}

static lt_retry_attempt_t
describe_attempt (lt_dispatch_t *dispatch, const attempt_t *attempt,
                  lt_retry_failure_t failure)
{
  return (lt_retry_attempt_t){
    .service = dispatch->service_hash,
    .workspace = dispatch->workspace_hash,
    .failure = failure,
    .idempotent = lt_dispatch_is_idempotent (dispatch),
    .byte_sent = attempt->byte_sent,
    .response_started = dispatch->winner != NULL,
    .other_upstream = dispatch->attempt_count < ATTEMPTS_MAX
                      && other_upstream_exists (dispatch),
    .attempts = (int)dispatch->attempt_count,
    .deadline_us = dispatch->request->deadline_us,
  };
}

lt_retry_decision_t
lt_dispatch_decide_retry (lt_dispatch_t *dispatch, const attempt_t *attempt,
                          lt_retry_failure_t failure)
{
  lt_node_t *node = dispatch->request->node;
  lt_retry_attempt_t description
      = describe_attempt (dispatch, attempt, failure);
  lt_retry_decision_t decision
      = lt_retry_decide (node->retry, &description, lt_node_now_us (node));
  node->retry_decisions[decision.reason]->value++;
  if (decision.retry)
    node->retry_failures[failure]->value++;
  return decision;
}

lt_retry_decision_t
lt_dispatch_decide_hedge (lt_dispatch_t *dispatch)
{
  lt_node_t *node = dispatch->request->node;
  lt_retry_attempt_t open
      = describe_attempt (dispatch, &dispatch->attempts[0], LT_RETRY_TIMEOUT);
  lt_retry_decision_t decision
      = lt_retry_hedge (node->retry, &open, lt_node_now_us (node));
  node->retry_decisions[decision.reason]->value++;
  return decision;
}

lt_retry_failure_t
lt_dispatch_failure (lt_transfer_end_t end)
{
  switch (end)
    {
    case LT_TRANSFER_REFUSED:
      return LT_RETRY_CONNECT_FAILED;
    case LT_TRANSFER_TIMEOUT:
      return LT_RETRY_TIMEOUT;
    case LT_TRANSFER_TRUNCATED:
      return LT_RETRY_TRUNCATED;
    case LT_TRANSFER_RESET:
    case LT_TRANSFER_ABORTED:
    case LT_TRANSFER_COMPLETE:
      break;
    }
  return LT_RETRY_RESET;
}
