/** @file
    The node: the state that all parts of one proxy process share, such as the
    event loop, the clock, the platform, the configuration snapshot in force,
    the controllers and the filter chain.  */
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
#include "lt/policy/pace.h"
#include "lt/policy/retry.h"
#include "lt/store/store.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;
  typedef struct lt_node lt_node_t;

  /** A reference-counted configuration snapshot.  A request holds a reference
      to the snapshot that it started with until it ends.  Used only on the
      event loop, so the count is not atomic.  */
  typedef struct lt_snapshot_ref
  {
    lt_snapshot_t *snapshot;
    int references;
  } lt_snapshot_ref_t;

  /** Returns a reference with a count of 1.  Takes ownership of SNAPSHOT.  */
  lt_snapshot_ref_t *lt_snapshot_ref_create (lt_snapshot_t *snapshot);
  /** Adds one to the count and returns REF, which may be NULL.  */
  lt_snapshot_ref_t *lt_snapshot_ref_acquire (lt_snapshot_ref_t *ref);
  /** Subtracts one from the count and destroys the snapshot at 0.  REF may be
      NULL.  */
  void lt_snapshot_ref_release (lt_snapshot_ref_t *ref);

  /** Interface that sends messages to other VMs.  The peer transport
      implements it; tests use a fake.  */
  typedef struct lt_peers lt_peers_t;
  typedef struct lt_peers_vtable
  {
    /** Queues a message for VM_ID.  Returns 0, -LT_ENOTFOUND (address not
        known), -LT_EUNAVAILABLE (not connected) or -LT_EFULL (send queue
        full).  */
    int (*send) (lt_peers_t *peers, str_t vm_id, uint16_t type,
                 uint64_t correlation, str_t payload);
  } lt_peers_vtable_t;
  struct lt_peers
  {
    const lt_peers_vtable_t *vtable;
  };

  /** Interface that lists the other VMs of the fleet.  The membership
      controller implements it; in a hosted fleet the mesh controller does.  */
  typedef struct lt_vm_directory
  {
    /** Returns the peer address of VM_ID, empty when it is not known.  */
    str_t (*address) (lt_node_t *node, str_t vm_id);
    /** Writes at most CAP ids of other VMs and returns their number; with CAP
        0 returns the number only.  */
    size_t (*others) (lt_node_t *node, str_t *ids, size_t cap);
    /** As others, for the VMs of this VM's failure domain if IN_DOMAIN, else
        for those of its region outside that domain.  May be NULL.  */
    size_t (*others_near) (lt_node_t *node, bool in_domain, str_t *ids,
                           size_t cap);
    /** Returns whether a connection to VM_ID is open.  May be NULL.  */
    bool (*is_connected) (lt_node_t *node, str_t vm_id);
    /** Returns whether the list of VMs is complete, which holds once a list
        that includes this VM has been read.  May be NULL.  */
    bool (*is_complete) (lt_node_t *node);
    /** Writes where another VM is.  Returns false when it is not known.  May
        be NULL.  */
    bool (*locate) (lt_node_t *node, str_t vm_id, str_t *failure_domain,
                    str_t *region);
  } lt_vm_directory_t;

  /** How an attempt at an upstream ended.  */
  typedef enum lt_attempt_outcome
  {
    LT_ATTEMPT_OK,
    LT_ATTEMPT_FAILED,  /**< 5xx response. */
    LT_ATTEMPT_RESET,   /**< Closed before the response header. */
    LT_ATTEMPT_REFUSED, /**< Connection could not be opened. */
    LT_ATTEMPT_SHED,    /**< 503 with Retry-After. */
    LT_ATTEMPT_TIMEOUT,
    LT_ATTEMPT_TRUNCATED,      /**< Connection closed within the body. */
    LT_ATTEMPT_WRONG_RESPONSE, /**< Response to another request. */
    LT_ATTEMPT_MALFORMED,      /**< The response violates HTTP. */
    LT_ATTEMPT_MISDIRECTED,    /**< 421: another upstream has the address. */
    LT_ATTEMPT_CANCELED        /**< By the caller or a hedge; says nothing
                                   about the upstream. */
  } lt_attempt_outcome_t;

  /** The event that every controller receives when an attempt ends.  */
  typedef struct lt_observation_event
  {
    uint32_t upstream; /**< Index into SNAPSHOT's upstreams. */
    const lt_snapshot_t *snapshot;
    lt_attempt_outcome_t outcome;
    int status;
    int64_t latency_us;
    int64_t retry_after_ms; /**< Retry-After of a shed request; 0: none. */
    /** Rate that the upstream named in its response; 0: none; -1: there was no
        response of this upstream, or the rate was unreadable.  */
    int64_t rate_milli_per_s;
    /** When the upstream is warm, by its response; 0: it did not say.  */
    int64_t warm_until_us;
    lt_digest_t fingerprint; /**< Of the request. */
    uint32_t workspace;
    bool byte_sent;        /**< A byte of the request may have been sent. */
    bool connection_lost;  /**< The upstream ended the connection before its
                              response was complete. */
    bool header_received;  /**< A response header was received. */
    bool connection_close; /**< The response carried "Connection: close". */
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
    lt_registry_t *registry;          /**< NULL unless hosted. */
    lt_remote_clock_t registry_clock; /**< Shared by all VMs. */
    int64_t registry_era;      /**< See lt_registry_result_t; 0: unknown. */
    uint64_t incarnation;      /**< Higher at each start of this VM id. */
    lt_snapshot_ref_t *config; /**< Configuration in force; NULL before the
                                    first. */
    lt_peers_t *peers;         /**< NULL for a single VM. */
    struct lt_bus *bus;
    lt_controller_t *controllers[LT_CONTROLLER_MAX];
    int controller_count;
    lt_filter_t *filters[16];
    int filter_count;
    struct lt_upstream_client *upstreams;
    struct lt_waiting *waiting;
    struct lt_dispatch_queue *dispatch_queue;
    struct lt_pools *pools;
    struct lt_retry *retry;
    struct lt_memory_budget *memory; /**< Of what callers can fill. */
    lt_gauge_t *memory_used;
    lt_gauge_t *memory_total;
    lt_counter_t *body_pauses;
    lt_counter_t *readers_dropped;
    lt_counter_t *connections_closed; /**< Idle or without a header. */
    lt_counter_t *refused[LT_REFUSAL_COUNT];
    lt_counter_t *retry_decisions[LT_RETRY_REASONS];
    lt_counter_t *retry_failures[LT_RETRY_FAILURES];
    lt_counter_t
        *requests_by_class[6]; /**< By status class; 0: no response header. */
    lt_histogram_t *request_time;
    lt_gauge_t *in_flight_gauge;
    uint64_t next_sequence;
    int64_t in_flight; /**< Callers' requests in flight. */
    str_t peer_secret; /**< Shared by all VMs; empty: no peer connections. */
    bool draining;     /**< This VM drains and will stop. */
    /** While draining: when accepting ends.  */
    int64_t drain_accepts_until_us;
    /** While draining: when this process may be killed; 0: not known.  */
    int64_t drain_ends_us;
    /** The configuration was confirmed as current at least once since the
        start, so that keyed requests could be served.  Until then the VM
        reports that it is not ready.  */
    bool config_was_confirmed;
    /** The other VMs; NULL for a single VM.  */
    const struct lt_vm_directory *directory;
    /* Each is set by the controller that owns it, for use by filters and admin
       handlers; NULL if this node does not run that controller.  */
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
    struct lt_cost_controller *cost_controller;
    struct lt_room_controller *room_controller;
  };

  /** Returns the monotonic time of the node's clock in microseconds.  */
  int64_t lt_node_now_us (lt_node_t *node);
  /** Returns whether a request that starts now and may last until DEADLINE_US
      could be cut by the end of the drain.  False while this VM accepts
      connections.  */
  bool lt_node_may_cut (lt_node_t *node, int64_t deadline_us);
  /** Appends a controller.  The node takes ownership.  */
  void lt_node_add_controller (lt_node_t *node, lt_controller_t *controller);
  /** Appends a filter to the chain.  The node takes ownership.  */
  void lt_node_add_filter (lt_node_t *node, lt_filter_t *filter);
  /** Queues a message for VM_ID.  Returns the result of the peers' send, or
      -LT_EUNAVAILABLE for a single VM.  */
  int lt_node_send (lt_node_t *node, str_t vm_id, uint16_t type,
                    uint64_t correlation, str_t payload);
  /** Puts SNAPSHOT in force and notifies every controller through the bus.
      Takes ownership.  Returns 0, or -LT_ESTALE (SNAPSHOT is destroyed) if its
      version is not higher than the one in force.  */
  int lt_node_install_snapshot (lt_node_t *node, lt_snapshot_t *snapshot);
  /** Delivers an authenticated message from another VM, through the bus, to
      the controllers that handle its type.  Copies it.  */
  void lt_node_deliver (lt_node_t *node, const lt_peer_message_t *message);
  /** Notifies every controller, through the bus, of how an attempt ended.
      EVENT's snapshot must be the one in force.  Copies EVENT.  */
  void lt_node_observe (lt_node_t *node, const lt_observation_event_t *event);
  /** As lt_node_observe, for an event whose snapshot is that of CONFIG, which
      need not be in force any more.  */
  void lt_node_observe_with_config (lt_node_t *node,
                                    const lt_observation_event_t *event,
                                    lt_snapshot_ref_t *config);

#ifdef __cplusplus
}
#endif

#endif
