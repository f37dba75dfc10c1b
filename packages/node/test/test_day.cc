// An operator's day on a fleet of three VMs, as a golden session.
#include "day.h"

// Guards against parts that work alone and not together: what an operator and
// callers see from the first sheet of the day to an outage of the store.
TEST (Day, MatchesGoldenSession) { DaySession ("day.session").run (); }
