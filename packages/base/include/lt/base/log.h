/** @file
    Structured log lines on stderr: time, level, component, then key=value
    pairs.  Keys of callers and bodies are never logged.  */
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
  void lt_log_write (lt_log_level_t level, const char *component,
                     const char *file, int line, const char *format, ...)
      __attribute__ ((format (printf, 5, 6)));

/** Logs a message and key=value pairs: lt_log (LT_LOG_INFO, "config",
    "msg=\"snapshot applied\" version=%lld", v).  */
#define lt_log(level, component, ...)                                         \
  lt_log_write ((level), (component), __FILE__, __LINE__, __VA_ARGS__)

#ifdef __cplusplus
}
#endif

#endif
