#include <stdlib.h>

#include "lt/base/log.h"
#include "source_internal.h"

static evacuation_t *
find (const lt_source_controller_t *c, str_t domain)
{
  evacuation_t *evacuation = NULL;
  HASH_FIND (hh, c->evacuations, domain.data, domain.len, evacuation);
  return evacuation;
}

static bool
is_repeating (const lt_source_controller_t *c, const evacuation_t *evacuation,
              int64_t now_us)
{
  return evacuation->era != c->base.node->registry_era
         && now_us - c->era_since_us < SOURCE_REPEAT_MS * LT_US_PER_MS;
}

static void
log_evacuation (const lt_source_controller_t *c,
                const evacuation_t *evacuation, const char *event)
{
  uint32_t count = 0;
  for (const upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    count += str_equal (e->upstream.failure_domain,
                        str_from (evacuation->domain));
  lt_log (LT_LOG_WARN, "source",
          "msg=\"%s\" failure_domain=%s upstreams=%u record=%lld era=%lld",
          event, evacuation->domain, count, (long long)evacuation->version,
          (long long)c->base.node->registry_era);
}

static void
begin (lt_source_controller_t *c, evacuation_t *evacuation,
       const lt_registry_record_t *record)
{
  evacuation->version = record->version;
  evacuation->request_version = record->version;
  evacuation->era = c->base.node->registry_era;
  evacuation->listed = true;
  evacuation->ended = false;
  log_evacuation (c, evacuation, "failure domain evacuated");
}

/* The upstreams of DOMAIN got no requests for a while, so that they count as
   cold until the registry next says how long they still warm up.  */
static void
cool_upstreams (lt_source_controller_t *c, str_t domain, int64_t now_us)
{
  const lt_snapshot_t *s = c->configuration;
  if (s == NULL)
    return;
  for (upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    {
      if (!str_equal (e->upstream.failure_domain, domain))
        continue;
      uint32_t index = lt_snapshot_find_service (s, e->upstream.service);
      if (index == LT_NO_INDEX
          || s->services[index].warm_up_rate_milli_per_s == 0)
        continue;
      int64_t until_us = now_us + s->services[index].warm_up_ms * LT_US_PER_MS;
      if (until_us > e->upstream.warm_until_us)
        e->upstream.warm_until_us = until_us;
    }
}

/* VERSION is that of the removal, or 0 if it is not known.  */
static void
end (lt_source_controller_t *c, evacuation_t *evacuation, int64_t version,
     int64_t now_us)
{
  evacuation->version = version;
  evacuation->era = c->base.node->registry_era;
  evacuation->ended = true;
  evacuation->ended_us = now_us;
  log_evacuation (c, evacuation, "evacuation ended");
  cool_upstreams (c, str_from (evacuation->domain), now_us);
}

/* Returns whether RECORD requests an evacuation that ended before the registry
   came back from an older copy.  Records have no content, but a copy keeps
   their versions, and what was written since comes with the watch.  */
static bool
is_older_copy (const lt_source_controller_t *c, const evacuation_t *evacuation,
               const lt_registry_record_t *record, int64_t now_us)
{
  return evacuation->ended && !c->watches[LT_REGISTRY_CONFIG].complete
         && is_repeating (c, evacuation, now_us)
         && record->version == evacuation->request_version;
}

static bool
apply_request (lt_source_controller_t *c, evacuation_t *evacuation,
               const lt_registry_record_t *record, int64_t now_us)
{
  if (evacuation == NULL)
    {
      evacuation = lt_alloc (sizeof (*evacuation));
      evacuation->domain = str_dup (record->evacuated_domain);
      HASH_ADD_KEYPTR (hh, c->evacuations, evacuation->domain,
                       record->evacuated_domain.len, evacuation);
      begin (c, evacuation, record);
      return true;
    }
  evacuation->listed = true;
  if (is_older_copy (c, evacuation, record, now_us))
    {
      c->evacuations_differ = true;
      return false;
    }
  if (evacuation->ended)
    {
      begin (c, evacuation, record);
      return true;
    }
  evacuation->version = record->version;
  evacuation->request_version = record->version;
  evacuation->era = c->base.node->registry_era;
  return false;
}

bool
lt_source_apply_evacuation (lt_source_controller_t *c,
                            const lt_registry_record_t *record, int64_t now_us)
{
  evacuation_t *evacuation = find (c, record->evacuated_domain);
  if (evacuation != NULL && evacuation->era == c->base.node->registry_era
      && record->version < evacuation->version)
    {
      evacuation->listed = true;
      return false;
    }
  if (!record->removed)
    return apply_request (c, evacuation, record, now_us);
  if (evacuation == NULL || evacuation->ended)
    return false;
  end (c, evacuation, record->version, now_us);
  return true;
}

void
lt_source_unlist_evacuations (lt_source_controller_t *c)
{
  for (evacuation_t *e = c->evacuations; e != NULL; e = e->hh.next)
    e->listed = false;
}

bool
lt_source_end_unlisted_evacuations (lt_source_controller_t *c, int64_t now_us)
{
  bool changed = false;
  for (evacuation_t *e = c->evacuations; e != NULL; e = e->hh.next)
    {
      if (e->listed || e->ended)
        continue;
      if (is_repeating (c, e, now_us))
        {
          c->evacuations_differ = true;
          continue;
        }
      end (c, e, 0, now_us);
      changed = true;
    }
  return changed;
}

bool
lt_source_is_evacuated (const lt_source_controller_t *c, str_t domain)
{
  const evacuation_t *evacuation = find (c, domain);
  return evacuation != NULL && !evacuation->ended;
}

void
lt_source_forget_evacuations (lt_source_controller_t *c, int64_t since_us)
{
  evacuation_t *evacuation;
  evacuation_t *next;
  HASH_ITER (hh, c->evacuations, evacuation, next)
  {
    if (since_us != INT64_MAX
        && (!evacuation->ended || evacuation->ended_us > since_us))
      continue;
    HASH_DEL (c->evacuations, evacuation); /* NOLINT(clang-analyzer-*) */
    free (evacuation->domain);
    free (evacuation);
  }
}
