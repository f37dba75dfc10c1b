/** @file
    State of the upstream controller, shared by its files.  */
#ifndef LT_NODE_UPSTREAM_INTERNAL_H
#define LT_NODE_UPSTREAM_INTERNAL_H

#include <ev.h>

#include "lt/node/node.h"
#include "lt/node/upstream_controller.h"
#include "lt/policy/choice.h"
#include "lt/policy/departures.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "pools.h"
#include "upstream_places.h"

/* What other VMs are to learn about one upstream.  */
typedef struct pending_update
{
  uint32_t successes;
  uint32_t failures;
  uint32_t rejections;      /* Counted only with admission by priority. */
  int64_t rate_milli_per_s; /* Named in the last response. */
  bool changed;
} pending_update_t;

#define UPSTREAM_DEPARTURE_TABLE(X)                                           \
  X (UPSTREAM_DEPARTURE_OWN, "own")                                           \
  X (UPSTREAM_DEPARTURE_REPEATED, "repeated")                                 \
  X (UPSTREAM_DEPARTURE_PEER, "peer")                                         \
  X (UPSTREAM_DEPARTURE_SENT, "sent")                                         \
  X (UPSTREAM_DEPARTURE_MALFORMED, "malformed")

#define UPSTREAM_DEPARTURE_ENUM(name, text) name,
typedef enum upstream_departure_event
{
  UPSTREAM_DEPARTURE_TABLE (UPSTREAM_DEPARTURE_ENUM) UPSTREAM_DEPARTURE_EVENTS
} upstream_departure_event_t;
#undef UPSTREAM_DEPARTURE_ENUM

struct lt_upstream_controller
{
  lt_controller_t base;
  lt_pools_t pools;
  lt_pools_vtable_t vtable; /* Of POOLS. */
  lt_choice_t *choice;
  lt_snapshot_ref_t *config;
  lt_choice_upstream_t *upstreams; /* Indexed by upstream of CONFIG. */
  pending_update_t *updates;       /* Indexed by upstream of CONFIG. */
  ev_timer flush;
  lt_counter_t *sent;
  lt_counter_t *received;
  lt_counter_t *malformed;
  lt_gauge_t *suspected;
  lt_gauge_t *limited;
  lt_gauge_t *evacuated;
  lt_gauge_t *cold;
  lt_departures_t *departures;
  lt_counter_t *departed[UPSTREAM_DEPARTURE_EVENTS];
  lt_gauge_t *departing;
  uint32_t limited_count; /* Upstreams that name a rate, at most. */
  lt_upstream_places_t *places;
  int64_t gauge_updated_us; /* Last update of the gauges. */
};

/** Takes over the rate that an upstream named in a response to this or another
    VM.  Returns whether it changed.  */
bool lt_upstream_set_rate (lt_upstream_controller_t *c, uint64_t id,
                           int64_t rate_milli_per_s, const char *source,
                           int64_t now_us);

/** Creates the memory of upstreams that leave, and its metrics.  */
void lt_upstream_departures_init (lt_upstream_controller_t *c);
/** See on_leaving of lt_pools_vtable_t.  */
void lt_upstream_departures_note (lt_upstream_controller_t *c,
                                  const lt_upstream_t *upstream, int status,
                                  const char *request_id);
/** Takes over the departure in a message of another VM.  */
void lt_upstream_departures_receive (lt_upstream_controller_t *c,
                                     const lt_peer_message_t *message,
                                     int64_t now_us);
/** Returns whether UPSTREAM has said that it leaves.  */
bool lt_upstream_is_departing (const lt_upstream_controller_t *c,
                               const lt_upstream_t *upstream);
void lt_upstream_departures_tick (lt_upstream_controller_t *c, int64_t now_us);

/** Sends a message with PAYLOAD to the VMs of the failure domain if IN_DOMAIN,
    else to the other VMs of the region.  Returns to how many.  */
uint32_t lt_upstream_send_near (lt_upstream_controller_t *c,
                                lt_message_type_t type, str_t payload,
                                bool in_domain);
/** Prepares the timer of updates.  */
void lt_upstream_updates_init (lt_upstream_controller_t *c);
/** Schedules an update on UPSTREAM and returns it for changes, or NULL when
    the upstream is no longer in the configuration.  */
pending_update_t *lt_upstream_updates_mark (lt_upstream_controller_t *c,
                                            const lt_upstream_t *upstream);
/** Sends UPDATES to the VMs of the failure domain if IN_DOMAIN, else to the
    other VMs of the region.  */
void lt_upstream_updates_send (lt_upstream_controller_t *c,
                               const lt_wire_upstream_updates_t *updates,
                               bool in_domain);
/** Sends all pending updates to the VMs of the failure domain.  */
void lt_upstream_updates_flush (lt_upstream_controller_t *c);
/** Takes over the updates in a message of another VM.  */
void lt_upstream_updates_receive (lt_upstream_controller_t *c,
                                  const lt_peer_message_t *message,
                                  int64_t now_us);

#endif
