#include "freshness_state.h"

#include <stdlib.h>

void
lt_freshness_clear_possible (lt_freshness_t *f)
{
  f->possible = 0;
  f->possible_origin = 0;
}

void
lt_freshness_update_possible (lt_freshness_t *f, int64_t at_us,
                              int64_t version, uint64_t origin)
{
  if (version <= f->known || version < f->possible)
    return;
  bool higher = version > f->possible;
  bool other = origin != f->possible_origin;
  /* Of one write the earliest time counts: the times of copies move later with
     each hop, and would keep the version possible for ever.  Of two writes of
     one version the later one counts.  */
  bool replaces = other ? at_us > f->possible_announced_us
                        : at_us < f->possible_announced_us;
  if (!higher && !replaces)
    return;
  f->possible = version;
  f->possible_origin = origin;
  f->possible_announced_us = at_us;
}

static bool
is_current (const lt_freshness_t *f, const attestation_entry_t *entry,
            int64_t now_us)
{
  return entry->vm_id.len > 0
         && now_us - entry->at_us <= f->options.max_age_us;
}

/* Returns the time of the latest current success, INT64_MIN without any.  */
static int64_t
latest_success_us (const lt_freshness_t *f, int64_t now_us)
{
  int64_t latest_us = INT64_MIN;
  for (size_t i = 0; i < LT_FRESHNESS_ATTESTATIONS_MAX; i++)
    {
      const attestation_entry_t *entry = &f->attestations[i];
      if (is_current (f, entry, now_us) && !entry->failing
          && entry->at_us > latest_us)
        latest_us = entry->at_us;
    }
  return latest_us;
}

/* Returns the slot of VM_ID, else a free or outdated one, else that of the
   oldest attestation.  The latest success is replaced last, because it decides
   which failures count.  */
static attestation_entry_t *
attestation_slot (lt_freshness_t *f, int64_t now_us, str_t vm_id)
{
  int64_t success_us = latest_success_us (f, now_us);
  attestation_entry_t *best = &f->attestations[0];
  int64_t best_rank = INT64_MAX;
  for (size_t i = 0; i < LT_FRESHNESS_ATTESTATIONS_MAX; i++)
    {
      attestation_entry_t *entry = &f->attestations[i];
      if (entry->vm_id.len > 0 && name_is (&entry->vm_id, vm_id))
        return entry;
      bool current = is_current (f, entry, now_us);
      int64_t rank = current ? entry->at_us : INT64_MIN;
      if (current && !entry->failing && entry->at_us == success_us)
        rank = INT64_MAX - 1;
      if (rank < best_rank)
        {
          best = entry;
          best_rank = rank;
        }
    }
  return best;
}

void
lt_freshness_update_attestation (lt_freshness_t *f, int64_t now_us,
                                 const lt_attestation_t *statement,
                                 int64_t at_us)
{
  attestation_entry_t *entry = attestation_slot (f, now_us, statement->vm_id);
  bool same = name_is (&entry->vm_id, statement->vm_id);
  if (same && at_us < entry->at_us)
    return;
  if (same && at_us == entry->at_us && statement->known_version < entry->known)
    return;
  *entry = (attestation_entry_t){ .vm_id = name_make (statement->vm_id),
                                  .failure_domain
                                  = name_make (statement->failure_domain),
                                  .failing = statement->failing,
                                  .known = statement->known_version,
                                  .at_us = at_us };
}

int64_t
lt_freshness_known_or_possible (const lt_freshness_t *f)
{
  return f->possible > f->known ? f->possible : f->known;
}

static void
push_announcements (lt_freshness_t *f, int64_t now_us)
{
  f->next_announcement_us = now_us + ANNOUNCE_RETRY_MS * 1000;
  for (size_t i = 0; i < f->announcement_count; i++)
    if (!f->announcements[i].acknowledged)
      lt_freshness_push_action (f, LT_FRESHNESS_ANNOUNCE,
                                name_str (&f->announcements[i].vm_id),
                                f->announced_version, 0);
}

void
lt_freshness_tick_announce (lt_freshness_t *f, int64_t now_us)
{
  if (f->announced_version > 0 && now_us >= f->next_announcement_us)
    push_announcements (f, now_us);
}

void
lt_freshness_on_write_begin (lt_freshness_t *f, int64_t now_us,
                             int64_t version,
                             const lt_freshness_watcher_t *watchers,
                             size_t count)
{
  lt_freshness_update_possible (f, now_us, version, lt_rng_next (f->rng));
  if (count > LT_FRESHNESS_ANNOUNCED_MAX)
    count = LT_FRESHNESS_ANNOUNCED_MAX;
  f->announcement_count = count;
  f->announced_version = version;
  f->announced_us = now_us;
  for (size_t i = 0; i < count; i++)
    f->announcements[i] = (announcement_t){
      .vm_id = name_make (watchers[i].vm_id),
      .failure_domain = name_make (watchers[i].failure_domain),
      .acknowledged = name_is (&f->vm_id, watchers[i].vm_id),
    };
  push_announcements (f, now_us);
}

bool
lt_freshness_write_announced (const lt_freshness_t *f)
{
  const announcement_t *missing = NULL;
  for (size_t i = 0; i < f->announcement_count; i++)
    {
      const announcement_t *entry = &f->announcements[i];
      if (entry->acknowledged)
        continue;
      if (missing != NULL
          && !name_is (&missing->failure_domain,
                       name_str (&entry->failure_domain)))
        return false;
      missing = entry;
    }
  return f->announced_version > 0;
}

void
lt_freshness_on_write_end (lt_freshness_t *f)
{
  f->announced_version = 0;
  f->announcement_count = 0;
}

void
lt_freshness_on_write_refused (lt_freshness_t *f, int64_t version)
{
  lt_freshness_on_write_end (f);
  if (f->possible == version)
    lt_freshness_clear_possible (f);
}

/* A report acknowledges the announced write when it has that version or a
   higher one as known, or as possible and announced no earlier.  */
void
lt_freshness_update_announcement (lt_freshness_t *f, int64_t now_us,
                                  str_t peer,
                                  const lt_freshness_report_t *answer)
{
  bool possible = answer->possible_version >= f->announced_version
                  && answer->possible_age_us <= now_us - f->announced_us;
  bool known = answer->known_version >= f->announced_version;
  for (size_t i = 0; i < f->announcement_count; i++)
    if ((possible || known) && name_is (&f->announcements[i].vm_id, peer))
      f->announcements[i].acknowledged = true;
}

static bool
any_failing (const lt_freshness_t *f, int64_t now_us)
{
  for (size_t i = 0; i < LT_FRESHNESS_ATTESTATIONS_MAX; i++)
    {
      const attestation_entry_t *entry = &f->attestations[i];
      if (is_current (f, entry, now_us) && entry->failing)
        return true;
    }
  return false;
}

void
lt_freshness_fill_attestations (lt_freshness_t *f, int64_t now_us,
                                lt_freshness_report_t *report)
{
  /* Successes only serve to outdate failures; without failures all are left
     out, which keeps the report short.  */
  if (!any_failing (f, now_us))
    return;
  for (size_t i = 0; i < LT_FRESHNESS_ATTESTATIONS_MAX; i++)
    {
      attestation_entry_t *entry = &f->attestations[i];
      int64_t age_us = now_us - entry->at_us;
      if (entry->vm_id.len == 0 || age_us > f->options.max_age_us)
        continue;
      /* This VM's own attestation carries its latest known version.  */
      if (name_is (&entry->vm_id, name_str (&f->vm_id)))
        entry->known = lt_freshness_known_or_possible (f);
      report->attestations[report->attestation_count++]
          = (lt_attestation_t){ .vm_id = name_str (&entry->vm_id),
                                .failure_domain
                                = name_str (&entry->failure_domain),
                                .failing = entry->failing,
                                .known_version = entry->known,
                                .age_us = age_us };
    }
}

bool
lt_freshness_store_down (const lt_freshness_t *f, int64_t now_us)
{
  int64_t success_us = latest_success_us (f, now_us);
  const attestation_entry_t *first = NULL;
  for (size_t i = 0; i < LT_FRESHNESS_ATTESTATIONS_MAX; i++)
    {
      const attestation_entry_t *entry = &f->attestations[i];
      if (!is_current (f, entry, now_us) || !entry->failing
          || entry->at_us <= success_us)
        continue;
      if (first == NULL)
        first = entry;
      else if (!name_is (&first->failure_domain,
                         name_str (&entry->failure_domain)))
        return true;
    }
  return false;
}

/* An outage does not replace a confirmation when this VM or any current
   attestation has a known or possible version above the applied one.  */
bool
lt_freshness_covered_by_outage (const lt_freshness_t *f, int64_t now_us)
{
  if (f->applied == 0 || f->applied < lt_freshness_known_or_possible (f))
    return false;
  for (size_t i = 0; i < LT_FRESHNESS_ATTESTATIONS_MAX; i++)
    {
      const attestation_entry_t *entry = &f->attestations[i];
      if (is_current (f, entry, now_us) && entry->known > f->applied)
        return false;
    }
  return lt_freshness_store_down (f, now_us);
}
