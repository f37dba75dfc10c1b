/** @file
    The home side of the rate limit: owns the table record of one group of
    workspaces under a lease and grants shares to holders.  Every response that
    grants or confirms a share is sent after a conditional write of the record,
    so a home that was paused or replaced cannot grant anything.  */
#ifndef LT_POLICY_LIMIT_HOME_H
#define LT_POLICY_LIMIT_HOME_H

#include "lt/policy/limit.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Entry of the record: the share of one workspace that one VM holds or may
      hold.  */
  typedef struct lt_limit_grant
  {
    lt_limit_vm_t vm;
    int64_t incarnation;
    uint64_t workspace;
    int64_t generation;   /**< Version of the record that added this entry. */
    int32_t ppm;          /**< Granted and not returned. */
    int32_t last_ppm;     /**< Size of the last grant, to send it again. */
    int64_t grant_seq;    /**< Number of the last grant. */
    int64_t return_seq;   /**< Number of the last return. */
    int64_t confirmed_ms; /**< clock_ms of the write that last confirmed it. */
    int64_t recalled_us;  /**< Time of the last recall; not stored. */
    int64_t recall_backoff_us; /**< Until the next recall; not stored. */
  } lt_limit_grant_t;

  /** The table record of one group.  clock_ms advances only by time that a
      home measured between a response of the table and its next write.  It
      therefore never runs ahead of real time, and the ages of entries stay
      valid when the home changes.  */
  typedef struct lt_limit_record
  {
    int64_t version; /**< 0: absent. */
    lt_limit_vm_t home;
    int64_t home_incarnation;
    int64_t epoch;    /**< Number of changes of home. */
    int64_t write_id; /**< Identifies a write whose response was lost. */
    int64_t clock_ms;
    bool released; /**< The home ended its lease. */
    lt_limit_grant_t *grants;
    size_t count;
    size_t cap;
  } lt_limit_record_t;

  /** Outcome of a table call.  */
  typedef enum lt_limit_outcome
  {
    LT_LIMIT_DONE,
    LT_LIMIT_CONFLICT, /**< The version was not expected_version. */
    LT_LIMIT_UNKNOWN   /**< No response: a write may have been applied. */
  } lt_limit_outcome_t;

  typedef struct lt_limit_home lt_limit_home_t;

  typedef struct lt_limit_home_options
  {
    uint32_t group;
    lt_limit_vm_t vm;
    int64_t incarnation;
    lt_limit_times_t times;
    int64_t write_interval_us; /**< Least time between writes. */
    /** Least time between recalls to one holder.  */
    int64_t recall_interval_us;
  } lt_limit_home_options_t;

#define LT_LIMIT_HOME_OPTIONS_DEFAULT                                         \
  ((lt_limit_home_options_t){ .group = 0,                                     \
                              .vm = { { 0 } },                                \
                              .incarnation = 1,                               \
                              .times = LT_LIMIT_TIMES_DEFAULT,                \
                              .write_interval_us = 200000,                    \
                              .recall_interval_us = 1000000 })

  typedef struct lt_limit_home_state
  {
    bool leased; /**< This VM owns the record and its lease has not expired. */
    int64_t version;
    int64_t epoch;
    size_t grants; /**< Entries in the record. */
    uint64_t writes;
    uint64_t conflicts;
    uint64_t reclaimed; /**< Expired or outdated entries removed. */
  } lt_limit_home_status_t;

  lt_limit_home_t *
  lt_limit_home_create (const lt_limit_home_options_t *options);
  void lt_limit_home_destroy (lt_limit_home_t *home);
  /** Sets the rates of the workspaces of this group.  */
  void lt_limit_home_configure (lt_limit_home_t *home,
                                const lt_limit_rate_t *rates, uint32_t count,
                                int64_t now_us);
  /** Sets whether this VM is the group's home by rendezvous hash.  A VM that
      is no longer the home releases its lease by a write.  */
  void lt_limit_home_set_role (lt_limit_home_t *home, bool is_home);
  /** Queues a message from a holder: a share request, a renewal or a return.
      Other types are ignored.  */
  void lt_limit_home_message (lt_limit_home_t *home, const lt_limit_vm_t *vm,
                              const lt_limit_message_t *message,
                              int64_t now_us);
  /** Starts the next read or write of the record when one is due.  Call every
      100 ms and after each completion.  */
  void lt_limit_home_tick (lt_limit_home_t *home, int64_t now_us,
                           lt_limit_actions_t *actions);
  /** Completes LT_LIMIT_READ.  RECORD is used only during the call and has
      version 0 when the table has no record.  */
  void lt_limit_home_read_done (lt_limit_home_t *home,
                                lt_limit_outcome_t outcome,
                                const lt_limit_record_t *record,
                                int64_t now_us, lt_limit_actions_t *actions);
  /** Completes LT_LIMIT_WRITE.  */
  void lt_limit_home_write_done (lt_limit_home_t *home,
                                 lt_limit_outcome_t outcome, int64_t now_us,
                                 lt_limit_actions_t *actions);
  /** Returns the record to write for LT_LIMIT_WRITE; valid until its
      completion.  */
  const lt_limit_record_t *lt_limit_home_draft (const lt_limit_home_t *home);
  lt_limit_home_status_t lt_limit_home_status (const lt_limit_home_t *home,
                                               int64_t now_us);

  /** Appends a copy of GRANT.  */
  void lt_limit_record_add (lt_limit_record_t *record,
                            const lt_limit_grant_t *grant);
  /** Replaces the contents of TO by a copy of FROM.  */
  void lt_limit_record_copy (lt_limit_record_t *to,
                             const lt_limit_record_t *from);
  void lt_limit_record_destroy (lt_limit_record_t *record);

#ifdef __cplusplus
}
#endif

#endif
