/* Checks of the allowed regions of route and workspace rows.  */
#include <stdlib.h>

#include "lt/base/error.h"
#include "sheet_build.h"
#include "sheet_value.h"

static bool
has_upstreams (const lt_sheet_build_t *b, str_t region)
{
  const lt_sheet_row_list_t *rows = &b->sheet->rows[LT_KIND_UPSTREAM];
  for (uint32_t i = 0; i < rows->count; i++)
    if (str_equal (lt_sheet_value (b->sheet, LT_KIND_UPSTREAM, &rows->items[i],
                                   LT_COLUMN_REGION),
                   region))
      return true;
  return false;
}

/* Adds REGION to the patch, with a finding if it is no upstream's.  */
static uint64_t
add_region (lt_sheet_build_t *b, const lt_sheet_row_t *row, str_t region)
{
  lt_region_names_t *names = &b->patch->regions;
  uint32_t known = names->count;
  bool overflow = names->overflow;
  uint64_t bit = lt_region_names_add (names, region);
  if (names->overflow && !overflow)
    lt_sheet_fault (b->sheet, row->row, LT_COLUMN_REGIONS, region,
                    "at most %d regions in all lists", LT_REGIONS_MAX);
  if (names->count > known && !has_upstreams (b, region))
    lt_sheet_fault (b->sheet, row->row, LT_COLUMN_REGIONS, region,
                    "the region of one of the upstream rows");
  return bit;
}

uint64_t
lt_sheet_read_regions (lt_sheet_build_t *b, lt_sheet_kind_t kind,
                       const lt_sheet_row_t *row)
{
  uint64_t mask = 0;
  str_t list = lt_sheet_value (b->sheet, kind, row, LT_COLUMN_REGIONS);
  if (list.len == 0 || str_equal (list, STR_LIT ("*")))
    return 0;
  while (list.data != NULL)
    {
      str_t name = lt_value_trim (str_split (list, '|', &list));
      uint64_t bit = add_region (b, row, name);
      if ((mask & bit) != 0)
        lt_sheet_fault (b->sheet, row->row, LT_COLUMN_REGIONS, name,
                        "each region once");
      mask |= bit;
    }
  return mask;
}

void
lt_sheet_build_workspace_regions (lt_sheet_build_t *b)
{
  const lt_sheet_row_list_t *rows = &b->sheet->rows[LT_KIND_WORKSPACE];
  b->workspace_regions
      = lt_alloc ((b->workspaces.count + 1) * sizeof (uint64_t));
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_sheet_row_t *row = &rows->items[i];
      str_t name
          = lt_sheet_value (b->sheet, LT_KIND_WORKSPACE, row, LT_COLUMN_NAME);
      uint64_t mask = lt_sheet_read_regions (b, LT_KIND_WORKSPACE, row);
      const lt_sheet_name_t *entry
          = lt_sheet_names_find (&b->workspaces, name);
      if (entry != NULL)
        b->workspace_regions[entry - b->workspaces.items] = mask;
    }
}

/* Returns the regions of each service's upstreams, in the order of the names
   of the services; only regions that lists name have a bit.  */
static uint64_t *
regions_of_services (const lt_sheet_build_t *b)
{
  uint64_t *regions = lt_alloc ((b->services.count + 1) * sizeof (*regions));
  for (uint32_t i = 0; i < b->patch->upstreams.count; i++)
    {
      const lt_patch_upstream_t *upstream = &b->patch->upstreams.items[i];
      const lt_sheet_name_t *service
          = lt_sheet_names_find (&b->services, upstream->service);
      for (uint32_t r = 0; service != NULL && r < b->patch->regions.count; r++)
        if (str_equal (b->patch->regions.items[r], upstream->row.region))
          regions[service - b->services.items] |= 1ULL << r;
    }
  return regions;
}

/* Checks ROUTE, in ROW, together with the workspaces that it names.  */
static void
check_route (lt_sheet_build_t *b, const lt_patch_route_t *route, int row,
             uint64_t served)
{
  uint64_t of_route = route->row.allowed_regions;
  if (of_route != 0 && (of_route & served) == 0)
    {
      lt_sheet_fault (b->sheet, row, LT_COLUMN_REGIONS, route->row.name,
                      "a region in which service \"%.*s\" has upstreams",
                      STR_ARG (route->service));
      return;
    }
  for (uint32_t i = 0; i < route->workspace_count; i++)
    {
      const lt_sheet_name_t *workspace
          = lt_sheet_names_find (&b->workspaces, route->workspaces[i]);
      uint64_t mask
          = workspace == NULL
                ? 0
                : b->workspace_regions[workspace - b->workspaces.items];
      if (mask == 0
          || (mask & served & (of_route != 0 ? of_route : mask)) != 0)
        continue;
      lt_sheet_fault (b->sheet, row, LT_COLUMN_REGIONS, route->row.name,
                      "a region that workspace \"%.*s\" (row %d) allows as "
                      "well and in which service \"%.*s\" has upstreams",
                      STR_ARG (workspace->name), workspace->row,
                      STR_ARG (route->service));
    }
}

void
lt_sheet_check_regions (lt_sheet_build_t *b)
{
  const lt_sheet_row_list_t *rows = &b->sheet->rows[LT_KIND_ROUTE];
  if (b->patch->regions.count == 0)
    return;
  uint64_t *served = regions_of_services (b);
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_patch_route_t *route = &b->patch->routes.items[i];
      const lt_sheet_name_t *service
          = lt_sheet_names_find (&b->services, route->service);
      if (service != NULL)
        check_route (b, route, rows->items[i].row,
                     served[service - b->services.items]);
    }
  free (served);
}
