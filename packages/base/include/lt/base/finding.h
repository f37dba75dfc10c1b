/** @file
    Lists of findings: faults in one input, collected with their place and
    reported together.  */
#ifndef LT_BASE_FINDING_H
#define LT_BASE_FINDING_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_severity
  {
    LT_SEVERITY_WARNING,
    LT_SEVERITY_ERROR
  } lt_severity_t;

  /** One fault.  ROW is 1-based, 0 when the fault has no row.  */
  typedef struct lt_finding
  {
    lt_severity_t severity;
    char *source; /**< File, flag or variable name. */
    int row;
    char *column;   /**< Column name, may be empty. */
    char *value;    /**< Offending value, may be empty. */
    char *expected; /**< What was expected. */
  } lt_finding_t;

  /** A growing list; zero-initialized means empty.  */
  typedef struct lt_findings
  {
    lt_finding_t *items;
    size_t count;
    size_t cap;
  } lt_findings_t;

  /** Adds a finding; copies all texts.  */
  void lt_findings_add (lt_findings_t *list, lt_severity_t severity,
                        str_t source, int row, str_t column, str_t value,
                        const char *expected_format, ...)
      __attribute__ ((format (printf, 7, 8)));
  /** Returns how many findings are errors.  */
  size_t lt_findings_errors (const lt_findings_t *list);
  /** Appends one line per finding: source:row: severity: column: ...  */
  void lt_findings_print (const lt_findings_t *list, lt_buf_t *out);
  void lt_findings_destroy (lt_findings_t *list);

#ifdef __cplusplus
}
#endif

#endif
