/** @file
    Load balancing at low request rates, where one VM alone sees too few
    responses to detect a gray upstream in time.  Each outcome of an attempt,
    from this VM or reported by other VMs of the region, updates a two-state
    hidden Markov model of the upstream (healthy or gray; Rabiner, "A Tutorial
    on Hidden Markov Models", Proc. IEEE 77(2), 1989).  Each request goes to
    the upstream with the lowest expected loss: the sum of the losses by
    failure, by waiting and by distance.  A gray upstream accepts requests but
    fails many of them.

    The module does no I/O; callers pass the current time.  */
#ifndef LT_POLICY_CHOICE_H
#define LT_POLICY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lt/policy/distance.h"
#include "lt/policy/pace.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_rng;
  struct lt_cost_key;
  struct lt_work;

  /** What the outcome of an attempt shows about its upstream.  */
  typedef enum lt_choice_evidence
  {
    LT_CHOICE_SUCCESS,
    /** An error response, a reset connection, a truncated response, the
        response to another request, or a timeout.  */
    LT_CHOICE_FAILURE,
    /** The upstream refused the request without running it.  */
    LT_CHOICE_SHED,
    /** No connection was made; the fault may be on the path from this VM only.
     */
    LT_CHOICE_UNREACHABLE,
    /** Another upstream answers at the address.  */
    LT_CHOICE_ADDRESS_MOVED
  } lt_choice_evidence_t;

  /** Parameters of the model and of the expected loss.  A loss of 1 is that of
      a failed request that must not be retried.  */
  typedef struct lt_choice_options
  {
    double gray_failure_share;    /**< Share of requests that a gray upstream
                                     fails. */
    double healthy_failure_share; /**< Share of requests that a healthy one
                                     fails. */
    double gray_onset_per_s; /**< Rate at which a healthy one becomes gray. */
    double gray_recovery_per_s; /**< Rate at which a gray one recovers. */
    /** Rate at which an unreachable one becomes reachable.  */
    double unreachable_recovery_per_s;
    double retryable_loss;   /**< Of a failed attempt that may be retried. */
    double unreachable_loss; /**< Of a failed connection. */
    double distance_loss[LT_DISTANCES];
    /** When all slots are in use; proportionally less when fewer are.  */
    double busy_loss;
    /** For each request that must wait, this one included, divided by the
        slots.  */
    double queue_loss;
    double warm_up_loss; /**< Of an upstream that is still warming up. */
    /** In addition, of a request that must not be repeated, at an upstream
        that takes only its warm-up rate: its few slots are for requests that
        can be repeated if it fails.  */
    double cold_once_loss;
    /** Of an upstream that shed a request less than shed_us ago.  */
    double shed_loss;
    int64_t shed_us;
    /** Of an upstream that rejects all attempts; proportionally less for one
        that rejects a share.  Takes the place of shed_loss unless 0.  */
    double rejection_loss;
    int64_t rejection_decay_us; /**< Time constant of that share. */
    /** Age from which the load that another VM reported is ignored.  */
    int64_t peer_load_max_age_us;
    /** Bound of a random loss that spreads requests over upstreams with nearly
        equal losses.  */
    double jitter;
    /** For requests with limits: share of the upstreams of the failure domain
        whose reported load a choice trusts if it is below the mean.  Others
        count with the mean, so that not all VMs choose the emptiest upstream
        before they learn of each other's requests.  */
    double trusted_share;
    /** An upstream in the VM's own failure domain that no VM has used for this
        long gets one repeatable request as a trial.  The trial refreshes the
        estimate, so that an upstream wrongly estimated as gray does not stay
        idle for long.  */
    int64_t trial_idle_us;
    /** A service without repeatable requests uses other requests for trials,
        but only while more than this share of its attempts fails, or more than
        this share of its requests is refused by this VM before an upstream is
        chosen.  Then avoiding the upstreams that are estimated as gray does
        not prevent losses, and a wrong estimate costs more than a trial. Below
        the tenth at which the capacity floor applies, since failures of
        upstreams that are known to be gray are not counted.  */
    double failing_share;
    /** Minimum decayed count of failures for such trials.  */
    double failing_min_failures;
    /** Minimum decayed count of refusals for such trials.  A VM sees about one
        request per second of such a service, so a single refusal suffices for
        about one second.  */
    double failing_min_refusals;
    /** Like trial_idle_us, for these services.  */
    int64_t failing_trial_idle_us;
    /** Time constant of the exponential decay of the counts behind both
        shares.  */
    int64_t failing_decay_us;
    /** Cost-aware choice: for requests with a cost the work left at upstreams
        takes the place of counts.  NULL: off.  Must outlive the choice.  */
    struct lt_work *work;
  } lt_choice_options_t;

/* The losses follow the prices that the hosting platform documents; the rates
   follow how long upstreams stay gray on it (about 5 s).  */
#define LT_CHOICE_OPTIONS_DEFAULT                                             \
  ((lt_choice_options_t){ .gray_failure_share = 0.6,                          \
                          .healthy_failure_share = 0.015,                     \
                          .gray_onset_per_s = 0.02,                           \
                          .gray_recovery_per_s = 0.15,                        \
                          .unreachable_recovery_per_s = 0.3,                  \
                          .retryable_loss = 0.2,                              \
                          .unreachable_loss = 0.3,                            \
                          .distance_loss = { 0, 0.06, 0.35 },                 \
                          .busy_loss = 0.05,                                  \
                          .queue_loss = 0.3,                                  \
                          .warm_up_loss = 0.1,                                \
                          .cold_once_loss = 0.2,                              \
                          .shed_loss = 0.15,                                  \
                          .shed_us = 300 * 1000,                              \
                          .rejection_loss = 0,                                \
                          .rejection_decay_us = 3 * 1000 * 1000,              \
                          .peer_load_max_age_us = 3 * 1000 * 1000,            \
                          .jitter = 0.01,                                     \
                          .trusted_share = 1,                                 \
                          .trial_idle_us = 1200 * 1000,                       \
                          .failing_share = 0.07,                              \
                          .failing_min_failures = 2,                          \
                          .failing_min_refusals = 0.75,                       \
                          .failing_trial_idle_us = 1600 * 1000,               \
                          .failing_decay_us = 4 * 1000 * 1000 })

  /** One upstream as the configuration names it.  */
  typedef struct lt_choice_upstream
  {
    uint64_t id; /**< Identifies name and incarnation. */
    uint32_t service;
    lt_distance_t distance;
    int32_t slots;
    bool leaving;          /**< Gets no new requests, as when draining. */
    int64_t warm_until_us; /**< End of its warm-up. */
    uint32_t place;        /**< Index of the place that this VM has for it. */
    uint32_t region_bit;   /**< Bit of its region in allowed_regions masks. */
    /** Rate that it takes from all VMs until warm_until_us; 0: any.  */
    int64_t warm_rate_milli_per_s;
  } lt_choice_upstream_t;

/** A limit that no upstream is below.  */
#define LT_CHOICE_CLOSED INT32_MIN

  /** Up to which load upstreams may get a request.  */
  typedef struct lt_choice_limits
  {
    /** An upstream at this distance is full when its load has reached its
        slots plus this number.  */
    int32_t above_slots[LT_DISTANCES];
  } lt_choice_limits_t;

  typedef struct lt_choice_request
  {
    uint32_t service;
    const uint32_t *tried; /**< Indexes of earlier attempts; not chosen again.
                            */
    uint32_t tried_count;
    bool repeatable; /**< The request may be retried after a failure. */
    uint64_t allowed_regions; /**< Bits of the regions that may serve it; 0: no
                                 restriction. */
    const lt_choice_limits_t *limits; /**< NULL: none. */
    /** For a choice by work, which needs the option; NULL: by counts.  */
    const struct lt_cost_key *cost;
    bool counted; /**< As a request for its service, by an earlier choice. */
  } lt_choice_request_t;

  /** The estimate of an upstream's state.  */
  typedef struct lt_choice_estimate
  {
    double gray_probability;        /**< Probability that it is gray. */
    double unreachable_probability; /**< Probability that this VM cannot
                                       connect to it. */
    double rejected_share;          /**< Share of attempts that it rejects. */
    int32_t own_in_flight;          /**< Requests in flight from this VM. */
    int32_t peers_in_flight;        /**< Requests in flight from other VMs, as
                                       reported. */
    int64_t evidence_us; /**< Time of the last success or failure; 0: none. */
    int64_t rate_milli_per_s; /**< That it takes from all VMs; 0: any. */
    bool cold;                /**< It takes only its warm-up rate. */
  } lt_choice_estimate_t;

  typedef struct lt_choice lt_choice_t;

  /** Creates a module without upstreams.  RNG must outlive it.  */
  lt_choice_t *lt_choice_create (const lt_choice_options_t *options,
                                 struct lt_rng *rng);
  void lt_choice_destroy (lt_choice_t *choice);
  /** Replaces the upstreams; indexes are positions in UPSTREAMS.  Upstreams
      whose id stays keep their estimates.  */
  void lt_choice_configure (lt_choice_t *choice,
                            const lt_choice_upstream_t *upstreams,
                            uint32_t count, int64_t now_us);
  /** Sets the places of this VM, for upstreams that name a rate or are cold.
   */
  void lt_choice_set_places (lt_choice_t *choice,
                             const lt_pace_place_t *places, uint32_t count);
  /** Chooses the upstream for one attempt.  Returns its index,
      -LT_EUNAVAILABLE when no upstream may get the request, or -LT_EFULL when
      all that may get it are full by its limits.  */
  int64_t lt_choice_pick (lt_choice_t *choice,
                          const lt_choice_request_t *request, int64_t now_us);
  /** Returns when an upstream of SERVICE in ALLOWED_REGIONS (0: any) that
      names a rate or is cold takes the next request of this VM; NOW_US if one
      does now or none is paced.  */
  int64_t lt_choice_next_us (const lt_choice_t *choice, uint32_t service,
                             uint64_t allowed_regions, int64_t now_us);
  /** Records that this VM refused a request for SERVICE before an upstream was
      chosen.  */
  void lt_choice_record_refusal (lt_choice_t *choice, uint32_t service,
                                 int64_t now_us);
  /** Record that an attempt of this VM begins or ends.  Unknown ids are
      ignored, here and in the functions below.  */
  void lt_choice_begin_attempt (lt_choice_t *choice, uint64_t id,
                                int64_t now_us);
  void lt_choice_end_attempt (lt_choice_t *choice, uint64_t id);
  /** Records that a request of this VM begins to wait for the upstream; it
      counts as in flight until lt_choice_end_attempt.  */
  void lt_choice_begin_wait (lt_choice_t *choice, uint64_t id);
  /** Records the outcome of an attempt of this VM.  */
  void lt_choice_observe (lt_choice_t *choice, uint64_t id,
                          lt_choice_evidence_t evidence, int64_t now_us);
  /** Records the rate that the upstream named in a response to this or another
      VM; 0: it named none.  Returns whether its rate changed.  */
  bool lt_choice_set_rate (lt_choice_t *choice, uint64_t id,
                           int64_t rate_milli_per_s, int64_t now_us);
  /** Records that the upstream said in a response that it is cold until
      WARM_UNTIL_US.  Returns whether it is cold and was not thought to be. */
  bool lt_choice_set_cold (lt_choice_t *choice, uint64_t id,
                           int64_t warm_until_us, int64_t now_us);
  /** The upstream gets no new requests until lt_choice_configure says
      otherwise.  */
  void lt_choice_set_leaving (lt_choice_t *choice, uint64_t id);
  /** Records GOOD successes and BAD failures that another VM reported.  */
  void lt_choice_observe_peer (lt_choice_t *choice, uint64_t id, uint32_t good,
                               uint32_t bad, int64_t now_us);
  /** Records REJECTED rejections that another VM reported.  */
  void lt_choice_observe_peer_rejections (lt_choice_t *choice, uint64_t id,
                                          uint32_t rejected, int64_t now_us);
  /** Records that the VM with id PEER has IN_FLIGHT requests in flight to the
      upstream.  */
  void lt_choice_set_peer_load (lt_choice_t *choice, uint64_t id,
                                uint64_t peer, int32_t in_flight,
                                int64_t now_us);
  /** Writes the estimate of the upstream at NOW_US to VIEW.  Returns 0 or
      -LT_ENOTFOUND.  */
  int lt_choice_look_up (const lt_choice_t *choice, uint64_t id,
                         int64_t now_us, lt_choice_estimate_t *view);

#ifdef __cplusplus
}
#endif

#endif
