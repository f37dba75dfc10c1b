/** @file
    Parts of the check of a deployment.  */
#ifndef LT_CONFIG_CHECK_INTERNAL_H
#define LT_CONFIG_CHECK_INTERNAL_H

#include "lt/config/check.h"

typedef struct lt_check
{
  const lt_deployment_t *deployment;
  str_t source;
  lt_findings_t *findings;
} lt_check_t;

/** Adds a finding on the entry NAME of KIND.  */
void lt_check_add (const lt_check_t *check, lt_severity_t severity,
                   const char *kind, str_t name, str_t value,
                   const char *format, ...)
    __attribute__ ((format (printf, 6, 7)));
/** Checks hosts, prefixes, splits and times of the routes.  */
void lt_check_routes (const lt_check_t *check);
/** Checks keys and limits of the workspaces.  */
void lt_check_workspaces (const lt_check_t *check);
/** Checks which routes and workspaces have no region in common.  */
void lt_check_regions (const lt_check_t *check);

#endif
