/* Handlers that list the routes and workspaces in force.  */
#include <stdio.h>
#include <stdlib.h>

#include "admin_common.h"

static json_t *
route_workspaces_json (const lt_snapshot_t *s, const lt_route_t *route)
{
  lt_buf_t text = { 0 };
  if (route->all_workspaces)
    lt_buf_printf (&text, "*");
  for (uint32_t i = 0; i < route->workspace_count; i++)
    lt_buf_printf (&text, "%s%.*s", i > 0 ? "|" : "",
                   STR_ARG (s->workspaces[route->workspaces[i]].name));
  json_t *value = lt_admin_str (lt_buf_str (&text));
  lt_buf_destroy (&text);
  return value;
}

/* Adds the regions of MASK to ROW, which has no such member when any region
   may serve.  */
static void
add_regions (json_t *row, const lt_snapshot_t *s, uint64_t mask)
{
  lt_buf_t text = { 0 };
  if (mask == 0)
    return;
  for (uint32_t i = 0; i < s->region_count; i++)
    if ((mask & 1ULL << i) != 0)
      lt_buf_printf (&text, "%s%.*s", text.len > 0 ? "|" : "",
                     STR_ARG (s->regions[i]));
  json_object_set_new (row, "allowed_regions",
                       lt_admin_str (lt_buf_str (&text)));
  lt_buf_destroy (&text);
}

static json_t *
route_json (const lt_snapshot_t *s, const lt_route_t *route)
{
  static const char *const access_names[] = { "keyed", "open" };
  static const char *const action_names[]
      = { "idempotent", "repeatable", "never-repeat" };
  json_t *row = json_pack (
      "{s:o, s:o, s:o, s:o, s:s, s:s, s:b, s:i, s:I, s:o}", "name",
      lt_admin_str (route->name), "path", lt_admin_str (route->path),
      "methods", lt_admin_str (route->methods), "service",
      lt_admin_str (s->services[route->service].name), "access",
      access_names[route->access], "action", action_names[route->action],
      "hedge", route->hedge, "timeout_ms", route->timeout_ms, "max_body_bytes",
      (json_int_t)route->max_body_bytes, "workspaces",
      route_workspaces_json (s, route));
  add_regions (row, s, route->allowed_regions);
  return row;
}

static json_t *
workspace_json (const lt_snapshot_t *s, uint32_t index, int64_t keys)
{
  char rate[32];
  const lt_workspace_t *workspace = &s->workspaces[index];
  snprintf (rate, sizeof (rate), "%lld.%03lld",
            (long long)(workspace->rate_milli_per_s / 1000),
            (long long)(workspace->rate_milli_per_s % 1000));
  json_t *row
      = json_pack ("{s:o, s:s, s:I, s:I}", "name",
                   lt_admin_str (workspace->name), "rate_per_s", rate, "burst",
                   (json_int_t)workspace->burst, "keys", (json_int_t)keys);
  add_regions (row, s, workspace->allowed_regions);
  return row;
}

/* Returns the number of keys of each workspace, without withdrawn ones.  The
   caller frees the array.  */
static int64_t *
count_keys (const lt_snapshot_t *s)
{
  int64_t *counts = lt_alloc (s->workspace_count * sizeof (int64_t));
  for (uint32_t i = 0; i < s->key_count; i++)
    if (s->keys[i].state != LT_KEY_WITHDRAWN)
      counts[s->keys[i].workspace]++;
  return counts;
}

static void
respond_rows (lt_admin_request_t *request, const lt_snapshot_t *s,
              const char *member, json_t *rows)
{
  lt_admin_respond_json (request, 200,
                         json_pack ("{s:I, s:o}", "version",
                                    (json_int_t)s->version, member, rows));
}

void
lt_admin_handle_routes (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  json_t *rows = json_array ();
  for (uint32_t i = 0; i < s->route_count; i++)
    json_array_append_new (rows, route_json (s, &s->routes[i]));
  respond_rows (request, s, "routes", rows);
}

void
lt_admin_handle_route (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  uint32_t index = lt_snapshot_find_route (s, request->suffix);
  if (index == LT_NO_INDEX)
    lt_admin_respond_problem (request, 404, "not-found",
                              "no route has this name");
  else
    respond_rows (request, s, "routes",
                  json_pack ("[o]", route_json (s, &s->routes[index])));
}

void
lt_admin_handle_workspaces (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  json_t *rows = json_array ();
  int64_t *keys = count_keys (s);
  for (uint32_t i = 0; i < s->workspace_count; i++)
    json_array_append_new (rows, workspace_json (s, i, keys[i]));
  free (keys);
  respond_rows (request, s, "workspaces", rows);
}

void
lt_admin_handle_workspace (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  uint32_t index = lt_snapshot_find_workspace (s, request->suffix);
  if (index == LT_NO_INDEX)
    {
      lt_admin_respond_problem (request, 404, "not-found",
                                "no workspace has this name");
      return;
    }
  int64_t *keys = count_keys (s);
  respond_rows (request, s, "workspaces",
                json_pack ("[o]", workspace_json (s, index, keys[index])));
  free (keys);
}
