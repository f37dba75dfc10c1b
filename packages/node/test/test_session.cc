// Compares sessions of callers with a single VM with golden files.
#include "golden.h"

class SessionTest : public testing::TestWithParam<const char *>
{
};

// Guards against unintended changes in the responses that callers receive.
TEST_P (SessionTest, MatchesGoldenFile)
{
  GoldenSession session (GetParam ());
  session.run ();
}

INSTANTIATE_TEST_SUITE_P (Files, SessionTest,
                          testing::Values ("basic.session"));
