#include "daemon.h"

#include <ev.h>
#include <sodium.h>
#include <stdlib.h>

#include "bus.h"
#include "caller_server.h"
#include "dispatch_queue.h"
#include "drain_controller.h"
#include "filter_record.h"
#include "filters.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/config/sheet.h"
#include "lt/node/admin.h"
#include "lt/node/admin_api.h"
#include "lt/node/claim_controller.h"
#include "lt/node/config_controller.h"
#include "lt/node/cost_controller.h"
#include "lt/node/health_controller.h"
#include "lt/node/limit_controller.h"
#include "lt/node/quarantine_controller.h"
#include "lt/node/quota_controller.h"
#include "lt/node/source_controller.h"
#include "lt/node/upstream_controller.h"
#include "lt/policy/freshness.h"
#include "lt/policy/memory_budget.h"
#include "lt/policy/retry.h"
#include "membership_controller.h"
#include "mesh_controller.h"
#include "node_counters.h"
#include "node_memory.h"
#include "readiness.h"
#include "room_controller.h"
#include "sheet_file.h"
#include "upstream_client.h"
#include "waiting.h"

#define TICK_S 0.1
/* Hosted: after this share of the time from SIGTERM to SIGKILL no request is
   accepted; accepted requests have the rest, more than half, to complete.  */
#define HOSTED_QUIESCE_SHARE 0.45
/* Share of the allowed retries that is used; the rest is kept for retries that
   are already in flight.  */
#define USABLE_RETRY_SHARE 0.9
/* Connections whose request is not read yet do not count as in flight, so
   the drain waits this long for open connections after the listener closes. */
#define CONNECTION_WAIT_US (1 * LT_US_PER_S)
/* Time before the end of a stop for what follows the last response.  */
#define UNREAD_MARGIN_US (1 * LT_US_PER_S)

struct lt_daemon
{
  lt_node_t node;
  lt_admin_t *admin;
  lt_caller_server_t *callers;
  lt_readiness_t *readiness;
  ev_timer tick;
};

lt_node_t *
lt_daemon_node (lt_daemon_t *daemon)
{
  return &daemon->node;
}

uint16_t
lt_daemon_port (lt_daemon_t *daemon)
{
  return lt_caller_server_port (daemon->callers);
}

uint16_t
lt_daemon_admin_port (lt_daemon_t *daemon)
{
  return lt_admin_port (daemon->admin);
}

static bool
controllers_stopped (lt_node_t *node, int64_t now_us)
{
  bool stopped = true;
  for (int i = 0; i < node->controller_count; i++)
    {
      lt_controller_t *controller = node->controllers[i];
      if (controller->vtable->stop != NULL
          && !controller->vtable->stop (controller, now_us))
        stopped = false;
    }
  return stopped;
}

static int64_t
drain_grace_us (const lt_settings_t *settings)
{
  if (settings->hosting == NULL)
    return settings->drain_grace_ms * LT_US_PER_MS;
  return (int64_t)((double)settings->stop_grace_ms * HOSTED_QUIESCE_SHARE)
         * LT_US_PER_MS;
}

/* Returns whether the process stays for its callers' connections: for a while,
   or until the end of the stop if a caller has not received its response.  A
   caller that sends on a connection of a process that has ended loses it.  */
static bool
waits_for_callers (const lt_daemon_t *daemon, int64_t now_us)
{
  const lt_node_t *node = &daemon->node;
  if (now_us - node->drain_accepts_until_us < CONNECTION_WAIT_US)
    return lt_caller_server_connections (daemon->callers) > 0;
  return (node->drain_ends_us == 0
          || now_us < node->drain_ends_us - UNREAD_MARGIN_US)
         && lt_caller_server_has_unread (daemon->callers);
}

/* The VM keeps serving during the grace time, in which the load balancer
   removes it; then it stops accepting, and exits when nothing is in flight. */
static void
continue_drain (lt_daemon_t *daemon, int64_t now_us)
{
  lt_node_t *node = &daemon->node;
  if (now_us < node->drain_accepts_until_us)
    return;
  lt_caller_server_quiesce (daemon->callers);
  if (node->in_flight > 0 || waits_for_callers (daemon, now_us))
    return;
  if (controllers_stopped (node, now_us))
    ev_break (node->loop, EVBREAK_ALL);
}

/* Divides the fleet's fixed allowance of retries, less a tenth, among the VMs.
   Each VM gets at least one, or it could never start to retry.  */
static void
update_retry_burst (lt_node_t *node)
{
  if (node->registry == NULL || !node->directory->is_complete (node))
    return;
  double vms = (double)node->directory->others (node, NULL, 0) + 1;
  double part = (double)node->settings->retry_slack * USABLE_RETRY_SHARE / vms;
  lt_retry_set_burst (node->retry, part > 1 ? part : 1);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_daemon_t *daemon = watcher->data;
  lt_node_t *node = &daemon->node;
  int64_t now_us = lt_node_now_us (node);
  for (int i = 0; i < node->controller_count; i++)
    if (node->controllers[i]->vtable->tick != NULL)
      node->controllers[i]->vtable->tick (node->controllers[i], now_us);
  /* Stays set: a VM that is partitioned later still serves open routes.  */
  if (!node->config_was_confirmed && node->freshness != NULL)
    node->config_was_confirmed
        = node->config != NULL
          && lt_freshness_allows_keyed (node->freshness, now_us);
  update_retry_burst (node);
  lt_caller_server_tick (daemon->callers, now_us);
  if (node->draining)
    continue_drain (daemon, now_us);
}

static void
add_filters (lt_node_t *node)
{
  lt_node_add_filter (node, lt_filter_request_id_create ());
  lt_node_add_filter (node, lt_filter_record_create ());
  if (node->settings->hosting != NULL)
    lt_node_add_filter (node, lt_filter_await_config_create ());
  lt_node_add_filter (node, lt_filter_route_create ());
  lt_node_add_filter (node, lt_filter_size_create ());
  lt_node_add_filter (node, lt_filter_authenticate_create ());
  lt_node_add_filter (node, lt_filter_freshness_create ());
  lt_node_add_filter (node, lt_filter_deadline_create ());
  lt_node_add_filter (node, lt_filter_quarantine_create ());
  lt_node_add_filter (node, lt_filter_limit_create ());
  if (node->settings->hosting == NULL)
    lt_node_add_filter (node, lt_filter_admission_create (node->metrics));
  if (node->dialect->uses_claims)
    lt_node_add_filter (node, lt_filter_claim_create ());
  lt_node_add_filter (node, lt_filter_dispatch_create ());
}

static int
create_platform (lt_node_t *node)
{
  const lt_settings_t *s = node->settings;
  if (s->hosting != NULL)
    return s->hosting->registry_create (node->loop, s->hosting->user,
                                        &node->registry);
  if (s->platform == LT_PLATFORM_MEMORY)
    return lt_platform_memory_create (node->loop, node->clock,
                                      &node->platform);
  lt_platform_http_options_t options = LT_PLATFORM_HTTP_OPTIONS_DEFAULT;
  options.table_url = s->table_url;
  options.object_url = s->object_url;
  options.access_key = s->access_key;
  options.secret_key = s->secret_key;
  return lt_platform_http_create (node->loop, &options, &node->platform);
}

/* Called before the quarantine receives the same reset, so the first loss of a
   request still counts as a failure of the upstream.  */
static bool
is_suspect (void *user, const lt_digest_t *fingerprint)
{
  return lt_quarantine_controller_has_losses (user, fingerprint);
}

/* A hosting platform stores the configuration and the registry, so the VMs do
   not have to agree on either.  */
static void
add_hosted_controllers (lt_node_t *node)
{
  lt_node_add_controller (node, lt_mesh_controller_create (node));
  if (node->settings->cost_aware_choice)
    lt_node_add_controller (node, lt_cost_controller_create (node));
  lt_controller_t *upstreams = lt_upstream_controller_create (node);
  lt_node_add_controller (node, upstreams);
  node->pools = lt_upstream_controller_pools (upstreams);
  if (node->settings->priority_admission != 0)
    lt_node_add_controller (node, lt_room_controller_create (node));
  lt_node_add_controller (node, lt_quarantine_controller_create (node));
  lt_node_add_controller (node, lt_quota_controller_create (node));
  lt_node_add_controller (node, lt_source_controller_create (node));
}

static int
add_controllers (lt_node_t *node)
{
  if (node->registry != NULL)
    {
      add_hosted_controllers (node);
      return 0;
    }
  lt_node_add_controller (node, lt_config_controller_create (node));
  if (node->settings->peer_listen.len > 0)
    {
      lt_controller_t *membership = NULL;
      int error = lt_membership_controller_create (node, &membership);
      if (error != 0)
        return error;
      lt_node_add_controller (node, membership);
    }
  lt_health_hooks_t hooks = { 0 };
  if (node->membership != NULL)
    hooks = lt_health_hooks_membership (node);
  hooks.user = node;
  hooks.is_suspect = is_suspect;
  lt_node_add_controller (node, lt_health_controller_create (node, &hooks));
  node->pools = lt_health_controller_pools (node->health_controller);
  lt_node_add_controller (node, lt_drain_controller_create (node));
  lt_node_add_controller (node, lt_limit_controller_create (node));
  lt_node_add_controller (node, lt_claim_controller_create (node));
  lt_node_add_controller (node, lt_quarantine_controller_create (node));
  return 0;
}

static int
start_controllers (lt_node_t *node)
{
  for (int i = 0; i < node->controller_count; i++)
    {
      lt_controller_t *controller = node->controllers[i];
      int result = controller->vtable->start == NULL
                       ? 0
                       : controller->vtable->start (controller);
      if (result != 0)
        return result;
    }
  return 0;
}

static void
set_hosted_retry_budget (const lt_settings_t *settings,
                         lt_retry_options_t *options)
{
  options->retry_ratio
      = (double)settings->retry_permille * USABLE_RETRY_SHARE / 1000;
  options->workspace_ratio = 1;
  options->hedge_ratio = 0;
  options->budget_burst = 1;
  options->budget_per_s = 0;
  options->connect_failure_is_free = true;
}

static void
create_node (lt_daemon_t *daemon, struct ev_loop *loop, lt_clock_t *clock,
             const lt_settings_t *settings)
{
  lt_node_t *node = &daemon->node;
  uint64_t seed = (uint64_t)settings->seed;
  if (seed == 0)
    randombytes_buf (&seed, sizeof (seed));
  node->loop = loop;
  node->clock = clock;
  node->settings = settings;
  node->dialect = settings->hosting == NULL ? &lt_dialect_default
                                            : settings->hosting->dialect;
  node->metrics = lt_metrics_create ();
  node->incarnation = (uint64_t)lt_clock_wall_us (clock);
  lt_rng_init (&node->rng, seed);
  node->bus = lt_bus_create (node);
  lt_retry_options_t retry_options = LT_RETRY_OPTIONS_DEFAULT;
  if (settings->hosting != NULL)
    set_hosted_retry_budget (settings, &retry_options);
  node->retry = lt_retry_create (&retry_options, &node->rng);
  lt_node_metrics_create (node);
  lt_node_memory_create (node);
  lt_waiting_create (node);
  lt_dispatch_queue_create (node);
  add_filters (node);
}

int
lt_daemon_create (struct ev_loop *loop, lt_clock_t *clock,
                  const lt_settings_t *settings, lt_daemon_t **result)
{
  lt_daemon_t *daemon = lt_alloc (sizeof (*daemon));
  lt_node_t *node = &daemon->node;
  create_node (daemon, loop, clock, settings);
  int error = create_platform (node);
  if (error == 0)
    error = lt_upstream_client_create (loop, &node->upstreams);
  if (error == 0)
    error = add_controllers (node);
  if (error == 0)
    error = start_controllers (node);
  if (error == 0 && settings->sheet.len > 0)
    error = lt_sheet_file_apply (node, settings->sheet);
  if (error == 0)
    error = lt_admin_create (node, &daemon->admin);
  if (error == 0)
    lt_admin_add_api (daemon->admin);
  if (error == 0)
    error = lt_caller_server_create (node, &daemon->callers);
  if (error == 0 && settings->ready_listen.len > 0)
    error = lt_readiness_create (node, &daemon->readiness);
  ev_timer_init (&daemon->tick, on_tick, TICK_S, TICK_S);
  daemon->tick.data = daemon;
  if (error != 0)
    {
      lt_daemon_destroy (daemon);
      return error;
    }
  ev_timer_start (loop, &daemon->tick);
  *result = daemon;
  return 0;
}

void
lt_daemon_drain (lt_daemon_t *daemon)
{
  lt_node_t *node = &daemon->node;
  if (node->draining)
    return;
  node->draining = true;
  int64_t now_us = lt_node_now_us (node);
  node->drain_accepts_until_us = now_us + drain_grace_us (node->settings);
  if (node->settings->hosting != NULL)
    node->drain_ends_us
        = now_us + node->settings->stop_grace_ms * LT_US_PER_MS;
  lt_log (LT_LOG_INFO, "daemon", "msg=\"drain started\" grace_ms=%lld",
          (long long)(drain_grace_us (node->settings) / LT_US_PER_MS));
}

void
lt_daemon_destroy (lt_daemon_t *daemon)
{
  lt_node_t *node = &daemon->node;
  ev_timer_stop (node->loop, &daemon->tick);
  lt_readiness_destroy (daemon->readiness);
  lt_caller_server_destroy (daemon->callers);
  lt_admin_destroy (daemon->admin);
  for (int i = node->controller_count - 1; i >= 0; i--)
    node->controllers[i]->vtable->destroy (node->controllers[i]);
  for (int i = node->filter_count - 1; i >= 0; i--)
    node->filters[i]->vtable->destroy (node->filters[i]);
  lt_upstream_client_destroy (node->upstreams);
  lt_dispatch_queue_destroy (node);
  lt_waiting_destroy (node);
  lt_retry_destroy (node->retry);
  lt_memory_budget_destroy (node->memory);
  lt_platform_destroy (&node->platform);
  if (node->registry != NULL)
    node->registry->vtable->destroy (node->registry);
  lt_bus_destroy (node->bus);
  lt_snapshot_ref_release (node->config);
  lt_metrics_destroy (node->metrics);
  free (daemon);
}
