/** @file
    Table operations of the store's test double.  */
#ifndef LT_STANDIN_STORE_TABLE_H
#define LT_STANDIN_STORE_TABLE_H

#include <jansson.h>

#include "lt/base/str.h"

/** Response to a table operation.  */
typedef struct table_reply
{
  unsigned status;
  json_t *body; /**< Owned by the caller. */
} table_reply_t;

/** Returns whether OPERATION, such as "PutItem", writes.  */
bool table_operation_writes (str_t operation);
/** Returns the number of items that REQUEST reads or writes.  */
size_t table_request_items (const json_t *request);
/** Runs OPERATION on TABLES (an object: table name to items by key).  */
table_reply_t table_run (json_t *tables, str_t operation,
                         const json_t *request);

#endif
