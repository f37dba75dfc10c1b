#include "regions.h"

#include <stdlib.h>

#include "arena.h"
#include "lt/base/error.h"

static int
compare_names (const void *a, const void *b)
{
  return str_compare (*(const str_t *)a, *(const str_t *)b);
}

uint64_t
lt_region_names_add (lt_region_names_t *names, str_t name)
{
  uint32_t i = 0;
  while (i < names->count && !str_equal (names->items[i], name))
    i++;
  if (i == LT_REGIONS_MAX)
    {
      names->overflow = true;
      return 0;
    }
  if (i == names->count)
    names->items[names->count++] = name;
  return 1ULL << i;
}

int
lt_regions_build (lt_snapshot_t *snapshot, const lt_region_names_t *names)
{
  if (names->overflow)
    return -LT_EINVAL;
  snapshot->region_count = names->count;
  snapshot->regions
      = lt_arena_alloc (snapshot->arena, names->count * sizeof (str_t));
  for (uint32_t i = 0; i < names->count; i++)
    snapshot->regions[i] = lt_arena_copy (snapshot->arena, names->items[i]);
  if (names->count > 0)
    qsort (snapshot->regions, names->count, sizeof (str_t), compare_names);
  return 0;
}

static const str_t *
find_region (const lt_snapshot_t *snapshot, str_t name)
{
  return snapshot->region_count == 0
             ? NULL
             : bsearch (&name, snapshot->regions, snapshot->region_count,
                        sizeof (str_t), compare_names);
}

uint64_t
lt_regions_mask (const lt_snapshot_t *snapshot, const str_t *list,
                 uint32_t count)
{
  uint64_t mask = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const str_t *found = find_region (snapshot, list[i]);
      if (found != NULL)
        mask |= 1ULL << (found - snapshot->regions);
    }
  return mask;
}

uint32_t
lt_snapshot_region_bit (const lt_snapshot_t *snapshot, str_t region)
{
  /* An upstream whose region is not known is in no allowed region, even if a
     list has an empty name.  */
  const str_t *found = region.len == 0 ? NULL : find_region (snapshot, region);
  return found == NULL ? LT_REGION_BIT_OTHER
                       : (uint32_t)(found - snapshot->regions);
}

uint64_t
lt_region_names_merge (lt_region_names_t *names, const str_t *table,
                       uint64_t mask)
{
  uint64_t merged = 0;
  for (uint32_t i = 0; mask >> i != 0; i++)
    if ((mask & 1ULL << i) != 0)
      merged |= lt_region_names_add (names, table[i]);
  return merged;
}

uint64_t
lt_regions_convert (const lt_snapshot_t *snapshot, const str_t *table,
                    uint64_t mask)
{
  uint64_t converted = 0;
  for (uint32_t i = 0; mask >> i != 0; i++)
    if ((mask & 1ULL << i) != 0)
      converted |= lt_regions_mask (snapshot, &table[i], 1);
  return converted;
}

uint64_t
lt_snapshot_convert_regions (const lt_snapshot_t *from, uint64_t mask,
                             const lt_snapshot_t *to)
{
  return from->regions == to->regions
             ? mask
             : lt_regions_convert (to, from->regions, mask);
}

void
lt_regions_print (const str_t *table, uint64_t mask, lt_buf_t *out)
{
  str_t names[LT_REGIONS_MAX];
  uint32_t count = 0;
  for (uint32_t i = 0; mask >> i != 0; i++)
    if ((mask & 1ULL << i) != 0)
      names[count++] = table[i];
  if (count > 0)
    qsort (names, count, sizeof (str_t), compare_names);
  for (uint32_t i = 0; i < count; i++)
    lt_buf_printf (out, "%s%.*s", i > 0 ? "|" : "", STR_ARG (names[i]));
}

bool
lt_regions_equal (const lt_snapshot_t *a, uint64_t mask,
                  const lt_snapshot_t *b, uint64_t other)
{
  return lt_snapshot_convert_regions (a, mask, b) == other
         && lt_snapshot_convert_regions (b, other, a) == mask;
}
