#include "lt/policy/health_record.h"

#include "lt/base/error.h"
#include "lt/base/str.h"

#include <stdlib.h>
#include <string.h>

/* Bounds the shift in hold_time; 15 s << 6 is the longest time.  */
#define MAX_REPEATS 7

void
lt_ejection_record_clear (lt_ejection_record_t *record)
{
  free (record->entries);
  memset (record, 0, sizeof *record);
}

void
lt_ejection_record_copy (lt_ejection_record_t *to,
                         const lt_ejection_record_t *from)
{
  if (to == from)
    return;
  lt_ejection_record_clear (to);
  to->version = from->version;
  to->count = from->count;
  if (from->count == 0)
    return;
  to->entries = lt_alloc (from->count * sizeof *to->entries);
  memcpy (to->entries, from->entries, from->count * sizeof *to->entries);
}

void
lt_ejection_view_clear (lt_ejection_view_t *view)
{
  lt_ejection_record_clear (&view->record);
  free (view->first_seen_us);
  view->first_seen_us = NULL;
}

static ptrdiff_t
find_index (const lt_ejection_view_t *view, uint32_t upstream)
{
  for (uint32_t i = 0; i < view->record.count; i++)
    if (view->record.entries[i].upstream == upstream)
      return i;
  return -1;
}

static int64_t
entry_first_seen (const lt_ejection_view_t *view, const lt_ejection_t *entry,
                  int64_t now_us)
{
  ptrdiff_t i = find_index (view, entry->upstream);
  if (i < 0)
    return now_us;
  const lt_ejection_t *old = &view->record.entries[i];
  bool same = old->state == entry->state
              && old->since_version == entry->since_version;
  return same ? view->first_seen_us[i] : now_us;
}

int
lt_ejection_view_apply (lt_ejection_view_t *view,
                        const lt_ejection_record_t *record, int64_t now_us)
{
  if (record->version < view->record.version)
    return -LT_ESTALE;
  if (record->version == view->record.version)
    return 0;
  int64_t *seen_us = NULL;
  if (record->count > 0)
    seen_us = lt_alloc (record->count * sizeof *seen_us);
  for (uint32_t i = 0; i < record->count; i++)
    seen_us[i] = entry_first_seen (view, &record->entries[i], now_us);
  lt_ejection_record_copy (&view->record, record);
  free (view->first_seen_us);
  view->first_seen_us = seen_us;
  return 0;
}

const lt_ejection_t *
lt_ejection_find (const lt_ejection_view_t *view, uint32_t upstream)
{
  ptrdiff_t i = find_index (view, upstream);
  return i < 0 ? NULL : &view->record.entries[i];
}

bool
lt_ejection_is_ejected (const lt_ejection_view_t *view, uint32_t upstream)
{
  const lt_ejection_t *entry = lt_ejection_find (view, upstream);
  return entry && entry->state == LT_EJECTION_EJECTED;
}

int64_t
lt_ejection_first_seen_us (const lt_ejection_view_t *view, uint32_t upstream)
{
  ptrdiff_t i = find_index (view, upstream);
  return i < 0 ? -1 : view->first_seen_us[i];
}

/* Returns whether some VM may treat UPSTREAM as ejected.  */
static bool
may_be_ejected (const lt_ejection_view_t *view, uint32_t upstream,
                int64_t now_us)
{
  ptrdiff_t i = find_index (view, upstream);
  if (i < 0)
    return false;
  if (view->record.entries[i].state == LT_EJECTION_EJECTED)
    return true;
  return now_us - view->first_seen_us[i] < LT_EJECTION_PROPAGATION_US;
}

int64_t
lt_ejection_slots_left (const lt_ejection_view_t *view,
                        const lt_health_pool_t *pool, uint32_t upstream,
                        int64_t now_us)
{
  int64_t left = 0;
  for (uint32_t i = 0; i < pool->count; i++)
    {
      const lt_health_upstream_t *u = &pool->upstreams[i];
      if (!u->out_of_service && i != upstream
          && !may_be_ejected (view, i, now_us))
        left += u->slots;
    }
  return left;
}

/* Returns the repeats of entry I that remain after the decay until NOW_US.  */
static uint32_t
repeats_left (const lt_ejection_view_t *view, ptrdiff_t i, int64_t now_us)
{
  const lt_ejection_t *entry = &view->record.entries[i];
  if (entry->state == LT_EJECTION_EJECTED)
    return entry->repeats;
  int64_t decayed = (now_us - view->first_seen_us[i]) / LT_EJECTION_DECAY_US;
  if (decayed >= (int64_t)entry->repeats)
    return 0;
  return entry->repeats - (uint32_t)decayed;
}

/* Copies the entries that are still needed, except that of UPSTREAM, into NEXT
   and leaves room for one more.  */
static void
copy_others (const lt_ejection_view_t *view, uint32_t upstream, int64_t now_us,
             lt_ejection_record_t *next)
{
  const lt_ejection_record_t *record = &view->record;
  lt_ejection_t *entries = lt_alloc ((record->count + 1) * sizeof *entries);
  uint32_t count = 0;
  for (uint32_t i = 0; i < record->count; i++)
    {
      bool needed
          = repeats_left (view, i, now_us) > 0
            || may_be_ejected (view, record->entries[i].upstream, now_us);
      if (needed && record->entries[i].upstream != upstream)
        entries[count++] = record->entries[i];
    }
  lt_ejection_record_clear (next);
  next->version = record->version + 1;
  next->entries = entries;
  next->count = count;
}

static int64_t
hold_time (uint32_t repeats)
{
  int64_t hold = LT_EJECTION_FIRST_US << (repeats - 1);
  return hold < LT_EJECTION_MAX_US ? hold : LT_EJECTION_MAX_US;
}

int
lt_ejection_add (const lt_ejection_view_t *view, const lt_health_pool_t *pool,
                 uint32_t upstream, const lt_health_evidence_t *evidence,
                 int64_t now_us, int64_t wall_us, lt_ejection_record_t *next)
{
  if (upstream >= pool->count)
    return -LT_EINVAL;
  if (lt_ejection_is_ejected (view, upstream))
    return -LT_EEXISTS;
  int64_t left = lt_ejection_slots_left (view, pool, upstream, now_us);
  if (left < lt_health_pool_floor (pool))
    return -LT_EUNAVAILABLE;

  ptrdiff_t i = find_index (view, upstream);
  uint32_t repeats = i < 0 ? 0 : repeats_left (view, i, now_us);
  if (repeats < MAX_REPEATS)
    repeats++;
  copy_others (view, upstream, now_us, next);
  next->entries[next->count++]
      = (lt_ejection_t){ .upstream = upstream,
                         .state = LT_EJECTION_EJECTED,
                         .since_version = next->version,
                         .repeats = repeats,
                         .min_duration_us = hold_time (repeats),
                         .since_wall_us = wall_us,
                         .evidence = *evidence };
  return 0;
}

int
lt_ejection_return (const lt_ejection_view_t *view, uint32_t upstream,
                    int64_t wall_us, lt_ejection_record_t *next)
{
  ptrdiff_t i = find_index (view, upstream);
  if (i < 0 || view->record.entries[i].state != LT_EJECTION_EJECTED)
    return -LT_ENOTFOUND;
  lt_ejection_record_copy (next, &view->record);
  next->version = view->record.version + 1;
  next->entries[i].state = LT_EJECTION_RETURNED;
  next->entries[i].since_version = next->version;
  next->entries[i].since_wall_us = wall_us;
  return 0;
}
