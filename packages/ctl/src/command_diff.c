#include <jansson.h>

#include "change.h"
#include "commands.h"
#include "output.h"
#include "sheet_input.h"

static const lt_ctl_usage_t usage
    = { "SHEET",
        "Says in words what a sheet would change in the configuration in "
        "force.  Changes nothing.\v"
        "Examples:\n\n  lavenderctl diff today.csv\n"
        "  lavenderctl --json diff today.csv\n",
        LT_CTL_OPTION_DAY, 1, 1 };

int
lt_ctl_diff (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  lt_buf_t sheet = { 0 };
  char day[LT_CTL_DAY_BYTES];
  json_t *diff = NULL;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  lt_ctl_sheet_day (a.day, day);
  int status = lt_ctl_read_sheet (ctl, a.words[0], &sheet);
  if (status == LT_CTL_DONE)
    status
        = lt_ctl_fetch_diff (ctl, lt_buf_str (&sheet), day, a.words[0], &diff);
  lt_buf_destroy (&sheet);
  if (status != LT_CTL_DONE)
    return status;
  if (ctl->json)
    lt_ctl_print_json (ctl, diff);
  else
    {
      lt_ctl_print_diff (ctl, diff);
      lt_ctl_print_findings (ctl, json_object_get (diff, "findings"),
                             a.words[0]);
    }
  json_decref (diff);
  return LT_CTL_DONE;
}
