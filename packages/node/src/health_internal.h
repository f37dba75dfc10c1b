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

  /** An open table call or probe.  It outlives configurations, so it names its
      service and upstream.  */
  typedef struct lt_health_pending
  {
    lt_health_controller_t *controller; /**< NULL when it is gone. */
    struct lt_health_pending *next;
    char *service;
    char *upstream; /**< Of a probe. */
    bool fleet;     /**< The probe is for the ejection record. */
    bool probe;
    int status; /**< Of the probe's answer. */
    int64_t sent_us;
    struct lt_upstream_probe *transfer; /**< Of a probe; NULL: none open. */
    lt_ejection_record_t next_record;   /**< Of a write. */
    uint64_t upstreams_hash;            /**< That its indexes refer to. */
  } lt_health_pending_t;

  struct lt_health_controller
  {
    lt_controller_t base;
    lt_pools_t pools;
    lt_node_t *node;
    lt_health_hooks_t hooks;
    lt_snapshot_ref_t *config;
    lt_health_service_t **services; /**< By index of CONFIG's services. */
    uint32_t service_count;
    lt_health_pending_t *pending;
    uint32_t turn; /**< Of ticks, for staggered work. */
    uint32_t vms;  /**< 0: not counted. */
    uint32_t region_vms;
    uint32_t domain_vms;
    double tokens; /**< Evidence messages that may be sent. */
    int64_t tokens_us;
    lt_counter_t *ejected;
    lt_counter_t *returned;
    lt_counter_t *refused; /**< Ejections that the floor prevented. */
  };

  lt_health_service_t *
  lt_health_controller_service (lt_health_controller_t *controller,
                                str_t name);
  lt_health_pending_t *
  lt_health_pending_create (lt_health_controller_t *controller,
                            const lt_health_service_t *service);
  /** Takes PENDING off the list and frees it.  */
  void lt_health_pending_destroy (lt_health_pending_t *pending);

  /** Sends evidence that is due, as the owner and the message budget allow. */
  void lt_health_send_evidence (lt_health_controller_t *controller,
                                int64_t now_us);
  /** Handles messages 8 and 9.  */
  void lt_health_on_evidence (lt_health_controller_t *controller,
                              const lt_peer_message_t *message,
                              int64_t now_us);
  void lt_health_on_ejections (lt_health_controller_t *controller,
                               const lt_peer_message_t *message,
                               int64_t now_us);
  /** Encodes message 9 for a VM that acts on record VERSION.  */
  void lt_health_encode_answer (lt_health_service_t *service, int64_t version,
                                int64_t now_us, lt_buf_t *payload);
  /** Evaluates the evidence of a service that this VM aggregates, and acts on
      it.  */
  void lt_health_run_fleet (lt_health_controller_t *controller,
                            lt_health_service_t *service, int64_t now_us);
  /** Reads the record when its confirmation is getting old.  */
  void lt_health_keep_confirmed (lt_health_controller_t *controller,
                                 lt_health_service_t *service, int64_t now_us);
  /** Starts a probe; FLEET: for the record, else for this VM.  */
  void lt_health_start_probe (lt_health_controller_t *controller,
                              lt_health_service_t *service, uint32_t upstream,
                              bool fleet, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
