/** @file
    State of the choice of upstreams, shared by its files.  */
#ifndef LT_POLICY_CHOICE_INTERNAL_H
#define LT_POLICY_CHOICE_INTERNAL_H

#include <uthash.h>

#include "lt/base/rng.h"
#include "lt/policy/choice.h"
#include "lt/policy/rejection.h"

enum
{
  CHOICE_MAX_PEERS = 64
};

/* Load of one upstream that another VM reported.  */
typedef struct peer_load
{
  uint64_t peer;
  int32_t in_flight;
  int64_t received_us;
} peer_load_t;

/* The estimated state of one upstream.  Probabilities are stored as of the
   time beside them and decay from there when read.  */
typedef struct upstream_estimate
{
  UT_hash_handle hh;
  uint64_t id;
  bool current; /* In the latest configuration. */
  lt_choice_upstream_t upstream;
  double gray;
  int64_t gray_us;
  double unreachable;
  int64_t unreachable_us;
  int64_t shed_until_us;
  lt_rejection_t rejection;
  int64_t evidence_us;
  int64_t used_us;       /* Last use by this VM or one that reports. */
  bool address_moved;    /* Another upstream answers at its address. */
  int32_t own_in_flight; /* Requests in flight from this VM. */
  peer_load_t peers[CHOICE_MAX_PEERS];
  uint32_t peer_count;
  lt_pace_t pace;
  int64_t rate_named_us; /* Last response with a rate. */
  int64_t told_warm_us;  /* End of its warm-up by its own responses. */
} upstream_estimate_t;

/* Recent outcomes of a service's requests, as counts that decay exponentially.
 */
typedef struct service_state
{
  double good; /* Successful attempts of this VM and of VMs that report. */
  double bad;  /* Failed attempts of these VMs. */
  int64_t updated_us;
  double requests; /* Requests to this VM. */
  double refused;  /* Those that it refused before a choice. */
  int64_t requests_us;
  int64_t repeatable_us; /* Last repeatable request. */
} service_state_t;

struct lt_choice
{
  lt_choice_options_t options;
  lt_rng_t *rng;
  upstream_estimate_t *estimates;
  upstream_estimate_t **by_index;
  uint32_t count;
  service_state_t *services;
  uint32_t service_count;
  lt_pace_place_t *places;
  uint32_t place_count;
};

/** Returns the estimate of the upstream, or NULL.  */
upstream_estimate_t *lt_choice_find (const lt_choice_t *choice, uint64_t id);
/** Returns the probability that the upstream is gray at NOW_US.  */
double lt_choice_gray_now (const lt_choice_t *choice,
                           const upstream_estimate_t *estimate,
                           int64_t now_us);
/** Returns the number of requests in flight there, those that other VMs
    reported included.  */
int32_t lt_choice_load_now (const lt_choice_t *choice,
                            const upstream_estimate_t *estimate,
                            int64_t now_us);
/** Returns whether the upstream at INDEX may get REQUEST; its limits are not
    considered.  */
bool lt_choice_is_eligible (const lt_choice_t *choice,
                            const lt_choice_request_t *request, uint32_t index,
                            int64_t now_us);
/** Returns the index of the upstream that has been idle longest and is due for
    a trial, or -1.  */
int64_t lt_choice_pick_trial (lt_choice_t *choice,
                              const lt_choice_request_t *request,
                              int64_t now_us);
/** Derives the end of the warm-up from the configuration and from what the
    upstream has said; the later one counts, as its entry may be older.  */
void lt_choice_update_warm_up (upstream_estimate_t *estimate);

#endif
