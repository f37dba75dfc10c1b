#include "lt/base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "lt/base/error.h"

enum
{
  LOG_LINE_BYTES = 1024
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static lt_log_level_t log_level = LT_LOG_INFO;

void
lt_log_set_level (lt_log_level_t level)
{
  log_level = level;
}

int
lt_log_parse_level (str_t text, lt_log_level_t *level)
{
  for (size_t i = 0; i < sizeof (level_names) / sizeof (level_names[0]); i++)
    if (str_equal (text, str_from (level_names[i])))
      {
        *level = (lt_log_level_t)i;
        return 0;
      }
  return -LT_EINVAL;
}

void
lt_log_write (lt_log_level_t level, const char *component, const char *file,
              int line, const char *format, ...)
{
  if (level > log_level)
    return;
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  struct tm utc;
  gmtime_r (&now.tv_sec, &utc);
  char stamp[32];
  strftime (stamp, sizeof (stamp), "%Y-%m-%dT%H:%M:%S", &utc);
  const char *slash = strrchr (file, '/');
  char text[LOG_LINE_BYTES];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof (text), format, args);
  va_end (args);
  fprintf (stderr, "time=%s.%03ldZ level=%s component=%s at=%s:%d %s\n", stamp,
           now.tv_nsec / 1000000, level_names[level], component,
           slash == NULL ? file : slash + 1, line, text);
}
