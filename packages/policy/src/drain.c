#include "lt/policy/drain.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/str.h"

typedef struct upstream_state
{
  lt_drain_upstream_t config;
  bool kept_open; /* Has kept a connection open at least once. */
  bool announced;
  uint32_t successful_probes;
  int64_t next_probe_us;
  bool stopping; /* Within a planned stop or lead_us before it. */
  bool leaving;  /* As reported by the last update. */
} upstream_state_t;

struct lt_drain
{
  lt_drain_options_t options;
  upstream_state_t *upstreams;
  uint32_t count;
  lt_drain_service_t *services;
  uint32_t service_count;
  lt_drain_planned_stop_t *stops;
  uint32_t stop_count;
};

lt_drain_t *
lt_drain_create (const lt_drain_options_t *options)
{
  lt_drain_t *drain = lt_alloc (sizeof (*drain));
  drain->options = *options;
  return drain;
}

void
lt_drain_destroy (lt_drain_t *drain)
{
  if (drain == NULL)
    return;
  free (drain->upstreams);
  free (drain->services);
  free (drain->stops);
  free (drain);
}

static void *
copy_array (const void *items, size_t bytes)
{
  void *copy = lt_alloc (bytes);
  if (bytes > 0)
    memcpy (copy, items, bytes);
  return copy;
}

static upstream_state_t *
find_by_name (const lt_drain_t *drain, uint64_t name)
{
  for (uint32_t i = 0; i < drain->count; i++)
    if (drain->upstreams[i].config.name_hash == name)
      return &drain->upstreams[i];
  return NULL;
}

static int
compare_names (const void *a, const void *b)
{
  const upstream_state_t *const *x = a;
  const upstream_state_t *const *y = b;
  uint64_t left = (*x)->config.name_hash;
  uint64_t right = (*y)->config.name_hash;
  return (left > right) - (left < right);
}

/* Copies the state of upstreams that are in both configurations.  The old ones
   are sorted by name first, since with 28,000 upstreams a linear search for
   each would take seconds.  */
static void
copy_states (const lt_drain_t *drain, upstream_state_t *states, uint32_t count)
{
  upstream_state_t **old
      = lt_alloc (drain->count * sizeof (upstream_state_t *));
  for (uint32_t i = 0; i < drain->count; i++)
    old[i] = &drain->upstreams[i];
  qsort (old, drain->count, sizeof (upstream_state_t *), compare_names);
  for (uint32_t i = 0; i < count; i++)
    {
      lt_drain_upstream_t config = states[i].config;
      const upstream_state_t *key = &states[i];
      upstream_state_t **found
          = drain->count == 0
                ? NULL
                : bsearch (&key, old, drain->count,
                           sizeof (upstream_state_t *), compare_names);
      if (found != NULL)
        states[i] = **found;
      states[i].config = config;
      states[i].leaving = false;
    }
  free (old);
}

void
lt_drain_configure (lt_drain_t *drain, const lt_drain_config_t *config)
{
  upstream_state_t *states
      = lt_alloc (config->upstream_count * sizeof (*states));
  for (uint32_t i = 0; i < config->upstream_count; i++)
    states[i].config = config->upstreams[i];
  copy_states (drain, states, config->upstream_count);
  free (drain->upstreams);
  free (drain->services);
  free (drain->stops);
  drain->upstreams = states;
  drain->count = config->upstream_count;
  drain->services = copy_array (
      config->services, config->service_count * sizeof (*drain->services));
  drain->service_count = config->service_count;
  drain->stops = copy_array (config->stops,
                             config->stop_count * sizeof (*drain->stops));
  drain->stop_count = config->stop_count;
}

/* Returns whether the service of STATE stays at or above its floor without
   STATE.  */
static bool
floor_allows (const lt_drain_t *drain, const upstream_state_t *state)
{
  uint32_t service = state->config.service;
  int64_t total = 0;
  int64_t remaining = 0;
  for (uint32_t i = 0; i < drain->count; i++)
    {
      const upstream_state_t *other = &drain->upstreams[i];
      if (other->config.service != service)
        continue;
      total += other->config.slots;
      bool is_leaving = other == state || other->announced || other->leaving
                        || other->config.drained;
      remaining += is_leaving ? 0 : other->config.slots;
    }
  return remaining * 100 >= total * drain->services[service].floor_percent;
}

static bool
announce (lt_drain_t *drain, upstream_state_t *state, int64_t now_us)
{
  if (state->announced || !floor_allows (drain, state))
    return false;
  state->announced = true;
  state->successful_probes = 0;
  state->next_probe_us = now_us + drain->options.probe_interval_us;
  return true;
}

bool
lt_drain_on_response (lt_drain_t *drain, uint32_t upstream, bool closing,
                      int64_t now_us)
{
  if (upstream >= drain->count)
    return false;
  upstream_state_t *state = &drain->upstreams[upstream];
  if (!closing)
    {
      state->kept_open = true;
      return false;
    }
  return state->kept_open && announce (drain, state, now_us);
}

bool
lt_drain_on_peer_announcement (lt_drain_t *drain, uint64_t name,
                               int64_t now_us)
{
  upstream_state_t *state = find_by_name (drain, name);
  return state != NULL && announce (drain, state, now_us);
}

uint32_t
lt_drain_probe_due (lt_drain_t *drain, int64_t now_us)
{
  for (uint32_t i = 0; i < drain->count; i++)
    {
      upstream_state_t *state = &drain->upstreams[i];
      if (!state->announced || now_us < state->next_probe_us)
        continue;
      state->next_probe_us = now_us + drain->options.probe_interval_us;
      return i;
    }
  return UINT32_MAX;
}

void
lt_drain_on_probe (lt_drain_t *drain, uint32_t upstream, bool ok)
{
  if (upstream >= drain->count)
    return;
  upstream_state_t *state = &drain->upstreams[upstream];
  state->successful_probes = ok ? state->successful_probes + 1 : 0;
  if (state->successful_probes >= drain->options.probes_to_return)
    state->announced = false;
}

static void
mark_stops (lt_drain_t *drain, int64_t wall_us)
{
  for (uint32_t i = 0; i < drain->count; i++)
    drain->upstreams[i].stopping = false;
  for (uint32_t i = 0; i < drain->stop_count; i++)
    {
      const lt_drain_planned_stop_t *stop = &drain->stops[i];
      upstream_state_t *state = &drain->upstreams[stop->upstream];
      int64_t lead_us = drain->services[state->config.service].lead_us;
      if (wall_us >= stop->starts_wall_us - lead_us
          && wall_us < stop->ends_wall_us)
        state->stopping = true;
    }
}

uint32_t
lt_drain_update (lt_drain_t *drain, int64_t wall_us,
                 lt_drain_change_t *changes, uint32_t cap)
{
  uint32_t count = 0;
  mark_stops (drain, wall_us);
  for (uint32_t i = 0; i < drain->count && count < cap; i++)
    {
      upstream_state_t *state = &drain->upstreams[i];
      bool leaving
          = state->config.drained || state->announced || state->stopping;
      if (leaving == state->leaving)
        continue;
      state->leaving = leaving;
      changes[count++]
          = (lt_drain_change_t){ .upstream = i, .leaving = leaving };
    }
  return count;
}

bool
lt_drain_is_leaving (const lt_drain_t *drain, uint32_t upstream)
{
  return upstream < drain->count && drain->upstreams[upstream].leaving;
}
