// Golden sessions of one VM.
#include "golden.h"

class SessionTest : public testing::TestWithParam<const char *>
{
};

// Guards against any change of what a caller sees in a whole session.
TEST_P (SessionTest, MatchesGoldenFile)
{
  GoldenSession session (GetParam ());
  session.run ();
}

INSTANTIATE_TEST_SUITE_P (Files, SessionTest,
                          testing::Values ("basic.session"));
