#include "filters.h"
#include "lt/node/limit_controller.h"
#include "lt/node/quota_controller.h"
#include "lt/node/node.h"
#include "lt/node/request.h"

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_limit_controller_t *controller = filter->node->limit_controller;
  lt_quota_controller_t *quota = filter->node->quota_controller;
  if (quota != NULL && request->workspace != LT_NO_INDEX)
    return lt_quota_controller_spend (quota, request, filter->slot);
  if (controller == NULL || request->workspace == LT_NO_INDEX)
    return LT_FILTER_CONTINUE;
  return lt_limit_controller_spend (controller, request, filter->slot);
}

static void
filter_done (lt_filter_t *filter, lt_request_t *request)
{
  if (filter->node->quota_controller != NULL)
    {
      lt_quota_controller_cancel (request, filter->slot);
      return;
    }
  lt_limit_controller_cancel (filter->node->limit_controller, request,
                              filter->slot);
}

static const lt_filter_vtable_t vtable = { .name = "limit",
                                           .request = filter_request,
                                           .done = filter_done,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_limit_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
