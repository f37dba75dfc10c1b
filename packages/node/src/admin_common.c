#include "admin_common.h"

#include <stdlib.h>
#include <time.h>

#include "lt/base/error.h"
#include "lt/config/sheet.h"
#include "lt/node/config_controller.h"

json_t *
lt_admin_str (str_t text)
{
  json_t *value = json_stringn (text.len == 0 ? "" : text.data, text.len);
  return value != NULL ? value : json_string ("(not UTF-8)");
}

json_t *
lt_admin_time (int64_t wall_us)
{
  char text[32];
  struct tm tm;
  time_t seconds = (time_t)(wall_us / LT_US_PER_S);
  gmtime_r (&seconds, &tm);
  strftime (text, sizeof (text), "%Y-%m-%dT%H:%M:%SZ", &tm);
  return json_string (text);
}

const lt_snapshot_t *
lt_admin_snapshot (lt_admin_request_t *request)
{
  if (request->node->config != NULL)
    return request->node->config->snapshot;
  lt_admin_respond_problem (request, 503, "no-configuration",
                            "no configuration is in force yet");
  return NULL;
}

json_t *
lt_admin_findings_json (const lt_findings_t *findings)
{
  json_t *array = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const lt_finding_t *f = &findings->items[i];
      bool error = f->severity == LT_SEVERITY_ERROR;
      json_array_append_new (
          array, json_pack ("{s:s, s:s, s:i, s:s, s:s, s:s}", "severity",
                            error ? "error" : "warning", "source", f->source,
                            "row", f->row, "column", f->column, "value",
                            f->value, "expected", f->expected));
    }
  return array;
}

void
lt_admin_respond_findings (lt_admin_request_t *request,
                           const lt_findings_t *findings)
{
  lt_admin_respond_json (
      request, 422,
      json_pack ("{s:s, s:i, s:s, s:s, s:o}", "type", "about:blank", "status",
                 422, "reason", "findings", "detail",
                 "the input has findings; nothing changed", "findings",
                 lt_admin_findings_json (findings)));
}

bool
lt_admin_check_author (lt_admin_request_t *request)
{
  if (lt_name_is_valid (request->author))
    return true;
  lt_admin_respond_problem (request, 400, "author-invalid",
                            "X-Author must be a name of 1 to 128 bytes");
  return false;
}

lt_edit_t
lt_admin_edit (const lt_admin_request_t *request, int64_t base)
{
  return (lt_edit_t){ .version = base + 1,
                      .author = request->author,
                      .wall_us = lt_clock_wall_us (request->node->clock) };
}

/* A proposed change whose outcome is not known yet.  */
typedef struct pending_change
{
  lt_admin_request_t *request;
  json_t *extra; /* Added to the response to an accepted change, or NULL. */
  int status;    /* Of the response to an accepted change. */
} pending_change_t;

static json_t *
change_json (const lt_change_record_t *change)
{
  return json_pack ("{s:I, s:o, s:o}", "version", (json_int_t)change->version,
                    "author", lt_admin_str (change->author), "created",
                    lt_admin_time (change->created_wall_us));
}

static void
respond_change_failed (lt_admin_request_t *request, int status,
                       const char *reason, const char *detail,
                       const lt_change_record_t *change)
{
  json_t *body = change_json (change);
  json_object_set_new (body, "type", json_string ("about:blank"));
  json_object_set_new (body, "status", json_integer (status));
  json_object_set_new (body, "reason", json_string (reason));
  json_object_set_new (body, "detail", json_string (detail));
  lt_admin_respond_json (request, status, body);
}

static void
on_change_done (void *user, const lt_apply_result_t *result)
{
  pending_change_t *pending = user;
  lt_admin_request_t *request = pending->request;
  json_t *body;
  switch (result->outcome)
    {
    case LT_APPLY_ACCEPTED:
      body = change_json (&result->change);
      if (pending->extra != NULL)
        json_object_update (body, pending->extra);
      lt_admin_respond_json (request, pending->status, body);
      break;
    case LT_APPLY_CONFLICT:
      respond_change_failed (request, 409, "conflict",
                             "another change came between; nothing changed",
                             &result->change);
      break;
    case LT_APPLY_UNKNOWN:
      respond_change_failed (request, 504, "outcome-unknown",
                             "the change may take effect; look at the status "
                             "before repeating it",
                             &result->change);
      break;
    default:
      lt_admin_respond_problem (request, 503, "store-unavailable",
                                "the store cannot be reached; nothing "
                                "changed");
    }
  json_decref (pending->extra);
  free (pending);
}

void
lt_admin_propose (lt_admin_request_t *request, lt_snapshot_t *snapshot,
                  int64_t base, json_t *extra, int status)
{
  lt_config_controller_t *controller = request->node->config_controller;
  if (controller == NULL)
    {
      lt_snapshot_destroy (snapshot);
      json_decref (extra);
      lt_admin_respond_problem (request, 503, "no-config-controller",
                                "this VM accepts no changes");
      return;
    }
  pending_change_t *pending = lt_alloc (sizeof (*pending));
  *pending = (pending_change_t){ request, extra, status };
  int err = lt_config_controller_apply (
      controller, snapshot, base, request->author, on_change_done, pending);
  if (err == 0)
    return;
  json_decref (extra);
  free (pending);
  if (err == -LT_EFULL)
    lt_admin_respond_problem (request, 503, "change-in-progress",
                              "another change of this VM is in progress; "
                              "nothing changed");
  else
    lt_admin_respond_problem (request, 413, "snapshot-too-large",
                              lt_error_text (err));
}

void
lt_admin_respond_edit_error (lt_admin_request_t *request, int err)
{
  switch (err)
    {
    case -LT_ENOTFOUND:
      lt_admin_respond_problem (request, 404, "not-found",
                                "no row has this name");
      return;
    case -LT_EEXISTS:
      lt_admin_respond_problem (request, 422, "already-done",
                                "the name is in use, or the row is in this "
                                "state already");
      return;
    case -LT_ERANGE:
      lt_admin_respond_problem (request, 422, "below-floor",
                                "the slots left would be below the floor of "
                                "the service");
      return;
    default:
      lt_admin_respond_problem (request, 400, "invalid", lt_error_text (err));
    }
}
