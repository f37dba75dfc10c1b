/** @file
    The rows of a sheet as text, read from CSV.  */
#ifndef LT_CONFIG_SHEET_ROWS_H
#define LT_CONFIG_SHEET_ROWS_H

#include "arena.h"
#include "lt/config/sheet.h"

#define LT_SHEET_COLUMNS(X)                                                   \
  X (KIND, "kind")                                                            \
  X (NAME, "name")                                                            \
  X (DAY, "day")                                                              \
  X (ROWS, "rows")                                                            \
  X (WORKSPACE, "workspace")                                                  \
  X (RATE, "rate_per_s")                                                      \
  X (BURST, "burst")                                                          \
  X (KEY_HASH, "key_hash")                                                    \
  X (KEY, "key")                                                              \
  X (FLOOR, "floor_percent")                                                  \
  X (SERVICE, "service")                                                      \
  X (REGION, "region")                                                        \
  X (DOMAIN, "failure_domain")                                                \
  X (ADDRESS, "address")                                                      \
  X (SLOTS, "slots")                                                          \
  X (CONNECTIONS, "connections")                                              \
  X (PATH, "path")                                                            \
  X (METHODS, "methods")                                                      \
  X (ACCESS, "access")                                                        \
  X (ACTION, "action")                                                        \
  X (HEDGE, "hedge")                                                          \
  X (TIMEOUT, "timeout_ms")                                                   \
  X (MAX_BODY, "max_body_bytes")                                              \
  X (WORKSPACES, "workspaces")                                                \
  X (TARGET, "target")                                                        \
  X (STARTS, "starts")                                                        \
  X (ENDS, "ends")                                                            \
  X (REGIONS, "allowed_regions")                                              \
  X (COMMENT, "comment")

#define LT_SHEET_COLUMN_ENUM(id, text) LT_COLUMN_##id,
typedef enum lt_column
{
  LT_SHEET_COLUMNS (LT_SHEET_COLUMN_ENUM) LT_COLUMN_COUNT
} lt_column_t;
#undef LT_SHEET_COLUMN_ENUM

typedef enum lt_sheet_kind
{
  LT_KIND_SHEET,
  LT_KIND_WORKSPACE,
  LT_KIND_LIMIT,
  LT_KIND_KEY,
  LT_KIND_SERVICE,
  LT_KIND_UPSTREAM,
  LT_KIND_ROUTE,
  LT_KIND_STOP,
  LT_KIND_COUNT
} lt_sheet_kind_t;

/** One data row; ROW is its row number in a spreadsheet.  */
typedef struct lt_sheet_row
{
  int row;
  uint32_t first_value; /**< Values of the kind's columns follow. */
} lt_sheet_row_t;

typedef LT_VEC (lt_sheet_row_t) lt_sheet_row_list_t;

typedef struct lt_sheet
{
  const lt_sheet_options_t *options;
  lt_findings_t *findings;
  size_t listed;   /**< Findings in the list that this sheet has added. */
  size_t unlisted; /**< Findings beyond options->max_findings. */
  size_t errors;
  uint32_t missing; /**< Columns that rows need and the header lacks. */
  int data_rows;    /**< Rows with content after the header. */
  int rows_before;  /**< Data rows up to and including the sheet row. */
  lt_buf_t texts;   /**< Length-prefixed values. */
  LT_VEC (uint32_t) values; /**< Offsets into texts. */
  lt_sheet_row_list_t rows[LT_KIND_COUNT];
} lt_sheet_t;

const char *lt_column_name (lt_column_t column);
const char *lt_sheet_kind_name (lt_sheet_kind_t kind);
/** Adds an error; the value of a key column is left out.  */
void lt_sheet_fault (lt_sheet_t *sheet, int row, lt_column_t column,
                     str_t value, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
/** Adds a warning; the same otherwise.  */
void lt_sheet_warn (lt_sheet_t *sheet, int row, lt_column_t column,
                    str_t value, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
/** Reads TEXT into SHEET; faults become findings.  */
void lt_sheet_read (lt_sheet_t *sheet, str_t text);
/** Returns a value of ROW; COLUMN must be used by KIND.  */
str_t lt_sheet_value (const lt_sheet_t *sheet, lt_sheet_kind_t kind,
                      const lt_sheet_row_t *row, lt_column_t column);
void lt_sheet_clear (lt_sheet_t *sheet);

#endif
