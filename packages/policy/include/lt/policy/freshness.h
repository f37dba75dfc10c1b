/** @file
    Order and freshness of the configuration on one VM (invariants I4 and I11
    of docs/invariants.md).  Only higher versions are applied.  A confirmation
    is a pair of a version and a time: every change accepted before that time
    has that version or a lower one.  It comes from a read of the head record,
    the store's record of the latest version, and then has the time at which
    the read was sent; or from a peer's answer, and then has the time at which
    the query was sent, minus the age that the peer reports, plus the time for
    which the peer delayed the answer.  Such a time may be too early, never too
    late.

    Bound: an API key withdrawn by a change accepted at time A is refused on
    every VM from A + max_age_us on: a confirmation from before A is older than
    max_age_us by then, and one from after A requires the changed version.

    Watchers are the VMs of a region that poll the store.  When two of them
    attest that the store is down, VMs serve without a confirmation.  A change
    that the store accepted just before the outage must still stop them, so the
    writer announces its version as possible to the watchers of the store's
    region before it writes; see docs/decisions/configuration-in-force.md.  */
#ifndef LT_POLICY_FRESHNESS_H
#define LT_POLICY_FRESHNESS_H

#include "lt/base/rng.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_FRESHNESS_ATTESTATIONS_MAX 6
/** Maximum number of watchers that one announcement is sent to.  */
#define LT_FRESHNESS_ANNOUNCED_MAX 32

  typedef struct lt_freshness_options
  {
    str_t vm_id;
    str_t region;
    str_t failure_domain;
    /** Region of the store; when empty the store is never attested down.  */
    str_t store_region;
    /** Oldest usable confirmation, default 5 s.  */
    int64_t max_age_us;
    /** Between reads of a watcher, default 1 s.  */
    int64_t read_interval_us;
    /** A VM with an older confirmation reads the store itself, default 3 s. */
    int64_t fallback_read_age_us;
    /** How long a VM may serve after it has received the number of a higher
        version, default 1 s: the time to fetch that version, so that a change
        causes no refusals.  */
    int64_t behind_grace_us;
    /** A pending query is answered again when the confirmation is newer by
        this, default 500 ms.  */
    int64_t min_answer_gain_us;
    /** A write cannot take effect later than this after its announcement,
        default 30 s.  */
    int64_t possible_lifetime_us;
  } lt_freshness_options_t;

#define LT_FRESHNESS_OPTIONS_DEFAULT                                          \
  ((lt_freshness_options_t){ .vm_id = { NULL, 0 },                            \
                             .region = { NULL, 0 },                           \
                             .failure_domain = { NULL, 0 },                   \
                             .store_region = { NULL, 0 },                     \
                             .max_age_us = 5000000,                           \
                             .read_interval_us = 1000000,                     \
                             .fallback_read_age_us = 3000000,                 \
                             .behind_grace_us = 1000000,                      \
                             .min_answer_gain_us = 500000,                    \
                             .possible_lifetime_us = 30000000 })

  /** Result of the latest read of the store by a VM of its region.  */
  typedef struct lt_attestation
  {
    str_t vm_id;
    str_t failure_domain;
    bool failing;          /**< The read failed or timed out. */
    int64_t known_version; /**< Highest accepted or possible version that the
                              VM has received. */
    int64_t age_us;        /**< Since the read was sent. */
  } lt_attestation_t;

  /** Versions, confirmation and attestations of one VM, sent to another as a
      query, as an answer or without a query; see lt_wire_report_t.  */
  typedef struct lt_freshness_report
  {
    uint64_t query_id;
    int64_t answer_delay_us;
    int64_t applied_version;
    int64_t known_version;
    int64_t possible_version; /**< 0: none. */
    uint64_t possible_write_id;
    int64_t possible_age_us;
    int64_t confirm_version;
    int64_t confirm_age_us; /**< -1: never. */
    lt_attestation_t attestations[LT_FRESHNESS_ATTESTATIONS_MAX];
    uint32_t attestation_count;
  } lt_freshness_report_t;

  typedef enum lt_freshness_action_type
  {
    LT_FRESHNESS_READ_STORE, /**< Read the head record, then call
                                lt_freshness_on_read. */
    LT_FRESHNESS_ANSWER, /**< Send what lt_freshness_fill_answer fills to PEER.
                          */
    LT_FRESHNESS_FETCH, /**< Fetch VERSION from PEER; from any source when PEER
                           is empty. */
    LT_FRESHNESS_ANNOUNCE, /**< Send a query to PEER now. */
    LT_FRESHNESS_GOSSIP    /**< Send a report to a few random VMs. */
  } lt_freshness_action_type_t;

  typedef struct lt_freshness_action
  {
    lt_freshness_action_type_t type;
    str_t peer; /**< Valid until the next call. */
    int64_t version;
    uint64_t read_id; /**< For lt_freshness_on_read. */
  } lt_freshness_action_t;

  typedef struct lt_freshness lt_freshness_t;

  /** Copies the texts of OPTIONS.  RNG must outlive the result.  */
  lt_freshness_t *lt_freshness_create (const lt_freshness_options_t *options,
                                       lt_rng_t *rng);
  void lt_freshness_destroy (lt_freshness_t *freshness);

  /** Sets whether this VM is one of its region's watchers, and whether it may
      attest that the store is down.  It may only while most VMs of the store's
      region are live in its member list: a minority cannot tell a partition
      from an outage.  */
  void lt_freshness_set_role (lt_freshness_t *freshness, bool watcher,
                              bool may_attest);
  /** Queues reads, fetches and repeated announcements that are due.  */
  void lt_freshness_tick (lt_freshness_t *freshness, int64_t now_us);
  /** Takes the next action; false when there is none.  */
  bool lt_freshness_next_action (lt_freshness_t *freshness,
                                 lt_freshness_action_t *action);

  /** Handles the end of the read READ_ID.  FAILED covers errors and time-outs;
      HEAD is the version in the head record, 0 when there is none yet.  */
  void lt_freshness_on_read (lt_freshness_t *freshness, int64_t now_us,
                             uint64_t read_id, bool failed, int64_t head);
/** Number of watchers in each failure domain of a region.  */
#define LT_FRESHNESS_WATCHERS 2

  /** Records that this VM has applied VERSION.  Lower versions are ignored. */
  void lt_freshness_on_applied (lt_freshness_t *freshness, int64_t now_us,
                                int64_t version);
  /** Records that the store has accepted VERSION, as this VM's own write or a
      record that it read shows.  PEER has it; empty: no known source.  */
  void lt_freshness_on_known (lt_freshness_t *freshness, int64_t now_us,
                              int64_t version, str_t peer);
  /** A watcher of the store's region.  */
  typedef struct lt_freshness_watcher
  {
    str_t vm_id;
    str_t failure_domain;
  } lt_freshness_watcher_t;

  /** Announces the write of VERSION as possible to WATCHERS, those of the
      store's region, by LT_FRESHNESS_ANNOUNCE actions.  The caller may write
      once lt_freshness_write_announced returns true.  */
  void lt_freshness_on_write_begin (lt_freshness_t *freshness, int64_t now_us,
                                    int64_t version,
                                    const lt_freshness_watcher_t *watchers,
                                    size_t count);
  /** Returns whether all watchers outside some one failure domain have
      acknowledged the announced write: then no two watchers of different
      failure domains can attest an outage without reporting it.  */
  bool lt_freshness_write_announced (const lt_freshness_t *freshness);
  /** Ends the announcement of a write that was not sent or certainly took no
      effect; VERSION is no longer possible.  */
  void lt_freshness_on_write_refused (lt_freshness_t *freshness,
                                      int64_t version);
  /** Stops repeating the announcement: the write has been sent or has ended.
      VERSION stays possible until a confirmation settles it.  */
  void lt_freshness_on_write_end (lt_freshness_t *freshness);

  /** Fills REPORT as a new query; the caller sends it to a peer at once.  */
  void lt_freshness_fill_query (lt_freshness_t *freshness, int64_t now_us,
                                lt_freshness_report_t *report);
  /** Handles a query of PEER and fills the answer.  The query stays pending
      for 1.2 s: when the answer is outdated, LT_FRESHNESS_ANSWER follows.  */
  void lt_freshness_on_query (lt_freshness_t *freshness, int64_t now_us,
                              str_t peer, const lt_freshness_report_t *query,
                              lt_freshness_report_t *answer);
  /** Fills the further answer that LT_FRESHNESS_ANSWER asks for.  Without a
      pending query of PEER it is a report from which PEER takes no
      confirmation.  */
  void lt_freshness_fill_answer (lt_freshness_t *freshness, int64_t now_us,
                                 str_t peer, lt_freshness_report_t *answer);
  /** Handles an answer, or a report that answers no query.  */
  void lt_freshness_on_answer (lt_freshness_t *freshness, int64_t now_us,
                               str_t peer,
                               const lt_freshness_report_t *answer);

  /** Returns whether keyed requests (those that need an API key) may be
      served.  Either a confirmation no older than max_age_us covers the
      applied version; or two VMs in different failure domains of the store's
      region attest that the store is down, no VM attests a later success, and
      no higher version is known or possible.  Always false when a higher
      version than the applied one has been known for longer than
      behind_grace_us.  */
  bool lt_freshness_allows_keyed (const lt_freshness_t *freshness,
                                  int64_t now_us);
  /** The applied version; 0: none.  */
  int64_t lt_freshness_applied (const lt_freshness_t *freshness);
  /** The highest version known to be accepted.  */
  int64_t lt_freshness_known (const lt_freshness_t *freshness);
  /** The version of an announced write that may take effect; 0: none.  */
  int64_t lt_freshness_possible (const lt_freshness_t *freshness);
  /** Age of the confirmation of the applied version in microseconds; -1: never
      confirmed.  */
  int64_t lt_freshness_confirmation_age_us (const lt_freshness_t *freshness,
                                            int64_t now_us);
  /** Returns whether VMs of two failure domains attest that the store is down.
   */
  bool lt_freshness_store_down (const lt_freshness_t *freshness,
                                int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
