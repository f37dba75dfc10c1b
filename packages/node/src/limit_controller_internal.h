/** @file
    The limit controller's state, shared by its source files.  */
#ifndef LT_NODE_LIMIT_CONTROLLER_INTERNAL_H
#define LT_NODE_LIMIT_CONTROLLER_INTERNAL_H

#include <ev.h>

#include "lt/node/limit_controller.h"
#include "lt/node/node.h"
#include "lt/policy/limit_holder.h"
#include "lt/policy/limit_home.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_LIMIT_LENDERS_MAX 3

#define LT_LIMIT_COUNT_TABLE(X)                                               \
  X (LT_LIMIT_COUNT_GRANTED, "granted")                                       \
  X (LT_LIMIT_COUNT_REFUSED, "refused")                                       \
  X (LT_LIMIT_COUNT_WAITED, "waited")                                         \
  X (LT_LIMIT_COUNT_WAIT_OVER, "wait-over")                                   \
  X (LT_LIMIT_COUNT_SENT, "message-sent")                                     \
  X (LT_LIMIT_COUNT_UNSENT, "message-unsent")                                 \
  X (LT_LIMIT_COUNT_RECEIVED, "message-received")                             \
  X (LT_LIMIT_COUNT_MALFORMED, "message-malformed")                           \
  X (LT_LIMIT_COUNT_READ, "record-read")                                      \
  X (LT_LIMIT_COUNT_WRITTEN, "record-written")                                \
  X (LT_LIMIT_COUNT_TABLE_FAILED, "record-failed")

#define LT_LIMIT_COUNT_ENUM(name, text) name,
  typedef enum lt_limit_count
  {
    LT_LIMIT_COUNT_TABLE (LT_LIMIT_COUNT_ENUM) LT_LIMIT_COUNTS
  } lt_limit_count_t;

  typedef struct lt_limit_group
  {
    lt_limit_home_t *home; /**< NULL: this VM is not its home. */
    lt_limit_rate_t *rates;
    uint32_t rate_count;
    lt_limit_vm_t owner; /**< Home of the group; empty: none. */
    lt_limit_vm_t lenders[LT_LIMIT_LENDERS_MAX];
    uint32_t lender_count;
  } lt_limit_group_t;

  /** A request that waits for tokens, or is about to be resumed.  */
  typedef struct lt_limit_waiting
  {
    struct lt_limit_waiting *prev;
    struct lt_limit_waiting *next;
    lt_request_t *request;
    uint64_t workspace;
    int64_t until_us;
    bool granted;
    int64_t retry_after_us;
  } lt_limit_waiting_t;

  /** A pending table call; may outlive the controller.  */
  typedef struct lt_limit_table_call
  {
    struct lt_limit_table_call *prev;
    struct lt_limit_table_call *next;
    lt_limit_controller_t *controller; /**< NULL: destroyed. */
    uint32_t group;
    bool write;
  } lt_limit_table_call_t;

  struct lt_limit_controller
  {
    lt_controller_t base;
    lt_limit_vm_t vm;
    lt_limit_holder_t *holder;
    lt_limit_group_t groups[LT_LIMIT_GROUPS];
    bool configured;
    uint64_t membership_generation; /**< Of the latest assignment. */
    uint32_t assigned_groups;       /**< Assigned since it changed. */
    lt_limit_waiting_t waiting;     /**< List heads. */
    lt_limit_waiting_t ready;
    ev_timer resume;
    lt_limit_table_call_t calls;
    int64_t drain_started_us;
    lt_counter_t *counts[LT_LIMIT_COUNTS];
  };

  void lt_limit_controller_count (lt_limit_controller_t *controller,
                                  lt_limit_count_t name);

  /** Removes WAITING from its list.  */
  void lt_limit_waiting_unlink (lt_limit_waiting_t *waiting);
  /** Timer callback that resumes or refuses the ready requests.  They are
      resumed from the event loop because nested resumptions would grow the
      stack.  */
  void lt_limit_controller_on_resume (struct ev_loop *loop, ev_timer *watcher,
                                      int events);
  /** Tries again to take tokens for the waiting requests of WORKSPACE.  */
  void lt_limit_controller_retry_waiting (lt_limit_controller_t *controller,
                                          uint64_t workspace, int64_t now_us,
                                          lt_limit_actions_t *actions);
  /** Refuses requests whose wait has expired.  */
  void lt_limit_controller_expire_waiting (lt_limit_controller_t *controller,
                                           int64_t now_us);

  /** Returns whether MESSAGE is addressed to the home, not to a holder.  */
  bool lt_limit_is_for_home (const lt_limit_message_t *message);
  void lt_limit_controller_receive (lt_limit_controller_t *controller,
                                    const lt_limit_vm_t *from,
                                    const lt_limit_message_t *message,
                                    int64_t now_us,
                                    lt_limit_actions_t *actions);
  /** Executes ACTIONS, including those that are appended meanwhile, and
      destroys it.  */
  void lt_limit_controller_execute (lt_limit_controller_t *controller,
                                    lt_limit_actions_t *actions,
                                    int64_t now_us);

  /** Reads or writes the record of the group that ACTION names.  */
  void lt_limit_controller_call_table (lt_limit_controller_t *controller,
                                       const lt_limit_action_t *action);

  /** Assigns home and lenders to the next groups that have none from the
      current membership.  */
  void lt_limit_controller_assign_groups (lt_limit_controller_t *controller,
                                          int64_t now_us);
  /** Starts a new assignment when the membership has changed, and continues an
      incomplete one.  */
  void lt_limit_controller_update_members (lt_limit_controller_t *controller,
                                           int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
