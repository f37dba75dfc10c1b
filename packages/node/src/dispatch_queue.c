#include "dispatch_queue.h"

#include <stddef.h>
#include <stdlib.h>

#include "lt/base/hash.h"
#include "lt/node/upstream_controller.h"
#include "lt/policy/service_time.h"
#include "pools.h"
#include "room_controller.h"
#include "waiting.h"

/* Of a new sample in the service time of a route.  */
#define SERVICE_TIME_WEIGHT 0.05

struct lt_dispatch_queue
{
  lt_node_t *node;
  lt_pending_t *pending;
  lt_service_times_t times;
  ev_timer pump;
};

static uint64_t
upstream_key (const lt_snapshot_ref_t *config, uint32_t upstream)
{
  return lt_upstream_id (&config->snapshot->upstreams[upstream]);
}

static lt_dispatch_t *
dispatch_of (lt_pending_entry_t *entry)
{
  return (lt_dispatch_t *)((char *)entry - offsetof (lt_dispatch_t, queued));
}

static void
wake (lt_dispatch_queue_t *queue)
{
  if (lt_pending_count (queue->pending) > 0 && !ev_is_active (&queue->pump))
    ev_timer_start (queue->node->loop, &queue->pump);
}

/* Sends queued requests while connections are free.  Each is sent, refused, or
   queued for an upstream without a free connection, so the loop ends.  */
static void
on_pump (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  const lt_dispatch_queue_t *queue = timer->data;
  lt_pending_entry_t *entry;
  while ((entry = lt_pending_next (queue->pending)) != NULL)
    lt_dispatch_choose_again (dispatch_of (entry));
}

bool
lt_dispatch_queue_admits (const lt_dispatch_t *dispatch, uint32_t upstream)
{
  return lt_pending_admits (dispatch->request->node->dispatch_queue->pending,
                            upstream_key (dispatch->config, upstream),
                            dispatch->request->sequence);
}

void
lt_dispatch_queue_add (lt_dispatch_t *dispatch)
{
  lt_node_t *node = dispatch->request->node;
  lt_pools_t *pools = node->pools;
  lt_dispatch_queue_t *queue = node->dispatch_queue;
  dispatch->queued_config = lt_snapshot_ref_acquire (dispatch->config);
  dispatch->queued_upstream = dispatch->chosen;
  dispatch->queued_since_us = lt_node_now_us (node);
  dispatch->queued.order = dispatch->request->sequence;
  lt_pending_add (queue->pending,
                  upstream_key (dispatch->config, dispatch->chosen),
                  &dispatch->queued);
  pools->vtable->begin_wait (pools, dispatch->config->snapshot,
                             dispatch->chosen);
  dispatch->has_waited = true;
  lt_waiting_begin (dispatch->request, LT_WAIT_CONNECTION);
}

void
lt_dispatch_queue_leave (lt_dispatch_t *dispatch)
{
  lt_node_t *node = dispatch->request->node;
  if (dispatch->queued.line == NULL)
    return;
  lt_pending_remove (node->dispatch_queue->pending, &dispatch->queued);
  node->pools->vtable->end_wait (node->pools,
                                 dispatch->queued_config->snapshot,
                                 dispatch->queued_upstream);
  lt_snapshot_ref_release (dispatch->queued_config);
  dispatch->queued_config = NULL;
}

void
lt_dispatch_queue_attempt_began (attempt_t *attempt)
{
  attempt->upstream_key = upstream_key (attempt->config, attempt->upstream);
  lt_pending_begin (attempt->dispatch->request->node->dispatch_queue->pending,
                    attempt->upstream_key);
}

void
lt_dispatch_queue_attempt_ended (const attempt_t *attempt,
                                 lt_attempt_outcome_t outcome,
                                 int64_t latency_us)
{
  const lt_request_t *request = attempt->dispatch->request;
  lt_dispatch_queue_t *queue = request->node->dispatch_queue;
  lt_pending_end (queue->pending, attempt->upstream_key);
  if (outcome == LT_ATTEMPT_OK)
    lt_service_times_add (&queue->times, lt_hash64 (request->route->name),
                          latency_us, SERVICE_TIME_WEIGHT);
  wake (queue);
}

/* Returns the time that the upstream is likely to take; 0: not known.  */
static int64_t
likely_work_us (const lt_dispatch_t *dispatch)
{
  const lt_request_t *request = dispatch->request;
  return (int64_t)lt_service_times_likely_us (
      &request->node->dispatch_queue->times, lt_hash64 (request->route->name));
}

bool
lt_dispatch_may_be_cut (const lt_dispatch_t *dispatch)
{
  const lt_request_t *request = dispatch->request;
  lt_node_t *node = request->node;
  if (!lt_node_may_cut (node, request->deadline_us))
    return false;
  int64_t work_us = likely_work_us (dispatch);
  return !dispatch->has_waited || work_us == 0
         || !lt_dispatch_is_idempotent (dispatch)
         || lt_node_may_cut (node, lt_node_now_us (node) + work_us);
}

void
lt_dispatch_describe_wait (const lt_dispatch_t *dispatch,
                           lt_wait_state_t *state)
{
  lt_pools_t *pools = dispatch->request->node->pools;
  if (dispatch->queued.line == NULL)
    return;
  state->work_us = likely_work_us (dispatch);
  state->may_be_cut = lt_dispatch_may_be_cut (dispatch);
  state->chosen_us = dispatch->queued_since_us;
  state->config_changed
      = pools->vtable->config (pools) != dispatch->queued_config;
}

void
lt_dispatch_choose_again (lt_dispatch_t *dispatch)
{
  lt_dispatch_queue_leave (dispatch);
  if (lt_dispatch_start (dispatch))
    return;
  lt_waiting_end (dispatch->request);
  lt_dispatch_refuse (dispatch);
}

void
lt_dispatch_end_wait (lt_dispatch_t *dispatch, lt_wait_verdict_t verdict)
{
  lt_request_t *request = dispatch->request;
  lt_node_t *node = request->node;
  lt_dispatch_queue_leave (dispatch);
  if (node->room_controller != NULL)
    lt_room_controller_leave (node->room_controller, dispatch,
                              verdict == LT_WAIT_STOPPING);
  ev_timer_stop (node->loop, &dispatch->retry_timer);
  lt_waiting_end (request);
  if (verdict == LT_WAIT_LATE)
    lt_dispatch_refuse_with (request, LT_REFUSE_DEADLINE_UNREACHABLE);
  else
    lt_dispatch_refuse (dispatch);
}

void
lt_dispatch_queue_create (lt_node_t *node)
{
  lt_dispatch_queue_t *queue = lt_alloc (sizeof (*queue));
  lt_pending_options_t options = LT_PENDING_OPTIONS_DEFAULT;
  options.connections_max = (uint32_t)node->settings->upstream_connections;
  queue->node = node;
  queue->pending = lt_pending_create (&options);
  ev_timer_init (&queue->pump, on_pump, 0.0, 0.0);
  queue->pump.data = queue;
  node->dispatch_queue = queue;
}

void
lt_dispatch_queue_destroy (lt_node_t *node)
{
  lt_dispatch_queue_t *queue = node->dispatch_queue;
  if (queue == NULL)
    return;
  ev_timer_stop (node->loop, &queue->pump);
  lt_pending_destroy (queue->pending);
  free (queue);
  node->dispatch_queue = NULL;
}
