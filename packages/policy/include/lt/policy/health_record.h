/** @file
    The ejection record of one service, kept in the store.  An upstream is
    ejected for the fleet only by an entry of this record.  The record is
    written conditionally on its version, after lt_ejection_add has checked
    that the ejection keeps the floor (I1 in docs/invariants.md).

    An upstream that returns keeps its entry.  Its slots count as not usable
    until the propagation bound has passed, because VMs may still act on the
    older version, and its repeat count makes the next ejection longer.  */
#ifndef LT_POLICY_HEALTH_RECORD_H
#define LT_POLICY_HEALTH_RECORD_H

#include "lt/policy/health.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Propagation bound: within this time a VM applies a new record or stops
    serving keyed requests (freshness.h), so that after it no VM acts on the
    older version.  */
#define LT_EJECTION_PROPAGATION_US 10000000LL
/** Minimum duration of the first ejection; doubles with each repeat, up to
    LT_EJECTION_MAX_US.  */
#define LT_EJECTION_FIRST_US 15000000LL
#define LT_EJECTION_MAX_US 960000000LL
/** The number of repeats falls by one for each such time without ejection.  */
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
    uint32_t repeats; /**< Ejections, this one included, less the decay. */
    int64_t min_duration_us; /**< Minimum duration; probes start after it. */
    int64_t since_wall_us;   /**< Shown to operators; decides nothing. */
    lt_health_evidence_t evidence;
  } lt_ejection_t;

  typedef struct lt_ejection_record
  {
    int64_t version; /**< 0: the record does not exist yet. */
    lt_ejection_t *entries;
    uint32_t count;
  } lt_ejection_record_t;

  /** Frees the entries and resets RECORD to one that does not exist yet.  */
  void lt_ejection_record_clear (lt_ejection_record_t *record);
  /** Replaces TO, which must be initialized, by a copy of FROM.  */
  void lt_ejection_record_copy (lt_ejection_record_t *to,
                                const lt_ejection_record_t *from);

  /** One VM's copy of the record, with the time at which this VM first saw
      each entry in its present state.  That is never earlier than the write,
      so bounds that count from it hold without synchronized clocks.  */
  typedef struct lt_ejection_view
  {
    lt_ejection_record_t record;
    int64_t *first_seen_us; /**< One per entry. */
  } lt_ejection_view_t;

  void lt_ejection_view_clear (lt_ejection_view_t *view);
  /** Replaces the copy by RECORD, which stays the caller's.  Returns 0, or
      -LT_ESTALE when RECORD is older than the copy.  An equal version changes
      nothing.  */
  int lt_ejection_view_apply (lt_ejection_view_t *view,
                              const lt_ejection_record_t *record,
                              int64_t now_us);
  /** Returns the entry of UPSTREAM, or NULL.  */
  const lt_ejection_t *lt_ejection_find (const lt_ejection_view_t *view,
                                         uint32_t upstream);
  bool lt_ejection_is_ejected (const lt_ejection_view_t *view,
                               uint32_t upstream);
  /** Returns when this VM first saw UPSTREAM's entry in its present state, or
      -1 when there is no entry.  */
  int64_t lt_ejection_first_seen_us (const lt_ejection_view_t *view,
                                     uint32_t upstream);
  /** Returns the slots that stay usable without UPSTREAM (UINT32_MAX: none):
      those of all upstreams that are not out, not ejected, and not returned
      less than the propagation bound ago.  */
  int64_t lt_ejection_slots_left (const lt_ejection_view_t *view,
                                  const lt_health_pool_t *pool,
                                  uint32_t upstream, int64_t now_us);

  /** Makes in NEXT, which must be initialized, the record with UPSTREAM
      ejected.  The caller writes it on condition that the stored version is
      that of VIEW.  Returned entries whose repeats have all decayed are
      dropped.  Returns 0, -LT_EINVAL (no such upstream), -LT_EEXISTS (already
      ejected) or -LT_EUNAVAILABLE (too few slots would stay usable for the
      floor).  */
  int lt_ejection_add (const lt_ejection_view_t *view,
                       const lt_health_pool_t *pool, uint32_t upstream,
                       const lt_health_evidence_t *evidence, int64_t now_us,
                       int64_t wall_us, lt_ejection_record_t *next);
  /** Does the same with UPSTREAM returned.  Returns 0, or -LT_ENOTFOUND when
      it is not ejected.  */
  int lt_ejection_return (const lt_ejection_view_t *view, uint32_t upstream,
                          int64_t wall_us, lt_ejection_record_t *next);

#ifdef __cplusplus
}
#endif

#endif
