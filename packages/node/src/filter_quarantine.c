#include "filters.h"
#include "lt/base/hash.h"
#include "lt/node/node.h"
#include "lt/node/quarantine_controller.h"
#include "lt/node/request.h"
#include "lt/policy/quarantine.h"

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_quarantine_controller_t *controller = filter->node->quarantine_controller;
  if (controller == NULL)
    return LT_FILTER_CONTINUE;
  const lt_snapshot_t *s = request->snapshot;
  str_t workspace = { 0 };
  if (request->workspace != LT_NO_INDEX)
    workspace = s->workspaces[request->workspace].name;
  request->body_digest
      = lt_digest_make (STR_LIT (""), lt_buf_str (&request->body));
  /* The fingerprint includes the query; otherwise one crash-causing query
     would get every request for the same path refused.  */
  lt_buf_t target = { 0 };
  lt_buf_printf (&target, "%s?", request->path);
  lt_buf_append_str (&target, str_from (request->query));
  request->fingerprint = lt_quarantine_fingerprint (
      workspace, request->route->name, str_from (request->method),
      lt_buf_str (&target), &request->body_digest);
  lt_buf_destroy (&target);
  int64_t retry_after_ms = 0;
  if (lt_quarantine_controller_refuses (controller, request, &retry_after_ms))
    return lt_request_refuse_after (request, LT_REFUSE_QUARANTINED,
                                    retry_after_ms);
  return LT_FILTER_CONTINUE;
}

static const lt_filter_vtable_t vtable = { .name = "quarantine",
                                           .request = filter_request,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_quarantine_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
