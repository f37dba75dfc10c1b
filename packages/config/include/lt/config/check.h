/** @file
    Checks of a configuration that is about to be sent: references, entries
    that can never match, and limits that contradict each other.  Each entry by
    itself is checked by whoever reads it; members that are 0 or empty because
    of a fault there lead to no further finding.  */
#ifndef LT_CONFIG_CHECK_H
#define LT_CONFIG_CHECK_H

#include "lt/base/finding.h"
#include "lt/config/deployment.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Adds to FINDINGS all faults of DEPLOYMENT: errors for which VMs refuse it
      or callers get no service, and warnings.  The column of a finding is the
      kind and name of the entry.  SOURCE: its source.  */
  void lt_check_deployment (const lt_deployment_t *deployment, str_t source,
                            lt_findings_t *findings);

#ifdef __cplusplus
}
#endif

#endif
