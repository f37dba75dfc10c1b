#include "membership_state.h"

#include <string.h>

enum
{
  /* Mean time until a random heartbeat partner is replaced: long enough to
     reuse connections, short enough that gossip reaches all VMs.  */
  PARTNER_LIFETIME_S = 16,
  /* One of the heartbeats of every eighth round goes to a dead VM or a hint.
   */
  DEAD_RETRY_ROUNDS = 8,
  INDIRECT_PROBES_MAX = 8,
  RELAYED_PROBE_DIVISOR = 2 /* A probe for another VM ends after
                               probe_timeout_us divided by this. */
};

static const int64_t us_per_s = 1000000;

void
lt_membership_send_heartbeat (lt_membership_t *m, int64_t now_us,
                              member_t *member)
{
  member_action_t *queued = lt_membership_push_action (
      m, LT_MEMBERSHIP_HEARTBEAT, member_id (member),
      str_from (member->address));
  queued->action.correlation = ++m->correlation;
  if (member->probe_phase != PROBE_NONE || member->state == LT_MEMBER_DEAD)
    return;
  member->probe_phase = PROBE_DIRECT;
  member->probe_started_us = now_us;
  member->indirect_rounds = 0;
}

/* Returns the next VM on ring RING that is not dead, or NULL.  Two rings in
   different orders have every VM probed by its predecessor on each and keep
   the graph of heartbeats connected, whatever the random partners are.  */
static member_t *
ring_successor (const lt_membership_t *m, int ring)
{
  uint64_t own = m->self->ring_position[ring];
  member_t *best = NULL;
  for (size_t i = 0; i < m->count; i++)
    {
      member_t *member = m->members[i];
      if (member->self || member->state == LT_MEMBER_DEAD)
        continue;
      if (best == NULL
          || member->ring_position[ring] - own
                 < best->ring_position[ring] - own)
        best = member;
    }
  return best;
}

/* Returns random partner INDEX, and replaces it first when it is not alive or
   its time is over; NULL when no other VM is live.  */
static member_t *
random_partner (lt_membership_t *m, int64_t now_us, int index)
{
  member_t *partner
      = lt_membership_get_member (m, str_from (m->partners[index]));
  bool keep = partner != NULL && partner->state == LT_MEMBER_ALIVE
              && now_us < m->partner_expires_us[index];
  if (keep)
    return partner;
  str_t id;
  if (lt_membership_random_live (m, &id, 1) == 0)
    return NULL;
  lt_membership_copy_name (m->partners[index], id);
  int64_t lifetime_us = PARTNER_LIFETIME_S * us_per_s;
  m->partner_expires_us[index]
      = now_us + lifetime_us / 2
        + (int64_t)lt_rng_below (m->rng, (uint64_t)lifetime_us);
  return lt_membership_get_member (m, id);
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
is_live_address (const lt_membership_t *m, str_t address)
{
  for (size_t i = 0; i < m->count; i++)
    if (m->members[i]->state != LT_MEMBER_DEAD
        && str_equal (str_from (m->members[i]->address), address))
      return true;
  return false;
}

/* Connects to the next hint whose address is not that of a live VM.  Returns
   false when there is none.  */
static bool
try_hint (lt_membership_t *m)
{
  for (size_t i = 0; i < MEMBER_HINT_CAP; i++)
    {
      hint_t *hint = &m->hints[m->next_hint++ % MEMBER_HINT_CAP];
      if (hint->address[0] == '\0')
        continue;
      if (is_live_address (m, str_from (hint->address)))
        {
          hint->address[0] = '\0';
          continue;
        }
      lt_membership_push_action (m, LT_MEMBERSHIP_CONNECT, str_from (hint->id),
                                 str_from (hint->address));
      return true;
    }
  return false;
}

/* Returns the slot of ADDRESS, else a free one, else a random one.  */
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
  member_t *known = lt_membership_get_member (m, id);
  if (known != NULL && known->state != LT_MEMBER_DEAD)
    return;
  if (address.len == 0 || is_live_address (m, address))
    return;
  hint_t *slot = hint_slot (m, address);
  lt_membership_copy_name (slot->id, id);
  lt_membership_copy_name (slot->address, address);
}

/* Contacts a VM that is not live in the list: a dead one or a hint,
   alternately.  Returns false when there is none.  */
static bool
try_dead_or_hint (lt_membership_t *m, int64_t now_us, uint32_t turn)
{
  if (turn % 2 == 0 && try_hint (m))
    return true;
  member_t *dead = random_dead (m);
  if (dead == NULL)
    return try_hint (m);
  lt_membership_send_heartbeat (m, now_us, dead);
  return true;
}

/* Sends one of the heartbeats of a round: one to the successor on each ring,
   the others to random partners.  The last one of some rounds, and every one
   while this VM is alone, goes to a dead VM or a hint if there is any.  */
static void
run_heartbeat_slot (lt_membership_t *m, int64_t now_us)
{
  uint32_t targets = (uint32_t)m->options.heartbeats_per_round;
  uint32_t slot = m->slot % targets;
  uint32_t round = m->slot / targets;
  m->slot++;
  bool alone = m->live_count <= 1;
  bool retry = slot == targets - 1 && round % DEAD_RETRY_ROUNDS == 0;
  if ((alone || retry)
      && try_dead_or_hint (m, now_us,
                           alone ? m->slot : round / DEAD_RETRY_ROUNDS))
    return;
  member_t *target = NULL;
  if (slot < MEMBER_RINGS)
    target = ring_successor (m, (int)slot);
  else
    target = random_partner (m, now_us,
                             (int)((slot - MEMBER_RINGS) % MEMBER_PARTNERS));
  if (target != NULL)
    lt_membership_send_heartbeat (m, now_us, target);
}

static void
request_indirect_probes (lt_membership_t *m, const member_t *target)
{
  str_t helpers[INDIRECT_PROBES_MAX];
  size_t wanted = (size_t)m->options.indirect_probes;
  size_t count = lt_membership_random_live (
      m, helpers, wanted < INDIRECT_PROBES_MAX ? wanted : INDIRECT_PROBES_MAX);
  for (size_t i = 0; i < count; i++)
    {
      if (str_equal (helpers[i], member_id (target)))
        continue;
      const member_t *helper = lt_membership_get_member (m, helpers[i]);
      member_action_t *queued
          = lt_membership_push_action (m, LT_MEMBERSHIP_PROBE_REQUEST,
                                       helpers[i], str_from (helper->address));
      queued->action.correlation = ++m->correlation;
      lt_membership_copy_name (queued->target, member_id (target));
      lt_membership_copy_name (queued->target_address,
                               str_from (target->address));
    }
}

/* Marks a VM that no probe reached as suspect; a leaving one is dead.  When
   this VM has received no acknowledgement from any VM during the probe, the
   fault is likely its own, and it does not gossip the suspicion.  */
static void
handle_probe_timeout (lt_membership_t *m, int64_t now_us, member_t *member)
{
  bool isolated = m->last_ack_us < member->probe_started_us;
  lt_member_state_t state = member->state == LT_MEMBER_LEAVING
                                ? LT_MEMBER_DEAD
                                : LT_MEMBER_SUSPECT;
  member->probe_phase = PROBE_NONE;
  if (member->state == LT_MEMBER_SUSPECT)
    return;
  lt_membership_set_state (m, now_us, member, member->incarnation, state);
  if (isolated)
    lt_membership_set_transmits_left (m, member, 0);
}

/* Every ack_timeout_us, asks other VMs to probe MEMBER and sends it another
   heartbeat, so that one lost frame does not make it suspect.  */
static void
check_probe (lt_membership_t *m, int64_t now_us, member_t *member)
{
  int64_t waited_us = now_us - member->probe_started_us;
  int64_t step_us = m->options.ack_timeout_us;
  if (waited_us >= step_us + m->options.probe_timeout_us)
    {
      handle_probe_timeout (m, now_us, member);
      return;
    }
  if (waited_us < step_us * (member->indirect_rounds + 1))
    return;
  member->indirect_rounds++;
  member->probe_phase = PROBE_INDIRECT;
  request_indirect_probes (m, member);
  lt_membership_send_heartbeat (m, now_us, member);
}

/* As in handle_probe_timeout, an isolated VM does not gossip the death.  */
static void
declare_dead (lt_membership_t *m, int64_t now_us, member_t *member)
{
  bool isolated = m->last_ack_us < now_us - m->options.suspicion_timeout_us;
  lt_membership_set_state (m, now_us, member, member->incarnation,
                           LT_MEMBER_DEAD);
  if (isolated)
    lt_membership_set_transmits_left (m, member, 0);
}

static void
check_members (lt_membership_t *m, int64_t now_us)
{
  for (size_t i = m->count; i-- > 0;)
    {
      member_t *member = m->members[i];
      if (member->probe_phase != PROBE_NONE)
        check_probe (m, now_us, member);
      if (member->state == LT_MEMBER_SUSPECT
          && now_us >= member->suspicion_deadline_us)
        declare_dead (m, now_us, member);
      else if (member->state == LT_MEMBER_DEAD && !member->self
               && now_us - member->state_changed_us
                      > m->options.dead_retention_us)
        lt_membership_remove (m, member);
    }
}

/* Reports probes for other VMs as failed when their time is over.  */
static void
expire_relayed_probes (lt_membership_t *m, int64_t now_us)
{
  for (size_t i = 0; i < MEMBER_RELAYED_PROBE_CAP; i++)
    {
      relayed_probe_t *probe = &m->relayed_probes[i];
      if (probe->deadline_us == 0 || now_us < probe->deadline_us)
        continue;
      probe->deadline_us = 0;
      member_action_t *queued = lt_membership_push_action (
          m, LT_MEMBERSHIP_PROBE_RESULT, str_from (probe->requester),
          str_make (NULL, 0));
      queued->action.correlation = probe->correlation;
      lt_membership_copy_name (queued->target, str_from (probe->target));
    }
}

/* Detects a pause of this process.  Acknowledgements missed during it are no
   evidence: unanswered probes are dropped, and the deadlines of suspects are
   extended by the pause.  */
static void
check_pause (lt_membership_t *m, int64_t now_us)
{
  int64_t gap_us = m->last_tick_us == INT64_MIN ? 0 : now_us - m->last_tick_us;
  m->last_tick_us = now_us;
  if (gap_us <= m->options.pause_threshold_us)
    return;
  for (size_t i = 0; i < m->count; i++)
    {
      m->members[i]->probe_phase = PROBE_NONE;
      m->members[i]->suspicion_deadline_us += gap_us;
    }
  lt_membership_push_action (m, LT_MEMBERSHIP_PAUSED, member_id (m->self),
                             str_make (NULL, 0));
}

void
lt_membership_tick (lt_membership_t *m, int64_t now_us)
{
  check_pause (m, now_us);
  check_members (m, now_us);
  expire_relayed_probes (m, now_us);
  lt_membership_tick_sync (m, now_us);
  int64_t step_us
      = m->options.round_interval_us / m->options.heartbeats_per_round;
  if (m->next_slot_us == INT64_MIN || now_us - m->next_slot_us > us_per_s)
    m->next_slot_us
        = now_us + (int64_t)lt_rng_below (m->rng, (uint64_t)step_us);
  while (now_us >= m->next_slot_us)
    {
      m->next_slot_us += step_us;
      run_heartbeat_slot (m, now_us);
    }
}

/* Reports probes of TARGET for other VMs as successful.  */
static void
report_relayed_probes (lt_membership_t *m, const member_t *target)
{
  for (size_t i = 0; i < MEMBER_RELAYED_PROBE_CAP; i++)
    {
      relayed_probe_t *probe = &m->relayed_probes[i];
      if (probe->deadline_us == 0
          || !str_equal (str_from (probe->target), member_id (target)))
        continue;
      probe->deadline_us = 0;
      member_action_t *queued = lt_membership_push_action (
          m, LT_MEMBERSHIP_PROBE_RESULT, str_from (probe->requester),
          str_make (NULL, 0));
      queued->action.correlation = probe->correlation;
      queued->action.reached = true;
      lt_membership_copy_name (queued->target, member_id (target));
    }
}

void
lt_membership_on_connected (lt_membership_t *m, int64_t now_us,
                            const lt_member_update_t *peer,
                            bool send_heartbeat)
{
  member_t *member = lt_membership_add_sender (m, now_us, peer);
  if (member != NULL && send_heartbeat)
    lt_membership_send_heartbeat (m, now_us, member);
}

void
lt_membership_on_ack (lt_membership_t *m, int64_t now_us,
                      const lt_member_update_t *from, uint64_t correlation,
                      const lt_membership_message_t *message)
{
  (void)correlation;
  member_t *member = lt_membership_add_sender (m, now_us, from);
  if (member == NULL)
    return;
  member->probe_phase = PROBE_NONE;
  member->one_way = false;
  m->last_ack_us = now_us;
  /* The VM answers, so it gets the full time to refute the suspicion.  */
  if (member->state == LT_MEMBER_SUSPECT)
    member->suspicion_deadline_us = now_us + m->options.suspicion_timeout_us;
  report_relayed_probes (m, member);
  lt_membership_apply_message (m, now_us, member, message, true);
}

void
lt_membership_on_probe_request (lt_membership_t *m, int64_t now_us, str_t from,
                                uint64_t correlation, str_t target)
{
  member_t *member = lt_membership_get_member (m, target);
  if (member == NULL || member->self)
    return;
  for (size_t i = 0; i < MEMBER_RELAYED_PROBE_CAP; i++)
    {
      relayed_probe_t *probe = &m->relayed_probes[i];
      if (probe->deadline_us != 0)
        continue;
      lt_membership_copy_name (probe->requester, from);
      lt_membership_copy_name (probe->target, target);
      probe->correlation = correlation;
      probe->deadline_us
          = now_us + m->options.probe_timeout_us / RELAYED_PROBE_DIVISOR;
      lt_membership_send_heartbeat (m, now_us, member);
      return;
    }
}

void
lt_membership_on_probe_result (lt_membership_t *m, int64_t now_us,
                               str_t target, bool reached)
{
  (void)now_us;
  member_t *member = lt_membership_get_member (m, target);
  if (member == NULL || !reached || member->probe_phase != PROBE_INDIRECT)
    return;
  member->probe_phase = PROBE_NONE;
  member->one_way = true;
}
