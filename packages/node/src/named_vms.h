/** @file
    VMs that the seeds or the platform's list name.  A named VM that has not
    joined yet may already serve requests with an old configuration, so a
    change is not reported as confirmed before it has reported.  */
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
    char address[65]; /**< As given by the seed or list; "" when unknown. */
    int64_t first_us; /**< When it was first named. */
    bool listed;      /**< In the platform's last list. */
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
  /** Starts a new list: lt_named_vms_end_list removes the VMs that are neither
      seeds nor passed to lt_named_vms_add_listed in between.  */
  void lt_named_vms_begin_list (lt_named_vms_t *vms);
  void lt_named_vms_add_listed (lt_named_vms_t *vms, str_t id, str_t address,
                                int64_t now_us);
  void lt_named_vms_end_list (lt_named_vms_t *vms);
  /** Returns whether a member, alive or dead, has the id or address of
      VM.  */
  bool lt_named_vm_is_member (const lt_named_vm_t *vm,
                              const struct lt_membership *membership);
  void lt_named_vms_destroy (lt_named_vms_t *vms);

#ifdef __cplusplus
}
#endif

#endif
