/** @file
    Waiting requests of all services, in no order of their own; the few that a
    VM holds are searched in full.  */
#ifndef LT_POLICY_ROOM_QUEUE_H
#define LT_POLICY_ROOM_QUEUE_H

#include "lt/policy/room.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_room_entry
  {
    lt_room_request_t request;
    int64_t queued_us;
    int64_t on_time_until_us; /**< Last start that meets the target. */
    int64_t start_until_us;   /**< Last start at all. */
    bool displaced;           /**< By a more urgent request. */
  } lt_room_entry_t;

  typedef struct lt_room_queue
  {
    lt_room_entry_t *entries;
    uint32_t count;
    uint32_t cap;
    size_t bytes;
  } lt_room_queue_t;

  /** Returns a decayed count of the requests of WORKSPACE that were sent.  */
  typedef double (*lt_room_used_t) (const void *user, uint64_t workspace);

  /** The order of waiting requests.  */
  typedef struct lt_room_order
  {
    lt_room_used_t used;
    const void *user;
    int64_t now_us;
  } lt_room_order_t;

  void lt_room_queue_add (lt_room_queue_t *queue,
                          const lt_room_entry_t *entry);
  lt_room_entry_t *lt_room_queue_find (lt_room_queue_t *queue, uint64_t id);
  void lt_room_queue_remove (lt_room_queue_t *queue, lt_room_entry_t *entry);
  /** Returns whether A goes before B, which waits for the same service.  */
  bool lt_room_goes_before (const lt_room_order_t *order,
                            const lt_room_entry_t *a,
                            const lt_room_entry_t *b);
  /** Returns the request of SERVICE and LEVEL that goes first, or NULL.  */
  const lt_room_entry_t *lt_room_queue_first (const lt_room_queue_t *queue,
                                              const lt_room_order_t *order,
                                              uint64_t service,
                                              uint32_t level);
  /** Returns how many requests of the same service go before ENTRY.  */
  uint32_t lt_room_queue_ahead (const lt_room_queue_t *queue,
                                const lt_room_order_t *order,
                                const lt_room_entry_t *entry);
  /** Returns the least urgent waiting request, or NULL.  */
  lt_room_entry_t *lt_room_queue_last (const lt_room_queue_t *queue);
  uint32_t lt_room_queue_of_workspace (const lt_room_queue_t *queue,
                                       uint64_t service, uint64_t workspace);
  uint32_t lt_room_queue_of_level (const lt_room_queue_t *queue,
                                   uint64_t service, uint32_t level);

#ifdef __cplusplus
}
#endif

#endif
