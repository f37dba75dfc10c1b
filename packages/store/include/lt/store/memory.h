/** @file
    Fault injection and VM list of the in-memory platform, for tests and for
    sites with a single VM.  */
#ifndef LT_STORE_MEMORY_H
#define LT_STORE_MEMORY_H

#include "lt/store/store.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_platform_call
  {
    LT_CALL_TABLE_READ,
    LT_CALL_TABLE_WRITE,
    LT_CALL_OBJECT_GET,
    LT_CALL_OBJECT_PUT,
    LT_CALL_VM_LIST,
    LT_CALL_KINDS
  } lt_platform_call_t;

  /** Fault injected into calls of one kind.  All zero: no fault.  */
  typedef struct lt_platform_fault
  {
    bool down;          /**< The call fails and takes no effect. */
    bool lose_response; /**< Takes effect, but reports an unknown outcome. */
    int64_t delay_ms;   /**< Takes effect this much later, even when the caller
                           has stopped waiting. */
    int count; /**< Ends after this many calls; 0: stays until replaced. */
  } lt_platform_fault_t;

  /** Replaces the fault for calls of KIND.  PLATFORM must come from
      lt_platform_memory_create.  */
  void lt_platform_memory_set_fault (lt_platform_t *platform,
                                     lt_platform_call_t kind,
                                     lt_platform_fault_t fault);
  /** Replaces the list of VMs; copies its arguments.  */
  void lt_platform_memory_set_vms (lt_platform_t *platform,
                                   const lt_vm_entry_t *vms, size_t count);

#ifdef __cplusplus
}
#endif

#endif
