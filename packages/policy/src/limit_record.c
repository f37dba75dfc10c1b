#include <stdlib.h>
#include <string.h>

#include "limit_record.h"
#include "lt/base/str.h"

/** Copying an empty record frees an array with room for more entries than
    this, so that a burst does not keep memory allocated.  */
#define RETAINED_CAP_MAX 1000

void
lt_limit_record_add (lt_limit_record_t *record, const lt_limit_grant_t *grant)
{
  if (record->count == record->cap)
    {
      record->cap = record->cap == 0 ? 16 : 2 * record->cap;
      record->grants = lt_realloc (record->grants,
                                   record->cap * sizeof (*record->grants));
    }
  record->grants[record->count++] = *grant;
}

void
lt_limit_record_copy (lt_limit_record_t *to, const lt_limit_record_t *from)
{
  if (from->count == 0 && to->cap > RETAINED_CAP_MAX)
    lt_limit_record_destroy (to);
  lt_limit_grant_t *grants = to->grants;
  size_t cap = to->cap;
  *to = *from;
  to->grants = grants;
  to->cap = cap;
  to->count = 0;
  for (size_t i = 0; i < from->count; i++)
    lt_limit_record_add (to, &from->grants[i]);
}

void
lt_limit_record_destroy (lt_limit_record_t *record)
{
  free (record->grants);
  *record = (lt_limit_record_t){ 0 };
}

bool
lt_limit_vm_equal (const lt_limit_vm_t *a, const lt_limit_vm_t *b)
{
  return memcmp (a, b, sizeof (*a)) == 0;
}

lt_limit_grant_t *
lt_limit_record_find (lt_limit_record_t *record, const lt_limit_vm_t *vm,
                      uint64_t workspace)
{
  for (size_t i = 0; i < record->count; i++)
    {
      lt_limit_grant_t *grant = &record->grants[i];
      if (grant->workspace == workspace && lt_limit_vm_equal (&grant->vm, vm))
        return grant;
    }
  return NULL;
}

int32_t
lt_limit_record_granted_ppm (const lt_limit_record_t *record,
                             uint64_t workspace)
{
  int64_t sum = 0;
  for (size_t i = 0; i < record->count; i++)
    if (record->grants[i].workspace == workspace)
      sum += record->grants[i].ppm;
  return sum < LT_LIMIT_WHOLE_PPM ? (int32_t)sum : LT_LIMIT_WHOLE_PPM;
}

size_t
lt_limit_record_remove_older (lt_limit_record_t *record,
                              const lt_limit_vm_t *vm, int64_t incarnation)
{
  size_t kept = 0;
  for (size_t i = 0; i < record->count; i++)
    {
      const lt_limit_grant_t *grant = &record->grants[i];
      if (grant->incarnation < incarnation
          && lt_limit_vm_equal (&grant->vm, vm))
        continue;
      record->grants[kept++] = *grant;
    }
  size_t removed = record->count - kept;
  record->count = kept;
  return removed;
}

size_t
lt_limit_record_remove_expired (lt_limit_record_t *record, int64_t age_ms)
{
  size_t kept = 0;
  for (size_t i = 0; i < record->count; i++)
    if (record->clock_ms - record->grants[i].confirmed_ms < age_ms)
      record->grants[kept++] = record->grants[i];
  size_t removed = record->count - kept;
  record->count = kept;
  return removed;
}

void
lt_limit_record_remove (lt_limit_record_t *record, lt_limit_grant_t *grant)
{
  *grant = record->grants[--record->count];
}
