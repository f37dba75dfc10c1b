/** @file
    Sends a request to upstreams and streams the answer back.  */
#ifndef LT_NODE_DISPATCH_H
#define LT_NODE_DISPATCH_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_dispatch lt_dispatch_t;

  /** The caller took bytes of the answer: a paused transfer may go on.  */
  void lt_dispatch_consumed (lt_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
