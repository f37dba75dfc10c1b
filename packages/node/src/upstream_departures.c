#include "lt/base/log.h"
#include "upstream_internal.h"

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
        "Responses in which upstreams said that they leave.", labels[i]);
  c->departing = lt_metrics_gauge (
      metrics, "lavendertrack_upstreams_departing",
      "Upstreams that said in a response that they leave.", "");
}
