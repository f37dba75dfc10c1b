#include "lt/policy/departures.h"

#include <stdlib.h>
#include <uthash.h>

#include "lt/base/str.h"

typedef struct departure
{
  UT_hash_handle hh;
  uint64_t id;
  int64_t noted_us;
} departure_t;

struct lt_departures
{
  lt_departures_options_t options;
  departure_t *items; /* In the order of their last notes. */
};

lt_departures_t *
lt_departures_create (const lt_departures_options_t *options)
{
  lt_departures_t *departures = lt_alloc (sizeof (*departures));
  departures->options = *options;
  return departures;
}

static departure_t *
find (const lt_departures_t *departures, uint64_t id)
{
  departure_t *departure = NULL;
  HASH_FIND (hh, departures->items, &id, sizeof (id), departure);
  return departure;
}

static void
forget (lt_departures_t *departures, departure_t *departure)
{
  HASH_DEL (departures->items, departure); /* NOLINT(clang-analyzer-*) */
  free (departure);
}

void
lt_departures_destroy (lt_departures_t *departures)
{
  departure_t *departure;
  departure_t *next;
  if (departures == NULL)
    return;
  HASH_ITER (hh, departures->items, departure, next)
  {
    forget (departures, departure);
  }
  free (departures);
}

bool
lt_departures_note (lt_departures_t *departures, uint64_t id, int64_t now_us)
{
  departure_t *departure = find (departures, id);
  bool is_new = departure == NULL;
  if (!is_new)
    forget (departures, departure);
  else if (HASH_COUNT (departures->items) >= departures->options.max)
    forget (departures, departures->items);
  departure = lt_alloc (sizeof (*departure));
  departure->id = id;
  departure->noted_us = now_us;
  HASH_ADD (hh, departures->items, id, sizeof (departure->id), departure);
  return is_new;
}

bool
lt_departures_has (const lt_departures_t *departures, uint64_t id)
{
  return find (departures, id) != NULL;
}

uint32_t
lt_departures_count (const lt_departures_t *departures)
{
  return HASH_COUNT (departures->items);
}

void
lt_departures_expire (lt_departures_t *departures, int64_t now_us)
{
  departure_t *departure;
  departure_t *next;
  HASH_ITER (hh, departures->items, departure, next)
  {
    if (now_us - departure->noted_us < departures->options.memory_us)
      break;
    forget (departures, departure);
  }
}
