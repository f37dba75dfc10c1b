/** @file
    What commands that change the configuration have in common.  */
#ifndef LT_CTL_CHANGE_H
#define LT_CTL_CHANGE_H

#include <jansson.h>

#include "lt/ctl/ctl.h"

/** Prints an answer of /v1/config/diff.  */
void lt_ctl_print_diff (lt_ctl_t *ctl, const json_t *diff);
/** Posts a sheet to /v1/config/diff.  Returns LT_CTL_DONE with *DIFF owned by
    the caller, or the exit status after printing why.  */
int lt_ctl_fetch_diff (lt_ctl_t *ctl, str_t sheet, const char *day,
                       const char *source, json_t **diff);
/** Waits until VERSION is in force on all VMs that are heard of.  Prints and
    returns LT_CTL_DONE or LT_CTL_NOT_IN_FORCE.  */
int lt_ctl_wait_in_force (lt_ctl_t *ctl, int64_t version);
/** Prints that a change is accepted and waits unless NO_WAIT.  */
int lt_ctl_finish_change (lt_ctl_t *ctl, const json_t *change, bool no_wait);

#endif
