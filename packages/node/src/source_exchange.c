#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "source_internal.h"

enum
{
  ASK_INTERVAL_MS = 500,
  /* A fetch without progress for this long gives way to another one.  */
  FETCH_STALL_MS = 1000
};

static int64_t
own_version (const lt_source_controller_t *c)
{
  return c->configuration == NULL ? 0 : lt_source_config_version (c);
}

/* Asks VM for a configuration later than the one in force, from OFFSET on.  */
static bool
send_get (lt_source_controller_t *c, str_t vm, size_t offset)
{
  lt_wire_snapshot_get_t get
      = { .version = own_version (c), .offset_bytes = (int64_t)offset };
  lt_buf_t payload = { 0 };
  lt_wire_snapshot_get_encode (&get, &payload);
  bool sent = lt_node_send (c->base.node, vm, LT_MESSAGE_SNAPSHOT_GET, 0,
                            lt_buf_str (&payload))
              == 0;
  lt_buf_destroy (&payload);
  c->exchanged[SOURCE_EXCHANGE_ASKED]->value += sent;
  return sent;
}

void
lt_source_exchange_begin (lt_source_controller_t *c, int asks)
{
  if (c->exchange.asks_left < asks)
    c->exchange.asks_left = asks;
  c->exchange.next_ask_us = 0;
}

static bool
ask_one_near (lt_source_controller_t *c, bool in_domain)
{
  lt_node_t *node = c->base.node;
  str_t ids[LT_RELAY_PEERS_MAX];
  size_t count = node->directory->others_near (node, in_domain, ids,
                                               LT_RELAY_PEERS_MAX);
  return count > 0 && send_get (c, ids[lt_rng_below (&node->rng, count)], 0);
}

/* VMs of other regions are asked by few, as messages to them cost more.  */
static bool
ask_one_anywhere (lt_source_controller_t *c)
{
  lt_node_t *node = c->base.node;
  if (!c->reading || node->directory->others == NULL)
    return false;
  size_t count = node->directory->others (node, NULL, 0);
  str_t *ids = lt_alloc ((count + 1) * sizeof (*ids));
  count = node->directory->others (node, ids, count);
  bool sent
      = count > 0 && send_get (c, ids[lt_rng_below (&node->rng, count)], 0);
  free (ids);
  return sent;
}

void
lt_source_exchange_tick (lt_source_controller_t *c, int64_t now_us)
{
  config_exchange_t *exchange = &c->exchange;
  const lt_vm_directory_t *directory = c->base.node->directory;
  if (exchange->asks_left == 0 || now_us < exchange->next_ask_us
      || c->configuration == NULL || directory == NULL
      || directory->others_near == NULL || directory->is_complete == NULL
      || !directory->is_complete (c->base.node))
    return;
  exchange->next_ask_us = now_us + ASK_INTERVAL_MS * LT_US_PER_MS;
  bool sent = ask_one_near (c, true);
  sent = ask_one_near (c, false) || sent;
  sent = ask_one_anywhere (c) || sent;
  exchange->asks_left -= sent;
}

static bool
is_fetching (const config_exchange_t *exchange, int64_t now_us)
{
  return exchange->vm[0] != '\0'
         && now_us - exchange->progress_us < FETCH_STALL_MS * LT_US_PER_MS;
}

static void
end_fetch (config_exchange_t *exchange)
{
  exchange->vm[0] = '\0';
  lt_buf_destroy (&exchange->bytes);
}

static void
begin_fetch (config_exchange_t *exchange, str_t vm, int64_t version,
             int64_t now_us)
{
  end_fetch (exchange);
  if (vm.len >= sizeof (exchange->vm))
    return;
  memcpy (exchange->vm, vm.data, vm.len);
  exchange->vm[vm.len] = '\0';
  exchange->version = version;
  exchange->progress_us = now_us;
}

void
lt_source_exchange_on_version (lt_source_controller_t *c, str_t vm,
                               int64_t version, int64_t now_us)
{
  config_exchange_t *exchange = &c->exchange;
  if (version <= own_version (c)
      || (is_fetching (exchange, now_us) && exchange->version >= version))
    return;
  begin_fetch (exchange, vm, version, now_us);
  if (!send_get (c, vm, 0))
    end_fetch (exchange);
}

static void
send_configuration (lt_source_controller_t *c, str_t vm, int64_t offset_bytes)
{
  const lt_buf_t *record = &c->exchange.record;
  size_t offset
      = (size_t)offset_bytes < record->len ? (size_t)offset_bytes : 0;
  size_t left = record->len - offset;
  size_t len = left < LT_WIRE_CHUNK_MAX_BYTES ? left : LT_WIRE_CHUNK_MAX_BYTES;
  lt_wire_snapshot_data_t data
      = { .version = own_version (c),
          .offset_bytes = (int64_t)offset,
          .total_bytes = (int64_t)record->len,
          .bytes = str_make (record->data + offset, len) };
  lt_buf_t payload = { 0 };
  lt_wire_snapshot_data_encode (&data, &payload);
  if (lt_node_send (c->base.node, vm, LT_MESSAGE_SNAPSHOT_DATA, 0,
                    lt_buf_str (&payload))
      == 0)
    c->exchanged[SOURCE_EXCHANGE_SENT]->value++;
  lt_buf_destroy (&payload);
}

static void
on_get (lt_source_controller_t *c, const lt_peer_message_t *message,
        int64_t now_us)
{
  lt_wire_snapshot_get_t get;
  if (lt_wire_snapshot_get_decode (message->payload, &get) != 0)
    c->exchanged[SOURCE_EXCHANGE_MALFORMED]->value++;
  else if (get.version > own_version (c))
    lt_source_exchange_on_version (c, message->sender, get.version, now_us);
  else if (get.version < own_version (c) && c->exchange.record.len > 0)
    send_configuration (c, message->sender, get.offset_bytes);
}

static void
on_decoded (void *user, const lt_registry_result_t *result)
{
  lt_source_controller_t *c = user;
  int64_t before = lt_source_config_version (c);
  for (size_t i = 0; result->error == 0 && i < result->count; i++)
    if (result->records[i].deployment != NULL)
      lt_source_apply_configuration (c, &result->records[i]);
  int64_t after = lt_source_config_version (c);
  if (after == before)
    {
      c->exchanged[SOURCE_EXCHANGE_MALFORMED]->value++;
      lt_log (LT_LOG_WARN, "source",
              "msg=\"unusable configuration of another VM\" vm=%s "
              "version=%lld own=%lld",
              c->exchange.vm, (long long)c->exchange.version,
              (long long)before);
      return;
    }
  c->exchanged[SOURCE_EXCHANGE_APPLIED]->value++;
  lt_log (LT_LOG_WARN, "source",
          "msg=\"configuration of another VM taken\" version=%lld "
          "before=%lld vm=%s register=%lld",
          (long long)after, (long long)before, c->exchange.vm,
          (long long)c->watches[LT_REGISTRY_CONFIG].version);
  /* Others may lack it as well.  */
  lt_source_exchange_begin (c, SOURCE_START_ASKS);
}

static void
on_data (lt_source_controller_t *c, const lt_peer_message_t *message,
         int64_t now_us)
{
  config_exchange_t *exchange = &c->exchange;
  lt_wire_snapshot_data_t data;
  if (lt_wire_snapshot_data_decode (message->payload, &data) != 0)
    {
      c->exchanged[SOURCE_EXCHANGE_MALFORMED]->value++;
      return;
    }
  bool from_fetch = str_equal (message->sender, str_from (exchange->vm));
  if (data.version <= own_version (c)
      || (!from_fetch && is_fetching (exchange, now_us)))
    return;
  if (!from_fetch || data.version != exchange->version
      || data.offset_bytes == 0)
    begin_fetch (exchange, message->sender, data.version, now_us);
  if (data.offset_bytes != (int64_t)exchange->bytes.len)
    return;
  exchange->progress_us = now_us;
  lt_buf_append_str (&exchange->bytes, data.bytes);
  if ((int64_t)exchange->bytes.len < data.total_bytes)
    {
      if (!send_get (c, message->sender, exchange->bytes.len))
        end_fetch (exchange);
      return;
    }
  lt_registry_t *registry = c->base.node->registry;
  registry->vtable->decode (registry, LT_REGISTRY_CONFIG,
                            lt_buf_str (&exchange->bytes), on_decoded, c);
  end_fetch (exchange);
}

void
lt_source_exchange_message (lt_source_controller_t *c,
                            const lt_peer_message_t *message, int64_t now_us)
{
  if (message->type == LT_MESSAGE_SNAPSHOT_GET)
    on_get (c, message, now_us);
  else
    on_data (c, message, now_us);
}

void
lt_source_exchange_keep (lt_source_controller_t *c, str_t encoded)
{
  lt_buf_clear (&c->exchange.record);
  lt_buf_append_str (&c->exchange.record, encoded);
}

void
lt_source_exchange_init (lt_source_controller_t *c)
{
#define SOURCE_EXCHANGE_TEXT(name, text) "event=\"" text "\"",
  static const char *const labels[]
      = { SOURCE_EXCHANGE_TABLE (SOURCE_EXCHANGE_TEXT) };
#undef SOURCE_EXCHANGE_TEXT
  for (int i = 0; i < SOURCE_EXCHANGE_EVENTS; i++)
    c->exchanged[i] = lt_metrics_counter (
        c->base.node->metrics, "lavendertrack_configuration_exchange_total",
        "Passing on of configurations between VMs.", labels[i]);
  c->exchange.asks_left = SOURCE_START_ASKS;
}

void
lt_source_exchange_destroy (lt_source_controller_t *c)
{
  end_fetch (&c->exchange);
  lt_buf_destroy (&c->exchange.record);
}
