#include "lt/wire/pack.h"

#include <math.h>
#include <msgpack.h>

#include "lt/base/error.h"

static int
write_buf (void *data, const char *bytes, size_t len)
{
  lt_buf_append ((lt_buf_t *)data, bytes, len);
  return 0;
}

static msgpack_packer
packer_for (lt_buf_t *out)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, write_buf);
  return packer;
}

void
lt_pack_array (lt_buf_t *out, uint32_t count)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, count);
}

void
lt_pack_u64 (lt_buf_t *out, uint64_t value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_uint64 (&packer, value);
}

void
lt_pack_i64 (lt_buf_t *out, int64_t value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_int64 (&packer, value);
}

void
lt_pack_double (lt_buf_t *out, double value)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_double (&packer, value);
}

void
lt_pack_bool (lt_buf_t *out, bool value)
{
  msgpack_packer packer = packer_for (out);
  if (value)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
}

void
lt_pack_str (lt_buf_t *out, str_t text)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_str (&packer, text.len);
  msgpack_pack_str_body (&packer, text.data, text.len);
}

void
lt_pack_bin (lt_buf_t *out, str_t bytes)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_bin (&packer, bytes.len);
  msgpack_pack_bin_body (&packer, bytes.data, bytes.len);
}

void
lt_unpack_init (lt_unpack_t *in, str_t input)
{
  *in = (lt_unpack_t){ .input = input };
}

static uint32_t
unpack_fail (lt_unpack_t *in)
{
  in->error = -LT_EPROTO;
  return 0;
}

static uint32_t
read_big_endian (const char *bytes, size_t count)
{
  uint32_t value = 0;
  for (size_t i = 0; i < count; i++)
    value = value << 8 | (unsigned char)bytes[i];
  return value;
}

/* Reads array headers without msgpack-c, which would allocate memory for any
   number of elements that the header states.  */
uint32_t
lt_unpack_array (lt_unpack_t *in, uint32_t min, uint32_t max)
{
  enum
  {
    FIXARRAY = 0x90,
    FIXARRAY_MASK = 0xf0,
    ARRAY16 = 0xdc,
    ARRAY32 = 0xdd
  };
  size_t left = in->input.len - in->offset;
  if (in->error != 0 || left == 0)
    return unpack_fail (in);
  const char *at = in->input.data + in->offset;
  unsigned char tag = (unsigned char)*at;
  uint32_t count = tag & ~FIXARRAY_MASK;
  size_t extra = tag == ARRAY16 ? 2 : tag == ARRAY32 ? 4 : 0;
  if (extra == 0 && (tag & FIXARRAY_MASK) != FIXARRAY)
    return unpack_fail (in);
  if (left < 1 + extra)
    return unpack_fail (in);
  if (extra > 0)
    count = read_big_endian (at + 1, extra);
  left -= 1 + extra;
  if (count < min || count > max || count > left)
    return unpack_fail (in);
  in->offset += 1 + extra;
  return count;
}

/* Returns whether TAG starts an array, a map or an extension.  These are not
   passed to msgpack-c, so that it never allocates memory.  */
static bool
is_container (unsigned char tag)
{
  bool fixed = tag >= 0x80 && tag <= 0x9f;
  bool sized = tag >= 0xdc && tag <= 0xdf;
  bool extension
      = (tag >= 0xc7 && tag <= 0xc9) || (tag >= 0xd4 && tag <= 0xd8);
  return fixed || sized || extension;
}

static bool
unpack_scalar (lt_unpack_t *in, msgpack_object *object)
{
  if (in->error != 0 || in->offset >= in->input.len
      || is_container ((unsigned char)in->input.data[in->offset]))
    {
      unpack_fail (in);
      return false;
    }
  /* Scalars need no memory of the zone; strings point into the input.  */
  msgpack_zone zone = { 0 };
  size_t offset = in->offset;
  msgpack_unpack_return result
      = msgpack_unpack (in->input.data, in->input.len, &offset, &zone, object);
  if (result != MSGPACK_UNPACK_SUCCESS && result != MSGPACK_UNPACK_EXTRA_BYTES)
    {
      unpack_fail (in);
      return false;
    }
  in->offset = offset;
  return true;
}

uint64_t
lt_unpack_u64 (lt_unpack_t *in, uint64_t max)
{
  msgpack_object object;
  if (!unpack_scalar (in, &object))
    return 0;
  if (object.type != MSGPACK_OBJECT_POSITIVE_INTEGER || object.via.u64 > max)
    return unpack_fail (in);
  return object.via.u64;
}

int64_t
lt_unpack_i64 (lt_unpack_t *in, int64_t min, int64_t max)
{
  msgpack_object object;
  if (!unpack_scalar (in, &object))
    return 0;
  bool positive = object.type == MSGPACK_OBJECT_POSITIVE_INTEGER;
  if (!positive && object.type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return unpack_fail (in);
  if (positive && object.via.u64 > INT64_MAX)
    return unpack_fail (in);
  if (object.via.i64 < min || object.via.i64 > max)
    return unpack_fail (in);
  return object.via.i64;
}

double
lt_unpack_double (lt_unpack_t *in)
{
  msgpack_object object;
  if (!unpack_scalar (in, &object))
    return 0;
  if (object.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    return (double)object.via.u64;
  if (object.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return (double)object.via.i64;
  bool is_float = object.type == MSGPACK_OBJECT_FLOAT32
                  || object.type == MSGPACK_OBJECT_FLOAT64;
  if (!is_float || !isfinite (object.via.f64))
    return unpack_fail (in);
  return object.via.f64;
}

bool
lt_unpack_bool (lt_unpack_t *in)
{
  msgpack_object object;
  if (!unpack_scalar (in, &object))
    return false;
  if (object.type != MSGPACK_OBJECT_BOOLEAN)
    return unpack_fail (in) != 0;
  return object.via.boolean;
}

str_t
lt_unpack_str (lt_unpack_t *in, size_t max_bytes)
{
  msgpack_object object;
  if (!unpack_scalar (in, &object))
    return str_make (NULL, 0);
  str_t text = str_make (NULL, 0);
  if (object.type == MSGPACK_OBJECT_STR)
    text = str_make (object.via.str.ptr, object.via.str.size);
  if (object.type != MSGPACK_OBJECT_STR || text.len > max_bytes
      || !str_is_utf8 (text))
    {
      unpack_fail (in);
      return str_make (NULL, 0);
    }
  return text;
}

str_t
lt_unpack_bin (lt_unpack_t *in, size_t max_bytes)
{
  msgpack_object object;
  if (!unpack_scalar (in, &object))
    return str_make (NULL, 0);
  if (object.type != MSGPACK_OBJECT_BIN || object.via.bin.size > max_bytes)
    {
      unpack_fail (in);
      return str_make (NULL, 0);
    }
  return str_make (object.via.bin.ptr, object.via.bin.size);
}

int
lt_unpack_end (const lt_unpack_t *in)
{
  bool done = in->error == 0 && in->offset == in->input.len;
  return done ? 0 : -LT_EPROTO;
}
