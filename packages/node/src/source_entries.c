#include "source_internal.h"

#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/log.h"

enum
{
  /* After an outage of the store, the platform's heartbeats restore the
     entries of live upstreams within about 2 s; entries that are still missing
     then belong to upstreams that have left.  */
  MISSING_RETENTION_MS = 2200,
  /* An outage in which entries expire removes most entries of a service.  When
     at most one in this many is missing, the upstreams are taken to have left
     during the outage; if they did not, the service lacks them for 2 s.  */
  OUTAGE_MISSING_DIVISOR = 3
};

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
  if (to->warm_until_us < entry->cold_until_us)
    to->warm_until_us = entry->cold_until_us;
  entry->version = record->version;
  entry->revision = record->revision;
  entry->missing = false;
}

/* Everything is new to a VM that starts.  */
static bool
is_first_read (const lt_source_controller_t *c)
{
  return !c->watches[LT_REGISTRY_UPSTREAMS].complete && c->install_count == 0;
}

void
lt_source_assume_cold (const lt_source_controller_t *c,
                       upstream_entry_t *entry, int64_t now_us)
{
  lt_deployment_upstream_t *upstream = &entry->upstream;
  const lt_snapshot_t *configuration = c->configuration;
  uint32_t service
      = configuration == NULL
            ? LT_NO_INDEX
            : lt_snapshot_find_service (configuration, upstream->service);
  if (service == LT_NO_INDEX || upstream->warm_until_us > now_us)
    return;
  entry->cold_until_us
      = now_us + configuration->services[service].warm_up_ms * LT_US_PER_MS;
  upstream->warm_until_us = entry->cold_until_us;
}

/* The first complete read is logged as a whole, see lt_source_apply.  */
static void
log_upstream (const lt_source_controller_t *c, const upstream_entry_t *entry,
              const char *event)
{
  if (is_first_read (c))
    return;
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
      log_upstream (c, entry, "missing");
      entry->missing = true;
      return false;
    }
  log_upstream (c, entry, "gone");
  lt_source_note_departed (c, entry, now_us);
  entry_destroy (c, entry);
  return true;
}

bool
lt_source_apply_upstream (lt_source_controller_t *c,
                          const lt_registry_record_t *record, int64_t now_us)
{
  upstream_entry_t *entry = NULL;
  HASH_FIND (hh, c->entries, record->name.data, record->name.len, entry);
  if (entry != NULL && lt_source_is_older (c, entry, record))
    {
      entry->listed = true;
      return false;
    }
  if (record->removed)
    return entry != NULL && remove_upstream (c, entry, now_us);
  if (entry == NULL && lt_source_has_departed (c, record, now_us))
    return false;
  bool is_new = entry == NULL;
  bool was_draining = !is_new && entry->upstream.draining;
  bool restarted
      = !is_new && entry->upstream.incarnation != record->upstream.incarnation;
  if (is_new)
    entry = lt_alloc (sizeof (*entry));
  else
    HASH_DEL (c->entries, entry); /* NOLINT(clang-analyzer-*) */
  if (restarted)
    entry->cold_until_us = 0;
  entry_set (entry, record, now_us);
  if ((is_new || restarted) && !is_first_read (c))
    lt_source_assume_cold (c, entry, now_us);
  entry->era = c->base.node->registry_era;
  entry->listed = true;
  HASH_ADD_KEYPTR (hh, c->entries, entry->upstream.name.data,
                   entry->upstream.name.len, entry);
  if (is_new)
    log_upstream (c, entry, "new");
  else if (restarted)
    log_upstream (c, entry, "started again");
  if (entry->upstream.draining && !was_draining)
    log_upstream (c, entry, "draining");
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

bool
lt_source_remove_departed (lt_source_controller_t *c, int64_t now_us)
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
    log_upstream (c, entry, "gone");
    lt_source_note_departed (c, entry, now_us);
    entry_destroy (c, entry);
    changed = true;
  }
  return changed;
}

bool
lt_source_remove_unlisted (lt_source_controller_t *c, int64_t now_us)
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

bool
lt_source_expire_missing (lt_source_controller_t *c, int64_t now_us)
{
  bool changed = false;
  upstream_entry_t *entry;
  upstream_entry_t *next;
  if (is_after_outage (c, now_us))
    return false;
  HASH_ITER (hh, c->entries, entry, next)
  {
    if (!entry->missing)
      continue;
    log_upstream (c, entry, "did not come back");
    lt_source_note_departed (c, entry, now_us);
    entry_destroy (c, entry);
    changed = true;
  }
  return changed;
}

void
lt_source_unlist_all (lt_source_controller_t *c)
{
  for (upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    e->listed = false;
}

bool
lt_source_has_missing (const lt_source_controller_t *c)
{
  for (const upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    if (e->missing)
      return true;
  return false;
}

void
lt_source_remove_all (lt_source_controller_t *c)
{
  upstream_entry_t *entry;
  upstream_entry_t *next;
  HASH_ITER (hh, c->entries, entry, next) { entry_destroy (c, entry); }
}
