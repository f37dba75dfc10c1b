/** @file
    Which VMs are alive, after SWIM (Das, Gupta and Motivala 2002): heartbeats
    to a few VMs a second, indirect probes, suspicion, refutation by
    incarnation, gossip of changes on the heartbeats.  */
#ifndef LT_POLICY_MEMBERSHIP_H
#define LT_POLICY_MEMBERSHIP_H

#include "lt/base/rng.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_member_state
  {
    LT_MEMBER_ALIVE,
    LT_MEMBER_SUSPECT, /**< Does not answer; still counts as live. */
    LT_MEMBER_DEAD,
    LT_MEMBER_LEAVING /**< Serves what it has; owns nothing new. */
  } lt_member_state_t;

  const char *lt_member_state_name (lt_member_state_t state);

  /** Knowledge about one VM that travels with heartbeats.  */
  typedef struct lt_member_update
  {
    str_t id;
    uint64_t incarnation;
    lt_member_state_t state;
    str_t address; /**< May be empty for suspect and dead. */
    str_t region;
    str_t failure_domain;
  } lt_member_update_t;

  /** A member as listed; views are valid until the next call that takes a
      time.  */
  typedef struct lt_member_view
  {
    lt_member_update_t last;
    bool self;
    bool one_way; /**< Does not answer here although others reach it. */
  } lt_member_view_t;

  typedef struct lt_membership_options
  {
    str_t id;
    uint64_t incarnation; /**< Higher than that of earlier processes of this
                             id. */
    str_t address;
    str_t region;
    str_t failure_domain;
    int64_t interval_us;      /**< Between rounds of heartbeats, 1 s. */
    int32_t targets;          /**< Heartbeats a round, 4. */
    int64_t ack_timeout_us;   /**< Then indirect probes start, 500 ms. */
    int64_t probe_timeout_us; /**< Then the VM is suspect, 1 s. */
    int32_t helpers;          /**< Indirect probes of one VM, 3. */
    int64_t suspect_us;       /**< Then the VM is dead, 4 s. */
    int64_t dead_keep_us;     /**< Dead VMs are remembered this long, and tried
                                 now and then, so that healed partitions join
                                 again, 1 h. */
    int32_t gossip_bytes;     /**< Updates in one heartbeat, 160 bytes. */
    int32_t page_bytes; /**< Updates in one page of a full exchange, 2,000
                           bytes. */
    int64_t pause_us;   /**< A larger gap between ticks is a pause, 1 s. */
  } lt_membership_options_t;

#define LT_MEMBERSHIP_OPTIONS_DEFAULT                                         \
  ((lt_membership_options_t){ .id = { NULL, 0 },                              \
                              .incarnation = 1,                               \
                              .address = { NULL, 0 },                         \
                              .region = { NULL, 0 },                          \
                              .failure_domain = { NULL, 0 },                  \
                              .interval_us = 1000000,                         \
                              .targets = 4,                                   \
                              .ack_timeout_us = 500000,                       \
                              .probe_timeout_us = 1000000,                    \
                              .helpers = 3,                                   \
                              .suspect_us = 4000000,                          \
                              .dead_keep_us = 3600000000,                     \
                              .gossip_bytes = 160,                            \
                              .page_bytes = 2000,                             \
                              .pause_us = 1000000 })

  typedef enum lt_membership_action_type
  {
    LT_MEMBERSHIP_CONNECT,       /**< Connect to ADDRESS; ID may be empty. */
    LT_MEMBERSHIP_HEARTBEAT,     /**< Send a heartbeat to ID. */
    LT_MEMBERSHIP_PROBE_REQUEST, /**< Ask ID to probe TARGET. */
    LT_MEMBERSHIP_PROBE_RESULT,  /**< Tell ID whether TARGET was reached. */
    LT_MEMBERSHIP_CHANGED,       /**< ID is now in STATE. */
    LT_MEMBERSHIP_PAUSED         /**< This VM was paused: leases and freshness
                                    must be confirmed again. */
  } lt_membership_action_type_t;

  /** Views are valid until the next call that takes a time.  */
  typedef struct lt_membership_action
  {
    lt_membership_action_type_t type;
    uint64_t correlation;
    str_t id;
    str_t address; /**< Of ID; may be empty when only connected. */
    str_t target;
    str_t target_address;
    bool reached;
    lt_member_state_t state;
  } lt_membership_action_t;

  /** What heartbeats and their acknowledgements carry for this module.  */
  typedef struct lt_membership_message
  {
    uint64_t digest;
    uint32_t count;
    str_t page_after;
    uint32_t page; /**< As in lt_wire_heartbeat_t. */
    lt_member_update_t *updates;
    uint32_t update_count;
    uint32_t update_cap; /**< Room in UPDATES, for the filling functions. */
  } lt_membership_message_t;

  typedef struct lt_membership lt_membership_t;

  lt_membership_t *
  lt_membership_create (const lt_membership_options_t *options, lt_rng_t *rng);
  void lt_membership_destroy (lt_membership_t *membership);

  void lt_membership_tick (lt_membership_t *membership, int64_t now_us);
  bool lt_membership_next (lt_membership_t *membership,
                           lt_membership_action_t *action);
  /** Fills what a heartbeat to TO carries, about gossip_bytes of updates.
      Texts are valid until the next call that takes a time.  */
  void lt_membership_fill_heartbeat (lt_membership_t *membership,
                                     int64_t now_us, str_t to,
                                     lt_membership_message_t *message);
  /** A heartbeat of FROM arrived; fills the acknowledgement.  */
  void lt_membership_on_heartbeat (lt_membership_t *membership, int64_t now_us,
                                   const lt_member_update_t *from,
                                   const lt_membership_message_t *message,
                                   lt_membership_message_t *ack);
  /** An acknowledgement of FROM arrived.  */
  void lt_membership_on_ack (lt_membership_t *membership, int64_t now_us,
                             const lt_member_update_t *from,
                             uint64_t correlation,
                             const lt_membership_message_t *message);
  /** FROM asks for a probe of TARGET.  */
  void lt_membership_on_probe_request (lt_membership_t *membership,
                                       int64_t now_us, str_t from,
                                       uint64_t correlation, str_t target);
  void lt_membership_on_probe_result (lt_membership_t *membership,
                                      int64_t now_us, str_t target,
                                      bool reached);
  /** The seeds and the platform's list name a VM.  A hint never makes a VM
      live; it is tried.  ID may be empty when only the address is known.  */
  void lt_membership_add_hint (lt_membership_t *membership, int64_t now_us,
                               str_t id, str_t address);
  /** A connection to PEER is open; GREET sends it a heartbeat at once.  */
  void lt_membership_on_connected (lt_membership_t *membership, int64_t now_us,
                                   const lt_member_update_t *peer, bool greet);
  /** This VM leaves: announced, and never refuted.  */
  void lt_membership_leave (lt_membership_t *membership, int64_t now_us);

  /** Number of members known, dead ones included; this VM is one.  */
  size_t lt_membership_count (const lt_membership_t *membership);
  lt_member_view_t lt_membership_at (const lt_membership_t *membership,
                                     size_t index);
  /** Returns false when ID is unknown.  */
  bool lt_membership_find (const lt_membership_t *membership, str_t id,
                           lt_member_view_t *view);
  /** VMs that are alive or suspect, this one included.  */
  size_t lt_membership_live_count (const lt_membership_t *membership);
  uint64_t lt_membership_incarnation (const lt_membership_t *membership);
  /** Returns the id of the live VM with the highest rendezvous weight for KEY;
      the VM itself when it is alone.  Leaving VMs own nothing; when this VM is
      leaving and alone the result is empty.  */
  str_t lt_membership_owner (const lt_membership_t *membership, str_t key);
  /** The COUNT highest live VMs of REGION ("": all) for KEY.  Returns how many
      were written.  */
  size_t lt_membership_owners (const lt_membership_t *membership, str_t key,
                               str_t region, str_t *ids, size_t count);
  /** The PER_DOMAIN highest live VMs of each failure domain of REGION, with
      their failure domains; at most CAP.  Returns how many were written.  */
  size_t lt_membership_watchers (const lt_membership_t *membership,
                                 str_t region, size_t per_domain, str_t *ids,
                                 str_t *domains, size_t cap);
  /** Returns whether more than half of the VMs of REGION that are remembered
      (dead ones included) are live.  */
  bool lt_membership_sees_most (const lt_membership_t *membership,
                                str_t region);
  /** Grows with each change of the set of live VMs, for callers that keep
      results of lt_membership_owner.  */
  uint64_t lt_membership_generation (const lt_membership_t *membership);
  /** Up to COUNT different random live VMs, this one excluded.  */
  size_t lt_membership_random (lt_membership_t *membership, str_t *ids,
                               size_t count);

#ifdef __cplusplus
}
#endif

#endif
