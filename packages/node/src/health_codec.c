#include "health_codec.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/wire/pack.h"

#define NAME_MAX_BYTES 256
#define RECORD_MAX_BYTES (300 * 1024)
#define RECORD_ENTRY_FIELDS 13
#define COUNTS_FIELDS 6

static void
pack_entry (const lt_ejection_t *entry, const lt_health_names_t *names,
            lt_buf_t *out)
{
  const lt_health_evidence_t *evidence = &entry->evidence;
  lt_pack_array (out, RECORD_ENTRY_FIELDS);
  lt_pack_str (out, names->name (names->user, entry->upstream));
  lt_pack_u64 (out, entry->state);
  lt_pack_i64 (out, entry->since_version);
  lt_pack_u64 (out, entry->repeats);
  lt_pack_i64 (out, entry->min_duration_us);
  lt_pack_i64 (out, entry->since_wall_us);
  lt_pack_u64 (out, evidence->stream);
  lt_pack_double (out, evidence->score);
  lt_pack_double (out, evidence->threshold);
  lt_pack_double (out, evidence->share);
  lt_pack_double (out, evidence->baseline);
  lt_pack_double (out, evidence->trials);
  lt_pack_u64 (out, evidence->domains);
}

void
lt_health_record_encode (const lt_ejection_record_t *record,
                         const lt_health_names_t *names, lt_buf_t *out)
{
  lt_pack_array (out, record->count);
  for (uint32_t i = 0; i < record->count; i++)
    pack_entry (&record->entries[i], names, out);
}

static void
unpack_entry (lt_unpack_t *in, const lt_health_names_t *names,
              lt_ejection_t *entry)
{
  lt_health_evidence_t *evidence = &entry->evidence;
  lt_unpack_array (in, RECORD_ENTRY_FIELDS, RECORD_ENTRY_FIELDS);
  str_t name = lt_unpack_str (in, NAME_MAX_BYTES);
  entry->upstream = names->index (names->user, name);
  entry->state = lt_unpack_u64 (in, LT_EJECTION_RETURNED);
  entry->since_version = lt_unpack_i64 (in, 0, INT64_MAX);
  entry->repeats = (uint32_t)lt_unpack_u64 (in, UINT16_MAX);
  entry->min_duration_us = lt_unpack_i64 (in, 0, LT_EJECTION_MAX_US);
  entry->since_wall_us = lt_unpack_i64 (in, 0, INT64_MAX);
  evidence->stream = lt_unpack_u64 (in, LT_HEALTH_STREAMS - 1);
  evidence->score = lt_unpack_double (in);
  evidence->threshold = lt_unpack_double (in);
  evidence->share = lt_unpack_double (in);
  evidence->baseline = lt_unpack_double (in);
  evidence->trials = lt_unpack_double (in);
  evidence->domains = (uint32_t)lt_unpack_u64 (in, LT_HEALTH_MAX_DOMAINS);
}

int
lt_health_record_decode (str_t bytes, const lt_health_names_t *names,
                         lt_ejection_record_t *record, uint32_t *unknown)
{
  lt_unpack_t in;
  lt_unpack_init (&in, bytes);
  uint32_t count = lt_unpack_array (&in, 0, LT_HEALTH_UPSTREAMS_MAX);
  lt_ejection_t *entries = lt_alloc ((count + 1) * sizeof (*entries));
  uint32_t known = 0;
  for (uint32_t i = 0; i < count && in.error == 0; i++)
    {
      unpack_entry (&in, names, &entries[known]);
      if (entries[known].upstream != UINT32_MAX)
        known++;
    }
  int error = lt_unpack_end (&in);
  if (error != 0)
    {
      free (entries);
      return error;
    }
  lt_ejection_record_clear (record);
  record->entries = entries;
  record->count = known;
  *unknown = count - known;
  return 0;
}

static void
pack_counts (const lt_health_counts_t *counts, lt_buf_t *out)
{
  uint32_t used = 0;
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    used += counts->latency[b] > 0;
  lt_pack_array (out, COUNTS_FIELDS);
  lt_pack_u64 (out, counts->upstream);
  lt_pack_bool (out, counts->remote);
  lt_pack_u64 (out, counts->requests);
  lt_pack_u64 (out, counts->failed);
  lt_pack_u64 (out, counts->in_flight);
  lt_pack_array (out, 2 * used);
  for (uint32_t b = 0; b < LT_HEALTH_BUCKETS; b++)
    if (counts->latency[b] > 0)
      {
        lt_pack_u64 (out, b);
        lt_pack_u64 (out, counts->latency[b]);
      }
}

void
lt_health_evidence_encode (const lt_health_evidence_message_t *message,
                           lt_buf_t *out)
{
  lt_pack_array (out, 5);
  lt_pack_str (out, message->service);
  lt_pack_str (out, message->failure_domain);
  lt_pack_u64 (out, message->upstreams_hash);
  lt_pack_i64 (out, message->record_version);
  lt_pack_array (out, message->count);
  for (uint32_t i = 0; i < message->count; i++)
    pack_counts (&message->counts[i], out);
}

static void
unpack_counts (lt_unpack_t *in, lt_health_counts_t *counts)
{
  memset (counts, 0, sizeof (*counts));
  lt_unpack_array (in, COUNTS_FIELDS, COUNTS_FIELDS);
  counts->upstream = (uint32_t)lt_unpack_u64 (in, UINT32_MAX);
  counts->remote = lt_unpack_bool (in);
  counts->requests = (uint32_t)lt_unpack_u64 (in, UINT32_MAX);
  counts->failed = (uint32_t)lt_unpack_u64 (in, UINT32_MAX);
  counts->in_flight = (uint32_t)lt_unpack_u64 (in, UINT16_MAX);
  uint32_t used = lt_unpack_array (in, 0, 2 * LT_HEALTH_BUCKETS);
  for (uint32_t i = 0; i + 1 < used; i += 2)
    {
      uint64_t bucket = lt_unpack_u64 (in, LT_HEALTH_BUCKETS - 1);
      counts->latency[bucket] = (uint16_t)lt_unpack_u64 (in, UINT16_MAX);
    }
  if (used % 2 != 0)
    in->error = -LT_EPROTO;
}

int
lt_health_evidence_decode (str_t payload,
                           lt_health_evidence_message_t *message,
                           lt_health_counts_t *counts, uint32_t cap)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, 5, 5);
  message->service = lt_unpack_str (&in, NAME_MAX_BYTES);
  message->failure_domain = lt_unpack_str (&in, NAME_MAX_BYTES);
  message->upstreams_hash = lt_unpack_u64 (&in, UINT64_MAX);
  message->record_version = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->counts = counts;
  message->count = lt_unpack_array (&in, 0, cap);
  for (uint32_t i = 0; i < message->count; i++)
    unpack_counts (&in, &counts[i]);
  return lt_unpack_end (&in);
}

void
lt_health_ejections_encode (const lt_health_ejections_message_t *message,
                            lt_buf_t *out)
{
  lt_pack_array (out, 6);
  lt_pack_str (out, message->service);
  lt_pack_u64 (out, message->upstreams_hash);
  lt_pack_i64 (out, message->version);
  lt_pack_i64 (out, message->age_us);
  lt_pack_bin (out, message->record);
  lt_pack_array (out, message->load_count);
  for (uint32_t i = 0; i < message->load_count; i++)
    lt_pack_u64 (out, message->loads[i]);
}

int
lt_health_ejections_decode (str_t payload,
                            lt_health_ejections_message_t *message,
                            uint32_t *loads, uint32_t cap)
{
  lt_unpack_t in;
  lt_unpack_init (&in, payload);
  lt_unpack_array (&in, 6, 6);
  message->service = lt_unpack_str (&in, NAME_MAX_BYTES);
  message->upstreams_hash = lt_unpack_u64 (&in, UINT64_MAX);
  message->version = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->age_us = lt_unpack_i64 (&in, 0, INT64_MAX);
  message->record = lt_unpack_bin (&in, RECORD_MAX_BYTES);
  message->loads = loads;
  message->load_count = lt_unpack_array (&in, 0, cap);
  for (uint32_t i = 0; i < message->load_count; i++)
    loads[i] = (uint32_t)lt_unpack_u64 (&in, UINT32_MAX);
  return lt_unpack_end (&in);
}
