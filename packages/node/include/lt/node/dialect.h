/** @file
    HTTP dialect: the names of the headers that callers, this proxy and
    upstreams exchange, and the rules for handling them.  lt_dialect_default
    applies unless an adapter to a hosting platform provides another.  An
    empty name means that the header is not used.  */
#ifndef LT_NODE_DIALECT_H
#define LT_NODE_DIALECT_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_dialect
  {
    str_t request_id; /**< Passed from the caller to the upstream and back. */
    str_t deadline;   /**< Remaining time in milliseconds. */
    str_t workspace;  /**< Sent to the upstream: name of the workspace. */
    str_t expected_instance; /**< Sent to the upstream: the name that it must
                                have. */
    str_t not_run; /**< Set by an upstream on requests that it did not run. */
    str_t seal;    /**< Set by the upstream itself, not by intermediaries. */
    /** Set by an upstream: the requests a second, a decimal number, that it
        takes from all VMs together while it says so.  */
    str_t rate_limit;
    /** Set to "1" by an upstream that leaves, on all its responses.  */
    str_t leaving;
    str_t instance;     /**< Set by an upstream: its name. */
    str_t warm_up_left; /**< Set by an upstream: milliseconds for which it
                           stays cold. */
    str_t run_state;    /**< Set on refusals: whether the request ran. */
    /** The upstream echoes the request id; a response with a different id
        belongs to another request.  */
    bool response_echoes_id;
    /** An upstream whose name differs from INSTANCE responds with 421 and does
        not run the request.  */
    bool misdirected_is_not_run;
    bool generates_request_id; /**< For requests without a valid one. */
    /** The request target is matched and forwarded without normalization.  */
    bool raw_target;
    /** Never-repeat actions are claimed under the caller's idempotency key
        before they are sent.  */
    bool uses_claims;
    /** Retry-After is sent with a fractional part.  */
    bool fractional_retry_after;
    str_t readiness_path; /**< Path served on the readiness address. */
  } lt_dialect_t;

  /** Dialect of deployments without a hosting platform.  */
  extern const lt_dialect_t lt_dialect_default;

#ifdef __cplusplus
}
#endif

#endif
