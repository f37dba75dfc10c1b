#include "lt/node/source_controller.h"

#include <jansson.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/node/node.h"

enum
{
  /* A read of a few hundred rows takes milliseconds; a store that is slow by a
     factor of a hundred still answers within this.  */
  READ_TIMEOUT_MS = 3000,
  /* Longest wait that the platform allows.  */
  WATCH_WAIT_MS = 30000,
  WATCH_EXTRA_MS = 2000,
  /* Where keys end with the register, it is asked this often within the time
     in which a withdrawn key must be dead.  */
  ASKS_PER_REVOCATION = 3,
  /* Changes that come together are read together, as each call is paid for.
     The pause, a call and the use of what it says fit twice into the bound for
     leaving upstreams; new configurations have a longer one.  */
  PAUSES_PER_BOUND = 3,
  PAUSE_MAX_MS = 1000,
  RETRY_MIN_MS = 100,
  RETRY_MAX_MS = 700,
  /* The platform's heartbeats bring live entries back within about 2 s after
     an outage of the store; one that is missing then is gone.  */
  MISSING_KEEP_MS = 2200,
  /* Pause while entries are missing, so that they are back in time.  */
  MISSING_PAUSE_MS = 250,
  /* An outage that lets entries lapse takes most of a service.  Fewer missing
     entries belong to upstreams that left meanwhile, or do without them for
     the two seconds.  */
  LAPSED_PARTS = 3,
  /* Changes of the register between two versions of the configuration.  */
  INSTALL_BITS = 20
};

/* One table that is read once and then watched.  */
typedef struct follow
{
  struct lt_source_controller *controller;
  lt_registry_kind_t kind;
  int64_t version;
  bool whole;      /* Read completely; now watched. */
  bool open;       /* A call is under way. */
  int64_t lost_us; /* Since when calls fail; 0: they do not. */
  int failures;
  int64_t next_us;
  int64_t answered_us; /* 0: never. */
} follow_t;

typedef struct entry
{
  UT_hash_handle hh;
  int64_t version;
  bool missing; /* The register lacks it. */
  bool seen;    /* In the read under way. */
  lt_deployment_upstream_t upstream;
  lt_buf_t texts;
} entry_t;

struct lt_source_controller
{
  lt_controller_t base;
  follow_t follows[2];
  lt_snapshot_t *configuration; /* Without upstreams; NULL at first. */
  entry_t *entries;
  int64_t installs;
  int64_t regained_us; /* End of the last outage, on any table. */
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

static void
install (lt_source_controller_t *c)
{
  lt_node_t *node = c->base.node;
  if (c->configuration == NULL || !c->follows[LT_REGISTRY_UPSTREAMS].whole)
    return;
  uint32_t count = HASH_COUNT (c->entries);
  lt_deployment_upstream_t *upstreams
      = lt_alloc ((count + 1) * sizeof (*upstreams));
  uint32_t used = 0;
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, c->entries, entry, next)
  {
    upstreams[used++] = entry->upstream;
  }
  int64_t version
      = (c->configuration->source_version << INSTALL_BITS) + ++c->installs;
  lt_snapshot_t *snapshot = NULL;
  int error = lt_snapshot_with_upstreams (c->configuration, version, upstreams,
                                          used, &snapshot);
  free (upstreams);
  if (error == 0)
    error = lt_node_install_snapshot (node, snapshot);
  if (error != 0)
    {
      lt_log (LT_LOG_ERROR, "source",
              "msg=\"cannot install a snapshot\" version=%lld error=\"%s\"",
              (long long)c->configuration->source_version,
              lt_error_text (error));
      return;
    }
  node->was_confirmed = true;
}

static void
take_deployment (lt_source_controller_t *c, const lt_registry_record_t *record)
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
  c->installs = 0;
  c->version_gauge->value = (double)deployment->version;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"configuration in force\" version=%lld before=%lld routes=%u "
          "services=%u workspaces=%u",
          (long long)deployment->version, (long long)current,
          snapshot->route_count, snapshot->service_count,
          snapshot->workspace_count);
}

static void
entry_destroy (lt_source_controller_t *c, entry_t *entry)
{
  HASH_DEL (c->entries, entry); /* NOLINT(clang-analyzer-*) */
  lt_buf_destroy (&entry->texts);
  free (entry);
}

/* Copies TEXT and leaves its offset, which becomes a view at the end.  */
static size_t
append (lt_buf_t *texts, str_t text)
{
  size_t at = texts->len;
  lt_buf_append_str (texts, text);
  return at;
}

static void
entry_set (entry_t *entry, const lt_registry_record_t *record, int64_t now_us)
{
  const lt_deployment_upstream_t *from = &record->upstream;
  lt_deployment_upstream_t *to = &entry->upstream;
  lt_buf_clear (&entry->texts);
  size_t name = append (&entry->texts, record->name);
  size_t service = append (&entry->texts, from->service);
  size_t address = append (&entry->texts, from->address);
  size_t domain = append (&entry->texts, from->failure_domain);
  size_t region = append (&entry->texts, from->region);
  const char *bytes = entry->texts.data;
  *to = *from;
  to->name = str_make (bytes + name, record->name.len);
  to->service = str_make (bytes + service, from->service.len);
  to->address = str_make (bytes + address, from->address.len);
  to->failure_domain = str_make (bytes + domain, from->failure_domain.len);
  to->region = str_make (bytes + region, from->region.len);
  to->warm_until_us
      = from->warm_until_us > 0 ? now_us + from->warm_until_us : 0;
  entry->version = record->version;
  entry->missing = false;
}

static void
log_upstream (const entry_t *entry, const char *event)
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
  return c->regained_us > 0
         && now_us - c->regained_us < MISSING_KEEP_MS * LT_US_PER_MS;
}

static bool
remove_upstream (lt_source_controller_t *c, entry_t *entry, int64_t now_us)
{
  /* An entry may have lapsed because the store was away.  */
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
take_upstream (lt_source_controller_t *c, const lt_registry_record_t *record,
               int64_t now_us)
{
  entry_t *entry = NULL;
  HASH_FIND (hh, c->entries, record->name.data, record->name.len, entry);
  if (entry != NULL && record->version < entry->version)
    return false;
  if (record->removed)
    return entry != NULL && remove_upstream (c, entry, now_us);
  bool fresh = entry == NULL;
  bool was_draining = !fresh && entry->upstream.draining;
  bool reborn
      = !fresh && entry->upstream.incarnation != record->upstream.incarnation;
  if (fresh)
    entry = lt_alloc (sizeof (*entry));
  else
    HASH_DEL (c->entries, entry); /* NOLINT(clang-analyzer-*) */
  entry_set (entry, record, now_us);
  entry->seen = true;
  HASH_ADD_KEYPTR (hh, c->entries, entry->upstream.name.data,
                   entry->upstream.name.len, entry);
  if (fresh)
    log_upstream (entry, "new");
  else if (reborn)
    log_upstream (entry, "started again");
  if (entry->upstream.draining && !was_draining)
    log_upstream (entry, "draining");
  return true;
}

static void
count_missing (const lt_source_controller_t *c, str_t service, uint32_t *all,
               uint32_t *missing)
{
  *all = 0;
  *missing = 0;
  for (const entry_t *e = c->entries; e != NULL; e = e->hh.next)
    if (str_equal (e->upstream.service, service))
      {
        *all += 1;
        *missing += e->missing;
      }
}

/* Drops entries that are missing and have not lapsed.  */
static bool
drop_left (lt_source_controller_t *c)
{
  bool changed = false;
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, c->entries, entry, next)
  {
    uint32_t all;
    uint32_t missing;
    if (!entry->missing)
      continue;
    count_missing (c, entry->upstream.service, &all, &missing);
    if (missing * LAPSED_PARTS > all)
      continue;
    log_upstream (entry, "gone");
    entry_destroy (c, entry);
    changed = true;
  }
  return changed;
}

static bool
drop_unseen (lt_source_controller_t *c, int64_t now_us)
{
  bool changed = false;
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, c->entries, entry, next)
  {
    if (!entry->seen)
      changed = remove_upstream (c, entry, now_us) || changed;
  }
  return changed;
}

static void
take_records (lt_source_controller_t *c, follow_t *follow,
              const lt_registry_result_t *result, int64_t now_us)
{
  bool changed = false;
  bool reading = !follow->whole;
  int64_t before
      = c->configuration == NULL ? -1 : c->configuration->source_version;
  entry_t *entry;
  entry_t *next;
  if (reading && follow->kind == LT_REGISTRY_UPSTREAMS)
    HASH_ITER (hh, c->entries, entry, next) { entry->seen = false; }
  for (size_t i = 0; i < result->count; i++)
    if (follow->kind == LT_REGISTRY_CONFIG)
      take_deployment (c, &result->records[i]);
    else
      changed = take_upstream (c, &result->records[i], now_us) || changed;
  follow->whole = true;
  if (reading && follow->kind == LT_REGISTRY_UPSTREAMS)
    changed = drop_unseen (c, now_us) || changed || c->installs == 0;
  if (follow->kind == LT_REGISTRY_UPSTREAMS)
    changed = drop_left (c) || changed;
  int64_t after
      = c->configuration == NULL ? -1 : c->configuration->source_version;
  if (changed || after != before)
    install (c);
}

static void follow_next (follow_t *follow);

static void
note_failure (follow_t *follow, int error, int64_t now_us)
{
  lt_source_controller_t *c = follow->controller;
  int64_t wait_ms = RETRY_MIN_MS;
  for (int i = 0; i < follow->failures && wait_ms < RETRY_MAX_MS; i++)
    wait_ms *= 2;
  if (wait_ms > RETRY_MAX_MS)
    wait_ms = RETRY_MAX_MS;
  wait_ms = wait_ms / 2
            + (int64_t)lt_rng_below (&c->base.node->rng, (uint64_t)wait_ms);
  follow->failures++;
  follow->next_us = now_us + wait_ms * LT_US_PER_MS;
  c->failures[follow->kind]->value++;
  if (follow->lost_us != 0)
    return;
  follow->lost_us = now_us;
  lt_log (LT_LOG_WARN, "source",
          "msg=\"register lost\" part=%s version=%lld error=\"%s\"",
          kind_name (follow->kind), (long long)follow->version,
          lt_error_text (error));
}

static void
note_answer (follow_t *follow, int64_t now_us)
{
  follow->failures = 0;
  follow->answered_us = now_us;
  lt_source_controller_t *c = follow->controller;
  const follow_t *other = &c->follows[follow == &c->follows[0]];
  if (follow->lost_us == 0)
    return;
  /* The other table may have shown before that the register is back.  */
  if (other->lost_us != 0 || c->regained_us < follow->lost_us)
    c->regained_us = now_us;
  follow->lost_us = 0;
  for (int i = 0; i < 2; i++)
    c->follows[i].next_us = now_us;
  lt_log (LT_LOG_INFO, "source",
          "msg=\"register regained\" part=%s version=%lld",
          kind_name (follow->kind), (long long)follow->version);
}

static int64_t
pause_ms (const lt_source_controller_t *c)
{
  int64_t ms = c->base.node->settings->leave_ms / PAUSES_PER_BOUND;
  for (const entry_t *e = c->entries; e != NULL; e = e->hh.next)
    if (e->missing && ms > MISSING_PAUSE_MS)
      return MISSING_PAUSE_MS;
  return ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS;
}

static void
on_result (void *user, const lt_registry_result_t *result)
{
  follow_t *follow = user;
  lt_source_controller_t *c = follow->controller;
  int64_t now_us = lt_node_now_us (c->base.node);
  follow->open = false;
  if (result->error != 0)
    {
      note_failure (follow, result->error, now_us);
      return;
    }
  note_answer (follow, now_us);
  if (result->history_lost)
    {
      lt_log (LT_LOG_INFO, "source",
              "msg=\"history lost; reading all\" part=%s version=%lld",
              kind_name (follow->kind), (long long)follow->version);
      follow->whole = false;
    }
  else
    {
      take_records (c, follow, result, now_us);
      follow->version = result->version;
      follow->next_us = now_us + pause_ms (c) * LT_US_PER_MS;
      if (result->count > 0)
        return; /* The tick goes on. */
    }
  follow_next (follow);
}

static int64_t
watch_wait_ms (const lt_settings_t *settings)
{
  return settings->fail_closed ? settings->revoke_ms / ASKS_PER_REVOCATION
                               : WATCH_WAIT_MS;
}

bool
lt_source_controller_allows_keyed (lt_source_controller_t *c, int64_t now_us)
{
  const lt_settings_t *settings = c->base.node->settings;
  int64_t age_us = lt_source_controller_age_us (c, now_us);
  return !settings->fail_closed
         || (age_us >= 0 && age_us < settings->revoke_ms * LT_US_PER_MS);
}

static void
follow_next (follow_t *follow)
{
  int64_t wait_ms = watch_wait_ms (follow->controller->base.node->settings);
  lt_registry_t *registry = follow->controller->base.node->registry;
  int error
      = follow->whole
            ? registry->vtable->watch (registry, follow->kind, follow->version,
                                       wait_ms, wait_ms + WATCH_EXTRA_MS,
                                       on_result, follow)
            : registry->vtable->read (registry, follow->kind, READ_TIMEOUT_MS,
                                      on_result, follow);
  follow->open = error == 0;
  if (error != 0)
    note_failure (follow, error,
                  lt_node_now_us (follow->controller->base.node));
}

static void
drop_missing (lt_source_controller_t *c, int64_t now_us)
{
  bool changed = false;
  entry_t *entry;
  entry_t *next;
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
    install (c);
}

int64_t
lt_source_controller_age_us (lt_source_controller_t *c, int64_t now_us)
{
  int64_t answered_us = c->follows[LT_REGISTRY_CONFIG].answered_us;
  return answered_us == 0 ? -1 : now_us - answered_us;
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  for (int i = 0; i < 2; i++)
    if (!c->follows[i].open && now_us >= c->follows[i].next_us)
      follow_next (&c->follows[i]);
  drop_missing (c, now_us);
  c->age_gauge->value
      = (double)lt_source_controller_age_us (c, now_us) / LT_US_PER_S;
}

static int
start (lt_controller_t *base)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  for (int i = 0; i < 2; i++)
    follow_next (&c->follows[i]);
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
                    (json_int_t)lt_source_controller_age_us (
                        c, lt_node_now_us (base->node)));
}

static void
destroy (lt_controller_t *base)
{
  lt_source_controller_t *c = (lt_source_controller_t *)base;
  entry_t *entry;
  entry_t *next;
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
      c->follows[i].controller = c;
      c->follows[i].kind = (lt_registry_kind_t)i;
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
