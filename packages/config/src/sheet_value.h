/** @file
    Values as people and spreadsheets write them.  */
#ifndef LT_CONFIG_SHEET_VALUE_H
#define LT_CONFIG_SHEET_VALUE_H

#include "lt/base/str.h"

/** Removes white space, no-break spaces included, around S.  */
str_t lt_value_trim (str_t s);
/** Parses a number with decimal point or comma and thousands separators
    (point, comma, space, apostrophe) and scales it by 10^DECIMALS.  Returns 0,
    -LT_EINVAL, -LT_ERANGE, or -LT_ECONFLICT when a single separator may be
    either a decimal or a thousands separator.  */
int lt_value_number (str_t s, int decimals, int64_t *value);
/** Returns true when S is a name: UTF-8 without control characters and '|',
    at most 128 bytes, and not "*".  */
bool lt_value_is_name (str_t s);
/** Returns true when S is "ip:port" or "[ipv6]:port".  */
bool lt_value_is_address (str_t s);
/** Returns true when S is a canonical path prefix such as "/" or "/a/b".  */
bool lt_value_is_path (str_t s);
/** Returns true when S has the form of a bearer token of 8 to 256 bytes.  */
bool lt_value_is_secret (str_t s);
/** Returns true when S is a date YYYY-MM-DD.  */
bool lt_value_is_day (str_t s);
/** Parses "YYYY-MM-DD HH:MM[:SS]" (or with "T") followed by "Z", an offset or
    the name of a time zone.  Returns 0, -LT_EINVAL (syntax, date or zone),
    -LT_ENOTFOUND when the local time does not exist, or -LT_ECONFLICT when it
    exists twice.  */
int lt_value_time (str_t s, int64_t *wall_us);

#endif
