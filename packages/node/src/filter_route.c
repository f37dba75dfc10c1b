#include "filters.h"
#include "lt/node/request.h"

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  (void)filter;
  if (request->path == NULL)
    return lt_request_refuse (request, LT_REFUSE_PATH_INVALID);
  if (request->snapshot == NULL)
    return lt_request_refuse (request, LT_REFUSE_NO_CONFIG);
  str_t allow = str_make (NULL, 0);
  switch (lt_snapshot_match_route (
      request->snapshot, str_from (request->method), str_from (request->path),
      &request->route, &allow))
    {
    case LT_ROUTE_FOUND:
      return LT_FILTER_CONTINUE;
    case LT_ROUTE_METHOD_NOT_ALLOWED:
      return lt_request_refuse (request, LT_REFUSE_METHOD);
    case LT_ROUTE_NONE:
      break;
    }
  return lt_request_refuse (request, LT_REFUSE_NO_ROUTE);
}

static const lt_filter_vtable_t vtable = { .name = "route",
                                           .request = filter_request,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_route_create (void)
{
  return lt_filter_plain_create (&vtable);
}
