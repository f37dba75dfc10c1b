/** @file
    The health controller's state, shared by its source files.  */
#ifndef LT_NODE_HEALTH_INTERNAL_H
#define LT_NODE_HEALTH_INTERNAL_H

#include "health_service.h"
#include "lt/node/health_controller.h"
#include "pools.h"

#define LT_MESSAGE_EVIDENCE 8
#define LT_MESSAGE_EJECTIONS 9

#ifdef __cplusplus
extern "C"
{
#endif

  /** A pending table call or probe.  It may complete after a change of the
      configuration, so it identifies its service and upstream by name.  */
  typedef struct lt_health_pending
  {
    lt_health_controller_t *controller; /**< NULL once it is destroyed. */
    struct lt_health_pending *next;
    char *service;
    char *upstream; /**< Probes only: the upstream's name. */
    bool fleet; /**< The probe's result counts for the ejection record, else
                     for local avoidance by this VM. */
    bool probe; /**< A probe, else a table call. */
    int status; /**< HTTP status of the probe's response. */
    int64_t sent_us;
    struct lt_upstream_probe *transfer; /**< The probe's request, or NULL. */
    lt_ejection_record_t next_record;   /**< Writes only: the new record. */
    uint64_t upstreams_hash;            /**< Upstreams that NEXT_RECORD's
                                           indexes refer to. */
  } lt_health_pending_t;

  struct lt_health_controller
  {
    lt_controller_t base;
    lt_pools_t pools;
    lt_node_t *node;
    lt_health_hooks_t hooks;
    lt_snapshot_ref_t *config;
    lt_health_service_t **services; /**< By service index in CONFIG. */
    uint32_t service_count;
    lt_health_pending_t *pending;
    /** Spreads the services' periodic work over the ticks.  */
    uint32_t tick_count;
    uint32_t vms; /**< Live VMs; 0: not counted yet. */
    uint32_t region_vms;
    uint32_t domain_vms;
    double tokens;     /**< Evidence messages that may be sent now. */
    int64_t tokens_us; /**< Last refill of TOKENS. */
    lt_counter_t *ejected;
    lt_counter_t *returned;
    lt_gauge_t *evacuated;
    lt_counter_t *refused; /**< Ejections prevented by the floor. */
  };

  /** Returns the service's state, or NULL when the configuration does not have
      the service.  */
  lt_health_service_t *
  lt_health_controller_service (lt_health_controller_t *controller,
                                str_t name);
  /** Creates a pending operation for SERVICE and adds it to the controller's
      list.  */
  lt_health_pending_t *
  lt_health_pending_create (lt_health_controller_t *controller,
                            const lt_health_service_t *service);
  /** Removes PENDING from the list, cancels its probe and frees it.  */
  void lt_health_pending_destroy (lt_health_pending_t *pending);

  /** Sends the evidence that is due to the services' aggregators, within the
      limit on messages.  */
  void lt_health_send_evidence (lt_health_controller_t *controller,
                                int64_t now_us);
  /** Handles an evidence message (8) and responds with message 9.  */
  void lt_health_on_evidence (lt_health_controller_t *controller,
                              const lt_peer_message_t *message,
                              int64_t now_us);
  /** Handles an ejections message (9).  */
  void lt_health_on_ejections (lt_health_controller_t *controller,
                               const lt_peer_message_t *message,
                               int64_t now_us);
  /** Encodes an ejections message (9) for a VM that uses record VERSION.  The
      record is left out when that is the current version.  */
  void lt_health_service_encode_ejections (lt_health_service_t *service,
                                           int64_t version, int64_t now_us,
                                           lt_buf_t *payload);
  /** When this VM aggregates SERVICE: evaluates the evidence and starts the
      ejections, returns and probes that follow from it.  */
  void lt_health_run_aggregation (lt_health_controller_t *controller,
                                  lt_health_service_t *service,
                                  int64_t now_us);
  /** Reads the record from the table when this VM's copy was last confirmed
      too long ago.  */
  void lt_health_refresh_record (lt_health_controller_t *controller,
                                 lt_health_service_t *service, int64_t now_us);
  /** Starts a probe of UPSTREAM.  FLEET: its result counts for the ejection
      record, else for local avoidance by this VM.  */
  void lt_health_start_probe (lt_health_controller_t *controller,
                              lt_health_service_t *service, uint32_t upstream,
                              bool fleet, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
