#include <stdlib.h>

#include "choice_internal.h"
#include "lt/base/clock.h"
#include "lt/base/str.h"

enum
{
  /* A response without a rate may have been sent before one with a rate that
     arrived earlier, or be reported late.  */
  RATE_END_DELAY_MS = 500
};

void
lt_choice_set_places (lt_choice_t *choice, const lt_pace_place_t *places,
                      uint32_t count)
{
  free (choice->places);
  choice->places = lt_alloc ((count + 1) * sizeof (*choice->places));
  choice->place_count = count;
  for (uint32_t i = 0; i < count; i++)
    choice->places[i] = places[i];
}

bool
lt_choice_set_rate (lt_choice_t *choice, uint64_t id, int64_t rate_milli_per_s,
                    int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return false;
  if (rate_milli_per_s > 0)
    estimate->rate_named_us = now_us;
  else if (now_us - estimate->rate_named_us < RATE_END_DELAY_MS * LT_US_PER_MS)
    return false;
  bool changed = estimate->pace.rate_milli_per_s != rate_milli_per_s;
  estimate->pace.rate_milli_per_s = rate_milli_per_s;
  return changed;
}

void
lt_choice_update_warm_up (upstream_estimate_t *estimate)
{
  const lt_choice_upstream_t *upstream = &estimate->upstream;
  estimate->pace.warm_rate_milli_per_s = upstream->warm_rate_milli_per_s;
  estimate->pace.warm_until_us
      = upstream->warm_until_us > estimate->told_warm_us
            ? upstream->warm_until_us
            : estimate->told_warm_us;
}

bool
lt_choice_set_cold (lt_choice_t *choice, uint64_t id, int64_t warm_until_us,
                    int64_t now_us)
{
  upstream_estimate_t *estimate = lt_choice_find (choice, id);
  if (estimate == NULL)
    return false;
  bool was_cold = lt_pace_is_cold (&estimate->pace, now_us);
  if (warm_until_us > estimate->told_warm_us)
    estimate->told_warm_us = warm_until_us;
  lt_choice_update_warm_up (estimate);
  return !was_cold && lt_pace_is_cold (&estimate->pace, now_us);
}
