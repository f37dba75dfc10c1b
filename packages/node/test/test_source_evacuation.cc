// Guards against a rush to the upstreams of a failure domain whose evacuation
// ends, and against changes of an evacuation that do not come into force.
#include "source_fixture.h"

namespace
{

class SourceEvacuation : public SourceFixture
{
protected:
  SourceEvacuation () { others.clear (); }

  // Responds to the next call of KIND.
  void
  respond_next (lt_registry_kind_t kind, int64_t version,
                const std::vector<lt_registry_record_t> &records)
  {
    for (int i = 0; i < 30; i++)
      {
        for (const Call &call : registry.calls)
          if (call.kind == kind)
            {
              respond (kind, version, records);
              return;
            }
        pass (100);
      }
    FAIL () << "no call of kind " << kind;
  }

  static lt_registry_record_t
  evacuation (const char *domain, int64_t version, bool removed = false)
  {
    lt_registry_record_t record = {};
    record.name = str_from (domain);
    record.evacuated_domain = record.name;
    record.version = version;
    record.removed = removed;
    return record;
  }

  const lt_upstream_t &
  upstream (const char *name)
  {
    const lt_snapshot_t *s = node.config->snapshot;
    return s->upstreams[lt_snapshot_find_upstream (s, str_from (name))];
  }

  // The reads at the start: u-1 in zone-a and u-2 in zone-b.
  void
  read_zones ()
  {
    lt_registry_record_t config = {};
    config.name = STR_LIT ("config");
    config.version = 50;
    config.deployment = &deployment;
    respond (LT_REGISTRY_CONFIG, 100, { config });
    lt_registry_record_t second = upstream_record ("u-2", 61);
    second.upstream.failure_domain = STR_LIT ("zone-b");
    respond (LT_REGISTRY_UPSTREAMS, 100,
             { upstream_record ("u-1", 60), second });
  }
};

} // namespace

TEST_F (SourceEvacuation, UpstreamsAreColdAfterIt)
{
  service.warm_up_ms = 3000;
  service.warm_up_rate_milli_per_s = 3700;
  read_zones ();
  EXPECT_EQ (0, upstream ("u-1").warm_until_us);
  respond_next (LT_REGISTRY_CONFIG, 101, { evacuation ("zone-a", 101) });
  EXPECT_TRUE (upstream ("u-1").evacuated);
  EXPECT_FALSE (upstream ("u-2").evacuated);
  EXPECT_EQ (0, upstream ("u-1").warm_until_us);
  respond_next (LT_REGISTRY_CONFIG, 102, { evacuation ("zone-a", 102, true) });
  EXPECT_FALSE (upstream ("u-1").evacuated);
  EXPECT_EQ (clock.now_us + 3000 * MS, upstream ("u-1").warm_until_us);
  EXPECT_EQ (0, upstream ("u-2").warm_until_us);

  // The registry says that it is warm.
  respond_next (LT_REGISTRY_UPSTREAMS, 103, { upstream_record ("u-1", 103) });
  EXPECT_EQ (0, upstream ("u-1").warm_until_us);
}

TEST_F (SourceEvacuation, ServicesWithoutAWarmUpRateStayWarm)
{
  service.warm_up_ms = 3000;
  read_zones ();
  respond_next (LT_REGISTRY_CONFIG, 101, { evacuation ("zone-a", 101) });
  EXPECT_TRUE (upstream ("u-1").evacuated);
  respond_next (LT_REGISTRY_CONFIG, 102, { evacuation ("zone-a", 102, true) });
  EXPECT_FALSE (upstream ("u-1").evacuated);
  EXPECT_EQ (0, upstream ("u-1").warm_until_us);
}

// Guards against an upstream that is new, or whose record is written again,
// and gets requests although its failure domain is evacuated.
TEST_F (SourceEvacuation, UpstreamsThatChangeMeanwhileStayEvacuated)
{
  read_zones ();
  respond_next (LT_REGISTRY_CONFIG, 101, { evacuation ("zone-a", 101) });
  respond_next (
      LT_REGISTRY_UPSTREAMS, 103,
      { upstream_record ("u-1", 102), upstream_record ("u-3", 103) });
  EXPECT_TRUE (upstream ("u-1").evacuated);
  EXPECT_TRUE (upstream ("u-3").evacuated);
}
