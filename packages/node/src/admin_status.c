/* Handlers for the status of the fleet and the history of changes.  */
#include <stdlib.h>

#include "admin_common.h"
#include "lt/node/config_controller.h"
#include "lt/policy/membership.h"
#include "named_vms.h"

enum
{
  /* VMs report every second; one that has not reported for this long cannot
     serve keyed requests.  */
  SILENT_AFTER_MS = 10000,
  US_PER_MS = 1000,
  HISTORY_DEFAULT = 20
};

/* Describes a VM that has not reported its version yet.  */
static json_t *
unreported_vm_json (str_t name, int64_t listed_ms)
{
  return json_pack ("{s:o, s:I, s:n, s:n, s:b}", "vm_id", lt_admin_str (name),
                    "version", (json_int_t)0, "confirm_age_ms", "heard_age_ms",
                    "silent", listed_ms > SILENT_AFTER_MS);
}

static json_t *
vm_json (const lt_vm_version_t *vm, int64_t now_us)
{
  int64_t report_age_ms = (now_us - vm->reported_us) / US_PER_MS;
  if (vm->unreported)
    return unreported_vm_json (vm->vm_id, report_age_ms);
  json_t *confirmed
      = vm->confirm_age_us < 0
            ? json_null ()
            : json_integer (vm->confirm_age_us / US_PER_MS + report_age_ms);
  return json_pack ("{s:o, s:I, s:o, s:I, s:b}", "vm_id",
                    lt_admin_str (vm->vm_id), "version",
                    (json_int_t)vm->applied_version, "confirm_age_ms",
                    confirmed, "heard_age_ms", (json_int_t)report_age_ms,
                    "silent", report_age_ms > SILENT_AFTER_MS);
}

/* Appends the VMs of the seeds or of the platform's list that have not
   reported to this VM; they may serve callers already.  */
static void
append_unreported (json_t *vms, const lt_node_t *node, int64_t now_us)
{
  if (node->membership == NULL || node->named_vms == NULL)
    return;
  for (size_t i = 0; i < node->named_vms->count; i++)
    {
      const lt_named_vm_t *vm = &node->named_vms->items[i];
      if (lt_named_vm_is_member (vm, node->membership))
        continue;
      str_t name = str_from (vm->id[0] != '\0' ? vm->id : vm->address);
      json_array_append_new (
          vms, unreported_vm_json (name, (now_us - vm->first_us) / US_PER_MS));
    }
}

/* Adds members whose first report has not arrived, as not confirmed.  Without
   them, a change was shown as complete too early.  */
static void
add_members (lt_node_t *node, int64_t now_us)
{
  if (node->membership == NULL)
    return;
  for (size_t i = 0; i < lt_membership_count (node->membership); i++)
    {
      lt_member_view_t view = lt_membership_at (node->membership, i);
      if (!view.self && view.info.state == LT_MEMBER_ALIVE)
        lt_config_controller_add_member (node->config_controller, view.info.id,
                                         now_us);
    }
}

static json_t *
vms_json (lt_node_t *node, int64_t version)
{
  json_t *vms = json_array ();
  int64_t now_us = lt_node_now_us (node);
  const lt_config_controller_t *controller = node->config_controller;
  if (controller == NULL)
    {
      lt_vm_version_t own = { .vm_id = node->settings->vm_id,
                              .applied_version = version,
                              .confirm_age_us = -1,
                              .reported_us = now_us };
      json_array_append_new (vms, vm_json (&own, now_us));
      return vms;
    }
  add_members (node, now_us);
  size_t count = lt_config_controller_vm_count (controller);
  for (size_t i = 0; i < count; i++)
    {
      lt_vm_version_t vm = lt_config_controller_vm_at (controller, i);
      json_array_append_new (vms, vm_json (&vm, now_us));
    }
  append_unreported (vms, node, now_us);
  return vms;
}

static json_t *
controllers_json (const lt_node_t *node)
{
  json_t *all = json_object ();
  for (int i = 0; i < node->controller_count; i++)
    {
      lt_controller_t *controller = node->controllers[i];
      if (controller->vtable->status != NULL)
        json_object_set_new (all, controller->vtable->name,
                             controller->vtable->status (controller));
    }
  return all;
}

void
lt_admin_handle_status (lt_admin_request_t *request)
{
  lt_node_t *node = request->node;
  const lt_snapshot_t *s
      = node->config == NULL ? NULL : node->config->snapshot;
  int64_t version = s == NULL ? 0 : s->version;
  int64_t known
      = node->config_controller == NULL
            ? version
            : lt_config_controller_known_version (node->config_controller);
  str_t empty = str_make (NULL, 0);
  json_t *body = json_pack (
      "{s:o, s:I, s:I, s:o, s:o, s:o, s:o, s:b, s:I}", "vm_id",
      lt_admin_str (node->settings->vm_id), "version", (json_int_t)version,
      "known_version", (json_int_t)known, "author",
      lt_admin_str (s == NULL ? empty : s->author), "created",
      s == NULL ? json_string ("") : lt_admin_time (s->created_wall_us),
      "deployment", lt_admin_str (s == NULL ? empty : s->deployment), "day",
      lt_admin_str (s == NULL ? empty : s->day), "leaving", node->draining,
      "in_flight", (json_int_t)node->in_flight);
  json_object_set_new (body, "vms", vms_json (node, version));
  json_object_set_new (body, "controllers", controllers_json (node));
  lt_admin_respond_json (request, 200, body);
}

static void
on_history (void *user, int error, const lt_change_record_t *records,
            size_t count)
{
  lt_admin_request_t *request = user;
  if (error != 0)
    {
      lt_admin_respond_problem (request, 503, "store-unavailable",
                                "the history cannot be read");
      return;
    }
  json_t *changes = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        changes, json_pack ("{s:I, s:o, s:o, s:o}", "version",
                            (json_int_t)records[i].version, "author",
                            lt_admin_str (records[i].author), "created",
                            lt_admin_time (records[i].created_wall_us),
                            "object", lt_admin_str (records[i].object)));
  lt_admin_respond_json (request, 200,
                         json_pack ("{s:o}", "changes", changes));
}

/* Returns a query parameter as a number, DEFAULT_VALUE when it is absent, or
   -1 when it is not a number.  */
static int64_t
query_number (const lt_admin_request_t *request, const char *name,
              int64_t default_value)
{
  int64_t value = 0;
  str_t text = lt_admin_query (request, name);
  if (text.data == NULL)
    return default_value;
  return str_to_i64 (text, &value) == 0 ? value : -1;
}

void
lt_admin_handle_history (lt_admin_request_t *request)
{
  lt_config_controller_t *controller = request->node->config_controller;
  int64_t count = query_number (request, "count", HISTORY_DEFAULT);
  int64_t before = query_number (request, "before", 0);
  if (count < 1 || before < 0)
    {
      lt_admin_respond_problem (request, 400, "query-invalid",
                                "count and before must be numbers");
      return;
    }
  if (count > LT_HISTORY_MAX)
    count = LT_HISTORY_MAX;
  if (controller == NULL)
    lt_admin_respond_problem (request, 503, "no-config-controller",
                              "this VM keeps no history");
  else if (lt_config_controller_history (controller, before, (size_t)count,
                                         on_history, request)
           != 0)
    lt_admin_respond_problem (request, 400, "query-invalid",
                              "count and before are out of range");
}
