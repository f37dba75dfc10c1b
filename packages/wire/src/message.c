#include "lt/wire/message.h"

#include "lt/base/error.h"
#include "lt/wire/frame.h"
#include "lt/wire/pack.h"

/* Highest values that a message may carry.  */
#define REQUEST_COUNT_MAX 1000
#define QUOTA_DEMAND_MILLI_MAX 1000000000000LL
#define QUOTA_PPM_MAX 1000000

enum
{
  HEARTBEAT_FIELDS = 6,
  MEMBER_FIELDS = 6,
  REPORT_FIELDS = 10,
  ATTESTATION_FIELDS = 5,
  PROBE_FIELDS = 2,
  SNAPSHOT_GET_FIELDS = 2,
  SNAPSHOT_DATA_FIELDS = 4,
  DRAIN_FIELDS = 3,
  REGISTRY_REPORT_FIELDS_BEFORE = 4 + 3 * LT_WIRE_REGISTRY_KINDS,
  REGISTRY_REPORT_FIELDS = REGISTRY_REPORT_FIELDS_BEFORE + 1,
  REGISTRY_RECORDS_FIELDS = 6,
  QUARANTINE_FIELDS = 5,
  UPDATE_FIELDS = 4,
  MEMBER_STATE_MAX = 3,
  PAGE_MAX = 3,
  DRAIN_STATE_MAX = 2,
  MEMBER_COUNT_MAX = 1000000,
  QUARANTINES_MAX = 1000
};

static str_t
unpack_name (lt_unpack_t *in)
{
  return lt_unpack_str (in, LT_WIRE_NAME_MAX_BYTES);
}

static int64_t
unpack_non_negative (lt_unpack_t *in)
{
  return lt_unpack_i64 (in, 0, INT64_MAX);
}

static void
pack_attestation (lt_buf_t *out, const lt_wire_attestation_t *attestation)
{
  lt_pack_array (out, ATTESTATION_FIELDS);
  lt_pack_str (out, attestation->vm_id);
  lt_pack_str (out, attestation->failure_domain);
  lt_pack_bool (out, attestation->failing);
  lt_pack_i64 (out, attestation->known_version);
  lt_pack_i64 (out, attestation->age_us);
}

static void
unpack_attestation (lt_unpack_t *in, lt_wire_attestation_t *attestation)
{
  lt_unpack_array (in, ATTESTATION_FIELDS, ATTESTATION_FIELDS);
  attestation->vm_id = unpack_name (in);
  attestation->failure_domain = unpack_name (in);
  attestation->failing = lt_unpack_bool (in);
  attestation->known_version = unpack_non_negative (in);
  attestation->age_us = unpack_non_negative (in);
}

static void
pack_report (lt_buf_t *out, const lt_wire_report_t *report)
{
  lt_pack_array (out, REPORT_FIELDS);
  lt_pack_u64 (out, report->query_id);
  lt_pack_i64 (out, report->answer_delay_us);
  lt_pack_i64 (out, report->applied_version);
  lt_pack_i64 (out, report->known_version);
  lt_pack_i64 (out, report->possible_version);
  lt_pack_u64 (out, report->possible_write_id);
  lt_pack_i64 (out, report->possible_age_us);
  lt_pack_i64 (out, report->confirm_version);
  lt_pack_i64 (out, report->confirm_age_us);
  lt_pack_array (out, report->attestation_count);
  for (uint32_t i = 0; i < report->attestation_count; i++)
    pack_attestation (out, &report->attestations[i]);
}

static void
unpack_report (lt_unpack_t *in, lt_wire_report_t *report)
{
  lt_unpack_array (in, REPORT_FIELDS, REPORT_FIELDS);
  report->query_id = lt_unpack_u64 (in, UINT64_MAX);
  report->answer_delay_us = unpack_non_negative (in);
  report->applied_version = unpack_non_negative (in);
  report->known_version = unpack_non_negative (in);
  report->possible_version = unpack_non_negative (in);
  report->possible_write_id = lt_unpack_u64 (in, UINT64_MAX);
  report->possible_age_us = unpack_non_negative (in);
  report->confirm_version = unpack_non_negative (in);
  report->confirm_age_us = lt_unpack_i64 (in, -1, INT64_MAX);
  report->attestation_count
      = lt_unpack_array (in, 0, LT_WIRE_ATTESTATIONS_MAX);
  for (uint32_t i = 0; i < report->attestation_count; i++)
    unpack_attestation (in, &report->attestations[i]);
}

static void
pack_member (lt_buf_t *out, const lt_wire_member_t *member)
{
  lt_pack_array (out, MEMBER_FIELDS);
  lt_pack_str (out, member->id);
  lt_pack_u64 (out, member->incarnation);
  lt_pack_u64 (out, member->state);
  lt_pack_str (out, member->address);
  lt_pack_str (out, member->region);
  lt_pack_str (out, member->failure_domain);
}

static void
unpack_member (lt_unpack_t *in, lt_wire_member_t *member)
{
  lt_unpack_array (in, MEMBER_FIELDS, MEMBER_FIELDS);
  member->id = unpack_name (in);
  if (member->id.len == 0)
    in->error = -LT_EPROTO;
  member->incarnation = lt_unpack_u64 (in, UINT64_MAX);
  member->state = (uint32_t)lt_unpack_u64 (in, MEMBER_STATE_MAX);
  member->address = unpack_name (in);
  member->region = unpack_name (in);
  member->failure_domain = unpack_name (in);
}

void
lt_wire_heartbeat_encode (const lt_wire_heartbeat_t *message, lt_buf_t *out)
{
  lt_pack_array (out, HEARTBEAT_FIELDS);
  lt_pack_u64 (out, message->member_digest);
  lt_pack_u64 (out, message->member_count);
  lt_pack_str (out, message->page_after);
  lt_pack_u64 (out, message->page);
  pack_report (out, &message->report);
  lt_pack_array (out, message->update_count);
  for (uint32_t i = 0; i < message->update_count; i++)
    pack_member (out, &message->updates[i]);
}

int
lt_wire_heartbeat_decode (str_t payload, lt_wire_heartbeat_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, HEARTBEAT_FIELDS, HEARTBEAT_FIELDS);
  message->member_digest = lt_unpack_u64 (&in, UINT64_MAX);
  message->member_count = (uint32_t)lt_unpack_u64 (&in, MEMBER_COUNT_MAX);
  message->page_after = unpack_name (&in);
  message->page = (uint32_t)lt_unpack_u64 (&in, PAGE_MAX);
  unpack_report (&in, &message->report);
  message->update_count = lt_unpack_array (&in, 0, LT_WIRE_UPDATES_MAX);
  for (uint32_t i = 0; i < message->update_count; i++)
    unpack_member (&in, &message->updates[i]);
  return lt_unpack_end (&in);
}

void
lt_wire_probe_request_encode (const lt_wire_probe_request_t *message,
                              lt_buf_t *out)
{
  lt_pack_array (out, PROBE_FIELDS);
  lt_pack_str (out, message->target);
  lt_pack_str (out, message->address);
}

int
lt_wire_probe_request_decode (str_t payload, lt_wire_probe_request_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, PROBE_FIELDS, PROBE_FIELDS);
  message->target = unpack_name (&in);
  message->address = unpack_name (&in);
  return lt_unpack_end (&in);
}

void
lt_wire_probe_result_encode (const lt_wire_probe_result_t *message,
                             lt_buf_t *out)
{
  lt_pack_array (out, PROBE_FIELDS);
  lt_pack_str (out, message->target);
  lt_pack_bool (out, message->reached);
}

int
lt_wire_probe_result_decode (str_t payload, lt_wire_probe_result_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, PROBE_FIELDS, PROBE_FIELDS);
  message->target = unpack_name (&in);
  message->reached = lt_unpack_bool (&in);
  return lt_unpack_end (&in);
}

void
lt_wire_snapshot_get_encode (const lt_wire_snapshot_get_t *message,
                             lt_buf_t *out)
{
  lt_pack_array (out, SNAPSHOT_GET_FIELDS);
  lt_pack_i64 (out, message->version);
  lt_pack_i64 (out, message->offset_bytes);
}

int
lt_wire_snapshot_get_decode (str_t payload, lt_wire_snapshot_get_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, SNAPSHOT_GET_FIELDS, SNAPSHOT_GET_FIELDS);
  message->version = unpack_non_negative (&in);
  message->offset_bytes = lt_unpack_i64 (&in, 0, LT_WIRE_SNAPSHOT_MAX_BYTES);
  return lt_unpack_end (&in);
}

void
lt_wire_snapshot_data_encode (const lt_wire_snapshot_data_t *message,
                              lt_buf_t *out)
{
  lt_pack_array (out, SNAPSHOT_DATA_FIELDS);
  lt_pack_i64 (out, message->version);
  lt_pack_i64 (out, message->offset_bytes);
  lt_pack_i64 (out, message->total_bytes);
  lt_pack_bin (out, message->bytes);
}

int
lt_wire_snapshot_data_decode (str_t payload, lt_wire_snapshot_data_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, SNAPSHOT_DATA_FIELDS, SNAPSHOT_DATA_FIELDS);
  message->version = unpack_non_negative (&in);
  message->offset_bytes = lt_unpack_i64 (&in, 0, LT_WIRE_SNAPSHOT_MAX_BYTES);
  message->total_bytes = lt_unpack_i64 (&in, 0, LT_WIRE_SNAPSHOT_MAX_BYTES);
  message->bytes = lt_unpack_bin (&in, LT_WIRE_CHUNK_MAX_BYTES);
  if (lt_unpack_end (&in) != 0)
    return -LT_EPROTO;
  int64_t end = message->offset_bytes + (int64_t)message->bytes.len;
  return end <= message->total_bytes ? 0 : -LT_EPROTO;
}

void
lt_wire_drain_encode (const lt_wire_drain_t *message, lt_buf_t *out)
{
  lt_pack_array (out, DRAIN_FIELDS);
  lt_pack_str (out, message->upstream);
  lt_pack_u64 (out, message->state);
  lt_pack_i64 (out, message->version);
}

int
lt_wire_drain_decode (str_t payload, lt_wire_drain_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, DRAIN_FIELDS, DRAIN_FIELDS);
  message->upstream = unpack_name (&in);
  message->state = (uint32_t)lt_unpack_u64 (&in, DRAIN_STATE_MAX);
  message->version = unpack_non_negative (&in);
  return lt_unpack_end (&in);
}

void
lt_wire_quarantine_encode (const lt_wire_quarantine_t *message, lt_buf_t *out)
{
  lt_pack_array (out, QUARANTINE_FIELDS);
  lt_pack_bin (out, message->fingerprint);
  lt_pack_i64 (out, message->remaining_us);
  lt_pack_u64 (out, message->quarantine_count);
  lt_pack_bool (out, message->cleared);
  lt_pack_array (out, message->lost_upstream_count);
  for (uint32_t i = 0; i < message->lost_upstream_count; i++)
    lt_pack_u64 (out, message->lost_upstreams[i]);
}

int
lt_wire_quarantine_decode (str_t payload, lt_wire_quarantine_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, QUARANTINE_FIELDS, QUARANTINE_FIELDS);
  message->fingerprint = lt_unpack_bin (&in, LT_WIRE_FINGERPRINT_BYTES);
  message->remaining_us = unpack_non_negative (&in);
  message->quarantine_count = (uint32_t)lt_unpack_u64 (&in, QUARANTINES_MAX);
  message->cleared = lt_unpack_bool (&in);
  message->lost_upstream_count
      = lt_unpack_array (&in, 0, LT_WIRE_LOST_UPSTREAMS_MAX);
  for (uint32_t i = 0; i < message->lost_upstream_count; i++)
    message->lost_upstreams[i] = lt_unpack_u64 (&in, UINT64_MAX);
  if (message->fingerprint.len != LT_WIRE_FINGERPRINT_BYTES)
    return -LT_EPROTO;
  return lt_unpack_end (&in);
}

static uint32_t
count_rates (const lt_wire_upstream_updates_t *message)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < message->count; i++)
    count += message->items[i].rate_milli_per_s > 0;
  return count;
}

static uint32_t
count_rejecting (const lt_wire_upstream_updates_t *message)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < message->count; i++)
    count += message->items[i].rejections > 0;
  return count;
}

static void
pack_rejections (const lt_wire_upstream_updates_t *message, uint32_t count,
                 lt_buf_t *out)
{
  lt_pack_array (out, count * 2);
  for (uint32_t i = 0; i < message->count; i++)
    if (message->items[i].rejections > 0)
      {
        lt_pack_u64 (out, i);
        lt_pack_u64 (out, message->items[i].rejections);
      }
}

/* The fields of all items, then an array of the index and rate of each item
   that has a rate, unless none has a rate or rejections, then the same for
   rejections, unless none has any.  */
void
lt_wire_upstream_updates_encode (const lt_wire_upstream_updates_t *message,
                                 lt_buf_t *out)
{
  uint32_t rates = count_rates (message);
  uint32_t rejecting = count_rejecting (message);
  uint32_t arrays = rejecting > 0 ? 2 : rates > 0;
  lt_pack_array (out, message->count * UPDATE_FIELDS + arrays);
  for (uint32_t i = 0; i < message->count; i++)
    {
      const lt_wire_upstream_update_t *item = &message->items[i];
      lt_pack_u64 (out, item->upstream);
      lt_pack_u64 (out, item->in_flight);
      lt_pack_u64 (out, item->successes);
      lt_pack_u64 (out, item->failures);
    }
  if (arrays == 0)
    return;
  lt_pack_array (out, rates * 2);
  for (uint32_t i = 0; i < message->count; i++)
    if (message->items[i].rate_milli_per_s > 0)
      {
        lt_pack_u64 (out, i);
        lt_pack_i64 (out, message->items[i].rate_milli_per_s);
      }
  if (rejecting > 0)
    pack_rejections (message, rejecting, out);
}

static void
unpack_rates (lt_unpack_t *in, bool required,
              lt_wire_upstream_updates_t *message)
{
  uint32_t fields = lt_unpack_array (in, required ? 2 : 0, message->count * 2);
  for (uint32_t i = 0; i < fields / 2; i++)
    {
      uint64_t index = lt_unpack_u64 (in, message->count - 1);
      message->items[index].rate_milli_per_s
          = lt_unpack_i64 (in, 1, INT64_MAX);
    }
}

static void
unpack_rejections (lt_unpack_t *in, lt_wire_upstream_updates_t *message)
{
  uint32_t fields = lt_unpack_array (in, 2, message->count * 2);
  for (uint32_t i = 0; i < fields / 2; i++)
    {
      uint64_t index = lt_unpack_u64 (in, message->count - 1);
      message->items[index].rejections
          = (uint32_t)lt_unpack_u64 (in, REQUEST_COUNT_MAX);
    }
}

int
lt_wire_upstream_updates_decode (str_t payload,
                                 lt_wire_upstream_updates_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  uint32_t fields = lt_unpack_array (
      &in, 0, LT_WIRE_UPSTREAM_UPDATES_MAX * UPDATE_FIELDS + 2);
  message->count = fields / UPDATE_FIELDS;
  for (uint32_t i = 0; i < message->count; i++)
    {
      lt_wire_upstream_update_t *item = &message->items[i];
      item->upstream = lt_unpack_u64 (&in, UINT64_MAX);
      item->in_flight = (uint32_t)lt_unpack_u64 (&in, INT32_MAX);
      item->successes = (uint32_t)lt_unpack_u64 (&in, REQUEST_COUNT_MAX);
      item->failures = (uint32_t)lt_unpack_u64 (&in, REQUEST_COUNT_MAX);
      item->rate_milli_per_s = 0;
      item->rejections = 0;
    }
  uint32_t arrays = message->count > 0 ? fields % UPDATE_FIELDS : 0;
  if (arrays > 0)
    unpack_rates (&in, arrays == 1, message);
  if (arrays > 1)
    unpack_rejections (&in, message);
  return lt_unpack_end (&in);
}

void
lt_wire_quota_tokens_encode (const lt_wire_quota_tokens_t *message,
                             lt_buf_t *out)
{
  lt_pack_array (out, 3);
  lt_pack_u64 (out, message->workspace);
  lt_pack_u64 (out, message->count);
  lt_pack_i64 (out, message->home_clock_us);
}

int
lt_wire_quota_tokens_decode (str_t payload, lt_wire_quota_tokens_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, 3, 3);
  message->workspace = lt_unpack_u64 (&in, UINT64_MAX);
  message->count = (uint32_t)lt_unpack_u64 (&in, REQUEST_COUNT_MAX);
  message->home_clock_us = lt_unpack_i64 (&in, 0, INT64_MAX);
  return lt_unpack_end (&in);
}

void
lt_wire_quota_shares_encode (const lt_wire_quota_shares_t *message,
                             lt_buf_t *out)
{
  lt_pack_array (out, 4 + message->count * 3);
  lt_pack_i64 (out, message->parent_clock_us);
  lt_pack_u64 (out, message->serial);
  lt_pack_u64 (out, message->represented_vms);
  lt_pack_u64 (out, message->fleet_size);
  for (uint32_t i = 0; i < message->count; i++)
    {
      const lt_wire_quota_share_t *item = &message->items[i];
      lt_pack_u64 (out, item->workspace);
      lt_pack_u64 (out, item->demand_milli);
      lt_pack_u64 (out, item->ppm);
    }
}

int
lt_wire_quota_shares_decode (str_t payload, lt_wire_quota_shares_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  uint32_t fields = lt_unpack_array (&in, 4, 4 + LT_WIRE_QUOTA_MAX * 3);
  message->count = fields < 4 ? 0 : (fields - 4) / 3;
  message->parent_clock_us = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->serial = lt_unpack_u64 (&in, UINT64_MAX);
  message->represented_vms = (uint32_t)lt_unpack_u64 (&in, UINT32_MAX);
  message->fleet_size = (uint32_t)lt_unpack_u64 (&in, UINT32_MAX);
  for (uint32_t i = 0; i < message->count; i++)
    {
      lt_wire_quota_share_t *item = &message->items[i];
      item->workspace = lt_unpack_u64 (&in, UINT64_MAX);
      item->demand_milli = lt_unpack_u64 (&in, QUOTA_DEMAND_MILLI_MAX);
      item->ppm = (uint32_t)lt_unpack_u64 (&in, QUOTA_PPM_MAX);
    }
  return lt_unpack_end (&in);
}

void
lt_wire_registry_report_encode (const lt_wire_registry_report_t *message,
                                lt_buf_t *out)
{
  lt_pack_array (out, REGISTRY_REPORT_FIELDS);
  lt_pack_i64 (out, message->sent_us);
  lt_pack_bool (out, message->serving);
  lt_pack_i64 (out, message->outage_age_us);
  lt_pack_i64 (out, message->era);
  for (int i = 0; i < LT_WIRE_REGISTRY_KINDS; i++)
    {
      lt_pack_i64 (out, message->parts[i].version);
      lt_pack_i64 (out, message->parts[i].changed_version);
      lt_pack_i64 (out, message->parts[i].verified_us);
    }
  lt_pack_i64 (out, message->config_version);
}

int
lt_wire_registry_report_decode (str_t payload,
                                lt_wire_registry_report_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  uint32_t fields = lt_unpack_array (&in, REGISTRY_REPORT_FIELDS_BEFORE,
                                     REGISTRY_REPORT_FIELDS);
  message->sent_us = unpack_non_negative (&in);
  message->serving = lt_unpack_bool (&in);
  message->outage_age_us = lt_unpack_i64 (&in, -1, INT64_MAX);
  message->era = unpack_non_negative (&in);
  for (int i = 0; i < LT_WIRE_REGISTRY_KINDS; i++)
    {
      message->parts[i].version = unpack_non_negative (&in);
      message->parts[i].changed_version = unpack_non_negative (&in);
      message->parts[i].verified_us = unpack_non_negative (&in);
    }
  message->config_version
      = fields == REGISTRY_REPORT_FIELDS ? unpack_non_negative (&in) : 0;
  return lt_unpack_end (&in);
}

void
lt_wire_registry_records_encode (const lt_wire_registry_records_t *message,
                                 lt_buf_t *out)
{
  lt_pack_array (out, REGISTRY_RECORDS_FIELDS);
  lt_pack_u64 (out, message->kind);
  lt_pack_i64 (out, message->after_version);
  lt_pack_i64 (out, message->version);
  lt_pack_i64 (out, message->outage_age_us);
  lt_pack_i64 (out, message->era);
  lt_pack_bin (out, message->records);
}

int
lt_wire_registry_records_decode (str_t payload,
                                 lt_wire_registry_records_t *message)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, REGISTRY_RECORDS_FIELDS, REGISTRY_RECORDS_FIELDS);
  message->kind = (uint32_t)lt_unpack_u64 (&in, LT_WIRE_REGISTRY_KINDS - 1);
  message->after_version = unpack_non_negative (&in);
  message->version = unpack_non_negative (&in);
  message->outage_age_us = lt_unpack_i64 (&in, -1, INT64_MAX);
  message->era = unpack_non_negative (&in);
  message->records = lt_unpack_bin (&in, LT_WIRE_REGISTRY_RECORDS_MAX_BYTES);
  return lt_unpack_end (&in);
}
