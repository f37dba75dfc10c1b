// Guards against clients that take a VM's memory: more bytes granted than the
// budget has, bodies that wait for ever behind stalled ones, small bodies that
// wait for large ones, and clients that are dropped without need.
#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <vector>

#include "lt/base/clock.h"
#include "lt/base/rng.h"
#include "lt/policy/memory_budget.h"

namespace
{

const int64_t MIB = 1 << 20;
const int64_t KIB = 1 << 10;
const int64_t S = LT_US_PER_S;

class MemoryBudget : public testing::Test
{
protected:
  MemoryBudget ()
  {
    lt_memory_budget_options_t options = LT_MEMORY_BUDGET_OPTIONS_DEFAULT;
    options.total_bytes = 32 * MIB;
    options.reserved_bytes = 4 * MIB;
    budget = lt_memory_budget_create (&options);
  }
  ~MemoryBudget () override
  {
    for (auto &entry : entries)
      lt_memory_budget_release (budget, &entry);
    EXPECT_EQ (0, lt_memory_budget_used_bytes (budget));
    lt_memory_budget_destroy (budget);
  }

  lt_memory_entry_t *
  add (int64_t bytes, lt_memory_answer_t expected = LT_MEMORY_GRANTED)
  {
    entries.push_back ({});
    EXPECT_EQ (expected, lt_memory_budget_reserve (budget, &entries.back (),
                                                   bytes, now_us));
    return &entries.back ();
  }

  lt_memory_entry_t *
  add_waiting (int64_t bytes, int64_t wait_us = 10 * S)
  {
    lt_memory_entry_t *entry = add (bytes, LT_MEMORY_FULL);
    lt_memory_budget_wait (budget, entry, bytes, now_us + wait_us, now_us);
    return entry;
  }

  lt_memory_entry_t *
  next_drop ()
  {
    return lt_memory_budget_next_drop (budget, now_us, &cause);
  }

  lt_memory_budget_t *budget;
  std::list<lt_memory_entry_t> entries;
  int64_t now_us = 1000 * S;
  lt_memory_cause_t cause = LT_MEMORY_STALLED;
};

// A body that can never fit must be refused, not wait.
TEST_F (MemoryBudget, WhatCanNeverFitIsRefusedAtOnce)
{
  add (28 * MIB + 1, LT_MEMORY_NEVER);
  add (28 * MIB);
}

TEST_F (MemoryBudget, SmallBodiesDoNotWaitForLargeOnes)
{
  add (28 * MIB);
  add_waiting (MIB);
  for (int i = 0; i < 64; i++)
    add (64 * KIB);
  lt_memory_entry_t *late = add_waiting (64 * KIB);
  lt_memory_budget_release (budget, &*std::next (entries.begin (), 5));
  EXPECT_EQ (late, lt_memory_budget_next_grant (budget, now_us));
  EXPECT_EQ (nullptr, lt_memory_budget_next_grant (budget, now_us));
}

// Without a body that waits, nothing is dropped, however slow it is.
TEST_F (MemoryBudget, NothingIsDroppedInCalm)
{
  add (28 * MIB);
  now_us += 3600 * S;
  EXPECT_EQ (nullptr, next_drop ());
}

// A waiting body must get the room of one that stalls before its end, but not
// that of one that makes progress, or whose request is served.
TEST_F (MemoryBudget, StalledBodiesAreDroppedForWaitingOnes)
{
  lt_memory_entry_t *served = add (8 * MIB);
  lt_memory_budget_complete (budget, served);
  lt_memory_entry_t *stalled = add (10 * MIB);
  lt_memory_budget_progress (budget, stalled, 10 * MIB - 1, now_us);
  lt_memory_entry_t *slow = add (10 * MIB);
  lt_memory_entry_t *waiting = add_waiting (10 * MIB);
  for (int i = 0; i < 19; i++)
    {
      now_us += S / 10;
      lt_memory_budget_progress (budget, slow, 2 * KIB, now_us);
      EXPECT_EQ (nullptr, next_drop ()) << i;
    }
  now_us += S / 10;
  EXPECT_EQ (stalled, next_drop ());
  EXPECT_EQ (LT_MEMORY_STALLED, cause);
  lt_memory_budget_release (budget, stalled);
  EXPECT_EQ (waiting, lt_memory_budget_next_grant (budget, now_us));
  now_us += S;
  EXPECT_EQ (nullptr, next_drop ());
}

// A byte now and then is no progress while others wait.
TEST_F (MemoryBudget, ADribbleIsNoProgress)
{
  lt_memory_entry_t *dribble = add (20 * MIB);
  add_waiting (20 * MIB);
  for (int i = 0; i < 20; i++)
    {
      now_us += S / 10;
      lt_memory_budget_progress (budget, dribble, 1, now_us);
    }
  EXPECT_EQ (dribble, next_drop ());
}

// Bodies of unknown length that all wait to grow would wait for ever.
TEST_F (MemoryBudget, GrowingBodiesDoNotBlockEachOther)
{
  std::vector<lt_memory_entry_t *> growing;
  for (int i = 0; i < 4; i++)
    {
      growing.push_back (add (7 * MIB));
      lt_memory_budget_progress (budget, growing[i], (7 - i % 3) * MIB,
                                 now_us);
    }
  for (auto *entry : growing)
    {
      EXPECT_EQ (LT_MEMORY_FULL,
                 lt_memory_budget_reserve (budget, entry, 8 * MIB, now_us));
      lt_memory_budget_wait (budget, entry, 8 * MIB, now_us + 10 * S, now_us);
    }
  EXPECT_EQ (nullptr, next_drop ());
  now_us += S;
  EXPECT_EQ (growing[2], next_drop ());
  lt_memory_budget_release (budget, growing[2]);
  EXPECT_EQ (growing[0], lt_memory_budget_next_grant (budget, now_us));
  EXPECT_EQ (growing[1], lt_memory_budget_next_grant (budget, now_us));
  EXPECT_EQ (growing[3], lt_memory_budget_next_grant (budget, now_us));
  EXPECT_EQ (nullptr, next_drop ());
}

// The same with small bodies, which would keep the reserved share.
TEST_F (MemoryBudget, SmallGrowingBodiesDoNotKeepTheReserve)
{
  std::vector<lt_memory_entry_t *> growing;
  for (int i = 0; i < 2048; i++)
    growing.push_back (add (16 * KIB));
  for (auto *entry : growing)
    lt_memory_budget_wait (budget, entry, 64 * KIB, now_us + 10 * S, now_us);
  lt_memory_entry_t *ordinary = add_waiting (KIB);
  // Those that are granted room first stall then, and are dropped as well.
  for (int i = 0; i < 50; i++)
    {
      now_us += S / 10;
      while (lt_memory_entry_t *entry = next_drop ())
        {
          EXPECT_EQ (LT_MEMORY_STALLED, cause);
          lt_memory_budget_release (budget, entry);
          while (lt_memory_budget_next_grant (budget, now_us) != nullptr)
            continue;
        }
    }
  EXPECT_EQ (LT_MEMORY_RECEIVING, ordinary->state);
  EXPECT_EQ (0, lt_memory_budget_waiting (budget));
}

// A body in progress gets room before one that has not begun.
TEST_F (MemoryBudget, BodiesInProgressComeFirst)
{
  lt_memory_entry_t *holder = add (20 * MIB);
  lt_memory_entry_t *growing = add (8 * MIB);
  lt_memory_entry_t *arriving = add_waiting (2 * MIB);
  EXPECT_EQ (LT_MEMORY_FULL,
             lt_memory_budget_reserve (budget, growing, 9 * MIB, now_us));
  lt_memory_budget_wait (budget, growing, 9 * MIB, now_us + 10 * S, now_us);
  lt_memory_budget_shrink (budget, holder, 19 * MIB);
  EXPECT_EQ (growing, lt_memory_budget_next_grant (budget, now_us));
  EXPECT_EQ (nullptr, lt_memory_budget_next_grant (budget, now_us));
  lt_memory_budget_shrink (budget, holder, 17 * MIB);
  EXPECT_EQ (arriving, lt_memory_budget_next_grant (budget, now_us));
}

// A large body must not be overtaken for ever by smaller ones.
TEST_F (MemoryBudget, LaterLargeBodiesDoNotOvertake)
{
  add (20 * MIB);
  add_waiting (10 * MIB);
  add (MIB, LT_MEMORY_FULL);
}

// A configuration that grows must leave less for bodies, also for those that
// would have fitted before.
TEST_F (MemoryBudget, ASmallerBudgetHolds)
{
  lt_memory_entry_t *entry = add (10 * MIB);
  lt_memory_budget_resize (budget, 16 * MIB, 2 * MIB);
  add (14 * MIB + 1, LT_MEMORY_NEVER);
  lt_memory_entry_t *waiting = add_waiting (5 * MIB);
  EXPECT_EQ (nullptr, lt_memory_budget_next_grant (budget, now_us));
  lt_memory_budget_release (budget, entry);
  EXPECT_EQ (waiting, lt_memory_budget_next_grant (budget, now_us));
}

TEST_F (MemoryBudget, AWaitEndsAtItsDeadline)
{
  lt_memory_entry_t *holder = add (28 * MIB);
  lt_memory_entry_t *waiting = add_waiting (MIB, S);
  for (int i = 0; i < 9; i++)
    {
      now_us += S / 10;
      lt_memory_budget_progress (budget, holder, MIB, now_us);
      EXPECT_EQ (nullptr, next_drop ());
    }
  now_us += S / 10;
  EXPECT_EQ (waiting, next_drop ());
  EXPECT_EQ (LT_MEMORY_TIMED_OUT, cause);
}

// A client that does not read its response is dropped, one that reads is not.
TEST_F (MemoryBudget, SlowReadersAreDroppedForWaitingBodies)
{
  lt_memory_entry_t *readers[2];
  for (auto &reader : readers)
    {
      reader = add (KIB);
      lt_memory_budget_complete (budget, reader);
      lt_memory_budget_deliver (budget, reader, MIB, now_us);
    }
  lt_memory_budget_charge (budget, 2 * MIB);
  add (20 * MIB);
  add_waiting (10 * MIB);
  for (int i = 0; i < 20; i++)
    {
      now_us += S / 10;
      lt_memory_budget_progress (budget, readers[0], 4 * KIB, now_us);
      lt_memory_budget_progress (budget, &*std::next (entries.begin (), 2),
                                 MIB, now_us);
    }
  EXPECT_EQ (readers[1], next_drop ());
  lt_memory_budget_release (budget, readers[1]);
  lt_memory_budget_charge (budget, -2 * MIB);
  EXPECT_EQ (nullptr, next_drop ());
}

// What is returned lately must bound the time that callers are told.
TEST_F (MemoryBudget, RetryAfterFollowsWhatIsReturned)
{
  lt_memory_entry_t *holder = add (28 * MIB);
  EXPECT_EQ (10000, lt_memory_budget_retry_after_ms (budget, 8 * MIB, now_us));
  for (int i = 1; i <= 4; i++)
    {
      now_us += S / 2;
      lt_memory_budget_shrink (budget, holder, (28 - i) * MIB);
    }
  int64_t ms = lt_memory_budget_retry_after_ms (budget, 8 * MIB, now_us);
  EXPECT_GE (ms, 1000);
  EXPECT_LE (ms, 4000);
}

// Random crowds: the budget is never exceeded, and every body that is not
// dropped ends.
TEST_F (MemoryBudget, RandomCrowdsStayWithinTheBudget)
{
  lt_rng_t rng;
  lt_rng_init (&rng, 7);
  std::vector<int64_t> sizes;
  int completed = 0;
  int dropped = 0;
  for (int i = 0; i < 400; i++)
    {
      sizes.push_back ((int64_t)lt_rng_below (&rng, 8 * MIB) + 1);
      entries.push_back ({});
    }
  std::vector<lt_memory_entry_t *> all;
  for (auto &entry : entries)
    all.push_back (&entry);
  std::vector<bool> ended (all.size ());
  for (int step = 0; step < 4000; step++)
    {
      now_us += S / 20;
      for (size_t i = 0; i < all.size (); i++)
        {
          lt_memory_entry_t *entry = all[i];
          bool stalls = i % 3 == 0;
          if (ended[i] || (int)i > step)
            continue;
          if (entry->state == LT_MEMORY_NONE
              && lt_memory_budget_reserve (budget, entry, sizes[i], now_us)
                     != LT_MEMORY_GRANTED)
            lt_memory_budget_wait (budget, entry, sizes[i], now_us + 60 * S,
                                   now_us);
          if (entry->state == LT_MEMORY_RECEIVING && !stalls)
            lt_memory_budget_progress (budget, entry, sizes[i] / 8 + 1,
                                       now_us);
          if (entry->received_bytes < sizes[i])
            continue;
          lt_memory_budget_release (budget, entry);
          ended[i] = true;
          completed++;
        }
      while (lt_memory_entry_t *entry = next_drop ())
        {
          size_t i = (size_t)(std::find (all.begin (), all.end (), entry)
                              - all.begin ());
          ended[i] = true;
          dropped++;
          lt_memory_budget_release (budget, entry);
          while (lt_memory_budget_next_grant (budget, now_us) != nullptr)
            continue;
        }
      while (lt_memory_budget_next_grant (budget, now_us) != nullptr)
        continue;
      ASSERT_LE (lt_memory_budget_used_bytes (budget), 32 * MIB);
    }
  printf ("%d completed, %d dropped\n", completed, dropped);
  // All that go on are completed; a few that stall may still hold room that
  // nobody waits for.
  EXPECT_EQ (266, completed);
  EXPECT_EQ (0, lt_memory_budget_waiting (budget));
}

} // namespace
