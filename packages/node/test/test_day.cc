// Compares the work of an operator's day on a fleet of three VMs with a golden
// session.
#include "day.h"

// Guards against failures in the interplay of the parts, as operators and
// callers would see them, from the day's first sheet to an outage of the
// store.
TEST (Day, MatchesGoldenSession) { DaySession ("day.session").run (); }
