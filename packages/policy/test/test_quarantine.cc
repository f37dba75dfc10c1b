// Guards against a request that crashes one upstream after another, and
// against quarantine of requests that do not crash upstreams.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "lt/base/clock.h"
#include "lt/policy/quarantine.h"

namespace
{

const int64_t S = LT_US_PER_S;

class Vm
{
public:
  explicit Vm (const lt_quarantine_options_t &options)
      : q (lt_quarantine_create (&options))
  {
  }
  ~Vm () { lt_quarantine_destroy (q); }
  Vm (const Vm &) = delete;
  lt_quarantine_t *q;
};

class Quarantine : public testing::Test
{
protected:
  Quarantine () : options (LT_QUARANTINE_OPTIONS_DEFAULT)
  {
    options.end_jitter_us = 0;
  }

  static lt_digest_t
  fingerprint (const char *path)
  {
    lt_digest_t body = lt_digest_make (STR_LIT (""), STR_LIT ("body"));
    return lt_quarantine_fingerprint (STR_LIT ("w"), STR_LIT ("r"),
                                      STR_LIT ("GET"), str_from (path), &body);
  }

  lt_quarantine_options_t options;
};

struct Step
{
  int64_t at_s;
  int vm;
  char kind; // l: loss, r: response, c: check only
  uint64_t upstream;
  lt_quarantine_verdict_t verdict; // On that VM afterwards.
  int64_t retry_after_s;
};

const lt_quarantine_verdict_t CLEAN = LT_QUARANTINE_CLEAN;
const lt_quarantine_verdict_t SUSPECT = LT_QUARANTINE_SUSPECT;
const lt_quarantine_verdict_t REFUSED = LT_QUARANTINE_REFUSED;

struct Case
{
  const char *name;
  bool shared; // Whether notices reach the other VMs, in which case at once.
  std::vector<Step> steps;
};

const Case cases[] = {
  { "two upstreams on one VM",
    true,
    { { 0, 0, 'c', 0, CLEAN, 0 },
      { 0, 0, 'l', 1, SUSPECT, 0 },
      { 0, 0, 'l', 2, REFUSED, 60 },
      { 1, 1, 'c', 0, REFUSED, 59 },
      { 59, 2, 'c', 0, REFUSED, 1 } } },
  { "two upstreams through two VMs",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 1, 1, 'l', 2, REFUSED, 60 },
      { 2, 2, 'c', 0, REFUSED, 59 },
      { 2, 0, 'c', 0, REFUSED, 59 } } },
  { "the same upstream twice is one loss",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 }, { 1, 1, 'l', 1, SUSPECT, 0 } } },
  { "a response clears the suspicion on all VMs",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 1, 1, 'r', 2, CLEAN, 0 },
      { 2, 0, 'l', 3, SUSPECT, 0 } } },
  { "a request with a recent response is quarantined after four losses",
    true,
    { { 0, 0, 'r', 1, CLEAN, 0 },
      { 29, 0, 'l', 1, SUSPECT, 0 },
      { 29, 0, 'l', 2, SUSPECT, 0 },
      { 29, 0, 'l', 3, SUSPECT, 0 },
      { 29, 0, 'l', 4, REFUSED, 60 } } },
  { "a VM with a recent response does not adopt a quarantine of two losses",
    true,
    { { 0, 1, 'r', 1, CLEAN, 0 },
      { 1, 0, 'l', 1, SUSPECT, 0 },
      { 1, 0, 'l', 2, REFUSED, 60 },
      { 1, 2, 'c', 0, REFUSED, 60 },
      { 1, 1, 'c', 0, SUSPECT, 0 },
      { 1, 1, 'l', 3, SUSPECT, 0 },
      { 1, 1, 'l', 4, REFUSED, 60 } } },
  { "a response older than response_memory_us does not count",
    true,
    { { 0, 0, 'r', 1, CLEAN, 0 },
      { 30, 0, 'l', 1, SUSPECT, 0 },
      { 30, 0, 'l', 2, REFUSED, 60 } } },
  { "a response during a quarantine does not end it",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 0, 0, 'l', 2, REFUSED, 60 },
      { 1, 1, 'r', 3, REFUSED, 59 } } },
  { "a suspicion ends",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 60, 0, 'c', 0, CLEAN, 0 },
      { 61, 1, 'l', 2, SUSPECT, 0 } } },
  { "one loss on probation doubles the quarantine, up to the maximum",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 0, 0, 'l', 2, REFUSED, 60 },
      { 60, 1, 'c', 0, SUSPECT, 0 },
      { 60, 1, 'l', 1, REFUSED, 120 },
      { 180, 2, 'l', 1, REFUSED, 240 },
      { 420, 0, 'l', 1, REFUSED, 480 },
      { 900, 1, 'l', 1, REFUSED, 600 },
      { 1500, 2, 'l', 1, REFUSED, 600 } } },
  { "the doubling starts anew after the probation",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 0, 0, 'l', 2, REFUSED, 60 },
      { 1860, 0, 'c', 0, CLEAN, 0 },
      { 1860, 0, 'l', 1, SUSPECT, 0 },
      { 1860, 0, 'l', 2, REFUSED, 60 } } },
  { "a response after a quarantine ends the probation",
    true,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 0, 0, 'l', 2, REFUSED, 60 },
      { 61, 1, 'r', 1, CLEAN, 0 },
      { 62, 0, 'l', 1, SUSPECT, 0 } } },
  { "without notices each VM decides by its own losses",
    false,
    { { 0, 0, 'l', 1, SUSPECT, 0 },
      { 0, 1, 'l', 2, SUSPECT, 0 },
      { 0, 1, 'l', 3, REFUSED, 60 },
      { 0, 0, 'c', 0, SUSPECT, 0 } } },
};

TEST_F (Quarantine, Cases)
{
  for (const auto &c : cases)
    {
      Vm vms[] = { Vm (options), Vm (options), Vm (options) };
      lt_digest_t request = fingerprint ("/x");
      int i = 0;
      for (const auto &s : c.steps)
        {
          int64_t now = s.at_s * S;
          lt_quarantine_notice_t notice;
          bool send = false;
          if (s.kind == 'l')
            send = lt_quarantine_on_loss (vms[s.vm].q, &request, s.upstream,
                                          now, &notice);
          if (s.kind == 'r')
            send = lt_quarantine_on_response (vms[s.vm].q, &request, now,
                                              &notice);
          for (int other = 0; send && c.shared && other < 3; other++)
            if (other != s.vm)
              {
                lt_quarantine_notice_t merged;
                lt_quarantine_on_notice (vms[other].q, &notice, now, &merged);
              }
          lt_quarantine_check_result_t check
              = lt_quarantine_check (vms[s.vm].q, &request, now);
          EXPECT_EQ (s.verdict, check.verdict) << c.name << " step " << i;
          EXPECT_EQ (s.retry_after_s * S, check.retry_after_us)
              << c.name << " step " << i;
          i++;
        }
    }
}

// Guards against many copies of a request running at the end of its
// quarantine: VMs end it at different times, and each permits one trial at a
// time.
TEST_F (Quarantine, OneTrialAtATime)
{
  options.end_jitter_us = 10 * S;
  lt_digest_t request = fingerprint ("/x");
  lt_quarantine_notice_t notice;
  std::vector<int64_t> ends;
  for (uint64_t i = 0; i < 40; i++)
    {
      options.vm_hash = i;
      Vm vm (options);
      lt_quarantine_on_loss (vm.q, &request, 1, 0, &notice);
      lt_quarantine_on_loss (vm.q, &request, 2, 0, &notice);
      int64_t end = lt_quarantine_check (vm.q, &request, 0).retry_after_us;
      EXPECT_GE (end, 60 * S);
      EXPECT_LT (end, 70 * S);
      EXPECT_EQ (SUSPECT, lt_quarantine_check (vm.q, &request, end).verdict);
      EXPECT_EQ (REFUSED, lt_quarantine_check (vm.q, &request, end).verdict);
      EXPECT_EQ (SUSPECT,
                 lt_quarantine_check (vm.q, &request, end + 2 * S).verdict);
      ends.push_back (end);
    }
  std::sort (ends.begin (), ends.end ());
  EXPECT_GT (ends.back () - ends.front (), 5 * S);
}

// Guards against retries and replies that outrun the notices to other VMs.
TEST_F (Quarantine, DelaysRetriesAndRepliesForNotices)
{
  Vm vm (options);
  lt_digest_t request = fingerprint ("/x");
  lt_quarantine_notice_t notice;
  EXPECT_EQ (0, lt_quarantine_notice_wait_us (vm.q, &request, S));
  lt_quarantine_on_loss (vm.q, &request, 1, S, &notice);
  EXPECT_EQ (60000, lt_quarantine_notice_wait_us (vm.q, &request, S));
  EXPECT_EQ (1, lt_quarantine_notice_wait_us (vm.q, &request, S + 59999));
  EXPECT_EQ (0, lt_quarantine_notice_wait_us (vm.q, &request, S + 60000));
  Vm other (options);
  lt_quarantine_notice_t merged;
  lt_quarantine_on_notice (other.q, &notice, S, &merged);
  EXPECT_EQ (0, lt_quarantine_notice_wait_us (other.q, &request, S));
}

// Guards against blaming upstreams as gray for resets that a crashing request
// causes, and against suspecting a request without losses.
TEST_F (Quarantine, HasLossesUntilResponse)
{
  Vm vm (options);
  lt_digest_t request = fingerprint ("/x");
  lt_digest_t other = fingerprint ("/y");
  lt_quarantine_notice_t notice;
  EXPECT_FALSE (lt_quarantine_has_losses (vm.q, &request, S));
  lt_quarantine_on_loss (vm.q, &request, 1, S, &notice);
  EXPECT_TRUE (lt_quarantine_has_losses (vm.q, &request, S));
  EXPECT_FALSE (lt_quarantine_has_losses (vm.q, &other, S));
  lt_quarantine_on_response (vm.q, &request, 2 * S, &notice);
  EXPECT_FALSE (lt_quarantine_has_losses (vm.q, &request, 2 * S));
}

// Guards against two VMs that each saw one loss at the same time and neither
// of which starts a quarantine: merging the notices must start one, and the
// result must be sent to other VMs.
TEST_F (Quarantine, MergedNoticesStartQuarantine)
{
  Vm a (options);
  Vm b (options);
  Vm c (options);
  lt_digest_t request = fingerprint ("/x");
  lt_quarantine_notice_t from_a;
  lt_quarantine_notice_t from_b;
  lt_quarantine_notice_t merged;
  ASSERT_TRUE (lt_quarantine_on_loss (a.q, &request, 1, 0, &from_a));
  ASSERT_TRUE (lt_quarantine_on_loss (b.q, &request, 2, 0, &from_b));
  EXPECT_TRUE (lt_quarantine_on_notice (b.q, &from_a, S, &merged));
  EXPECT_EQ (REFUSED, lt_quarantine_check (b.q, &request, S).verdict);
  EXPECT_FALSE (lt_quarantine_on_notice (c.q, &merged, S, &from_a));
  EXPECT_EQ (REFUSED, lt_quarantine_check (c.q, &request, S).verdict);
  EXPECT_EQ (1u, merged.level);
}

// Guards against a VM that collects the losses of other VMs but decides
// nothing because it saw none itself.
TEST_F (Quarantine, CollectorDecidesWithoutLossOfItsOwn)
{
  options.decides_for_others = true;
  Vm a (options);
  Vm b (options);
  Vm collector (options);
  lt_digest_t request = fingerprint ("/x");
  lt_quarantine_notice_t loss;
  lt_quarantine_notice_t decided;
  ASSERT_TRUE (lt_quarantine_on_loss (a.q, &request, 1, 0, &loss));
  EXPECT_FALSE (lt_quarantine_on_notice (collector.q, &loss, 0, &decided));
  ASSERT_TRUE (lt_quarantine_on_loss (b.q, &request, 2, S, &loss));
  ASSERT_TRUE (lt_quarantine_on_notice (collector.q, &loss, S, &decided));
  EXPECT_EQ (1u, decided.level);
  EXPECT_EQ (2u, decided.loss_count);
  EXPECT_FALSE (lt_quarantine_on_notice (a.q, &decided, S, &loss));
  EXPECT_EQ (REFUSED, lt_quarantine_check (a.q, &request, S).verdict);
}

// Guards against a VM that did not get the notice of a quarantine and loses
// one upstream after another while the collector knows better.
TEST_F (Quarantine, CollectorRepliesToLossOfQuarantinedRequest)
{
  options.decides_for_others = true;
  Vm a (options);
  Vm late (options);
  Vm collector (options);
  lt_digest_t request = fingerprint ("/x");
  lt_quarantine_notice_t loss;
  lt_quarantine_notice_t reply;
  lt_quarantine_on_loss (a.q, &request, 1, 0, &loss);
  lt_quarantine_on_loss (a.q, &request, 2, 0, &loss);
  lt_quarantine_on_notice (collector.q, &loss, 0, &reply);
  lt_quarantine_on_loss (late.q, &request, 3, S, &loss);
  EXPECT_EQ (LT_QUARANTINE_SEND_REPLY,
             lt_quarantine_on_notice (collector.q, &loss, S, &reply));
  EXPECT_EQ (LT_QUARANTINE_SEND_NONE,
             lt_quarantine_on_notice (late.q, &reply, S, &loss));
  EXPECT_EQ (REFUSED, lt_quarantine_check (late.q, &request, S).verdict);
  EXPECT_EQ (1u, lt_quarantine_list_active (collector.q, S, &loss, 1));
  EXPECT_EQ (0u, lt_quarantine_list_active (collector.q, 60 * S, &loss, 1));
}

// Guards against the quarantine of a frequent request that loses upstreams for
// other reasons: the VMs that collect its losses do not see its responses.
TEST_F (Quarantine, VmWithRecentResponseObjects)
{
  options.decides_for_others = true;
  options.objection_us = 3 * S;
  Vm collector (options);
  Vm follower (options);
  Vm serving (options);
  lt_digest_t request = fingerprint ("/x");
  lt_quarantine_notice_t quarantine;
  lt_quarantine_notice_t objection;
  lt_quarantine_notice_t release;
  lt_quarantine_on_response (serving.q, &request, 0, &objection);
  lt_quarantine_on_loss (collector.q, &request, 1, S, &quarantine);
  lt_quarantine_on_loss (collector.q, &request, 2, S, &quarantine);
  ASSERT_EQ (1u, quarantine.level);
  lt_quarantine_on_notice (follower.q, &quarantine, S, &release);
  ASSERT_EQ (REFUSED, lt_quarantine_check (follower.q, &request, S).verdict);
  ASSERT_EQ (LT_QUARANTINE_SEND_REPLY,
             lt_quarantine_on_notice (serving.q, &quarantine, S, &objection));
  ASSERT_EQ (LT_QUARANTINE_SEND_ALL,
             lt_quarantine_on_notice (collector.q, &objection, S, &release));
  EXPECT_EQ (LT_QUARANTINE_SEND_NONE,
             lt_quarantine_on_notice (follower.q, &release, S, &objection));
  for (lt_quarantine_t *q : { collector.q, follower.q, serving.q })
    EXPECT_EQ (CLEAN, lt_quarantine_check (q, &request, S).verdict);

  // Further losses count anew, and an old response is no objection.
  for (uint64_t upstream = 1; upstream <= 4; upstream++)
    lt_quarantine_on_loss (collector.q, &request, upstream, 4 * S,
                           &quarantine);
  ASSERT_EQ (1u, quarantine.level);
  EXPECT_EQ (
      LT_QUARANTINE_SEND_NONE,
      lt_quarantine_on_notice (serving.q, &quarantine, 4 * S, &objection));
  EXPECT_EQ (REFUSED,
             lt_quarantine_check (serving.q, &request, 4 * S).verdict);
}

// Guards against requests that differ in one part sharing a quarantine.
TEST_F (Quarantine, FingerprintsOfDifferentRequestsDiffer)
{
  lt_digest_t one = lt_digest_make (STR_LIT (""), STR_LIT ("1"));
  lt_digest_t two = lt_digest_make (STR_LIT (""), STR_LIT ("2"));
  const struct
  {
    const char *workspace, *route, *method, *path;
    const lt_digest_t *body;
  } parts[]
      = { { "w", "r", "GET", "/x", &one }, { "v", "r", "GET", "/x", &one },
          { "w", "q", "GET", "/x", &one }, { "w", "r", "PUT", "/x", &one },
          { "w", "r", "GET", "/y", &one }, { "w", "r", "GET", "/x", &two },
          { "wr", "", "GET", "/x", &one } };
  std::vector<std::string> seen;
  for (const auto &p : parts)
    {
      lt_digest_t d = lt_quarantine_fingerprint (
          str_from (p.workspace), str_from (p.route), str_from (p.method),
          str_from (p.path), p.body);
      std::string bytes ((const char *)d.bytes, sizeof (d.bytes));
      for (const auto &other : seen)
        EXPECT_NE (other, bytes);
      seen.push_back (bytes);
    }
}

// Guards against unbounded memory for suspect fingerprints, and against
// suspects that evict quarantines.
TEST_F (Quarantine, EvictsSuspectsBeforeQuarantines)
{
  options.entries_max = 10;
  Vm vm (options);
  lt_quarantine_notice_t notice;
  lt_digest_t bad = fingerprint ("/bad");
  lt_quarantine_on_loss (vm.q, &bad, 1, 0, &notice);
  lt_quarantine_on_loss (vm.q, &bad, 2, 0, &notice);
  for (int i = 0; i < 100; i++)
    {
      lt_digest_t request = fingerprint (std::to_string (i).c_str ());
      lt_quarantine_on_loss (vm.q, &request, 1, S, &notice);
      EXPECT_LE (lt_quarantine_entry_count (vm.q), 10u);
    }
  EXPECT_EQ (REFUSED, lt_quarantine_check (vm.q, &bad, S).verdict);
  EXPECT_EQ (1u, lt_quarantine_active_count (vm.q, S));
  EXPECT_EQ (0u, lt_quarantine_active_count (vm.q, 60 * S));
  lt_quarantine_expire (vm.q, 3600 * S);
  EXPECT_EQ (0u, lt_quarantine_entry_count (vm.q));
}

// Guards against a notice from a peer that quarantines a request for longer
// than length_max_us or overflows the list of upstreams.
TEST_F (Quarantine, NoticeIsBounded)
{
  Vm vm (options);
  lt_quarantine_notice_t notice = {};
  lt_quarantine_notice_t merged;
  notice.fingerprint = fingerprint ("/x");
  notice.level = 1;
  notice.remaining_us = INT64_MAX / 2;
  notice.loss_count = 1000;
  lt_quarantine_on_notice (vm.q, &notice, 0, &merged);
  lt_quarantine_check_result_t check
      = lt_quarantine_check (vm.q, &notice.fingerprint, 0);
  EXPECT_EQ (REFUSED, check.verdict);
  EXPECT_EQ (600 * S, check.retry_after_us);
  notice.fingerprint = fingerprint ("/y");
  notice.remaining_us = -1;
  EXPECT_FALSE (lt_quarantine_on_notice (vm.q, &notice, 0, &merged));
  EXPECT_EQ (CLEAN,
             lt_quarantine_check (vm.q, &notice.fingerprint, 0).verdict);
}

} // namespace
