#include "lt/node/config_controller.h"

#include <jansson.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "config_internal.h"
#include "heartbeat.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/policy/freshness.h"
#include "lt/policy/membership.h"
#include "lt/wire/frame.h"

enum
{
  GOSSIP_PEERS = 4,
  VM_MAX = 8192
};

/* The entry of a VM that has not reported for this long may be reused.  */
static const int64_t vm_retention_us = 600000000;

/* The encoded snapshot is kept this long after its last use: at the target
   size it is 7 MB, and encoding it takes 12 ms.  */
static const int64_t encoded_retention_us = 30000000;

config_call_t *
lt_config_call_begin (lt_config_controller_t *c, uint64_t id)
{
  config_call_t *call = lt_alloc (sizeof (*call));
  call->controller = c;
  call->id = id;
  DL_APPEND (c->calls, call);
  return call;
}

lt_config_controller_t *
lt_config_call_end (config_call_t *call)
{
  lt_config_controller_t *c = call->controller;
  if (c != NULL)
    DL_DELETE (c->calls, call);
  free (call);
  return c;
}

void
lt_config_store_head (lt_config_controller_t *c, int64_t version,
                      const config_record_t *record)
{
  if (version <= c->head_version)
    return;
  c->head_version = version;
  c->head = *record;
}

static void
on_head_read (void *user, const lt_table_result_t *result)
{
  config_call_t *call = user;
  uint64_t read_id = call->id;
  lt_config_controller_t *c = lt_config_call_end (call);
  if (c == NULL)
    return;
  config_record_t record;
  int64_t version = 0;
  bool failed = result->outcome != LT_OUTCOME_DONE || result->count != 1;
  if (!failed)
    version = result->items[0].version;
  if (version > 0)
    {
      failed = lt_config_record_decode (result->items[0].value, &record) != 0;
      if (!failed)
        lt_config_store_head (c, version, &record);
    }
  c->reads->value++;
  if (failed)
    c->read_failures->value++;
  lt_freshness_on_read (c->freshness, lt_node_now_us (c->base.node), read_id,
                        failed, version);
  lt_config_run_actions (c);
}

static void
read_store (lt_config_controller_t *c, uint64_t read_id)
{
  lt_table_t *table = c->base.node->platform.table;
  lt_table_op_t op = { .kind = LT_TABLE_GET, .key = CONFIG_HEAD_KEY };
  config_call_t *call = lt_config_call_begin (c, read_id);
  if (table->vtable->submit (table, &op, 1, CONFIG_READ_TIMEOUT_MS,
                             on_head_read, call)
      != 0)
    lt_config_call_end (call);
}

static void
send_gossip (lt_node_t *node)
{
  str_t ids[GOSSIP_PEERS];
  if (node->membership == NULL)
    return;
  size_t count
      = lt_membership_random_live (node->membership, ids, GOSSIP_PEERS);
  for (size_t i = 0; i < count; i++)
    lt_heartbeat_send_request (node, ids[i], 0);
}

void
lt_config_run_actions (lt_config_controller_t *c)
{
  lt_freshness_action_t action;
  while (lt_freshness_next_action (c->freshness, &action))
    switch (action.type)
      {
      case LT_FRESHNESS_READ_STORE:
        read_store (c, action.read_id);
        break;
      case LT_FRESHNESS_FETCH:
        lt_config_fetch_start (c, action.peer, action.version);
        break;
      case LT_FRESHNESS_ANSWER:
        lt_heartbeat_send_response (c->base.node, action.peer);
        break;
      case LT_FRESHNESS_ANNOUNCE:
        lt_heartbeat_send_request (c->base.node, action.peer, 0);
        break;
      case LT_FRESHNESS_GOSSIP:
        send_gossip (c->base.node);
        break;
      }
}

void
lt_config_encode (lt_config_controller_t *c)
{
  lt_node_t *node = c->base.node;
  c->encoded_used_us = lt_node_now_us (node);
  if (c->encoded.len == 0 && node->config != NULL)
    lt_snapshot_encode (node->config->snapshot, &c->encoded);
}

int
lt_config_install (lt_config_controller_t *c, str_t bytes)
{
  lt_snapshot_t *snapshot = NULL;
  int error = lt_snapshot_decode (bytes, &snapshot);
  if (error != 0)
    return error;
  int64_t version = snapshot->version;
  error = lt_node_install_snapshot (c->base.node, snapshot);
  if (error != 0)
    return error;
  lt_buf_destroy (&c->encoded);
  c->encoded_version = version;
  /* Decoding leaves several megabytes of free heap; return them.  */
  malloc_trim (0);
  lt_log (LT_LOG_INFO, "config", "msg=\"snapshot in force\" version=%lld",
          (long long)version);
  lt_freshness_on_applied (c->freshness, lt_node_now_us (c->base.node),
                           version);
  return 0;
}

/* Also called for snapshots that were installed by other code.  */
static void
controller_on_config (lt_controller_t *controller, const lt_snapshot_t *old,
                      const lt_snapshot_t *current, int64_t now_us)
{
  (void)old;
  lt_config_controller_t *c = (lt_config_controller_t *)controller;
  if (current->version <= c->encoded_version)
    return;
  lt_buf_destroy (&c->encoded);
  c->encoded_version = current->version;
  lt_freshness_on_applied (c->freshness, now_us, current->version);
  lt_config_run_actions (c);
}

/* A single VM always polls the store.  In a fleet, the member list determines
   which VMs of a region do.  */
static void
update_role (lt_config_controller_t *c)
{
  lt_node_t *node = c->base.node;
  if (node->membership == NULL)
    {
      if (!c->role_set)
        lt_freshness_set_role (c->freshness, true, false);
      c->role_set = true;
      return;
    }
  uint64_t generation = lt_membership_generation (node->membership);
  if (c->role_set && generation == c->role_generation)
    return;
  c->role_set = true;
  c->role_generation = generation;
  str_t ids[LT_FRESHNESS_ANNOUNCED_MAX];
  str_t domains[LT_FRESHNESS_ANNOUNCED_MAX];
  const lt_settings_t *settings = node->settings;
  size_t count = lt_membership_watchers (node->membership, settings->region,
                                         LT_FRESHNESS_WATCHERS, ids, domains,
                                         LT_FRESHNESS_ANNOUNCED_MAX);
  bool watcher = false;
  for (size_t i = 0; i < count; i++)
    watcher |= str_equal (ids[i], settings->vm_id);
  lt_freshness_set_role (c->freshness, watcher,
                         lt_membership_has_region_majority (
                             node->membership, settings->store_region));
}

static void
controller_tick (lt_controller_t *controller, int64_t now_us)
{
  lt_config_controller_t *c = (lt_config_controller_t *)controller;
  update_role (c);
  lt_freshness_tick (c->freshness, now_us);
  lt_config_run_actions (c);
  lt_config_change_tick (c, now_us);
  if (c->encoded.len > 0 && now_us - c->encoded_used_us > encoded_retention_us)
    lt_buf_destroy (&c->encoded);
  c->age_gauge->value
      = (double)lt_freshness_confirmation_age_us (c->freshness, now_us)
        / LT_US_PER_S;
  c->version_gauge->value = (double)lt_freshness_applied (c->freshness);
}

static void
controller_on_frame (lt_controller_t *controller,
                     const lt_peer_message_t *message, int64_t now_us)
{
  lt_config_controller_t *c = (lt_config_controller_t *)controller;
  if (message->type == LT_MESSAGE_SNAPSHOT_GET)
    lt_config_fetch_on_get (c, message);
  else
    lt_config_fetch_on_data (c, message, now_us);
}

/* Returns the entry of VM_ID, or else an expired entry to reuse, or else a new
   one; NULL when the table is full.  */
static vm_entry_t *
find_or_add_vm (lt_config_controller_t *c, str_t vm_id, int64_t now_us)
{
  size_t slot = c->vm_count;
  for (size_t i = 0; i < c->vm_count; i++)
    {
      if (str_equal (str_from (c->vms[i].vm_id), vm_id))
        return &c->vms[i];
      if (now_us - c->vms[i].reported_us > vm_retention_us)
        slot = i;
    }
  if (slot == VM_MAX)
    return NULL;
  if (slot == c->vm_cap)
    {
      c->vm_cap = c->vm_cap == 0 ? 64 : c->vm_cap * 2;
      c->vms = lt_realloc (c->vms, c->vm_cap * sizeof (*c->vms));
    }
  if (slot == c->vm_count)
    c->vm_count++;
  return &c->vms[slot];
}

static void
record_vm_report (lt_config_controller_t *c, str_t vm_id, int64_t now_us,
                  const lt_freshness_report_t *report)
{
  vm_entry_t *entry = find_or_add_vm (c, vm_id, now_us);
  if (entry == NULL || vm_id.len >= sizeof (entry->vm_id))
    return;
  memcpy (entry->vm_id, vm_id.data, vm_id.len);
  entry->vm_id[vm_id.len] = '\0';
  entry->applied = report->applied_version;
  entry->confirm_age_us = report->confirm_age_us;
  entry->reported_us = now_us;
  entry->unreported = false;
}

void
lt_config_controller_add_member (lt_config_controller_t *c, str_t vm_id,
                                 int64_t now_us)
{
  lt_freshness_report_t no_report = { .confirm_age_us = -1 };
  for (size_t i = 0; i < c->vm_count; i++)
    if (str_equal (str_from (c->vms[i].vm_id), vm_id))
      return;
  record_vm_report (c, vm_id, now_us, &no_report);
  vm_entry_t *entry = find_or_add_vm (c, vm_id, now_us);
  if (entry != NULL)
    entry->unreported = true;
}

void
lt_config_controller_on_query (lt_config_controller_t *c, int64_t now_us,
                               str_t peer, const lt_freshness_report_t *query,
                               lt_freshness_report_t *answer)
{
  record_vm_report (c, peer, now_us, query);
  lt_freshness_on_query (c->freshness, now_us, peer, query, answer);
}

void
lt_config_controller_on_answer_sent (lt_config_controller_t *c)
{
  lt_config_run_actions (c);
}

void
lt_config_controller_on_answer (lt_config_controller_t *c, int64_t now_us,
                                str_t peer,
                                const lt_freshness_report_t *answer)
{
  record_vm_report (c, peer, now_us, answer);
  lt_freshness_on_answer (c->freshness, now_us, peer, answer);
  lt_config_run_actions (c);
  lt_config_change_tick (c, now_us);
}

size_t
lt_config_controller_vm_count (const lt_config_controller_t *c)
{
  return c->vm_count + 1;
}

lt_vm_version_t
lt_config_controller_vm_at (const lt_config_controller_t *c, size_t index)
{
  lt_node_t *node = c->base.node;
  int64_t now_us = lt_node_now_us (node);
  if (index == 0)
    return (lt_vm_version_t){
      .vm_id = node->settings->vm_id,
      .applied_version = lt_freshness_applied (c->freshness),
      .confirm_age_us
      = lt_freshness_confirmation_age_us (c->freshness, now_us),
      .reported_us = now_us
    };
  const vm_entry_t *entry = &c->vms[index - 1];
  return (lt_vm_version_t){ .vm_id = str_from (entry->vm_id),
                            .applied_version = entry->applied,
                            .confirm_age_us = entry->confirm_age_us,
                            .reported_us = entry->reported_us,
                            .unreported = entry->unreported };
}

int64_t
lt_config_controller_known_version (const lt_config_controller_t *c)
{
  return lt_freshness_known (c->freshness);
}

static json_t *
controller_status (lt_controller_t *controller)
{
  lt_config_controller_t *c = (lt_config_controller_t *)controller;
  int64_t now_us = lt_node_now_us (c->base.node);
  json_t *vms = json_array ();
  for (size_t i = 0; i < lt_config_controller_vm_count (c); i++)
    {
      lt_vm_version_t vm = lt_config_controller_vm_at (c, i);
      json_array_append_new (
          vms,
          json_pack ("{s:s%, s:I, s:I, s:I}", "vm", vm.vm_id.data,
                     vm.vm_id.len, "applied_version",
                     (json_int_t)vm.applied_version, "confirm_age_ms",
                     (json_int_t)(vm.confirm_age_us / LT_US_PER_MS),
                     "heard_ms_ago",
                     (json_int_t)((now_us - vm.reported_us) / LT_US_PER_MS)));
    }
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:b, s:b, s:o}", "applied_version",
      (json_int_t)lt_freshness_applied (c->freshness), "known_version",
      (json_int_t)lt_freshness_known (c->freshness), "possible_version",
      (json_int_t)lt_freshness_possible (c->freshness), "confirm_age_ms",
      (json_int_t)(lt_freshness_confirmation_age_us (c->freshness, now_us)
                   / LT_US_PER_MS),
      "serves_keyed", (int)lt_freshness_allows_keyed (c->freshness, now_us),
      "store_down", (int)lt_freshness_store_down (c->freshness, now_us), "vms",
      vms);
}

static void
controller_destroy (lt_controller_t *controller)
{
  lt_config_controller_t *c = (lt_config_controller_t *)controller;
  lt_config_change_abandon (c);
  config_call_t *call;
  DL_FOREACH (c->calls, call) { call->controller = NULL; }
  controller->node->config_controller = NULL;
  controller->node->freshness = NULL;
  lt_freshness_destroy (c->freshness);
  lt_buf_destroy (&c->encoded);
  lt_buf_destroy (&c->fetch.bytes);
  free (c->vms);
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "config",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SNAPSHOT_GET)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SNAPSHOT_DATA),
        .tick = controller_tick,
        .on_message = controller_on_frame,
        .on_config = controller_on_config,
        .status = controller_status,
        .destroy = controller_destroy };

lt_controller_t *
lt_config_controller_create (lt_node_t *node)
{
  lt_config_controller_t *c = lt_alloc (sizeof (*c));
  const lt_settings_t *settings = node->settings;
  lt_freshness_options_t options = LT_FRESHNESS_OPTIONS_DEFAULT;
  options.vm_id = settings->vm_id;
  options.region = settings->region;
  options.failure_domain = settings->failure_domain;
  options.store_region = settings->store_region;
  c->base.vtable = &vtable;
  c->base.node = node;
  c->freshness = lt_freshness_create (&options, &node->rng);
  c->reads
      = lt_metrics_counter (node->metrics, "lavendertrack_config_reads_total",
                            "Reads of the head record.", "");
  c->read_failures = lt_metrics_counter (
      node->metrics, "lavendertrack_config_read_failures_total",
      "Reads of the head record that failed.", "");
  c->age_gauge = lt_metrics_gauge (
      node->metrics, "lavendertrack_config_confirm_age_seconds",
      "Age of the configuration's confirmation; -1: none.", "");
  c->version_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_config_version",
                          "Version of the snapshot in force.", "");
  node->config_controller = c;
  node->freshness = c->freshness;
  return &c->base;
}
