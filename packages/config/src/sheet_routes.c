/* Checks of route and stop rows.  */
#include <stdlib.h>

#include "index.h"
#include "lt/base/error.h"
#include "sheet_build.h"
#include "sheet_value.h"

#define TIMEOUT_MAX_MS 3600000
#define BODY_MAX_BYTES (1LL << 40)

/* Returns the position of the value among WORDS, 0 after a fault.  */
static int
read_word (lt_sheet_t *sheet, const lt_sheet_row_t *row, lt_column_t column,
           const char *const *words, int count, const char *expected)
{
  str_t text = lt_sheet_value (sheet, LT_KIND_ROUTE, row, column);
  for (int i = 0; i < count; i++)
    if (str_equal_nocase (text, str_from (words[i])))
      return i;
  lt_sheet_fault (sheet, row->row, column, text, "%s", expected);
  return 0;
}

static uint32_t
count_parts (str_t list)
{
  uint32_t count = 0;
  while (list.data != NULL)
    {
      str_split (list, '|', &list);
      count++;
    }
  return count;
}

static int
by_text (const void *a, const void *b)
{
  return str_compare (*(const str_t *)a, *(const str_t *)b);
}

static void
read_workspaces (lt_sheet_build_t *b, const lt_sheet_row_t *row,
                 lt_patch_route_t *route)
{
  lt_sheet_t *sheet = b->sheet;
  str_t list
      = lt_sheet_value (sheet, LT_KIND_ROUTE, row, LT_COLUMN_WORKSPACES);
  route->row.all_workspaces = str_equal (list, STR_LIT ("*"));
  if (route->row.all_workspaces)
    return;
  if (list.len == 0 || route->row.access == LT_ACCESS_OPEN)
    {
      lt_sheet_fault (sheet, row->row, LT_COLUMN_WORKSPACES, list,
                      route->row.access == LT_ACCESS_OPEN
                          ? "\"*\", because the route is open"
                          : "\"*\" or names joined by \"|\"");
      return;
    }
  uint32_t parts = count_parts (list);
  route->workspaces = lt_arena_alloc (b->patch->arena, parts * sizeof (str_t));
  for (uint32_t i = 0; i < parts; i++)
    {
      str_t name = lt_value_trim (str_split (list, '|', &list));
      if (lt_sheet_names_find (&b->workspaces, name) == NULL)
        lt_sheet_fault (sheet, row->row, LT_COLUMN_WORKSPACES, name,
                        "the name of one of the workspace rows");
      route->workspaces[i] = name;
    }
  qsort (route->workspaces, parts, sizeof (str_t), by_text);
  for (uint32_t i = 1; i < parts; i++)
    if (str_equal (route->workspaces[i - 1], route->workspaces[i]))
      lt_sheet_fault (sheet, row->row, LT_COLUMN_WORKSPACES,
                      route->workspaces[i], "each workspace once");
  route->workspace_count = parts;
  route->row.workspace_count = parts;
}

/* Writes the methods in upper case without padding.  */
static str_t
read_methods (lt_sheet_build_t *b, const lt_sheet_row_t *row)
{
  str_t text
      = lt_sheet_value (b->sheet, LT_KIND_ROUTE, row, LT_COLUMN_METHODS);
  char *bytes = lt_arena_alloc (b->patch->arena, text.len);
  size_t len = 0;
  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.data[i];
      if (c != ' ')
        bytes[len++] = (char)(c >= 'a' && c <= 'z' ? c - 'a' + 'A' : c);
    }
  str_t methods = str_make (bytes, len);
  if (lt_methods_parse (methods) == 0)
    lt_sheet_fault (b->sheet, row->row, LT_COLUMN_METHODS, text,
                    "methods joined by \"|\", each once: GET, HEAD, POST, "
                    "PUT, PATCH, DELETE, OPTIONS");
  return methods;
}

static void
check_route (lt_sheet_t *sheet, const lt_sheet_row_t *row,
             const lt_route_t *route)
{
  if (!lt_value_is_path (route->path))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_PATH, route->path,
                    "a path that begins with \"/\", without final \"/\", "
                    "empty or dot segments, query and encoded letters");
  if (route->hedge && route->action != LT_ACTION_IDEMPOTENT)
    lt_sheet_fault (sheet, row->row, LT_COLUMN_HEDGE, STR_LIT ("yes"),
                    "\"no\", because the action is not idempotent");
  /* Claims are kept per workspace.  Callers of an open route would share
     their idempotency keys and get each other's outcomes.  */
  if (route->access == LT_ACCESS_OPEN
      && route->action == LT_ACTION_NEVER_REPEAT)
    lt_sheet_fault (sheet, row->row, LT_COLUMN_ACCESS, STR_LIT ("open"),
                    "\"keyed\", because the action is never-repeat");
}

static void
build_route (lt_sheet_build_t *b, const lt_sheet_row_t *row)
{
  static const char *const accesses[] = { "keyed", "open" };
  static const char *const actions[]
      = { "idempotent", "repeatable", "never-repeat" };
  static const char *const answers[] = { "no", "yes" };
  lt_sheet_t *sheet = b->sheet;
  lt_patch_route_t *route = LT_VEC_PUSH (&b->patch->routes);
  lt_route_t *r = &route->row;
  r->name = lt_sheet_value (sheet, LT_KIND_ROUTE, row, LT_COLUMN_NAME);
  r->path = lt_sheet_value (sheet, LT_KIND_ROUTE, row, LT_COLUMN_PATH);
  r->methods = read_methods (b, row);
  route->service
      = lt_sheet_reference (sheet, LT_KIND_ROUTE, row, LT_COLUMN_SERVICE,
                            &b->services, LT_KIND_SERVICE);
  r->access = (lt_access_t)read_word (sheet, row, LT_COLUMN_ACCESS, accesses,
                                      2, "keyed or open");
  r->action
      = (lt_action_t)read_word (sheet, row, LT_COLUMN_ACTION, actions, 3,
                                "idempotent, repeatable or never-repeat");
  r->hedge
      = read_word (sheet, row, LT_COLUMN_HEDGE, answers, 2, "yes or no") == 1;
  r->timeout_ms = (int32_t)lt_sheet_number (
      sheet, LT_KIND_ROUTE, row, LT_COLUMN_TIMEOUT, 0, 1, TIMEOUT_MAX_MS);
  r->max_body_bytes = lt_sheet_number (
      sheet, LT_KIND_ROUTE, row, LT_COLUMN_MAX_BODY, 0, 0, BODY_MAX_BYTES);
  r->allowed_regions = lt_sheet_read_regions (b, LT_KIND_ROUTE, row);
  read_workspaces (b, row, route);
  check_route (sheet, row, r);
}

typedef struct path_row
{
  str_t path;
  int row;
  uint32_t methods;
} path_row_t;

static int
by_path_and_row (const void *a, const void *b)
{
  const path_row_t *x = a;
  const path_row_t *y = b;
  int order = str_compare (x->path, y->path);
  return order != 0 ? order : x->row - y->row;
}

static void
check_paths (lt_sheet_t *sheet, path_row_t *rows, uint32_t count)
{
  if (count > 0)
    qsort (rows, count, sizeof (*rows), by_path_and_row);
  uint32_t seen = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      bool same = i > 0 && str_equal (rows[i - 1].path, rows[i].path);
      seen = same ? seen : 0;
      if ((seen & rows[i].methods) != 0)
        lt_sheet_fault (sheet, rows[i].row, LT_COLUMN_PATH, rows[i].path,
                        "one route per path and method; row %d has it",
                        rows[i - 1].row);
      seen |= rows[i].methods;
    }
}

void
lt_sheet_build_routes (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_ROUTE];
  lt_sheet_names_t names
      = lt_sheet_names_create (sheet, LT_KIND_ROUTE, LT_COLUMN_NAME);
  path_row_t *paths = lt_alloc (rows->count * sizeof (path_row_t));
  for (uint32_t i = 0; i < rows->count; i++)
    {
      build_route (b, &rows->items[i]);
      const lt_route_t *route = &b->patch->routes.items[i].row;
      paths[i] = (path_row_t){ route->path, rows->items[i].row,
                               lt_methods_parse (route->methods) };
    }
  check_paths (sheet, paths, rows->count);
  free (paths);
  lt_sheet_names_destroy (&names);
}

static int64_t
read_time (lt_sheet_t *sheet, const lt_sheet_row_t *row, lt_column_t column)
{
  str_t text = lt_sheet_value (sheet, LT_KIND_STOP, row, column);
  int64_t wall_us = 0;
  int err = lt_value_time (text, &wall_us);
  if (err == -LT_ENOTFOUND)
    lt_sheet_fault (sheet, row->row, column, text,
                    "a time that exists; clocks are set forward over it");
  else if (err == -LT_ECONFLICT)
    lt_sheet_fault (sheet, row->row, column, text,
                    "a time with an offset such as +01:00; clocks are set "
                    "back and show it twice");
  else if (err != 0)
    lt_sheet_fault (sheet, row->row, column, text,
                    "YYYY-MM-DD HH:MM and an offset or time zone, such as "
                    "+01:00 or Europe/Ljubljana");
  return wall_us;
}

void
lt_sheet_build_stops (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_STOP];
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_sheet_row_t *row = &rows->items[i];
      lt_patch_stop_t *stop = LT_VEC_PUSH (&b->patch->stops);
      stop->upstream
          = lt_sheet_reference (sheet, LT_KIND_STOP, row, LT_COLUMN_TARGET,
                                &b->upstreams, LT_KIND_UPSTREAM);
      size_t errors = sheet->errors;
      stop->row.starts_wall_us = read_time (sheet, row, LT_COLUMN_STARTS);
      stop->row.ends_wall_us = read_time (sheet, row, LT_COLUMN_ENDS);
      if (sheet->errors == errors
          && stop->row.ends_wall_us <= stop->row.starts_wall_us)
        lt_sheet_fault (
            sheet, row->row, LT_COLUMN_ENDS,
            lt_sheet_value (sheet, LT_KIND_STOP, row, LT_COLUMN_ENDS),
            "a time after the start");
      for (uint32_t k = 0; k < i && sheet->errors == errors; k++)
        {
          const lt_patch_stop_t *other = &b->patch->stops.items[k];
          if (str_equal (other->upstream, stop->upstream)
              && other->row.starts_wall_us == stop->row.starts_wall_us
              && other->row.ends_wall_us == stop->row.ends_wall_us)
            lt_sheet_fault (sheet, row->row, LT_COLUMN_TARGET, stop->upstream,
                            "each stop once; row %d is the same",
                            rows->items[k].row);
        }
    }
}
