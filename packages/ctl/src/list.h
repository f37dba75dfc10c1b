/** @file
    Commands that fetch an array and print it.  */
#ifndef LT_CTL_LIST_H
#define LT_CTL_LIST_H

#include "output.h"

/** Fetches TARGET and prints its member MEMBER as a table, or as JSON. Returns
    the exit status.  */
int lt_ctl_list (lt_ctl_t *ctl, const char *target, const char *member,
                 const lt_ctl_column_t *columns, size_t count);

#endif
