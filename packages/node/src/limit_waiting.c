#include "limit_controller_internal.h"

#include <stdlib.h>

#include "lt/base/hash.h"
#include "lt/base/str.h"
#include "waiting.h"

/** Longest wait of a request for tokens.  */
#define WAIT_MAX_US 250000

void
lt_limit_waiting_unlink (lt_limit_waiting_t *waiting)
{
  waiting->prev->next = waiting->next;
  waiting->next->prev = waiting->prev;
}

static void
waiting_append (lt_limit_waiting_t *head, lt_limit_waiting_t *waiting)
{
  waiting->prev = head->prev;
  waiting->next = head;
  head->prev->next = waiting;
  head->prev = waiting;
}

void
lt_limit_controller_on_resume (struct ev_loop *loop, ev_timer *watcher,
                               int events)
{
  (void)loop;
  (void)events;
  lt_limit_controller_t *controller = watcher->data;
  while (controller->ready.next != &controller->ready)
    {
      lt_limit_waiting_t *waiting = controller->ready.next;
      lt_limit_waiting_unlink (waiting);
      waiting->prev = waiting->next = waiting;
      if (waiting->granted)
        lt_request_resume (waiting->request);
      else
        lt_request_refuse_after (waiting->request, LT_REFUSE_RATE,
                                 waiting->retry_after_us / LT_US_PER_MS + 1);
    }
}

static void
make_ready (lt_limit_controller_t *controller, lt_limit_waiting_t *waiting,
            const lt_limit_spend_t *spend)
{
  lt_limit_waiting_unlink (waiting);
  waiting->granted = spend->verdict == LT_LIMIT_GRANTED;
  waiting->retry_after_us = spend->retry_after_us;
  waiting_append (&controller->ready, waiting);
  lt_limit_controller_count (controller, waiting->granted
                                             ? LT_LIMIT_COUNT_GRANTED
                                             : LT_LIMIT_COUNT_REFUSED);
  if (!ev_is_active (&controller->resume))
    {
      ev_timer_set (&controller->resume, 0, 0);
      ev_timer_start (controller->base.node->loop, &controller->resume);
    }
}

void
lt_limit_controller_retry_waiting (lt_limit_controller_t *controller,
                                   uint64_t workspace, int64_t now_us,
                                   lt_limit_actions_t *actions)
{
  uint32_t index = lt_limit_holder_index (controller->holder, workspace);
  for (lt_limit_waiting_t *w = controller->waiting.next, *next;
       w != &controller->waiting; w = next)
    {
      next = w->next;
      if (w->workspace != workspace)
        continue;
      lt_limit_spend_t spend = lt_limit_holder_spend (
          controller->holder, index, true, now_us, actions);
      if (spend.verdict != LT_LIMIT_WAIT)
        make_ready (controller, w, &spend);
    }
}

void
lt_limit_controller_expire_waiting (lt_limit_controller_t *controller,
                                    int64_t now_us)
{
  for (lt_limit_waiting_t *w = controller->waiting.next, *next;
       w != &controller->waiting; w = next)
    {
      next = w->next;
      if (now_us < w->until_us)
        continue;
      lt_limit_spend_t spend = { LT_LIMIT_REFUSED, LT_US_PER_S };
      lt_limit_controller_count (controller, LT_LIMIT_COUNT_WAIT_OVER);
      make_ready (controller, w, &spend);
    }
}

static lt_filter_result_t
wait (lt_limit_controller_t *controller, lt_request_t *request, int slot,
      uint64_t workspace, int64_t now_us)
{
  lt_limit_waiting_t *waiting = lt_alloc (sizeof (*waiting));
  waiting->request = request;
  waiting->workspace = workspace;
  waiting->until_us = now_us + WAIT_MAX_US;
  if (request->deadline_us > 0 && request->deadline_us < waiting->until_us)
    waiting->until_us = request->deadline_us;
  waiting_append (&controller->waiting, waiting);
  request->filter_state[slot] = waiting;
  lt_waiting_begin (request, LT_WAIT_LIMIT);
  lt_limit_controller_count (controller, LT_LIMIT_COUNT_WAITED);
  return LT_FILTER_WAIT;
}

lt_filter_result_t
lt_limit_controller_spend (lt_limit_controller_t *controller,
                           lt_request_t *request, int slot)
{
  int64_t now_us = lt_node_now_us (controller->base.node);
  str_t name = request->snapshot->workspaces[request->workspace].name;
  uint64_t workspace = lt_hash64 (name);
  lt_limit_actions_t actions = { 0 };
  lt_limit_spend_t spend = lt_limit_holder_spend (
      controller->holder,
      lt_limit_holder_index (controller->holder, workspace), false, now_us,
      &actions);
  lt_filter_result_t result = LT_FILTER_CONTINUE;
  if (spend.verdict == LT_LIMIT_WAIT)
    result = wait (controller, request, slot, workspace, now_us);
  lt_limit_controller_execute (controller, &actions, now_us);
  if (spend.verdict == LT_LIMIT_GRANTED)
    lt_limit_controller_count (controller, LT_LIMIT_COUNT_GRANTED);
  if (spend.verdict != LT_LIMIT_REFUSED)
    return result;
  lt_limit_controller_count (controller, LT_LIMIT_COUNT_REFUSED);
  return lt_request_refuse_after (request, LT_REFUSE_RATE,
                                  spend.retry_after_us / LT_US_PER_MS + 1);
}

void
lt_limit_controller_cancel (lt_limit_controller_t *controller,
                            lt_request_t *request, int slot)
{
  (void)controller;
  lt_limit_waiting_t *waiting = request->filter_state[slot];
  if (waiting == NULL)
    return;
  lt_limit_waiting_unlink (waiting);
  free (waiting);
  request->filter_state[slot] = NULL;
}
