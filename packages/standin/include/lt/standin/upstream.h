/** @file
    Test double of an upstream: an HTTP server on the caller's loop whose
    behaviour can be changed at run time and which records the requests that it
    receives.
    Control paths: POST /standin/behaviour (JSON, members of
    lt_standin_behaviour_t; only the given ones change), GET /standin/log,
    POST /standin/reset-log, GET /healthz.  */
#ifndef LT_STANDIN_UPSTREAM_H
#define LT_STANDIN_UPSTREAM_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;

  /** Shares are probabilities in [0, 1], drawn per request in the order of the
      members.  */
  typedef struct lt_standin_behaviour
  {
    int64_t latency_ms;
    double slow_share;     /**< Takes latency_ms * slow_factor. */
    double slow_factor;    /**< At least 1. */
    double shed_share;     /**< Responds with 503 and Retry-After without
                              running. */
    int64_t retry_after_s; /**< Retry-After of shed responses. */
    double hang_share;     /**< Runs, never responds. */
    double reset_share;    /**< Runs, resets before the response header. */
    double cut_share;      /**< Closes right after the response header. */
    double truncate_share; /**< Closes in the middle of the body. */
    double fail_share;     /**< Runs, responds with 500. */
    int64_t body_bytes;    /**< Padding of the response body. */
    int64_t health_status; /**< Status of /healthz, independent of the other
                              members. */
    bool drain;            /**< Responses include Connection: close. */
    char crash_marker[64]; /**< A request crashes the upstream if its body or a
                              header value contains this; "": none. */
    int64_t restart_ms;    /**< Time that the port stays closed after a crash;
                              0: until lt_standin_upstream_start, and
                              on_crash is called (the program exits). */
  } lt_standin_behaviour_t;

  typedef struct lt_standin_upstream lt_standin_upstream_t;

  typedef struct lt_standin_upstream_options
  {
    struct ev_loop *loop;
    str_t listen; /**< "ip:port", default 127.0.0.1:0. */
    str_t name;   /**< Returned as X-Upstream. */
    uint64_t seed;
    void (*on_crash) (void *user); /**< Called when restart_ms is 0. */
    void *user;
  } lt_standin_upstream_options_t;

  int lt_standin_upstream_create (const lt_standin_upstream_options_t *options,
                                  lt_standin_upstream_t **upstream);
  void lt_standin_upstream_destroy (lt_standin_upstream_t *upstream);
  int lt_standin_upstream_port (const lt_standin_upstream_t *upstream);
  /** Returns the behaviour, to be changed in place.  */
  lt_standin_behaviour_t *
  lt_standin_upstream_behaviour (lt_standin_upstream_t *upstream);
  /** Applies a JSON object of members.  Returns 0 or -LT_EINVAL.  */
  int lt_standin_upstream_configure (lt_standin_upstream_t *upstream,
                                     str_t json);
  /** Closes the port and all connections; lt_standin_upstream_start reopens
      the port.  */
  void lt_standin_upstream_stop (lt_standin_upstream_t *upstream);
  int lt_standin_upstream_start (lt_standin_upstream_t *upstream);
  /** Returns how often requests with this Idempotency-Key ran.  */
  int64_t lt_standin_upstream_runs (const lt_standin_upstream_t *upstream,
                                    str_t idempotency_key);
  /** Returns how often requests ran in total.  */
  int64_t lt_standin_upstream_total (const lt_standin_upstream_t *upstream);
  /** Appends the log as JSON: name, received, runs, crashes, paths (runs by
      path), keys (runs by Idempotency-Key), requests (the last 200: method,
      path, headers, body).  */
  void lt_standin_upstream_log (const lt_standin_upstream_t *upstream,
                                lt_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
