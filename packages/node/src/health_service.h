/** @file
    Health state of one service on this VM, internal to the health
    controller.  */
#ifndef LT_NODE_HEALTH_SERVICE_H
#define LT_NODE_HEALTH_SERVICE_H

#include "health_codec.h"
#include "lt/node/node.h"
#include "lt/policy/balance.h"
#include "lt/policy/health_fleet.h"
#include "lt/policy/health_local.h"
#include "lt/policy/health_record.h"

#define LT_HEALTH_AGGREGATOR_MAX 64

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_health_service
  {
    lt_node_t *node;
    const lt_snapshot_t *snapshot; /**< Configuration of INDEX. */
    uint32_t index;
    str_t name;
    uint64_t upstreams_hash;
    lt_health_pool_t pool;
    bool *leaving; /**< Per upstream; set by
                        lt_health_controller_set_leaving. */
    lt_balance_pool_t *balance;
    lt_health_local_t *local;
    lt_health_fleet_t *fleet; /**< NULL unless this VM aggregates. */
    str_t domains[LT_HEALTH_MAX_DOMAINS]; /**< Of reporting VMs; owned. */
    lt_ejection_view_t view;
    uint32_t unknown; /**< Record entries for upstreams that are not in
                           SNAPSHOT. */
    int64_t unknown_since_us;
    char aggregator[LT_HEALTH_AGGREGATOR_MAX]; /**< The aggregator's VM id. */
    int64_t aggregator_found_us; /**< When AGGREGATOR was looked up. */
    int64_t last_attempt_us;     /**< Last result of an attempt. */
    int64_t updated_us;
    int64_t reported_us;
    int64_t evidence_sent_us;     /**< Last message to the aggregator. */
    int64_t evidence_received_us; /**< Last counts from any VM, this one
                                     included, for FLEET. */
    int64_t confirmed_us; /**< VIEW was the latest version at this time. */
    bool record_valid;    /**< VIEW is recent enough to use. */
    int64_t last_table_call_us; /**< Last read or write of the table. */
    bool table_busy;            /**< A table call is pending. */
    bool dirty; /**< Results or record changes are not applied yet. */
    lt_gauge_t *usable;
  } lt_health_service_t;

  /** Creates the state of service INDEX of SNAPSHOT.  OLD is the state of the
      same service in the previous configuration, or NULL.  OLD is returned
      when the upstreams are unchanged.  Otherwise the state that is still
      valid is copied from it and OLD is destroyed.  */
  lt_health_service_t *lt_health_service_create (lt_node_t *node,
                                                 const lt_snapshot_t *snapshot,
                                                 uint32_t index,
                                                 lt_health_service_t *old,
                                                 int64_t now_us);
  void lt_health_service_destroy (lt_health_service_t *service);
  lt_health_names_t
  lt_health_service_names (const lt_health_service_t *service);
  str_t lt_health_service_upstream (const lt_health_service_t *service,
                                    uint32_t upstream);
  /** Returns the upstream's index within the service, or UINT32_MAX.  */
  uint32_t lt_health_service_find (const lt_health_service_t *service,
                                   str_t name);
  /** Sets which upstreams are out of service: those drained or evacuated in
     the configuration or through lt_health_controller_set_leaving.  */
  void lt_health_service_update_out_of_service (lt_health_service_t *service);
  /** Updates the upstreams' states from local results and the record, and
      passes them to the balancer.  */
  void lt_health_service_update (lt_health_service_t *service, int64_t now_us);
  /** Replaces VIEW by an encoded record when VERSION is newer.  Returns 0,
      -LT_ESTALE (VERSION is older) or -LT_EPROTO (malformed).  */
  int lt_health_service_apply (lt_health_service_t *service, int64_t version,
                               str_t bytes, int64_t now_us);
  /** Notes that evidence has arrived and creates the aggregator's state when
      there is none.  */
  void lt_health_service_aggregate (lt_health_service_t *service,
                                    int64_t now_us);
  /** Frees the aggregator's state.  */
  void lt_health_service_end_aggregation (lt_health_service_t *service);
  /** Returns the number of a reporting VM's failure domain, which is assigned
      on first use, or UINT32_MAX when there are too many.  */
  uint32_t lt_health_service_domain (lt_health_service_t *service, str_t name);
  /** Returns a new JSON value with the state of the pool, and with the
      ejections and locally avoided upstreams and their evidence.  */
  struct json_t *lt_health_service_status (const lt_health_service_t *service,
                                           int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
