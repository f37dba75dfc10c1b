/* State of the membership module, shared by its sources: membership.c holds
   the member list and its queries, membership_gossip.c the exchange of updates
   and of whole lists, membership_probe.c the rounds of heartbeats and failure
   detection.  */
#ifndef LT_POLICY_MEMBERSHIP_STATE_H
#define LT_POLICY_MEMBERSHIP_STATE_H

#include "lt/policy/membership.h"

enum
{
  MEMBER_NAME_CAP = 65,
  MEMBER_ACTION_CAP = 256,
  MEMBER_RELAYED_PROBE_CAP = 32,
  MEMBER_RINGS = 2,
  MEMBER_PARTNERS = 2,
  MEMBER_HINT_CAP = 64,
  MEMBER_TRANSMITS_MAX = 64
};

typedef enum probe_phase
{
  PROBE_NONE,
  PROBE_DIRECT,  /* Heartbeat sent, not acknowledged yet. */
  PROBE_INDIRECT /* Other VMs were asked to probe it too. */
} probe_phase_t;

typedef struct member
{
  char *id;
  char *address;
  char *region;
  char *failure_domain;
  uint64_t ring_position[MEMBER_RINGS]; /* Hash on each ring. */
  uint64_t incarnation;
  lt_member_state_t state;
  bool self;
  bool one_way;
  int64_t state_changed_us;
  int64_t suspicion_deadline_us; /* When a suspect becomes dead. */
  int transmits_left;            /* Heartbeats that still carry its update. */
  struct member *prev;           /* Links of gossip_queues[transmits_left]. */
  struct member *next;
  int indirect_rounds; /* Rounds of indirect probes in this probe. */
  probe_phase_t probe_phase;
  int64_t probe_started_us; /* When the first unanswered heartbeat was sent. */
} member_t;

/* A probe that this VM makes at the request of another one.  */
typedef struct relayed_probe
{
  char requester[MEMBER_NAME_CAP];
  char target[MEMBER_NAME_CAP];
  uint64_t correlation;
  int64_t deadline_us; /* 0: free. */
} relayed_probe_t;

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
  size_t live_count;
  uint64_t generation;
  uint64_t digest;
  /* Members with updates to send, by transmits_left.  Updates that were sent
     the fewest times go first, so that new ones overtake a backlog.  */
  member_t *gossip_queues[MEMBER_TRANSMITS_MAX + 1];
  int64_t last_ack_us;
  int64_t last_tick_us;
  int64_t next_slot_us;
  uint32_t slot;
  uint64_t correlation;
  char partners[MEMBER_PARTNERS][MEMBER_NAME_CAP];
  int64_t partner_expires_us[MEMBER_PARTNERS];
  relayed_probe_t relayed_probes[MEMBER_RELAYED_PROBE_CAP];
  hint_t hints[MEMBER_HINT_CAP];
  size_t next_hint;
  int64_t mismatch_since_us; /* 0: the last digest received was equal. */
  int64_t last_sync_us;
  int64_t next_page_us;
  bool syncing;
  bool fast_sync; /* Request the next page at once, as when joining. */
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
member_t *lt_membership_get_member (const lt_membership_t *membership,
                                    str_t id);
member_t *lt_membership_add_member (lt_membership_t *membership, str_t id);
void lt_membership_remove (lt_membership_t *membership, member_t *member);
/* Sets state and incarnation, and queues the update for gossip.  */
void lt_membership_set_state (lt_membership_t *membership, int64_t now_us,
                              member_t *member, uint64_t incarnation,
                              lt_member_state_t state);
/* Copies the texts of UPDATE other than the id that are not empty.  */
void lt_membership_set_location (member_t *member,
                                 const lt_member_update_t *update);
/* Applies UPDATE if its incarnation is higher, or equal with a state of higher
   precedence.  Returns whether it changed the list.  */
bool lt_membership_apply_update (lt_membership_t *membership, int64_t now_us,
                                 const lt_member_update_t *update);
/* Sets how often the update about MEMBER is still sent; 0: not at all.  */
void lt_membership_set_transmits_left (lt_membership_t *membership,
                                       member_t *member, int left);
/* Queues an action.  The result may be changed until the next call.  */
member_action_t *lt_membership_push_action (lt_membership_t *membership,
                                            lt_membership_action_type_t type,
                                            str_t id, str_t address);
/* Queues a heartbeat and starts a probe unless one is running or MEMBER is
   dead.  */
void lt_membership_send_heartbeat (lt_membership_t *membership, int64_t now_us,
                                   member_t *member);
/* Adds or updates the entry of FROM, which sent a message to this VM.  Returns
   the entry, or NULL when FROM has this VM's own id.  */
member_t *lt_membership_add_sender (lt_membership_t *membership,
                                    int64_t now_us,
                                    const lt_member_update_t *from);
/* Applies digest, count, page and updates of a message of FROM.  */
void lt_membership_apply_message (lt_membership_t *membership, int64_t now_us,
                                  member_t *from,
                                  const lt_membership_message_t *message,
                                  bool ack);
/* Queues the heartbeat that requests the next page when it is due.  */
void lt_membership_tick_sync (lt_membership_t *membership, int64_t now_us);

#endif
