#include "source_internal.h"

#include <jansson.h>
#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/wire/frame.h"

enum
{
  /* The response to a call that begins in an outage may never come.  A call
     and its time-out, a pause and the next call fit into 3 s, after which a VM
     that reaches the registry is expected to be up to date.  A read of a few
     hundred records takes milliseconds, or some tenths of a second from a
     registry that is 100 times slower.  */
  READ_TIMEOUT_MS = 2500,
  WAITS_PER_LEAVE_TIME = 3,
  WATCH_TIMEOUT_MARGIN_MS = 1500,
  /* Deployments that refuse keys without the registry poll it this often
     within the time in which a withdrawn key must stop working.  */
  POLLS_PER_REVOCATION = 3,
  /* After changes the next watch starts after a pause, so that simultaneous
     changes are read by one call, as the platform charges for each call.  The
     pause, a call and applying its result fit twice into the time allowed for
     leaving upstreams; the time allowed for new configurations is longer.  */
  PAUSES_PER_LEAVE_TIME = 3,
  PAUSE_MAX_MS = 1000,
  RETRY_MIN_MS = 100,
  RETRY_MAX_MS = 700,
  /* Pause of a VM that leaves it to others of its domain to notice that the
     registry is back.  A VM that was cut off from those as well must notice by
     itself well within the time for a new configuration.  */
  SLOW_RETRY_MS = 1200,
  /* A VM that reads for its domain pauses for less than others: a pause and a
     watch together stay below the time for which its reports are fresh.  */
  READER_PAUSES_PER_LEAVE_TIME = 8,
  /* Shorter pause while entries are missing, so that restored entries are read
     within the retention time.  */
  MISSING_PAUSE_MS = 250,
  /* The registry's clock is read this often, at random within a half more or
     less.  Meanwhile the clocks of two VMs drift apart by a tenth of a second
     or less.  */
  CLOCK_READ_INTERVAL_S = 600,
  /* Low bits of a snapshot's version: number of snapshots installed since the
     configuration changed.  */
  INSTALL_COUNT_BITS = 20
};

const char *
lt_source_kind_name (lt_registry_kind_t kind)
{
  static const char *const names[] = { "configuration", "upstreams", "vms" };
  return names[kind];
}

int64_t
lt_source_config_version (const lt_source_controller_t *c)
{
  return c->configuration == NULL ? -1 : c->configuration->source_version;
}

/* Builds a snapshot from the configuration and the upstreams and puts it in
   force, once both have been read.  */
static void
install_snapshot (lt_source_controller_t *c)
{
  lt_node_t *node = c->base.node;
  if (c->configuration == NULL || !c->watches[LT_REGISTRY_UPSTREAMS].complete)
    return;
  uint32_t count = HASH_COUNT (c->entries);
  lt_deployment_upstream_t *upstreams
      = lt_alloc ((count + 1) * sizeof (*upstreams));
  uint32_t used = 0;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  HASH_ITER (hh, c->entries, entry, next)
  {
    upstreams[used] = entry->upstream;
    upstreams[used].evacuated
        = lt_source_is_evacuated (c, entry->upstream.failure_domain);
    used++;
  }
  int64_t version = (c->configuration->source_version << INSTALL_COUNT_BITS)
                    + ++c->install_count;
  lt_snapshot_t *snapshot = NULL;
  int error = lt_snapshot_with_upstreams (c->configuration, version, upstreams,
                                          used, &snapshot);
  free (upstreams);
  if (error == 0)
    error = lt_node_install_snapshot (node, snapshot);
  if (error != 0)
    {
      lt_log (LT_LOG_ERROR, "source",
              "msg=\"cannot install a snapshot\" version=%lld "
              "error=\"%s\"",
              (long long)c->configuration->source_version,
              lt_error_text (error));
      return;
    }
  node->config_was_confirmed = true;
}

static void
apply_deployment (lt_source_controller_t *c,
                  const lt_registry_record_t *record)
{
  const lt_deployment_t *deployment = record->deployment;
  int64_t current = lt_source_config_version (c);
  if (record->removed || deployment == NULL)
    {
      lt_log (LT_LOG_WARN, "source",
              "msg=\"no readable configuration; the old one stays\" "
              "version=%lld",
              (long long)current);
      return;
    }
  if (deployment->version <= current)
    return;
  lt_snapshot_t *snapshot = NULL;
  int error = lt_snapshot_from_deployment (
      deployment, c->base.node->settings->key_hash_secret, &snapshot);
  if (error != 0)
    {
      lt_log (LT_LOG_ERROR, "source",
              "msg=\"configuration refused\" version=%lld in_force=%lld "
              "error=\"%s\"",
              (long long)deployment->version, (long long)current,
              lt_error_text (error));
      return;
    }
  lt_snapshot_destroy (c->configuration);
  c->configuration = snapshot;
  c->install_count = 0;
  lt_source_exchange_keep (c, record->encoded);
  c->version_gauge->value = (double)deployment->version;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"configuration in force\" version=%lld before=%lld routes=%u "
          "services=%u workspaces=%u",
          (long long)deployment->version, (long long)current,
          snapshot->route_count, snapshot->service_count,
          snapshot->workspace_count);
}

void
lt_source_apply_configuration (lt_source_controller_t *c,
                               const lt_registry_record_t *record)
{
  int64_t before = lt_source_config_version (c);
  apply_deployment (c, record);
  if (lt_source_config_version (c) != before)
    install_snapshot (c);
}

/* Returns whether the set of upstreams changed, or which of them are
   evacuated.  */
static bool
apply_record (lt_source_controller_t *c, const record_watch_t *watch,
              const lt_registry_record_t *record, int64_t now_us)
{
  if (watch->kind == LT_REGISTRY_UPSTREAMS)
    return lt_source_apply_upstream (c, record, now_us);
  if (record->evacuated_domain.len > 0)
    return lt_source_apply_evacuation (c, record, now_us);
  apply_deployment (c, record);
  return false;
}

static void
apply_records (lt_source_controller_t *c, record_watch_t *watch,
               const lt_registry_result_t *result, int64_t now_us)
{
  bool changed = false;
  bool full_read = !watch->complete;
  int64_t before = lt_source_config_version (c);
  if (full_read && watch->kind == LT_REGISTRY_UPSTREAMS)
    lt_source_unlist_all (c);
  if (full_read && watch->kind == LT_REGISTRY_CONFIG)
    lt_source_unlist_evacuations (c);
  for (size_t i = 0; i < result->count; i++)
    changed = apply_record (c, watch, &result->records[i], now_us) || changed;
  watch->complete = true;
  if (full_read && watch->kind == LT_REGISTRY_CONFIG)
    changed = lt_source_end_unlisted_evacuations (c, now_us) || changed;
  if (full_read && watch->kind == LT_REGISTRY_UPSTREAMS)
    changed = lt_source_remove_unlisted (c, now_us) || changed
              || c->install_count == 0;
  if (watch->kind == LT_REGISTRY_UPSTREAMS)
    changed = lt_source_remove_departed (c, now_us) || changed;
  if (changed || lt_source_config_version (c) != before)
    install_snapshot (c);
}

int64_t
lt_source_age_us (const record_watch_t *watch, int64_t now_us)
{
  return watch->responded_us == 0 ? -1 : now_us - watch->responded_us;
}

static void
log_update (const record_watch_t *watch, const lt_registry_result_t *result,
            const source_origin_t *origin, int64_t now_us)
{
  int64_t behind_us = watch->behind ? now_us - watch->behind_since_us : 0;
  if (watch->complete && result->count == 0)
    return;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"register %s\" part=%s version=%lld before=%lld records=%zu "
          "from=%.*s age_ms=%lld behind_ms=%lld era=%lld",
          watch->complete ? "updated" : "read",
          lt_source_kind_name (watch->kind), (long long)result->version,
          (long long)watch->version, result->count, STR_ARG (origin->vm),
          (long long)(origin->age_us < 0 ? -1 : origin->age_us / LT_US_PER_MS),
          (long long)(behind_us / LT_US_PER_MS),
          (long long)watch->controller->base.node->registry_era);
}

void
lt_source_apply (record_watch_t *watch, const lt_registry_result_t *result,
                 const source_origin_t *origin, int64_t now_us)
{
  bool full_read = !watch->complete;
  /* An older result could bring back an upstream that has left since.  */
  if (!full_read && result->version < watch->version)
    return;
  log_update (watch, result, origin, now_us);
  apply_records (watch->controller, watch, result, now_us);
  watch->version = result->version;
  watch->era = watch->controller->base.node->registry_era;
  if (full_read || result->count > 0)
    watch->changed_version = result->version;
  watch->behind = false;
}

bool
lt_source_is_healthy (const lt_source_controller_t *c)
{
  for (int i = 0; i < 2; i++)
    if (!c->watches[i].complete || c->watches[i].failing_since_us != 0)
      return false;
  return true;
}

int64_t
lt_source_verified_us (const lt_source_controller_t *c)
{
  int64_t config_us = c->watches[LT_REGISTRY_CONFIG].responded_us;
  int64_t upstreams_us = c->watches[LT_REGISTRY_UPSTREAMS].responded_us;
  return config_us < upstreams_us ? config_us : upstreams_us;
}

static void submit_next (record_watch_t *watch);

static void
record_failure (record_watch_t *watch, int error, int64_t now_us)
{
  lt_source_controller_t *c = watch->controller;
  int64_t wait_ms = RETRY_MIN_MS;
  for (int i = 0; i < watch->failures && wait_ms < RETRY_MAX_MS; i++)
    wait_ms *= 2;
  if (wait_ms > RETRY_MAX_MS)
    wait_ms = RETRY_MAX_MS;
  /* A first failure may be that of a connection only.  */
  if (watch->complete && !watch->behind && watch->failures > 0
      && !lt_relay_retries_fast (c->relay))
    wait_ms = SLOW_RETRY_MS;
  wait_ms = wait_ms / 2
            + (int64_t)lt_rng_below (&c->base.node->rng, (uint64_t)wait_ms);
  watch->failures++;
  lt_relay_on_failure (c->relay);
  watch->next_us = now_us + wait_ms * LT_US_PER_MS;
  c->failures[watch->kind]->value++;
  if (watch->failing_since_us != 0)
    return;
  watch->failing_since_us = now_us;
  if (c->reading)
    lt_source_relay_report (c, now_us);
  lt_log (LT_LOG_WARN, "source",
          "msg=\"register lost\" part=%s version=%lld error=\"%s\"",
          lt_source_kind_name (watch->kind), (long long)watch->version,
          lt_error_text (error));
}

static void
read_clock (lt_source_controller_t *c, const lt_registry_result_t *result,
            int64_t now_us)
{
  lt_node_t *node = c->base.node;
  const int64_t interval_us = CLOCK_READ_INTERVAL_S * LT_US_PER_S;
  c->clock_due_us = now_us + interval_us / 2
                    + (int64_t)lt_rng_below (&node->rng, interval_us);
  if (result->clock_us > 0)
    lt_remote_clock_sample (&node->registry_clock, result->clock_us, now_us);
}

/* Returns when the registry sent a response that arrives at NOW_US.  One that
   was held up shows nothing about the time since.  */
static int64_t
sent_us (const lt_source_controller_t *c, const lt_registry_result_t *result,
         int64_t now_us)
{
  int64_t us = result->clock_us - c->base.node->registry_clock.offset_us;
  return result->clock_us == 0 || us > now_us ? now_us : us;
}

static void
record_response (record_watch_t *watch, const lt_registry_result_t *result,
                 int64_t now_us)
{
  lt_source_controller_t *c = watch->controller;
  read_clock (c, result, now_us);
  int64_t responded_us = sent_us (c, result, now_us);
  watch->failures = 0;
  if (responded_us > watch->responded_us)
    watch->responded_us = responded_us;
  const record_watch_t *other = &c->watches[watch == &c->watches[0]];
  bool failed_alone
      = lt_relay_failed_alone (c->relay, watch->failing_since_us);
  bool was_unavailable
      = other->failing_since_us == 0
        && lt_relay_on_response (c->relay, lt_source_verified_us (c), now_us);
  if (was_unavailable)
    c->recovered_us = now_us;
  if (watch->failing_since_us == 0)
    return;
  /* The other kind may already have shown that the registry is back.  */
  if (!failed_alone
      && (other->failing_since_us != 0
          || c->recovered_us < watch->failing_since_us))
    c->recovered_us = now_us;
  watch->failing_since_us = 0;
  for (int i = 0; i < 2; i++)
    c->watches[i].next_us = now_us;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"register regained\" part=%s version=%lld",
          lt_source_kind_name (watch->kind), (long long)watch->version);
}

static bool
reads_for_domain (const lt_source_controller_t *c)
{
  return c->reading && lt_relay_has_peers (c->relay);
}

/* Returns the pause between a response and the next watch.  */
static int64_t
pause_ms (const lt_source_controller_t *c)
{
  int64_t ms = c->base.node->settings->leave_ms
               / (reads_for_domain (c) ? READER_PAUSES_PER_LEAVE_TIME
                                       : PAUSES_PER_LEAVE_TIME);
  if (ms > MISSING_PAUSE_MS && lt_source_has_missing (c))
    return MISSING_PAUSE_MS;
  return ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS;
}

/* Returns whether WATCH is to call the registry: until it has read all records
   once and there is a configuration, when it lacks changes, while this VM
   reads for its domain, and now and then for the registry's clock.  */
static bool
needs_call (const record_watch_t *watch, int64_t now_us)
{
  const lt_source_controller_t *c = watch->controller;
  return !watch->complete || watch->behind || c->reading
         || c->configuration == NULL
         || (watch->kind == LT_REGISTRY_CONFIG && now_us >= c->clock_due_us);
}

static void
on_result (void *user, const lt_registry_result_t *result)
{
  record_watch_t *watch = user;
  lt_source_controller_t *c = watch->controller;
  int64_t now_us = lt_node_now_us (c->base.node);
  source_origin_t origin = { .age_us = lt_source_age_us (watch, now_us) };
  watch->in_flight = false;
  lt_source_controller_note_era (c->base.node, result->era);
  if (result->error != 0)
    {
      record_failure (watch, result->error, now_us);
      return;
    }
  if (lt_source_is_outdated (watch, result))
    {
      watch->next_us = now_us + RETRY_MIN_MS * LT_US_PER_MS;
      return;
    }
  if (lt_source_detect_older_state (watch, result, now_us))
    {
      record_failure (watch, -LT_ESTALE, now_us);
      return;
    }
  record_response (watch, result, now_us);
  if (result->history_lost)
    {
      lt_log (LT_LOG_INFO, "source",
              "msg=\"history lost; reading all\" part=%s version=%lld",
              lt_source_kind_name (watch->kind), (long long)watch->version);
      watch->complete = false;
    }
  else
    {
      lt_source_apply (watch, result, &origin, now_us);
      lt_source_relay_result (watch, result, now_us);
      watch->next_us = now_us + pause_ms (c) * LT_US_PER_MS;
      if (result->count > 0)
        return; /* The tick starts the next call after the pause. */
    }
  if (needs_call (watch, now_us))
    submit_next (watch);
}

/* The other VMs rely on the responses to both watches as a sign that this VM
   reaches the registry: a watch that hangs looks like one without changes.  */
static int64_t
watch_wait_ms (const record_watch_t *watch)
{
  const lt_source_controller_t *c = watch->controller;
  const lt_settings_t *settings = c->base.node->settings;
  int64_t wait_ms = settings->leave_ms / WAITS_PER_LEAVE_TIME;
  int64_t poll_ms = settings->revoke_ms / POLLS_PER_REVOCATION;
  if (watch->behind && !c->reading)
    return 0;
  return settings->fail_closed && poll_ms < wait_ms ? poll_ms : wait_ms;
}

bool
lt_source_controller_allows_keyed (lt_source_controller_t *c, int64_t now_us)
{
  const lt_settings_t *settings = c->base.node->settings;
  int64_t age_us = lt_source_controller_registry_age_us (c, now_us);
  return !settings->fail_closed
         || (age_us >= 0 && age_us < settings->revoke_ms * LT_US_PER_MS);
}

static void
submit_next (record_watch_t *watch)
{
  int64_t wait_ms = watch_wait_ms (watch);
  lt_registry_t *registry = watch->controller->base.node->registry;
  watch->asked_version = watch->complete ? watch->version : 0;
  watch->asked_all = !watch->complete;
  watch->least_version
      = watch->era == watch->controller->base.node->registry_era
            ? watch->version
            : 0;
  int error = watch->complete
                  ? registry->vtable->watch (
                      registry, watch->kind, watch->version, wait_ms,
                      wait_ms + WATCH_TIMEOUT_MARGIN_MS, on_result, watch)
                  : registry->vtable->read (registry, watch->kind,
                                            READ_TIMEOUT_MS, on_result, watch);
  watch->in_flight = error == 0;
  if (error != 0)
    record_failure (watch, error,
                    lt_node_now_us (watch->controller->base.node));
}

int64_t
lt_source_controller_registry_age_us (lt_source_controller_t *c,
                                      int64_t now_us)
{
  return lt_source_age_us (&c->watches[LT_REGISTRY_CONFIG], now_us);
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  lt_source_relay_tick (c, now_us);
  lt_source_era_tick (c, now_us);
  lt_source_exchange_tick (c, now_us);
  for (int i = 0; i < 2; i++)
    if (!c->watches[i].in_flight && now_us >= c->watches[i].next_us
        && needs_call (&c->watches[i], now_us))
      submit_next (&c->watches[i]);
  if (lt_source_expire_missing (c, now_us))
    install_snapshot (c);
  c->age_gauge->value
      = (double)lt_source_controller_registry_age_us (c, now_us) / LT_US_PER_S;
}

static int
start (lt_controller_t *base)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  for (int i = 0; i < 2; i++)
    submit_next (&c->watches[i]);
  return 0;
}

static json_t *
status (lt_controller_t *base)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  int64_t version = lt_source_config_version (c);
  return json_pack ("{s:I, s:I, s:b, s:I}", "version", (json_int_t)version,
                    "upstreams", (json_int_t)HASH_COUNT (c->entries), "reads",
                    (int)c->reading, "age_us",
                    (json_int_t)lt_source_controller_registry_age_us (
                        c, lt_node_now_us (base->node)));
}

static void
destroy (lt_controller_t *base)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  lt_source_remove_all (c);
  lt_source_forget_departed (c);
  lt_source_forget_evacuations (c, INT64_MAX);
  lt_relay_destroy (c->relay);
  lt_source_exchange_destroy (c);
  lt_snapshot_destroy (c->configuration);
  base->node->source_controller = NULL;
  free (c);
}

static void
on_message (lt_controller_t *base, const lt_peer_message_t *message,
            int64_t now_us)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  if (message->type == LT_MESSAGE_SNAPSHOT_GET
      || message->type == LT_MESSAGE_SNAPSHOT_DATA)
    lt_source_exchange_message (c, message, now_us);
  else
    lt_source_relay_message (c, message, now_us);
}

static const lt_controller_vtable_t vtable
    = { .name = "source",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_REGISTRY_REPORT)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_REGISTRY_RECORDS)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SNAPSHOT_GET)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_SNAPSHOT_DATA),
        .start = start,
        .tick = tick,
        .on_message = on_message,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_source_controller_create (lt_node_t *node)
{
  lt_source_controller_t *c = lt_alloc (sizeof (*c));
  c->base.vtable = &vtable;
  c->base.node = node;
  for (int i = 0; i < 2; i++)
    {
      char labels[64];
      c->watches[i].controller = c;
      c->watches[i].kind = (lt_registry_kind_t)i;
      snprintf (labels, sizeof (labels), "part=\"%s\"",
                lt_source_kind_name ((lt_registry_kind_t)i));
      c->failures[i] = lt_metrics_counter (
          node->metrics, "lavendertrack_register_failures_total",
          "Calls to the hosting platform's register that failed.", labels);
      c->older[i] = lt_metrics_counter (
          node->metrics, "lavendertrack_register_older_total",
          "Responses of the register that are older than earlier ones.",
          labels);
    }
  c->version_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_configuration_version",
                          "Version of the configuration in force.", "");
  c->age_gauge = lt_metrics_gauge (
      node->metrics, "lavendertrack_register_age_seconds",
      "Time since the register last answered; below 0: never.", "");
  lt_source_relay_create (c);
  lt_source_exchange_init (c);
  node->source_controller = c;
  return &c->base;
}
