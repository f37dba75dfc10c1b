/** @file
    One health request to an upstream, on a connection of its own.  */
#ifndef LT_NODE_UPSTREAM_PROBE_H
#define LT_NODE_UPSTREAM_PROBE_H

#include "upstream_client.h"

typedef struct lt_upstream_probe lt_upstream_probe_t;

/** OK: the upstream answered below 500, which shows a process that answers;
    whether it answers well is for its traffic to show.  CLOSING: it closes the
    connection of its own accord.  */
typedef void (*lt_upstream_probe_done_t) (void *user, bool ok, bool closing);

/** Sends GET /healthz to ADDRESS.  Calls DONE once, never inside this call.
    Returns NULL when the request cannot be sent (DONE is not called).  */
lt_upstream_probe_t *lt_upstream_probe_start (lt_upstream_client_t *client,
                                              str_t address,
                                              lt_upstream_probe_done_t done,
                                              void *user);
/** Ends a probe whose DONE was not called yet, without calling it.  */
void lt_upstream_probe_cancel (lt_upstream_probe_t *probe);

/** Returns whether HEADERS announce that the sender closes the connection.  */
bool lt_headers_close (const lt_header_list_t *headers);

#endif
