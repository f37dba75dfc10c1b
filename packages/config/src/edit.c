#include "lt/config/edit.h"

#include <stdlib.h>

#include "lt/base/error.h"
#include "patch.h"
#include "rows.h"
#include "sheet_value.h"

static lt_patch_t *
edit_patch (const lt_snapshot_t *from, const lt_edit_t *edit)
{
  lt_patch_t *patch = lt_patch_create ();
  lt_patch_set_head (patch, from);
  patch->head.version = edit->version;
  patch->head.author = edit->author;
  patch->head.created_wall_us = edit->wall_us;
  return patch;
}

static int
finish (const lt_snapshot_t *old, lt_patch_t *patch, lt_snapshot_t **now)
{
  int err = lt_patch_apply (old, patch, now);
  lt_patch_destroy (patch);
  return err;
}

/* Returns the key with HASH in any state, or NULL.  */
static const lt_key_t *
find_hash (const lt_snapshot_t *snapshot, const lt_digest_t *hash)
{
  for (uint32_t i = 0; i < snapshot->key_count; i++)
    if (lt_digest_equal (&snapshot->keys[i].hash, hash))
      return &snapshot->keys[i];
  return NULL;
}

int
lt_edit_add_key (const lt_snapshot_t *old, const lt_edit_t *edit, str_t name,
                 str_t workspace, const lt_digest_t *hash, lt_snapshot_t **now)
{
  if (!lt_value_is_name (name))
    return -LT_EINVAL;
  if (lt_snapshot_find_workspace (old, workspace) == LT_NO_INDEX)
    return -LT_ENOTFOUND;
  if (lt_snapshot_find_key_name (old, name) != NULL
      || find_hash (old, hash) != NULL)
    return -LT_EEXISTS;
  lt_patch_t *patch = edit_patch (old, edit);
  lt_patch_key_t *key = LT_VEC_PUSH (&patch->keys);
  key->row = (lt_key_t){ .name = name, .state = LT_KEY_ISSUED, .hash = *hash };
  key->workspace = workspace;
  return finish (old, patch, now);
}

int
lt_edit_withdraw_key (const lt_snapshot_t *old, const lt_edit_t *edit,
                      str_t name, lt_snapshot_t **now)
{
  const lt_key_t *key = lt_snapshot_find_key_name (old, name);
  if (key == NULL)
    return -LT_ENOTFOUND;
  if (key->state == LT_KEY_WITHDRAWN)
    return -LT_EEXISTS;
  lt_patch_t *patch = edit_patch (old, edit);
  if (key->state == LT_KEY_ISSUED)
    *LT_VEC_PUSH (&patch->removed[LT_ROW_KEY]) = key->name;
  else
    {
      lt_patch_add_row (patch, old, LT_ROW_KEY, (uint32_t)(key - old->keys));
      patch->keys.items[0].row.state = LT_KEY_WITHDRAWN;
    }
  return finish (old, patch, now);
}

/* Returns whether the floor holds when UPSTREAM is drained as well.  */
static bool
floor_holds (const lt_snapshot_t *s, uint32_t upstream)
{
  const lt_service_t *service = &s->services[s->upstreams[upstream].service];
  int64_t all = 0;
  int64_t left = 0;
  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      uint32_t at = service->first_upstream + i;
      all += s->upstreams[at].slots;
      if (at != upstream && !s->upstreams[at].drained
          && !s->upstreams[at].evacuated)
        left += s->upstreams[at].slots;
    }
  return left * 100 >= all * service->floor_percent;
}

int
lt_edit_set_drained (const lt_snapshot_t *old, const lt_edit_t *edit,
                     str_t upstream, bool drained, bool below_floor,
                     lt_snapshot_t **now)
{
  uint32_t index = lt_snapshot_find_upstream (old, upstream);
  if (index == LT_NO_INDEX)
    return -LT_ENOTFOUND;
  if (old->upstreams[index].drained == drained)
    return -LT_EEXISTS;
  if (drained && !below_floor && !floor_holds (old, index))
    return -LT_ERANGE;
  lt_patch_t *patch = edit_patch (old, edit);
  lt_patch_add_row (patch, old, LT_ROW_UPSTREAM, index);
  patch->upstreams.items[0].row.drained = drained;
  return finish (old, patch, now);
}

int
lt_edit_set_evacuated (const lt_snapshot_t *old, const lt_edit_t *edit,
                       str_t domain, bool evacuated, lt_snapshot_t **now)
{
  lt_patch_t *patch = edit_patch (old, edit);
  bool found = false;
  for (uint32_t i = 0; i < old->upstream_count; i++)
    {
      const lt_upstream_t *upstream = &old->upstreams[i];
      if (!str_equal (upstream->failure_domain, domain))
        continue;
      found = true;
      if (upstream->evacuated == evacuated)
        continue;
      lt_patch_add_row (patch, old, LT_ROW_UPSTREAM, i);
      patch->upstreams.items[patch->upstreams.count - 1].row.evacuated
          = evacuated;
    }
  if (patch->upstreams.count > 0)
    return finish (old, patch, now);
  lt_patch_destroy (patch);
  return found ? -LT_EEXISTS : -LT_ENOTFOUND;
}

static void
report_withdrawn (const lt_key_t *old, const lt_key_t *listed,
                  lt_findings_t *findings)
{
  lt_findings_add (findings, LT_SEVERITY_ERROR, STR_LIT ("sheet"), 0,
                   STR_LIT ("name"), listed->name,
                   "a key that is not withdrawn; key \"%.*s\" is, and a new "
                   "key is needed",
                   STR_ARG (old->name));
}

static int
adopt_key (const lt_snapshot_t *old, const lt_key_t *key,
           const lt_snapshot_t *sheet, lt_patch_t *patch,
           lt_findings_t *findings)
{
  if (key->state == LT_KEY_SHEET)
    return 0;
  const lt_key_t *listed = lt_snapshot_find_key_name (sheet, key->name);
  if (listed == NULL)
    listed = lt_snapshot_find_key (sheet, &key->hash);
  if (listed != NULL && key->state == LT_KEY_ISSUED)
    return 0;
  if (listed != NULL)
    {
      report_withdrawn (key, listed, findings);
      return -LT_EFINDINGS;
    }
  str_t workspace = lt_rows_workspace_name (old, key->workspace);
  bool known = lt_snapshot_find_workspace (sheet, workspace) != LT_NO_INDEX;
  if (known || key->state == LT_KEY_WITHDRAWN)
    lt_patch_add_row (patch, old, LT_ROW_KEY, (uint32_t)(key - old->keys));
  return 0;
}

static bool
is_drained (const lt_snapshot_t *s, str_t upstream)
{
  uint32_t index = lt_snapshot_find_upstream (s, upstream);
  return index != LT_NO_INDEX && s->upstreams[index].drained;
}

static bool
contains (const lt_names_t *names, str_t name)
{
  for (uint32_t i = 0; i < names->count; i++)
    if (str_equal (names->items[i], name))
      return true;
  return false;
}

static lt_names_t
evacuated_domains (const lt_snapshot_t *s)
{
  lt_names_t domains = { 0 };
  for (uint32_t i = 0; i < s->upstream_count; i++)
    if (s->upstreams[i].evacuated
        && !contains (&domains, s->upstreams[i].failure_domain))
      *LT_VEC_PUSH (&domains) = s->upstreams[i].failure_domain;
  return domains;
}

/* New upstreams of an evacuated failure domain are evacuated as well.  */
static void
adopt_upstreams (const lt_snapshot_t *old, const lt_snapshot_t *sheet,
                 lt_patch_t *patch)
{
  lt_names_t domains = evacuated_domains (old);
  for (uint32_t i = 0; i < sheet->upstream_count; i++)
    {
      const lt_upstream_t *upstream = &sheet->upstreams[i];
      bool drained = is_drained (old, upstream->name);
      bool evacuated = contains (&domains, upstream->failure_domain);
      if (!drained && !evacuated)
        continue;
      lt_patch_add_row (patch, sheet, LT_ROW_UPSTREAM, i);
      lt_upstream_t *row
          = &patch->upstreams.items[patch->upstreams.count - 1].row;
      row->drained = drained;
      row->evacuated = evacuated;
    }
  free (domains.items);
}

int
lt_edit_adopt_sheet (const lt_snapshot_t *old, const lt_snapshot_t *sheet,
                     const lt_edit_t *edit, lt_findings_t *findings,
                     lt_snapshot_t **now)
{
  lt_patch_t *patch = edit_patch (sheet, edit);
  int err = 0;
  for (uint32_t i = 0; old != NULL && i < old->key_count; i++)
    {
      int key_err = adopt_key (old, &old->keys[i], sheet, patch, findings);
      err = key_err != 0 ? key_err : err;
    }
  if (err != 0)
    {
      lt_patch_destroy (patch);
      return err;
    }
  if (old != NULL)
    adopt_upstreams (old, sheet, patch);
  return finish (sheet, patch, now);
}
