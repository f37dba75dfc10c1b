#include <stdlib.h>
#include <string.h>

#include "change.h"
#include "client.h"
#include "commands.h"
#include "list.h"
#include "lt/base/error.h"
#include "output.h"

static const lt_ctl_usage_t usage
    = { "[DOMAIN]",
        "Stops new requests to all upstreams of a failure domain; those in "
        "progress finish.  The floors of services are not checked.  Without "
        "DOMAIN, lists what is evacuated.\v"
        "Examples:\n\n  lavenderctl evacuate\n"
        "  lavenderctl evacuate Maribor-a\n"
        "  lavenderctl evacuate --undo Maribor-a\n",
        LT_CTL_OPTION_UNDO | LT_CTL_OPTION_NO_WAIT, 0, 1 };

static int
list_evacuations (lt_ctl_t *ctl)
{
  static const lt_ctl_column_t columns[]
      = { { "FAILURE_DOMAIN", "failure_domain" },
          { "UPSTREAMS", "upstreams" } };
  return lt_ctl_list (ctl, "/v1/evacuations", "evacuations", columns,
                      sizeof (columns) / sizeof (columns[0]));
}

static int
report_unknown (lt_ctl_t *ctl)
{
  fprintf (ctl->err, "the outcome is unknown; see \"lavenderctl evacuate\" "
                     "before trying again\n");
  return LT_CTL_UNKNOWN;
}

static int
finish (lt_ctl_t *ctl, const lt_ctl_answer_t *answer, bool no_wait)
{
  if (answer->status == 200)
    return lt_ctl_finish_change (ctl, answer->body, no_wait);
  if (strcmp (lt_ctl_text (answer->body, "reason"), "outcome-unknown") == 0)
    return report_unknown (ctl);
  return lt_ctl_explain_refusal (ctl, answer, "");
}

int
lt_ctl_evacuate (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  lt_ctl_answer_t answer;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  if (a.count == 0 && a.undo)
    {
      fprintf (ctl->err, "lavenderctl evacuate: --undo needs a failure "
                         "domain\n");
      return LT_CTL_FINDINGS;
    }
  if (a.count == 0)
    return list_evacuations (ctl);
  char *target = lt_ctl_target ("/v1/evacuations/", str_from (a.words[0]), "");
  int err = lt_ctl_request (ctl, a.undo ? "DELETE" : "POST", target,
                            str_make (NULL, 0), &answer);
  free (target);
  if (err == -LT_EUNKNOWN)
    return report_unknown (ctl);
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  int status = finish (ctl, &answer, a.no_wait);
  lt_ctl_answer_clear (&answer);
  return status;
}
