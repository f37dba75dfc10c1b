#include "chunked_body.h"

#include "lt/base/error.h"

enum
{
  /* A chunk of up to 2^60 bytes.  */
  SIZE_DIGITS_MAX = 15
};

static void
end_size_line (lt_chunked_body_t *body)
{
  body->state = body->size > 0 ? LT_CHUNKED_DATA : LT_CHUNKED_TRAILER;
  body->digits = 0;
  body->line_bytes = 0;
}

static int
decode_size (lt_chunked_body_t *body, char c)
{
  int digit = str_hex_digit (c);
  if (digit >= 0)
    {
      if (++body->digits > SIZE_DIGITS_MAX)
        return -LT_EPROTO;
      body->size = body->size * 16 + digit;
      return 0;
    }
  if (body->digits == 0)
    return -LT_EPROTO;
  if (c == '\n')
    end_size_line (body);
  else
    body->state = LT_CHUNKED_EXTENSION;
  return 0;
}

static int
decode_data_end (lt_chunked_body_t *body, char c)
{
  if (c == '\n')
    body->state = LT_CHUNKED_SIZE;
  return c == '\n' || c == '\r' ? 0 : -LT_EPROTO;
}

static void
decode_trailer (lt_chunked_body_t *body, char c)
{
  if (c == '\n' && body->line_bytes == 0)
    body->state = LT_CHUNKED_END;
  else if (c == '\n')
    body->line_bytes = 0;
  else if (c != '\r')
    body->line_bytes++;
}

/* Decodes a byte that is not part of the body.  */
static int
decode_framing (lt_chunked_body_t *body, char c)
{
  body->framing_bytes++;
  if (body->framing_bytes
      > LT_CHUNKED_FRAMING_BASE_BYTES
            + LT_CHUNKED_FRAMING_PER_BYTE * body->body_bytes)
    return -LT_EPROTO;
  switch (body->state)
    {
    case LT_CHUNKED_SIZE:
      return decode_size (body, c);
    case LT_CHUNKED_EXTENSION:
      if (c == '\n')
        end_size_line (body);
      return 0;
    case LT_CHUNKED_DATA_END:
      return decode_data_end (body, c);
    case LT_CHUNKED_TRAILER:
      decode_trailer (body, c);
      return 0;
    case LT_CHUNKED_DATA:
    case LT_CHUNKED_END:
      break;
    }
  return 0;
}

/* Appends the part of the current chunk at the start of IN and returns its
   length.  */
static size_t
take_data (lt_chunked_body_t *body, str_t in, lt_buf_t *out)
{
  size_t len = in.len;
  if ((int64_t)len > body->size)
    len = (size_t)body->size;
  lt_buf_append (out, in.data, len);
  body->size -= (int64_t)len;
  body->body_bytes += (int64_t)len;
  if (body->size == 0)
    body->state = LT_CHUNKED_DATA_END;
  return len;
}

int
lt_chunked_body_decode (lt_chunked_body_t *body, str_t in, lt_buf_t *out)
{
  size_t i = 0;
  while (i < in.len && body->state != LT_CHUNKED_END)
    {
      if (body->state == LT_CHUNKED_DATA)
        {
          i += take_data (body, str_make (in.data + i, in.len - i), out);
          continue;
        }
      int error = decode_framing (body, in.data[i++]);
      if (error != 0)
        return error;
    }
  return 0;
}
