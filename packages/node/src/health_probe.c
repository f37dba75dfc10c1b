#include <stdlib.h>

#include "health_internal.h"
#include "lt/base/error.h"
#include "upstream_client.h"

#define PROBE_TIMEOUT_MS 1000
#define PROBE_PATH "/healthz"
/* Any status below this shows a process that answers; whether it answers well
   is for its traffic in slow start to show.  */
#define FIRST_FAILED_STATUS 500

static bool
on_header (void *owner, int status, lt_header_list_t *headers)
{
  (void)headers;
  ((lt_health_pending_t *)owner)->status = status;
  return true;
}

static bool
on_body (void *owner, str_t data)
{
  (void)owner;
  (void)data;
  return true;
}

static bool
on_send (void *owner)
{
  (void)owner;
  return true;
}

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
    lt_health_fleet_probed (service->fleet, u, ok, now_us);
  if (u != UINT32_MAX && !pending->fleet)
    {
      lt_health_local_probed (service->local, u, ok, now_us);
      service->dirty = true;
    }
  lt_health_pending_destroy (pending);
}

static void
on_done (void *owner, const lt_transfer_result_t *result)
{
  lt_health_pending_t *pending = owner;
  bool ok = result->end == LT_TRANSFER_COMPLETE && pending->status > 0
            && pending->status < FIRST_FAILED_STATUS;
  on_probed (pending, ok);
}

static const lt_transfer_vtable_t vtable = { .on_header = on_header,
                                             .on_body = on_body,
                                             .on_done = on_done,
                                             .on_send = on_send };

static int
send_probe (lt_node_t *node, str_t address, lt_health_pending_t *pending)
{
  lt_header_list_t headers = { 0 };
  lt_transfer_options_t options = { .address = address,
                                    .method = STR_LIT ("GET"),
                                    .target = STR_LIT (PROBE_PATH),
                                    .headers = &headers,
                                    .body = STR_LIT (""),
                                    .timeout_ms = PROBE_TIMEOUT_MS,
                                    .fresh_connection = true };
  if (lt_upstream_client_send (node->upstreams, &options, &vtable, pending)
      == NULL)
    return -LT_EINVAL;
  return 0;
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
