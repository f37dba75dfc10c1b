#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "upstream_internal.h"

/* Takes the upstream out of the choice at once; later configurations leave it
   out by lt_upstream_is_departing.  */
static void
stop_requests (lt_upstream_controller_t *c, uint64_t id)
{
  uint32_t count = c->config == NULL ? 0 : c->config->snapshot->upstream_count;
  for (uint32_t i = 0; i < count; i++)
    if (c->upstreams[i].id == id)
      c->upstreams[i].leaving = true;
  lt_choice_set_leaving (c->choice, id);
}

static void
tell_others (lt_upstream_controller_t *c, const lt_upstream_t *upstream)
{
  lt_wire_drain_t message
      = { .upstream = upstream->name,
          .state = LT_WIRE_DRAIN_DRAINING,
          .version = (int64_t)(upstream->incarnation & INT64_MAX) };
  lt_buf_t payload = { 0 };
  lt_wire_drain_encode (&message, &payload);
  for (int in_domain = 0; in_domain < 2; in_domain++)
    c->departed[UPSTREAM_DEPARTURE_SENT]->value += lt_upstream_send_near (
        c, LT_MESSAGE_DRAIN, lt_buf_str (&payload), in_domain != 0);
  lt_buf_destroy (&payload);
}

void
lt_upstream_departures_note (lt_upstream_controller_t *c,
                             const lt_upstream_t *upstream, int status,
                             const char *request_id)
{
  uint64_t id = lt_upstream_id (upstream);
  bool is_new
      = lt_departures_note (c->departures, id, lt_node_now_us (c->base.node));
  c->departed[is_new ? UPSTREAM_DEPARTURE_OWN : UPSTREAM_DEPARTURE_REPEATED]
      ->value++;
  if (!is_new)
    return;
  lt_log (LT_LOG_INFO, "upstreams",
          "msg=\"upstream says that it leaves\" upstream=%.*s status=%d "
          "listed=%s request=%s",
          STR_ARG (upstream->name), status,
          upstream->drained ? "draining" : "ready", request_id);
  stop_requests (c, id);
  tell_others (c, upstream);
}

void
lt_upstream_departures_receive (lt_upstream_controller_t *c,
                                const lt_peer_message_t *message,
                                int64_t now_us)
{
  lt_wire_drain_t drain;
  if (lt_wire_drain_decode (message->payload, &drain) != 0
      || drain.state != LT_WIRE_DRAIN_DRAINING)
    {
      c->departed[UPSTREAM_DEPARTURE_MALFORMED]->value++;
      return;
    }
  lt_upstream_t upstream
      = { .name = drain.upstream, .incarnation = (uint64_t)drain.version };
  uint64_t id = lt_upstream_id (&upstream);
  if (!lt_departures_note (c->departures, id, now_us))
    return;
  c->departed[UPSTREAM_DEPARTURE_PEER]->value++;
  lt_log (LT_LOG_INFO, "upstreams",
          "msg=\"upstream leaves, says another VM\" upstream=%.*s vm=%.*s",
          STR_ARG (drain.upstream), STR_ARG (message->sender));
  stop_requests (c, id);
}

bool
lt_upstream_is_departing (const lt_upstream_controller_t *c,
                          const lt_upstream_t *upstream)
{
  return lt_departures_has (c->departures, lt_upstream_id (upstream));
}

void
lt_upstream_departures_tick (lt_upstream_controller_t *c, int64_t now_us)
{
  lt_departures_expire (c->departures, now_us);
  c->departing->value = lt_departures_count (c->departures);
}

void
lt_upstream_departures_init (lt_upstream_controller_t *c)
{
  lt_departures_options_t options = LT_DEPARTURES_OPTIONS_DEFAULT;
  lt_metrics_t *metrics = c->base.node->metrics;
  c->departures = lt_departures_create (&options);
#define UPSTREAM_DEPARTURE_TEXT(name, text) "event=\"" text "\"",
  static const char *const labels[]
      = { UPSTREAM_DEPARTURE_TABLE (UPSTREAM_DEPARTURE_TEXT) };
#undef UPSTREAM_DEPARTURE_TEXT
  for (int i = 0; i < UPSTREAM_DEPARTURE_EVENTS; i++)
    c->departed[i] = lt_metrics_counter (
        metrics, "lavendertrack_departures_total",
        "Responses and messages that say that an upstream leaves.", labels[i]);
  c->departing
      = lt_metrics_gauge (metrics, "lavendertrack_upstreams_departing",
                          "Upstreams known to leave by a response.", "");
}
