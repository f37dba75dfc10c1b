#include "lt/policy/claim_record.h"

#include <stdio.h>
#include <string.h>

#include "lt/base/error.h"

/** Format version, the first byte of every record.  */
enum
{
  RECORD_FORMAT = 1
};

int
lt_claim_attempt_make (str_t vm_id, uint64_t incarnation, uint64_t sequence,
                       lt_claim_attempt_t *attempt)
{
  if (vm_id.len == 0 || vm_id.len > LT_CLAIM_VM_ID_MAX_BYTES)
    return -LT_EINVAL;
  *attempt = (lt_claim_attempt_t){ .vm_id_len = (uint8_t)vm_id.len,
                                   .incarnation = incarnation,
                                   .sequence = sequence };
  memcpy (attempt->vm_id, vm_id.data, vm_id.len);
  return 0;
}

static str_t
attempt_vm_id (const lt_claim_attempt_t *attempt)
{
  return str_make (attempt->vm_id, attempt->vm_id_len);
}

bool
lt_claim_attempt_equal (const lt_claim_attempt_t *a,
                        const lt_claim_attempt_t *b)
{
  return a->incarnation == b->incarnation && a->sequence == b->sequence
         && str_equal (attempt_vm_id (a), attempt_vm_id (b));
}

static void
append_u64 (lt_buf_t *out, uint64_t value)
{
  char bytes[8];
  for (int i = 0; i < 8; i++)
    bytes[i] = (char)(value >> (8 * i));
  lt_buf_append (out, bytes, sizeof (bytes));
}

static void
append_string (lt_buf_t *out, str_t string)
{
  append_u64 (out, string.len);
  lt_buf_append_str (out, string);
}

static lt_digest_t
digest_strings (const str_t *parts, size_t count, str_t domain)
{
  lt_buf_t bytes = { 0 };
  for (size_t i = 0; i < count; i++)
    append_string (&bytes, parts[i]);
  lt_digest_t digest = lt_digest_make (domain, lt_buf_str (&bytes));
  lt_buf_destroy (&bytes);
  return digest;
}

int64_t
lt_claim_attempt_version (const lt_claim_attempt_t *attempt)
{
  lt_buf_t bytes = { 0 };
  append_string (&bytes, attempt_vm_id (attempt));
  append_u64 (&bytes, attempt->incarnation);
  append_u64 (&bytes, attempt->sequence);
  lt_digest_t digest
      = lt_digest_make (STR_LIT ("claim attempt"), lt_buf_str (&bytes));
  lt_buf_destroy (&bytes);
  uint64_t version = 0;
  for (int i = 0; i < 8; i++)
    version = version << 8 | digest.bytes[i];
  version = (version >> 2) & ~1ULL;
  return version == 0 ? 2 : (int64_t)version;
}

void
lt_claim_key (str_t workspace, str_t route, str_t idempotency_key,
              char key[LT_CLAIM_KEY_BYTES])
{
  const str_t parts[] = { workspace, route, idempotency_key };
  lt_digest_t digest = digest_strings (parts, 3, STR_LIT ("claim key"));
  char hex[65];
  lt_digest_hex (&digest, hex);
  snprintf (key, LT_CLAIM_KEY_BYTES, "claim/%s", hex);
}

lt_digest_t
lt_claim_fingerprint (str_t method, str_t target, str_t body)
{
  const str_t parts[] = { method, target, body };
  return digest_strings (parts, 3, STR_LIT ("claim body"));
}

void
lt_claim_record_encode (const lt_claim_record_t *record, lt_buf_t *out)
{
  bool store_body
      = record->body_kept && record->body.len <= LT_CLAIM_BODY_MAX_BYTES;
  const char head[]
      = { RECORD_FORMAT, (char)record->state, store_body ? 1 : 0 };
  lt_buf_append (out, head, sizeof (head));
  append_string (out, attempt_vm_id (&record->attempt));
  append_u64 (out, record->attempt.incarnation);
  append_u64 (out, record->attempt.sequence);
  lt_buf_append (out, record->fingerprint.bytes, LT_DIGEST_BYTES);
  append_u64 (out, (uint64_t)record->deadline_wall_us);
  append_u64 (out, record->status);
  append_string (out, record->content_type);
  append_string (out, store_body ? record->body : (str_t){ 0 });
}

/** Consumes LEN bytes at the start of *REST and returns them.  If there are
    fewer, clears *REST, so that later reads fail too, and returns NULL.  */
static const char *
read_bytes (str_t *rest, size_t len)
{
  if (rest->data == NULL || rest->len < len)
    {
      *rest = (str_t){ 0 };
      return NULL;
    }
  const char *at = rest->data;
  *rest = str_make (at + len, rest->len - len);
  return at;
}

static uint64_t
read_u64 (str_t *rest)
{
  const char *at = read_bytes (rest, 8);
  uint64_t value = 0;
  for (int i = 7; at != NULL && i >= 0; i--)
    value = value << 8 | (unsigned char)at[i];
  return value;
}

static str_t
read_string (str_t *rest)
{
  uint64_t len = read_u64 (rest);
  const char *at = read_bytes (rest, len);
  return str_make (at, at == NULL ? 0 : (size_t)len);
}

int
lt_claim_record_decode (str_t bytes, lt_claim_record_t *record)
{
  str_t rest = bytes;
  *record = (lt_claim_record_t){ 0 };
  const char *head = read_bytes (&rest, 3);
  str_t vm = read_string (&rest);
  uint64_t incarnation = read_u64 (&rest);
  uint64_t sequence = read_u64 (&rest);
  const char *fingerprint = read_bytes (&rest, LT_DIGEST_BYTES);
  uint64_t deadline = read_u64 (&rest);
  uint64_t status = read_u64 (&rest);
  str_t content_type = read_string (&rest);
  str_t body = read_string (&rest);
  if (rest.data == NULL || rest.len != 0 || head == NULL || fingerprint == NULL
      || head[0] != RECORD_FORMAT)
    return -LT_EPROTO;
  if (head[1] < LT_CLAIM_RECORD_CLAIMED
      || head[1] > LT_CLAIM_RECORD_NO_RESPONSE)
    return -LT_EPROTO;
  if (head[2] < 0 || head[2] > 1 || status > UINT16_MAX)
    return -LT_EPROTO;
  if (lt_claim_attempt_make (vm, incarnation, sequence, &record->attempt) != 0)
    return -LT_EPROTO;
  record->state = (lt_claim_record_state_t)head[1];
  record->body_kept = head[2] == 1;
  memcpy (record->fingerprint.bytes, fingerprint, LT_DIGEST_BYTES);
  record->deadline_wall_us = (int64_t)deadline;
  record->status = (uint16_t)status;
  record->content_type = content_type;
  record->body = body;
  return 0;
}
