/** @file
    HTTP server for callers; owns their connections (libmicrohttpd).  */
#ifndef LT_NODE_CALLER_SERVER_H
#define LT_NODE_CALLER_SERVER_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_caller_server lt_caller_server_t;

  /** Listens on the address in the settings.  Returns 0, -LT_EINVAL for a
      malformed address or -LT_EIO.  */
  int lt_caller_server_create (lt_node_t *node, lt_caller_server_t **server);
  /** Returns the bound port, which differs from the settings when those say
      port 0.  */
  uint16_t lt_caller_server_port (const lt_caller_server_t *server);
  /** Closes the listening socket and, from now on, idle connections; open
      requests continue.  */
  void lt_caller_server_quiesce (lt_caller_server_t *server);
  /** Returns the number of open connections.  */
  int lt_caller_server_connections (const lt_caller_server_t *server);
  /** Returns whether a caller whose connection was closed here has not
     received its response whole.  */
  bool lt_caller_server_has_unread (const lt_caller_server_t *server);
  /** Called about every 100 ms; keeps within the node's memory budget.  */
  void lt_caller_server_tick (lt_caller_server_t *server, int64_t now_us);
  void lt_caller_server_destroy (lt_caller_server_t *server);

#ifdef __cplusplus
}
#endif

#endif
