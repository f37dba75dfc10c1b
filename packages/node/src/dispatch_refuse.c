#include "dispatch_internal.h"
#include "lt/node/claim_controller.h"
#include "pools.h"

static lt_filter_result_t
refuse_after (lt_request_t *request, lt_refusal_t refusal,
              int64_t retry_after_ms)
{
  if (request->node->dialect->uses_claims
      && lt_claim_defers_refusal (request, refusal))
    return LT_FILTER_WAIT;
  return lt_request_refuse_after (request, refusal, retry_after_ms);
}

lt_filter_result_t
lt_dispatch_refuse_with (lt_request_t *request, lt_refusal_t refusal)
{
  return refuse_after (request, refusal,
                       lt_refusal_get (refusal)->retry_after_s * 1000LL);
}

/* If there is no upstream because upstreams name a rate, callers are told when
   there will be one.  */
lt_filter_result_t
lt_dispatch_refuse_no_upstream (lt_dispatch_t *dispatch)
{
  lt_request_t *request = dispatch->request;
  lt_pools_t *pools = request->node->pools;
  int64_t now_us = lt_node_now_us (request->node);
  int64_t wait_us
      = pools->vtable->wait_us == NULL || dispatch->service == LT_NO_INDEX
                || lt_dispatch_has_no_region (dispatch)
            ? 0
            : pools->vtable->wait_us (pools, dispatch->service,
                                      dispatch->allowed_regions, now_us);
  if (dispatch->room_retry_after_ms > 0)
    return refuse_after (request, dispatch->room_refusal,
                         dispatch->room_retry_after_ms);
  if (wait_us == 0)
    return lt_dispatch_refuse_with (request, LT_REFUSE_NO_UPSTREAM);
  return refuse_after (request, LT_REFUSE_NO_UPSTREAM,
                       wait_us / LT_US_PER_MS + 1);
}

void
lt_dispatch_refuse (lt_dispatch_t *dispatch)
{
  lt_request_t *request = dispatch->request;
  if (dispatch->timed_out
      || lt_node_now_us (request->node) >= request->deadline_us)
    lt_dispatch_refuse_with (request, LT_REFUSE_DEADLINE);
  else if (!request->byte_sent
           && lt_node_may_cut (request->node, request->deadline_us))
    lt_request_refuse_stopping (request);
  else if (!request->byte_sent)
    lt_dispatch_refuse_no_upstream (dispatch);
  else
    lt_dispatch_refuse_with (request, LT_REFUSE_UPSTREAM_FAILED);
}
