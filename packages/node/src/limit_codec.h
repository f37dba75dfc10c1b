/** @file
    Encodes the rate limit's messages (types 10 to 16) and its table record as
    msgpack.  */
#ifndef LT_NODE_LIMIT_CODEC_H
#define LT_NODE_LIMIT_CODEC_H

#include "lt/base/str.h"
#include "lt/policy/limit.h"
#include "lt/policy/limit_home.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Appends MESSAGE without its type, which the frame header contains.  */
  void lt_limit_message_encode (const lt_limit_message_t *message,
                                lt_buf_t *out);
  /** Fills MESSAGE, with TYPE from the frame header.  Returns 0 or
      -LT_EPROTO.  */
  int lt_limit_message_decode (lt_limit_message_type_t type, str_t payload,
                               lt_limit_message_t *message);
  /** Appends RECORD without its version, which the table item contains.  */
  void lt_limit_record_encode (const lt_limit_record_t *record, lt_buf_t *out);
  /** Fills the zero-initialized RECORD.  Returns 0 or -LT_EPROTO; destroy it
     in both cases.  */
  int lt_limit_record_decode (str_t value, lt_limit_record_t *record);

#ifdef __cplusplus
}
#endif

#endif
