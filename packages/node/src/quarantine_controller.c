#include "lt/node/quarantine_controller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/node/node.h"
#include "lt/policy/quarantine.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "lt/wire/session.h"

/* Counted events, each with its value of the metric label.  */
#define COUNT_TABLE(X)                                                        \
  X (COUNT_LOSS, "loss")                                                      \
  X (COUNT_QUARANTINED, "quarantined")                                        \
  X (COUNT_CLEARED, "cleared")                                                \
  X (COUNT_REFUSED, "refused")                                                \
  X (COUNT_NOTICE_SENT, "notice-sent")                                        \
  X (COUNT_NOTICE_RECEIVED, "notice-received")                                \
  X (COUNT_NOTICE_MALFORMED, "notice-malformed")

#define COUNT_ENUM(name, text) name,
typedef enum count
{
  COUNT_TABLE (COUNT_ENUM) COUNTS
} count_t;

#define COUNT_NAME(name, text) (text),
static const char *const count_names[] = { COUNT_TABLE (COUNT_NAME) };

/* On a hosting platform some upstreams reset connections all the time, so two
   lost upstreams are not enough evidence against a request; it is quarantined
   after three.  Responses are not delayed for the notices there.  */
enum
{
  HOSTED_LOSSES_MAX = 3,
  /* A response this long ago shows that a request still runs.  */
  HOSTED_OBJECTION_MS = 3000,
  /* VMs that collect the losses of a request.  The list of VMs keeps those
     that are gone, so one of them may be.  */
  COLLECTORS = 3,
  /* VMs of other failure domains of a region that tell a VM the quarantines in
     force, and how many of them, when it connects.  */
  TELLERS_PER_REGION = 2,
  TOLD_MAX = 32
};

struct lt_quarantine_controller
{
  lt_controller_t base;
  lt_quarantine_t *quarantine;
  lt_quarantine_options_t options;
  lt_counter_t *counts[COUNTS];
};

/* Reduces IDS to the VMs that collect the losses of FINGERPRINT, chosen by
   rendezvous hashing among them and this VM.  Returns how many they are.  */
static size_t
select_collectors (const lt_node_t *node, const lt_digest_t *fingerprint,
                   str_t *ids, size_t count)
{
  str_t key = str_make ((const char *)fingerprint->bytes, LT_DIGEST_BYTES);
  uint64_t own_weight = lt_rendezvous (key, node->settings->vm_id);
  size_t kept = 0;
  size_t before = 0;
  for (; kept < count && kept < COLLECTORS; kept++)
    {
      size_t heaviest = kept;
      uint64_t max_weight = 0;
      for (size_t i = kept; i < count; i++)
        {
          uint64_t weight = lt_rendezvous (key, ids[i]);
          if (weight < max_weight)
            continue;
          max_weight = weight;
          heaviest = i;
        }
      str_t id = ids[heaviest];
      ids[heaviest] = ids[kept];
      ids[kept] = id;
      before += max_weight > own_weight;
    }
  /* This VM is a collector itself.  */
  return before < kept && kept == COLLECTORS ? kept - 1 : kept;
}

/* Sends NOTICE to the VMs IDS.  */
static void
send_notice_to (lt_quarantine_controller_t *controller,
                const lt_quarantine_notice_t *notice, const str_t *ids,
                size_t count)
{
  lt_wire_quarantine_t message = {
    .fingerprint
    = str_make ((const char *)notice->fingerprint.bytes, LT_DIGEST_BYTES),
    .remaining_us = notice->remaining_us,
    .quarantine_count = notice->level,
    .cleared = notice->cleared,
    .lost_upstream_count = notice->loss_count,
  };
  memcpy (message.lost_upstreams, notice->upstreams,
          sizeof (message.lost_upstreams));
  lt_buf_t payload = { 0 };
  lt_wire_quarantine_encode (&message, &payload);
  for (size_t i = 0; i < count; i++)
    if (lt_node_send (controller->base.node, ids[i], LT_MESSAGE_QUARANTINE, 0,
                      lt_buf_str (&payload))
        == 0)
      controller->counts[COUNT_NOTICE_SENT]->value++;
  lt_buf_destroy (&payload);
}

static void
send_notice (lt_quarantine_controller_t *controller,
             const lt_quarantine_notice_t *notice)
{
  lt_node_t *node = controller->base.node;
  size_t count
      = node->directory == NULL ? 0 : node->directory->others (node, NULL, 0);
  str_t *ids = lt_alloc ((count + 1) * sizeof (*ids));
  if (count > 0)
    count = node->directory->others (node, ids, count);
  /* Upstreams of a hosting platform reset connections all the time, so most
     losses never lead to a quarantine.  Notices of losses go to a few VMs
     only, one of which notifies all VMs when it quarantines the request.  */
  if (node->registry != NULL && notice->level == 0)
    count = select_collectors (node, &notice->fingerprint, ids, count);
  send_notice_to (controller, notice, ids, count);
  free (ids);
}

/* Logs EVENT of the request with the fingerprint of NOTICE.  FROM is the VM
   whose notice caused it; empty: an attempt of this VM.  */
static void
log_event (lt_log_level_t level, const char *event,
           const lt_quarantine_notice_t *notice, str_t from)
{
  char fingerprint[17];
  lt_digest_short_hex (&notice->fingerprint, fingerprint);
  lt_log (level, "quarantine",
          "msg=\"request %s\" fingerprint=%s upstreams_lost=%u round=%u "
          "seconds=%lld from=%.*s",
          event, fingerprint, notice->loss_count, notice->level,
          (long long)(notice->remaining_us / LT_US_PER_S), STR_ARG (from));
}

/* An upstream that has started again is another one: it was lost again.  */
static uint64_t
upstream_hash (const lt_upstream_t *upstream)
{
  const uint64_t parts[]
      = { lt_hash64 (upstream->name), upstream->incarnation };
  return lt_hash64 (str_make ((const char *)parts, sizeof (parts)));
}

static void
on_observation (lt_controller_t *base, const lt_observation_event_t *event,
                int64_t now_us)
{
  static const lt_digest_t none = { { 0 } };
  lt_quarantine_controller_t *controller = (lt_quarantine_controller_t *)base;
  lt_quarantine_notice_t notice;
  bool send = false;
  if (lt_digest_equal (&event->fingerprint, &none))
    return;
  if (event->connection_lost)
    {
      controller->counts[COUNT_LOSS]->value++;
      send = lt_quarantine_on_loss (
          controller->quarantine, &event->fingerprint,
          upstream_hash (&event->snapshot->upstreams[event->upstream]), now_us,
          &notice);
    }
  else if (event->outcome == LT_ATTEMPT_OK)
    {
      send = lt_quarantine_on_response (controller->quarantine,
                                        &event->fingerprint, now_us, &notice);
      controller->counts[COUNT_CLEARED]->value += send;
    }
  if (!send)
    return;
  if (notice.level > 0 && !notice.cleared)
    {
      controller->counts[COUNT_QUARANTINED]->value++;
      log_event (LT_LOG_WARN, "quarantined", &notice, str_make ("", 0));
    }
  else
    log_event (LT_LOG_INFO, notice.cleared ? "cleared" : "suspected", &notice,
               str_make ("", 0));
  send_notice (controller, &notice);
}

static void
on_frame (lt_controller_t *base, const lt_peer_message_t *message,
          int64_t now_us)
{
  lt_quarantine_controller_t *controller = (lt_quarantine_controller_t *)base;
  lt_wire_quarantine_t wire;
  if (lt_wire_quarantine_decode (message->payload, &wire) != 0)
    {
      controller->counts[COUNT_NOTICE_MALFORMED]->value++;
      return;
    }
  controller->counts[COUNT_NOTICE_RECEIVED]->value++;
  lt_quarantine_notice_t received = { .level = wire.quarantine_count,
                                      .remaining_us = wire.remaining_us,
                                      .cleared = wire.cleared,
                                      .loss_count = wire.lost_upstream_count };
  memcpy (received.fingerprint.bytes, wire.fingerprint.data, LT_DIGEST_BYTES);
  memcpy (received.upstreams, wire.lost_upstreams,
          sizeof (received.upstreams));
  if (received.level == 0)
    log_event (LT_LOG_INFO, received.cleared ? "cleared" : "suspected",
               &received, message->sender);
  lt_quarantine_notice_t merged;
  switch (lt_quarantine_on_notice (controller->quarantine, &received, now_us,
                                   &merged))
    {
    case LT_QUARANTINE_SEND_NONE:
      break;
    case LT_QUARANTINE_SEND_REPLY:
      send_notice_to (controller, &merged, &message->sender, 1);
      break;
    case LT_QUARANTINE_SEND_ALL:
      controller->counts[merged.cleared ? COUNT_CLEARED : COUNT_QUARANTINED]
          ->value++;
      log_event (LT_LOG_WARN, merged.cleared ? "released" : "quarantined",
                 &merged, message->sender);
      send_notice (controller, &merged);
      break;
    }
}

/* Returns whether this VM tells PEER the quarantines in force: if both are in
   one failure domain, or as one of a few VMs of the region, in case the whole
   domain of PEER starts anew.  */
static bool
is_teller (lt_node_t *node, const lt_vm_identity_t *peer)
{
  if (node->directory == NULL || node->directory->others_near == NULL)
    return false;
  if (str_equal (peer->failure_domain, node->settings->failure_domain))
    return true;
  uint64_t own_weight = lt_rendezvous (peer->vm_id, node->settings->vm_id);
  size_t before = 0;
  for (int in_domain = 0; in_domain < 2; in_domain++)
    {
      size_t count
          = node->directory->others_near (node, in_domain == 1, NULL, 0);
      str_t *ids = lt_alloc ((count + 1) * sizeof (*ids));
      count = count == 0 ? 0
                         : node->directory->others_near (node, in_domain == 1,
                                                         ids, count);
      for (size_t i = 0; i < count; i++)
        {
          str_t domain;
          str_t region;
          if (node->directory->locate (node, ids[i], &domain, &region)
              && !str_equal (domain, peer->failure_domain))
            before += lt_rendezvous (peer->vm_id, ids[i]) > own_weight;
        }
      free (ids);
    }
  return before < TELLERS_PER_REGION;
}

void
lt_quarantine_controller_tell (lt_node_t *node, const lt_vm_identity_t *peer)
{
  lt_quarantine_controller_t *controller = node->quarantine_controller;
  lt_quarantine_notice_t notices[TOLD_MAX];
  if (controller == NULL)
    return;
  size_t count = lt_quarantine_list_active (
      controller->quarantine, lt_node_now_us (node), notices, TOLD_MAX);
  if (count == 0 || !is_teller (node, peer))
    return;
  for (size_t i = 0; i < count; i++)
    send_notice_to (controller, &notices[i], &peer->vm_id, 1);
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_quarantine_controller_t *controller = (lt_quarantine_controller_t *)base;
  lt_quarantine_expire (controller->quarantine, now_us);
}

bool
lt_quarantine_controller_has_losses (lt_node_t *node,
                                     const lt_digest_t *fingerprint)
{
  return node->quarantine_controller != NULL
         && lt_quarantine_has_losses (node->quarantine_controller->quarantine,
                                      fingerprint, lt_node_now_us (node));
}

bool
lt_quarantine_controller_refuses (lt_quarantine_controller_t *controller,
                                  const lt_request_t *request,
                                  int64_t *retry_after_ms)
{
  lt_quarantine_check_result_t check
      = lt_quarantine_check (controller->quarantine, &request->fingerprint,
                             lt_node_now_us (request->node));
  if (check.verdict != LT_QUARANTINE_REFUSED)
    return false;
  controller->counts[COUNT_REFUSED]->value++;
  if (retry_after_ms != NULL)
    *retry_after_ms = check.retry_after_us / LT_US_PER_MS;
  return true;
}

bool
lt_quarantine_refuses (const lt_request_t *request)
{
  lt_quarantine_controller_t *controller
      = request->node->quarantine_controller;
  return controller != NULL
         && lt_quarantine_controller_refuses (controller, request, NULL);
}

int64_t
lt_quarantine_notice_us (const lt_node_t *node)
{
  if (node->quarantine_controller == NULL || node->peers == NULL)
    return 0;
  return node->quarantine_controller->options.notice_delay_us;
}

static json_t *
status (lt_controller_t *base)
{
  const lt_quarantine_controller_t *controller
      = (lt_quarantine_controller_t *)base;
  int64_t now_us = lt_node_now_us (base->node);
  json_t *json = json_pack (
      "{s:I, s:I}", "active",
      (json_int_t)lt_quarantine_active_count (controller->quarantine, now_us),
      "entries",
      (json_int_t)lt_quarantine_entry_count (controller->quarantine));
  for (int i = 0; i < COUNTS; i++)
    json_object_set_new (
        json, count_names[i],
        json_integer ((json_int_t)controller->counts[i]->value));
  return json;
}

static void
destroy (lt_controller_t *base)
{
  lt_quarantine_controller_t *controller = (lt_quarantine_controller_t *)base;
  lt_quarantine_destroy (controller->quarantine);
  base->node->quarantine_controller = NULL;
  free (controller);
}

static const lt_controller_vtable_t vtable
    = { .name = "quarantine",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUARANTINE),
        .tick = tick,
        .on_message = on_frame,
        .on_attempt_end = on_observation,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_quarantine_controller_create (lt_node_t *node)
{
  lt_quarantine_controller_t *controller = lt_alloc (sizeof (*controller));
  controller->base.vtable = &vtable;
  controller->base.node = node;
  controller->options = LT_QUARANTINE_OPTIONS_DEFAULT;
  if (node->registry != NULL)
    {
      controller->options.losses_max = HOSTED_LOSSES_MAX;
      controller->options.notice_delay_us = 0;
      controller->options.decides_for_others = true;
      controller->options.objection_us = HOSTED_OBJECTION_MS * LT_US_PER_MS;
    }
  controller->options.vm_hash = lt_hash64 (node->settings->vm_id);
  controller->quarantine = lt_quarantine_create (&controller->options);
  for (int i = 0; i < COUNTS; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\"", count_names[i]);
      controller->counts[i] = lt_metrics_counter (
          node->metrics, "lavendertrack_quarantine_total",
          "Events of the quarantine.", labels);
    }
  node->quarantine_controller = controller;
  return &controller->base;
}
