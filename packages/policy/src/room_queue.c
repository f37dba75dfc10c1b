#include "room_queue.h"

#include <stdlib.h>

#include "lt/base/str.h"

void
lt_room_queue_add (lt_room_queue_t *queue, const lt_room_entry_t *entry)
{
  if (queue->count == queue->cap)
    {
      queue->cap = queue->cap == 0 ? 16 : 2 * queue->cap;
      queue->entries
          = lt_realloc (queue->entries, queue->cap * sizeof (*queue->entries));
    }
  queue->entries[queue->count++] = *entry;
  queue->bytes += entry->request.bytes;
}

lt_room_entry_t *
lt_room_queue_find (lt_room_queue_t *queue, uint64_t id)
{
  for (uint32_t i = 0; i < queue->count; i++)
    if (queue->entries[i].request.id == id)
      return &queue->entries[i];
  return NULL;
}

void
lt_room_queue_remove (lt_room_queue_t *queue, lt_room_entry_t *entry)
{
  queue->bytes -= entry->request.bytes;
  *entry = queue->entries[--queue->count];
}

bool
lt_room_goes_before (const lt_room_order_t *order, const lt_room_entry_t *a,
                     const lt_room_entry_t *b)
{
  if (a->request.level != b->request.level)
    return a->request.level < b->request.level;
  bool a_late = a->on_time_until_us < order->now_us;
  bool b_late = b->on_time_until_us < order->now_us;
  if (a_late != b_late)
    return b_late;
  if (a->request.workspace != b->request.workspace)
    {
      double a_used = order->used (order->user, a->request.workspace);
      double b_used = order->used (order->user, b->request.workspace);
      if (a_used != b_used)
        return a_used < b_used;
    }
  int64_t a_until = a_late ? a->start_until_us : a->on_time_until_us;
  int64_t b_until = b_late ? b->start_until_us : b->on_time_until_us;
  return a_until != b_until ? a_until < b_until
                            : a->request.id < b->request.id;
}

const lt_room_entry_t *
lt_room_queue_first (const lt_room_queue_t *queue,
                     const lt_room_order_t *order, uint64_t service,
                     uint32_t level)
{
  const lt_room_entry_t *first = NULL;
  for (uint32_t i = 0; i < queue->count; i++)
    {
      const lt_room_entry_t *entry = &queue->entries[i];
      if (entry->request.service != service || entry->request.level != level
          || entry->displaced)
        continue;
      if (first == NULL || lt_room_goes_before (order, entry, first))
        first = entry;
    }
  return first;
}

uint32_t
lt_room_queue_ahead (const lt_room_queue_t *queue,
                     const lt_room_order_t *order,
                     const lt_room_entry_t *entry)
{
  uint32_t ahead = 0;
  for (uint32_t i = 0; i < queue->count; i++)
    {
      const lt_room_entry_t *other = &queue->entries[i];
      ahead += other->request.service == entry->request.service
               && !other->displaced
               && lt_room_goes_before (order, other, entry);
    }
  return ahead;
}

lt_room_entry_t *
lt_room_queue_last (const lt_room_queue_t *queue)
{
  lt_room_entry_t *last = NULL;
  for (uint32_t i = 0; i < queue->count; i++)
    {
      lt_room_entry_t *entry = &queue->entries[i];
      if (entry->displaced)
        continue;
      if (last == NULL || entry->request.level > last->request.level
          || (entry->request.level == last->request.level
              && entry->queued_us > last->queued_us))
        last = entry;
    }
  return last;
}

uint32_t
lt_room_queue_of_workspace (const lt_room_queue_t *queue, uint64_t service,
                            uint64_t workspace)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < queue->count; i++)
    count += queue->entries[i].request.service == service
             && queue->entries[i].request.workspace == workspace;
  return count;
}

uint32_t
lt_room_queue_of_level (const lt_room_queue_t *queue, uint64_t service,
                        uint32_t level)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < queue->count; i++)
    count += queue->entries[i].request.service == service
             && queue->entries[i].request.level == level
             && !queue->entries[i].displaced;
  return count;
}
