#include "lt/policy/service_time.h"

#include <math.h>

/* Deviation after the first sample, as a share of it (RFC 6298).  */
#define FIRST_DEVIATION_SHARE 0.5
/* Few requests take longer than the mean and this many deviations.  */
#define LIKELY_DEVIATIONS 2

static const lt_service_time_t *
find (const lt_service_times_t *times, uint64_t route)
{
  static const lt_service_time_t unknown = { 0 };
  const lt_service_time_t *time
      = &times->routes[route % LT_SERVICE_TIME_ROUTES];
  return time->route == route ? time : &unknown;
}

double
lt_service_times_mean_us (const lt_service_times_t *times, uint64_t route)
{
  return find (times, route)->mean_us;
}

double
lt_service_times_likely_us (const lt_service_times_t *times, uint64_t route)
{
  const lt_service_time_t *time = find (times, route);
  return time->mean_us + LIKELY_DEVIATIONS * time->deviation_us;
}

void
lt_service_times_add (lt_service_times_t *times, uint64_t route,
                      int64_t sample_us, double weight)
{
  lt_service_time_t *time = &times->routes[route % LT_SERVICE_TIME_ROUTES];
  double sample = (double)sample_us;
  if (time->route != route || time->mean_us <= 0)
    {
      *time = (lt_service_time_t){ route, sample,
                                   sample * FIRST_DEVIATION_SHARE };
      return;
    }
  time->deviation_us
      += weight * (fabs (sample - time->mean_us) - time->deviation_us);
  time->mean_us += weight * (sample - time->mean_us);
}
