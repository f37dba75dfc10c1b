#include <string.h>

#include "dispatch_internal.h"
#include "lt/base/hash.h"
#include "pools.h"

void
lt_dispatch_describe_cost (lt_dispatch_t *dispatch)
{
  const lt_request_t *request = dispatch->request;
  if (request->node->pools->vtable->begin_work == NULL
      || dispatch->cost.full != 0)
    return;
  lt_cost_features_t features = {
    .service = dispatch->service_hash,
    .route = lt_hash64 (request->route->name),
    .workspace = dispatch->workspace_hash,
    .method = lt_hash64 (str_from (request->method)),
    .body_bytes = request->body.len,
  };
  dispatch->cost = lt_cost_key_make (&features);
}

static lt_pool_attempt_t
describe (const attempt_t *attempt)
{
  const lt_dispatch_t *dispatch = attempt->dispatch;
  uint64_t index = (uint64_t)(attempt - dispatch->attempts);
  return (lt_pool_attempt_t){
    .snapshot = attempt->config->snapshot,
    .upstream = attempt->upstream,
    .id = dispatch->request->sequence * ATTEMPTS_MAX + index,
    .cost = &dispatch->cost,
  };
}

void
lt_dispatch_begin_work (const attempt_t *attempt)
{
  lt_pools_t *pools = attempt->dispatch->request->node->pools;
  if (pools->vtable->begin_work == NULL)
    return;
  lt_pool_attempt_t description = describe (attempt);
  pools->vtable->begin_work (pools, &description, attempt->started_us);
}

void
lt_dispatch_end_work (const attempt_t *attempt, lt_attempt_outcome_t outcome,
                      int64_t latency_us)
{
  lt_pools_t *pools = attempt->dispatch->request->node->pools;
  if (pools->vtable->end_work == NULL)
    return;
  lt_pool_attempt_t description = describe (attempt);
  pools->vtable->end_work (pools, &description, outcome, latency_us);
}
