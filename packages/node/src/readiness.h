/** @file
    Readiness endpoint on a separate address, by which a load balancer checks
    whether this VM accepts requests.  */
#ifndef LT_NODE_READINESS_H
#define LT_NODE_READINESS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_readiness lt_readiness_t;

  /** Listens on the readiness address in the settings.  Returns 0, -LT_EINVAL
      for a malformed address or -LT_EIO.  */
  int lt_readiness_create (lt_node_t *node, lt_readiness_t **readiness);
  void lt_readiness_destroy (lt_readiness_t *readiness);

#ifdef __cplusplus
}
#endif

#endif
