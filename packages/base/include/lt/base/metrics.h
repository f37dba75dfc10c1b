/** @file
    Counters, gauges and latency histograms, exported as Prometheus text.
    Series live as long as the registry; a handle is looked up once and then
    updated without a search.  */
#ifndef LT_BASE_METRICS_H
#define LT_BASE_METRICS_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_metrics lt_metrics_t;

  typedef struct lt_counter
  {
    uint64_t value;
  } lt_counter_t;

  typedef struct lt_gauge
  {
    double value;
  } lt_gauge_t;

/** Log-linear histogram of microseconds: 16 linear steps per power of two, so
    a quantile is off by at most 1/16.  */
#define LT_HISTOGRAM_STEPS 16
#define LT_HISTOGRAM_POWERS 32

  typedef struct lt_histogram
  {
    uint64_t counts[LT_HISTOGRAM_POWERS * LT_HISTOGRAM_STEPS];
    uint64_t count;
    double sum_us;
  } lt_histogram_t;

  lt_metrics_t *lt_metrics_create (void);
  void lt_metrics_destroy (lt_metrics_t *metrics);

  /** Returns the series NAME{LABELS}, made on first use.  LABELS is the text
      between the braces, such as reason="rate-limited", or "".  The registry
      owns the result.  */
  lt_counter_t *lt_metrics_counter (lt_metrics_t *metrics, const char *name,
                                    const char *help, const char *labels);
  lt_gauge_t *lt_metrics_gauge (lt_metrics_t *metrics, const char *name,
                                const char *help, const char *labels);
  lt_histogram_t *lt_metrics_histogram (lt_metrics_t *metrics,
                                        const char *name, const char *help,
                                        const char *labels);
  /** Appends all series in Prometheus text format.  */
  void lt_metrics_print (const lt_metrics_t *metrics, lt_buf_t *out);

  void lt_histogram_add (lt_histogram_t *histogram, int64_t value_us);
  /** Returns the upper bound in microseconds of the bucket that holds quantile
      Q in [0, 1]; 0 when the histogram is empty.  */
  int64_t lt_histogram_quantile (const lt_histogram_t *histogram, double q);

#ifdef __cplusplus
}
#endif

#endif
