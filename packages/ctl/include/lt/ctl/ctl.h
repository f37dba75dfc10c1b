/** @file
    The operators' command line: settings, exit statuses, and the commands.  */
#ifndef LT_CTL_CTL_H
#define LT_CTL_CTL_H

#include <stdio.h>

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Exit statuses; listed in docs/reference.md.  */
  typedef enum lt_ctl_status
  {
    LT_CTL_DONE = 0,
    LT_CTL_REFUSED = 1,      /**< Refused; nothing changed. */
    LT_CTL_FINDINGS = 2,     /**< Usage error, or the sheet has findings. */
    LT_CTL_CONFLICT = 3,     /**< Another change came between. */
    LT_CTL_UNKNOWN = 4,      /**< The change may have taken effect. */
    LT_CTL_NOT_IN_FORCE = 5, /**< Accepted, not yet in force everywhere. */
    LT_CTL_UNAVAILABLE = 6   /**< No answer, or no store; nothing changed. */
  } lt_ctl_status_t;

  struct lt_deployment;
  struct lt_findings;

  /** Reads configurations in the format of a hosting platform.  */
  typedef struct lt_ctl_format
  {
    /** Reads TEXT; faults are added to FINDINGS with SOURCE as their source.
        Returns the configuration, whose members with faults are 0 or empty,
        or NULL when TEXT is not in the format at all.  *OWNER holds the memory
        until release.  */
    const struct lt_deployment *(*read) (str_t text, str_t source,
                                         struct lt_findings *findings,
                                         void **owner);
    void (*release) (void *owner);
  } lt_ctl_format_t;

  typedef struct lt_ctl
  {
    const char *admin;        /**< "ip:port" of a VM's admin server. */
    const char *operator_key; /**< From the environment only. */
    const char *author;
    bool json;
    int timeout_s;
    FILE *out;
    FILE *err;
    const lt_ctl_format_t *format; /**< NULL: none. */
  } lt_ctl_t;

  /** One command.  RUN gets the arguments from the command's name on.  */
  typedef struct lt_ctl_command
  {
    const char *name;
    const char *summary;
    int (*run) (lt_ctl_t *ctl, int argc, char **argv);
  } lt_ctl_command_t;

  /** Runs the command line; returns the exit status.  */
  int lt_ctl_main (lt_ctl_t *ctl, int argc, char **argv);

#ifdef __cplusplus
}
#endif

#endif
