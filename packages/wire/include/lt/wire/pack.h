/** @file
    msgpack helpers for message payloads: a writer into lt_buf_t and a strict
    reader.  The reader keeps the first error, after which every read returns
    a zero value, so that a decoder checks once, with lt_unpack_end.  Views
    that it returns point into the input.  */
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

  /** A position in msgpack input.  */
  typedef struct lt_unpack
  {
    str_t input;
    size_t offset;
    int error; /**< 0 or -LT_EPROTO. */
  } lt_unpack_t;

  void lt_unpack_init (lt_unpack_t *in, str_t input);
  /** Reads an array header and returns its count.  A count outside [MIN, MAX],
      or above the number of bytes left, is an error.  */
  uint32_t lt_unpack_array (lt_unpack_t *in, uint32_t min, uint32_t max);
  /** Reads an integer in [0, MAX].  */
  uint64_t lt_unpack_u64 (lt_unpack_t *in, uint64_t max);
  /** Reads an integer in [MIN, MAX].  */
  int64_t lt_unpack_i64 (lt_unpack_t *in, int64_t min, int64_t max);
  /** Reads a finite float or an integer.  */
  double lt_unpack_double (lt_unpack_t *in);
  bool lt_unpack_bool (lt_unpack_t *in);
  /** Reads well-formed UTF-8 of at most MAX_BYTES.  */
  str_t lt_unpack_str (lt_unpack_t *in, size_t max_bytes);
  str_t lt_unpack_bin (lt_unpack_t *in, size_t max_bytes);
  /** Returns 0 when everything was well formed and no input is left, else
      -LT_EPROTO.  */
  int lt_unpack_end (const lt_unpack_t *in);

#ifdef __cplusplus
}
#endif

#endif
