#include "lt/base/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"

enum
{
  LOG_LINE_BYTES = 1024,
  /* A fleet member at the target size ends 75 requests a second; a flood from
     one place must not hide the others.  */
  LOG_SITE_LINES_PER_S = 100,
  LOG_SITE_BURST = 200
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static lt_log_level_t log_level = LT_LOG_INFO;
static int log_fd = STDOUT_FILENO;
static lt_log_counts_t counts;

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

lt_log_counts_t
lt_log_get_counts (void)
{
  return counts;
}

void
lt_log_set_fd (int fd)
{
  log_fd = fd;
}

/* Returns whether SITE may write one more line.  */
static bool
take_token (lt_log_site_t *site)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  int64_t now_us = now.tv_sec * LT_US_PER_S + now.tv_nsec / 1000;
  if (site->filled_us == 0)
    site->tokens = LOG_SITE_BURST;
  else
    site->tokens += (double)(now_us - site->filled_us) * LOG_SITE_LINES_PER_S
                    / LT_US_PER_S;
  site->filled_us = now_us;
  if (site->tokens > LOG_SITE_BURST)
    site->tokens = LOG_SITE_BURST;
  if (site->tokens < 1)
    return false;
  site->tokens -= 1;
  return true;
}

/* A pipe that is ready takes PIPE_BUF bytes, more than a line has, at once. */
static bool
write_line (const char *line, size_t len)
{
  struct pollfd ready = { .fd = log_fd, .events = POLLOUT };
  if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    return false;
  return write (log_fd, line, len) == (ssize_t)len;
}

static size_t
format_head (char *line, const lt_log_site_t *site, lt_log_level_t level,
             const char *component)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  struct tm utc;
  gmtime_r (&now.tv_sec, &utc);
  char stamp[32];
  strftime (stamp, sizeof (stamp), "%Y-%m-%dT%H:%M:%S", &utc);
  const char *slash = strrchr (site->file, '/');
  int len = snprintf (line, LOG_LINE_BYTES,
                      "time=%s.%03ldZ level=%s component=%s at=%s:%d ", stamp,
                      now.tv_nsec / 1000000, level_names[level], component,
                      slash == NULL ? site->file : slash + 1, site->line);
  if (site->dropped > 0)
    len += snprintf (line + len, LOG_LINE_BYTES - (size_t)len, "dropped=%llu ",
                     (unsigned long long)site->dropped);
  return (size_t)len;
}

void
lt_log_write (lt_log_site_t *site, lt_log_level_t level, const char *component,
              const char *format, ...)
{
  if (level > log_level)
    return;
  if (!take_token (site))
    {
      site->dropped++;
      counts.over_bound++;
      return;
    }
  char line[LOG_LINE_BYTES];
  size_t len = format_head (line, site, level, component);
  va_list args;
  va_start (args, format);
  int text = vsnprintf (line + len, sizeof (line) - len, format, args);
  va_end (args);
  len += text < 0 ? 0 : (size_t)text;
  if (len > sizeof (line) - 1)
    len = sizeof (line) - 1;
  line[len++] = '\n';
  if (write_line (line, len))
    {
      site->dropped = 0;
      counts.written++;
      return;
    }
  site->dropped++;
  counts.blocked++;
}
