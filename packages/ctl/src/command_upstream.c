#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.h"
#include "client.h"
#include "commands.h"
#include "lt/base/error.h"
#include "output.h"

static const lt_ctl_usage_t usage
    = { "drain NAME\nreturn NAME",
        "Takes an upstream out of service without interrupting requests, or "
        "returns it.  A drain that leaves the service below its floor is "
        "refused.\v"
        "Examples:\n\n  lavenderctl upstream drain quotes-7\n"
        "  lavenderctl upstream return quotes-7\n",
        LT_CTL_OPTION_FLOOR | LT_CTL_OPTION_NO_WAIT, 2, 2 };

enum
{
  QUERIES = 12,
  QUERY_PAUSE_S = 1
};

/* After a lost answer, looks at the upstream's state and never sends the
   change again.  */
static int
query_upstream (lt_ctl_t *ctl, const char *name, bool drain)
{
  const struct timespec pause = { QUERY_PAUSE_S, 0 };
  char *target = lt_ctl_target ("/v1/upstreams/", str_from (name), "");
  bool reached = false;
  fprintf (ctl->err, "the answer is lost; querying the upstream\n");
  for (int i = 0; i < QUERIES && !reached; i++)
    {
      json_t *body = NULL;
      if (i > 0)
        nanosleep (&pause, NULL);
      int status = lt_ctl_get (ctl, target, &body);
      reached = status == LT_CTL_DONE
                && json_is_true (json_object_get (body, "drained")) == drain;
      json_decref (body);
    }
  free (target);
  if (reached)
    fprintf (ctl->out, "upstream %s is %s\n", name,
             drain ? "drained" : "in service");
  else
    fprintf (ctl->err, "the outcome is unknown; see \"lavenderctl history\" "
                       "before trying again\n");
  return reached ? LT_CTL_DONE : LT_CTL_UNKNOWN;
}

static int
finish (lt_ctl_t *ctl, const lt_ctl_answer_t *answer,
        const lt_ctl_arguments_t *a, bool drain)
{
  if (answer->status == 200)
    return lt_ctl_finish_change (ctl, answer->body, a->no_wait);
  if (strcmp (lt_ctl_text (answer->body, "reason"), "outcome-unknown") == 0)
    return query_upstream (ctl, a->words[1], drain);
  return lt_ctl_explain_refusal (ctl, answer, "");
}

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
    return query_upstream (ctl, a.words[1], drain);
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  int status = finish (ctl, &answer, &a, drain);
  lt_ctl_answer_clear (&answer);
  return status;
}
