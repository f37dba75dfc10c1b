/** @file
    Recent shares of bad responses and latency sketches of a service's
    upstreams, with exponentially decaying counts (forward decay, Cormode et
    al. 2009: instead of scaling old counts down, new ones get a growing
    weight).  The baseline of an upstream is the same figure of all the others.
    */
#ifndef LT_POLICY_HEALTH_WINDOW_H
#define LT_POLICY_HEALTH_WINDOW_H

#include "lt/policy/health.h"

/** Half-life of all counts.  With a shorter one, a single VM estimates the
    baseline from too few responses; with a longer one, the baseline stays
    raised for too long after a fault of the whole service.  */
#define LT_HEALTH_HALF_LIFE_US 30000000LL

#ifdef __cplusplus
extern "C"
{
#endif

  /** Responses of one upstream: trials and bad ones, for each stream.  */
  typedef struct lt_health_tally
  {
    double trials[LT_HEALTH_STREAMS];
    double bad[LT_HEALTH_STREAMS];
  } lt_health_tally_t;

  /** Decayed counts of each upstream and their sum.  Stored counts are scaled
      by the weight at the time when they were added.  */
  typedef struct lt_health_tallies
  {
    uint32_t count;
    int64_t origin_us;
    double weight;           /**< Of counts added now. */
    lt_health_tally_t *rows; /**< One per upstream. */
    lt_health_tally_t total;
  } lt_health_tallies_t;

  void lt_health_tallies_init (lt_health_tallies_t *tallies, uint32_t count);
  /** Frees the rows.  */
  void lt_health_tallies_clear (lt_health_tallies_t *tallies);
  /** Brings the weight up to date; call before adding or reading.  */
  void lt_health_tallies_advance (lt_health_tallies_t *tallies,
                                  int64_t now_us);
  /** Adds the counts of one step of UPSTREAM.  */
  void lt_health_tallies_add (lt_health_tallies_t *tallies, uint32_t upstream,
                              const lt_health_tally_t *step);
  /** Removes the counts of UPSTREAM, so that the baselines of the others no
      longer include it.  */
  void lt_health_tallies_remove (lt_health_tallies_t *tallies,
                                 uint32_t upstream);
  /** Returns the share of bad responses of all upstreams but UPSTREAM,
      combined with 50 virtual trials of share PRIOR and limited to the bounds
      of the stream.  */
  double lt_health_tallies_baseline (const lt_health_tallies_t *tallies,
                                     uint32_t upstream,
                                     lt_health_stream_t stream, double prior);
  /** Returns the first alternative that is tested in STREAM.  */
  uint32_t lt_health_first_alternative (lt_health_stream_t stream);
  /** Returns the baseline over the upstreams of other failure domains only,
      since the failure domain of UPSTREAM may fail as a whole.  While these
      have too few responses, all other upstreams count.  */
  double lt_health_tallies_outside_baseline (
      const lt_health_tallies_t *tallies, const lt_health_pool_t *pool,
      uint32_t upstream, lt_health_stream_t stream);
  /** Returns the share of bad responses that is assumed before any
      responses were seen.  */
  double lt_health_prior (lt_health_stream_t stream);

  /** Decayed latency sketches: histograms with logarithmic buckets, kept apart
      for reporters in the upstream's region (class 0) and in other regions
      (class 1).  */
  typedef struct lt_health_sketches
  {
    uint32_t count;
    int64_t origin_us;
    double weight;
    /** Rows per upstream: 2, or 1 when each upstream has only one class.  */
    uint32_t classes;
    float **rows; /**< Entries are NULL until the first response. */
    double total[2][LT_HEALTH_BUCKETS]; /**< Of all upstreams, by class. */
  } lt_health_sketches_t;

  /** CLASSES is 1 or 2.  With 1, each upstream must have the same class in all
      later calls.  */
  void lt_health_sketches_init (lt_health_sketches_t *sketches, uint32_t count,
                                uint32_t classes);
  /** Frees the rows.  */
  void lt_health_sketches_clear (lt_health_sketches_t *sketches);
  /** Brings the weight up to date; call before adding or reading.  */
  void lt_health_sketches_advance (lt_health_sketches_t *sketches,
                                   int64_t now_us);
  /** Adds RESPONSES with a latency in BUCKET.  */
  void lt_health_sketches_add (lt_health_sketches_t *sketches,
                               uint32_t upstream, uint32_t remote,
                               uint32_t bucket, double responses);
  /** Removes the responses of UPSTREAM.  REMOTE is its class when upstreams
      have one class only, otherwise ignored.  */
  void lt_health_sketches_remove (lt_health_sketches_t *sketches,
                                  uint32_t upstream, bool remote);
  /** Returns the first bucket whose latencies count as slow for UPSTREAM:
      MARGIN buckets above the 90th percentile of the other upstreams.  Returns
      LT_HEALTH_BUCKETS or more when these have too few responses.  A margin of
      two buckets is a factor of 1.6 to 2: an upstream on hardware that is 20%
      slower than its peers stays below it, while one with three times the
      latency still exceeds it often.  */
  uint32_t
  lt_health_sketches_slow_bucket (const lt_health_sketches_t *sketches,
                                  uint32_t upstream, uint32_t remote,
                                  uint32_t margin);

#ifdef __cplusplus
}
#endif

#endif
