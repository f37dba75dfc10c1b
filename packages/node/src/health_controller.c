#include "lt/node/health_controller.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "health_internal.h"
#include "upstream_probe.h"
#include "lt/base/error.h"
#include "lt/base/log.h"

/* Services without new results are updated once in this many ticks.  Updating
   all of them at every tick would take several percent of a core at 1,300
   services.  */
#define IDLE_UPDATE_TICKS 10

lt_health_service_t *
lt_health_controller_service (lt_health_controller_t *controller, str_t name)
{
  if (controller->config == NULL)
    return NULL;
  uint32_t index
      = lt_snapshot_find_service (controller->config->snapshot, name);
  return index == LT_NO_INDEX ? NULL : controller->services[index];
}

lt_health_pending_t *
lt_health_pending_create (lt_health_controller_t *controller,
                          const lt_health_service_t *service)
{
  lt_health_pending_t *pending = lt_alloc (sizeof (*pending));
  pending->controller = controller;
  pending->service = str_dup (service->name);
  pending->sent_us = lt_node_now_us (controller->node);
  pending->next = controller->pending;
  controller->pending = pending;
  return pending;
}

void
lt_health_pending_destroy (lt_health_pending_t *pending)
{
  lt_health_controller_t *controller = pending->controller;
  if (controller != NULL)
    {
      lt_health_pending_t **at = &controller->pending;
      while (*at != pending)
        at = &(*at)->next;
      *at = pending->next;
    }
  lt_upstream_probe_cancel (pending->transfer);
  lt_ejection_record_clear (&pending->next_record);
  free (pending->service);
  free (pending->upstream);
  free (pending);
}

/* Maps upstream INDEX of SNAPSHOT to the configuration that the pools use.
   Returns its service and sets *UPSTREAM to its index there, or returns NULL
   when that configuration does not have it.  */
static lt_health_service_t *
locate (lt_health_controller_t *controller, const lt_snapshot_t *snapshot,
        uint32_t index, uint32_t *upstream)
{
  if (controller->config == NULL)
    return NULL;
  const lt_snapshot_t *current = controller->config->snapshot;
  if (snapshot != current)
    index
        = lt_snapshot_find_upstream (current, snapshot->upstreams[index].name);
  if (index == LT_NO_INDEX)
    return NULL;
  uint32_t service = current->upstreams[index].service;
  *upstream = index - current->services[service].first_upstream;
  return controller->services[service];
}

static lt_health_controller_t *
from_pools (lt_pools_t *pools)
{
  return (
      lt_health_controller_t *)((char *)pools
                                - offsetof (lt_health_controller_t, pools));
}

static lt_snapshot_ref_t *
pools_config (lt_pools_t *pools)
{
  return from_pools (pools)->config;
}

/* Returns, for each of the COUNT upstreams from FIRST on, whether it is in
   ALLOWED_REGIONS.  The caller frees the result.  */
static bool *
list_allowed (const lt_snapshot_t *s, uint32_t first, uint32_t count,
              uint64_t allowed_regions)
{
  bool *allowed = lt_alloc ((count + 1) * sizeof (*allowed));
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t bit
          = lt_snapshot_region_bit (s, s->upstreams[first + i].region);
      allowed[i] = (allowed_regions & 1ULL << bit) != 0;
    }
  return allowed;
}

static int64_t
pools_pick (lt_pools_t *pools, const lt_pick_t *pick, int64_t now_us)
{
  lt_health_controller_t *self = from_pools (pools);
  lt_health_service_t *s = self->services[pick->service];
  uint32_t first
      = self->config->snapshot->services[pick->service].first_upstream;
  uint32_t local[16];
  uint32_t count = 0;
  for (uint32_t i = 0; i < pick->tried_count && count < 16; i++)
    if (pick->tried[i] >= first && pick->tried[i] - first < s->pool.count)
      local[count++] = pick->tried[i] - first;
  bool *allowed = pick->allowed_regions == 0
                      ? NULL
                      : list_allowed (self->config->snapshot, first,
                                      s->pool.count, pick->allowed_regions);
  lt_balance_request_t request
      = { .tried = local, .tried_count = count, .allowed = allowed };
  int picked
      = lt_balance_pick (s->balance, &request, &self->node->rng, now_us);
  free (allowed);
  return picked < 0 ? picked : (int64_t)first + picked;
}

static void
pools_begin (lt_pools_t *pools, const lt_snapshot_t *snapshot,
             uint32_t upstream)
{
  uint32_t u;
  lt_health_service_t *service
      = locate (from_pools (pools), snapshot, upstream, &u);
  if (service != NULL)
    lt_balance_begin (service->balance, u);
}

static void
pools_end (lt_pools_t *pools, const lt_snapshot_t *snapshot, uint32_t upstream)
{
  uint32_t u;
  lt_health_service_t *service
      = locate (from_pools (pools), snapshot, upstream, &u);
  if (service != NULL)
    lt_balance_end (service->balance, u);
}

static const lt_pools_vtable_t pools_vtable = { .config = pools_config,
                                                .pick = pools_pick,
                                                .begin = pools_begin,
                                                .end = pools_end,
                                                .begin_wait = pools_begin,
                                                .end_wait = pools_end };

static lt_health_outcome_t
outcome_of (lt_attempt_outcome_t outcome)
{
  switch (outcome)
    {
    case LT_ATTEMPT_RESET:
      return LT_HEALTH_RESET;
    case LT_ATTEMPT_REFUSED:
      return LT_HEALTH_REFUSED;
    case LT_ATTEMPT_SHED:
      return LT_HEALTH_SHED;
    case LT_ATTEMPT_TIMEOUT:
      return LT_HEALTH_TIMEOUT;
    case LT_ATTEMPT_FAILED:
    case LT_ATTEMPT_TRUNCATED:
    case LT_ATTEMPT_WRONG_RESPONSE:
    case LT_ATTEMPT_MALFORMED:
      return LT_HEALTH_FAILED;
    case LT_ATTEMPT_OK:
    case LT_ATTEMPT_MISDIRECTED:
    case LT_ATTEMPT_CANCELED:
      break;
    }
  return LT_HEALTH_OK;
}

static void
on_observation (lt_controller_t *controller,
                const lt_observation_event_t *event, int64_t now_us)
{
  lt_health_controller_t *self = (lt_health_controller_t *)controller;
  uint32_t u;
  lt_health_service_t *service
      = locate (self, event->snapshot, event->upstream, &u);
  if (service == NULL || event->outcome == LT_ATTEMPT_CANCELED)
    return;
  service->last_attempt_us = now_us;
  service->dirty = true;
  if (event->outcome == LT_ATTEMPT_SHED)
    lt_balance_record_shed (service->balance, u,
                            event->retry_after_ms * LT_US_PER_MS,
                            &self->node->rng, now_us);
  else
    lt_balance_record_accepted (service->balance, u);
  lt_health_observation_t observation
      = { .upstream = u,
          .outcome = outcome_of (event->outcome),
          .latency_us = event->latency_us };
  if (event->outcome == LT_ATTEMPT_RESET && self->hooks.is_suspect != NULL)
    observation.quarantine_suspect
        = self->hooks.is_suspect (self->hooks.user, &event->fingerprint);
  lt_health_observe (service->local, &observation, now_us);
}

static uint32_t
count_evacuated (const lt_snapshot_t *s, str_t domain)
{
  uint32_t count = 0;
  for (uint32_t i = 0; s != NULL && i < s->upstream_count; i++)
    count += s->upstreams[i].evacuated
             && (domain.len == 0
                 || str_equal (s->upstreams[i].failure_domain, domain));
  return count;
}

static bool
is_evacuated (const lt_snapshot_t *s, str_t domain)
{
  for (uint32_t i = 0; s != NULL && i < s->upstream_count; i++)
    if (s->upstreams[i].evacuated
        && str_equal (s->upstreams[i].failure_domain, domain))
      return true;
  return false;
}

/* Logs failure domains of AFTER that are evacuated there but not in BEFORE. */
static void
log_evacuated (const lt_snapshot_t *before, const lt_snapshot_t *after,
               const char *event)
{
  str_t last = str_make (NULL, 0);
  for (uint32_t i = 0; after != NULL && i < after->upstream_count; i++)
    {
      const lt_upstream_t *u = &after->upstreams[i];
      if (!u->evacuated || str_equal (u->failure_domain, last)
          || is_evacuated (before, u->failure_domain))
        continue;
      last = u->failure_domain;
      lt_log (LT_LOG_WARN, "health",
              "msg=\"%s\" failure_domain=%.*s upstreams=%u version=%lld",
              event, STR_ARG (last), count_evacuated (after, last),
              (long long)after->version);
    }
}

static void
on_config (lt_controller_t *controller, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  if (count_evacuated (old, str_make ("", 0)) > 0
      || count_evacuated (current, str_make ("", 0)) > 0)
    {
      log_evacuated (old, current, "failure domain evacuated");
      log_evacuated (current, old, "evacuation ended");
    }
  lt_health_controller_t *self = (lt_health_controller_t *)controller;
  lt_snapshot_ref_t *config = self->node->config;
  /* A newer configuration is already in force; its own call follows.  */
  if (config == NULL || config->snapshot != current)
    return;
  lt_health_service_t **services
      = lt_alloc ((current->service_count + 1) * sizeof (void *));
  for (uint32_t i = 0; i < current->service_count; i++)
    {
      lt_health_service_t *before
          = lt_health_controller_service (self, current->services[i].name);
      if (before != NULL)
        self->services[before->index] = NULL;
      services[i]
          = lt_health_service_create (self->node, current, i, before, now_us);
      lt_health_service_update (services[i], now_us);
    }
  for (uint32_t i = 0; i < self->service_count; i++)
    lt_health_service_destroy (self->services[i]);
  free (self->services);
  self->services = services;
  self->service_count = current->service_count;
  lt_snapshot_ref_release (self->config);
  self->config = lt_snapshot_ref_acquire (config);
  self->evacuated->value = count_evacuated (current, str_make ("", 0));
}

/* Counting iterates over all VMs, so it is done once a second for all
   services together.  */
static void
count_vms (lt_health_controller_t *self)
{
  if (self->hooks.count_vms == NULL
      || self->tick_count % IDLE_UPDATE_TICKS != 1)
    return;
  self->hooks.count_vms (self->hooks.user, &self->vms, &self->region_vms,
                         &self->domain_vms);
}

static void
tick (lt_controller_t *controller, int64_t now_us)
{
  lt_health_controller_t *self = (lt_health_controller_t *)controller;
  self->tick_count++;
  count_vms (self);
  for (uint32_t i = 0; i < self->service_count; i++)
    {
      lt_health_service_t *service = self->services[i];
      bool periodic_due = (self->tick_count + i) % IDLE_UPDATE_TICKS == 0;
      if (periodic_due && self->vms > 0)
        lt_balance_set_vms (service->balance, self->vms, self->region_vms,
                            self->domain_vms);
      if (periodic_due || service->dirty)
        lt_health_service_update (service, now_us);
      lt_health_run_aggregation (self, service, now_us);
      if (!periodic_due)
        continue;
      uint32_t due = lt_health_local_probe_due (service->local, now_us);
      if (due != UINT32_MAX)
        lt_health_start_probe (self, service, due, false, now_us);
      lt_health_refresh_record (self, service, now_us);
    }
  lt_health_send_evidence (self, now_us);
}

static void
on_frame (lt_controller_t *controller, const lt_peer_message_t *message,
          int64_t now_us)
{
  lt_health_controller_t *self = (lt_health_controller_t *)controller;
  if (message->type == LT_MESSAGE_EVIDENCE)
    lt_health_on_evidence (self, message, now_us);
  else
    lt_health_on_ejections (self, message, now_us);
}

static json_t *
status (lt_controller_t *controller)
{
  lt_health_controller_t *self = (lt_health_controller_t *)controller;
  json_t *list = json_array ();
  int64_t now_us = lt_node_now_us (self->node);
  for (uint32_t i = 0; i < self->service_count; i++)
    json_array_append_new (
        list, lt_health_service_status (self->services[i], now_us));
  return json_pack ("{s:o}", "services", list);
}

static void
destroy (lt_controller_t *controller)
{
  lt_health_controller_t *self = (lt_health_controller_t *)controller;
  lt_health_pending_t *next;
  for (lt_health_pending_t *p = self->pending; p != NULL; p = next)
    {
      next = p->next;
      p->controller = NULL;
      /* The table still completes its calls, which then free their pending
         operation.  Probes are cancelled here.  */
      if (p->probe)
        lt_health_pending_destroy (p);
    }
  for (uint32_t i = 0; i < self->service_count; i++)
    lt_health_service_destroy (self->services[i]);
  free (self->services);
  lt_snapshot_ref_release (self->config);
  if (self->node->health_controller == self)
    self->node->health_controller = NULL;
  free (self);
}

static const lt_controller_vtable_t vtable
    = { .name = "health",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_EVIDENCE)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_EJECTIONS),
        .tick = tick,
        .on_message = on_frame,
        .on_config = on_config,
        .on_attempt_end = on_observation,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_health_controller_create (lt_node_t *node, const lt_health_hooks_t *hooks)
{
  lt_health_controller_t *self = lt_alloc (sizeof (*self));
  self->base.vtable = &vtable;
  self->base.node = node;
  self->pools.vtable = &pools_vtable;
  self->node = node;
  if (hooks != NULL)
    self->hooks = *hooks;
  self->ejected = lt_metrics_counter (
      node->metrics, "lavendertrack_ejections_total",
      "Ejections and returns that this VM wrote, and refusals by the floor.",
      "result=\"ejected\"");
  self->returned
      = lt_metrics_counter (node->metrics, "lavendertrack_ejections_total", "",
                            "result=\"returned\"");
  self->refused = lt_metrics_counter (
      node->metrics, "lavendertrack_ejections_total", "", "result=\"floor\"");
  self->evacuated
      = lt_metrics_gauge (node->metrics, "lavendertrack_upstreams_evacuated",
                          "Upstreams whose failure domain is evacuated.", "");
  node->health_controller = self;
  return &self->base;
}

lt_pools_t *
lt_health_controller_pools (lt_health_controller_t *controller)
{
  return &controller->pools;
}

int
lt_health_controller_set_leaving (lt_health_controller_t *controller,
                                  str_t upstream, bool leaving)
{
  int64_t now_us = lt_node_now_us (controller->node);
  for (uint32_t i = 0; i < controller->service_count; i++)
    {
      lt_health_service_t *service = controller->services[i];
      uint32_t u = lt_health_service_find (service, upstream);
      if (u == UINT32_MAX)
        continue;
      service->leaving[u] = leaving;
      lt_health_service_update_out_of_service (service);
      lt_health_service_update (service, now_us);
      return 0;
    }
  return -LT_ENOTFOUND;
}

int64_t
lt_health_controller_in_flight (lt_health_controller_t *controller,
                                str_t upstream)
{
  for (uint32_t i = 0; i < controller->service_count; i++)
    {
      lt_health_service_t *service = controller->services[i];
      uint32_t u = lt_health_service_find (service, upstream);
      if (u != UINT32_MAX)
        return lt_balance_in_flight (service->balance, u);
    }
  return -LT_ENOTFOUND;
}
