#include "membership_state.h"

#include <string.h>

enum
{
  /* A different view is normal while gossip is under way; only after this is
     the whole list exchanged.  */
  MISMATCH_BEFORE_SYNC_S = 10,
  SYNC_INTERVAL_S = 20,
  JOIN_INTERVAL_S = 3,
  SYNC_RETRY_S = 3,
  PAGE_INTERVAL_S = 1,
  PAGE_NONE = 0,
  PAGE_ASKED = 1,
  PAGE_MORE = 2,
  PAGE_LAST = 3,
  GOSSIP_SENT_MAX = 32,
  /* Encoded size of an update without its texts.  */
  UPDATE_BYTES = 16
};

static const int64_t us_per_s = 1000000;

/* Order of states within one incarnation; a higher one replaces a lower.  */
static int
state_rank (lt_member_state_t state)
{
  static const int ranks[] = { [LT_MEMBER_ALIVE] = 0,
                               [LT_MEMBER_SUSPECT] = 1,
                               [LT_MEMBER_LEAVING] = 2,
                               [LT_MEMBER_DEAD] = 3 };
  return ranks[state];
}

static bool
state_is_bad (lt_member_state_t state)
{
  return state == LT_MEMBER_SUSPECT || state == LT_MEMBER_DEAD;
}

/* Somebody believes something about this VM that is not so.  */
static void
refute (lt_membership_t *m, int64_t now_us, const lt_member_update_t *update)
{
  member_t *self = m->self;
  bool wrong
      = update->state != self->state
        && (update->incarnation > self->incarnation
            || (update->incarnation == self->incarnation
                && state_rank (update->state) > state_rank (self->state)));
  if (wrong || update->incarnation > self->incarnation)
    lt_membership_set (m, now_us, self, update->incarnation + 1, self->state);
  else if (state_is_bad (update->state) && self->gossip_left == 0)
    /* Refuted already, but the refutation got lost, as behind a one-way
       partition.  */
    lt_membership_set (m, now_us, self, self->incarnation, self->state);
}

bool
lt_membership_learn (lt_membership_t *m, int64_t now_us,
                     const lt_member_update_t *update)
{
  member_t *member = lt_membership_get (m, update->id);
  if (member == m->self)
    {
      refute (m, now_us, update);
      return false;
    }
  if (member == NULL)
    {
      /* A VM that is only known to be dead is of no use.  */
      if (update->state == LT_MEMBER_DEAD || update->address.len == 0)
        return false;
      member = lt_membership_add (m, update->id);
      lt_membership_describe (member, update);
      lt_membership_set (m, now_us, member, update->incarnation,
                         update->state);
      return true;
    }
  bool newer = update->incarnation > member->incarnation;
  bool same = update->incarnation == member->incarnation;
  /* Others see a VM live that is dead here, as after a healed partition.  Only
     that VM can settle it: it is told, and refutes.  */
  if (same && member->state == LT_MEMBER_DEAD
      && update->state == LT_MEMBER_ALIVE)
    lt_membership_heartbeat (m, now_us, member);
  if (!newer
      && !(same && state_rank (update->state) > state_rank (member->state)))
    return false;
  lt_membership_describe (member, update);
  lt_membership_set (m, now_us, member, update->incarnation, update->state);
  return true;
}

member_t *
lt_membership_contact (lt_membership_t *m, int64_t now_us,
                       const lt_member_update_t *from)
{
  member_t *member = lt_membership_get (m, from->id);
  if (member == m->self)
    return NULL;
  if (member == NULL)
    member = lt_membership_add (m, from->id);
  lt_membership_describe (member, from);
  if (from->incarnation > member->incarnation)
    lt_membership_set (m, now_us, member, from->incarnation, LT_MEMBER_ALIVE);
  return member;
}

/* Appends an update; a brief one has no address and place.  Returns its
   encoded size, 0 when there is no room.  */
static int32_t
append_update (lt_membership_message_t *message, const member_t *member,
               bool brief)
{
  if (message->update_count == message->update_cap)
    return 0;
  lt_member_update_t *update = &message->updates[message->update_count++];
  *update = (lt_member_update_t){ .id = member_id (member),
                                  .incarnation = member->incarnation,
                                  .state = member->state };
  if (!brief)
    {
      update->address = str_from (member->address);
      update->region = str_from (member->region);
      update->failure_domain = str_from (member->failure_domain);
    }
  return UPDATE_BYTES
         + (int32_t)(update->id.len + update->address.len + update->region.len
                     + update->failure_domain.len);
}

/* Fills in updates, those sent the fewest times first.  */
static void
fill_gossip (lt_membership_t *m, str_t to, lt_membership_message_t *message)
{
  int32_t bytes = 0;
  /* A VM that is thought suspect or dead must hear it, to refute it.  */
  member_t *receiver = lt_membership_get (m, to);
  if (receiver != NULL && state_is_bad (receiver->state))
    bytes += append_update (message, receiver, true);
  member_t *sent[GOSSIP_SENT_MAX];
  size_t count = 0;
  bool full = false;
  for (int level = MEMBER_GOSSIP_MAX; level > 0 && !full; level--)
    {
      member_t *member = m->gossip[level];
      for (; member != NULL && !full; member = member->next)
        {
          bool brief = state_is_bad (member->state);
          int32_t size = append_update (message, member, brief);
          bytes += size;
          if (size > 0)
            sent[count++] = member;
          full = size == 0 || count == GOSSIP_SENT_MAX
                 || bytes >= m->options.gossip_bytes;
        }
    }
  for (size_t i = 0; i < count; i++)
    lt_membership_set_gossip (m, sent[i], sent[i]->gossip_left - 1);
}

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
      int32_t size = bytes < m->options.page_bytes
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
fill_view (const lt_membership_t *m, lt_membership_message_t *message)
{
  message->digest = m->digest;
  message->count = (uint32_t)m->live;
  message->page = PAGE_NONE;
  message->page_after = str_make (NULL, 0);
  message->update_count = 0;
}

void
lt_membership_fill_heartbeat (lt_membership_t *m, int64_t now_us, str_t to,
                              lt_membership_message_t *message)
{
  fill_view (m, message);
  if (m->syncing && now_us >= m->next_page_us
      && str_equal (str_from (m->sync_peer), to))
    {
      message->page = PAGE_ASKED;
      message->page_after = str_from (m->sync_after);
      m->next_page_us = now_us + SYNC_RETRY_S * us_per_s;
    }
  fill_gossip (m, to, message);
}

static void
start_sync (lt_membership_t *m, int64_t now_us, const member_t *peer,
            bool joining)
{
  m->syncing = true;
  m->joining = joining;
  m->last_sync_us = now_us;
  m->next_page_us = now_us;
  lt_membership_copy_name (m->sync_peer, member_id (peer));
  m->sync_after[0] = '\0';
}

/* Decides whether the view of FROM calls for an exchange of the whole list. */
static void
compare_views (lt_membership_t *m, int64_t now_us, const member_t *from,
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
  bool joining = m->live * 2 < message->count;
  bool lasting
      = now_us - m->mismatch_since_us > MISMATCH_BEFORE_SYNC_S * us_per_s
        && now_us - m->last_sync_us > SYNC_INTERVAL_S * us_per_s;
  if (joining || lasting)
    start_sync (m, now_us, from, joining);
}

static void
take_page (lt_membership_t *m, int64_t now_us, const member_t *from,
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
  m->next_page_us = now_us + (m->joining ? 0 : PAGE_INTERVAL_S * us_per_s);
}

/* What a page tells is old news, which the others have.  */
static void
stop_gossip (lt_membership_t *m, str_t id)
{
  member_t *member = lt_membership_get (m, id);
  if (member != NULL && !member->self)
    lt_membership_set_gossip (m, member, 0);
}

void
lt_membership_take_message (lt_membership_t *m, int64_t now_us, member_t *from,
                            const lt_membership_message_t *message, bool ack)
{
  bool page = ack && message->page >= PAGE_MORE;
  for (uint32_t i = 0; i < message->update_count; i++)
    if (lt_membership_learn (m, now_us, &message->updates[i]) && page)
      stop_gossip (m, message->updates[i].id);
  if (page)
    take_page (m, now_us, from, message);
  compare_views (m, now_us, from, message);
}

void
lt_membership_tick_sync (lt_membership_t *m, int64_t now_us)
{
  if (!m->syncing || now_us < m->next_page_us)
    return;
  member_t *peer = lt_membership_get (m, str_from (m->sync_peer));
  if (peer == NULL || peer->state == LT_MEMBER_DEAD)
    m->syncing = false;
  else
    lt_membership_push (m, LT_MEMBERSHIP_HEARTBEAT, member_id (peer),
                        str_from (peer->address));
}

void
lt_membership_on_heartbeat (lt_membership_t *m, int64_t now_us,
                            const lt_member_update_t *from,
                            const lt_membership_message_t *message,
                            lt_membership_message_t *ack)
{
  member_t *member = lt_membership_contact (m, now_us, from);
  if (member != NULL)
    lt_membership_take_message (m, now_us, member, message, false);
  fill_view (m, ack);
  if (message->page == PAGE_ASKED)
    fill_page (m, message->page_after, ack);
  else
    fill_gossip (m, from->id, ack);
}
