// Guards against less urgent requests that take the last free slots, against
// kinds and workspaces that are starved, and against requests that wait
// although they can no longer end in time.
#include <gtest/gtest.h>

#include <vector>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/policy/room.h"

namespace
{

const int64_t S = LT_US_PER_S;
const int64_t MS = LT_US_PER_MS;
const uint64_t SERVICE = 7;

class Room : public testing::Test
{
protected:
  Room ()
  {
    options.last_load = 1;
    options.urgent_load = 1.5;
    options.room_share = 0;
    reset ();
  }
  ~Room () override { lt_room_destroy (room); }

  void
  reset ()
  {
    lt_room_destroy (room);
    room = lt_room_create (&options);
    lt_room_set_levels (room, SERVICE, 3);
    view = {};
    view.vms = 1;
    view.loads[LT_DISTANCE_SAME_DOMAIN] = { 100, 0, 0 };
  }

  // Sets the number of VMs, which all report.
  void
  set_vms (uint32_t count)
  {
    view.vms = count;
    for (uint64_t peer = 1; peer < count; peer++)
      lt_room_note_peer (room, peer, now);
  }

  void
  set_load (int32_t in_flight)
  {
    view.loads[LT_DISTANCE_SAME_DOMAIN].in_flight = in_flight;
  }

  lt_room_request_t
  request (uint32_t level, uint64_t workspace = 1, int64_t target_us = 1 * S,
           int64_t deadline_us = 3 * S)
  {
    lt_room_request_t r = {};
    r.id = ++last_id;
    r.service = SERVICE;
    r.route = 1 + level;
    r.workspace = workspace;
    r.level = level;
    r.target_us = now + target_us;
    r.deadline_us = now + deadline_us;
    r.bytes = 1000;
    requests.push_back (r);
    return r;
  }

  lt_room_verdict_t
  offer (const lt_room_request_t &r)
  {
    return lt_room_offer (room, &r, &view, now, &answer);
  }

  lt_room_verdict_t
  offer (uint32_t level, uint64_t workspace = 1)
  {
    return offer (request (level, workspace));
  }

  // Sends the request that goes next; returns it, or one with id 0.
  lt_room_request_t
  send_next ()
  {
    uint64_t id = lt_room_next (room, SERVICE, &view, now, &answer);
    if (id == 0)
      return {};
    lt_room_request_t r = requests[id - 1];
    lt_room_sent (room, &r, LT_DISTANCE_SAME_DOMAIN, answer.owed, now);
    return r;
  }

  size_t
  expire ()
  {
    return lt_room_expire (room, &view, SERVICE, now, refusals, 256);
  }

  lt_room_options_t options = LT_ROOM_OPTIONS_DEFAULT;
  lt_room_t *room = nullptr;
  lt_room_view_t view = {};
  lt_room_answer_t answer = {};
  lt_room_refusal_t refusals[256];
  std::vector<lt_room_request_t> requests;
  uint64_t last_id = 0;
  int64_t now = 100 * S;
};

TEST_F (Room, CoversOnlyServicesWithDifferentPriorities)
{
  EXPECT_TRUE (lt_room_covers (room, SERVICE));
  EXPECT_FALSE (lt_room_covers (room, 8));
  lt_room_set_levels (room, SERVICE, 1);
  EXPECT_FALSE (lt_room_covers (room, SERVICE));
}

TEST_F (Room, LessUrgentRequestsLeaveRoomForMoreUrgentOnes)
{
  set_load (99);
  for (uint32_t level : { 0, 1, 2 })
    EXPECT_EQ (LT_ROOM_SEND, offer (level));
  set_load (120); // The thresholds are 150, 125 and 100.
  EXPECT_EQ (LT_ROOM_SEND, offer (0));
  EXPECT_EQ (LT_ROOM_SEND, offer (1));
  EXPECT_EQ (LT_ROOM_WAIT, offer (2));
  set_load (130);
  EXPECT_EQ (LT_ROOM_SEND, offer (0));
  EXPECT_EQ (LT_ROOM_WAIT, offer (1));
  set_load (150);
  EXPECT_EQ (LT_ROOM_WAIT, offer (0));
}

TEST_F (Room, WaitingRequestsGoByPriorityThenByDeadline)
{
  set_load (200);
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (2)));
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (1, 1, 2 * S)));
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (1, 1, 1 * S)));
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (0)));
  set_load (10);
  std::vector<uint64_t> order;
  while (true)
    {
      lt_room_request_t r = send_next ();
      if (r.id == 0)
        break;
      order.push_back (r.id);
    }
  EXPECT_EQ ((std::vector<uint64_t>{ 4, 3, 2, 1 }), order);
}

// A request that has missed its latency target goes behind those that can
// still meet theirs.
TEST_F (Room, LateRequestsGoLast)
{
  set_load (200);
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (1, 1, 500 * MS, 6 * S)));
  now += 600 * MS;
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (1, 1, 3 * S, 6 * S)));
  set_load (10);
  EXPECT_EQ (2u, send_next ().id);
  EXPECT_EQ (1u, send_next ().id);
}

TEST_F (Room, NewRequestsDoNotOvertakeWaitingOnes)
{
  set_load (200);
  ASSERT_EQ (LT_ROOM_WAIT, offer (1));
  set_load (10);
  EXPECT_EQ (LT_ROOM_WAIT, offer (1));
  EXPECT_EQ (LT_ROOM_WAIT, offer (2));
  EXPECT_EQ (LT_ROOM_SEND, offer (0));
}

// Hot workspace: one sends nine of ten requests, the others get their part.
TEST_F (Room, HotWorkspaceDoesNotStarveOthers)
{
  set_load (200);
  for (int i = 0; i < 18; i++)
    ASSERT_EQ (LT_ROOM_WAIT, offer (1, 1));
  for (int i = 0; i < 2; i++)
    ASSERT_EQ (LT_ROOM_WAIT, offer (1, 2));
  set_load (10);
  int others = 0;
  for (int i = 0; i < 4; i++)
    others += send_next ().workspace == 2;
  EXPECT_EQ (2, others);
}

TEST_F (Room, HotWorkspaceDoesNotFillTheQueue)
{
  options.workspace_max = 3;
  reset ();
  set_load (200);
  for (int i = 0; i < 3; i++)
    ASSERT_EQ (LT_ROOM_WAIT, offer (1, 1));
  EXPECT_EQ (LT_ROOM_FULL, offer (1, 1));
  EXPECT_GE (answer.retry_after_us, options.retry_after_min_us);
  EXPECT_EQ (LT_ROOM_WAIT, offer (1, 2));
}

// Urgent requests above the capacity: the others still get their least share.
TEST_F (Room, LeastUrgentLevelGetsItsLeastShare)
{
  int sent[3] = { 0, 0, 0 };
  set_load (140); // Only level 0 is below its threshold.
  for (int i = 0; i < 400; i++)
    {
      lt_room_request_t urgent = request (0, 1, 20 * S, 60 * S);
      ASSERT_EQ (LT_ROOM_SEND, offer (urgent));
      lt_room_sent (room, &urgent, LT_DISTANCE_SAME_DOMAIN, false, now);
      if (i % 10 == 0)
        {
          ASSERT_EQ (LT_ROOM_WAIT, offer (request (2, 2, 20 * S, 60 * S)));
        }
      lt_room_request_t next = send_next ();
      if (next.id != 0)
        sent[next.level]++;
      now += 10 * MS;
    }
  // least_share of 400, less one that is only partly owed.
  EXPECT_GE (sent[2], 18);
  EXPECT_LE (sent[2], 20);
  EXPECT_EQ (0, sent[1]);
}

TEST_F (Room, RequestThatCannotEndInTimeIsRefusedAtOnce)
{
  set_load (200);
  EXPECT_EQ (LT_ROOM_LATE, offer (request (1, 1, 200 * MS, 250 * MS)));
  EXPECT_GE (answer.retry_after_us, options.retry_after_min_us);
  EXPECT_LE (answer.retry_after_us, options.retry_after_max_us);
}

// A request that can be sent now is sent, however little time is left.
TEST_F (Room, RequestWithLittleTimeIsSentWhenThereIsRoom)
{
  EXPECT_EQ (LT_ROOM_SEND, offer (request (2, 1, 200 * MS, 250 * MS)));
}

TEST_F (Room, WaitingRequestIsRefusedWhenItCanNoLongerEndInTime)
{
  set_load (200);
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (1, 1, 1 * S, 1 * S)));
  EXPECT_EQ (0u, expire ());
  now += 800 * MS;
  ASSERT_EQ (1u, expire ());
  EXPECT_EQ (1u, refusals[0].id);
  EXPECT_EQ (LT_ROOM_LATE, refusals[0].verdict);
  EXPECT_EQ (0u, lt_room_waiting (room));
  EXPECT_EQ (0u, lt_room_waiting_bytes (room));
}

TEST_F (Room, RequestWhoseCallerLeftIsRemoved)
{
  set_load (200);
  ASSERT_EQ (LT_ROOM_WAIT, offer (1));
  lt_room_cancel (room, 1);
  lt_room_cancel (room, 1);
  EXPECT_EQ (0u, lt_room_waiting (room));
  set_load (0);
  EXPECT_EQ (0u, send_next ().id);
}

TEST_F (Room, QueueIsBoundedAndUrgentRequestsDisplaceOthers)
{
  options.waiting_max = 4;
  reset ();
  set_load (200);
  for (int i = 0; i < 4; i++)
    ASSERT_EQ (LT_ROOM_WAIT, offer (request (2, 1, 20 * S, 60 * S)));
  EXPECT_EQ (LT_ROOM_FULL, offer (request (2, 2, 20 * S, 60 * S)));
  EXPECT_EQ (LT_ROOM_WAIT, offer (request (0, 2, 20 * S, 60 * S)));
  ASSERT_EQ (1u, expire ());
  EXPECT_EQ (LT_ROOM_FULL, refusals[0].verdict);
  EXPECT_LE (refusals[0].id, 4u);
  EXPECT_EQ (4u, lt_room_waiting (room));
}

TEST_F (Room, BytesOfWaitingRequestsAreBounded)
{
  options.waiting_max_bytes = 2500;
  reset ();
  set_load (200);
  ASSERT_EQ (LT_ROOM_WAIT, offer (1));
  ASSERT_EQ (LT_ROOM_WAIT, offer (1));
  EXPECT_EQ (LT_ROOM_FULL, offer (1));
}

// The room is seen by all VMs at the same time.
TEST_F (Room, VmTakesOnlyItsPartOfTheRoom)
{
  options.room_share = 1;
  reset ();
  set_vms (20);
  set_load (60); // 40 free slots, two for each VM.
  int sent = 0;
  for (int i = 0; i < 10; i++)
    {
      lt_room_request_t r = request (2);
      if (offer (r) != LT_ROOM_SEND)
        continue;
      lt_room_sent (room, &r, LT_DISTANCE_SAME_DOMAIN, false, now);
      sent++;
    }
  EXPECT_GE (sent, 2);
  EXPECT_LE (sent, 3);
  // A slot that an own request frees may be filled again.
  lt_room_ended (room, SERVICE, 3, LT_DISTANCE_SAME_DOMAIN, false, 300 * MS,
                 now);
  EXPECT_NE (0u, send_next ().id);
  EXPECT_EQ (0u, send_next ().id);
}

// Cut off, or in the first seconds after all VMs were off: nothing is known of
// the others, so the VM keeps to its own part of the slots.
TEST_F (Room, VmWithoutReportsKeepsToItsPart)
{
  view.vms = 20;
  lt_choice_load_t &near = view.loads[LT_DISTANCE_SAME_DOMAIN];
  int sent = 0;
  for (; sent < 100 && offer (2) == LT_ROOM_SEND; sent++)
    near.own_in_flight = near.in_flight = sent + 1;
  EXPECT_GE (sent, 100 / 20);
  EXPECT_LE (sent, 2 * 100 / 20);
}

// The neighbour's load is not known: a bounded number of requests goes there,
// and none while it rejects.
TEST_F (Room, OtherDomainsGetABoundedPartUnlessTheyReject)
{
  set_load (200);
  lt_choice_load_t &other = view.loads[LT_DISTANCE_SAME_REGION];
  set_vms (10);
  other = { 100, 0, 0 };
  int sent = 0;
  for (; sent < 50 && offer (2) == LT_ROOM_SEND; sent++)
    other.own_in_flight = other.in_flight = sent + 1;
  EXPECT_EQ (5, sent);
  other = { 100, 0, 0 };
  reset ();
  set_load (200);
  set_vms (10);
  other = { 100, 0, 0 };
  for (int i = 0; i < 10; i++)
    {
      lt_room_request_t r = request (0);
      lt_room_sent (room, &r, LT_DISTANCE_SAME_REGION, false, now);
      lt_room_ended (room, SERVICE, 1, LT_DISTANCE_SAME_REGION, i % 2 == 0, -1,
                     now);
    }
  EXPECT_EQ (LT_ROOM_WAIT, offer (2));
}

// The neighbour reports its load: the bound is not needed, and nothing goes
// there when it is as full as the own failure domain.
TEST_F (Room, OtherDomainsGetWhatTheirLoadLeaves)
{
  set_vms (10);
  set_load (200);
  lt_choice_load_t &other = view.loads[LT_DISTANCE_SAME_REGION];
  other = { 100, 40, 40 };
  lt_room_set_load (room, SERVICE, LT_DISTANCE_SAME_REGION, 5, 500, now);
  EXPECT_EQ (LT_ROOM_SEND, offer (2));
  EXPECT_EQ (LT_CHOICE_CLOSED, answer.limits.above_slots[0]);
  lt_room_set_load (room, SERVICE, LT_DISTANCE_SAME_REGION, 5, 1200, now);
  EXPECT_EQ (LT_ROOM_WAIT, offer (2));
  EXPECT_EQ (LT_ROOM_WAIT, offer (0));
  // A report that is too old counts as none.
  now += options.load_max_age_us;
  set_vms (10);
  other = { 100, 0, 0 };
  EXPECT_EQ (1u + 2u, send_next ().id);
}

TEST_F (Room, OtherRegionsAreUsedOnlyAfterWaiting)
{
  set_load (200);
  view.loads[LT_DISTANCE_OTHER_REGION] = { 100, 0, 0 };
  ASSERT_EQ (LT_ROOM_WAIT, offer (request (2, 1, 2 * S, 4 * S)));
  EXPECT_EQ (0u, send_next ().id);
  now += 1 * S;
  EXPECT_EQ (1u, send_next ().id);
  EXPECT_EQ (LT_CHOICE_CLOSED, answer.limits.above_slots[0]);
}

// Guards against a wait for the own region of a request that it may not serve.
TEST_F (Room, RequestsOnlyForOtherRegionsDoNotWaitForTheOwn)
{
  set_load (200);
  view.loads[LT_DISTANCE_OTHER_REGION] = { 100, 0, 0 };
  lt_room_request_t r = request (2);
  r.other_regions_only = true;
  EXPECT_EQ (LT_ROOM_SEND, offer (r));
  EXPECT_NE (LT_CHOICE_CLOSED,
             answer.limits.above_slots[LT_DISTANCE_OTHER_REGION]);
}

// With all upstreams of the own region gone, others are used at once.
TEST_F (Room, OtherRegionsAreUsedWhenThereIsNoOther)
{
  view.loads[LT_DISTANCE_SAME_DOMAIN] = { 0, 0, 0 };
  view.loads[LT_DISTANCE_OTHER_REGION] = { 100, 0, 0 };
  EXPECT_EQ (LT_ROOM_SEND, offer (2));
}

// Callers that retry at once: each further refusal takes no slot and no place
// in the queue.
TEST_F (Room, CallersThatRetryAtOnceDoNotDisplaceWaitingRequests)
{
  options.waiting_max = 4;
  reset ();
  set_load (200);
  for (int i = 0; i < 4; i++)
    ASSERT_EQ (LT_ROOM_WAIT, offer (request (1, 1, 20 * S, 60 * S)));
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (LT_ROOM_FULL, offer (request (1, 2, 20 * S, 60 * S)));
  EXPECT_EQ (0u, expire ());
  EXPECT_EQ (4u, lt_room_waiting (room));
}

} // namespace
