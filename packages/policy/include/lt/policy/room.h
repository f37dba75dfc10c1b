/** @file
    Admission by priority for the VMs of a hosted fleet.  For each request the
    module decides whether it is sent now, waits in the VM, or is refused.

    Requests of a service have levels; level 0 is the most urgent.  A level is
    sent while the load of the failure domain's upstreams is below the level's
    threshold, which is higher for more urgent levels (trunk reservation;
   Kelly, "Loss Networks", Ann. Appl. Prob. 1(3), 1991).  The load is known
   with a delay, so all VMs of the failure domain see the same free slots: each
   takes only its part of them, and the slots that its own requests free.
   Waiting requests are ordered by level, then by whether they can still meet
   their latency target, then fairly by workspace, then by deadline.

    The module does no I/O; callers pass the current time.  */
#ifndef LT_POLICY_ROOM_H
#define LT_POLICY_ROOM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lt/policy/choice_load.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_ROOM_LEVELS_MAX 16

  /** All tunable values.  Loads are shares of the slots of a failure domain's
      upstreams.  */
  typedef struct lt_room_options
  {
    /** Thresholds of the least and the most urgent level; those of the others
        lie between them at equal distances.  */
    double last_load;
    double urgent_load;
    /** Requests at one upstream beyond its slots, by level 0 and by others. */
    int32_t urgent_queue;
    int32_t level_queue;
    /** Part of the free room that all VMs together may take within
        report_delay_us; each takes an equal part of it.  0: no such bound.  */
    double room_share;
    int64_t report_delay_us; /**< Age of the load that VMs report. */
    /** Least share of the requests sent that a level gets while requests of it
        wait.  */
    double least_share;
    /** Bound of a VM's own requests at upstreams whose load it does not know,
        in multiples of its equal part of their slots; for levels other than
        0.  */
    double blind_share;
    /** The same where no upstream's load is known.  */
    double alone_share;
    /** Other failure domains must be this much less loaded than the threshold:
        their report is older and lacks the requests of other domains.  */
    double distance_load;
    /** Share of rejected requests from which a distance is not used.  */
    double rejected_share;
    /** Upstreams of other regions are used when a request has waited for this
        share of the time that it may wait.  */
    double far_wait_share;
    /** Share of the time between a request's latency target and its deadline
        in which it may still wait, behind requests that can meet theirs.  */
    double late_share;
    double finish_margin; /**< Time reserved to finish, in multiples of the
                             route's mean service time. */
    int64_t initial_service_us; /**< Mean service time of unknown routes. */
    double service_weight;      /**< Of a new sample in that mean. */
    uint32_t waiting_max;       /**< Waiting requests of this VM. */
    uint32_t workspace_max;     /**< Those of one workspace. */
    size_t waiting_max_bytes;
    int64_t rate_decay_us;   /**< Time constant of rates and shares. */
    int64_t peer_max_age_us; /**< Age from which a VM counts as silent. */
    int64_t load_max_age_us; /**< Age from which another failure domain's load
                                counts as unknown. */
    int64_t retry_after_min_us;
    int64_t retry_after_max_us;
  } lt_room_options_t;

/* A load of 1 would keep all slots busy if every request found a free slot.
   With loads known 0.1 s late, the least urgent kind of
   RoomFleet.BurstOfTheLeastUrgentKind is served 0.62 at a threshold of 1.1,
   0.66 at 1.25 and 0.71 at 1.5; urgent kinds are served alike.  */
#define LT_ROOM_OPTIONS_DEFAULT                                               \
  ((lt_room_options_t){ .last_load = 1.5,                                     \
                        .urgent_load = 1.8,                                   \
                        .urgent_queue = 6,                                    \
                        .level_queue = 4,                                     \
                        .room_share = 0.7,                                    \
                        .report_delay_us = 100 * 1000,                        \
                        .least_share = 0.05,                                  \
                        .blind_share = 0.5,                                   \
                        .alone_share = 1,                                     \
                        .distance_load = 0.3,                                 \
                        .rejected_share = 0.2,                                \
                        .far_wait_share = 0.3,                                \
                        .late_share = 0.5,                                    \
                        .finish_margin = 1.2,                                 \
                        .initial_service_us = 300 * 1000,                     \
                        .service_weight = 0.05,                               \
                        .waiting_max = 128,                                   \
                        .workspace_max = 48,                                  \
                        .waiting_max_bytes = 8 * 1024 * 1024,                 \
                        .rate_decay_us = 1000 * 1000,                         \
                        .peer_max_age_us = 1500 * 1000,                       \
                        .load_max_age_us = 1500 * 1000,                       \
                        .retry_after_min_us = 100 * 1000,                     \
                        .retry_after_max_us = 3000 * 1000 })

  typedef struct lt_room_request
  {
    uint64_t id;        /**< Not 0; unique among waiting requests. */
    uint64_t service;   /**< Hash of its name, like the next two. */
    uint64_t route;     /**< For its service time. */
    uint64_t workspace; /**< 0: none. */
    uint32_t level;
    int64_t target_us;       /**< Latency target as a time; 0: none. */
    int64_t deadline_us;     /**< Time. */
    size_t bytes;            /**< Memory that it holds while it waits. */
    bool other_regions_only; /**< The own region may not serve it. */
  } lt_room_request_t;

  /** What the VM knows when it decides.  */
  typedef struct lt_room_view
  {
    lt_choice_load_t loads[LT_DISTANCES];
    uint32_t vms; /**< Of this failure domain, this one included. */
  } lt_room_view_t;

  typedef enum lt_room_verdict
  {
    LT_ROOM_SEND, /**< Within the limits of the answer. */
    LT_ROOM_WAIT, /**< The module keeps it. */
    LT_ROOM_FULL, /**< Refuse: too many requests wait. */
    LT_ROOM_LATE  /**< Refuse: it is not expected to finish in time. */
  } lt_room_verdict_t;

  typedef struct lt_room_answer
  {
    lt_choice_limits_t limits;
    bool owed; /**< Sent because its level has not had its least share. */
    int64_t wait_us;        /**< Expected time until it is sent. */
    int64_t retry_after_us; /**< For a refusal. */
  } lt_room_answer_t;

  typedef struct lt_room_refusal
  {
    uint64_t id;
    lt_room_verdict_t verdict;
    int64_t retry_after_us;
  } lt_room_refusal_t;

  typedef struct lt_room_status
  {
    uint32_t levels;
    uint32_t waiting[LT_ROOM_LEVELS_MAX];
    double sent_per_s[LT_ROOM_LEVELS_MAX];
    double credit;         /**< Requests that this VM may send now. */
    double rejected_share; /**< Of its requests in the failure domain. */
    /** Load of other failure domains in requests per slot, as they report it;
        -1: not known.  */
    double loads[LT_DISTANCES];
  } lt_room_status_t;

  typedef struct lt_room lt_room_t;

  lt_room_t *lt_room_create (const lt_room_options_t *options);
  void lt_room_destroy (lt_room_t *room);
  /** Sets the number of levels of SERVICE, at most LT_ROOM_LEVELS_MAX.  */
  void lt_room_set_levels (lt_room_t *room, uint64_t service, uint32_t levels);
  /** Returns whether the module decides on requests of SERVICE: it has more
      than one level.  */
  bool lt_room_covers (const lt_room_t *room, uint64_t service);
  /** Offers REQUEST.  After LT_ROOM_SEND the caller sends it and calls
      lt_room_sent, or lt_room_hold if no upstream is within the limits.  A
      request that waits may displace a less urgent one, which lt_room_expire
      then returns.  */
  lt_room_verdict_t lt_room_offer (lt_room_t *room,
                                   const lt_room_request_t *request,
                                   const lt_room_view_t *view, int64_t now_us,
                                   lt_room_answer_t *answer);
  /** As lt_room_offer for a request that cannot be sent now.  */
  lt_room_verdict_t lt_room_hold (lt_room_t *room,
                                  const lt_room_request_t *request,
                                  const lt_room_view_t *view, int64_t now_us,
                                  lt_room_answer_t *answer);
  /** Returns the id of the waiting request of SERVICE that may be sent next,
      or 0.  The request waits until lt_room_sent or lt_room_cancel.  */
  uint64_t lt_room_next (lt_room_t *room, uint64_t service,
                         const lt_room_view_t *view, int64_t now_us,
                         lt_room_answer_t *answer);
  /** Records that REQUEST was sent to an upstream at DISTANCE.  OWED is that
      of the answer.  */
  void lt_room_sent (lt_room_t *room, const lt_room_request_t *request,
                     lt_distance_t distance, bool owed, int64_t now_us);
  /** Removes the waiting request ID, if there is one.  */
  void lt_room_cancel (lt_room_t *room, uint64_t id);
  /** Removes waiting requests that are not expected to finish in time.  Writes
      at most CAP to REFUSALS and returns their number.  */
  size_t lt_room_expire (lt_room_t *room, const lt_room_view_t *view,
                         uint64_t service, int64_t now_us,
                         lt_room_refusal_t *refusals, size_t cap);
  /** Records the end of an attempt for ROUTE.  LATENCY_US is the time to a
      successful response, else -1.  */
  void lt_room_ended (lt_room_t *room, uint64_t service, uint64_t route,
                      lt_distance_t distance, bool rejected,
                      int64_t latency_us, int64_t now_us);
  /** Records a report of the VM PEER of this failure domain.  */
  void lt_room_note_peer (lt_room_t *room, uint64_t peer, int64_t now_us);
  /** Records that the load of SERVICE in the failure domain DOMAIN, another
      one at DISTANCE, is LOAD_MILLI requests per 1,000 slots.  */
  void lt_room_set_load (lt_room_t *room, uint64_t service,
                         lt_distance_t distance, uint64_t domain,
                         int32_t load_milli, int64_t now_us);
  /** Returns the number of waiting requests of all services.  */
  uint32_t lt_room_waiting (const lt_room_t *room);
  size_t lt_room_waiting_bytes (const lt_room_t *room);
  /** Writes the state of SERVICE.  Returns 0 or -LT_ENOTFOUND.  */
  int lt_room_look_up (const lt_room_t *room, uint64_t service, int64_t now_us,
                       lt_room_status_t *status);

#ifdef __cplusplus
}
#endif

#endif
