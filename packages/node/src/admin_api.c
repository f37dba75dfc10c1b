#include "lt/node/admin_api.h"

#include "admin_common.h"

static const lt_admin_handler_t handlers[] = {
  { "POST", "/v1/config/apply", true, lt_admin_handle_apply },
  { "POST", "/v1/config/diff", true, lt_admin_handle_diff },
  { "GET", "/v1/evacuations", true, lt_admin_handle_evacuation_list },
  { "POST", "/v1/evacuations/", true, lt_admin_handle_evacuate },
  { "DELETE", "/v1/evacuations/", true, lt_admin_handle_evacuation_end },
  { "GET", "/v1/history", true, lt_admin_handle_history },
  { "GET", "/v1/keys", true, lt_admin_handle_key_list },
  { "POST", "/v1/keys", true, lt_admin_handle_key_add },
  { "DELETE", "/v1/keys/", true, lt_admin_handle_key_withdraw },
  { "GET", "/v1/requests/", true, lt_admin_handle_request_record },
  { "GET", "/v1/routes", true, lt_admin_handle_routes },
  { "GET", "/v1/routes/", true, lt_admin_handle_route },
  { "GET", "/v1/status", true, lt_admin_handle_status },
  { "GET", "/v1/upstreams/", true, lt_admin_handle_upstream },
  { "POST", "/v1/upstreams/", true, lt_admin_handle_upstream_edit },
  { "GET", "/v1/workspaces", true, lt_admin_handle_workspaces },
  { "GET", "/v1/workspaces/", true, lt_admin_handle_workspace },
};

void
lt_admin_add_api (lt_admin_t *admin)
{
  lt_admin_add_handlers (admin, handlers,
                         sizeof (handlers) / sizeof (handlers[0]));
}
