/** @file
    Cost-aware choice of upstreams on a hosted VM: owns the work module
    (lt/policy/work.h), feeds it with the attempts of the dispatcher, and shows
    predicted and observed costs.  */
#ifndef LT_NODE_COST_CONTROLLER_H
#define LT_NODE_COST_CONTROLLER_H

#include "lt/node/node.h"
#include "lt/policy/work.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_choice;
  struct lt_pool_attempt;
  typedef struct lt_cost_controller lt_cost_controller_t;

  /** Creates the controller and sets it in NODE, which takes ownership by
      lt_node_add_controller.  */
  lt_controller_t *lt_cost_controller_create (lt_node_t *node);
  lt_work_t *lt_cost_controller_work (lt_cost_controller_t *controller);
  /** Records that ATTEMPT begins at the upstream with id UPSTREAM, which
      CHOICE does not count yet.  */
  void lt_cost_controller_begin (lt_cost_controller_t *controller,
                                 const struct lt_choice *choice,
                                 uint64_t upstream,
                                 const struct lt_pool_attempt *attempt,
                                 int64_t now_us);
  /** Records the end of ATTEMPT; LATENCY_US is the time that the upstream
      took.  */
  void lt_cost_controller_end (lt_cost_controller_t *controller,
                               uint64_t upstream,
                               const struct lt_pool_attempt *attempt,
                               lt_attempt_outcome_t outcome,
                               int64_t latency_us);

#ifdef __cplusplus
}
#endif

#endif
