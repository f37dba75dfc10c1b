#include "lt/config/sheet.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "sheet_build.h"
#include "sheet_value.h"

enum
{
  SHEET_MAX_BYTES = 256 * 1024 * 1024
};

lt_digest_t
lt_key_hash (str_t hash_secret, str_t secret)
{
  return lt_digest_make (hash_secret, secret);
}

bool
lt_name_is_valid (str_t name)
{
  return lt_value_is_name (name);
}

static int
by_row (const void *a, const void *b)
{
  const lt_finding_t *x = a;
  const lt_finding_t *y = b;
  int order = (x->row > y->row) - (x->row < y->row);
  if (order == 0)
    order = strcmp (x->column, y->column);
  return order != 0 ? order : strcmp (x->expected, y->expected);
}

/* The checks run kind by kind; people read findings row by row.  */
static void
order_findings (lt_sheet_t *sheet)
{
  lt_findings_t *list = sheet->findings;
  size_t first = list->count - sheet->listed;
  if (sheet->listed > 1)
    qsort (list->items + first, sheet->listed, sizeof (list->items[0]),
           by_row);
  if (sheet->unlisted > 0)
    lt_findings_add (list, LT_SEVERITY_ERROR, sheet->options->source, 0,
                     str_make (NULL, 0), str_make (NULL, 0),
                     "%zu more findings are not listed", sheet->unlisted);
}

static void
build_patch (lt_sheet_build_t *b)
{
  b->workspaces
      = lt_sheet_names_create (b->sheet, LT_KIND_WORKSPACE, LT_COLUMN_NAME);
  b->services
      = lt_sheet_names_create (b->sheet, LT_KIND_SERVICE, LT_COLUMN_NAME);
  b->upstreams
      = lt_sheet_names_create (b->sheet, LT_KIND_UPSTREAM, LT_COLUMN_NAME);
  lt_sheet_build_head (b);
  lt_sheet_build_workspace_regions (b);
  lt_sheet_build_workspaces (b);
  lt_sheet_build_keys (b);
  lt_sheet_build_services (b);
  lt_sheet_build_upstreams (b);
  lt_sheet_build_routes (b);
  lt_sheet_build_stops (b);
  lt_sheet_check_regions (b);
  free (b->workspace_regions);
  if (b->sheet->options->advise)
    lt_sheet_advise (b);
  lt_sheet_names_destroy (&b->workspaces);
  lt_sheet_names_destroy (&b->services);
  lt_sheet_names_destroy (&b->upstreams);
}

int
lt_sheet_parse (str_t text, const lt_sheet_options_t *options,
                lt_findings_t *findings, lt_snapshot_t **snapshot)
{
  lt_sheet_t sheet = { .options = options, .findings = findings };
  if (text.len > SHEET_MAX_BYTES)
    lt_sheet_fault (&sheet, 0, LT_COLUMN_COUNT, str_make (NULL, 0),
                    "at most %d bytes", SHEET_MAX_BYTES);
  else
    lt_sheet_read (&sheet, text);
  lt_sheet_build_t build = { .sheet = &sheet, .patch = lt_patch_create () };
  build_patch (&build);
  int err = sheet.errors > 0 ? -LT_EFINDINGS : 0;
  if (err == 0)
    err = lt_patch_apply (NULL, build.patch, snapshot);
  /* The checks above are meant to be complete; this keeps a gap in them from
     passing without a finding.  */
  if (err == -LT_EINVAL)
    {
      lt_sheet_fault (&sheet, 0, LT_COLUMN_COUNT, str_make (NULL, 0),
                      "rows that are consistent with each other");
      err = -LT_EFINDINGS;
    }
  order_findings (&sheet);
  lt_patch_destroy (build.patch);
  lt_sheet_clear (&sheet);
  return err;
}
