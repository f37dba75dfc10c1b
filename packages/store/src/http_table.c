/* Table service over a subset of DynamoDB's JSON protocol.  The attributes of
   an item are k (S, the key), v (N, the version), d (B, the value) and e (N,
   expiry as Unix time in seconds); the table's partition key is k.  */
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_adapters.h"
#include "lt/base/error.h"
#include "ops.h"

typedef struct http_table
{
  lt_table_t base;
  http_shared_t *shared;
  char *url;
  char *name;
} http_table_t;

typedef struct table_call
{
  lt_table_op_t *ops;
  size_t count;
  char *table_name;
  lt_table_done_t done;
  void *user;
} table_call_t;

typedef struct decoded_items
{
  lt_table_item_t *items;
  char **values; /**< Decoded bytes of each item, owned. */
} decoded_items_t;

static json_t *
json_number (int64_t value)
{
  char text[32];
  snprintf (text, sizeof (text), "%" PRId64, value);
  return json_pack ("{s:s}", "N", text);
}

static json_t *
json_key (str_t key)
{
  return json_pack ("{s:{s:s%}}", "k", "S", key.data, key.len);
}

static json_t *
json_bytes (str_t value)
{
  size_t size
      = sodium_base64_ENCODED_LEN (value.len, sodium_base64_VARIANT_ORIGINAL);
  char *text = lt_alloc (size);
  sodium_bin2base64 (text, size, (const unsigned char *)value.data, value.len,
                     sodium_base64_VARIANT_ORIGINAL);
  json_t *result = json_pack ("{s:s}", "B", text);
  free (text);
  return result;
}

static json_t *
json_item (const lt_table_op_t *op)
{
  json_t *item = json_key (op->key);
  json_object_set_new (item, "v", json_number (lt_table_op_version (op)));
  json_object_set_new (item, "d", json_bytes (op->value));
  if (op->expires_wall_s > 0)
    json_object_set_new (item, "e", json_number (op->expires_wall_s));
  return item;
}

static void
add_condition (json_t *request, const lt_table_op_t *op)
{
  if (op->expected_version == LT_VERSION_ANY)
    return;
  if (op->expected_version == LT_VERSION_ABSENT)
    {
      json_object_set_new (request, "ConditionExpression",
                           json_string ("attribute_not_exists(k)"));
      return;
    }
  json_object_set_new (request, "ConditionExpression", json_string ("v = :v"));
  json_object_set_new (
      request, "ExpressionAttributeValues",
      json_pack ("{s:o}", ":v", json_number (op->expected_version)));
}

/** Returns the JSON of one put or delete, which is the same for a single
    request and within a transaction.  */
static json_t *
json_write (const char *table_name, const lt_table_op_t *op)
{
  json_t *request = json_pack ("{s:s}", "TableName", table_name);
  if (op->kind == LT_TABLE_PUT)
    json_object_set_new (request, "Item", json_item (op));
  else
    json_object_set_new (request, "Key", json_key (op->key));
  add_condition (request, op);
  return request;
}

static json_t *
json_transaction (const char *table_name, const lt_table_op_t *ops,
                  size_t count)
{
  json_t *items = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        items,
        json_pack ("{s:o}", ops[i].kind == LT_TABLE_PUT ? "Put" : "Delete",
                   json_write (table_name, &ops[i])));
  return json_pack ("{s:o}", "TransactItems", items);
}

static json_t *
json_get (const char *table_name, const lt_table_op_t *ops, size_t count)
{
  if (count == 1)
    return json_pack ("{s:s, s:o, s:b}", "TableName", table_name, "Key",
                      json_key (ops[0].key), "ConsistentRead", 1);
  json_t *keys = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (keys, json_key (ops[i].key));
  return json_pack ("{s:{s:{s:o, s:b}}}", "RequestItems", table_name, "Keys",
                    keys, "ConsistentRead", 1);
}

static void
call_free (table_call_t *call)
{
  free (call->ops);
  free (call->table_name);
  free (call);
}

static void
call_report (table_call_t *call, lt_outcome_t outcome, int error,
             size_t failed_op)
{
  lt_table_result_t result
      = { .outcome = outcome, .error = error, .failed_op = failed_op };
  call->done (call->user, &result);
}

/** Reports a cancelled transaction.  Only a failed condition counts as
    LT_OUTCOME_REFUSED: conflicts with other transactions and throttling leave
    the table unchanged, but do not tell whether the condition holds.  */
static void
report_cancelled (table_call_t *call, const json_t *root)
{
  const json_t *reasons = json_object_get (root, "CancellationReasons");
  for (size_t i = 0; i < json_array_size (reasons) && i < call->count; i++)
    {
      const char *code = json_string_value (
          json_object_get (json_array_get (reasons, i), "Code"));
      if (code == NULL || strcmp (code, "ConditionalCheckFailed") != 0)
        continue;
      call_report (call, LT_OUTCOME_REFUSED, -LT_ECONFLICT, i);
      return;
    }
  call_report (call, LT_OUTCOME_UNKNOWN, -LT_EUNAVAILABLE, 0);
}

/** Reports a response with status 400, which means that the service rejected
    the request and it had no effect.  */
static void
report_rejected (table_call_t *call, str_t body)
{
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  const char *type = json_string_value (json_object_get (root, "__type"));
  const char *name = type == NULL ? NULL : strrchr (type, '#');
  name = name == NULL ? type : name + 1;
  if (name == NULL)
    call_report (call, LT_OUTCOME_UNKNOWN, -LT_EPROTO, 0);
  else if (strcmp (name, "ConditionalCheckFailedException") == 0)
    call_report (call, LT_OUTCOME_REFUSED, -LT_ECONFLICT, 0);
  else if (strcmp (name, "TransactionCanceledException") == 0)
    report_cancelled (call, root);
  else
    call_report (call, LT_OUTCOME_UNKNOWN, -LT_EUNAVAILABLE, 0);
  json_decref (root);
}

static int
decode_number (const json_t *item, const char *name, int64_t *value)
{
  const char *text = json_string_value (
      json_object_get (json_object_get (item, name), "N"));
  return text == NULL ? -LT_EPROTO : str_to_i64 (str_from (text), value);
}

static int
decode_value (const json_t *item, char **bytes, str_t *value)
{
  const json_t *text = json_object_get (json_object_get (item, "d"), "B");
  if (!json_is_string (text))
    return -LT_EPROTO;
  size_t size = json_string_length (text);
  *bytes = lt_alloc (size);
  size_t len = 0;
  if (sodium_base642bin ((unsigned char *)*bytes, size,
                         json_string_value (text), size, NULL, &len, NULL,
                         sodium_base64_VARIANT_ORIGINAL)
      != 0)
    return -LT_EPROTO;
  *value = str_make (*bytes, len);
  return 0;
}

static int
decode_item (const table_call_t *call, const json_t *item,
             decoded_items_t *out)
{
  const json_t *key = json_object_get (json_object_get (item, "k"), "S");
  if (!json_is_string (key))
    return -LT_EPROTO;
  str_t name = str_make (json_string_value (key), json_string_length (key));
  for (size_t i = 0; i < call->count; i++)
    {
      if (!str_equal (call->ops[i].key, name) || out->values[i] != NULL)
        continue;
      int rc = decode_number (item, "v", &out->items[i].version);
      if (rc == 0)
        rc = decode_value (item, &out->values[i], &out->items[i].value);
      return rc;
    }
  return -LT_EPROTO;
}

/** Decodes the response to GetItem or BatchGetItem.  A partial batch is an
    error, since its missing items would be reported as absent.  */
static int
decode_items (const table_call_t *call, str_t body, decoded_items_t *out)
{
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  int rc = json_is_object (root) ? 0 : -LT_EPROTO;
  const json_t *single = json_object_get (root, "Item");
  const json_t *list = json_object_get (json_object_get (root, "Responses"),
                                        call->table_name);
  if (rc == 0 && call->count == 1 && single != NULL)
    rc = decode_item (call, single, out);
  if (rc == 0 && call->count > 1 && !json_is_array (list))
    rc = -LT_EPROTO;
  if (json_object_size (json_object_get (root, "UnprocessedKeys")) > 0)
    rc = -LT_EUNAVAILABLE;
  for (size_t i = 0; rc == 0 && i < json_array_size (list); i++)
    rc = decode_item (call, json_array_get (list, i), out);
  json_decref (root);
  return rc;
}

static void
report_items (table_call_t *call, str_t body)
{
  decoded_items_t out
      = { .items = lt_alloc (call->count * sizeof (*out.items)),
          .values = lt_alloc (call->count * sizeof (*out.values)) };
  for (size_t i = 0; i < call->count; i++)
    out.items[i].key = call->ops[i].key;
  lt_table_result_t result = { .outcome = LT_OUTCOME_DONE };
  result.error = decode_items (call, body, &out);
  if (result.error != 0)
    result.outcome = LT_OUTCOME_UNKNOWN;
  else
    {
      result.items = out.items;
      result.count = call->count;
    }
  call->done (call->user, &result);
  for (size_t i = 0; i < call->count; i++)
    free (out.values[i]);
  free (out.values);
  free (out.items);
}

static void
on_response (void *user, const http_response_t *response)
{
  table_call_t *call = user;
  if (response->error != 0)
    call_report (call, LT_OUTCOME_UNKNOWN, response->error, 0);
  else if (response->status == 400)
    report_rejected (call, response->body);
  else if (response->status != 200)
    call_report (call, LT_OUTCOME_UNKNOWN, -LT_EIO, 0);
  else if (call->ops[0].kind == LT_TABLE_GET)
    report_items (call, response->body);
  else
    call_report (call, LT_OUTCOME_DONE, 0, 0);
  call_free (call);
}

static const char *
operation_name (const lt_table_op_t *ops, size_t count)
{
  if (ops[0].kind == LT_TABLE_GET)
    return count == 1 ? "GetItem" : "BatchGetItem";
  if (count > 1)
    return "TransactWriteItems";
  return ops[0].kind == LT_TABLE_PUT ? "PutItem" : "DeleteItem";
}

static json_t *
json_request (const char *table_name, const lt_table_op_t *ops, size_t count)
{
  if (ops[0].kind == LT_TABLE_GET)
    return json_get (table_name, ops, count);
  if (count > 1)
    return json_transaction (table_name, ops, count);
  return json_write (table_name, &ops[0]);
}

static int
submit (lt_table_t *table, const lt_table_op_t *ops, size_t count,
        int64_t timeout_ms, lt_table_done_t done, void *user)
{
  http_table_t *self = (http_table_t *)table;
  int rc = lt_table_ops_check (ops, count);
  if (rc != 0)
    return rc;
  table_call_t *call = lt_alloc (sizeof (*call));
  call->ops = lt_table_ops_copy (ops, count);
  call->count = count;
  call->table_name = str_dup (str_from (self->name));
  call->done = done;
  call->user = user;
  char target[64];
  snprintf (target, sizeof (target), "X-Amz-Target: DynamoDB_20120810.%s",
            operation_name (ops, count));
  json_t *root = json_request (self->name, ops, count);
  char *body = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  http_request_t request
      = { .method = "POST",
          .service = "dynamodb",
          .url = self->url,
          .body = str_from (body),
          .headers = { "Content-Type: application/x-amz-json-1.0", target },
          .timeout_ms = timeout_ms };
  rc = http_client_submit (self->shared->client, &request, on_response, call);
  free (body);
  return rc;
}

static void
destroy (lt_table_t *table)
{
  http_table_t *self = (http_table_t *)table;
  http_shared_release (self->shared);
  free (self->url);
  free (self->name);
  free (self);
}

static const lt_table_vtable_t vtable
    = { .submit = submit, .destroy = destroy };

lt_table_t *
http_table_create (http_shared_t *shared, str_t url, str_t name)
{
  http_table_t *self = lt_alloc (sizeof (*self));
  self->base.vtable = &vtable;
  self->shared = shared;
  self->url = str_dup (url);
  self->name = str_dup (name);
  shared->references++;
  return &self->base;
}
