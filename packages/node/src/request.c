#include "lt/node/request.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/node/node.h"
#include "node_counters.h"
#include "node_memory.h"
#include "pools.h"
#include "upstream_client.h"
#include "waiting.h"

enum
{
  /* Callers can return at once, as new connections go to other VMs.  */
  STOPPING_RETRY_AFTER_MS = 10
};

/* Called again when the body has been received, which may take long: a revoked
   key must not keep working while its caller sends the body slowly (invariant
   I4, see docs/invariants.md).  */
void
lt_request_use_current_config (lt_request_t *request)
{
  lt_snapshot_ref_release (request->config);
  request->config = lt_snapshot_ref_acquire (request->node->config);
  request->snapshot
      = request->config == NULL ? NULL : request->config->snapshot;
}

lt_request_t *
lt_request_create (lt_node_t *node)
{
  lt_request_t *request = lt_alloc (sizeof (*request));
  request->node = node;
  request->sequence = ++node->next_sequence;
  request->workspace = LT_NO_INDEX;
  request->started_us = lt_node_now_us (node);
  lt_request_use_current_config (request);
  request->response.length = -1;
  node->in_flight++;
  node->in_flight_gauge->value = (double)node->in_flight;
  return request;
}

/* Calls the done hooks, last filter first, unless they were called.  */
static void
end_request (lt_request_t *request)
{
  if (request->ended)
    return;
  request->ended = true;
  lt_waiting_end (request);
  lt_node_t *node = request->node;
  lt_node_metrics_count_request (node, request);
  for (int i = request->next_filter - 1; i >= 0; i--)
    if (node->filters[i]->vtable->done != NULL)
      node->filters[i]->vtable->done (node->filters[i], request);
}

void
lt_request_finish (lt_request_t *request)
{
  end_request (request);
  request->sink->wake (request->sink_data, request);
}

static void
wipe_and_free (char *text)
{
  if (text == NULL)
    return;
  sodium_memzero (text, strlen (text));
  free (text);
}

void
lt_request_destroy (lt_request_t *request)
{
  if (request == NULL)
    return;
  end_request (request);
  lt_node_t *node = request->node;
  node->in_flight--;
  node->in_flight_gauge->value = (double)node->in_flight;
  lt_header_list_destroy (&request->headers);
  lt_header_list_destroy (&request->response.headers);
  lt_upstream_client_free_body (node->upstreams, &request->body);
  lt_buf_destroy (&request->response.body);
  lt_node_memory_release_response (request);
  wipe_and_free (request->key);
  free (request->method);
  wipe_and_free (request->target);
  free (request->path);
  free (request->query);
  lt_snapshot_ref_release (request->config);
  free (request);
}

/* Calls the response hooks, last filter first, until one waits.  */
static void
run_response_hooks (lt_request_t *request)
{
  lt_node_t *node = request->node;
  while (request->next_response_filter > 0)
    {
      lt_filter_t *filter = node->filters[--request->next_response_filter];
      if (filter->vtable->on_response == NULL)
        continue;
      if (filter->vtable->on_response (filter, request) == LT_FILTER_WAIT)
        return;
    }
  request->in_response_hooks = false;
  lt_request_finish (request);
}

static void
run_filters (lt_request_t *request)
{
  lt_node_t *node = request->node;
  while (request->next_filter < node->filter_count)
    {
      lt_filter_t *filter = node->filters[request->next_filter++];
      lt_filter_result_t result = filter->vtable->request (filter, request);
      if (result != LT_FILTER_CONTINUE)
        return;
    }
}

void
lt_request_start (lt_request_t *request)
{
  lt_request_use_current_config (request);
  run_filters (request);
}

void
lt_request_resume (lt_request_t *request)
{
  if (request->in_response_hooks)
    run_response_hooks (request);
  else
    {
      lt_waiting_end (request);
      run_filters (request);
    }
}

void
lt_request_response_ready (lt_request_t *request)
{
  request->response.header_ready = true;
  request->response.complete = true;
  request->response.length = (int64_t)request->response.body.len;
  request->in_response_hooks = true;
  request->next_response_filter = request->next_filter;
  run_response_hooks (request);
}

static void
make_problem_response (lt_request_t *request, const lt_refusal_info_t *info,
                       lt_run_state_t ran, int64_t retry_after_ms)
{
  lt_response_t *response = &request->response;
  lt_header_list_destroy (&response->headers);
  lt_buf_clear (&response->body);
  response->status = info->status;
  json_t *problem
      = json_pack ("{s:s, s:s, s:i, s:s, s:s}", "type", "about:blank", "title",
                   info->title, "status", info->status, "reason", info->reason,
                   "request_id", request->request_id);
  char *text = json_dumps (problem, JSON_COMPACT);
  lt_buf_append_str (&response->body, str_from (text));
  free (text);
  json_decref (problem);
  lt_header_list_add (&response->headers, STR_LIT ("Content-Type"),
                      STR_LIT ("application/problem+json"));
  lt_header_list_add (&response->headers, request->node->dialect->run_state,
                      str_from (lt_run_state_text (ran)));
  if (retry_after_ms > 0)
    {
      lt_buf_t seconds = { 0 };
      if (request->node->dialect->fractional_retry_after)
        lt_buf_printf (&seconds, "%.3f", (double)retry_after_ms / 1000.0);
      else
        lt_buf_printf (&seconds, "%lld",
                       (long long)((retry_after_ms + 999) / 1000));
      lt_header_list_add (&response->headers, STR_LIT ("Retry-After"),
                          lt_buf_str (&seconds));
      lt_buf_destroy (&seconds);
    }
  response->length = (int64_t)response->body.len;
  response->header_ready = true;
  response->complete = true;
}

/* The refusal table's value holds only while no byte has been sent to an
   upstream.  Refusals of the dispatcher mean "not run" exactly in that
   case.  */
static lt_run_state_t
refusal_ran (const lt_request_t *request, lt_refusal_t refusal,
             const lt_refusal_info_t *info)
{
  if (request->byte_sent)
    return LT_RUN_STATE_UNKNOWN;
  if (refusal == LT_REFUSE_UPSTREAM_FAILED || refusal == LT_REFUSE_DEADLINE)
    return LT_RUN_STATE_NOT_RUN;
  return info->ran;
}

/* Reports a refused request to the pools.  A service whose requests are mostly
   refused, for whatever reason, counts as failing, and its idle upstreams are
   then tried.  The refusal of a request that only some regions may serve shows
   nothing about the upstreams of the others.  */
static void
notify_pools (const lt_request_t *request)
{
  const lt_route_t *route = request->route;
  lt_pools_t *pools = request->node->pools;
  if (route == NULL || request->attempts > 0 || request->restricted
      || pools == NULL || pools->vtable->on_refused == NULL)
    return;
  int64_t now_us = lt_node_now_us (request->node);
  for (uint32_t i = 0; i < route->split_count; i++)
    pools->vtable->on_refused (pools, request->snapshot,
                               route->splits[i].service, now_us);
  if (route->split_count == 0)
    pools->vtable->on_refused (pools, request->snapshot, route->service,
                               now_us);
}

lt_filter_result_t
lt_request_refuse_after (lt_request_t *request, lt_refusal_t refusal,
                         int64_t retry_after_ms)
{
  const lt_refusal_info_t *info = lt_refusal_get (refusal);
  request->refused = true;
  request->refusal = refusal;
  request->node->refused[refusal]->value++;
  notify_pools (request);
  make_problem_response (request, info, refusal_ran (request, refusal, info),
                         retry_after_ms);
  lt_request_finish (request);
  return LT_FILTER_REFUSED;
}

lt_filter_result_t
lt_request_refuse (lt_request_t *request, lt_refusal_t refusal)
{
  return lt_request_refuse_after (
      request, refusal, lt_refusal_get (refusal)->retry_after_s * 1000LL);
}

lt_filter_result_t
lt_request_refuse_stopping (lt_request_t *request)
{
  return lt_request_refuse_after (request, LT_REFUSE_STOPPING,
                                  STOPPING_RETRY_AFTER_MS);
}

int64_t
lt_request_remaining_ms (const lt_request_t *request, int64_t now_us)
{
  int64_t left_ms = (request->deadline_us - now_us) / LT_US_PER_MS;
  return left_ms > 0 ? left_ms : 0;
}
