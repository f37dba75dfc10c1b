#include "freshness_state.h"

#include <stdlib.h>

lt_freshness_t *
lt_freshness_create (const lt_freshness_options_t *options, lt_rng_t *rng)
{
  lt_freshness_t *f = lt_alloc (sizeof (*f));
  f->options = *options;
  f->vm_id = name_make (options->vm_id);
  f->region = name_make (options->region);
  f->failure_domain = name_make (options->failure_domain);
  f->store_region = name_make (options->store_region);
  f->rng = rng;
  f->confirmed_us = never_us;
  f->applied_confirmed_us = never_us;
  f->next_read_us = never_us;
  /* Query ids start at random, so that an answer to an earlier process of this
     VM does not match a query of this one.  */
  f->last_query_id = lt_rng_next (rng) >> 1;
  return f;
}

void
lt_freshness_destroy (lt_freshness_t *f)
{
  free (f);
}

void
lt_freshness_set_role (lt_freshness_t *f, bool watcher, bool may_attest)
{
  f->watcher = watcher;
  f->may_attest = may_attest;
}

/* Drops the action when the queue is full: a later tick, report or heartbeat
   queues each kind again.  */
void
lt_freshness_push_action (lt_freshness_t *f, lt_freshness_action_type_t type,
                          str_t peer, int64_t version, uint64_t read_id)
{
  if (f->action_count == ACTION_CAP)
    return;
  size_t slot = (f->action_first + f->action_count++) % ACTION_CAP;
  queued_t *queued = &f->actions[slot];
  queued->peer = name_make (peer);
  queued->action = (lt_freshness_action_t){ .type = type,
                                            .version = version,
                                            .read_id = read_id };
}

bool
lt_freshness_next_action (lt_freshness_t *f, lt_freshness_action_t *action)
{
  if (f->action_count == 0)
    return false;
  queued_t *queued = &f->actions[f->action_first];
  *action = queued->action;
  action->peer = name_str (&queued->peer);
  f->action_first = (f->action_first + 1) % ACTION_CAP;
  f->action_count--;
  return true;
}

/* Queues another answer to every pending query whose last answer is outdated:
   by min_answer_gain_us for the confirmation, or by a version.  */
static void
answer_pending_queries (lt_freshness_t *f, int64_t now_us)
{
  for (size_t i = 0; i < PENDING_QUERY_CAP; i++)
    {
      pending_query_t *pending = &f->pending_queries[i];
      if (pending->query_id == 0)
        continue;
      if (now_us - pending->arrived_us > PENDING_QUERY_LIFETIME_MS * 1000)
        {
          pending->query_id = 0;
          continue;
        }
      int64_t gain_us = f->confirmed_us - pending->answered_confirmed_us;
      if (gain_us < f->options.min_answer_gain_us
          && f->known <= pending->answered_known
          && f->applied <= pending->answered_applied)
        continue;
      pending->answered_confirmed_us = f->confirmed_us;
      pending->answered_known = f->known;
      pending->answered_applied = f->applied;
      lt_freshness_push_action (f, LT_FRESHNESS_ANSWER,
                                name_str (&pending->peer), 0, 0);
    }
}

static void
gossip_new_version (lt_freshness_t *f)
{
  if (f->applied < f->known || f->gossiped_version >= f->known)
    return;
  f->gossiped_version = f->known;
  lt_freshness_push_action (f, LT_FRESHNESS_GOSSIP, str_make (NULL, 0),
                            f->known, 0);
}

static void
fetch (lt_freshness_t *f, int64_t now_us, str_t peer)
{
  lt_freshness_push_action (f, LT_FRESHNESS_FETCH, peer, f->known, 0);
  f->next_fetch_us = now_us + FETCH_RETRY_MS * 1000;
}

static void
raise_known_version (lt_freshness_t *f, int64_t now_us, int64_t version,
                     str_t peer)
{
  if (version <= f->known)
    return;
  if (f->applied >= f->known)
    f->behind_since_us = now_us;
  f->known = version;
  f->known_since_us = now_us;
  f->fetch_source = name_make (peer);
  if (f->possible <= version)
    lt_freshness_clear_possible (f);
  f->fetch_tries = 0;
  if (f->applied < version && peer.len > 0)
    fetch (f, now_us, peer);
  else
    f->next_fetch_us = now_us + FETCH_WAIT_MS * 1000
                       + (int64_t)lt_rng_below (f->rng, FETCH_WAIT_MS * 1000);
  gossip_new_version (f);
}

/* Applies a confirmation: every change accepted before AT_US has VERSION or a
   lower one.  */
static void
apply_confirmation (lt_freshness_t *f, int64_t now_us, int64_t version,
                    int64_t at_us)
{
  if (at_us > now_us)
    return;
  raise_known_version (f, now_us, version, str_make (NULL, 0));
  if (version <= f->applied && at_us > f->applied_confirmed_us)
    f->applied_confirmed_us = at_us;
  if (at_us > f->confirmed_us)
    {
      f->confirmed_us = at_us;
      f->confirmed_version = version;
    }
  /* A write that was announced more than possible_lifetime_us before this
     confirmation, which does not show it, can no longer take effect.  */
  if (f->possible > version
      && at_us > f->possible_announced_us + f->options.possible_lifetime_us)
    lt_freshness_clear_possible (f);
}

void
lt_freshness_on_read (lt_freshness_t *f, int64_t now_us, uint64_t read_id,
                      bool failed, int64_t head)
{
  read_slot_t *slot = NULL;
  for (size_t i = 0; i < READ_CAP; i++)
    if (f->reads[i].id == read_id && read_id != 0)
      slot = &f->reads[i];
  if (slot == NULL)
    return;
  int64_t sent_us = slot->sent_us;
  slot->id = 0;
  /* The read is stale when its head is below a version that was known before
     the read was sent.  */
  if (!failed && head < f->known && sent_us >= f->known_since_us)
    return;
  bool newer = !failed && head > f->known;
  if (!failed)
    apply_confirmation (f, now_us, head, sent_us);
  if (newer && f->applied < f->known)
    fetch (f, now_us, str_make (NULL, 0));
  bool up_to_date = f->applied > 0 && f->applied >= f->known;
  bool in_region = f->store_region.len > 0
                   && name_is (&f->region, name_str (&f->store_region));
  if (in_region && (!failed || (f->watcher && f->may_attest && up_to_date)))
    {
      lt_attestation_t own
          = { .vm_id = name_str (&f->vm_id),
              .failure_domain = name_str (&f->failure_domain),
              .failing = failed,
              .known_version = lt_freshness_known_or_possible (f) };
      lt_freshness_update_attestation (f, now_us, &own, sent_us);
    }
  answer_pending_queries (f, now_us);
}

void
lt_freshness_on_applied (lt_freshness_t *f, int64_t now_us, int64_t version)
{
  if (version <= f->applied)
    return;
  f->applied = version;
  raise_known_version (f, now_us, version, str_make (NULL, 0));
  if (f->confirmed_version <= version
      && f->confirmed_us > f->applied_confirmed_us)
    f->applied_confirmed_us = f->confirmed_us;
  gossip_new_version (f);
  answer_pending_queries (f, now_us);
}

void
lt_freshness_on_known (lt_freshness_t *f, int64_t now_us, int64_t version,
                       str_t peer)
{
  raise_known_version (f, now_us, version, peer);
  answer_pending_queries (f, now_us);
}

static void
start_store_read (lt_freshness_t *f, int64_t now_us)
{
  read_slot_t *slot = &f->reads[0];
  for (size_t i = 0; i < READ_CAP; i++)
    if (f->reads[i].id == 0 || f->reads[i].sent_us < slot->sent_us)
      {
        slot = &f->reads[i];
        if (slot->id == 0)
          break;
      }
  *slot = (read_slot_t){ .id = ++f->read_id, .sent_us = now_us };
  lt_freshness_push_action (f, LT_FRESHNESS_READ_STORE, str_make (NULL, 0), 0,
                            slot->id);
}

static bool
needs_fallback_read (const lt_freshness_t *f, int64_t now_us)
{
  return now_us - f->confirmed_us > f->options.fallback_read_age_us
         && !lt_freshness_store_down (f, now_us);
}

void
lt_freshness_tick (lt_freshness_t *f, int64_t now_us)
{
  if (now_us >= f->next_read_us
      && (f->watcher || needs_fallback_read (f, now_us)))
    {
      int64_t jitter
          = (int64_t)lt_rng_below (f->rng, FALLBACK_READ_JITTER_MS * 1000);
      f->next_read_us
          = f->watcher ? now_us + f->options.read_interval_us
                       : now_us + FALLBACK_READ_INTERVAL_MS * 1000 + jitter;
      start_store_read (f, now_us);
    }
  lt_freshness_tick_announce (f, now_us);
  if (f->applied < f->known && now_us >= f->next_fetch_us)
    {
      bool store = ++f->fetch_tries % FETCH_STORE_EVERY == 0;
      fetch (f, now_us,
             store ? str_make (NULL, 0) : name_str (&f->fetch_source));
    }
}

static void
fill_report (lt_freshness_t *f, int64_t now_us, lt_freshness_report_t *report)
{
  *report = (lt_freshness_report_t){ .applied_version = f->applied,
                                     .known_version = f->known,
                                     .possible_version = f->possible,
                                     .possible_write_id = f->possible_origin,
                                     .confirm_version = f->confirmed_version,
                                     .confirm_age_us = -1 };
  if (f->possible > 0)
    report->possible_age_us = now_us - f->possible_announced_us;
  if (f->confirmed_us != never_us)
    report->confirm_age_us = now_us - f->confirmed_us;
  lt_freshness_fill_attestations (f, now_us, report);
}

void
lt_freshness_fill_query (lt_freshness_t *f, int64_t now_us,
                         lt_freshness_report_t *report)
{
  fill_report (f, now_us, report);
  report->query_id = ++f->last_query_id;
  f->sent_queries[f->next_sent_query]
      = (sent_query_t){ .id = f->last_query_id, .sent_us = now_us };
  f->next_sent_query = (f->next_sent_query + 1) % SENT_QUERY_CAP;
}

/* Records that PEER has the version that this VM lacks.  When it is the first
   such peer, the fetch starts at once.  */
static void
set_fetch_source (lt_freshness_t *f, int64_t now_us, str_t peer)
{
  bool first = f->fetch_source.len == 0;
  f->fetch_source = name_make (peer);
  if (first)
    fetch (f, now_us, peer);
}

/* Applies the parts of a report that are valid whenever it was written: known
   and possible version.  */
static void
apply_undated_fields (lt_freshness_t *f, int64_t now_us, str_t peer,
                      const lt_freshness_report_t *report)
{
  bool has_known = report->applied_version >= report->known_version;
  str_t source = has_known ? peer : str_make (NULL, 0);
  raise_known_version (f, now_us, report->known_version, source);
  if (f->applied < f->known && report->applied_version >= f->known)
    set_fetch_source (f, now_us, peer);
  if (report->possible_version > 0
      && report->possible_age_us < max_report_age_us)
    lt_freshness_update_possible (f, now_us - report->possible_age_us,
                                  report->possible_version,
                                  report->possible_write_id);
}

static pending_query_t *
pending_query_slot (lt_freshness_t *f, str_t peer)
{
  pending_query_t *slot = &f->pending_queries[0];
  for (size_t i = 0; i < PENDING_QUERY_CAP; i++)
    {
      pending_query_t *pending = &f->pending_queries[i];
      if (pending->query_id != 0 && name_is (&pending->peer, peer))
        return pending;
      if (slot->query_id != 0
          && (pending->query_id == 0
              || pending->arrived_us < slot->arrived_us))
        slot = pending;
    }
  return slot;
}

void
lt_freshness_on_query (lt_freshness_t *f, int64_t now_us, str_t peer,
                       const lt_freshness_report_t *query,
                       lt_freshness_report_t *answer)
{
  apply_undated_fields (f, now_us, peer, query);
  fill_report (f, now_us, answer);
  answer->query_id = query->query_id;
  if (query->query_id != 0)
    *pending_query_slot (f, peer)
        = (pending_query_t){ .peer = name_make (peer),
                             .query_id = query->query_id,
                             .arrived_us = now_us,
                             .answered_confirmed_us = f->confirmed_us,
                             .answered_known = f->known,
                             .answered_applied = f->applied };
  answer_pending_queries (f, now_us);
}

void
lt_freshness_fill_answer (lt_freshness_t *f, int64_t now_us, str_t peer,
                          lt_freshness_report_t *answer)
{
  fill_report (f, now_us, answer);
  for (size_t i = 0; i < PENDING_QUERY_CAP; i++)
    {
      const pending_query_t *pending = &f->pending_queries[i];
      if (pending->query_id == 0 || !name_is (&pending->peer, peer))
        continue;
      answer->query_id = pending->query_id;
      answer->answer_delay_us = now_us - pending->arrived_us;
    }
}

static const sent_query_t *
find_sent_query (const lt_freshness_t *f, int64_t now_us, uint64_t id)
{
  for (size_t i = 0; id != 0 && i < SENT_QUERY_CAP; i++)
    if (f->sent_queries[i].id == id
        && now_us - f->sent_queries[i].sent_us
               <= SENT_QUERY_LIFETIME_MS * 1000)
      return &f->sent_queries[i];
  return NULL;
}

void
lt_freshness_on_answer (lt_freshness_t *f, int64_t now_us, str_t peer,
                        const lt_freshness_report_t *answer)
{
  apply_undated_fields (f, now_us, peer, answer);
  lt_freshness_update_announcement (f, now_us, peer, answer);
  const sent_query_t *sent = find_sent_query (f, now_us, answer->query_id);
  bool dated = sent != NULL && answer->answer_delay_us >= 0
               && answer->answer_delay_us <= now_us - sent->sent_us;
  /* The peer wrote the answer no earlier than its answer delay after the query
     was sent.  */
  int64_t written_us = dated ? sent->sent_us + answer->answer_delay_us : 0;
  if (dated && answer->confirm_age_us >= 0
      && answer->confirm_age_us < max_report_age_us)
    apply_confirmation (f, now_us, answer->confirm_version,
                        written_us - answer->confirm_age_us);
  for (uint32_t i = 0; dated && i < answer->attestation_count; i++)
    {
      const lt_attestation_t *entry = &answer->attestations[i];
      if (entry->age_us < 0 || entry->age_us > f->options.max_age_us
          || name_is (&f->vm_id, entry->vm_id))
        continue;
      lt_freshness_update_attestation (f, now_us, entry,
                                       written_us - entry->age_us);
    }
  answer_pending_queries (f, now_us);
}

bool
lt_freshness_allows_keyed (const lt_freshness_t *f, int64_t now_us)
{
  bool behind = f->applied < f->known;
  if (behind && now_us - f->behind_since_us > f->options.behind_grace_us)
    return false;
  if (now_us - f->applied_confirmed_us <= f->options.max_age_us)
    return true;
  return lt_freshness_covered_by_outage (f, now_us);
}

int64_t
lt_freshness_applied (const lt_freshness_t *f)
{
  return f->applied;
}

int64_t
lt_freshness_known (const lt_freshness_t *f)
{
  return f->known;
}

int64_t
lt_freshness_possible (const lt_freshness_t *f)
{
  return f->possible;
}

int64_t
lt_freshness_confirmation_age_us (const lt_freshness_t *f, int64_t now_us)
{
  return f->applied_confirmed_us == never_us
             ? -1
             : now_us - f->applied_confirmed_us;
}
