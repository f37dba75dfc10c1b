/** @file
    What is sent on to an upstream and back to the caller: header filtering by
    RFC 9110, section 7.6, and removal of the caller's key.  */
#ifndef LT_NODE_OUTGOING_H
#define LT_NODE_OUTGOING_H

#include "lt/node/dialect.h"
#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Makes the header list for an upstream: the caller's headers without
      hop-by-hop headers, credentials, and anything that contains the key; with
      the dialect's headers for the workspace, the id and the deadline.  */
  void lt_outgoing_headers (const lt_request_t *request, int64_t now_us,
                            lt_header_list_t *out);
  /** Makes the request target: normalized path and query without key, or the
      caller's bytes where the dialect says so.  */
  void lt_outgoing_target (const lt_request_t *request, lt_buf_t *out);
  /** Copies an upstream's headers without hop-by-hop headers and those that
     the proxy sets itself; sets *LENGTH to Content-Length or -1.  */
  void lt_outgoing_answer_headers (const lt_dialect_t *dialect,
                                   const lt_header_list_t *headers,
                                   lt_header_list_t *out, int64_t *length);

#ifdef __cplusplus
}
#endif

#endif
