/** @file
    The operators' API under /v1/; docs/reference.md lists it.  */
#ifndef LT_NODE_ADMIN_API_H
#define LT_NODE_ADMIN_API_H

#include "lt/node/admin.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Adds the handlers of all paths under /v1/ to ADMIN.  */
  void lt_admin_add_api (lt_admin_t *admin);

#ifdef __cplusplus
}
#endif

#endif
