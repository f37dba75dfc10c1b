/** @file
    Frames between VMs: u32 big-endian length of what follows, 32-byte MAC,
    msgpack body.  The MAC is keyed BLAKE2b over a frame counter and the body;
    the counter is implicit, so a replayed, dropped or reordered frame fails
    its MAC.  */
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
/** Bound of VM ids, regions, failure domains and addresses.  */
#define LT_WIRE_NAME_MAX_BYTES 64

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
    LT_MESSAGE_SHARE_ASK = 10,
    LT_MESSAGE_SHARE_GRANT = 11,
    LT_MESSAGE_SHARE_RETURN = 12,
    LT_MESSAGE_SHARE_RENEW = 13,
    LT_MESSAGE_SHARE_ACK = 14,
    LT_MESSAGE_TOKENS_ASK = 15,
    LT_MESSAGE_TOKENS_LEND = 16,
    LT_MESSAGE_QUARANTINE = 17,
    LT_MESSAGE_DRAIN = 18,
    LT_MESSAGE_NEWS = 19,
    LT_MESSAGE_QUOTA_ASK = 20,
    LT_MESSAGE_QUOTA_GRANT = 21,
    LT_MESSAGE_QUOTA_REPORT = 22,
    LT_MESSAGE_QUOTA_SHARES = 23,
    LT_MESSAGE_QUOTA_BORROW = 24,
    LT_MESSAGE_QUOTA_LENT = 25,
    LT_MESSAGE_TYPE_END
  } lt_message_type_t;

  /** One message between VMs.  Views point into memory of somebody else.  */
  typedef struct lt_frame
  {
    lt_message_type_t type;
    uint64_t correlation; /**< Pairs a reply with its request; 0: none. */
    str_t sender;         /**< VM id. */
    uint64_t incarnation; /**< Of the sending process. */
    str_t payload;        /**< msgpack of the type's struct. */
  } lt_frame_t;

  /** Why a connection was closed.  */
  typedef enum lt_close_reason
  {
    LT_CLOSE_NONE,
    LT_CLOSE_TOO_LARGE,    /**< Length above the bound. */
    LT_CLOSE_TOO_SMALL,    /**< Length below MAC and body. */
    LT_CLOSE_BAD_MAC,      /**< Stranger, replay, reorder or corruption. */
    LT_CLOSE_BAD_BODY,     /**< Body is not the msgpack array of a frame. */
    LT_CLOSE_BAD_VERSION,  /**< Other frame version. */
    LT_CLOSE_BAD_TYPE,     /**< Unknown type, or hello out of place. */
    LT_CLOSE_BAD_HELLO,    /**< Hello payload malformed. */
    LT_CLOSE_WRONG_SENDER, /**< Not the VM of the hello, or this VM. */
    LT_CLOSE_TRUNCATED,    /**< Stream ended inside a frame. */
    LT_CLOSE_REASON_END
  } lt_close_reason_t;

  /** Returns the label of REASON for logs and counters, as "bad-mac".  */
  const char *lt_close_reason_name (lt_close_reason_t reason);

  /** Appends the frame, sealed with KEY and COUNTER, to OUT.  Returns 0 or
      -LT_ETOOBIG.  */
  int lt_frame_encode (const lt_digest_t *key, uint64_t counter,
                       const lt_frame_t *frame, lt_buf_t *out);
  /** Looks at the front of INPUT.  Returns the bytes of the first whole frame
      and sets *FRAME (views into INPUT), 0 when more input is needed, or -1
      with *REASON set.  Frames above MAX_BYTES are refused by their length
      alone.  The body is parsed only after its MAC has been verified.  */
  ptrdiff_t lt_frame_decode (const lt_digest_t *key, uint64_t counter,
                             size_t max_bytes, str_t input, lt_frame_t *frame,
                             lt_close_reason_t *reason);

#ifdef __cplusplus
}
#endif

#endif
