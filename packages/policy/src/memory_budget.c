#include "lt/policy/memory_budget.h"

#include <stddef.h>
#include <stdlib.h>
#include <utlist.h>

#include "lt/base/str.h"

enum
{
  /* Within the stall time a client must pass on this part of what it holds, so
     that a body takes two minutes at most while others wait for its room.  */
  PROGRESS_DIVISOR = 64,
  PROGRESS_MIN_BYTES = 1024,
  /* A legal client on a slow link, at 8 KiB a second.  */
  PROGRESS_MAX_BYTES = 16 * 1024,
  /* For a large body it is no use to drop less than this.  */
  DROP_MIN_BYTES = 8 * 1024,
  RETRY_AFTER_MIN_MS = 1000,
  RETRY_AFTER_MAX_MS = 10000
};

/* Period over which returned bytes are counted for Retry-After.  */
static const int64_t RATE_WINDOW_US = 2000000;

struct lt_memory_budget
{
  lt_memory_budget_options_t options;
  int64_t used_bytes;
  lt_memory_entry_t *active; /* Receiving or delivering, least recent progress
                                first. */
  lt_memory_entry_t *small;  /* Waiting lists, first come first. */
  lt_memory_entry_t *growing;
  lt_memory_entry_t *arriving;
  int waiting;
  int large_holders;      /* Large bodies that hold memory and do not wait. */
  int64_t returned_bytes; /* In the current window and in the one before. */
  int64_t returned_before_bytes;
  int64_t window_since_us;
};

lt_memory_budget_t *
lt_memory_budget_create (const lt_memory_budget_options_t *options)
{
  lt_memory_budget_t *budget = lt_alloc (sizeof (*budget));
  budget->options = *options;
  return budget;
}

void
lt_memory_budget_destroy (lt_memory_budget_t *budget)
{
  free (budget);
}

void
lt_memory_budget_resize (lt_memory_budget_t *budget, int64_t total_bytes,
                         int64_t reserved_bytes)
{
  budget->options.total_bytes = total_bytes;
  budget->options.reserved_bytes = reserved_bytes;
}

static int64_t
room_for (const lt_memory_budget_t *budget, int64_t size_bytes)
{
  const lt_memory_budget_options_t *options = &budget->options;
  int64_t room = options->total_bytes - budget->used_bytes;
  return size_bytes <= options->small_bytes ? room
                                            : room - options->reserved_bytes;
}

static lt_memory_entry_t **
waiting_list (lt_memory_budget_t *budget, const lt_memory_entry_t *entry)
{
  if (entry->wanted_bytes <= budget->options.small_bytes)
    return &budget->small;
  return entry->held_bytes > 0 ? &budget->growing : &budget->arriving;
}

static bool
is_large_holder (const lt_memory_budget_t *budget,
                 const lt_memory_entry_t *entry)
{
  return entry->held_bytes > budget->options.small_bytes
         && (entry->state == LT_MEMORY_RECEIVING
             || entry->state == LT_MEMORY_SERVING);
}

/* Takes ENTRY out of the list of its state.  */
static void
leave_state (lt_memory_budget_t *budget, lt_memory_entry_t *entry)
{
  if (is_large_holder (budget, entry))
    budget->large_holders--;
  switch (entry->state)
    {
    case LT_MEMORY_RECEIVING:
    case LT_MEMORY_DELIVERING:
      DL_DELETE (budget->active, entry); /* NOLINT(clang-analyzer-*) */
      break;
    case LT_MEMORY_WAITING:
      {
        lt_memory_entry_t **list = waiting_list (budget, entry);
        DL_DELETE (*list, entry); /* NOLINT(clang-analyzer-*) */
        budget->waiting--;
        break;
      }
    case LT_MEMORY_NONE:
    case LT_MEMORY_SERVING:
      break;
    }
  entry->state = LT_MEMORY_NONE;
}

static void
enter_state (lt_memory_budget_t *budget, lt_memory_entry_t *entry,
             lt_memory_state_t state)
{
  entry->state = state;
  if (is_large_holder (budget, entry))
    budget->large_holders++;
}

static void
enter_active (lt_memory_budget_t *budget, lt_memory_entry_t *entry,
              lt_memory_state_t state, int64_t now_us)
{
  enter_state (budget, entry, state);
  entry->progress_us = now_us;
  entry->window_bytes = 0;
  DL_APPEND (budget->active, entry);
}

static void
count_returned (lt_memory_budget_t *budget, int64_t bytes)
{
  budget->returned_bytes += bytes;
}

lt_memory_answer_t
lt_memory_budget_reserve (lt_memory_budget_t *budget, lt_memory_entry_t *entry,
                          int64_t bytes, int64_t now_us)
{
  const lt_memory_budget_options_t *options = &budget->options;
  int64_t more = bytes - entry->held_bytes;
  if (more > 0 && more > room_for (budget, bytes))
    {
      bool fits = bytes <= options->small_bytes
                  || bytes <= options->total_bytes - options->reserved_bytes;
      return fits ? LT_MEMORY_FULL : LT_MEMORY_NEVER;
    }
  /* Room that a body in progress waits for is not given to a new one.  */
  if (bytes > options->small_bytes && entry->state == LT_MEMORY_NONE
      && (budget->growing != NULL || budget->arriving != NULL))
    return LT_MEMORY_FULL;
  if (more > 0)
    budget->used_bytes += more;
  leave_state (budget, entry);
  if (more > 0)
    entry->held_bytes = bytes;
  enter_active (budget, entry, LT_MEMORY_RECEIVING, now_us);
  return LT_MEMORY_GRANTED;
}

void
lt_memory_budget_wait (lt_memory_budget_t *budget, lt_memory_entry_t *entry,
                       int64_t bytes, int64_t until_us, int64_t now_us)
{
  leave_state (budget, entry);
  entry->wanted_bytes = bytes;
  entry->waits_since_us = now_us;
  entry->waits_until_us = until_us;
  enter_state (budget, entry, LT_MEMORY_WAITING);
  lt_memory_entry_t **list = waiting_list (budget, entry);
  DL_APPEND (*list, entry);
  budget->waiting++;
}

static int64_t
enough_progress (const lt_memory_entry_t *entry)
{
  int64_t bytes
      = (entry->held_bytes + entry->response_bytes) / PROGRESS_DIVISOR;
  if (bytes < PROGRESS_MIN_BYTES)
    return PROGRESS_MIN_BYTES;
  return bytes > PROGRESS_MAX_BYTES ? PROGRESS_MAX_BYTES : bytes;
}

void
lt_memory_budget_progress (lt_memory_budget_t *budget,
                           lt_memory_entry_t *entry, int64_t bytes,
                           int64_t now_us)
{
  entry->received_bytes += bytes;
  if (entry->state != LT_MEMORY_RECEIVING
      && entry->state != LT_MEMORY_DELIVERING)
    return;
  entry->window_bytes += bytes;
  if (entry->window_bytes < enough_progress (entry))
    return;
  entry->window_bytes = 0;
  entry->progress_us = now_us;
  DL_DELETE (budget->active, entry);
  DL_APPEND (budget->active, entry);
}

void
lt_memory_budget_complete (lt_memory_budget_t *budget,
                           lt_memory_entry_t *entry)
{
  leave_state (budget, entry);
  enter_state (budget, entry, LT_MEMORY_SERVING);
}

void
lt_memory_budget_deliver (lt_memory_budget_t *budget, lt_memory_entry_t *entry,
                          int64_t response_bytes, int64_t now_us)
{
  leave_state (budget, entry);
  entry->response_bytes = response_bytes;
  enter_active (budget, entry, LT_MEMORY_DELIVERING, now_us);
}

void
lt_memory_budget_shrink (lt_memory_budget_t *budget, lt_memory_entry_t *entry,
                         int64_t bytes)
{
  if (entry->held_bytes <= bytes)
    return;
  bool was_large = is_large_holder (budget, entry);
  budget->used_bytes -= entry->held_bytes - bytes;
  count_returned (budget, entry->held_bytes - bytes);
  entry->held_bytes = bytes;
  if (was_large && !is_large_holder (budget, entry))
    budget->large_holders--;
}

void
lt_memory_budget_release (lt_memory_budget_t *budget, lt_memory_entry_t *entry)
{
  leave_state (budget, entry);
  lt_memory_budget_shrink (budget, entry, 0);
  *entry = (lt_memory_entry_t){ 0 };
}

void
lt_memory_budget_charge (lt_memory_budget_t *budget, int64_t bytes)
{
  budget->used_bytes += bytes;
  if (bytes < 0)
    count_returned (budget, -bytes);
}

bool
lt_memory_budget_take (lt_memory_budget_t *budget, int64_t bytes)
{
  if (bytes > budget->options.total_bytes - budget->options.reserved_bytes
                  - budget->used_bytes)
    return false;
  budget->used_bytes += bytes;
  return true;
}

static lt_memory_entry_t *
grant_first (lt_memory_budget_t *budget, lt_memory_entry_t *first,
             int64_t now_us)
{
  if (first == NULL
      || first->wanted_bytes - first->held_bytes
             > room_for (budget, first->wanted_bytes))
    return NULL;
  budget->used_bytes += first->wanted_bytes - first->held_bytes;
  leave_state (budget, first);
  first->held_bytes = first->wanted_bytes;
  enter_active (budget, first, LT_MEMORY_RECEIVING, now_us);
  return first;
}

lt_memory_entry_t *
lt_memory_budget_next_grant (lt_memory_budget_t *budget, int64_t now_us)
{
  if (budget->waiting == 0)
    return NULL;
  lt_memory_entry_t *granted = grant_first (budget, budget->small, now_us);
  if (granted == NULL)
    granted = grant_first (
        budget, budget->growing != NULL ? budget->growing : budget->arriving,
        now_us);
  return granted;
}

static lt_memory_entry_t *
find_timed_out (lt_memory_entry_t *list, int64_t now_us)
{
  lt_memory_entry_t *entry;
  DL_FOREACH (list, entry)
  {
    if (now_us >= entry->waits_until_us)
      return entry;
  }
  return NULL;
}

/* Returns the body of LIST that holds memory and has received the fewest
   bytes.  */
static lt_memory_entry_t *
find_least (lt_memory_entry_t *list)
{
  lt_memory_entry_t *least = NULL;
  lt_memory_entry_t *entry;
  DL_FOREACH (list, entry)
  {
    if (entry->held_bytes > 0
        && (least == NULL || entry->received_bytes < least->received_bytes))
      least = entry;
  }
  return least;
}

/* Returns the entry without enough progress for the longest time, of those
   that hold at least MIN_BYTES.  */
static lt_memory_entry_t *
find_stalled (const lt_memory_budget_t *budget, int64_t min_bytes,
              int64_t now_us)
{
  lt_memory_entry_t *entry;
  DL_FOREACH (budget->active, entry)
  {
    if (now_us - entry->progress_us < budget->options.stall_us)
      return NULL;
    if (entry->held_bytes + entry->response_bytes >= min_bytes)
      return entry;
  }
  return NULL;
}

static bool
has_waited (const lt_memory_entry_t *list, int64_t drop_wait_us,
            int64_t now_us)
{
  return list != NULL && now_us - list->waits_since_us >= drop_wait_us;
}

lt_memory_entry_t *
lt_memory_budget_next_drop (lt_memory_budget_t *budget, int64_t now_us,
                            lt_memory_cause_t *cause)
{
  lt_memory_entry_t *lists[]
      = { budget->small, budget->growing, budget->arriving };
  int64_t drop_wait_us = budget->options.drop_wait_us;
  bool waited = false;
  if (budget->waiting == 0)
    return NULL;
  *cause = LT_MEMORY_TIMED_OUT;
  for (size_t i = 0; i < sizeof (lists) / sizeof (lists[0]); i++)
    {
      lt_memory_entry_t *late = find_timed_out (lists[i], now_us);
      if (late != NULL)
        return late;
      waited = waited || has_waited (lists[i], drop_wait_us, now_us);
    }
  if (!waited)
    return NULL;
  *cause = LT_MEMORY_STALLED;
  lt_memory_entry_t *stalled = find_stalled (
      budget, budget->small == NULL ? DROP_MIN_BYTES : 0, now_us);
  if (stalled != NULL)
    return stalled;
  /* Bodies that all wait to grow would wait for each other.  */
  if (has_waited (budget->small, budget->options.stall_us, now_us))
    stalled = find_least (budget->small);
  if (stalled == NULL && budget->large_holders == 0)
    stalled = find_least (budget->growing);
  return stalled;
}

lt_memory_entry_t *
lt_memory_budget_stalled_since (const lt_memory_budget_t *budget,
                                int64_t before_us)
{
  lt_memory_entry_t *first = budget->active;
  return first != NULL && first->progress_us <= before_us ? first : NULL;
}

lt_memory_entry_t *
lt_memory_budget_first_waiting (const lt_memory_budget_t *budget)
{
  if (budget->small != NULL)
    return budget->small;
  return budget->growing != NULL ? budget->growing : budget->arriving;
}

int64_t
lt_memory_budget_retry_after_ms (lt_memory_budget_t *budget, int64_t bytes,
                                 int64_t now_us)
{
  int64_t elapsed_us = now_us - budget->window_since_us;
  if (elapsed_us >= RATE_WINDOW_US)
    {
      budget->returned_before_bytes
          = elapsed_us < 2 * RATE_WINDOW_US ? budget->returned_bytes : 0;
      budget->returned_bytes = 0;
      budget->window_since_us = now_us;
      elapsed_us = 0;
    }
  int64_t returned = budget->returned_bytes + budget->returned_before_bytes;
  int64_t missing = bytes - room_for (budget, bytes);
  if (missing <= 0)
    return RETRY_AFTER_MIN_MS;
  if (returned <= 0)
    return RETRY_AFTER_MAX_MS;
  double ms = (double)missing / (double)returned
              * (double)(elapsed_us + RATE_WINDOW_US) / 1000.0;
  if (ms > RETRY_AFTER_MAX_MS)
    return RETRY_AFTER_MAX_MS;
  return ms < RETRY_AFTER_MIN_MS ? RETRY_AFTER_MIN_MS : (int64_t)ms;
}

int64_t
lt_memory_budget_used_bytes (const lt_memory_budget_t *budget)
{
  return budget->used_bytes;
}

int64_t
lt_memory_budget_total_bytes (const lt_memory_budget_t *budget)
{
  return budget->options.total_bytes;
}

int
lt_memory_budget_waiting (const lt_memory_budget_t *budget)
{
  return budget->waiting;
}

void
lt_memory_budget_each_delivering (lt_memory_budget_t *budget,
                                  void (*visit) (void *user,
                                                 lt_memory_entry_t *entry),
                                  void *user)
{
  lt_memory_entry_t *entry;
  lt_memory_entry_t *next;
  int left;
  /* An entry that made progress moves to the end, and must not be visited
     again.  */
  DL_COUNT (budget->active, entry, left);
  entry = budget->active;
  for (; left > 0; left--, entry = next)
    {
      next = entry->next;
      if (entry->state == LT_MEMORY_DELIVERING)
        visit (user, entry);
    }
}
