#include "lt/node/limit_controller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "limit_codec.h"
#include "limit_controller_internal.h"
#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/wire/frame.h"

/** Longest time that a planned stop waits until all shares are returned.  The
    homes reclaim shares that were not returned when they expire.  */
#define DRAIN_MAX_US (3 * LT_US_PER_S)

#define COUNT_NAME(name, text) (text),
static const char *const count_names[] = { LT_LIMIT_COUNT_TABLE (COUNT_NAME) };

void
lt_limit_controller_count (lt_limit_controller_t *controller,
                           lt_limit_count_t name)
{
  controller->counts[name]->value++;
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  if (!controller->configured)
    return;
  lt_limit_controller_update_members (controller, now_us);
  lt_limit_actions_t actions = { 0 };
  lt_limit_holder_tick (controller->holder, now_us, &actions);
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    if (controller->groups[i].home != NULL)
      lt_limit_home_tick (controller->groups[i].home, now_us, &actions);
  lt_limit_controller_execute (controller, &actions, now_us);
  lt_limit_controller_expire_waiting (controller, now_us);
}

static void
on_frame (lt_controller_t *base, const lt_peer_message_t *peer, int64_t now_us)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  lt_limit_message_t message;
  lt_limit_vm_t from;
  lt_limit_controller_count (controller, LT_LIMIT_COUNT_RECEIVED);
  /* The incarnation in a message must be that of its sender.  */
  if (lt_limit_vm_set (&from, peer->sender.data, peer->sender.len) != 0
      || lt_limit_message_decode ((lt_limit_message_type_t)peer->type,
                                  peer->payload, &message)
             != 0
      || (lt_limit_is_for_home (&message)
          && message.incarnation != (int64_t)peer->incarnation))
    {
      lt_limit_controller_count (controller, LT_LIMIT_COUNT_MALFORMED);
      return;
    }
  lt_limit_actions_t actions = { 0 };
  lt_limit_controller_receive (controller, &from, &message, now_us, &actions);
  lt_limit_controller_execute (controller, &actions, now_us);
}

static void
configure_groups (lt_limit_controller_t *controller,
                  const lt_limit_rate_t *rates, uint32_t rate_count,
                  int64_t now_us)
{
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    controller->groups[i].rate_count = 0;
  for (uint32_t i = 0; i < rate_count; i++)
    {
      lt_limit_group_t *group
          = &controller->groups[lt_limit_group (rates[i].workspace)];
      group->rates = lt_realloc (group->rates, (group->rate_count + 1)
                                                   * sizeof (*group->rates));
      group->rates[group->rate_count++] = rates[i];
    }
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    if (controller->groups[i].home != NULL)
      lt_limit_home_configure (controller->groups[i].home,
                               controller->groups[i].rates,
                               controller->groups[i].rate_count, now_us);
}

static void
on_config (lt_controller_t *base, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  (void)old;
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  uint32_t rate_count = current->workspace_count;
  lt_limit_rate_t *rates = lt_alloc ((rate_count + 1) * sizeof (*rates));
  for (uint32_t i = 0; i < rate_count; i++)
    {
      const lt_workspace_t *workspace = &current->workspaces[i];
      rates[i].workspace = lt_hash64 (workspace->name);
      rates[i].rate_milli_per_s = workspace->rate_milli_per_s;
      rates[i].burst = workspace->burst < LT_LIMIT_BURST_MAX
                           ? workspace->burst
                           : LT_LIMIT_BURST_MAX;
      if (rates[i].rate_milli_per_s > LT_LIMIT_RATE_MILLI_MAX)
        rates[i].rate_milli_per_s = LT_LIMIT_RATE_MILLI_MAX;
    }
  lt_limit_holder_configure (controller->holder, rates, rate_count, now_us);
  configure_groups (controller, rates, rate_count, now_us);
  free (rates);
  controller->configured = true;
  controller->assigned_groups = 0;
  lt_limit_controller_assign_groups (controller, now_us);
  tick (base, now_us);
}

static bool
stop (lt_controller_t *base, int64_t now_us)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  if (controller->drain_started_us == 0)
    controller->drain_started_us = now_us;
  lt_limit_actions_t actions = { 0 };
  lt_limit_holder_drain (controller->holder, now_us, &actions);
  lt_limit_controller_execute (controller, &actions, now_us);
  if (base->node->membership == NULL)
    return true;
  bool drained = lt_limit_holder_drained (controller->holder);
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    if (controller->groups[i].home != NULL
        && lt_limit_home_status (controller->groups[i].home, now_us).leased)
      drained = false;
  return drained || now_us - controller->drain_started_us > DRAIN_MAX_US;
}

static void
add_home_status (const lt_limit_controller_t *controller, json_t *json)
{
  int64_t now_us = lt_node_now_us (controller->base.node);
  int64_t homes = 0;
  int64_t leased = 0;
  int64_t reclaimed = 0;
  int64_t conflicts = 0;
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    {
      if (controller->groups[i].home == NULL)
        continue;
      lt_limit_home_status_t home
          = lt_limit_home_status (controller->groups[i].home, now_us);
      homes++;
      leased += home.leased;
      reclaimed += (int64_t)home.reclaimed;
      conflicts += (int64_t)home.conflicts;
    }
  json_object_set_new (json, "homes", json_integer (homes));
  json_object_set_new (json, "leased", json_integer (leased));
  json_object_set_new (json, "reclaimed", json_integer (reclaimed));
  json_object_set_new (json, "conflicts", json_integer (conflicts));
}

static json_t *
status (lt_controller_t *base)
{
  const lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  json_t *json = json_object ();
  json_t *shares = json_object ();
  const lt_snapshot_ref_t *config = base->node->config;
  uint32_t workspaces = config == NULL ? 0 : config->snapshot->workspace_count;
  for (uint32_t i = 0; i < workspaces; i++)
    {
      str_t name = config->snapshot->workspaces[i].name;
      lt_limit_holder_status_t share;
      uint32_t index
          = lt_limit_holder_index (controller->holder, lt_hash64 (name));
      if (lt_limit_holder_status (controller->holder, index, &share) != 0
          || share.ppm == 0)
        continue;
      json_object_setn_new (shares, name.data, name.len,
                            json_pack ("{s:I, s:f, s:f}", "ppm",
                                       (json_int_t)share.ppm, "tokens",
                                       (double)share.tokens / LT_LIMIT_TOKEN,
                                       "demand_per_s", share.demand_per_s));
    }
  json_object_set_new (json, "shares", shares);
  add_home_status (controller, json);
  for (int i = 0; i < LT_LIMIT_COUNTS; i++)
    json_object_set_new (
        json, count_names[i],
        json_integer ((json_int_t)controller->counts[i]->value));
  return json;
}

static void
destroy (lt_controller_t *base)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  for (lt_limit_table_call_t *call = controller->calls.next;
       call != &controller->calls; call = call->next)
    call->controller = NULL;
  for (lt_limit_waiting_t *head = &controller->waiting; head != NULL;
       head = head == &controller->waiting ? &controller->ready : NULL)
    while (head->next != head)
      {
        lt_limit_waiting_t *waiting = head->next;
        lt_limit_waiting_unlink (waiting);
        waiting->prev = waiting->next = waiting;
      }
  ev_timer_stop (base->node->loop, &controller->resume);
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    {
      lt_limit_home_destroy (controller->groups[i].home);
      free (controller->groups[i].rates);
    }
  lt_limit_holder_destroy (controller->holder);
  base->node->limit_controller = NULL;
  free (controller);
}

static const lt_controller_vtable_t vtable
    = { .name = "limit",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SHARE_REQUEST)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SHARE_GRANT)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SHARE_RETURN)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SHARE_RENEW)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SHARE_ACK)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_TOKENS_REQUEST)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_TOKENS_LEND),
        .tick = tick,
        .on_message = on_frame,
        .on_config = on_config,
        .status = status,
        .stop = stop,
        .destroy = destroy };

lt_controller_t *
lt_limit_controller_create (lt_node_t *node)
{
  lt_limit_controller_t *controller = lt_alloc (sizeof (*controller));
  controller->base.vtable = &vtable;
  controller->base.node = node;
  str_t id = node->settings->vm_id;
  if (lt_limit_vm_set (&controller->vm, id.data, id.len) != 0)
    lt_log (LT_LOG_ERROR, "limit", "msg=\"VM id empty or too long\"");
  lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  options.incarnation = (int64_t)node->incarnation;
  controller->holder = lt_limit_holder_create (&options);
  controller->waiting.prev = controller->waiting.next = &controller->waiting;
  controller->ready.prev = controller->ready.next = &controller->ready;
  controller->calls.prev = controller->calls.next = &controller->calls;
  ev_timer_init (&controller->resume, lt_limit_controller_on_resume, 0, 0);
  controller->resume.data = controller;
  for (int i = 0; i < LT_LIMIT_COUNTS; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\"", count_names[i]);
      controller->counts[i]
          = lt_metrics_counter (node->metrics, "lavendertrack_limit_total",
                                "Events of the rate limit.", labels);
    }
  node->limit_controller = controller;
  return &controller->base;
}
