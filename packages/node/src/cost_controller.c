#include "lt/node/cost_controller.h"

#include <jansson.h>
#include <stdlib.h>

#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/policy/choice.h"
#include "pools.h"

enum
{
  GAUGE_INTERVAL_S = 1,
  LOG_INTERVAL_S = 60
};

struct lt_cost_controller
{
  lt_controller_t base;
  lt_work_t *work;
  lt_counter_t *completed;
  lt_counter_t *stopped;
  lt_counter_t *evicted;
  lt_gauge_t *keys;
  lt_gauge_t *work_left;
  lt_gauge_t *slow;
  int64_t gauges_us; /* Last update of the gauges. */
  int64_t logged_us;
};

lt_work_t *
lt_cost_controller_work (lt_cost_controller_t *controller)
{
  return controller->work;
}

/* What an attempt shows about the cost of its request.  */
static lt_work_end_t
classify (lt_attempt_outcome_t outcome)
{
  switch (outcome)
    {
    case LT_ATTEMPT_OK:
      return LT_WORK_COMPLETE;
    case LT_ATTEMPT_TIMEOUT:
    case LT_ATTEMPT_CANCELED:
      return LT_WORK_STOPPED;
    case LT_ATTEMPT_FAILED:
    case LT_ATTEMPT_RESET:
    case LT_ATTEMPT_REFUSED:
    case LT_ATTEMPT_SHED:
    case LT_ATTEMPT_TRUNCATED:
    case LT_ATTEMPT_WRONG_RESPONSE:
    case LT_ATTEMPT_MALFORMED:
    case LT_ATTEMPT_MISDIRECTED:
      break;
    }
  return LT_WORK_FAILED;
}

void
lt_cost_controller_begin (lt_cost_controller_t *controller,
                          const lt_choice_t *choice, uint64_t upstream,
                          const lt_pool_attempt_t *attempt, int64_t now_us)
{
  lt_choice_estimate_t view = { 0 };
  if (lt_choice_look_up (choice, upstream, now_us, &view) != 0)
    return;
  lt_work_load_t load
      = { .upstream = upstream,
          .slots = attempt->snapshot->upstreams[attempt->upstream].slots,
          .own = view.own_in_flight,
          .peers = view.peers_in_flight };
  lt_work_begin (controller->work, &load, attempt->id, attempt->cost, now_us);
}

void
lt_cost_controller_end (lt_cost_controller_t *controller, uint64_t upstream,
                        const lt_pool_attempt_t *attempt,
                        lt_attempt_outcome_t outcome, int64_t latency_us)
{
  lt_work_end (controller->work, upstream, attempt->id, classify (outcome),
               latency_us, lt_node_now_us (controller->base.node));
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_cost_controller_t *c = (lt_cost_controller_t *)base;
  if (now_us - c->gauges_us < GAUGE_INTERVAL_S * LT_US_PER_S)
    return;
  c->gauges_us = now_us;
  lt_work_stats_t work = lt_work_get_stats (c->work, now_us);
  lt_cost_stats_t cost = lt_cost_get_stats (lt_work_cost (c->work));
  c->completed->value = work.completed;
  c->stopped->value = work.stopped;
  c->evicted->value = cost.evictions;
  c->keys->value = cost.keys;
  c->work_left->value = work.work;
  c->slow->value = work.slow;
  if (now_us - c->logged_us < LOG_INTERVAL_S * LT_US_PER_S)
    return;
  c->logged_us = now_us;
  lt_log (LT_LOG_INFO, "costs",
          "msg=\"costs of requests\" observed=%llu keys=%u evicted=%llu "
          "in_flight=%u work=%.1f slow=%u",
          (unsigned long long)cost.observations, cost.keys,
          (unsigned long long)cost.evictions, work.attempts, work.work,
          work.slow);
}

/* Adds what is known of the requests of ROUTE for SERVICE.  */
static void
append_route (json_t *list, const lt_cost_t *cost, const lt_route_t *route,
              const lt_service_t *service, int64_t now_us)
{
  lt_cost_features_t features = { .service = lt_hash64 (service->name),
                                  .route = lt_hash64 (route->name) };
  lt_cost_key_t key = lt_cost_key_make (&features);
  lt_cost_view_t view;
  if (lt_cost_look_up (cost, key.route, now_us, &view) != 0)
    return;
  /* The key with no other feature predicts as its route does.  */
  json_array_append_new (
      list, json_pack ("{s:s%, s:s%, s:f, s:f, s:f, s:f, s:f, s:f}", "route",
                       route->name.data, route->name.len, "service",
                       service->name.data, service->name.len, "predicted_ms",
                       lt_cost_mean_us (cost, &key, now_us) / LT_US_PER_MS,
                       "observed_ms", view.mean_us / LT_US_PER_MS, "median_ms",
                       view.median_us / LT_US_PER_MS, "p99_ms",
                       view.p99_us / LT_US_PER_MS, "log_ratio", view.log_ratio,
                       "weight", view.weight));
}

static json_t *
status (lt_controller_t *base)
{
  lt_cost_controller_t *c = (lt_cost_controller_t *)base;
  const lt_node_t *node = base->node;
  const lt_snapshot_t *s
      = node->config == NULL ? NULL : node->config->snapshot;
  const lt_cost_t *cost = lt_work_cost (c->work);
  int64_t now_us = lt_node_now_us (base->node);
  json_t *routes = json_array ();
  for (uint32_t i = 0; s != NULL && i < s->route_count; i++)
    {
      const lt_route_t *route = &s->routes[i];
      for (uint32_t j = 0; j < route->split_count; j++)
        append_route (routes, cost, route,
                      &s->services[route->splits[j].service], now_us);
      if (route->split_count == 0)
        append_route (routes, cost, route, &s->services[route->service],
                      now_us);
    }
  lt_cost_stats_t stats = lt_cost_get_stats (cost);
  return json_pack ("{s:I, s:i, s:I, s:I, s:o}", "observations",
                    (json_int_t)stats.observations, "keys", (int)stats.keys,
                    "evictions", (json_int_t)stats.evictions, "bytes",
                    (json_int_t)stats.bytes, "routes", routes);
}

static void
destroy (lt_controller_t *base)
{
  lt_cost_controller_t *c = (lt_cost_controller_t *)base;
  base->node->cost_controller = NULL;
  lt_work_destroy (c->work);
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "costs", .tick = tick, .status = status, .destroy = destroy };

lt_controller_t *
lt_cost_controller_create (lt_node_t *node)
{
  lt_cost_controller_t *c = lt_alloc (sizeof (*c));
  lt_work_options_t options = LT_WORK_OPTIONS_DEFAULT;
  lt_cost_options_t cost_options = LT_COST_OPTIONS_DEFAULT;
  lt_metrics_t *metrics = node->metrics;
  const char *name = "lavendertrack_costs_total";
  const char *help = "Costs of requests learned, and keys replaced.";
  c->base.vtable = &vtable;
  c->base.node = node;
  c->work = lt_work_create (&options, &cost_options);
  c->completed
      = lt_metrics_counter (metrics, name, help, "event=\"completed\"");
  c->stopped = lt_metrics_counter (metrics, name, help, "event=\"stopped\"");
  c->evicted = lt_metrics_counter (metrics, name, help, "event=\"evicted\"");
  c->keys = lt_metrics_gauge (metrics, "lavendertrack_cost_keys",
                              "Keys of the predictor of costs.", "");
  c->work_left = lt_metrics_gauge (
      metrics, "lavendertrack_work_left",
      "Expected remaining cost of the attempts in progress, in mean costs.",
      "");
  c->slow = lt_metrics_gauge (
      metrics, "lavendertrack_upstreams_slow",
      "Upstreams that take longer than the costs of their requests explain.",
      "");
  node->cost_controller = c;
  return &c->base;
}
