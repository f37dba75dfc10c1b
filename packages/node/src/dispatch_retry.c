#include "dispatch_internal.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "pools.h"

bool
lt_dispatch_is_idempotent (const lt_dispatch_t *dispatch)
{
  return dispatch->request->route->action == LT_ACTION_IDEMPOTENT;
}

static void
restrict_regions (lt_dispatch_t *dispatch, const lt_snapshot_t *snapshot,
                  uint64_t mask)
{
  if (mask == 0)
    return;
  mask = lt_snapshot_convert_regions (snapshot, mask,
                                      dispatch->config->snapshot);
  dispatch->allowed_regions
      = dispatch->restricted ? dispatch->allowed_regions & mask : mask;
  dispatch->restricted = true;
}

/* Applies the regions that the request's route and workspace allow.  Where the
   snapshot of the request and that of the pools differ, the newer one that
   still has the route or the workspace counts.  A route of the same name for
   other requests is another route.  */
static void
use_allowed_regions (lt_dispatch_t *dispatch)
{
  const lt_request_t *request = dispatch->request;
  const lt_snapshot_t *own = request->snapshot;
  const lt_snapshot_t *pools = dispatch->config->snapshot;
  const lt_route_t *route = request->route;
  dispatch->restricted = false;
  dispatch->allowed_regions = 0;
  bool newer = pools->version > own->version;
  uint32_t index
      = newer ? lt_snapshot_find_route (pools, route->name) : LT_NO_INDEX;
  if (index != LT_NO_INDEX
      && str_equal (pools->routes[index].path, route->path)
      && str_equal_nocase (pools->routes[index].host, route->host))
    restrict_regions (dispatch, pools, pools->routes[index].allowed_regions);
  else
    restrict_regions (dispatch, own, route->allowed_regions);
  if (request->workspace == LT_NO_INDEX)
    return;
  const lt_workspace_t *workspace = &own->workspaces[request->workspace];
  index = newer ? lt_snapshot_find_workspace (pools, workspace->name)
                : LT_NO_INDEX;
  if (index != LT_NO_INDEX)
    restrict_regions (dispatch, pools,
                      pools->workspaces[index].allowed_regions);
  else
    restrict_regions (dispatch, own, workspace->allowed_regions);
}

bool
lt_dispatch_has_no_region (const lt_dispatch_t *dispatch)
{
  return dispatch->restricted && dispatch->allowed_regions == 0;
}

str_t
lt_dispatch_choose_service (const lt_request_t *request)
{
  const lt_route_t *route = request->route;
  const lt_service_t *services = request->snapshot->services;
  uint64_t sum = 0;
  for (uint32_t i = 0; i < route->split_count; i++)
    sum += (uint64_t)route->splits[i].weight;
  if (sum == 0)
    return services[route->service].name;
  uint64_t drawn = lt_rng_below (&request->node->rng, sum);
  uint32_t part = 0;
  for (; drawn >= (uint64_t)route->splits[part].weight; part++)
    drawn -= (uint64_t)route->splits[part].weight;
  return services[route->splits[part].service].name;
}

/* Switches to the pools' snapshot, which may be newer than that of earlier
   attempts; the service is then looked up by name.  Returns it, or NULL.  */
static lt_snapshot_ref_t *
use_pools_config (lt_dispatch_t *dispatch)
{
  lt_pools_t *pools = dispatch->request->node->pools;
  lt_snapshot_ref_t *config = pools->vtable->config (pools);
  if (dispatch->config == config || config == NULL)
    return config;
  lt_snapshot_ref_release (dispatch->config);
  dispatch->config = lt_snapshot_ref_acquire (config);
  dispatch->service
      = lt_snapshot_find_service (config->snapshot, dispatch->service_name);
  use_allowed_regions (dispatch);
  return config;
}

/* Counts the attempts that were or may yet be sent: a connection that failed
   does not use up an attempt.  */
static uint32_t
count_sent (const lt_dispatch_t *dispatch)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < dispatch->attempt_count; i++)
    count += dispatch->attempts[i].byte_sent
             || dispatch->attempts[i].transfer != NULL;
  return count;
}

/* Returns whether a failure of the next attempt could be retried.  */
static bool
can_retry_next (const lt_dispatch_t *dispatch)
{
  lt_node_t *node = dispatch->request->node;
  int32_t attempts_max = dispatch->request->route->attempts_max;
  uint32_t most = attempts_max > 0 && attempts_max < ATTEMPTS_MAX
                      ? (uint32_t)attempts_max
                      : ATTEMPTS_MAX;
  return lt_dispatch_is_idempotent (dispatch)
         && count_sent (dispatch) + 1 < most
         && lt_retry_has_budget (node->retry, dispatch->service_hash,
                                 dispatch->workspace_hash,
                                 lt_node_now_us (node));
}

int64_t
lt_dispatch_pick (lt_dispatch_t *dispatch, const lt_choice_limits_t *limits)
{
  lt_request_t *request = dispatch->request;
  lt_pools_t *pools = request->node->pools;
  lt_snapshot_ref_t *config = use_pools_config (dispatch);
  uint32_t tried[ATTEMPTS_MAX + BUSY_MAX];
  uint32_t count = 0;
  if (config == NULL || dispatch->attempt_count == ATTEMPTS_MAX)
    return -LT_EUNAVAILABLE;
  request->restricted = dispatch->restricted;
  if (dispatch->service == LT_NO_INDEX || lt_dispatch_has_no_region (dispatch))
    return -LT_EUNAVAILABLE;
  for (uint32_t i = 0; i < dispatch->attempt_count; i++)
    {
      const attempt_t *attempt = &dispatch->attempts[i];
      uint32_t index = attempt->upstream;
      if (attempt->config != config)
        index = lt_snapshot_find_upstream (
            config->snapshot,
            attempt->config->snapshot->upstreams[index].name);
      if (index != LT_NO_INDEX)
        tried[count++] = index;
    }
  for (uint32_t i = 0; i < dispatch->busy_count; i++)
    tried[count++] = dispatch->busy[i];
  lt_dispatch_describe_cost (dispatch);
  lt_pick_t pick = {
    .service = dispatch->service,
    .tried = tried,
    .tried_count = count,
    .repeatable = can_retry_next (dispatch),
    .allowed_regions = dispatch->allowed_regions,
    .limits = limits,
    .cost = &dispatch->cost,
    .counted = dispatch->has_waited,
  };
  return pools->vtable->pick (pools, &pick, lt_node_now_us (request->node));
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
    .byte_sent = attempt->byte_sent && !attempt->not_run,
    .response_started = dispatch->winner != NULL,
    .other_upstream = lt_dispatch_pick (dispatch, NULL) >= 0,
    .attempts = (int)count_sent (dispatch),
    .attempts_max = dispatch->request->route->attempts_max,
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
      = lt_retry_decide_hedge (node->retry, &open, lt_node_now_us (node));
  node->retry_decisions[decision.reason]->value++;
  return decision;
}

void
lt_dispatch_start_hedge_timer (lt_dispatch_t *dispatch)
{
  lt_node_t *node = dispatch->request->node;
  if (!dispatch->request->route->hedge
      || !lt_dispatch_is_idempotent (dispatch))
    return;
  int64_t delay_us
      = lt_retry_hedge_delay_us (node->retry, dispatch->service_hash);
  if (delay_us < 0)
    return;
  ev_timer_set (&dispatch->hedge_timer, (double)delay_us / LT_US_PER_S, 0.0);
  ev_timer_start (node->loop, &dispatch->hedge_timer);
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
    case LT_TRANSFER_MALFORMED:
      return LT_RETRY_MALFORMED;
    case LT_TRANSFER_RESET:
    case LT_TRANSFER_ABORTED:
    case LT_TRANSFER_COMPLETE:
      break;
    }
  return LT_RETRY_RESET;
}
