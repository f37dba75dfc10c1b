/** @file
    The clock of the runtime.  The daemon uses the system clock; tests use a
    manual clock that they pause and advance.  */
#ifndef LT_BASE_CLOCK_H
#define LT_BASE_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_US_PER_MS 1000LL
#define LT_US_PER_S 1000000LL

  typedef struct lt_clock lt_clock_t;

  typedef struct lt_clock_vtable
  {
    /** Monotonic microseconds; counts time in which the machine is suspended,
        so that a paused lease holder sees the whole pause.  */
    int64_t (*now_us) (lt_clock_t *clock);
    /** Microseconds since 1970-01-01 UTC; for records and for
        planned stops, which are given as times of day. */
    int64_t (*wall_us) (lt_clock_t *clock);
  } lt_clock_vtable_t;

  struct lt_clock
  {
    const lt_clock_vtable_t *vtable;
  };

  /** A clock that moves only when told to.  */
  typedef struct lt_manual_clock
  {
    lt_clock_t base;
    int64_t now_us;
    int64_t wall_us;
  } lt_manual_clock_t;

  int64_t lt_clock_now_us (lt_clock_t *clock);
  int64_t lt_clock_wall_us (lt_clock_t *clock);
  /** Returns the shared system clock (CLOCK_BOOTTIME and CLOCK_REALTIME).  */
  lt_clock_t *lt_clock_system (void);
  /** Starts a manual clock at NOW_US.  */
  void lt_manual_clock_init (lt_manual_clock_t *clock, int64_t now_us);
  void lt_manual_clock_advance (lt_manual_clock_t *clock, int64_t delta_us);

#ifdef __cplusplus
}
#endif

#endif
