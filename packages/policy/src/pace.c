#include "lt/policy/pace.h"

#include "lt/base/clock.h"

enum
{
  MILLI = 1000,
  SERIES_SLOTS = 10,
  /* Of two quartz clocks without discipline.  */
  DRIFT_PPM = 100,
  PPM = 1000000
};

/* Parts per thousand of the VMs between the slots of two VMs with neighbouring
   ranks: the golden ratio, which spreads the VMs of a failure domain, whose
   ids are neighbours, evenly over the round.  */
#define RANK_STRIDE_MILLI 618

static uint32_t
greatest_common_divisor (uint32_t a, uint32_t b)
{
  while (b != 0)
    {
      uint32_t rest = a % b;
      a = b;
      b = rest;
    }
  return a;
}

/* The distance that each slot of a series is for.  */
static const lt_distance_t series[SERIES_SLOTS]
    = { LT_DISTANCE_SAME_DOMAIN,  LT_DISTANCE_SAME_REGION,
        LT_DISTANCE_SAME_DOMAIN,  LT_DISTANCE_SAME_DOMAIN,
        LT_DISTANCE_SAME_REGION,  LT_DISTANCE_SAME_DOMAIN,
        LT_DISTANCE_OTHER_REGION, LT_DISTANCE_SAME_DOMAIN,
        LT_DISTANCE_SAME_REGION,  LT_DISTANCE_SAME_DOMAIN };

/* Returns the nearest distance with VMs, from DISTANCE on and then from the
   upstream on.  */
static lt_distance_t
group_of_slot (const uint32_t counts[LT_DISTANCES], lt_distance_t distance)
{
  for (int i = 0; i < LT_DISTANCES; i++)
    {
      int candidate = ((int)distance + i) % LT_DISTANCES;
      if (counts[candidate] > 0)
        return (lt_distance_t)candidate;
    }
  return distance;
}

lt_pace_place_t
lt_pace_place_for (const uint32_t counts[LT_DISTANCES], lt_distance_t distance,
                   uint32_t rank, int64_t clock_offset_us)
{
  lt_pace_place_t place = { .vms = counts[distance],
                            .rank = rank,
                            .clock_offset_us = clock_offset_us };
  for (uint32_t i = 0; i < SERIES_SLOTS; i++)
    if (group_of_slot (counts, series[i]) == distance)
      place.turns |= 1U << i;
  return place;
}

/* Returns how many of the first SLOTS slots of a series are for the group.  */
static int64_t
count_turns (const lt_pace_place_t *place, int64_t slots)
{
  int64_t count = 0;
  for (int64_t i = 0; i < slots; i++)
    count += place->turns >> i & 1;
  return count;
}

/* Returns the slot of the group's turn number TURN.  */
static int64_t
slot_of_turn (const lt_pace_place_t *place, int64_t turn)
{
  int64_t turns = count_turns (place, SERIES_SLOTS);
  int64_t left = turn % turns;
  int64_t slot = 0;
  while (left > 0 || (place->turns >> slot & 1) == 0)
    left -= place->turns >> slot++ & 1;
  return turn / turns * SERIES_SLOTS + slot;
}

/* Returns the position of this VM in a round of its group.  */
static uint32_t
round_position (const lt_pace_place_t *place)
{
  uint32_t stride
      = (uint32_t)((uint64_t)place->vms * RANK_STRIDE_MILLI / MILLI);
  while (stride == 0 || greatest_common_divisor (stride, place->vms) != 1)
    stride++;
  return (uint32_t)((uint64_t)place->rank * stride % place->vms);
}

bool
lt_pace_is_cold (const lt_pace_t *pace, int64_t now_us)
{
  return pace->warm_rate_milli_per_s > 0 && now_us < pace->warm_until_us;
}

/* Returns the rate that is in force at NOW_US; 0: none.  */
static int64_t
rate_milli (const lt_pace_t *pace, int64_t now_us)
{
  int64_t rate = pace->rate_milli_per_s;
  if (lt_pace_is_cold (pace, now_us)
      && (rate == 0 || rate > pace->warm_rate_milli_per_s))
    rate = pace->warm_rate_milli_per_s;
  return rate > 0 && rate < LT_PACE_RATE_MIN_MILLI ? LT_PACE_RATE_MIN_MILLI
                                                   : rate;
}

/* Returns the first slot of this VM at or after FROM_US, on the shared
   clock.  */
static int64_t
first_slot (const lt_pace_t *pace, const lt_pace_place_t *place, int64_t rate,
            int64_t from_us)
{
  int64_t slot_us = MILLI * LT_US_PER_S / rate;
  if (slot_us == 0)
    return from_us;
  /* Slots of different upstreams begin at different times.  */
  int64_t series_us = slot_us * SERIES_SLOTS;
  int64_t phase_us
      = (int64_t)(pace->upstream % (uint64_t)(series_us * place->vms));
  int64_t slot = (from_us + phase_us + slot_us - 1) / slot_us;
  int64_t turn = slot / SERIES_SLOTS * count_turns (place, SERIES_SLOTS)
                 + count_turns (place, slot % SERIES_SLOTS);
  int64_t past = (turn - round_position (place)) % place->vms;
  if (past < 0)
    past += place->vms;
  if (past > 0)
    turn += place->vms - past;
  return slot_us * slot_of_turn (place, turn) - phase_us;
}

/* Returns the earliest slot that can still be used at NOW_US, by this VM's
   clock.  RATE: in force then.  */
static int64_t
usable_slot (const lt_pace_t *pace, const lt_pace_place_t *place, int64_t rate,
             int64_t now_us)
{
  int64_t valid_us = lt_pace_is_cold (pace, now_us)
                         ? LT_PACE_COLD_SLOT_VALID_US
                         : LT_PACE_SLOT_VALID_US;
  int64_t from_us = now_us + place->clock_offset_us - valid_us;
  if (from_us <= pace->used_us)
    from_us = pace->used_us + 1;
  if (from_us < 0)
    from_us = 0;
  return first_slot (pace, place, rate, from_us);
}

static bool
has_slots (const lt_pace_place_t *place)
{
  return place->vms > 0 && place->turns != 0;
}

int64_t
lt_pace_next_us (const lt_pace_t *pace, const lt_pace_place_t *place,
                 int64_t now_us)
{
  int64_t rate = rate_milli (pace, now_us);
  if (rate == 0)
    return now_us;
  int64_t next_us = has_slots (place) ? usable_slot (pace, place, rate, now_us)
                                            - place->clock_offset_us
                                      : INT64_MAX;
  if (!lt_pace_is_cold (pace, now_us) || next_us <= pace->warm_until_us)
    return next_us;
  next_us = lt_pace_next_us (pace, place, pace->warm_until_us);
  return next_us < pace->warm_until_us ? pace->warm_until_us : next_us;
}

void
lt_pace_take (lt_pace_t *pace, const lt_pace_place_t *place, int64_t now_us)
{
  int64_t rate = rate_milli (pace, now_us);
  if (rate > 0 && has_slots (place))
    pace->used_us = usable_slot (pace, place, rate, now_us);
}

void
lt_remote_clock_sample (lt_remote_clock_t *clock, int64_t remote_us,
                        int64_t now_us)
{
  int64_t offset_us = remote_us - now_us;
  int64_t drift_us = (now_us - clock->sampled_us) / PPM * DRIFT_PPM;
  if (clock->sampled_us != 0 && offset_us < clock->offset_us - drift_us)
    return;
  clock->offset_us = offset_us;
  clock->sampled_us = now_us;
}
