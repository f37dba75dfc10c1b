// Guards docs/reference.md against drifting away from the code.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "lt/node/refusal.h"

static std::string
read_reference ()
{
  std::ifstream in (LT_SOURCE_DIR "/docs/reference.md");
  std::stringstream out;
  out << in.rdbuf ();
  return out.str ();
}

// Guards against a refusal that callers cannot look up, or one listed with
// another status or certainty than it has.
TEST (Reference, ListsEveryRefusal)
{
  std::string text = read_reference ();
  for (int i = 0; i < LT_REFUSAL_COUNT; i++)
    {
      const lt_refusal_info_t *info = lt_refusal_get ((lt_refusal_t)i);
      std::string row = std::string ("| `") + info->reason + "` | "
                        + std::to_string (info->status) + " | "
                        + lt_ran_text (info->ran) + " | ";
      EXPECT_NE (std::string::npos, text.find (row)) << row;
    }
}

// Guards against a setting of the daemon that is not listed.
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
