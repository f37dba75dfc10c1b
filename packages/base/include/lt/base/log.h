/** @file
    Structured log lines (logfmt) on standard output: time, level, component,
    place, then key=value pairs.  A line that would block is dropped, and each
    place in the code writes a bounded number of lines a second; both are
    counted.  Keys of callers and bodies are never logged.  */
#ifndef LT_BASE_LOG_H
#define LT_BASE_LOG_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_log_level
  {
    LT_LOG_ERROR,
    LT_LOG_WARN,
    LT_LOG_INFO,
    LT_LOG_DEBUG
  } lt_log_level_t;

  void lt_log_set_level (lt_log_level_t level);
  /** Parses "error", "warn", "info" or "debug".  Returns 0 or -LT_EINVAL.  */
  int lt_log_parse_level (str_t text, lt_log_level_t *level);
  /** A place in the code that logs.  */
  typedef struct lt_log_site
  {
    const char *file;
    int line;
    double tokens;     /**< Lines that may be written now. */
    int64_t filled_us; /**< 0: never used. */
    uint64_t dropped;  /**< Since the last line that was written. */
  } lt_log_site_t;

  /** Lines since the start of the process.  */
  typedef struct lt_log_counts
  {
    uint64_t written;
    uint64_t over_bound; /**< Dropped: too many from one place. */
    uint64_t blocked;    /**< Dropped: the reader is too slow. */
  } lt_log_counts_t;

  lt_log_counts_t lt_log_get_counts (void);
  /** Writes to FD in place of standard output; for tests.  */
  void lt_log_set_fd (int fd);
  void lt_log_write (lt_log_site_t *site, lt_log_level_t level,
                     const char *component, const char *format, ...)
      __attribute__ ((format (printf, 4, 5)));

/** Logs a message and key=value pairs: lt_log (LT_LOG_INFO, "config",
    "msg=\"snapshot applied\" version=%lld", v).  */
#define lt_log(level, component, ...)                                         \
  do                                                                          \
    {                                                                         \
      static lt_log_site_t lt_log_site_here                                   \
          = { __FILE__, __LINE__, 0, 0, 0 };                                  \
      lt_log_write (&lt_log_site_here, (level), (component), __VA_ARGS__);    \
    }                                                                         \
  while (0)

#ifdef __cplusplus
}
#endif

#endif
