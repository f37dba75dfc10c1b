/** @file
    Controllers.  Each owns one kind of state, runs one policy module and
    carries out the actions that the module returns: messages to other VMs,
    calls to the table and timers.  All callbacks run on the node's event
    loop.  */
#ifndef LT_NODE_CONTROLLER_H
#define LT_NODE_CONTROLLER_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct json_t;
  struct lt_snapshot;
  struct lt_observation_event;

  /** An authenticated message from another VM.  The message table of the
      design page lists the types.  */
  typedef struct lt_peer_message
  {
    uint16_t type;
    uint64_t correlation; /**< Same in a request and its response. */
    str_t sender;         /**< VM id. */
    uint64_t incarnation; /**< Of the sender. */
    str_t payload;        /**< msgpack; valid during the call only. */
  } lt_peer_message_t;

/** The bit of message type T (0 to 31) in
 * lt_controller_vtable_t.message_types.  */
#define LT_MESSAGE_TYPE_BIT(t) (1u << (t))

  typedef struct lt_controller lt_controller_t;

  /** Callbacks of a controller.  All members but name and destroy may be
      NULL.  */
  typedef struct lt_controller_vtable
  {
    const char *name;
    uint32_t message_types; /**< LT_MESSAGE_TYPE_BIT of each type delivered to
                               on_frame. */
    /** Called once before the loop runs.  Returns 0 or a negative error
        number.  */
    int (*start) (lt_controller_t *controller);
    /** Called every 100 ms.  */
    void (*tick) (lt_controller_t *controller, int64_t now_us);
    /** A message of one of the types above was received.  */
    void (*on_message) (lt_controller_t *controller,
                        const lt_peer_message_t *message, int64_t now_us);
    /** A new snapshot is in force; OLD is NULL the first time.  */
    void (*on_config) (lt_controller_t *controller,
                       const struct lt_snapshot *old,
                       const struct lt_snapshot *current, int64_t now_us);
    /** An attempt at an upstream ended.  */
    void (*on_attempt_end) (lt_controller_t *controller,
                            const struct lt_observation_event *event,
                            int64_t now_us);
    /** Returns a new JSON value for the status of the operators' API.  The
        caller owns it.  */
    struct json_t *(*status) (lt_controller_t *controller);
    /** Called at each tick while the node drains, until it returns true.  The
        controller passes on the state that other VMs need.  */
    bool (*stop) (lt_controller_t *controller, int64_t now_us);
    void (*destroy) (lt_controller_t *controller);
  } lt_controller_vtable_t;

  struct lt_controller
  {
    const lt_controller_vtable_t *vtable;
    struct lt_node *node;
  };

#ifdef __cplusplus
}
#endif

#endif
