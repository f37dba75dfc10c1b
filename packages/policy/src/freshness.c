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
  f->confirm_us = never_us;
  f->good_us = never_us;
  f->next_read_us = never_us;
  /* A random start, so that no answer to an earlier process of this VM can
     match a question of this one.  */
  f->ask_id = lt_rng_next (rng) >> 1;
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

/* Drops the action when the queue is full: each kind is asked for again by a
   later tick, report or heartbeat.  */
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
lt_freshness_next (lt_freshness_t *f, lt_freshness_action_t *action)
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

/* Asks for another answer to every held question that the new state improves
   enough.  */
static void
answer_held (lt_freshness_t *f, int64_t now_us)
{
  for (size_t i = 0; i < HELD_CAP; i++)
    {
      held_t *held = &f->held[i];
      if (held->ask_id == 0)
        continue;
      if (now_us - held->arrived_us > HELD_LIFE_MS * 1000)
        {
          held->ask_id = 0;
          continue;
        }
      int64_t gain_us = f->confirm_us - held->answered_confirm_us;
      if (gain_us < f->options.push_gain_us && f->known <= held->answered_known
          && f->applied <= held->answered_applied)
        continue;
      held->answered_confirm_us = f->confirm_us;
      held->answered_known = f->known;
      held->answered_applied = f->applied;
      lt_freshness_push_action (f, LT_FRESHNESS_ANSWER, name_str (&held->peer),
                                0, 0);
    }
}

static void
spread_if_new (lt_freshness_t *f)
{
  if (f->applied < f->known || f->spread >= f->known)
    return;
  f->spread = f->known;
  lt_freshness_push_action (f, LT_FRESHNESS_SPREAD, str_make (NULL, 0),
                            f->known, 0);
}

static void
fetch (lt_freshness_t *f, int64_t now_us, str_t peer)
{
  lt_freshness_push_action (f, LT_FRESHNESS_FETCH, peer, f->known, 0);
  f->next_fetch_us = now_us + FETCH_RETRY_MS * 1000;
}

static void
learn_known (lt_freshness_t *f, int64_t now_us, int64_t version, str_t peer)
{
  if (version <= f->known)
    return;
  if (f->applied >= f->known)
    f->behind_since_us = now_us;
  f->known = version;
  f->known_us = now_us;
  f->known_from = name_make (peer);
  if (f->possible <= version)
    lt_freshness_clear_possible (f);
  f->fetch_tries = 0;
  if (f->applied < version && peer.len > 0)
    fetch (f, now_us, peer);
  else
    f->next_fetch_us = now_us + FETCH_WAIT_MS * 1000
                       + (int64_t)lt_rng_below (f->rng, FETCH_WAIT_MS * 1000);
  spread_if_new (f);
}

/* Takes in: every change accepted before AT_US is at or below VERSION.  */
static void
learn_confirmation (lt_freshness_t *f, int64_t now_us, int64_t version,
                    int64_t at_us)
{
  if (at_us > now_us)
    return;
  learn_known (f, now_us, version, str_make (NULL, 0));
  if (version <= f->applied && at_us > f->good_us)
    f->good_us = at_us;
  if (at_us > f->confirm_us)
    {
      f->confirm_us = at_us;
      f->confirm_version = version;
    }
  /* A write announced long before a confirmation that does not show it never
     took effect.  */
  if (f->possible > version
      && at_us > f->possible_us + f->options.possible_life_us)
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
  /* A head below a version that was known before the read was sent is not the
     current one.  */
  if (!failed && head < f->known && sent_us >= f->known_us)
    return;
  bool news = !failed && head > f->known;
  if (!failed)
    learn_confirmation (f, now_us, head, sent_us);
  if (news && f->applied < f->known)
    fetch (f, now_us, str_make (NULL, 0));
  bool knows = f->applied > 0 && f->applied >= f->known;
  bool in_region = f->store_region.len > 0
                   && name_is (&f->region, name_str (&f->store_region));
  if (in_region && (!failed || (f->watcher && f->may_attest && knows)))
    {
      lt_attestation_t own
          = { .vm_id = name_str (&f->vm_id),
              .failure_domain = name_str (&f->failure_domain),
              .failing = failed,
              .known_version = lt_freshness_known_or_possible (f) };
      lt_freshness_learn_attestation (f, now_us, &own, sent_us);
    }
  answer_held (f, now_us);
}

void
lt_freshness_on_applied (lt_freshness_t *f, int64_t now_us, int64_t version)
{
  if (version <= f->applied)
    return;
  f->applied = version;
  learn_known (f, now_us, version, str_make (NULL, 0));
  if (f->confirm_version <= version && f->confirm_us > f->good_us)
    f->good_us = f->confirm_us;
  spread_if_new (f);
  answer_held (f, now_us);
}

void
lt_freshness_on_known (lt_freshness_t *f, int64_t now_us, int64_t version,
                       str_t peer)
{
  learn_known (f, now_us, version, peer);
  answer_held (f, now_us);
}

static void
read_store (lt_freshness_t *f, int64_t now_us)
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
needs_rescue (const lt_freshness_t *f, int64_t now_us)
{
  return now_us - f->confirm_us > f->options.rescue_age_us
         && !lt_freshness_store_down (f, now_us);
}

void
lt_freshness_tick (lt_freshness_t *f, int64_t now_us)
{
  if (now_us >= f->next_read_us && (f->watcher || needs_rescue (f, now_us)))
    {
      int64_t jitter = (int64_t)lt_rng_below (f->rng, RESCUE_JITTER_MS * 1000);
      f->next_read_us = f->watcher
                            ? now_us + f->options.read_interval_us
                            : now_us + RESCUE_INTERVAL_MS * 1000 + jitter;
      read_store (f, now_us);
    }
  lt_freshness_tick_announce (f, now_us);
  if (f->applied < f->known && now_us >= f->next_fetch_us)
    {
      bool store = ++f->fetch_tries % FETCH_STORE_EVERY == 0;
      fetch (f, now_us,
             store ? str_make (NULL, 0) : name_str (&f->known_from));
    }
}

static void
fill_report (lt_freshness_t *f, int64_t now_us, lt_freshness_report_t *report)
{
  *report = (lt_freshness_report_t){ .applied_version = f->applied,
                                     .known_version = f->known,
                                     .possible_version = f->possible,
                                     .possible_origin = f->possible_origin,
                                     .confirm_version = f->confirm_version,
                                     .confirm_age_us = -1 };
  if (f->possible > 0)
    report->possible_age_us = now_us - f->possible_us;
  if (f->confirm_us != never_us)
    report->confirm_age_us = now_us - f->confirm_us;
  lt_freshness_fill_attestations (f, now_us, report);
}

void
lt_freshness_ask (lt_freshness_t *f, int64_t now_us,
                  lt_freshness_report_t *report)
{
  fill_report (f, now_us, report);
  report->ask_id = ++f->ask_id;
  f->asks[f->next_ask] = (ask_t){ .id = f->ask_id, .sent_us = now_us };
  f->next_ask = (f->next_ask + 1) % ASK_CAP;
}

/* PEER has the version that this VM misses.  The first such peer is asked at
   once.  */
static void
learn_source (lt_freshness_t *f, int64_t now_us, str_t peer)
{
  bool first = f->known_from.len == 0;
  f->known_from = name_make (peer);
  if (first)
    fetch (f, now_us, peer);
}

/* Takes in what needs no date.  */
static void
learn_undated (lt_freshness_t *f, int64_t now_us, str_t peer,
               const lt_freshness_report_t *report)
{
  bool has_it = report->applied_version >= report->known_version;
  str_t source = has_it ? peer : str_make (NULL, 0);
  learn_known (f, now_us, report->known_version, source);
  if (f->applied < f->known && report->applied_version >= f->known)
    learn_source (f, now_us, peer);
  if (report->possible_version > 0 && report->possible_age_us < age_bound_us)
    lt_freshness_learn_possible (f, now_us - report->possible_age_us,
                                 report->possible_version,
                                 report->possible_origin);
}

static held_t *
held_slot (lt_freshness_t *f, str_t peer)
{
  held_t *slot = &f->held[0];
  for (size_t i = 0; i < HELD_CAP; i++)
    {
      held_t *held = &f->held[i];
      if (held->ask_id != 0 && name_is (&held->peer, peer))
        return held;
      if (slot->ask_id != 0
          && (held->ask_id == 0 || held->arrived_us < slot->arrived_us))
        slot = held;
    }
  return slot;
}

void
lt_freshness_on_ask (lt_freshness_t *f, int64_t now_us, str_t peer,
                     const lt_freshness_report_t *question,
                     lt_freshness_report_t *answer)
{
  learn_undated (f, now_us, peer, question);
  fill_report (f, now_us, answer);
  answer->ask_id = question->ask_id;
  if (question->ask_id != 0)
    *held_slot (f, peer) = (held_t){ .peer = name_make (peer),
                                     .ask_id = question->ask_id,
                                     .arrived_us = now_us,
                                     .answered_confirm_us = f->confirm_us,
                                     .answered_known = f->known,
                                     .answered_applied = f->applied };
  answer_held (f, now_us);
}

void
lt_freshness_answer (lt_freshness_t *f, int64_t now_us, str_t peer,
                     lt_freshness_report_t *answer)
{
  fill_report (f, now_us, answer);
  for (size_t i = 0; i < HELD_CAP; i++)
    {
      const held_t *held = &f->held[i];
      if (held->ask_id == 0 || !name_is (&held->peer, peer))
        continue;
      answer->ask_id = held->ask_id;
      answer->held_us = now_us - held->arrived_us;
    }
}

static const ask_t *
find_ask (const lt_freshness_t *f, int64_t now_us, uint64_t id)
{
  for (size_t i = 0; id != 0 && i < ASK_CAP; i++)
    if (f->asks[i].id == id
        && now_us - f->asks[i].sent_us <= ASK_LIFE_MS * 1000)
      return &f->asks[i];
  return NULL;
}

void
lt_freshness_on_answer (lt_freshness_t *f, int64_t now_us, str_t peer,
                        const lt_freshness_report_t *answer)
{
  learn_undated (f, now_us, peer, answer);
  lt_freshness_learn_announced (f, now_us, peer, answer);
  const ask_t *ask = find_ask (f, now_us, answer->ask_id);
  bool dated = ask != NULL && answer->held_us >= 0
               && answer->held_us <= now_us - ask->sent_us;
  /* The peer wrote this at least held_us after the question was sent.  */
  int64_t written_us = dated ? ask->sent_us + answer->held_us : 0;
  if (dated && answer->confirm_age_us >= 0
      && answer->confirm_age_us < age_bound_us)
    learn_confirmation (f, now_us, answer->confirm_version,
                        written_us - answer->confirm_age_us);
  for (uint32_t i = 0; dated && i < answer->attestation_count; i++)
    {
      const lt_attestation_t *entry = &answer->attestations[i];
      if (entry->age_us < 0 || entry->age_us > f->options.max_age_us
          || name_is (&f->vm_id, entry->vm_id))
        continue;
      lt_freshness_learn_attestation (f, now_us, entry,
                                      written_us - entry->age_us);
    }
  answer_held (f, now_us);
}

bool
lt_freshness_allows_keyed (const lt_freshness_t *f, int64_t now_us)
{
  bool behind = f->applied < f->known;
  if (behind && now_us - f->behind_since_us > f->options.behind_grace_us)
    return false;
  if (now_us - f->good_us <= f->options.max_age_us)
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
lt_freshness_age_us (const lt_freshness_t *f, int64_t now_us)
{
  return f->good_us == never_us ? -1 : now_us - f->good_us;
}
