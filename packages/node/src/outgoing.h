/** @file
    Builds what is forwarded to upstreams and back to callers: filters headers
    according to RFC 9110, section 7.6, and removes the caller's key.  */
#ifndef LT_NODE_OUTGOING_H
#define LT_NODE_OUTGOING_H

#include "lt/node/dialect.h"
#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Appends the headers for an upstream to OUT: the caller's headers without
      hop-by-hop headers, credentials and headers that contain the key, plus
      the dialect's headers for workspace, request id and remaining time.  */
  void lt_outgoing_headers (const lt_request_t *request, int64_t now_us,
                            lt_header_list_t *out);
  /** Appends the request target for an upstream to OUT: the normalized path
      and the query without the key, or the caller's target unchanged if the
      dialect says so.  */
  void lt_outgoing_target (const lt_request_t *request, lt_buf_t *out);
  /** Appends an upstream's response headers to OUT, without hop-by-hop headers
      and those that the proxy sets itself.  */
  void lt_outgoing_response_headers (const lt_dialect_t *dialect,
                                     const lt_header_list_t *headers,
                                     lt_header_list_t *out);

#ifdef __cplusplus
}
#endif

#endif
