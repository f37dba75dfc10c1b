/** @file
    Admission control for one service on one VM: a limit on requests in
    progress, and a queue that is fair between workspaces (start-time fair
    queueing; Goyal, Vin and Cheng, 1996).  A request that is not expected to
    finish before its deadline is refused on arrival (admission by expected
    wait; Ramkumar, "Making the Most of Serverless Accelerators",
    UCB/EECS-2022-88).  */
#ifndef LT_POLICY_ADMISSION_H
#define LT_POLICY_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_admission lt_admission_t;

  typedef enum lt_admission_order
  {
    LT_ADMISSION_FAIR,
    LT_ADMISSION_FIFO /**< First come, first served; for comparison. */
  } lt_admission_order_t;

  typedef struct lt_admission_options
  {
    uint32_t slots;             /**< Maximum number of requests in progress. */
    uint32_t queue_limit;       /**< Maximum number of queued requests. */
    uint32_t workspace_limit;   /**< The same for one workspace. */
    int64_t initial_service_us; /**< Initial estimate of the service time. */
    lt_admission_order_t order;
    bool refuse_early; /**< Refuse requests that are not expected to finish
                          before their deadline. */
  } lt_admission_options_t;

#define LT_ADMISSION_OPTIONS_DEFAULT                                          \
  ((lt_admission_options_t){ .slots = 8,                                      \
                             .queue_limit = 256,                              \
                             .workspace_limit = 64,                           \
                             .initial_service_us = 50000,                     \
                             .order = LT_ADMISSION_FAIR,                      \
                             .refuse_early = true })

  typedef enum lt_admission_verdict
  {
    LT_ADMISSION_ADMIT,
    LT_ADMISSION_QUEUED,
    LT_ADMISSION_QUEUE_FULL, /**< 503 queue-full. */
    LT_ADMISSION_TOO_LATE    /**< 503 deadline-unreachable. */
  } lt_admission_verdict_t;

  typedef struct lt_admission_state
  {
    uint32_t in_progress;
    uint32_t queued;
    uint32_t slots;
    int64_t service_us; /**< Moving average of the time in progress. */
  } lt_admission_status_t;

  lt_admission_t *lt_admission_create (const lt_admission_options_t *options);
  void lt_admission_destroy (lt_admission_t *admission);
  /** Changes the limit on requests in progress; running requests are not
      interrupted.  If the limit grew, call lt_admission_start_queued
     afterwards.  */
  void lt_admission_set_slots (lt_admission_t *admission, uint32_t slots);
  /** Offers a request of WORKSPACE.  REQUEST is a non-zero number that the
      caller chooses, unique among queued and running requests.  On
      LT_ADMISSION_ADMIT the caller starts the request now and calls
      lt_admission_release at its end.  On LT_ADMISSION_QUEUED the request is
      returned later by lt_admission_release, lt_admission_start_queued or
      lt_admission_expire.  */
  lt_admission_verdict_t
  lt_admission_offer (lt_admission_t *admission, uint64_t request,
                      uint32_t workspace, int64_t now_us, int64_t deadline_us);
  /** Ends one request in progress that took SERVICE_US (negative if unknown,
      for example when it was cancelled).  Writes up to CAP queued requests
      that start now to STARTED and returns their number.  */
  size_t lt_admission_release (lt_admission_t *admission, int64_t service_us,
                               int64_t now_us, uint64_t *started, size_t cap);
  /** Starts queued requests while there are free slots.  Writes up to CAP of
      them to STARTED and returns their number.  */
  size_t lt_admission_start_queued (lt_admission_t *admission, int64_t now_us,
                                    uint64_t *started, size_t cap);
  /** Removes queued requests that are not expected to finish before their
      deadline; without refuse_early, those whose deadline has passed.  Writes
      up to CAP of them to EXPIRED and returns their number.  To be called
      before lt_admission_release, so that none of them is started.  */
  size_t lt_admission_expire (lt_admission_t *admission, int64_t now_us,
                              uint64_t *expired, size_t cap);
  /** Removes REQUEST from the queue.  Returns 0, or -LT_ENOTFOUND when it is
      not queued.  */
  int lt_admission_cancel (lt_admission_t *admission, uint64_t request);
  /** Returns the expected time until a new request of WORKSPACE would start.
   */
  int64_t lt_admission_expected_wait_us (const lt_admission_t *admission,
                                         uint32_t workspace);
  lt_admission_status_t lt_admission_status (const lt_admission_t *admission);

#ifdef __cplusplus
}
#endif

#endif
