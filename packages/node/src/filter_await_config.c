#include <ev.h>
#include <stdlib.h>
#include <utlist.h>

#include "filters.h"
#include "lt/node/node.h"
#include "lt/node/request.h"
#include "waiting.h"

/* A starting VM reads its configuration in about 0.1 s, so a short wait is
   better for callers than a refusal.  */
#define CONFIG_WAIT_MAX_US (500 * LT_US_PER_MS)
#define POLL_INTERVAL_S 0.02

typedef struct waiting_request
{
  struct waiting_request *prev;
  struct waiting_request *next;
  lt_request_t *request;
  int64_t since_us;
} waiting_request_t;

typedef struct await_filter
{
  lt_filter_t base;
  waiting_request_t *waiting;
  ev_timer poll;
} await_filter_t;

static void
remove_waiting (await_filter_t *filter, waiting_request_t *waiting)
{
  waiting->request->filter_state[filter->base.slot] = NULL;
  DL_DELETE (filter->waiting, waiting); /* NOLINT(clang-analyzer-*) */
  free (waiting);
}

static void
on_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  await_filter_t *filter = timer->data;
  int64_t now_us = lt_node_now_us (filter->base.node);
  bool have_config = filter->base.node->config != NULL;
  waiting_request_t *waiting;
  waiting_request_t *next;
  DL_FOREACH_SAFE (filter->waiting, waiting, next)
  {
    lt_request_t *request = waiting->request;
    if (!have_config && now_us - waiting->since_us < CONFIG_WAIT_MAX_US)
      continue;
    remove_waiting (filter, waiting);
    lt_request_use_current_config (request);
    lt_request_resume (request);
  }
  if (filter->waiting == NULL)
    ev_timer_stop (loop, &filter->poll);
}

/* Later filters refuse requests that still have no configuration after the
   wait.  */
static lt_filter_result_t
filter_request (lt_filter_t *base, lt_request_t *request)
{
  await_filter_t *filter = (await_filter_t *)base;
  if (request->snapshot != NULL)
    return LT_FILTER_CONTINUE;
  waiting_request_t *waiting = lt_alloc (sizeof (*waiting));
  waiting->request = request;
  waiting->since_us = lt_node_now_us (base->node);
  request->filter_state[base->slot] = waiting;
  DL_APPEND (filter->waiting, waiting);
  lt_waiting_begin (request, LT_WAIT_CONFIG);
  if (!ev_is_active (&filter->poll))
    {
      ev_timer_set (&filter->poll, POLL_INTERVAL_S, POLL_INTERVAL_S);
      ev_timer_start (base->node->loop, &filter->poll);
    }
  return LT_FILTER_WAIT;
}

static void
filter_done (lt_filter_t *base, lt_request_t *request)
{
  waiting_request_t *waiting = request->filter_state[base->slot];
  if (waiting != NULL)
    remove_waiting ((await_filter_t *)base, waiting);
}

static void
filter_destroy (lt_filter_t *base)
{
  await_filter_t *filter = (await_filter_t *)base;
  ev_timer_stop (base->node->loop, &filter->poll);
  free (filter);
}

static const lt_filter_vtable_t vtable = { .name = "await-config",
                                           .request = filter_request,
                                           .done = filter_done,
                                           .destroy = filter_destroy };

lt_filter_t *
lt_filter_await_config_create (void)
{
  await_filter_t *filter = lt_alloc (sizeof (*filter));
  filter->base.vtable = &vtable;
  ev_timer_init (&filter->poll, on_poll, POLL_INTERVAL_S, POLL_INTERVAL_S);
  filter->poll.data = filter;
  return &filter->base;
}
