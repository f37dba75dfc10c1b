// Applies the example sheets to a single VM on the embedded platform.
#include <gtest/gtest.h>

#include <regex>

#include "session.h"

struct Example
{
  const char *file, *open_path, *keyed_path, *key;
};

class ExampleTest : public testing::TestWithParam<Example>
{
};

// Guards against an example sheet that passes the check, but that a VM cannot
// apply or serve requests from.
TEST_P (ExampleTest, AppliesAndServes)
{
  const Example &e = GetParam ();
  Vm vm;
  std::string sheet
      = read_file (std::string (LT_SOURCE_DIR "/examples/") + e.file);
  // Replaces the address of each upstream by that of a stand-in server.
  std::smatch address;
  int count = 0;
  while (std::regex_search (sheet, address, std::regex ("10\\.[0-9.]+:8080")))
    {
      std::string name = "up" + std::to_string (count++);
      vm.add_upstream (name);
      sheet = address.prefix ().str () + "{" + name + "}"
              + address.suffix ().str ();
    }
  ASSERT_GT (count, 30);
  sheet = vm.with_addresses (sheet);
  Reply applied
      = vm.admin ("POST", "/v1/config/apply?base=0&day=", sheet, "anna");
  ASSERT_EQ (200, applied.status) << applied.body;
  vm.await_confirmation ();
  std::string key = std::string ("Authorization: Bearer ") + e.key;
  EXPECT_EQ (200, vm.request ("GET", e.open_path).status);
  EXPECT_EQ (200, vm.request ("GET", e.keyed_path, { key }).status);
  EXPECT_EQ (401, vm.request ("GET", e.keyed_path).status);
  EXPECT_EQ (404, vm.request ("GET", "/elsewhere").status);
}

INSTANTIATE_TEST_SUITE_P (
    Sheets, ExampleTest,
    testing::Values (Example{ "kovacic.csv", "/catalogue", "/roofs/1",
                              "example-kovacic-key-1" },
                     Example{ "regnly.csv", "/stations", "/kiosks/1",
                              "example-regnly-key-1" }));
