// Guards against more requests at an upstream than its bound, and against
// requests that overtake earlier ones or are lost in the queue.
#include <gtest/gtest.h>

#include <vector>

#include "lt/policy/pending.h"

namespace
{

const uint64_t A = 1;
const uint64_t B = 2;

class Pending : public testing::Test
{
protected:
  Pending ()
  {
    lt_pending_options_t options = LT_PENDING_OPTIONS_DEFAULT;
    options.connections_max = 2;
    pending = lt_pending_create (&options);
    for (uint64_t i = 0; i < 6; i++)
      entries[i].order = i;
  }
  ~Pending () override { lt_pending_destroy (pending); }

  void
  add (uint64_t upstream, std::vector<size_t> order)
  {
    for (size_t i : order)
      lt_pending_add (pending, upstream, &entries[i]);
  }

  std::vector<uint64_t>
  remove_all_due ()
  {
    std::vector<uint64_t> orders;
    while (lt_pending_entry_t *entry = lt_pending_next (pending))
      {
        orders.push_back (entry->order);
        lt_pending_remove (pending, entry);
      }
    return orders;
  }

  lt_pending_t *pending;
  lt_pending_entry_t entries[6] = {};
};

TEST_F (Pending, BoundsTheRequestsAtEachUpstream)
{
  EXPECT_TRUE (lt_pending_admits (pending, A, 0));
  lt_pending_begin (pending, A);
  EXPECT_TRUE (lt_pending_admits (pending, A, 1));
  lt_pending_begin (pending, A);
  EXPECT_FALSE (lt_pending_admits (pending, A, 2));
  EXPECT_TRUE (lt_pending_admits (pending, B, 2));
  lt_pending_end (pending, A);
  EXPECT_TRUE (lt_pending_admits (pending, A, 2));
}

TEST_F (Pending, EarlierRequestsGoFirstInWhateverOrderTheyWereQueued)
{
  add (A, { 3, 1, 5, 2 });
  EXPECT_EQ (4u, lt_pending_count (pending));
  EXPECT_EQ ((std::vector<uint64_t>{ 1, 2, 3, 5 }), remove_all_due ());
  EXPECT_EQ (0u, lt_pending_count (pending));
}

TEST_F (Pending, NoRequestOvertakesEarlierOnes)
{
  add (A, { 2 });
  EXPECT_FALSE (lt_pending_admits (pending, A, 4));
  EXPECT_TRUE (lt_pending_admits (pending, A, 1));
}

TEST_F (Pending, OnlyUpstreamsWithAFreeConnectionGetRequests)
{
  lt_pending_begin (pending, A);
  lt_pending_begin (pending, A);
  add (A, { 0, 3 });
  add (B, { 1, 2 });
  EXPECT_EQ ((std::vector<uint64_t>{ 1, 2 }), remove_all_due ());
  lt_pending_end (pending, A);
  EXPECT_EQ ((std::vector<uint64_t>{ 0, 3 }), remove_all_due ());
}

TEST_F (Pending, RequestsLeaveFromAnywhereInTheQueue)
{
  add (A, { 0, 1, 2 });
  lt_pending_remove (pending, &entries[1]);
  lt_pending_remove (pending, &entries[1]); // It has left already.
  EXPECT_EQ (2u, lt_pending_count (pending));
  lt_pending_remove (pending, &entries[0]);
  EXPECT_EQ ((std::vector<uint64_t>{ 2 }), remove_all_due ());
}

} // namespace
