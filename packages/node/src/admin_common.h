/** @file
    What the groups of admin handlers have in common.  */
#ifndef LT_NODE_ADMIN_COMMON_H
#define LT_NODE_ADMIN_COMMON_H

#include <jansson.h>

#include "lt/base/finding.h"
#include "lt/config/edit.h"
#include "lt/node/admin.h"
#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Returns the snapshot in force, or NULL after answering that there is
      none.  */
  const lt_snapshot_t *lt_admin_snapshot (lt_admin_request_t *request);
  /** Returns a string value of a length-counted text.  */
  json_t *lt_admin_str (str_t text);
  /** Returns a time as RFC 3339 text in UTC.  */
  json_t *lt_admin_time (int64_t wall_us);
  /** Answers 422 with the findings.  */
  void lt_admin_respond_findings (lt_admin_request_t *request,
                                  const lt_findings_t *findings);
  /** Returns findings as an array of objects.  */
  json_t *lt_admin_findings_json (const lt_findings_t *findings);
  /** Returns true when the author's name may be recorded; answers otherwise.
   */
  bool lt_admin_check_author (lt_admin_request_t *request);
  /** The edit that follows version BASE.  */
  lt_edit_t lt_admin_edit (const lt_admin_request_t *request, int64_t base);
  /** Proposes SNAPSHOT (ownership is taken) on BASE and answers the request
     when the outcome is known.  EXTRA (ownership is taken, may be NULL) is
     added to the answer to an accepted change.  STATUS is that of success.  */
  void lt_admin_propose (lt_admin_request_t *request, lt_snapshot_t *snapshot,
                         int64_t base, json_t *extra, int status);
  /** Answers what an edit function refused.  */
  void lt_admin_respond_edit_error (lt_admin_request_t *request, int err);

  void lt_admin_handle_diff (lt_admin_request_t *request);
  void lt_admin_handle_apply (lt_admin_request_t *request);
  void lt_admin_handle_key_list (lt_admin_request_t *request);
  void lt_admin_handle_key_add (lt_admin_request_t *request);
  void lt_admin_handle_key_withdraw (lt_admin_request_t *request);
  void lt_admin_handle_upstream (lt_admin_request_t *request);
  void lt_admin_handle_upstream_edit (lt_admin_request_t *request);
  void lt_admin_handle_status (lt_admin_request_t *request);
  void lt_admin_handle_history (lt_admin_request_t *request);
  void lt_admin_handle_routes (lt_admin_request_t *request);
  void lt_admin_handle_route (lt_admin_request_t *request);
  void lt_admin_handle_workspaces (lt_admin_request_t *request);
  void lt_admin_handle_workspace (lt_admin_request_t *request);
  void lt_admin_handle_request_record (lt_admin_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
