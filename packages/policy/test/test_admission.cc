// Tests of admission control and its fair queue.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lt/base/error.h"
#include "lt/policy/admission.h"

namespace
{

struct Queue
{
  lt_admission_t *a;
  explicit Queue (lt_admission_options_t options)
      : a (lt_admission_create (&options))
  {
  }
  ~Queue () { lt_admission_destroy (a); }

  lt_admission_verdict_t
  offer (uint64_t request, uint32_t workspace, int64_t deadline_us = 1 << 30)
  {
    return lt_admission_offer (a, request, workspace, 0, deadline_us);
  }

  // Ends one request at a time until none is queued; returns the order in
  // which queued requests start.
  std::vector<uint64_t>
  drain (int64_t now_us = 0)
  {
    std::vector<uint64_t> order;
    uint64_t id = 0;
    while (lt_admission_release (a, -1, now_us, &id, 1) == 1)
      order.push_back (id);
    return order;
  }
};

lt_admission_options_t
options (uint32_t slots, lt_admission_order_t order = LT_ADMISSION_FAIR)
{
  lt_admission_options_t o = LT_ADMISSION_OPTIONS_DEFAULT;
  o.slots = slots;
  o.order = order;
  o.queue_limit = 8;
  o.workspace_limit = 5;
  o.initial_service_us = 100;
  return o;
}

// Guards against one workspace's backlog delaying the requests of another.
TEST (Admission, AlternatesBetweenWorkspaces)
{
  Queue fair (options (1));
  Queue first_come (options (1, LT_ADMISSION_FIFO));
  for (Queue *q : { &fair, &first_come })
    {
      EXPECT_EQ (LT_ADMISSION_ADMIT, q->offer (1, 0));
      for (uint64_t id = 2; id <= 5; id++)
        EXPECT_EQ (LT_ADMISSION_QUEUED, q->offer (id, 0));
      EXPECT_EQ (LT_ADMISSION_QUEUED, q->offer (6, 7));
      EXPECT_EQ (LT_ADMISSION_QUEUED, q->offer (7, 7));
    }
  EXPECT_EQ ((std::vector<uint64_t>{ 6, 2, 7, 3, 4, 5 }), fair.drain ());
  EXPECT_EQ ((std::vector<uint64_t>{ 2, 3, 4, 5, 6, 7 }), first_come.drain ());
}

// Guards against unbounded queues, and against a workspace at its limit
// blocking the queue for others.
TEST (Admission, LimitsQueueLengths)
{
  Queue q (options (1));
  EXPECT_EQ (LT_ADMISSION_ADMIT, q.offer (1, 0));
  for (uint64_t id = 2; id <= 6; id++)
    EXPECT_EQ (LT_ADMISSION_QUEUED, q.offer (id, 0));
  EXPECT_EQ (LT_ADMISSION_QUEUE_FULL, q.offer (7, 0));
  for (uint64_t id = 8; id <= 10; id++)
    EXPECT_EQ (LT_ADMISSION_QUEUED, q.offer (id, 1));
  EXPECT_EQ (LT_ADMISSION_QUEUE_FULL, q.offer (11, 2));
  EXPECT_EQ (8u, lt_admission_status (q.a).queued);
}

// Guards against queueing a request that cannot finish in time.  One request
// is in progress, the given number is queued before it, and each takes 100 us.
TEST (Admission, RefusesRequestsThatCannotMeetTheirDeadline)
{
  struct
  {
    const char *name;
    uint64_t queued;
    uint32_t workspace;
    int64_t deadline_us;
    lt_admission_verdict_t verdict;
  } cases[] = {
    { "deadline passed", 0, 0, 0, LT_ADMISSION_TOO_LATE },
    { "just enough time", 0, 0, 200, LT_ADMISSION_QUEUED },
    { "too little time", 0, 0, 199, LT_ADMISSION_TOO_LATE },
    { "too late behind its own workspace", 3, 0, 499, LT_ADMISSION_TOO_LATE },
    { "in time behind its own workspace", 3, 0, 500, LT_ADMISSION_QUEUED },
    { "in time ahead of another workspace", 3, 1, 300, LT_ADMISSION_QUEUED }
  };
  for (const auto &c : cases)
    {
      Queue q (options (1));
      q.offer (1, 0);
      for (uint64_t i = 0; i < c.queued; i++)
        q.offer (10 + i, 0);
      EXPECT_EQ (c.verdict, q.offer (2, c.workspace, c.deadline_us)) << c.name;
    }
}

// Guards against a cancelled or expired request that starts or still occupies
// a place in the queue.
TEST (Admission, RemovesCancelledAndExpiredRequests)
{
  Queue q (options (1));
  q.offer (1, 0);
  q.offer (2, 0);
  q.offer (3, 0, 500);
  q.offer (4, 1);
  EXPECT_EQ (0, lt_admission_cancel (q.a, 2));
  EXPECT_EQ (-LT_ENOTFOUND, lt_admission_cancel (q.a, 2));
  EXPECT_EQ (-LT_ENOTFOUND, lt_admission_cancel (q.a, 1));
  uint64_t expired[4];
  EXPECT_EQ (0u, lt_admission_expire (q.a, 399, expired, 4));
  ASSERT_EQ (1u, lt_admission_expire (q.a, 400, expired, 4));
  EXPECT_EQ (3u, expired[0]);
  EXPECT_EQ ((std::vector<uint64_t>{ 4 }), q.drain (401));
  EXPECT_EQ (0u, lt_admission_status (q.a).queued);
}

// Guards against exceeding the limit on requests in progress after it was
// lowered, and against leaving slots unused after it was raised.
TEST (Admission, AppliesChangedLimit)
{
  Queue q (options (2));
  EXPECT_EQ (LT_ADMISSION_ADMIT, q.offer (1, 0));
  EXPECT_EQ (LT_ADMISSION_ADMIT, q.offer (2, 0));
  EXPECT_EQ (LT_ADMISSION_QUEUED, q.offer (3, 0));
  uint64_t started[4];
  lt_admission_set_slots (q.a, 1);
  EXPECT_EQ (0u, lt_admission_release (q.a, 100, 0, started, 4));
  EXPECT_EQ (1u, lt_admission_release (q.a, 100, 0, started, 4));
  q.offer (4, 0);
  q.offer (5, 0);
  lt_admission_set_slots (q.a, 3);
  EXPECT_EQ (2u, lt_admission_start_queued (q.a, 0, started, 4));
  EXPECT_EQ (3u, lt_admission_status (q.a).in_progress);
}

}
