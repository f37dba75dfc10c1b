/** @file
    Drives the fleet-wide rate limits of a hosted fleet (policy/quota.h).  It
    requests a token from the home of the failure domain for each rate-limited
    request, acts as home or as parent while this VM has that role, and uses
    this VM's own allocation while it reaches no home.  */
#ifndef LT_NODE_QUOTA_CONTROLLER_H
#define LT_NODE_QUOTA_CONTROLLER_H

#include "lt/node/controller.h"
#include "lt/node/filter.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  struct lt_request;
  typedef struct lt_quota_controller lt_quota_controller_t;

  /** Creates the controller and sets node->quota_controller.  */
  lt_controller_t *lt_quota_controller_create (struct lt_node *node);
  /** Takes one token of the workspace of REQUEST.  Returns LT_FILTER_CONTINUE,
     refuses the request when its workspace is over its rate, or returns
     LT_FILTER_WAIT: the request is then resumed or refused later, and its
     filter_state[SLOT] is in use until lt_quota_controller_cancel.  */
  lt_filter_result_t
  lt_quota_controller_spend (lt_quota_controller_t *controller,
                             struct lt_request *request, int slot);
  /** Returns whether rate-limited requests can be admitted: the number of VMs
      is known, and the home has responded or is this VM.  */
  bool lt_quota_controller_is_ready (lt_quota_controller_t *controller,
                                     int64_t now_us);
  /** Drops the wait of REQUEST for a token, if any; called when it ends.  */
  void lt_quota_controller_cancel (struct lt_request *request, int slot);

#ifdef __cplusplus
}
#endif

#endif
