#include "filters.h"
#include "lt/node/node.h"
#include "lt/node/request.h"
#include "lt/policy/freshness.h"

/* Open routes are served in any case: they need no key, so a stale snapshot
   cannot let a withdrawn key in.  */
static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_node_t *node = filter->node;
  if (request->route->access == LT_ACCESS_OPEN || node->freshness == NULL)
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
  return lt_filter_plain_create (&vtable);
}
