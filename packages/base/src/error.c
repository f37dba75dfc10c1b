#include "lt/base/error.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

typedef struct error_entry
{
  int number;
  const char *name;
  const char *text;
} error_entry_t;

#define ERROR_ENTRY(name, number, text) { (number), #name, (text) },
static const error_entry_t errors[] = { LT_ERROR_TABLE (ERROR_ENTRY) };

static const error_entry_t *
error_find (int err)
{
  int number = abs (err);
  for (size_t i = 0; i < sizeof (errors) / sizeof (errors[0]); i++)
    if (errors[i].number == number)
      return &errors[i];
  return NULL;
}

const char *
lt_error_text (int err)
{
  const error_entry_t *entry = error_find (err);
  return entry == NULL ? strerror (abs (err)) : entry->text;
}

const char *
lt_error_name (int err)
{
  const error_entry_t *entry = error_find (err);
  return entry == NULL ? "unknown" : entry->name;
}
