#include "filters.h"
#include "lt/node/request.h"

/* RFC 9110, section 15.5.6: a 405 response lists the allowed methods.  */
static lt_filter_result_t
refuse_method (lt_request_t *request, str_t allow)
{
  lt_buf_t list = { 0 };
  str_t rest = allow;
  while (rest.data != NULL)
    {
      str_t method = str_split (rest, '|', &rest);
      lt_buf_printf (&list, "%s%.*s", list.len > 0 ? ", " : "",
                     STR_ARG (method));
    }
  lt_filter_result_t result = lt_request_refuse (request, LT_REFUSE_METHOD);
  lt_header_list_add (&request->response.headers, STR_LIT ("Allow"),
                      lt_buf_str (&list));
  lt_buf_destroy (&list);
  return result;
}

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  (void)filter;
  if (request->framing_invalid)
    return lt_request_refuse (request, LT_REFUSE_HEADER_INVALID);
  if (request->path == NULL)
    return lt_request_refuse (request, LT_REFUSE_PATH_INVALID);
  if (request->snapshot == NULL)
    return lt_request_refuse (request, LT_REFUSE_NO_CONFIG);
  if (request->snapshot->by_host)
    {
      request->route = lt_snapshot_match_host (
          request->snapshot,
          lt_header_list_get (&request->headers, STR_LIT ("Host")),
          str_from (request->path));
      return request->route != NULL
                 ? LT_FILTER_CONTINUE
                 : lt_request_refuse (request, LT_REFUSE_NO_ROUTE);
    }
  str_t allow = str_make (NULL, 0);
  switch (lt_snapshot_match_route (
      request->snapshot, str_from (request->method), str_from (request->path),
      &request->route, &allow))
    {
    case LT_ROUTE_FOUND:
      return LT_FILTER_CONTINUE;
    case LT_ROUTE_METHOD_NOT_ALLOWED:
      return refuse_method (request, allow);
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
  return lt_filter_stateless_create (&vtable);
}
