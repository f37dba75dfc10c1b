/** @file
    Heartbeats contain data of two modules: membership and freshness.  They are
    encoded, decoded, sent and received here.  */
#ifndef LT_NODE_HEARTBEAT_H
#define LT_NODE_HEARTBEAT_H

#include "lt/node/controller.h"
#include "lt/policy/freshness.h"
#include "lt/policy/membership.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;

/** Largest number of member updates in one heartbeat.  */
#define LT_HEARTBEAT_UPDATES_MAX 128

  /** A decoded heartbeat.  Its strings point into the payload.  */
  typedef struct lt_heartbeat
  {
    lt_membership_message_t members; /**< Its updates are those below. */
    lt_freshness_report_t report;
    lt_member_update_t updates[LT_HEARTBEAT_UPDATES_MAX];
  } lt_heartbeat_t;

  /** Initializes HEARTBEAT without updates, and points members.updates to its
      array.  HEARTBEAT must not be moved afterwards.  */
  void lt_heartbeat_init (lt_heartbeat_t *heartbeat);
  void lt_heartbeat_encode (const lt_heartbeat_t *heartbeat, lt_buf_t *out);
  /** Returns 0 or -LT_EPROTO.  */
  int lt_heartbeat_decode (str_t payload, lt_heartbeat_t *heartbeat);

  /** Sends a heartbeat with a freshness query to VM_ID.  */
  void lt_heartbeat_send_request (struct lt_node *node, str_t vm_id,
                                  uint64_t correlation);
  /** Sends a further response to the held freshness query of VM_ID.  */
  void lt_heartbeat_send_response (struct lt_node *node, str_t vm_id);
  /** Handles a heartbeat, which it acknowledges, or an acknowledgement.  */
  void lt_heartbeat_receive (struct lt_node *node,
                             const lt_peer_message_t *message, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
