#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"
#include "lt/base/error.h"
#include "lt/policy/freshness.h"
#include "lt/wire/pack.h"

enum
{
  RECORD_FIELDS = 4
};

typedef struct history_read
{
  lt_history_done_t done;
  void *user;
  int64_t newest;
} history_read_t;

void
lt_config_record_encode (const config_record_t *record, lt_buf_t *out)
{
  lt_pack_array (out, RECORD_FIELDS);
  lt_pack_str (out, str_from (record->object));
  lt_pack_str (out, str_from (record->author));
  lt_pack_i64 (out, record->created_wall_us);
  lt_pack_u64 (out, record->attempt);
}

int
lt_config_record_decode (str_t bytes, config_record_t *record)
{
  lt_unpack_t in;
  lt_unpack_init (&in, bytes);
  lt_unpack_array (&in, RECORD_FIELDS, RECORD_FIELDS);
  str_t object = lt_unpack_str (&in, CONFIG_OBJECT_NAME_MAX - 1);
  str_t author = lt_unpack_str (&in, CONFIG_AUTHOR_MAX - 1);
  *record = (config_record_t){ 0 };
  record->created_wall_us = lt_unpack_i64 (&in, 0, INT64_MAX);
  record->attempt = lt_unpack_u64 (&in, UINT64_MAX);
  if (lt_unpack_end (&in) != 0)
    return -LT_EPROTO;
  memcpy (record->object, object.data, object.len);
  memcpy (record->author, author.data, author.len);
  return 0;
}

str_t
lt_config_history_key (int64_t version, char out[48])
{
  int len = snprintf (out, 48, "config/history/%" PRId64, version);
  return str_make (out, (size_t)len);
}

static void
on_history (void *user, const lt_table_result_t *result)
{
  history_read_t *read = user;
  lt_change_record_t records[LT_HISTORY_MAX];
  config_record_t values[LT_HISTORY_MAX];
  size_t count = 0;
  bool ok = result->outcome == LT_OUTCOME_DONE;
  for (size_t i = 0; ok && i < result->count && i < LT_HISTORY_MAX; i++)
    {
      if (result->items[i].version == 0
          || lt_config_record_decode (result->items[i].value, &values[count])
                 != 0)
        continue;
      records[count] = (lt_change_record_t){
        .version = read->newest - (int64_t)i,
        .author = str_from (values[count].author),
        .created_wall_us = values[count].created_wall_us,
        .object = str_from (values[count].object),
      };
      count++;
    }
  int error = ok ? 0 : -LT_EUNAVAILABLE;
  read->done (read->user, error, records, count);
  free (read);
}

int
lt_config_controller_history (lt_config_controller_t *c,
                              int64_t before_version, size_t count,
                              lt_history_done_t done, void *user)
{
  int64_t known = lt_freshness_known (c->freshness);
  int64_t newest = before_version > 0 ? before_version - 1 : known;
  if (count == 0 || count > LT_HISTORY_MAX || before_version < 0)
    return -LT_EINVAL;
  lt_table_op_t ops[LT_HISTORY_MAX];
  char keys[LT_HISTORY_MAX][48];
  size_t op_count = 0;
  /* At least one read is submitted even if there is no version, so that DONE
     is called from the event loop.  */
  do
    {
      str_t key
          = lt_config_history_key (newest - (int64_t)op_count, keys[op_count]);
      ops[op_count] = (lt_table_op_t){ .kind = LT_TABLE_GET, .key = key };
      op_count++;
    }
  while (op_count < count && newest - (int64_t)op_count > 0);
  history_read_t *read = lt_alloc (sizeof (*read));
  *read = (history_read_t){ .done = done, .user = user, .newest = newest };
  lt_table_t *table = c->base.node->platform.table;
  int error = table->vtable->submit (table, ops, op_count,
                                     CONFIG_READ_TIMEOUT_MS, on_history, read);
  if (error != 0)
    free (read);
  return error;
}
