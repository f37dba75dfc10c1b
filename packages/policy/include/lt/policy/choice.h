/** @file
    Choice of an upstream at low request rates, where a VM alone learns of a
    gray upstream too late: each outcome updates a two-state hidden Markov
    model (sound or gray; Rabiner, "A Tutorial on Hidden Markov Models", Proc.
    IEEE 77(2), 1989), fed with what other VMs of the region report.  The
    choice weighs the expected loss by failure and waiting against the price of
    the distance.  No I/O: the caller passes the time.  */
#ifndef LT_POLICY_CHOICE_H
#define LT_POLICY_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_rng;

  /** How far an upstream is.  */
  typedef enum lt_distance
  {
    LT_DISTANCE_DOMAIN, /**< In the failure domain of this VM. */
    LT_DISTANCE_REGION,
    LT_DISTANCE_FAR,
    LT_DISTANCES
  } lt_distance_t;

  /** What an attempt says of its upstream.  */
  typedef enum lt_choice_evidence
  {
    LT_CHOICE_GOOD,
    LT_CHOICE_BAD,      /**< Failed, reset, cut, mixed up or timed out. */
    LT_CHOICE_SHED,     /**< Refused as not run. */
    LT_CHOICE_NO_PATH,  /**< No connection; may concern this VM alone. */
    LT_CHOICE_ELSEWHERE /**< Another upstream has the address. */
  } lt_choice_evidence_t;

  typedef struct lt_choice_options
  {
    double gray_fails;            /**< Share of failures of a gray upstream. */
    double sound_fails;           /**< Of a sound one. */
    double turn_per_s;            /**< Rate at which a sound one turns gray. */
    double recover_per_s;         /**< Rate at which a gray one recovers. */
    double no_path_recover_per_s; /**< The same for a failed path. */
    /** Losses as shares of a request's worth.  */
    double repeat_loss;  /**< Of a failure that may be repeated. */
    double no_path_loss; /**< Of a failed connection. */
    double distance_loss[LT_DISTANCES];
    double busy_loss;    /**< With all slots busy but one. */
    double queue_loss;   /**< For each request before this one, by slots. */
    double warm_up_loss; /**< Of an upstream that has just started. */
    double shed_loss;    /**< Within shed_us of a refusal. */
    int64_t shed_us;
    int64_t peer_load_us; /**< A peer's load counts this long. */
    double jitter;        /**< Breaks ties at random. */
    /** An upstream of the failure domain that nobody has used this long gets a
        repeatable request: its state is known again, and a suspicion that was
        wrong takes no capacity for long.  */
    int64_t trial_us;
    /** A service without repeatable requests has such trials with the others,
        but only while more than this share of its requests fails, or is
       refused by this VM before a choice: then the choice does not help, and a
       wrong suspicion costs more than a trial.  */
    double failing_share;
    double failing_least; /**< Failures that this share must stand on. */
    /** Refusals at this VM that it must stand on.  A VM sees about one request
        a second of such a service, so one refusal counts for a second.  */
    double refused_least;
    int64_t failing_trial_us;
    int64_t failing_us; /**< Time constant of the shares. */
  } lt_choice_options_t;

/* Rates and losses: the platform's notes on prices, and the times for which
   upstreams stay gray there (about 5 s).  */
#define LT_CHOICE_OPTIONS_DEFAULT                                             \
  ((lt_choice_options_t){ .gray_fails = 0.6,                                  \
                          .sound_fails = 0.015,                               \
                          .turn_per_s = 0.02,                                 \
                          .recover_per_s = 0.15,                              \
                          .no_path_recover_per_s = 0.3,                       \
                          .repeat_loss = 0.2,                                 \
                          .no_path_loss = 0.3,                                \
                          .distance_loss = { 0, 0.06, 0.35 },                 \
                          .busy_loss = 0.05,                                  \
                          .queue_loss = 0.3,                                  \
                          .warm_up_loss = 0.1,                                \
                          .shed_loss = 0.15,                                  \
                          .shed_us = 300 * 1000,                              \
                          .peer_load_us = 3 * 1000 * 1000,                    \
                          .jitter = 0.01,                                     \
                          .trial_us = 1200 * 1000,                            \
                          .failing_share = 0.1,                               \
                          .failing_least = 2,                                 \
                          .refused_least = 0.75,                              \
                          .failing_trial_us = 1600 * 1000,                    \
                          .failing_us = 4 * 1000 * 1000 })

  /** One upstream as the configuration names it.  */
  typedef struct lt_choice_upstream
  {
    uint64_t id; /**< Of name and incarnation. */
    uint32_t service;
    lt_distance_t distance;
    int32_t slots;
    bool leaving; /**< Gets no new work. */
    int64_t warm_until_us;
  } lt_choice_upstream_t;

  typedef struct lt_choice_request
  {
    uint32_t service;
    const uint32_t *tried; /**< Indexes that are left out. */
    uint32_t tried_count;
    bool repeatable;
  } lt_choice_request_t;

  /** What the module believes of an upstream.  */
  typedef struct lt_choice_view
  {
    double gray;         /**< Probability, now. */
    double no_path;      /**< Probability, now. */
    int32_t own;         /**< Requests in flight from this VM. */
    int32_t peers;       /**< From other VMs that report. */
    int64_t evidence_us; /**< Time of the last evidence; 0: none. */
  } lt_choice_view_t;

  typedef struct lt_choice lt_choice_t;

  lt_choice_t *lt_choice_create (const lt_choice_options_t *options,
                                 struct lt_rng *rng);
  void lt_choice_destroy (lt_choice_t *choice);
  /** Replaces the upstreams; indexes are positions in UPSTREAMS.  Beliefs
      about ids that stay are kept.  */
  void lt_choice_configure (lt_choice_t *choice,
                            const lt_choice_upstream_t *upstreams,
                            uint32_t count, int64_t now_us);
  /** Returns an index or -LT_EUNAVAILABLE.  */
  int64_t lt_choice_pick (lt_choice_t *choice,
                          const lt_choice_request_t *request, int64_t now_us);
  /** A request for SERVICE was refused before a choice.  */
  void lt_choice_refuse (lt_choice_t *choice, uint32_t service,
                         int64_t now_us);
  /** An attempt of this VM begins or ends.  Unknown ids are ignored.  */
  void lt_choice_begin (lt_choice_t *choice, uint64_t id, int64_t now_us);
  void lt_choice_end (lt_choice_t *choice, uint64_t id);
  /** Evidence from an attempt of this VM.  */
  void lt_choice_observe (lt_choice_t *choice, uint64_t id,
                          lt_choice_evidence_t evidence, int64_t now_us);
  /** Evidence from another VM.  */
  void lt_choice_peer_observe (lt_choice_t *choice, uint64_t id, uint32_t good,
                               uint32_t bad, int64_t now_us);
  /** PEER has IN_FLIGHT requests at the upstream.  */
  void lt_choice_peer_load (lt_choice_t *choice, uint64_t id, uint64_t peer,
                            int32_t in_flight, int64_t now_us);
  /** Returns 0 or -LT_ENOTFOUND.  */
  int lt_choice_look_up (const lt_choice_t *choice, uint64_t id,
                         int64_t now_us, lt_choice_view_t *view);

#ifdef __cplusplus
}
#endif

#endif
