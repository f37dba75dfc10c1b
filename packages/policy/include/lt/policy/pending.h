/** @file
    Bound on the requests that this VM has at one upstream at a time, and the
    queue of those beyond it (bulkhead; Nygard, "Release It!", 2007).  Each
    upstream has a queue of its own, in the order of arrival at the VM.

    The module does no I/O and knows no time.  */
#ifndef LT_POLICY_PENDING_H
#define LT_POLICY_PENDING_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_pending_options
  {
    uint32_t connections_max; /**< Requests at one upstream at a time. */
  } lt_pending_options_t;

#define LT_PENDING_OPTIONS_DEFAULT                                            \
  ((lt_pending_options_t){ .connections_max = 8 })

  /** A request in a queue.  It belongs to the caller, which keeps it in place
      while it is queued.  */
  typedef struct lt_pending_entry
  {
    struct lt_pending_entry *prev;
    struct lt_pending_entry *next;
    struct lt_pending_line *line; /**< NULL unless queued. */
    uint64_t order;               /**< Lower: arrived earlier. */
  } lt_pending_entry_t;

  typedef struct lt_pending lt_pending_t;

  lt_pending_t *lt_pending_create (const lt_pending_options_t *options);
  /** Frees PENDING; no request may be queued or in progress.  */
  void lt_pending_destroy (lt_pending_t *pending);
  /** Returns whether a request that arrived as ORDER may be sent to UPSTREAM
      now: it has a free connection, and no earlier request waits for it.  */
  bool lt_pending_admits (const lt_pending_t *pending, uint64_t upstream,
                          uint64_t order);
  /** Record that a request is sent to UPSTREAM or has ended there.  */
  void lt_pending_begin (lt_pending_t *pending, uint64_t upstream);
  void lt_pending_end (lt_pending_t *pending, uint64_t upstream);
  /** Adds ENTRY to the queue of UPSTREAM, before those that arrived later.  */
  void lt_pending_add (lt_pending_t *pending, uint64_t upstream,
                       lt_pending_entry_t *entry);
  /** Removes ENTRY if it is queued.  */
  void lt_pending_remove (lt_pending_t *pending, lt_pending_entry_t *entry);
  /** Returns the earliest request whose upstream has a free connection, or
      NULL.  It stays in its queue.  */
  lt_pending_entry_t *lt_pending_next (const lt_pending_t *pending);
  /** Returns the number of queued requests.  */
  uint32_t lt_pending_count (const lt_pending_t *pending);

#ifdef __cplusplus
}
#endif

#endif
