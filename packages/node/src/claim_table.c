#include "claim_table.h"

#include <ev.h>
#include <stdlib.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/policy/claim_batch.h"

enum
{
  TRANSACTION_OPS_MAX = 100,
  CALL_TIMEOUT_MS = 1000
};

typedef struct call call_t;

struct claim_table
{
  struct ev_loop *loop;
  lt_table_t *table;
  lt_claim_batch_t *batch;
  lt_counter_t *writes;
  lt_counter_t *items;
  call_t *calls;      /* Calls without a result. */
  int platform_calls; /* Submitted to the platform and not completed. */
  bool destroyed;
};

struct call
{
  call_t *prev;
  call_t *next;
  claim_table_t *table;
  claim_call_t params;
  lt_buf_t bytes; /* The key followed by the value. */
  ev_timer delay;
  bool submitted; /* Passed to the platform, which has not completed it. */
};

typedef struct transaction
{
  claim_table_t *table;
  size_t count;
  lt_claim_batch_op_t ops[TRANSACTION_OPS_MAX];
} transaction_t;

static void flush (claim_table_t *table);

static void
call_unlink (call_t *call)
{
  claim_table_t *table = call->table;
  if (call->prev != NULL)
    call->prev->next = call->next;
  else
    table->calls = call->next;
  if (call->next != NULL)
    call->next->prev = call->prev;
}

static void
call_free (call_t *call)
{
  ev_timer_stop (call->table->loop, &call->delay);
  call_unlink (call);
  lt_buf_destroy (&call->bytes);
  free (call);
}

static void
call_report (call_t *call, lt_claim_table_result_t outcome,
             const lt_table_item_t *item)
{
  claim_call_t params = call->params;
  if (item == NULL)
    {
      call_free (call);
      params.done (params.user, params.kind, outcome, NULL);
      return;
    }
  params.done (params.user, params.kind, outcome, item);
  call_free (call);
}

static lt_claim_table_result_t
claim_result (const lt_table_result_t *result)
{
  if (result->outcome == LT_OUTCOME_DONE)
    return LT_CLAIM_TABLE_DONE;
  if (result->outcome == LT_OUTCOME_REFUSED)
    return LT_CLAIM_TABLE_CONDITION_FAILED;
  return result->error == -LT_EUNAVAILABLE ? LT_CLAIM_TABLE_NOT_ACCEPTED
                                           : LT_CLAIM_TABLE_UNKNOWN;
}

/* Counts a completion of the platform.  Returns true when TABLE has been
   destroyed, so that the completion must not use it; the last completion frees
   it.  */
static bool
end_platform_call (claim_table_t *table)
{
  table->platform_calls--;
  if (!table->destroyed)
    return false;
  if (table->platform_calls == 0)
    free (table);
  return true;
}

static void
on_read (void *user, const lt_table_result_t *result)
{
  call_t *call = user;
  claim_table_t *table = call->table;
  if (table->destroyed)
    call_free (call);
  if (end_platform_call (table))
    return;
  bool read = result->outcome == LT_OUTCOME_DONE && result->count == 1;
  call_report (call, claim_result (result), read ? &result->items[0] : NULL);
}

static void
transaction_free_with_calls (transaction_t *t)
{
  for (size_t i = 0; i < t->count; i++)
    call_free (t->ops[i].user);
  free (t);
}

static void
on_written (void *user, const lt_table_result_t *result)
{
  transaction_t *t = user;
  claim_table_t *table = t->table;
  if (table->destroyed)
    transaction_free_with_calls (t);
  if (end_platform_call (table))
    return;
  bool refused
      = result->outcome == LT_OUTCOME_REFUSED && result->failed_op < t->count;
  for (size_t i = 0; i < t->count; i++)
    ((call_t *)t->ops[i].user)->submitted = false;
  if (refused)
    {
      lt_claim_batch_requeue (table->batch, t->ops, t->count,
                              result->failed_op);
      call_report (t->ops[result->failed_op].user,
                   LT_CLAIM_TABLE_CONDITION_FAILED, NULL);
    }
  else
    {
      lt_claim_batch_complete (table->batch);
      for (size_t i = 0; i < t->count; i++)
        call_report (t->ops[i].user, claim_result (result), NULL);
    }
  free (t);
  flush (table);
}

static lt_table_op_t
make_op (const call_t *call)
{
  const claim_call_t *params = &call->params;
  lt_table_op_t op = { .kind = LT_TABLE_PUT,
                       .key = params->key,
                       .expected_version = params->version,
                       .value = params->value,
                       .expires_wall_s = params->expires_wall_s };
  if (params->kind == LT_CLAIM_ACTION_READ)
    op.kind = LT_TABLE_GET;
  else if (params->kind == LT_CLAIM_ACTION_RELEASE)
    op.kind = LT_TABLE_DELETE;
  else if (params->kind == LT_CLAIM_ACTION_INSERT)
    {
      op.expected_version = LT_VERSION_ABSENT;
      op.new_version = params->version;
    }
  return op;
}

static void
submit_transaction (claim_table_t *table, transaction_t *t)
{
  lt_table_op_t ops[TRANSACTION_OPS_MAX];
  for (size_t i = 0; i < t->count; i++)
    {
      call_t *call = t->ops[i].user;
      call->submitted = true;
      ops[i] = make_op (call);
    }
  table->writes->value++;
  table->items->value += t->count;
  table->platform_calls++;
  if (table->table->vtable->submit (table->table, ops, t->count,
                                    CALL_TIMEOUT_MS, on_written, t)
      != 0)
    on_written (t, &(lt_table_result_t){ .outcome = LT_OUTCOME_UNKNOWN,
                                         .error = -LT_EUNAVAILABLE });
}

static void
flush (claim_table_t *table)
{
  while (lt_claim_batch_queued (table->batch) > 0)
    {
      transaction_t *t = lt_alloc (sizeof (*t));
      t->table = table;
      t->count = lt_claim_batch_start (table->batch, t->ops);
      if (t->count == 0)
        {
          free (t);
          return;
        }
      submit_transaction (table, t);
    }
}

static void
submit_read (call_t *call)
{
  claim_table_t *table = call->table;
  lt_table_op_t op = make_op (call);
  call->submitted = true;
  table->platform_calls++;
  if (table->table->vtable->submit (table->table, &op, 1, CALL_TIMEOUT_MS,
                                    on_read, call)
      != 0)
    on_read (call, &(lt_table_result_t){ .outcome = LT_OUTCOME_UNKNOWN,
                                         .error = -LT_EUNAVAILABLE });
}

static void
on_delay_elapsed (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  call_t *call = timer->data;
  claim_table_t *table = call->table;
  if (call->params.kind == LT_CLAIM_ACTION_READ)
    {
      submit_read (call);
      return;
    }
  lt_claim_batch_op_t op = { .key = lt_hash64 (call->params.key),
                             .bytes = call->bytes.len,
                             .user = call };
  if (lt_claim_batch_add (table->batch, &op) != 0)
    {
      call_report (call, LT_CLAIM_TABLE_NOT_ACCEPTED, NULL);
      return;
    }
  flush (table);
}

claim_table_t *
claim_table_create (struct ev_loop *loop, lt_table_t *table,
                    lt_metrics_t *metrics)
{
  claim_table_t *self = lt_alloc (sizeof (*self));
  lt_claim_batch_options_t options = LT_CLAIM_BATCH_OPTIONS_DEFAULT;
  options.ops_max = TRANSACTION_OPS_MAX;
  self->loop = loop;
  self->table = table;
  self->batch = lt_claim_batch_create (&options);
  self->writes
      = lt_metrics_counter (metrics, "lavendertrack_claim_writes_total",
                            "Table writes of claims.", "");
  self->items
      = lt_metrics_counter (metrics, "lavendertrack_claim_write_items_total",
                            "Records in table writes of claims.", "");
  return self;
}

/* Calls that the platform has not completed are freed by their completions,
   TABLE by the last of them.  */
void
claim_table_destroy (claim_table_t *table)
{
  if (table == NULL)
    return;
  lt_claim_batch_destroy (table->batch);
  table->batch = NULL;
  table->destroyed = true;
  call_t *call = table->calls;
  while (call != NULL)
    {
      call_t *next = call->next;
      if (!call->submitted)
        call_free (call);
      call = next;
    }
  if (table->platform_calls == 0)
    free (table);
}

void
claim_table_submit (claim_table_t *table, const claim_call_t *params)
{
  call_t *call = lt_alloc (sizeof (*call));
  call->table = table;
  call->params = *params;
  lt_buf_append_str (&call->bytes, params->key);
  lt_buf_append_str (&call->bytes, params->value);
  call->params.key = str_make (call->bytes.data, params->key.len);
  call->params.value
      = str_make (call->bytes.data + params->key.len, params->value.len);
  call->next = table->calls;
  if (call->next != NULL)
    call->next->prev = call;
  table->calls = call;
  ev_timer_init (&call->delay, on_delay_elapsed,
                 (double)params->delay_us / LT_US_PER_S, 0.0);
  call->delay.data = call;
  if (params->delay_us > 0)
    ev_timer_start (table->loop, &call->delay);
  else
    ev_feed_event (table->loop, &call->delay, EV_TIMER);
}

size_t
claim_table_queued_writes (const claim_table_t *table)
{
  return lt_claim_batch_queued (table->batch);
}
