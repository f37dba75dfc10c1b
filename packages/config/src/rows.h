/** @file
    Rows of a snapshot by kind and position, and their comparison with rows of
    another snapshot.  */
#ifndef LT_CONFIG_ROWS_H
#define LT_CONFIG_ROWS_H

#include "patch.h"

uint32_t lt_rows_count (const lt_snapshot_t *snapshot, lt_row_kind_t kind);
/** Returns the name of a row; of a stop, that of its upstream.  */
str_t lt_rows_name (const lt_snapshot_t *snapshot, lt_row_kind_t kind,
                    uint32_t index);
/** Returns the position in SNAPSHOT of row INDEX of OTHER: the row with the
    same name, or the equal stop.  LT_NO_INDEX when there is none.  */
uint32_t lt_rows_find (const lt_snapshot_t *snapshot, lt_row_kind_t kind,
                       const lt_snapshot_t *other, uint32_t index);
/** Compares all values; references are equal when their names are.  */
bool lt_rows_equal (lt_row_kind_t kind, const lt_snapshot_t *a, uint32_t i,
                    const lt_snapshot_t *b, uint32_t j);
/** Returns the workspace's name, empty for LT_NO_INDEX.  */
str_t lt_rows_workspace_name (const lt_snapshot_t *snapshot, uint32_t index);

#endif
