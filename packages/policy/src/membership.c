#include "membership_state.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "lt/base/hash.h"

static const char *const state_names[]
    = { "alive", "suspect", "dead", "leaving" };

const char *
lt_member_state_name (lt_member_state_t state)
{
  return state_names[state];
}

void
lt_membership_copy_name (char out[MEMBER_NAME_CAP], str_t text)
{
  size_t len = text.len < MEMBER_NAME_CAP - 1 ? text.len : MEMBER_NAME_CAP - 1;
  if (len > 0)
    memcpy (out, text.data, len);
  out[len] = '\0';
}

/* Returns the index of the first member with an id not below ID.  */
static size_t
lower_bound (const lt_membership_t *m, str_t id)
{
  size_t low = 0;
  size_t high = m->count;
  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (str_compare (member_id (m->members[middle]), id) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

member_t *
lt_membership_get_member (const lt_membership_t *m, str_t id)
{
  size_t at = lower_bound (m, id);
  if (at == m->count || !str_equal (member_id (m->members[at]), id))
    return NULL;
  return m->members[at];
}

/* Contribution of one member to the digest of the list.  Suspicion is left out
   because it is short and always ends.  */
static uint64_t
member_digest (const member_t *member)
{
  if (member->state == LT_MEMBER_DEAD)
    return 0;
  uint64_t incarnation_and_state
      = member->incarnation * 2 + (member->state == LT_MEMBER_LEAVING);
  str_t bytes = str_make ((const char *)&incarnation_and_state,
                          sizeof (incarnation_and_state));
  return lt_rendezvous (bytes, member_id (member));
}

member_t *
lt_membership_add_member (lt_membership_t *m, str_t id)
{
  if (m->count == m->cap)
    {
      m->cap = m->cap == 0 ? 64 : m->cap * 2;
      m->members = lt_realloc (m->members, m->cap * sizeof (member_t *));
    }
  member_t *member = lt_alloc (sizeof (*member));
  member->id = str_dup (id);
  member->address = str_dup (str_make (NULL, 0));
  member->region = str_dup (str_make (NULL, 0));
  member->failure_domain = str_dup (str_make (NULL, 0));
  member->state = LT_MEMBER_DEAD;
  member->ring_position[0] = lt_rendezvous (STR_LIT ("ring a"), id);
  member->ring_position[1] = lt_rendezvous (STR_LIT ("ring b"), id);
  size_t at = lower_bound (m, id);
  memmove (&m->members[at + 1], &m->members[at],
           (m->count - at) * sizeof (member_t *));
  m->members[at] = member;
  m->count++;
  return member;
}

static void
member_destroy (member_t *member)
{
  free (member->id);
  free (member->address);
  free (member->region);
  free (member->failure_domain);
  free (member);
}

void
lt_membership_remove (lt_membership_t *m, member_t *member)
{
  size_t at = lower_bound (m, member_id (member));
  m->count--;
  memmove (&m->members[at], &m->members[at + 1],
           (m->count - at) * sizeof (member_t *));
  lt_membership_set_transmits_left (m, member, 0);
  m->digest ^= member_digest (member);
  member_destroy (member);
}

/* Returns how often each VM sends an update so that it reaches every VM with
   high probability: three times the binary logarithm of the fleet's size.  The
   logarithm starts at 6 because a VM that has just started does not know that
   size yet.  */
static int
transmit_limit (size_t count)
{
  int log2 = 6;
  while (count >> log2 > 0)
    log2++;
  return 3 * log2;
}

void
lt_membership_set_transmits_left (lt_membership_t *m, member_t *member,
                                  int left)
{
  if (member->transmits_left > 0)
    DL_DELETE (m->gossip_queues[member->transmits_left], member);
  member->transmits_left
      = left < MEMBER_TRANSMITS_MAX ? left : MEMBER_TRANSMITS_MAX;
  if (member->transmits_left > 0)
    DL_APPEND (m->gossip_queues[member->transmits_left], member);
}

void
lt_membership_set_state (lt_membership_t *m, int64_t now_us, member_t *member,
                         uint64_t incarnation, lt_member_state_t state)
{
  lt_member_state_t before = member->state;
  bool was_live = member_is_live (member);
  m->digest ^= member_digest (member);
  member->incarnation = incarnation;
  member->state = state;
  member->state_changed_us = now_us;
  m->digest ^= member_digest (member);
  if (state == LT_MEMBER_SUSPECT)
    member->suspicion_deadline_us = now_us + m->options.suspicion_timeout_us;
  if (state == LT_MEMBER_DEAD)
    member->probe_phase = PROBE_NONE;
  lt_membership_set_transmits_left (m, member, transmit_limit (m->count));
  bool is_live = member_is_live (member);
  if (was_live != is_live)
    {
      m->live_count += is_live ? 1 : -1;
      m->generation++;
    }
  if (before != state && !member->self)
    lt_membership_push_action (m, LT_MEMBERSHIP_CHANGED, member_id (member),
                               str_from (member->address))
        ->action.state
        = state;
}

static void
replace_if_set (char **text, str_t value)
{
  if (value.len == 0 || str_equal (str_from (*text), value))
    return;
  free (*text);
  *text = str_dup (value);
}

void
lt_membership_set_location (member_t *member, const lt_member_update_t *update)
{
  replace_if_set (&member->address, update->address);
  replace_if_set (&member->region, update->region);
  replace_if_set (&member->failure_domain, update->failure_domain);
}

lt_membership_t *
lt_membership_create (const lt_membership_options_t *options, lt_rng_t *rng)
{
  lt_membership_t *m = lt_alloc (sizeof (*m));
  m->options = *options;
  m->rng = rng;
  m->last_tick_us = INT64_MIN;
  m->next_slot_us = INT64_MIN;
  m->last_sync_us = INT64_MIN / 2;
  m->self = lt_membership_add_member (m, options->id);
  m->self->self = true;
  lt_member_update_t self = { .address = options->address,
                              .region = options->region,
                              .failure_domain = options->failure_domain };
  lt_membership_set_location (m->self, &self);
  lt_membership_set_state (m, 0, m->self, options->incarnation,
                           LT_MEMBER_ALIVE);
  m->correlation = lt_rng_next (rng) >> 1;
  return m;
}

void
lt_membership_destroy (lt_membership_t *m)
{
  if (m == NULL)
    return;
  for (size_t i = 0; i < m->count; i++)
    member_destroy (m->members[i]);
  free (m->members);
  free (m);
}

/* Drops the oldest action when the queue is full: heartbeats and probes are
   repeated, and state changes remain visible in the list.  */
member_action_t *
lt_membership_push_action (lt_membership_t *m,
                           lt_membership_action_type_t type, str_t id,
                           str_t address)
{
  if (m->action_count == MEMBER_ACTION_CAP)
    {
      m->action_first = (m->action_first + 1) % MEMBER_ACTION_CAP;
      m->action_count--;
    }
  size_t at = (m->action_first + m->action_count++) % MEMBER_ACTION_CAP;
  member_action_t *queued = &m->actions[at];
  queued->action = (lt_membership_action_t){ .type = type };
  queued->target[0] = queued->target_address[0] = '\0';
  lt_membership_copy_name (queued->id, id);
  lt_membership_copy_name (queued->address, address);
  return queued;
}

bool
lt_membership_next_action (lt_membership_t *m, lt_membership_action_t *action)
{
  if (m->action_count == 0)
    return false;
  member_action_t *queued = &m->actions[m->action_first];
  *action = queued->action;
  action->id = str_from (queued->id);
  action->address = str_from (queued->address);
  action->target = str_from (queued->target);
  action->target_address = str_from (queued->target_address);
  m->action_first = (m->action_first + 1) % MEMBER_ACTION_CAP;
  m->action_count--;
  return true;
}

void
lt_membership_leave (lt_membership_t *m, int64_t now_us)
{
  if (m->self->state != LT_MEMBER_LEAVING)
    lt_membership_set_state (m, now_us, m->self, m->self->incarnation,
                             LT_MEMBER_LEAVING);
}

size_t
lt_membership_count (const lt_membership_t *m)
{
  return m->count;
}

static lt_member_view_t
make_view (const member_t *member)
{
  return (lt_member_view_t){ .info = { .id = member_id (member),
                                       .incarnation = member->incarnation,
                                       .state = member->state,
                                       .address = str_from (member->address),
                                       .region = str_from (member->region),
                                       .failure_domain
                                       = str_from (member->failure_domain) },
                             .self = member->self,
                             .one_way = member->one_way };
}

lt_member_view_t
lt_membership_at (const lt_membership_t *m, size_t index)
{
  return make_view (m->members[index]);
}

bool
lt_membership_find (const lt_membership_t *m, str_t id, lt_member_view_t *view)
{
  const member_t *member = lt_membership_get_member (m, id);
  if (member != NULL)
    *view = make_view (member);
  return member != NULL;
}

size_t
lt_membership_live_count (const lt_membership_t *m)
{
  return m->live_count;
}

uint64_t
lt_membership_incarnation (const lt_membership_t *m)
{
  return m->self->incarnation;
}

uint64_t
lt_membership_generation (const lt_membership_t *m)
{
  return m->generation;
}

str_t
lt_membership_owner (const lt_membership_t *m, str_t key)
{
  str_t id = str_make (NULL, 0);
  lt_membership_owners (m, key, str_make (NULL, 0), &id, 1);
  return id;
}

/* Inserts ID into IDS, the HAVE (at most COUNT) ids of highest weight so far,
   in descending order.  Returns the new length.  */
static size_t
insert_by_weight (str_t *ids, uint64_t *weights, size_t have, size_t count,
                  str_t id, uint64_t weight)
{
  size_t at = have;
  while (at > 0 && weights[at - 1] < weight)
    at--;
  if (at >= count)
    return have;
  size_t kept = have < count ? have : count - 1;
  memmove (&ids[at + 1], &ids[at], (kept - at) * sizeof (*ids));
  memmove (&weights[at + 1], &weights[at], (kept - at) * sizeof (*weights));
  ids[at] = id;
  weights[at] = weight;
  return kept + 1;
}

/* Writes the COUNT live members of highest rendezvous weight for KEY, in
   REGION and failure domain DOMAIN (empty: any).  Returns how many were
   written.  */
static size_t
select_by_weight (const lt_membership_t *m, str_t key, str_t region,
                  str_t domain, str_t *ids, size_t count)
{
  enum
  {
    SELECTED_MAX = 64
  };
  uint64_t weights[SELECTED_MAX];
  size_t have = 0;
  if (count > SELECTED_MAX)
    count = SELECTED_MAX;
  for (size_t i = 0; i < m->count && count > 0; i++)
    {
      const member_t *member = m->members[i];
      if (!member_is_live (member))
        continue;
      if (region.len > 0 && !str_equal (region, str_from (member->region)))
        continue;
      if (domain.len > 0
          && !str_equal (domain, str_from (member->failure_domain)))
        continue;
      have = insert_by_weight (ids, weights, have, count, member_id (member),
                               lt_rendezvous (key, member_id (member)));
    }
  return have;
}

size_t
lt_membership_owners (const lt_membership_t *m, str_t key, str_t region,
                      str_t *ids, size_t count)
{
  return select_by_weight (m, key, region, str_make (NULL, 0), ids, count);
}

static bool
contains (const str_t *texts, size_t count, str_t text)
{
  for (size_t i = 0; i < count; i++)
    if (str_equal (texts[i], text))
      return true;
  return false;
}

size_t
lt_membership_watchers (const lt_membership_t *m, str_t region,
                        size_t per_domain, str_t *ids, str_t *domains,
                        size_t cap)
{
  size_t have = 0;
  for (size_t i = 0; i < m->count; i++)
    {
      const member_t *member = m->members[i];
      str_t domain = str_from (member->failure_domain);
      if (!member_is_live (member)
          || !str_equal (str_from (member->region), region)
          || contains (domains, have, domain))
        continue;
      size_t room = cap - have < per_domain ? cap - have : per_domain;
      size_t found = select_by_weight (m, STR_LIT ("watcher"), region, domain,
                                       ids + have, room);
      for (size_t d = have; d < have + found; d++)
        domains[d] = domain;
      have += found;
    }
  return have;
}

bool
lt_membership_has_region_majority (const lt_membership_t *m, str_t region)
{
  size_t known = 0;
  size_t live = 0;
  for (size_t i = 0; i < m->count; i++)
    if (str_equal (str_from (m->members[i]->region), region))
      {
        known++;
        live += m->members[i]->state != LT_MEMBER_DEAD;
      }
  return live * 2 > known;
}

size_t
lt_membership_random_live (lt_membership_t *m, str_t *ids, size_t count)
{
  size_t others = m->live_count - (member_is_live (m->self) ? 1 : 0);
  size_t have = 0;
  if (count > others)
    count = others;
  while (have < count)
    {
      member_t *member = m->members[lt_rng_below (m->rng, m->count)];
      if (member->self || !member_is_live (member)
          || contains (ids, have, member_id (member)))
        continue;
      ids[have++] = member_id (member);
    }
  return have;
}
