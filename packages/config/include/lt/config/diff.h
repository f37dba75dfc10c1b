/** @file
    Differences between two snapshots: in words for operators, and as a delta
    that turns the older snapshot into the newer one.  */
#ifndef LT_CONFIG_DIFF_H
#define LT_CONFIG_DIFF_H

#include "lt/base/finding.h"
#include "lt/config/snapshot.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_diff_kind
  {
    LT_DIFF_WORKSPACE,
    LT_DIFF_KEY,
    LT_DIFF_SERVICE,
    LT_DIFF_UPSTREAM,
    LT_DIFF_ROUTE,
    LT_DIFF_STOP,
    LT_DIFF_KINDS
  } lt_diff_kind_t;

  typedef enum lt_diff_op
  {
    LT_DIFF_ADDED,
    LT_DIFF_REMOVED,
    LT_DIFF_CHANGED
  } lt_diff_op_t;

  /** One row that differs.  Positions are LT_NO_INDEX where the row is not. */
  typedef struct lt_diff_row
  {
    lt_diff_kind_t kind;
    lt_diff_op_t op;
    uint32_t old_index;
    uint32_t new_index;
  } lt_diff_row_t;

  typedef struct lt_diff_counts
  {
    uint32_t before; /**< Rows of the older snapshot; of keys, usable ones. */
    uint32_t added;
    uint32_t removed;
    uint32_t changed;
  } lt_diff_counts_t;

  typedef struct lt_diff
  {
    const lt_snapshot_t *before; /**< NULL: the empty snapshot. */
    const lt_snapshot_t *after;
    lt_diff_row_t *rows;
    uint32_t row_count;
    uint32_t row_cap;
    lt_diff_counts_t counts[LT_DIFF_KINDS];
  } lt_diff_t;

/** Largest share of keys, routes or upstreams that one change removes without
    being told to.  */
#define LT_DIFF_REMOVAL_PERCENT 20

  /** Compares BEFORE (NULL: empty) with AFTER; both must outlive the result.
   */
  lt_diff_t *lt_diff_create (const lt_snapshot_t *before,
                             const lt_snapshot_t *after);
  void lt_diff_destroy (lt_diff_t *diff);
  /** Returns "workspace", "key" and so on.  */
  const char *lt_diff_kind_name (lt_diff_kind_t kind);
  const char *lt_diff_op_name (lt_diff_op_t op);
  /** Returns the name of the row.  */
  str_t lt_diff_row_name (const lt_diff_t *diff, const lt_diff_row_t *row);
  /** Appends what the row has or what changed in it, on one line without line
      end.  Hashes of keys are not shown.  */
  void lt_diff_row_words (const lt_diff_t *diff, const lt_diff_row_t *row,
                          lt_buf_t *out);
  /** Appends what callers will notice of the row, on one line without line
     end; nothing when they will not.  */
  void lt_diff_row_notice (const lt_diff_t *diff, const lt_diff_row_t *row,
                           lt_buf_t *out);
  /** Adds a finding for each of keys, routes and upstreams of which more than
      LT_DIFF_REMOVAL_PERCENT are removed.  Returns 0 or -LT_EFINDINGS.  */
  int lt_diff_check_removals (const lt_diff_t *diff, lt_findings_t *findings);
  /** Appends a line per row (at most MAX_ROWS) and a summary.  */
  void lt_diff_print (const lt_diff_t *diff, uint32_t max_rows, lt_buf_t *out);

  /** Appends the change from BEFORE to AFTER in binary form.  */
  void lt_delta_encode (const lt_snapshot_t *before,
                        const lt_snapshot_t *after, lt_buf_t *out);
  /** Makes *AFTER from BEFORE and a delta; its canonical encoding equals that
      of the snapshot the delta was made for.  Returns 0, -LT_EPROTO
      (malformed), -LT_ESTALE (made for another version than BEFORE) or
      -LT_EINVAL (does not fit BEFORE).  */
  int lt_delta_apply (const lt_snapshot_t *before, str_t delta,
                      lt_snapshot_t **after);

#ifdef __cplusplus
}
#endif

#endif
