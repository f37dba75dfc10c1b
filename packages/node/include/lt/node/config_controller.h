/** @file
    The configuration in force: watches the head record, fetches snapshots from
    the object store or from other VMs, applies them, and accepts changes of
    operators.

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
    LT_APPLY_CONFLICT,   /**< Another change came between; nothing changed. */
    LT_APPLY_UNKNOWN,    /**< May take effect; look at the status, never repeat
                            blindly. */
    LT_APPLY_UNAVAILABLE /**< Nothing changed; try again later. */
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
    /** Accepted or unknown: this change.  Conflict: the change that came
        between (version 0 when it could not be read).  */
    lt_change_record_t change;
  } lt_apply_result_t;

  /** RESULT is valid during the call only.  */
  typedef void (*lt_apply_done_t) (void *user,
                                   const lt_apply_result_t *result);

  /** Creates the controller, the freshness module that it owns
      (node->freshness), and sets node->config_controller.  The caller adds it
      to the node.  */
  lt_controller_t *lt_config_controller_create (struct lt_node *node);

  /** Proposes SNAPSHOT (ownership is taken) as the successor of BASE_VERSION
      (0: the first).  Version, author and time of the snapshot are set here.
      DONE is called exactly once, never inside this call, within about 10 s.
      Returns 0; -LT_EINVAL when the snapshot is too large; -LT_EFULL while
      another change of this VM is in progress (the snapshot is destroyed, DONE
      is not called).  */
  int lt_config_controller_apply (lt_config_controller_t *controller,
                                  lt_snapshot_t *snapshot,
                                  int64_t base_version, str_t author,
                                  lt_apply_done_t done, void *user);

#define LT_HISTORY_MAX 50

  /** RECORDS, newest first; ERROR is 0 or a negative error number.  */
  typedef void (*lt_history_done_t) (void *user, int error,
                                     const lt_change_record_t *records,
                                     size_t count);
  /** Reads up to COUNT (at most LT_HISTORY_MAX) records below BEFORE_VERSION
      (0: from the newest).  Returns 0 or -LT_EINVAL.  */
  int lt_config_controller_history (lt_config_controller_t *controller,
                                    int64_t before_version, size_t count,
                                    lt_history_done_t done, void *user);

  /** What a VM last said about its configuration.  */
  typedef struct lt_vm_version
  {
    str_t vm_id; /**< Valid until the loop's next turn. */
    int64_t applied_version;
    int64_t confirm_age_us; /**< At HEARD_US; -1: never confirmed. */
    int64_t heard_us;       /**< Monotonic time of the report. */
    bool unheard; /**< Gossip named it at HEARD_US; it has not reported. */
  } lt_vm_version_t;

  /** Gossip says that VM_ID is alive.  */
  void lt_config_controller_note_member (lt_config_controller_t *controller,
                                         str_t vm_id, int64_t now_us);
  /** Number of VMs heard of, this one included.  */
  size_t
  lt_config_controller_vm_count (const lt_config_controller_t *controller);
  lt_vm_version_t
  lt_config_controller_vm_at (const lt_config_controller_t *controller,
                              size_t index);
  /** Highest accepted version known to this VM, applied or not.  */
  int64_t
  lt_config_controller_known (const lt_config_controller_t *controller);

#ifdef __cplusplus
}
#endif

#endif
