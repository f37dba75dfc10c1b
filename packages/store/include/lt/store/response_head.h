/** @file
    Reader of the heads of HTTP/1.1 responses (RFC 9112, sections 2 to 6).
    libcurl accepts more than the grammar allows and frames the body by it, so
    the lines that it passes on are checked here, and nothing of a response is
    used before its whole final head has been.  What readers of HTTP understand
    in different ways is rejected.  */
#ifndef LT_STORE_RESPONSE_HEAD_H
#define LT_STORE_RESPONSE_HEAD_H

#include "lt/base/header_list.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Limits on all heads of a response, with those of interim responses.  A line
    costs memory beside its bytes.  */
#define LT_RESPONSE_HEAD_MAX_BYTES (256 * 1024)
#define LT_RESPONSE_HEAD_MAX_LINES 1000

  typedef enum lt_response_head_state
  {
    LT_RESPONSE_HEAD_STATUS, /**< A status line comes next. */
    LT_RESPONSE_HEAD_FIELDS,
    LT_RESPONSE_HEAD_COMPLETE /**< The final head has been read. */
  } lt_response_head_state_t;

  /** Zero-initialized before the first line.  */
  typedef struct lt_response_head
  {
    lt_response_head_state_t state;
    int status; /**< Of the latest status line, 100 to 599. */
    bool http_1_0;
    bool chunked;   /**< The body has the chunked transfer coding. */
    int64_t length; /**< Content-Length in bytes; -1: absent. */
    lt_header_list_t headers;
    size_t bytes;      /**< Read so far, interim heads included. */
    size_t lines;      /**< The same. */
    const char *fault; /**< What is wrong, for the log; NULL: nothing. */
  } lt_response_head_t;

  /** Reads the next LINE, with its line end.  Heads of interim responses are
      read and dropped.  Returns 0; -LT_EPROTO for a response that HTTP does
      not allow here or -LT_ETOOBIG, after which HEAD must not be used but for
      its fault.  */
  int lt_response_head_read (lt_response_head_t *head, str_t line);
  /** Returns whether a body may follow the complete HEAD.  TO_HEAD_METHOD: it
      responds to a HEAD request.  */
  bool lt_response_head_has_body (const lt_response_head_t *head,
                                  bool to_head_method);
  /** Releases the memory and leaves HEAD zero.  */
  void lt_response_head_destroy (lt_response_head_t *head);

#ifdef __cplusplus
}
#endif

#endif
