/** @file
    Sends a request to upstreams and streams the response back.  */
#ifndef LT_NODE_DISPATCH_H
#define LT_NODE_DISPATCH_H

#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_dispatch lt_dispatch_t;

  /** Called when bytes of the response body have been sent to the caller;
      resumes a paused transfer once the buffer has room.  */
  void lt_dispatch_body_consumed (lt_request_t *request);

#ifdef __cplusplus
}
#endif

#endif
