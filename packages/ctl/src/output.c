#include "output.h"

#include <stdlib.h>
#include <string.h>

enum
{
  COLUMNS_MAX = 16,
  GAP = 2
};

const char *
lt_ctl_text (const json_t *object, const char *member)
{
  const char *text = json_string_value (json_object_get (object, member));
  return text == NULL ? "" : text;
}

int64_t
lt_ctl_number (const json_t *object, const char *member)
{
  return json_integer_value (json_object_get (object, member));
}

void
lt_ctl_print_json (lt_ctl_t *ctl, const json_t *value)
{
  json_dumpf (value, ctl->out, JSON_INDENT (2) | JSON_ENCODE_ANY);
  fputc ('\n', ctl->out);
}

/* Returns a cell as text owned by the caller.  */
static char *
cell_text (const json_t *value)
{
  lt_buf_t text = { 0 };
  if (json_is_string (value))
    lt_buf_printf (&text, "%s", json_string_value (value));
  else if (json_is_boolean (value))
    lt_buf_printf (&text, "%s", json_is_true (value) ? "yes" : "no");
  else if (json_is_integer (value))
    lt_buf_printf (&text, "%lld", (long long)json_integer_value (value));
  else if (json_is_real (value))
    lt_buf_printf (&text, "%.3f", json_real_value (value));
  else
    lt_buf_printf (&text, "-");
  /* Control characters in a name must not reach the terminal.  */
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.data[i] < 0x20 || text.data[i] == 0x7f)
      text.data[i] = '?';
  return text.data;
}

/* Counts characters, not bytes, so that accents keep columns aligned.  */
static size_t
width_of (const char *text)
{
  size_t width = 0;
  for (; *text != '\0'; text++)
    width += ((unsigned char)*text & 0xc0) != 0x80;
  return width;
}

static void
print_cell (FILE *out, const char *text, size_t width, bool last)
{
  fputs (text, out);
  if (last)
    fputc ('\n', out);
  else
    for (size_t i = width_of (text); i < width + GAP; i++)
      fputc (' ', out);
}

void
lt_ctl_print_table (lt_ctl_t *ctl, const json_t *rows,
                    const lt_ctl_column_t *columns, size_t count)
{
  size_t widths[COLUMNS_MAX] = { 0 };
  size_t row_count = json_array_size (rows);
  char **cells = lt_alloc ((row_count + 1) * count * sizeof (char *));
  for (size_t c = 0; c < count; c++)
    cells[c] = str_dup (str_from (columns[c].header));
  for (size_t r = 0; r < row_count; r++)
    for (size_t c = 0; c < count; c++)
      cells[(r + 1) * count + c] = cell_text (
          json_object_get (json_array_get (rows, r), columns[c].member));
  for (size_t i = 0; i < (row_count + 1) * count; i++)
    if (width_of (cells[i]) > widths[i % count])
      widths[i % count] = width_of (cells[i]);
  for (size_t i = 0; i < (row_count + 1) * count; i++)
    {
      size_t c = i % count;
      print_cell (ctl->out, cells[i], widths[c], c + 1 == count);
      free (cells[i]);
    }
  free (cells);
}

void
lt_ctl_print_findings (lt_ctl_t *ctl, const json_t *findings,
                       const char *source)
{
  lt_findings_t list = { 0 };
  size_t i;
  json_t *item;
  json_array_foreach (findings, i, item)
  {
    const char *place = lt_ctl_text (item, "source");
    bool warning = strcmp (lt_ctl_text (item, "severity"), "warning") == 0;
    if (source[0] != '\0' && strcmp (place, "sheet") == 0)
      place = source;
    lt_findings_add (&list, warning ? LT_SEVERITY_WARNING : LT_SEVERITY_ERROR,
                     str_from (place), (int)lt_ctl_number (item, "row"),
                     str_from (lt_ctl_text (item, "column")),
                     str_from (lt_ctl_text (item, "value")), "%s",
                     lt_ctl_text (item, "expected"));
  }
  lt_buf_t text = { 0 };
  lt_findings_print (&list, &text);
  if (text.len > 0)
    fwrite (text.data, 1, text.len, ctl->out);
  lt_buf_destroy (&text);
  lt_findings_destroy (&list);
}

json_t *
lt_ctl_findings_json (const lt_findings_t *findings)
{
  json_t *array = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const lt_finding_t *f = &findings->items[i];
      json_array_append_new (
          array,
          json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s}", "severity",
                     f->severity == LT_SEVERITY_ERROR ? "error" : "warning",
                     "source", f->source, "row", f->row, "column", f->column,
                     "value", f->value, "expected", f->expected));
    }
  return array;
}
