#include "lt/policy/pending.h"

#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "lt/base/str.h"

/* An upstream with requests in progress or queued.  */
typedef struct lt_pending_line
{
  UT_hash_handle hh;
  uint64_t upstream;
  uint32_t active;
  lt_pending_entry_t *queue;
} lt_pending_line_t;

struct lt_pending
{
  lt_pending_options_t options;
  lt_pending_line_t *lines;
  uint32_t count;
};

lt_pending_t *
lt_pending_create (const lt_pending_options_t *options)
{
  lt_pending_t *pending = lt_alloc (sizeof (*pending));
  pending->options = *options;
  return pending;
}

void
lt_pending_destroy (lt_pending_t *pending)
{
  if (pending == NULL)
    return;
  lt_pending_line_t *line;
  lt_pending_line_t *next;
  HASH_ITER (hh, pending->lines, line, next)
  {
    HASH_DEL (pending->lines, line); /* NOLINT(clang-analyzer-*) */
    free (line);
  }
  free (pending);
}

static lt_pending_line_t *
find_line (const lt_pending_t *pending, uint64_t upstream)
{
  lt_pending_line_t *line = NULL;
  HASH_FIND (hh, pending->lines, &upstream, sizeof (upstream), line);
  return line;
}

static lt_pending_line_t *
get_line (lt_pending_t *pending, uint64_t upstream)
{
  lt_pending_line_t *line = find_line (pending, upstream);
  if (line != NULL)
    return line;
  line = lt_alloc (sizeof (*line));
  line->upstream = upstream;
  HASH_ADD (hh, pending->lines, upstream, sizeof (line->upstream), line);
  return line;
}

static void
free_unused (lt_pending_t *pending, lt_pending_line_t *line)
{
  if (line->active > 0 || line->queue != NULL)
    return;
  HASH_DEL (pending->lines, line); /* NOLINT(clang-analyzer-*) */
  free (line);
}

bool
lt_pending_admits (const lt_pending_t *pending, uint64_t upstream,
                   uint64_t order)
{
  const lt_pending_line_t *line = find_line (pending, upstream);
  return line == NULL
         || (line->active < pending->options.connections_max
             && (line->queue == NULL || order < line->queue->order));
}

void
lt_pending_begin (lt_pending_t *pending, uint64_t upstream)
{
  get_line (pending, upstream)->active++;
}

void
lt_pending_end (lt_pending_t *pending, uint64_t upstream)
{
  lt_pending_line_t *line = find_line (pending, upstream);
  if (line == NULL || line->active == 0)
    return;
  line->active--;
  free_unused (pending, line);
}

void
lt_pending_add (lt_pending_t *pending, uint64_t upstream,
                lt_pending_entry_t *entry)
{
  lt_pending_line_t *line = get_line (pending, upstream);
  entry->line = line;
  pending->count++;
  /* Most requests go to the end.  */
  lt_pending_entry_t *before = line->queue == NULL ? NULL : line->queue->prev;
  while (before != NULL && before->order > entry->order)
    before = before == line->queue ? NULL : before->prev;
  if (before == NULL)
    DL_PREPEND (line->queue, entry);
  else
    DL_APPEND_ELEM (line->queue, before, entry);
}

void
lt_pending_remove (lt_pending_t *pending, lt_pending_entry_t *entry)
{
  lt_pending_line_t *line = entry->line;
  if (line == NULL)
    return;
  DL_DELETE (line->queue, entry); /* NOLINT(clang-analyzer-*) */
  entry->line = NULL;
  pending->count--;
  free_unused (pending, line);
}

lt_pending_entry_t *
lt_pending_next (const lt_pending_t *pending)
{
  if (pending->count == 0)
    return NULL;
  lt_pending_entry_t *first = NULL;
  const lt_pending_line_t *line;
  const lt_pending_line_t *next;
  HASH_ITER (hh, pending->lines, line, next)
  {
    if (line->queue != NULL && line->active < pending->options.connections_max
        && (first == NULL || line->queue->order < first->order))
      first = line->queue;
  }
  return first;
}

uint32_t
lt_pending_count (const lt_pending_t *pending)
{
  return pending->count;
}
