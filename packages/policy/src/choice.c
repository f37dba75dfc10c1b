#include "lt/policy/choice.h"

#include <math.h>
#include <stdlib.h>

#include "choice_internal.h"
#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/rejection.h"
#include "lt/policy/work.h"

/* Above this probability an upstream is more likely gray than healthy.  */
#define GRAY_THRESHOLD 0.5

lt_choice_t *
lt_choice_create (const lt_choice_options_t *options, lt_rng_t *rng)
{
  lt_choice_t *choice = lt_alloc (sizeof (*choice));
  choice->options = *options;
  choice->rng = rng;
  return choice;
}

static void
remove_estimate (lt_choice_t *choice, upstream_estimate_t *estimate)
{
  HASH_DEL (choice->estimates, estimate); /* NOLINT(clang-analyzer-*) */
  free (estimate);
}

void
lt_choice_destroy (lt_choice_t *choice)
{
  if (choice == NULL)
    return;
  upstream_estimate_t *estimate;
  upstream_estimate_t *next;
  HASH_ITER (hh, choice->estimates, estimate, next)
  {
    remove_estimate (choice, estimate);
  }
  free (choice->by_index);
  free (choice->services);
  free (choice->places);
  free (choice);
}

upstream_estimate_t *
lt_choice_find (const lt_choice_t *choice, uint64_t id)
{
  upstream_estimate_t *estimate = NULL;
  HASH_FIND (hh, choice->estimates, &id, sizeof (id), estimate);
  return estimate;
}

static double
stationary_gray (const lt_choice_options_t *o)
{
  return o->gray_onset_per_s / (o->gray_onset_per_s + o->gray_recovery_per_s);
}

/* Without new evidence a probability decays from VALUE towards REST, its value
   for an upstream about which nothing is known.  */
static double
decay_towards (double value, double rest, double rate_per_s,
               int64_t elapsed_us)
{
  double elapsed_s = (double)elapsed_us / LT_US_PER_S;
  return rest + (value - rest) * exp (-rate_per_s * elapsed_s);
}

double
lt_choice_gray_now (const lt_choice_t *choice,
                    const upstream_estimate_t *estimate, int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  return decay_towards (estimate->gray, stationary_gray (o),
                        o->gray_onset_per_s + o->gray_recovery_per_s,
                        now_us - estimate->gray_us);
}

static double
unreachable_now (const lt_choice_t *choice,
                 const upstream_estimate_t *estimate, int64_t now_us)
{
  return decay_towards (estimate->unreachable, 0,
                        choice->options.unreachable_recovery_per_s,
                        now_us - estimate->unreachable_us);
}

/* When the number of services changes, their indexes may have moved, so that
   all counts start again from zero.  */
static void
resize_services (lt_choice_t *choice, const lt_choice_upstream_t *upstreams,
                 uint32_t count)
{
  uint32_t services = 0;
  for (uint32_t i = 0; i < count; i++)
    if (upstreams[i].service >= services)
      services = upstreams[i].service + 1;
  if (services == choice->service_count)
    return;
  free (choice->services);
  choice->services = lt_alloc ((services + 1) * sizeof (*choice->services));
  choice->service_count = services;
}

/* Failures of an upstream that was already estimated as gray are not counted:
   failed trials would otherwise keep the service above the share at which it
   has trials.  */
static void
count_outcomes (lt_choice_t *choice, const upstream_estimate_t *estimate,
                uint32_t good, uint32_t bad, int64_t now_us)
{
  if (!estimate->current
      || estimate->upstream.service >= choice->service_count)
    return;
  if (lt_choice_gray_now (choice, estimate, now_us) >= GRAY_THRESHOLD)
    bad = 0;
  service_state_t *state = &choice->services[estimate->upstream.service];
  double kept = exp (-(double)(now_us - state->updated_us)
                     / (double)choice->options.failing_decay_us);
  state->good = state->good * kept + good;
  state->bad = state->bad * kept + bad;
  state->updated_us = now_us;
}

void
lt_choice_set_leaving (lt_choice_t *choice, uint64_t id)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate != NULL)
    estimate->upstream.leaving = true;
}

void
lt_choice_configure (lt_choice_t *choice,
                     const lt_choice_upstream_t *upstreams, uint32_t count,
                     int64_t now_us)
{
  upstream_estimate_t *estimate;
  upstream_estimate_t *next;
  HASH_ITER (hh, choice->estimates, estimate, next)
  {
    estimate->current = false;
  }
  resize_services (choice, upstreams, count);
  free (choice->by_index);
  choice->by_index = lt_alloc ((count + 1) * sizeof (upstream_estimate_t *));
  choice->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      estimate = lt_choice_find (choice, upstreams[i].id);
      if (estimate == NULL)
        {
          estimate = lt_alloc (sizeof (*estimate));
          estimate->id = upstreams[i].id;
          estimate->pace.upstream = upstreams[i].id;
          estimate->gray = stationary_gray (&choice->options);
          estimate->gray_us = now_us;
          estimate->used_us = now_us;
          HASH_ADD (hh, choice->estimates, id, sizeof (estimate->id),
                    estimate);
        }
      estimate->upstream = upstreams[i];
      lt_choice_update_warm_up (estimate);
      estimate->current = true;
      choice->by_index[i] = estimate;
    }
  HASH_ITER (hh, choice->estimates, estimate, next)
  {
    if (!estimate->current && estimate->own_in_flight == 0)
      remove_estimate (choice, estimate);
  }
}

static int32_t
peers_in_flight (const lt_choice_t *choice,
                 const upstream_estimate_t *estimate, int64_t now_us)
{
  int32_t sum = 0;
  for (uint32_t i = 0; i < estimate->peer_count; i++)
    if (now_us - estimate->peers[i].received_us
        < choice->options.peer_load_max_age_us)
      sum += estimate->peers[i].in_flight;
  return sum;
}

/* Offers an upstream to the choice by work, which adds the loss by load.  */
static void
offer (const lt_choice_t *choice, uint32_t index, double loss, int64_t now_us)
{
  const upstream_estimate_t *e = choice->by_index[index];
  bool reported = e->upstream.distance == LT_DISTANCE_SAME_DOMAIN;
  lt_work_load_t load = { e->id, e->upstream.slots, e->own_in_flight,
                          peers_in_flight (choice, e, now_us), reported };
  lt_work_offer (choice->options.work, index, loss, &load);
}

int32_t
lt_choice_load_now (const lt_choice_t *choice,
                    const upstream_estimate_t *estimate, int64_t now_us)
{
  return estimate->own_in_flight + peers_in_flight (choice, estimate, now_us);
}

/* LEAST is the load that counts at least.  */
static double
waiting_loss (const lt_choice_t *choice, const upstream_estimate_t *estimate,
              const lt_choice_request_t *request, int32_t least,
              int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  int32_t slots = estimate->upstream.slots > 0 ? estimate->upstream.slots : 1;
  int32_t load = lt_choice_load_now (choice, estimate, now_us);
  if (load < least)
    load = least;
  double loss = 0;
  if (request->cost != NULL)
    load = 0; /* See offer. */
  if (load < slots)
    loss = o->busy_loss * load / slots;
  else
    loss = o->busy_loss + o->queue_loss * (load - slots + 1) / slots;
  if (o->rejection_loss > 0)
    loss += o->rejection_loss
            * lt_rejection_share (&estimate->rejection, o->rejection_decay_us,
                                  now_us);
  else if (now_us < estimate->shed_until_us)
    loss += o->shed_loss;
  if (now_us < estimate->upstream.warm_until_us
      || lt_pace_is_cold (&estimate->pace, now_us))
    loss += o->warm_up_loss;
  return loss;
}

static double
expected_loss (const lt_choice_t *choice, const upstream_estimate_t *estimate,
               const lt_choice_request_t *request, int32_t least_load,
               int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  double gray = lt_choice_gray_now (choice, estimate, now_us);
  double failure_share
      = gray * o->gray_failure_share + (1 - gray) * o->healthy_failure_share;
  double loss
      = failure_share * (request->repeatable ? o->retryable_loss : 1.0);
  loss += unreachable_now (choice, estimate, now_us) * o->unreachable_loss;
  loss += o->distance_loss[estimate->upstream.distance];
  if (!request->repeatable && lt_pace_is_cold (&estimate->pace, now_us))
    loss += o->cold_once_loss;
  return loss + waiting_loss (choice, estimate, request, least_load, now_us);
}

static bool
was_tried (const lt_choice_request_t *request, uint32_t index)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == index)
      return true;
  return false;
}

static const lt_pace_place_t *
find_place (const lt_choice_t *choice, const upstream_estimate_t *estimate)
{
  static const lt_pace_place_t unknown = { 0 };
  return estimate->upstream.place < choice->place_count
             ? &choice->places[estimate->upstream.place]
             : &unknown;
}

static int64_t
next_slot_us (const lt_choice_t *choice, const upstream_estimate_t *estimate,
              int64_t now_us)
{
  return lt_pace_next_us (&estimate->pace, find_place (choice, estimate),
                          now_us);
}

static bool
takes_work (const upstream_estimate_t *estimate, uint32_t service)
{
  return estimate->upstream.service == service && !estimate->upstream.leaving
         && !estimate->address_moved;
}

/* A request without ALLOWED_REGIONS may go anywhere.  */
static bool
is_in_region (const upstream_estimate_t *estimate, uint64_t allowed_regions)
{
  return allowed_regions == 0
         || (allowed_regions & 1ULL << estimate->upstream.region_bit) != 0;
}

bool
lt_choice_is_eligible (const lt_choice_t *choice,
                       const lt_choice_request_t *request, uint32_t index,
                       int64_t now_us)
{
  const upstream_estimate_t *estimate = choice->by_index[index];
  return takes_work (estimate, request->service)
         && is_in_region (estimate, request->allowed_regions)
         && !was_tried (request, index)
         && next_slot_us (choice, estimate, now_us) <= now_us;
}

static bool
is_full (const lt_choice_t *choice, const lt_choice_limits_t *limits,
         const upstream_estimate_t *estimate, int64_t now_us)
{
  if (limits == NULL)
    return false;
  int32_t above = limits->above_slots[estimate->upstream.distance];
  return above == LT_CHOICE_CLOSED
         || lt_choice_load_now (choice, estimate, now_us)
                >= estimate->upstream.slots + above;
}

/* Returns the mean load of the failure domain's upstreams that may get
   REQUEST, or 0 for a request without limits or chosen by work, which has its
   own measure against stale reports (see lt_work_pick).  */
static int32_t
mean_load (const lt_choice_t *choice, const lt_choice_request_t *request,
           int64_t now_us)
{
  int32_t sum = 0;
  int32_t count = 0;
  if (request->limits == NULL || request->cost != NULL
      || choice->options.trusted_share >= 1)
    return 0;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const upstream_estimate_t *estimate = choice->by_index[i];
      if (estimate->upstream.distance != LT_DISTANCE_SAME_DOMAIN
          || !takes_work (estimate, request->service))
        continue;
      sum += lt_choice_load_now (choice, estimate, now_us);
      count++;
    }
  return count == 0 ? 0 : sum / count;
}

int64_t
lt_choice_pick (lt_choice_t *choice, const lt_choice_request_t *request,
                int64_t now_us)
{
  int64_t best = -LT_EUNAVAILABLE;
  bool full = false;
  double least = INFINITY;
  const lt_choice_options_t *o = &choice->options;
  int64_t trial = lt_choice_pick_trial (choice, request, now_us);
  if (trial >= 0)
    return trial;
  int32_t mean = mean_load (choice, request, now_us);
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const upstream_estimate_t *estimate = choice->by_index[i];
      if (!lt_choice_is_eligible (choice, request, i, now_us))
        continue;
      if (is_full (choice, request->limits, estimate, now_us))
        {
          full = true;
          continue;
        }
      bool counts_as_mean
          = mean > 0 && estimate->upstream.distance == LT_DISTANCE_SAME_DOMAIN
            && lt_rng_unit (choice->rng) >= o->trusted_share;
      double loss = expected_loss (choice, estimate, request,
                                   counts_as_mean ? mean : 0, now_us)
                    + o->jitter * lt_rng_unit (choice->rng);
      if (request->cost != NULL)
        offer (choice, i, loss, now_us);
      if (loss >= least)
        continue;
      least = loss;
      best = i;
    }
  if (best < 0)
    return full ? -LT_EFULL : best;
  return request->cost == NULL
             ? best
             : lt_work_pick (o->work, request->cost, o->busy_loss,
                             o->queue_loss, choice->rng, now_us);
}

int64_t
lt_choice_next_us (const lt_choice_t *choice, uint32_t service,
                   uint64_t allowed_regions, int64_t now_us)
{
  int64_t earliest_us = INT64_MAX;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const upstream_estimate_t *estimate = choice->by_index[i];
      if (!takes_work (estimate, service)
          || !is_in_region (estimate, allowed_regions))
        continue;
      int64_t next_us = next_slot_us (choice, estimate, now_us);
      if (next_us < earliest_us)
        earliest_us = next_us;
    }
  return earliest_us == INT64_MAX || earliest_us < now_us ? now_us
                                                          : earliest_us;
}

void
lt_choice_begin_attempt (lt_choice_t *choice, uint64_t id, int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return;
  estimate->own_in_flight++;
  estimate->used_us = now_us;
  lt_pace_take (&estimate->pace, find_place (choice, estimate), now_us);
}

void
lt_choice_begin_wait (lt_choice_t *choice, uint64_t id)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate != NULL)
    estimate->own_in_flight++;
}

void
lt_choice_end_attempt (lt_choice_t *choice, uint64_t id)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return;
  estimate->own_in_flight--;
  if (!estimate->current && estimate->own_in_flight == 0)
    remove_estimate (choice, estimate);
}

/* Updates the probability that the upstream is gray by Bayes' rule.  */
static void
update_gray (lt_choice_t *choice, upstream_estimate_t *estimate, bool good,
             int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  double gray = lt_choice_gray_now (choice, estimate, now_us);
  double if_gray = good ? 1 - o->gray_failure_share : o->gray_failure_share;
  double if_healthy
      = good ? 1 - o->healthy_failure_share : o->healthy_failure_share;
  estimate->gray = gray * if_gray / (gray * if_gray + (1 - gray) * if_healthy);
  estimate->gray_us = now_us;
  estimate->evidence_us = now_us;
}

void
lt_choice_observe (lt_choice_t *choice, uint64_t id,
                   lt_choice_evidence_t evidence, int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return;
  if (evidence <= LT_CHOICE_SHED)
    lt_rejection_add (&estimate->rejection, 1, evidence == LT_CHOICE_SHED,
                      choice->options.rejection_decay_us, now_us);
  switch (evidence)
    {
    case LT_CHOICE_SUCCESS:
      count_outcomes (choice, estimate, 1, 0, now_us);
      estimate->unreachable = 0;
      update_gray (choice, estimate, true, now_us);
      break;
    case LT_CHOICE_FAILURE:
      count_outcomes (choice, estimate, 0, 1, now_us);
      update_gray (choice, estimate, false, now_us);
      break;
    case LT_CHOICE_SHED:
      estimate->shed_until_us = now_us + choice->options.shed_us;
      break;
    case LT_CHOICE_UNREACHABLE:
      estimate->unreachable = 1;
      estimate->unreachable_us = now_us;
      break;
    case LT_CHOICE_ADDRESS_MOVED:
      estimate->address_moved = true;
      break;
    }
}

void
lt_choice_observe_peer (lt_choice_t *choice, uint64_t id, uint32_t good,
                        uint32_t bad, int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return;
  count_outcomes (choice, estimate, good, bad, now_us);
  lt_rejection_add (&estimate->rejection, good + bad, 0,
                    choice->options.rejection_decay_us, now_us);
  estimate->used_us = now_us;
  for (uint32_t i = 0; i < good; i++)
    update_gray (choice, estimate, true, now_us);
  for (uint32_t i = 0; i < bad; i++)
    update_gray (choice, estimate, false, now_us);
}

void
lt_choice_observe_peer_rejections (lt_choice_t *choice, uint64_t id,
                                   uint32_t rejected, int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate != NULL)
    lt_rejection_add (&estimate->rejection, rejected, rejected,
                      choice->options.rejection_decay_us, now_us);
}

void
lt_choice_set_peer_load (lt_choice_t *choice, uint64_t id, uint64_t peer,
                         int32_t in_flight, int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return;
  uint32_t at = 0;
  while (at < estimate->peer_count && estimate->peers[at].peer != peer)
    at++;
  if (at == CHOICE_MAX_PEERS)
    return;
  if (at == estimate->peer_count)
    estimate->peer_count++;
  estimate->peers[at] = (peer_load_t){ peer, in_flight, now_us };
}

int
lt_choice_look_up (const lt_choice_t *choice, uint64_t id, int64_t now_us,
                   lt_choice_estimate_t *view)
{
  const upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return -LT_ENOTFOUND;
  *view = (lt_choice_estimate_t){
    .gray_probability = lt_choice_gray_now (choice, estimate, now_us),
    .unreachable_probability = unreachable_now (choice, estimate, now_us),
    .rejected_share = lt_rejection_share (
        &estimate->rejection, choice->options.rejection_decay_us, now_us),
    .own_in_flight = estimate->own_in_flight,
    .peers_in_flight = peers_in_flight (choice, estimate, now_us),
    .evidence_us = estimate->evidence_us,
    .rate_milli_per_s = estimate->pace.rate_milli_per_s,
    .cold = lt_pace_is_cold (&estimate->pace, now_us),
  };
  return 0;
}
