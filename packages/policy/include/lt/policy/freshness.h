/** @file
    Order and freshness of the configuration on one VM (invariants I4 and
    I11).  Only higher versions are applied.  A confirmation (version, time)
    says: every change accepted before that time is at or below that version.
    It comes from a read of the head record, dated at the moment the read was
    sent, or from a peer's answer, dated at the moment the peer was asked minus
    the peer's age, so that dates only ever err towards the past.

    Bound: a key withdrawn by a change accepted at time A is refused on every
    VM from A + max_age_us on: a confirmation dated before A is older than
    max_age_us by then, and one dated after A requires the changed version.
    While the store is attested down, changes that it accepted just before are
    covered by known and possible versions: whoever writes a version announces
    it as possible first, to the watchers of the store's region; see
    docs/decisions/configuration-in-force.md.  */
#ifndef LT_POLICY_FRESHNESS_H
#define LT_POLICY_FRESHNESS_H

#include "lt/base/rng.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_FRESHNESS_ATTESTATIONS_MAX 6
/** Bound of the watchers of the store's region that an announcement waits
    for.  */
#define LT_FRESHNESS_ANNOUNCED_MAX 32

  typedef struct lt_freshness_options
  {
    str_t vm_id;
    str_t region;
    str_t failure_domain;
    str_t store_region;       /**< Region of the table; "" means never attested
                                 down. */
    int64_t max_age_us;       /**< Oldest usable confirmation, 5 s. */
    int64_t read_interval_us; /**< Between reads of a watcher, 1 s. */
    int64_t rescue_age_us;    /**< A VM with an older confirmation reads the
                                 store itself, 3 s. */
    int64_t behind_grace_us;  /**< How long a VM may serve after it has learnt
                                 of  a higher version, 1 s: the time to fetch
                                 it,  so that a change causes no refusals. */
    int64_t push_gain_us;     /**< An asker is answered again when the
                                 confirmation is newer by this, 500 ms. */
    int64_t possible_life_us; /**< After this a write cannot still be in
                                 flight, 30 s. */
  } lt_freshness_options_t;

#define LT_FRESHNESS_OPTIONS_DEFAULT                                          \
  ((lt_freshness_options_t){ .vm_id = { NULL, 0 },                            \
                             .region = { NULL, 0 },                           \
                             .failure_domain = { NULL, 0 },                   \
                             .store_region = { NULL, 0 },                     \
                             .max_age_us = 5000000,                           \
                             .read_interval_us = 1000000,                     \
                             .rescue_age_us = 3000000,                        \
                             .behind_grace_us = 1000000,                      \
                             .push_gain_us = 500000,                          \
                             .possible_life_us = 30000000 })

  /** What a VM of the store's region saw of the store.  */
  typedef struct lt_attestation
  {
    str_t vm_id;
    str_t failure_domain;
    bool failing;
    int64_t known_version;
    int64_t age_us; /**< Since the read was sent. */
  } lt_attestation_t;

  /** What one VM tells another; see lt_wire_report_t.  */
  typedef struct lt_freshness_report
  {
    uint64_t ask_id;
    int64_t held_us;
    int64_t applied_version;
    int64_t known_version;
    int64_t possible_version; /**< 0: none. */
    uint64_t possible_origin;
    int64_t possible_age_us;
    int64_t confirm_version;
    int64_t confirm_age_us; /**< -1: never. */
    lt_attestation_t attestations[LT_FRESHNESS_ATTESTATIONS_MAX];
    uint32_t attestation_count;
  } lt_freshness_report_t;

  typedef enum lt_freshness_action_type
  {
    LT_FRESHNESS_READ_STORE, /**< Read the head; then lt_freshness_on_read. */
    LT_FRESHNESS_ANSWER,   /**< Send the report of lt_freshness_answer to PEER
                            */
    LT_FRESHNESS_FETCH,    /**< Fetch VERSION, from PEER ("": anywhere). */
    LT_FRESHNESS_ANNOUNCE, /**< Send a question to PEER now. */
    LT_FRESHNESS_SPREAD    /**< Send a report to a few random VMs. */
  } lt_freshness_action_type_t;

  typedef struct lt_freshness_action
  {
    lt_freshness_action_type_t type;
    str_t peer; /**< Valid until the next call. */
    int64_t version;
    uint64_t read_id; /**< For lt_freshness_on_read. */
  } lt_freshness_action_t;

  typedef struct lt_freshness lt_freshness_t;

  /** Copies the texts.  RNG stays the caller's.  */
  lt_freshness_t *lt_freshness_create (const lt_freshness_options_t *options,
                                       lt_rng_t *rng);
  void lt_freshness_destroy (lt_freshness_t *freshness);

  /** Tells whether this VM is one of its region's watchers, and whether it may
      attest that the store is down: only while it sees most of the store's
      region, since a minority cannot tell a partition from an outage.  */
  void lt_freshness_set_role (lt_freshness_t *freshness, bool watcher,
                              bool may_attest);
  void lt_freshness_tick (lt_freshness_t *freshness, int64_t now_us);
  /** Takes the next action; false when there is none.  */
  bool lt_freshness_next (lt_freshness_t *freshness,
                          lt_freshness_action_t *action);

  /** A read ended.  FAILED covers errors and time-outs; HEAD is 0 when there
      is no head record yet.  */
  void lt_freshness_on_read (lt_freshness_t *freshness, int64_t now_us,
                             uint64_t read_id, bool failed, int64_t head);
  /** As many watchers of each failure domain read the head.  */
#define LT_FRESHNESS_WATCHERS 2

  /** The node has applied VERSION.  Lower versions are ignored.  */
  void lt_freshness_on_applied (lt_freshness_t *freshness, int64_t now_us,
                                int64_t version);
  /** VERSION is accepted (this VM's own write, or read elsewhere).  */
  void lt_freshness_on_known (lt_freshness_t *freshness, int64_t now_us,
                              int64_t version, str_t peer);
  /** A watcher of the store's region.  */
  typedef struct lt_freshness_watcher
  {
    str_t vm_id;
    str_t failure_domain;
  } lt_freshness_watcher_t;

  /** This VM wants to write VERSION and announces it as possible to WATCHERS,
      the watchers of the store's region, by LT_FRESHNESS_ANNOUNCE actions.  It
      may write once lt_freshness_write_announced.  */
  void lt_freshness_on_write_begin (lt_freshness_t *freshness, int64_t now_us,
                                    int64_t version,
                                    const lt_freshness_watcher_t *watchers,
                                    size_t count);
  /** Returns whether every watcher knows of the announced write, those of one
      failure domain excepted: then no two watchers of different failure
      domains can attest an outage without mentioning it.  */
  bool lt_freshness_write_announced (const lt_freshness_t *freshness);
  /** The write was not sent, or certainly took no effect.  */
  void lt_freshness_on_write_refused (lt_freshness_t *freshness,
                                      int64_t version);
  /** No more announcements; the write's outcome is known, or never will be. */
  void lt_freshness_on_write_end (lt_freshness_t *freshness);

  /** Makes the report of a question; the caller sends it to a peer now.  */
  void lt_freshness_ask (lt_freshness_t *freshness, int64_t now_us,
                         lt_freshness_report_t *report);
  /** A peer's question arrived; makes the answer.  The question is kept for a
      while: when a newer confirmation arrives, LT_FRESHNESS_ANSWER follows. */
  void lt_freshness_on_ask (lt_freshness_t *freshness, int64_t now_us,
                            str_t peer, const lt_freshness_report_t *question,
                            lt_freshness_report_t *answer);
  /** Makes the further answer that LT_FRESHNESS_ANSWER asks for (or, for a
      peer without a question, a report that confirms nothing).  */
  void lt_freshness_answer (lt_freshness_t *freshness, int64_t now_us,
                            str_t peer, lt_freshness_report_t *answer);
  /** An answer, or a report without a question, arrived.  */
  void lt_freshness_on_answer (lt_freshness_t *freshness, int64_t now_us,
                               str_t peer,
                               const lt_freshness_report_t *answer);

  /** Returns whether keyed requests may be served: the applied version is
      confirmed by a confirmation no older than max_age_us; or two VMs in
      different failure domains of the store's region attest that the store is
      down, nobody attests a success since, and no higher version is known or
      possible.  False always when a higher version than the applied one has
      been known for longer than behind_grace_us.  */
  bool lt_freshness_allows_keyed (const lt_freshness_t *freshness,
                                  int64_t now_us);
  int64_t lt_freshness_applied (const lt_freshness_t *freshness);
  int64_t lt_freshness_known (const lt_freshness_t *freshness);
  int64_t lt_freshness_possible (const lt_freshness_t *freshness);
  /** Age of the confirmation in microseconds, -1: never confirmed.  */
  int64_t lt_freshness_age_us (const lt_freshness_t *freshness,
                               int64_t now_us);
  /** Returns whether the store is attested down.  */
  bool lt_freshness_store_down (const lt_freshness_t *freshness,
                                int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
