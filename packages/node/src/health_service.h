/** @file
    Health state of one service on this VM, as parts of the health controller
    use it.  */
#ifndef LT_NODE_HEALTH_SERVICE_H
#define LT_NODE_HEALTH_SERVICE_H

#include "health_codec.h"
#include "lt/node/node.h"
#include "lt/policy/balance.h"
#include "lt/policy/health_fleet.h"
#include "lt/policy/health_local.h"
#include "lt/policy/health_record.h"

#define LT_HEALTH_OWNER_MAX 64

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_health_service
  {
    lt_node_t *node;
    const lt_snapshot_t *snapshot; /**< The one that INDEX refers to. */
    uint32_t index;
    str_t name;
    uint64_t upstreams_hash;
    lt_health_pool_t pool;
    bool *leaving; /**< By lt_health_controller_set_leaving. */
    lt_balance_pool_t *balance;
    lt_health_local_t *local;
    lt_health_fleet_t *fleet; /**< While this VM aggregates, else NULL. */
    str_t domains[LT_HEALTH_MAX_DOMAINS]; /**< Of reporters; owned. */
    lt_ejection_view_t view;
    uint32_t unknown; /**< Entries of the record without upstream. */
    int64_t unknown_since_us;
    char owner[LT_HEALTH_OWNER_MAX]; /**< The aggregator's VM id. */
    int64_t owner_us;                /**< When OWNER was looked up. */
    int64_t used_us;                 /**< Last outcome of an attempt. */
    int64_t updated_us;
    int64_t reported_us;
    int64_t asked_us;     /**< When the last evidence was sent. */
    int64_t evidence_us;  /**< Last evidence of any VM for FLEET. */
    int64_t confirmed_us; /**< The record was the latest at this time. */
    bool record_holds;    /**< VIEW is recent enough to act on. */
    int64_t read_us;      /**< Last read or write of the table. */
    bool table_busy;
    bool dirty; /**< Outcomes or record changes to apply. */
    lt_gauge_t *usable;
  } lt_health_service_t;

  /** Creates the state of service INDEX of SNAPSHOT.  OLD is the state of the
      same service before, or NULL; what still holds is taken from it.  */
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
  /** Returns the index within the service, or UINT32_MAX.  */
  uint32_t lt_health_service_find (const lt_health_service_t *service,
                                   str_t name);
  /** Sets which upstreams are out, by snapshot and drains.  */
  void lt_health_service_set_out (lt_health_service_t *service);
  /** Runs the local tests and passes the states on to the balancer.  */
  void lt_health_service_update (lt_health_service_t *service, int64_t now_us);
  /** Takes over an encoded record.  Returns 0, -LT_ESTALE or -LT_EPROTO.  */
  int lt_health_service_apply (lt_health_service_t *service, int64_t version,
                               str_t bytes, int64_t now_us);
  /** Creates the aggregator's state when there is none.  */
  void lt_health_service_aggregate (lt_health_service_t *service,
                                    int64_t now_us);
  /** Drops the aggregator's state.  */
  void lt_health_service_end_aggregation (lt_health_service_t *service);
  /** Returns the number of a reporter's failure domain, or UINT32_MAX when
     there are too many.  */
  uint32_t lt_health_service_domain (lt_health_service_t *service, str_t name);
  /** Returns a new JSON value: pool, ejections and avoidances with evidence.
   */
  struct json_t *lt_health_service_status (const lt_health_service_t *service,
                                           int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
