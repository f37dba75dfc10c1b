/** @file
    Shared types of the health modules: the upstreams of one service with their
    slots, and what VMs observe about them.  Upstreams are identified by their
    index in the service's list.

    health_test.h is the statistical test for failing and slow upstreams.
    health_local.h decides on one VM which upstreams that VM avoids.
    health_fleet.h runs on one VM, the aggregator, and proposes which upstreams
    all VMs eject.  health_record.h is the record of these ejections; it keeps
    the floor, the share of the service's slots that must stay usable.  */
#ifndef LT_POLICY_HEALTH_H
#define LT_POLICY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** Maximum number of failure domains in a fleet.  */
#define LT_HEALTH_MAX_DOMAINS 32

  /** One upstream as the health modules need it.  */
  typedef struct lt_health_upstream
  {
    int32_t slots;           /**< Requests that it runs at a time. */
    uint32_t failure_domain; /**< Below LT_HEALTH_MAX_DOMAINS. */
    bool remote;             /**< In another region than this VM. */
    bool out_of_service;     /**< Draining, stopping, stopped or taken out by
                                operators. */
  } lt_health_upstream_t;

  /** The upstreams of one service.  The owner updates `out` of the upstreams
      in place.  */
  typedef struct lt_health_pool
  {
    lt_health_upstream_t *upstreams;
    uint32_t count;
    int32_t floor_percent; /**< Share of slots that must stay usable. */
  } lt_health_pool_t;

  /** The outcome of one attempt.  */
  typedef enum lt_health_outcome
  {
    LT_HEALTH_OK,
    LT_HEALTH_FAILED,  /**< 5xx, malformed or truncated response. */
    LT_HEALTH_RESET,   /**< Connection lost before the response header. */
    LT_HEALTH_REFUSED, /**< No connection could be made. */
    LT_HEALTH_SHED,    /**< 503 with Retry-After; not counted. */
    LT_HEALTH_TIMEOUT  /**< No response within the attempt's time. */
  } lt_health_outcome_t;

  typedef struct lt_health_observation
  {
    uint32_t upstream;
    lt_health_outcome_t outcome;
    /** The request is a quarantine suspect (quarantine.h): it may crash the
        upstreams that run it, so a reset is no evidence against this one.  */
    bool quarantine_suspect;
    /** Time to the response header; only with LT_HEALTH_OK.  */
    int64_t latency_us;
  } lt_health_observation_t;

  /** The kinds of evidence.  Each is a stream of Bernoulli trials: a response
      either is bad (failed or slow) or not.  */
  typedef enum lt_health_stream
  {
    LT_HEALTH_STREAM_FAILED,
    LT_HEALTH_STREAM_SLOW,
    LT_HEALTH_STREAMS
  } lt_health_stream_t;

  /** Why an upstream is ejected or avoided, for operators.  */
  typedef struct lt_health_evidence
  {
    lt_health_stream_t stream;
    double score;     /**< Log-likelihood ratio of a fault. */
    double threshold; /**< Score at which the decision is made. */
    double share;     /**< Observed share of bad responses. */
    double baseline;  /**< That share of the service's other upstreams. */
    double trials;    /**< Responses since the estimated onset. */
    uint32_t domains; /**< Failure domains that support the decision. */
  } lt_health_evidence_t;

/** Buckets of a latency sketch, a histogram with logarithmic buckets.  Bucket
    b holds [2^(b/3) ms, 2^((b+1)/3) ms); the first also holds all latencies
    below, the last (from 8.2 s) all above.  With two buckets per doubling, the
    latency limit for slow responses was off by a factor of up to 1.4, and
    detecting three times the normal latency took 5.1 s instead of 1.3 s.  */
#define LT_HEALTH_BUCKETS 40

  /** Counts of one upstream on one VM since the VM's last digest, the message
      by which VMs send their counts to the aggregator.  */
  typedef struct lt_health_counts
  {
    uint32_t upstream;
    bool remote; /**< The VM is in another region than the upstream. */
    uint32_t requests;
    uint32_t failed;
    uint32_t in_flight;                  /**< At the time of the digest. */
    uint16_t latency[LT_HEALTH_BUCKETS]; /**< Of LT_HEALTH_OK responses. */
  } lt_health_counts_t;

  /** Returns the sketch bucket of a latency.  */
  uint32_t lt_health_bucket (int64_t latency_us);
  /** Returns the slots of all upstreams of POOL.  */
  int64_t lt_health_pool_slots (const lt_health_pool_t *pool);
  /** Returns the slots that must stay usable: the floor's share of all slots,
      rounded up.  */
  int64_t lt_health_pool_floor (const lt_health_pool_t *pool);
  const char *lt_health_stream_name (lt_health_stream_t stream);

#ifdef __cplusplus
}
#endif

#endif
