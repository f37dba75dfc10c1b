#include "sheet_rows.h"

#include <csv.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sheet_value.h"

enum
{
  FEED_BYTES = 16 * 1024,
  HEADER_MAX_FIELDS = 128,
  VALUE_SHOWN_BYTES = 120
};

#define BIT(column) (1U << LT_COLUMN_##column)

#define COLUMN_TEXT(id, text) text,
static const char *const column_names[] = { LT_SHEET_COLUMNS (COLUMN_TEXT) };

typedef struct kind_info
{
  const char *name;
  uint32_t columns;
} kind_info_t;

static const kind_info_t kinds[LT_KIND_COUNT] = {
  { "sheet", BIT (NAME) | BIT (DAY) | BIT (ROWS) },
  { "workspace", BIT (NAME) | BIT (REGIONS) },
  { "limit", BIT (WORKSPACE) | BIT (RATE) | BIT (BURST) },
  { "key", BIT (NAME) | BIT (WORKSPACE) | BIT (KEY_HASH) | BIT (KEY) },
  { "service", BIT (NAME) | BIT (FLOOR) },
  { "upstream", BIT (NAME) | BIT (SERVICE) | BIT (REGION) | BIT (DOMAIN)
                    | BIT (ADDRESS) | BIT (SLOTS) | BIT (CONNECTIONS) },
  { "route", BIT (NAME) | BIT (PATH) | BIT (METHODS) | BIT (SERVICE)
                 | BIT (ACCESS) | BIT (ACTION) | BIT (HEDGE) | BIT (TIMEOUT)
                 | BIT (MAX_BODY) | BIT (WORKSPACES) | BIT (REGIONS) },
  { "stop", BIT (TARGET) | BIT (STARTS) | BIT (ENDS) },
};

/* State of one read.  */
typedef struct reader
{
  lt_sheet_t *sheet;
  lt_column_t header[HEADER_MAX_FIELDS]; /* LT_COLUMN_COUNT: no name. */
  size_t header_count;
  bool header_done;
  uint32_t present; /* Columns in the header. */
  int row;
  size_t field;
  bool last_filled; /* The field read last has a value. */
  uint32_t filled;  /* Columns of the current row that have a value. */
  uint32_t offsets[LT_COLUMN_COUNT];
  size_t row_start; /* Length of the texts before the current row. */
} reader_t;

const char *
lt_column_name (lt_column_t column)
{
  return column < LT_COLUMN_COUNT ? column_names[column] : "";
}

const char *
lt_sheet_kind_name (lt_sheet_kind_t kind)
{
  return kinds[kind].name;
}

static void
add_finding (lt_sheet_t *sheet, lt_severity_t severity, int row,
             lt_column_t column, str_t value, const char *format, va_list args)
{
  /* The missing column itself has been reported.  */
  if (column < LT_COLUMN_COUNT && (sheet->missing & 1U << column) != 0)
    return;
  if (sheet->listed >= sheet->options->max_findings)
    {
      sheet->unlisted++;
      return;
    }
  sheet->listed++;
  if (column == LT_COLUMN_KEY || column == LT_COLUMN_KEY_HASH)
    value = str_make (NULL, 0);
  /* A cut inside a character would make the finding itself invalid.  */
  if (value.len > VALUE_SHOWN_BYTES)
    value.len = VALUE_SHOWN_BYTES;
  while (value.len > 0 && !str_is_utf8 (value))
    value.len--;
  char *expected = NULL;
  if (vasprintf (&expected, format, args) < 0)
    abort ();
  lt_findings_add (sheet->findings, severity, sheet->options->source, row,
                   str_from (lt_column_name (column)), value, "%s", expected);
  free (expected);
}

void
lt_sheet_fault (lt_sheet_t *sheet, int row, lt_column_t column, str_t value,
                const char *format, ...)
{
  va_list args;
  va_start (args, format);
  sheet->errors++;
  add_finding (sheet, LT_SEVERITY_ERROR, row, column, value, format, args);
  va_end (args);
}

void
lt_sheet_warn (lt_sheet_t *sheet, int row, lt_column_t column, str_t value,
               const char *format, ...)
{
  va_list args;
  va_start (args, format);
  add_finding (sheet, LT_SEVERITY_WARNING, row, column, value, format, args);
  va_end (args);
}

str_t
lt_sheet_value (const lt_sheet_t *sheet, lt_sheet_kind_t kind,
                const lt_sheet_row_t *row, lt_column_t column)
{
  uint32_t before = kinds[kind].columns & ((1U << column) - 1);
  uint32_t at = row->first_value + (uint32_t)__builtin_popcount (before);
  const char *text = sheet->texts.data + sheet->values.items[at];
  uint32_t len;
  memcpy (&len, text, sizeof (len));
  return str_make (text + sizeof (len), len);
}

void
lt_sheet_clear (lt_sheet_t *sheet)
{
  lt_buf_destroy (&sheet->texts);
  free (sheet->values.items);
  for (int kind = 0; kind < LT_KIND_COUNT; kind++)
    free (sheet->rows[kind].items);
}

static uint32_t
keep_text (lt_sheet_t *sheet, str_t text)
{
  uint32_t offset = (uint32_t)sheet->texts.len;
  uint32_t len = (uint32_t)text.len;
  lt_buf_append (&sheet->texts, &len, sizeof (len));
  lt_buf_append_str (&sheet->texts, text);
  return offset;
}

static lt_column_t
find_column (str_t text)
{
  int column = 0;
  while (column < LT_COLUMN_COUNT
         && !str_equal_nocase (text, str_from (column_names[column])))
    column++;
  return (lt_column_t)column;
}

static void
read_header_field (reader_t *r, str_t text)
{
  size_t place = r->header_count++;
  if (place >= HEADER_MAX_FIELDS)
    {
      if (place == HEADER_MAX_FIELDS)
        lt_sheet_fault (r->sheet, r->row, LT_COLUMN_COUNT, text,
                        "at most %d columns", HEADER_MAX_FIELDS);
      return;
    }
  lt_column_t column = find_column (text);
  r->header[place] = column;
  if (column == LT_COLUMN_COUNT && text.len > 0)
    lt_sheet_fault (r->sheet, r->row, LT_COLUMN_COUNT, text,
                    "a known column name in header field %zu", place + 1);
  if (column == LT_COLUMN_COUNT)
    return;
  if ((r->present & 1U << column) != 0)
    lt_sheet_fault (r->sheet, r->row, column, text,
                    "each column name once in the header");
  r->present |= 1U << column;
}

static void
read_data_field (reader_t *r, str_t text)
{
  size_t place = r->field++;
  r->last_filled = text.len > 0;
  if (!r->last_filled)
    return;
  lt_column_t column = place < r->header_count && place < HEADER_MAX_FIELDS
                           ? r->header[place]
                           : LT_COLUMN_COUNT;
  if (column == LT_COLUMN_COUNT)
    {
      /* The value is not shown, as it may be a key.  */
      lt_sheet_fault (r->sheet, r->row, LT_COLUMN_COUNT, str_make (NULL, 0),
                      "no value in field %zu, which has no column name",
                      place + 1);
      r->filled |= 1U << LT_COLUMN_COMMENT;
      return;
    }
  if (!str_is_utf8 (text))
    lt_sheet_fault (r->sheet, r->row, column, text, "valid UTF-8");
  r->filled |= 1U << column;
  r->offsets[column] = keep_text (r->sheet, text);
}

static void
on_field (void *data, size_t len, void *context)
{
  reader_t *r = context;
  str_t text = lt_value_trim (str_make (data, len));
  if (!r->header_done)
    read_header_field (r, text);
  else
    read_data_field (r, text);
}

static int
find_kind (str_t text)
{
  for (int kind = 0; kind < LT_KIND_COUNT; kind++)
    if (str_equal_nocase (text, str_from (kinds[kind].name)))
      return kind;
  return LT_KIND_COUNT;
}

static str_t
current_value (const reader_t *r, lt_column_t column)
{
  if ((r->filled & 1U << column) == 0)
    return str_make (NULL, 0);
  const char *text = r->sheet->texts.data + r->offsets[column];
  uint32_t len;
  memcpy (&len, text, sizeof (len));
  return str_make (text + sizeof (len), len);
}

/* A row that needs a column which the header lacks is told once per column. */
static void
check_columns (reader_t *r, int kind)
{
  uint32_t used = kinds[kind].columns & ~BIT (REGIONS); /* Optional.  */
  uint32_t keys = BIT (KEY) | BIT (KEY_HASH);
  if ((r->present & keys) != 0)
    used &= ~(keys & ~r->present);
  uint32_t missing = used & ~r->present & ~r->sheet->missing;
  for (int column = 0; column < LT_COLUMN_COUNT; column++)
    if ((missing & 1U << column) != 0)
      lt_sheet_fault (r->sheet, r->row, (lt_column_t)column,
                      str_make (NULL, 0),
                      "this column in the header; \"%s\" "
                      "rows need it",
                      kinds[kind].name);
  r->sheet->missing |= missing;
  uint32_t extra
      = r->filled & ~kinds[kind].columns & ~BIT (KIND) & ~BIT (COMMENT);
  for (int column = 0; column < LT_COLUMN_COUNT; column++)
    if ((extra & 1U << column) != 0)
      lt_sheet_fault (r->sheet, r->row, (lt_column_t)column,
                      current_value (r, (lt_column_t)column),
                      "no value; \"%s\" rows do not use this column",
                      kinds[kind].name);
}

static void
keep_row (reader_t *r, int kind)
{
  lt_sheet_t *sheet = r->sheet;
  lt_sheet_row_t *row = LT_VEC_PUSH (&sheet->rows[kind]);
  row->row = r->row;
  row->first_value = sheet->values.count;
  uint32_t empty = keep_text (sheet, str_make (NULL, 0));
  for (int column = 0; column < LT_COLUMN_COUNT; column++)
    if ((kinds[kind].columns & 1U << column) != 0)
      *LT_VEC_PUSH (&sheet->values)
          = (r->filled & 1U << column) != 0 ? r->offsets[column] : empty;
}

static void
end_data_row (reader_t *r)
{
  lt_sheet_t *sheet = r->sheet;
  if (r->filled == 0 || (r->present & BIT (KIND)) == 0)
    return;
  sheet->data_rows++;
  str_t name = current_value (r, LT_COLUMN_KIND);
  int kind = find_kind (name);
  if (kind == LT_KIND_COUNT)
    {
      lt_sheet_fault (sheet, r->row, LT_COLUMN_KIND, name,
                      "sheet, workspace, limit, key, service, upstream, "
                      "route or stop");
      sheet->texts.len = r->row_start;
      return;
    }
  if (kind == LT_KIND_SHEET && sheet->rows[kind].count == 0)
    sheet->rows_before = sheet->data_rows;
  check_columns (r, kind);
  keep_row (r, kind);
}

/* Ends the header row unless it is blank.  */
static void
end_header_row (reader_t *r)
{
  bool blank = true;
  for (size_t i = 0; i < r->header_count && i < HEADER_MAX_FIELDS; i++)
    blank = blank && r->header[i] == LT_COLUMN_COUNT;
  if (blank && r->sheet->errors == 0)
    {
      r->header_count = 0;
      return;
    }
  r->header_done = true;
  if ((r->present & BIT (KIND)) == 0)
    lt_sheet_fault (r->sheet, r->row, LT_COLUMN_KIND, str_make (NULL, 0),
                    "a header line with the column \"kind\"");
}

static void
on_row (int end, void *context)
{
  (void)end;
  reader_t *r = context;
  if (r->header_done)
    end_data_row (r);
  else
    end_header_row (r);
  r->row++;
  r->field = 0;
  r->filled = 0;
  r->row_start = r->sheet->texts.len;
}

/* The separator is the candidate that is most frequent in the first line that
   has one; quoted parts do not count.  */
static unsigned char
find_separator (str_t text)
{
  static const char candidates[] = ",;\t";
  size_t counts[3] = { 0 };
  bool quoted = false;
  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.data[i];
      if (c == '"')
        quoted = !quoted;
      const char *hit = strchr (candidates, c);
      if (!quoted && c != '\0' && hit != NULL)
        counts[hit - candidates]++;
      bool any = counts[0] + counts[1] + counts[2] > 0;
      if (!quoted && (c == '\n' || c == '\r') && any)
        break;
    }
  size_t best = 0;
  for (size_t i = 1; i < 3; i++)
    if (counts[i] > counts[best])
      best = i;
  return (unsigned char)candidates[best];
}

/* Copies a part of TEXT with every line end written as LF, because libcsv
   reports CR LF as two rows.  */
static size_t
feed_part (str_t *text, char out[FEED_BYTES], bool *after_cr)
{
  size_t len = 0;
  size_t used = 0;
  while (used < text->len && len < FEED_BYTES)
    {
      char c = text->data[used++];
      bool second = c == '\n' && *after_cr;
      *after_cr = c == '\r';
      if (!second)
        out[len++] = c == '\r' ? '\n' : c;
    }
  *text = str_make (text->data + used, text->len - used);
  return len;
}

void
lt_sheet_read (lt_sheet_t *sheet, str_t text)
{
  struct csv_parser parser;
  char part[FEED_BYTES];
  reader_t r = { .sheet = sheet, .row = 1 };
  if (str_starts_with (text, STR_LIT ("\xef\xbb\xbf")))
    text = str_make (text.data + 3, text.len - 3);
  if (csv_init (&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL) != 0)
    abort ();
  csv_set_delim (&parser, find_separator (text));
  bool after_cr = false;
  bool failed = false;
  char last = text.len > 0 ? text.data[text.len - 1] : '\n';
  while (text.len > 0 && !failed)
    {
      size_t len = feed_part (&text, part, &after_cr);
      failed = csv_parse (&parser, part, len, on_field, on_row, &r) != len;
    }
  if (failed || csv_fini (&parser, on_field, on_row, &r) != 0)
    lt_sheet_fault (sheet, r.row, LT_COLUMN_COUNT, str_make (NULL, 0),
                    "well-formed quotes from this row to the end; the sheet "
                    "may be truncated");
  csv_free (&parser);
  /* A cut inside the last value could leave another valid value.  */
  if (last != '\n' && last != '\r' && r.last_filled)
    lt_sheet_fault (sheet, r.row - 1, LT_COLUMN_COUNT, str_make (NULL, 0),
                    "a line end after the last row; the sheet may be "
                    "truncated");
  if (!r.header_done)
    lt_sheet_fault (sheet, 1, LT_COLUMN_KIND, str_make (NULL, 0),
                    "a header line with the column \"kind\"");
}
