#include "chunked_body.h"

#include "lt/base/error.h"
#include "lt/base/header_list.h"

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

/* Only blanks may stand between the size and an extension.  */
static int
decode_after_size (lt_chunked_body_t *body, char c)
{
  if (c == ';')
    body->state = LT_CHUNKED_EXTENSION;
  return c == ';' || c == ' ' || c == '\t' ? 0 : -LT_EPROTO;
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
  body->state = LT_CHUNKED_SIZE_BLANK;
  return decode_after_size (body, c);
}

static int
decode_trailer (lt_chunked_body_t *body, char c)
{
  body->line_bytes++;
  if (body->state == LT_CHUNKED_TRAILER_VALUE)
    return lt_is_field_char (c) ? 0 : -LT_EPROTO;
  if (c == ':' && body->line_bytes > 1)
    body->state = LT_CHUNKED_TRAILER_VALUE;
  return c == ':' || lt_is_token_char (c) ? 0 : -LT_EPROTO;
}

/* Called at the end of a line.  */
static int
end_line (lt_chunked_body_t *body)
{
  switch (body->state)
    {
    case LT_CHUNKED_SIZE:
      if (body->digits == 0)
        return -LT_EPROTO;
      end_size_line (body);
      return 0;
    case LT_CHUNKED_SIZE_BLANK:
    case LT_CHUNKED_EXTENSION:
      end_size_line (body);
      return 0;
    case LT_CHUNKED_DATA_END:
      body->state = LT_CHUNKED_SIZE;
      return 0;
    case LT_CHUNKED_TRAILER:
      if (body->line_bytes > 0)
        return -LT_EPROTO;
      body->state = LT_CHUNKED_END;
      return 0;
    case LT_CHUNKED_TRAILER_VALUE:
      body->state = LT_CHUNKED_TRAILER;
      body->line_bytes = 0;
      return 0;
    case LT_CHUNKED_DATA:
    case LT_CHUNKED_END:
      break;
    }
  return 0;
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
  if (c == '\n')
    {
      body->line_ends = false;
      return end_line (body);
    }
  if (body->line_ends)
    return -LT_EPROTO;
  if (c == '\r')
    {
      body->line_ends = true;
      return 0;
    }
  switch (body->state)
    {
    case LT_CHUNKED_SIZE:
      return decode_size (body, c);
    case LT_CHUNKED_SIZE_BLANK:
      return decode_after_size (body, c);
    case LT_CHUNKED_EXTENSION:
      return lt_is_field_char (c) ? 0 : -LT_EPROTO;
    case LT_CHUNKED_TRAILER:
    case LT_CHUNKED_TRAILER_VALUE:
      return decode_trailer (body, c);
    case LT_CHUNKED_DATA_END:
      return -LT_EPROTO;
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
