/** @file
    Recent shares and latency sketches of a service's upstreams, with
    exponential forgetting (forward decay, Cormode et al. 2009), and what is
    normal for one upstream: the same figure of all the others.  */
#ifndef LT_POLICY_HEALTH_WINDOW_H
#define LT_POLICY_HEALTH_WINDOW_H

#include "lt/policy/health.h"

/** Half-life of all counts.  Shorter ones estimate the baseline from too few
    responses of one VM; longer ones hold on to a baseline that a past fault of
    the whole service has raised.  */
#define LT_HEALTH_HALF_LIFE_US 30000000LL

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_health_share
  {
    double trials[LT_HEALTH_STREAMS];
    double bad[LT_HEALTH_STREAMS];
  } lt_health_share_t;

  /** Decayed counts of each upstream and their sum.  */
  typedef struct lt_health_shares
  {
    uint32_t count;
    int64_t origin_us;
    double weight; /**< Of counts added now. */
    lt_health_share_t *rows;
    lt_health_share_t total;
  } lt_health_shares_t;

  void lt_health_shares_init (lt_health_shares_t *shares, uint32_t count);
  void lt_health_shares_clear (lt_health_shares_t *shares);
  /** Brings the weight up to date; call before adding or reading.  */
  void lt_health_shares_advance (lt_health_shares_t *shares, int64_t now_us);
  void lt_health_shares_add (lt_health_shares_t *shares, uint32_t upstream,
                             const lt_health_share_t *step);
  /** Drops UPSTREAM's part, so that it is no longer a peer of the others.  */
  void lt_health_shares_forget (lt_health_shares_t *shares, uint32_t upstream);
  /** Returns the bad share of the others, drawn towards PRIOR as if by 50
      trials, within the stream's bounds.  */
  double lt_health_shares_baseline (const lt_health_shares_t *shares,
                                    uint32_t upstream,
                                    lt_health_stream_t stream, double prior);
  /** Returns the first alternative that is tested in STREAM.  */
  uint32_t lt_health_first_alternative (lt_health_stream_t stream);
  /** The same with the upstreams of other failure domains as the others, as
      soon as they have enough responses: the own domain may fail as a whole.
    */
  double lt_health_shares_apart (const lt_health_shares_t *shares,
                                 const lt_health_pool_t *pool,
                                 uint32_t upstream, lt_health_stream_t stream);
  /** Returns the share assumed without any observation.  */
  double lt_health_prior (lt_health_stream_t stream);

  /** Decayed latency sketches; class 0 is near, 1 is remote.  */
  typedef struct lt_health_sketches
  {
    uint32_t count;
    int64_t origin_us;
    double weight;
    uint32_t
        classes;  /**< Rows per upstream; 1 when its class never changes. */
    float **rows; /**< NULL until the first response. */
    double total[2][LT_HEALTH_BUCKETS];
  } lt_health_sketches_t;

  /** With one class per upstream its class must be the same in all calls.  */
  void lt_health_sketches_init (lt_health_sketches_t *sketches, uint32_t count,
                                uint32_t classes);
  void lt_health_sketches_clear (lt_health_sketches_t *sketches);
  void lt_health_sketches_advance (lt_health_sketches_t *sketches,
                                   int64_t now_us);
  void lt_health_sketches_add (lt_health_sketches_t *sketches,
                               uint32_t upstream, uint32_t remote,
                               uint32_t bucket, double responses);
  void lt_health_sketches_forget (lt_health_sketches_t *sketches,
                                  uint32_t upstream, bool remote);
  /** Returns the first bucket that counts as slow for UPSTREAM: MARGIN buckets
      above the others' 90% quantile; LT_HEALTH_BUCKETS or more when the others
      have too few responses to tell.  Two buckets are a factor of 1.6 to 2:
      an upstream on hardware that is a fifth slower than its peers does not
      count, a threefold latency still crosses it often.  */
  uint32_t lt_health_sketches_slow (const lt_health_sketches_t *sketches,
                                    uint32_t upstream, uint32_t remote,
                                    uint32_t margin);

#ifdef __cplusplus
}
#endif

#endif
