#include "lt/base/finding.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static char *
format_text (const char *format, va_list args)
{
  char *text = NULL;
  if (vasprintf (&text, format, args) < 0)
    abort ();
  return text;
}

void
lt_findings_add (lt_findings_t *list, lt_severity_t severity, str_t source,
                 int row, str_t column, str_t value,
                 const char *expected_format, ...)
{
  if (list->count == list->cap)
    {
      list->cap = list->cap == 0 ? 8 : list->cap * 2;
      list->items
          = lt_realloc (list->items, list->cap * sizeof (list->items[0]));
    }
  va_list args;
  va_start (args, expected_format);
  list->items[list->count++] = (lt_finding_t){
    .severity = severity,
    .source = str_dup (source),
    .row = row,
    .column = str_dup (column),
    .value = str_dup (value),
    .expected = format_text (expected_format, args),
  };
  va_end (args);
}

size_t
lt_findings_errors (const lt_findings_t *list)
{
  size_t errors = 0;
  for (size_t i = 0; i < list->count; i++)
    if (list->items[i].severity == LT_SEVERITY_ERROR)
      errors++;
  return errors;
}

void
lt_findings_print (const lt_findings_t *list, lt_buf_t *out)
{
  for (size_t i = 0; i < list->count; i++)
    {
      const lt_finding_t *f = &list->items[i];
      lt_buf_printf (out, "%s", f->source);
      if (f->row > 0)
        lt_buf_printf (out, ":%d", f->row);
      lt_buf_printf (out, ": %s: ",
                     f->severity == LT_SEVERITY_ERROR ? "error" : "warning");
      if (f->column[0] != '\0')
        lt_buf_printf (out, "%s: ", f->column);
      if (f->value[0] != '\0')
        lt_buf_printf (out, "\"%s\": ", f->value);
      lt_buf_printf (out, "%s\n", f->expected);
    }
}

void
lt_findings_destroy (lt_findings_t *list)
{
  for (size_t i = 0; i < list->count; i++)
    {
      free (list->items[i].source);
      free (list->items[i].column);
      free (list->items[i].value);
      free (list->items[i].expected);
    }
  free (list->items);
  *list = (lt_findings_t){ 0 };
}
