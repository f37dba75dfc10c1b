#include "node_counters.h"

#include <stdio.h>

#include "lt/node/request.h"

static lt_counter_t *
create_counter (lt_node_t *node, const char *name, const char *help,
                const char *label, const char *value)
{
  char labels[96];
  snprintf (labels, sizeof (labels), "%s=\"%s\"", label, value);
  return lt_metrics_counter (node->metrics, name, help, labels);
}

static void
create_retry_counters (lt_node_t *node)
{
  for (int i = 0; i < LT_RETRY_REASONS; i++)
    node->retry_decisions[i] = create_counter (
        node, "lavendertrack_retry_decisions_total",
        "Decisions on retries and hedges, by reason.", "reason",
        lt_retry_reason_name ((lt_retry_reason_t)i));
  for (int i = 0; i < LT_RETRY_FAILURES; i++)
    node->retry_failures[i] = create_counter (
        node, "lavendertrack_retried_total",
        "Attempts that were retried, by their failure.", "failure",
        lt_retry_failure_name ((lt_retry_failure_t)i));
}

void
lt_node_metrics_create (lt_node_t *node)
{
  static const char *const classes[]
      = { "none", "1xx", "2xx", "3xx", "4xx", "5xx" };
  for (int i = 0; i < LT_REFUSAL_COUNT; i++)
    node->refused[i] = create_counter (
        node, "lavendertrack_refused_total", "Requests refused, by reason.",
        "reason", lt_refusal_get ((lt_refusal_t)i)->reason);
  for (int i = 0; i < 6; i++)
    node->requests_by_class[i] = create_counter (
        node, "lavendertrack_requests_total",
        "Requests, by class of the status.", "class", classes[i]);
  create_retry_counters (node);
  node->request_time = lt_metrics_histogram (
      node->metrics, "lavendertrack_request_seconds",
      "Time from a request's header to the end of its answer.", "");
  node->in_flight_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_requests_in_flight",
                          "Requests of callers in flight.", "");
}

void
lt_node_metrics_count_request (lt_node_t *node, const lt_request_t *request)
{
  int status_class
      = request->response.header_ready ? request->response.status / 100 : 0;
  if (status_class < 0 || status_class > 5)
    status_class = 0;
  node->requests_by_class[status_class]->value++;
  lt_histogram_add (node->request_time,
                    lt_node_now_us (node) - request->started_us);
}
