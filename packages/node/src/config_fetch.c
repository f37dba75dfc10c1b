#include <string.h>

#include "config_internal.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/policy/freshness.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"

/* A fetch without progress for this long may be replaced by another one.  */
static const int64_t stall_timeout_us = 2000000;

static void
fetch_end (lt_config_controller_t *c)
{
  c->fetch.active = false;
  lt_buf_destroy (&c->fetch.bytes);
}

static void
fetch_begin (lt_config_controller_t *c, str_t peer, int64_t version)
{
  lt_buf_clear (&c->fetch.bytes);
  c->fetch.active = true;
  c->fetch.from_store = peer.len == 0;
  c->fetch.version = version;
  c->fetch.progress_us = lt_node_now_us (c->base.node);
  size_t len = peer.len < sizeof (c->fetch.peer) ? peer.len : 0;
  if (len > 0)
    memcpy (c->fetch.peer, peer.data, len);
  c->fetch.peer[len] = '\0';
}

/* The object is named by its digest, which detects a wrong body.  */
static bool
object_matches (str_t name, str_t body)
{
  char hex[65];
  lt_digest_t digest = lt_digest_make (str_make (NULL, 0), body);
  lt_digest_hex (&digest, hex);
  str_t prefix = STR_LIT ("config/");
  return str_starts_with (name, prefix)
         && str_equal (
             str_make (name.data + prefix.len, name.len - prefix.len),
             str_from (hex));
}

static void
on_object (void *user, const lt_object_result_t *result)
{
  config_call_t *call = user;
  int64_t version = (int64_t)call->id;
  lt_config_controller_t *c = lt_config_call_end (call);
  if (c == NULL)
    return;
  if (c->fetch.from_store && c->fetch.version <= version)
    fetch_end (c);
  if (result->outcome != LT_OUTCOME_DONE || version != c->head_version)
    return;
  int error = -LT_EPROTO;
  if (object_matches (str_from (c->head.object), result->body))
    error = lt_config_install (c, result->body);
  if (error != 0 && error != -LT_ESTALE)
    lt_log (LT_LOG_ERROR, "config",
            "msg=\"snapshot object is not valid\" version=%lld object=%s "
            "error=\"%s\"",
            (long long)version, c->head.object, lt_error_text (error));
  lt_config_run_actions (c);
}

static void
get_object (lt_config_controller_t *c)
{
  lt_object_store_t *objects = c->base.node->platform.objects;
  config_call_t *call = lt_config_call_begin (c, (uint64_t)c->head_version);
  if (objects->vtable->get (objects, str_from (c->head.object),
                            CONFIG_OBJECT_TIMEOUT_MS, on_object, call)
      != 0)
    {
      lt_config_call_end (call);
      fetch_end (c);
    }
}

static void
on_head (void *user, const lt_table_result_t *result)
{
  lt_config_controller_t *c = lt_config_call_end (user);
  if (c == NULL)
    return;
  config_record_t record;
  bool ok = result->outcome == LT_OUTCOME_DONE && result->count == 1
            && result->items[0].version > 0
            && lt_config_record_decode (result->items[0].value, &record) == 0;
  if (ok)
    lt_config_store_head (c, result->items[0].version, &record);
  if (!c->fetch.active || !c->fetch.from_store)
    return;
  if (ok && c->head_version >= c->fetch.version)
    get_object (c);
  else
    fetch_end (c);
}

static void
fetch_from_store (lt_config_controller_t *c)
{
  if (c->head_version >= c->fetch.version)
    {
      get_object (c);
      return;
    }
  lt_table_t *table = c->base.node->platform.table;
  lt_table_op_t op = { .kind = LT_TABLE_GET, .key = CONFIG_HEAD_KEY };
  config_call_t *call = lt_config_call_begin (c, 0);
  if (table->vtable->submit (table, &op, 1, CONFIG_READ_TIMEOUT_MS, on_head,
                             call)
      != 0)
    {
      lt_config_call_end (call);
      fetch_end (c);
    }
}

static void
request_chunk (lt_config_controller_t *c)
{
  lt_wire_snapshot_get_t get = { .version = c->fetch.version,
                                 .offset_bytes = (int64_t)c->fetch.bytes.len };
  lt_buf_t payload = { 0 };
  lt_wire_snapshot_get_encode (&get, &payload);
  if (lt_node_send (c->base.node, str_from (c->fetch.peer),
                    LT_MESSAGE_SNAPSHOT_GET, 0, lt_buf_str (&payload))
      != 0)
    fetch_end (c);
  lt_buf_destroy (&payload);
}

void
lt_config_fetch_start (lt_config_controller_t *c, str_t peer, int64_t version)
{
  config_fetch_t *fetch = &c->fetch;
  int64_t now_us = lt_node_now_us (c->base.node);
  bool progressing = now_us - fetch->progress_us < stall_timeout_us;
  /* A peer that has the version replaces a pending fetch from the store.  */
  bool peer_preferred = fetch->from_store && peer.len > 0;
  if (fetch->active && fetch->version >= version && progressing
      && !peer_preferred)
    return;
  fetch_begin (c, peer, version);
  if (fetch->from_store)
    fetch_from_store (c);
  else
    request_chunk (c);
}

void
lt_config_fetch_on_get (lt_config_controller_t *c,
                        const lt_peer_message_t *message)
{
  lt_wire_snapshot_get_t get;
  if (lt_wire_snapshot_get_decode (message->payload, &get) != 0)
    return;
  lt_wire_snapshot_data_t data = { .version = get.version };
  lt_config_encode (c);
  if (c->encoded_version >= get.version && c->encoded.len > 0)
    {
      bool same = c->encoded_version == get.version;
      size_t offset = same ? (size_t)get.offset_bytes : 0;
      if (offset > c->encoded.len)
        offset = c->encoded.len;
      size_t left = c->encoded.len - offset;
      size_t len
          = left < LT_WIRE_CHUNK_MAX_BYTES ? left : LT_WIRE_CHUNK_MAX_BYTES;
      data.version = c->encoded_version;
      data.offset_bytes = (int64_t)offset;
      data.total_bytes = (int64_t)c->encoded.len;
      data.bytes = str_make (c->encoded.data + offset, len);
    }
  lt_buf_t payload = { 0 };
  lt_wire_snapshot_data_encode (&data, &payload);
  lt_node_send (c->base.node, message->sender, LT_MESSAGE_SNAPSHOT_DATA,
                message->correlation, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

void
lt_config_fetch_on_data (lt_config_controller_t *c,
                         const lt_peer_message_t *message, int64_t now_us)
{
  config_fetch_t *fetch = &c->fetch;
  lt_wire_snapshot_data_t data;
  if (lt_wire_snapshot_data_decode (message->payload, &data) != 0
      || !fetch->active || fetch->from_store
      || !str_equal (message->sender, str_from (fetch->peer)))
    return;
  if (data.total_bytes == 0 || data.version < fetch->version)
    {
      fetch_end (c);
      return;
    }
  if (data.version > fetch->version)
    {
      fetch->version = data.version;
      lt_buf_clear (&fetch->bytes);
    }
  if (data.offset_bytes != (int64_t)fetch->bytes.len)
    return;
  fetch->progress_us = now_us;
  lt_buf_append_str (&fetch->bytes, data.bytes);
  if ((int64_t)fetch->bytes.len < data.total_bytes)
    {
      request_chunk (c);
      return;
    }
  int error = lt_config_install (c, lt_buf_str (&fetch->bytes));
  if (error != 0 && error != -LT_ESTALE)
    lt_log (
        LT_LOG_ERROR, "config",
        "msg=\"snapshot received from a VM is not valid\" vm=%s error=\"%s\"",
        fetch->peer, lt_error_text (error));
  fetch_end (c);
  lt_config_run_actions (c);
}
