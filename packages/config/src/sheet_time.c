/* Points in time of planned stops.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "sheet_value.h"

enum
{
  DAY_BYTES = 10,
  ZONE_MAX_BYTES = 64,
  HOUR_S = 3600,
  /* No zone is more than 26 h from another one, so the offsets in effect near
     a local time appear within 30 h of the same time in UTC.  */
  SEARCH_HOURS = 30,
  YEAR_MIN = 2000,
  YEAR_MAX = 2200
};

#define ZONE_DIRECTORY "/usr/share/zoneinfo/"

/* Reads COUNT digits at S, or returns -1.  */
static int
digits_at (str_t s, size_t at, size_t count)
{
  int value = 0;
  if (at + count > s.len)
    return -1;
  for (size_t i = at; i < at + count; i++)
    {
      if (s.data[i] < '0' || s.data[i] > '9')
        return -1;
      value = value * 10 + (s.data[i] - '0');
    }
  return value;
}

static bool
parse_day (str_t s, struct tm *tm)
{
  if (s.len < DAY_BYTES || s.data[4] != '-' || s.data[7] != '-')
    return false;
  int year = digits_at (s, 0, 4);
  int month = digits_at (s, 5, 2);
  int day = digits_at (s, 8, 2);
  if (year < YEAR_MIN || year > YEAR_MAX || month < 1 || day < 1)
    return false;
  *tm = (struct tm){ .tm_year = year - 1900,
                     .tm_mon = month - 1,
                     .tm_mday = day };
  struct tm normal = *tm;
  timegm (&normal);
  return normal.tm_mon == tm->tm_mon && normal.tm_mday == tm->tm_mday;
}

bool
lt_value_is_day (str_t s)
{
  struct tm tm;
  return s.len == DAY_BYTES && parse_day (s, &tm);
}

/* Parses "HH:MM[:SS]" at the start of *REST and advances it.  */
static bool
parse_clock (str_t *rest, struct tm *tm)
{
  tm->tm_hour = digits_at (*rest, 0, 2);
  tm->tm_min = digits_at (*rest, 3, 2);
  if (tm->tm_hour < 0 || tm->tm_hour > 23 || tm->tm_min < 0 || tm->tm_min > 59
      || rest->data[2] != ':')
    return false;
  size_t used = 5;
  if (rest->len > used && rest->data[used] == ':')
    {
      tm->tm_sec = digits_at (*rest, used + 1, 2);
      if (tm->tm_sec < 0 || tm->tm_sec > 59)
        return false;
      used += 3;
    }
  *rest = str_make (rest->data + used, rest->len - used);
  return true;
}

/* Parses "Z", "+HH", "+HHMM" or "+HH:MM" into seconds east of UTC.  */
static bool
parse_offset (str_t s, int64_t *offset_s)
{
  *offset_s = 0;
  if (str_equal (s, STR_LIT ("Z")) || str_equal (s, STR_LIT ("UTC")))
    return true;
  if (s.len < 3 || (s.data[0] != '+' && s.data[0] != '-'))
    return false;
  int hours = digits_at (s, 1, 2);
  size_t minutes_at = s.len > 3 && s.data[3] == ':' ? 4 : 3;
  int minutes = s.len == 3 ? 0 : digits_at (s, minutes_at, 2);
  if (hours < 0 || hours > 14 || minutes < 0 || minutes > 59
      || (s.len != 3 && s.len != minutes_at + 2))
    return false;
  *offset_s = (s.data[0] == '-' ? -1 : 1) * (hours * HOUR_S + minutes * 60);
  return true;
}

/* The C library takes an unknown zone for UTC, so the zone's file is looked
   up first.  */
static bool
zone_exists (str_t zone)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "abcdefghijklmnopqrstuvwxyz0123456789_+-/";
  char path[sizeof (ZONE_DIRECTORY) + ZONE_MAX_BYTES];
  char magic[4];
  if (zone.len == 0 || zone.len >= ZONE_MAX_BYTES || zone.data[0] == '/')
    return false;
  for (size_t i = 0; i < zone.len; i++)
    if (memchr (letters, zone.data[i], sizeof (letters) - 1) == NULL)
      return false;
  snprintf (path, sizeof (path), ZONE_DIRECTORY "%.*s", STR_ARG (zone));
  FILE *file = fopen (path, "rbe");
  if (file == NULL)
    return false;
  bool found = fread (magic, sizeof (magic), 1, file) == 1
               && memcmp (magic, "TZif", sizeof (magic)) == 0;
  fclose (file);
  return found;
}

/* Finds the instants at which clocks in the current zone show WANTED.  */
static int
find_instants (const struct tm *wanted, int64_t *instant_s)
{
  struct tm copy = *wanted;
  int64_t as_utc = timegm (&copy);
  int found = 0;
  int64_t last_offset = INT64_MAX;
  for (int h = -SEARCH_HOURS; h <= SEARCH_HOURS; h++)
    {
      time_t at = (time_t)(as_utc + h * HOUR_S);
      struct tm local;
      if (localtime_r (&at, &local) == NULL || local.tm_gmtoff == last_offset)
        continue;
      last_offset = local.tm_gmtoff;
      time_t candidate = (time_t)(as_utc - last_offset);
      struct tm shown;
      if (localtime_r (&candidate, &shown) == NULL
          || shown.tm_gmtoff != last_offset)
        continue;
      if (found > 0 && *instant_s == candidate)
        continue;
      *instant_s = candidate;
      found++;
    }
  return found;
}

/* The C library converts in the process's zone only.  The lock keeps calls of
   this function apart; the zone is restored before it returns.  */
static int
local_instants (const struct tm *wanted, str_t zone, int64_t *instant_s)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  char *name = str_dup (zone);
  pthread_mutex_lock (&lock);
  const char *set = getenv ("TZ");
  char *before = set == NULL ? NULL : str_dup (str_from (set));
  setenv ("TZ", name, 1);
  tzset ();
  int found = find_instants (wanted, instant_s);
  if (before != NULL)
    setenv ("TZ", before, 1);
  else
    unsetenv ("TZ");
  tzset ();
  pthread_mutex_unlock (&lock);
  free (before);
  free (name);
  return found;
}

int
lt_value_time (str_t s, int64_t *wall_us)
{
  struct tm tm;
  if (!parse_day (s, &tm) || s.len <= DAY_BYTES)
    return -LT_EINVAL;
  if (s.data[DAY_BYTES] != ' ' && s.data[DAY_BYTES] != 'T')
    return -LT_EINVAL;
  str_t rest = str_make (s.data + DAY_BYTES + 1, s.len - DAY_BYTES - 1);
  if (!parse_clock (&rest, &tm))
    return -LT_EINVAL;
  str_t zone = str_trim (rest);
  int64_t offset_s = 0;
  if (parse_offset (zone, &offset_s))
    {
      *wall_us = ((int64_t)timegm (&tm) - offset_s) * LT_US_PER_S;
      return 0;
    }
  if (!zone_exists (zone))
    return -LT_EINVAL;
  int64_t instant_s = 0;
  int found = local_instants (&tm, zone, &instant_s);
  *wall_us = instant_s * LT_US_PER_S;
  if (found == 0)
    return -LT_ENOTFOUND;
  return found == 1 ? 0 : -LT_ECONFLICT;
}
