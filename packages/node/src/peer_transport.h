/** @file
    TCP connections to other VMs: the listener, outgoing connections and the
    delivery of frames.  Addresses of VMs come from node->directory.  */
#ifndef LT_NODE_PEER_TRANSPORT_H
#define LT_NODE_PEER_TRANSPORT_H

#include "lt/node/node.h"
#include "lt/wire/session.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_peer_transport lt_peer_transport_t;

  /** Called when a connection to PEER has been verified.  */
  typedef void (*lt_peer_open_t) (void *user, const lt_vm_identity_t *peer,
                                  bool outgoing);

  /** Listens on the settings' peer address and sets node->peers.  Returns 0 or
      a negative error number.  */
  int lt_peer_transport_create (lt_node_t *node, lt_peer_open_t on_open,
                                void *user, lt_peer_transport_t **transport);
  void lt_peer_transport_destroy (lt_peer_transport_t *transport);
  /** Returns the address that other VMs connect to, with the port that was
      bound.  */
  str_t lt_peer_transport_address (const lt_peer_transport_t *transport);
  /** Connects to ADDRESS unless there is an outgoing connection already, or
      the back-off after a failed attempt has not ended.  */
  void lt_peer_transport_connect (lt_peer_transport_t *transport,
                                  str_t address);
  /** Returns whether a verified connection to VM_ID is open.  */
  bool lt_peer_transport_is_connected (const lt_peer_transport_t *transport,
                                       str_t vm_id);
  /** Closes connections that are idle, make no progress in writing, or are not
      verified in time.  */
  void lt_peer_transport_tick (lt_peer_transport_t *transport, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
