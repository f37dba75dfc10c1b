/** @file
    The daemon's shared context: loop, clock, platform, snapshot in force,
    controllers and filters.  */
#ifndef LT_NODE_NODE_H
#define LT_NODE_NODE_H

#include "lt/base/clock.h"
#include "lt/base/metrics.h"
#include "lt/base/rng.h"
#include "lt/config/snapshot.h"
#include "lt/node/controller.h"
#include "lt/node/dialect.h"
#include "lt/node/filter.h"
#include "lt/node/refusal.h"
#include "lt/node/registry.h"
#include "lt/node/settings.h"
#include "lt/store/store.h"
#include "lt/policy/retry.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;
  typedef struct lt_node lt_node_t;

  /** A counted reference to a snapshot; requests in flight keep theirs.  */
  typedef struct lt_snapshot_ref
  {
    lt_snapshot_t *snapshot;
    int references;
  } lt_snapshot_ref_t;

  lt_snapshot_ref_t *lt_snapshot_ref_create (lt_snapshot_t *snapshot);
  lt_snapshot_ref_t *lt_snapshot_ref_acquire (lt_snapshot_ref_t *ref);
  void lt_snapshot_ref_release (lt_snapshot_ref_t *ref);

  /** Sends messages to other VMs.  The peer transport implements it; tests put
      a fake in its place.  */
  typedef struct lt_peers lt_peers_t;
  typedef struct lt_peers_vtable
  {
    /** Queues a message for VM_ID.  Returns 0, -LT_ENOTFOUND (address not
        known), -LT_EUNAVAILABLE (not connected) or -LT_EFULL.  */
    int (*send) (lt_peers_t *peers, str_t vm_id, uint16_t type,
                 uint64_t correlation, str_t payload);
  } lt_peers_vtable_t;
  struct lt_peers
  {
    const lt_peers_vtable_t *vtable;
  };

  /** Knows the other VMs.  The membership controller implements it, or the
      mesh controller of a hosted fleet.  */
  typedef struct lt_vm_directory
  {
    /** Returns the peer address of VM_ID, empty when it is not known.  */
    str_t (*address) (lt_node_t *node, str_t vm_id);
    /** Writes at most CAP ids of other VMs and returns their number; with CAP
        0 returns the number only.  */
    size_t (*others) (lt_node_t *node, str_t *ids, size_t cap);
    /** The same for those of this VM's failure domain, or else for those of
        its region outside the domain.  May be NULL.  */
    size_t (*near) (lt_node_t *node, bool in_domain, str_t *ids, size_t cap);
    /** Returns whether a connection to VM_ID is open.  May be NULL.  */
    bool (*is_connected) (lt_node_t *node, str_t vm_id);
    /** Returns whether the other VMs are known: a list that names this VM too
        has been read.  May be NULL.  */
    bool (*is_complete) (lt_node_t *node);
  } lt_vm_directory_t;

  /** How an attempt at an upstream ended.  */
  typedef enum lt_attempt_outcome
  {
    LT_ATTEMPT_OK,
    LT_ATTEMPT_FAILED,  /**< 5xx answer. */
    LT_ATTEMPT_RESET,   /**< Closed before the answer's header. */
    LT_ATTEMPT_REFUSED, /**< No connection. */
    LT_ATTEMPT_SHED,    /**< 503 with Retry-After. */
    LT_ATTEMPT_TIMEOUT,
    LT_ATTEMPT_TRUNCATED,   /**< Body cut short. */
    LT_ATTEMPT_MIXED_UP,    /**< The answer was not the request's own. */
    LT_ATTEMPT_MISDIRECTED, /**< Another upstream has the address. */
    LT_ATTEMPT_CANCELED     /**< By the caller or a hedge; no evidence. */
  } lt_attempt_outcome_t;

  /** Told to every controller when an attempt ends.  */
  typedef struct lt_observation_event
  {
    uint32_t upstream; /**< Index into SNAPSHOT's upstreams. */
    const lt_snapshot_t *snapshot;
    lt_attempt_outcome_t outcome;
    int status;
    int64_t latency_us;
    int64_t retry_after_ms;  /**< Of a shed answer; 0: none. */
    lt_digest_t fingerprint; /**< Of the request. */
    uint32_t workspace;
    bool byte_sent;
    bool answered; /**< A header was received. */
    bool closing;  /**< The upstream closes the connection by itself. */
  } lt_observation_event_t;

#define LT_CONTROLLER_MAX 16

  struct lt_node
  {
    struct ev_loop *loop;
    lt_clock_t *clock;
    lt_rng_t rng;
    const lt_settings_t *settings;
    const lt_dialect_t *dialect;
    lt_metrics_t *metrics;
    lt_platform_t platform;
    lt_registry_t *registry;   /**< NULL unless hosted. */
    uint64_t incarnation;      /**< Grows with each start of this VM id. */
    lt_snapshot_ref_t *config; /**< In force; NULL before the first. */
    lt_peers_t *peers;         /**< NULL without other VMs. */
    struct lt_bus *bus;
    lt_controller_t *controllers[LT_CONTROLLER_MAX];
    int controller_count;
    lt_filter_t *filters[16];
    int filter_count;
    struct lt_upstream_client *upstreams;
    struct lt_pools *pools;
    struct lt_retry *retry;
    lt_counter_t *refused[LT_REFUSAL_COUNT];
    lt_counter_t *retry_decisions[LT_RETRY_REASONS];
    lt_counter_t *retry_failures[LT_RETRY_FAILURES];
    lt_counter_t *answered[6]; /**< By status class; 0: never answered. */
    lt_histogram_t *request_time;
    lt_gauge_t *in_flight_gauge;
    uint64_t next_sequence;
    int64_t in_flight; /**< Requests of callers. */
    str_t peer_secret; /**< Shared by the VMs; empty: no connections. */
    bool leaving;
    bool was_confirmed; /**< Keyed requests could be served at least once. */
    /** Where other VMs are; NULL without other VMs.  */
    const struct lt_vm_directory *directory;
    /* Set by the controllers that own them, for use by filters and admin
       handlers; NULL when absent.  */
    struct lt_config_controller *config_controller;
    struct lt_freshness *freshness;
    struct lt_health_controller *health_controller;
    struct lt_drain_controller *drain_controller;
    struct lt_membership *membership;
    struct lt_named_vms *named_vms;
    struct lt_limit_controller *limit_controller;
    struct lt_claim_controller *claim_controller;
    struct lt_quarantine_controller *quarantine_controller;
    struct lt_source_controller *source_controller;
    struct lt_quota_controller *quota_controller;
  };

  int64_t lt_node_now_us (lt_node_t *node);
  /** Appends a controller; the node owns it from now on.  */
  void lt_node_add_controller (lt_node_t *node, lt_controller_t *controller);
  /** Appends a filter to the chain; the node owns it from now on.  */
  void lt_node_add_filter (lt_node_t *node, lt_filter_t *filter);
  /** Returns 0 or the error of the peers' send; -LT_EUNAVAILABLE without
      peers.  */
  int lt_node_send (lt_node_t *node, str_t vm_id, uint16_t type,
                    uint64_t correlation, str_t payload);
  /** Puts SNAPSHOT in force and tells every controller through the bus.  Takes
      ownership.  A version that is not higher is refused with -LT_ESTALE and
      destroyed.  */
  int lt_node_install_snapshot (lt_node_t *node, lt_snapshot_t *snapshot);
  /** Delivers a verified message from another VM to its controllers through
     the bus; copies it.  */
  void lt_node_deliver (lt_node_t *node, const lt_peer_message_t *message);
  /** Tells every controller how an attempt ended, through the bus; copies.  */
  void lt_node_observe (lt_node_t *node, const lt_observation_event_t *event);
  /** As lt_node_observe for an event whose snapshot is that of CONFIG.  */
  void lt_node_observe_in (lt_node_t *node,
                           const lt_observation_event_t *event,
                           lt_snapshot_ref_t *config);

#ifdef __cplusplus
}
#endif

#endif
