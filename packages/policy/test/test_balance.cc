#include "lt/base/error.h"
#include "lt/policy/balance.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr int64_t kNow = 1000 * kSecond;

/* Three regions of two failure domains; upstream i is in domain i % 6 of
   region (i % 6) / 2.  The VM is in the first domain.  */
struct Balance
{
  std::vector<std::string> texts;
  std::vector<lt_balance_upstream_t> upstreams;
  lt_balance_pool_t *pool;
  lt_rng_t rng;

  explicit Balance (uint32_t count, uint32_t vms = 6, const char *vm = "vm-1")
  {
    texts.reserve (3 * count);
    for (uint32_t i = 0; i < count; i++)
      {
        str_t name = text ("u" + std::to_string (i));
        str_t region = text ("r" + std::to_string (i % 6 / 2));
        str_t domain = text ("d" + std::to_string (i % 6));
        upstreams.push_back ({ name, region, domain, 3, 400 });
      }
    lt_balance_options_t options = LT_BALANCE_OPTIONS_DEFAULT;
    options.vm_id = str_from (vm);
    options.region = str_from ("r0");
    options.failure_domain = str_from ("d0");
    options.vms = vms;
    options.region_vms = vms / 3;
    options.domain_vms = vms / 6;
    pool = lt_balance_pool_create (&options, upstreams.data (), count);
    lt_rng_init (&rng, 3);
  }
  ~Balance () { lt_balance_pool_destroy (pool); }

  str_t
  text (std::string s)
  {
    texts.push_back (s);
    return str_from (texts.back ().c_str ());
  }
  int
  pick (int64_t now = kNow, std::vector<uint32_t> tried = {})
  {
    lt_balance_request_t request = { tried.data (), (uint32_t)tried.size () };
    return lt_balance_pick (pool, &request, &rng, now);
  }
  std::vector<int>
  histogram (int picks, int64_t now = kNow)
  {
    std::vector<int> counts (upstreams.size ());
    for (int i = 0; i < picks; i++)
      {
        int u = pick (now);
        counts[u]++;
        lt_balance_begin (pool, (uint32_t)u);
        lt_balance_end (pool, (uint32_t)u);
      }
    return counts;
  }
  int
  remote (int picks, int64_t now = kNow)
  {
    std::vector<int> counts = histogram (picks, now);
    int sum = 0;
    for (size_t i = 0; i < counts.size (); i++)
      sum += i % 6 / 2 != 0 ? counts[i] : 0;
    return sum;
  }
};

}

/* Guards against requests to other regions while the VM's region has enough
   capacity.  */
TEST (Balance, PrefersItsRegion)
{
  Balance b (30);
  EXPECT_EQ (0, b.remote (1000));
  std::vector<int> counts = b.histogram (1000);
  EXPECT_GT (counts[0], counts[1]);
  EXPECT_GT (counts[1], 0) << "without requests to the other domain, no "
                              "failure has evidence from two domains";
}

/* Guards against overloading the remaining upstreams of a region, and against
   all of its requests leaving at once.  */
TEST (Balance, LeavesTheRegionWhenItsCapacityIsTooLow)
{
  Balance b (30);
  for (uint32_t u = 0; u < 30; u += 6)
    lt_balance_set_usable (b.pool, u, false, kNow - 60 * kSecond);
  int spilled = b.remote (2000);
  EXPECT_GT (spilled, 300);
  EXPECT_LT (spilled, 1000);
  for (int64_t t = 1; t <= 60; t++)
    for (uint32_t u = 0; u < 30; u++)
      lt_balance_set_peer_load (b.pool, u, 1, kNow + t * kSecond);
  EXPECT_EQ (0, b.remote (1000, kNow + 60 * kSecond))
      << "the reported load leaves capacity in the region";
  EXPECT_GT (b.remote (2000, kNow + 70 * kSecond), 300)
      << "reported load that is too old is ignored";
  for (int64_t t = 70; t <= 130; t++)
    for (uint32_t u = 0; u < 30; u++)
      lt_balance_set_peer_load (b.pool, u, u % 6 < 2 ? 4 : 1,
                                kNow + t * kSecond);
  EXPECT_GT (b.remote (1000, kNow + 130 * kSecond), 900);
}

/* Guards against choosing upstreams that are unusable, tried or shedding, and
   against choosing any when none is left.  */
TEST (Balance, SkipsUnusableTriedAndSheddingUpstreams)
{
  Balance b (12);
  lt_balance_set_usable (b.pool, 0, false, kNow);
  EXPECT_EQ (0, b.histogram (1000)[0]);
  EXPECT_EQ (0, b.remote (1000));
  EXPECT_EQ (6, b.pick (kNow, { 1 }));
  for (uint32_t u : { 1, 6, 7 })
    lt_balance_record_shed (b.pool, u, kSecond, &b.rng, kNow);
  EXPECT_EQ (1000, b.remote (1000))
      << "all upstreams of the region shed requests";
  EXPECT_EQ (11, b.pick (kNow, { 2, 3, 4, 5, 8, 9, 10 }));
  EXPECT_EQ (-LT_EUNAVAILABLE, b.pick (kNow, { 2, 3, 4, 5, 8, 9, 10, 11 }));
  EXPECT_GT (b.histogram (1000, kNow + kSecond)[1], 0);
}

/* Guards against retries in a failure domain that has failed.  */
TEST (Balance, RetryPrefersAnotherFailureDomain)
{
  Balance b (12);
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (1, b.pick (kNow, { 0 }) % 6);
  EXPECT_EQ (6, b.pick (kNow, { 0, 1, 7, 8, 3, 4, 5 }))
      << "with all domains tried, an untried upstream of the region is left";
}

/* Guards against a fixed back-off: after one shed response, an upstream must
   not be left out for whole seconds; after several in a row, it must.  */
TEST (Balance, ShedBackOffGrowsUpToRetryAfter)
{
  Balance b (1);
  lt_balance_record_shed (b.pool, 0, 2 * kSecond, &b.rng, kNow);
  EXPECT_EQ (-LT_EUNAVAILABLE, b.pick (kNow));
  EXPECT_EQ (0, b.pick (kNow + kSecond / 10));
  for (int i = 0; i < 10; i++)
    lt_balance_record_shed (b.pool, 0, 2 * kSecond, &b.rng, kNow);
  EXPECT_EQ (-LT_EUNAVAILABLE, b.pick (kNow + kSecond - 1));
  EXPECT_EQ (0, b.pick (kNow + 2 * kSecond));
  lt_balance_record_accepted (b.pool, 0);
  lt_balance_record_shed (b.pool, 0, 2 * kSecond, &b.rng, kNow + 3 * kSecond);
  EXPECT_EQ (0, b.pick (kNow + 3 * kSecond + kSecond / 10));
}

/* Guards against a full share of requests at once for an upstream that has
   become usable.  */
TEST (Balance, SlowStartRaisesTheShareGradually)
{
  Balance b (12);
  lt_balance_set_usable (b.pool, 0, false, kNow);
  lt_balance_set_usable (b.pool, 0, true, kNow);
  int early = b.histogram (2000, kNow + kSecond / 2)[0];
  int late = b.histogram (2000, kNow + 11 * kSecond)[0];
  EXPECT_LT (early, late / 4);
  EXPECT_GT (late, 500);
}

/* Guards against choosing without regard to load.  */
TEST (Balance, PrefersTheLeastLoadedUpstream)
{
  Balance b (12);
  for (int i = 0; i < 3; i++)
    lt_balance_begin (b.pool, 0);
  EXPECT_EQ (3U, lt_balance_in_flight (b.pool, 0));
  EXPECT_EQ (0, b.histogram (1000)[0]);
  for (int i = 0; i < 4; i++)
    lt_balance_end (b.pool, 0);
  EXPECT_EQ (0U, lt_balance_in_flight (b.pool, 0));
  EXPECT_GT (b.histogram (1000)[0], 100);
}

/* Guards against more connections than an upstream accepts from a large fleet,
   and against a subset that shrinks when an upstream becomes unusable.  */
TEST (Balance, SubsetLimitsTheConnections)
{
  const uint32_t sizes[] = { 42, 420, 2004 };
  for (uint32_t vms : sizes)
    {
      SCOPED_TRACE (vms);
      std::vector<int32_t> near (24);
      for (uint32_t vm = 0; vm < vms / 6; vm++)
        {
          std::string id = "vm-" + std::to_string (vm);
          Balance b (24, vms, id.c_str ());
          uint32_t members = 0;
          for (uint32_t u = 0; u < 24; u++)
            if (lt_balance_in_subset (b.pool, u))
              {
                members++;
                near[u] += lt_balance_connection_limit (b.pool);
              }
          if (vms == 42)
            EXPECT_EQ (24U, members);
          else
            EXPECT_LT (members, 24U);
          lt_balance_set_usable (b.pool, (uint32_t)b.pick (), false, kNow);
          uint32_t after = 0;
          for (uint32_t u = 0; u < 24; u++)
            after += lt_balance_in_subset (b.pool, u);
          EXPECT_EQ (std::min (members, 23U), after);
        }
      /* These VMs are all in one domain.  By symmetry, the VMs of all six
         domains have six times as many connections to an upstream as these VMs
         have on average to one of the 24.  */
      int64_t sum = 0;
      for (int32_t connections : near)
        sum += connections;
      EXPECT_LE (sum * 6 / 24, 400);
    }
}

/* Guards against requests to upstreams that may not get them, also when this
   VM's subset has no other, and those that may shed or were tried.  */
TEST (Balance, AllowedUpstreamsAreNeverLeft)
{
  Balance b (600, 600);
  bool allowed[600] = {};
  auto pick = [&] (std::vector<uint32_t> tried) {
    lt_balance_request_t request
        = { tried.data (), (uint32_t)tried.size (), allowed };
    return lt_balance_pick (b.pool, &request, &b.rng, kNow);
  };
  EXPECT_EQ (-LT_EUNAVAILABLE, pick ({}));
  for (uint32_t u = 4; u < 600; u += 6)
    {
      allowed[u] = true;
      EXPECT_EQ ((int)u, pick ({}));
      allowed[u] = false;
    }
  for (uint32_t u : { 4, 5, 10 })
    allowed[u] = true;
  for (int i = 0; i < 1000; i++)
    {
      int u = pick ({});
      ASSERT_TRUE (u == 4 || u == 5 || u == 10) << u;
      lt_balance_begin (b.pool, (uint32_t)u);
    }
  EXPECT_EQ (10, pick ({ 4, 5 }));
  lt_balance_record_shed (b.pool, 10, kSecond, &b.rng, kNow);
  EXPECT_EQ (-LT_EUNAVAILABLE, pick ({ 4, 5 }));
  lt_balance_set_usable (b.pool, 4, false, kNow);
  EXPECT_EQ (5, pick ({}));
}
