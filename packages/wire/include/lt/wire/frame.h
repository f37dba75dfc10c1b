/** @file
    Frames between VMs: a big-endian u32 with the length of the rest, a 32-byte
    MAC and a msgpack body.  The MAC is keyed BLAKE2b over a frame counter and
    the body.  The counter is not sent; each side counts frames itself, so that
    the MAC of a replayed or reordered frame, or of one after a dropped frame,
    does not verify.  */
#ifndef LT_WIRE_FRAME_H
#define LT_WIRE_FRAME_H

#include "lt/base/hash.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_FRAME_VERSION 1
#define LT_FRAME_MAX_BYTES (1024 * 1024)
#define LT_FRAME_LENGTH_BYTES 4
#define LT_FRAME_MAC_BYTES 32
/** Maximum length of VM ids, regions, failure domains and addresses.  */
#define LT_WIRE_NAME_MAX_BYTES 64

  /** Message types; the numbers are sent.  The payload of hello is defined by
      session.c, those of 8 and 9 by the modules for upstream health, those of
      10 to 16 by the modules for rate limits, all others by message.h.  */
  typedef enum lt_message_type
  {
    LT_MESSAGE_HELLO = 1,
    LT_MESSAGE_HEARTBEAT = 2,
    LT_MESSAGE_HEARTBEAT_ACK = 3,
    LT_MESSAGE_PROBE_REQUEST = 4,
    LT_MESSAGE_PROBE_RESULT = 5,
    LT_MESSAGE_SNAPSHOT_GET = 6,
    LT_MESSAGE_SNAPSHOT_DATA = 7,
    LT_MESSAGE_EVIDENCE = 8,
    LT_MESSAGE_EJECTIONS = 9,
    LT_MESSAGE_SHARE_REQUEST = 10,
    LT_MESSAGE_SHARE_GRANT = 11,
    LT_MESSAGE_SHARE_RETURN = 12,
    LT_MESSAGE_SHARE_RENEW = 13,
    LT_MESSAGE_SHARE_ACK = 14,
    LT_MESSAGE_TOKENS_REQUEST = 15,
    LT_MESSAGE_TOKENS_LEND = 16,
    LT_MESSAGE_QUARANTINE = 17,
    LT_MESSAGE_DRAIN = 18,
    LT_MESSAGE_UPSTREAM_UPDATES = 19,
    LT_MESSAGE_QUOTA_REQUEST = 20,
    LT_MESSAGE_QUOTA_GRANT = 21,
    LT_MESSAGE_QUOTA_REPORT = 22,
    LT_MESSAGE_QUOTA_SHARES = 23,
    LT_MESSAGE_QUOTA_BORROW = 24,
    LT_MESSAGE_QUOTA_LENT = 25,
    LT_MESSAGE_REGISTRY_REPORT = 26,
    LT_MESSAGE_REGISTRY_RECORDS = 27,
    LT_MESSAGE_TYPE_END
  } lt_message_type_t;

  /** One message between VMs.  Its texts are borrowed: in a decoded frame they
      point into the input.  */
  typedef struct lt_frame
  {
    lt_message_type_t type;
    uint64_t correlation; /**< Pairs a reply with its request; 0: none. */
    str_t sender;         /**< VM id. */
    uint64_t incarnation; /**< Of the sending process. */
    str_t payload;        /**< Encoded message of this type. */
  } lt_frame_t;

  /** Why a connection was closed.  */
  typedef enum lt_close_reason
  {
    LT_CLOSE_NONE,
    LT_CLOSE_TOO_LARGE,   /**< Length above the maximum. */
    LT_CLOSE_TOO_SMALL,   /**< Length leaves no room for a body. */
    LT_CLOSE_BAD_MAC,     /**< Other secret, or a replayed, reordered or
                             corrupted frame. */
    LT_CLOSE_BAD_BODY,    /**< Body is not the msgpack array of a frame. */
    LT_CLOSE_BAD_VERSION, /**< Frame version is not LT_FRAME_VERSION. */
    LT_CLOSE_BAD_TYPE, /**< Unknown type, hello in an open session, or no hello
                          during the handshake. */
    LT_CLOSE_BAD_HELLO,    /**< Malformed payload of hello. */
    LT_CLOSE_WRONG_SENDER, /**< Sender is not the VM of the hello, or is this
                              VM. */
    LT_CLOSE_TRUNCATED,    /**< Stream ended inside a frame. */
    LT_CLOSE_REASON_END
  } lt_close_reason_t;

  /** Returns the label of REASON in logs and metrics, such as "bad-mac".  */
  const char *lt_close_reason_name (lt_close_reason_t reason);

  /** Appends FRAME, authenticated with KEY and COUNTER, to OUT.  Returns 0, or
      -LT_ETOOBIG with OUT unchanged.  */
  int lt_frame_encode (const lt_digest_t *key, uint64_t counter,
                       const lt_frame_t *frame, lt_buf_t *out);
  /** Decodes the frame at the start of INPUT.  Returns its encoded length and
      sets *FRAME, whose texts point into INPUT; 0 when the frame is
      incomplete; or -1 with *REASON set.  Frames above MAX_BYTES are refused
      by their length alone.  The body is parsed only after its MAC has been
      verified.  */
  ptrdiff_t lt_frame_decode (const lt_digest_t *key, uint64_t counter,
                             size_t max_bytes, str_t input, lt_frame_t *frame,
                             lt_close_reason_t *reason);

#ifdef __cplusplus
}
#endif

#endif
