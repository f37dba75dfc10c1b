/** @file
    New snapshots made from an old one and one change.  */
#ifndef LT_CONFIG_EDIT_H
#define LT_CONFIG_EDIT_H

#include "lt/base/finding.h"
#include "lt/config/snapshot.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Who makes the change, and the version that it gets.  */
  typedef struct lt_edit
  {
    int64_t version;
    str_t author;
    int64_t wall_us;
  } lt_edit_t;

  /** Adds an issued key.  Returns 0, -LT_EINVAL (NAME is no name),
      -LT_EEXISTS (name or hash in use or withdrawn) or -LT_ENOTFOUND (no such
      workspace).  */
  int lt_edit_add_key (const lt_snapshot_t *old, const lt_edit_t *edit,
                       str_t name, str_t workspace, const lt_digest_t *hash,
                       lt_snapshot_t **now);
  /** Withdraws a key for good; a key of the sheet stays as a withdrawn row.
      Returns 0, -LT_ENOTFOUND or -LT_EEXISTS (withdrawn already).  */
  int lt_edit_withdraw_key (const lt_snapshot_t *old, const lt_edit_t *edit,
                            str_t name, lt_snapshot_t **now);
  /** Drains or returns an upstream.  Returns 0, -LT_ENOTFOUND, -LT_EEXISTS
      (in that state already) or -LT_ERANGE when the slots left undrained
      would be below the service's floor and BELOW_FLOOR is false.  */
  int lt_edit_set_drained (const lt_snapshot_t *old, const lt_edit_t *edit,
                           str_t upstream, bool drained, bool below_floor,
                           lt_snapshot_t **now);
  /** Evacuates a failure domain, or ends that.  The floor of services is not
      checked.  Returns 0, -LT_ENOTFOUND (no upstream is in DOMAIN) or
      -LT_EEXISTS (in that state already).  */
  int lt_edit_set_evacuated (const lt_snapshot_t *old, const lt_edit_t *edit,
                             str_t domain, bool evacuated,
                             lt_snapshot_t **now);
  /** Makes the snapshot that follows OLD (NULL: none) from the one parsed from
      a sheet.  What operators changed outside the sheet is kept: drained
      upstreams, evacuated failure domains with upstreams, issued keys and
     withdrawn keys.  Returns 0, or -LT_EFINDINGS when the sheet lists a
     withdrawn key.  */
  int lt_edit_adopt_sheet (const lt_snapshot_t *old,
                           const lt_snapshot_t *sheet, const lt_edit_t *edit,
                           lt_findings_t *findings, lt_snapshot_t **now);

#ifdef __cplusplus
}
#endif

#endif
