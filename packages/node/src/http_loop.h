/** @file
    Runs a libmicrohttpd daemon on the libev loop of the node, without threads.
 */
#ifndef LT_NODE_HTTP_LOOP_H
#define LT_NODE_HTTP_LOOP_H

#include <ev.h>
#include <stdarg.h>
#include <stdint.h>
#include <microhttpd.h>

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_http_loop
  {
    struct ev_loop *loop;
    struct MHD_Daemon *daemon;
    ev_io readable;
    ev_timer timeout;
    ev_prepare prepare;
    bool run_needed;
    uint64_t runs; /* Of the daemon; each reads a connection once at most,
                      before anything else is done with it. */
  } lt_http_loop_t;

  /** Watches DAEMON (started with MHD_USE_EPOLL).  Returns 0 or -LT_EIO.  */
  int lt_http_loop_start (lt_http_loop_t *http, struct ev_loop *loop,
                          struct MHD_Daemon *daemon);
  /** Makes the daemon run before the event loop blocks again; must be called
      after resuming a connection.  */
  void lt_http_loop_wake (lt_http_loop_t *http);
  /** Logger for MHD_OPTION_EXTERNAL_LOGGER: writes libmicrohttpd's messages at
      debug level.  */
  void lt_http_loop_log (void *cls, const char *format, va_list args);
  /** Returns the bound port, or 0 when it is unknown.  */
  uint16_t lt_http_loop_port (const lt_http_loop_t *http);
  /** Stops the watchers and the daemon.  */
  void lt_http_loop_stop (lt_http_loop_t *http);

#ifdef __cplusplus
}
#endif

#endif
