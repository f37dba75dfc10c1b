// Guards against logs that block the process, grow without bound under a
// flood, or lose lines without saying so.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <sstream>
#include <string>
#include <vector>

#include "lt/base/log.h"

namespace
{

class Log : public testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_EQ (0, pipe (ends));
    fcntl (ends[0], F_SETFL, O_NONBLOCK);
    lt_log_set_fd (ends[1]);
    lt_log_set_level (LT_LOG_INFO);
    before = lt_log_get_counts ();
  }

  void
  TearDown () override
  {
    lt_log_set_fd (STDOUT_FILENO);
    close (ends[0]);
    close (ends[1]);
  }

  std::vector<std::string>
  lines ()
  {
    std::string text;
    char bytes[65536];
    ssize_t got;
    while ((got = read (ends[0], bytes, sizeof (bytes))) > 0)
      text.append (bytes, (size_t)got);
    std::vector<std::string> all;
    std::istringstream in (text);
    for (std::string line; std::getline (in, line);)
      all.push_back (line);
    return all;
  }

  int ends[2];
  lt_log_counts_t before;
};

TEST_F (Log, WritesOneLineOfPairs)
{
  lt_log (LT_LOG_WARN, "test", "msg=\"two words\" number=%d", 7);
  lt_log (LT_LOG_DEBUG, "test", "msg=\"below the level\"");
  std::vector<std::string> all = lines ();
  ASSERT_EQ (1u, all.size ());
  EXPECT_EQ (0u, all[0].find ("time="));
  EXPECT_NE (std::string::npos,
             all[0].find (" level=warn component=test at=test_log.cc:"));
  EXPECT_NE (std::string::npos, all[0].find (" msg=\"two words\" number=7"));
}

TEST_F (Log, AFloodFromOnePlaceIsBoundedAndCounted)
{
  for (int i = 0; i < 5000; i++)
    {
      lt_log (LT_LOG_INFO, "test", "msg=flood i=%d", i);
      if (i % 50 == 0)
        lines ();
    }
  lt_log_counts_t after = lt_log_get_counts ();
  uint64_t written = after.written - before.written;
  EXPECT_GT (written, 100u);
  EXPECT_LT (written, 1000u);
  EXPECT_EQ (5000u, written + after.over_bound - before.over_bound);
  // Another place is heard all the same.
  lines ();
  lt_log (LT_LOG_INFO, "test", "msg=other");
  EXPECT_EQ (1u, lines ().size ());
}

// A reader that has stopped must not stop the process.
TEST_F (Log, AFullPipeLosesLinesAndSaysSo)
{
  std::string padding (900, 'x');
  for (int i = 0; i < 150; i++)
    lt_log (LT_LOG_INFO, "test", "msg=long text=%s", padding.c_str ());
  lt_log_counts_t after = lt_log_get_counts ();
  EXPECT_GT (after.blocked, before.blocked);
  size_t kept = lines ().size ();
  EXPECT_EQ (after.written - before.written, kept);
  for (int round = 0; round < 2; round++)
    lt_log (LT_LOG_INFO, "test", "msg=after round=%d", round);
  EXPECT_EQ (2u, lines ().size ());
}

TEST_F (Log, TheNextLineSaysHowManyWereDropped)
{
  std::string padding (900, 'x');
  std::vector<std::string> all;
  for (int i = 0; i < 151; i++)
    {
      if (i == 150)
        lines ();
      lt_log (LT_LOG_INFO, "test", "msg=long text=%s", padding.c_str ());
    }
  all = lines ();
  ASSERT_EQ (1u, all.size ());
  EXPECT_NE (std::string::npos, all[0].find (" dropped="));
}

TEST_F (Log, AnOverlongLineIsCut)
{
  std::string padding (5000, 'x');
  lt_log (LT_LOG_INFO, "test", "msg=%s", padding.c_str ());
  std::vector<std::string> all = lines ();
  ASSERT_EQ (1u, all.size ());
  EXPECT_LE (all[0].size (), 1024u);
}

} // namespace
