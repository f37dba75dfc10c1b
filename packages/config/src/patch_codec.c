#include "patch_codec.h"

#include <msgpack.h>
#include <string.h>

#include "lt/base/error.h"

enum
{
  FORMAT_VERSION = 1,
  HEADER_FIELDS = 8,
  ZONE_CHUNK_BYTES = 4096,
  REMOVED = 16 /* Added to the row kind of a removal. */
};

static int
write_buf (void *data, const char *bytes, size_t len)
{
  lt_buf_append (data, bytes, len);
  return 0;
}

static void
put_str (msgpack_packer *pk, str_t text)
{
  msgpack_pack_str (pk, text.len);
  msgpack_pack_str_body (pk, text.data, text.len);
}

static void
put_row (msgpack_packer *pk, int kind, size_t fields)
{
  msgpack_pack_array (pk, fields + 1);
  msgpack_pack_int (pk, kind);
}

static void
put_bool (msgpack_packer *pk, bool value)
{
  if (value)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
}

/* The last field of a row, which only rows that some regions may serve have.
 */
static void
put_regions (msgpack_packer *pk, const lt_patch_t *patch, uint64_t mask)
{
  lt_buf_t list = { 0 };
  if (mask == 0)
    return;
  lt_regions_print (patch->regions.items, mask, &list);
  put_str (pk, lt_buf_str (&list));
  lt_buf_destroy (&list);
}

static void
put_key (msgpack_packer *pk, const lt_patch_key_t *key)
{
  put_row (pk, LT_ROW_KEY, 4);
  put_str (pk, key->row.name);
  put_str (pk, key->workspace);
  msgpack_pack_int (pk, (int)key->row.state);
  msgpack_pack_bin (pk, LT_DIGEST_BYTES);
  msgpack_pack_bin_body (pk, key->row.hash.bytes, LT_DIGEST_BYTES);
}

static void
put_upstream (msgpack_packer *pk, const lt_patch_upstream_t *upstream)
{
  put_row (pk, LT_ROW_UPSTREAM, upstream->row.evacuated ? 9 : 8);
  put_str (pk, upstream->row.name);
  put_str (pk, upstream->service);
  put_str (pk, upstream->row.region);
  put_str (pk, upstream->row.failure_domain);
  put_str (pk, upstream->row.address);
  msgpack_pack_int32 (pk, upstream->row.slots);
  msgpack_pack_int32 (pk, upstream->row.connections);
  put_bool (pk, upstream->row.drained);
  if (upstream->row.evacuated)
    put_bool (pk, true);
}

static void
put_route (msgpack_packer *pk, const lt_patch_t *patch,
           const lt_patch_route_t *route)
{
  put_row (pk, LT_ROW_ROUTE, route->row.allowed_regions != 0 ? 12 : 11);
  put_str (pk, route->row.name);
  put_str (pk, route->row.path);
  put_str (pk, route->row.methods);
  put_str (pk, route->service);
  msgpack_pack_int (pk, (int)route->row.access);
  msgpack_pack_int (pk, (int)route->row.action);
  put_bool (pk, route->row.hedge);
  msgpack_pack_int32 (pk, route->row.timeout_ms);
  msgpack_pack_int64 (pk, route->row.max_body_bytes);
  put_bool (pk, route->row.all_workspaces);
  lt_buf_t list = { 0 };
  for (uint32_t i = 0; i < route->workspace_count; i++)
    {
      if (i > 0)
        lt_buf_append (&list, "|", 1);
      lt_buf_append_str (&list, route->workspaces[i]);
    }
  put_str (pk, lt_buf_str (&list));
  lt_buf_destroy (&list);
  put_regions (pk, patch, route->row.allowed_regions);
}

static void
put_stop (msgpack_packer *pk, const lt_patch_stop_t *stop)
{
  put_row (pk, LT_ROW_STOP + (stop->removed ? REMOVED : 0), 3);
  put_str (pk, stop->upstream);
  msgpack_pack_int64 (pk, stop->row.starts_wall_us);
  msgpack_pack_int64 (pk, stop->row.ends_wall_us);
}

static uint32_t
row_count (const lt_patch_t *patch)
{
  uint32_t count = patch->workspaces.count + patch->keys.count
                   + patch->services.count + patch->upstreams.count
                   + patch->routes.count + patch->stops.count;
  for (int kind = 0; kind < LT_ROW_KINDS; kind++)
    count += patch->removed[kind].count;
  return count;
}

static void
put_header (msgpack_packer *pk, const lt_patch_t *patch)
{
  msgpack_pack_array (pk, HEADER_FIELDS);
  msgpack_pack_int (pk, FORMAT_VERSION);
  msgpack_pack_int64 (pk, patch->base_version);
  msgpack_pack_int64 (pk, patch->head.version);
  put_str (pk, patch->head.deployment);
  put_str (pk, patch->head.day);
  put_str (pk, patch->head.author);
  msgpack_pack_int64 (pk, patch->head.created_wall_us);
  msgpack_pack_uint32 (pk, row_count (patch));
}

void
lt_patch_encode (const lt_patch_t *patch, lt_buf_t *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, write_buf);
  put_header (&pk, patch);
  for (int kind = 0; kind < LT_ROW_KINDS; kind++)
    for (uint32_t i = 0; i < patch->removed[kind].count; i++)
      {
        put_row (&pk, kind + REMOVED, 1);
        put_str (&pk, patch->removed[kind].items[i]);
      }
  for (uint32_t i = 0; i < patch->workspaces.count; i++)
    {
      const lt_workspace_t *row = &patch->workspaces.items[i];
      put_row (&pk, LT_ROW_WORKSPACE, row->allowed_regions != 0 ? 4 : 3);
      put_str (&pk, row->name);
      msgpack_pack_int64 (&pk, row->rate_milli_per_s);
      msgpack_pack_int64 (&pk, row->burst);
      put_regions (&pk, patch, row->allowed_regions);
    }
  for (uint32_t i = 0; i < patch->keys.count; i++)
    put_key (&pk, &patch->keys.items[i]);
  for (uint32_t i = 0; i < patch->services.count; i++)
    {
      put_row (&pk, LT_ROW_SERVICE, 2);
      put_str (&pk, patch->services.items[i].name);
      msgpack_pack_int32 (&pk, patch->services.items[i].floor_percent);
    }
  for (uint32_t i = 0; i < patch->upstreams.count; i++)
    put_upstream (&pk, &patch->upstreams.items[i]);
  for (uint32_t i = 0; i < patch->routes.count; i++)
    put_route (&pk, patch, &patch->routes.items[i]);
  for (uint32_t i = 0; i < patch->stops.count; i++)
    put_stop (&pk, &patch->stops.items[i]);
}

/* Reads the fields of one row in order; FAILED stays set after a fault.  */
typedef struct fields
{
  const msgpack_object *items;
  uint32_t count;
  uint32_t at;
  bool failed;
} fields_t;

static const msgpack_object *
take (fields_t *f, msgpack_object_type type)
{
  static const msgpack_object none = { .type = MSGPACK_OBJECT_NIL };
  if (f->at >= f->count || f->items[f->at].type != type)
    {
      f->failed = true;
      return &none;
    }
  return &f->items[f->at++];
}

static str_t
take_str (fields_t *f)
{
  const msgpack_object *o = take (f, MSGPACK_OBJECT_STR);
  return f->failed ? str_make (NULL, 0)
                   : str_make (o->via.str.ptr, o->via.str.size);
}

/* Returns an integer from LOW to HIGH; LOW may be negative.  */
static int64_t
take_int (fields_t *f, int64_t low, int64_t high)
{
  bool negative = f->at < f->count
                  && f->items[f->at].type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
  const msgpack_object *o
      = take (f, negative ? MSGPACK_OBJECT_NEGATIVE_INTEGER
                          : MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (f->failed)
    return 0;
  bool fits = negative ? o->via.i64 >= low
                       : o->via.u64 <= (uint64_t)high
                             && (low < 0 || o->via.u64 >= (uint64_t)low);
  f->failed = !fits;
  return fits ? o->via.i64 : 0;
}

static bool
take_bool (fields_t *f)
{
  const msgpack_object *o = take (f, MSGPACK_OBJECT_BOOLEAN);
  return !f->failed && o->via.boolean;
}

static void
take_digest (fields_t *f, lt_digest_t *digest)
{
  const msgpack_object *o = take (f, MSGPACK_OBJECT_BIN);
  if (!f->failed && o->via.bin.size == LT_DIGEST_BYTES)
    memcpy (digest->bytes, o->via.bin.ptr, LT_DIGEST_BYTES);
  else
    f->failed = true;
}

/* Names hold no '|', so a list of them is one text.  */
static void
take_workspaces (fields_t *f, lt_patch_t *patch, lt_patch_route_t *route)
{
  str_t list = take_str (f);
  if (f->failed || list.len == 0)
    return;
  uint32_t count = 1;
  for (size_t i = 0; i < list.len; i++)
    count += list.data[i] == '|';
  route->workspace_count = count;
  route->row.workspace_count = count;
  route->workspaces
      = lt_arena_alloc (patch->arena, (size_t)count * sizeof (str_t));
  for (uint32_t i = 0; i < count; i++)
    route->workspaces[i] = str_split (list, '|', &list);
}

/* See put_regions.  */
static uint64_t
take_regions (fields_t *f, lt_patch_t *patch)
{
  uint64_t mask = 0;
  if (f->failed || f->at == f->count)
    return 0;
  str_t list = take_str (f);
  while (!f->failed && list.data != NULL)
    mask
        |= lt_region_names_add (&patch->regions, str_split (list, '|', &list));
  return mask;
}

static void
take_upstream (fields_t *f, lt_patch_upstream_t *upstream)
{
  upstream->row.name = take_str (f);
  upstream->service = take_str (f);
  upstream->row.region = take_str (f);
  upstream->row.failure_domain = take_str (f);
  upstream->row.address = take_str (f);
  upstream->row.slots = (int32_t)take_int (f, 0, INT32_MAX);
  upstream->row.connections = (int32_t)take_int (f, 0, INT32_MAX);
  upstream->row.drained = take_bool (f);
  upstream->row.evacuated = !f->failed && f->at < f->count && take_bool (f);
}

static void
take_route (fields_t *f, lt_patch_t *patch, lt_patch_route_t *route)
{
  route->row.name = take_str (f);
  route->row.path = take_str (f);
  route->row.methods = take_str (f);
  route->service = take_str (f);
  route->row.access = (lt_access_t)take_int (f, 0, LT_ACCESS_OPEN);
  route->row.action = (lt_action_t)take_int (f, 0, LT_ACTION_NEVER_REPEAT);
  route->row.hedge = take_bool (f);
  route->row.timeout_ms = (int32_t)take_int (f, 0, INT32_MAX);
  route->row.max_body_bytes = take_int (f, 0, INT64_MAX);
  route->row.all_workspaces = take_bool (f);
  take_workspaces (f, patch, route);
  route->row.allowed_regions = take_regions (f, patch);
}

static void
take_stop (fields_t *f, lt_patch_stop_t *stop)
{
  stop->upstream = take_str (f);
  stop->row.starts_wall_us = take_int (f, INT64_MIN, INT64_MAX);
  stop->row.ends_wall_us = take_int (f, INT64_MIN, INT64_MAX);
}

static void
take_row (fields_t *f, lt_patch_t *patch)
{
  int64_t kind = take_int (f, 0, REMOVED + LT_ROW_STOP);
  switch (kind)
    {
    case LT_ROW_WORKSPACE:
      {
        lt_workspace_t *row = LT_VEC_PUSH (&patch->workspaces);
        row->name = take_str (f);
        row->rate_milli_per_s = take_int (f, 0, INT64_MAX);
        row->burst = take_int (f, 0, INT64_MAX);
        row->allowed_regions = take_regions (f, patch);
        return;
      }
    case LT_ROW_KEY:
      {
        lt_patch_key_t *key = LT_VEC_PUSH (&patch->keys);
        key->row.name = take_str (f);
        key->workspace = take_str (f);
        key->row.state = (lt_key_state_t)take_int (f, 0, LT_KEY_WITHDRAWN);
        take_digest (f, &key->row.hash);
        return;
      }
    case LT_ROW_SERVICE:
      {
        lt_service_t *row = LT_VEC_PUSH (&patch->services);
        row->name = take_str (f);
        row->floor_percent = (int32_t)take_int (f, 0, 100);
        return;
      }
    case LT_ROW_UPSTREAM:
      take_upstream (f, LT_VEC_PUSH (&patch->upstreams));
      return;
    case LT_ROW_ROUTE:
      take_route (f, patch, LT_VEC_PUSH (&patch->routes));
      return;
    case LT_ROW_STOP:
    case LT_ROW_STOP + REMOVED:
      {
        lt_patch_stop_t *stop = LT_VEC_PUSH (&patch->stops);
        take_stop (f, stop);
        stop->removed = kind != LT_ROW_STOP;
        return;
      }
    default:
      if (kind < REMOVED)
        f->failed = true;
      else
        *LT_VEC_PUSH (&patch->removed[kind - REMOVED]) = take_str (f);
    }
}

static uint32_t
take_header (fields_t *f, lt_patch_t *patch)
{
  take_int (f, FORMAT_VERSION, FORMAT_VERSION);
  patch->base_version = take_int (f, 0, INT64_MAX);
  patch->head.version = take_int (f, 0, INT64_MAX);
  patch->head.deployment = take_str (f);
  patch->head.day = take_str (f);
  patch->head.author = take_str (f);
  patch->head.created_wall_us = take_int (f, INT64_MIN, INT64_MAX);
  return (uint32_t)take_int (f, 0, UINT32_MAX);
}

/* Returns the length of the integer, boolean, text or bytes at P, or 0 for
   anything else.  */
static size_t
scalar_length (const unsigned char *p, size_t left)
{
  if (left == 0)
    return 0;
  unsigned char b = p[0];
  if (b <= 0x7f || b >= 0xe0 || b == 0xc2 || b == 0xc3)
    return 1;
  if (b >= 0xa0 && b <= 0xbf)
    return 1 + (size_t)(b & 0x1f);
  if ((b >= 0xcc && b <= 0xcf) || (b >= 0xd0 && b <= 0xd3))
    return 1 + ((size_t)1 << (b & 3));
  bool text = b >= 0xd9 && b <= 0xdb;
  if (!text && (b < 0xc4 || b > 0xc6))
    return 0;
  size_t width = (size_t)1 << (text ? b - 0xd9 : b - 0xc4);
  size_t len = 0;
  for (size_t i = 1; i <= width && i < left; i++)
    len = len << 8 | p[i];
  return 1 + width + len;
}

/* msgpack-c allocates an array before it reads its items, so a damaged count
   would ask for up to 100 GB.  Rows are short arrays of scalars.  */
static bool
row_is_plain (str_t bytes, size_t offset)
{
  const unsigned char *p = (const unsigned char *)bytes.data;
  if (offset >= bytes.len || (p[offset] & 0xf0) != 0x90)
    return false;
  size_t count = p[offset] & 0x0f;
  size_t at = offset + 1;
  for (size_t i = 0; i < count; i++)
    {
      size_t len = scalar_length (p + at, bytes.len - at);
      if (len == 0 || len > bytes.len - at)
        return false;
      at += len;
    }
  return true;
}

static int
decode_objects (str_t bytes, msgpack_zone *zone, lt_patch_t *patch)
{
  size_t offset = 0;
  uint64_t expected = 1;
  for (uint64_t i = 0; i < expected; i++)
    {
      msgpack_object object;
      if (!row_is_plain (bytes, offset))
        return -LT_EPROTO;
      msgpack_zone_clear (zone);
      msgpack_unpack_return got
          = msgpack_unpack (bytes.data, bytes.len, &offset, zone, &object);
      if ((got != MSGPACK_UNPACK_SUCCESS && got != MSGPACK_UNPACK_EXTRA_BYTES)
          || object.type != MSGPACK_OBJECT_ARRAY)
        return -LT_EPROTO;
      fields_t f = { object.via.array.ptr, object.via.array.size, 0, false };
      if (i == 0)
        expected += take_header (&f, patch);
      else
        take_row (&f, patch);
      if (f.failed || f.at != f.count)
        return -LT_EPROTO;
    }
  return offset == bytes.len ? 0 : -LT_EPROTO;
}

int
lt_patch_decode (str_t bytes, lt_patch_t **patch)
{
  msgpack_zone zone;
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    return -LT_EPROTO;
  lt_patch_t *decoded = lt_patch_create ();
  int err = decode_objects (bytes, &zone, decoded);
  msgpack_zone_destroy (&zone);
  if (err != 0)
    {
      lt_patch_destroy (decoded);
      return err;
    }
  *patch = decoded;
  return 0;
}
