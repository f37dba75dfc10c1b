#include "sheet_value.h"

#include <arpa/inet.h>
#include <string.h>

#include "index.h"
#include "lt/base/error.h"

enum
{
  NUMBER_MAX_BYTES = 40,
  GROUP_DIGITS = 3,
  NAME_MAX_BYTES = 128,
  PATH_MAX_BYTES = 1024,
  PATH_MAX_SEGMENTS = 64,
  SECRET_MIN_BYTES = 8,
  SECRET_MAX_BYTES = 256,
  PORT_MAX = 65535
};

/* Space-like characters that spreadsheets write inside numbers.  */
static const char *const wide_marks[]
    = { "\xc2\xa0", "\xe2\x80\xaf", "\xe2\x80\x89", "\xe2\x80\x99" };

/* Returns the length of the wide mark at the start of S, or 0.  */
static size_t
wide_mark (str_t s)
{
  for (size_t i = 0; i < sizeof (wide_marks) / sizeof (wide_marks[0]); i++)
    if (str_starts_with (s, str_from (wide_marks[i])))
      return strlen (wide_marks[i]);
  return 0;
}

str_t
lt_value_trim (str_t s)
{
  for (;;)
    {
      str_t cut = str_trim (s);
      size_t mark = wide_mark (cut);
      if (mark > 0)
        cut = str_make (cut.data + mark, cut.len - mark);
      for (size_t len = 2; len <= 3 && len <= cut.len; len++)
        if (wide_mark (str_make (cut.data + cut.len - len, len)) == len)
          cut.len -= len;
      if (cut.len == s.len)
        return cut;
      s = cut;
    }
}

/* Copies S with every space-like mark written as ' '.  Returns the length, or
   0 when S has other characters or is too long.  */
static size_t
number_marks (str_t s, char out[NUMBER_MAX_BYTES])
{
  size_t len = 0;
  while (s.len > 0)
    {
      size_t mark = wide_mark (s);
      char c = mark > 0 || s.data[0] == '\'' ? ' ' : s.data[0];
      if (strchr ("0123456789., ", c) == NULL || c == '\0'
          || len == NUMBER_MAX_BYTES)
        return 0;
      out[len++] = c;
      size_t step = mark > 0 ? mark : 1;
      s = str_make (s.data + step, s.len - step);
    }
  return len;
}

static size_t
count_char (str_t s, char c)
{
  size_t count = 0;
  for (size_t i = 0; i < s.len; i++)
    count += s.data[i] == c;
  return count;
}

static const char *
last_char (str_t s, char c)
{
  return s.len == 0 ? NULL : memrchr (s.data, c, s.len);
}

/* Finds the decimal separator of S: *AT is NULL when it has none.  */
static int
decimal_place (str_t s, bool integer, const char **at)
{
  size_t points = count_char (s, '.');
  size_t commas = count_char (s, ',');
  const char *point = last_char (s, '.');
  const char *comma = last_char (s, ',');
  *at = NULL;
  if (points > 0 && commas > 0)
    {
      *at = point > comma ? point : comma;
      return (point > comma ? points : commas) == 1 ? 0 : -LT_EINVAL;
    }
  if (points + commas != 1)
    return 0;
  const char *only = points == 1 ? point : comma;
  size_t before = (size_t)(only - s.data);
  size_t after = s.len - before - 1;
  bool like_group = after == GROUP_DIGITS && before >= 1
                    && before <= GROUP_DIGITS && s.data[0] != '0'
                    && count_char (s, ' ') == 0;
  if (like_group && !integer)
    return -LT_ECONFLICT;
  if (!like_group)
    *at = only;
  return 0;
}

/* Reads the digits of an integer part; groups must have three digits.  */
static int
read_whole (str_t whole, int64_t *value)
{
  size_t digits = 0;
  bool grouped = false;
  int64_t sum = 0;
  char mark = '\0';
  if (whole.len == 0)
    return -LT_EINVAL;
  for (size_t i = 0; i < whole.len; i++)
    {
      char c = whole.data[i];
      if (c >= '0' && c <= '9')
        {
          if (sum > (INT64_MAX - 9) / 10)
            return -LT_ERANGE;
          sum = sum * 10 + (c - '0');
          digits++;
          continue;
        }
      bool whole_group = grouped ? digits == GROUP_DIGITS
                                 : digits >= 1 && digits <= GROUP_DIGITS;
      if (!whole_group || (mark != '\0' && mark != c))
        return -LT_EINVAL;
      mark = c;
      grouped = true;
      digits = 0;
    }
  *value = sum;
  return grouped && digits != GROUP_DIGITS ? -LT_EINVAL : 0;
}

int
lt_value_number (str_t s, int decimals, int64_t *value)
{
  char text[NUMBER_MAX_BYTES];
  bool negative = s.len > 1 && s.data[0] == '-';
  if (negative)
    s = str_make (s.data + 1, s.len - 1);
  str_t marks = str_make (text, number_marks (s, text));
  if (marks.len == 0)
    return -LT_EINVAL;
  const char *decimal = NULL;
  int err = decimal_place (marks, decimals == 0, &decimal);
  if (err != 0)
    return err;
  str_t fraction = str_make (NULL, 0);
  str_t whole = marks;
  if (decimal != NULL)
    {
      whole.len = (size_t)(decimal - marks.data);
      fraction = str_make (decimal + 1, marks.len - whole.len - 1);
      if (fraction.len == 0)
        return -LT_EINVAL;
    }
  int64_t sum = 0;
  err = read_whole (whole, &sum);
  for (size_t i = 0; err == 0 && (int)i < decimals; i++)
    {
      char c = i < fraction.len ? fraction.data[i] : '0';
      if (c < '0' || c > '9')
        err = -LT_EINVAL;
      else if (sum > (INT64_MAX - 9) / 10)
        err = -LT_ERANGE;
      else
        sum = sum * 10 + (c - '0');
    }
  for (size_t i = (size_t)decimals; err == 0 && i < fraction.len; i++)
    if (fraction.data[i] != '0')
      err = -LT_EINVAL;
  *value = negative ? -sum : sum;
  return err;
}

bool
lt_value_is_name (str_t s)
{
  if (s.len == 0 || s.len > NAME_MAX_BYTES || !str_is_utf8 (s)
      || str_equal (s, STR_LIT ("*")))
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char)s.data[i];
      if (c < 0x20 || c == 0x7f || c == '|')
        return false;
    }
  return true;
}

bool
lt_value_is_address (str_t s)
{
  char host[INET6_ADDRSTRLEN];
  const char *colon = last_char (s, ':');
  if (colon == NULL)
    return false;
  str_t ip = str_make (s.data, (size_t)(colon - s.data));
  str_t digits = str_make (colon + 1, s.len - ip.len - 1);
  int64_t port = 0;
  if (str_to_i64 (digits, &port) != 0 || port < 1 || port > PORT_MAX
      || digits.data[0] == '0')
    return false;
  bool bracketed
      = ip.len > 2 && ip.data[0] == '[' && ip.data[ip.len - 1] == ']';
  if (bracketed)
    ip = str_make (ip.data + 1, ip.len - 2);
  if (ip.len >= sizeof (host) || memchr (ip.data, '\0', ip.len) != NULL)
    return false;
  memcpy (host, ip.data, ip.len);
  host[ip.len] = '\0';
  unsigned char binary[sizeof (struct in6_addr)];
  return inet_pton (bracketed ? AF_INET6 : AF_INET, host, binary) == 1;
}

bool
lt_value_is_path (str_t s)
{
  if (s.len > PATH_MAX_BYTES || !lt_path_is_canonical (s)
      || count_char (s, '/') > PATH_MAX_SEGMENTS)
    return false;
  if (s.len > 1 && s.data[s.len - 1] == '/')
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char)s.data[i];
      if (c <= 0x20 || c >= 0x7f || strchr ("?#\"<>^`{|}", c) != NULL)
        return false;
    }
  return true;
}

bool
lt_value_is_secret (str_t s)
{
  if (s.len < SECRET_MIN_BYTES || s.len > SECRET_MAX_BYTES)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.data[i];
      bool alnum = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z')
                   || (c >= 'a' && c <= 'z');
      if (!alnum && (c == '\0' || strchr ("-._~+/=", c) == NULL))
        return false;
    }
  return true;
}
