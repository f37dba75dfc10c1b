#include "sheet_names.h"

#include <stdlib.h>

#include "sheet_value.h"

static int
by_name_and_row (const void *a, const void *b)
{
  const lt_sheet_name_t *x = a;
  const lt_sheet_name_t *y = b;
  int order = str_compare (x->name, y->name);
  return order != 0 ? order : x->row - y->row;
}

lt_sheet_names_t
lt_sheet_names_create (lt_sheet_t *sheet, lt_sheet_kind_t kind,
                       lt_column_t column)
{
  const lt_sheet_row_list_t *rows = &sheet->rows[kind];
  lt_sheet_names_t names = { 0 };
  names.items = lt_alloc (rows->count * sizeof (lt_sheet_name_t));
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const lt_sheet_row_t *row = &rows->items[i];
      str_t name = lt_sheet_value (sheet, kind, row, column);
      if (lt_value_is_name (name))
        names.items[names.count++]
            = (lt_sheet_name_t){ .name = name, .row = row->row };
      else
        lt_sheet_fault (sheet, row->row, column, name,
                        "a name of 1 to 128 bytes without \"|\" and control "
                        "characters");
    }
  if (names.count > 0)
    qsort (names.items, names.count, sizeof (lt_sheet_name_t),
           by_name_and_row);
  for (uint32_t i = 1; i < names.count; i++)
    if (str_equal (names.items[i - 1].name, names.items[i].name))
      lt_sheet_fault (sheet, names.items[i].row, column, names.items[i].name,
                      "one %s row of this name; row %d has it already",
                      lt_sheet_kind_name (kind), names.items[i - 1].row);
  return names;
}

void
lt_sheet_names_destroy (lt_sheet_names_t *names)
{
  free (names->items);
  *names = (lt_sheet_names_t){ 0 };
}

lt_sheet_name_t *
lt_sheet_names_find (const lt_sheet_names_t *names, str_t name)
{
  uint32_t low = 0;
  uint32_t high = names->count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order = str_compare (names->items[middle].name, name);
      if (order == 0)
        return &names->items[middle];
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}
