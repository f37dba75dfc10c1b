/** @file
    Admission to one service on one VM: a bound on requests in progress, and a
    queue that is fair between workspaces (start-time fair queueing, Goyal,
    Vin and Cheng 1996).  A request that is expected to wait past its deadline
    is refused when it arrives (admission by expected wait: Ramkumar, "Making
    the Most of Serverless Accelerators", UCB/EECS-2022-88).  */
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
    LT_ADMISSION_FIRST_COME /**< For comparison only. */
  } lt_admission_order_t;

  typedef struct lt_admission_options
  {
    uint32_t slots;             /**< Requests in progress. */
    uint32_t queue_limit;       /**< Queued requests in all. */
    uint32_t workspace_limit;   /**< Queued requests of one workspace. */
    int64_t initial_service_us; /**< Estimate before the first release. */
    lt_admission_order_t order;
    bool refuse_early; /**< Refuse what cannot meet its deadline. */
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
    LT_ADMISSION_QUEUE_FULL, /**< 503 queue-full */
    LT_ADMISSION_TOO_LATE    /**< 503 deadline-unreachable */
  } lt_admission_verdict_t;

  typedef struct lt_admission_state
  {
    uint32_t in_progress;
    uint32_t queued;
    uint32_t slots;
    int64_t service_us; /**< Mean time in progress. */
  } lt_admission_status_t;

  lt_admission_t *lt_admission_create (const lt_admission_options_t *options);
  void lt_admission_destroy (lt_admission_t *admission);
  /** Changes the bound; requests in progress are never interrupted.  Call
      lt_admission_next afterwards when the bound grew.  */
  void lt_admission_set_slots (lt_admission_t *admission, uint32_t slots);
  /** Offers request REQUEST (the caller's non-zero number, unique among open
      ones) of WORKSPACE.  On LT_ADMISSION_ADMIT the caller starts it now and
      releases it later; on LT_ADMISSION_QUEUED it is returned later by
      lt_admission_release, lt_admission_next or lt_admission_expire.  */
  lt_admission_verdict_t
  lt_admission_offer (lt_admission_t *admission, uint64_t request,
                      uint32_t workspace, int64_t now_us, int64_t deadline_us);
  /** Ends one request in progress that took SERVICE_US (negative: unknown, for
      example cancelled) and writes to STARTED (room for CAP) the queued
      requests to start now.  Returns their number.  */
  size_t lt_admission_release (lt_admission_t *admission, int64_t service_us,
                               int64_t now_us, uint64_t *started, size_t cap);
  /** Takes queued requests into progress while there are free slots.  */
  size_t lt_admission_next (lt_admission_t *admission, int64_t now_us,
                            uint64_t *started, size_t cap);
  /** Removes queued requests that cannot finish before their deadline (with
      refuse_early; else those whose deadline has passed).  Call it before
      lt_admission_release, so that none of them is started.  Returns how many
      were written to EXPIRED.  */
  size_t lt_admission_expire (lt_admission_t *admission, int64_t now_us,
                              uint64_t *expired, size_t cap);
  /** Removes REQUEST from the queue.  Returns 0, or -LT_ENOTFOUND when it is
      not queued.  */
  int lt_admission_cancel (lt_admission_t *admission, uint64_t request);
  /** Expected time until a new request of WORKSPACE would start.  */
  int64_t lt_admission_expected_wait_us (const lt_admission_t *admission,
                                         uint32_t workspace);
  lt_admission_status_t lt_admission_status (const lt_admission_t *admission);

#ifdef __cplusplus
}
#endif

#endif
