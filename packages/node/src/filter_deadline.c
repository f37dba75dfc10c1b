#include "filters.h"
#include "lt/node/node.h"
#include "lt/node/request.h"

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  int64_t timeout_ms = request->route->timeout_ms;
  str_t text = lt_header_list_get (&request->headers,
                                   filter->node->dialect->deadline);
  if (text.data != NULL)
    {
      int64_t requested_ms = 0;
      if (str_to_i64 (str_trim (text), &requested_ms) != 0
          || requested_ms <= 0)
        return lt_request_refuse (request, LT_REFUSE_DEADLINE_INVALID);
      if (requested_ms < timeout_ms)
        timeout_ms = requested_ms;
    }
  request->deadline_us = request->started_us + timeout_ms * LT_US_PER_MS;
  if (lt_node_now_us (filter->node) >= request->deadline_us)
    return lt_request_refuse (request, LT_REFUSE_DEADLINE);
  if (lt_node_may_cut (filter->node, request->deadline_us))
    return lt_request_refuse_stopping (request);
  return LT_FILTER_CONTINUE;
}

static const lt_filter_vtable_t vtable = { .name = "deadline",
                                           .request = filter_request,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_deadline_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
