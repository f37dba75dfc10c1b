#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"
#include "source_internal.h"

enum
{
  /* Larger changes, such as a configuration, would fill a narrow link for a
     second when they are sent to each VM of a large domain, and hold up what
     else this VM does for them.  The other VMs read those themselves.  */
  RECORDS_MAX_BYTES = 8 * 1024,
  /* VMs that lack changes read them within this time, one after the other.  */
  CATCH_UP_SPREAD_MS = 200,
  LIST_PEERS_MS = 500
};

static size_t
domain_peers (const lt_node_t *node, str_t *ids, size_t cap)
{
  const lt_vm_directory_t *directory = node->directory;
  if (directory == NULL || directory->others_near == NULL)
    return 0;
  return directory->others_near ((lt_node_t *)node, true, ids, cap);
}

static void
send_to_domain (lt_source_controller_t *c, lt_message_type_t type,
                const lt_buf_t *payload, source_relay_event_t event)
{
  lt_node_t *node = c->base.node;
  str_t ids[LT_RELAY_PEERS_MAX];
  size_t count = domain_peers (node, ids, LT_RELAY_PEERS_MAX);
  for (size_t i = 0; i < count; i++)
    if (lt_node_send (node, ids[i], (uint16_t)type, 0, lt_buf_str (payload))
        == 0)
      c->relayed[event]->value++;
}

static int64_t
outage_age_us (const lt_source_controller_t *c, int64_t now_us)
{
  return c->recovered_us == 0 ? -1 : now_us - c->recovered_us;
}

void
lt_source_relay_report (lt_source_controller_t *c, int64_t now_us)
{
  lt_wire_registry_report_t report
      = { .sent_us = now_us,
          .serving = lt_source_is_healthy (c) && !c->base.node->draining,
          .outage_age_us = outage_age_us (c, now_us),
          .era = c->base.node->registry_era,
          .config_version
          = c->configuration == NULL ? 0 : lt_source_config_version (c) };
  for (int i = 0; i < LT_WIRE_REGISTRY_KINDS; i++)
    report.parts[i] = (lt_wire_registry_part_t){
      .version = c->watches[i].version,
      .changed_version = c->watches[i].changed_version,
      .verified_us = c->watches[i].responded_us,
    };
  lt_buf_t payload = { 0 };
  lt_wire_registry_report_encode (&report, &payload);
  send_to_domain (c, LT_MESSAGE_REGISTRY_REPORT, &payload,
                  SOURCE_RELAY_REPORT_SENT);
  lt_buf_destroy (&payload);
}

static void
send_records (record_watch_t *watch, const lt_registry_result_t *result,
              int64_t now_us)
{
  lt_source_controller_t *c = watch->controller;
  lt_wire_registry_records_t message
      = { .kind = (uint32_t)watch->kind,
          .after_version = watch->asked_version,
          .version = result->version,
          .outage_age_us = outage_age_us (c, now_us),
          .era = c->base.node->registry_era,
          .records = result->encoded };
  lt_buf_t payload = { 0 };
  lt_wire_registry_records_encode (&message, &payload);
  send_to_domain (c, LT_MESSAGE_REGISTRY_RECORDS, &payload,
                  SOURCE_RELAY_RECORDS_SENT);
  lt_buf_destroy (&payload);
}

void
lt_source_relay_result (record_watch_t *watch,
                        const lt_registry_result_t *result, int64_t now_us)
{
  lt_source_controller_t *c = watch->controller;
  if (!c->reading || !lt_relay_has_peers (c->relay))
    return;
  if (watch->asked_version > 0 && result->count > 0 && result->encoded.len > 0
      && result->encoded.len <= RECORDS_MAX_BYTES)
    send_records (watch, result, now_us);
  lt_source_relay_report (c, now_us);
}

/* Takes over the end of an outage that another VM has noticed.  */
static void
note_outage (lt_source_controller_t *c, int64_t age_us, int64_t now_us)
{
  if (age_us >= 0 && now_us - age_us > c->recovered_us)
    c->recovered_us = now_us - age_us;
}

static void
compare_part (record_watch_t *watch, const lt_wire_registry_part_t *part,
              int64_t verified_us, int64_t now_us)
{
  lt_source_controller_t *c = watch->controller;
  if (!watch->complete || watch->behind)
    return;
  if (watch->version >= part->changed_version)
    {
      if (part->version > watch->version)
        watch->version = part->version;
      if (verified_us > watch->responded_us)
        watch->responded_us = verified_us;
      return;
    }
  watch->behind = true;
  watch->behind_since_us = now_us;
  watch->next_us = now_us
                   + (int64_t)lt_rng_below (&c->base.node->rng,
                                            CATCH_UP_SPREAD_MS * LT_US_PER_MS);
  c->relayed[SOURCE_RELAY_BEHIND]->value++;
}

/* Returns whether ERA, of a message of another VM, is the one that this VM
   knows, or a later one, which it takes over.  */
static bool
is_of_era (lt_source_controller_t *c, int64_t era)
{
  lt_source_controller_note_era (c->base.node, era);
  return era == c->base.node->registry_era;
}

/* A VM that reads the registry has a later configuration than this one only if
   it got it from another VM, unless this one lacks changes of the registry,
   which it is about to read.  */
static void
note_config_version (lt_source_controller_t *c, str_t vm, int64_t version,
                     int64_t now_us)
{
  const record_watch_t *watch = &c->watches[LT_REGISTRY_CONFIG];
  int64_t own = lt_source_config_version (c);
  if (version <= own || !watch->complete || watch->behind)
    return;
  lt_source_exchange_on_version (c, vm, version, now_us);
  if (version <= c->later_config)
    return;
  c->later_config = version;
  lt_log (LT_LOG_WARN, "source",
          "msg=\"another VM has a later configuration\" version=%lld "
          "own=%lld vm=%.*s register=%lld era=%lld",
          (long long)version, (long long)own, STR_ARG (vm),
          (long long)watch->version, (long long)c->base.node->registry_era);
}

static void
on_report (lt_source_controller_t *c, const lt_peer_message_t *message,
           int64_t now_us)
{
  lt_wire_registry_report_t report;
  if (lt_wire_registry_report_decode (message->payload, &report) != 0)
    {
      c->relayed[SOURCE_RELAY_MALFORMED]->value++;
      return;
    }
  if (!is_of_era (c, report.era))
    return;
  int64_t config_us = report.parts[LT_REGISTRY_CONFIG].verified_us;
  int64_t upstreams_us = report.parts[LT_REGISTRY_UPSTREAMS].verified_us;
  lt_relay_report_t summary = {
    .sent_us = report.sent_us,
    .verified_us = config_us < upstreams_us ? config_us : upstreams_us,
    .serving = report.serving,
    .incarnation = message->incarnation,
  };
  int64_t verified_us
      = lt_relay_on_report (c->relay, message->sender, &summary, now_us);
  if (verified_us == 0)
    return;
  note_outage (c, report.outage_age_us, now_us);
  for (int i = 0; i < LT_WIRE_REGISTRY_KINDS; i++)
    compare_part (&c->watches[i], &report.parts[i],
                  verified_us + report.parts[i].verified_us
                      - summary.verified_us,
                  now_us);
  note_config_version (c, message->sender, report.config_version, now_us);
}

typedef struct decoded_records
{
  record_watch_t *watch;
  str_t sender;
  int64_t version;
  int64_t now_us;
} decoded_records_t;

static void
on_decoded (void *user, const lt_registry_result_t *decoded)
{
  const decoded_records_t *records = user;
  lt_source_controller_t *c = records->watch->controller;
  if (decoded->error != 0)
    {
      c->relayed[SOURCE_RELAY_MALFORMED]->value++;
      return;
    }
  lt_registry_result_t result = *decoded;
  result.version = records->version;
  source_origin_t origin
      = { .vm = records->sender,
          .age_us = lt_source_age_us (records->watch, records->now_us) };
  lt_source_apply (records->watch, &result, &origin, records->now_us);
  c->relayed[SOURCE_RELAY_APPLIED]->value++;
}

static void
on_records (lt_source_controller_t *c, const lt_peer_message_t *message,
            int64_t now_us)
{
  lt_wire_registry_records_t records;
  if (lt_wire_registry_records_decode (message->payload, &records) != 0)
    {
      c->relayed[SOURCE_RELAY_MALFORMED]->value++;
      return;
    }
  record_watch_t *watch = &c->watches[records.kind];
  if (!is_of_era (c, records.era))
    return;
  if (!watch->complete || records.version <= watch->version
      || records.after_version > watch->version)
    return;
  note_outage (c, records.outage_age_us, now_us);
  decoded_records_t decoded = { .watch = watch,
                                .sender = message->sender,
                                .version = records.version,
                                .now_us = now_us };
  lt_registry_t *registry = c->base.node->registry;
  registry->vtable->decode (registry, watch->kind, records.records, on_decoded,
                            &decoded);
}

void
lt_source_relay_message (lt_source_controller_t *c,
                         const lt_peer_message_t *message, int64_t now_us)
{
  if (message->type == LT_MESSAGE_REGISTRY_REPORT)
    on_report (c, message, now_us);
  else
    on_records (c, message, now_us);
}

static void
list_peers (lt_source_controller_t *c, int64_t now_us)
{
  lt_node_t *node = c->base.node;
  const lt_vm_directory_t *directory = node->directory;
  if (directory == NULL || directory->is_complete == NULL
      || !directory->is_complete (node)
      || (c->peers_listed_us != 0
          && now_us - c->peers_listed_us < LIST_PEERS_MS * LT_US_PER_MS))
    return;
  c->peers_listed_us = now_us;
  str_t ids[LT_RELAY_PEERS_MAX];
  size_t known = domain_peers (node, ids, LT_RELAY_PEERS_MAX);
  size_t connected = 0;
  for (size_t i = 0; i < known; i++)
    if (directory->is_connected (node, ids[i]))
      ids[connected++] = ids[i];
  lt_relay_set_peers (c->relay, ids, connected, known);
}

void
lt_source_relay_tick (lt_source_controller_t *c, int64_t now_us)
{
  list_peers (c, now_us);
  bool reads = lt_relay_reads (c->relay, now_us);
  if (reads == c->reading)
    return;
  c->reading = reads;
  lt_log (
      LT_LOG_INFO, "source",
      "msg=\"%s\" configuration=%lld upstreams=%lld age_ms=%lld",
      reads ? "reading the register for the domain"
            : "another VM reads the register",
      (long long)c->watches[LT_REGISTRY_CONFIG].version,
      (long long)c->watches[LT_REGISTRY_UPSTREAMS].version,
      (long long)(lt_source_age_us (&c->watches[LT_REGISTRY_UPSTREAMS], now_us)
                  / LT_US_PER_MS));
}

void
lt_source_relay_create (lt_source_controller_t *c)
{
  lt_node_t *node = c->base.node;
  lt_relay_options_t options
      = lt_relay_options_for (node->settings->leave_ms * LT_US_PER_MS);
  c->relay = lt_relay_create (&options, node->settings->vm_id,
                              lt_node_now_us (node));
#define SOURCE_RELAY_TEXT(name, text) "event=\"" text "\"",
  static const char *const labels[]
      = { SOURCE_RELAY_TABLE (SOURCE_RELAY_TEXT) };
#undef SOURCE_RELAY_TEXT
  for (int i = 0; i < SOURCE_RELAY_EVENTS; i++)
    c->relayed[i] = lt_metrics_counter (
        node->metrics, "lavendertrack_register_relay_total",
        "Passing on of register records within the failure domain.",
        labels[i]);
}
