/** @file
    Parses the target and headers of a caller's request and finds its body
    limit.  */
#ifndef LT_NODE_REQUEST_PARSE_H
#define LT_NODE_REQUEST_PARSE_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct MHD_Connection;

  /** Sets method, target, headers and the body limit of the route; sets
      body_too_large when Content-Length exceeds the limit, and framing_invalid
      when the length of the body is ambiguous or the Host does not suit
      VERSION ("HTTP/1.1").  */
  void lt_request_parse_head (lt_request_t *request,
                              struct MHD_Connection *connection, str_t method,
                              str_t target, str_t version);
  /** Appends the normal form of PATH to OUT, with percent-encoded unreserved
      characters decoded.  Returns 0, or -LT_EINVAL for dot segments, empty
      segments, encoded separators, control characters and malformed escapes,
      since upstreams could resolve such a path to another route.  */
  int lt_path_normalize (str_t path, lt_buf_t *out);
  /** Appends QUERY to OUT without the parameters whose decoded name or value
      contains KEY.  */
  void lt_query_strip_key (str_t query, str_t key, lt_buf_t *out);
  /** Appends TEXT to OUT with percent escapes decoded; malformed ones are
      kept.  */
  void lt_percent_decode (str_t text, lt_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
