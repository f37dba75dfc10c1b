/* Handlers that show an upstream, drain it and return it to service.  */
#include <string.h>

#include "admin_common.h"

/* Splits "NAME/ACTION" at the last '/', as a name may contain '/'.  Returns
   the action, or an empty view with NULL data if there is no '/'.  */
static str_t
split_action (str_t suffix, str_t *name)
{
  const char *slash
      = suffix.len == 0 ? NULL : memrchr (suffix.data, '/', suffix.len);
  if (slash == NULL)
    return str_make (NULL, 0);
  *name = str_make (suffix.data, (size_t)(slash - suffix.data));
  return str_make (slash + 1, suffix.len - name->len - 1);
}

void
lt_admin_handle_upstream (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  uint32_t index = lt_snapshot_find_upstream (s, request->suffix);
  if (index == LT_NO_INDEX)
    {
      lt_admin_respond_problem (request, 404, "not-found",
                                "no upstream has this name");
      return;
    }
  const lt_upstream_t *u = &s->upstreams[index];
  lt_admin_respond_json (
      request, 200,
      json_pack ("{s:I, s:o, s:o, s:o, s:o, s:o, s:i, s:i, s:b, s:b}",
                 "version", (json_int_t)s->version, "name",
                 lt_admin_str (u->name), "address", lt_admin_str (u->address),
                 "service", lt_admin_str (s->services[u->service].name),
                 "region", lt_admin_str (u->region), "failure_domain",
                 lt_admin_str (u->failure_domain), "slots", u->slots,
                 "connections", u->connections, "drained", u->drained,
                 "evacuated", u->evacuated));
}

void
lt_admin_handle_upstream_edit (lt_admin_request_t *request)
{
  str_t name = str_make (NULL, 0);
  str_t action = split_action (request->suffix, &name);
  bool drain = str_equal (action, STR_LIT ("drain"));
  if (!drain && !str_equal (action, STR_LIT ("return")))
    {
      lt_admin_respond_problem (request, 404, "not-found",
                                "the path must end in /drain or /return");
      return;
    }
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL || !lt_admin_check_author (request))
    return;
  lt_edit_t edit = lt_admin_edit (request, s->version);
  lt_snapshot_t *next = NULL;
  str_t below = lt_admin_query (request, "allow_below_floor");
  int err = lt_edit_set_drained (s, &edit, name, drain,
                                 str_equal (below, STR_LIT ("1")), &next);
  if (err == 0)
    lt_admin_propose (request, next, s->version,
                      json_pack ("{s:o, s:b}", "name", lt_admin_str (name),
                                 "drained", drain),
                      200);
  else
    lt_admin_respond_edit_error (request, err);
}
