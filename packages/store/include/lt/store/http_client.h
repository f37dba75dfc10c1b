/** @file
    Asynchronous HTTP client on a libev loop (libcurl multi).  Signs requests
    with AWS Signature Version 4 where the service requires it.  */
#ifndef LT_STORE_HTTP_CLIENT_H
#define LT_STORE_HTTP_CLIENT_H

#include <ev.h>

#include "lt/base/clock.h"
#include "lt/base/str.h"
#include "lt/store/store.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct http_client http_client_t;

  typedef struct http_client_options
  {
    struct ev_loop *loop;
    lt_clock_t *clock; /**< For reuse_ms; NULL: the system's. */
    str_t region;
    str_t access_key;
    str_t secret_key;
    /** Closes a connection whose peer has not replied to TCP keep-alive probes
       or acknowledged data for this long; 0: no limit.  */
    int64_t silence_ms;
    int64_t connect_ms; /**< Timeout for connecting; 0: only the request
                           timeout applies. */
    /** A connection may fall silent without a reset, and a request on it waits
        until its timeout.  If there was no response for this long, or the last
        request timed out, the next one opens a new connection; 0: kept ones
        are used.  */
    int64_t reuse_ms;
  } http_client_options_t;

  typedef struct http_request
  {
    const char *method;
    const char *service; /**< Service name in the signature: "s3" or
                            "dynamodb"; NULL: not signed. */
    const char *url;
    str_t body;
    const char *headers[4]; /**< "Name: value"; ends at the first NULL. */
    /** Name of a response header to return; NULL: none.  A string that lives
        until the response.  */
    const char *response_header;
    int64_t timeout_ms;
  } http_request_t;

  typedef struct http_response
  {
    int error; /**< 0 when a complete response arrived; -LT_EUNAVAILABLE when
                  no connection could be made; else -LT_ETIMEOUT, -LT_EIO or
                  -LT_ECANCELED. */
    long status;
    str_t body;
    str_t header; /**< Value of response_header; empty: absent. */
  } http_response_t;

  typedef void (*http_done_t) (void *user, const http_response_t *response);

  /** Stores the new client in *CLIENT; the caller destroys it.  Returns 0 or
      -LT_EIO.  */
  int http_client_create (const http_client_options_t *options,
                          http_client_t **client);
  /** Completes pending requests with -LT_ECANCELED.  CLIENT may be NULL.  */
  void http_client_destroy (http_client_t *client);
  /** Copies REQUEST; DONE is called later from the loop.  Any request but a
     GET is sent at most once: libcurl would resend it when a reused connection
      turns out to be closed, and if the first copy of a conditional write had
      taken effect, the second would fail its condition.  */
  int http_client_submit (http_client_t *client, const http_request_t *request,
                          http_done_t done, void *user);

#ifdef __cplusplus
}
#endif

#endif
