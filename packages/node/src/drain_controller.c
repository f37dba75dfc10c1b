#include "drain_controller.h"

#include <jansson.h>
#include <stdlib.h>

#include "lt/base/log.h"
#include "lt/node/health_controller.h"
#include "lt/node/node.h"
#include "lt/policy/drain.h"
#include "lt/policy/membership.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "upstream_probe.h"

enum
{
  CHANGES_MAX = 64
};

#define UPDATE_INTERVAL_US (1 * LT_US_PER_S)
/* Planned stops start early by this much, since VMs may receive the
   configuration at different times and their clocks may differ.  */
#define STOP_MARGIN_US (5 * LT_US_PER_S)

typedef struct lt_drain_controller
{
  lt_controller_t base;
  lt_drain_t *drain;
  lt_snapshot_ref_t *config;
  lt_counter_t *announced;
  lt_counter_t *noticed;
  lt_gauge_t *leaving;
  int64_t next_update_us;
  struct probe *probes;
} lt_drain_controller_t;

/* A probe in progress; UPSTREAM is an index in CONFIG.  */
typedef struct probe
{
  struct probe *next;
  lt_drain_controller_t *controller;
  lt_upstream_probe_t *request;
  lt_snapshot_ref_t *config;
  uint32_t upstream;
} probe_t;

static lt_drain_upstream_t *
list_upstreams (const lt_snapshot_t *s)
{
  lt_drain_upstream_t *upstreams
      = lt_alloc (s->upstream_count * sizeof (*upstreams));
  for (uint32_t i = 0; i < s->upstream_count; i++)
    upstreams[i]
        = (lt_drain_upstream_t){ .name_hash = lt_hash64 (s->upstreams[i].name),
                                 .service = s->upstreams[i].service,
                                 .slots = s->upstreams[i].slots,
                                 .drained = s->upstreams[i].drained
                                            || s->upstreams[i].evacuated };
  return upstreams;
}

static lt_drain_service_t *
list_services (const lt_snapshot_t *s)
{
  lt_drain_service_t *services
      = lt_alloc (s->service_count * sizeof (*services));
  for (uint32_t i = 0; i < s->service_count; i++)
    services[i]
        = (lt_drain_service_t){ .floor_percent = s->services[i].floor_percent,
                                .lead_us = STOP_MARGIN_US };
  for (uint32_t i = 0; i < s->route_count; i++)
    {
      lt_drain_service_t *service = &services[s->routes[i].service];
      int64_t lead_us
          = STOP_MARGIN_US + s->routes[i].timeout_ms * LT_US_PER_MS;
      if (lead_us > service->lead_us)
        service->lead_us = lead_us;
    }
  return services;
}

static lt_drain_planned_stop_t *
list_stops (const lt_snapshot_t *s)
{
  lt_drain_planned_stop_t *stops = lt_alloc (s->stop_count * sizeof (*stops));
  for (uint32_t i = 0; i < s->stop_count; i++)
    stops[i] = (lt_drain_planned_stop_t){ .upstream = s->stops[i].upstream,
                                          .starts_wall_us
                                          = s->stops[i].starts_wall_us,
                                          .ends_wall_us
                                          = s->stops[i].ends_wall_us };
  return stops;
}

static void
apply_changes (lt_drain_controller_t *self)
{
  lt_node_t *node = self->base.node;
  const lt_snapshot_t *s = self->config->snapshot;
  lt_drain_change_t changes[CHANGES_MAX];
  uint32_t count;
  do
    {
      count = lt_drain_update (self->drain, lt_clock_wall_us (node->clock),
                               changes, CHANGES_MAX);
      for (uint32_t i = 0; i < count; i++)
        {
          str_t name = s->upstreams[changes[i].upstream].name;
          self->leaving->value += changes[i].leaving ? 1 : -1;
          lt_health_controller_set_leaving (node->health_controller, name,
                                            changes[i].leaving);
          lt_log (LT_LOG_INFO, "drain", "msg=\"upstream %s\" name=\"%.*s\"",
                  changes[i].leaving ? "leaves" : "serves again",
                  STR_ARG (name));
        }
    }
  while (count == CHANGES_MAX);
}

/* Clears the leaving marks in the health controller, which keeps them across
   configurations.  After lt_drain_configure only leaving upstreams are
   reported, so an upstream that serves again would stay out of service.  */
static void
clear_leaving (lt_drain_controller_t *self)
{
  const lt_snapshot_t *s
      = self->config == NULL ? NULL : self->config->snapshot;
  for (uint32_t i = 0; s != NULL && i < s->upstream_count; i++)
    if (lt_drain_is_leaving (self->drain, i))
      lt_health_controller_set_leaving (self->base.node->health_controller,
                                        s->upstreams[i].name, false);
}

static void
on_config (lt_controller_t *base, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  (void)old;
  (void)now_us;
  lt_drain_controller_t *self = (lt_drain_controller_t *)base;
  if (base->node->config->snapshot != current)
    return; /* A newer configuration follows. */
  clear_leaving (self);
  lt_snapshot_ref_release (self->config);
  self->config = lt_snapshot_ref_acquire (base->node->config);
  lt_drain_upstream_t *upstreams = list_upstreams (current);
  lt_drain_service_t *services = list_services (current);
  lt_drain_planned_stop_t *stops = list_stops (current);
  lt_drain_config_t config = { .upstreams = upstreams,
                               .upstream_count = current->upstream_count,
                               .services = services,
                               .service_count = current->service_count,
                               .stops = stops,
                               .stop_count = current->stop_count };
  lt_drain_configure (self->drain, &config);
  free (upstreams);
  free (services);
  free (stops);
  self->leaving->value = 0;
  apply_changes (self);
}

static void
announce_to_vms (lt_drain_controller_t *self, str_t upstream)
{
  lt_node_t *node = self->base.node;
  if (node->membership == NULL)
    return;
  lt_wire_drain_t message = { .upstream = upstream,
                              .state = LT_WIRE_DRAIN_DRAINING,
                              .version = self->config->snapshot->version };
  lt_buf_t payload = { 0 };
  lt_wire_drain_encode (&message, &payload);
  size_t count = lt_membership_count (node->membership);
  for (size_t i = 0; i < count; i++)
    {
      lt_member_view_t view = lt_membership_at (node->membership, i);
      if (!view.self)
        lt_node_send (node, view.info.id, LT_MESSAGE_DRAIN, 0,
                      lt_buf_str (&payload));
    }
  lt_buf_destroy (&payload);
}

static void
on_observation (lt_controller_t *base, const lt_observation_event_t *event,
                int64_t now_us)
{
  lt_drain_controller_t *self = (lt_drain_controller_t *)base;
  if (!event->header_received || self->config == NULL
      || event->snapshot != self->config->snapshot)
    return;
  if (!lt_drain_on_response (self->drain, event->upstream,
                             event->connection_close, now_us))
    return;
  self->announced->value++;
  apply_changes (self);
  announce_to_vms (self, event->snapshot->upstreams[event->upstream].name);
}

static void
on_frame (lt_controller_t *base, const lt_peer_message_t *message,
          int64_t now_us)
{
  lt_drain_controller_t *self = (lt_drain_controller_t *)base;
  lt_wire_drain_t drain;
  if (lt_wire_drain_decode (message->payload, &drain) != 0
      || drain.state == LT_WIRE_DRAIN_SERVING || self->config == NULL)
    return;
  if (!lt_drain_on_peer_announcement (self->drain, lt_hash64 (drain.upstream),
                                      now_us))
    return;
  self->noticed->value++;
  apply_changes (self);
}

static void
probe_free (probe_t *probe)
{
  lt_snapshot_ref_release (probe->config);
  free (probe);
}

static void
probe_destroy (probe_t *probe)
{
  probe_t **link = &probe->controller->probes;
  while (*link != probe)
    link = &(*link)->next;
  *link = probe->next;
  probe_free (probe);
}

static void
on_probed (void *user, bool ok, bool closing)
{
  probe_t *probe = user;
  lt_drain_controller_t *self = probe->controller;
  if (probe->config == self->config)
    lt_drain_on_probe (self->drain, probe->upstream, ok && !closing);
  probe_destroy (probe);
}

static void
start_probe (lt_drain_controller_t *self, uint32_t upstream)
{
  probe_t *probe = lt_alloc (sizeof (*probe));
  probe->controller = self;
  probe->config = lt_snapshot_ref_acquire (self->config);
  probe->upstream = upstream;
  probe->next = self->probes;
  self->probes = probe;
  probe->request = lt_upstream_probe_start (
      self->base.node->upstreams,
      self->config->snapshot->upstreams[upstream].address, on_probed, probe);
  if (probe->request == NULL)
    probe_destroy (probe);
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_drain_controller_t *self = (lt_drain_controller_t *)base;
  if (self->config == NULL || now_us < self->next_update_us)
    return;
  self->next_update_us = now_us + UPDATE_INTERVAL_US;
  uint32_t due;
  while ((due = lt_drain_probe_due (self->drain, now_us)) != UINT32_MAX)
    start_probe (self, due);
  apply_changes (self);
}

static json_t *
status (lt_controller_t *base)
{
  lt_drain_controller_t *self = (lt_drain_controller_t *)base;
  json_t *names = json_array ();
  const lt_snapshot_t *s
      = self->config == NULL ? NULL : self->config->snapshot;
  for (uint32_t i = 0; s != NULL && i < s->upstream_count; i++)
    if (lt_drain_is_leaving (self->drain, i))
      json_array_append_new (names, json_stringn (s->upstreams[i].name.data,
                                                  s->upstreams[i].name.len));
  return json_pack ("{s:o}", "leaving", names);
}

static void
destroy (lt_controller_t *base)
{
  lt_drain_controller_t *self = (lt_drain_controller_t *)base;
  probe_t *probe = self->probes;
  while (probe != NULL)
    {
      probe_t *next = probe->next;
      lt_upstream_probe_cancel (probe->request);
      probe_free (probe);
      probe = next;
    }
  base->node->drain_controller = NULL;
  lt_snapshot_ref_release (self->config);
  lt_drain_destroy (self->drain);
  free (self);
}

static const lt_controller_vtable_t vtable
    = { .name = "drain",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_DRAIN),
        .tick = tick,
        .on_message = on_frame,
        .on_config = on_config,
        .on_attempt_end = on_observation,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_drain_controller_create (lt_node_t *node)
{
  lt_drain_options_t options = LT_DRAIN_OPTIONS_DEFAULT;
  lt_drain_controller_t *self = lt_alloc (sizeof (*self));
  self->base.vtable = &vtable;
  self->base.node = node;
  self->drain = lt_drain_create (&options);
  self->announced = lt_metrics_counter (
      node->metrics, "lavendertrack_upstream_announcements_total",
      "Upstreams that announced their end.", "source=\"own\"");
  self->noticed = lt_metrics_counter (
      node->metrics, "lavendertrack_upstream_announcements_total",
      "Upstreams that announced their end.", "source=\"peer\"");
  self->leaving
      = lt_metrics_gauge (node->metrics, "lavendertrack_upstreams_leaving",
                          "Upstreams that get no new work.", "");
  node->drain_controller = self;
  return &self->base;
}
