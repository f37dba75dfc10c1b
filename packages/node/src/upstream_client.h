/** @file
    The task that owns the connections to upstreams (libcurl multi).  */
#ifndef LT_NODE_UPSTREAM_CLIENT_H
#define LT_NODE_UPSTREAM_CLIENT_H

#include "lt/node/request.h"

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
    LT_TRANSFER_REFUSED,   /**< No connection was made. */
    LT_TRANSFER_RESET,     /**< Closed before the answer's header. */
    LT_TRANSFER_TRUNCATED, /**< Closed within the body. */
    LT_TRANSFER_TIMEOUT,
    LT_TRANSFER_ABORTED /**< The owner stopped it from a callback. */
  } lt_transfer_end_t;

  typedef struct lt_transfer_result
  {
    lt_transfer_end_t end;
    bool byte_sent; /**< A byte of the request may have left. */
  } lt_transfer_result_t;

  /** What the owner of a transfer is told.  The owner must not cancel the same
      transfer from within a callback; it returns false instead.  */
  typedef struct lt_transfer_vtable
  {
    /** The final header; the list may be taken over (and emptied).  Returns
        false to abort.  */
    bool (*on_header) (void *owner, int status, lt_header_list_t *headers);
    /** Returns false to pause until lt_transfer_unpause; the data is then
       given again.  */
    bool (*on_body) (void *owner, str_t data);
    /** The last call; the transfer is gone afterwards.  */
    void (*on_done) (void *owner, const lt_transfer_result_t *result);
    /** The request is about to be written to a connection.  Returns false to
        keep it from being sent.  */
    bool (*on_send) (void *owner);
  } lt_transfer_vtable_t;

  typedef struct lt_transfer_options
  {
    str_t address; /**< "ip:port". */
    str_t method;
    str_t target;                    /**< Path and query. */
    const lt_header_list_t *headers; /**< Sent as they are. */
    str_t body;                      /**< Must outlive the transfer. */
    int64_t timeout_ms;
    bool fresh_connection; /**< Use a new connection for this request alone. */
    int64_t connect_ms;    /**< Bound of the connection; 0: built-in. */
  } lt_transfer_options_t;

  int lt_upstream_client_create (struct ev_loop *loop, int64_t connections,
                                 lt_upstream_client_t **client);
  /** Open transfers end without callbacks.  */
  void lt_upstream_client_destroy (lt_upstream_client_t *client);
  /** Starts a transfer.  Returns NULL when libcurl refuses the options.  */
  lt_transfer_t *lt_upstream_client_send (lt_upstream_client_t *client,
                                          const lt_transfer_options_t *options,
                                          const lt_transfer_vtable_t *vtable,
                                          void *owner);
  /** Ends a transfer without further callbacks; its connection is closed, so a
      late answer cannot reach another request.  */
  void lt_transfer_cancel (lt_transfer_t *transfer);
  void lt_transfer_unpause (lt_transfer_t *transfer);

#ifdef __cplusplus
}
#endif

#endif
