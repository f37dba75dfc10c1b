/** @file
    Tells a load balancer, on an address of its own, whether this VM takes
    requests.  */
#ifndef LT_NODE_READINESS_H
#define LT_NODE_READINESS_H

#include "lt/node/node.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_readiness lt_readiness_t;

  /** Listens on the settings' readiness address.  Returns 0 or -LT_EIO.  */
  int lt_readiness_create (lt_node_t *node, lt_readiness_t **readiness);
  void lt_readiness_destroy (lt_readiness_t *readiness);

#ifdef __cplusplus
}
#endif

#endif
