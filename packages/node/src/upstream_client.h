/** @file
    HTTP client for upstreams; owns the connections to them (libcurl multi). */
#ifndef LT_NODE_UPSTREAM_CLIENT_H
#define LT_NODE_UPSTREAM_CLIENT_H

#include "lt/node/request.h"
#include "lt/store/response_head.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;
  struct curl_slist;
  typedef struct lt_upstream_client lt_upstream_client_t;
  typedef struct lt_transfer lt_transfer_t;

  typedef enum lt_transfer_end
  {
    LT_TRANSFER_COMPLETE,
    LT_TRANSFER_REFUSED,   /**< Not sent: no connection, or on_send refused. */
    LT_TRANSFER_RESET,     /**< Closed before the response header. */
    LT_TRANSFER_TRUNCATED, /**< Closed or timed out within the body. */
    LT_TRANSFER_TIMEOUT,
    LT_TRANSFER_MALFORMED, /**< The response violates HTTP. */
    LT_TRANSFER_ABORTED    /**< The owner stopped it from a callback. */
  } lt_transfer_end_t;

  typedef struct lt_transfer_result
  {
    lt_transfer_end_t end;
    bool byte_sent;       /**< A byte of the request may have been sent. */
    bool connection_lost; /**< The upstream ended the connection after the
                             request was sent and before its response was
                             complete. */
    const char *fault;    /**< What makes the response malformed, or NULL. */
  } lt_transfer_result_t;

  /** Callbacks to the owner of a transfer.  The owner must not cancel the same
      transfer from within a callback; it returns false instead.  */
  typedef struct lt_transfer_vtable
  {
    /** Called with the final head, before any of the body.  Returns false to
        abort.  */
    bool (*on_header) (void *owner, const lt_response_head_t *head);
    /** Called with a part of the body.  Returns false to pause until
        lt_transfer_unpause; the same data is then passed again.  */
    bool (*on_body) (void *owner, str_t data);
    /** The last callback; the transfer has been freed.  */
    void (*on_done) (void *owner, const lt_transfer_result_t *result);
    /** Called before the request is written to a connection.  Returns false
        to prevent it from being sent.  */
    bool (*on_send) (void *owner);
  } lt_transfer_vtable_t;

  typedef struct lt_transfer_options
  {
    str_t address; /**< "ip:port". */
    str_t method;
    str_t target;                    /**< Path and query. */
    const lt_header_list_t *headers; /**< Sent unchanged; copied. */
    /** Not copied: must last until the transfer has ended, see
        lt_upstream_client_free_body.  */
    str_t body;
    int64_t timeout_ms;
    int64_t connect_ms; /**< Connect timeout; 0: default. */
  } lt_transfer_options_t;

  int lt_upstream_client_create (struct ev_loop *loop,
                                 lt_upstream_client_t **client);
  /** Frees CLIENT; open transfers end without callbacks.  */
  void lt_upstream_client_destroy (lt_upstream_client_t *client);
  /** Starts a transfer at once: none waits in libcurl, which would not ask
      its owner again.  Returns NULL when libcurl rejects it.  */
  lt_transfer_t *lt_upstream_client_send (lt_upstream_client_t *client,
                                          const lt_transfer_options_t *options,
                                          const lt_transfer_vtable_t *vtable,
                                          void *owner);
  /** Ends a transfer without further callbacks.  Its connection is closed, so
      a late response cannot reach another request.  */
  void lt_transfer_cancel (lt_transfer_t *transfer);
  void lt_transfer_unpause (lt_transfer_t *transfer);
  /** Frees BODY, whose transfers have ended or were cancelled.  libcurl may
      still read the body of a transfer that was cancelled in a callback; BODY
      is then freed after it.  */
  void lt_upstream_client_free_body (lt_upstream_client_t *client,
                                     lt_buf_t *body);

#ifdef __cplusplus
}
#endif

#endif
