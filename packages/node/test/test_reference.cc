// Compares the tables of docs/reference.md with the code, and the tests named
// in docs/faults.md and docs/invariants.md with the tests that exist.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

#include "fleet.h"
#include "lt/node/refusal.h"

static std::string
read_reference ()
{
  std::ifstream in (LT_SOURCE_DIR "/docs/reference.md");
  std::stringstream out;
  out << in.rdbuf ();
  return out.str ();
}

// Returns the rows of the first table whose first line starts with HEADER.
static std::string
table_rows (const std::string &text, const std::string &header)
{
  size_t start = text.find (header);
  if (start == std::string::npos)
    return "";
  start = text.find ('\n', text.find ('\n', start) + 1) + 1;
  size_t end = text.find ("\n\n", start);
  return text.substr (start, end == std::string::npos ? end : end + 1 - start);
}

// Guards against a refusal that the page lacks, one listed with a wrong status
// or run state, and one that no longer exists.
TEST (Reference, ListsEveryRefusal)
{
  std::string expected;
  for (int i = 0; i < LT_REFUSAL_COUNT; i++)
    {
      const lt_refusal_info_t *info = lt_refusal_get ((lt_refusal_t)i);
      expected
          += std::string ("| `") + info->reason + "` | "
             + std::to_string (info->status) + " | "
             + lt_run_state_text (info->ran) + " | "
             + (info->retry_after_s > 0 ? std::to_string (info->retry_after_s)
                                        : "")
             + " | " + info->title + " |\n";
    }
  EXPECT_EQ (expected, table_rows (read_reference (), "| reason | status |"));
}

// Guards against a setting of the daemon that the page lacks.
TEST (Reference, ListsEverySetting)
{
  std::string text = read_reference ();
  std::ifstream in (LT_SOURCE_DIR "/packages/node/src/settings.c");
  std::string line;
  int count = 0;
  while (std::getline (in, line))
    {
      size_t name = line.find ("  { \"");
      size_t kind = line.find ("\", SETTING_");
      if (name != 0 || kind == std::string::npos)
        continue;
      std::string variable = "`LAVENDERTRACK_";
      for (char c : line.substr (5, kind - 5))
        variable += c == '-' ? '_' : (char)toupper (c);
      EXPECT_NE (std::string::npos, text.find (variable + "`")) << variable;
      count++;
    }
  EXPECT_GT (count, 10);
}

// Returns the rows that the table of metrics must have for METRICS, in
// Prometheus text format: each series with its label names, and its help text.
static std::string
counter_rows (const std::string &metrics)
{
  std::map<std::string, std::string> help, labels;
  std::istringstream lines (metrics);
  for (std::string line; std::getline (lines, line);)
    {
      size_t space = line.find (' ', 7);
      size_t brace = line.find ('{');
      if (line.rfind ("# HELP ", 0) == 0)
        help[line.substr (7, space - 7)] = line.substr (space + 1);
      else if (line[0] != '#' && brace != std::string::npos)
        labels[line.substr (0, brace)]
            = line.substr (brace, line.find ('"') - brace) + "}";
    }
  std::string rows;
  for (const auto &h : help)
    rows += "| `" + h.first + labels[h.first] + "` | " + h.second + " |\n";
  return rows;
}

// Guards against a metric that the page lacks, one listed with another help
// text, and one that no longer exists.
TEST (Reference, ListsEveryCounter)
{
  Fleet fleet (1);
  for (const char *name : { "q1", "q2", "o1" })
    fleet.start_upstream (name);
  ASSERT_TRUE (fleet.wait_alive (0));
  CommandResult applied
      = fleet.ctl (0, { "apply", "--day", "any", fleet.sheet ("basic.csv") });
  ASSERT_EQ (0, applied.status) << applied.output;
  std::string metrics
      = fetch ("GET", "http://" + local (fleet.vms[0].admin_port) + "/metrics",
               {}, "")
            .body;
  std::string expected = counter_rows (metrics);
  ASSERT_NE (std::string::npos, expected.find ("lavendertrack_refused_total"));
  EXPECT_EQ (expected, table_rows (read_reference (), "| series | meaning |"));
}

// Guards against a fault or an invariant whose row names a test that does not
// exist.
TEST (Reference, PagesNameTestsThatExist)
{
  const std::regex name (
      "`([a-z]+)/(test_[a-z_]+\\.cc)`|`([A-Z][A-Za-z]+)\\.([A-Z][A-Za-z]+)`");
  for (const char *page : { "/docs/faults.md", "/docs/invariants.md" })
    {
      std::ifstream in (LT_SOURCE_DIR + std::string (page));
      std::string line;
      int tests = 0;
      while (std::getline (in, line))
        {
          std::string sources;
          std::vector<std::string> names;
          for (std::sregex_iterator m (line.begin (), line.end (), name), end;
               line[0] == '|' && m != end; ++m)
            if ((*m)[1].matched)
              sources += read_file (
                  LT_SOURCE_DIR
                  + std::string ((*m)[1].str () == "platform" ? "/"
                                                              : "/packages/")
                  + (*m)[1].str () + "/test/" + (*m)[2].str ());
            else
              names.push_back ("(" + (*m)[3].str () + ", " + (*m)[4].str ()
                               + ")");
          for (const std::string &n : names)
            EXPECT_NE (std::string::npos, sources.find (n)) << n << "\n"
                                                            << line;
          tests += static_cast<int> (names.size ());
        }
      EXPECT_GT (tests, 30) << page;
    }
}
