/* Handler for the records of recent requests.  */
#include "admin_common.h"
#include "filter_record.h"

void
lt_admin_handle_request_record (lt_admin_request_t *request)
{
  const lt_request_record_t *r
      = lt_filter_record_find (request->node, request->suffix);
  if (r == NULL)
    {
      lt_admin_respond_problem (request, 404, "not-recorded",
                                "this VM has no record of the request; it "
                                "keeps the last 4096");
      return;
    }
  json_t *body = json_pack ("{s:s, s:s, s:s, s:s, s:i, s:b, s:I, s:o, s:I}",
                            "request_id", r->request_id, "method", r->method,
                            "route", r->route, "workspace", r->workspace,
                            "status", r->status, "cut_short", r->failed,
                            "config_version", (json_int_t)r->config_version,
                            "ended", lt_admin_time (r->ended_wall_us),
                            "duration_us", (json_int_t)r->duration_us);
  if (r->reason != NULL)
    {
      json_object_set_new (body, "refused", json_string (r->reason));
      json_object_set_new (body, "ran", json_string (r->ran));
    }
  lt_admin_respond_json (request, 200, body);
}
