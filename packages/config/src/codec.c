#include "lt/base/error.h"
#include "lt/config/snapshot.h"
#include "patch.h"
#include "patch_codec.h"
#include "rows.h"

void
lt_snapshot_encode (const lt_snapshot_t *snapshot, lt_buf_t *out)
{
  lt_patch_t *patch = lt_patch_create ();
  lt_patch_set_head (patch, snapshot);
  for (int kind = 0; kind < LT_ROW_KINDS; kind++)
    for (uint32_t i = 0; i < lt_rows_count (snapshot, (lt_row_kind_t)kind);
         i++)
      lt_patch_add_row (patch, snapshot, (lt_row_kind_t)kind, i);
  lt_patch_encode (patch, out);
  lt_patch_destroy (patch);
}

int
lt_snapshot_decode (str_t bytes, lt_snapshot_t **snapshot)
{
  lt_patch_t *patch = NULL;
  int err = lt_patch_decode (bytes, &patch);
  if (err != 0)
    return err;
  err = lt_patch_apply (NULL, patch, snapshot);
  lt_patch_destroy (patch);
  return err;
}
