#include "lt/base/metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum series_kind
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HISTOGRAM
} series_kind_t;

typedef struct series
{
  struct series *next;
  char *labels;
  union
  {
    lt_counter_t counter;
    lt_gauge_t gauge;
    lt_histogram_t *histogram;
  } u;
} series_t;

typedef struct family
{
  struct family *next;
  char *name;
  char *help;
  series_kind_t kind;
  series_t *series;
  series_t **tail;
} family_t;

struct lt_metrics
{
  family_t *families;
  family_t **tail;
};

static const char *const kind_names[] = { "counter", "gauge", "histogram" };

/* Upper bounds of the exported buckets; the inner histogram is finer.  */
static const int64_t export_bounds_us[]
    = { 250,   500,    1000,   1900,   2500,    5000,    10000,   25000,
        50000, 100000, 250000, 500000, 1000000, 2500000, 10000000 };

lt_metrics_t *
lt_metrics_create (void)
{
  lt_metrics_t *metrics = lt_alloc (sizeof (*metrics));
  metrics->tail = &metrics->families;
  return metrics;
}

static void
family_destroy (family_t *family)
{
  series_t *series = family->series;
  while (series != NULL)
    {
      series_t *next = series->next;
      if (family->kind == SERIES_HISTOGRAM)
        free (series->u.histogram);
      free (series->labels);
      free (series);
      series = next;
    }
  free (family->name);
  free (family->help);
  free (family);
}

void
lt_metrics_destroy (lt_metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  family_t *family = metrics->families;
  while (family != NULL)
    {
      family_t *next = family->next;
      family_destroy (family);
      family = next;
    }
  free (metrics);
}

static family_t *
family_get (lt_metrics_t *metrics, const char *name, const char *help,
            series_kind_t kind)
{
  for (family_t *f = metrics->families; f != NULL; f = f->next)
    if (strcmp (f->name, name) == 0)
      return f;
  family_t *family = lt_alloc (sizeof (*family));
  family->name = str_dup (str_from (name));
  family->help = str_dup (str_from (help));
  family->kind = kind;
  family->tail = &family->series;
  *metrics->tail = family;
  metrics->tail = &family->next;
  return family;
}

static series_t *
series_get (lt_metrics_t *metrics, const char *name, const char *help,
            series_kind_t kind, const char *labels)
{
  family_t *family = family_get (metrics, name, help, kind);
  for (series_t *s = family->series; s != NULL; s = s->next)
    if (strcmp (s->labels, labels) == 0)
      return s;
  series_t *series = lt_alloc (sizeof (*series));
  series->labels = str_dup (str_from (labels));
  if (kind == SERIES_HISTOGRAM)
    series->u.histogram = lt_alloc (sizeof (lt_histogram_t));
  *family->tail = series;
  family->tail = &series->next;
  return series;
}

lt_counter_t *
lt_metrics_counter (lt_metrics_t *metrics, const char *name, const char *help,
                    const char *labels)
{
  return &series_get (metrics, name, help, SERIES_COUNTER, labels)->u.counter;
}

lt_gauge_t *
lt_metrics_gauge (lt_metrics_t *metrics, const char *name, const char *help,
                  const char *labels)
{
  return &series_get (metrics, name, help, SERIES_GAUGE, labels)->u.gauge;
}

lt_histogram_t *
lt_metrics_histogram (lt_metrics_t *metrics, const char *name,
                      const char *help, const char *labels)
{
  return series_get (metrics, name, help, SERIES_HISTOGRAM, labels)
      ->u.histogram;
}

static int
bucket_index (int64_t value_us)
{
  if (value_us < LT_HISTOGRAM_STEPS)
    return value_us < 0 ? 0 : (int)value_us;
  int power = 63 - __builtin_clzll ((unsigned long long)value_us);
  int step = (int)((value_us >> (power - 4)) & (LT_HISTOGRAM_STEPS - 1));
  int index = (power - 3) * LT_HISTOGRAM_STEPS + step;
  int last = LT_HISTOGRAM_POWERS * LT_HISTOGRAM_STEPS - 1;
  return index > last ? last : index;
}

static int64_t
bucket_upper_us (int index)
{
  if (index < LT_HISTOGRAM_STEPS)
    return index;
  int power = index / LT_HISTOGRAM_STEPS + 3;
  int64_t step = index % LT_HISTOGRAM_STEPS;
  return ((LT_HISTOGRAM_STEPS + step + 1) << (power - 4)) - 1;
}

void
lt_histogram_add (lt_histogram_t *histogram, int64_t value_us)
{
  histogram->counts[bucket_index (value_us)]++;
  histogram->count++;
  histogram->sum_us += (double)value_us;
}

int64_t
lt_histogram_quantile (const lt_histogram_t *histogram, double q)
{
  if (histogram->count == 0)
    return 0;
  double rank = q * (double)histogram->count;
  uint64_t seen = 0;
  for (int i = 0; i < LT_HISTOGRAM_POWERS * LT_HISTOGRAM_STEPS; i++)
    {
      seen += histogram->counts[i];
      if (seen > 0 && (double)seen >= rank)
        return bucket_upper_us (i);
    }
  return bucket_upper_us (LT_HISTOGRAM_POWERS * LT_HISTOGRAM_STEPS - 1);
}

static void
print_bucket (lt_buf_t *out, const char *name, const char *labels,
              const char *bound, uint64_t count)
{
  lt_buf_printf (out, "%s_bucket{%s%sle=\"%s\"} %" PRIu64 "\n", name, labels,
                 labels[0] == '\0' ? "" : ",", bound, count);
}

static void
print_histogram (lt_buf_t *out, const char *name, const char *labels,
                 const lt_histogram_t *histogram)
{
  uint64_t seen = 0;
  int index = 0;
  size_t bounds = sizeof (export_bounds_us) / sizeof (export_bounds_us[0]);
  for (size_t b = 0; b < bounds; b++)
    {
      while (index < LT_HISTOGRAM_POWERS * LT_HISTOGRAM_STEPS
             && bucket_upper_us (index) <= export_bounds_us[b])
        seen += histogram->counts[index++];
      char bound[32];
      snprintf (bound, sizeof (bound), "%g",
                (double)export_bounds_us[b] / 1e6);
      print_bucket (out, name, labels, bound, seen);
    }
  print_bucket (out, name, labels, "+Inf", histogram->count);
  const char *open = labels[0] == '\0' ? "" : "{";
  const char *close = labels[0] == '\0' ? "" : "}";
  lt_buf_printf (out, "%s_sum%s%s%s %g\n", name, open, labels, close,
                 histogram->sum_us / 1e6);
  lt_buf_printf (out, "%s_count%s%s%s %" PRIu64 "\n", name, open, labels,
                 close, histogram->count);
}

static void
print_series (lt_buf_t *out, const family_t *family, const series_t *series)
{
  const char *open = series->labels[0] == '\0' ? "" : "{";
  const char *close = series->labels[0] == '\0' ? "" : "}";
  if (family->kind == SERIES_HISTOGRAM)
    print_histogram (out, family->name, series->labels, series->u.histogram);
  else if (family->kind == SERIES_COUNTER)
    lt_buf_printf (out, "%s%s%s%s %" PRIu64 "\n", family->name, open,
                   series->labels, close, series->u.counter.value);
  else
    lt_buf_printf (out, "%s%s%s%s %g\n", family->name, open, series->labels,
                   close, series->u.gauge.value);
}

void
lt_metrics_print (const lt_metrics_t *metrics, lt_buf_t *out)
{
  for (const family_t *f = metrics->families; f != NULL; f = f->next)
    {
      lt_buf_printf (out, "# HELP %s %s\n# TYPE %s %s\n", f->name, f->help,
                     f->name, kind_names[f->kind]);
      for (const series_t *s = f->series; s != NULL; s = s->next)
        print_series (out, f, s);
    }
}
