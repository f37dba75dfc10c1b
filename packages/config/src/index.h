/** @file
    Lookup tables of a snapshot.  */
#ifndef LT_CONFIG_INDEX_H
#define LT_CONFIG_INDEX_H

#include "lt/config/snapshot.h"

typedef struct lt_snapshot_index lt_snapshot_index_t;

/** Bits of a route's methods; 0 for a method that routes cannot name.  */
uint32_t lt_method_bit (str_t method);
/** Parses "GET|POST".  Returns 0 when a part is unknown or repeated.  */
uint32_t lt_methods_parse (str_t methods);
/** Returns false for a path that upstreams may read as another one.  */
bool lt_path_is_canonical (str_t path);
/** Builds the lookup tables in SNAPSHOT's arena.  Returns 0 or -LT_EINVAL when
    two keys have one hash, two upstreams one name, or two routes share path
    and method.  */
int lt_snapshot_build_index (lt_snapshot_t *snapshot);
/** As lt_snapshot_build_index for a snapshot that has the keys and routes of
    BASE and upstreams of its own.  */
int lt_snapshot_derive_index (const lt_snapshot_t *base,
                              lt_snapshot_t *snapshot);

#endif
