#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "config_internal.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/policy/freshness.h"
#include "lt/policy/membership.h"
#include "lt/wire/message.h"

static const int64_t announce_timeout_us = 2000000;
/* From the start of the write; then the outcome is reported as unknown.  */
static const int64_t outcome_timeout_us = 10000000;
static const int64_t read_back_interval_us = 500000;

static const char *const outcome_names[]
    = { "accepted", "conflict", "unknown", "unavailable" };

const char *
lt_apply_outcome_name (lt_apply_outcome_t outcome)
{
  return outcome_names[outcome];
}

static void change_advance (lt_config_controller_t *c, int64_t now_us);

static void
change_finish (lt_config_controller_t *c, lt_apply_outcome_t outcome,
               int64_t version, const config_record_t *record)
{
  config_change_t change = c->change;
  c->change = (config_change_t){ 0 };
  int64_t proposed = change.base + 1;
  bool not_written
      = outcome == LT_APPLY_CONFLICT || outcome == LT_APPLY_UNAVAILABLE;
  if (not_written)
    lt_freshness_on_write_refused (c->freshness, proposed);
  lt_freshness_on_write_end (c->freshness);
  int64_t now_us = lt_node_now_us (c->base.node);
  if (outcome == LT_APPLY_ACCEPTED)
    {
      lt_freshness_on_known (c->freshness, now_us, proposed,
                             str_make (NULL, 0));
      lt_config_store_head (c, proposed, &change.record);
      int error = lt_config_install (c, lt_buf_str (&change.bytes));
      if (error != 0 && error != -LT_ESTALE)
        lt_log (LT_LOG_ERROR, "config",
                "msg=\"accepted snapshot is not valid\" version=%lld "
                "error=\"%s\"",
                (long long)proposed, lt_error_text (error));
    }
  lt_log (LT_LOG_INFO, "config",
          "msg=\"change ended\" version=%lld outcome=%s author=\"%s\"",
          (long long)proposed, lt_apply_outcome_name (outcome),
          change.record.author);
  lt_apply_result_t result = { .outcome = outcome };
  if (record != NULL)
    result.change
        = (lt_change_record_t){ .version = version,
                                .author = str_from (record->author),
                                .created_wall_us = record->created_wall_us,
                                .object = str_from (record->object) };
  change.done (change.user, &result);
  lt_buf_destroy (&change.bytes);
  lt_config_run_actions (c);
}

/* Ends a completed platform call.  Returns the controller, or NULL when the
   change that the call belongs to has ended.  */
static lt_config_controller_t *
end_change_call (void *user)
{
  config_call_t *call = user;
  uint64_t attempt = call->id;
  lt_config_controller_t *c = lt_config_call_end (call);
  if (c == NULL || c->change.phase == CHANGE_IDLE
      || c->change.record.attempt != attempt)
    return NULL;
  c->change.waiting = false;
  return c;
}

static void
submit_table (lt_config_controller_t *c, const lt_table_op_t *ops,
              size_t count, int64_t timeout_ms, lt_table_done_t done)
{
  lt_table_t *table = c->base.node->platform.table;
  config_call_t *call = lt_config_call_begin (c, c->change.record.attempt);
  c->change.waiting = true;
  if (table->vtable->submit (table, ops, count, timeout_ms, done, call) == 0)
    return;
  lt_config_call_end (call);
  change_finish (c, LT_APPLY_UNAVAILABLE, 0, NULL);
}

static void
read_head (lt_config_controller_t *c, lt_table_done_t done)
{
  lt_table_op_t op = { .kind = LT_TABLE_GET, .key = CONFIG_HEAD_KEY };
  submit_table (c, &op, 1, CONFIG_READ_TIMEOUT_MS, done);
}

static void
start_announcement (lt_config_controller_t *c)
{
  lt_node_t *node = c->base.node;
  str_t ids[LT_FRESHNESS_ANNOUNCED_MAX];
  str_t domains[LT_FRESHNESS_ANNOUNCED_MAX];
  lt_freshness_watcher_t watchers[LT_FRESHNESS_ANNOUNCED_MAX];
  size_t count = 0;
  if (node->membership != NULL)
    count = lt_membership_watchers (
        node->membership, node->settings->store_region, LT_FRESHNESS_WATCHERS,
        ids, domains, LT_FRESHNESS_ANNOUNCED_MAX);
  for (size_t i = 0; i < count; i++)
    watchers[i] = (lt_freshness_watcher_t){ .vm_id = ids[i],
                                            .failure_domain = domains[i] };
  int64_t now_us = lt_node_now_us (node);
  c->change.phase = CHANGE_ANNOUNCE;
  c->change.deadline_us = now_us + announce_timeout_us;
  lt_freshness_on_write_begin (c->freshness, now_us, c->change.base + 1,
                               watchers, count);
  lt_config_run_actions (c);
  change_advance (c, now_us);
}

static void
on_object_put (void *user, const lt_object_result_t *result)
{
  lt_config_controller_t *c = end_change_call (user);
  if (c == NULL)
    return;
  /* An existing object of this name has the same content.  */
  if (result->outcome != LT_OUTCOME_UNKNOWN)
    start_announcement (c);
  else
    change_finish (c, LT_APPLY_UNAVAILABLE, 0, NULL);
}

static void
put_object (lt_config_controller_t *c)
{
  lt_object_store_t *objects = c->base.node->platform.objects;
  config_call_t *call = lt_config_call_begin (c, c->change.record.attempt);
  c->change.phase = CHANGE_PUT_OBJECT;
  c->change.waiting = true;
  if (objects->vtable->put (objects, str_from (c->change.record.object),
                            lt_buf_str (&c->change.bytes), true,
                            CONFIG_WRITE_TIMEOUT_MS, on_object_put, call)
      == 0)
    return;
  lt_config_call_end (call);
  change_finish (c, LT_APPLY_UNAVAILABLE, 0, NULL);
}

/* Decodes the only item of RESULT; *VERSION is 0 when it does not exist.
   Returns false when the read failed or the record is malformed.  */
static bool
decode_head (const lt_table_result_t *result, int64_t *version,
             config_record_t *record)
{
  *version = 0;
  *record = (config_record_t){ 0 };
  if (result->outcome != LT_OUTCOME_DONE || result->count != 1)
    return false;
  *version = result->items[0].version;
  return *version == 0
         || lt_config_record_decode (result->items[0].value, record) == 0;
}

static void
on_base_read (void *user, const lt_table_result_t *result)
{
  lt_config_controller_t *c = end_change_call (user);
  if (c == NULL)
    return;
  int64_t version;
  config_record_t record;
  if (!decode_head (result, &version, &record))
    change_finish (c, LT_APPLY_UNAVAILABLE, 0, NULL);
  else if (version != c->change.base)
    change_finish (c, LT_APPLY_CONFLICT, version, &record);
  else
    put_object (c);
}

/* Another change was written first; reports it as the conflict.  */
static void
on_conflict_read (void *user, const lt_table_result_t *result)
{
  lt_config_controller_t *c = end_change_call (user);
  if (c == NULL)
    return;
  int64_t version;
  config_record_t record;
  bool read = decode_head (result, &version, &record) && version > 0;
  if (read)
    lt_freshness_on_known (c->freshness, lt_node_now_us (c->base.node),
                           version, str_make (NULL, 0));
  change_finish (c, LT_APPLY_CONFLICT, version, read ? &record : NULL);
}

/* The history item of a version is written once, in one transaction with the
   head, so it identifies the write that took effect.  */
static void
on_read_back (void *user, const lt_table_result_t *result)
{
  lt_config_controller_t *c = end_change_call (user);
  if (c == NULL)
    return;
  int64_t item;
  config_record_t record;
  if (!decode_head (result, &item, &record) || item == 0)
    {
      c->change.next_read_us
          = lt_node_now_us (c->base.node) + read_back_interval_us;
      return;
    }
  int64_t version = c->change.base + 1;
  bool own = record.attempt == c->change.record.attempt;
  change_finish (c, own ? LT_APPLY_ACCEPTED : LT_APPLY_CONFLICT, version,
                 &record);
}

static void
read_back (lt_config_controller_t *c)
{
  char key[48];
  lt_table_op_t op
      = { .kind = LT_TABLE_GET,
          .key = lt_config_history_key (c->change.base + 1, key) };
  submit_table (c, &op, 1, CONFIG_READ_TIMEOUT_MS, on_read_back);
}

static void
on_written (void *user, const lt_table_result_t *result)
{
  lt_config_controller_t *c = end_change_call (user);
  if (c == NULL)
    return;
  if (result->outcome == LT_OUTCOME_DONE)
    {
      config_record_t record = c->change.record;
      change_finish (c, LT_APPLY_ACCEPTED, c->change.base + 1, &record);
      return;
    }
  if (result->outcome == LT_OUTCOME_REFUSED)
    {
      c->change.phase = CHANGE_READ_CONFLICT;
      read_head (c, on_conflict_read);
      return;
    }
  if (result->error == -LT_EUNAVAILABLE)
    {
      change_finish (c, LT_APPLY_UNAVAILABLE, 0, NULL);
      return;
    }
  c->change.phase = CHANGE_READ_BACK;
  read_back (c);
}

static void
write_head (lt_config_controller_t *c)
{
  lt_buf_t value = { 0 };
  char key[48];
  lt_config_record_encode (&c->change.record, &value);
  lt_table_op_t ops[2]
      = { { .kind = LT_TABLE_PUT,
            .key = CONFIG_HEAD_KEY,
            .expected_version = c->change.base,
            .value = lt_buf_str (&value) },
          { .kind = LT_TABLE_PUT,
            .key = lt_config_history_key (c->change.base + 1, key),
            .expected_version = LT_VERSION_ABSENT,
            .value = lt_buf_str (&value) } };
  c->change.phase = CHANGE_WRITE;
  c->change.deadline_us = lt_node_now_us (c->base.node) + outcome_timeout_us;
  submit_table (c, ops, 2, CONFIG_WRITE_TIMEOUT_MS, on_written);
  lt_buf_destroy (&value);
}

static void
change_advance (lt_config_controller_t *c, int64_t now_us)
{
  config_change_t *change = &c->change;
  if (change->phase == CHANGE_ANNOUNCE)
    {
      if (lt_freshness_write_announced (c->freshness))
        write_head (c);
      else if (now_us >= change->deadline_us)
        change_finish (c, LT_APPLY_UNAVAILABLE, 0, NULL);
      return;
    }
  if (change->phase != CHANGE_READ_BACK || change->waiting)
    return;
  if (now_us >= change->deadline_us)
    {
      config_record_t record = change->record;
      change_finish (c, LT_APPLY_UNKNOWN, change->base + 1, &record);
    }
  else if (now_us >= change->next_read_us)
    read_back (c);
}

void
lt_config_change_tick (lt_config_controller_t *c, int64_t now_us)
{
  change_advance (c, now_us);
}

void
lt_config_change_abandon (lt_config_controller_t *c)
{
  if (c->change.phase == CHANGE_IDLE)
    return;
  config_record_t record = c->change.record;
  bool sent = c->change.phase >= CHANGE_WRITE;
  change_finish (c, sent ? LT_APPLY_UNKNOWN : LT_APPLY_UNAVAILABLE,
                 c->change.base + 1, &record);
}

static void
prepare_record (lt_config_controller_t *c, lt_snapshot_t *snapshot,
                str_t author)
{
  config_change_t *change = &c->change;
  config_record_t *record = &change->record;
  size_t len = author.len < CONFIG_AUTHOR_MAX - 1 ? author.len
                                                  : CONFIG_AUTHOR_MAX - 1;
  /* Truncation must not split a UTF-8 character.  */
  while (len > 0 && !str_is_utf8 (str_make (author.data, len)))
    len--;
  if (len > 0)
    memcpy (record->author, author.data, len);
  record->created_wall_us = lt_clock_wall_us (c->base.node->clock);
  randombytes_buf (&record->attempt, sizeof (record->attempt));
  snapshot->version = change->base + 1;
  snapshot->author = str_from (record->author);
  snapshot->created_wall_us = record->created_wall_us;
  lt_snapshot_encode (snapshot, &change->bytes);
  char hex[65];
  lt_digest_t digest
      = lt_digest_make (str_make (NULL, 0), lt_buf_str (&change->bytes));
  lt_digest_hex (&digest, hex);
  snprintf (record->object, sizeof (record->object), "config/%s", hex);
}

int
lt_config_controller_apply (lt_config_controller_t *c, lt_snapshot_t *snapshot,
                            int64_t base_version, str_t author,
                            lt_apply_done_t done, void *user)
{
  if (c->change.phase != CHANGE_IDLE || base_version < 0)
    {
      lt_snapshot_destroy (snapshot);
      return base_version < 0 ? -LT_EINVAL : -LT_EFULL;
    }
  c->change
      = (config_change_t){ .base = base_version, .done = done, .user = user };
  prepare_record (c, snapshot, author);
  lt_snapshot_destroy (snapshot);
  if ((int64_t)c->change.bytes.len > LT_WIRE_SNAPSHOT_MAX_BYTES)
    {
      lt_buf_destroy (&c->change.bytes);
      c->change = (config_change_t){ 0 };
      return -LT_EINVAL;
    }
  c->change.phase = CHANGE_READ_HEAD;
  read_head (c, on_base_read);
  return 0;
}
