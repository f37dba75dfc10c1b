// Checks through a VM's listener that leaving upstreams get no new requests.
#include <gtest/gtest.h>

#include <algorithm>

#include "session.h"

class DrainNode : public testing::Test
{
protected:
  void
  SetUp () override
  {
    for (const char *name : { "q1", "q2", "o1" })
      vm.add_upstream (name);
    sheet = read_file (std::string (LT_TEST_DIR) + "/golden/basic.csv");
  }

  int64_t
  runs (const char *name)
  {
    return lt_standin_upstream_total (vm.upstreams.at (name));
  }

  void
  send (int count)
  {
    for (int i = 0; i < count; i++)
      EXPECT_EQ (200, vm.request ("GET", "/quotes/1", { key }).status);
  }

  Vm vm;
  std::string sheet;
  const std::string key = "Authorization: Bearer demo-key-1";
};

// Guards against new requests to an upstream in a planned stop (I9, I10).
TEST_F (DrainNode, PlannedStopGetsNoNewWork)
{
  vm.clock.wall_us = 1796389200000000; // 2026-12-04T13:00:00Z
  size_t columns = static_cast<size_t> (std::count (
      sheet.begin (), sheet.begin () + static_cast<long> (sheet.find ('\n')),
      ','));
  std::string row = "stop" + std::string (columns - 2, ',')
                    + "q1,2026-12-04T12:00Z,2026-12-04T14:00Z\n";
  sheet.replace (sheet.find ("2026-12-04,15"), 13, "2026-12-04,16");
  ASSERT_EQ ("", vm.install (sheet + row, 1));
  send (10);
  EXPECT_EQ (0, runs ("q1"));
  EXPECT_EQ (10, runs ("q2"));
}

// Guards against new requests to an upstream that announced its shutdown (I9).
TEST_F (DrainNode, AnnouncedEndGetsNoNewWork)
{
  ASSERT_EQ ("", vm.install (sheet, 1));
  while (runs ("q1") == 0 || runs ("q2") == 0)
    send (1);
  ASSERT_EQ (0, lt_standin_upstream_configure (vm.upstreams["q1"],
                                               STR_LIT ("{\"drain\": true}")));
  int64_t before = runs ("q1");
  while (runs ("q1") == before)
    send (1);
  send (20);
  EXPECT_EQ (before + 1, runs ("q1"));
}
