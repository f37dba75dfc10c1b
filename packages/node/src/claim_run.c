#include <stdlib.h>

#include "claim_internal.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "waiting.h"

enum
{
  /* Longest time for which a response is delayed until its record is written.
     Bounded because a prompt response matters more than the record, which is
     needed only if the caller repeats the request.  */
  RESPONSE_WAIT_MS = 250,
  SECONDS_PER_DAY = 86400
};

static lt_node_t *
run_node (const lt_claim_run_t *run)
{
  return run->controller->base.node;
}

static void
count_event (const lt_claim_run_t *run, count_t which)
{
  run->controller->counts[which]->value++;
}

void
lt_claim_run_free (lt_claim_run_t *run)
{
  lt_claim_controller_t *controller = run->controller;
  struct ev_loop *loop = controller->base.node->loop;
  ev_timer_stop (loop, &run->claim_timer);
  ev_timer_stop (loop, &run->response_timer);
  if (run->prev != NULL)
    run->prev->next = run->next;
  else
    controller->runs = run->next;
  if (run->next != NULL)
    run->next->prev = run->prev;
  lt_buf_destroy (&run->content_type);
  lt_buf_destroy (&run->body);
  free (run);
}

/* An action can end the request, which raises further events while the first
   is still being handled; RUN is freed only when the outermost has been
   handled.  */
static void
run_enter (lt_claim_run_t *run)
{
  run->event_depth++;
}

static void
run_leave (lt_claim_run_t *run)
{
  run->event_depth--;
  if (run->event_depth == 0 && run->finished && run->pending_calls == 0
      && run->request == NULL)
    lt_claim_run_free (run);
}

/* Resumes the request if its response is waiting for the record.  */
static void
resume_response (lt_claim_run_t *run)
{
  if (!run->response_waiting)
    return;
  run->response_waiting = false;
  ev_timer_stop (run_node (run)->loop, &run->response_timer);
  lt_request_resume (run->request);
}

static lt_claim_event_kind_t
result_event (lt_claim_action_kind_t kind)
{
  switch (kind)
    {
    case LT_CLAIM_ACTION_INSERT:
      return LT_CLAIM_EVENT_INSERT_RESULT;
    case LT_CLAIM_ACTION_READ:
      return LT_CLAIM_EVENT_READ_RESULT;
    case LT_CLAIM_ACTION_RELEASE:
      return LT_CLAIM_EVENT_RELEASE_RESULT;
    default:
      return LT_CLAIM_EVENT_RECORD_RESULT;
    }
}

static void
on_table_result (void *user, lt_claim_action_kind_t kind,
                 lt_claim_table_result_t outcome, const lt_table_item_t *item)
{
  lt_claim_run_t *run = user;
  lt_claim_record_t found = { 0 };
  bool exists = item != NULL && item->version != LT_VERSION_ABSENT;
  run->pending_calls--;
  if (exists && lt_claim_record_decode (item->value, &found) != 0)
    {
      /* State 0 makes the reply outcome-unknown; the action is not run.  */
      found = (lt_claim_record_t){ 0 };
      count_event (run, COUNT_DAMAGED);
      lt_log (LT_LOG_ERROR, "claim", "msg=\"damaged record\" key=%s",
              run->key);
    }
  bool recorded = result_event (kind) == LT_CLAIM_EVENT_RECORD_RESULT;
  if (recorded && outcome != LT_CLAIM_TABLE_DONE)
    count_event (run, COUNT_RECORD_UNKNOWN);
  run_enter (run);
  lt_claim_run_event (run, result_event (kind), outcome,
                      exists ? &found : NULL);
  if (recorded)
    resume_response (run);
  run_leave (run);
}

static int64_t
expiry_wall_s (const lt_node_t *node)
{
  int64_t days = node->settings->claim_retention_days;
  if (days <= 0)
    return 0;
  return lt_clock_wall_us (node->clock) / LT_US_PER_S + days * SECONDS_PER_DAY;
}

static lt_claim_record_state_t
record_state (lt_claim_action_kind_t kind)
{
  if (kind == LT_CLAIM_ACTION_RECORD_RESPONSE)
    return LT_CLAIM_RECORD_COMPLETED;
  return kind == LT_CLAIM_ACTION_RECORD_NO_RESPONSE
             ? LT_CLAIM_RECORD_NO_RESPONSE
             : LT_CLAIM_RECORD_CLAIMED;
}

static void
call_table (lt_claim_run_t *run, const lt_claim_action_t *action)
{
  lt_buf_t value = { 0 };
  bool writes = action->kind != LT_CLAIM_ACTION_READ
                && action->kind != LT_CLAIM_ACTION_RELEASE;
  if (writes)
    {
      run->record.state = record_state (action->kind);
      lt_claim_record_encode (&run->record, &value);
    }
  claim_call_t call
      = { .kind = action->kind,
          .key = str_from (run->key),
          .version = lt_claim_attempt_version (&run->claim.options.attempt),
          .value = lt_buf_str (&value),
          .expires_wall_s = writes ? expiry_wall_s (run_node (run)) : 0,
          .delay_us = action->delay_us,
          .done = on_table_result,
          .user = run };
  run->pending_calls++;
  claim_table_submit (run->controller->table, &call);
  lt_buf_destroy (&value);
}

static void
reply_recorded (lt_claim_run_t *run)
{
  lt_request_t *request = run->request;
  const lt_claim_record_t *found = run->found;
  if (found == NULL || !found->body_kept)
    {
      lt_request_refuse (request, LT_REFUSE_OUTCOME_UNKNOWN);
      return;
    }
  lt_response_t *response = &request->response;
  count_event (run, COUNT_REPLAYED);
  response->status = found->status;
  if (found->content_type.len > 0)
    lt_header_list_add (&response->headers, STR_LIT ("Content-Type"),
                        found->content_type);
  lt_header_list_add (&response->headers, request->node->dialect->run_state,
                      str_from (lt_run_state_text (LT_RUN_STATE_RAN)));
  lt_buf_append_str (&response->body, found->body);
  lt_request_response_ready (request);
}

static void
reply (lt_claim_run_t *run, const lt_claim_action_t *action)
{
  static const struct
  {
    lt_refusal_t refusal;
    count_t count;
  } refusals[LT_CLAIM_REPLIES] = {
    [LT_CLAIM_REPLY_IN_PROGRESS]
    = { LT_REFUSE_IN_PROGRESS, COUNT_IN_PROGRESS },
    [LT_CLAIM_REPLY_OUTCOME_UNKNOWN]
    = { LT_REFUSE_OUTCOME_UNKNOWN, COUNT_OUTCOME_UNKNOWN },
    [LT_CLAIM_REPLY_KEY_REUSED] = { LT_REFUSE_KEY_REUSED, COUNT_KEY_REUSED },
    [LT_CLAIM_REPLY_UNAVAILABLE]
    = { LT_REFUSE_CLAIM_UNAVAILABLE, COUNT_UNAVAILABLE },
    [LT_CLAIM_REPLY_DEADLINE] = { LT_REFUSE_DEADLINE, COUNTS },
  };
  if (run->request == NULL)
    return;
  if (action->reply == LT_CLAIM_REPLY_RECORDED)
    {
      reply_recorded (run);
      return;
    }
  if (action->reply == LT_CLAIM_REPLY_DISPATCH)
    {
      if (run->refusal_deferred)
        lt_request_refuse (run->request, run->deferred_refusal);
      return;
    }
  if (refusals[action->reply].count != COUNTS)
    count_event (run, refusals[action->reply].count);
  lt_request_refuse (run->request, refusals[action->reply].refusal);
}

static void
perform_action (lt_claim_run_t *run, const lt_claim_action_t *action)
{
  switch (action->kind)
    {
    case LT_CLAIM_ACTION_SEND:
      count_event (run, COUNT_CLAIMED);
      lt_request_resume (run->request);
      return;
    case LT_CLAIM_ACTION_REPLY:
      reply (run, action);
      return;
    case LT_CLAIM_ACTION_FINISHED:
      run->finished = true;
      return;
    case LT_CLAIM_ACTION_PERMIT:
      count_event (run, COUNT_SENT);
      return;
    case LT_CLAIM_ACTION_CANCEL:
      /* The reply that follows ends the request and its dispatch.  */
      return;
    case LT_CLAIM_ACTION_RELEASE:
      count_event (run, COUNT_RELEASED);
      break;
    case LT_CLAIM_ACTION_RECORD_RESPONSE:
      count_event (run, COUNT_RECORDED);
      break;
    case LT_CLAIM_ACTION_RECORD_NO_RESPONSE:
      count_event (run, COUNT_RECORDED_NO_RESPONSE);
      break;
    case LT_CLAIM_ACTION_INSERT:
    case LT_CLAIM_ACTION_READ:
      break;
    }
  call_table (run, action);
}

static void
arm_claim_timer (lt_claim_run_t *run)
{
  struct ev_loop *loop = run_node (run)->loop;
  int64_t next_us = lt_claim_timer_us (&run->claim);
  ev_timer_stop (loop, &run->claim_timer);
  if (next_us == INT64_MAX)
    return;
  int64_t left_us = next_us - lt_node_now_us (run_node (run));
  ev_timer_set (&run->claim_timer,
                left_us > 0 ? (double)left_us / LT_US_PER_S : 0.0, 0.0);
  ev_timer_start (loop, &run->claim_timer);
}

void
lt_claim_run_event (lt_claim_run_t *run, lt_claim_event_kind_t kind,
                    lt_claim_table_result_t outcome,
                    const lt_claim_record_t *found)
{
  lt_node_t *node = run_node (run);
  lt_claim_event_t event
      = { .kind = kind, .outcome = outcome, .record = found };
  lt_claim_actions_t actions
      = lt_claim_step (&run->claim, &event, lt_node_now_us (node),
                       lt_clock_wall_us (node->clock));
  run_enter (run);
  run->found = found;
  for (size_t i = 0; i < actions.count; i++)
    perform_action (run, &actions.items[i]);
  run->found = NULL;
  arm_claim_timer (run);
  run_leave (run);
}

static void
on_claim_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  lt_claim_run_event (timer->data, LT_CLAIM_EVENT_TIMER, LT_CLAIM_TABLE_DONE,
                      NULL);
}

static void
on_response_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  lt_claim_run_t *run = timer->data;
  run_enter (run);
  resume_response (run);
  run_leave (run);
}

static lt_claim_options_t
make_options (lt_claim_controller_t *controller, const lt_request_t *request)
{
  lt_node_t *node = controller->base.node;
  lt_claim_options_t options = LT_CLAIM_OPTIONS_DEFAULT;
  /* Cannot fail: the settings limit the length of the VM id.  */
  if (lt_claim_attempt_make (node->settings->vm_id, node->incarnation,
                             ++controller->sequence, &options.attempt)
      != 0)
    abort ();
  lt_buf_t target = { 0 };
  lt_buf_append_str (&target, str_from (request->path));
  lt_buf_append (&target, "?", 1);
  lt_buf_append_str (&target, str_from (request->query));
  options.fingerprint
      = lt_claim_fingerprint (str_from (request->method), lt_buf_str (&target),
                              lt_buf_str (&request->body));
  lt_buf_destroy (&target);
  options.deadline_us = request->deadline_us;
  return options;
}

lt_claim_run_t *
lt_claim_controller_begin (lt_claim_controller_t *controller,
                           lt_request_t *request, int slot,
                           str_t idempotency_key)
{
  lt_node_t *node = controller->base.node;
  controller->slot = slot;
  lt_claim_run_t *run = lt_alloc (sizeof (*run));
  lt_claim_options_t options = make_options (controller, request);
  run->controller = controller;
  run->request = request;
  lt_claim_init (&run->claim, &options);
  str_t workspace = { 0 };
  if (request->workspace != LT_NO_INDEX)
    workspace = request->snapshot->workspaces[request->workspace].name;
  lt_claim_key (workspace, request->route->name, idempotency_key, run->key);
  int64_t left_us = request->deadline_us - lt_node_now_us (node);
  run->record = (lt_claim_record_t){
    .attempt = options.attempt,
    .fingerprint = options.fingerprint,
    .deadline_wall_us = lt_clock_wall_us (node->clock) + left_us,
  };
  ev_timer_init (&run->claim_timer, on_claim_timer, 0.0, 0.0);
  ev_timer_init (&run->response_timer, on_response_timeout,
                 RESPONSE_WAIT_MS / 1e3, 0.0);
  run->claim_timer.data = run;
  run->response_timer.data = run;
  run->next = controller->runs;
  if (run->next != NULL)
    run->next->prev = run;
  controller->runs = run;
  lt_waiting_begin (request, LT_WAIT_CLAIM);
  lt_claim_run_event (run, LT_CLAIM_EVENT_START, LT_CLAIM_TABLE_DONE, NULL);
  return run;
}

/* Copies the response into the record, which is returned to repeats of the
   request.  The body is copied only if BODY_KEPT is set and the body is at
   most LT_CLAIM_BODY_MAX_BYTES long.  */
static void
fill_record (lt_claim_run_t *run, bool body_kept)
{
  const lt_response_t *response = &run->request->response;
  lt_claim_record_t *record = &run->record;
  record->status = (uint16_t)response->status;
  lt_buf_append_str (
      &run->content_type,
      lt_header_list_get (&response->headers, STR_LIT ("Content-Type")));
  record->content_type = lt_buf_str (&run->content_type);
  record->body_kept
      = body_kept && response->body.len <= LT_CLAIM_BODY_MAX_BYTES;
  if (!record->body_kept)
    return;
  lt_buf_append_str (&run->body, lt_buf_str (&response->body));
  record->body = lt_buf_str (&run->body);
}

lt_filter_result_t
lt_claim_run_on_response (lt_claim_run_t *run)
{
  if (run->claim.state != LT_CLAIM_STATE_SENT)
    return LT_FILTER_CONTINUE;
  fill_record (run, true);
  run->response_waiting = true;
  ev_timer_start (run_node (run)->loop, &run->response_timer);
  lt_claim_run_event (run, LT_CLAIM_EVENT_RESPONSE, LT_CLAIM_TABLE_DONE, NULL);
  return LT_FILTER_WAIT;
}

void
lt_claim_run_detach (lt_claim_run_t *run)
{
  const lt_request_t *request = run->request;
  lt_claim_event_kind_t kind = LT_CLAIM_EVENT_CANCELLED;
  if (run->claim.state == LT_CLAIM_STATE_SENT)
    {
      /* Large responses are streamed, so the body is not available here.  */
      bool has_response = request->response.complete && !request->refused;
      if (has_response)
        fill_record (run, false);
      kind = has_response ? LT_CLAIM_EVENT_RESPONSE : LT_CLAIM_EVENT_FAILED;
    }
  else if (run->claim.state == LT_CLAIM_STATE_CLAIMED && request->refused)
    kind = LT_CLAIM_EVENT_NOT_SENT;
  run->request = NULL;
  run->response_waiting = false;
  ev_timer_stop (run_node (run)->loop, &run->response_timer);
  lt_claim_run_event (run, kind, LT_CLAIM_TABLE_DONE, NULL);
}

static lt_claim_run_t *
find_run (const lt_request_t *request)
{
  const lt_claim_controller_t *controller = request->node->claim_controller;
  if (controller == NULL)
    return NULL;
  return request->filter_state[controller->slot];
}

bool
lt_claim_permits (lt_request_t *request)
{
  if (request->route->action != LT_ACTION_NEVER_REPEAT)
    return true;
  if (request->node->claim_controller == NULL)
    return false;
  lt_claim_run_t *run = find_run (request);
  /* After the deadline, the claim timer replies and releases the claim.  */
  bool claimed = run != NULL && run->claim.state == LT_CLAIM_STATE_CLAIMED
                 && lt_node_now_us (request->node) < request->deadline_us;
  if (!claimed)
    {
      request->node->claim_controller->counts[COUNT_NOT_PERMITTED]->value++;
      return false;
    }
  lt_claim_run_event (run, LT_CLAIM_EVENT_FIRST_BYTE, LT_CLAIM_TABLE_DONE,
                      NULL);
  return run->claim.state == LT_CLAIM_STATE_SENT;
}

bool
lt_claim_defers_refusal (lt_request_t *request, lt_refusal_t refusal)
{
  if (request->route == NULL
      || request->route->action != LT_ACTION_NEVER_REPEAT)
    return false;
  lt_claim_run_t *run = find_run (request);
  if (run == NULL || run->claim.state != LT_CLAIM_STATE_CLAIMED)
    return false;
  run->refusal_deferred = true;
  run->deferred_refusal = refusal;
  lt_claim_run_event (run, LT_CLAIM_EVENT_NOT_SENT, LT_CLAIM_TABLE_DONE, NULL);
  return true;
}
