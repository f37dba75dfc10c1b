/** @file
    Freshness reports that the membership controller passes between heartbeats
    and the config controller.  */
#ifndef LT_NODE_CONFIG_REPORTS_H
#define LT_NODE_CONFIG_REPORTS_H

#include "lt/policy/freshness.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_config_controller;

  /** Handles a query of PEER and fills ANSWER.  The strings in ANSWER are
     valid until lt_config_controller_on_answer_sent, which must be called
     next.  */
  void lt_config_controller_on_query (struct lt_config_controller *controller,
                                      int64_t now_us, str_t peer,
                                      const lt_freshness_report_t *query,
                                      lt_freshness_report_t *answer);
  /** Performs the actions that the query caused, after ANSWER was sent.  */
  void lt_config_controller_on_answer_sent (
      struct lt_config_controller *controller);
  /** Handles PEER's answer to a query of this VM.  */
  void lt_config_controller_on_answer (struct lt_config_controller *controller,
                                       int64_t now_us, str_t peer,
                                       const lt_freshness_report_t *answer);

#ifdef __cplusplus
}
#endif

#endif
