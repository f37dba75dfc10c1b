// Guards against requests that wait on although they can no longer be served,
// and against estimates that refuse what can be.
#include <gtest/gtest.h>

#include "lt/base/clock.h"
#include "lt/policy/service_time.h"
#include "lt/policy/wait_rule.h"

namespace
{

const int64_t MS = LT_US_PER_MS;
const int64_t NOW = 1000 * LT_US_PER_S;

lt_wait_state_t
waiting (int64_t left_ms)
{
  lt_wait_state_t state = {};
  state.deadline_us = NOW + left_ms * MS;
  return state;
}

TEST (WaitRule, RequestsWaitUntilTheirDeadline)
{
  lt_wait_state_t state = waiting (100);
  EXPECT_EQ (LT_WAIT_CONTINUE, lt_wait_decide (&state, NOW));
  EXPECT_EQ (LT_WAIT_EXPIRED, lt_wait_decide (&state, NOW + 100 * MS));
  state.deadline_us = 0; // Its route is not known yet.
  EXPECT_EQ (LT_WAIT_CONTINUE, lt_wait_decide (&state, NOW));
}

TEST (WaitRule, RequestsThatCannotEndInTimeDoNotWait)
{
  lt_wait_state_t state = waiting (100);
  state.work_us = 99 * MS;
  EXPECT_EQ (LT_WAIT_CONTINUE, lt_wait_decide (&state, NOW));
  state.work_us = 100 * MS;
  EXPECT_EQ (LT_WAIT_LATE, lt_wait_decide (&state, NOW));
  state.may_have_run = true; // It may not be refused as not run.
  EXPECT_EQ (LT_WAIT_CONTINUE, lt_wait_decide (&state, NOW));
}

TEST (WaitRule, AStopOrACallerWhoLeftEndsAnyWait)
{
  lt_wait_state_t state = waiting (100);
  state.may_be_cut = true;
  EXPECT_EQ (LT_WAIT_STOPPING, lt_wait_decide (&state, NOW));
  state.caller_left = true;
  EXPECT_EQ (LT_WAIT_LEFT, lt_wait_decide (&state, NOW));
}

TEST (WaitRule, UpstreamsAreChosenAgain)
{
  lt_wait_state_t state = waiting (10000);
  state.chosen_us = NOW;
  EXPECT_EQ (LT_WAIT_CONTINUE, lt_wait_decide (&state, NOW));
  EXPECT_EQ (LT_WAIT_CHOOSE_AGAIN,
             lt_wait_decide (&state, NOW + LT_WAIT_REVIEW_US));
  state.config_changed = true;
  EXPECT_EQ (LT_WAIT_CHOOSE_AGAIN, lt_wait_decide (&state, NOW));
}

TEST (ServiceTime, LikelyTimesCoverTheSpread)
{
  lt_service_times_t times = {};
  EXPECT_EQ (0, lt_service_times_likely_us (&times, 7));
  for (int i = 0; i < 400; i++)
    lt_service_times_add (&times, 7, 100 * MS, 0.05);
  EXPECT_NEAR (100 * MS, lt_service_times_likely_us (&times, 7), MS);
  for (int i = 0; i < 400; i++)
    lt_service_times_add (&times, 7, (i % 2 == 0 ? 100 : 200) * MS, 0.05);
  EXPECT_NEAR (150 * MS, lt_service_times_mean_us (&times, 7), 10 * MS);
  EXPECT_GT (lt_service_times_likely_us (&times, 7), 200 * MS);
  EXPECT_EQ (0, lt_service_times_mean_us (&times, 8));
}

} // namespace
