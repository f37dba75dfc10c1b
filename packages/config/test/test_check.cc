// Guards against a configuration that is sent although entries of it can never
// match, contradict each other, or make VMs refuse it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lt/config/check.h"
#include "lt/config/diff.h"

namespace
{

str_t
view (const char *text)
{
  return str_from (text);
}

class Check : public testing::Test
{
protected:
  Check ()
  {
    split = { { view ("desk"), 1 } };
    services.push_back ({ view ("desk"), view ("/health"), 390 });
    keys = { view ("key-of-one-0123") };
    add_route ("r-1", "a.example", "/a/");
    add_workspace ("one", &keys);
  }
  ~Check () override { lt_findings_destroy (&findings); }

  lt_deployment_route_t &
  add_route (const char *name, const char *host, const char *prefix)
  {
    lt_deployment_route_t r = {};
    r.name = view (name);
    r.host = view (host);
    r.prefix = view (prefix);
    r.timeout_ms = 900;
    r.splits = split.data ();
    r.split_count = (uint32_t)split.size ();
    routes.push_back (r);
    return routes.back ();
  }

  lt_deployment_workspace_t &
  add_workspace (const char *name, const std::vector<str_t> *own)
  {
    lt_deployment_workspace_t w = {};
    w.name = view (name);
    w.keys = own->data ();
    w.key_count = (uint32_t)own->size ();
    workspaces.push_back (w);
    return workspaces.back ();
  }

  // Returns the findings, one a line.
  std::string
  check ()
  {
    lt_deployment_t d = {};
    d.version = 7;
    d.routes = routes.data ();
    d.route_count = (uint32_t)routes.size ();
    d.services = services.data ();
    d.service_count = (uint32_t)services.size ();
    d.workspaces = workspaces.data ();
    d.workspace_count = (uint32_t)workspaces.size ();
    lt_check_deployment (&d, STR_LIT ("f"), &findings);
    lt_buf_t text = {};
    lt_findings_print (&findings, &text);
    std::string result (text.data == nullptr ? "" : text.data, text.len);
    lt_buf_destroy (&text);
    return result;
  }

  std::vector<lt_deployment_split_t> split;
  std::vector<str_t> keys;
  std::vector<lt_deployment_route_t> routes;
  std::vector<lt_deployment_service_t> services;
  std::vector<lt_deployment_workspace_t> workspaces;
  lt_findings_t findings = {};
};

TEST_F (Check, NothingToFind) { EXPECT_EQ ("", check ()); }

// Hosts are equal without regard to case; a prefix within another is a route
// of its own.
TEST_F (Check, RoutesBehindOthers)
{
  add_route ("r-2", "A.example", "/a/");
  add_route ("r-3", "a.example", "/a/b/");
  add_route ("r-4", "a.example", "/a/");
  EXPECT_EQ ("f: error: route r-2: \"/a/\": one route of a host and prefix; "
             "\"r-1\" has both\n"
             "f: error: route r-4: \"/a/\": one route of a host and prefix; "
             "\"r-2\" has both\n",
             check ());
}

TEST_F (Check, RegionsWithNothingInCommon)
{
  const std::vector<str_t> vest = { view ("vest") };
  const std::vector<str_t> jug = { view ("jug"), view ("vzhod") };
  std::vector<str_t> other = { view ("key-of-two-0123") };
  routes[0].allowed_regions = vest.data ();
  routes[0].allowed_region_count = 1;
  add_route ("r-2", "b.example", "/b/");
  lt_deployment_workspace_t &two = add_workspace ("two", &other);
  two.allowed_regions = jug.data ();
  two.allowed_region_count = 2;
  EXPECT_EQ ("f: warning: workspace two: an allowed region in common with "
             "each route; 1 have none, the first is \"r-1\"\n",
             check ());
  routes.pop_back ();
  lt_findings_destroy (&findings);
  EXPECT_EQ ("f: error: workspace two: an allowed region in common with each "
             "route; 1 have none, the first is \"r-1\"\n",
             check ());
}

// Keys are secret: no finding shows one.
TEST_F (Check, KeysAreNotShown)
{
  add_workspace ("two", &keys);
  std::string text = check ();
  EXPECT_NE (std::string::npos, text.find ("\"one\" has the same key"));
  EXPECT_EQ (std::string::npos, text.find ("key-of-one"));
}

// Guards against lists that are compared by their bits: a region may have
// another bit in each configuration; the names count.
TEST_F (Check, DifferencesOfRegions)
{
  // Names of regions are sorted in each snapshot.
  str_t old_names[] = { view ("vest"), view ("vzhod") };
  str_t new_names[] = { view ("jug"), view ("vest"), view ("vzhod") };
  lt_workspace_t old_rows[3] = {};
  lt_workspace_t new_rows[3] = {};
  old_rows[0].name = new_rows[0].name = view ("a");
  old_rows[1].name = new_rows[1].name = view ("b");
  old_rows[2].name = new_rows[2].name = view ("c");
  old_rows[0].allowed_regions = 3; // vest and vzhod
  new_rows[0].allowed_regions = 6; // vest and vzhod
  old_rows[1].allowed_regions = 1; // vest
  new_rows[1].allowed_regions = 5; // jug and vzhod
  old_rows[2].allowed_regions = 3; // vest and vzhod
  new_rows[2].allowed_regions = 3; // jug and vest
  lt_snapshot_t before = {};
  lt_snapshot_t after = {};
  before.workspaces = old_rows;
  after.workspaces = new_rows;
  before.workspace_count = after.workspace_count = 3;
  before.regions = old_names;
  before.region_count = 2;
  after.regions = new_names;
  after.region_count = 3;
  lt_diff_t *diff = lt_diff_create (&before, &after);
  ASSERT_EQ (2u, diff->row_count);
  const char *const expected[] = { "allowed_regions vest -> jug|vzhod",
                                   "allowed_regions vest|vzhod -> jug|vest" };
  for (int i = 0; i < 2; i++)
    {
      lt_buf_t words = {};
      lt_buf_t notice = {};
      lt_diff_row_words (diff, &diff->rows[i], &words);
      lt_diff_row_notice (diff, &diff->rows[i], &notice);
      EXPECT_EQ (expected[i], std::string (words.data, words.len));
      EXPECT_EQ ("requests get 503 when only regions that are left out could "
                 "serve them",
                 std::string (notice.data, notice.len));
      lt_buf_destroy (&words);
      lt_buf_destroy (&notice);
    }
  lt_diff_destroy (diff);
}

// Members that are 0 or empty because of a fault lead to nothing more.
TEST_F (Check, EmptyMembers)
{
  routes.push_back ({});
  routes.push_back ({});
  routes[1].name = view ("r-2");
  routes[2].name = view ("r-3");
  EXPECT_EQ ("", check ());
}

} // namespace
