/** @file
    Fills a request from the caller's connection: target, headers, limits.  */
#ifndef LT_NODE_REQUEST_PARSE_H
#define LT_NODE_REQUEST_PARSE_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct MHD_Connection;

  /** Takes method, target and headers; finds the body limit of the route, and
      sets body_too_large when Content-Length exceeds it.  */
  void lt_request_parse_head (lt_request_t *request,
                              struct MHD_Connection *connection, str_t method,
                              str_t target);
  /** Brings PATH into normal form: decodes percent-encoded unreserved
      characters.  Returns -LT_EINVAL for dot segments, empty segments,
      encoded separators, control characters and malformed escapes, since
      upstreams could resolve such a path to another route.  */
  int lt_path_normalize (str_t path, lt_buf_t *out);
  /** Copies QUERY without the parameters whose name or value, decoded,
     contains KEY.  */
  void lt_query_strip_key (str_t query, str_t key, lt_buf_t *out);
  /** Appends TEXT with percent escapes decoded; malformed ones are kept.  */
  void lt_percent_decode (str_t text, lt_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
