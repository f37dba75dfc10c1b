/** @file
    What the membership controller passes between heartbeats and the config
    controller.  */
#ifndef LT_NODE_CONFIG_REPORTS_H
#define LT_NODE_CONFIG_REPORTS_H

#include "lt/policy/freshness.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_config_controller;

  /** A question of PEER arrived; makes the answer.  Its texts are valid until
      lt_config_controller_answered, which must follow.  */
  void lt_config_controller_on_question (
      struct lt_config_controller *controller, int64_t now_us, str_t peer,
      const lt_freshness_report_t *question, lt_freshness_report_t *answer);
  void lt_config_controller_answered (struct lt_config_controller *controller);
  void lt_config_controller_on_answer (struct lt_config_controller *controller,
                                       int64_t now_us, str_t peer,
                                       const lt_freshness_report_t *answer);

#ifdef __cplusplus
}
#endif

#endif
