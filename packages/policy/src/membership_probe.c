#include "membership_state.h"

#include <string.h>

enum
{
  /* One of the random partners changes this often, so that connections are
     reused yet the graph keeps mixing.  */
  PARTNER_LIFE_S = 16,
  /* Every so many rounds one heartbeat goes to a dead VM or a hint.  */
  RETRY_ROUNDS = 8,
  HELPERS_MAX = 8,
  HELPED_SHARE = 2 /* A helper gives up after half the probe's time. */
};

static const int64_t us_per_s = 1000000;

void
lt_membership_heartbeat (lt_membership_t *m, int64_t now_us, member_t *member)
{
  member_action_t *queued
      = lt_membership_push (m, LT_MEMBERSHIP_HEARTBEAT, member_id (member),
                            str_from (member->address));
  queued->action.correlation = ++m->correlation;
  if (member->phase != PROBE_NONE || member->state == LT_MEMBER_DEAD)
    return;
  member->phase = PROBE_DIRECT;
  member->probe_us = now_us;
  member->probes = 0;
}

/* The next VM on ring RING that is not dead, or NULL.  Two rings in different
   orders give every VM at least two others that watch it, and keep the graph
   connected whatever the random partners are.  */
static member_t *
ring_successor (const lt_membership_t *m, int ring)
{
  uint64_t own = m->self->ring[ring];
  member_t *best = NULL;
  for (size_t i = 0; i < m->count; i++)
    {
      member_t *member = m->members[i];
      if (member->self || member->state == LT_MEMBER_DEAD)
        continue;
      if (best == NULL || member->ring[ring] - own < best->ring[ring] - own)
        best = member;
    }
  return best;
}

static member_t *
random_partner (lt_membership_t *m, int64_t now_us, int index)
{
  member_t *partner = lt_membership_get (m, str_from (m->partners[index]));
  bool keep = partner != NULL && partner->state == LT_MEMBER_ALIVE
              && now_us < m->partner_until_us[index];
  if (keep)
    return partner;
  str_t id;
  if (lt_membership_random (m, &id, 1) == 0)
    return NULL;
  lt_membership_copy_name (m->partners[index], id);
  int64_t life_us = PARTNER_LIFE_S * us_per_s;
  m->partner_until_us[index]
      = now_us + life_us / 2
        + (int64_t)lt_rng_below (m->rng, (uint64_t)life_us);
  return lt_membership_get (m, id);
}

static member_t *
random_dead (lt_membership_t *m)
{
  size_t dead = 0;
  member_t *chosen = NULL;
  for (size_t i = 0; i < m->count; i++)
    if (m->members[i]->state == LT_MEMBER_DEAD
        && m->members[i]->address[0] != '\0'
        && lt_rng_below (m->rng, ++dead) == 0)
      chosen = m->members[i];
  return chosen;
}

static bool
address_is_live (const lt_membership_t *m, str_t address)
{
  for (size_t i = 0; i < m->count; i++)
    if (m->members[i]->state != LT_MEMBER_DEAD
        && str_equal (str_from (m->members[i]->address), address))
      return true;
  return false;
}

/* Tries a hint whose VM is not known to live.  */
static bool
try_hint (lt_membership_t *m)
{
  for (size_t i = 0; i < MEMBER_HINT_CAP; i++)
    {
      hint_t *hint = &m->hints[m->next_hint++ % MEMBER_HINT_CAP];
      if (hint->address[0] == '\0')
        continue;
      if (address_is_live (m, str_from (hint->address)))
        {
          hint->address[0] = '\0';
          continue;
        }
      lt_membership_push (m, LT_MEMBERSHIP_CONNECT, str_from (hint->id),
                          str_from (hint->address));
      return true;
    }
  return false;
}

/* The slot of ADDRESS, else a free one, else any.  */
static hint_t *
hint_slot (lt_membership_t *m, str_t address)
{
  size_t free_index = lt_rng_below (m->rng, MEMBER_HINT_CAP);
  for (size_t i = 0; i < MEMBER_HINT_CAP; i++)
    {
      if (str_equal (str_from (m->hints[i].address), address))
        return &m->hints[i];
      if (m->hints[i].address[0] == '\0')
        free_index = i;
    }
  return &m->hints[free_index];
}

void
lt_membership_add_hint (lt_membership_t *m, int64_t now_us, str_t id,
                        str_t address)
{
  (void)now_us;
  member_t *known = lt_membership_get (m, id);
  if (known != NULL && known->state != LT_MEMBER_DEAD)
    return;
  if (address.len == 0 || address_is_live (m, address))
    return;
  hint_t *slot = hint_slot (m, address);
  lt_membership_copy_name (slot->id, id);
  lt_membership_copy_name (slot->address, address);
}

/* Tries a VM that is not known to live: a dead one or a hint, in turn.  */
static bool
retry_absent (lt_membership_t *m, int64_t now_us, uint32_t turn)
{
  if (turn % 2 == 0 && try_hint (m))
    return true;
  member_t *dead = random_dead (m);
  if (dead == NULL)
    return try_hint (m);
  lt_membership_heartbeat (m, now_us, dead);
  return true;
}

static void
run_slot (lt_membership_t *m, int64_t now_us)
{
  uint32_t targets = (uint32_t)m->options.targets;
  uint32_t slot = m->slot % targets;
  uint32_t round = m->slot / targets;
  m->slot++;
  bool alone = m->live <= 1;
  bool retry = slot == targets - 1 && round % RETRY_ROUNDS == 0;
  if ((alone || retry)
      && retry_absent (m, now_us, alone ? m->slot : round / RETRY_ROUNDS))
    return;
  member_t *target = NULL;
  if (slot < MEMBER_RINGS)
    target = ring_successor (m, (int)slot);
  else
    target = random_partner (m, now_us,
                             (int)((slot - MEMBER_RINGS) % MEMBER_PARTNERS));
  if (target != NULL)
    lt_membership_heartbeat (m, now_us, target);
}

static void
ask_helpers (lt_membership_t *m, const member_t *target)
{
  str_t helpers[HELPERS_MAX];
  size_t wanted = (size_t)m->options.helpers;
  size_t count = lt_membership_random (
      m, helpers, wanted < HELPERS_MAX ? wanted : HELPERS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      if (str_equal (helpers[i], member_id (target)))
        continue;
      const member_t *helper = lt_membership_get (m, helpers[i]);
      member_action_t *queued
          = lt_membership_push (m, LT_MEMBERSHIP_PROBE_REQUEST, helpers[i],
                                str_from (helper->address));
      queued->action.correlation = ++m->correlation;
      lt_membership_copy_name (queued->target, member_id (target));
      lt_membership_copy_name (queued->target_address,
                               str_from (target->address));
    }
}

/* Marks a VM that answers nobody.  When nobody answers this VM, the fault is
   likely its own: then it keeps the suspicion to itself.  */
static void
give_up (lt_membership_t *m, int64_t now_us, member_t *member)
{
  bool isolated = m->last_ack_us < member->probe_us;
  lt_member_state_t state = member->state == LT_MEMBER_LEAVING
                                ? LT_MEMBER_DEAD
                                : LT_MEMBER_SUSPECT;
  member->phase = PROBE_NONE;
  if (member->state == LT_MEMBER_SUSPECT)
    return;
  lt_membership_set (m, now_us, member, member->incarnation, state);
  if (isolated)
    lt_membership_set_gossip (m, member, 0);
}

/* After ack_timeout_us, and every such time again, others are asked to probe,
   and the VM gets another heartbeat: one lost frame must not look like a dead
   VM.  */
static void
check_probe (lt_membership_t *m, int64_t now_us, member_t *member)
{
  int64_t waited_us = now_us - member->probe_us;
  int64_t step_us = m->options.ack_timeout_us;
  if (waited_us >= step_us + m->options.probe_timeout_us)
    {
      give_up (m, now_us, member);
      return;
    }
  if (waited_us < step_us * (member->probes + 1))
    return;
  member->probes++;
  member->phase = PROBE_INDIRECT;
  ask_helpers (m, member);
  lt_membership_heartbeat (m, now_us, member);
}

/* A suspicion that was kept back stays so when the VM is taken as dead.  */
static void
declare_dead (lt_membership_t *m, int64_t now_us, member_t *member)
{
  bool isolated = m->last_ack_us < now_us - m->options.suspect_us;
  lt_membership_set (m, now_us, member, member->incarnation, LT_MEMBER_DEAD);
  if (isolated)
    lt_membership_set_gossip (m, member, 0);
}

static void
check_members (lt_membership_t *m, int64_t now_us)
{
  for (size_t i = m->count; i-- > 0;)
    {
      member_t *member = m->members[i];
      if (member->phase != PROBE_NONE)
        check_probe (m, now_us, member);
      if (member->state == LT_MEMBER_SUSPECT && now_us >= member->dead_at_us)
        declare_dead (m, now_us, member);
      else if (member->state == LT_MEMBER_DEAD && !member->self
               && now_us - member->changed_us > m->options.dead_keep_us)
        lt_membership_drop (m, member);
    }
}

static void
check_helped (lt_membership_t *m, int64_t now_us)
{
  for (size_t i = 0; i < MEMBER_HELPED_CAP; i++)
    {
      helped_t *helped = &m->helped[i];
      if (helped->until_us == 0 || now_us < helped->until_us)
        continue;
      helped->until_us = 0;
      member_action_t *queued = lt_membership_push (
          m, LT_MEMBERSHIP_PROBE_RESULT, str_from (helped->requester),
          str_make (NULL, 0));
      queued->action.correlation = helped->correlation;
      lt_membership_copy_name (queued->target, str_from (helped->target));
    }
}

/* After a pause missing answers of others prove nothing: unanswered probes are
   forgotten and suspects get their time again.  */
static void
check_pause (lt_membership_t *m, int64_t now_us)
{
  int64_t gap_us = m->last_tick_us == INT64_MIN ? 0 : now_us - m->last_tick_us;
  m->last_tick_us = now_us;
  if (gap_us <= m->options.pause_us)
    return;
  for (size_t i = 0; i < m->count; i++)
    {
      m->members[i]->phase = PROBE_NONE;
      m->members[i]->dead_at_us += gap_us;
    }
  lt_membership_push (m, LT_MEMBERSHIP_PAUSED, member_id (m->self),
                      str_make (NULL, 0));
}

void
lt_membership_tick (lt_membership_t *m, int64_t now_us)
{
  check_pause (m, now_us);
  check_members (m, now_us);
  check_helped (m, now_us);
  lt_membership_tick_sync (m, now_us);
  int64_t step_us = m->options.interval_us / m->options.targets;
  if (m->next_slot_us == INT64_MIN || now_us - m->next_slot_us > us_per_s)
    m->next_slot_us
        = now_us + (int64_t)lt_rng_below (m->rng, (uint64_t)step_us);
  while (now_us >= m->next_slot_us)
    {
      m->next_slot_us += step_us;
      run_slot (m, now_us);
    }
}

static void
report_helped (lt_membership_t *m, const member_t *target)
{
  for (size_t i = 0; i < MEMBER_HELPED_CAP; i++)
    {
      helped_t *helped = &m->helped[i];
      if (helped->until_us == 0
          || !str_equal (str_from (helped->target), member_id (target)))
        continue;
      helped->until_us = 0;
      member_action_t *queued = lt_membership_push (
          m, LT_MEMBERSHIP_PROBE_RESULT, str_from (helped->requester),
          str_make (NULL, 0));
      queued->action.correlation = helped->correlation;
      queued->action.reached = true;
      lt_membership_copy_name (queued->target, member_id (target));
    }
}

void
lt_membership_on_connected (lt_membership_t *m, int64_t now_us,
                            const lt_member_update_t *peer, bool greet)
{
  member_t *member = lt_membership_contact (m, now_us, peer);
  if (member != NULL && greet)
    lt_membership_heartbeat (m, now_us, member);
}

void
lt_membership_on_ack (lt_membership_t *m, int64_t now_us,
                      const lt_member_update_t *from, uint64_t correlation,
                      const lt_membership_message_t *message)
{
  (void)correlation;
  member_t *member = lt_membership_contact (m, now_us, from);
  if (member == NULL)
    return;
  member->phase = PROBE_NONE;
  member->one_way = false;
  m->last_ack_us = now_us;
  /* It answers: it gets the time to refute the suspicion.  */
  if (member->state == LT_MEMBER_SUSPECT)
    member->dead_at_us = now_us + m->options.suspect_us;
  report_helped (m, member);
  lt_membership_take_message (m, now_us, member, message, true);
}

void
lt_membership_on_probe_request (lt_membership_t *m, int64_t now_us, str_t from,
                                uint64_t correlation, str_t target)
{
  member_t *member = lt_membership_get (m, target);
  if (member == NULL || member->self)
    return;
  for (size_t i = 0; i < MEMBER_HELPED_CAP; i++)
    {
      helped_t *helped = &m->helped[i];
      if (helped->until_us != 0)
        continue;
      lt_membership_copy_name (helped->requester, from);
      lt_membership_copy_name (helped->target, target);
      helped->correlation = correlation;
      helped->until_us = now_us + m->options.probe_timeout_us / HELPED_SHARE;
      lt_membership_heartbeat (m, now_us, member);
      return;
    }
}

void
lt_membership_on_probe_result (lt_membership_t *m, int64_t now_us,
                               str_t target, bool reached)
{
  (void)now_us;
  member_t *member = lt_membership_get (m, target);
  if (member == NULL || !reached || member->phase != PROBE_INDIRECT)
    return;
  member->phase = PROBE_NONE;
  member->one_way = true;
}
