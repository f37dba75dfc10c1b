/** @file
    Fields of an HTTP message in the order received.  */
#ifndef LT_BASE_HEADER_LIST_H
#define LT_BASE_HEADER_LIST_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_header
  {
    str_t name;
    str_t value;
  } lt_header_t;

  /** Owns the bytes of its names and values.  Zero-initialized means empty. */
  typedef struct lt_header_list
  {
    lt_header_t *items;
    size_t count;
    size_t cap;
  } lt_header_list_t;

  /** Returns whether C may stand in the name of a field (RFC 9110, section
      5.6.2).  */
  bool lt_is_token_char (char c);
  /** Returns whether C may stand in the value of a field: visible characters,
      blanks, tabs and bytes above 127.  */
  bool lt_is_field_char (char c);
  /** Adds copies of NAME and VALUE.  */
  void lt_header_list_add (lt_header_list_t *list, str_t name, str_t value);
  /** Returns the value of the first header NAME, compared without case, or an
      empty string with NULL data.  LIST owns the value.  */
  str_t lt_header_list_get (const lt_header_list_t *list, str_t name);
  size_t lt_header_list_count (const lt_header_list_t *list, str_t name);
  /** Releases the memory and leaves LIST empty.  */
  void lt_header_list_destroy (lt_header_list_t *list);

#ifdef __cplusplus
}
#endif

#endif
