#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "change.h"
#include "client.h"
#include "commands.h"
#include "lt/base/error.h"

static const lt_ctl_usage_t usage
    = { "drain NAME\nreturn NAME",
        "Takes an upstream out of service without interrupting requests, or "
        "returns it.  A drain that leaves the service below its floor is "
        "refused.\v"
        "Examples:\n\n  lavenderctl upstream drain quotes-7\n"
        "  lavenderctl upstream return quotes-7\n",
        LT_CTL_OPTION_FLOOR | LT_CTL_OPTION_NO_WAIT, 2, 2 };

int
lt_ctl_upstream (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  bool drain = strcmp (a.words[0], "drain") == 0;
  if (!drain && strcmp (a.words[0], "return") != 0)
    {
      fprintf (ctl->err, "lavenderctl upstream: \"%s\": drain or return\n",
               a.words[0]);
      return LT_CTL_FINDINGS;
    }
  const char *suffix = !drain                ? "/return"
                       : a.allow_below_floor ? "/drain?allow_below_floor=1"
                                             : "/drain";
  char *target
      = lt_ctl_target ("/v1/upstreams/", str_from (a.words[1]), suffix);
  lt_ctl_answer_t answer;
  int err = lt_ctl_request (ctl, "POST", target, str_make (NULL, 0), &answer);
  free (target);
  if (err == -LT_EUNKNOWN)
    {
      fprintf (ctl->err, "the outcome is unknown; see \"lavenderctl "
                         "history\" before trying again\n");
      return LT_CTL_UNKNOWN;
    }
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  int status = answer.status == 200 && answer.body != NULL
                   ? lt_ctl_finish_change (ctl, answer.body, a.no_wait)
                   : lt_ctl_explain_refusal (ctl, &answer, "");
  lt_ctl_answer_clear (&answer);
  return status;
}
