#include "waiting.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "dispatch_internal.h"
#include "lt/base/log.h"
#include "lt/node/node.h"

#define CHECK_INTERVAL_S 0.025

enum
{
  /* A choice looks at all upstreams of the service, and thousands of requests
     may wait.  */
  CHOICES_PER_CHECK = 16
};

struct lt_waiting
{
  lt_node_t *node;
  lt_request_t *requests;
  lt_request_t *next; /* To be checked next; NULL: the check ends. */
  int choices_left;   /* Of this check. */
  ev_timer check;
  lt_gauge_t *gauges[LT_WAIT_PLACES];
  lt_counter_t *ended[LT_WAIT_VERDICTS];
};

static const char *
place_text (lt_wait_place_t place)
{
#define LT_WAIT_PLACE_TEXT(name, text) text,
  static const char *const texts[]
      = { LT_WAIT_PLACE_TABLE (LT_WAIT_PLACE_TEXT) };
#undef LT_WAIT_PLACE_TEXT
  return texts[place];
}

/* Refuses a request that the dispatcher does not have yet.  */
static void
refuse (lt_request_t *request, lt_wait_verdict_t verdict)
{
  if (verdict == LT_WAIT_STOPPING)
    lt_request_refuse_stopping (request);
  else
    lt_request_refuse (request, LT_REFUSE_DEADLINE);
}

/* Moves REQUEST behind those whose last choice is older.  */
static void
move_to_end (lt_waiting_t *waiting, lt_request_t *request)
{
  DL_DELETE2 (waiting->requests, request, previous_waiting, /* NOLINT */
              next_waiting);
  DL_APPEND2 (waiting->requests, request, previous_waiting, next_waiting);
}

static void
check_request (lt_waiting_t *waiting, lt_request_t *request, int64_t now_us)
{
  /* A claim ends its wait at the deadline by itself: the response depends on
     the state of its record.  */
  bool claims = request->wait_place == LT_WAIT_CLAIM;
  lt_wait_state_t state
      = { .deadline_us = claims ? 0 : request->deadline_us,
          .caller_left = request->caller_disconnected,
          .may_be_cut = lt_node_may_cut (waiting->node, request->deadline_us),
          .may_have_run = request->byte_sent };
  if (request->dispatch != NULL)
    lt_dispatch_describe_wait (request->dispatch, &state);
  lt_wait_verdict_t verdict = lt_wait_decide (&state, now_us);
  if (verdict == LT_WAIT_CONTINUE
      || (verdict == LT_WAIT_CHOOSE_AGAIN && waiting->choices_left == 0))
    return;
  waiting->ended[verdict]->value++;
  if (verdict == LT_WAIT_CHOOSE_AGAIN)
    {
      waiting->choices_left--;
      move_to_end (waiting, request);
      lt_dispatch_choose_again (request->dispatch);
      return;
    }
  lt_log (LT_LOG_INFO, "waiting",
          "msg=\"request waits no longer\" request=%s place=%s cause=%s "
          "waited_ms=%lld",
          request->request_id, place_text (request->wait_place),
          lt_wait_verdict_text (verdict),
          (long long)((now_us - request->waiting_since_us) / LT_US_PER_MS));
  if (request->dispatch != NULL)
    lt_dispatch_end_wait (request->dispatch, verdict);
  else
    refuse (request, verdict);
}

/* A refusal may end other requests; lt_waiting_end then moves NEXT on.  */
static void
on_check (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  lt_waiting_t *waiting = timer->data;
  int64_t now_us = lt_node_now_us (waiting->node);
  waiting->next = waiting->requests;
  waiting->choices_left = CHOICES_PER_CHECK;
  while (waiting->next != NULL)
    {
      lt_request_t *request = waiting->next;
      waiting->next = request->next_waiting;
      check_request (waiting, request, now_us);
    }
  if (waiting->requests == NULL)
    ev_timer_stop (loop, timer);
}

void
lt_waiting_begin (lt_request_t *request, lt_wait_place_t place)
{
  lt_waiting_t *waiting = request->node->waiting;
  if (waiting == NULL || request->ended)
    return;
  if (request->wait_place != LT_WAIT_NOWHERE)
    waiting->gauges[request->wait_place]->value--;
  else
    {
      request->waiting_since_us = lt_node_now_us (waiting->node);
      DL_APPEND2 (waiting->requests, request, previous_waiting, next_waiting);
    }
  request->wait_place = place;
  waiting->gauges[place]->value++;
  if (!ev_is_active (&waiting->check))
    ev_timer_again (waiting->node->loop, &waiting->check);
}

void
lt_waiting_end (lt_request_t *request)
{
  lt_waiting_t *waiting = request->node->waiting;
  if (request->wait_place == LT_WAIT_NOWHERE)
    return;
  if (waiting->next == request)
    waiting->next = request->next_waiting;
  waiting->gauges[request->wait_place]->value--;
  request->wait_place = LT_WAIT_NOWHERE;
  DL_DELETE2 (waiting->requests, request, previous_waiting, /* NOLINT */
              next_waiting);
}

static void
create_metrics (lt_waiting_t *waiting)
{
  char labels[64];
  for (int i = LT_WAIT_NOWHERE + 1; i < LT_WAIT_PLACES; i++)
    {
      snprintf (labels, sizeof (labels), "place=\"%s\"",
                place_text ((lt_wait_place_t)i));
      waiting->gauges[i] = lt_metrics_gauge (
          waiting->node->metrics, "lavendertrack_waiting_requests",
          "Requests that wait before an upstream has them.", labels);
    }
  for (int i = LT_WAIT_CONTINUE + 1; i < LT_WAIT_VERDICTS; i++)
    {
      snprintf (labels, sizeof (labels), "cause=\"%s\"",
                lt_wait_verdict_text ((lt_wait_verdict_t)i));
      waiting->ended[i] = lt_metrics_counter (
          waiting->node->metrics, "lavendertrack_waiting_ended_total",
          "Waits that ended by the rule for waiting requests.", labels);
    }
}

void
lt_waiting_create (lt_node_t *node)
{
  lt_waiting_t *waiting = lt_alloc (sizeof (*waiting));
  waiting->node = node;
  ev_timer_init (&waiting->check, on_check, CHECK_INTERVAL_S,
                 CHECK_INTERVAL_S);
  waiting->check.data = waiting;
  create_metrics (waiting);
  node->waiting = waiting;
}

void
lt_waiting_destroy (lt_node_t *node)
{
  if (node->waiting == NULL)
    return;
  ev_timer_stop (node->loop, &node->waiting->check);
  free (node->waiting);
  node->waiting = NULL;
}
