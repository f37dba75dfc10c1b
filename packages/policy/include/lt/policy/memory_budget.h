/** @file
    The byte budget of a VM: which request body may take more memory, which one
    waits, and which one is dropped so that others can go on.

    A body reserves its announced length before it is read, so an admitted body
    can always be completed; a body of unknown length grows in steps.  A part
    of the budget is reserved for small bodies.  When there is no room, reading
    pauses: bodies that have begun are granted room before new ones, each group
    in order of arrival, and small bodies do not wait for large ones.

    Nothing is dropped while no body waits.  When one has waited for the
    drop wait, the client that made the least progress is dropped, if it
    made less than a small part of its body's size for the stall time.  When
    every large body that holds memory waits for more, the one that has
   received the fewest bytes is dropped.  A body that waits until its own
   deadline is refused.  */
#ifndef LT_POLICY_MEMORY_BUDGET_H
#define LT_POLICY_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_memory_budget_options
  {
    int64_t total_bytes;
    int64_t reserved_bytes; /**< Of the total, for small bodies only. */
    int64_t small_bytes;    /**< Largest size of a small body. */
    int64_t drop_wait_us;   /**< Wait of a body before others are dropped. */
    int64_t stall_us;       /**< Time in which a client must make progress. */
  } lt_memory_budget_options_t;

#define LT_MEMORY_BUDGET_OPTIONS_DEFAULT                                      \
  {                                                                           \
    .total_bytes = 64 * 1024 * 1024, .reserved_bytes = 8 * 1024 * 1024,       \
    .small_bytes = 64 * 1024, .drop_wait_us = 500000, .stall_us = 2000000     \
  }

  typedef enum lt_memory_state
  {
    LT_MEMORY_NONE,
    LT_MEMORY_RECEIVING,  /**< Holds memory; its client sends. */
    LT_MEMORY_WAITING,    /**< Paused until there is room. */
    LT_MEMORY_SERVING,    /**< Its body is complete; it is never dropped. */
    LT_MEMORY_DELIVERING, /**< Its client reads a response. */
  } lt_memory_state_t;

  /** A request's part of the budget, embedded by its owner and
      zero-initialized.  The fields belong to the budget.  */
  typedef struct lt_memory_entry
  {
    struct lt_memory_entry *prev;
    struct lt_memory_entry *next;
    lt_memory_state_t state;
    int64_t held_bytes;
    int64_t wanted_bytes;   /**< While it waits: what it needs in all. */
    int64_t response_bytes; /**< While it delivers; charged by its owner. */
    int64_t received_bytes;
    int64_t window_bytes; /**< Since progress_us. */
    int64_t progress_us;  /**< When it last made enough progress. */
    int64_t waits_since_us;
    int64_t waits_until_us;
  } lt_memory_entry_t;

  typedef enum lt_memory_answer
  {
    LT_MEMORY_GRANTED,
    LT_MEMORY_FULL, /**< Not now; see lt_memory_budget_wait. */
    LT_MEMORY_NEVER /**< Does not fit into the budget at all. */
  } lt_memory_answer_t;

  typedef enum lt_memory_cause
  {
    LT_MEMORY_STALLED,  /**< Made no progress while others waited. */
    LT_MEMORY_TIMED_OUT /**< Waited until its own deadline. */
  } lt_memory_cause_t;

  typedef struct lt_memory_budget lt_memory_budget_t;

  lt_memory_budget_t *
  lt_memory_budget_create (const lt_memory_budget_options_t *options);
  void lt_memory_budget_destroy (lt_memory_budget_t *budget);

  /** Changes the size of the budget; what is held stays.  */
  void lt_memory_budget_resize (lt_memory_budget_t *budget,
                                int64_t total_bytes, int64_t reserved_bytes);

  /** Raises what ENTRY holds to BYTES.  On success ENTRY is receiving;
      otherwise nothing changes.  */
  lt_memory_answer_t lt_memory_budget_reserve (lt_memory_budget_t *budget,
                                               lt_memory_entry_t *entry,
                                               int64_t bytes, int64_t now_us);
  /** Lets ENTRY wait for BYTES until UNTIL_US.  */
  void lt_memory_budget_wait (lt_memory_budget_t *budget,
                              lt_memory_entry_t *entry, int64_t bytes,
                              int64_t until_us, int64_t now_us);
  /** The client of ENTRY has sent, or read, BYTES more.  */
  void lt_memory_budget_progress (lt_memory_budget_t *budget,
                                  lt_memory_entry_t *entry, int64_t bytes,
                                  int64_t now_us);
  /** The body of ENTRY is complete.  */
  void lt_memory_budget_complete (lt_memory_budget_t *budget,
                                  lt_memory_entry_t *entry);
  /** The client of ENTRY reads its response from now on.  RESPONSE_BYTES, of
      which the owner keeps the charge, say what it would free to drop it.  */
  void lt_memory_budget_deliver (lt_memory_budget_t *budget,
                                 lt_memory_entry_t *entry,
                                 int64_t response_bytes, int64_t now_us);
  /** Returns what ENTRY holds to the budget; ENTRY leaves it.  */
  void lt_memory_budget_release (lt_memory_budget_t *budget,
                                 lt_memory_entry_t *entry);
  /** Returns all but BYTES of what ENTRY holds.  */
  void lt_memory_budget_shrink (lt_memory_budget_t *budget,
                                lt_memory_entry_t *entry, int64_t bytes);
  /** Charges BYTES that belong to no body, or returns them if negative.  The
      total may be exceeded by these.  */
  void lt_memory_budget_charge (lt_memory_budget_t *budget, int64_t bytes);
  /** As lt_memory_budget_charge, but only if BYTES are free outside of the
      reserve.  Returns whether they were charged.  */
  bool lt_memory_budget_take (lt_memory_budget_t *budget, int64_t bytes);

  /** Returns a waiting entry whose bytes are reserved now, so that it receives
      again, or NULL.  */
  lt_memory_entry_t *lt_memory_budget_next_grant (lt_memory_budget_t *budget,
                                                  int64_t now_us);
  /** Returns an entry to be dropped now, and why, or NULL.  The caller must
      release it before the next call.  */
  lt_memory_entry_t *lt_memory_budget_next_drop (lt_memory_budget_t *budget,
                                                 int64_t now_us,
                                                 lt_memory_cause_t *cause);
  /** Returns the entry that receives or delivers and made no progress since
      BEFORE_US, the one that made none for the longest time first, or NULL;
      for the end of a planned stop.  */
  lt_memory_entry_t *
  lt_memory_budget_stalled_since (const lt_memory_budget_t *budget,
                                  int64_t before_us);
  /** Returns the first entry that waits, or NULL.  */
  lt_memory_entry_t *
  lt_memory_budget_first_waiting (const lt_memory_budget_t *budget);

  /** Returns the time in which BYTES will be free, as far as can be told from
      what was returned lately; at least a second, at most ten.  */
  int64_t lt_memory_budget_retry_after_ms (lt_memory_budget_t *budget,
                                           int64_t bytes, int64_t now_us);
  int64_t lt_memory_budget_used_bytes (const lt_memory_budget_t *budget);
  int64_t lt_memory_budget_total_bytes (const lt_memory_budget_t *budget);
  int lt_memory_budget_waiting (const lt_memory_budget_t *budget);
  /** Calls VISIT for each entry that delivers, which may report progress.  */
  void lt_memory_budget_each_delivering (
      lt_memory_budget_t *budget,
      void (*visit) (void *user, lt_memory_entry_t *entry), void *user);

#ifdef __cplusplus
}
#endif

#endif
