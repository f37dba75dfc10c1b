/** @file
    Tables of the region names that allowed-region lists use.  */
#ifndef LT_CONFIG_REGIONS_H
#define LT_CONFIG_REGIONS_H

#include "lt/config/snapshot.h"

/** Region names in the order in which they were added, each once.  */
typedef struct lt_region_names
{
  str_t items[LT_REGIONS_MAX];
  uint32_t count;
  bool overflow; /**< There were more than LT_REGIONS_MAX. */
} lt_region_names_t;

/** Returns the bit of NAME as a mask, after adding it if it is new; 0 when
    there is no room.  */
uint64_t lt_region_names_add (lt_region_names_t *names, str_t name);
/** Makes the sorted region table of SNAPSHOT, in its arena.  Returns 0, or
    -LT_EINVAL when there were too many names.  */
int lt_regions_build (lt_snapshot_t *snapshot, const lt_region_names_t *names);
/** Returns the mask of the COUNT names of LIST over the table of SNAPSHOT;
    names that the table lacks have no bit.  */
uint64_t lt_regions_mask (const lt_snapshot_t *snapshot, const str_t *list,
                          uint32_t count);

/** Returns MASK, over the names of TABLE, as a mask over NAMES, to which it
    adds those that are new.  */
uint64_t lt_region_names_merge (lt_region_names_t *names, const str_t *table,
                                uint64_t mask);
/** Returns MASK, over the names of TABLE, as a mask over the table of
    SNAPSHOT.  */
uint64_t lt_regions_convert (const lt_snapshot_t *snapshot, const str_t *table,
                             uint64_t mask);
/** Appends the names of MASK over TABLE, sorted and separated by '|'.  */
void lt_regions_print (const str_t *table, uint64_t mask, lt_buf_t *out);
/** Returns whether MASK of A and OTHER of B name the same regions.  */
bool lt_regions_equal (const lt_snapshot_t *a, uint64_t mask,
                       const lt_snapshot_t *b, uint64_t other);

#endif
