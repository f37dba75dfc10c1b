/** @file
    VMs that the seeds or the platform's list name.  One that has not reported
    yet may serve, so a change is not confirmed by it.  */
#ifndef LT_NODE_NAMED_VMS_H
#define LT_NODE_NAMED_VMS_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_membership;

  typedef struct lt_named_vm
  {
    char id[65];      /**< "" when only the address is known. */
    char address[65]; /**< As named, "" when unknown. */
    int64_t first_us; /**< Since when it has been named. */
    bool listed;      /**< By the platform, in the last list. */
    bool seed;
  } lt_named_vm_t;

  typedef struct lt_named_vms
  {
    lt_named_vm_t *items;
    size_t count;
    size_t cap;
  } lt_named_vms_t;

  void lt_named_vms_add_seed (lt_named_vms_t *vms, str_t address,
                              int64_t now_us);
  /** A new list follows: what lt_named_vms_add_listed does not name until
      lt_named_vms_end_list is forgotten.  */
  void lt_named_vms_begin_list (lt_named_vms_t *vms);
  void lt_named_vms_add_listed (lt_named_vms_t *vms, str_t id, str_t address,
                                int64_t now_us);
  void lt_named_vms_end_list (lt_named_vms_t *vms);
  /** Returns whether a member has the id or address of VM, dead ones
      included.  */
  bool lt_named_vm_is_member (const lt_named_vm_t *vm,
                              const struct lt_membership *membership);
  void lt_named_vms_destroy (lt_named_vms_t *vms);

#ifdef __cplusplus
}
#endif

#endif
