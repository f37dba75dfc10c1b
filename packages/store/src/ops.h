/** @file
    Validates and copies table operations; shared by the adapters.  */
#ifndef LT_STORE_OPS_H
#define LT_STORE_OPS_H

#include "lt/store/store.h"

enum
{
  LT_TABLE_OPS_MAX = 100,
  LT_TABLE_KEY_MAX_BYTES = 1024,
  LT_TABLE_VALUE_MAX_BYTES = 300 * 1024
};

/** Returns 0, or -LT_EINVAL if the list is empty or too long, mixes gets with
    writes, names a key twice, or contains an invalid operation.  */
int lt_table_ops_check (const lt_table_op_t *ops, size_t count);
/** Returns copies of the operations, keys and values in one allocation, which
    the caller frees.  */
lt_table_op_t *lt_table_ops_copy (const lt_table_op_t *ops, size_t count);
/** Returns the version of the item after the put OP.  */
int64_t lt_table_op_version (const lt_table_op_t *op);

#endif
