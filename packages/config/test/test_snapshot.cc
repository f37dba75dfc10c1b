// Guards the snapshot: lookups, the codec, and what decoding accepts.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "lt/base/error.h"
#include "lt/config/sheet.h"

static str_t
view (const std::string &s)
{
  return str_make (s.data (), s.size ());
}

static std::string
read_file (const std::string &path)
{
  std::ifstream in (path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf ();
  return out.str ();
}

static lt_snapshot_t *
parse (const std::string &text)
{
  lt_sheet_options_t options = {};
  options.source = str_from ("sheet");
  options.max_findings = 50;
  lt_findings_t findings = {};
  lt_snapshot_t *snapshot = nullptr;
  int err = lt_sheet_parse (view (text), &options, &findings, &snapshot);
  lt_buf_t out = {};
  lt_findings_print (&findings, &out);
  EXPECT_EQ (0, err) << (out.data == nullptr ? "" : out.data);
  lt_buf_destroy (&out);
  lt_findings_destroy (&findings);
  return snapshot;
}

static std::string
encode (const lt_snapshot_t *snapshot)
{
  lt_buf_t out = {};
  lt_snapshot_encode (snapshot, &out);
  std::string bytes (out.data, out.len);
  lt_buf_destroy (&out);
  return bytes;
}

class SmallSnapshot : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    snapshot = parse (read_file (LT_SOURCE_DIR "/examples/small.csv"));
    ASSERT_NE (nullptr, snapshot);
  }
  void
  TearDown () override
  {
    lt_snapshot_destroy (snapshot);
  }
  lt_snapshot_t *snapshot = nullptr;
};

// Guards against a request reaching a route whose access rule it evades, by
// prefix inside a segment or by a path that upstreams normalize.
TEST_F (SmallSnapshot, MatchesRoutes)
{
  struct
  {
    const char *method, *path;
    lt_route_match_t match;
    const char *name;
  } cases[] = {
    { "GET", "/quotes", LT_ROUTE_FOUND, "quotes" },
    { "GET", "/quotes/7/lines", LT_ROUTE_FOUND, "quotes" },
    { "GET", "/quotes/", LT_ROUTE_FOUND, "quotes" },
    { "GET", "/quotes;v=1/7", LT_ROUTE_NONE, "" },
    { "GET", "/quotes/7;v=1", LT_ROUTE_NONE, "" },
    { "GET", "/quotesx", LT_ROUTE_NONE, "" },
    { "GET", "/", LT_ROUTE_NONE, "" },
    { "GET", "", LT_ROUTE_NONE, "" },
    { "POST", "/orders", LT_ROUTE_FOUND, "orders" },
    { "PUT", "/orders/1", LT_ROUTE_METHOD_NOT_ALLOWED, "POST" },
    { "BREW", "/quotes", LT_ROUTE_METHOD_NOT_ALLOWED, "GET, HEAD" },
    { "GET", "/catalogue/../quotes", LT_ROUTE_NONE, "" },
    { "GET", "/catalogue/..;/quotes", LT_ROUTE_NONE, "" },
    { "GET", "/catalogue/%2e%2E/quotes", LT_ROUTE_NONE, "" },
    { "GET", "/catalogue/..%2fquotes", LT_ROUTE_NONE, "" },
    { "GET", "/catalogue/..\\quotes", LT_ROUTE_NONE, "" },
    { "GET", "//quotes", LT_ROUTE_NONE, "" },
    { "GET", "/catalogue//quotes", LT_ROUTE_NONE, "" },
    { "GET", "/%71uotes", LT_ROUTE_NONE, "" },
    { "GET", "/quotes/%C4%8D", LT_ROUTE_FOUND, "quotes" },
    { "GET", "/quotes/%zz", LT_ROUTE_NONE, "" },
    { "GET", "/quotes/%2", LT_ROUTE_NONE, "" },
  };
  for (const auto &c : cases)
    {
      const lt_route_t *route = nullptr;
      str_t allow = {};
      EXPECT_EQ (c.match,
                 lt_snapshot_match_route (snapshot, str_from (c.method),
                                          str_from (c.path), &route, &allow))
          << c.method << " " << c.path;
      if (c.match == LT_ROUTE_FOUND && route != nullptr)
        {
          EXPECT_EQ (c.name, std::string (route->name.data, route->name.len))
              << c.path;
        }
      if (c.match == LT_ROUTE_METHOD_NOT_ALLOWED)
        {
          EXPECT_EQ (c.name, std::string (allow.data, allow.len)) << c.path;
        }
    }
}

// Guards against a key that resolves to no or to another workspace.
TEST_F (SmallSnapshot, FindsKeysByHash)
{
  lt_digest_t hash = lt_key_hash (str_from (""), str_from ("demo-key-1"));
  const lt_key_t *key = lt_snapshot_find_key (snapshot, &hash);
  ASSERT_NE (nullptr, key);
  EXPECT_EQ (lt_snapshot_find_workspace (snapshot, str_from ("demo")),
             key->workspace);
  hash.bytes[31] ^= 1;
  EXPECT_EQ (nullptr, lt_snapshot_find_key (snapshot, &hash));
  EXPECT_EQ (LT_NO_INDEX,
             lt_snapshot_find_upstream (snapshot, str_from ("quotes-2")));
}

// Guards against snapshots that change on their way between VMs.
TEST_F (SmallSnapshot, EncodesCanonically)
{
  std::string bytes = encode (snapshot);
  lt_snapshot_t *copy = nullptr;
  ASSERT_EQ (0, lt_snapshot_decode (view (bytes), &copy));
  EXPECT_EQ (bytes, encode (copy));
  EXPECT_EQ (2u, copy->upstream_count);
  lt_snapshot_destroy (copy);
}

// Guards against reading past damaged input and against accepting a part of a
// snapshot as a whole one.
TEST_F (SmallSnapshot, RejectsDamagedBytes)
{
  std::string bytes = encode (snapshot);
  for (size_t len = 0; len < bytes.size (); len++)
    {
      lt_snapshot_t *copy = nullptr;
      std::string part = bytes.substr (0, len);
      EXPECT_EQ (-LT_EPROTO, lt_snapshot_decode (view (part), &copy)) << len;
    }
  std::string longer = bytes + "x";
  lt_snapshot_t *copy = nullptr;
  EXPECT_EQ (-LT_EPROTO, lt_snapshot_decode (view (longer), &copy));
  for (size_t i = 0; i < bytes.size (); i++)
    for (int value = 0; value < 256; value += 3)
      {
        std::string damaged = bytes;
        damaged[i] = (char)value;
        copy = nullptr;
        if (lt_snapshot_decode (view (damaged), &copy) == 0)
          {
            EXPECT_NE (nullptr, copy->index);
            lt_snapshot_destroy (copy);
          }
      }
}
