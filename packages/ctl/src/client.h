/** @file
    Requests to a VM's admin server.  */
#ifndef LT_CTL_CLIENT_H
#define LT_CTL_CLIENT_H

#include <jansson.h>

#include "lt/ctl/ctl.h"

typedef struct lt_ctl_answer
{
  int status; /**< HTTP status. */
  json_t *body;
} lt_ctl_answer_t;

/** Sends one request.  TARGET is the path with query, already escaped.
    Returns 0; -LT_EUNAVAILABLE when nothing was sent; -LT_EUNKNOWN when the
    request may have been received and its answer is lost or no JSON.  Faults
    are printed to ctl->err.  */
int lt_ctl_request (lt_ctl_t *ctl, const char *method, const char *target,
                    str_t body, lt_ctl_answer_t *answer);
void lt_ctl_answer_clear (lt_ctl_answer_t *answer);
/** Returns PREFIX, the escaped NAME and SUFFIX, owned by the caller.  */
char *lt_ctl_target (const char *prefix, str_t name, const char *suffix);
/** Sends a GET that must succeed.  Returns LT_CTL_DONE with *BODY owned by the
    caller, or the exit status after printing why.  */
int lt_ctl_get (lt_ctl_t *ctl, const char *target, json_t **body);
/** Prints the fault that ANSWER tells, and returns the exit status for it.  */
int lt_ctl_explain_refusal (lt_ctl_t *ctl, const lt_ctl_answer_t *answer,
                            const char *source);

#endif
