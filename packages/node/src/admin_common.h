/** @file
    Functions that the handlers of the operators' API share, and the handlers
    themselves.  */
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

  /** Returns the snapshot in force.  If there is none, responds with 503 and
      returns NULL.  */
  const lt_snapshot_t *lt_admin_snapshot (lt_admin_request_t *request);
  /** Returns TEXT as a new JSON string, or "(not UTF-8)" if it is not valid
      UTF-8.  */
  json_t *lt_admin_str (str_t text);
  /** Returns a wall-clock time as a new JSON string: RFC 3339, in UTC.  */
  json_t *lt_admin_time (int64_t wall_us);
  /** Responds with 422 and the findings.  */
  void lt_admin_respond_findings (lt_admin_request_t *request,
                                  const lt_findings_t *findings);
  /** Returns the findings as a new JSON array of objects.  */
  json_t *lt_admin_findings_json (const lt_findings_t *findings);
  /** Returns whether the author's name is valid; if it is not, responds with
      400.  */
  bool lt_admin_check_author (lt_admin_request_t *request);
  /** Returns the author, time and version (BASE + 1) of an edit that is based
      on version BASE.  */
  lt_edit_t lt_admin_edit (const lt_admin_request_t *request, int64_t base);
  /** Proposes SNAPSHOT as the successor of version BASE and responds when the
      outcome is known.  An accepted change gets STATUS and, besides the change
      itself, the members of EXTRA (may be NULL).  Takes ownership of SNAPSHOT
      and EXTRA.  */
  void lt_admin_propose (lt_admin_request_t *request, lt_snapshot_t *snapshot,
                         int64_t base, json_t *extra, int status);
  /** Responds to a request whose edit failed with ERR, an error number from
      lt/config/edit.h.  */
  void lt_admin_respond_edit_error (lt_admin_request_t *request, int err);

  void lt_admin_handle_diff (lt_admin_request_t *request);
  void lt_admin_handle_apply (lt_admin_request_t *request);
  void lt_admin_handle_key_list (lt_admin_request_t *request);
  void lt_admin_handle_key_add (lt_admin_request_t *request);
  void lt_admin_handle_key_withdraw (lt_admin_request_t *request);
  void lt_admin_handle_evacuation_list (lt_admin_request_t *request);
  void lt_admin_handle_evacuate (lt_admin_request_t *request);
  void lt_admin_handle_evacuation_end (lt_admin_request_t *request);
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
