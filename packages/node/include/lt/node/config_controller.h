/** @file
    The configuration in force: polls the head record, fetches snapshots from
    the object store or from other VMs, applies them, and writes the changes
    that operators make.

    Table items: "config/head" (its item version is the configuration version)
    and "config/history/VERSION", both written in one transaction.  Objects:
    "config/HASH" with the encoded snapshot, named by its digest, so that
    concurrent changes never write the same object with different bytes.  */
#ifndef LT_NODE_CONFIG_CONTROLLER_H
#define LT_NODE_CONFIG_CONTROLLER_H

#include "lt/config/snapshot.h"
#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  typedef struct lt_config_controller lt_config_controller_t;

  typedef enum lt_apply_outcome
  {
    LT_APPLY_ACCEPTED,
    LT_APPLY_CONFLICT,   /**< Another change was accepted first. */
    LT_APPLY_UNKNOWN,    /**< The change may still take effect; do not retry
                            before the status shows whether it has. */
    LT_APPLY_UNAVAILABLE /**< The change was not made; it may be retried. */
  } lt_apply_outcome_t;

  /** Returns "accepted", "conflict", "unknown" or "unavailable".  */
  const char *lt_apply_outcome_name (lt_apply_outcome_t outcome);

  /** One accepted change.  */
  typedef struct lt_change_record
  {
    int64_t version;
    str_t author;
    int64_t created_wall_us;
    str_t object; /**< Name of the snapshot object. */
  } lt_change_record_t;

  typedef struct lt_apply_result
  {
    lt_apply_outcome_t outcome;
    /** Accepted or unknown: this change.  Conflict: the change that was
        accepted first (version 0 when it could not be read).  */
    lt_change_record_t change;
  } lt_apply_result_t;

  /** RESULT is valid during the call only.  */
  typedef void (*lt_apply_done_t) (void *user,
                                   const lt_apply_result_t *result);

  /** Creates the controller and the freshness module, which it owns; sets
      node->config_controller and node->freshness.  The caller adds the
      controller to the node.  */
  lt_controller_t *lt_config_controller_create (struct lt_node *node);

  /** Proposes SNAPSHOT, of which it takes ownership, as the successor of
      BASE_VERSION (0: the first configuration).  Sets the snapshot's version,
      author and time.  Calls DONE exactly once, from the event loop, within
      about 10 s.  Returns 0; -LT_EINVAL when the snapshot is too large or the
      base negative; -LT_EFULL while another change of this VM is in progress.
      On error the snapshot is destroyed and DONE is not called.  */
  int lt_config_controller_apply (lt_config_controller_t *controller,
                                  lt_snapshot_t *snapshot,
                                  int64_t base_version, str_t author,
                                  lt_apply_done_t done, void *user);

#define LT_HISTORY_MAX 50

  /** RECORDS are newest first and valid during the call only; ERROR is 0 or a
      negative error number.  */
  typedef void (*lt_history_done_t) (void *user, int error,
                                     const lt_change_record_t *records,
                                     size_t count);
  /** Reads up to COUNT (at most LT_HISTORY_MAX) records below BEFORE_VERSION
      (0: from the newest).  Returns 0 or -LT_EINVAL.  */
  int lt_config_controller_history (lt_config_controller_t *controller,
                                    int64_t before_version, size_t count,
                                    lt_history_done_t done, void *user);

  /** What a VM last reported about its configuration.  */
  typedef struct lt_vm_version
  {
    str_t vm_id; /**< Valid until the next iteration of the loop. */
    int64_t applied_version;
    int64_t confirm_age_us; /**< At REPORTED_US; -1: never confirmed. */
    int64_t reported_us;    /**< Monotonic time of the report. */
    bool unreported; /**< No report yet; REPORTED_US is when gossip first
                        listed the VM. */
  } lt_vm_version_t;

  /** Adds VM_ID, which gossip lists as alive, unless it is known already.  */
  void lt_config_controller_add_member (lt_config_controller_t *controller,
                                        str_t vm_id, int64_t now_us);
  /** Number of known VMs, including this one.  */
  size_t
  lt_config_controller_vm_count (const lt_config_controller_t *controller);
  /** Returns the report at INDEX; index 0 is this VM.  */
  lt_vm_version_t
  lt_config_controller_vm_at (const lt_config_controller_t *controller,
                              size_t index);
  /** Highest accepted version known to this VM, applied or not.  */
  int64_t lt_config_controller_known_version (
      const lt_config_controller_t *controller);

#ifdef __cplusplus
}
#endif

#endif
