/** @file
    Admission by priority in a hosted fleet: asks the room module whether the
    dispatcher's requests are sent now, wait, or are refused, and sends those
    that wait when slots become free.  */
#ifndef LT_NODE_ROOM_CONTROLLER_H
#define LT_NODE_ROOM_CONTROLLER_H

#include "dispatch_internal.h"
#include "lt/node/controller.h"
#include "lt/wire/message.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_room_controller lt_room_controller_t;

  /** Creates the controller; NODE must have its pools.  */
  lt_controller_t *lt_room_controller_create (lt_node_t *node);
  /** Sends the request to another upstream, or keeps it until one has room.
      Returns false when it neither was sent nor waits; room_refusal of
     DISPATCH then says why if it is for lack of room.  */
  bool lt_room_controller_start (lt_room_controller_t *controller,
                                 lt_dispatch_t *dispatch);
  /** Removes a request that ends, for example because its caller left.
      STOPPING: because this VM stops.  */
  void lt_room_controller_leave (lt_room_controller_t *controller,
                                 lt_dispatch_t *dispatch, bool stopping);
  /** Records the end of an attempt, after the pools have recorded it.  */
  void lt_room_controller_attempt_ended (lt_room_controller_t *controller,
                                         const attempt_t *attempt,
                                         lt_attempt_outcome_t outcome,
                                         int64_t latency_us);
  /** Records a report of VM_ID.  */
  void lt_room_controller_note_peer (lt_room_controller_t *controller,
                                     str_t vm_id,
                                     const lt_wire_upstream_updates_t *updates,
                                     int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
