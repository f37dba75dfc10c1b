#include "filters.h"
#include "lt/node/node.h"
#include "lt/node/request.h"
#include "lt/node/source_controller.h"
#include "lt/policy/freshness.h"

/* Open routes are always served: they need no key, so a stale snapshot cannot
   admit a revoked key.  */
static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_node_t *node = filter->node;
  if (request->route->access == LT_ACCESS_OPEN)
    return LT_FILTER_CONTINUE;
  if (node->source_controller != NULL)
    return lt_source_controller_allows_keyed (node->source_controller,
                                              lt_node_now_us (node))
               ? LT_FILTER_CONTINUE
               : lt_request_refuse (request, LT_REFUSE_NOT_CONFIRMED);
  if (node->freshness == NULL)
    return LT_FILTER_CONTINUE;
  if (!lt_freshness_allows_keyed (node->freshness, lt_node_now_us (node)))
    return lt_request_refuse (request, LT_REFUSE_NOT_CONFIRMED);
  return LT_FILTER_CONTINUE;
}

static const lt_filter_vtable_t vtable = { .name = "freshness",
                                           .request = filter_request,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_freshness_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
