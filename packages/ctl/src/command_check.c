#include <jansson.h>
#include <string.h>

#include "change.h"
#include "commands.h"
#include "lt/base/error.h"
#include "lt/config/check.h"
#include "lt/config/diff.h"
#include "lt/config/sheet.h"
#include "output.h"
#include "sheet_input.h"

static const lt_ctl_usage_t usage
    = { "FILE",
        "Finds mistakes in a sheet, or in a hosting platform's configuration "
        "as JSON, without contacting a VM.  All findings are listed, with "
        "row, column, value and what was expected.\v"
        "FILE is a CSV or JSON file, or \"-\" for standard input.  Warnings "
        "are of entries that can never match, and of limits that contradict "
        "each other; they do not change the exit status.\n\n"
        "Examples:\n\n  lavenderctl check today.csv\n"
        "  lavenderctl check --day 2026-12-05 --json tomorrow.csv\n"
        "  lavenderctl check --compare sent.json next.json\n",
        LT_CTL_OPTION_DAY | LT_CTL_OPTION_CHECK, 1, 1 };

/* A file that was read, and what came of it.  */
typedef struct input
{
  lt_buf_t text;
  bool hosted; /* In the hosting platform's format. */
  const lt_deployment_t *deployment;
  void *owner;             /* Of the deployment. */
  lt_snapshot_t *snapshot; /* NULL: the file has errors. */
} input_t;

static bool
looks_hosted (const lt_ctl_t *ctl, str_t text)
{
  str_t trimmed = str_trim (text);
  return ctl->format != NULL && trimmed.len > 0 && trimmed.data[0] == '{';
}

static void
parse_hosted (const lt_ctl_t *ctl, const char *name, input_t *input,
              lt_findings_t *findings)
{
  str_t source = str_from (name);
  input->deployment = ctl->format->read (lt_buf_str (&input->text), source,
                                         findings, &input->owner);
  if (input->deployment == NULL)
    return;
  lt_check_deployment (input->deployment, source, findings);
  if (lt_findings_errors (findings) > 0)
    return;
  /* The hashes of keys are only compared with each other.  */
  int error = lt_snapshot_from_deployment (
      input->deployment, STR_LIT ("comparison"), &input->snapshot);
  /* The checks above are meant to be complete.  */
  if (error != 0)
    lt_findings_add (findings, LT_SEVERITY_ERROR, source, 0, str_make ("", 0),
                     str_make ("", 0),
                     "entries that are consistent with each other");
}

static void
parse_sheet (const lt_ctl_arguments_t *a, const char *name, const char *day,
             input_t *input, lt_findings_t *findings)
{
  lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
  options.source = str_from (name);
  options.today = str_from (day);
  options.advise = true;
  options.request_ms = a->request_ms;
  lt_sheet_parse (lt_buf_str (&input->text), &options, findings,
                  &input->snapshot);
}

/* Returns LT_CTL_DONE also when the file has findings.  */
static int
read_input (lt_ctl_t *ctl, const lt_ctl_arguments_t *a, const char *name,
            const char *day, input_t *input, lt_findings_t *findings)
{
  int status = lt_ctl_read_sheet (ctl, name, &input->text);
  if (status != LT_CTL_DONE)
    return status;
  input->hosted = looks_hosted (ctl, lt_buf_str (&input->text));
  if (input->hosted)
    parse_hosted (ctl, name, input, findings);
  else
    parse_sheet (a, name, day, input, findings);
  return LT_CTL_DONE;
}

static void
clear_input (const lt_ctl_t *ctl, input_t *input)
{
  lt_snapshot_destroy (input->snapshot);
  if (input->owner != NULL)
    ctl->format->release (input->owner);
  lt_buf_destroy (&input->text);
}

/* Appends a limit of callers that differs to LIST.  NOTICE: what callers
   notice of a lower one; 0 is the built-in limit.  */
static void
add_limit (json_t *list, const char *name, int64_t before, int64_t after,
           const char *notice)
{
  char values[64];
  if (before == after)
    return;
  snprintf (values, sizeof (values), "%lld -> %lld", (long long)before,
            (long long)after);
  json_array_append_new (list,
                         json_pack ("{s:s, s:s, s:s, s:s, s:s}", "change",
                                    "changed", "kind", "limit", "name", name,
                                    "values", values, "callers", notice));
}

static void
list_limits (const lt_caller_limits_t *before, const lt_caller_limits_t *after,
             json_t *list)
{
  add_limit (list, "header_max_bytes", before->header_max_bytes,
             after->header_max_bytes, "longer headers are refused");
  add_limit (list, "body_max_bytes", before->body_max_bytes,
             after->body_max_bytes, "larger bodies get 413");
  add_limit (list, "header_timeout_ms", before->header_timeout_ms,
             after->header_timeout_ms,
             "connections whose header takes longer are closed");
  add_limit (list, "idle_timeout_ms", before->idle_timeout_ms,
             after->idle_timeout_ms,
             "connections that are idle for longer are closed");
}

/* Returns what differs between two snapshots, as an array of objects.  */
static json_t *
list_differences (const lt_snapshot_t *before, const lt_snapshot_t *after)
{
  lt_diff_t *diff = lt_diff_create (before, after);
  json_t *list = json_array ();
  list_limits (&before->limits, &after->limits, list);
  for (uint32_t i = 0; i < diff->row_count; i++)
    {
      const lt_diff_row_t *row = &diff->rows[i];
      lt_buf_t words = { 0 };
      lt_buf_t notice = { 0 };
      str_t name = lt_diff_row_name (diff, row);
      lt_diff_row_words (diff, row, &words);
      lt_diff_row_notice (diff, row, &notice);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:s, s:s%, s:s%, s:s%}", "change",
                     lt_diff_op_name (row->op), "kind",
                     lt_diff_kind_name (row->kind), "name", name.data,
                     name.len, "values", words.data == NULL ? "" : words.data,
                     words.len, "callers",
                     notice.data == NULL ? "" : notice.data, notice.len));
      lt_buf_destroy (&words);
      lt_buf_destroy (&notice);
    }
  lt_diff_destroy (diff);
  return list;
}

/* Returns the differences from the file to compare with, or NULL after a
   fault, which is printed or added to FINDINGS.  */
static json_t *
compare (lt_ctl_t *ctl, const lt_ctl_arguments_t *a, const input_t *input,
         lt_findings_t *findings)
{
  input_t before = { 0 };
  lt_findings_t faults = { 0 };
  json_t *list = NULL;
  /* A sheet in force may be of another day.  */
  int status = read_input (ctl, a, a->compare, "", &before, &faults);
  if (status == LT_CTL_DONE && before.snapshot != NULL
      && before.hosted == input->hosted)
    list = list_differences (before.snapshot, input->snapshot);
  if (list != NULL && input->hosted
      && input->snapshot->version <= before.snapshot->version)
    lt_findings_add (findings, LT_SEVERITY_ERROR, str_from (a->words[0]), 0,
                     STR_LIT ("version"), str_make ("", 0),
                     "a version above that of %s; VMs ignore this one",
                     a->compare);
  if (list == NULL)
    lt_findings_add (findings, LT_SEVERITY_ERROR, str_from (a->compare), 0,
                     str_make ("", 0), str_make ("", 0),
                     "a configuration without errors in the same format, to "
                     "compare with");
  lt_findings_destroy (&faults);
  clear_input (ctl, &before);
  return list;
}

static void
print_differences (lt_ctl_t *ctl, const json_t *list)
{
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
  {
    const char *notice = lt_ctl_text (item, "callers");
    fprintf (ctl->out, "%s %s \"%s\": %s\n", lt_ctl_text (item, "change"),
             lt_ctl_text (item, "kind"), lt_ctl_text (item, "name"),
             lt_ctl_text (item, "values"));
    if (notice[0] != '\0')
      fprintf (ctl->out, "  callers: %s\n", notice);
  }
  if (json_array_size (list) == 0)
    fprintf (ctl->out, "no rows differ\n");
}

static void
print_result (lt_ctl_t *ctl, const lt_findings_t *findings,
              const input_t *input, json_t *differences, json_t *in_force)
{
  const lt_snapshot_t *snapshot = input->snapshot;
  json_t *list = lt_ctl_findings_json (findings);
  if (ctl->json)
    {
      json_t *result = json_pack ("{s:b, s:O}", "valid", snapshot != NULL,
                                  "findings", list);
      if (differences != NULL)
        json_object_set (result, "differences", differences);
      if (in_force != NULL)
        json_object_set (result, "in_force", in_force);
      lt_ctl_print_json (ctl, result);
      json_decref (result);
    }
  else
    lt_ctl_print_findings (ctl, list, "");
  if (!ctl->json && snapshot != NULL && input->hosted)
    fprintf (ctl->out,
             "valid: %u workspaces, %u keys, %u services, %u routes\n",
             snapshot->workspace_count, snapshot->key_count,
             snapshot->service_count, snapshot->route_count);
  else if (!ctl->json && snapshot != NULL)
    fprintf (ctl->out,
             "valid: %u workspaces, %u keys, %u services, %u upstreams, %u "
             "routes, %u stops\n",
             snapshot->workspace_count, snapshot->key_count,
             snapshot->service_count, snapshot->upstream_count,
             snapshot->route_count, snapshot->stop_count);
  if (!ctl->json && differences != NULL)
    print_differences (ctl, differences);
  if (!ctl->json && in_force != NULL)
    lt_ctl_print_diff (ctl, in_force);
  json_decref (list);
}

int
lt_ctl_check (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  char day[LT_CTL_DAY_BYTES];
  input_t input = { 0 };
  lt_findings_t findings = { 0 };
  json_t *differences = NULL;
  json_t *in_force = NULL;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  lt_ctl_sheet_day (a.day, day);
  int status = read_input (ctl, &a, a.words[0], day, &input, &findings);
  if (status != LT_CTL_DONE)
    goto end;
  if (a.in_force && input.hosted)
    lt_findings_add (&findings, LT_SEVERITY_ERROR, STR_LIT ("--in-force"), 0,
                     str_make ("", 0), str_make ("", 0),
                     "a sheet; use --compare for this format");
  if (a.compare != NULL && input.snapshot != NULL)
    differences = compare (ctl, &a, &input, &findings);
  if (lt_findings_errors (&findings) > 0)
    status = LT_CTL_FINDINGS;
  else if (a.in_force)
    status = lt_ctl_fetch_diff (ctl, lt_buf_str (&input.text), day, a.words[0],
                                &in_force);
  print_result (ctl, &findings, &input, differences, in_force);
end:
  json_decref (differences);
  json_decref (in_force);
  lt_findings_destroy (&findings);
  clear_input (ctl, &input);
  return status;
}
