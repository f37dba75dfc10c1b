/** @file
    Reasons for refusing a request, each with a name, an HTTP status, whether
    the request ran, and a Retry-After hint in seconds (0: none).
  */
#ifndef LT_NODE_REFUSAL_H
#define LT_NODE_REFUSAL_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_run_state
  {
    LT_RUN_STATE_NOT_RUN, /**< No byte of the request was sent to an upstream.
                           */
    LT_RUN_STATE_UNKNOWN, /**< It may have run. */
    LT_RUN_STATE_RAN /**< It ran earlier; its recorded outcome is returned. */
  } lt_run_state_t;

/** Identifier, reason, status, ran, retry-after in seconds, title.  */
#define LT_REFUSAL_TABLE(X)                                                   \
  X (LT_REFUSE_PATH_INVALID, "path-invalid", 400, LT_RUN_STATE_NOT_RUN, 0,    \
     "The path is not in normal form")                                        \
  X (LT_REFUSE_HEADER_INVALID, "header-invalid", 400, LT_RUN_STATE_NOT_RUN,   \
     0, "A header is malformed")                                              \
  X (LT_REFUSE_NO_ROUTE, "no-route", 404, LT_RUN_STATE_NOT_RUN, 0,            \
     "No route matches the path")                                             \
  X (LT_REFUSE_METHOD, "method-not-allowed", 405, LT_RUN_STATE_NOT_RUN, 0,    \
     "The route does not allow the method")                                   \
  X (LT_REFUSE_BODY_TOO_LARGE, "body-too-large", 413, LT_RUN_STATE_NOT_RUN,   \
     0, "The body exceeds the limit of the route")                            \
  X (LT_REFUSE_BODY_OVER_MEMORY, "body-over-memory", 413,                     \
     LT_RUN_STATE_NOT_RUN, 0, "The body exceeds the memory of this VM")       \
  X (LT_REFUSE_MEMORY, "memory-full", 503, LT_RUN_STATE_NOT_RUN, 1,           \
     "No memory became free for the body")                                    \
  X (LT_REFUSE_BODY_STALLED, "body-stalled", 408, LT_RUN_STATE_NOT_RUN, 0,    \
     "The body made no progress while others waited for memory")              \
  X (LT_REFUSE_KEY_MISSING, "key-missing", 401, LT_RUN_STATE_NOT_RUN, 0,      \
     "The route requires a key")                                              \
  X (LT_REFUSE_KEY_UNKNOWN, "key-unknown", 401, LT_RUN_STATE_NOT_RUN, 0,      \
     "The key is not valid")                                                  \
  X (LT_REFUSE_WORKSPACE, "workspace-not-allowed", 403, LT_RUN_STATE_NOT_RUN, \
     0, "The workspace may not use the route")                                \
  X (LT_REFUSE_KEY_IN_REQUEST, "key-in-request", 400, LT_RUN_STATE_NOT_RUN,   \
     0, "The key appears in the path or the body")                            \
  X (LT_REFUSE_NOT_CONFIRMED, "config-not-confirmed", 503,                    \
     LT_RUN_STATE_NOT_RUN, 2,                                                 \
     "The configuration could not be confirmed as current")                   \
  X (LT_REFUSE_NO_CONFIG, "no-configuration", 503, LT_RUN_STATE_NOT_RUN, 2,   \
     "No configuration is in force yet")                                      \
  X (LT_REFUSE_DEADLINE_INVALID, "deadline-invalid", 400,                     \
     LT_RUN_STATE_NOT_RUN, 0, "X-Deadline-Ms must be a positive integer")     \
  X (LT_REFUSE_QUARANTINED, "request-quarantined", 503, LT_RUN_STATE_NOT_RUN, \
     60, "Earlier copies of this request crashed upstreams")                  \
  X (LT_REFUSE_RATE, "rate-limited", 429, LT_RUN_STATE_NOT_RUN, 1,            \
     "The workspace is above its rate")                                       \
  X (LT_REFUSE_QUEUE_FULL, "queue-full", 503, LT_RUN_STATE_NOT_RUN, 1,        \
     "The queue of the service is full")                                      \
  X (LT_REFUSE_DEADLINE_UNREACHABLE, "deadline-unreachable", 503,             \
     LT_RUN_STATE_NOT_RUN, 1, "The expected wait exceeds the deadline")       \
  X (LT_REFUSE_KEY_REQUIRED, "idempotency-key-required", 400,                 \
     LT_RUN_STATE_NOT_RUN, 0, "The route requires an Idempotency-Key header") \
  X (LT_REFUSE_IN_PROGRESS, "action-in-progress", 409, LT_RUN_STATE_UNKNOWN,  \
     1, "An earlier call with this idempotency key is in progress")           \
  X (LT_REFUSE_OUTCOME_UNKNOWN, "outcome-unknown", 409, LT_RUN_STATE_UNKNOWN, \
     0, "The outcome of an earlier call with this key is unknown")            \
  X (LT_REFUSE_KEY_REUSED, "key-reused", 422, LT_RUN_STATE_NOT_RUN, 0,        \
     "The idempotency key was used with another request")                     \
  X (LT_REFUSE_CLAIM_UNAVAILABLE, "claim-unavailable", 503,                   \
     LT_RUN_STATE_NOT_RUN, 5, "The action could not be claimed")              \
  X (LT_REFUSE_NO_UPSTREAM, "no-upstream", 503, LT_RUN_STATE_NOT_RUN, 1,      \
     "No upstream can take the request")                                      \
  X (LT_REFUSE_STOPPING, "stopping", 503, LT_RUN_STATE_NOT_RUN, 0,            \
     "This VM stops before the deadline")                                     \
  X (LT_REFUSE_UPSTREAM_FAILED, "upstream-failed", 502, LT_RUN_STATE_UNKNOWN, \
     0, "The upstream failed")                                                \
  X (LT_REFUSE_DEADLINE, "deadline-exceeded", 504, LT_RUN_STATE_UNKNOWN, 0,   \
     "The deadline passed")                                                   \
  X (LT_REFUSE_INTERNAL, "internal-error", 500, LT_RUN_STATE_UNKNOWN, 0,      \
     "Internal error")

#define LT_REFUSAL_ENUM(id, reason, status, ran, retry_after, title) id,
  typedef enum lt_refusal
  {
    LT_REFUSAL_TABLE (LT_REFUSAL_ENUM) LT_REFUSAL_COUNT
  } lt_refusal_t;
#undef LT_REFUSAL_ENUM

  typedef struct lt_refusal_info
  {
    const char *reason;
    int status;
    lt_run_state_t ran;
    int retry_after_s;
    const char *title;
  } lt_refusal_info_t;

  const lt_refusal_info_t *lt_refusal_get (lt_refusal_t refusal);
  /** Returns the X-Request-Ran value: "not-run", "unknown" or "ran".  */
  const char *lt_run_state_text (lt_run_state_t ran);

#ifdef __cplusplus
}
#endif

#endif
