/** @file
    Interface to the registry of a hosting platform, which stores the
    operator's configuration, the upstreams and the VMs.  An adapter only
    performs single operations; callers decide when to read, wait and retry.
    Completions run on the event loop, never inside the submitting call;
   strings and records passed to them are valid only during the completion. */
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
    LT_REGISTRY_KIND_COUNT
  } lt_registry_kind_t;

  /** A VM of the fleet.  */
  typedef struct lt_registry_vm
  {
    str_t id;
    str_t address; /**< "ip:port" at which other VMs reach it. */
    str_t region;
    str_t failure_domain;
  } lt_registry_vm_t;

  /** A record of the registry.  DEPLOYMENT or EVACUATED_DOMAIN, UPSTREAM or VM
      is set according to its kind.  */
  typedef struct lt_registry_record
  {
    str_t name;
    int64_t version; /**< Increases with each change of the record. */
    /** Count that the writer of the record raises with each write of one
        incarnation; 0: none.  Unlike the version it is the writer's own, so it
        orders records of different eras.  */
    int64_t revision;
    bool removed; /**< The record was deleted or is unreadable. */
    const lt_deployment_t *deployment;
    /** A configuration in the registry's own encoding, for decode; empty:
        another kind of record.  */
    str_t encoded;
    /** Failure domain whose upstreams take no new work while the record
        exists; empty: the record is a configuration.  */
    str_t evacuated_domain;
    lt_deployment_upstream_t upstream; /**< warm_until_us: time left. */
    lt_registry_vm_t vm;
    str_t secret; /**< Shared by the fleet; kind LT_REGISTRY_VMS only. */
  } lt_registry_record_t;

  typedef struct lt_registry_result
  {
    /** 0; -LT_EUNAVAILABLE: not performed; -LT_ETIMEOUT or -LT_EIO: unknown
        whether performed; -LT_ECONFLICT: rejected; -LT_EPROTO: unexpected
        response of the registry.  */
    int error;
    bool history_lost; /**< Watch missed changes: read all records. */
    int64_t version;   /**< Version to watch from next. */
    /** Rises when the registry comes back from an older copy: versions are
        comparable within an era only.  0: unknown.  Set in failed results as
        well, if the registry responded.  */
    int64_t era;
    int64_t clock_us; /**< Steady clock of the registry; 0: unknown. */
    const lt_registry_record_t *records;
    size_t count;
    /** The records in the registry's own encoding, for decode; may be
        empty.  */
    str_t encoded;
  } lt_registry_result_t;

  typedef void (*lt_registry_done_t) (void *user,
                                      const lt_registry_result_t *result);

  typedef struct lt_registry lt_registry_t;
  typedef struct lt_registry_vtable
  {
    /** Reads all records of KIND.  Returns 0, or -LT_EINVAL, in which case
        DONE is not called.  */
    int (*read) (lt_registry_t *registry, lt_registry_kind_t kind,
                 int64_t timeout_ms, lt_registry_done_t done, void *user);
    /** Waits at most WAIT_MS for changes of KIND after VERSION.  Returns as
        read does.  */
    int (*watch) (lt_registry_t *registry, lt_registry_kind_t kind,
                  int64_t version, int64_t wait_ms, int64_t timeout_ms,
                  lt_registry_done_t done, void *user);
    /** Calls DONE, before it returns, with records of KIND that the registry
        had encoded for another VM; error -LT_EPROTO: unreadable.  */
    void (*decode) (lt_registry_t *registry, lt_registry_kind_t kind,
                    str_t encoded, lt_registry_done_t done, void *user);
    /** Writes the record of VM.  Also writes SECRET, unless it is empty, as
        the fleet's secret; fails with -LT_ECONFLICT when the fleet already
        has one.  Returns as read does.  */
    int (*announce) (lt_registry_t *registry, const lt_registry_vm_t *vm,
                     str_t secret, int64_t timeout_ms, lt_registry_done_t done,
                     void *user);
    /** Frees the registry; pending completions are not called.  */
    void (*destroy) (lt_registry_t *registry);
  } lt_registry_vtable_t;

  struct lt_registry
  {
    const lt_registry_vtable_t *vtable;
  };

  /** What an adapter to a hosting platform provides.  */
  typedef struct lt_hosting
  {
    const struct lt_dialect *dialect;
    /** Creates the registry, which the caller owns.  Returns 0 or a negative
        error.  */
    int (*registry_create) (struct ev_loop *loop, void *user,
                            lt_registry_t **registry);
    void *user;
  } lt_hosting_t;

#ifdef __cplusplus
}
#endif

#endif
