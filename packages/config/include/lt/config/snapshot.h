/** @file
    An immutable configuration snapshot.  All texts and arrays belong to the
    snapshot; references between rows are array indexes.  */
#ifndef LT_CONFIG_SNAPSHOT_H
#define LT_CONFIG_SNAPSHOT_H

#include "lt/base/hash.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Index that stands for "no row".  */
#define LT_NO_INDEX UINT32_MAX
/** Most region names that allowed-region lists of one snapshot may use, and
    the bit of a region that none of them names.  */
#define LT_REGIONS_MAX 63
#define LT_REGION_BIT_OTHER 63

  typedef enum lt_access
  {
    LT_ACCESS_KEYED, /**< Only with a workspace's key. */
    LT_ACCESS_OPEN   /**< Open to all. */
  } lt_access_t;

  typedef enum lt_action
  {
    LT_ACTION_IDEMPOTENT,  /**< May be sent again and hedged. */
    LT_ACTION_REPEATABLE,  /**< Sent again only when nothing was sent. */
    LT_ACTION_NEVER_REPEAT /**< Claimed first, sent once. */
  } lt_action_t;

  typedef struct lt_workspace
  {
    str_t name;
    int64_t rate_milli_per_s; /**< Requests per 1,000 s, fleet-wide. */
    int64_t burst;            /**< Requests, fleet-wide. */
    int32_t priority;         /**< 0: highest; before that of the route. */
    bool unlimited;           /**< Rate and burst do not apply. */
    uint64_t allowed_regions; /**< Mask over the snapshot's regions; 0: no
                                 restriction. */
  } lt_workspace_t;

  /** Where a key comes from and whether it may be used.  */
  typedef enum lt_key_state
  {
    LT_KEY_SHEET,  /**< Listed in the sheet. */
    LT_KEY_ISSUED, /**< Added by an operator; kept when a sheet is applied. */
    LT_KEY_WITHDRAWN /**< Unusable; kept so that no old sheet restores it. */
  } lt_key_state_t;

  typedef struct lt_key
  {
    str_t name; /**< Key id for operators; not secret. */
    lt_key_state_t state;
    uint32_t workspace; /**< Index into workspaces; LT_NO_INDEX only for a
                           withdrawn key whose workspace is gone. */
    lt_digest_t hash;   /**< Keyed hash of the secret. */
  } lt_key_t;

  typedef struct lt_service
  {
    str_t name;
    int32_t floor_percent; /**< Least healthy share of slots, 0 to 100. */
    uint32_t first_upstream;
    uint32_t upstream_count; /**< Upstreams of a service are contiguous. */
    str_t health_path;       /**< Empty: the built-in one. */
    int32_t warm_up_ms;      /**< An upstream is cold for this long; 0:
                                never. */
    /** Requests per 1,000 s that a cold upstream takes from all VMs; 0: any.
     */
    int64_t warm_up_rate_milli_per_s;
  } lt_service_t;

  typedef struct lt_upstream
  {
    str_t name;
    uint32_t service; /**< Index into services. */
    str_t region;
    str_t failure_domain;
    str_t address; /**< "ip:port". */
    int32_t slots;
    int32_t connections;
    bool drained;   /**< Takes no new work: an operator's or its own wish. */
    bool evacuated; /**< Takes no new work: its failure domain is evacuated. */
    /** Changes with each start under the same name; 0: not known.  */
    uint64_t incarnation;
    int64_t warm_until_us; /**< Slow until then, by this VM's clock. */
  } lt_upstream_t;

  /** A part of a route's requests.  */
  typedef struct lt_split
  {
    uint32_t service; /**< Index into services. */
    int32_t weight;   /**< In proportion to the sum of the route's weights. */
  } lt_split_t;

  /** What a caller may send; 0: the built-in bound.  */
  typedef struct lt_caller_limits
  {
    int64_t header_max_bytes;
    int64_t body_max_bytes;
    int64_t header_timeout_ms; /**< To receive a request's header. */
    int64_t idle_timeout_ms;   /**< Of a connection between requests. */
  } lt_caller_limits_t;

  typedef struct lt_route
  {
    str_t name;
    str_t path;       /**< Prefix; matches on segment boundaries. */
    str_t methods;    /**< "GET|POST". */
    uint32_t service; /**< Index into services. */
    lt_access_t access;
    lt_action_t action;
    bool hedge;
    int32_t timeout_ms;
    int64_t max_body_bytes;
    bool all_workspaces;
    uint32_t *workspaces; /**< Sorted indexes when not all_workspaces. */
    uint32_t workspace_count;
    str_t host;                /**< Of a deployment's route; else empty. */
    lt_split_t *splits;        /**< Services and their parts, or NULL. */
    uint32_t split_count;      /**< 0: all requests go to service. */
    int32_t attempts_max;      /**< Upstreams per request; 0: built-in. */
    int32_t latency_target_ms; /**< 0: none. */
    int32_t priority;          /**< 0: highest. */
    uint64_t allowed_regions;  /**< Mask over the snapshot's regions; 0: no
                                  restriction. */
  } lt_route_t;

  /** A planned stop of an upstream, in microseconds since the epoch (UTC).  */
  typedef struct lt_stop
  {
    uint32_t upstream;
    int64_t starts_wall_us;
    int64_t ends_wall_us;
  } lt_stop_t;

  typedef struct lt_snapshot
  {
    int64_t version; /**< Position in the order of changes; 0: not accepted. */
    str_t deployment;
    str_t day;    /**< YYYY-MM-DD. */
    str_t author; /**< Who made the change. */
    int64_t created_wall_us;
    lt_workspace_t *workspaces;
    uint32_t workspace_count;
    lt_key_t *keys;
    uint32_t key_count;
    lt_service_t *services;
    uint32_t service_count;
    lt_upstream_t *upstreams;
    uint32_t upstream_count;
    lt_route_t *routes;
    uint32_t route_count;
    lt_stop_t *stops;
    uint32_t stop_count;
    lt_caller_limits_t limits;
    /** Version as the operator knows it; 0: that is VERSION.  */
    int64_t source_version;
    str_t *regions; /**< Names that allowed_regions masks refer to; sorted. */
    uint32_t region_count;
    bool by_host; /**< Routes match by host and raw path prefix. */
    struct lt_snapshot_index *index; /**< Lookup tables; built once. */
    struct lt_arena *arena;          /**< Owns every text and array. */
    struct lt_arena *shared;         /**< Shared with another snapshot. */
  } lt_snapshot_t;

  /** Outcome of a route lookup.  */
  typedef enum lt_route_match
  {
    LT_ROUTE_FOUND,
    LT_ROUTE_NONE,
    LT_ROUTE_METHOD_NOT_ALLOWED
  } lt_route_match_t;

  void lt_snapshot_destroy (lt_snapshot_t *snapshot);
  /** Returns the usable key whose hash is HASH, or NULL.  */
  const lt_key_t *lt_snapshot_find_key (const lt_snapshot_t *snapshot,
                                        const lt_digest_t *hash);
  /** Finds the route with the longest path prefix of PATH that ends on a
      segment boundary and allows METHOD.  PATH has no query.  A PATH that an
      upstream may read as another one (empty or dot segments, path
      parameters, encoded separators or unreserved characters) has no route.
     Sets *ALLOW to the methods of the longest prefix, as the value of an Allow
     header field, on LT_ROUTE_METHOD_NOT_ALLOWED.  */
  lt_route_match_t lt_snapshot_match_route (const lt_snapshot_t *snapshot,
                                            str_t method, str_t path,
                                            const lt_route_t **route,
                                            str_t *allow);
  /** Finds the route of a snapshot BY_HOST: HOST without regard to case and
      port, and the longest prefix, slash included, that begins PATH byte for
      byte.  Returns NULL when there is none.  */
  const lt_route_t *lt_snapshot_match_host (const lt_snapshot_t *snapshot,
                                            str_t host, str_t path);
  /** Returns the bit of REGION in allowed_regions masks of SNAPSHOT, or
      LT_REGION_BIT_OTHER when no list names it.  */
  uint32_t lt_snapshot_region_bit (const lt_snapshot_t *snapshot,
                                   str_t region);
  /** Converts MASK, over the regions of FROM, to the regions of TO by name.
      Names that TO lacks are left out, so that the result may be 0.  */
  uint64_t lt_snapshot_convert_regions (const lt_snapshot_t *from,
                                        uint64_t mask,
                                        const lt_snapshot_t *to);
  /** Returns whether WORKSPACE may use ROUTE.  */
  bool lt_route_allows (const lt_route_t *route, uint32_t workspace);
  /** Return an index, or LT_NO_INDEX.  */
  uint32_t lt_snapshot_find_workspace (const lt_snapshot_t *snapshot,
                                       str_t name);
  uint32_t lt_snapshot_find_service (const lt_snapshot_t *snapshot,
                                     str_t name);
  uint32_t lt_snapshot_find_upstream (const lt_snapshot_t *snapshot,
                                      str_t name);
  uint32_t lt_snapshot_find_route (const lt_snapshot_t *snapshot, str_t name);
  /** Returns the key with NAME, withdrawn ones included, or NULL.  */
  const lt_key_t *lt_snapshot_find_key_name (const lt_snapshot_t *snapshot,
                                             str_t name);
  /** Returns how many bytes the snapshot holds, lookup tables included.  */
  size_t lt_snapshot_memory_bytes (const lt_snapshot_t *snapshot);
  /** Encodes SNAPSHOT as msgpack, in a canonical order: equal snapshots give
      equal bytes.  */
  void lt_snapshot_encode (const lt_snapshot_t *snapshot, lt_buf_t *out);
  /** Decodes and checks BYTES, and builds the lookup tables.  Returns 0,
      -LT_EPROTO (malformed) or -LT_EINVAL (references out of range).  */
  int lt_snapshot_decode (str_t bytes, lt_snapshot_t **snapshot);

#ifdef __cplusplus
}
#endif

#endif
