#include "lt/store/memory.h"

#include <ev.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "ops.h"

/** A table item or an object.  */
typedef struct entry
{
  UT_hash_handle hh;
  int64_t version;
  int64_t expires_wall_s;
  lt_buf_t value;
  size_t key_len;
  char key[];
} entry_t;

typedef struct call call_t;

/** State shared by the three services; freed when the last one is destroyed.
 */
typedef struct memory
{
  struct ev_loop *loop;
  lt_clock_t *clock;
  entry_t *items;
  entry_t *objects;
  lt_vm_entry_t *vms;
  size_t vm_count;
  lt_platform_fault_t faults[LT_CALL_KINDS];
  call_t *calls;
  int references;
} memory_t;

typedef struct memory_table
{
  lt_table_t base;
  memory_t *memory;
} memory_table_t;

typedef struct memory_objects
{
  lt_object_store_t base;
  memory_t *memory;
} memory_objects_t;

typedef struct memory_vms
{
  lt_vm_list_t base;
  memory_t *memory;
} memory_vms_t;

/** A pending call.  Its completion callback is cleared once it was called.  */
struct call
{
  call_t *prev;
  call_t *next;
  memory_t *memory;
  const void *owner;
  lt_platform_call_t kind;
  bool lose_response;
  bool down;
  bool if_absent;
  lt_table_op_t *ops; /**< An object call has one put or get. */
  size_t count;
  void *user;
  lt_table_done_t table_done;
  lt_object_done_t object_done;
  lt_vm_list_done_t vms_done;
  ev_timer effect;
  ev_timer deadline;
};

static entry_t *
entry_find (entry_t *head, str_t key)
{
  entry_t *found = NULL;
  HASH_FIND (hh, head, key.data, key.len, found);
  return found;
}

static void
entry_delete (entry_t **head, entry_t *entry)
{
  /* False positive: the analyzer assumes that hh.tbl may be NULL.  */
  HASH_DELETE (hh, *head, entry); /* NOLINT(clang-analyzer-*) */
  lt_buf_destroy (&entry->value);
  free (entry);
}

static void
entry_set (entry_t **head, const lt_table_op_t *op)
{
  entry_t *entry = entry_find (*head, op->key);
  if (entry == NULL)
    {
      entry = lt_alloc (sizeof (*entry) + op->key.len);
      memcpy (entry->key, op->key.data, op->key.len);
      entry->key_len = op->key.len;
      HASH_ADD_KEYPTR (hh, *head, entry->key, entry->key_len, entry);
    }
  lt_buf_clear (&entry->value);
  lt_buf_append_str (&entry->value, op->value);
  entry->version = lt_table_op_version (op);
  entry->expires_wall_s = op->expires_wall_s;
}

static void
entries_free (entry_t **head)
{
  entry_t *entry;
  entry_t *next;
  HASH_ITER (hh, *head, entry, next) { entry_delete (head, entry); }
}

/** Returns the item of KEY or NULL; deletes the item if it has expired.  */
static entry_t *
item_find (memory_t *memory, str_t key)
{
  entry_t *entry = entry_find (memory->items, key);
  if (entry == NULL || entry->expires_wall_s == 0)
    return entry;
  int64_t now_s = lt_clock_wall_us (memory->clock) / LT_US_PER_S;
  if (entry->expires_wall_s > now_s)
    return entry;
  entry_delete (&memory->items, entry);
  return NULL;
}

static void
item_remove (memory_t *memory, str_t key)
{
  entry_t *entry = entry_find (memory->items, key);
  if (entry != NULL)
    entry_delete (&memory->items, entry);
}

static void
call_free (call_t *call)
{
  ev_timer_stop (call->memory->loop, &call->effect);
  ev_timer_stop (call->memory->loop, &call->deadline);
  DL_DELETE (call->memory->calls, call);
  free (call->ops);
  free (call);
}

/** Calls the completion callback unless it has been called before.  */
static void
call_report (call_t *call, const lt_table_result_t *result, str_t body)
{
  lt_table_done_t table_done = call->table_done;
  lt_object_done_t object_done = call->object_done;
  lt_vm_list_done_t vms_done = call->vms_done;
  call->table_done = NULL;
  call->object_done = NULL;
  call->vms_done = NULL;
  if (table_done != NULL)
    table_done (call->user, result);
  if (object_done != NULL)
    object_done (call->user, &(lt_object_result_t){ .outcome = result->outcome,
                                                    .error = result->error,
                                                    .body = body });
  if (vms_done == NULL)
    return;
  lt_vm_list_result_t list
      = { .outcome = result->outcome, .error = result->error };
  if (result->outcome == LT_OUTCOME_DONE)
    {
      list.vms = call->memory->vms;
      list.count = call->memory->vm_count;
    }
  vms_done (call->user, &list);
}

static void
call_report_unknown (call_t *call, int error)
{
  lt_table_result_t result = { .outcome = LT_OUTCOME_UNKNOWN, .error = error };
  call_report (call, &result, (str_t){ 0 });
}

static void
table_read (call_t *call)
{
  lt_table_item_t *items = lt_alloc (call->count * sizeof (*items));
  for (size_t i = 0; i < call->count; i++)
    {
      items[i].key = call->ops[i].key;
      const entry_t *entry = item_find (call->memory, call->ops[i].key);
      if (entry == NULL)
        continue;
      items[i].version = entry->version;
      items[i].value = lt_buf_str (&entry->value);
    }
  lt_table_result_t result
      = { .outcome = LT_OUTCOME_DONE, .items = items, .count = call->count };
  if (call->lose_response)
    call_report_unknown (call, -LT_EIO);
  else
    call_report (call, &result, (str_t){ 0 });
  free (items);
}

static bool
condition_holds (memory_t *memory, const lt_table_op_t *op)
{
  if (op->expected_version == LT_VERSION_ANY)
    return true;
  const entry_t *entry = item_find (memory, op->key);
  int64_t version = entry == NULL ? LT_VERSION_ABSENT : entry->version;
  return version == op->expected_version;
}

static lt_table_result_t
table_apply (memory_t *memory, const lt_table_op_t *ops, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!condition_holds (memory, &ops[i]))
      return (lt_table_result_t){ .outcome = LT_OUTCOME_REFUSED,
                                  .error = -LT_ECONFLICT,
                                  .failed_op = i };
  for (size_t i = 0; i < count; i++)
    {
      if (ops[i].kind == LT_TABLE_PUT)
        entry_set (&memory->items, &ops[i]);
      else
        item_remove (memory, ops[i].key);
    }
  return (lt_table_result_t){ .outcome = LT_OUTCOME_DONE };
}

static void
object_read (call_t *call)
{
  const entry_t *entry = entry_find (call->memory->objects, call->ops[0].key);
  lt_table_result_t result = { .outcome = LT_OUTCOME_DONE };
  if (entry == NULL)
    result = (lt_table_result_t){ .outcome = LT_OUTCOME_REFUSED,
                                  .error = -LT_ENOTFOUND };
  if (call->lose_response)
    call_report_unknown (call, -LT_EIO);
  else
    call_report (call, &result,
                 entry == NULL ? (str_t){ 0 } : lt_buf_str (&entry->value));
}

static lt_table_result_t
object_write (call_t *call)
{
  const lt_table_op_t *op = &call->ops[0];
  if (call->if_absent && entry_find (call->memory->objects, op->key) != NULL)
    return (lt_table_result_t){ .outcome = LT_OUTCOME_REFUSED,
                                .error = -LT_EEXISTS };
  entry_set (&call->memory->objects, op);
  return (lt_table_result_t){ .outcome = LT_OUTCOME_DONE };
}

static void
call_run (call_t *call)
{
  lt_table_result_t result = { .outcome = LT_OUTCOME_DONE };
  switch (call->kind)
    {
    case LT_CALL_TABLE_READ:
      table_read (call);
      return;
    case LT_CALL_OBJECT_GET:
      object_read (call);
      return;
    case LT_CALL_TABLE_WRITE:
      result = table_apply (call->memory, call->ops, call->count);
      break;
    case LT_CALL_OBJECT_PUT:
      result = object_write (call);
      break;
    default:
      break;
    }
  if (call->lose_response)
    call_report_unknown (call, -LT_EIO);
  else
    call_report (call, &result, (str_t){ 0 });
}

static void
on_effect (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  call_t *call = timer->data;
  if (call->down)
    call_report_unknown (call, -LT_EUNAVAILABLE);
  else
    call_run (call);
  call_free (call);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  call_report_unknown (timer->data, -LT_ETIMEOUT);
}

/** Returns the fault for the next call of KIND and decrements its count.  */
static lt_platform_fault_t
consume_fault (memory_t *memory, lt_platform_call_t kind)
{
  lt_platform_fault_t *fault = &memory->faults[kind];
  lt_platform_fault_t taken = *fault;
  if (fault->count > 0 && --fault->count == 0)
    *fault = (lt_platform_fault_t){ 0 };
  return taken;
}

static call_t *
call_start (memory_t *memory, const void *owner, lt_platform_call_t kind,
            int64_t timeout_ms)
{
  lt_platform_fault_t fault = consume_fault (memory, kind);
  call_t *call = lt_alloc (sizeof (*call));
  call->memory = memory;
  call->owner = owner;
  call->kind = kind;
  call->down = fault.down;
  call->lose_response = fault.lose_response;
  ev_now_update (memory->loop);
  ev_timer_init (&call->effect, on_effect, (double)fault.delay_ms / 1e3, 0.);
  ev_timer_init (&call->deadline, on_deadline, (double)timeout_ms / 1e3, 0.);
  call->effect.data = call;
  call->deadline.data = call;
  ev_timer_start (memory->loop, &call->effect);
  if (fault.delay_ms > timeout_ms)
    ev_timer_start (memory->loop, &call->deadline);
  DL_APPEND (memory->calls, call);
  return call;
}

/** Completes the pending calls of OWNER with -LT_ECANCELED.  Writes in
   progress still take effect, as they would at a remote store.  */
static void
owner_release (memory_t *memory, const void *owner)
{
  call_t *call;
  DL_FOREACH (memory->calls, call)
  {
    if (call->owner == owner)
      call_report_unknown (call, -LT_ECANCELED);
  }
}

static void
vms_clear (memory_t *memory)
{
  for (size_t i = 0; i < memory->vm_count; i++)
    {
      free ((char *)memory->vms[i].id.data);
      free ((char *)memory->vms[i].peer_address.data);
      free ((char *)memory->vms[i].region.data);
      free ((char *)memory->vms[i].failure_domain.data);
    }
  free (memory->vms);
  memory->vms = NULL;
  memory->vm_count = 0;
}

static void
memory_release (memory_t *memory, const void *owner)
{
  owner_release (memory, owner);
  if (--memory->references > 0)
    return;
  call_t *call;
  call_t *next;
  DL_FOREACH_SAFE (memory->calls, call, next) { call_free (call); }
  entries_free (&memory->items);
  entries_free (&memory->objects);
  vms_clear (memory);
  free (memory);
}

static int
table_submit (lt_table_t *table, const lt_table_op_t *ops, size_t count,
              int64_t timeout_ms, lt_table_done_t done, void *user)
{
  memory_table_t *self = (memory_table_t *)table;
  int rc = lt_table_ops_check (ops, count);
  if (rc != 0)
    return rc;
  lt_platform_call_t kind
      = ops[0].kind == LT_TABLE_GET ? LT_CALL_TABLE_READ : LT_CALL_TABLE_WRITE;
  call_t *call = call_start (self->memory, self, kind, timeout_ms);
  call->ops = lt_table_ops_copy (ops, count);
  call->count = count;
  call->table_done = done;
  call->user = user;
  return 0;
}

static void
table_destroy (lt_table_t *table)
{
  memory_table_t *self = (memory_table_t *)table;
  memory_release (self->memory, self);
  free (self);
}

static int
objects_submit (memory_objects_t *self, lt_platform_call_t kind, str_t name,
                str_t body, int64_t timeout_ms, lt_object_done_t done,
                void *user, bool if_absent)
{
  if (name.len == 0)
    return -LT_EINVAL;
  lt_table_op_t op = { .key = name, .value = body };
  call_t *call = call_start (self->memory, self, kind, timeout_ms);
  call->ops = lt_table_ops_copy (&op, 1);
  call->count = 1;
  call->if_absent = if_absent;
  call->object_done = done;
  call->user = user;
  return 0;
}

static int
objects_get (lt_object_store_t *store, str_t name, int64_t timeout_ms,
             lt_object_done_t done, void *user)
{
  return objects_submit ((memory_objects_t *)store, LT_CALL_OBJECT_GET, name,
                         (str_t){ 0 }, timeout_ms, done, user, false);
}

static int
objects_put (lt_object_store_t *store, str_t name, str_t body, bool if_absent,
             int64_t timeout_ms, lt_object_done_t done, void *user)
{
  return objects_submit ((memory_objects_t *)store, LT_CALL_OBJECT_PUT, name,
                         body, timeout_ms, done, user, if_absent);
}

static void
objects_destroy (lt_object_store_t *store)
{
  memory_objects_t *self = (memory_objects_t *)store;
  memory_release (self->memory, self);
  free (self);
}

static int
vms_list (lt_vm_list_t *vms, int64_t timeout_ms, lt_vm_list_done_t done,
          void *user)
{
  memory_vms_t *self = (memory_vms_t *)vms;
  call_t *call = call_start (self->memory, self, LT_CALL_VM_LIST, timeout_ms);
  call->vms_done = done;
  call->user = user;
  return 0;
}

static void
vms_destroy (lt_vm_list_t *vms)
{
  memory_vms_t *self = (memory_vms_t *)vms;
  memory_release (self->memory, self);
  free (self);
}

static const lt_table_vtable_t table_vtable
    = { .submit = table_submit, .destroy = table_destroy };
static const lt_object_store_vtable_t objects_vtable
    = { .get = objects_get, .put = objects_put, .destroy = objects_destroy };
static const lt_vm_list_vtable_t vms_vtable
    = { .list = vms_list, .destroy = vms_destroy };

int
lt_platform_memory_create (struct ev_loop *loop, struct lt_clock *clock,
                           lt_platform_t *platform)
{
  memory_t *memory = lt_alloc (sizeof (*memory));
  memory->loop = loop;
  memory->clock = clock;
  memory->references = 3;
  memory_table_t *table = lt_alloc (sizeof (*table));
  memory_objects_t *objects = lt_alloc (sizeof (*objects));
  memory_vms_t *vms = lt_alloc (sizeof (*vms));
  *table = (memory_table_t){ { &table_vtable }, memory };
  *objects = (memory_objects_t){ { &objects_vtable }, memory };
  *vms = (memory_vms_t){ { &vms_vtable }, memory };
  *platform = (lt_platform_t){ .table = &table->base,
                               .objects = &objects->base,
                               .vms = &vms->base };
  return 0;
}

void
lt_platform_memory_set_fault (lt_platform_t *platform, lt_platform_call_t kind,
                              lt_platform_fault_t fault)
{
  ((memory_table_t *)platform->table)->memory->faults[kind] = fault;
}

static str_t
str_copy (str_t s)
{
  return str_make (str_dup (s), s.len);
}

void
lt_platform_memory_set_vms (lt_platform_t *platform, const lt_vm_entry_t *vms,
                            size_t count)
{
  memory_t *memory = ((memory_vms_t *)platform->vms)->memory;
  vms_clear (memory);
  memory->vms = lt_alloc (count * sizeof (*vms));
  memory->vm_count = count;
  for (size_t i = 0; i < count; i++)
    memory->vms[i] = (lt_vm_entry_t){
      .id = str_copy (vms[i].id),
      .peer_address = str_copy (vms[i].peer_address),
      .region = str_copy (vms[i].region),
      .failure_domain = str_copy (vms[i].failure_domain),
      .leaving = vms[i].leaving,
    };
}
