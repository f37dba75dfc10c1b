/** @file
    Checks the rows of a sheet and turns them into a patch.  */
#ifndef LT_CONFIG_SHEET_BUILD_H
#define LT_CONFIG_SHEET_BUILD_H

#include "patch.h"
#include "sheet_names.h"

typedef struct lt_sheet_build
{
  lt_sheet_t *sheet;
  lt_patch_t *patch;
  lt_sheet_names_t workspaces;
  lt_sheet_names_t services;
  lt_sheet_names_t upstreams;
  uint64_t *workspace_regions; /**< Of the names of WORKSPACES. */
} lt_sheet_build_t;

void lt_sheet_build_head (lt_sheet_build_t *b);
void lt_sheet_build_workspaces (lt_sheet_build_t *b);
void lt_sheet_build_keys (lt_sheet_build_t *b);
void lt_sheet_build_services (lt_sheet_build_t *b);
void lt_sheet_build_upstreams (lt_sheet_build_t *b);
void lt_sheet_build_routes (lt_sheet_build_t *b);
void lt_sheet_build_stops (lt_sheet_build_t *b);
/** Reads the allowed regions of the workspace rows.  */
void lt_sheet_build_workspace_regions (lt_sheet_build_t *b);
/** Reads the allowed regions of ROW as a mask over those of the patch; 0: no
    restriction.  */
uint64_t lt_sheet_read_regions (lt_sheet_build_t *b, lt_sheet_kind_t kind,
                                const lt_sheet_row_t *row);
/** Reports routes whose service has no upstream where they, or they and one of
    the workspaces that they name, are allowed.  */
void lt_sheet_check_regions (lt_sheet_build_t *b);
/** Adds warnings about rows that are valid by themselves.  Rows with faults
   are left out.  */
void lt_sheet_advise (lt_sheet_build_t *b);
/** Returns a number scaled by 10^DECIMALS from LOW to HIGH; a fault gives
    LOW.  */
int64_t lt_sheet_number (lt_sheet_t *sheet, lt_sheet_kind_t kind,
                         const lt_sheet_row_t *row, lt_column_t column,
                         int decimals, int64_t low, int64_t high);
/** Returns the value of COLUMN, which must be in NAMES.  */
str_t lt_sheet_reference (lt_sheet_t *sheet, lt_sheet_kind_t kind,
                          const lt_sheet_row_t *row, lt_column_t column,
                          const lt_sheet_names_t *names,
                          lt_sheet_kind_t target);

#endif
