/** @file
    Creates a node with its servers, controllers and filters.  Used by main and
    by tests that run a whole VM in one process.  */
#ifndef LT_NODE_DAEMON_H
#define LT_NODE_DAEMON_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_daemon lt_daemon_t;

  /** Creates the VM's servers, controllers and timers on LOOP.  SETTINGS must
     outlive it.  Returns 0 or a negative error number.  */
  int lt_daemon_create (struct ev_loop *loop, lt_clock_t *clock,
                        const lt_settings_t *settings, lt_daemon_t **daemon);
  lt_node_t *lt_daemon_node (lt_daemon_t *daemon);
  /** The bound ports, for listen ports of 0.  */
  uint16_t lt_daemon_port (lt_daemon_t *daemon);
  uint16_t lt_daemon_admin_port (lt_daemon_t *daemon);
  /** Starts to drain; ev_break is called on the loop when the drain ends.  */
  void lt_daemon_drain (lt_daemon_t *daemon);
  void lt_daemon_destroy (lt_daemon_t *daemon);

#ifdef __cplusplus
}
#endif

#endif
