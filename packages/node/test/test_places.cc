// VMs as separate processes: allowed regions of a sheet, and failure domains
// that an operator evacuates.
#include <gtest/gtest.h>

#include "fleet.h"

namespace
{

class Places : public testing::Test
{
protected:
  void
  SetUp () override
  {
    for (const char *name : { "q1", "q2", "o1" })
      fleet.start_upstream (name);
    for (int i = 0; i < 2; i++)
      ASSERT_TRUE (fleet.wait_alive (i));
    for (int i = 0; i < 2; i++)
      ASSERT_TRUE (fleet.wait_members (i, 2));
    CommandResult applied = fleet.ctl (
        0, { "apply", "--day", "any", fleet.sheet ("places.csv") });
    ASSERT_EQ (0, applied.status) << applied.output;
  }

  // Returns how many of 40 requests to both VMs the upstream NAME got.
  int
  served_by (const std::string &target, const std::string &name)
  {
    int count = 0;
    for (int i = 0; i < 40; i++)
      {
        Reply reply = fleet.request (i % 2, "GET", target, { key });
        EXPECT_EQ (200, reply.status);
        count += reply.headers["x-upstream"] == name;
      }
    return count;
  }

  Fleet fleet{ 2 };
  const std::string key = "Authorization: Bearer demo-key-1";
};

} // namespace

// Guards against requests outside of the regions that a sheet allows: the
// upstream of the VMs' own failure domain is idle and nearer.
TEST_F (Places, SheetKeepsRequestsInARegion)
{
  EXPECT_EQ (40, served_by ("/quotes/1", "q2"));
  EXPECT_GT (served_by ("/stock", "q1"), 0);
}

// Guards against an evacuation that takes effect on one VM only, cannot be
// undone, or ends with the next sheet.
TEST_F (Places, EvacuationHoldsOnEveryVmUntilItIsUndone)
{
  EXPECT_GT (served_by ("/stock", "q1"), 0);
  CommandResult result = fleet.ctl (1, { "evacuate", "local-a" });
  ASSERT_EQ (0, result.status) << result.output;
  EXPECT_EQ (40, served_by ("/stock", "q2"));
  result
      = fleet.ctl (0, { "apply", "--day", "any", fleet.sheet ("places.csv") });
  EXPECT_EQ (0, result.status) << result.output;
  EXPECT_EQ (40, served_by ("/stock", "q2"));
  result = fleet.ctl (0, { "evacuate" });
  EXPECT_NE (std::string::npos, result.output.find ("local-a"))
      << result.output;
  result = fleet.ctl (0, { "evacuate", "south-a" });
  ASSERT_EQ (0, result.status) << result.output;
  Reply reply = fleet.request (1, "GET", "/stock");
  EXPECT_EQ (503, reply.status);
  EXPECT_EQ ("not-run", reply.headers["x-request-ran"]);
  result = fleet.ctl (0, { "evacuate", "--undo", "local-a" });
  ASSERT_EQ (0, result.status) << result.output;
  EXPECT_EQ (40, served_by ("/stock", "q1"));
}
