/** @file
    Logs each request when it ends and keeps records of recent requests for
    "lavenderctl explain".  Paths, bodies and keys are not recorded.  */
#ifndef LT_NODE_FILTER_RECORD_H
#define LT_NODE_FILTER_RECORD_H

#include "lt/node/filter.h"
#include "lt/node/request.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LT_RECORD_NAME_BYTES = 64,
    LT_RECORD_WORD_BYTES = 16
  };

  /** Texts are truncated to the size of their field and end in NUL.  */
  typedef struct lt_request_record
  {
    char request_id[LT_REQUEST_ID_MAX + 1];
    char method[LT_RECORD_WORD_BYTES];
    char route[LT_RECORD_NAME_BYTES];
    char workspace[LT_RECORD_NAME_BYTES];
    char ran[LT_RECORD_WORD_BYTES];
    const char *reason; /**< Static; NULL: not refused. */
    int status;
    bool failed; /**< The response body was truncated. */
    int64_t config_version;
    int64_t ended_wall_us;
    int64_t duration_us;
  } lt_request_record_t;

  /** Must directly follow the request id filter.  */
  lt_filter_t *lt_filter_record_create (void);
  /** Returns the newest record with REQUEST_ID, or NULL.  It is valid until
      another request ends.  */
  const lt_request_record_t *lt_filter_record_find (const struct lt_node *node,
                                                    str_t request_id);

#ifdef __cplusplus
}
#endif

#endif
