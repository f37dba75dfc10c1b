// Guards against upstreams that are forgotten while they leave, and against
// memory that grows with the number of upstreams that ever left.
#include <gtest/gtest.h>

#include "lt/base/clock.h"
#include "lt/policy/departures.h"

namespace
{

const int64_t S = LT_US_PER_S;

class Departures : public testing::Test
{
protected:
  Departures ()
  {
    lt_departures_options_t options = LT_DEPARTURES_OPTIONS_DEFAULT;
    options.memory_us = 100 * S;
    options.max = 3;
    departures = lt_departures_create (&options);
  }
  ~Departures () override { lt_departures_destroy (departures); }

  lt_departures_t *departures;
};

TEST_F (Departures, EachIsNewOnce)
{
  EXPECT_FALSE (lt_departures_has (departures, 7));
  EXPECT_TRUE (lt_departures_note (departures, 7, 1 * S));
  EXPECT_FALSE (lt_departures_note (departures, 7, 2 * S));
  EXPECT_TRUE (lt_departures_has (departures, 7));
  EXPECT_FALSE (lt_departures_has (departures, 8));
  EXPECT_EQ (1u, lt_departures_count (departures));
}

TEST_F (Departures, MemoryEndsAfterTheLastNote)
{
  lt_departures_note (departures, 7, 0);
  lt_departures_note (departures, 8, 10 * S);
  lt_departures_note (departures, 7, 50 * S);
  lt_departures_expire (departures, 109 * S);
  EXPECT_TRUE (lt_departures_has (departures, 8));
  lt_departures_expire (departures, 110 * S);
  EXPECT_FALSE (lt_departures_has (departures, 8));
  EXPECT_TRUE (lt_departures_has (departures, 7));
  lt_departures_expire (departures, 150 * S);
  EXPECT_EQ (0u, lt_departures_count (departures));
}

TEST_F (Departures, OldestGiveWay)
{
  for (uint64_t id = 1; id <= 3; id++)
    lt_departures_note (departures, id, (int64_t)id * S);
  lt_departures_note (departures, 1, 4 * S);
  lt_departures_note (departures, 4, 5 * S);
  EXPECT_EQ (3u, lt_departures_count (departures));
  EXPECT_FALSE (lt_departures_has (departures, 2));
  for (uint64_t id : { 1, 3, 4 })
    EXPECT_TRUE (lt_departures_has (departures, id));
}

} // namespace
