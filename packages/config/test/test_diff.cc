// Guards diffs, deltas and edits: what operators are shown is what changes,
// and every VM ends with the same snapshot whichever way it got there.
#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <string>

#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/config/diff.h"
#include "lt/config/edit.h"
#include "lt/config/sheet.h"

static std::string
read_file (const std::string &path)
{
  std::ifstream in (path, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf ();
  return out.str ();
}

static std::string
take (lt_buf_t *buf)
{
  std::string text (buf->data == nullptr ? "" : buf->data, buf->len);
  lt_buf_destroy (buf);
  return text;
}

static lt_snapshot_t *
parse (const std::string &text)
{
  lt_sheet_options_t options = {};
  options.max_findings = 50;
  lt_findings_t findings = {};
  lt_snapshot_t *snapshot = nullptr;
  lt_buf_t out = {};
  int err = lt_sheet_parse (str_make (text.data (), text.size ()), &options,
                            &findings, &snapshot);
  lt_findings_print (&findings, &out);
  EXPECT_EQ (0, err) << take (&out);
  lt_buf_destroy (&out);
  lt_findings_destroy (&findings);
  return snapshot;
}

static lt_snapshot_t *
parse_example (const char *name)
{
  return parse (
      read_file (std::string (LT_SOURCE_DIR "/examples/") + name + ".csv"));
}

static std::string
encode (const lt_snapshot_t *snapshot)
{
  lt_buf_t out = {};
  lt_snapshot_encode (snapshot, &out);
  return take (&out);
}

// Applies the delta from A to B to A and compares the result with B.
static void
expect_delta (const lt_snapshot_t *a, const lt_snapshot_t *b)
{
  lt_buf_t buf = {};
  lt_delta_encode (a, b, &buf);
  std::string delta = take (&buf);
  lt_snapshot_t *got = nullptr;
  ASSERT_EQ (
      0, lt_delta_apply (a, str_make (delta.data (), delta.size ()), &got));
  EXPECT_EQ (encode (b), encode (got));
  lt_snapshot_destroy (got);
}

static lt_edit_t
edit_at (int64_t version)
{
  lt_edit_t edit = {};
  edit.version = version;
  edit.author = str_from ("ana");
  edit.wall_us = 1796378400000000;
  return edit;
}

static std::string
print (const lt_snapshot_t *a, const lt_snapshot_t *b)
{
  lt_buf_t out = {};
  lt_diff_t *diff = lt_diff_create (a, b);
  lt_diff_print (diff, 100, &out);
  lt_diff_destroy (diff);
  return take (&out);
}

// Guards against deltas that lose, keep or reorder rows; any two sheets must
// lead to each other, in both directions.
TEST (Delta, LeadsFromAnySnapshotToAnyOther)
{
  lt_snapshot_t *sites[]
      = { parse_example ("small"), parse_example ("kovacic"),
          parse_example ("regnly") };
  for (auto *a : sites)
    for (auto *b : sites)
      expect_delta (a, b);
  for (auto *site : sites)
    lt_snapshot_destroy (site);
}

// Guards against deltas applied to a snapshot they were not made for.
TEST (Delta, RefusesAnotherBaseAndDamage)
{
  lt_snapshot_t *a = parse_example ("small");
  lt_snapshot_t *b = parse_example ("kovacic");
  lt_buf_t buf = {};
  lt_delta_encode (a, b, &buf);
  std::string delta = take (&buf);
  lt_snapshot_t *got = nullptr;
  a->version = 1;
  EXPECT_EQ (
      -LT_ESTALE,
      lt_delta_apply (a, str_make (delta.data (), delta.size ()), &got));
  a->version = 0;
  for (size_t len = 0; len < delta.size (); len += 7)
    EXPECT_EQ (-LT_EPROTO,
               lt_delta_apply (a, str_make (delta.data (), len), &got));
  lt_snapshot_destroy (a);
  lt_snapshot_destroy (b);
  EXPECT_EQ (nullptr, got);
}

// Guards against damaged deltas that lead to reads out of bounds or to a
// snapshot that cannot be encoded.
TEST (Delta, SurvivesRandomDamage)
{
  lt_snapshot_t *a = parse_example ("small");
  lt_snapshot_t *b = parse_example ("kovacic");
  lt_buf_t buf = {};
  lt_delta_encode (a, b, &buf);
  std::string delta = take (&buf);
  lt_rng_t rng;
  lt_rng_init (&rng, 3);
  int accepted = 0;
  for (int i = 0; i < 5000; i++)
    {
      std::string damaged = delta;
      damaged[lt_rng_below (&rng, delta.size ())]
          = (char)lt_rng_below (&rng, 256);
      lt_snapshot_t *got = nullptr;
      str_t bytes = str_make (damaged.data (), damaged.size ());
      if (lt_delta_apply (a, bytes, &got) != 0)
        continue;
      accepted++;
      std::string encoded = encode (got);
      lt_snapshot_t *again = nullptr;
      EXPECT_EQ (0, lt_snapshot_decode (
                        str_make (encoded.data (), encoded.size ()), &again))
          << i;
      lt_snapshot_destroy (again);
      lt_snapshot_destroy (got);
    }
  EXPECT_GT (accepted, 0);
  lt_snapshot_destroy (a);
  lt_snapshot_destroy (b);
}

// Guards against random edits after which VMs that got deltas differ from VMs
// that got whole snapshots.
TEST (Delta, FollowsRandomEdits)
{
  lt_rng_t rng;
  lt_rng_init (&rng, 11);
  lt_snapshot_t *now = parse_example ("kovacic");
  int done = 0;
  for (int i = 0; i < 300; i++)
    {
      lt_edit_t edit = edit_at (i + 1);
      lt_snapshot_t *next = nullptr;
      int err = 0;
      std::string name = "k" + std::to_string (lt_rng_below (&rng, 20));
      std::string up
          = "quotes-" + std::to_string (lt_rng_below (&rng, 33) + 1);
      lt_digest_t hash = lt_key_hash (str_from (""), str_from (name.c_str ()));
      switch (lt_rng_below (&rng, 3))
        {
        case 0:
          err = lt_edit_add_key (now, &edit, str_from (name.c_str ()),
                                 now->workspaces[lt_rng_below (&rng, 8)].name,
                                 &hash, &next);
          break;
        case 1:
          err = lt_edit_withdraw_key (
              now, &edit, now->keys[lt_rng_below (&rng, now->key_count)].name,
              &next);
          break;
        default:
          err = lt_edit_set_drained (now, &edit, str_from (up.c_str ()),
                                     lt_rng_below (&rng, 2) == 0, false,
                                     &next);
        }
      ASSERT_EQ (err == 0, next != nullptr);
      if (next == nullptr)
        continue;
      done++;
      expect_delta (now, next);
      lt_snapshot_destroy (now);
      now = next;
    }
  EXPECT_GT (done, 100);
  lt_snapshot_destroy (now);
}

// Guards against a diff that hides or invents a change.
TEST (Diff, SaysWhatChanged)
{
  std::string text = read_file (LT_SOURCE_DIR "/examples/small.csv");
  lt_snapshot_t *a = parse (text);
  struct
  {
    const char *from, *to, *words;
  } cases[] = {
    { "demo,50,100", "demo,60,100",
      "changed workspace \"demo\": rate_per_s 50.000 -> 60.000\n"
      "workspace rows: 0 added, 0 removed, 1 changed\n" },
    { "demo-key-1", "demo-key-2",
      "changed key \"demo-1\": another secret\n"
      "key rows: 0 added, 0 removed, 1 changed\n" },
    { "127.0.0.1:19001,3", "127.0.0.1:19003,4",
      "changed upstream \"quotes-1\": address 127.0.0.1:19001 -> "
      "127.0.0.1:19003, slots 3 -> 4\n"
      "upstream rows: 0 added, 0 removed, 1 changed\n" },
    { "keyed,idempotent,yes,2000,0,demo", "open,idempotent,no,2000,0,*",
      "changed route \"quotes\": access keyed -> open, hedge yes -> no, "
      "workspaces demo -> *\n"
      "route rows: 0 added, 0 removed, 1 changed\n" },
    { "route,catalogue", "route,catalog",
      "removed route \"catalogue\": path /catalogue, methods GET|HEAD, "
      "service quotes, access open, action idempotent, hedge no, timeout_ms "
      "2000, max_body_bytes 0, workspaces *\n"
      "added route \"catalog\": path /catalogue, methods GET|HEAD, service "
      "quotes, access open, action idempotent, hedge no, timeout_ms 2000, "
      "max_body_bytes 0, workspaces *\n"
      "route rows: 1 added, 1 removed (33.3% of 3), 0 changed\n" },
    { "small", "small", "no rows differ\n" },
  };
  for (const auto &c : cases)
    {
      std::string changed = text;
      changed.replace (changed.find (c.from), strlen (c.from), c.to);
      lt_snapshot_t *b = parse (changed);
      EXPECT_EQ (c.words, print (a, b));
      lt_snapshot_destroy (b);
    }
  lt_snapshot_destroy (a);
}

// Removes COUNT rows that begin with KIND and states the new row count.
static std::string
drop_rows (std::string text, const std::string &kind, int count)
{
  for (int i = 0; i < count; i++)
    {
      size_t at = text.find ("\n" + kind + ",") + 1;
      text.erase (at, text.find ('\n', at) + 1 - at);
    }
  std::string stated = "2026-12-04,79,";
  text.replace (text.find (stated), stated.size (),
                "2026-12-04," + std::to_string (79 - count) + ",");
  return text;
}

// Guards against a sheet from which rows were lost by mistake.
TEST (Diff, RefusesLargeRemovals)
{
  std::string text = read_file (LT_SOURCE_DIR "/examples/kovacic.csv");
  struct
  {
    const char *kind;
    int count, err;
  } cases[] = { { "key", 0, 0 },
                { "key", 1, 0 },
                { "key", 2, -LT_EFINDINGS },
                { "route", 1, 0 },
                { "route", 2, -LT_EFINDINGS },
                { "upstream", 8, 0 },
                { "upstream", 9, -LT_EFINDINGS } };
  lt_snapshot_t *a = parse (text);
  for (const auto &c : cases)
    {
      // Upstream quotes-7 has a planned stop and must stay.
      std::string cut = text;
      if (std::string (c.kind) == "upstream")
        {
          size_t at = cut.find ("stop,,");
          cut.replace (cut.find ("quotes-7", at), 8, "orders-9");
        }
      lt_snapshot_t *b = parse (drop_rows (cut, c.kind, c.count));
      lt_findings_t findings = {};
      lt_diff_t *diff = lt_diff_create (a, b);
      EXPECT_EQ (c.err, lt_diff_check_removals (diff, &findings))
          << c.kind << " " << c.count;
      EXPECT_EQ (c.err == 0 ? 0u : 1u, findings.count);
      lt_diff_destroy (diff);
      lt_findings_destroy (&findings);
      lt_snapshot_destroy (b);
    }
  lt_snapshot_destroy (a);
}

// Guards against an old sheet that gives a revoked key back its validity.
TEST (Edit, KeepsWithdrawnKeysWithdrawn)
{
  lt_snapshot_t *sheet = parse_example ("small");
  lt_snapshot_t *withdrawn = nullptr, *adopted = nullptr, *empty = nullptr;
  lt_edit_t edit = edit_at (2);
  lt_digest_t hash = lt_key_hash (str_from (""), str_from ("demo-key-1"));
  ASSERT_EQ (
      0, lt_edit_withdraw_key (sheet, &edit, str_from ("demo-1"), &withdrawn));
  EXPECT_EQ (nullptr, lt_snapshot_find_key (withdrawn, &hash));
  EXPECT_EQ (-LT_EEXISTS, lt_edit_withdraw_key (withdrawn, &edit,
                                                str_from ("demo-1"), &empty));
  EXPECT_EQ (-LT_EEXISTS,
             lt_edit_add_key (withdrawn, &edit, str_from ("demo-9"),
                              str_from ("demo"), &hash, &empty));
  std::string text = read_file (LT_SOURCE_DIR "/examples/small.csv");
  std::string renamed = text;
  renamed.replace (renamed.find ("key,demo-1"), 10, "key,demo-2");
  std::string other = renamed;
  other.replace (other.find ("demo-key-1"), 10, "demo-key-2");
  struct
  {
    std::string text;
    int err;
  } cases[]
      = { { text, -LT_EFINDINGS }, { renamed, -LT_EFINDINGS }, { other, 0 } };
  for (const auto &c : cases)
    {
      lt_findings_t findings = {};
      lt_snapshot_t *again = parse (c.text);
      EXPECT_EQ (c.err, lt_edit_adopt_sheet (withdrawn, again, &edit,
                                             &findings, &adopted));
      EXPECT_EQ (c.err == 0 ? 0u : 1u, findings.count);
      lt_findings_destroy (&findings);
      lt_snapshot_destroy (again);
    }
  ASSERT_NE (nullptr, adopted);
  EXPECT_EQ (2u, adopted->key_count);
  EXPECT_EQ (nullptr, lt_snapshot_find_key (adopted, &hash));
  expect_delta (withdrawn, adopted);
  lt_snapshot_destroy (adopted);
  lt_snapshot_destroy (withdrawn);
  lt_snapshot_destroy (sheet);
}

// Guards against a withdrawn key that is forgotten, and usable again, after
// its workspace was removed and added back.
TEST (Edit, KeepsWithdrawnKeysWithoutWorkspace)
{
  lt_snapshot_t *small = parse_example ("small");
  lt_snapshot_t *other = parse_example ("regnly");
  lt_snapshot_t *withdrawn = nullptr, *moved = nullptr, *back = nullptr;
  lt_edit_t edit = edit_at (2);
  lt_findings_t findings = {};
  ASSERT_EQ (
      0, lt_edit_withdraw_key (small, &edit, str_from ("demo-1"), &withdrawn));
  ASSERT_EQ (0,
             lt_edit_adopt_sheet (withdrawn, other, &edit, &findings, &moved));
  expect_delta (withdrawn, moved);
  EXPECT_EQ (-LT_EFINDINGS,
             lt_edit_adopt_sheet (moved, small, &edit, &findings, &back));
  lt_findings_destroy (&findings);
  lt_snapshot_destroy (moved);
  lt_snapshot_destroy (withdrawn);
  lt_snapshot_destroy (other);
  lt_snapshot_destroy (small);
}

// Guards against a new sheet that undoes what operators did since the last.
TEST (Edit, AdoptsSheetsWithIssuedKeysAndDrains)
{
  lt_snapshot_t *sheet = parse_example ("kovacic");
  lt_snapshot_t *issued = nullptr, *drained = nullptr, *adopted = nullptr;
  lt_edit_t edit = edit_at (1);
  lt_findings_t findings = {};
  lt_digest_t hash = lt_key_hash (str_from (""), str_from ("issued-key-1"));
  ASSERT_EQ (0, lt_edit_add_key (sheet, &edit, str_from ("issued"),
                                 sheet->workspaces[0].name, &hash, &issued));
  ASSERT_EQ (0, lt_edit_set_drained (issued, &edit, str_from ("quotes-7"),
                                     true, false, &drained));
  EXPECT_EQ ("added key \"issued\": workspace Arhitekti Potočnik, state "
             "issued\nchanged upstream \"quotes-7\": drained no -> yes\n"
             "key rows: 1 added, 0 removed, 0 changed\n"
             "upstream rows: 0 added, 0 removed, 1 changed\n",
             print (sheet, drained));
  edit.version = 3;
  ASSERT_EQ (0,
             lt_edit_adopt_sheet (drained, sheet, &edit, &findings, &adopted));
  EXPECT_EQ ("no rows differ\n", print (drained, adopted));
  EXPECT_EQ (3, adopted->version);
  EXPECT_NE (nullptr, lt_snapshot_find_key (adopted, &hash));
  lt_snapshot_destroy (adopted);
  lt_snapshot_destroy (drained);
  lt_snapshot_destroy (issued);
  lt_snapshot_destroy (sheet);
}

// Guards against operators draining a service below its floor by mistake.
TEST (Edit, KeepsTheFloorWhenDraining)
{
  lt_snapshot_t *now = parse_example ("kovacic");
  lt_edit_t edit = edit_at (1);
  // Orders has 12 equal upstreams and a floor of 50%.
  for (int i = 1; i <= 7; i++)
    {
      std::string name = "orders-" + std::to_string (i);
      lt_snapshot_t *next = nullptr;
      int err = lt_edit_set_drained (now, &edit, str_from (name.c_str ()),
                                     true, false, &next);
      EXPECT_EQ (i <= 6 ? 0 : -LT_ERANGE, err) << name;
      if (i == 7)
        {
          EXPECT_EQ (0,
                     lt_edit_set_drained (now, &edit, str_from (name.c_str ()),
                                          true, true, &next));
        }
      lt_snapshot_destroy (now);
      now = next;
    }
  lt_snapshot_t *none = nullptr;
  EXPECT_EQ (-LT_EEXISTS,
             lt_edit_set_drained (now, &edit, str_from ("orders-1"), true,
                                  false, &none));
  EXPECT_EQ (-LT_ENOTFOUND,
             lt_edit_set_drained (now, &edit, str_from ("orders-99"), true,
                                  false, &none));
  lt_snapshot_destroy (now);
}
