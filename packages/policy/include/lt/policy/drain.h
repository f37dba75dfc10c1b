/** @file
    Upstreams that leave: planned stops, drains by operators, and upstreams
    that announce their end by closing connections (RFC 9112, section 9.6).  A
    leaving upstream gets no new work.

    An announcement is only a hint, since some servers close connections for
    other reasons: it counts when the upstream kept connections open before, it
    never takes a service below its floor, and a probe ends it.  */
#ifndef LT_POLICY_DRAIN_H
#define LT_POLICY_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_drain lt_drain_t;

  typedef struct lt_drain_options
  {
    int64_t probe_interval_us; /**< Between probes of one upstream. */
    uint32_t probes_to_return; /**< Good probes in a row. */
  } lt_drain_options_t;

#define LT_DRAIN_OPTIONS_DEFAULT                                              \
  ((lt_drain_options_t){ .probe_interval_us = 2000000, .probes_to_return = 2 })

  /** One upstream of the configuration.  */
  typedef struct lt_drain_upstream
  {
    uint64_t name; /**< lt_hash64 of the name. */
    uint32_t service;
    int32_t slots;
    bool drained; /**< By an operator. */
  } lt_drain_upstream_t;

  typedef struct lt_drain_service
  {
    int32_t floor_percent;
    int64_t lead_us; /**< New work ends so long before a planned stop: the
                        longest timeout of the service's routes. */
  } lt_drain_service_t;

  typedef struct lt_drain_stop
  {
    uint32_t upstream;
    int64_t starts_wall_us;
    int64_t ends_wall_us;
  } lt_drain_stop_t;

  typedef struct lt_drain_config
  {
    const lt_drain_upstream_t *upstreams;
    uint32_t upstream_count;
    const lt_drain_service_t *services;
    uint32_t service_count;
    const lt_drain_stop_t *stops;
    uint32_t stop_count;
  } lt_drain_config_t;

  /** An upstream starts or ends to leave.  */
  typedef struct lt_drain_change
  {
    uint32_t upstream;
    bool leaving;
  } lt_drain_change_t;

  lt_drain_t *lt_drain_create (const lt_drain_options_t *options);
  void lt_drain_destroy (lt_drain_t *drain);
  /** Replaces the configuration; copies it.  Announcements of upstreams with
      the same name stay.  Every change is reported again by lt_drain_update.
   */
  void lt_drain_configure (lt_drain_t *drain, const lt_drain_config_t *config);
  /** An upstream answered; CLOSING says that it closed the connection of its
      own accord.  Returns true when this is a new announcement.  */
  bool lt_drain_on_answer (lt_drain_t *drain, uint32_t upstream, bool closing,
                           int64_t now_us);
  /** Another VM saw an announcement.  Returns true when it is new here.  */
  bool lt_drain_on_notice (lt_drain_t *drain, uint64_t name, int64_t now_us);
  /** Returns an upstream whose announcement should be probed now, or
      UINT32_MAX; the next probe of it follows after the interval.  */
  uint32_t lt_drain_probe_due (lt_drain_t *drain, int64_t now_us);
  /** A probe ended; OK says that it was answered and the connection kept.  */
  void lt_drain_on_probe (lt_drain_t *drain, uint32_t upstream, bool ok);
  /** Writes at most CAP changes since the last call and returns their number.
      Stops compare with WALL_US.  */
  uint32_t lt_drain_update (lt_drain_t *drain, int64_t wall_us,
                            lt_drain_change_t *changes, uint32_t cap);
  bool lt_drain_leaving (const lt_drain_t *drain, uint32_t upstream);

#ifdef __cplusplus
}
#endif

#endif
