/** @file
    Row-level changes from one snapshot to the next.  Rows refer to other rows
    by name, so that they do not depend on positions.  A whole snapshot is a
    patch to the empty one; sheets, deltas and edits are patches as well.  */
#ifndef LT_CONFIG_PATCH_H
#define LT_CONFIG_PATCH_H

#include "arena.h"
#include "lt/config/snapshot.h"
#include "regions.h"

typedef enum lt_row_kind
{
  LT_ROW_WORKSPACE,
  LT_ROW_KEY,
  LT_ROW_SERVICE,
  LT_ROW_UPSTREAM,
  LT_ROW_ROUTE,
  LT_ROW_STOP,
  LT_ROW_KINDS
} lt_row_kind_t;

typedef struct lt_patch_key
{
  lt_key_t row;
  str_t workspace;
} lt_patch_key_t;

typedef struct lt_patch_upstream
{
  lt_upstream_t row;
  str_t service;
} lt_patch_upstream_t;

typedef struct lt_patch_route
{
  lt_route_t row;
  str_t service;
  str_t *workspaces; /**< In the patch's arena. */
  uint32_t workspace_count;
} lt_patch_route_t;

typedef struct lt_patch_stop
{
  lt_stop_t row;
  str_t upstream;
  bool removed; /**< Stops have no name; a removal repeats the row. */
} lt_patch_stop_t;

typedef LT_VEC (str_t) lt_names_t;

/** Texts are views whose bytes outlive the patch.  */
typedef struct lt_patch
{
  lt_snapshot_t head; /**< Version, deployment, day, author and time. */
  int64_t base_version;
  lt_names_t removed[LT_ROW_KINDS];
  LT_VEC (lt_workspace_t) workspaces;
  LT_VEC (lt_patch_key_t) keys;
  LT_VEC (lt_service_t) services;
  LT_VEC (lt_patch_upstream_t) upstreams;
  LT_VEC (lt_patch_route_t) routes;
  LT_VEC (lt_patch_stop_t) stops;
  lt_region_names_t regions; /**< That allowed_regions of rows refer to. */
  lt_arena_t *arena;
} lt_patch_t;

lt_patch_t *lt_patch_create (void);
void lt_patch_destroy (lt_patch_t *patch);
/** Makes *SNAPSHOT from OLD (NULL: empty) and PATCH.  Returns 0 or -LT_EINVAL
    when a reference is unknown, a name is not unique or a value is out of
    range.  */
int lt_patch_apply (const lt_snapshot_t *old, const lt_patch_t *patch,
                    lt_snapshot_t **snapshot);
/** Sets the head of PATCH from SNAPSHOT.  */
void lt_patch_set_head (lt_patch_t *patch, const lt_snapshot_t *snapshot);
/** Adds row INDEX of KIND of SNAPSHOT to PATCH.  */
void lt_patch_add_row (lt_patch_t *patch, const lt_snapshot_t *snapshot,
                       lt_row_kind_t kind, uint32_t index);

#endif
