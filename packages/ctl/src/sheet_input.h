/** @file
    Sheets that commands read, and the day they must be for.  */
#ifndef LT_CTL_SHEET_INPUT_H
#define LT_CTL_SHEET_INPUT_H

#include "lt/ctl/ctl.h"

enum
{
  LT_CTL_DAY_BYTES = 11
};

/** Reads the file NAME, or standard input for "-".  Returns LT_CTL_DONE, or
    LT_CTL_FINDINGS after printing why.  */
int lt_ctl_read_sheet (lt_ctl_t *ctl, const char *name, lt_buf_t *text);
/** Writes DAY, or the local date when it is NULL, or "" for "any".  */
void lt_ctl_sheet_day (const char *day, char out[LT_CTL_DAY_BYTES]);

#endif
