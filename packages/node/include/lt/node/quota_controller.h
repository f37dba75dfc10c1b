/** @file
    Fleet-wide rates of a hosted fleet: asks the home of the failure domain for
    each limited request, is a home or the parent of homes when its turn comes,
    and falls back to this VM's own part when it reaches nobody.  */
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
  /** Spends one request of the workspace's rate; the filter's state SLOT of
     the request holds what waits for an answer.  */
  lt_filter_result_t
  lt_quota_controller_spend (lt_quota_controller_t *controller,
                             struct lt_request *request, int slot);
  /** Returns whether requests can be admitted: the number of VMs is known, and
      so is the home.  */
  bool lt_quota_controller_is_settled (lt_quota_controller_t *controller,
                                       int64_t now_us);
  /** The request has ended.  */
  void lt_quota_controller_forget (struct lt_request *request, int slot);

#ifdef __cplusplus
}
#endif

#endif
