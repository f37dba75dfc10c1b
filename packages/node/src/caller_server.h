/** @file
    The task that owns the callers' connections (libmicrohttpd).  */
#ifndef LT_NODE_CALLER_SERVER_H
#define LT_NODE_CALLER_SERVER_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_caller_server lt_caller_server_t;

  /** Listens on the settings' address.  Returns 0 or -LT_EIO.  */
  int lt_caller_server_create (lt_node_t *node, lt_caller_server_t **server);
  /** The bound port, for a listen port of 0.  */
  uint16_t lt_caller_server_port (const lt_caller_server_t *server);
  /** Stops accepting; open connections go on.  */
  void lt_caller_server_quiesce (lt_caller_server_t *server);
  /** Number of open connections.  */
  int lt_caller_server_connections (const lt_caller_server_t *server);
  void lt_caller_server_destroy (lt_caller_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
