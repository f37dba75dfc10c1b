#include "lt/wire/frame.h"

#include <sodium.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/wire/pack.h"

enum
{
  BODY_FIELDS = 6,
  COUNTER_BYTES = 8
};

static const char *const reason_names[LT_CLOSE_REASON_END]
    = { [LT_CLOSE_NONE] = "none",
        [LT_CLOSE_TOO_LARGE] = "too-large",
        [LT_CLOSE_TOO_SMALL] = "too-small",
        [LT_CLOSE_BAD_MAC] = "bad-mac",
        [LT_CLOSE_BAD_BODY] = "bad-body",
        [LT_CLOSE_BAD_VERSION] = "bad-version",
        [LT_CLOSE_BAD_TYPE] = "bad-type",
        [LT_CLOSE_BAD_HELLO] = "bad-hello",
        [LT_CLOSE_WRONG_SENDER] = "wrong-sender",
        [LT_CLOSE_TRUNCATED] = "truncated" };

const char *
lt_close_reason_name (lt_close_reason_t reason)
{
  return reason_names[reason];
}

static void
put_big_endian (unsigned char *out, uint64_t value, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    out[i] = (unsigned char)(value >> (8 * (bytes - 1 - i)));
}

static void
frame_mac (const lt_digest_t *key, uint64_t counter, str_t body,
           unsigned char mac[LT_FRAME_MAC_BYTES])
{
  unsigned char prefix[COUNTER_BYTES];
  put_big_endian (prefix, counter, COUNTER_BYTES);
  crypto_generichash_state state;
  crypto_generichash_init (&state, key->bytes, LT_DIGEST_BYTES,
                           LT_FRAME_MAC_BYTES);
  crypto_generichash_update (&state, prefix, COUNTER_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)body.data,
                             body.len);
  crypto_generichash_final (&state, mac, LT_FRAME_MAC_BYTES);
}

int
lt_frame_encode (const lt_digest_t *key, uint64_t counter,
                 const lt_frame_t *frame, lt_buf_t *out)
{
  static const char zeros[LT_FRAME_LENGTH_BYTES + LT_FRAME_MAC_BYTES] = { 0 };
  size_t start = out->len;
  lt_buf_append (out, zeros, sizeof (zeros));
  lt_pack_array (out, BODY_FIELDS);
  lt_pack_u64 (out, LT_FRAME_VERSION);
  lt_pack_u64 (out, frame->type);
  lt_pack_u64 (out, frame->correlation);
  lt_pack_str (out, frame->sender);
  lt_pack_u64 (out, frame->incarnation);
  lt_pack_bin (out, frame->payload);
  size_t len = out->len - start - LT_FRAME_LENGTH_BYTES;
  if (len > LT_FRAME_MAX_BYTES)
    {
      out->len = start;
      return -LT_ETOOBIG;
    }
  unsigned char *head = (unsigned char *)out->data + start;
  put_big_endian (head, len, LT_FRAME_LENGTH_BYTES);
  unsigned char *mac = head + LT_FRAME_LENGTH_BYTES;
  str_t body = str_make ((const char *)mac + LT_FRAME_MAC_BYTES,
                         len - LT_FRAME_MAC_BYTES);
  frame_mac (key, counter, body, mac);
  return 0;
}

static lt_close_reason_t
parse_body (str_t body, lt_frame_t *frame)
{
  lt_unpack_t in;
  lt_unpack_init (&in, body);
  lt_unpack_array (&in, BODY_FIELDS, BODY_FIELDS);
  uint64_t version = lt_unpack_u64 (&in, UINT64_MAX);
  if (in.error == 0 && version != LT_FRAME_VERSION)
    return LT_CLOSE_BAD_VERSION;
  uint64_t type = lt_unpack_u64 (&in, UINT64_MAX);
  frame->correlation = lt_unpack_u64 (&in, UINT64_MAX);
  frame->sender = lt_unpack_str (&in, LT_WIRE_NAME_MAX_BYTES);
  frame->incarnation = lt_unpack_u64 (&in, UINT64_MAX);
  frame->payload = lt_unpack_bin (&in, LT_FRAME_MAX_BYTES);
  if (lt_unpack_end (&in) != 0)
    return LT_CLOSE_BAD_BODY;
  if (type < LT_MESSAGE_HELLO || type >= LT_MESSAGE_TYPE_END)
    return LT_CLOSE_BAD_TYPE;
  frame->type = (lt_message_type_t)type;
  return LT_CLOSE_NONE;
}

static ptrdiff_t
decode_fail (lt_close_reason_t *reason, lt_close_reason_t why)
{
  *reason = why;
  return -1;
}

ptrdiff_t
lt_frame_decode (const lt_digest_t *key, uint64_t counter, size_t max_bytes,
                 str_t input, lt_frame_t *frame, lt_close_reason_t *reason)
{
  if (input.len < LT_FRAME_LENGTH_BYTES)
    return 0;
  size_t len = 0;
  for (size_t i = 0; i < LT_FRAME_LENGTH_BYTES; i++)
    len = len << 8 | (unsigned char)input.data[i];
  if (len > max_bytes)
    return decode_fail (reason, LT_CLOSE_TOO_LARGE);
  if (len <= LT_FRAME_MAC_BYTES)
    return decode_fail (reason, LT_CLOSE_TOO_SMALL);
  if (input.len < LT_FRAME_LENGTH_BYTES + len)
    return 0;
  const char *mac = input.data + LT_FRAME_LENGTH_BYTES;
  str_t body = str_make (mac + LT_FRAME_MAC_BYTES, len - LT_FRAME_MAC_BYTES);
  unsigned char expected[LT_FRAME_MAC_BYTES];
  frame_mac (key, counter, body, expected);
  if (sodium_memcmp (expected, mac, LT_FRAME_MAC_BYTES) != 0)
    return decode_fail (reason, LT_CLOSE_BAD_MAC);
  lt_close_reason_t parsed = parse_body (body, frame);
  if (parsed != LT_CLOSE_NONE)
    return decode_fail (reason, parsed);
  return (ptrdiff_t)(LT_FRAME_LENGTH_BYTES + len);
}
