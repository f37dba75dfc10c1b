/** @file
    The story of one request, read from the logs of several VMs.  */
#ifndef LT_CTL_STORY_H
#define LT_CTL_STORY_H

#include "lt/ctl/ctl.h"

/** Prints, in order of time, the lines of the COUNT log files at PATHS that
    name REQUEST, and with their age the last lines before its end that tell
    what a VM estimated or read of an upstream that the request met, and which
    versions of the register a VM held that had the request.  A path "-" is the
    standard input.  Returns LT_CTL_DONE, or LT_CTL_REFUSED when a file cannot
    be read or no line names the request.  */
int lt_ctl_story (lt_ctl_t *ctl, const char *request, const char *const *paths,
                  int count);

#endif
