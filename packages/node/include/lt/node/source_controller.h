/** @file
    Watches the configuration and the upstreams in the registry of a hosting
    platform and puts snapshots of both in force.  A version is never replaced
    by an older one.  While the registry cannot be reached, the last snapshot
    stays in force.  */
#ifndef LT_NODE_SOURCE_CONTROLLER_H
#define LT_NODE_SOURCE_CONTROLLER_H

#include <stdbool.h>

#include "lt/node/controller.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_node;
  typedef struct lt_source_controller lt_source_controller_t;

  /** Creates the controller and sets node->source_controller; needs
      node->registry.  */
  lt_controller_t *lt_source_controller_create (struct lt_node *node);
  /** Returns the time since the registry last responded to a call for the
      configuration, or -1 when it never has.  */
  int64_t
  lt_source_controller_registry_age_us (lt_source_controller_t *controller,
                                        int64_t now_us);

  /** The registry, or another VM, has named ERA (see lt_registry_result_t).  A
      later one than before means that the registry came back from an older
      copy: all records are read again, and what is known to be later than the
      copy is kept.  */
  void lt_source_controller_note_era (struct lt_node *node, int64_t era);

  /** Returns whether requests with API keys may be served: always, unless the
      settings have fail_closed and the registry has not responded within
      revoke_ms.  */
  bool lt_source_controller_allows_keyed (lt_source_controller_t *controller,
                                          int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
