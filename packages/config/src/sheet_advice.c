/* Warnings about rows that do not go together.  */
#include <stdlib.h>

#include "sheet_build.h"

#define MILLI 1000

/* A service that requests of a workspace may go to.  */
typedef struct use
{
  uint32_t workspace; /* Position among the names. */
  uint32_t service;
} use_t;

typedef struct advice
{
  const lt_sheet_build_t *build;
  int64_t *slots;      /* Of each service. */
  bool *routed;        /* A route leads to the service. */
  bool *open_to_all;   /* A route for all workspaces does. */
  bool *keyed;         /* The workspace has a key. */
  bool any_keyed;      /* Some workspace has. */
  LT_VEC (use_t) uses; /* Of routes for single workspaces. */
} advice_t;

static uint32_t
position (const lt_sheet_names_t *names, str_t name)
{
  const lt_sheet_name_t *entry = lt_sheet_names_find (names, name);
  return entry == NULL ? LT_NO_INDEX : (uint32_t)(entry - names->items);
}

static bool
has_fault (const lt_sheet_t *sheet, int row)
{
  for (size_t i = 0; i < sheet->findings->count; i++)
    if (sheet->findings->items[i].row == row
        && sheet->findings->items[i].severity == LT_SEVERITY_ERROR)
      return true;
  return false;
}

static void
collect (advice_t *a)
{
  const lt_sheet_build_t *b = a->build;
  for (uint32_t i = 0; i < b->patch->upstreams.count; i++)
    {
      const lt_patch_upstream_t *upstream = &b->patch->upstreams.items[i];
      uint32_t service = position (&b->services, upstream->service);
      if (service != LT_NO_INDEX)
        a->slots[service] += upstream->row.slots;
    }
  for (uint32_t i = 0; i < b->patch->keys.count; i++)
    {
      uint32_t workspace
          = position (&b->workspaces, b->patch->keys.items[i].workspace);
      if (workspace == LT_NO_INDEX)
        continue;
      a->keyed[workspace] = true;
      a->any_keyed = true;
    }
  for (uint32_t i = 0; i < b->patch->routes.count; i++)
    {
      const lt_patch_route_t *route = &b->patch->routes.items[i];
      uint32_t service = position (&b->services, route->service);
      if (service == LT_NO_INDEX)
        continue;
      a->routed[service] = true;
      a->open_to_all[service]
          = a->open_to_all[service] || route->row.all_workspaces;
      for (uint32_t k = 0; k < route->workspace_count; k++)
        {
          uint32_t workspace = position (&b->workspaces, route->workspaces[k]);
          if (workspace != LT_NO_INDEX)
            *LT_VEC_PUSH (&a->uses) = (use_t){ workspace, service };
        }
    }
}

static int
by_workspace (const void *a, const void *b)
{
  const use_t *x = a;
  const use_t *y = b;
  int order = (x->workspace > y->workspace) - (x->workspace < y->workspace);
  return order != 0 ? order
                    : (x->service > y->service) - (x->service < y->service);
}

static void
advise_services (const advice_t *a)
{
  const lt_sheet_names_t *names = &a->build->services;
  for (uint32_t i = 0; i < names->count; i++)
    if (!a->routed[i] && !has_fault (a->build->sheet, names->items[i].row))
      lt_sheet_warn (a->build->sheet, names->items[i].row, LT_COLUMN_NAME,
                     names->items[i].name,
                     "a route that leads to this service");
}

static void
advise_routes (const advice_t *a)
{
  const lt_sheet_build_t *b = a->build;
  for (uint32_t i = 0; i < b->patch->routes.count; i++)
    {
      const lt_patch_route_t *route = &b->patch->routes.items[i];
      int row = b->sheet->rows[LT_KIND_ROUTE].items[i].row;
      bool keyed = route->row.all_workspaces ? a->any_keyed : false;
      for (uint32_t k = 0; k < route->workspace_count; k++)
        {
          uint32_t workspace = position (&b->workspaces, route->workspaces[k]);
          keyed = keyed || (workspace != LT_NO_INDEX && a->keyed[workspace]);
        }
      if (!keyed && route->row.access == LT_ACCESS_KEYED
          && !has_fault (b->sheet, row))
        lt_sheet_warn (b->sheet, row, LT_COLUMN_WORKSPACES, str_make (NULL, 0),
                       "a workspace with a key; no request can use this "
                       "route");
    }
}

/* Returns the slots of the services that requests of WORKSPACE may go to; -1:
   there is no such service.  */
static int64_t
slots_for (const advice_t *a, uint32_t workspace)
{
  int64_t slots = -1;
  for (uint32_t i = 0; i < a->build->services.count; i++)
    if (a->open_to_all[i])
      slots = (slots < 0 ? 0 : slots) + a->slots[i];
  use_t key = { workspace, 0 };
  uint32_t low = 0;
  uint32_t high = a->uses.count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (by_workspace (&a->uses.items[middle], &key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  for (uint32_t i = low;
       i < a->uses.count && a->uses.items[i].workspace == workspace; i++)
    {
      uint32_t service = a->uses.items[i].service;
      bool repeated = i > low && a->uses.items[i - 1].service == service;
      if (!repeated && !a->open_to_all[service])
        slots = (slots < 0 ? 0 : slots) + a->slots[service];
    }
  return slots;
}

static void
advise_limit (const advice_t *a, const lt_workspace_t *limit, int row)
{
  lt_sheet_t *sheet = a->build->sheet;
  int64_t rate = limit->rate_milli_per_s;
  int64_t request_ms = sheet->options->request_ms;
  uint32_t workspace = position (&a->build->workspaces, limit->name);
  if (limit->burst * MILLI < rate)
    lt_sheet_warn (sheet, row, LT_COLUMN_BURST, str_make (NULL, 0),
                   "a burst (%lld) of at least one second of the rate "
                   "(%lld.%03lld)",
                   (long long)limit->burst, (long long)(rate / MILLI),
                   (long long)(rate % MILLI));
  int64_t slots = workspace == LT_NO_INDEX ? -1 : slots_for (a, workspace);
  if (slots >= 0 && request_ms > 0
      && rate > slots * MILLI * MILLI / request_ms)
    lt_sheet_warn (sheet, row, LT_COLUMN_RATE, str_make (NULL, 0),
                   "a rate of at most %lld, which the %lld slots of the "
                   "workspace's services can serve at %lld ms a request",
                   (long long)(slots * MILLI / request_ms), (long long)slots,
                   (long long)request_ms);
}

static void
advise_workspaces (const advice_t *a)
{
  const lt_sheet_build_t *b = a->build;
  for (uint32_t i = 0; i < b->patch->workspaces.count; i++)
    {
      int row = b->sheet->rows[LT_KIND_LIMIT].items[i].row;
      if (!has_fault (b->sheet, row))
        advise_limit (a, &b->patch->workspaces.items[i], row);
    }
  for (uint32_t i = 0; i < b->workspaces.count; i++)
    {
      const lt_sheet_name_t *entry = &b->workspaces.items[i];
      if (has_fault (b->sheet, entry->row))
        continue;
      if (!a->keyed[i])
        lt_sheet_warn (b->sheet, entry->row, LT_COLUMN_NAME, entry->name,
                       "a key of this workspace; no request is of it");
      if (slots_for (a, i) < 0)
        lt_sheet_warn (b->sheet, entry->row, LT_COLUMN_NAME, entry->name,
                       "a route that this workspace may use");
    }
}

void
lt_sheet_advise (lt_sheet_build_t *b)
{
  advice_t a = { .build = b };
  a.slots = lt_alloc ((b->services.count + 1) * sizeof (*a.slots));
  a.routed = lt_alloc ((b->services.count + 1) * sizeof (*a.routed));
  a.open_to_all = lt_alloc ((b->services.count + 1) * sizeof (*a.open_to_all));
  a.keyed = lt_alloc ((b->workspaces.count + 1) * sizeof (*a.keyed));
  collect (&a);
  if (a.uses.count > 0)
    qsort (a.uses.items, a.uses.count, sizeof (use_t), by_workspace);
  advise_services (&a);
  advise_routes (&a);
  advise_workspaces (&a);
  free (a.slots);
  free (a.routed);
  free (a.open_to_all);
  free (a.keyed);
  free (a.uses.items);
}
