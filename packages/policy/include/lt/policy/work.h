/** @file
    Work left at each upstream, for a choice by the likely cost of requests.
    Keeps this VM's requests in progress with their keys (lt/policy/cost.h) and
    start times, and how fast each upstream is: the decayed mean of the
    logarithm of observed over expected time.  From these and the load that
    other VMs report follows the delay that a request must expect.  The unit of
    work is the mean cost of a request of the service.

    The module does no I/O; callers pass the current time.  */
#ifndef LT_POLICY_WORK_H
#define LT_POLICY_WORK_H

#include <stdbool.h>

#include "lt/policy/cost.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_rng;

  /** Parameters of the expected delay.  */
  typedef struct lt_work_options
  {
    /** Work that one request in progress counts for at most when a wait is
        estimated.  A request that blocks one slot for long delays others by
        that slot, not by its whole remaining cost.  */
    double request_work_max;
    /** Loss per unit of cost above the mean, at an upstream whose slots are
        all in use: the delay of the requests that come after it.  */
    double cost_weight;
    /** Observations at which an upstream's speed has half of its effect.  */
    double slow_prior_weight;
    /** Part of the logarithm of the ratio that is taken for chance.  */
    double slow_margin;
    /** Bound of the logarithm of one observation's ratio.  */
    double slow_log_max;
    int64_t slow_decay_us; /**< Time constant of the decay. */
    /** Age of the newest report on a load that changes.  */
    int64_t report_age_us;
    /** Bound of the random loss that spreads requests over upstreams with
        room.  */
    double spread_loss;
    /** Share of the slots up to which an upstream counts as in use by VMs that
        do not report to this one.  */
    double unreported_fill;
  } lt_work_options_t;

#define LT_WORK_OPTIONS_DEFAULT                                               \
  ((lt_work_options_t){ .request_work_max = 2,                                \
                        .cost_weight = 0.2,                                   \
                        .slow_prior_weight = 4,                               \
                        .slow_margin = 0.25,                                  \
                        .slow_log_max = 1.5,                                  \
                        .slow_decay_us = 10 * 1000 * 1000,                    \
                        .report_age_us = 100 * 1000,                          \
                        .spread_loss = 0.05,                                  \
                        .unreported_fill = 0.85 })

  /** An upstream and its requests in progress, as the choice knows them.  */
  typedef struct lt_work_load
  {
    uint64_t upstream;
    int32_t slots;
    int32_t own;   /**< Of this VM. */
    int32_t peers; /**< Of other VMs, as reported. */
    bool reported; /**< Other VMs report their requests there. */
  } lt_work_load_t;

  /** How an attempt ended, for the predictor and the upstream's speed.  */
  typedef enum lt_work_end
  {
    LT_WORK_COMPLETE, /**< With a response of the upstream. */
    LT_WORK_STOPPED,  /**< By a deadline or this VM: it cost at least so much.
                       */
    LT_WORK_FAILED    /**< The time says nothing about the cost. */
  } lt_work_end_t;

  typedef struct lt_work_stats
  {
    uint64_t completed;
    uint64_t stopped;
    double work;       /**< Left of this VM's requests, in mean costs. */
    uint32_t attempts; /**< In progress. */
    uint32_t slow;     /**< Upstreams that count as slow. */
  } lt_work_stats_t;

  typedef struct lt_work lt_work_t;

  /** Creates a module without requests; it owns its predictor.  */
  lt_work_t *lt_work_create (const lt_work_options_t *options,
                             const lt_cost_options_t *cost_options);
  void lt_work_destroy (lt_work_t *work);
  lt_cost_t *lt_work_cost (lt_work_t *work);

  /** Records that attempt ATTEMPT (unique for this VM) of a request of KEY
      begins at the upstream of LOAD, which does not count it yet.  */
  void lt_work_begin (lt_work_t *work, const lt_work_load_t *load,
                      uint64_t attempt, const lt_cost_key_t *key,
                      int64_t now_us);
  /** Records the end of an attempt; LATENCY_US is the time that the upstream
      took.  Unknown attempts are ignored.  */
  void lt_work_end (lt_work_t *work, uint64_t upstream, uint64_t attempt,
                    lt_work_end_t end, int64_t latency_us, int64_t now_us);
  /** Offers the upstream of LOAD, with INDEX, to the next call of
      lt_work_pick.  LOSS is the expected loss there without that by load.  */
  void lt_work_offer (lt_work_t *work, uint32_t index, double loss,
                      const lt_work_load_t *load);
  /** Returns the index of the offered upstream where a request of KEY loses
      least, or -LT_EUNAVAILABLE if none was offered.  BUSY_LOSS and QUEUE_LOSS
      are those of lt_choice_options_t; the latter is the loss by a delay of
      one mean cost.  */
  int64_t lt_work_pick (lt_work_t *work, const lt_cost_key_t *key,
                        double busy_loss, double queue_loss,
                        struct lt_rng *rng, int64_t now_us);
  /** Returns the factor by which the upstream takes longer than expected; 1
      without evidence.  */
  double lt_work_slowness (const lt_work_t *work, uint64_t upstream,
                           int64_t now_us);
  lt_work_stats_t lt_work_get_stats (const lt_work_t *work, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
