#include <stdlib.h>

#include "lt/base/log.h"
#include "source_internal.h"

enum
{
  DEPARTED_MAX = 8192,
  /* Era of what is known from before the registry came back.  */
  ERA_BEFORE = -1,
  /* VMs read the records again within this time, one after the other.  */
  READ_SPREAD_MS = 200,
  /* Responses by an older state that go on for longer mean that the registry
     came back from an older copy without naming a new era.  */
  OLDER_STATE_MS = 5000
};

static void
read_all_again (lt_source_controller_t *c, record_watch_t *watch,
                int64_t now_us)
{
  watch->complete = false;
  watch->behind = false;
  watch->next_us = now_us
                   + (int64_t)lt_rng_below (&c->base.node->rng,
                                            READ_SPREAD_MS * LT_US_PER_MS);
}

/* The registry came back from an older copy: all is read again, and versions
   are not compared with those known so far.  */
static void
follow_copy (lt_source_controller_t *c, int64_t before)
{
  int64_t now_us = lt_node_now_us (c->base.node);
  lt_log (LT_LOG_WARN, "source",
          "msg=\"register restored from an older copy; reading all\" era=%lld "
          "before=%lld configuration=%lld upstreams=%lld",
          (long long)c->base.node->registry_era, (long long)before,
          (long long)c->watches[LT_REGISTRY_CONFIG].version,
          (long long)c->watches[LT_REGISTRY_UPSTREAMS].version);
  c->era_since_us = now_us;
  c->recovered_us = now_us;
  for (upstream_entry_t *e = c->entries; e != NULL; e = e->hh.next)
    e->era = ERA_BEFORE;
  for (departed_upstream_t *d = c->departed; d != NULL; d = d->hh.next)
    d->era = ERA_BEFORE;
  for (evacuation_t *e = c->evacuations; e != NULL; e = e->hh.next)
    e->era = ERA_BEFORE;
  for (int i = 0; i < 2; i++)
    {
      c->watches[i].era = ERA_BEFORE;
      c->watches[i].older_since_us = 0;
      c->watches[i].least_version = 0;
      read_all_again (c, &c->watches[i], now_us);
    }
  lt_source_exchange_begin (c, SOURCE_RESTORED_ASKS);
}

void
lt_source_controller_note_era (lt_node_t *node, int64_t era)
{
  lt_source_controller_t *c = node->source_controller;
  int64_t before = node->registry_era;
  if (era <= before)
    return;
  node->registry_era = era;
  if (before != 0 && c != NULL)
    follow_copy (c, before);
}

bool
lt_source_is_outdated (const record_watch_t *watch,
                       const lt_registry_result_t *result)
{
  int64_t era = watch->controller->base.node->registry_era;
  if (result->era != 0 && result->era < era)
    return true;
  return !watch->asked_all && !watch->complete;
}

bool
lt_source_detect_older_state (record_watch_t *watch,
                              const lt_registry_result_t *result,
                              int64_t now_us)
{
  lt_source_controller_t *c = watch->controller;
  if (result->history_lost || result->version >= watch->least_version)
    {
      watch->older_since_us = 0;
      return false;
    }
  c->older[watch->kind]->value++;
  if (watch->older_since_us != 0
      && now_us - watch->older_since_us >= OLDER_STATE_MS * LT_US_PER_MS)
    follow_copy (c, c->base.node->registry_era);
  if (watch->older_since_us != 0)
    return true;
  watch->older_since_us = now_us;
  lt_log (LT_LOG_WARN, "source",
          "msg=\"register responds by an older state\" part=%s version=%lld "
          "before=%lld era=%lld",
          lt_source_kind_name (watch->kind), (long long)result->version,
          (long long)watch->least_version,
          (long long)c->base.node->registry_era);
  return true;
}

bool
lt_source_is_older (const lt_source_controller_t *c,
                    const upstream_entry_t *entry,
                    const lt_registry_record_t *record)
{
  if (entry->era == c->base.node->registry_era)
    return record->version < entry->version;
  if (record->removed)
    return false;
  uint64_t incarnation = entry->upstream.incarnation;
  return record->upstream.incarnation < incarnation
         || (record->upstream.incarnation == incarnation
             && record->revision < entry->revision);
}

static void
departed_delete (lt_source_controller_t *c, departed_upstream_t *departed)
{
  HASH_DEL (c->departed, departed); /* NOLINT(clang-analyzer-*) */
  free (departed->name);
  free (departed);
}

void
lt_source_note_departed (lt_source_controller_t *c,
                         const upstream_entry_t *entry, int64_t now_us)
{
  const lt_deployment_upstream_t *upstream = &entry->upstream;
  departed_upstream_t *departed = NULL;
  HASH_FIND (hh, c->departed, upstream->name.data, upstream->name.len,
             departed);
  if (departed != NULL)
    departed_delete (c, departed);
  else if (HASH_COUNT (c->departed) >= DEPARTED_MAX)
    departed_delete (c, c->departed);
  departed = lt_alloc (sizeof (*departed));
  departed->name = str_dup (upstream->name);
  departed->incarnation = upstream->incarnation;
  departed->revision = entry->revision;
  departed->era = c->base.node->registry_era;
  departed->at_us = now_us;
  HASH_ADD_KEYPTR (hh, c->departed, departed->name, upstream->name.len,
                   departed);
}

bool
lt_source_has_departed (lt_source_controller_t *c,
                        const lt_registry_record_t *record, int64_t now_us)
{
  departed_upstream_t *departed = NULL;
  HASH_FIND (hh, c->departed, record->name.data, record->name.len, departed);
  if (departed == NULL || departed->era == c->base.node->registry_era
      || now_us - c->era_since_us >= SOURCE_REPEAT_MS * LT_US_PER_MS)
    return false;
  if (record->upstream.incarnation != departed->incarnation
      || record->revision > departed->revision)
    return false;
  c->departed_listed = true;
  return true;
}

void
lt_source_era_tick (lt_source_controller_t *c, int64_t now_us)
{
  departed_upstream_t *departed;
  departed_upstream_t *next;
  /* In the order in which they went.  */
  HASH_ITER (hh, c->departed, departed, next)
  {
    if (now_us - departed->at_us < SOURCE_MEMORY_MS * LT_US_PER_MS)
      break;
    departed_delete (c, departed);
  }
  lt_source_forget_evacuations (c, now_us - SOURCE_MEMORY_MS * LT_US_PER_MS);
  if (now_us - c->era_since_us < SOURCE_REPEAT_MS * LT_US_PER_MS)
    return;
  if (c->departed_listed)
    read_all_again (c, &c->watches[LT_REGISTRY_UPSTREAMS], now_us);
  if (c->evacuations_differ)
    read_all_again (c, &c->watches[LT_REGISTRY_CONFIG], now_us);
  c->departed_listed = false;
  c->evacuations_differ = false;
}

void
lt_source_forget_departed (lt_source_controller_t *c)
{
  departed_upstream_t *departed;
  departed_upstream_t *next;
  HASH_ITER (hh, c->departed, departed, next)
  {
    departed_delete (c, departed);
  }
}
