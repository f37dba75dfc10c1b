/** @file
    Pacing of requests to an upstream that names the rate that it takes from
    all VMs together, or that is cold and takes only the warm-up rate of its
    service.  Time on a clock that the VMs share is divided into slots
    at that rate; a VM sends one request in each of its slots, or a short time
    later.  So the sum over all VMs holds without a message between them, also
    while they do not reach each other.  (Time division multiple access, with
    late use.)  Most slots are for the VMs near the upstream; within a group of
    VMs at the same distance they go round.

    VMs that do not share a clock still have their part of the rate, but their
    slots may coincide.  */
#ifndef LT_POLICY_PACE_H
#define LT_POLICY_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "lt/policy/distance.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** A slot can be used for this long, so that one that comes between two
    requests is not lost.  VMs that saved up slots for longer could use them at
    the same moment.  */
#define LT_PACE_SLOT_VALID_US (1500 * 1000)
/** The same while an upstream is cold.  With 1.5 s, VMs whose lists of VMs
    differ by a tenth, so that their slots coincide, sent up to 15 requests in
    a second at 3.7 a second.  */
#define LT_PACE_COLD_SLOT_VALID_US (500 * 1000)
/** Lowest rate that is kept: an upstream that takes nothing is tried this
    often, or its recovery would go unnoticed.  */
#define LT_PACE_RATE_MIN_MILLI 250

  /** The slots of a VM for the upstreams of one failure domain.  */
  typedef struct lt_pace_place
  {
    uint32_t vms;   /**< VMs of its group; 0: not known yet, it has no slot. */
    uint32_t rank;  /**< Of this VM, in an order that the group shares. */
    uint32_t turns; /**< Bit N: slot N of each series is for the group. */
    int64_t clock_offset_us; /**< From this VM's clock to the shared one. */
  } lt_pace_place_t;

  /** Returns the place of a VM at DISTANCE from the upstreams, with RANK among
      the VMs at this distance.  COUNTS: VMs at each distance.  */
  lt_pace_place_t lt_pace_place_for (const uint32_t counts[LT_DISTANCES],
                                     lt_distance_t distance, uint32_t rank,
                                     int64_t clock_offset_us);

  /** Slots of one upstream.  Zero-initialized: it names no rate.  */
  typedef struct lt_pace
  {
    uint64_t upstream;        /**< Id, the same on all VMs. */
    int64_t rate_milli_per_s; /**< 0: any number of requests. */
    int64_t used_us;          /**< Latest used slot, on the shared clock. */
    /** That it takes until warm_until_us, by this VM's clock; 0: any.  */
    int64_t warm_rate_milli_per_s;
    int64_t warm_until_us;
  } lt_pace_t;

  /** Returns whether the upstream takes only its warm-up rate.  */
  bool lt_pace_is_cold (const lt_pace_t *pace, int64_t now_us);

  /** Returns when the next slot of this VM begins, on its own clock; at most
      NOW_US: a request may be sent now.  INT64_MAX: never, as its place is not
      known.  While the upstream is cold, the lower of both rates is kept; it
      is warm at the returned time if there is no slot before.  */
  int64_t lt_pace_next_us (const lt_pace_t *pace, const lt_pace_place_t *place,
                           int64_t now_us);
  /** Uses the current slot for a request.  */
  void lt_pace_take (lt_pace_t *pace, const lt_pace_place_t *place,
                     int64_t now_us);

  /** Estimates a remote clock from times that it has sent.  */
  typedef struct lt_remote_clock
  {
    int64_t offset_us;  /**< From this VM's clock to the remote one. */
    int64_t sampled_us; /**< Of the sample in use; 0: none. */
  } lt_remote_clock_t;

  /** Takes a REMOTE_US that was received at NOW_US.  Of all samples the one
      with the shortest way counts, as long as drift is not the larger
      error.  */
  void lt_remote_clock_sample (lt_remote_clock_t *clock, int64_t remote_us,
                               int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
