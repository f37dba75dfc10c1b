/** @file
    Health of upstreams on one VM.  The controller feeds the outcomes of
    attempts into the local health module, exchanges evidence with each
    service's aggregator VM, reads and writes the ejection records, probes
    upstreams, and provides the dispatcher's pools (node->pools).

    The record of a service is the table item "ejections/SERVICE"; the item's
    version is the record's version.  */
#ifndef LT_NODE_HEALTH_CONTROLLER_H
#define LT_NODE_HEALTH_CONTROLLER_H

#include "lt/base/hash.h"
#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_pools;
  typedef struct lt_health_controller lt_health_controller_t;

  typedef void (*lt_health_probe_done_t) (void *done_user, bool ok);

  /** Functions that the controller needs from other modules.  Each may be
      NULL.  The defaults: there are no other VMs, no request is suspect, and
      probes use the node's upstream client.  */
  typedef struct lt_health_hooks
  {
    void *user;
    /** Returns the id of the live VM that owns KEY, or an empty string when
        there is none.  The result is valid until the next call.  */
    str_t (*owner) (void *user, str_t key);
    /** Writes at most CAP ids of other live VMs and returns their number;
        with CAP 0 returns the number only.  */
    size_t (*others) (void *user, str_t *ids, size_t cap);
    /** Counts the live VMs, including this one, in the fleet, in this VM's
        region and in its failure domain.  */
    void (*count_vms) (void *user, uint32_t *vms, uint32_t *region_vms,
                       uint32_t *domain_vms);
    /** Returns whether a request is suspected of crashing upstreams.  */
    bool (*is_suspect) (void *user, const lt_digest_t *fingerprint);
    /** Sends one probe and calls DONE once, never inside the call.  Returns 0
        or a negative error number (DONE is not called).  */
    int (*probe) (void *user, str_t address, lt_health_probe_done_t done,
                  void *done_user);
  } lt_health_hooks_t;

  /** Returns hooks that use NODE's membership, which must be set by the time
     of the first call; is_suspect and probe are NULL.  */
  lt_health_hooks_t lt_health_hooks_membership (struct lt_node *node);

  /** Creates the controller and sets node->health_controller.  The caller adds
      it to the node and sets node->pools from lt_health_controller_pools.
      HOOKS is copied; NULL means all defaults.  */
  lt_controller_t *
  lt_health_controller_create (struct lt_node *node,
                               const lt_health_hooks_t *hooks);
  /** Returns the dispatcher's pools, which are owned by the controller.  */
  struct lt_pools *
  lt_health_controller_pools (lt_health_controller_t *controller);
  /** Marks UPSTREAM as draining, stopping or stopped (LEAVING), or as serving
      again.  A leaving upstream gets no new requests, and its slots do not
      count as usable.  Returns 0 or -LT_ENOTFOUND.  */
  int lt_health_controller_set_leaving (lt_health_controller_t *controller,
                                        str_t upstream, bool leaving);
  /** Returns the number of requests that this VM has in flight to UPSTREAM, or
      -LT_ENOTFOUND.  */
  int64_t lt_health_controller_in_flight (lt_health_controller_t *controller,
                                          str_t upstream);

#ifdef __cplusplus
}
#endif

#endif
