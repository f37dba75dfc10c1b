/** @file
    One request of a caller on its way through the filter chain.  */
#ifndef LT_NODE_REQUEST_H
#define LT_NODE_REQUEST_H

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

  typedef struct lt_header
  {
    str_t name;
    str_t value;
  } lt_header_t;

  typedef struct lt_header_list
  {
    lt_header_t *items;
    size_t count;
    size_t cap;
  } lt_header_list_t;

  /** Adds copies of NAME and VALUE.  */
  void lt_header_list_add (lt_header_list_t *list, str_t name, str_t value);
  /** Returns the first value of NAME, or an empty view with NULL data.  */
  str_t lt_header_list_get (const lt_header_list_t *list, str_t name);
  size_t lt_header_list_count (const lt_header_list_t *list, str_t name);
  void lt_header_list_destroy (lt_header_list_t *list);

  /** The answer on its way to the caller.  */
  typedef struct lt_answer
  {
    int status;
    lt_header_list_t headers;
    lt_buf_t body;     /**< Bytes not yet taken by the caller. */
    int64_t length;    /**< Of the whole body; -1: unknown. */
    bool header_ready; /**< Status and headers are complete. */
    bool complete;     /**< The whole body was received. */
    bool failed;       /**< The body was cut short. */
    bool started;      /**< The header was shown to the caller. */
  } lt_answer_t;

  typedef struct lt_request lt_request_t;

  /** The caller's side of a request.  */
  typedef struct lt_request_sink
  {
    /** The answer's header is ready, or more of its body, or its end.  */
    void (*wake) (void *sink, lt_request_t *request);
  } lt_request_sink_t;

  struct lt_request
  {
    struct lt_node *node;
    const lt_request_sink_t *sink;
    void *sink_data;
    uint64_t sequence; /**< Unique on this VM and incarnation. */
    char request_id[LT_REQUEST_ID_MAX + 1];
    char *method;
    char *target; /**< Raw request target as received. */
    char *path;   /**< Normalized path, without query. */
    char *query;  /**< Query without '?', key removed; NULL: none. */
    lt_header_list_t headers;
    lt_buf_t body;
    int64_t body_limit_bytes;
    bool body_too_large;
    bool head_invalid; /**< Framing headers contradict each other. */
    struct lt_snapshot_ref *config; /**< Snapshot used for this request. */
    const lt_snapshot_t *snapshot;
    const lt_route_t *route;
    uint32_t workspace; /**< LT_NO_INDEX on open routes without a key. */
    char *key;          /**< Presented key; wiped when the request ends. */
    int64_t started_us;
    int64_t deadline_us; /**< Monotonic. */
    lt_digest_t body_digest;
    lt_digest_t
        fingerprint; /**< For the quarantine; zero before it is known. */
    void *filter_state[LT_FILTER_MAX];
    struct lt_dispatch *dispatch; /**< While attempts may be open. */
    int next_filter; /**< Next to run; filters below it were called. */
    bool in_answer;  /**< Answer hooks are running. */
    int answer_filter;
    bool caller_gone; /**< Goes on for its outcome; is not sent again. */
    bool refused;
    bool ended;
    bool byte_sent; /**< A byte may have left for some upstream. */
    int attempts;
    char upstream[LT_REQUEST_ID_MAX + 1]; /**< Of the last attempt. */
    lt_refusal_t refusal;
    lt_answer_t answer;
  };

  lt_request_t *lt_request_create (struct lt_node *node);
  /** Ends the request: calls the done hooks and releases it.  */
  void lt_request_destroy (lt_request_t *request);
  /** Runs the chain from the first filter, with the configuration in force
      now.  */
  void lt_request_start (lt_request_t *request);
  /** Goes on with the configuration in force now.  */
  void lt_request_use_current_config (lt_request_t *request);
  /** Goes on after LT_FILTER_WAIT.  */
  void lt_request_resume (lt_request_t *request);
  /** Answers with a problem document; returns LT_FILTER_REFUSED.  */
  lt_filter_result_t lt_request_refuse (lt_request_t *request,
                                        lt_refusal_t refusal);
  /** As lt_request_refuse, with a Retry-After of its own.  */
  lt_filter_result_t lt_request_refuse_after (lt_request_t *request,
                                              lt_refusal_t refusal,
                                              int64_t retry_after_ms);
  /** The answer's last byte is at hand, or it failed: calls the done hooks and
    wakes the caller's side.  */
  void lt_request_finish (lt_request_t *request);
  /** Shows a complete answer that did not come from an upstream in this call;
        the answer must be filled in.  */
  void lt_request_answer_ready (lt_request_t *request);
  /** Milliseconds until the deadline, at least 0.  */
  int64_t lt_request_remaining_ms (const lt_request_t *request,
                                   int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
