#include "arena.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CHUNK_BYTES = 128 * 1024,
  ALIGN_BYTES = 16,
  RECENT_TEXTS = 64,
  VEC_MIN_ITEMS = 16
};

typedef struct chunk
{
  struct chunk *next;
  size_t used;
  size_t size;
  size_t padding; /* Keeps the bytes aligned. */
  char bytes[];
} chunk_t;

struct lt_arena
{
  chunk_t *texts;
  chunk_t *blocks;
  size_t bytes;
  int extra_owners;
  str_t recent[RECENT_TEXTS];
};

lt_arena_t *
lt_arena_create (void)
{
  return lt_alloc (sizeof (lt_arena_t));
}

lt_arena_t *
lt_arena_acquire (lt_arena_t *arena)
{
  arena->extra_owners++;
  return arena;
}

static void
chunks_destroy (chunk_t *chunk)
{
  while (chunk != NULL)
    {
      chunk_t *next = chunk->next;
      free (chunk);
      chunk = next;
    }
}

void
lt_arena_destroy (lt_arena_t *arena)
{
  if (arena == NULL || arena->extra_owners-- > 0)
    return;
  chunks_destroy (arena->texts);
  chunks_destroy (arena->blocks);
  free (arena);
}

static char *
chunk_take (lt_arena_t *arena, chunk_t **head, size_t size)
{
  chunk_t *chunk = *head;
  if (chunk == NULL || chunk->size - chunk->used < size)
    {
      size_t room = size > CHUNK_BYTES / 4 ? size : CHUNK_BYTES;
      chunk = lt_alloc (sizeof (chunk_t) + room);
      chunk->size = room;
      arena->bytes += sizeof (chunk_t) + room;
      bool keep_head = *head != NULL && room == size;
      chunk->next = keep_head ? (*head)->next : *head;
      if (keep_head)
        (*head)->next = chunk;
      else
        *head = chunk;
    }
  char *bytes = chunk->bytes + chunk->used;
  chunk->used += size;
  return bytes;
}

void *
lt_arena_alloc (lt_arena_t *arena, size_t size)
{
  size_t rounded = (size + ALIGN_BYTES - 1) / ALIGN_BYTES * ALIGN_BYTES;
  return chunk_take (arena, &arena->blocks, rounded);
}

str_t
lt_arena_copy (lt_arena_t *arena, str_t text)
{
  if (text.len == 0)
    return str_make ("", 0);
  char *bytes = chunk_take (arena, &arena->texts, text.len);
  memcpy (bytes, text.data, text.len);
  return str_make (bytes, text.len);
}

str_t
lt_arena_intern (lt_arena_t *arena, str_t text)
{
  uint32_t sum = (uint32_t)text.len;
  for (size_t i = 0; i < text.len; i++)
    sum = sum * 31 + (unsigned char)text.data[i];
  str_t *slot = &arena->recent[sum % RECENT_TEXTS];
  if (slot->data == NULL || !str_equal (*slot, text))
    *slot = lt_arena_copy (arena, text);
  return *slot;
}

size_t
lt_arena_bytes (const lt_arena_t *arena)
{
  return sizeof (*arena) + arena->bytes;
}

void *
lt_vec_grow (void *items, uint32_t count, uint32_t *cap, size_t size)
{
  if (count == *cap)
    {
      *cap = *cap == 0 ? VEC_MIN_ITEMS : *cap * 2;
      items = lt_realloc (items, *cap * size);
    }
  memset ((char *)items + count * size, 0, size);
  return items;
}
