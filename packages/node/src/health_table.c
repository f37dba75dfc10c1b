#include <stdlib.h>
#include <string.h>

#include "health_internal.h"
#include "lt/base/error.h"
#include "lt/base/log.h"

/* An aggregator confirms its copy of the record at this interval.  With 1,300
   services these are 433 of the 2,000 reads a second that the table allows. */
#define AGGREGATOR_READ_US 3000000LL
/* A VM whose copy the aggregator has not confirmed for this time reads the
   table itself, early enough for the propagation bound of 10 s.  */
#define FALLBACK_READ_US 6000000LL
#define READ_RETRY_US 1000000LL
#define IN_USE_US 30000000LL
#define IDLE_AGGREGATION_US 60000000LL
#define TIMEOUT_MS 1000
/* An entry for an upstream that this VM's configuration does not have may come
   from a newer configuration, which reaches this VM within 9 s.  If the
   upstream is still missing after this time, the entry comes from an older
   configuration and a write may drop it.  */
#define UNKNOWN_ENTRY_HOLD_US 30000000LL
#define ACTIONS_MAX 64

static void
broadcast_record (lt_health_controller_t *controller,
                  lt_health_service_t *service, int64_t now_us)
{
  if (controller->hooks.others == NULL)
    return;
  size_t cap = controller->hooks.others (controller->hooks.user, NULL, 0);
  str_t *ids = lt_alloc ((cap + 1) * sizeof (*ids));
  size_t count = controller->hooks.others (controller->hooks.user, ids, cap);
  lt_buf_t payload = { 0 };
  lt_health_service_encode_ejections (service, -1, now_us, &payload);
  for (size_t i = 0; i < count; i++)
    lt_node_send (controller->node, ids[i], LT_MESSAGE_EJECTIONS, 0,
                  lt_buf_str (&payload));
  lt_buf_destroy (&payload);
  free (ids);
}

static void
record_key (const lt_health_service_t *service, lt_buf_t *key)
{
  lt_buf_printf (key, "ejections/%.*s", STR_ARG (service->name));
}

static void
on_read (void *user, const lt_table_result_t *result)
{
  lt_health_pending_t *pending = user;
  lt_health_controller_t *controller = pending->controller;
  lt_health_service_t *service = NULL;
  if (controller != NULL)
    service = lt_health_controller_service (controller,
                                            str_from (pending->service));
  if (service != NULL)
    service->table_busy = false;
  if (service != NULL && result->outcome == LT_OUTCOME_DONE
      && result->count == 1)
    {
      const lt_table_item_t *item = &result->items[0];
      int64_t now_us = lt_node_now_us (controller->node);
      int error = 0;
      if (item->version > 0)
        error = lt_health_service_apply (service, item->version, item->value,
                                         now_us);
      if (error == 0 && service->confirmed_us < pending->sent_us)
        service->confirmed_us = pending->sent_us;
      if (error == -LT_EPROTO)
        lt_log (LT_LOG_ERROR, "health",
                "msg=\"malformed ejection record\" service=%s",
                pending->service);
    }
  lt_health_pending_destroy (pending);
}

static void
read_record (lt_health_controller_t *controller, lt_health_service_t *service,
             int64_t now_us)
{
  lt_buf_t key = { 0 };
  record_key (service, &key);
  lt_table_op_t op = { .kind = LT_TABLE_GET, .key = lt_buf_str (&key) };
  lt_table_t *table = controller->node->platform.table;
  lt_health_pending_t *pending
      = lt_health_pending_create (controller, service);
  service->last_table_call_us = now_us;
  service->table_busy = true;
  if (table->vtable->submit (table, &op, 1, TIMEOUT_MS, on_read, pending) != 0)
    {
      service->table_busy = false;
      lt_health_pending_destroy (pending);
    }
  lt_buf_destroy (&key);
}

void
lt_health_refresh_record (lt_health_controller_t *controller,
                          lt_health_service_t *service, int64_t now_us)
{
  bool in_use = now_us - service->last_attempt_us < IN_USE_US;
  bool aggregates = service->fleet != NULL;
  int64_t limit_us = aggregates ? AGGREGATOR_READ_US : FALLBACK_READ_US;
  if (service->table_busy || (!in_use && !aggregates)
      || now_us - service->confirmed_us < limit_us
      || now_us - service->last_table_call_us < READ_RETRY_US)
    return;
  read_record (controller, service, now_us);
}

static void
log_entry (const lt_health_service_t *service, const lt_ejection_t *entry)
{
  const lt_health_evidence_t *e = &entry->evidence;
  str_t name = lt_health_service_upstream (service, entry->upstream);
  bool ejected = entry->state == LT_EJECTION_EJECTED;
  lt_log (LT_LOG_WARN, "health",
          "msg=\"upstream %s\" service=%.*s upstream=%.*s reason=%s "
          "share=%.3f baseline=%.3f score=%.1f domains=%u hold_ms=%lld",
          ejected ? "ejected" : "returned", STR_ARG (service->name),
          STR_ARG (name), lt_health_stream_name (e->stream), e->share,
          e->baseline, e->score, e->domains,
          (long long)(entry->min_duration_us / LT_US_PER_MS));
}

static void
count_entry (lt_health_controller_t *controller, const lt_ejection_t *entry)
{
  if (entry->state == LT_EJECTION_EJECTED)
    controller->ejected->value++;
  else
    controller->returned->value++;
}

/* Applies a write that took effect, and sends the record to the other VMs.  */
static void
finish_write (lt_health_controller_t *controller, lt_health_service_t *service,
              const lt_health_pending_t *pending, int64_t now_us)
{
  const lt_ejection_record_t *next = &pending->next_record;
  for (uint32_t i = 0; i < next->count; i++)
    if (next->entries[i].since_version == next->version)
      {
        log_entry (service, &next->entries[i]);
        count_entry (controller, &next->entries[i]);
      }
  lt_ejection_view_apply (&service->view, next, now_us);
  service->confirmed_us = pending->sent_us;
  service->unknown = 0;
  service->dirty = true;
  broadcast_record (controller, service, now_us);
}

static void
on_written (void *user, const lt_table_result_t *result)
{
  lt_health_pending_t *pending = user;
  lt_health_controller_t *controller = pending->controller;
  lt_health_service_t *service = NULL;
  if (controller != NULL)
    service = lt_health_controller_service (controller,
                                            str_from (pending->service));
  if (service != NULL)
    {
      int64_t now_us = lt_node_now_us (controller->node);
      bool same = pending->upstreams_hash == service->upstreams_hash;
      service->table_busy = false;
      if (result->outcome == LT_OUTCOME_DONE && same)
        finish_write (controller, service, pending, now_us);
      else
        /* A refused write means that another VM wrote first; one with an
           unknown outcome may have taken effect.  Also, the upstreams may
           have changed since.  Reading the record gives the current state.
         */
        read_record (controller, service, now_us);
    }
  lt_health_pending_destroy (pending);
}

/* Writes NEXT on condition that the stored version is the one it was made
   from.  Takes ownership of NEXT's entries.  */
static void
write_record (lt_health_controller_t *controller, lt_health_service_t *service,
              lt_ejection_record_t *next, int64_t now_us)
{
  lt_buf_t key = { 0 };
  lt_buf_t value = { 0 };
  record_key (service, &key);
  lt_health_names_t names = lt_health_service_names (service);
  lt_health_record_encode (next, &names, &value);
  lt_table_op_t op = { .kind = LT_TABLE_PUT,
                       .key = lt_buf_str (&key),
                       .expected_version = next->version - 1,
                       .value = lt_buf_str (&value) };
  lt_table_t *table = controller->node->platform.table;
  lt_health_pending_t *pending
      = lt_health_pending_create (controller, service);
  pending->next_record = *next;
  pending->upstreams_hash = service->upstreams_hash;
  service->last_table_call_us = now_us;
  service->table_busy = true;
  if (table->vtable->submit (table, &op, 1, TIMEOUT_MS, on_written, pending)
      != 0)
    {
      service->table_busy = false;
      lt_health_pending_destroy (pending);
    }
  lt_buf_destroy (&key);
  lt_buf_destroy (&value);
}

static bool
may_write (const lt_health_service_t *service, int64_t now_us)
{
  if (service->table_busy || service->confirmed_us == 0)
    return false;
  return service->unknown == 0
         || now_us - service->unknown_since_us > UNKNOWN_ENTRY_HOLD_US;
}

static void
change_record (lt_health_controller_t *controller,
               lt_health_service_t *service, const lt_health_action_t *action,
               int64_t now_us)
{
  lt_ejection_record_t next = { 0 };
  int64_t wall_us = lt_clock_wall_us (controller->node->clock);
  int error;
  if (!may_write (service, now_us))
    return;
  if (action->kind == LT_HEALTH_RETURN)
    error = lt_ejection_return (&service->view, action->upstream, wall_us,
                                &next);
  else
    error = lt_ejection_add (&service->view, &service->pool, action->upstream,
                             &action->evidence, now_us, wall_us, &next);
  if (error == 0)
    write_record (controller, service, &next, now_us);
  else if (error == -LT_EUNAVAILABLE)
    controller->refused->value++;
}

void
lt_health_run_aggregation (lt_health_controller_t *controller,
                           lt_health_service_t *service, int64_t now_us)
{
  lt_health_action_t actions[ACTIONS_MAX];
  if (service->fleet == NULL)
    return;
  if (now_us - service->evidence_received_us > IDLE_AGGREGATION_US)
    {
      lt_health_service_end_aggregation (service);
      return;
    }
  uint32_t count = lt_health_fleet_tick (service->fleet, &service->view,
                                         now_us, actions, ACTIONS_MAX);
  for (uint32_t i = 0; i < count; i++)
    if (actions[i].kind == LT_HEALTH_PROBE)
      lt_health_start_probe (controller, service, actions[i].upstream, true,
                             now_us);
    else
      change_record (controller, service, &actions[i], now_us);
}
