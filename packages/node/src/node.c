#include "lt/node/node.h"

#include <stdlib.h>

#include "bus.h"
#include "lt/base/error.h"

enum
{
  /* Time to write the last response and to end.  */
  DRAIN_END_MARGIN_MS = 250
};

lt_snapshot_ref_t *
lt_snapshot_ref_create (lt_snapshot_t *snapshot)
{
  lt_snapshot_ref_t *ref = lt_alloc (sizeof (*ref));
  ref->snapshot = snapshot;
  ref->references = 1;
  return ref;
}

lt_snapshot_ref_t *
lt_snapshot_ref_acquire (lt_snapshot_ref_t *ref)
{
  if (ref != NULL)
    ref->references++;
  return ref;
}

void
lt_snapshot_ref_release (lt_snapshot_ref_t *ref)
{
  if (ref == NULL || --ref->references > 0)
    return;
  lt_snapshot_destroy (ref->snapshot);
  free (ref);
}

int64_t
lt_node_now_us (lt_node_t *node)
{
  return lt_clock_now_us (node->clock);
}

bool
lt_node_may_cut (lt_node_t *node, int64_t deadline_us)
{
  return node->draining && node->drain_ends_us != 0
         && lt_node_now_us (node) >= node->drain_accepts_until_us
         && deadline_us + DRAIN_END_MARGIN_MS * LT_US_PER_MS
                > node->drain_ends_us;
}

void
lt_node_add_controller (lt_node_t *node, lt_controller_t *controller)
{
  if (node->controller_count == LT_CONTROLLER_MAX)
    abort ();
  controller->node = node;
  node->controllers[node->controller_count++] = controller;
}

void
lt_node_add_filter (lt_node_t *node, lt_filter_t *filter)
{
  if (node->filter_count
      == (int)(sizeof (node->filters) / sizeof (node->filters[0])))
    abort ();
  filter->node = node;
  filter->slot = node->filter_count;
  node->filters[node->filter_count++] = filter;
}

int
lt_node_send (lt_node_t *node, str_t vm_id, uint16_t type,
              uint64_t correlation, str_t payload)
{
  if (node->peers == NULL)
    return -LT_EUNAVAILABLE;
  return node->peers->vtable->send (node->peers, vm_id, type, correlation,
                                    payload);
}

int
lt_node_install_snapshot (lt_node_t *node, lt_snapshot_t *snapshot)
{
  if (node->config != NULL
      && snapshot->version <= node->config->snapshot->version)
    {
      lt_snapshot_destroy (snapshot);
      return -LT_ESTALE;
    }
  lt_snapshot_ref_t *old = node->config;
  node->config = lt_snapshot_ref_create (snapshot);
  lt_bus_post_config (node->bus, old, lt_snapshot_ref_acquire (node->config));
  return 0;
}

void
lt_node_deliver (lt_node_t *node, const lt_peer_message_t *message)
{
  lt_bus_post_frame (node->bus, message);
}

void
lt_node_observe (lt_node_t *node, const lt_observation_event_t *event)
{
  lt_bus_post_observation (node->bus, event, node->config);
}

void
lt_node_observe_with_config (lt_node_t *node,
                             const lt_observation_event_t *event,
                             lt_snapshot_ref_t *config)
{
  lt_bus_post_observation (node->bus, event, config);
}
