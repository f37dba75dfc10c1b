// Loads, results and options of the model of a hosted fleet in room_world.h.
#ifndef POLICY_TEST_ROOM_LOAD_H
#define POLICY_TEST_ROOM_LOAD_H

#include <vector>

#include "lt/base/clock.h"
#include "lt/policy/room.h"

namespace room_world
{

const int64_t S = LT_US_PER_S;
const int64_t MS = LT_US_PER_MS;

struct Kind
{
  uint32_t level;
  double rate_per_s; // In one failure domain.
  int64_t mean_us;
  int64_t target_us;
  int64_t deadline_us;
  bool repeatable = true;
  double workspaces = 8; // Equally busy ones.
  bool retries_at_once = false;
};

struct Tally
{
  int offered = 0;
  int served = 0;   // Before the deadline.
  int on_time = 0;  // Within the latency target.
  int finished = 0; // Before the end of the arrivals, from an empty start.
  int refused = 0;
  int rejected = 0; // Attempts that upstreams rejected.
  double value = 0; // 1 on time, linearly less until the deadline.
  double
  share () const
  {
    return offered == 0 ? 1 : (double)served / offered;
  }
  double
  value_share () const
  {
    return offered == 0 ? 1 : value / offered;
  }
  double
  on_time_share () const
  {
    return offered == 0 ? 1 : (double)on_time / offered;
  }
};

struct Options
{
  int domains = 1;
  int domains_per_region = 2;
  int vms = 20;       // Of a failure domain.
  int upstreams = 45; // Of a failure domain.
  int slots = 4;
  int queue = 16;
  bool on = true;
  uint64_t seed = 1;
  lt_room_options_t room = LT_ROOM_OPTIONS_DEFAULT;
};

} // namespace room_world

#endif
