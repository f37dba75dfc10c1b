/** @file
    A libmicrohttpd daemon on a libev loop whose responses can be delayed,
    truncated or replaced by a TCP reset.  Shared by the test doubles.  */
#ifndef LT_STANDIN_HTTPD_H
#define LT_STANDIN_HTTPD_H

#include <ev.h>
#include <microhttpd.h>

#include "lt/base/str.h"

typedef struct standin_httpd standin_httpd_t;

/** One request whose body has been received.  */
typedef struct standin_request
{
  struct standin_request *prev;
  struct standin_request *next;
  standin_httpd_t *httpd;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  lt_buf_t body;
  void *user; /**< For the handler; freed with free(). */
  struct MHD_Response *response;
  unsigned status;
  bool reset;
  bool handled;
  bool suspended;
  bool deferred; /**< The handler is called again when the timer expires. */
  ev_timer timer;
} standin_request_t;

/** Handles REQUEST: calls exactly one of the functions below.  */
typedef void (*standin_handler_t) (void *user, standin_request_t *request);

enum
{
  STANDIN_NEVER = -1 /**< Delay of a response that is never sent. */
};

/** Listens on LISTEN ("ip:port", port 0 for any).  Returns 0, -LT_EINVAL or
    -LT_EIO.  */
int standin_httpd_create (struct ev_loop *loop, str_t listen,
                          standin_handler_t handler, void *user,
                          standin_httpd_t **httpd);
void standin_httpd_destroy (standin_httpd_t *httpd);
int standin_httpd_port (const standin_httpd_t *httpd);
/** Closes the listening socket and all connections; standin_httpd_start opens
    the same port again.  Neither may be called by a handler.  */
void standin_httpd_stop (standin_httpd_t *httpd);
int standin_httpd_start (standin_httpd_t *httpd);

/** Sends RESPONSE after DELAY_MS and takes ownership of it.  */
void standin_reply (standin_request_t *request, unsigned status,
                    struct MHD_Response *response, int64_t delay_ms);
/** Sends a response with a copy of BODY.  */
void standin_reply_text (standin_request_t *request, unsigned status,
                         const char *content_type, str_t body,
                         int64_t delay_ms);
/** Calls the handler again after DELAY_MS, even if the client has
 * disconnected.  */
void standin_defer (standin_request_t *request, int64_t delay_ms);
/** Sends a TCP reset in place of a response.  */
void standin_reply_reset (standin_request_t *request, int64_t delay_ms);
/** Returns a header value, or NULL.  */
const char *standin_request_header (const standin_request_t *request,
                                    const char *name);
/** Returns a response that announces one byte more than DATA has and closes
   the connection after SENT bytes of DATA.  */
struct MHD_Response *standin_response_cut (str_t data, size_t sent);

#endif
