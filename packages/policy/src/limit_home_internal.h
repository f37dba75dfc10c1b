/** @file
    The home's state, shared by its source files.  */
#ifndef LT_POLICY_LIMIT_HOME_INTERNAL_H
#define LT_POLICY_LIMIT_HOME_INTERNAL_H

#include "limit_pool.h"
#include "limit_queue.h"
#include "lt/policy/limit_home.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum lt_limit_home_phase
  {
    LT_LIMIT_HOME_UNREAD, /**< The record must be read before anything else. */
    LT_LIMIT_HOME_READING,
    LT_LIMIT_HOME_IDLE,
    LT_LIMIT_HOME_WRITING
  } lt_limit_home_phase_t;

  struct lt_limit_home
  {
    lt_limit_home_options_t options;
    bool is_home;
    lt_limit_home_phase_t phase;
    lt_limit_pool_t *pools;
    uint32_t pool_count;
    lt_limit_record_t record; /**< As last read or written. */
    lt_limit_record_t draft;  /**< Being prepared or written. */
    int64_t record_us;       /**< When the response with the record arrived. */
    int64_t version_seen_us; /**< When its version was first read. */
    int64_t written_us;      /**< When the last write was sent. */
    int64_t leased_until_us;
    int64_t next_read_us;
    int64_t write_id;
    bool write_unresolved; /**< The outcome of the draft's write is unknown. */
    lt_limit_queue_t inbox;
    lt_limit_queue_t replies; /**< Sent when the draft has been written. */
    lt_limit_queue_t recalls;
    uint64_t writes;
    uint64_t conflicts;
    uint64_t reclaimed;
  };

  /** Returns the pool of WORKSPACE, or NULL.  */
  lt_limit_pool_t *lt_limit_home_pool (lt_limit_home_t *home,
                                       uint64_t workspace);
  /** Returns whether the record names this incarnation of this VM as home.  */
  bool lt_limit_home_is_owner (const lt_limit_home_t *home);
  /** Returns whether MESSAGE is a return, not a request or renewal.  */
  bool lt_limit_is_return (const lt_limit_message_t *message);
  /** Applies one message to the draft and queues the reply.  Returns whether
      the draft must be written.  */
  bool lt_limit_home_apply (lt_limit_home_t *home,
                            const lt_limit_envelope_t *envelope,
                            int64_t now_us);
  /** Queues recalls to the holders of a workspace when requests could not be
      granted in full.  */
  void lt_limit_home_recall (lt_limit_home_t *home, lt_limit_pool_t *pool,
                             int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
