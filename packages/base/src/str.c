#include "lt/base/str.h"

#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"

enum
{
  BUF_MIN_CAPACITY_BYTES = 64
};

void *
lt_alloc (size_t size)
{
  void *mem = calloc (1, size > 0 ? size : 1);
  if (mem == NULL)
    abort ();
  return mem;
}

void *
lt_realloc (void *mem, size_t size)
{
  void *grown = realloc (mem, size > 0 ? size : 1);
  if (grown == NULL)
    abort ();
  return grown;
}

str_t
str_make (const char *data, size_t len)
{
  return (str_t){ data, len };
}

str_t
str_from (const char *text)
{
  return str_make (text, text == NULL ? 0 : strlen (text));
}

bool
str_equal (str_t a, str_t b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

static char
ascii_lower (char c)
{
  return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

bool
str_equal_nocase (str_t a, str_t b)
{
  if (a.len != b.len)
    return false;
  for (size_t i = 0; i < a.len; i++)
    if (ascii_lower (a.data[i]) != ascii_lower (b.data[i]))
      return false;
  return true;
}

int
str_compare (str_t a, str_t b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  int order = len == 0 ? 0 : memcmp (a.data, b.data, len);
  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

int
str_compare_nocase (str_t a, str_t b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  for (size_t i = 0; i < len; i++)
    {
      int order = ascii_lower (a.data[i]) - ascii_lower (b.data[i]);
      if (order != 0)
        return order;
    }
  return (a.len > b.len) - (a.len < b.len);
}

bool
str_starts_with (str_t s, str_t prefix)
{
  return s.len >= prefix.len
         && str_equal (str_make (s.data, prefix.len), prefix);
}

ptrdiff_t
str_find (str_t s, str_t needle)
{
  if (needle.len == 0)
    return 0;
  if (s.len == 0)
    return -1;
  const char *hit = memmem (s.data, s.len, needle.data, needle.len);
  return hit == NULL ? -1 : hit - s.data;
}

static bool
ascii_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

str_t
str_trim (str_t s)
{
  while (s.len > 0 && ascii_space (s.data[0]))
    {
      s.data++;
      s.len--;
    }
  while (s.len > 0 && ascii_space (s.data[s.len - 1]))
    s.len--;
  return s;
}

str_t
str_split (str_t s, char sep, str_t *rest)
{
  const char *hit = s.len == 0 ? NULL : memchr (s.data, sep, s.len);
  if (hit == NULL)
    {
      *rest = str_make (NULL, 0);
      return s;
    }
  size_t before = (size_t)(hit - s.data);
  *rest = str_make (hit + 1, s.len - before - 1);
  return str_make (s.data, before);
}

char *
str_dup (str_t s)
{
  char *copy = lt_alloc (s.len + 1);
  if (s.len > 0)
    memcpy (copy, s.data, s.len);
  return copy;
}

int
str_hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

int
str_to_i64 (str_t s, int64_t *value)
{
  bool negative = s.len > 0 && s.data[0] == '-';
  size_t i = negative ? 1 : 0;
  if (i == s.len)
    return -LT_EINVAL;
  int64_t sum = 0;
  for (; i < s.len; i++)
    {
      if (s.data[i] < '0' || s.data[i] > '9')
        return -LT_EINVAL;
      int digit = s.data[i] - '0';
      if (sum > (INT64_MAX - digit) / 10)
        return -LT_ERANGE;
      sum = sum * 10 + digit;
    }
  *value = negative ? -sum : sum;
  return 0;
}

int
str_to_milli (str_t s, int64_t *value)
{
  str_t fraction = { 0 };
  str_t whole = str_split (s, '.', &fraction);
  int64_t units = 0;
  int64_t milli = 0;
  int64_t weight = 100;
  if (whole.len == 0 || whole.data[0] == '-'
      || (fraction.data != NULL && fraction.len == 0))
    return -LT_EINVAL;
  int error = str_to_i64 (whole, &units);
  if (error == 0 && units > INT64_MAX / 1000 - 1)
    error = -LT_ERANGE;
  for (size_t i = 0; error == 0 && i < fraction.len; i++, weight /= 10)
    {
      if (fraction.data[i] < '0' || fraction.data[i] > '9')
        return -LT_EINVAL;
      milli += weight * (fraction.data[i] - '0');
    }
  if (error == 0)
    *value = units * 1000 + milli;
  return error;
}

/* Returns the length of the UTF-8 sequence at S, 0 when it is malformed.  */
static size_t
utf8_sequence (const unsigned char *s, size_t left)
{
  if (s[0] < 0x80)
    return 1;
  size_t len = s[0] >= 0xf0 ? 4 : s[0] >= 0xe0 ? 3 : 2;
  if (s[0] < 0xc2 || s[0] > 0xf4 || len > left)
    return 0;
  for (size_t i = 1; i < len; i++)
    if ((s[i] & 0xc0) != 0x80)
      return 0;
  bool overlong
      = (s[0] == 0xe0 && s[1] < 0xa0) || (s[0] == 0xf0 && s[1] < 0x90);
  bool surrogate = s[0] == 0xed && s[1] > 0x9f;
  bool beyond = s[0] == 0xf4 && s[1] > 0x8f;
  return overlong || surrogate || beyond ? 0 : len;
}

bool
str_is_utf8 (str_t s)
{
  const unsigned char *bytes = (const unsigned char *)s.data;
  size_t i = 0;
  while (i < s.len)
    {
      size_t len = utf8_sequence (bytes + i, s.len - i);
      if (len == 0)
        return false;
      i += len;
    }
  return true;
}

static void
buf_reserve (lt_buf_t *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  if (need <= buf->cap)
    return;
  size_t cap
      = buf->cap < BUF_MIN_CAPACITY_BYTES ? BUF_MIN_CAPACITY_BYTES : buf->cap;
  while (cap < need)
    cap *= 2;
  buf->data = lt_realloc (buf->data, cap);
  buf->cap = cap;
}

void
lt_buf_reserve (lt_buf_t *buf, size_t capacity)
{
  if (capacity + 1 <= buf->cap)
    return;
  buf->data = lt_realloc (buf->data, capacity + 1);
  buf->cap = capacity + 1;
}

void
lt_buf_shrink (lt_buf_t *buf, size_t capacity)
{
  size_t cap = (capacity > buf->len ? capacity : buf->len) + 1;
  if (cap >= buf->cap)
    return;
  buf->data = lt_realloc (buf->data, cap);
  buf->cap = cap;
}

void
lt_buf_append (lt_buf_t *buf, const void *data, size_t len)
{
  buf_reserve (buf, len);
  if (len > 0)
    memcpy (buf->data + buf->len, data, len);
  buf->len += len;
  buf->data[buf->len] = '\0';
}

void
lt_buf_append_str (lt_buf_t *buf, str_t s)
{
  lt_buf_append (buf, s.data, s.len);
}

void
lt_buf_printf (lt_buf_t *buf, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  int len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (len < 0)
    return;
  buf_reserve (buf, (size_t)len);
  va_start (args, format);
  vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args);
  va_end (args);
  buf->len += (size_t)len;
}

void
lt_buf_consume (lt_buf_t *buf, size_t len)
{
  if (len >= buf->len)
    {
      buf->len = 0;
      return;
    }
  memmove (buf->data, buf->data + len, buf->len - len);
  buf->len -= len;
}

void
lt_buf_clear (lt_buf_t *buf)
{
  buf->len = 0;
}

void
lt_buf_destroy (lt_buf_t *buf)
{
  free (buf->data);
  *buf = (lt_buf_t){ 0 };
}

str_t
lt_buf_str (const lt_buf_t *buf)
{
  return str_make (buf->data, buf->len);
}
