#include "lt/node/upstream_controller.h"

#include <ev.h>
#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/node/node.h"
#include "lt/policy/choice.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "pools.h"
#include "upstream_places.h"

enum
{
  NEAR_VMS_MAX = 256,
  /* Connecting takes one round trip: about 3 ms within a region and 40 ms
     across regions.  TCP retransmits a lost SYN only after one second, so a
     new attempt is faster than waiting for it.  */
  CONNECT_TIMEOUT_REGION_MS = 250,
  CONNECT_TIMEOUT_FAR_MS = 500
};

/* Upstream updates without a failure are batched for this long.  */
#define UPDATE_DELAY_S 0.1
/* From this probability on, an upstream counts as gray in logs and gauges.  */
#define GRAY_THRESHOLD 0.5
/* Interval at which the gauges and the places in the fleet are updated.  */
#define GAUGE_INTERVAL_US LT_US_PER_S

typedef struct pending_update
{
  uint32_t successes;
  uint32_t failures;
  int64_t rate_milli_per_s; /* Named in the last response. */
  bool changed;
} pending_update_t;

struct lt_upstream_controller
{
  lt_controller_t base;
  lt_pools_t pools;
  lt_choice_t *choice;
  lt_snapshot_ref_t *config;
  pending_update_t *updates; /* Indexed by upstream of CONFIG. */
  ev_timer flush;
  lt_counter_t *sent;
  lt_counter_t *received;
  lt_counter_t *malformed;
  lt_gauge_t *suspected;
  lt_gauge_t *limited;
  lt_gauge_t *evacuated;
  lt_gauge_t *cold;
  uint32_t limited_count; /* Upstreams that name a rate, at most. */
  lt_upstream_places_t *places;
  int64_t gauge_updated_us; /* Last update of the gauges. */
};

static lt_upstream_controller_t *
controller_of_pools (lt_pools_t *pools)
{
  return (lt_upstream_controller_t *)((char *)pools
                                      - offsetof (lt_upstream_controller_t,
                                                  pools));
}

/* The id includes the incarnation, so that an upstream that restarts under the
   same name does not inherit the estimate of its predecessor.  */
static uint64_t
upstream_id (const lt_upstream_t *upstream)
{
  return lt_hash64 (upstream->name)
         ^ (upstream->incarnation * 0x9e3779b97f4a7c15ULL);
}

static lt_distance_t
distance_to (const lt_node_t *node, const lt_upstream_t *upstream)
{
  return lt_upstream_distance (upstream->failure_domain, upstream->region,
                               node->settings->failure_domain,
                               node->settings->region);
}

static lt_snapshot_ref_t *
pools_config (lt_pools_t *pools)
{
  return controller_of_pools (pools)->config;
}

static int64_t
pools_pick (lt_pools_t *pools, const lt_pick_t *pick, int64_t now_us)
{
  lt_choice_request_t request = { .service = pick->service,
                                  .tried = pick->tried,
                                  .tried_count = pick->tried_count,
                                  .repeatable = pick->repeatable,
                                  .allowed_regions = pick->allowed_regions };
  return lt_choice_pick (controller_of_pools (pools)->choice, &request,
                         now_us);
}

static void
pools_refuse (lt_pools_t *pools, const lt_snapshot_t *snapshot,
              uint32_t service, int64_t now_us)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  if (c->config == NULL)
    return;
  uint32_t index = lt_snapshot_find_service (c->config->snapshot,
                                             snapshot->services[service].name);
  if (index != LT_NO_INDEX)
    lt_choice_record_refusal (c->choice, index, now_us);
}

static int64_t
pools_wait_us (lt_pools_t *pools, uint32_t service, uint64_t allowed_regions,
               int64_t now_us)
{
  const lt_choice_t *choice = controller_of_pools (pools)->choice;
  return lt_choice_next_us (choice, service, allowed_regions, now_us) - now_us;
}

static int64_t
pools_connect_ms (lt_pools_t *pools, uint32_t upstream)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  const lt_upstream_t *u = &c->config->snapshot->upstreams[upstream];
  return distance_to (c->base.node, u) == LT_DISTANCE_OTHER_REGION
             ? CONNECT_TIMEOUT_FAR_MS
             : CONNECT_TIMEOUT_REGION_MS;
}

/* Schedules an update on UPSTREAM and returns it for changes, or NULL when the
   upstream is no longer in the configuration.  */
static pending_update_t *
mark_changed (lt_upstream_controller_t *c, const lt_upstream_t *upstream)
{
  if (c->config == NULL)
    return NULL;
  const lt_snapshot_t *s = c->config->snapshot;
  uint32_t index = lt_snapshot_find_upstream (s, upstream->name);
  if (index == LT_NO_INDEX
      || s->upstreams[index].incarnation != upstream->incarnation)
    return NULL;
  c->updates[index].changed = true;
  if (!ev_is_active (&c->flush))
    {
      ev_timer_set (&c->flush, UPDATE_DELAY_S, 0);
      ev_timer_start (c->base.node->loop, &c->flush);
    }
  return &c->updates[index];
}

static void
pools_begin (lt_pools_t *pools, const lt_snapshot_t *snapshot,
             uint32_t upstream)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  lt_choice_begin_attempt (c->choice,
                           upstream_id (&snapshot->upstreams[upstream]),
                           lt_node_now_us (c->base.node));
  mark_changed (c, &snapshot->upstreams[upstream]);
}

static void
pools_end (lt_pools_t *pools, const lt_snapshot_t *snapshot, uint32_t upstream)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  lt_choice_end_attempt (c->choice,
                         upstream_id (&snapshot->upstreams[upstream]));
  mark_changed (c, &snapshot->upstreams[upstream]);
}

static const lt_pools_vtable_t pools_vtable = { .config = pools_config,
                                                .pick = pools_pick,
                                                .on_refused = pools_refuse,
                                                .wait_us = pools_wait_us,
                                                .connect_ms = pools_connect_ms,
                                                .begin = pools_begin,
                                                .end = pools_end };

static void
send_updates (lt_upstream_controller_t *c,
              const lt_wire_upstream_updates_t *updates, bool in_domain)
{
  lt_node_t *node = c->base.node;
  str_t ids[NEAR_VMS_MAX];
  if (updates->count == 0 || node->directory == NULL
      || node->directory->others_near == NULL)
    return;
  lt_buf_t payload = { 0 };
  lt_wire_upstream_updates_encode (updates, &payload);
  size_t count
      = node->directory->others_near (node, in_domain, ids, NEAR_VMS_MAX);
  for (size_t i = 0; i < count; i++)
    if (lt_node_send (node, ids[i], LT_MESSAGE_UPSTREAM_UPDATES, 0,
                      lt_buf_str (&payload))
        == 0)
      c->sent->value++;
  lt_buf_destroy (&payload);
}

/* Sends all pending updates to the VMs of the failure domain.  */
static void
flush_updates (lt_upstream_controller_t *c)
{
  ev_timer_stop (c->base.node->loop, &c->flush);
  if (c->config == NULL)
    return;
  const lt_snapshot_t *s = c->config->snapshot;
  int64_t now_us = lt_node_now_us (c->base.node);
  lt_wire_upstream_updates_t updates = { .count = 0 };
  for (uint32_t i = 0; i < s->upstream_count; i++)
    {
      pending_update_t *pending = &c->updates[i];
      if (!pending->changed)
        continue;
      uint64_t id = upstream_id (&s->upstreams[i]);
      lt_choice_estimate_t view = { 0 };
      lt_choice_look_up (c->choice, id, now_us, &view);
      updates.items[updates.count++] = (lt_wire_upstream_update_t){
        .upstream = id,
        .in_flight = view.own_in_flight > 0 ? (uint32_t)view.own_in_flight : 0,
        .successes = pending->successes,
        .failures = pending->failures,
        .rate_milli_per_s = pending->rate_milli_per_s,
      };
      *pending = (pending_update_t){ 0 };
      if (updates.count < LT_WIRE_UPSTREAM_UPDATES_MAX)
        continue;
      send_updates (c, &updates, true);
      updates.count = 0;
    }
  send_updates (c, &updates, true);
}

static void
on_flush (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  flush_updates (watcher->data);
}

static bool
classify_outcome (const lt_observation_event_t *event,
                  lt_choice_evidence_t *evidence)
{
  switch (event->outcome)
    {
    case LT_ATTEMPT_OK:
      *evidence = LT_CHOICE_SUCCESS;
      return true;
    case LT_ATTEMPT_FAILED:
    case LT_ATTEMPT_RESET:
    case LT_ATTEMPT_TRUNCATED:
    case LT_ATTEMPT_WRONG_RESPONSE:
    case LT_ATTEMPT_TIMEOUT:
      *evidence = LT_CHOICE_FAILURE;
      return true;
    case LT_ATTEMPT_SHED:
      *evidence = LT_CHOICE_SHED;
      return true;
    case LT_ATTEMPT_REFUSED:
      *evidence = LT_CHOICE_UNREACHABLE;
      return true;
    case LT_ATTEMPT_MISDIRECTED:
      *evidence = LT_CHOICE_ADDRESS_MOVED;
      return true;
    case LT_ATTEMPT_CANCELED:
      break;
    }
  return false;
}

static void
log_change (const lt_upstream_t *upstream, double before, double after,
            const char *source)
{
  if ((before >= GRAY_THRESHOLD) == (after >= GRAY_THRESHOLD))
    return;
  lt_log (LT_LOG_INFO, "upstreams",
          "msg=\"%s\" upstream=%.*s gray=%.2f before=%.2f source=%s",
          after >= GRAY_THRESHOLD ? "upstream suspected" : "upstream trusted",
          STR_ARG (upstream->name), after, before, source);
}

static const lt_upstream_t *
find_upstream (const lt_upstream_controller_t *c, uint64_t id)
{
  uint32_t count = c->config == NULL ? 0 : c->config->snapshot->upstream_count;
  for (uint32_t i = 0; i < count; i++)
    if (upstream_id (&c->config->snapshot->upstreams[i]) == id)
      return &c->config->snapshot->upstreams[i];
  return NULL;
}

/* Takes over the rate that an upstream named in a response to this or another
   VM.  Returns whether it changed.  */
static bool
set_rate (lt_upstream_controller_t *c, uint64_t id, int64_t rate_milli_per_s,
          const char *source, int64_t now_us)
{
  if (!lt_choice_set_rate (c->choice, id, rate_milli_per_s, now_us))
    return false;
  const lt_upstream_t *upstream = find_upstream (c, id);
  lt_log (
      LT_LOG_INFO, "upstreams",
      "msg=\"%s\" upstream=%.*s rate_milli=%lld clock=%s source=%s",
      rate_milli_per_s > 0 ? "upstream names a rate"
                           : "upstream names no rate any more",
      upstream == NULL ? 0 : (int)upstream->name.len,
      upstream == NULL ? "" : upstream->name.data, (long long)rate_milli_per_s,
      c->base.node->registry_clock.sampled_us != 0 ? "shared" : "own", source);
  if (rate_milli_per_s > 0)
    {
      c->limited_count++;
      lt_upstream_places_update (c->places, c->choice);
    }
  return true;
}

static void
observe_rate (lt_upstream_controller_t *c, const lt_observation_event_t *event,
              int64_t now_us)
{
  const lt_upstream_t *upstream = &event->snapshot->upstreams[event->upstream];
  uint64_t id = upstream_id (upstream);
  int64_t rate = event->rate_milli_per_s;
  /* A failure that names no rate may come from something in between.  */
  if (rate < 0 || (rate == 0 && event->outcome != LT_ATTEMPT_OK))
    return;
  bool changed = set_rate (c, id, rate, "own", now_us);
  pending_update_t *pending = mark_changed (c, upstream);
  if (pending == NULL)
    return;
  pending->rate_milli_per_s = rate;
  if (!changed || rate == 0)
    return;
  /* A new rate is sent at once, and to the whole region.  */
  lt_wire_upstream_updates_t updates = { .count = 1 };
  updates.items[0] = (lt_wire_upstream_update_t){ .upstream = id,
                                                  .rate_milli_per_s = rate };
  flush_updates (c);
  send_updates (c, &updates, false);
}

static void
observe_warm_up (lt_upstream_controller_t *c,
                 const lt_observation_event_t *event, int64_t now_us)
{
  const lt_upstream_t *upstream = &event->snapshot->upstreams[event->upstream];
  if (event->warm_until_us == 0
      || !lt_choice_set_cold (c->choice, upstream_id (upstream),
                              event->warm_until_us, now_us))
    return;
  lt_log (LT_LOG_INFO, "upstreams",
          "msg=\"upstream says that it is cold\" upstream=%.*s left_ms=%lld",
          STR_ARG (upstream->name),
          (long long)((event->warm_until_us - now_us) / LT_US_PER_MS));
}

static void
on_observation (lt_controller_t *base, const lt_observation_event_t *event,
                int64_t now_us)
{
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  const lt_upstream_t *upstream = &event->snapshot->upstreams[event->upstream];
  lt_choice_evidence_t evidence;
  observe_rate (c, event, now_us);
  observe_warm_up (c, event, now_us);
  if (!classify_outcome (event, &evidence))
    return;
  uint64_t id = upstream_id (upstream);
  lt_choice_estimate_t before = { 0 };
  lt_choice_estimate_t after = { 0 };
  lt_choice_look_up (c->choice, id, now_us, &before);
  lt_choice_observe (c->choice, id, evidence, now_us);
  lt_choice_look_up (c->choice, id, now_us, &after);
  log_change (upstream, before.gray_probability, after.gray_probability,
              "own");
  pending_update_t *pending = mark_changed (c, upstream);
  if (pending == NULL)
    return;
  if (evidence == LT_CHOICE_SUCCESS)
    pending->successes++;
  if (evidence != LT_CHOICE_FAILURE)
    return;
  /* A failure is sent at once, and to the whole region.  */
  pending->failures++;
  lt_wire_upstream_updates_t updates = { .count = 1 };
  updates.items[0]
      = (lt_wire_upstream_update_t){ .upstream = id, .failures = 1 };
  flush_updates (c);
  send_updates (c, &updates, false);
}

static void
apply_updates (lt_upstream_controller_t *c, const lt_peer_message_t *message,
               const lt_wire_upstream_updates_t *updates, int64_t now_us)
{
  uint64_t peer = lt_hash64 (message->sender);
  for (uint32_t i = 0; i < updates->count; i++)
    {
      const lt_wire_upstream_update_t *item = &updates->items[i];
      lt_choice_observe_peer (c->choice, item->upstream, item->successes,
                              item->failures, now_us);
      lt_choice_set_peer_load (c->choice, item->upstream, peer,
                               (int32_t)item->in_flight, now_us);
      if (item->rate_milli_per_s > 0 || item->successes > 0)
        set_rate (c, item->upstream, item->rate_milli_per_s, "peer", now_us);
    }
}

static void
on_frame (lt_controller_t *base, const lt_peer_message_t *message,
          int64_t now_us)
{
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  lt_wire_upstream_updates_t updates;
  if (lt_wire_upstream_updates_decode (message->payload, &updates) != 0)
    {
      c->malformed->value++;
      return;
    }
  c->received->value++;
  apply_updates (c, message, &updates, now_us);
}

static void
set_cold_count (lt_upstream_controller_t *c, uint32_t count)
{
  uint32_t before = (uint32_t)c->cold->value;
  c->cold->value = count;
  if (count != before)
    lt_log (LT_LOG_INFO, "upstreams",
            "msg=\"cold upstreams\" count=%u before=%u", count, before);
}

static void
on_config (lt_controller_t *base, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  (void)old;
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  lt_node_t *node = base->node;
  if (node->config == NULL || node->config->snapshot != current)
    return; /* Outdated: another call with a newer one follows. */
  lt_snapshot_ref_release (c->config);
  c->config = lt_snapshot_ref_acquire (node->config);
  uint32_t count = current->upstream_count;
  lt_choice_upstream_t *upstreams
      = lt_alloc ((count + 1) * sizeof (*upstreams));
  for (uint32_t i = 0; i < count; i++)
    {
      const lt_upstream_t *u = &current->upstreams[i];
      upstreams[i] = (lt_choice_upstream_t){
        .id = upstream_id (u),
        .service = u->service,
        .distance = distance_to (node, u),
        .slots = u->slots,
        .leaving = u->drained || u->evacuated,
        .warm_until_us = u->warm_until_us,
        .warm_rate_milli_per_s
        = current->services[u->service].warm_up_rate_milli_per_s,
        .region_bit = lt_snapshot_region_bit (current, u->region)
      };
    }
  bool stale = lt_upstream_places_configure (c->places, current, upstreams);
  lt_choice_configure (c->choice, upstreams, count, now_us);
  if (c->limited_count > 0 || stale)
    lt_upstream_places_update (c->places, c->choice);
  free (upstreams);
  free (c->updates);
  c->updates = lt_alloc ((count + 1) * sizeof (*c->updates));
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  if (c->config == NULL || now_us - c->gauge_updated_us < GAUGE_INTERVAL_US)
    return;
  c->gauge_updated_us = now_us;
  if (c->limited_count > 0 || lt_upstream_places_are_needed (c->places))
    lt_upstream_places_update (c->places, c->choice);
  const lt_snapshot_t *s = c->config->snapshot;
  uint32_t count = 0;
  uint32_t limited = 0;
  uint32_t evacuated = 0;
  uint32_t cold = 0;
  for (uint32_t i = 0; i < s->upstream_count; i++)
    {
      lt_choice_estimate_t view = { 0 };
      lt_choice_look_up (c->choice, upstream_id (&s->upstreams[i]), now_us,
                         &view);
      count += view.gray_probability >= GRAY_THRESHOLD;
      limited += view.rate_milli_per_s > 0;
      evacuated += s->upstreams[i].evacuated;
      cold += view.cold;
    }
  c->suspected->value = count;
  c->limited_count = limited;
  c->limited->value = limited;
  c->evacuated->value = evacuated;
  set_cold_count (c, cold);
}

static json_t *
status (lt_controller_t *base)
{
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  json_t *list = json_array ();
  int64_t now_us = lt_node_now_us (base->node);
  uint32_t count = c->config == NULL ? 0 : c->config->snapshot->upstream_count;
  for (uint32_t i = 0; i < count; i++)
    {
      const lt_upstream_t *u = &c->config->snapshot->upstreams[i];
      lt_choice_estimate_t view = { 0 };
      lt_choice_look_up (c->choice, upstream_id (u), now_us, &view);
      json_array_append_new (
          list, json_pack ("{s:s%, s:f, s:f, s:i, s:i, s:I, s:b, s:b, s:b}",
                           "upstream", u->name.data, u->name.len, "gray",
                           view.gray_probability, "no_path",
                           view.unreachable_probability, "in_flight",
                           view.own_in_flight, "peers_in_flight",
                           view.peers_in_flight, "rate_milli_per_s",
                           (json_int_t)view.rate_milli_per_s, "leaving",
                           (int)u->drained, "evacuated", (int)u->evacuated,
                           "cold", (int)view.cold));
    }
  return list;
}

static void
destroy (lt_controller_t *base)
{
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  ev_timer_stop (base->node->loop, &c->flush);
  lt_snapshot_ref_release (c->config);
  lt_choice_destroy (c->choice);
  lt_upstream_places_destroy (c->places);
  free (c->updates);
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "upstreams",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_UPSTREAM_UPDATES),
        .tick = tick,
        .on_message = on_frame,
        .on_config = on_config,
        .on_attempt_end = on_observation,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_upstream_controller_create (lt_node_t *node)
{
  lt_upstream_controller_t *c = lt_alloc (sizeof (*c));
  lt_choice_options_t options = LT_CHOICE_OPTIONS_DEFAULT;
  const char *name = "lavendertrack_news_total";
  const char *help = "News about upstreams between VMs.";
  c->base.vtable = &vtable;
  c->base.node = node;
  c->pools.vtable = &pools_vtable;
  c->choice = lt_choice_create (&options, &node->rng);
  c->places = lt_upstream_places_create (node);
  ev_timer_init (&c->flush, on_flush, UPDATE_DELAY_S, 0);
  c->flush.data = c;
  c->sent = lt_metrics_counter (node->metrics, name, help, "event=\"sent\"");
  c->received
      = lt_metrics_counter (node->metrics, name, help, "event=\"received\"");
  c->suspected
      = lt_metrics_gauge (node->metrics, "lavendertrack_upstreams_suspected",
                          "Upstreams that are more likely gray than not.", "");
  c->limited = lt_metrics_gauge (
      node->metrics, "lavendertrack_upstreams_limited",
      "Upstreams that name a rate that they take from all VMs.", "");
  c->evacuated
      = lt_metrics_gauge (node->metrics, "lavendertrack_upstreams_evacuated",
                          "Upstreams whose failure domain is evacuated.", "");
  c->cold = lt_metrics_gauge (
      node->metrics, "lavendertrack_upstreams_cold",
      "Upstreams that take only the warm-up rate of their service.", "");
  c->malformed
      = lt_metrics_counter (node->metrics, name, help, "event=\"malformed\"");
  return &c->base;
}

lt_pools_t *
lt_upstream_controller_pools (lt_controller_t *controller)
{
  return &((lt_upstream_controller_t *)controller)->pools;
}
