// Guards the sheet parser: what spreadsheets write is read as meant, and every
// fault of a bad sheet is reported at once with row, column, value and what
// was expected.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <sstream>
#include <string>

#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/config/diff.h"
#include "lt/config/sheet.h"

extern "C"
{
#include "sheet_rows.h"
#include "sheet_value.h"
}

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

// Returns the findings of a sheet, or its rows in words when it has none.
static std::string
transcript (const std::string &text, size_t max_findings)
{
  lt_sheet_options_t options = {};
  options.source = str_from ("sheet.csv");
  options.today = str_from ("2026-12-04");
  options.max_findings = max_findings;
  lt_findings_t findings = {};
  lt_snapshot_t *snapshot = nullptr;
  lt_buf_t out = {};
  int err = lt_sheet_parse (str_make (text.data (), text.size ()), &options,
                            &findings, &snapshot);
  EXPECT_EQ (err == 0, lt_findings_errors (&findings) == 0);
  EXPECT_TRUE (err == 0 || err == -LT_EFINDINGS);
  if (err == 0)
    {
      lt_diff_t *diff = lt_diff_create (nullptr, snapshot);
      lt_diff_print (diff, 100, &out);
      lt_diff_destroy (diff);
      lt_snapshot_destroy (snapshot);
    }
  lt_findings_print (&findings, &out);
  lt_findings_destroy (&findings);
  return take (&out);
}

// Guards against lost, changed or shifted findings, and against a value that
// is read as something else than people meant.
TEST (Sheet, MatchesGoldenTranscripts)
{
  const char *names[]
      = { "good-messy", "good-tabs",     "bad-values", "bad-structure",
          "bad-empty",  "bad-truncated", "bad-header", "bad-day" };
  for (const char *name : names)
    {
      std::string base = std::string (LT_TEST_DIR "/golden/") + name;
      std::string got = transcript (read_file (base + ".csv"), 200);
      if (getenv ("LT_GOLDEN_DIR") != nullptr)
        std::ofstream (std::string (getenv ("LT_GOLDEN_DIR")) + "/" + name
                       + ".txt")
            << got;
      EXPECT_EQ (read_file (base + ".txt"), got) << name;
    }
}

// Guards against an example that no longer passes its own check.
TEST (Sheet, AcceptsExamples)
{
  for (const char *name : { "small", "kovacic", "regnly" })
    {
      std::string path
          = std::string (LT_SOURCE_DIR "/examples/") + name + ".csv";
      std::string got = transcript (read_file (path), 50);
      EXPECT_EQ (std::string::npos, got.find (": error: ")) << got;
      EXPECT_NE (std::string::npos, got.find ("upstream rows: ")) << got;
    }
}

// Guards against an endless list of findings and against losing their count.
TEST (Sheet, CountsFindingsBeyondTheLimit)
{
  std::string text = read_file (LT_TEST_DIR "/golden/bad-values.csv");
  std::string got = transcript (text, 5);
  EXPECT_EQ (6, std::count (got.begin (), got.end (), '\n'));
  EXPECT_NE (std::string::npos, got.find ("more findings are not listed"));
}

// Guards against a secret that is shown in a finding.
TEST (Sheet, NeverShowsSecrets)
{
  for (const char *name : { "bad-values", "bad-structure" })
    {
      std::string base = std::string (LT_TEST_DIR "/golden/") + name;
      std::string got = transcript (read_file (base + ".csv"), 500);
      for (const char *secret :
           { "short\"", "same-secret-1", "both-secret-1", "secret-key-1" })
        EXPECT_EQ (std::string::npos, got.find (secret)) << secret;
    }
}

// Guards against a cut sheet that passes as a smaller one: the row count and
// the quotes must give away a cut at any place that loses a row.
TEST (Sheet, RefusesEveryTruncation)
{
  std::string text = read_file (LT_SOURCE_DIR "/examples/small.csv");
  for (size_t len = 0; len < text.size (); len++)
    EXPECT_EQ (std::string::npos,
               transcript (text.substr (0, len), 50).find (" added, "))
        << len;
}

// Guards against limits that are off by a factor of 1000 or read as unlimited.
TEST (SheetValue, ReadsNumbers)
{
  struct
  {
    const char *text;
    int decimals, err;
    int64_t value;
  } cases[] = { { "2.5", 3, 0, 2500 },
                { "2,5", 3, 0, 2500 },
                { "2,50", 3, 0, 2500 },
                { "0,125", 3, 0, 125 },
                { "1.234,5", 3, 0, 1234500 },
                { "1,234.5", 3, 0, 1234500 },
                { "1,234,567", 3, 0, 1234567000 },
                { "1 234,567", 3, 0, 1234567 },
                { "1'234", 3, 0, 1234000 },
                { "1\xe2\x80\xaf"
                  "234",
                  3, 0, 1234000 },
                { "1234.567", 3, 0, 1234567 },
                { "1.234", 3, -LT_ECONFLICT, 0 },
                { "1,234", 3, -LT_ECONFLICT, 0 },
                { "1.234", 0, 0, 1234 },
                { "30,000", 0, 0, 30000 },
                { "3,0", 0, 0, 3 },
                { "3,5", 0, -LT_EINVAL, 0 },
                { "1,23,456", 0, -LT_EINVAL, 0 },
                { "1.234,567.8", 3, -LT_EINVAL, 0 },
                { "1,234 567", 0, -LT_EINVAL, 0 },
                { "1.2345", 3, -LT_EINVAL, 0 },
                { "1.2000", 3, 0, 1200 },
                { "1.", 3, -LT_EINVAL, 0 },
                { ".5", 3, -LT_EINVAL, 0 },
                { "", 0, -LT_EINVAL, 0 },
                { "-", 0, -LT_EINVAL, 0 },
                { "-5", 0, 0, -5 },
                { "1e3", 0, -LT_EINVAL, 0 },
                { "inf", 3, -LT_EINVAL, 0 },
                { "99999999999999999999", 0, -LT_ERANGE, 0 },
                { "9223372036854775.807", 3, -LT_ERANGE, 0 } };
  for (const auto &c : cases)
    {
      int64_t value = 0;
      int err = lt_value_number (str_from (c.text), c.decimals, &value);
      EXPECT_EQ (c.err, err) << c.text;
      if (c.err == 0)
        {
          EXPECT_EQ (c.value, value) << c.text;
        }
    }
}

// Guards against a planned stop an hour off, and against a time zone setting
// that leaks out of the conversion.
TEST (SheetValue, ReadsTimesWithoutChangingTheZone)
{
  struct
  {
    const char *text;
    int err;
    int64_t seconds;
  } cases[] = { { "2026-12-04 10:00Z", 0, 1796378400 },
                { "2026-12-04 10:00 Europe/Ljubljana", 0, 1796374800 },
                { "2026-12-04T10:00:30+01:00", 0, 1796374830 },
                { "2026-12-04 10:00 -0330", 0, 1796391000 },
                { "2026-03-29 01:59 Europe/Ljubljana", 0, 1774745940 },
                { "2026-03-29 02:00 Europe/Ljubljana", -LT_ENOTFOUND, 0 },
                { "2026-03-29 02:59 Europe/Ljubljana", -LT_ENOTFOUND, 0 },
                { "2026-03-29 03:00 Europe/Ljubljana", 0, 1774746000 },
                { "2026-10-25 01:59 Europe/Ljubljana", 0, 1792886340 },
                { "2026-10-25 02:00 Europe/Ljubljana", -LT_ECONFLICT, 0 },
                { "2026-10-25 02:59 Europe/Ljubljana", -LT_ECONFLICT, 0 },
                { "2026-10-25 03:00 Europe/Ljubljana", 0, 1792893600 },
                { "2026-04-05 01:45 Australia/Lord_Howe", -LT_ECONFLICT, 0 },
                { "2026-10-04 02:15 Australia/Lord_Howe", -LT_ENOTFOUND, 0 },
                { "2011-12-30 12:00 Pacific/Apia", -LT_ENOTFOUND, 0 },
                { "2026-12-04 10:00", -LT_EINVAL, 0 },
                { "2026-12-04 10:00 Europe/Nowhere", -LT_EINVAL, 0 },
                { "2026-12-04 10:00 ../Europe/Ljubljana", -LT_EINVAL, 0 },
                { "2026-12-04 10:00 Europe", -LT_EINVAL, 0 },
                { "2026-02-29 10:00Z", -LT_EINVAL, 0 },
                { "2026-12-04 24:00Z", -LT_EINVAL, 0 },
                { "2026-12-04", -LT_EINVAL, 0 },
                { "", -LT_EINVAL, 0 } };
  setenv ("TZ", "America/New_York", 1);
  tzset ();
  for (const auto &c : cases)
    {
      int64_t wall_us = 0;
      EXPECT_EQ (c.err, lt_value_time (str_from (c.text), &wall_us)) << c.text;
      if (c.err == 0)
        {
          EXPECT_EQ (c.seconds * 1000000, wall_us) << c.text;
        }
    }
  EXPECT_STREQ ("America/New_York", getenv ("TZ"));
  time_t noon = 1796378400;
  struct tm tm;
  EXPECT_EQ (5, localtime_r (&noon, &tm)->tm_hour);
  unsetenv ("TZ");
  tzset ();
}

// Guards against reading past damaged text, and against damage that is
// accepted by the checks but not by the snapshot.
TEST (Sheet, SurvivesRandomDamage)
{
  const char bytes[] = "\",;|\t\r\n 0-:./*\xff";
  std::string sources[]
      = { read_file (LT_TEST_DIR "/golden/good-messy.csv"),
          read_file (LT_SOURCE_DIR "/examples/kovacic.csv") };
  lt_rng_t rng;
  lt_rng_init (&rng, 5);
  int accepted = 0;
  for (int i = 0; i < 3000; i++)
    {
      std::string text = sources[i % 2];
      for (uint64_t n = lt_rng_below (&rng, 3); n <= 2; n++)
        text[lt_rng_below (&rng, text.size ())]
            = bytes[lt_rng_below (&rng, sizeof (bytes))];
      std::string got = transcript (text, 20);
      EXPECT_EQ (std::string::npos, got.find ("rows that are consistent"))
          << i << got;
      accepted += got.find (" added, ") != std::string::npos;
    }
  EXPECT_GT (accepted, 0);
  EXPECT_LT (accepted, 3000);
}

// Guards against a column that docs/reference.md does not explain.
TEST (Sheet, ReferenceListsEveryColumn)
{
  std::string text = read_file (LT_SOURCE_DIR "/docs/reference.md");
  for (int i = 0; i < LT_COLUMN_COUNT; i++)
    {
      std::string name = lt_column_name ((lt_column_t)i);
      bool cell = text.find ("| " + name + " |") != std::string::npos
                  || text.find ("| " + name + ", ") != std::string::npos
                  || text.find (", " + name + " |") != std::string::npos
                  || text.find ("`" + name + "`") != std::string::npos;
      EXPECT_TRUE (cell) << name;
    }
}
