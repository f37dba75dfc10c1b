/* Handlers that compare a sheet with the configuration in force and apply it.
 */
#include <time.h>

#include "admin_common.h"
#include "lt/base/error.h"
#include "lt/config/diff.h"
#include "lt/config/sheet.h"

enum
{
  DIFF_ROWS_MAX = 500,
  DATE_BYTES = 11
};

/* Returns the day that the sheet must state: the query parameter "day", or the
   current day in UTC without it.  An empty parameter accepts any day.  */
static str_t
expected_day (const lt_admin_request_t *request, char buffer[DATE_BYTES])
{
  str_t day = lt_admin_query (request, "day");
  if (day.data != NULL)
    return day;
  struct tm tm;
  time_t now = (time_t)(lt_clock_wall_us (request->node->clock) / LT_US_PER_S);
  gmtime_r (&now, &tm);
  strftime (buffer, DATE_BYTES, "%Y-%m-%d", &tm);
  return str_from (buffer);
}

/* Parses the sheet in the body and returns the snapshot that would follow
   CURRENT (NULL: none).  On findings, responds with them and returns NULL.  */
static lt_snapshot_t *
read_sheet (lt_admin_request_t *request, const lt_snapshot_t *current)
{
  char buffer[DATE_BYTES];
  lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
  options.source = STR_LIT ("sheet");
  options.today = expected_day (request, buffer);
  options.hash_secret = request->node->settings->key_hash_secret;
  lt_findings_t findings = { 0 };
  lt_snapshot_t *parsed = NULL;
  lt_snapshot_t *next = NULL;
  int err = lt_sheet_parse (request->body, &options, &findings, &parsed);
  if (err == 0)
    {
      int64_t base = current == NULL ? 0 : current->version;
      lt_edit_t edit = lt_admin_edit (request, base);
      err = lt_edit_adopt_sheet (current, parsed, &edit, &findings, &next);
    }
  if (err != 0 && findings.count == 0)
    lt_findings_add (&findings, LT_SEVERITY_ERROR, options.source, 0,
                     str_make (NULL, 0), str_make (NULL, 0),
                     "rows that fit the configuration in force");
  if (err != 0)
    lt_admin_respond_findings (request, &findings);
  lt_snapshot_destroy (parsed);
  lt_findings_destroy (&findings);
  return next;
}

static json_t *
rows_json (const lt_diff_t *diff)
{
  json_t *rows = json_array ();
  lt_buf_t words = { 0 };
  for (uint32_t i = 0; i < diff->row_count && i < DIFF_ROWS_MAX; i++)
    {
      const lt_diff_row_t *row = &diff->rows[i];
      lt_buf_clear (&words);
      lt_diff_row_words (diff, row, &words);
      json_array_append_new (
          rows,
          json_pack ("{s:s, s:s, s:o, s:o}", "op", lt_diff_op_name (row->op),
                     "kind", lt_diff_kind_name (row->kind), "name",
                     lt_admin_str (lt_diff_row_name (diff, row)), "words",
                     lt_admin_str (lt_buf_str (&words))));
    }
  lt_buf_destroy (&words);
  return rows;
}

static json_t *
counts_json (const lt_diff_t *diff)
{
  json_t *all = json_object ();
  for (int kind = 0; kind < LT_DIFF_KINDS; kind++)
    {
      const lt_diff_counts_t *c = &diff->counts[kind];
      if (c->added + c->removed + c->changed == 0)
        continue;
      json_object_set_new (all, lt_diff_kind_name ((lt_diff_kind_t)kind),
                           json_pack ("{s:I, s:I, s:I, s:I}", "before",
                                      (json_int_t)c->before, "added",
                                      (json_int_t)c->added, "removed",
                                      (json_int_t)c->removed, "changed",
                                      (json_int_t)c->changed));
    }
  return all;
}

static const lt_snapshot_t *
snapshot_in_force (const lt_admin_request_t *request)
{
  const lt_snapshot_ref_t *config = request->node->config;
  return config == NULL ? NULL : config->snapshot;
}

void
lt_admin_handle_diff (lt_admin_request_t *request)
{
  const lt_snapshot_t *current = snapshot_in_force (request);
  lt_snapshot_t *next = read_sheet (request, current);
  if (next == NULL)
    return;
  lt_findings_t findings = { 0 };
  lt_diff_t *diff = lt_diff_create (current, next);
  lt_diff_check_removals (diff, &findings);
  uint32_t unlisted
      = diff->row_count > DIFF_ROWS_MAX ? diff->row_count - DIFF_ROWS_MAX : 0;
  json_t *body = json_pack (
      "{s:I, s:o, s:I, s:o, s:o}", "version",
      (json_int_t)(current == NULL ? 0 : current->version), "changes",
      rows_json (diff), "unlisted", (json_int_t)unlisted, "counts",
      counts_json (diff), "findings", lt_admin_findings_json (&findings));
  lt_admin_respond_json (request, 200, body);
  lt_diff_destroy (diff);
  lt_findings_destroy (&findings);
  lt_snapshot_destroy (next);
}

/* Returns whether BASE is the version in force on this VM; if it is not,
   responds with 503 (BASE is newer) or 409 (BASE is older).  */
static bool
check_base (lt_admin_request_t *request, const lt_snapshot_t *current,
            int64_t base)
{
  int64_t version = current == NULL ? 0 : current->version;
  if (base == version)
    return true;
  if (base > version)
    {
      lt_admin_respond_problem (request, 503, "not-current",
                                "this VM does not have the base version yet; "
                                "nothing changed");
      return false;
    }
  json_t *body = json_pack (
      "{s:s, s:i, s:s, s:s, s:I, s:o, s:o}", "type", "about:blank", "status",
      409, "reason", "conflict", "detail",
      "another change came between; nothing changed", "version",
      (json_int_t)version, "author", lt_admin_str (current->author), "created",
      lt_admin_time (current->created_wall_us));
  lt_admin_respond_json (request, 409, body);
  return false;
}

/* Returns whether the change stays within the bound on removed rows or the
   operator allowed more; if not, responds with the findings.  */
static bool
check_removals (lt_admin_request_t *request, const lt_snapshot_t *current,
                const lt_snapshot_t *next)
{
  if (str_equal (lt_admin_query (request, "allow_removal"), STR_LIT ("1")))
    return true;
  lt_findings_t findings = { 0 };
  lt_diff_t *diff = lt_diff_create (current, next);
  int err = lt_diff_check_removals (diff, &findings);
  if (err != 0)
    lt_admin_respond_findings (request, &findings);
  lt_diff_destroy (diff);
  lt_findings_destroy (&findings);
  return err == 0;
}

void
lt_admin_handle_apply (lt_admin_request_t *request)
{
  int64_t base = 0;
  const lt_snapshot_t *current = snapshot_in_force (request);
  str_t text = lt_admin_query (request, "base");
  if (text.data == NULL || str_to_i64 (text, &base) != 0 || base < 0)
    {
      lt_admin_respond_problem (request, 400, "base-invalid",
                                "base must be the version that the change "
                                "was decided on");
      return;
    }
  if (!lt_admin_check_author (request) || !check_base (request, current, base))
    return;
  lt_snapshot_t *next = read_sheet (request, current);
  if (next == NULL)
    return;
  if (check_removals (request, current, next))
    lt_admin_propose (request, next, base, NULL, 200);
  else
    lt_snapshot_destroy (next);
}
