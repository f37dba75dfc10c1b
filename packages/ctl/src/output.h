/** @file
    Tables, findings and JSON for people and programs.  */
#ifndef LT_CTL_OUTPUT_H
#define LT_CTL_OUTPUT_H

#include <jansson.h>

#include "lt/base/finding.h"
#include "lt/ctl/ctl.h"

/** A column of a table: header, and the member of the row objects.  */
typedef struct lt_ctl_column
{
  const char *header;
  const char *member;
} lt_ctl_column_t;

/** Prints one line per object of the array ROWS.  */
void lt_ctl_print_table (lt_ctl_t *ctl, const json_t *rows,
                         const lt_ctl_column_t *columns, size_t count);
void lt_ctl_print_json (lt_ctl_t *ctl, const json_t *value);
/** Prints the findings of an answer; SOURCE replaces the server's name for the
    sheet when it is not empty.  */
void lt_ctl_print_findings (lt_ctl_t *ctl, const json_t *findings,
                            const char *source);
/** Returns findings as an array of objects.  */
json_t *lt_ctl_findings_json (const lt_findings_t *findings);
/** Returns a member of OBJECT as text, "" when it is none.  */
const char *lt_ctl_text (const json_t *object, const char *member);
int64_t lt_ctl_number (const json_t *object, const char *member);

#endif
