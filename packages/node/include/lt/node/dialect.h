/** @file
    Names of the headers that callers, this proxy and upstreams exchange, and
    what goes with them.  The product has its own; an adapter may bring
    another.  An empty name means that the header is not used.  */
#ifndef LT_NODE_DIALECT_H
#define LT_NODE_DIALECT_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_dialect
  {
    str_t request_id; /**< From the caller, to the upstream and back. */
    str_t deadline;   /**< Milliseconds left. */
    str_t workspace;  /**< To the upstream: the workspace's name. */
    str_t instance;   /**< To the upstream: the name that it must have. */
    str_t not_run;    /**< In an upstream's answer: the request did not run. */
    str_t seal;       /**< An upstream's own answer carries it. */
    str_t ran;        /**< In a refusal: whether the request ran. */
    /** The upstream repeats the request id; an answer with another one
        belongs to another request.  */
    bool answer_repeats_id;
    /** An upstream with another name answers 421 and does not run it.  */
    bool misdirected_is_not_run;
    bool makes_request_id; /**< For requests that bring none. */
    /** The target is matched and sent on byte for byte.  */
    bool raw_target;
    /** Never-repeat actions are claimed by the caller's idempotency key.  */
    bool claims;
    /** Retry-After may have decimals.  */
    bool fractional_retry_after;
    str_t readiness_path; /**< On the readiness address. */
  } lt_dialect_t;

  /** The product's own names.  */
  extern const lt_dialect_t lt_dialect_default;

#ifdef __cplusplus
}
#endif

#endif
