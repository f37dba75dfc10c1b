#include "ops.h"

#include <string.h>

#include "lt/base/error.h"

static bool
op_valid (const lt_table_op_t *op)
{
  if (op->key.len == 0 || op->key.len > LT_TABLE_KEY_MAX_BYTES)
    return false;
  if (!str_is_utf8 (op->key) || op->value.len > LT_TABLE_VALUE_MAX_BYTES)
    return false;
  if (op->kind != LT_TABLE_GET && op->expected_version < LT_VERSION_ANY)
    return false;
  return op->kind != LT_TABLE_PUT || op->expected_version != LT_VERSION_ANY
         || op->new_version > 0;
}

int
lt_table_ops_check (const lt_table_op_t *ops, size_t count)
{
  if (count == 0 || count > LT_TABLE_OPS_MAX)
    return -LT_EINVAL;
  for (size_t i = 0; i < count; i++)
    {
      if (!op_valid (&ops[i]))
        return -LT_EINVAL;
      if ((ops[i].kind == LT_TABLE_GET) != (ops[0].kind == LT_TABLE_GET))
        return -LT_EINVAL;
      for (size_t j = 0; j < i; j++)
        if (str_equal (ops[i].key, ops[j].key))
          return -LT_EINVAL;
    }
  return 0;
}

static str_t
copy_bytes (char **end, str_t s)
{
  char *start = *end;
  if (s.len > 0)
    memcpy (start, s.data, s.len);
  *end += s.len;
  return str_make (start, s.len);
}

lt_table_op_t *
lt_table_ops_copy (const lt_table_op_t *ops, size_t count)
{
  size_t bytes = count * sizeof (*ops);
  for (size_t i = 0; i < count; i++)
    bytes += ops[i].key.len + ops[i].value.len;
  lt_table_op_t *copy = lt_alloc (bytes);
  memcpy (copy, ops, count * sizeof (*ops));
  char *end = (char *)(copy + count);
  for (size_t i = 0; i < count; i++)
    {
      copy[i].key = copy_bytes (&end, ops[i].key);
      copy[i].value = copy_bytes (&end, ops[i].value);
    }
  return copy;
}

int64_t
lt_table_op_version (const lt_table_op_t *op)
{
  return op->new_version > 0 ? op->new_version : op->expected_version + 1;
}
