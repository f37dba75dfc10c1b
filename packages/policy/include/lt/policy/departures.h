/** @file
    Upstreams that said in a response that they leave.  What an upstream says
    of itself holds whatever the registry says, until its process ends: an id
    stands for one process, so a later one under the same name or address is
    not concerned.

    Memory is bounded: an id is forgotten some time after it was last noted, or
    when too many newer ones are known.  */
#ifndef LT_POLICY_DEPARTURES_H
#define LT_POLICY_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_departures lt_departures_t;

  typedef struct lt_departures_options
  {
    int64_t memory_us; /**< How long an id is known after the last note. Longer
                          than a leaving process lives on. */
    uint32_t max;      /**< Largest number of ids; the oldest give way. */
  } lt_departures_options_t;

#define LT_DEPARTURES_OPTIONS_DEFAULT                                         \
  ((lt_departures_options_t){ .memory_us = 600LL * 1000 * 1000, .max = 8192 })

  lt_departures_t *
  lt_departures_create (const lt_departures_options_t *options);
  void lt_departures_destroy (lt_departures_t *departures);
  /** Notes that the upstream process ID leaves.  Returns whether this was not
      known.  */
  bool lt_departures_note (lt_departures_t *departures, uint64_t id,
                           int64_t now_us);
  bool lt_departures_has (const lt_departures_t *departures, uint64_t id);
  uint32_t lt_departures_count (const lt_departures_t *departures);
  /** Forgets ids that were not noted for memory_us.  */
  void lt_departures_expire (lt_departures_t *departures, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
