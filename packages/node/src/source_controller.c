#include "lt/node/source_controller.h"

#include <jansson.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/node/node.h"

enum
{
  /* A read of a few hundred records takes milliseconds; a store that is 100
     times slower still responds within this time.  */
  READ_TIMEOUT_MS = 3000,
  /* Longest wait of a watch that the platform allows.  */
  WATCH_WAIT_MS = 30000,
  WATCH_TIMEOUT_MARGIN_MS = 2000,
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
  /* After an outage of the store, the platform's heartbeats restore the
     entries of live upstreams within about 2 s; entries that are still missing
     then belong to upstreams that have left.  */
  MISSING_RETENTION_MS = 2200,
  /* Shorter pause while entries are missing, so that restored entries are read
     within the retention time.  */
  MISSING_PAUSE_MS = 250,
  /* An outage in which entries expire removes most entries of a service.  When
     at most one in this many is missing, the upstreams are taken to have left
     during the outage; if they did not, the service lacks them for 2 s.  */
  OUTAGE_MISSING_DIVISOR = 3,
  /* Low bits of a snapshot's version: number of snapshots installed since the
     configuration changed.  */
  INSTALL_COUNT_BITS = 20
};

/* One kind of registry records, which is read once and then watched.  */
typedef struct record_watch
{
  struct lt_source_controller *controller;
  lt_registry_kind_t kind;
  int64_t version;
  bool complete;            /* Completely read; now watched. */
  bool in_flight;           /* A call is in flight. */
  int64_t failing_since_us; /* When calls began to fail; 0: they succeed. */
  int failures;
  int64_t next_us;
  int64_t responded_us; /* Last response; 0: none. */
} record_watch_t;

typedef struct upstream_entry
{
  UT_hash_handle hh;
  int64_t version;
  bool missing; /* Absent from the registry; kept for now. */
  bool listed;  /* Listed by the read in flight. */
  lt_deployment_upstream_t upstream;
  lt_buf_t strings;
} upstream_entry_t;

struct lt_source_controller
{
  lt_controller_t base;
  record_watch_t watches[2];
  lt_snapshot_t *configuration; /* Without upstreams; NULL at first. */
  upstream_entry_t *entries;
  int64_t install_count;
  int64_t recovered_us; /* End of the last outage, of any kind; 0: none. */
  lt_counter_t *failures[2];
  lt_gauge_t *version_gauge;
  lt_gauge_t *age_gauge;
};

static const char *
kind_name (lt_registry_kind_t kind)
{
  static const char *const names[] = { "configuration", "upstreams", "vms" };
  return names[kind];
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
    upstreams[used++] = entry->upstream;
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
  int64_t current
      = c->configuration == NULL ? -1 : c->configuration->source_version;
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
  c->version_gauge->value = (double)deployment->version;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"configuration in force\" version=%lld before=%lld routes=%u "
          "services=%u workspaces=%u",
          (long long)deployment->version, (long long)current,
          snapshot->route_count, snapshot->service_count,
          snapshot->workspace_count);
}

static void
entry_destroy (lt_source_controller_t *c, upstream_entry_t *entry)
{
  HASH_DEL (c->entries, entry); /* NOLINT(clang-analyzer-*) */
  lt_buf_destroy (&entry->strings);
  free (entry);
}

/* Copies TEXT and returns its offset.  Appending may move the buffer, so views
   are made from the offsets afterwards.  */
static size_t
append (lt_buf_t *strings, str_t text)
{
  size_t at = strings->len;
  lt_buf_append_str (strings, text);
  return at;
}

static void
entry_set (upstream_entry_t *entry, const lt_registry_record_t *record,
           int64_t now_us)
{
  const lt_deployment_upstream_t *source = &record->upstream;
  lt_deployment_upstream_t *to = &entry->upstream;
  lt_buf_clear (&entry->strings);
  size_t name = append (&entry->strings, record->name);
  size_t service = append (&entry->strings, source->service);
  size_t address = append (&entry->strings, source->address);
  size_t domain = append (&entry->strings, source->failure_domain);
  size_t region = append (&entry->strings, source->region);
  const char *bytes = entry->strings.data;
  *to = *source;
  to->name = str_make (bytes + name, record->name.len);
  to->service = str_make (bytes + service, source->service.len);
  to->address = str_make (bytes + address, source->address.len);
  to->failure_domain = str_make (bytes + domain, source->failure_domain.len);
  to->region = str_make (bytes + region, source->region.len);
  to->warm_until_us
      = source->warm_until_us > 0 ? now_us + source->warm_until_us : 0;
  entry->version = record->version;
  entry->missing = false;
}

static void
log_upstream (const upstream_entry_t *entry, const char *event)
{
  const lt_deployment_upstream_t *u = &entry->upstream;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"upstream %s\" upstream=%.*s service=%.*s address=%.*s "
          "record=%lld",
          event, STR_ARG (u->name), STR_ARG (u->service), STR_ARG (u->address),
          (long long)entry->version);
}

static bool
is_after_outage (const lt_source_controller_t *c, int64_t now_us)
{
  return c->recovered_us > 0
         && now_us - c->recovered_us < MISSING_RETENTION_MS * LT_US_PER_MS;
}

/* Removes ENTRY, or marks it as missing shortly after an outage.  Returns
   whether it was removed.  */
static bool
remove_upstream (lt_source_controller_t *c, upstream_entry_t *entry,
                 int64_t now_us)
{
  /* The entry may have expired because the store was unavailable.  */
  if (is_after_outage (c, now_us) && !entry->upstream.draining)
    {
      entry->missing = true;
      return false;
    }
  log_upstream (entry, "gone");
  entry_destroy (c, entry);
  return true;
}

/* Returns whether the set of upstreams changed.  */
static bool
apply_upstream (lt_source_controller_t *c, const lt_registry_record_t *record,
                int64_t now_us)
{
  upstream_entry_t *entry = NULL;
  HASH_FIND (hh, c->entries, record->name.data, record->name.len, entry);
  if (entry != NULL && record->version < entry->version)
    return false;
  if (record->removed)
    return entry != NULL && remove_upstream (c, entry, now_us);
  bool is_new = entry == NULL;
  bool was_draining = !is_new && entry->upstream.draining;
  bool restarted
      = !is_new && entry->upstream.incarnation != record->upstream.incarnation;
  if (is_new)
    entry = lt_alloc (sizeof (*entry));
  else
    HASH_DEL (c->entries, entry); /* NOLINT(clang-analyzer-*) */
  entry_set (entry, record, now_us);
  entry->listed = true;
  HASH_ADD_KEYPTR (hh, c->entries, entry->upstream.name.data,
                   entry->upstream.name.len, entry);
  if (is_new)
    log_upstream (entry, "new");
  else if (restarted)
    log_upstream (entry, "started again");
  if (entry->upstream.draining && !was_draining)
    log_upstream (entry, "draining");
  return true;
}

static void
count_missing (const lt_source_controller_t *c, str_t service, uint32_t *total,
               uint32_t *missing)
{
  *total = 0;
  *missing = 0;
  for (const upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    if (str_equal (e->upstream.service, service))
      {
        *total += 1;
        *missing += e->missing;
      }
}

/* Removes missing entries of services that lack too few entries for an expiry
   by an outage (see OUTAGE_MISSING_DIVISOR).  Returns whether any was removed.
 */
static bool
remove_departed (lt_source_controller_t *c)
{
  bool changed = false;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  HASH_ITER (hh, c->entries, entry, next)
  {
    uint32_t total;
    uint32_t missing;
    if (!entry->missing)
      continue;
    count_missing (c, entry->upstream.service, &total, &missing);
    if (missing * OUTAGE_MISSING_DIVISOR > total)
      continue;
    log_upstream (entry, "gone");
    entry_destroy (c, entry);
    changed = true;
  }
  return changed;
}

/* Removes entries that a complete read did not list.  Returns whether any was
   removed.  */
static bool
remove_unlisted (lt_source_controller_t *c, int64_t now_us)
{
  bool changed = false;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  HASH_ITER (hh, c->entries, entry, next)
  {
    if (!entry->listed)
      changed = remove_upstream (c, entry, now_us) || changed;
  }
  return changed;
}

static void
apply_records (lt_source_controller_t *c, record_watch_t *watch,
               const lt_registry_result_t *result, int64_t now_us)
{
  bool changed = false;
  bool full_read = !watch->complete;
  int64_t before
      = c->configuration == NULL ? -1 : c->configuration->source_version;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  if (full_read && watch->kind == LT_REGISTRY_UPSTREAMS)
    HASH_ITER (hh, c->entries, entry, next) { entry->listed = false; }
  for (size_t i = 0; i < result->count; i++)
    if (watch->kind == LT_REGISTRY_CONFIG)
      apply_deployment (c, &result->records[i]);
    else
      changed = apply_upstream (c, &result->records[i], now_us) || changed;
  watch->complete = true;
  if (full_read && watch->kind == LT_REGISTRY_UPSTREAMS)
    changed = remove_unlisted (c, now_us) || changed || c->install_count == 0;
  if (watch->kind == LT_REGISTRY_UPSTREAMS)
    changed = remove_departed (c) || changed;
  int64_t after
      = c->configuration == NULL ? -1 : c->configuration->source_version;
  if (changed || after != before)
    install_snapshot (c);
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
  wait_ms = wait_ms / 2
            + (int64_t)lt_rng_below (&c->base.node->rng, (uint64_t)wait_ms);
  watch->failures++;
  watch->next_us = now_us + wait_ms * LT_US_PER_MS;
  c->failures[watch->kind]->value++;
  if (watch->failing_since_us != 0)
    return;
  watch->failing_since_us = now_us;
  lt_log (LT_LOG_WARN, "source",
          "msg=\"register lost\" part=%s version=%lld error=\"%s\"",
          kind_name (watch->kind), (long long)watch->version,
          lt_error_text (error));
}

static void
record_response (record_watch_t *watch, int64_t now_us)
{
  watch->failures = 0;
  watch->responded_us = now_us;
  lt_source_controller_t *c = watch->controller;
  const record_watch_t *other = &c->watches[watch == &c->watches[0]];
  if (watch->failing_since_us == 0)
    return;
  /* The other kind may already have shown that the registry is back.  */
  if (other->failing_since_us != 0
      || c->recovered_us < watch->failing_since_us)
    c->recovered_us = now_us;
  watch->failing_since_us = 0;
  for (int i = 0; i < 2; i++)
    c->watches[i].next_us = now_us;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"register regained\" part=%s version=%lld",
          kind_name (watch->kind), (long long)watch->version);
}

/* Returns the pause between a response and the next watch.  */
static int64_t
pause_ms (const lt_source_controller_t *c)
{
  int64_t ms = c->base.node->settings->leave_ms / PAUSES_PER_LEAVE_TIME;
  for (const upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    if (e->missing && ms > MISSING_PAUSE_MS)
      return MISSING_PAUSE_MS;
  return ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS;
}

static void
on_result (void *user, const lt_registry_result_t *result)
{
  record_watch_t *watch = user;
  lt_source_controller_t *c = watch->controller;
  int64_t now_us = lt_node_now_us (c->base.node);
  watch->in_flight = false;
  if (result->error != 0)
    {
      record_failure (watch, result->error, now_us);
      return;
    }
  record_response (watch, now_us);
  if (result->history_lost)
    {
      lt_log (LT_LOG_INFO, "source",
              "msg=\"history lost; reading all\" part=%s version=%lld",
              kind_name (watch->kind), (long long)watch->version);
      watch->complete = false;
    }
  else
    {
      apply_records (c, watch, result, now_us);
      watch->version = result->version;
      watch->next_us = now_us + pause_ms (c) * LT_US_PER_MS;
      if (result->count > 0)
        return; /* The tick starts the next call after the pause. */
    }
  submit_next (watch);
}

static int64_t
watch_wait_ms (const lt_settings_t *settings)
{
  return settings->fail_closed ? settings->revoke_ms / POLLS_PER_REVOCATION
                               : WATCH_WAIT_MS;
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
  int64_t wait_ms = watch_wait_ms (watch->controller->base.node->settings);
  lt_registry_t *registry = watch->controller->base.node->registry;
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

/* Removes entries that are still missing at the end of the retention time.  */
static void
expire_missing (lt_source_controller_t *c, int64_t now_us)
{
  bool changed = false;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  if (is_after_outage (c, now_us))
    return;
  HASH_ITER (hh, c->entries, entry, next)
  {
    if (!entry->missing)
      continue;
    log_upstream (entry, "did not come back");
    entry_destroy (c, entry);
    changed = true;
  }
  if (changed)
    install_snapshot (c);
}

int64_t
lt_source_controller_registry_age_us (lt_source_controller_t *c,
                                      int64_t now_us)
{
  int64_t responded_us = c->watches[LT_REGISTRY_CONFIG].responded_us;
  return responded_us == 0 ? -1 : now_us - responded_us;
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  for (int i = 0; i < 2; i++)
    if (!c->watches[i].in_flight && now_us >= c->watches[i].next_us)
      submit_next (&c->watches[i]);
  expire_missing (c, now_us);
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
  int64_t version
      = c->configuration == NULL ? -1 : c->configuration->source_version;
  return json_pack ("{s:I, s:I, s:I}", "version", (json_int_t)version,
                    "upstreams", (json_int_t)HASH_COUNT (c->entries), "age_us",
                    (json_int_t)lt_source_controller_registry_age_us (
                        c, lt_node_now_us (base->node)));
}

static void
destroy (lt_controller_t *base)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  HASH_ITER (hh, c->entries, entry, next) { entry_destroy (c, entry); }
  lt_snapshot_destroy (c->configuration);
  base->node->source_controller = NULL;
  free (c);
}

static const lt_controller_vtable_t vtable = { .name = "source",
                                               .start = start,
                                               .tick = tick,
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
                kind_name ((lt_registry_kind_t)i));
      c->failures[i] = lt_metrics_counter (
          node->metrics, "lavendertrack_register_failures_total",
          "Calls to the hosting platform's register that failed.", labels);
    }
  c->version_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_configuration_version",
                          "Version of the configuration in force.", "");
  c->age_gauge = lt_metrics_gauge (
      node->metrics, "lavendertrack_register_age_seconds",
      "Time since the register last answered; below 0: never.", "");
  node->source_controller = c;
  return &c->base;
}
