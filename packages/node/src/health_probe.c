#include <stdlib.h>

#include "health_internal.h"
#include "lt/base/error.h"
#include "upstream_probe.h"

static void
on_probed (void *user, bool ok)
{
  lt_health_pending_t *pending = user;
  lt_health_controller_t *controller = pending->controller;
  lt_health_service_t *service
      = lt_health_controller_service (controller, str_from (pending->service));
  uint32_t u = UINT32_MAX;
  if (service != NULL)
    u = lt_health_service_find (service, str_from (pending->upstream));
  int64_t now_us = lt_node_now_us (controller->node);
  if (u != UINT32_MAX && pending->fleet && service->fleet != NULL)
    lt_health_fleet_report_probe (service->fleet, u, ok, now_us);
  if (u != UINT32_MAX && !pending->fleet)
    {
      lt_health_local_report_probe (service->local, u, ok, now_us);
      service->dirty = true;
    }
  lt_health_pending_destroy (pending);
}

static void
on_response (void *user, bool ok, bool closing)
{
  (void)closing;
  ((lt_health_pending_t *)user)->transfer = NULL;
  on_probed (user, ok);
}

static int
send_probe (lt_node_t *node, str_t address, lt_health_pending_t *pending)
{
  pending->transfer = lt_upstream_probe_start (node->upstreams, address,
                                               on_response, pending);
  return pending->transfer == NULL ? -LT_EINVAL : 0;
}

void
lt_health_start_probe (lt_health_controller_t *controller,
                       lt_health_service_t *service, uint32_t upstream,
                       bool fleet, int64_t now_us)
{
  const lt_snapshot_t *snapshot = service->snapshot;
  uint32_t first = snapshot->services[service->index].first_upstream;
  const lt_upstream_t *target = &snapshot->upstreams[first + upstream];
  lt_health_pending_t *pending
      = lt_health_pending_create (controller, service);
  pending->probe = true;
  pending->fleet = fleet;
  pending->upstream = str_dup (target->name);
  pending->sent_us = now_us;
  int error;
  if (controller->hooks.probe != NULL)
    error = controller->hooks.probe (controller->hooks.user, target->address,
                                     on_probed, pending);
  else
    error = send_probe (controller->node, target->address, pending);
  if (error != 0)
    lt_health_pending_destroy (pending);
}
