#include "sheet_build.h"

#include <stdlib.h>

#include "lt/base/error.h"
#include "sheet_value.h"

#define MILLI 1000
#define RATE_MAX_PER_S 10000000LL
#define BURST_MAX 1000000000LL
#define SLOTS_MAX 100000
#define CONNECTIONS_MAX 1000000

int64_t
lt_sheet_number (lt_sheet_t *sheet, lt_sheet_kind_t kind,
                 const lt_sheet_row_t *row, lt_column_t column, int decimals,
                 int64_t low, int64_t high)
{
  str_t text = lt_sheet_value (sheet, kind, row, column);
  int64_t value = 0;
  int err = lt_value_number (text, decimals, &value);
  if (err == -LT_ECONFLICT)
    {
      lt_sheet_fault (sheet, row->row, column, text,
                      "a number without a separator that may be a decimal "
                      "or a thousands separator");
      return low;
    }
  if (err == 0 && value >= low && value <= high)
    return value;
  if (decimals == 0)
    lt_sheet_fault (sheet, row->row, column, text,
                    "a whole number from %lld to %lld", (long long)low,
                    (long long)high);
  else
    lt_sheet_fault (sheet, row->row, column, text,
                    "a number from 0.001 to %lld with at most %d decimals",
                    (long long)(high / MILLI), decimals);
  return low;
}

str_t
lt_sheet_reference (lt_sheet_t *sheet, lt_sheet_kind_t kind,
                    const lt_sheet_row_t *row, lt_column_t column,
                    const lt_sheet_names_t *names, lt_sheet_kind_t target)
{
  str_t text = lt_sheet_value (sheet, kind, row, column);
  lt_sheet_name_t *entry = lt_sheet_names_find (names, text);
  if (entry == NULL)
    lt_sheet_fault (sheet, row->row, column, text,
                    "the name of one of the %s rows",
                    lt_sheet_kind_name (target));
  else
    entry->used = true;
  return text;
}

void
lt_sheet_build_head (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_SHEET];
  if (rows->count != 1)
    {
      lt_sheet_fault (sheet, rows->count == 0 ? 0 : rows->items[1].row,
                      LT_COLUMN_KIND, str_make (NULL, 0),
                      "exactly one sheet row; there are %u", rows->count);
      return;
    }
  const lt_sheet_row_t *row = &rows->items[0];
  str_t name = lt_sheet_value (sheet, LT_KIND_SHEET, row, LT_COLUMN_NAME);
  if (!lt_value_is_name (name))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_NAME, name,
                    "the name of the deployment");
  str_t day = lt_sheet_value (sheet, LT_KIND_SHEET, row, LT_COLUMN_DAY);
  str_t today = sheet->options->today;
  if (!lt_value_is_day (day))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_DAY, day, "a date YYYY-MM-DD");
  else if (today.len > 0 && !str_equal (day, today))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_DAY, day, "a sheet for %.*s",
                    STR_ARG (today));
  if (sheet->rows_before != 1)
    lt_sheet_fault (sheet, row->row, LT_COLUMN_KIND, STR_LIT ("sheet"),
                    "the sheet row as the first row after the header");
  int found = sheet->data_rows - sheet->rows_before;
  size_t errors = sheet->errors;
  int64_t stated = lt_sheet_number (sheet, LT_KIND_SHEET, row, LT_COLUMN_ROWS,
                                    0, 0, INT32_MAX);
  if (sheet->errors == errors && stated != found)
    lt_sheet_fault (sheet, row->row, LT_COLUMN_ROWS,
                    lt_sheet_value (sheet, LT_KIND_SHEET, row, LT_COLUMN_ROWS),
                    "%d, the count of rows that follow; rows may be missing",
                    found);
  b->patch->head.deployment = name;
  b->patch->head.day = day;
}

void
lt_sheet_build_workspaces (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_LIMIT];
  lt_sheet_names_t limited
      = lt_sheet_names_create (sheet, LT_KIND_LIMIT, LT_COLUMN_WORKSPACE);
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_sheet_row_t *row = &rows->items[i];
      lt_workspace_t *workspace = LT_VEC_PUSH (&b->patch->workspaces);
      workspace->name
          = lt_sheet_reference (sheet, LT_KIND_LIMIT, row, LT_COLUMN_WORKSPACE,
                                &b->workspaces, LT_KIND_WORKSPACE);
      const lt_sheet_name_t *entry
          = lt_sheet_names_find (&b->workspaces, workspace->name);
      if (entry != NULL)
        workspace->allowed_regions
            = b->workspace_regions[entry - b->workspaces.items];
      workspace->rate_milli_per_s
          = lt_sheet_number (sheet, LT_KIND_LIMIT, row, LT_COLUMN_RATE, 3, 1,
                             RATE_MAX_PER_S * MILLI);
      workspace->burst = lt_sheet_number (sheet, LT_KIND_LIMIT, row,
                                          LT_COLUMN_BURST, 0, 1, BURST_MAX);
    }
  for (uint32_t i = 0; i < b->workspaces.count; i++)
    if (lt_sheet_names_find (&limited, b->workspaces.items[i].name) == NULL)
      lt_sheet_fault (sheet, b->workspaces.items[i].row, LT_COLUMN_NAME,
                      b->workspaces.items[i].name,
                      "a limit row for this workspace");
  lt_sheet_names_destroy (&limited);
}

static lt_digest_t
read_key_hash (lt_sheet_t *sheet, const lt_sheet_row_t *row)
{
  lt_digest_t hash = { { 0 } };
  str_t hex = lt_sheet_value (sheet, LT_KIND_KEY, row, LT_COLUMN_KEY_HASH);
  str_t secret = lt_sheet_value (sheet, LT_KIND_KEY, row, LT_COLUMN_KEY);
  if ((hex.len > 0) == (secret.len > 0))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_KEY_HASH, hex,
                    "either key_hash or key");
  else if (hex.len > 0 && lt_digest_parse (hex, &hash) != 0)
    lt_sheet_fault (sheet, row->row, LT_COLUMN_KEY_HASH, hex,
                    "64 hexadecimal digits");
  else if (secret.len > 0 && !lt_value_is_secret (secret))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_KEY, secret,
                    "8 to 256 letters, digits or \"-._~+/=\"");
  else if (secret.len > 0)
    hash = lt_key_hash (sheet->options->hash_secret, secret);
  return hash;
}

typedef struct hashed_row
{
  lt_digest_t hash;
  int row;
} hashed_row_t;

static int
by_hash_and_row (const void *a, const void *b)
{
  const hashed_row_t *x = a;
  const hashed_row_t *y = b;
  str_t left = str_make ((const char *)x->hash.bytes, LT_DIGEST_BYTES);
  str_t right = str_make ((const char *)y->hash.bytes, LT_DIGEST_BYTES);
  int order = str_compare (left, right);
  return order != 0 ? order : x->row - y->row;
}

/* One secret for two keys would leave open whose workspace a request is for.
 */
static void
check_hashes (lt_sheet_t *sheet, hashed_row_t *hashed, uint32_t count)
{
  if (count > 0)
    qsort (hashed, count, sizeof (*hashed), by_hash_and_row);
  for (uint32_t i = 1; i < count; i++)
    if (lt_digest_equal (&hashed[i - 1].hash, &hashed[i].hash))
      lt_sheet_fault (sheet, hashed[i].row, LT_COLUMN_KEY, str_make (NULL, 0),
                      "a key of its own; row %d has the same key",
                      hashed[i - 1].row);
}

void
lt_sheet_build_keys (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_KEY];
  lt_sheet_names_t names
      = lt_sheet_names_create (sheet, LT_KIND_KEY, LT_COLUMN_NAME);
  hashed_row_t *hashed = lt_alloc (rows->count * sizeof (hashed_row_t));
  uint32_t valid = 0;
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_sheet_row_t *row = &rows->items[i];
      lt_patch_key_t *key = LT_VEC_PUSH (&b->patch->keys);
      key->row.name = lt_sheet_value (sheet, LT_KIND_KEY, row, LT_COLUMN_NAME);
      key->workspace
          = lt_sheet_reference (sheet, LT_KIND_KEY, row, LT_COLUMN_WORKSPACE,
                                &b->workspaces, LT_KIND_WORKSPACE);
      size_t errors = sheet->errors;
      key->row.hash = read_key_hash (sheet, row);
      if (sheet->errors == errors)
        hashed[valid++] = (hashed_row_t){ key->row.hash, row->row };
    }
  check_hashes (sheet, hashed, valid);
  free (hashed);
  lt_sheet_names_destroy (&names);
}

void
lt_sheet_build_services (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_SERVICE];
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_sheet_row_t *row = &rows->items[i];
      lt_service_t *service = LT_VEC_PUSH (&b->patch->services);
      service->name
          = lt_sheet_value (sheet, LT_KIND_SERVICE, row, LT_COLUMN_NAME);
      service->floor_percent = (int32_t)lt_sheet_number (
          sheet, LT_KIND_SERVICE, row, LT_COLUMN_FLOOR, 0, 0, 100);
    }
}

typedef struct addressed_row
{
  str_t service;
  str_t address;
  int row;
} addressed_row_t;

static int
by_address_and_row (const void *a, const void *b)
{
  const addressed_row_t *x = a;
  const addressed_row_t *y = b;
  int order = str_compare (x->service, y->service);
  if (order == 0)
    order = str_compare (x->address, y->address);
  return order != 0 ? order : x->row - y->row;
}

/* Two upstreams at one address would count its slots twice.  */
static void
check_addresses (lt_sheet_t *sheet, addressed_row_t *rows, uint32_t count)
{
  if (count > 0)
    qsort (rows, count, sizeof (*rows), by_address_and_row);
  for (uint32_t i = 1; i < count; i++)
    if (str_equal (rows[i - 1].service, rows[i].service)
        && str_equal (rows[i - 1].address, rows[i].address))
      lt_sheet_fault (sheet, rows[i].row, LT_COLUMN_ADDRESS, rows[i].address,
                      "one upstream of a service per address; row %d has it",
                      rows[i - 1].row);
}

static str_t
read_name (lt_sheet_t *sheet, const lt_sheet_row_t *row, lt_column_t column)
{
  str_t name = lt_sheet_value (sheet, LT_KIND_UPSTREAM, row, column);
  if (!lt_value_is_name (name))
    lt_sheet_fault (sheet, row->row, column, name, "the name of a %s",
                    column == LT_COLUMN_REGION ? "region" : "failure domain");
  return name;
}

static void
build_upstream (lt_sheet_build_t *b, const lt_sheet_row_t *row)
{
  lt_sheet_t *sheet = b->sheet;
  lt_patch_upstream_t *upstream = LT_VEC_PUSH (&b->patch->upstreams);
  lt_upstream_t *u = &upstream->row;
  u->name = lt_sheet_value (sheet, LT_KIND_UPSTREAM, row, LT_COLUMN_NAME);
  upstream->service
      = lt_sheet_reference (sheet, LT_KIND_UPSTREAM, row, LT_COLUMN_SERVICE,
                            &b->services, LT_KIND_SERVICE);
  u->region = read_name (sheet, row, LT_COLUMN_REGION);
  u->failure_domain = read_name (sheet, row, LT_COLUMN_DOMAIN);
  u->address
      = lt_sheet_value (sheet, LT_KIND_UPSTREAM, row, LT_COLUMN_ADDRESS);
  if (!lt_value_is_address (u->address))
    lt_sheet_fault (sheet, row->row, LT_COLUMN_ADDRESS, u->address,
                    "ip:port, or [ip]:port for IPv6");
  size_t errors = sheet->errors;
  u->slots = (int32_t)lt_sheet_number (sheet, LT_KIND_UPSTREAM, row,
                                       LT_COLUMN_SLOTS, 0, 1, SLOTS_MAX);
  u->connections = (int32_t)lt_sheet_number (sheet, LT_KIND_UPSTREAM, row,
                                             LT_COLUMN_CONNECTIONS, 0, 1,
                                             CONNECTIONS_MAX);
  if (sheet->errors == errors && u->slots > u->connections)
    lt_sheet_fault (
        sheet, row->row, LT_COLUMN_CONNECTIONS,
        lt_sheet_value (sheet, LT_KIND_UPSTREAM, row, LT_COLUMN_CONNECTIONS),
        "at least as many connections as slots (%d)", u->slots);
}

void
lt_sheet_build_upstreams (lt_sheet_build_t *b)
{
  lt_sheet_t *sheet = b->sheet;
  const lt_sheet_row_list_t *rows = &sheet->rows[LT_KIND_UPSTREAM];
  addressed_row_t *addressed
      = lt_alloc (rows->count * sizeof (addressed_row_t));
  for (uint32_t i = 0; i < rows->count; i++)
    {
      build_upstream (b, &rows->items[i]);
      const lt_patch_upstream_t *u = &b->patch->upstreams.items[i];
      addressed[i] = (addressed_row_t){ u->service, u->row.address,
                                        rows->items[i].row };
    }
  check_addresses (sheet, addressed, rows->count);
  free (addressed);
  for (uint32_t i = 0; i < b->services.count; i++)
    if (!b->services.items[i].used)
      lt_sheet_fault (sheet, b->services.items[i].row, LT_COLUMN_NAME,
                      b->services.items[i].name,
                      "at least one upstream row for this service");
}
