#include "lt/policy/choice.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/base/str.h"

enum
{
  PEERS_MAX = 64
};

/* Above this probability an upstream is more likely gray than sound.  */
#define SUSPECTED 0.5

typedef struct peer_load
{
  uint64_t peer;
  int32_t in_flight;
  int64_t heard_us;
} peer_load_t;

typedef struct belief
{
  UT_hash_handle hh;
  uint64_t id;
  bool current; /* In the last configuration. */
  lt_choice_upstream_t upstream;
  double gray;
  int64_t gray_us; /* Time of GRAY. */
  double no_path;
  int64_t no_path_us;
  int64_t shed_until_us;
  int64_t evidence_us;
  int64_t used_us; /* By any VM that reports. */
  bool elsewhere;
  int32_t own;
  peer_load_t peers[PEERS_MAX];
  uint32_t peer_count;
} belief_t;

/* How requests of a service end of late; the counts decay.  */
typedef struct service_state
{
  double good; /* Attempts of this VM and of others. */
  double bad;
  int64_t updated_us;
  double asked; /* Requests at this VM. */
  double refused;
  int64_t asked_us;
  int64_t repeatable_us; /* Last repeatable request. */
} service_state_t;

struct lt_choice
{
  lt_choice_options_t options;
  lt_rng_t *rng;
  belief_t *beliefs;
  belief_t **by_index;
  uint32_t count;
  service_state_t *services;
  uint32_t service_count;
};

lt_choice_t *
lt_choice_create (const lt_choice_options_t *options, lt_rng_t *rng)
{
  lt_choice_t *choice = lt_alloc (sizeof (*choice));
  choice->options = *options;
  choice->rng = rng;
  return choice;
}

static void
forget (lt_choice_t *choice, belief_t *belief)
{
  HASH_DEL (choice->beliefs, belief); /* NOLINT(clang-analyzer-*) */
  free (belief);
}

void
lt_choice_destroy (lt_choice_t *choice)
{
  if (choice == NULL)
    return;
  belief_t *belief;
  belief_t *next;
  HASH_ITER (hh, choice->beliefs, belief, next) { forget (choice, belief); }
  free (choice->by_index);
  free (choice->services);
  free (choice);
}

static belief_t *
find (const lt_choice_t *choice, uint64_t id)
{
  belief_t *belief = NULL;
  HASH_FIND (hh, choice->beliefs, &id, sizeof (id), belief);
  return belief;
}

static double
stationary (const lt_choice_options_t *o)
{
  return o->turn_per_s / (o->turn_per_s + o->recover_per_s);
}

/* Without evidence a belief returns to how upstreams are in general.  */
static double
relax (double value, double rest, double rate_per_s, int64_t elapsed_us)
{
  double elapsed_s = (double)elapsed_us / LT_US_PER_S;
  return rest + (value - rest) * exp (-rate_per_s * elapsed_s);
}

static double
gray_now (const lt_choice_t *choice, const belief_t *belief, int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  return relax (belief->gray, stationary (o), o->turn_per_s + o->recover_per_s,
                now_us - belief->gray_us);
}

static double
no_path_now (const lt_choice_t *choice, const belief_t *belief, int64_t now_us)
{
  return relax (belief->no_path, 0, choice->options.no_path_recover_per_s,
                now_us - belief->no_path_us);
}

/* When services are numbered anew, their states are learned again.  */
static void
size_services (lt_choice_t *choice, const lt_choice_upstream_t *upstreams,
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

/* Failures of an upstream that was suspected before are expected: counted, the
   trials would keep themselves going.  */
static void
note_ends (lt_choice_t *choice, const belief_t *belief, uint32_t good,
           uint32_t bad, int64_t now_us)
{
  if (!belief->current || belief->upstream.service >= choice->service_count)
    return;
  if (gray_now (choice, belief, now_us) >= SUSPECTED)
    bad = 0;
  service_state_t *state = &choice->services[belief->upstream.service];
  double kept = exp (-(double)(now_us - state->updated_us)
                     / (double)choice->options.failing_us);
  state->good = state->good * kept + good;
  state->bad = state->bad * kept + bad;
  state->updated_us = now_us;
}

void
lt_choice_configure (lt_choice_t *choice,
                     const lt_choice_upstream_t *upstreams, uint32_t count,
                     int64_t now_us)
{
  belief_t *belief;
  belief_t *next;
  HASH_ITER (hh, choice->beliefs, belief, next) { belief->current = false; }
  size_services (choice, upstreams, count);
  free (choice->by_index);
  choice->by_index = lt_alloc ((count + 1) * sizeof (belief_t *));
  choice->count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      belief = find (choice, upstreams[i].id);
      if (belief == NULL)
        {
          belief = lt_alloc (sizeof (*belief));
          belief->id = upstreams[i].id;
          belief->gray = stationary (&choice->options);
          belief->gray_us = now_us;
          belief->used_us = now_us;
          HASH_ADD (hh, choice->beliefs, id, sizeof (belief->id), belief);
        }
      belief->upstream = upstreams[i];
      belief->current = true;
      choice->by_index[i] = belief;
    }
  HASH_ITER (hh, choice->beliefs, belief, next)
  {
    if (!belief->current && belief->own == 0)
      forget (choice, belief);
  }
}

static int32_t
peer_sum (const lt_choice_t *choice, const belief_t *belief, int64_t now_us)
{
  int32_t sum = 0;
  for (uint32_t i = 0; i < belief->peer_count; i++)
    if (now_us - belief->peers[i].heard_us < choice->options.peer_load_us)
      sum += belief->peers[i].in_flight;
  return sum;
}

static double
waiting_loss (const lt_choice_t *choice, const belief_t *belief,
              int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  int32_t slots = belief->upstream.slots > 0 ? belief->upstream.slots : 1;
  int32_t load = belief->own + peer_sum (choice, belief, now_us);
  double loss = 0;
  if (load < slots)
    loss = o->busy_loss * load / slots;
  else
    loss = o->busy_loss + o->queue_loss * (load - slots + 1) / slots;
  if (now_us < belief->shed_until_us)
    loss += o->shed_loss;
  if (now_us < belief->upstream.warm_until_us)
    loss += o->warm_up_loss;
  return loss;
}

static double
expected_loss (const lt_choice_t *choice, const belief_t *belief,
               const lt_choice_request_t *request, int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  double gray = gray_now (choice, belief, now_us);
  double fails = gray * o->gray_fails + (1 - gray) * o->sound_fails;
  double loss = fails * (request->repeatable ? o->repeat_loss : 1.0);
  loss += no_path_now (choice, belief, now_us) * o->no_path_loss;
  loss += o->distance_loss[belief->upstream.distance];
  return loss + waiting_loss (choice, belief, now_us);
}

static bool
was_tried (const lt_choice_request_t *request, uint32_t index)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == index)
      return true;
  return false;
}

static bool
can_take (const belief_t *belief, const lt_choice_request_t *request,
          uint32_t index)
{
  return belief->upstream.service == request->service
         && !belief->upstream.leaving && !belief->elsewhere
         && !was_tried (request, index);
}

static void
note_asked (lt_choice_t *choice, service_state_t *state, bool refused,
            int64_t now_us)
{
  double kept = exp (-(double)(now_us - state->asked_us)
                     / (double)choice->options.failing_us);
  state->asked = state->asked * kept + 1;
  state->refused = state->refused * kept + (refused ? 1 : 0);
  state->asked_us = now_us;
}

void
lt_choice_refuse (lt_choice_t *choice, uint32_t service, int64_t now_us)
{
  if (service < choice->service_count)
    note_asked (choice, &choice->services[service], true, now_us);
}

static bool
is_failing (const lt_choice_options_t *o, const service_state_t *state)
{
  return (state->bad >= o->failing_least
          && state->bad > o->failing_share * (state->good + state->bad))
         || (state->refused >= o->refused_least
             && state->refused > o->failing_share * state->asked);
}

/* Returns how long an upstream must have been idle for REQUEST to try it, or
   -1 when it tries none.  */
static int64_t
trial_idle_us (lt_choice_t *choice, const lt_choice_request_t *request,
               int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  if (request->tried_count > 0 || request->service >= choice->service_count)
    return -1;
  service_state_t *state = &choice->services[request->service];
  note_asked (choice, state, false, now_us);
  if (request->repeatable)
    {
      state->repeatable_us = now_us;
      return o->trial_us;
    }
  bool repeatable = state->repeatable_us != 0
                    && now_us - state->repeatable_us < o->failing_us;
  return is_failing (o, state) && !repeatable ? o->failing_trial_us : -1;
}

/* Returns the upstream that has waited longest for a trial, or -1.  */
static int64_t
pick_trial (lt_choice_t *choice, const lt_choice_request_t *request,
            int64_t now_us)
{
  int64_t found = -1;
  int64_t idle_us = trial_idle_us (choice, request, now_us);
  int64_t oldest_us = now_us - idle_us;
  if (idle_us < 0)
    return -1;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const belief_t *belief = choice->by_index[i];
      if (belief->upstream.distance != LT_DISTANCE_DOMAIN
          || belief->used_us > oldest_us || !can_take (belief, request, i))
        continue;
      oldest_us = belief->used_us;
      found = i;
    }
  return found;
}

int64_t
lt_choice_pick (lt_choice_t *choice, const lt_choice_request_t *request,
                int64_t now_us)
{
  int64_t best = -LT_EUNAVAILABLE;
  double least = INFINITY;
  int64_t trial = pick_trial (choice, request, now_us);
  if (trial >= 0)
    return trial;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const belief_t *belief = choice->by_index[i];
      if (!can_take (belief, request, i))
        continue;
      double loss = expected_loss (choice, belief, request, now_us)
                    + choice->options.jitter * lt_rng_unit (choice->rng);
      if (loss >= least)
        continue;
      least = loss;
      best = i;
    }
  return best;
}

void
lt_choice_begin (lt_choice_t *choice, uint64_t id, int64_t now_us)
{
  belief_t *belief = find (choice, id);
  if (belief == NULL)
    return;
  belief->own++;
  belief->used_us = now_us;
}

void
lt_choice_end (lt_choice_t *choice, uint64_t id)
{
  belief_t *belief = find (choice, id);
  if (belief == NULL)
    return;
  belief->own--;
  if (!belief->current && belief->own == 0)
    forget (choice, belief);
}

/* Bayes' rule for one outcome.  */
static void
update_gray (lt_choice_t *choice, belief_t *belief, bool good, int64_t now_us)
{
  const lt_choice_options_t *o = &choice->options;
  double gray = gray_now (choice, belief, now_us);
  double if_gray = good ? 1 - o->gray_fails : o->gray_fails;
  double if_sound = good ? 1 - o->sound_fails : o->sound_fails;
  belief->gray = gray * if_gray / (gray * if_gray + (1 - gray) * if_sound);
  belief->gray_us = now_us;
  belief->evidence_us = now_us;
}

void
lt_choice_observe (lt_choice_t *choice, uint64_t id,
                   lt_choice_evidence_t evidence, int64_t now_us)
{
  belief_t *belief = find (choice, id);
  if (belief == NULL)
    return;
  switch (evidence)
    {
    case LT_CHOICE_GOOD:
      note_ends (choice, belief, 1, 0, now_us);
      belief->no_path = 0;
      update_gray (choice, belief, true, now_us);
      break;
    case LT_CHOICE_BAD:
      note_ends (choice, belief, 0, 1, now_us);
      update_gray (choice, belief, false, now_us);
      break;
    case LT_CHOICE_SHED:
      belief->shed_until_us = now_us + choice->options.shed_us;
      break;
    case LT_CHOICE_NO_PATH:
      belief->no_path = 1;
      belief->no_path_us = now_us;
      break;
    case LT_CHOICE_ELSEWHERE:
      belief->elsewhere = true;
      break;
    }
}

void
lt_choice_peer_observe (lt_choice_t *choice, uint64_t id, uint32_t good,
                        uint32_t bad, int64_t now_us)
{
  belief_t *belief = find (choice, id);
  if (belief == NULL)
    return;
  note_ends (choice, belief, good, bad, now_us);
  belief->used_us = now_us;
  for (uint32_t i = 0; i < good; i++)
    update_gray (choice, belief, true, now_us);
  for (uint32_t i = 0; i < bad; i++)
    update_gray (choice, belief, false, now_us);
}

void
lt_choice_peer_load (lt_choice_t *choice, uint64_t id, uint64_t peer,
                     int32_t in_flight, int64_t now_us)
{
  belief_t *belief = find (choice, id);
  if (belief == NULL)
    return;
  uint32_t at = 0;
  while (at < belief->peer_count && belief->peers[at].peer != peer)
    at++;
  if (at == PEERS_MAX)
    return;
  if (at == belief->peer_count)
    belief->peer_count++;
  belief->peers[at] = (peer_load_t){ peer, in_flight, now_us };
}

int
lt_choice_look_up (const lt_choice_t *choice, uint64_t id, int64_t now_us,
                   lt_choice_view_t *view)
{
  const belief_t *belief = find (choice, id);
  if (belief == NULL)
    return -LT_ENOTFOUND;
  *view = (lt_choice_view_t){ .gray = gray_now (choice, belief, now_us),
                              .no_path = no_path_now (choice, belief, now_us),
                              .own = belief->own,
                              .peers = peer_sum (choice, belief, now_us),
                              .evidence_us = belief->evidence_us };
  return 0;
}
