#include "lt/base/clock.h"

#include <time.h>

static int64_t
read_us (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return ts.tv_sec * LT_US_PER_S + ts.tv_nsec / 1000;
}

static int64_t
system_now_us (lt_clock_t *clock)
{
  (void)clock;
  return read_us (CLOCK_BOOTTIME);
}

static int64_t
system_wall_us (lt_clock_t *clock)
{
  (void)clock;
  return read_us (CLOCK_REALTIME);
}

static const lt_clock_vtable_t system_vtable
    = { .now_us = system_now_us, .wall_us = system_wall_us };

lt_clock_t *
lt_clock_system (void)
{
  static lt_clock_t clock = { .vtable = &system_vtable };
  return &clock;
}

static int64_t
manual_now_us (lt_clock_t *clock)
{
  return ((lt_manual_clock_t *)clock)->now_us;
}

static int64_t
manual_wall_us (lt_clock_t *clock)
{
  return ((lt_manual_clock_t *)clock)->wall_us;
}

static const lt_clock_vtable_t manual_vtable
    = { .now_us = manual_now_us, .wall_us = manual_wall_us };

void
lt_manual_clock_init (lt_manual_clock_t *clock, int64_t now_us)
{
  clock->base.vtable = &manual_vtable;
  clock->now_us = now_us;
  clock->wall_us = now_us;
}

void
lt_manual_clock_advance (lt_manual_clock_t *clock, int64_t delta_us)
{
  clock->now_us += delta_us;
  clock->wall_us += delta_us;
}

int64_t
lt_clock_now_us (lt_clock_t *clock)
{
  return clock->vtable->now_us (clock);
}

int64_t
lt_clock_wall_us (lt_clock_t *clock)
{
  return clock->vtable->wall_us (clock);
}
