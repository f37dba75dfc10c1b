/** @file
    Runs the quarantine of requests that crash upstreams
    (policy/quarantine.h): takes losses of upstreams from observations and
    sends notices to all VMs (message type 17).  */
#ifndef LT_NODE_QUARANTINE_CONTROLLER_H
#define LT_NODE_QUARANTINE_CONTROLLER_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_controller;
  struct lt_vm_identity;
  typedef struct lt_quarantine_controller lt_quarantine_controller_t;

  /** Creates the controller and sets node->quarantine_controller.  */
  struct lt_controller *lt_quarantine_controller_create (struct lt_node *node);
  /** Returns whether REQUEST, by its fingerprint, must not run now.
      RETRY_AFTER_MS may be NULL.  */
  bool
  lt_quarantine_controller_refuses (lt_quarantine_controller_t *controller,
                                    const lt_request_t *request,
                                    int64_t *retry_after_ms);
  /** Returns the same for a retry; false without a controller.  */
  bool lt_quarantine_refuses (const lt_request_t *request);
  /** Returns whether a request with FINGERPRINT has lost an upstream already;
      false without a controller.  */
  bool lt_quarantine_controller_has_losses (struct lt_node *node,
                                            const lt_digest_t *fingerprint);
  /** Sends the quarantines in force to PEER, to which a connection was opened:
      it may have started, or have been cut off, when they were announced.  */
  void lt_quarantine_controller_tell (struct lt_node *node,
                                      const struct lt_vm_identity *peer);
  /** Returns the time, in microseconds, within which a notice reaches all
      VMs; 0 when there are no other VMs.  */
  int64_t lt_quarantine_notice_us (const struct lt_node *node);

#ifdef __cplusplus
}
#endif

#endif
