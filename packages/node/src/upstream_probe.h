/** @file
    Health probe of an upstream: one request on a new connection.  */
#ifndef LT_NODE_UPSTREAM_PROBE_H
#define LT_NODE_UPSTREAM_PROBE_H

#include "upstream_client.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_upstream_probe lt_upstream_probe_t;

  /** OK: the upstream responded with a status below 500.  This only shows that
      the process responds; outcomes of requests show whether it is healthy.
      CLOSING: the upstream announced that it closes the connection.  */
  typedef void (*lt_upstream_probe_done_t) (void *user, bool ok, bool closing);

  /** Sends GET /healthz to ADDRESS ("ip:port").  Calls DONE once, never inside
      this call.  Returns NULL when the request cannot be sent; DONE is then
     not called.  */
  lt_upstream_probe_t *lt_upstream_probe_start (lt_upstream_client_t *client,
                                                str_t address,
                                                lt_upstream_probe_done_t done,
                                                void *user);
  /** Cancels and frees a probe whose DONE was not called yet; DONE is not
      called.  */
  void lt_upstream_probe_cancel (lt_upstream_probe_t *probe);

  /** Returns whether HEADERS contain "Connection: close".  */
  bool lt_headers_connection_close (const lt_header_list_t *headers);

#ifdef __cplusplus
}
#endif

#endif
