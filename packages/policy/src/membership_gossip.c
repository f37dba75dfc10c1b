#include "membership_state.h"

#include <string.h>

enum
{
  /* Digests differ while gossip is under way; whole lists are exchanged only
     when they differ for longer than this.  */
  MISMATCH_BEFORE_SYNC_S = 10,
  SYNC_INTERVAL_S = 20,
  JOIN_INTERVAL_S = 3,
  SYNC_RETRY_S = 3,
  PAGE_INTERVAL_S = 1,
  PAGE_NONE = 0,
  PAGE_REQUESTED = 1,
  PAGE_MORE = 2,
  PAGE_LAST = 3,
  GOSSIP_UPDATES_MAX = 32,
  /* Approximate encoded size of an update without its texts.  */
  UPDATE_FIXED_BYTES = 16
};

static const int64_t us_per_s = 1000000;

/* Precedence of states within one incarnation; a higher one replaces a lower
   one.  */
static int
state_precedence (lt_member_state_t state)
{
  static const int precedence[] = { [LT_MEMBER_ALIVE] = 0,
                                    [LT_MEMBER_SUSPECT] = 1,
                                    [LT_MEMBER_LEAVING] = 2,
                                    [LT_MEMBER_DEAD] = 3 };
  return precedence[state];
}

static bool
is_suspect_or_dead (lt_member_state_t state)
{
  return state == LT_MEMBER_SUSPECT || state == LT_MEMBER_DEAD;
}

/* Raises this VM's incarnation above a false UPDATE about it, and gossips its
   true state.  */
static void
refute_update (lt_membership_t *m, int64_t now_us,
               const lt_member_update_t *update)
{
  member_t *self = m->self;
  bool wrong = update->state != self->state
               && (update->incarnation > self->incarnation
                   || (update->incarnation == self->incarnation
                       && state_precedence (update->state)
                              > state_precedence (self->state)));
  if (wrong || update->incarnation > self->incarnation)
    lt_membership_set_state (m, now_us, self, update->incarnation + 1,
                             self->state);
  else if (is_suspect_or_dead (update->state) && self->transmits_left == 0)
    /* The update is outdated, but its sender has not received the refutation,
       as in a one-way partition: gossip the refutation again.  */
    lt_membership_set_state (m, now_us, self, self->incarnation, self->state);
}

bool
lt_membership_apply_update (lt_membership_t *m, int64_t now_us,
                            const lt_member_update_t *update)
{
  member_t *member = lt_membership_get_member (m, update->id);
  if (member == m->self)
    {
      refute_update (m, now_us, update);
      return false;
    }
  if (member == NULL)
    {
      /* A VM that is dead or has no address cannot be contacted.  */
      if (update->state == LT_MEMBER_DEAD || update->address.len == 0)
        return false;
      member = lt_membership_add_member (m, update->id);
      lt_membership_set_location (member, update);
      lt_membership_set_state (m, now_us, member, update->incarnation,
                               update->state);
      return true;
    }
  bool newer = update->incarnation > member->incarnation;
  bool same = update->incarnation == member->incarnation;
  /* The sender holds a VM alive that is dead in this list, as after a healed
     partition.  Only that VM can refute its death: the heartbeat carries the
     update to it.  */
  if (same && member->state == LT_MEMBER_DEAD
      && update->state == LT_MEMBER_ALIVE)
    lt_membership_send_heartbeat (m, now_us, member);
  if (!newer
      && !(same
           && state_precedence (update->state)
                  > state_precedence (member->state)))
    return false;
  lt_membership_set_location (member, update);
  lt_membership_set_state (m, now_us, member, update->incarnation,
                           update->state);
  return true;
}

member_t *
lt_membership_add_sender (lt_membership_t *m, int64_t now_us,
                          const lt_member_update_t *from)
{
  member_t *member = lt_membership_get_member (m, from->id);
  if (member == m->self)
    return NULL;
  if (member == NULL)
    member = lt_membership_add_member (m, from->id);
  lt_membership_set_location (member, from);
  if (from->incarnation > member->incarnation)
    lt_membership_set_state (m, now_us, member, from->incarnation,
                             LT_MEMBER_ALIVE);
  return member;
}

/* Appends an update about MEMBER, with or without address, region and failure
   domain.  Returns its approximate encoded size, 0 when there is no room.  */
static int32_t
append_update (lt_membership_message_t *message, const member_t *member,
               bool without_location)
{
  if (message->update_count == message->update_cap)
    return 0;
  lt_member_update_t *update = &message->updates[message->update_count++];
  *update = (lt_member_update_t){ .id = member_id (member),
                                  .incarnation = member->incarnation,
                                  .state = member->state };
  if (!without_location)
    {
      update->address = str_from (member->address);
      update->region = str_from (member->region);
      update->failure_domain = str_from (member->failure_domain);
    }
  return UPDATE_FIXED_BYTES
         + (int32_t)(update->id.len + update->address.len + update->region.len
                     + update->failure_domain.len);
}

/* Fills in queued updates, those sent the fewest times first.  */
static void
fill_gossip (lt_membership_t *m, str_t to, lt_membership_message_t *message)
{
  int32_t bytes = 0;
  /* A receiver that is suspect or dead here must get that update to refute it.
   */
  member_t *receiver = lt_membership_get_member (m, to);
  if (receiver != NULL && is_suspect_or_dead (receiver->state))
    bytes += append_update (message, receiver, true);
  member_t *sent[GOSSIP_UPDATES_MAX];
  size_t count = 0;
  bool full = false;
  for (int level = MEMBER_TRANSMITS_MAX; level > 0 && !full; level--)
    {
      member_t *member = m->gossip_queues[level];
      for (; member != NULL && !full; member = member->next)
        {
          bool without_location = is_suspect_or_dead (member->state);
          int32_t size = append_update (message, member, without_location);
          bytes += size;
          if (size > 0)
            sent[count++] = member;
          full = size == 0 || count == GOSSIP_UPDATES_MAX
                 || bytes >= m->options.heartbeat_update_bytes;
        }
    }
  for (size_t i = 0; i < count; i++)
    lt_membership_set_transmits_left (m, sent[i], sent[i]->transmits_left - 1);
}

/* Fills in one page of the list: members that are not dead, with ids above
   AFTER.  */
static void
fill_page (lt_membership_t *m, str_t after, lt_membership_message_t *message)
{
  int32_t bytes = 0;
  size_t i = 0;
  message->page = PAGE_LAST;
  for (; i < m->count; i++)
    {
      const member_t *member = m->members[i];
      if (str_compare (member_id (member), after) <= 0
          || member->state == LT_MEMBER_DEAD)
        continue;
      int32_t size = bytes < m->options.page_update_bytes
                         ? append_update (message, member, false)
                         : 0;
      if (size == 0)
        {
          message->page = PAGE_MORE;
          break;
        }
      bytes += size;
    }
  if (message->update_count > 0)
    message->page_after = message->updates[message->update_count - 1].id;
}

static void
fill_summary (const lt_membership_t *m, lt_membership_message_t *message)
{
  message->digest = m->digest;
  message->count = (uint32_t)m->live_count;
  message->page = PAGE_NONE;
  message->page_after = str_make (NULL, 0);
  message->update_count = 0;
}

void
lt_membership_fill_heartbeat (lt_membership_t *m, int64_t now_us, str_t to,
                              lt_membership_message_t *message)
{
  fill_summary (m, message);
  if (m->syncing && now_us >= m->next_page_us
      && str_equal (str_from (m->sync_peer), to))
    {
      message->page = PAGE_REQUESTED;
      message->page_after = str_from (m->sync_after);
      m->next_page_us = now_us + SYNC_RETRY_S * us_per_s;
    }
  fill_gossip (m, to, message);
}

static void
start_sync (lt_membership_t *m, int64_t now_us, const member_t *peer,
            bool fast_sync)
{
  m->syncing = true;
  m->fast_sync = fast_sync;
  m->last_sync_us = now_us;
  m->next_page_us = now_us;
  lt_membership_copy_name (m->sync_peer, member_id (peer));
  m->sync_after[0] = '\0';
}

/* Starts a full list exchange with FROM when its digest has differed for long,
   or when its list is more than twice as long, as for a VM that joins.  */
static void
compare_digests (lt_membership_t *m, int64_t now_us, const member_t *from,
                 const lt_membership_message_t *message)
{
  int64_t since_us = now_us - m->last_sync_us;
  if (m->syncing && since_us < SYNC_INTERVAL_S * us_per_s)
    return;
  m->syncing = false;
  if (message->digest == m->digest)
    {
      m->mismatch_since_us = 0;
      return;
    }
  if (m->mismatch_since_us == 0)
    m->mismatch_since_us = now_us;
  bool fast_sync = m->live_count * 2 < message->count;
  bool mismatch_persists
      = now_us - m->mismatch_since_us > MISMATCH_BEFORE_SYNC_S * us_per_s
        && now_us - m->last_sync_us > SYNC_INTERVAL_S * us_per_s;
  if (fast_sync || mismatch_persists)
    start_sync (m, now_us, from, fast_sync);
}

static void
apply_page (lt_membership_t *m, int64_t now_us, const member_t *from,
            const lt_membership_message_t *message)
{
  if (!m->syncing || !str_equal (str_from (m->sync_peer), member_id (from)))
    return;
  if (message->page == PAGE_LAST)
    {
      m->syncing = false;
      m->mismatch_since_us = 0;
      return;
    }
  lt_membership_copy_name (m->sync_after, message->page_after);
  m->next_page_us = now_us + (m->fast_sync ? 0 : PAGE_INTERVAL_S * us_per_s);
}

/* Updates received in a page are not gossiped: the other VMs have them.  */
static void
cancel_gossip (lt_membership_t *m, str_t id)
{
  member_t *member = lt_membership_get_member (m, id);
  if (member != NULL && !member->self)
    lt_membership_set_transmits_left (m, member, 0);
}

void
lt_membership_apply_message (lt_membership_t *m, int64_t now_us,
                             member_t *from,
                             const lt_membership_message_t *message, bool ack)
{
  bool page = ack && message->page >= PAGE_MORE;
  for (uint32_t i = 0; i < message->update_count; i++)
    if (lt_membership_apply_update (m, now_us, &message->updates[i]) && page)
      cancel_gossip (m, message->updates[i].id);
  if (page)
    apply_page (m, now_us, from, message);
  compare_digests (m, now_us, from, message);
}

void
lt_membership_tick_sync (lt_membership_t *m, int64_t now_us)
{
  if (!m->syncing || now_us < m->next_page_us)
    return;
  member_t *peer = lt_membership_get_member (m, str_from (m->sync_peer));
  if (peer == NULL || peer->state == LT_MEMBER_DEAD)
    m->syncing = false;
  else
    lt_membership_push_action (m, LT_MEMBERSHIP_HEARTBEAT, member_id (peer),
                               str_from (peer->address));
}

void
lt_membership_on_heartbeat (lt_membership_t *m, int64_t now_us,
                            const lt_member_update_t *from,
                            const lt_membership_message_t *message,
                            lt_membership_message_t *ack)
{
  member_t *member = lt_membership_add_sender (m, now_us, from);
  if (member != NULL)
    lt_membership_apply_message (m, now_us, member, message, false);
  fill_summary (m, ack);
  if (message->page == PAGE_REQUESTED)
    fill_page (m, message->page_after, ack);
  else
    fill_gossip (m, from->id, ack);
}
