/** @file
    Controllers: each owns one kind of state, drives one policy module and
    turns its actions into messages to other VMs, table calls and timers.  All
    calls come from the node's loop.  */
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

  /** A verified message from another VM.  Types are those of the message table
      in the design page.  */
  typedef struct lt_peer_message
  {
    uint16_t type;
    uint64_t correlation;
    str_t sender;         /**< VM id. */
    uint64_t incarnation; /**< Of the sender. */
    str_t payload;        /**< msgpack; valid during the call only. */
  } lt_peer_message_t;

/** Bit of message type T in lt_controller_vtable_t.types.  */
#define LT_TYPE_BIT(t) (1u << (t))

  typedef struct lt_controller lt_controller_t;

  /** Every member but name and destroy may be NULL.  */
  typedef struct lt_controller_vtable
  {
    const char *name;
    uint32_t types; /**< Message types delivered to on_frame. */
    int (*start) (lt_controller_t *controller);
    /** Every 100 ms.  */
    void (*tick) (lt_controller_t *controller, int64_t now_us);
    void (*on_frame) (lt_controller_t *controller,
                      const lt_peer_message_t *message, int64_t now_us);
    /** A new snapshot is in force; OLD is NULL the first time.  */
    void (*on_config) (lt_controller_t *controller,
                       const struct lt_snapshot *old,
                       const struct lt_snapshot *current, int64_t now_us);
    /** An attempt at an upstream ended.  */
    void (*on_observation) (lt_controller_t *controller,
                            const struct lt_observation_event *event,
                            int64_t now_us);
    /** Returns a new JSON value for the operators' status.  */
    struct json_t *(*status) (lt_controller_t *controller);
    /** The node drains: hand over what others need.  Called again with each
        tick until it returns true.  */
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
