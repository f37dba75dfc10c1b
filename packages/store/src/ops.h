/** @file
    Checks and copies of table operations, shared by the adapters.  */
#ifndef LT_STORE_OPS_H
#define LT_STORE_OPS_H

#include "lt/store/store.h"

enum
{
  LT_TABLE_OPS_MAX = 100,
  LT_TABLE_KEY_MAX_BYTES = 1024,
  LT_TABLE_VALUE_MAX_BYTES = 300 * 1024
};

/** Returns 0, or -LT_EINVAL for an empty, mixed, oversized or repeating
    list.  */
int lt_table_ops_check (const lt_table_op_t *ops, size_t count);
/** Returns one allocation with copies of the operations and their bytes.  */
lt_table_op_t *lt_table_ops_copy (const lt_table_op_t *ops, size_t count);
/** Returns the version that the put OP leaves.  */
int64_t lt_table_op_version (const lt_table_op_t *op);

#endif
