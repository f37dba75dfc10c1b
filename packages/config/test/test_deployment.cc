// Guards against requests on the wrong route, keys of the wrong workspace and
// upstreams of the wrong service.
#include <gtest/gtest.h>
#include <sodium.h>

#include <string>
#include <vector>

#include "lt/base/error.h"
#include "lt/config/deployment.h"
#include "lt/config/sheet.h"

namespace
{

const str_t SECRET = STR_LIT ("0123456789abcdef");

str_t
view (const char *text)
{
  return str_from (text);
}

class Deployment : public testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_GE (sodium_init (), 0);
    services = { { view ("orders"), view ("/health"), 390 },
                 { view ("quotes"), view ("/health"), 390 } };
    to_quotes = { { view ("quotes"), 1 } };
    to_both = { { view ("quotes"), 90 }, { view ("orders"), 10 } };
    routes = { route ("r1", "a.example", "/x/", to_quotes),
               route ("r2", "a.example", "/x/y/", to_both),
               route ("r3", "b.example", "/x/", to_quotes) };
    keys = { view ("key-of-one-0123"), view ("key-of-one-4567") };
    workspaces = { { view ("one"), keys.data (), 2, 1, 78000, 78 },
                   { view ("two"), nullptr, 0, 0, 0, 0 } };
  }

  ~Deployment () override
  {
    lt_snapshot_destroy (derived);
    lt_snapshot_destroy (base);
  }

  static lt_deployment_route_t
  route (const char *name, const char *host, const char *prefix,
         const std::vector<lt_deployment_split_t> &splits)
  {
    lt_deployment_route_t r = {};
    r.name = view (name);
    r.host = view (host);
    r.prefix = view (prefix);
    r.action = LT_ACTION_NEVER_REPEAT;
    r.access = LT_ACCESS_KEYED;
    r.timeout_ms = 1500;
    r.splits = splits.data ();
    r.split_count = (uint32_t)splits.size ();
    return r;
  }

  int
  build ()
  {
    lt_deployment_t d = {};
    d.version = 7;
    d.routes = routes.data ();
    d.route_count = (uint32_t)routes.size ();
    d.services = services.data ();
    d.service_count = (uint32_t)services.size ();
    d.workspaces = workspaces.data ();
    d.workspace_count = (uint32_t)workspaces.size ();
    return lt_snapshot_from_deployment (&d, SECRET, &base);
  }

  std::string
  match (const char *host, const char *path)
  {
    const lt_route_t *r
        = lt_snapshot_match_host (base, view (host), view (path));
    return r == nullptr ? "" : std::string (r->name.data, r->name.len);
  }

  std::vector<lt_deployment_service_t> services;
  std::vector<lt_deployment_split_t> to_quotes, to_both;
  std::vector<lt_deployment_route_t> routes;
  std::vector<str_t> keys;
  std::vector<lt_deployment_workspace_t> workspaces;
  lt_snapshot_t *base = nullptr;
  lt_snapshot_t *derived = nullptr;
};

TEST_F (Deployment, TheLongestPrefixOfTheHostMatches)
{
  ASSERT_EQ (0, build ());
  EXPECT_EQ ("r1", match ("a.example", "/x/1"));
  EXPECT_EQ ("r1", match ("A.Example:8080", "/x/"));
  EXPECT_EQ ("r2", match ("a.example", "/x/y/z"));
  EXPECT_EQ ("r1", match ("a.example", "/x/y"));
  EXPECT_EQ ("r3", match ("b.example", "/x/y/z"));
  EXPECT_EQ ("", match ("a.example", "/x"));
  EXPECT_EQ ("", match ("c.example", "/x/1"));
  EXPECT_EQ ("", match ("", "/x/1"));
  EXPECT_EQ ("", match ("a.example", ""));
}

TEST_F (Deployment, RoutesKeepTheirParts)
{
  ASSERT_EQ (0, build ());
  const lt_route_t *r
      = lt_snapshot_match_host (base, view ("a.example"), view ("/x/y/1"));
  ASSERT_EQ (2u, r->split_count);
  EXPECT_EQ (lt_snapshot_find_service (base, view ("quotes")),
             r->splits[0].service);
  EXPECT_EQ (90, r->splits[0].weight);
}

TEST_F (Deployment, KeysBelongToTheirWorkspace)
{
  ASSERT_EQ (0, build ());
  lt_digest_t hash = lt_key_hash (SECRET, keys[1]);
  const lt_key_t *key = lt_snapshot_find_key (base, &hash);
  ASSERT_NE (nullptr, key);
  EXPECT_EQ (lt_snapshot_find_workspace (base, view ("one")), key->workspace);
  hash = lt_key_hash (SECRET, view ("key-of-nobody-01"));
  EXPECT_EQ (nullptr, lt_snapshot_find_key (base, &hash));
  EXPECT_TRUE (
      base->workspaces[lt_snapshot_find_workspace (base, view ("two"))]
          .unlimited);
}

// Routes must not open because no workspace is left.
TEST_F (Deployment, RoutesKeepTheirAccessWithoutWorkspaces)
{
  workspaces.clear ();
  routes[1].access = LT_ACCESS_OPEN;
  ASSERT_EQ (0, build ());
  ASSERT_EQ (3u, base->route_count);
  EXPECT_EQ (LT_ACCESS_KEYED, base->routes[0].access);
  EXPECT_EQ (LT_ACCESS_OPEN, base->routes[1].access);
  EXPECT_EQ (LT_ACCESS_KEYED, base->routes[2].access);
}

TEST_F (Deployment, ContradictionsAreRefused)
{
  auto good = routes;
  routes.push_back (route ("r4", "A.example", "/x/", to_quotes));
  EXPECT_EQ (-LT_EINVAL, build ()) << "same host and prefix";
  routes = good;
  routes.push_back (route ("r1", "c.example", "/", to_quotes));
  EXPECT_EQ (-LT_EINVAL, build ()) << "same name";
  routes = good;
  std::vector<lt_deployment_split_t> nowhere = { { view ("nobody"), 1 } };
  routes.push_back (route ("r4", "c.example", "/", nowhere));
  EXPECT_EQ (-LT_EINVAL, build ()) << "unknown service";
  routes = good;
  workspaces[1].keys = keys.data ();
  workspaces[1].key_count = 1;
  EXPECT_EQ (-LT_EINVAL, build ()) << "one key of two workspaces";
}

TEST_F (Deployment, UpstreamsComeAndGoOverTheSameRoutes)
{
  ASSERT_EQ (0, build ());
  std::vector<lt_deployment_upstream_t> upstreams (3);
  const char *names[] = { "u1", "u2", "u3" };
  const char *of[] = { "quotes", "orders", "nobody" };
  for (size_t i = 0; i < 3; i++)
    {
      upstreams[i].name = view (names[i]);
      upstreams[i].service = view (of[i]);
      upstreams[i].address = view ("10.0.0.1:80");
      upstreams[i].slots = 3;
    }
  upstreams[1].draining = true;
  ASSERT_EQ (
      0, lt_snapshot_with_upstreams (base, 9, upstreams.data (), 3, &derived));
  lt_snapshot_destroy (base); // Its rows are shared.
  base = derived;
  derived = nullptr;
  EXPECT_EQ (9, base->version);
  EXPECT_EQ (7, base->source_version);
  EXPECT_EQ (2u, base->upstream_count);
  uint32_t u1 = lt_snapshot_find_upstream (base, view ("u1"));
  uint32_t u2 = lt_snapshot_find_upstream (base, view ("u2"));
  ASSERT_NE (LT_NO_INDEX, u1);
  EXPECT_EQ (LT_NO_INDEX, lt_snapshot_find_upstream (base, view ("u3")));
  EXPECT_EQ (lt_snapshot_find_service (base, view ("quotes")),
             base->upstreams[u1].service);
  EXPECT_TRUE (base->upstreams[u2].drained);
  EXPECT_EQ ("r2", match ("a.example", "/x/y/z"));
}

// Guards against masks that mean other regions than the lists: after another
// order of names, in the snapshot with upstreams, and for upstreams that no
// list names.
TEST_F (Deployment, AllowedRegionsBecomeMasks)
{
  std::vector<str_t> of_r1 = { view ("west"), view ("east"), view ("west") };
  std::vector<str_t> of_r3 = { view ("east") };
  std::vector<str_t> of_one = { view ("north"), view ("") };
  routes[0].allowed_regions = of_r1.data ();
  routes[0].allowed_region_count = 3;
  routes[2].allowed_regions = of_r3.data ();
  routes[2].allowed_region_count = 1;
  workspaces[0].allowed_regions = of_one.data ();
  workspaces[0].allowed_region_count = 2;
  ASSERT_EQ (0, build ());
  ASSERT_EQ (0, lt_snapshot_with_upstreams (base, 9, nullptr, 0, &derived));
  for (const lt_snapshot_t *s : { base, derived })
    {
      ASSERT_EQ (4u, s->region_count);
      uint64_t east = 1ULL << lt_snapshot_region_bit (s, view ("east"));
      uint64_t west = 1ULL << lt_snapshot_region_bit (s, view ("west"));
      uint64_t north = 1ULL << lt_snapshot_region_bit (s, view ("north"));
      EXPECT_EQ (east | west, s->routes[0].allowed_regions);
      EXPECT_EQ (0u, s->routes[1].allowed_regions);
      EXPECT_EQ (east, s->routes[2].allowed_regions);
      EXPECT_EQ (0u, s->workspaces[1].allowed_regions);
      EXPECT_EQ (north,
                 s->workspaces[0].allowed_regions & (east | west | north));
      // The empty name is no upstream's region.
      EXPECT_EQ (LT_REGION_BIT_OTHER, lt_snapshot_region_bit (s, view ("")));
      EXPECT_EQ (LT_REGION_BIT_OTHER,
                 lt_snapshot_region_bit (s, view ("south")));
      EXPECT_EQ (0u, s->workspaces[0].allowed_regions >> LT_REGION_BIT_OTHER);
    }
}

// Guards against a mask of one snapshot that is used with the table of
// another.
TEST_F (Deployment, MasksAreConvertedByName)
{
  std::vector<str_t> before = { view ("east"), view ("west") };
  std::vector<str_t> after = { view ("central"), view ("west") };
  routes[0].allowed_regions = before.data ();
  routes[0].allowed_region_count = 2;
  ASSERT_EQ (0, build ());
  lt_snapshot_t *old = base;
  routes[0].allowed_regions = after.data ();
  ASSERT_EQ (0, build ());
  uint64_t east = 1ULL << lt_snapshot_region_bit (old, view ("east"));
  EXPECT_EQ (
      1ULL << lt_snapshot_region_bit (base, view ("west")),
      lt_snapshot_convert_regions (old, old->routes[0].allowed_regions, base));
  EXPECT_EQ (0u, lt_snapshot_convert_regions (old, east, base));
  EXPECT_EQ (east, lt_snapshot_convert_regions (old, east, old));
  lt_snapshot_destroy (old);
}

TEST_F (Deployment, TooManyRegionsAreRefused)
{
  std::vector<std::string> names;
  for (int i = 0; i <= LT_REGIONS_MAX; i++)
    names.push_back ("region-" + std::to_string (i));
  std::vector<str_t> list;
  for (const std::string &name : names)
    list.push_back (view (name.c_str ()));
  routes[0].allowed_regions = list.data ();
  routes[0].allowed_region_count = LT_REGIONS_MAX;
  ASSERT_EQ (0, build ());
  EXPECT_EQ (uint64_t (-1) >> 1, base->routes[0].allowed_regions);
  lt_snapshot_destroy (base);
  base = nullptr;
  workspaces[0].allowed_regions = &list[LT_REGIONS_MAX];
  workspaces[0].allowed_region_count = 1;
  EXPECT_EQ (-LT_EINVAL, build ());
}

} // namespace
