#include "limit_codec.h"

#include <string.h>

#include "lt/base/error.h"
#include "lt/wire/pack.h"

#define MESSAGE_FIELDS 11
#define RECORD_FORMAT 1
#define RECORD_FIELDS 8
#define GRANT_FIELDS 9
#define GRANTS_MAX 65536

void
lt_limit_message_encode (const lt_limit_message_t *message, lt_buf_t *out)
{
  lt_pack_array (out, MESSAGE_FIELDS);
  lt_pack_bool (out, message->recall);
  lt_pack_bool (out, message->entry_missing);
  lt_pack_bool (out, message->may_queue);
  lt_pack_u64 (out, message->workspace);
  lt_pack_i64 (out, message->incarnation);
  lt_pack_i64 (out, message->generation);
  lt_pack_i64 (out, message->sequence);
  lt_pack_i64 (out, message->return_seq);
  lt_pack_i64 (out, message->ppm);
  lt_pack_i64 (out, message->tokens);
  lt_pack_i64 (out, message->sent_us);
}

int
lt_limit_message_decode (lt_limit_message_type_t type, str_t payload,
                         lt_limit_message_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, MESSAGE_FIELDS, MESSAGE_FIELDS);
  *message = (lt_limit_message_t){ .type = type };
  message->recall = lt_unpack_bool (&in);
  message->entry_missing = lt_unpack_bool (&in);
  message->may_queue = lt_unpack_bool (&in);
  message->workspace = lt_unpack_u64 (&in, UINT64_MAX);
  message->incarnation = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->generation = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->sequence = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->return_seq = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->ppm = (int32_t)lt_unpack_i64 (&in, 0, LT_LIMIT_WHOLE_PPM);
  message->tokens
      = lt_unpack_i64 (&in, 0, LT_LIMIT_BURST_MAX * LT_LIMIT_TOKEN);
  message->sent_us = lt_unpack_i64 (&in, 0, INT64_MAX);
  return lt_unpack_end (&in);
}

static void
pack_grant (lt_buf_t *out, const lt_limit_grant_t *grant)
{
  lt_pack_array (out, GRANT_FIELDS);
  lt_pack_str (out, str_from (grant->vm.id));
  lt_pack_i64 (out, grant->incarnation);
  lt_pack_u64 (out, grant->workspace);
  lt_pack_i64 (out, grant->generation);
  lt_pack_i64 (out, grant->ppm);
  lt_pack_i64 (out, grant->last_ppm);
  lt_pack_i64 (out, grant->grant_seq);
  lt_pack_i64 (out, grant->return_seq);
  lt_pack_i64 (out, grant->confirmed_ms);
}

void
lt_limit_record_encode (const lt_limit_record_t *record, lt_buf_t *out)
{
  lt_pack_array (out, RECORD_FIELDS);
  lt_pack_u64 (out, RECORD_FORMAT);
  lt_pack_str (out, str_from (record->home.id));
  lt_pack_i64 (out, record->home_incarnation);
  lt_pack_i64 (out, record->epoch);
  lt_pack_i64 (out, record->write_id);
  lt_pack_i64 (out, record->clock_ms);
  lt_pack_bool (out, record->released);
  lt_pack_array (out, (uint32_t)record->count);
  for (size_t i = 0; i < record->count; i++)
    pack_grant (out, &record->grants[i]);
}

static void
unpack_vm (lt_unpack_t *in, lt_limit_vm_t *vm)
{
  str_t id = lt_unpack_str (in, LT_LIMIT_VM_BYTES - 1);
  if (lt_limit_vm_set (vm, id.data, id.len) != 0)
    in->error = -LT_EPROTO;
}

static void
unpack_grant (lt_unpack_t *in, lt_limit_grant_t *grant)
{
  *grant = (lt_limit_grant_t){ 0 };
  lt_unpack_array (in, GRANT_FIELDS, GRANT_FIELDS);
  unpack_vm (in, &grant->vm);
  grant->incarnation = lt_unpack_i64 (in, 0, INT64_MAX);
  grant->workspace = lt_unpack_u64 (in, UINT64_MAX);
  grant->generation = lt_unpack_i64 (in, 1, INT64_MAX);
  grant->ppm = (int32_t)lt_unpack_i64 (in, 0, LT_LIMIT_WHOLE_PPM);
  grant->last_ppm = (int32_t)lt_unpack_i64 (in, 0, LT_LIMIT_WHOLE_PPM);
  grant->grant_seq = lt_unpack_i64 (in, 0, INT64_MAX);
  grant->return_seq = lt_unpack_i64 (in, 0, INT64_MAX);
  grant->confirmed_ms = lt_unpack_i64 (in, 0, INT64_MAX);
}

int
lt_limit_record_decode (str_t value, lt_limit_record_t *record)
{
  lt_unpack_t in;
  lt_unpack_init (&in, value);
  lt_unpack_array (&in, RECORD_FIELDS, RECORD_FIELDS);
  if (lt_unpack_u64 (&in, UINT64_MAX) != RECORD_FORMAT)
    return -LT_EPROTO;
  unpack_vm (&in, &record->home);
  record->home_incarnation = lt_unpack_i64 (&in, 0, INT64_MAX);
  record->epoch = lt_unpack_i64 (&in, 0, INT64_MAX);
  record->write_id = lt_unpack_i64 (&in, 0, INT64_MAX);
  record->clock_ms = lt_unpack_i64 (&in, 0, INT64_MAX);
  record->released = lt_unpack_bool (&in);
  uint32_t count = lt_unpack_array (&in, 0, GRANTS_MAX);
  for (uint32_t i = 0; i < count && in.error == 0; i++)
    {
      lt_limit_grant_t grant;
      unpack_grant (&in, &grant);
      lt_limit_record_add (record, &grant);
    }
  return lt_unpack_end (&in);
}
