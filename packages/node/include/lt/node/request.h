/** @file
    A caller's request and its passage through the filter chain.  */
#ifndef LT_NODE_REQUEST_H
#define LT_NODE_REQUEST_H

#include "lt/base/header_list.h"
#include "lt/base/str.h"
#include "lt/config/snapshot.h"
#include "lt/node/filter.h"
#include "lt/node/refusal.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_FILTER_MAX 16
#define LT_REQUEST_ID_MAX 64

  /** The response to the caller.  */
  typedef struct lt_response
  {
    int status;
    lt_header_list_t headers;
    lt_buf_t body;     /**< Bytes not yet sent to the caller. */
    int64_t length;    /**< Of the whole body in bytes; -1: unknown. */
    bool header_ready; /**< Status and headers are complete. */
    bool complete;     /**< The whole body was received. */
    bool failed;       /**< The body was truncated. */
    bool header_sent; /**< The header was passed to the caller's connection. */
  } lt_response_t;

/* Where a request waits before an upstream has it: enumerator, text for logs
   and metrics.  */
#define LT_WAIT_PLACE_TABLE(X)                                                \
  X (LT_WAIT_NOWHERE, "")                                                     \
  X (LT_WAIT_CONFIG, "config")                                                \
  X (LT_WAIT_LIMIT, "limit")                                                  \
  X (LT_WAIT_ADMISSION, "admission")                                          \
  X (LT_WAIT_CLAIM, "claim")                                                  \
  X (LT_WAIT_ROOM, "room")                                                    \
  X (LT_WAIT_CONNECTION, "connection")                                        \
  X (LT_WAIT_RETRY, "retry")

#define LT_WAIT_PLACE_ENUM(name, text) name,
  typedef enum lt_wait_place
  {
    LT_WAIT_PLACE_TABLE (LT_WAIT_PLACE_ENUM) LT_WAIT_PLACES
  } lt_wait_place_t;
#undef LT_WAIT_PLACE_ENUM

  typedef struct lt_request lt_request_t;

  /** Consumer of a request's response, normally the caller's connection.  */
  typedef struct lt_request_sink
  {
    /** Called when the response header, more of the body, or the end of the
        response is available.  SINK is the request's sink_data.  */
    void (*wake) (void *sink, lt_request_t *request);
  } lt_request_sink_t;

  struct lt_request
  {
    struct lt_node *node;
    const lt_request_sink_t *sink;
    void *sink_data;
    uint64_t sequence; /**< Unique for this incarnation of the VM. */
    char request_id[LT_REQUEST_ID_MAX + 1];
    char *method;
    char *target; /**< Raw request target as received. */
    char *path;   /**< Normalized path, without query. */
    char *query;  /**< Query without '?', key removed; NULL: none. */
    lt_header_list_t headers;
    lt_buf_t body;
    int64_t body_limit_bytes;
    bool body_too_large;
    bool body_refused; /**< There is no memory for the body, or it stalled;
                          see the next two fields. */
    lt_refusal_t body_refusal;
    int64_t body_retry_after_ms;
    int64_t response_charged_bytes; /**< To the memory budget. */
    bool framing_invalid; /**< The body length is ambiguous, or the Host is
                             missing or repeated. */
    struct lt_snapshot_ref *config; /**< Snapshot used for this request. */
    const lt_snapshot_t *snapshot;
    const lt_route_t *route;
    uint32_t workspace; /**< LT_NO_INDEX on open routes without a key. */
    lt_wait_place_t wait_place; /**< The waiting list's, like the next 3. */
    int64_t waiting_since_us;
    lt_request_t *previous_waiting;
    lt_request_t *next_waiting;
    char *key; /**< Presented key; wiped when the request ends. */
    int64_t started_us;
    int64_t deadline_us; /**< On the monotonic clock. */
    lt_digest_t body_digest;
    lt_digest_t fingerprint; /**< For the quarantine; zero until computed. */
    void *filter_state[LT_FILTER_MAX];
    struct lt_dispatch *dispatch; /**< Set while attempts may be open. */
    int next_filter; /**< Index of the next filter; lower ones were called. */
    bool in_response_hooks;   /**< The on_response hooks are running. */
    int next_response_filter; /**< Filters below it remain to be called. */
    bool caller_disconnected; /**< Continues only for its outcome. */
    bool refused;
    bool ended;
    bool restricted; /**< Only some regions may serve it; set with the first
                        choice of an upstream. */
    bool byte_sent;  /**< Some upstream may have run the request. */
    int attempts;
    char upstream[LT_REQUEST_ID_MAX + 1]; /**< Of the last attempt. */
    lt_refusal_t refusal;
    lt_response_t response;
  };

  /** Creates a request of NODE; its creator must call lt_request_destroy.  */
  lt_request_t *lt_request_create (struct lt_node *node);
  /** Ends the request: calls the done hooks unless they were called, and frees
      it.  */
  void lt_request_destroy (lt_request_t *request);
  /** Runs the filter chain from the first filter with the node's current
      configuration.  */
  void lt_request_start (lt_request_t *request);
  /** Switches the request to the node's current configuration.  */
  void lt_request_use_current_config (lt_request_t *request);
  /** Resumes the filter chain after LT_FILTER_WAIT.  */
  void lt_request_resume (lt_request_t *request);
  /** Responds with a problem document (RFC 9457) and ends the request; returns
      LT_FILTER_REFUSED.  */
  lt_filter_result_t lt_request_refuse (lt_request_t *request,
                                        lt_refusal_t refusal);
  /** As lt_request_refuse, with the given Retry-After (0: none).  */
  lt_filter_result_t lt_request_refuse_after (lt_request_t *request,
                                              lt_refusal_t refusal,
                                              int64_t retry_after_ms);
  /** Refuses a request that this VM may not complete before it stops (see
      lt_node_may_cut).  */
  lt_filter_result_t lt_request_refuse_stopping (lt_request_t *request);
  /** Finishes a request whose response is complete or has failed: calls the
      done hooks and wakes the sink.  */
  void lt_request_finish (lt_request_t *request);
  /** Passes the complete response in REQUEST through the on_response hooks and
      then finishes the request.  */
  void lt_request_response_ready (lt_request_t *request);
  /** Milliseconds until the deadline, at least 0.  */
  int64_t lt_request_remaining_ms (const lt_request_t *request,
                                   int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
