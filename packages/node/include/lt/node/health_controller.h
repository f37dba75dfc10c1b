/** @file
    Health of upstreams on one VM: feeds the outcomes of attempts into the
    local health module, exchanges evidence with the services' aggregator VMs,
    keeps and writes the ejection records, probes, and gives the dispatcher its
    pools (node->pools).

    Table items: "ejections/SERVICE", whose item version is the record's
    version.  */
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

  /** What the controller needs from other tasks.  Every function may be NULL:
      then this VM is alone, nothing is suspect, and probes use the node's
      upstream client.  */
  typedef struct lt_health_hooks
  {
    void *user;
    /** Returns the id of the live VM that owns KEY; empty: none.  Valid until
        the next call.  */
    str_t (*owner) (void *user, str_t key);
    /** Writes at most CAP ids of other live VMs and returns their number;
        with CAP 0 returns the number only.  */
    size_t (*others) (void *user, str_t *ids, size_t cap);
    /** Counts live VMs, this one included: of the fleet, of this VM's region,
        of its failure domain.  */
    void (*count_vms) (void *user, uint32_t *vms, uint32_t *region_vms,
                       uint32_t *domain_vms);
    /** Returns whether a request is a quarantine suspect.  */
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
  /** Returns the dispatcher's view; owned by the controller.  */
  struct lt_pools *
  lt_health_controller_pools (lt_health_controller_t *controller);
  /** Tells that UPSTREAM is draining, stopping or stopped (LEAVING) or serves
      again.  It gets no new work from the call on, and its slots count as
      missing.  Returns 0 or -LT_ENOTFOUND.  */
  int lt_health_controller_set_leaving (lt_health_controller_t *controller,
                                        str_t upstream, bool leaving);
  /** Returns the requests that this VM has in flight to UPSTREAM, or
      -LT_ENOTFOUND.  */
  int64_t lt_health_controller_in_flight (lt_health_controller_t *controller,
                                          str_t upstream);

#ifdef __cplusplus
}
#endif

#endif
