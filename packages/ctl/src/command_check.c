#include <jansson.h>
#include <string.h>

#include "commands.h"
#include "lt/config/sheet.h"
#include "output.h"
#include "sheet_input.h"

static const lt_ctl_usage_t usage
    = { "SHEET",
        "Finds mistakes in a sheet without contacting a VM.  All findings "
        "are listed, with row, column, value and what was expected.\v"
        "SHEET is a CSV file, or \"-\" for standard input.\n\n"
        "Examples:\n\n  lavenderctl check today.csv\n"
        "  lavenderctl check --day 2026-12-05 --json tomorrow.csv\n",
        LT_CTL_OPTION_DAY, 1, 1 };

static void
print_result (lt_ctl_t *ctl, const lt_findings_t *findings,
              const lt_snapshot_t *snapshot)
{
  json_t *list = lt_ctl_findings_json (findings);
  if (ctl->json)
    {
      json_t *result = json_pack ("{s:b, s:O}", "valid", snapshot != NULL,
                                  "findings", list);
      lt_ctl_print_json (ctl, result);
      json_decref (result);
    }
  else
    lt_ctl_print_findings (ctl, list, "");
  if (!ctl->json && snapshot != NULL)
    fprintf (ctl->out,
             "valid: %u workspaces, %u keys, %u services, %u upstreams, %u "
             "routes, %u stops\n",
             snapshot->workspace_count, snapshot->key_count,
             snapshot->service_count, snapshot->upstream_count,
             snapshot->route_count, snapshot->stop_count);
  json_decref (list);
}

int
lt_ctl_check (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  lt_buf_t text = { 0 };
  char day[LT_CTL_DAY_BYTES];
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  int status = lt_ctl_read_sheet (ctl, a.words[0], &text);
  if (status != LT_CTL_DONE)
    {
      lt_buf_destroy (&text);
      return status;
    }
  lt_ctl_sheet_day (a.day, day);
  lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
  options.source = str_from (a.words[0]);
  options.today = str_from (day);
  lt_findings_t findings = { 0 };
  lt_snapshot_t *snapshot = NULL;
  int err
      = lt_sheet_parse (lt_buf_str (&text), &options, &findings, &snapshot);
  print_result (ctl, &findings, snapshot);
  lt_snapshot_destroy (snapshot);
  lt_findings_destroy (&findings);
  lt_buf_destroy (&text);
  return err == 0 ? LT_CTL_DONE : LT_CTL_FINDINGS;
}
