#include "store_table.h"

#include <string.h>

enum
{
  STATUS_OK = 200,
  STATUS_REJECTED = 400
};

static const char error_prefix[] = "com.amazonaws.dynamodb.v20120810#";

static table_reply_t
reject (const char *type)
{
  lt_buf_t name = { 0 };
  lt_buf_printf (&name, "%s%s", error_prefix, type);
  json_t *body = json_pack ("{s:s%, s:s}", "__type", name.data, name.len,
                            "message", type);
  lt_buf_destroy (&name);
  return (table_reply_t){ STATUS_REJECTED, body };
}

static table_reply_t
reply (json_t *body)
{
  return (table_reply_t){ STATUS_OK, body };
}

bool
table_operation_writes (str_t operation)
{
  return !str_equal (operation, STR_LIT ("GetItem"))
         && !str_equal (operation, STR_LIT ("BatchGetItem"));
}

size_t
table_request_items (const json_t *request)
{
  size_t count = json_array_size (json_object_get (request, "TransactItems"));
  if (count > 0)
    return count;
  const char *name;
  json_t *value;
  json_object_foreach (json_object_get (request, "RequestItems"), name, value)
      count
      += json_array_size (json_object_get (value, "Keys"));
  return count > 0 ? count : 1;
}

/** Returns the items of the table that REQUEST names, made on first use.  */
static json_t *
table_items (json_t *tables, const char *name)
{
  json_t *items = json_object_get (tables, name);
  if (items == NULL)
    {
      items = json_object ();
      json_object_set_new (tables, name, items);
    }
  return items;
}

static const char *
key_text (const json_t *item)
{
  return json_string_value (
      json_object_get (json_object_get (item, "k"), "S"));
}

static const char *
number_text (const json_t *item, const char *name)
{
  return json_string_value (
      json_object_get (json_object_get (item, name), "N"));
}

typedef enum check
{
  CHECK_HOLDS,
  CHECK_FAILS,
  CHECK_INVALID
} check_t;

/** Evaluates the two conditions that the adapter uses.  */
static check_t
check_condition (const json_t *write, const json_t *current)
{
  const char *condition
      = json_string_value (json_object_get (write, "ConditionExpression"));
  if (condition == NULL)
    return CHECK_HOLDS;
  if (strcmp (condition, "attribute_not_exists(k)") == 0)
    return current == NULL ? CHECK_HOLDS : CHECK_FAILS;
  const char *expected = number_text (
      json_object_get (write, "ExpressionAttributeValues"), ":v");
  if (strcmp (condition, "v = :v") != 0 || expected == NULL)
    return CHECK_INVALID;
  const char *version = number_text (current, "v");
  return version != NULL && strcmp (version, expected) == 0 ? CHECK_HOLDS
                                                            : CHECK_FAILS;
}

/** One write of a request, with the items it applies to.  */
typedef struct write
{
  json_t *items;
  json_t *item; /**< NULL: delete. */
  const char *key;
} write_t;

static check_t
prepare (json_t *tables, const json_t *request, write_t *write)
{
  const char *table
      = json_string_value (json_object_get (request, "TableName"));
  write->item = json_object_get (request, "Item");
  write->key = key_text (
      write->item != NULL ? write->item : json_object_get (request, "Key"));
  if (table == NULL || write->key == NULL)
    return CHECK_INVALID;
  if (write->item != NULL && number_text (write->item, "v") == NULL)
    return CHECK_INVALID;
  write->items = table_items (tables, table);
  return check_condition (request, json_object_get (write->items, write->key));
}

static void
apply (const write_t *write)
{
  if (write->item == NULL)
    json_object_del (write->items, write->key);
  else
    json_object_set (write->items, write->key, write->item);
}

static table_reply_t
run_write (json_t *tables, const json_t *request)
{
  write_t write;
  check_t check = prepare (tables, request, &write);
  if (check == CHECK_INVALID)
    return reject ("ValidationException");
  if (check == CHECK_FAILS)
    return reject ("ConditionalCheckFailedException");
  apply (&write);
  return reply (json_object ());
}

static const json_t *
transaction_write (const json_t *entry)
{
  const json_t *put = json_object_get (entry, "Put");
  return put != NULL ? put : json_object_get (entry, "Delete");
}

static table_reply_t
run_transaction (json_t *tables, const json_t *request)
{
  const json_t *entries = json_object_get (request, "TransactItems");
  size_t count = json_array_size (entries);
  json_t *reasons = json_array ();
  bool fails = false;
  write_t write;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *entry = json_array_get (entries, i);
      check_t check = prepare (tables, transaction_write (entry), &write);
      if (check == CHECK_INVALID)
        {
          json_decref (reasons);
          return reject ("ValidationException");
        }
      fails |= check == CHECK_FAILS;
      json_array_append_new (reasons, json_pack ("{s:s}", "Code",
                                                 check == CHECK_FAILS
                                                     ? "ConditionalCheckFailed"
                                                     : "None"));
    }
  if (fails)
    {
      table_reply_t result = reject ("TransactionCanceledException");
      json_object_set_new (result.body, "CancellationReasons", reasons);
      return result;
    }
  json_decref (reasons);
  for (size_t i = 0; i < count; i++)
    {
      const json_t *entry = json_array_get (entries, i);
      if (prepare (tables, transaction_write (entry), &write) != CHECK_INVALID)
        apply (&write);
    }
  return reply (json_object ());
}

static table_reply_t
run_get (json_t *tables, const json_t *request)
{
  const char *table
      = json_string_value (json_object_get (request, "TableName"));
  const char *key = key_text (json_object_get (request, "Key"));
  if (table == NULL || key == NULL)
    return reject ("ValidationException");
  json_t *item = json_object_get (table_items (tables, table), key);
  return reply (json_pack ("{s:O*}", "Item", item));
}

static table_reply_t
run_batch_get (json_t *tables, const json_t *request)
{
  json_t *responses = json_object ();
  const char *table;
  json_t *wanted;
  json_object_foreach (json_object_get (request, "RequestItems"), table,
                       wanted)
  {
    json_t *found = json_array ();
    size_t i;
    json_t *key;
    json_array_foreach (json_object_get (wanted, "Keys"), i, key)
    {
      const char *text = key_text (key);
      json_t *item = text == NULL
                         ? NULL
                         : json_object_get (table_items (tables, table), text);
      if (item != NULL)
        json_array_append (found, item);
    }
    json_object_set_new (responses, table, found);
  }
  return reply (
      json_pack ("{s:o, s:{}}", "Responses", responses, "UnprocessedKeys"));
}

table_reply_t
table_run (json_t *tables, str_t operation, const json_t *request)
{
  if (str_equal (operation, STR_LIT ("GetItem")))
    return run_get (tables, request);
  if (str_equal (operation, STR_LIT ("BatchGetItem")))
    return run_batch_get (tables, request);
  if (str_equal (operation, STR_LIT ("TransactWriteItems")))
    return run_transaction (tables, request);
  if (str_equal (operation, STR_LIT ("PutItem"))
      || str_equal (operation, STR_LIT ("DeleteItem")))
    return run_write (tables, request);
  return reject ("UnknownOperationException");
}
