/** @file
    The ejection record of one service.  It is the only place where a fleet
    ejection exists: an entry is added by a conditional write on the version,
    after lt_ejection_add has checked the floor (I1).

    A returned upstream stays in the record: its slots stay taken until the
    propagation bound has passed, because VMs may still act on the older
    version, and its repeat count makes the next ejection longer.  */
#ifndef LT_POLICY_HEALTH_RECORD_H
#define LT_POLICY_HEALTH_RECORD_H

#include "lt/policy/health.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Within this time a VM applies a new record or stops serving keyed requests
    (freshness.h), so later no VM acts on the older version.  */
#define LT_EJECTION_PROPAGATION_US 10000000LL
/** First ejection; doubles with each repeat up to the longest.  */
#define LT_EJECTION_FIRST_US 15000000LL
#define LT_EJECTION_LONGEST_US 960000000LL
/** One repeat is forgotten after each such time in good health.  */
#define LT_EJECTION_DECAY_US 600000000LL

  typedef enum lt_ejection_state
  {
    LT_EJECTION_EJECTED,
    LT_EJECTION_RETURNED
  } lt_ejection_state_t;

  typedef struct lt_ejection
  {
    uint32_t upstream;
    lt_ejection_state_t state;
    int64_t since_version; /**< Record version that set the state. */
    uint32_t repeats;      /**< Ejections that are not yet forgotten. */
    int64_t hold_us;       /**< Least time out; probes start after it. */
    int64_t since_wall_us; /**< For operators, never for decisions. */
    lt_health_evidence_t evidence;
  } lt_ejection_t;

  typedef struct lt_ejection_record
  {
    int64_t version; /**< 0: the record does not exist yet. */
    lt_ejection_t *entries;
    uint32_t count;
  } lt_ejection_record_t;

  void lt_ejection_record_clear (lt_ejection_record_t *record);
  void lt_ejection_record_copy (lt_ejection_record_t *to,
                                const lt_ejection_record_t *from);

  /** One VM's copy of the record, with the time at which this VM first saw
      each entry's state.  First sight is never earlier than the write, so
      bounds that count from it hold without synchronized clocks.  */
  typedef struct lt_ejection_view
  {
    lt_ejection_record_t record;
    int64_t *seen_us; /**< One per entry. */
  } lt_ejection_view_t;

  void lt_ejection_view_clear (lt_ejection_view_t *view);
  /** Replaces the copy.  Returns 0 or -LT_ESTALE when RECORD is older than
      the copy.  An equal version changes nothing.  */
  int lt_ejection_view_apply (lt_ejection_view_t *view,
                              const lt_ejection_record_t *record,
                              int64_t now_us);
  /** Returns the entry of UPSTREAM, or NULL.  */
  const lt_ejection_t *lt_ejection_find (const lt_ejection_view_t *view,
                                         uint32_t upstream);
  bool lt_ejection_is_ejected (const lt_ejection_view_t *view,
                               uint32_t upstream);
  /** Returns when this VM first saw the state of UPSTREAM's entry; -1 without
      entry.  */
  int64_t lt_ejection_seen_us (const lt_ejection_view_t *view,
                               uint32_t upstream);
  /** Returns the slots left when every upstream that is out, ejected, or
      returned within the propagation bound is taken away, and UPSTREAM too
      (UINT32_MAX: none).  */
  int64_t lt_ejection_slots_left (const lt_ejection_view_t *view,
                                  const lt_health_pool_t *pool,
                                  uint32_t upstream, int64_t now_us);

  /** Makes in NEXT the record to write on condition of the version of VIEW,
      with UPSTREAM ejected.  Returns 0, -LT_EEXISTS (ejected already)
      or -LT_EUNAVAILABLE (the floor would be crossed).  Drops returned entries
      whose repeats are all forgotten.  */
  int lt_ejection_add (const lt_ejection_view_t *view,
                       const lt_health_pool_t *pool, uint32_t upstream,
                       const lt_health_evidence_t *evidence, int64_t now_us,
                       int64_t wall_us, lt_ejection_record_t *next);
  /** The same with UPSTREAM returned.  Returns 0 or -LT_ENOTFOUND.  */
  int lt_ejection_return (const lt_ejection_view_t *view, uint32_t upstream,
                          int64_t wall_us, lt_ejection_record_t *next);

#ifdef __cplusplus
}
#endif

#endif
