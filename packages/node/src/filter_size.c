#include "filters.h"
#include "lt/node/request.h"

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  (void)filter;
  if (request->body_refused)
    return lt_request_refuse_after (request, request->body_refusal,
                                    request->body_retry_after_ms);
  bool over = request->body_too_large
              || (int64_t)request->body.len > request->route->max_body_bytes;
  if (over)
    return lt_request_refuse (request, LT_REFUSE_BODY_TOO_LARGE);
  return LT_FILTER_CONTINUE;
}

static const lt_filter_vtable_t vtable
    = { .name = "size", .request = filter_request, .destroy = lt_filter_free };

lt_filter_t *
lt_filter_size_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
