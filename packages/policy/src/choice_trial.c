#include <math.h>

#include "choice_internal.h"

/* A request that must not be repeated is used for trials below this
   probability: an upstream that failed once is tried as soon as it has been
   idle long enough, one that failed several times about a second later.  */
#define TRIAL_GRAY_MAX 0.68

static void
count_request (lt_choice_t *choice, service_state_t *state, bool refused,
               int64_t now_us)
{
  double kept = exp (-(double)(now_us - state->requests_us)
                     / (double)choice->options.failing_decay_us);
  state->requests = state->requests * kept + 1;
  state->refused = state->refused * kept + (refused ? 1 : 0);
  state->requests_us = now_us;
}

void
lt_choice_record_refusal (lt_choice_t *choice, uint32_t service,
                          int64_t now_us)
{
  if (service < choice->service_count)
    count_request (choice, &choice->services[service], true, now_us);
}

static bool
is_failing (const lt_choice_options_t *o, const service_state_t *state)
{
  return (state->bad >= o->failing_min_failures
          && state->bad > o->failing_share * (state->good + state->bad))
         || (state->refused >= o->failing_min_refusals
             && state->refused > o->failing_share * state->requests);
}

/* Returns how long an upstream must have been idle for REQUEST to be sent to
   it as a trial, or -1 when REQUEST is not used for trials.  */
static int64_t
required_idle_us (lt_choice_t *choice, const lt_choice_request_t *request,
                  int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  if (request->tried_count > 0 || request->service >= choice->service_count)
    return -1;
  service_state_t *state = &choice->services[request->service];
  if (!request->counted)
    count_request (choice, state, false, now_us);
  if (request->repeatable)
    {
      state->repeatable_us = now_us;
      return o->trial_idle_us;
    }
  bool repeatable = state->repeatable_us != 0
                    && now_us - state->repeatable_us < o->failing_decay_us;
  return is_failing (o, state) && !repeatable ? o->failing_trial_idle_us : -1;
}

int64_t
lt_choice_pick_trial (lt_choice_t *choice, const lt_choice_request_t *request,
                      int64_t now_us)
{
  int64_t found = -1;
  int64_t idle_us = required_idle_us (choice, request, now_us);
  int64_t oldest_us = now_us - idle_us;
  if (idle_us < 0)
    return -1;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const upstream_estimate_t *estimate = choice->by_index[i];
      if (estimate->upstream.distance != LT_DISTANCE_SAME_DOMAIN
          || estimate->used_us > oldest_us
          || (!request->repeatable
              && lt_choice_gray_now (choice, estimate, now_us)
                     >= TRIAL_GRAY_MAX)
          /* Slow requests fill it: all VMs would try it at the same time.  */
          || (request->limits != NULL
              && lt_choice_load_now (choice, estimate, now_us) > 0)
          || !lt_choice_is_eligible (choice, request, i, now_us))
        continue;
      oldest_us = estimate->used_us;
      found = i;
    }
  return found;
}
