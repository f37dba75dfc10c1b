/** @file
    Length-counted text.  A str_t never owns its bytes and is not assumed to
    end in NUL; lt_buf_t owns a growing byte array.  */
#ifndef LT_BASE_STR_H
#define LT_BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /** A view of LEN bytes at DATA, owned by somebody else.  */
  typedef struct str
  {
    const char *data;
    size_t len;
  } str_t;

/** Initializer for a view of a string literal.  */
#define STR_LIT(s) ((str_t){ (s), sizeof (s) - 1 })

/** The same as a constant initializer, for static data.  */
#define STR_CONST(s)                                                          \
  {                                                                           \
    (s), sizeof (s) - 1                                                       \
  }

/** printf arguments for "%.*s".  */
#define STR_ARG(s) (int)(s).len, (s).data

  /** Returns a view of the NUL-terminated TEXT; NULL gives an empty view.  */
  str_t str_from (const char *text);
  /** Returns a view of LEN bytes at DATA.  */
  str_t str_make (const char *data, size_t len);
  bool str_equal (str_t a, str_t b);
  /** Compares ASCII letters without regard to case.  */
  bool str_equal_nocase (str_t a, str_t b);
  /** Orders by bytes, then by length; returns <0, 0 or >0.  */
  int str_compare (str_t a, str_t b);
  /** The same without regard to the case of ASCII letters.  */
  int str_compare_nocase (str_t a, str_t b);
  bool str_starts_with (str_t s, str_t prefix);
  /** Returns the offset of the first NEEDLE in S, or -1.  */
  ptrdiff_t str_find (str_t s, str_t needle);
  /** Returns S without leading and trailing ASCII white space.  */
  str_t str_trim (str_t s);
  /** Splits S at the first SEP: returns the part before it and leaves the rest
      in *REST (empty with NULL data when there is no SEP).  */
  str_t str_split (str_t s, char sep, str_t *rest);
  /** Returns a NUL-terminated copy owned by the caller.  */
  char *str_dup (str_t s);
  /** Parses a decimal integer that fills S.  Returns 0, -LT_EINVAL or
      -LT_ERANGE.  */
  int str_to_i64 (str_t s, int64_t *value);
  /** Parses a decimal number that fills S, such as 2 or 0.75, as thousandths;
      further digits are cut off.  There may be no sign and no exponent.
      Returns as str_to_i64.  */
  int str_to_milli (str_t s, int64_t *value);
  /** Returns the value of the hexadecimal digit C of either case, or -1.  */
  int str_hex_digit (char c);
  /** Returns true when S is well-formed UTF-8.  */
  bool str_is_utf8 (str_t s);

  /** An owned, growing byte array.  Zero-initialized means empty.  */
  typedef struct lt_buf
  {
    char *data;
    size_t len;
    size_t cap;
  } lt_buf_t;

  void lt_buf_append (lt_buf_t *buf, const void *data, size_t len);
  void lt_buf_append_str (lt_buf_t *buf, str_t s);
  void lt_buf_printf (lt_buf_t *buf, const char *format, ...)
      __attribute__ ((format (printf, 2, 3)));
  /** Makes room for CAPACITY bytes in all, and not more.  */
  void lt_buf_reserve (lt_buf_t *buf, size_t capacity);
  /** Returns memory to the system, so that BUF has room for CAPACITY bytes, or
      for those that it holds.  */
  void lt_buf_shrink (lt_buf_t *buf, size_t capacity);
  /** Drops the first LEN bytes.  */
  void lt_buf_consume (lt_buf_t *buf, size_t len);
  void lt_buf_clear (lt_buf_t *buf);
  /** Releases the memory and leaves BUF empty.  */
  void lt_buf_destroy (lt_buf_t *buf);
  str_t lt_buf_str (const lt_buf_t *buf);

  /** Allocates zeroed memory; ends the process when there is none.  */
  void *lt_alloc (size_t size);
  /** Resizes memory; ends the process when there is none.  */
  void *lt_realloc (void *mem, size_t size);

#ifdef __cplusplus
}
#endif

#endif
