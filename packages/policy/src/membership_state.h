/* State of the membership module, shared by its sources: membership.c has the
   list of members and look-ups, membership_gossip.c updates and pages,
   membership_probe.c rounds of heartbeats and failure detection.  */
#ifndef LT_POLICY_MEMBERSHIP_STATE_H
#define LT_POLICY_MEMBERSHIP_STATE_H

#include "lt/policy/membership.h"

enum
{
  MEMBER_NAME_CAP = 65,
  MEMBER_ACTION_CAP = 256,
  MEMBER_HELPED_CAP = 32,
  MEMBER_RINGS = 2,
  MEMBER_PARTNERS = 2,
  MEMBER_HINT_CAP = 64,
  MEMBER_GOSSIP_MAX = 64
};

typedef enum probe_phase
{
  PROBE_NONE,
  PROBE_DIRECT,
  PROBE_INDIRECT
} probe_phase_t;

typedef struct member
{
  char *id;
  char *address;
  char *region;
  char *failure_domain;
  uint64_t ring[MEMBER_RINGS]; /* Place on each ring. */
  uint64_t incarnation;
  lt_member_state_t state;
  bool self;
  bool one_way;
  int64_t changed_us;
  int64_t dead_at_us; /* Of a suspect. */
  int gossip_left;
  struct member *prev; /* Queue of its gossip_left. */
  struct member *next;
  int probes; /* Rounds of indirect probes done. */
  probe_phase_t phase;
  int64_t probe_us; /* When the first unanswered heartbeat was sent. */
} member_t;

/* A probe made for another VM.  */
typedef struct helped
{
  char requester[MEMBER_NAME_CAP];
  char target[MEMBER_NAME_CAP];
  uint64_t correlation;
  int64_t until_us; /* 0: free. */
} helped_t;

typedef struct member_action
{
  lt_membership_action_t action;
  char id[MEMBER_NAME_CAP];
  char address[MEMBER_NAME_CAP];
  char target[MEMBER_NAME_CAP];
  char target_address[MEMBER_NAME_CAP];
} member_action_t;

typedef struct hint
{
  char id[MEMBER_NAME_CAP];
  char address[MEMBER_NAME_CAP]; /* Empty: free. */
} hint_t;

struct lt_membership
{
  lt_membership_options_t options;
  lt_rng_t *rng;
  member_t **members; /* Sorted by id. */
  size_t count;
  size_t cap;
  member_t *self;
  size_t live;
  uint64_t generation;
  uint64_t digest;
  /* Queues of members with gossip left, by how much is left: what was sent the
     fewest times goes first, so that news overtakes a backlog.  */
  member_t *gossip[MEMBER_GOSSIP_MAX + 1];
  int64_t last_ack_us;
  int64_t last_tick_us;
  int64_t next_slot_us;
  uint32_t slot;
  uint64_t correlation;
  char partners[MEMBER_PARTNERS][MEMBER_NAME_CAP];
  int64_t partner_until_us[MEMBER_PARTNERS];
  helped_t helped[MEMBER_HELPED_CAP];
  hint_t hints[MEMBER_HINT_CAP];
  size_t next_hint;
  int64_t mismatch_since_us; /* 0: the last digest seen was equal. */
  int64_t last_sync_us;
  int64_t next_page_us;
  bool syncing;
  bool joining; /* Pages follow each other at once. */
  char sync_peer[MEMBER_NAME_CAP];
  char sync_after[MEMBER_NAME_CAP];
  member_action_t actions[MEMBER_ACTION_CAP];
  size_t action_first;
  size_t action_count;
};

static inline str_t
member_id (const member_t *member)
{
  return str_from (member->id);
}

static inline bool
member_is_live (const member_t *member)
{
  return member->state == LT_MEMBER_ALIVE
         || member->state == LT_MEMBER_SUSPECT;
}

/* Copies TEXT, cut to what fits, into a name buffer.  */
void lt_membership_copy_name (char out[MEMBER_NAME_CAP], str_t text);
member_t *lt_membership_get (const lt_membership_t *membership, str_t id);
member_t *lt_membership_add (lt_membership_t *membership, str_t id);
void lt_membership_drop (lt_membership_t *membership, member_t *member);
/* Sets state and incarnation, and starts the gossip about it.  */
void lt_membership_set (lt_membership_t *membership, int64_t now_us,
                        member_t *member, uint64_t incarnation,
                        lt_member_state_t state);
void lt_membership_describe (member_t *member,
                             const lt_member_update_t *update);
/* Takes in what UPDATE says, by the order of incarnations and states.  Returns
   whether it was news.  */
bool lt_membership_learn (lt_membership_t *membership, int64_t now_us,
                          const lt_member_update_t *update);
void lt_membership_set_gossip (lt_membership_t *membership, member_t *member,
                               int left);
member_action_t *lt_membership_push (lt_membership_t *membership,
                                     lt_membership_action_type_t type,
                                     str_t id, str_t address);
/* Sends a heartbeat and starts a probe by it.  */
void lt_membership_heartbeat (lt_membership_t *membership, int64_t now_us,
                              member_t *member);
/* FROM was heard directly.  Returns its member.  */
member_t *lt_membership_contact (lt_membership_t *membership, int64_t now_us,
                                 const lt_member_update_t *from);
/* Takes in digest, count, page and updates of a message of FROM.  */
void lt_membership_take_message (lt_membership_t *membership, int64_t now_us,
                                 member_t *from,
                                 const lt_membership_message_t *message,
                                 bool ack);
/* Asks for the next page when it is due.  */
void lt_membership_tick_sync (lt_membership_t *membership, int64_t now_us);

#endif
