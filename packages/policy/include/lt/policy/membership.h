/** @file
    Membership and failure detection after SWIM (Das, Gupta and Motivala
    2002): each VM sends heartbeats to a few VMs per round, has other VMs probe
    a VM that does not acknowledge, suspects it before declaring it dead, and
    attaches membership updates to heartbeats (gossip).  A VM refutes a false
    update about itself by raising its incarnation.

    The module does no I/O: the caller delivers messages and ticks, and carries
    out the actions that lt_membership_next_action returns.  */
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
    LT_MEMBER_SUSPECT, /**< Failed its probes; still counts as live. */
    LT_MEMBER_DEAD,
    LT_MEMBER_LEAVING /**< Shutting down: finishes requests, owns no keys. */
  } lt_member_state_t;

  const char *lt_member_state_name (lt_member_state_t state);

  /** State of one VM, as sent with heartbeats.  */
  typedef struct lt_member_update
  {
    str_t id;
    uint64_t incarnation;
    lt_member_state_t state;
    str_t address; /**< Of its peer listener, "ip:port"; this and the next two
                      may be empty when suspect or dead. */
    str_t region;
    str_t failure_domain;
  } lt_member_update_t;

  /** One entry of the member list.  Its texts are valid until the next call
      that takes a time.  */
  typedef struct lt_member_view
  {
    lt_member_update_t info;
    bool self;
    bool one_way; /**< This VM gets no acknowledgement from it, but an indirect
                     probe by another VM reached it. */
  } lt_member_view_t;

  typedef struct lt_membership_options
  {
    str_t id;
    uint64_t incarnation; /**< Must exceed that of any earlier process with
                             this id. */
    str_t address;
    str_t region;
    str_t failure_domain;
    /** Between rounds of heartbeats, default 1 s.  */
    int64_t round_interval_us;
    /** Default 4, at least 1.  */
    int32_t heartbeats_per_round;
    /** Without an acknowledgement, indirect probes start after this time,
        default 500 ms.  */
    int64_t ack_timeout_us;
    /** The VM becomes suspect this long after ack_timeout_us, default 1 s.  */
    int64_t probe_timeout_us;
    /** VMs asked at a time to probe one VM, default 3.  */
    int32_t indirect_probes;
    /** From suspect to dead unless it refutes, default 4 s.  */
    int64_t suspicion_timeout_us;
    /** Dead VMs stay in the list and get occasional heartbeats for this time,
        default 1 h, so that the sides of a healed partition find each other.
     */
    int64_t dead_retention_us;
    /** Approximate bound of the encoded updates in one heartbeat, default 160
        bytes.  */
    int32_t heartbeat_update_bytes;
    /** The same for one page of a full list exchange, default 2,000 bytes.  */
    int32_t page_update_bytes;
    /** A longer gap between ticks counts as a pause of this process, default
        1 s.  */
    int64_t pause_threshold_us;
  } lt_membership_options_t;

#define LT_MEMBERSHIP_OPTIONS_DEFAULT                                         \
  ((lt_membership_options_t){ .id = { NULL, 0 },                              \
                              .incarnation = 1,                               \
                              .address = { NULL, 0 },                         \
                              .region = { NULL, 0 },                          \
                              .failure_domain = { NULL, 0 },                  \
                              .round_interval_us = 1000000,                   \
                              .heartbeats_per_round = 4,                      \
                              .ack_timeout_us = 500000,                       \
                              .probe_timeout_us = 1000000,                    \
                              .indirect_probes = 3,                           \
                              .suspicion_timeout_us = 4000000,                \
                              .dead_retention_us = 3600000000,                \
                              .heartbeat_update_bytes = 160,                  \
                              .page_update_bytes = 2000,                      \
                              .pause_threshold_us = 1000000 })

  typedef enum lt_membership_action_type
  {
    LT_MEMBERSHIP_CONNECT,       /**< Connect to ADDRESS; ID may be empty. */
    LT_MEMBERSHIP_HEARTBEAT,     /**< Send a heartbeat to ID. */
    LT_MEMBERSHIP_PROBE_REQUEST, /**< Ask ID to probe TARGET. */
    LT_MEMBERSHIP_PROBE_RESULT,  /**< Tell ID whether TARGET acknowledged. */
    LT_MEMBERSHIP_CHANGED,       /**< ID is now in STATE. */
    LT_MEMBERSHIP_PAUSED         /**< This process was paused: leases and the
                                    configuration must be confirmed again. */
  } lt_membership_action_type_t;

  /** Its texts are valid until the next call that takes a time.  */
  typedef struct lt_membership_action
  {
    lt_membership_action_type_t type;
    uint64_t correlation;
    str_t id;
    str_t address; /**< Of ID; may be empty when ID has only connected to this
                      VM. */
    str_t target;
    str_t target_address;
    bool reached;
    lt_member_state_t state;
  } lt_membership_action_t;

  /** The part of heartbeats and acknowledgements that belongs to this module.
      DIGEST covers the member list, COUNT is the number of live VMs; a
      difference in the digest leads to a full list exchange in pages.  */
  typedef struct lt_membership_message
  {
    uint64_t digest;
    uint32_t count;
    str_t page_after;
    uint32_t page; /**< Page and page_after: as in lt_wire_heartbeat_t. */
    lt_member_update_t *updates;
    uint32_t update_count;
    uint32_t update_cap; /**< Capacity of UPDATES when it is filled. */
  } lt_membership_message_t;

  typedef struct lt_membership lt_membership_t;

  /** OPTIONS is copied; RNG is borrowed and must outlive the result.  */
  lt_membership_t *
  lt_membership_create (const lt_membership_options_t *options, lt_rng_t *rng);
  void lt_membership_destroy (lt_membership_t *membership);

  /** Checks time-outs and queues the heartbeats that are due.  To be called
      several times per round.  */
  void lt_membership_tick (lt_membership_t *membership, int64_t now_us);
  /** Takes the next action; returns false when there is none.  */
  bool lt_membership_next_action (lt_membership_t *membership,
                                  lt_membership_action_t *action);
  /** Fills MESSAGE for a heartbeat to TO, with about heartbeat_update_bytes of
      updates.  Its texts are valid until the next call that takes a time.  */
  void lt_membership_fill_heartbeat (lt_membership_t *membership,
                                     int64_t now_us, str_t to,
                                     lt_membership_message_t *message);
  /** Handles a heartbeat of FROM and fills the acknowledgement ACK.  */
  void lt_membership_on_heartbeat (lt_membership_t *membership, int64_t now_us,
                                   const lt_member_update_t *from,
                                   const lt_membership_message_t *message,
                                   lt_membership_message_t *ack);
  /** Handles an acknowledgement of FROM.  */
  void lt_membership_on_ack (lt_membership_t *membership, int64_t now_us,
                             const lt_member_update_t *from,
                             uint64_t correlation,
                             const lt_membership_message_t *message);
  /** Handles FROM's request to probe TARGET.  LT_MEMBERSHIP_PROBE_RESULT with
      CORRELATION follows, unless TARGET is unknown or too many probes for
      other VMs are running.  */
  void lt_membership_on_probe_request (lt_membership_t *membership,
                                       int64_t now_us, str_t from,
                                       uint64_t correlation, str_t target);
  /** Handles the result of an indirect probe that this VM requested.  */
  void lt_membership_on_probe_result (lt_membership_t *membership,
                                      int64_t now_us, str_t target,
                                      bool reached);
  /** Adds an address from the seeds or the platform's list of VMs to connect
      to.  A hint alone never makes a VM live.  ID may be empty when only the
      address is known.  */
  void lt_membership_add_hint (lt_membership_t *membership, int64_t now_us,
                               str_t id, str_t address);
  /** Handles an open connection to PEER.  SEND_HEARTBEAT queues a heartbeat to
      it at once.  */
  void lt_membership_on_connected (lt_membership_t *membership, int64_t now_us,
                                   const lt_member_update_t *peer,
                                   bool send_heartbeat);
  /** Marks this VM as leaving and gossips it; the VM does not refute updates
      that say so.  */
  void lt_membership_leave (lt_membership_t *membership, int64_t now_us);

  /** Returns the length of the list, with dead VMs and this VM.  */
  size_t lt_membership_count (const lt_membership_t *membership);
  /** Returns the entry at INDEX, below lt_membership_count; ids ascend.  */
  lt_member_view_t lt_membership_at (const lt_membership_t *membership,
                                     size_t index);
  /** Returns false when ID is unknown.  */
  bool lt_membership_find (const lt_membership_t *membership, str_t id,
                           lt_member_view_t *view);
  /** Returns the number of VMs that are alive or suspect, with this one.  */
  size_t lt_membership_live_count (const lt_membership_t *membership);
  uint64_t lt_membership_incarnation (const lt_membership_t *membership);
  /** Returns the id of the live VM with the highest rendezvous weight for KEY;
      this VM when it is alone.  Leaving VMs own nothing: when this VM is
      leaving and alone the result is empty.  */
  str_t lt_membership_owner (const lt_membership_t *membership, str_t key);
  /** Writes the ids of up to COUNT live VMs of REGION (all regions when empty)
      with the highest rendezvous weights for KEY, highest first.  Returns how
      many were written, at most 64.  */
  size_t lt_membership_owners (const lt_membership_t *membership, str_t key,
                               str_t region, str_t *ids, size_t count);
  /** Chooses the watchers of REGION, the VMs that poll the configuration
      store: up to PER_DOMAIN live VMs of each failure domain, by rendezvous
      weight.  Writes up to CAP ids with their failure domains; returns how
      many.  */
  size_t lt_membership_watchers (const lt_membership_t *membership,
                                 str_t region, size_t per_domain, str_t *ids,
                                 str_t *domains, size_t cap);
  /** Returns whether more than half of the listed VMs of REGION, dead ones
      included, are not dead.  */
  bool lt_membership_has_region_majority (const lt_membership_t *membership,
                                          str_t region);
  /** Returns a number that grows with each change of the set of live VMs, for
      callers that cache results of lt_membership_owner.  */
  uint64_t lt_membership_generation (const lt_membership_t *membership);
  /** Writes the ids of up to COUNT different random live VMs, without this
      one.  Returns how many were written.  */
  size_t lt_membership_random_live (lt_membership_t *membership, str_t *ids,
                                    size_t count);

#ifdef __cplusplus
}
#endif

#endif
