/** @file
    Message bus of the node: a queue of typed messages that the event loop
    delivers to the controllers in order.  */
#ifndef LT_NODE_BUS_H
#define LT_NODE_BUS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_bus lt_bus_t;

  lt_bus_t *lt_bus_create (lt_node_t *node);
  void lt_bus_destroy (lt_bus_t *bus);
  /** Posts a new configuration.  Takes ownership of both references; OLD may
      be NULL.  */
  void lt_bus_post_config (lt_bus_t *bus, lt_snapshot_ref_t *old,
                           lt_snapshot_ref_t *current);
  /** Posts a copy of MESSAGE.  */
  void lt_bus_post_frame (lt_bus_t *bus, const lt_peer_message_t *message);
  /** Posts a copy of EVENT, and keeps a reference to CONFIG until it is
      delivered.  */
  void lt_bus_post_observation (lt_bus_t *bus,
                                const lt_observation_event_t *event,
                                lt_snapshot_ref_t *config);

#ifdef __cplusplus
}
#endif

#endif
