/** @file
    HTTP requests, signed where the service wants it, on a libev loop (libcurl
    multi).  */
#ifndef LT_STORE_HTTP_CLIENT_H
#define LT_STORE_HTTP_CLIENT_H

#include <ev.h>

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
    str_t region;
    str_t access_key;
    str_t secret_key;
    /** A connection whose peer stays silent this long, although the system
       asks, is given up; 0: never.  */
    int64_t silence_ms;
    int64_t connect_ms; /**< Bound of a connection; 0: that of the request. */
  } http_client_options_t;

  typedef struct http_request
  {
    const char *method;
    const char *service; /**< Of the signature: "s3" or "dynamodb"; NULL: not
                            signed. */
    const char *url;
    str_t body;
    const char *headers[4]; /**< "Name: value", up to the first NULL. */
    int64_t timeout_ms;
  } http_request_t;

  typedef struct http_response
  {
    int error; /**< 0 when a complete response arrived; -LT_EUNAVAILABLE when
                  no connection could be made; else -LT_ETIMEOUT, -LT_EIO or
                  -LT_ECANCELED. */
    long status;
    str_t body;
  } http_response_t;

  typedef void (*http_done_t) (void *user, const http_response_t *response);

  int http_client_create (const http_client_options_t *options,
                          http_client_t **client);
  /** Reports open requests with -LT_ECANCELED.  */
  void http_client_destroy (http_client_t *client);
  /** Copies REQUEST.  Anything but a GET is sent at most once: libcurl repeats
      a request on another connection when a kept one turns out closed, and a
      repeated conditional write would be refused by its own first copy.  DONE
     is called later from the loop.  */
  int http_client_submit (http_client_t *client, const http_request_t *request,
                          http_done_t done, void *user);

#ifdef __cplusplus
}
#endif

#endif
