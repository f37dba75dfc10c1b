/** @file
    Decoder of the chunked transfer coding (RFC 9112, section 7.1) with a limit
    on the bytes that frame the body.  libcurl accepts chunk extensions and
    trailers of any length, and any text behind the size of a chunk.  */
#ifndef LT_NODE_CHUNKED_BODY_H
#define LT_NODE_CHUNKED_BODY_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Framing bytes that every body may have, for the last chunk and its
    trailer.  */
#define LT_CHUNKED_FRAMING_BASE_BYTES (16 * 1024)
/** Further framing bytes for each byte of the body; chunks of a single byte
    need five.  */
#define LT_CHUNKED_FRAMING_PER_BYTE 8

  typedef enum lt_chunked_state
  {
    LT_CHUNKED_SIZE,       /**< In the size of a chunk. */
    LT_CHUNKED_SIZE_BLANK, /**< In blanks after it. */
    LT_CHUNKED_EXTENSION,  /**< After it, up to the end of the line. */
    LT_CHUNKED_DATA,
    LT_CHUNKED_DATA_END,      /**< Before the line end after the data. */
    LT_CHUNKED_TRAILER,       /**< At the start of a trailer line, or in the
                                 name of its field. */
    LT_CHUNKED_TRAILER_VALUE, /**< After its colon. */
    LT_CHUNKED_END
  } lt_chunked_state_t;

  /** Zero-initialized before the first byte.  May be copied, to decode the
     same bytes again.  */
  typedef struct lt_chunked_body
  {
    lt_chunked_state_t state;
    int64_t size;       /**< Bytes of the current chunk not yet decoded. */
    int digits;         /**< Of the current size. */
    bool line_ends;     /**< Only the line feed of a line is missing. */
    int64_t line_bytes; /**< Of the current trailer line. */
    int64_t body_bytes;
    int64_t framing_bytes;
  } lt_chunked_body_t;

  /** Decodes IN and appends the body bytes to OUT; ignores what follows the
      end of the body.  Returns 0 or -LT_EPROTO: malformed, or too many framing
      bytes.  */
  int lt_chunked_body_decode (lt_chunked_body_t *body, str_t in,
                              lt_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
