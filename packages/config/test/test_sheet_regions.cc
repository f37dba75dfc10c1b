// Guards allowed regions in sheets: lists that can never be served are found
// before they are in force, and snapshots, deltas and edits keep the lists.
#include <gtest/gtest.h>

#include <string>

#include "lt/base/error.h"
#include "lt/config/diff.h"
#include "lt/config/edit.h"
#include "lt/config/sheet.h"

namespace
{

std::string
take (lt_buf_t *buf)
{
  std::string text (buf->data == nullptr ? "" : buf->data, buf->len);
  lt_buf_destroy (buf);
  return text;
}

// A sheet with upstreams of "quotes" in north and south and of "orders" in
// south; the regions of workspaces demo and test, and of two routes, each with
// its workspaces.
std::string
sheet (const std::string &demo, const std::string &test,
       const std::string &quotes, const std::string &orders,
       const std::string &quotes_for = "demo|test",
       const std::string &orders_for = "demo|test")
{
  return "kind,name,day,rows,workspace,rate_per_s,burst,service,floor_percent,"
         "region,failure_domain,address,slots,connections,path,methods,access,"
         "action,hedge,timeout_ms,max_body_bytes,workspaces,allowed_regions\n"
         "sheet,s,2026-12-06,11,,,,,,,,,,,,,,,,,,,\n"
         "workspace,demo,,,,,,,,,,,,,,,,,,,,,"
         + demo + "\nworkspace,test,,,,,,,,,,,,,,,,,,,,," + test
         + "\nlimit,,,,demo,9,9,,,,,,,,,,,,,,,,\n"
           "limit,,,,test,9,9,,,,,,,,,,,,,,,,\n"
           "service,quotes,,,,,,,50,,,,,,,,,,,,,,\n"
           "service,orders,,,,,,,50,,,,,,,,,,,,,,\n"
           "upstream,q-1,,,,,,quotes,,north,n-a,10.0.0.1:1,3,9,,,,,,,,,\n"
           "upstream,q-2,,,,,,quotes,,south,s-a,10.0.0.2:1,3,9,,,,,,,,,\n"
           "upstream,o-1,,,,,,orders,,south,s-a,10.0.0.3:1,3,9,,,,,,,,,\n"
           "route,quotes,,,,,,quotes,,,,,,,/quotes,GET,keyed,idempotent,no,900"
           ",0,"
         + quotes_for + "," + quotes
         + "\nroute,orders,,,,,,orders,,,,,,,/orders,POST,keyed,never-repeat,"
           "no,900,9,"
         + orders_for + "," + orders + "\n";
}

// Returns the findings; *SNAPSHOT is set when there are none.
std::string
parse (const std::string &text, lt_snapshot_t **snapshot)
{
  lt_sheet_options_t options = {};
  options.source = str_from ("s.csv");
  options.max_findings = 50;
  lt_findings_t findings = {};
  lt_buf_t out = {};
  int err = lt_sheet_parse (str_make (text.data (), text.size ()), &options,
                            &findings, snapshot);
  lt_findings_print (&findings, &out);
  lt_findings_destroy (&findings);
  std::string printed = take (&out);
  EXPECT_EQ (err != 0, !printed.empty ());
  return printed;
}

std::string
findings_of (const std::string &text)
{
  lt_snapshot_t *snapshot = nullptr;
  std::string printed = parse (text, &snapshot);
  lt_snapshot_destroy (snapshot);
  return printed;
}

std::string
encode (const lt_snapshot_t *snapshot)
{
  lt_buf_t out = {};
  lt_snapshot_encode (snapshot, &out);
  return take (&out);
}

uint64_t
bit (const lt_snapshot_t *s, const char *region)
{
  return 1ULL << lt_snapshot_region_bit (s, str_from (region));
}

const lt_route_t &
route (const lt_snapshot_t *s, const char *name)
{
  return s->routes[lt_snapshot_find_route (s, str_from (name))];
}

} // namespace

TEST (SheetRegions, ListsBecomeMasks)
{
  lt_snapshot_t *s = nullptr;
  ASSERT_EQ ("", parse (sheet ("*", " south | north ", "", "south"), &s));
  EXPECT_EQ (2u, s->region_count);
  EXPECT_EQ (0u, s->workspaces[0].allowed_regions);
  EXPECT_EQ (bit (s, "south") | bit (s, "north"),
             s->workspaces[1].allowed_regions);
  EXPECT_EQ (0u, route (s, "quotes").allowed_regions);
  EXPECT_EQ (bit (s, "south"), route (s, "orders").allowed_regions);
  lt_snapshot_destroy (s);
}

TEST (SheetRegions, ListsThatCannotBeServedAreFound)
{
  struct
  {
    std::string text;
    const char *expected; // Empty: no finding.
  } const cases[] = {
    { sheet ("", "", "east", ""), "the region of one of the upstream rows" },
    { sheet ("", "nroth", "", ""), "the region of one of the upstream rows" },
    { sheet ("", "", "north|north", ""), "each region once" },
    { sheet ("", "", "north|", ""), "the region of one of the upstream rows" },
    { sheet ("", "", "", "north"),
      "a region in which service \"orders\" has upstreams" },
    { sheet ("", "south", "north", ""),
      "a region that workspace \"test\" (row 4) allows as well" },
    { sheet ("north", "", "", ""),
      "and in which service \"orders\" has upstreams" },
    { sheet ("north", "", "", "", "demo|test", "test"), "" },
    { sheet ("north", "south", "north|south", "south", "*", "*"), "" },
  };
  for (const auto &c : cases)
    {
      std::string findings = findings_of (c.text);
      if (*c.expected == '\0')
        EXPECT_EQ ("", findings);
      else
        EXPECT_NE (std::string::npos, findings.find (c.expected))
            << c.expected << "\n"
            << findings;
    }
}

// Guards against a list that is lost, or means other regions, on its way to
// another VM: tables of two snapshots differ in names and order.
TEST (SheetRegions, SnapshotsAndDeltasKeepThem)
{
  const std::string sheets[]
      = { sheet ("", "", "", ""), sheet ("", "south", "", "south"),
          sheet ("north|south", "", "north", "south", "demo", "test"),
          sheet ("", "", "south|north", "") };
  for (const std::string &before : sheets)
    for (const std::string &after : sheets)
      {
        lt_snapshot_t *a = nullptr;
        lt_snapshot_t *b = nullptr;
        lt_snapshot_t *got = nullptr;
        ASSERT_EQ ("", parse (before, &a));
        ASSERT_EQ ("", parse (after, &b));
        std::string bytes = encode (b);
        ASSERT_EQ (0, lt_snapshot_decode (
                          str_make (bytes.data (), bytes.size ()), &got));
        EXPECT_EQ (bytes, encode (got));
        EXPECT_EQ (b->region_count, got->region_count);
        EXPECT_EQ (route (b, "quotes").allowed_regions,
                   route (got, "quotes").allowed_regions);
        lt_snapshot_destroy (got);
        got = nullptr;
        lt_buf_t buf = {};
        lt_delta_encode (a, b, &buf);
        std::string delta = take (&buf);
        ASSERT_EQ (0, lt_delta_apply (
                          a, str_make (delta.data (), delta.size ()), &got));
        EXPECT_EQ (bytes, encode (got));
        lt_snapshot_destroy (got);
        lt_snapshot_destroy (a);
        lt_snapshot_destroy (b);
      }
}

TEST (SheetRegions, ChangesAreShownAndEditsKeepThem)
{
  lt_snapshot_t *a = nullptr;
  lt_snapshot_t *b = nullptr;
  ASSERT_EQ ("", parse (sheet ("", "", "", "south"), &a));
  ASSERT_EQ ("", parse (sheet ("", "south|north", "north|south", ""), &b));
  lt_diff_t *diff = lt_diff_create (a, b);
  lt_buf_t out = {};
  lt_diff_print (diff, 10, &out);
  std::string shown = take (&out);
  lt_diff_destroy (diff);
  EXPECT_NE (std::string::npos,
             shown.find ("changed workspace \"test\": allowed_regions * -> "
                         "north|south\n"))
      << shown;
  EXPECT_NE (std::string::npos,
             shown.find ("changed route \"orders\": allowed_regions south -> "
                         "*\n"))
      << shown;
  lt_edit_t edit = {};
  edit.version = 2;
  edit.author = str_from ("someone");
  lt_snapshot_t *edited = nullptr;
  ASSERT_EQ (0, lt_edit_set_drained (b, &edit, str_from ("q-1"), true, true,
                                     &edited));
  EXPECT_EQ (bit (edited, "north") | bit (edited, "south"),
             route (edited, "quotes").allowed_regions);
  EXPECT_EQ (0u, route (edited, "orders").allowed_regions);
  lt_snapshot_destroy (edited);
  lt_snapshot_destroy (a);
  lt_snapshot_destroy (b);
}

// Guards against an evacuation that ends with the next sheet, leaves out new
// upstreams of its failure domain, or is lost on the way to another VM.
TEST (Evacuations, EditsAndSheetsKeepThem)
{
  lt_snapshot_t *first = nullptr;
  lt_snapshot_t *evacuated = nullptr;
  lt_snapshot_t *next = nullptr;
  lt_snapshot_t *got = nullptr;
  const std::string text = sheet ("", "", "", "");
  ASSERT_EQ ("", parse (text, &first));
  lt_edit_t edit = {};
  edit.version = 2;
  edit.author = str_from ("someone");
  EXPECT_EQ (-LT_ENOTFOUND,
             lt_edit_set_evacuated (first, &edit, str_from ("e-a"), true,
                                    &evacuated));
  EXPECT_EQ (-LT_EEXISTS,
             lt_edit_set_evacuated (first, &edit, str_from ("s-a"), false,
                                    &evacuated));
  ASSERT_EQ (0, lt_edit_set_evacuated (first, &edit, str_from ("s-a"), true,
                                       &evacuated));
  EXPECT_EQ (
      -LT_EEXISTS,
      lt_edit_set_evacuated (evacuated, &edit, str_from ("s-a"), true, &next));
  std::string bytes = encode (evacuated);
  ASSERT_EQ (
      0, lt_snapshot_decode (str_make (bytes.data (), bytes.size ()), &got));
  EXPECT_EQ (bytes, encode (got));
  lt_buf_t buf = {};
  lt_delta_encode (first, evacuated, &buf);
  std::string delta = take (&buf);
  lt_snapshot_destroy (got);
  ASSERT_EQ (0, lt_delta_apply (first, str_make (delta.data (), delta.size ()),
                                &got));
  EXPECT_EQ (bytes, encode (got));

  std::string more = text;
  more.replace (more.find (",11,"), 4, ",12,");
  more.insert (
      more.find ("route,quotes"),
      "upstream,q-3,,,,,,quotes,,south,s-a,10.0.0.9:1,3,9,,,,,,,,,\n");
  lt_snapshot_t *parsed = nullptr;
  ASSERT_EQ ("", parse (more, &parsed));
  lt_findings_t findings = {};
  ASSERT_EQ (0,
             lt_edit_adopt_sheet (evacuated, parsed, &edit, &findings, &next));
  for (const char *name : { "q-1", "q-2", "q-3", "o-1" })
    EXPECT_EQ (
        std::string (name) != "q-1",
        next->upstreams[lt_snapshot_find_upstream (next, str_from (name))]
            .evacuated)
        << name;
  lt_snapshot_t *ended = nullptr;
  ASSERT_EQ (
      0, lt_edit_set_evacuated (next, &edit, str_from ("s-a"), false, &ended));
  for (uint32_t i = 0; i < ended->upstream_count; i++)
    EXPECT_FALSE (ended->upstreams[i].evacuated);
  for (lt_snapshot_t *s : { first, evacuated, next, got, parsed, ended })
    lt_snapshot_destroy (s);
}
