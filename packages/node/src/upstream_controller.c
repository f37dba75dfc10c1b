#include "lt/node/upstream_controller.h"

#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/node/cost_controller.h"
#include "lt/node/node.h"
#include "lt/policy/choice_load.h"
#include "lt/wire/frame.h"
#include "upstream_internal.h"

enum
{
  /* Connecting takes one round trip: about 3 ms within a region and 40 ms
     across regions.  TCP retransmits a lost SYN only after one second, so a
     new attempt is faster than waiting for it.  */
  CONNECT_TIMEOUT_REGION_MS = 250,
  CONNECT_TIMEOUT_FAR_MS = 500
};

/* From this probability on, an upstream counts as gray in logs and gauges.  */
#define GRAY_THRESHOLD 0.5
/* Expected loss of an upstream that rejects everything: a rejected request is
   usually retried, but retries are bounded.  At a share of one half it equals
   three waiting requests at an upstream with 4 slots.  */
#define REJECTION_LOSS 0.6
/* Spreads requests over upstreams that count with the mean load; below the
   loss of another failure domain.  */
#define SPREAD_JITTER 0.02
/* An upstream that was emptied got 18 requests of 20 VMs within 60 ms (fleet
   of the test RoomFleet).  With this share it gets about as many as it has
   free slots.  */
#define TRUSTED_SHARE 0.1
/* Interval at which the gauges and the places in the fleet are updated.  */
#define GAUGE_INTERVAL_US LT_US_PER_S

static lt_upstream_controller_t *
controller_of_pools (lt_pools_t *pools)
{
  return (lt_upstream_controller_t *)((char *)pools
                                      - offsetof (lt_upstream_controller_t,
                                                  pools));
}

uint64_t
lt_upstream_id (const lt_upstream_t *upstream)
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
                                  .allowed_regions = pick->allowed_regions,
                                  .limits = pick->limits,
                                  .cost = pick->cost,
                                  .counted = pick->counted };
  if (pools->vtable->begin_work == NULL)
    request.cost = NULL;
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

static void
pools_load (lt_pools_t *pools, uint32_t service, int64_t now_us,
            lt_choice_load_t *loads)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  const lt_service_t *s = &c->config->snapshot->services[service];
  for (int i = 0; i < LT_DISTANCES; i++)
    loads[i] = (lt_choice_load_t){ 0 };
  for (uint32_t i = 0; i < s->upstream_count; i++)
    lt_choice_load_add (loads, c->choice, &c->upstreams[s->first_upstream + i],
                        now_us);
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

static void
pools_begin (lt_pools_t *pools, const lt_snapshot_t *snapshot,
             uint32_t upstream)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  lt_choice_begin_attempt (c->choice,
                           lt_upstream_id (&snapshot->upstreams[upstream]),
                           lt_node_now_us (c->base.node));
  lt_upstream_updates_mark (c, &snapshot->upstreams[upstream]);
}

static void
pools_end (lt_pools_t *pools, const lt_snapshot_t *snapshot, uint32_t upstream)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  lt_choice_end_attempt (c->choice,
                         lt_upstream_id (&snapshot->upstreams[upstream]));
  lt_upstream_updates_mark (c, &snapshot->upstreams[upstream]);
}

static void
pools_begin_wait (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                  uint32_t upstream)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  lt_choice_begin_wait (c->choice,
                        lt_upstream_id (&snapshot->upstreams[upstream]));
  lt_upstream_updates_mark (c, &snapshot->upstreams[upstream]);
}

static void
pools_begin_work (lt_pools_t *pools, const lt_pool_attempt_t *attempt,
                  int64_t now_us)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  const lt_upstream_t *u = &attempt->snapshot->upstreams[attempt->upstream];
  lt_cost_controller_begin (c->base.node->cost_controller, c->choice,
                            lt_upstream_id (u), attempt, now_us);
}

static void
pools_end_work (lt_pools_t *pools, const lt_pool_attempt_t *attempt,
                lt_attempt_outcome_t outcome, int64_t latency_us)
{
  lt_upstream_controller_t *c = controller_of_pools (pools);
  const lt_upstream_t *u = &attempt->snapshot->upstreams[attempt->upstream];
  lt_cost_controller_end (c->base.node->cost_controller, lt_upstream_id (u),
                          attempt, outcome, latency_us);
}

static void
pools_on_leaving (lt_pools_t *pools, const lt_snapshot_t *snapshot,
                  uint32_t upstream, int status, const char *request_id)
{
  lt_upstream_departures_note (controller_of_pools (pools),
                               &snapshot->upstreams[upstream], status,
                               request_id);
}

static const lt_pools_vtable_t pools_vtable = { .config = pools_config,
                                                .pick = pools_pick,
                                                .on_refused = pools_refuse,
                                                .on_leaving = pools_on_leaving,
                                                .wait_us = pools_wait_us,
                                                .load = pools_load,
                                                .connect_ms = pools_connect_ms,
                                                .begin = pools_begin,
                                                .end = pools_end,
                                                .begin_wait = pools_begin_wait,
                                                .end_wait = pools_end };

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
    case LT_ATTEMPT_MALFORMED:
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
    if (lt_upstream_id (&c->config->snapshot->upstreams[i]) == id)
      return &c->config->snapshot->upstreams[i];
  return NULL;
}

bool
lt_upstream_set_rate (lt_upstream_controller_t *c, uint64_t id,
                      int64_t rate_milli_per_s, const char *source,
                      int64_t now_us)
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
  uint64_t id = lt_upstream_id (upstream);
  int64_t rate = event->rate_milli_per_s;
  /* A failure that names no rate may come from something in between.  */
  if (rate < 0 || (rate == 0 && event->outcome != LT_ATTEMPT_OK))
    return;
  bool changed = lt_upstream_set_rate (c, id, rate, "own", now_us);
  pending_update_t *pending = lt_upstream_updates_mark (c, upstream);
  if (pending == NULL)
    return;
  pending->rate_milli_per_s = rate;
  if (!changed || rate == 0)
    return;
  /* A new rate is sent at once, and to the whole region.  */
  lt_wire_upstream_updates_t updates = { .count = 1 };
  updates.items[0] = (lt_wire_upstream_update_t){ .upstream = id,
                                                  .rate_milli_per_s = rate };
  lt_upstream_updates_flush (c);
  lt_upstream_updates_send (c, &updates, false);
}

static void
observe_warm_up (lt_upstream_controller_t *c,
                 const lt_observation_event_t *event, int64_t now_us)
{
  const lt_upstream_t *upstream = &event->snapshot->upstreams[event->upstream];
  if (event->warm_until_us == 0
      || !lt_choice_set_cold (c->choice, lt_upstream_id (upstream),
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
  uint64_t id = lt_upstream_id (upstream);
  lt_choice_estimate_t before = { 0 };
  lt_choice_estimate_t after = { 0 };
  lt_choice_look_up (c->choice, id, now_us, &before);
  lt_choice_observe (c->choice, id, evidence, now_us);
  lt_choice_look_up (c->choice, id, now_us, &after);
  log_change (upstream, before.gray_probability, after.gray_probability,
              "own");
  pending_update_t *pending = lt_upstream_updates_mark (c, upstream);
  if (pending == NULL)
    return;
  if (evidence == LT_CHOICE_SUCCESS)
    pending->successes++;
  if (evidence == LT_CHOICE_SHED && base->node->room_controller != NULL)
    pending->rejections++;
  if (evidence != LT_CHOICE_FAILURE)
    return;
  /* A failure is sent at once, and to the whole region.  */
  pending->failures++;
  lt_wire_upstream_updates_t updates = { .count = 1 };
  updates.items[0]
      = (lt_wire_upstream_update_t){ .upstream = id, .failures = 1 };
  lt_upstream_updates_flush (c);
  lt_upstream_updates_send (c, &updates, false);
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
on_message (lt_controller_t *base, const lt_peer_message_t *message,
            int64_t now_us)
{
  lt_upstream_controller_t *c = (lt_upstream_controller_t *)base;
  if (message->type == LT_MESSAGE_DRAIN)
    lt_upstream_departures_receive (c, message, now_us);
  else
    lt_upstream_updates_receive (c, message, now_us);
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
        .id = lt_upstream_id (u),
        .service = u->service,
        .distance = distance_to (node, u),
        .slots = u->slots,
        .leaving
        = u->drained || u->evacuated || lt_upstream_is_departing (c, u),
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
  free (c->upstreams);
  c->upstreams = upstreams;
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
      lt_choice_look_up (c->choice, lt_upstream_id (&s->upstreams[i]), now_us,
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
  lt_upstream_departures_tick (c, now_us);
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
      lt_choice_look_up (c->choice, lt_upstream_id (u), now_us, &view);
      json_array_append_new (
          list,
          json_pack (
              "{s:s%, s:f, s:f, s:f, s:i, s:i, s:I, s:b, s:b, s:b}",
              "upstream", u->name.data, u->name.len, "gray",
              view.gray_probability, "no_path", view.unreachable_probability,
              "rejected", view.rejected_share, "in_flight", view.own_in_flight,
              "peers_in_flight", view.peers_in_flight, "rate_milli_per_s",
              (json_int_t)view.rate_milli_per_s, "leaving",
              (int)(u->drained || lt_upstream_is_departing (c, u)),
              "evacuated", (int)u->evacuated, "cold", (int)view.cold));
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
  lt_departures_destroy (c->departures);
  free (c->upstreams);
  free (c->updates);
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "upstreams",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_UPSTREAM_UPDATES)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_DRAIN),
        .tick = tick,
        .on_message = on_message,
        .on_config = on_config,
        .on_attempt_end = on_observation,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_upstream_controller_create (lt_node_t *node)
{
  lt_upstream_controller_t *c = lt_alloc (sizeof (*c));
  lt_choice_options_t options = LT_CHOICE_OPTIONS_DEFAULT;
  if (node->settings->priority_admission != 0)
    {
      options.rejection_loss = REJECTION_LOSS;
      options.jitter = SPREAD_JITTER;
      options.trusted_share = TRUSTED_SHARE;
    }
  const char *name = "lavendertrack_news_total";
  const char *help = "News about upstreams between VMs.";
  c->base.vtable = &vtable;
  c->base.node = node;
  c->vtable = pools_vtable;
  c->pools.vtable = &c->vtable;
  if (node->cost_controller != NULL)
    {
      c->vtable.begin_work = pools_begin_work;
      c->vtable.end_work = pools_end_work;
      options.work = lt_cost_controller_work (node->cost_controller);
    }
  c->choice = lt_choice_create (&options, &node->rng);
  c->places = lt_upstream_places_create (node);
  lt_upstream_updates_init (c);
  lt_upstream_departures_init (c);
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
