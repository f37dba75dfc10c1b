#include <stdio.h>
#include <stdlib.h>

#include "dispatch_internal.h"
#include "dispatch_queue.h"
#include "filters.h"
#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/node/claim_controller.h"
#include "lt/node/quarantine_controller.h"
#include "node_memory.h"
#include "outgoing.h"
#include "pools.h"
#include "room_controller.h"
#include "upstream_probe.h"
#include "waiting.h"

enum
{
  STREAM_BUFFER_BYTES = 64 * 1024,
  /* Whole responses are buffered up to this size (see buffers_responses);
     larger ones are streamed.  */
  WHOLE_RESPONSE_BYTES_MAX = 1024 * 1024
};

static lt_pools_t *
dispatch_pools (lt_dispatch_t *dispatch)
{
  return dispatch->request->node->pools;
}

static bool
has_transfer (const lt_dispatch_t *dispatch)
{
  for (uint32_t i = 0; i < dispatch->attempt_count; i++)
    if (dispatch->attempts[i].transfer != NULL)
      return true;
  return false;
}

static bool
is_in_progress (const lt_dispatch_t *dispatch)
{
  return dispatch->waiting || dispatch->queued.line != NULL
         || has_transfer (dispatch);
}

static void
close_attempt (attempt_t *attempt, lt_attempt_outcome_t outcome)
{
  lt_dispatch_t *dispatch = attempt->dispatch;
  lt_request_t *request = dispatch->request;
  lt_pools_t *pools = dispatch_pools (dispatch);
  int64_t end_us = attempt->header_us != 0 ? attempt->header_us
                                           : lt_node_now_us (request->node);
  attempt->transfer = NULL;
  if (attempt->byte_sent && attempt->not_run)
    dispatch->may_have_run--;
  request->byte_sent = dispatch->may_have_run > 0;
  lt_dispatch_end_work (attempt, outcome, end_us - attempt->started_us);
  pools->vtable->end (pools, attempt->config->snapshot, attempt->upstream);
  lt_dispatch_queue_attempt_ended (attempt, outcome,
                                   end_us - attempt->started_us);
  if (request->node->room_controller != NULL)
    lt_room_controller_attempt_ended (request->node->room_controller, attempt,
                                      outcome, end_us - attempt->started_us);
  lt_dispatch_log_attempt (attempt, outcome);
  lt_observation_event_t event = {
    .upstream = attempt->upstream,
    .snapshot = attempt->config->snapshot,
    .outcome = outcome,
    .status = attempt->status,
    .latency_us = end_us - attempt->started_us,
    .retry_after_ms = attempt->retry_after_ms,
    .rate_milli_per_s
    = attempt->header_us == 0 ? -1 : attempt->rate_milli_per_s,
    .warm_until_us = attempt->warm_until_us,
    .fingerprint = request->fingerprint,
    .workspace = request->workspace,
    .byte_sent = attempt->byte_sent,
    .connection_lost = attempt->connection_lost,
    .header_received = attempt->header_us != 0,
    .connection_close = attempt->closing,
  };
  lt_node_observe_with_config (request->node, &event, attempt->config);
}

static void
cancel_attempt (attempt_t *attempt)
{
  if (attempt->transfer == NULL)
    return;
  lt_transfer_cancel (attempt->transfer);
  close_attempt (attempt, LT_ATTEMPT_CANCELED);
}

static void
cancel_others (lt_dispatch_t *dispatch, const attempt_t *keep)
{
  for (uint32_t i = 0; i < dispatch->attempt_count; i++)
    if (&dispatch->attempts[i] != keep)
      cancel_attempt (&dispatch->attempts[i]);
}

static bool
is_never_repeat (const lt_dispatch_t *dispatch)
{
  return dispatch->request->route->action == LT_ACTION_NEVER_REPEAT;
}

/* Returns whether whole responses are buffered before the caller sees them: so
   that the outcome of a never-repeat action is recorded first, and so that a
   damaged response can be replaced.  */
static bool
buffers_responses (const lt_dispatch_t *dispatch)
{
  return is_never_repeat (dispatch)
         || dispatch->request->node->dialect->response_echoes_id;
}

static bool
is_failure_status (int status)
{
  return status == 500 || status == 502 || status == 503 || status == 504;
}

static void
use_response (attempt_t *attempt, const lt_response_head_t *head)
{
  lt_dispatch_t *dispatch = attempt->dispatch;
  lt_request_t *request = dispatch->request;
  lt_response_t *response = &request->response;
  struct ev_loop *loop = request->node->loop;
  dispatch->winner = attempt;
  ev_timer_stop (loop, &dispatch->retry_timer);
  ev_timer_stop (loop, &dispatch->hedge_timer);
  cancel_others (dispatch, attempt);
  response->status = head->status;
  response->length = head->length;
  lt_outgoing_response_headers (request->node->dialect, &head->headers,
                                &response->headers);
  if (buffers_responses (dispatch))
    return;
  response->header_ready = true;
}

static bool
on_header (void *owner, const lt_response_head_t *head)
{
  attempt_t *attempt = owner;
  lt_dispatch_t *dispatch = attempt->dispatch;
  const lt_header_list_t *headers = &head->headers;
  int status = head->status;
  attempt->status = status;
  attempt->header_us = lt_node_now_us (dispatch->request->node);
  attempt->closing = lt_headers_connection_close (headers);
  int64_t retry_after_s = 0;
  str_t retry_after = lt_header_list_get (headers, STR_LIT ("Retry-After"));
  if (retry_after.data != NULL
      && str_to_i64 (str_trim (retry_after), &retry_after_s) == 0)
    attempt->retry_after_ms = retry_after_s * 1000;
  if (attempt == &dispatch->attempts[0])
    lt_retry_on_latency (dispatch->request->node->retry,
                         dispatch->service_hash,
                         attempt->header_us - attempt->started_us);
  lt_dispatch_check_response (attempt, headers);
  attempt->rate_milli_per_s = lt_dispatch_read_rate (attempt, headers);
  attempt->warm_until_us = lt_dispatch_read_warm_until (attempt, headers);
  lt_dispatch_read_leaving (attempt, headers);
  if (attempt->not_run || attempt->wrong_response)
    return false;
  if (is_failure_status (status))
    {
      bool shed = status == 503 && attempt->retry_after_ms > 0;
      attempt->decision = lt_dispatch_decide_retry (
          dispatch, attempt, shed ? LT_RETRY_SHED : LT_RETRY_STATUS_FAILED);
      attempt->retry_decided = true;
      if (attempt->decision.retry)
        return false;
    }
  if (dispatch->request->node->dialect->not_run.len > 0
      && lt_dispatch_status_implies_not_run (status))
    return false;
  use_response (attempt, head);
  return true;
}

static bool
on_body (void *owner, str_t data)
{
  attempt_t *attempt = owner;
  lt_dispatch_t *dispatch = attempt->dispatch;
  lt_request_t *request = dispatch->request;
  lt_response_t *response = &request->response;
  bool buffered = !response->header_ready;
  size_t limit = buffered ? WHOLE_RESPONSE_BYTES_MAX : STREAM_BUFFER_BYTES;
  if (!lt_node_memory_append_response (request, data, limit))
    {
      attempt->paused = true;
      response->header_ready = true;
      request->sink->wake (request->sink_data, request);
      return false;
    }
  if (response->header_ready)
    request->sink->wake (request->sink_data, request);
  return true;
}

static bool
on_send (void *owner)
{
  attempt_t *attempt = owner;
  lt_request_t *request = attempt->dispatch->request;
  if (request->node->dialect->uses_claims && !lt_claim_permits (request))
    return false;
  attempt->byte_sent = true;
  attempt->dispatch->may_have_run++;
  request->byte_sent = true;
  return true;
}

static lt_attempt_outcome_t
attempt_outcome (const attempt_t *attempt, const lt_transfer_result_t *result)
{
  if (attempt->not_run)
    return attempt->status == 421 ? LT_ATTEMPT_MISDIRECTED : LT_ATTEMPT_SHED;
  if (attempt->wrong_response)
    return LT_ATTEMPT_WRONG_RESPONSE;
  switch (result->end)
    {
    case LT_TRANSFER_REFUSED:
      return LT_ATTEMPT_REFUSED;
    case LT_TRANSFER_RESET:
      return LT_ATTEMPT_RESET;
    case LT_TRANSFER_TRUNCATED:
      return LT_ATTEMPT_TRUNCATED;
    case LT_TRANSFER_TIMEOUT:
      return LT_ATTEMPT_TIMEOUT;
    case LT_TRANSFER_MALFORMED:
      return LT_ATTEMPT_MALFORMED;
    case LT_TRANSFER_COMPLETE:
    case LT_TRANSFER_ABORTED:
      break;
    }
  if (attempt->status == 503 && attempt->retry_after_ms > 0)
    return LT_ATTEMPT_SHED;
  return attempt->status >= 500 ? LT_ATTEMPT_FAILED : LT_ATTEMPT_OK;
}

/* Called when the transfer of the response in use has ended.  */
static void
finish_response (lt_dispatch_t *dispatch, const lt_transfer_result_t *result)
{
  lt_request_t *request = dispatch->request;
  lt_response_t *response = &request->response;
  if (result->end == LT_TRANSFER_COMPLETE)
    {
      bool buffered = !response->header_ready;
      response->complete = true;
      if (buffered)
        lt_request_response_ready (request);
      else
        lt_request_finish (request);
      return;
    }
  if (!response->header_sent
      && (response->length < 0
          || (int64_t)response->body.len < response->length))
    {
      /* The caller has received nothing yet, so it gets a refusal instead of
         a broken connection.  */
      lt_request_refuse (request, LT_REFUSE_UPSTREAM_FAILED);
      return;
    }
  response->failed = true;
  lt_request_finish (request);
}

static void
start_retry_timer (lt_dispatch_t *dispatch, int64_t delay_us)
{
  struct ev_loop *loop = dispatch->request->node->loop;
  ev_timer_stop (loop, &dispatch->retry_timer);
  ev_timer_set (&dispatch->retry_timer, (double)delay_us / LT_US_PER_S, 0.0);
  ev_timer_start (loop, &dispatch->retry_timer);
  if (!is_in_progress (dispatch))
    lt_waiting_begin (dispatch->request, LT_WAIT_RETRY);
}

/* Returns the delay before a request that may have crashed its upstream is
   retried or refused, so that the other VMs receive the crash notice first. */
static int64_t
quarantine_notice_delay_us (const lt_dispatch_t *dispatch)
{
  return dispatch->last_reset
             ? lt_quarantine_notice_us (dispatch->request->node)
             : 0;
}

static void
on_retry_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_dispatch_t *dispatch = watcher->data;
  lt_request_t *request = dispatch->request;
  bool retries = !dispatch->refusal_pending;
  if (!is_in_progress (dispatch))
    lt_waiting_end (request);
  if (retries && dispatch->last_reset && lt_quarantine_refuses (request))
    {
      lt_request_refuse (request, LT_REFUSE_QUARANTINED);
      return;
    }
  if (retries && (lt_dispatch_start (dispatch) || is_in_progress (dispatch)))
    return;
  lt_dispatch_refuse (dispatch);
}

static void
on_hedge_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_dispatch_t *dispatch = watcher->data;
  if (dispatch->winner != NULL || dispatch->attempt_count != 1
      || dispatch->attempts[0].transfer == NULL)
    return;
  if (lt_dispatch_decide_hedge (dispatch).retry)
    lt_dispatch_try (dispatch, NULL);
}

/* Discards a damaged response of which the caller has received nothing, so
   that the request continues as if there had been none.  */
static void
discard_response (lt_dispatch_t *dispatch)
{
  lt_response_t *response = &dispatch->request->response;
  dispatch->winner = NULL;
  lt_header_list_destroy (&response->headers);
  lt_buf_clear (&response->body);
  response->status = 0;
  response->length = -1;
}

static lt_retry_failure_t
attempt_failure (const attempt_t *attempt, const lt_transfer_result_t *result)
{
  if (attempt->not_run)
    return LT_RETRY_NOT_RUN;
  if (attempt->wrong_response)
    return LT_RETRY_WRONG_RESPONSE;
  return lt_dispatch_failure (result->end);
}

static void
on_done (void *owner, const lt_transfer_result_t *result)
{
  attempt_t *attempt = owner;
  lt_dispatch_t *dispatch = attempt->dispatch;
  attempt->connection_lost = result->connection_lost;
  attempt->fault = result->fault;
  close_attempt (attempt, attempt_outcome (attempt, result));
  dispatch->timed_out = result->end == LT_TRANSFER_TIMEOUT;
  dispatch->last_reset = result->end == LT_TRANSFER_RESET;
  if (dispatch->winner == attempt && result->end != LT_TRANSFER_COMPLETE
      && !dispatch->request->response.header_ready)
    discard_response (dispatch);
  if (dispatch->winner == attempt)
    {
      finish_response (dispatch, result);
      return;
    }
  lt_retry_decision_t decision
      = attempt->retry_decided
            ? attempt->decision
            : lt_dispatch_decide_retry (dispatch, attempt,
                                        attempt_failure (attempt, result));
  int64_t delay_us = quarantine_notice_delay_us (dispatch);
  if (decision.retry)
    {
      start_retry_timer (dispatch, decision.delay_us > delay_us
                                       ? decision.delay_us
                                       : delay_us);
      return;
    }
  if (is_in_progress (dispatch) || ev_is_active (&dispatch->retry_timer))
    return;
  dispatch->refusal_pending = true;
  if (delay_us > 0)
    start_retry_timer (dispatch, delay_us);
  else
    lt_dispatch_refuse (dispatch);
}

static const lt_transfer_vtable_t transfer_vtable = { .on_header = on_header,
                                                      .on_body = on_body,
                                                      .on_done = on_done,
                                                      .on_send = on_send };

static lt_transfer_t *
send_attempt (lt_dispatch_t *dispatch, attempt_t *attempt)
{
  lt_request_t *request = dispatch->request;
  lt_header_list_t headers = { 0 };
  lt_outgoing_headers (request, attempt->started_us, &headers);
  int64_t remaining_ms
      = lt_request_remaining_ms (request, attempt->started_us);
  const lt_upstream_t *upstream
      = &attempt->config->snapshot->upstreams[attempt->upstream];
  if (request->node->dialect->expected_instance.len > 0)
    lt_header_list_add (&headers, request->node->dialect->expected_instance,
                        upstream->name);
  lt_pools_t *pools = dispatch_pools (dispatch);
  lt_transfer_options_t options = {
    .address = upstream->address,
    .method = str_from (request->method),
    .target = lt_buf_str (&dispatch->target),
    .headers = &headers,
    .body = lt_buf_str (&request->body),
    .timeout_ms = remaining_ms > 0 ? remaining_ms : 1,
    .connect_ms = pools->vtable->connect_ms == NULL
                      ? 0
                      : pools->vtable->connect_ms (pools, attempt->upstream),
  };
  lt_transfer_t *transfer = lt_upstream_client_send (
      request->node->upstreams, &options, &transfer_vtable, attempt);
  lt_header_list_destroy (&headers);
  return transfer;
}

/* Records the attempt in the request for its log line, which is written after
   the dispatch has been freed.  */
static void
record_attempt (lt_request_t *request, const attempt_t *attempt)
{
  const lt_snapshot_t *snapshot = attempt->config->snapshot;
  request->attempts++;
  snprintf (request->upstream, sizeof (request->upstream), "%.*s",
            STR_ARG (snapshot->upstreams[attempt->upstream].name));
}

/* Chooses an upstream within LIMITS that has a free connection.  Without
   limits the request waits for the best one, whose load includes those that
   wait; with limits, as they bound the load, the next best is as good.  */
static int64_t
choose_upstream (lt_dispatch_t *dispatch, const lt_choice_limits_t *limits)
{
  dispatch->busy_count = 0;
  for (;;)
    {
      int64_t picked = lt_dispatch_pick (dispatch, limits);
      if (picked < 0)
        return dispatch->busy_count > 0 ? -LT_EFULL : picked;
      dispatch->chosen = (uint32_t)picked;
      if (lt_dispatch_queue_admits (dispatch, dispatch->chosen))
        return picked;
      if (limits == NULL || dispatch->busy_count == BUSY_MAX)
        return -LT_EFULL;
      dispatch->busy[dispatch->busy_count++] = dispatch->chosen;
    }
}

int
lt_dispatch_try (lt_dispatch_t *dispatch, const lt_choice_limits_t *limits)
{
  lt_pools_t *pools = dispatch_pools (dispatch);
  int64_t now_us = lt_node_now_us (dispatch->request->node);
  if (dispatch->request->caller_disconnected
      || lt_dispatch_may_be_cut (dispatch))
    return -LT_EUNAVAILABLE;
  int64_t picked = choose_upstream (dispatch, limits);
  dispatch->busy_count = 0;
  if (picked < 0)
    return (int)picked;
  attempt_t *attempt = &dispatch->attempts[dispatch->attempt_count];
  *attempt = (attempt_t){ .dispatch = dispatch,
                          .config = dispatch->config,
                          .upstream = (uint32_t)picked,
                          .started_us = now_us };
  attempt->transfer = send_attempt (dispatch, attempt);
  if (attempt->transfer == NULL)
    return -LT_EUNAVAILABLE;
  lt_snapshot_ref_acquire (attempt->config);
  dispatch->attempt_count++;
  record_attempt (dispatch->request, attempt);
  lt_dispatch_queue_attempt_began (attempt);
  lt_dispatch_begin_work (attempt);
  pools->vtable->begin (pools, dispatch->config->snapshot, attempt->upstream);
  lt_waiting_end (dispatch->request);
  if (dispatch->attempt_count == 1)
    lt_dispatch_start_hedge_timer (dispatch);
  return 0;
}

bool
lt_dispatch_start_now (lt_dispatch_t *dispatch)
{
  int error = lt_dispatch_try (dispatch, NULL);
  /* A further attempt beside one in progress is not worth a wait.  */
  if (error != -LT_EFULL || has_transfer (dispatch))
    return error == 0;
  lt_dispatch_queue_add (dispatch);
  return true;
}

bool
lt_dispatch_start (lt_dispatch_t *dispatch)
{
  lt_room_controller_t *room = dispatch->request->node->room_controller;
  return room != NULL ? lt_room_controller_start (room, dispatch)
                      : lt_dispatch_start_now (dispatch);
}

static void
init_retry (lt_dispatch_t *dispatch)
{
  const lt_request_t *request = dispatch->request;
  const lt_snapshot_t *snapshot = request->snapshot;
  lt_node_t *node = request->node;
  dispatch->service_name = lt_dispatch_choose_service (request);
  dispatch->service_hash = lt_hash64 (dispatch->service_name);
  if (request->workspace != LT_NO_INDEX)
    dispatch->workspace_hash
        = lt_hash64 (snapshot->workspaces[request->workspace].name);
  lt_retry_on_request (node->retry, dispatch->service_hash,
                       dispatch->workspace_hash, lt_node_now_us (node));
  ev_timer_init (&dispatch->retry_timer, on_retry_timer, 0.0, 0.0);
  ev_timer_init (&dispatch->hedge_timer, on_hedge_timer, 0.0, 0.0);
  dispatch->retry_timer.data = dispatch;
  dispatch->hedge_timer.data = dispatch;
}

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_pools_t *pools = filter->node->pools;
  if (pools->vtable->config (pools) == NULL)
    return lt_dispatch_refuse_with (request, LT_REFUSE_NO_CONFIG);
  if (lt_node_now_us (filter->node) >= request->deadline_us)
    return lt_dispatch_refuse_with (request, LT_REFUSE_DEADLINE);
  if (lt_node_may_cut (filter->node, request->deadline_us))
    return lt_request_refuse_stopping (request);
  lt_dispatch_t *dispatch = lt_alloc (sizeof (*dispatch));
  request->dispatch = dispatch;
  dispatch->request = request;
  lt_outgoing_target (request, &dispatch->target);
  init_retry (dispatch);
  if (!lt_dispatch_start (dispatch))
    return lt_dispatch_refuse_no_upstream (dispatch);
  return LT_FILTER_WAIT;
}

static void
filter_done (lt_filter_t *filter, lt_request_t *request)
{
  (void)filter;
  lt_dispatch_t *dispatch = request->dispatch;
  if (dispatch == NULL)
    return;
  ev_timer_stop (request->node->loop, &dispatch->retry_timer);
  ev_timer_stop (request->node->loop, &dispatch->hedge_timer);
  lt_dispatch_queue_leave (dispatch);
  if (request->node->room_controller != NULL)
    lt_room_controller_leave (request->node->room_controller, dispatch, false);
  cancel_others (dispatch, NULL);
  request->dispatch = NULL;
  lt_snapshot_ref_release (dispatch->config);
  for (uint32_t i = 0; i < dispatch->attempt_count; i++)
    lt_snapshot_ref_release (dispatch->attempts[i].config);
  lt_buf_destroy (&dispatch->target);
  free (dispatch);
}

void
lt_dispatch_body_consumed (lt_request_t *request)
{
  lt_dispatch_t *dispatch = request->dispatch;
  if (dispatch == NULL || dispatch->winner == NULL)
    return;
  attempt_t *winner = dispatch->winner;
  if (!winner->paused || winner->transfer == NULL
      || request->response.body.len > STREAM_BUFFER_BYTES / 2)
    return;
  winner->paused = false;
  lt_node_memory_shrink_response (request, STREAM_BUFFER_BYTES);
  lt_transfer_unpause (winner->transfer);
}

static const lt_filter_vtable_t vtable = { .name = "dispatch",
                                           .request = filter_request,
                                           .done = filter_done,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_dispatch_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
