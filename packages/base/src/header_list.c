#include "lt/base/header_list.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CONTROL_LAST = 0x1f,
  DELETE = 0x7f
};

bool
lt_is_token_char (char c)
{
  bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                      || (c >= '0' && c <= '9');
  return alphanumeric || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

bool
lt_is_field_char (char c)
{
  unsigned char byte = (unsigned char)c;
  return c == '\t' || (byte > CONTROL_LAST && byte != DELETE);
}

void
lt_header_list_add (lt_header_list_t *list, str_t name, str_t value)
{
  if (list->count == list->cap)
    {
      list->cap = list->cap == 0 ? 16 : list->cap * 2;
      list->items
          = lt_realloc (list->items, list->cap * sizeof (list->items[0]));
    }
  /* Name and value share one allocation.  */
  lt_buf_t both = { 0 };
  lt_buf_append_str (&both, name);
  lt_buf_append_str (&both, value);
  list->items[list->count++]
      = (lt_header_t){ str_make (both.data, name.len),
                       str_make (both.data + name.len, value.len) };
}

str_t
lt_header_list_get (const lt_header_list_t *list, str_t name)
{
  for (size_t i = 0; i < list->count; i++)
    if (str_equal_nocase (list->items[i].name, name))
      return list->items[i].value;
  return str_make (NULL, 0);
}

size_t
lt_header_list_count (const lt_header_list_t *list, str_t name)
{
  size_t count = 0;
  for (size_t i = 0; i < list->count; i++)
    if (str_equal_nocase (list->items[i].name, name))
      count++;
  return count;
}

void
lt_header_list_destroy (lt_header_list_t *list)
{
  for (size_t i = 0; i < list->count; i++)
    free ((char *)list->items[i].name.data);
  free (list->items);
  *list = (lt_header_list_t){ 0 };
}
