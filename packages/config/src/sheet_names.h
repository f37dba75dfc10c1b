/** @file
    Names of one kind of row, sorted, with the rows that define them.  */
#ifndef LT_CONFIG_SHEET_NAMES_H
#define LT_CONFIG_SHEET_NAMES_H

#include "sheet_rows.h"

typedef struct lt_sheet_name
{
  str_t name;
  int row;
  bool used;
} lt_sheet_name_t;

typedef struct lt_sheet_names
{
  lt_sheet_name_t *items;
  uint32_t count;
} lt_sheet_names_t;

/** Collects the values of COLUMN in the rows of KIND; reports values that are
    no names, and those that occur twice.  */
lt_sheet_names_t lt_sheet_names_create (lt_sheet_t *sheet,
                                        lt_sheet_kind_t kind,
                                        lt_column_t column);
void lt_sheet_names_destroy (lt_sheet_names_t *names);
/** Returns the entry with NAME, or NULL.  */
lt_sheet_name_t *lt_sheet_names_find (const lt_sheet_names_t *names,
                                      str_t name);

#endif
