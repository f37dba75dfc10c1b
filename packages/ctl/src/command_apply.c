#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.h"
#include "client.h"
#include "commands.h"
#include "lt/base/error.h"
#include "output.h"
#include "sheet_input.h"

static const lt_ctl_usage_t usage
    = { "SHEET",
        "Makes a sheet the configuration in force.  The whole sheet is "
        "checked before anything changes.\v"
        "The change is refused with status 3 when another change came after "
        "the base version.  When the answer is lost, the state is queried "
        "and the change is not sent again.\n\n"
        "Examples:\n\n  lavenderctl apply today.csv\n"
        "  lavenderctl apply --base 41 today.csv\n"
        "  lavenderctl apply --allow-removal smaller.csv\n",
        LT_CTL_OPTION_DAY | LT_CTL_OPTION_BASE | LT_CTL_OPTION_REMOVAL
            | LT_CTL_OPTION_NO_WAIT,
        1, 1 };

enum
{
  QUERIES = 12,
  QUERY_PAUSE_S = 1
};

typedef struct apply
{
  lt_ctl_t *ctl;
  lt_ctl_arguments_t a;
  lt_buf_t sheet;
  char day[LT_CTL_DAY_BYTES];
  int64_t base;
} apply_t;

/* The change is in force when a later version has no difference from the
   sheet.  */
static int
query_outcome (apply_t *apply)
{
  lt_ctl_t *ctl = apply->ctl;
  const struct timespec pause = { QUERY_PAUSE_S, 0 };
  fprintf (ctl->err, "the answer is lost; querying the state\n");
  for (int i = 0; i < QUERIES; i++)
    {
      json_t *diff = NULL;
      int status = lt_ctl_fetch_diff (ctl, lt_buf_str (&apply->sheet),
                                      apply->day, apply->a.words[0], &diff);
      int64_t version = lt_ctl_number (diff, "version");
      size_t changes = json_array_size (json_object_get (diff, "changes"));
      json_decref (diff);
      if (status == LT_CTL_DONE && version > apply->base)
        {
          if (changes == 0)
            {
              fprintf (ctl->out, "the sheet is in force as version %lld\n",
                       (long long)version);
              return LT_CTL_DONE;
            }
          fprintf (ctl->err,
                   "version %lld is another change; the outcome of this one "
                   "is unknown, see \"lavenderctl history\"\n",
                   (long long)version);
          return LT_CTL_UNKNOWN;
        }
      nanosleep (&pause, NULL);
    }
  fprintf (ctl->err, "the outcome is unknown; see \"lavenderctl status\" "
                     "before applying again\n");
  return LT_CTL_UNKNOWN;
}

static int
send_sheet (apply_t *apply)
{
  lt_ctl_answer_t answer;
  lt_buf_t target = { 0 };
  char *day = lt_ctl_target ("", str_from (apply->day), "");
  lt_buf_printf (&target, "/v1/config/apply?base=%lld&day=%s%s",
                 (long long)apply->base, day,
                 apply->a.allow_removal ? "&allow_removal=1" : "");
  free (day);
  int err = lt_ctl_request (apply->ctl, "POST", target.data,
                            lt_buf_str (&apply->sheet), &answer);
  lt_buf_destroy (&target);
  if (err == -LT_EUNKNOWN)
    return query_outcome (apply);
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  const char *reason = lt_ctl_text (answer.body, "reason");
  int status;
  if (answer.status == 200)
    status = lt_ctl_finish_change (apply->ctl, answer.body, apply->a.no_wait);
  else if (strcmp (reason, "outcome-unknown") == 0)
    status = query_outcome (apply);
  else
    status = lt_ctl_explain_refusal (apply->ctl, &answer, apply->a.words[0]);
  lt_ctl_answer_clear (&answer);
  return status;
}

/* Shows the change and takes its base from the version it is shown for.  */
static int
show_change (apply_t *apply)
{
  json_t *diff = NULL;
  int status = lt_ctl_fetch_diff (apply->ctl, lt_buf_str (&apply->sheet),
                                  apply->day, apply->a.words[0], &diff);
  if (status != LT_CTL_DONE)
    return status;
  if (!apply->ctl->json)
    lt_ctl_print_diff (apply->ctl, diff);
  apply->base = lt_ctl_number (diff, "version");
  json_decref (diff);
  return LT_CTL_DONE;
}

int
lt_ctl_apply (lt_ctl_t *ctl, int argc, char **argv)
{
  apply_t apply = { .ctl = ctl };
  lt_ctl_parse (ctl, &usage, argc, argv, &apply.a);
  lt_ctl_sheet_day (apply.a.day, apply.day);
  int status = lt_ctl_read_sheet (ctl, apply.a.words[0], &apply.sheet);
  if (status == LT_CTL_DONE && apply.a.base != NULL)
    str_to_i64 (str_from (apply.a.base), &apply.base);
  else if (status == LT_CTL_DONE)
    status = show_change (&apply);
  if (status == LT_CTL_DONE)
    status = send_sheet (&apply);
  lt_buf_destroy (&apply.sheet);
  return status;
}
