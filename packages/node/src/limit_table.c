#include "limit_controller_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "limit_codec.h"
#include "lt/base/log.h"
#include "lt/base/str.h"

#define TABLE_TIMEOUT_MS 1000

static void
read_done (lt_limit_controller_t *controller, lt_limit_home_t *home,
           const lt_table_result_t *result, int64_t now_us,
           lt_limit_actions_t *actions)
{
  lt_limit_record_t record = { 0 };
  lt_limit_outcome_t outcome = LT_LIMIT_UNKNOWN;
  if (result->outcome == LT_OUTCOME_DONE && result->count == 1)
    {
      const lt_table_item_t *item = &result->items[0];
      outcome = LT_LIMIT_DONE;
      record.version = item->version;
      if (item->version > 0
          && lt_limit_record_decode (item->value, &record) != 0)
        {
          /* Shares must not be granted while their record is unreadable. */
          lt_log (LT_LOG_ERROR, "limit",
                  "msg=\"malformed rate limit record\" key=%.*s",
                  STR_ARG (item->key));
          outcome = LT_LIMIT_UNKNOWN;
        }
    }
  if (outcome != LT_LIMIT_DONE)
    lt_limit_controller_count (controller, LT_LIMIT_COUNT_TABLE_FAILED);
  lt_limit_home_read_done (home, outcome, &record, now_us, actions);
  lt_limit_record_destroy (&record);
}

static void
on_table (void *user, const lt_table_result_t *result)
{
  lt_limit_table_call_t *call = user;
  lt_limit_controller_t *controller = call->controller;
  uint32_t group = call->group;
  bool write = call->write;
  if (controller != NULL)
    {
      call->prev->next = call->next;
      call->next->prev = call->prev;
    }
  free (call);
  if (controller == NULL || controller->groups[group].home == NULL)
    return;
  lt_limit_home_t *home = controller->groups[group].home;
  int64_t now_us = lt_node_now_us (controller->base.node);
  lt_limit_actions_t actions = { 0 };
  if (!write)
    read_done (controller, home, result, now_us, &actions);
  else
    {
      lt_limit_outcome_t outcome
          = result->outcome == LT_OUTCOME_DONE      ? LT_LIMIT_DONE
            : result->outcome == LT_OUTCOME_REFUSED ? LT_LIMIT_CONFLICT
                                                    : LT_LIMIT_UNKNOWN;
      if (outcome != LT_LIMIT_DONE)
        lt_limit_controller_count (controller, LT_LIMIT_COUNT_TABLE_FAILED);
      lt_limit_home_write_done (home, outcome, now_us, &actions);
    }
  lt_limit_home_tick (home, now_us, &actions);
  lt_limit_controller_execute (controller, &actions, now_us);
}

void
lt_limit_controller_call_table (lt_limit_controller_t *controller,
                                const lt_limit_action_t *action)
{
  char key[32];
  snprintf (key, sizeof (key), "limits/%u", action->group);
  lt_buf_t value = { 0 };
  lt_table_op_t op = { .kind = LT_TABLE_GET, .key = str_from (key) };
  bool write = action->type == LT_LIMIT_WRITE;
  if (write)
    {
      lt_limit_record_encode (
          lt_limit_home_draft (controller->groups[action->group].home),
          &value);
      op.kind = LT_TABLE_PUT;
      op.expected_version = action->expected_version;
      op.value = lt_buf_str (&value);
    }
  lt_limit_table_call_t *call = lt_alloc (sizeof (*call));
  call->controller = controller;
  call->group = action->group;
  call->write = write;
  call->prev = &controller->calls;
  call->next = controller->calls.next;
  call->next->prev = call;
  controller->calls.next = call;
  lt_limit_controller_count (controller, write ? LT_LIMIT_COUNT_WRITTEN
                                               : LT_LIMIT_COUNT_READ);
  lt_table_t *table = controller->base.node->platform.table;
  if (table->vtable->submit (table, &op, 1, TABLE_TIMEOUT_MS, on_table, call)
      != 0)
    {
      lt_table_result_t failed = { .outcome = LT_OUTCOME_UNKNOWN };
      on_table (call, &failed);
    }
  lt_buf_destroy (&value);
}
