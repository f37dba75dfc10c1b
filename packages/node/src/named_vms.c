#include "named_vms.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/policy/membership.h"

enum
{
  NAMED_MAX = 8192
};

static lt_named_vm_t *
find_or_add (lt_named_vms_t *vms, str_t id, str_t address, int64_t now_us)
{
  lt_named_vm_t new_vm = { .first_us = now_us };
  if (id.len >= sizeof (new_vm.id) || address.len >= sizeof (new_vm.address))
    return NULL;
  for (size_t i = 0; i < vms->count; i++)
    if (str_equal (str_from (vms->items[i].id), id)
        && str_equal (str_from (vms->items[i].address), address))
      return &vms->items[i];
  if (vms->count == NAMED_MAX)
    return NULL;
  if (vms->count == vms->cap)
    {
      vms->cap = vms->cap == 0 ? 16 : vms->cap * 2;
      vms->items = lt_realloc (vms->items, vms->cap * sizeof (*vms->items));
    }
  snprintf (new_vm.id, sizeof (new_vm.id), "%.*s", STR_ARG (id));
  snprintf (new_vm.address, sizeof (new_vm.address), "%.*s",
            STR_ARG (address));
  vms->items[vms->count] = new_vm;
  return &vms->items[vms->count++];
}

void
lt_named_vms_add_seed (lt_named_vms_t *vms, str_t address, int64_t now_us)
{
  lt_named_vm_t *vm = find_or_add (vms, str_make (NULL, 0), address, now_us);
  if (vm != NULL)
    vm->seed = true;
}

void
lt_named_vms_begin_list (lt_named_vms_t *vms)
{
  for (size_t i = 0; i < vms->count; i++)
    vms->items[i].listed = false;
}

void
lt_named_vms_add_listed (lt_named_vms_t *vms, str_t id, str_t address,
                         int64_t now_us)
{
  lt_named_vm_t *vm = find_or_add (vms, id, address, now_us);
  if (vm != NULL)
    vm->listed = true;
}

void
lt_named_vms_end_list (lt_named_vms_t *vms)
{
  size_t kept = 0;
  for (size_t i = 0; i < vms->count; i++)
    if (vms->items[i].listed || vms->items[i].seed)
      vms->items[kept++] = vms->items[i];
  vms->count = kept;
}

bool
lt_named_vm_is_member (const lt_named_vm_t *vm,
                       const lt_membership_t *membership)
{
  for (size_t i = 0; i < lt_membership_count (membership); i++)
    {
      lt_member_view_t view = lt_membership_at (membership, i);
      bool same_id
          = vm->id[0] != '\0' && str_equal (view.info.id, str_from (vm->id));
      bool same_address
          = vm->address[0] != '\0'
            && str_equal (view.info.address, str_from (vm->address));
      if (same_id || same_address)
        return true;
    }
  return false;
}

void
lt_named_vms_destroy (lt_named_vms_t *vms)
{
  free (vms->items);
  *vms = (lt_named_vms_t){ 0 };
}
