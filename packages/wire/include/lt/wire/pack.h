/** @file
    msgpack helpers for message payloads: a writer into lt_buf_t and a strict
    reader.  After an error every read returns a zero value, so that a decoder
    needs to check only once, with lt_unpack_end.  Returned texts point into
    the input.  */
#ifndef LT_WIRE_PACK_H
#define LT_WIRE_PACK_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  void lt_pack_array (lt_buf_t *out, uint32_t count);
  void lt_pack_u64 (lt_buf_t *out, uint64_t value);
  void lt_pack_i64 (lt_buf_t *out, int64_t value);
  void lt_pack_double (lt_buf_t *out, double value);
  void lt_pack_bool (lt_buf_t *out, bool value);
  void lt_pack_str (lt_buf_t *out, str_t text);
  void lt_pack_bin (lt_buf_t *out, str_t bytes);

  /** Reader of msgpack input.  */
  typedef struct lt_unpack
  {
    str_t input;
    size_t offset;
    int error; /**< 0 or -LT_EPROTO. */
  } lt_unpack_t;

  void lt_unpack_init (lt_unpack_t *in, str_t input);
  /** Reads an array header and returns its number of elements, which must be
      in [MIN, MAX] and not above the number of remaining bytes.  */
  uint32_t lt_unpack_array (lt_unpack_t *in, uint32_t min, uint32_t max);
  /** Reads an integer in [0, MAX].  */
  uint64_t lt_unpack_u64 (lt_unpack_t *in, uint64_t max);
  /** Reads an integer in [MIN, MAX].  */
  int64_t lt_unpack_i64 (lt_unpack_t *in, int64_t min, int64_t max);
  /** Reads a finite float or an integer.  */
  double lt_unpack_double (lt_unpack_t *in);
  bool lt_unpack_bool (lt_unpack_t *in);
  /** Reads a string of at most MAX_BYTES of well-formed UTF-8.  */
  str_t lt_unpack_str (lt_unpack_t *in, size_t max_bytes);
  /** Reads a byte string of at most MAX_BYTES.  */
  str_t lt_unpack_bin (lt_unpack_t *in, size_t max_bytes);
  /** Returns 0 when every read succeeded and no input is left, otherwise
      -LT_EPROTO.  */
  int lt_unpack_end (const lt_unpack_t *in);

#ifdef __cplusplus
}
#endif

#endif
