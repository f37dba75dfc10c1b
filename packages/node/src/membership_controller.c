#include "membership_controller.h"

#include <jansson.h>
#include <stdlib.h>

#include "heartbeat.h"
#include "lt/base/log.h"
#include "lt/node/config_controller.h"
#include "lt/policy/membership.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "named_vms.h"
#include "peer_transport.h"

enum
{
  LIST_TIMEOUT_MS = 2000,
  LIST_INTERVAL_S = 30,
  LIST_ALONE_INTERVAL_S = 2,
  /* Time for gossip to spread the leaving state of this VM.  */
  LEAVE_MS = 1500
};

typedef struct membership_controller
{
  lt_controller_t base;
  lt_membership_t *membership;
  lt_peer_transport_t *transport;
  lt_named_vms_t named;
  struct list_call *call; /* Pending call of the VM list; NULL: none. */
  int64_t next_list_us;
  int64_t left_us; /* When leaving was announced; 0: not leaving. */
  lt_gauge_t *live_gauge;
  lt_counter_t *pauses;
} membership_controller_t;

/* Outlives the controller when the platform responds late.  */
typedef struct list_call
{
  membership_controller_t *controller;
} list_call_t;

static void
on_open (void *user, const lt_vm_identity_t *peer, bool outgoing)
{
  membership_controller_t *c = user;
  lt_member_update_t update = { .id = peer->vm_id,
                                .incarnation = peer->incarnation,
                                .address = peer->peer_address,
                                .region = peer->region,
                                .failure_domain = peer->failure_domain };
  lt_membership_on_connected (c->membership, lt_node_now_us (c->base.node),
                              &update, outgoing);
}

static void
add_seeds (membership_controller_t *c, int64_t now_us)
{
  str_t rest = c->base.node->settings->seeds;
  while (rest.len > 0)
    {
      str_t seed = str_trim (str_split (rest, ',', &rest));
      lt_membership_add_hint (c->membership, now_us, str_make (NULL, 0), seed);
      lt_named_vms_add_seed (&c->named, seed, now_us);
    }
}

static void
on_list (void *user, const lt_vm_list_result_t *result)
{
  list_call_t *call = user;
  membership_controller_t *c = call->controller;
  free (call);
  if (c == NULL)
    return;
  c->call = NULL;
  if (result->outcome != LT_OUTCOME_DONE)
    return;
  int64_t now_us = lt_node_now_us (c->base.node);
  lt_named_vms_begin_list (&c->named);
  for (size_t i = 0; i < result->count; i++)
    {
      if (result->vms[i].leaving)
        continue;
      lt_membership_add_hint (c->membership, now_us, result->vms[i].id,
                              result->vms[i].peer_address);
      lt_named_vms_add_listed (&c->named, result->vms[i].id,
                               result->vms[i].peer_address, now_us);
    }
  lt_named_vms_end_list (&c->named);
}

/* Reads the platform's list of VMs, which lags behind; its entries are only
   hints whom to contact.  */
static void
list_vms (membership_controller_t *c, int64_t now_us)
{
  if (now_us < c->next_list_us || c->call != NULL)
    return;
  lt_node_t *node = c->base.node;
  bool alone = lt_membership_live_count (c->membership) <= 1;
  int64_t interval_us
      = (alone ? LIST_ALONE_INTERVAL_S : LIST_INTERVAL_S) * LT_US_PER_S;
  c->next_list_us
      = now_us + interval_us / 2
        + (int64_t)lt_rng_below (&node->rng, (uint64_t)interval_us);
  add_seeds (c, now_us);
  lt_vm_list_t *vms = node->platform.vms;
  if (vms == NULL)
    return;
  c->call = lt_alloc (sizeof (*c->call));
  c->call->controller = c;
  if (vms->vtable->list (vms, LIST_TIMEOUT_MS, on_list, c->call) == 0)
    return;
  free (c->call);
  c->call = NULL;
}

static void
send_probe_request (lt_node_t *node, const lt_membership_action_t *action)
{
  lt_wire_probe_request_t request
      = { .target = action->target, .address = action->target_address };
  lt_buf_t payload = { 0 };
  lt_wire_probe_request_encode (&request, &payload);
  lt_node_send (node, action->id, LT_MESSAGE_PROBE_REQUEST,
                action->correlation, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

static void
send_probe_result (lt_node_t *node, const lt_membership_action_t *action)
{
  lt_wire_probe_result_t result
      = { .target = action->target, .reached = action->reached };
  lt_buf_t payload = { 0 };
  lt_wire_probe_result_encode (&result, &payload);
  lt_node_send (node, action->id, LT_MESSAGE_PROBE_RESULT, action->correlation,
                lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

static void
run_actions (membership_controller_t *c)
{
  lt_node_t *node = c->base.node;
  lt_membership_action_t action;
  while (lt_membership_next_action (c->membership, &action))
    switch (action.type)
      {
      case LT_MEMBERSHIP_CONNECT:
        lt_peer_transport_connect (c->transport, action.address);
        break;
      case LT_MEMBERSHIP_HEARTBEAT:
        lt_heartbeat_send_request (node, action.id, action.correlation);
        break;
      case LT_MEMBERSHIP_PROBE_REQUEST:
        send_probe_request (node, &action);
        break;
      case LT_MEMBERSHIP_PROBE_RESULT:
        send_probe_result (node, &action);
        break;
      case LT_MEMBERSHIP_CHANGED:
        lt_log (LT_LOG_INFO, "membership",
                "msg=\"member state changed\" vm=%.*s state=%s",
                STR_ARG (action.id), lt_member_state_name (action.state));
        if (action.state == LT_MEMBER_ALIVE && node->config_controller != NULL)
          lt_config_controller_add_member (node->config_controller, action.id,
                                           lt_node_now_us (node));
        break;
      case LT_MEMBERSHIP_PAUSED:
        c->pauses->value++;
        lt_log (LT_LOG_WARN, "membership", "msg=\"this VM was paused\"");
        break;
      }
}

static void
controller_tick (lt_controller_t *controller, int64_t now_us)
{
  membership_controller_t *c = (membership_controller_t *)controller;
  if (controller->node->draining && c->left_us == 0)
    {
      c->left_us = now_us;
      lt_membership_leave (c->membership, now_us);
    }
  list_vms (c, now_us);
  lt_peer_transport_tick (c->transport, now_us);
  lt_membership_tick (c->membership, now_us);
  run_actions (c);
  c->live_gauge->value = (double)lt_membership_live_count (c->membership);
}

static void
controller_on_frame (lt_controller_t *controller,
                     const lt_peer_message_t *message, int64_t now_us)
{
  membership_controller_t *c = (membership_controller_t *)controller;
  lt_wire_probe_request_t request;
  lt_wire_probe_result_t result;
  if (message->type == LT_MESSAGE_PROBE_REQUEST)
    {
      if (lt_wire_probe_request_decode (message->payload, &request) == 0)
        lt_membership_on_probe_request (c->membership, now_us, message->sender,
                                        message->correlation, request.target);
    }
  else if (message->type == LT_MESSAGE_PROBE_RESULT)
    {
      if (lt_wire_probe_result_decode (message->payload, &result) == 0)
        lt_membership_on_probe_result (c->membership, now_us, result.target,
                                       result.reached);
    }
  else
    lt_heartbeat_receive (controller->node, message, now_us);
  run_actions (c);
}

static bool
controller_stop (lt_controller_t *controller, int64_t now_us)
{
  membership_controller_t *c = (membership_controller_t *)controller;
  return c->left_us != 0 && now_us - c->left_us >= LEAVE_MS * LT_US_PER_MS;
}

static json_t *
controller_status (lt_controller_t *controller)
{
  membership_controller_t *c = (membership_controller_t *)controller;
  json_t *members = json_array ();
  for (size_t i = 0; i < lt_membership_count (c->membership); i++)
    {
      lt_member_view_t view = lt_membership_at (c->membership, i);
      json_array_append_new (
          members, json_pack ("{s:s%, s:s, s:s%, s:s%, s:s%, s:b}", "vm",
                              view.info.id.data, view.info.id.len, "state",
                              lt_member_state_name (view.info.state), "region",
                              view.info.region.data, view.info.region.len,
                              "failure_domain", view.info.failure_domain.data,
                              view.info.failure_domain.len, "address",
                              view.info.address.data, view.info.address.len,
                              "one_way", (int)view.one_way));
    }
  return json_pack ("{s:I, s:o}", "live",
                    (json_int_t)lt_membership_live_count (c->membership),
                    "members", members);
}

static void
controller_destroy (lt_controller_t *controller)
{
  membership_controller_t *c = (membership_controller_t *)controller;
  if (c->call != NULL)
    c->call->controller = NULL;
  lt_peer_transport_destroy (c->transport);
  controller->node->membership = NULL;
  controller->node->directory = NULL;
  controller->node->named_vms = NULL;
  lt_named_vms_destroy (&c->named);
  lt_membership_destroy (c->membership);
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "membership",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_HEARTBEAT)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_HEARTBEAT_ACK)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_PROBE_REQUEST)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_PROBE_RESULT),
        .tick = controller_tick,
        .on_message = controller_on_frame,
        .status = controller_status,
        .stop = controller_stop,
        .destroy = controller_destroy };

static str_t
directory_address (lt_node_t *node, str_t vm_id)
{
  lt_member_view_t member;
  if (!lt_membership_find (node->membership, vm_id, &member))
    return str_make (NULL, 0);
  return member.info.address;
}

static size_t
directory_others (lt_node_t *node, str_t *ids, size_t cap)
{
  size_t found = 0;
  for (size_t i = 0; i < lt_membership_count (node->membership); i++)
    {
      lt_member_view_t view = lt_membership_at (node->membership, i);
      if (view.self)
        continue;
      if (found < cap)
        ids[found] = view.info.id;
      found++;
    }
  return cap == 0 || found < cap ? found : cap;
}

static const lt_vm_directory_t directory
    = { .address = directory_address, .others = directory_others };

int
lt_membership_controller_create (lt_node_t *node, lt_controller_t **result)
{
  membership_controller_t *c = lt_alloc (sizeof (*c));
  const lt_settings_t *settings = node->settings;
  c->base.vtable = &vtable;
  c->base.node = node;
  node->peer_secret = settings->peer_secret;
  int error = lt_peer_transport_create (node, on_open, c, &c->transport);
  if (error != 0)
    {
      free (c);
      return error;
    }
  lt_membership_options_t options = LT_MEMBERSHIP_OPTIONS_DEFAULT;
  options.id = settings->vm_id;
  options.incarnation = node->incarnation;
  options.address = lt_peer_transport_address (c->transport);
  options.region = settings->region;
  options.failure_domain = settings->failure_domain;
  c->membership = lt_membership_create (&options, &node->rng);
  c->live_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_members_live",
                          "VMs that are alive or suspect.", "");
  c->pauses = lt_metrics_counter (node->metrics, "lavendertrack_pauses_total",
                                  "Pauses of this VM that it noticed.", "");
  node->membership = c->membership;
  node->directory = &directory;
  node->named_vms = &c->named;
  add_seeds (c, lt_node_now_us (node));
  *result = &c->base;
  return 0;
}

str_t
lt_membership_controller_address (const lt_controller_t *controller)
{
  const membership_controller_t *c
      = (const membership_controller_t *)controller;
  return lt_peer_transport_address (c->transport);
}
