/** @file
    The register of a hosting platform: the operator's configuration, the
    upstreams and the VMs.  An adapter implements it with calls alone; when to
    read, to wait and to try again is decided by the callers.  Completions run
    on the loop, never inside the submitting call; views are valid during the
    completion only.  */
#ifndef LT_NODE_REGISTRY_H
#define LT_NODE_REGISTRY_H

#include "lt/config/deployment.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;

  typedef enum lt_registry_kind
  {
    LT_REGISTRY_CONFIG,
    LT_REGISTRY_UPSTREAMS,
    LT_REGISTRY_VMS,
    LT_REGISTRY_KINDS
  } lt_registry_kind_t;

  /** One VM of the fleet.  */
  typedef struct lt_registry_vm
  {
    str_t id;
    str_t address; /**< "ip:port" for other VMs. */
    str_t region;
    str_t failure_domain;
  } lt_registry_vm_t;

  /** One record.  Which member is set follows from the kind.  */
  typedef struct lt_registry_record
  {
    str_t name;
    int64_t version; /**< Of the record; grows with each change. */
    bool removed;    /**< No such record any more, or it is unreadable. */
    const lt_deployment_t *deployment;
    lt_deployment_upstream_t upstream; /**< warm_until_us: time left. */
    lt_registry_vm_t vm;
    str_t secret; /**< Of the fleet, among the VMs; else empty. */
  } lt_registry_record_t;

  typedef struct lt_registry_result
  {
    int error;         /**< 0; -LT_EUNAVAILABLE: not done; -LT_ETIMEOUT or
                          -LT_EIO: not known; -LT_ECONFLICT: refused. */
    bool history_lost; /**< Of a watch: read all records again. */
    int64_t version;   /**< To watch from. */
    const lt_registry_record_t *records;
    size_t count;
  } lt_registry_result_t;

  typedef void (*lt_registry_done_t) (void *user,
                                      const lt_registry_result_t *result);

  typedef struct lt_registry lt_registry_t;
  typedef struct lt_registry_vtable
  {
    /** Reads all records of KIND.  Returns 0 or -LT_EINVAL (no completion).
     */
    int (*read) (lt_registry_t *registry, lt_registry_kind_t kind,
                 int64_t timeout_ms, lt_registry_done_t done, void *user);
    /** Waits for changes of KIND after VERSION, for at most WAIT_MS.  */
    int (*watch) (lt_registry_t *registry, lt_registry_kind_t kind,
                  int64_t version, int64_t wait_ms, int64_t timeout_ms,
                  lt_registry_done_t done, void *user);
    /** Writes VM's own record, and SECRET (unless empty) if the fleet has
        none: -LT_ECONFLICT when it has one by now.  */
    int (*announce) (lt_registry_t *registry, const lt_registry_vm_t *vm,
                     str_t secret, int64_t timeout_ms, lt_registry_done_t done,
                     void *user);
    /** Open completions are not called.  */
    void (*destroy) (lt_registry_t *registry);
  } lt_registry_vtable_t;

  struct lt_registry
  {
    const lt_registry_vtable_t *vtable;
  };

  /** What an adapter to a hosting platform brings.  */
  typedef struct lt_hosting
  {
    const struct lt_dialect *dialect;
    /** Creates the register; owned by the caller.  */
    int (*registry_create) (struct ev_loop *loop, void *user,
                            lt_registry_t **registry);
    void *user;
  } lt_hosting_t;

#ifdef __cplusplus
}
#endif

#endif
