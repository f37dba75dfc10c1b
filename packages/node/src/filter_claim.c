#include "filters.h"
#include "lt/node/claim_controller.h"
#include "lt/node/node.h"
#include "lt/node/request.h"

enum
{
  KEY_MAX_BYTES = 255
};

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_node_t *node = filter->node;
  if (request->route->action != LT_ACTION_NEVER_REPEAT)
    return LT_FILTER_CONTINUE;
  str_t name = STR_LIT ("Idempotency-Key");
  str_t key = str_trim (lt_header_list_get (&request->headers, name));
  if (key.len == 0 || key.len > KEY_MAX_BYTES
      || lt_header_list_count (&request->headers, name) != 1)
    return lt_request_refuse (request, LT_REFUSE_KEY_REQUIRED);
  if (node->claim_controller == NULL)
    return lt_request_refuse (request, LT_REFUSE_CLAIM_UNAVAILABLE);
  if (lt_node_now_us (node) >= request->deadline_us)
    return lt_request_refuse (request, LT_REFUSE_DEADLINE);
  request->filter_state[filter->slot] = lt_claim_controller_begin (
      node->claim_controller, request, filter->slot, key);
  return LT_FILTER_WAIT;
}

static lt_filter_result_t
filter_response (lt_filter_t *filter, lt_request_t *request)
{
  lt_claim_run_t *run = request->filter_state[filter->slot];
  return run == NULL ? LT_FILTER_CONTINUE : lt_claim_run_on_response (run);
}

static void
filter_done (lt_filter_t *filter, lt_request_t *request)
{
  lt_claim_run_t *run = request->filter_state[filter->slot];
  request->filter_state[filter->slot] = NULL;
  if (run != NULL)
    lt_claim_run_detach (run);
}

static const lt_filter_vtable_t vtable = { .name = "claim",
                                           .request = filter_request,
                                           .on_response = filter_response,
                                           .done = filter_done,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_claim_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
