/** @file
    Draining of upstreams: planned stops, drains by operators, and upstreams
    that announce their shutdown by closing connections (RFC 9112, section
    9.6).  A leaving upstream gets no new requests.

    An announcement is only a hint, since some servers close connections for
    other reasons.  It is ignored if the upstream never kept a connection open
    or if the service would fall below its capacity floor, and it ends when
    enough probes succeed.  */
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
    int64_t probe_interval_us; /**< Time between probes of one upstream. */
    uint32_t probes_to_return; /**< Successful probes in a row that end
                                  an announcement. */
  } lt_drain_options_t;

#define LT_DRAIN_OPTIONS_DEFAULT                                              \
  ((lt_drain_options_t){ .probe_interval_us = 2000000, .probes_to_return = 2 })

  /** One upstream of the configuration.  */
  typedef struct lt_drain_upstream
  {
    uint64_t name_hash; /**< lt_hash64 of the name. */
    uint32_t service;   /**< Index in lt_drain_config_t.services. */
    int32_t slots;      /**< Capacity in concurrent requests. */
    bool drained;       /**< Drained by an operator. */
  } lt_drain_upstream_t;

  typedef struct lt_drain_service
  {
    int32_t floor_percent; /**< Least share of the slots that must remain. */
    int64_t lead_us; /**< How long before a planned stop new requests end: the
                        longest timeout of the service's routes. */
  } lt_drain_service_t;

  /** A planned stop.  Times are wall-clock times.  */
  typedef struct lt_drain_planned_stop
  {
    uint32_t upstream; /**< Index in lt_drain_config_t.upstreams. */
    int64_t starts_wall_us;
    int64_t ends_wall_us;
  } lt_drain_planned_stop_t;

  typedef struct lt_drain_config
  {
    const lt_drain_upstream_t *upstreams;
    uint32_t upstream_count;
    const lt_drain_service_t *services;
    uint32_t service_count;
    const lt_drain_planned_stop_t *stops;
    uint32_t stop_count;
  } lt_drain_config_t;

  /** An upstream starts or stops leaving.  */
  typedef struct lt_drain_change
  {
    uint32_t upstream;
    bool leaving;
  } lt_drain_change_t;

  lt_drain_t *lt_drain_create (const lt_drain_options_t *options);
  void lt_drain_destroy (lt_drain_t *drain);
  /** Replaces the configuration with a copy of CONFIG.  Announcements of
      upstreams with the same name are kept.  lt_drain_update then reports all
      leaving upstreams again.  */
  void lt_drain_configure (lt_drain_t *drain, const lt_drain_config_t *config);
  /** Reports a response of an upstream.  CLOSING is true if the upstream
      closed the connection of its own accord.  Returns true if this is a new
      announcement.  */
  bool lt_drain_on_response (lt_drain_t *drain, uint32_t upstream,
                             bool closing, int64_t now_us);
  /** Reports an announcement that another VM saw.  NAME is the lt_hash64 of
      the upstream's name.  Returns true if it is new on this VM.  */
  bool lt_drain_on_peer_announcement (lt_drain_t *drain, uint64_t name,
                                      int64_t now_us);
  /** Returns an upstream that is due for a probe because of its announcement,
      or UINT32_MAX if there is none.  Its next probe is due after
      probe_interval_us.  */
  uint32_t lt_drain_probe_due (lt_drain_t *drain, int64_t now_us);
  /** Reports the result of a probe.  OK is true if the upstream responded and
      kept the connection open.  */
  void lt_drain_on_probe (lt_drain_t *drain, uint32_t upstream, bool ok);
  /** Writes up to CAP changes since the last call to CHANGES and returns their
      number.  WALL_US is the wall-clock time for planned stops.  */
  uint32_t lt_drain_update (lt_drain_t *drain, int64_t wall_us,
                            lt_drain_change_t *changes, uint32_t cap);
  /** Returns whether UPSTREAM was leaving at the last lt_drain_update.  */
  bool lt_drain_is_leaving (const lt_drain_t *drain, uint32_t upstream);

#ifdef __cplusplus
}
#endif

#endif
