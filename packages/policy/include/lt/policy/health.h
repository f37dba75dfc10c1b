/** @file
    Shared types of the health modules: one service's upstreams with their
    slots, and what a VM observes about them.  Upstreams are indexes into the
    service's list.

    health_test.h is the sequential test, health_local.h what one VM concludes,
    health_fleet.h what the aggregator concludes from all VMs, health_record.h
    the ejection record that guards the floor.  */
#ifndef LT_POLICY_HEALTH_H
#define LT_POLICY_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** Most failure domains that one fleet may have.  */
#define LT_HEALTH_MAX_DOMAINS 32

  /** One upstream as the health modules need it.  */
  typedef struct lt_health_upstream
  {
    int32_t slots;
    uint32_t failure_domain; /**< Below LT_HEALTH_MAX_DOMAINS. */
    bool remote;             /**< In another region than this VM. */
    bool out; /**< Draining, stopping, stopped or taken out by operators. */
  } lt_health_upstream_t;

  /** The upstreams of one service.  The owner updates `out` in place.  */
  typedef struct lt_health_pool
  {
    lt_health_upstream_t *upstreams;
    uint32_t count;
    int32_t floor_percent; /**< Least share of slots that must stay usable. */
  } lt_health_pool_t;

  /** What an upstream did with one request.  */
  typedef enum lt_health_outcome
  {
    LT_HEALTH_OK,
    LT_HEALTH_FAILED,  /**< 5xx, malformed or truncated response. */
    LT_HEALTH_RESET,   /**< Connection lost before the response header. */
    LT_HEALTH_REFUSED, /**< No connection could be made. */
    LT_HEALTH_SHED,    /**< 503 with Retry-After; no evidence. */
    LT_HEALTH_TIMEOUT  /**< No response within the attempt's time. */
  } lt_health_outcome_t;

  typedef struct lt_health_observation
  {
    uint32_t upstream;
    lt_health_outcome_t outcome;
    bool suspect; /**< The request is a quarantine suspect: its reset is not
                     evidence against the upstream. */
    int64_t latency_us; /**< Time to the response header; only of LT_HEALTH_OK.
                         */
  } lt_health_observation_t;

  /** The kinds of evidence; each is a stream of Bernoulli trials.  */
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
    double score;     /**< Log-likelihood ratio. */
    double threshold; /**< Score at which the decision is made. */
    double share;     /**< Observed share of failed or slow responses. */
    double baseline;  /**< The same share of the service's other upstreams. */
    double trials;    /**< Responses since the estimated onset. */
    uint32_t domains; /**< Failure domains that support the decision. */
  } lt_health_evidence_t;

/** Latency sketch: bucket b holds [2^(b/3) ms, 2^((b+1)/3) ms); the first also
    holds all below, the last (from 8.2 s) all above.  With two buckets per
    doubling the limit of slow was off by up to 1.4, and a threefold latency
    took 5.1 s to find instead of 1.3 s.  */
#define LT_HEALTH_BUCKETS 40

  /** Counts of one upstream on one VM since its last digest.  */
  typedef struct lt_health_counts
  {
    uint32_t upstream;
    bool remote; /**< The VM is in another region than the upstream. */
    uint32_t requests;
    uint32_t failed;
    uint32_t in_flight;                  /**< At the time of the digest. */
    uint16_t latency[LT_HEALTH_BUCKETS]; /**< Of responses that are ok. */
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
