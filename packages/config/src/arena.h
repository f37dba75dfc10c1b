/** @file
    Memory that is released at once, and growing arrays.  */
#ifndef LT_CONFIG_ARENA_H
#define LT_CONFIG_ARENA_H

#include "lt/base/str.h"

typedef struct lt_arena lt_arena_t;

lt_arena_t *lt_arena_create (void);
/** Counts one more owner.  */
lt_arena_t *lt_arena_acquire (lt_arena_t *arena);
/** Releases the memory with the last owner.  */
void lt_arena_destroy (lt_arena_t *arena);
/** Returns SIZE zeroed bytes aligned for any type.  */
void *lt_arena_alloc (lt_arena_t *arena, size_t size);
str_t lt_arena_copy (lt_arena_t *arena, str_t text);
/** As lt_arena_copy; recently interned equal texts share their bytes.  */
str_t lt_arena_intern (lt_arena_t *arena, str_t text);
size_t lt_arena_bytes (const lt_arena_t *arena);

/** A growing array of TYPE; zero-initialized means empty.  */
#define LT_VEC(type)                                                          \
  struct                                                                      \
  {                                                                           \
    type *items;                                                              \
    uint32_t count;                                                           \
    uint32_t cap;                                                             \
  }

void *lt_vec_grow (void *items, uint32_t count, uint32_t *cap, size_t size);

/** Appends a zeroed item and evaluates to its address.  */
#define LT_VEC_PUSH(vec)                                                      \
  ((vec)->items = lt_vec_grow ((vec)->items, (vec)->count, &(vec)->cap,       \
                               sizeof (*(vec)->items)),                       \
   &(vec)->items[(vec)->count++])

#endif
