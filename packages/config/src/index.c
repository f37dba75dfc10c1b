#include "index.h"

#include <string.h>

#include "arena.h"
#include "lt/base/error.h"

enum
{
  METHOD_COUNT = 7,
  METHOD_SETS = 1 << METHOD_COUNT,
  MAX_SEGMENTS = 64,
  ALLOW_MAX_BYTES = 64
};

#define FNV_OFFSET 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL

static const char *const methods[METHOD_COUNT]
    = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };

/* Open-addressing hash table of row indexes, at most half full.  */
typedef struct slots
{
  uint32_t *rows;
  uint32_t mask;
} slots_t;

struct lt_snapshot_index
{
  slots_t keys;         /* By hash; usable keys only. */
  slots_t upstreams;    /* By name. */
  slots_t paths;        /* By path; the first route of each path. */
  slots_t hosts;        /* By host and prefix. */
  uint32_t *next_route; /* Next route with the same path. */
  uint8_t *route_methods;
  uint32_t max_segments;
  str_t allow[METHOD_SETS];
};

uint32_t
lt_method_bit (str_t method)
{
  for (uint32_t i = 0; i < METHOD_COUNT; i++)
    if (str_equal (method, str_from (methods[i])))
      return 1U << i;
  return 0;
}

uint32_t
lt_methods_parse (str_t text)
{
  uint32_t set = 0;
  str_t rest = text;
  do
    {
      uint32_t bit = lt_method_bit (str_split (rest, '|', &rest));
      if (bit == 0 || (set & bit) != 0)
        return 0;
      set |= bit;
    }
  while (rest.data != NULL);
  return set;
}

static slots_t
slots_create (lt_arena_t *arena, uint32_t count)
{
  uint32_t size = 4;
  while (size < 2 * (uint64_t)count)
    size *= 2;
  slots_t slots
      = { lt_arena_alloc (arena, size * sizeof (uint32_t)), size - 1 };
  memset (slots.rows, 0xff, size * sizeof (uint32_t));
  return slots;
}

/* Returns the place after PLACE in the probe sequence.  */
static uint32_t
slots_next (const slots_t *slots, uint32_t place)
{
  return (place + 1) & slots->mask;
}

static uint64_t
digest_hash (const lt_digest_t *digest)
{
  uint64_t hash;
  memcpy (&hash, digest->bytes, sizeof (hash));
  return hash;
}

static int
index_keys (lt_snapshot_t *snapshot)
{
  slots_t *slots = &snapshot->index->keys;
  *slots = slots_create (snapshot->arena, snapshot->key_count);
  for (uint32_t i = 0; i < snapshot->key_count; i++)
    {
      const lt_key_t *key = &snapshot->keys[i];
      uint32_t place = (uint32_t)digest_hash (&key->hash) & slots->mask;
      for (; slots->rows[place] != LT_NO_INDEX;
           place = slots_next (slots, place))
        if (lt_digest_equal (&snapshot->keys[slots->rows[place]].hash,
                             &key->hash))
          return -LT_EINVAL;
      slots->rows[place] = i;
    }
  return 0;
}

static int
index_upstreams (lt_snapshot_t *snapshot)
{
  slots_t *slots = &snapshot->index->upstreams;
  *slots = slots_create (snapshot->arena, snapshot->upstream_count);
  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    {
      str_t name = snapshot->upstreams[i].name;
      uint32_t place = (uint32_t)lt_hash64 (name) & slots->mask;
      for (; slots->rows[place] != LT_NO_INDEX;
           place = slots_next (slots, place))
        if (str_equal (snapshot->upstreams[slots->rows[place]].name, name))
          return -LT_EINVAL;
      slots->rows[place] = i;
    }
  return 0;
}

static uint64_t
path_hash (uint64_t hash, str_t part)
{
  for (size_t i = 0; i < part.len; i++)
    hash = (hash ^ (unsigned char)part.data[i]) * FNV_PRIME;
  return hash;
}

/* Spreads the hash over its low bits, which select the slot.  */
static uint32_t
path_slot (uint64_t hash)
{
  return (uint32_t)(hash ^ hash >> 32);
}

static uint32_t
path_find (const lt_snapshot_t *snapshot, str_t path, uint64_t hash,
           uint32_t *place)
{
  const slots_t *slots = &snapshot->index->paths;
  uint32_t at = path_slot (hash) & slots->mask;
  while (slots->rows[at] != LT_NO_INDEX
         && !str_equal (snapshot->routes[slots->rows[at]].path, path))
    at = slots_next (slots, at);
  if (place != NULL)
    *place = at;
  return slots->rows[at];
}

static uint32_t
count_segments (str_t path)
{
  uint32_t count = 0;
  for (size_t i = 0; i < path.len; i++)
    count += path.data[i] == '/';
  return count;
}

static int
index_routes (lt_snapshot_t *snapshot)
{
  lt_snapshot_index_t *index = snapshot->index;
  uint32_t count = snapshot->route_count;
  index->paths = slots_create (snapshot->arena, count);
  index->next_route
      = lt_arena_alloc (snapshot->arena, count * sizeof (uint32_t));
  index->route_methods = lt_arena_alloc (snapshot->arena, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const lt_route_t *route = &snapshot->routes[i];
      uint32_t set = lt_methods_parse (route->methods);
      uint32_t segments = count_segments (route->path);
      if (set == 0 || segments > MAX_SEGMENTS)
        return -LT_EINVAL;
      uint32_t place = 0;
      uint32_t head = path_find (snapshot, route->path,
                                 path_hash (FNV_OFFSET, route->path), &place);
      for (uint32_t r = head; r != LT_NO_INDEX; r = index->next_route[r])
        if ((index->route_methods[r] & set) != 0)
          return -LT_EINVAL;
      index->next_route[i] = head;
      index->route_methods[i] = (uint8_t)set;
      index->paths.rows[place] = i;
      if (segments > index->max_segments)
        index->max_segments = segments;
    }
  return 0;
}

static char
lower (char c)
{
  return c >= 'A' && c <= 'Z' ? (char)(c + 'a' - 'A') : c;
}

static uint64_t
host_hash (str_t host)
{
  uint64_t hash = FNV_OFFSET;
  for (size_t i = 0; i < host.len; i++)
    hash = (hash ^ (unsigned char)lower (host.data[i])) * FNV_PRIME;
  return hash * FNV_PRIME;
}

static uint32_t
host_find (const lt_snapshot_t *snapshot, str_t host, str_t prefix,
           uint64_t hash, uint32_t *place)
{
  const slots_t *slots = &snapshot->index->hosts;
  uint32_t at = path_slot (hash) & slots->mask;
  for (; slots->rows[at] != LT_NO_INDEX; at = slots_next (slots, at))
    {
      const lt_route_t *route = &snapshot->routes[slots->rows[at]];
      if (str_equal (route->path, prefix)
          && str_equal_nocase (route->host, host))
        break;
    }
  *place = at;
  return slots->rows[at];
}

static int
index_hosts (lt_snapshot_t *snapshot)
{
  slots_t *slots = &snapshot->index->hosts;
  *slots = slots_create (snapshot->arena, snapshot->route_count);
  for (uint32_t i = 0; i < snapshot->route_count; i++)
    {
      const lt_route_t *route = &snapshot->routes[i];
      uint64_t hash = path_hash (host_hash (route->host), route->path);
      uint32_t place;
      if (host_find (snapshot, route->host, route->path, hash, &place)
          != LT_NO_INDEX)
        return -LT_EINVAL;
      slots->rows[place] = i;
    }
  return 0;
}

const lt_route_t *
lt_snapshot_match_host (const lt_snapshot_t *snapshot, str_t host, str_t path)
{
  const lt_route_t *found = NULL;
  str_t port;
  host = str_split (str_trim (host), ':', &port);
  uint64_t hash = host_hash (host);
  for (size_t i = 0; i < path.len; i++)
    {
      hash = (hash ^ (unsigned char)path.data[i]) * FNV_PRIME;
      if (path.data[i] != '/')
        continue;
      uint32_t place;
      uint32_t row = host_find (snapshot, host, str_make (path.data, i + 1),
                                hash, &place);
      if (row != LT_NO_INDEX)
        found = &snapshot->routes[row];
    }
  return found;
}

int
lt_snapshot_derive_index (const lt_snapshot_t *base, lt_snapshot_t *snapshot)
{
  snapshot->index
      = lt_arena_alloc (snapshot->arena, sizeof (lt_snapshot_index_t));
  *snapshot->index = *base->index;
  return index_upstreams (snapshot);
}

static str_t
allow_text (lt_snapshot_t *snapshot, uint32_t set)
{
  char text[ALLOW_MAX_BYTES] = "";
  char *end = text;
  for (uint32_t i = 0; i < METHOD_COUNT; i++)
    {
      if ((set & 1U << i) == 0)
        continue;
      if (end > text)
        end = stpcpy (end, ", ");
      end = stpcpy (end, methods[i]);
    }
  return lt_arena_copy (snapshot->arena, str_from (text));
}

int
lt_snapshot_build_index (lt_snapshot_t *snapshot)
{
  snapshot->index
      = lt_arena_alloc (snapshot->arena, sizeof (lt_snapshot_index_t));
  for (uint32_t set = 0; set < METHOD_SETS; set++)
    snapshot->index->allow[set] = allow_text (snapshot, set);
  int err = index_keys (snapshot);
  if (err == 0)
    err = index_upstreams (snapshot);
  if (err == 0)
    err = snapshot->by_host ? index_hosts (snapshot) : index_routes (snapshot);
  return err;
}

const lt_key_t *
lt_snapshot_find_key (const lt_snapshot_t *snapshot, const lt_digest_t *hash)
{
  const slots_t *slots = &snapshot->index->keys;
  uint32_t place = (uint32_t)digest_hash (hash) & slots->mask;
  for (; slots->rows[place] != LT_NO_INDEX; place = slots_next (slots, place))
    {
      const lt_key_t *key = &snapshot->keys[slots->rows[place]];
      if (lt_digest_equal (&key->hash, hash))
        return key->state == LT_KEY_WITHDRAWN ? NULL : key;
    }
  return NULL;
}

uint32_t
lt_snapshot_find_upstream (const lt_snapshot_t *snapshot, str_t name)
{
  const slots_t *slots = &snapshot->index->upstreams;
  uint32_t place = (uint32_t)lt_hash64 (name) & slots->mask;
  for (; slots->rows[place] != LT_NO_INDEX; place = slots_next (slots, place))
    if (str_equal (snapshot->upstreams[slots->rows[place]].name, name))
      return slots->rows[place];
  return LT_NO_INDEX;
}

static bool
encoded_changes_meaning (int c)
{
  bool alnum
      = (c >= '0' && c <= '9') || ((c | 0x20) >= 'a' && (c | 0x20) <= 'z');
  return alnum || c < 0x20 || c == 0x7f || strchr ("-._~/\\", c) != NULL;
}

/* Upstreams differ in how they normalize paths.  A path that one of them could
   read as the path of another route would bypass that route's access rule. */
bool
lt_path_is_canonical (str_t path)
{
  if (path.len == 0 || path.data[0] != '/')
    return false;
  for (size_t i = 0; i < path.len; i++)
    {
      char c = path.data[i];
      if (c == '\\' || c == ';' || (unsigned char)c < 0x20 || c == 0x7f)
        return false;
      if (c != '%')
        continue;
      int high = i + 1 < path.len ? str_hex_digit (path.data[i + 1]) : -1;
      int low = i + 2 < path.len ? str_hex_digit (path.data[i + 2]) : -1;
      if (high < 0 || low < 0 || encoded_changes_meaning (high * 16 + low))
        return false;
    }
  str_t rest = str_make (path.data + 1, path.len - 1);
  while (rest.data != NULL)
    {
      str_t segment = str_split (rest, '/', &rest);
      bool last = rest.data == NULL;
      if ((segment.len == 0 && !last) || str_equal (segment, STR_LIT ("."))
          || str_equal (segment, STR_LIT ("..")))
        return false;
    }
  return true;
}

/* Finds a route of PATH that allows METHOD; collects methods in *SET.  */
static const lt_route_t *
match_prefix (const lt_snapshot_t *snapshot, str_t path, uint64_t hash,
              uint32_t method, uint32_t *set)
{
  const lt_snapshot_index_t *index = snapshot->index;
  uint32_t r = path_find (snapshot, path, hash, NULL);
  for (; r != LT_NO_INDEX; r = index->next_route[r])
    {
      if ((index->route_methods[r] & method) != 0)
        return &snapshot->routes[r];
      *set |= index->route_methods[r];
    }
  return NULL;
}

lt_route_match_t
lt_snapshot_match_route (const lt_snapshot_t *snapshot, str_t method,
                         str_t path, const lt_route_t **route, str_t *allow)
{
  size_t ends[MAX_SEGMENTS];
  uint64_t hashes[MAX_SEGMENTS];
  uint32_t count = 0;
  if (!lt_path_is_canonical (path))
    return LT_ROUTE_NONE;
  uint64_t hash = FNV_OFFSET;
  size_t start = 0;
  while (start < path.len && count < snapshot->index->max_segments)
    {
      str_t tail = str_make (path.data + start + 1, path.len - start - 1);
      str_t rest;
      size_t end = start + 1 + str_split (tail, '/', &rest).len;
      hash = path_hash (hash, str_make (path.data + start, end - start));
      hashes[count] = hash;
      ends[count++] = end;
      start = end;
    }
  uint32_t bit = lt_method_bit (method);
  uint32_t first_set = 0;
  for (uint32_t i = count + 1; i-- > 0;)
    {
      /* The root is a prefix of every path and has no segment of its own.  */
      str_t prefix
          = i == 0 ? STR_LIT ("/") : str_make (path.data, ends[i - 1]);
      uint64_t prefix_hash
          = i == 0 ? path_hash (FNV_OFFSET, prefix) : hashes[i - 1];
      uint32_t set = 0;
      *route = match_prefix (snapshot, prefix, prefix_hash, bit, &set);
      if (*route != NULL)
        return LT_ROUTE_FOUND;
      if (first_set == 0)
        first_set = set;
    }
  *allow = snapshot->index->allow[first_set];
  return first_set == 0 ? LT_ROUTE_NONE : LT_ROUTE_METHOD_NOT_ALLOWED;
}
