/** @file
    A configuration and a register of upstreams that come from outside instead
    of a sheet: plain records, and the snapshot built from them.  The records
    are views; the snapshot copies them.  */
#ifndef LT_CONFIG_DEPLOYMENT_H
#define LT_CONFIG_DEPLOYMENT_H

#include "lt/config/snapshot.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_deployment_split
  {
    str_t service;
    int32_t weight;
  } lt_deployment_split_t;

  typedef struct lt_deployment_route
  {
    str_t name;
    str_t host;
    str_t prefix; /**< Begins and ends with a slash. */
    lt_action_t action;
    lt_access_t access;
    int32_t timeout_ms;
    int32_t latency_target_ms;
    int32_t priority;
    int32_t attempts_max;
    const lt_deployment_split_t *splits; /**< At least one. */
    uint32_t split_count;
    const str_t *allowed_regions;  /**< Regions that may serve its requests. */
    uint32_t allowed_region_count; /**< 0: no restriction. */
  } lt_deployment_route_t;

  typedef struct lt_deployment_service
  {
    str_t name;
    str_t health_path;
    int32_t connections; /**< That an upstream accepts from all VMs. */
    int32_t warm_up_ms;  /**< An upstream is cold for this long; 0: never. */
    /** Requests per 1,000 s that a cold upstream takes from all VMs; 0: any.
     */
    int64_t warm_up_rate_milli_per_s;
  } lt_deployment_service_t;

  typedef struct lt_deployment_workspace
  {
    str_t name;
    const str_t *keys;
    uint32_t key_count;
    int32_t priority;
    int64_t rate_milli_per_s; /**< 0: unlimited. */
    int64_t burst;
    const str_t *allowed_regions;  /**< As in lt_deployment_route_t. */
    uint32_t allowed_region_count; /**< 0: no restriction. */
  } lt_deployment_workspace_t;

  typedef struct lt_deployment
  {
    int64_t version;
    lt_caller_limits_t limits;
    const lt_deployment_route_t *routes;
    uint32_t route_count;
    const lt_deployment_service_t *services;
    uint32_t service_count;
    const lt_deployment_workspace_t *workspaces;
    uint32_t workspace_count;
  } lt_deployment_t;

  /** One upstream as the register names it.  */
  typedef struct lt_deployment_upstream
  {
    str_t name;
    str_t service;
    str_t address; /**< "ip:port". */
    str_t failure_domain;
    str_t region;
    int32_t slots;
    bool draining;
    bool evacuated; /**< Its failure domain is evacuated. */
    uint64_t incarnation;
    int64_t warm_until_us;
  } lt_deployment_upstream_t;

  /** Builds a snapshot without upstreams.  Keys are stored as keyed hashes
      under KEY_SECRET.  Returns 0 or -LT_EINVAL: two rows of one name, two
      routes of one host and prefix, one key of two workspaces, a split to an
      unknown service, or more than LT_REGIONS_MAX region names.  */
  int lt_snapshot_from_deployment (const lt_deployment_t *deployment,
                                   str_t key_secret, lt_snapshot_t **snapshot);
  /** Makes a snapshot with the rows of BASE and these upstreams; those of
      unknown services are left out.  Memory of BASE is shared.  Returns 0 or
      -LT_EINVAL when two upstreams have one name.  */
  int lt_snapshot_with_upstreams (const lt_snapshot_t *base, int64_t version,
                                  const lt_deployment_upstream_t *upstreams,
                                  uint32_t count, lt_snapshot_t **snapshot);

#ifdef __cplusplus
}
#endif

#endif
