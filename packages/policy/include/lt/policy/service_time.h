/** @file
    Time that upstreams take for the requests of a route: exponentially
    weighted averages of the time and of its deviation (RFC 6298, section 2).

    The module does no I/O.  */
#ifndef LT_POLICY_SERVICE_TIME_H
#define LT_POLICY_SERVICE_TIME_H

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

/** Routes remembered; a power of two.  Routes with the same slot share it.  */
#define LT_SERVICE_TIME_ROUTES 256

  typedef struct lt_service_time
  {
    uint64_t route;
    double mean_us;      /**< 0: none. */
    double deviation_us; /**< Mean absolute deviation from the mean. */
  } lt_service_time_t;

  typedef struct lt_service_times
  {
    lt_service_time_t routes[LT_SERVICE_TIME_ROUTES];
  } lt_service_times_t;

  /** Returns the mean of ROUTE, the hash of its name, in microseconds; 0 when
      no request of it was answered yet.  */
  double lt_service_times_mean_us (const lt_service_times_t *times,
                                   uint64_t route);
  /** Returns a time that few requests exceed; 0 when there is no mean.  */
  double lt_service_times_likely_us (const lt_service_times_t *times,
                                     uint64_t route);
  /** Adds a request of ROUTE that took SAMPLE_US.  WEIGHT is that of the
      sample in the mean, between 0 and 1.  */
  void lt_service_times_add (lt_service_times_t *times, uint64_t route,
                             int64_t sample_us, double weight);

#ifdef __cplusplus
}
#endif

#endif
