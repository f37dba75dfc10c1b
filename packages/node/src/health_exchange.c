#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "health_internal.h"
#include "lt/base/error.h"
#include "lt/base/log.h"

/* Ten messages a second and their responses take about 3 KB/s of the 5 KB/s
   that a VM may use.  Services with failures are reported first.  */
#define MESSAGES_PER_S 10.0
#define MESSAGES_BURST 4.0
#define REPORT_INTERVAL_US 250000LL
#define AGGREGATOR_VALID_US 5000000LL

static bool
is_self (const lt_health_controller_t *controller, const char *vm_id)
{
  return vm_id[0] == '\0'
         || str_equal (str_from (vm_id), controller->node->settings->vm_id);
}

static void
find_aggregator (lt_health_controller_t *controller,
                 lt_health_service_t *service, int64_t now_us)
{
  if (service->aggregator_found_us > 0
      && now_us - service->aggregator_found_us < AGGREGATOR_VALID_US)
    return;
  service->aggregator_found_us = now_us;
  service->aggregator[0] = '\0';
  if (controller->hooks.owner == NULL)
    return;
  str_t owner
      = controller->hooks.owner (controller->hooks.user, service->name);
  snprintf (service->aggregator, sizeof (service->aggregator), "%.*s",
            STR_ARG (owner));
}

/* Adds this VM's counts to the evidence that it aggregates itself.  */
static void
add_own_counts (lt_health_controller_t *controller,
                lt_health_service_t *service, const lt_health_counts_t *counts,
                uint32_t count, int64_t now_us)
{
  lt_health_service_aggregate (service, now_us);
  uint32_t domain = lt_health_service_domain (
      service, controller->node->settings->failure_domain);
  lt_health_fleet_add_counts (service->fleet, domain, counts, count);
  /* Without a hook for the aggregator this is the only VM.  No other VM writes
     the record, so the copy stays current once it has been read.  */
  if (controller->hooks.owner == NULL && service->confirmed_us > 0)
    service->confirmed_us = now_us;
}

static void
report (lt_health_controller_t *controller, lt_health_service_t *service,
        int64_t now_us)
{
  lt_health_counts_t *counts
      = lt_alloc ((service->pool.count + 1) * sizeof (*counts));
  uint32_t count = lt_health_take_counts (service->local, counts);
  for (uint32_t i = 0; i < count; i++)
    counts[i].in_flight
        = lt_balance_in_flight (service->balance, counts[i].upstream);
  service->reported_us = now_us;
  find_aggregator (controller, service, now_us);
  if (is_self (controller, service->aggregator))
    add_own_counts (controller, service, counts, count, now_us);
  else
    {
      lt_health_evidence_message_t message
          = { .service = service->name,
              .failure_domain = controller->node->settings->failure_domain,
              .upstreams_hash = service->upstreams_hash,
              .record_version = service->view.record.version,
              .counts = counts,
              .count = count };
      lt_buf_t payload = { 0 };
      lt_health_evidence_encode (&message, &payload);
      service->evidence_sent_us = now_us;
      int error
          = lt_node_send (controller->node, str_from (service->aggregator),
                          LT_MESSAGE_EVIDENCE, 0, lt_buf_str (&payload));
      /* Another VM may have become the aggregator.  */
      if (error != 0)
        service->aggregator_found_us = 0;
      lt_buf_destroy (&payload);
    }
  free (counts);
}

/* Returns the service whose report is most urgent, or NULL.  */
static lt_health_service_t *
most_urgent (lt_health_controller_t *controller, int64_t now_us)
{
  lt_health_service_t *best = NULL;
  bool best_failed = false;
  for (uint32_t i = 0; i < controller->service_count; i++)
    {
      lt_health_service_t *service = controller->services[i];
      if (service->last_attempt_us <= service->reported_us
          || now_us - service->reported_us < REPORT_INTERVAL_US)
        continue;
      bool failed = lt_health_has_failures (service->local);
      bool older = best != NULL && service->reported_us < best->reported_us;
      if (best == NULL || (failed && !best_failed)
          || (failed == best_failed && older))
        {
          best = service;
          best_failed = failed;
        }
    }
  return best;
}

void
lt_health_send_evidence (lt_health_controller_t *controller, int64_t now_us)
{
  double elapsed_s = (double)(now_us - controller->tokens_us) / LT_US_PER_S;
  controller->tokens_us = now_us;
  controller->tokens += elapsed_s * MESSAGES_PER_S;
  if (controller->tokens > MESSAGES_BURST)
    controller->tokens = MESSAGES_BURST;
  while (controller->tokens >= 1)
    {
      lt_health_service_t *service = most_urgent (controller, now_us);
      if (service == NULL)
        return;
      report (controller, service, now_us);
      controller->tokens--;
    }
}

void
lt_health_service_encode_ejections (lt_health_service_t *service,
                                    int64_t version, int64_t now_us,
                                    lt_buf_t *payload)
{
  lt_buf_t record = { 0 };
  uint32_t count = service->fleet != NULL ? service->pool.count : 0;
  uint32_t *loads = lt_alloc ((count + 1) * sizeof (*loads));
  for (uint32_t i = 0; i < count; i++)
    loads[i] = (uint32_t)(lt_health_fleet_in_flight (service->fleet, i) + 0.5);
  lt_health_names_t names = lt_health_service_names (service);
  if (version != service->view.record.version)
    lt_health_record_encode (&service->view.record, &names, &record);
  lt_health_ejections_message_t message
      = { .service = service->name,
          .upstreams_hash = service->upstreams_hash,
          .version = service->view.record.version,
          .age_us = now_us - service->confirmed_us,
          .record = lt_buf_str (&record),
          .loads = loads,
          .load_count = count };
  lt_health_ejections_encode (&message, payload);
  lt_buf_destroy (&record);
  free (loads);
}

void
lt_health_on_evidence (lt_health_controller_t *controller,
                       const lt_peer_message_t *message, int64_t now_us)
{
  lt_health_evidence_message_t evidence;
  lt_health_counts_t *counts
      = lt_alloc (LT_HEALTH_UPSTREAMS_MAX * sizeof (*counts));
  if (lt_health_evidence_decode (message->payload, &evidence, counts,
                                 LT_HEALTH_UPSTREAMS_MAX)
      != 0)
    {
      lt_log (LT_LOG_WARN, "health", "msg=\"malformed evidence\" vm=%.*s",
              STR_ARG (message->sender));
      free (counts);
      return;
    }
  lt_health_service_t *service
      = lt_health_controller_service (controller, evidence.service);
  if (service != NULL)
    {
      lt_health_service_aggregate (service, now_us);
      uint32_t domain
          = lt_health_service_domain (service, evidence.failure_domain);
      if (evidence.upstreams_hash == service->upstreams_hash)
        lt_health_fleet_add_counts (service->fleet, domain, evidence.counts,
                                    evidence.count);
      lt_buf_t payload = { 0 };
      lt_health_service_encode_ejections (service, evidence.record_version,
                                          now_us, &payload);
      lt_node_send (controller->node, message->sender, LT_MESSAGE_EJECTIONS,
                    message->correlation, lt_buf_str (&payload));
      lt_buf_destroy (&payload);
    }
  free (counts);
}

static void
update_peer_loads (lt_health_service_t *service,
                   const lt_health_ejections_message_t *message,
                   int64_t now_us)
{
  if (message->upstreams_hash != service->upstreams_hash)
    return;
  for (uint32_t i = 0; i < message->load_count; i++)
    {
      double own = lt_balance_in_flight (service->balance, i);
      lt_balance_set_peer_load (service->balance, i, message->loads[i] - own,
                                now_us);
    }
}

void
lt_health_on_ejections (lt_health_controller_t *controller,
                        const lt_peer_message_t *message, int64_t now_us)
{
  lt_health_ejections_message_t ejections;
  uint32_t *loads = lt_alloc (LT_HEALTH_UPSTREAMS_MAX * sizeof (*loads));
  int error = lt_health_ejections_decode (message->payload, &ejections, loads,
                                          LT_HEALTH_UPSTREAMS_MAX);
  lt_health_service_t *service = NULL;
  if (error == 0)
    service = lt_health_controller_service (controller, ejections.service);
  if (service != NULL && ejections.record.len > 0)
    error = lt_health_service_apply (service, ejections.version,
                                     ejections.record, now_us);
  if (error == -LT_EPROTO)
    lt_log (LT_LOG_WARN, "health", "msg=\"malformed ejections\" vm=%.*s",
            STR_ARG (message->sender));
  if (service != NULL && error == 0)
    {
      update_peer_loads (service, &ejections, now_us);
      /* AGE_US is measured when the sender responds, which is after this VM
         sent its evidence.  So this time may be too early, never too late.
       */
      int64_t confirmed_us = service->evidence_sent_us - ejections.age_us;
      bool current = ejections.version == service->view.record.version;
      if (current && confirmed_us > service->confirmed_us)
        service->confirmed_us = confirmed_us;
    }
  free (loads);
}
