#include "change.h"

#include <stdlib.h>
#include <time.h>

#include "client.h"
#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "output.h"

enum
{
  POLL_NS = 250 * 1000 * 1000,
  VMS_NAMED = 20
};

void
lt_ctl_print_diff (lt_ctl_t *ctl, const json_t *diff)
{
  size_t i;
  json_t *row;
  json_t *rows = json_object_get (diff, "changes");
  json_array_foreach (rows, i, row)
  {
    fprintf (ctl->out, "%s %s \"%s\": %s\n", lt_ctl_text (row, "op"),
             lt_ctl_text (row, "kind"), lt_ctl_text (row, "name"),
             lt_ctl_text (row, "words"));
  }
  int64_t unlisted = lt_ctl_number (diff, "unlisted");
  if (unlisted > 0)
    fprintf (ctl->out, "%lld more rows are not listed\n", (long long)unlisted);
  if (json_array_size (rows) == 0)
    fprintf (ctl->out, "no rows differ\n");
  const char *kind;
  json_t *counts;
  json_object_foreach (json_object_get (diff, "counts"), kind, counts)
  {
    int64_t removed = lt_ctl_number (counts, "removed");
    int64_t before = lt_ctl_number (counts, "before");
    fprintf (ctl->out, "%s rows: %lld added, %lld removed", kind,
             (long long)lt_ctl_number (counts, "added"), (long long)removed);
    if (removed > 0 && before > 0)
      fprintf (ctl->out, " (%.1f%% of %lld)",
               100.0 * (double)removed / (double)before, (long long)before);
    fprintf (ctl->out, ", %lld changed\n",
             (long long)lt_ctl_number (counts, "changed"));
  }
  fprintf (ctl->out, "against version %lld\n",
           (long long)lt_ctl_number (diff, "version"));
}

int
lt_ctl_fetch_diff (lt_ctl_t *ctl, str_t sheet, const char *day,
                   const char *source, json_t **diff)
{
  lt_ctl_answer_t answer;
  char *target = lt_ctl_target ("/v1/config/diff?day=", str_from (day), "");
  int err = lt_ctl_request (ctl, "POST", target, sheet, &answer);
  free (target);
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  if (answer.status == 200)
    {
      *diff = answer.body;
      return LT_CTL_DONE;
    }
  int status = lt_ctl_explain_refusal (ctl, &answer, source);
  lt_ctl_answer_clear (&answer);
  return status;
}

/* Appends the names of VMs that may serve and do not have VERSION yet, as far
   as known.  Returns their count.  A VM that has been silent for long cannot
   serve keyed requests.  */
static size_t
vms_behind (const json_t *status, int64_t version, lt_buf_t *names)
{
  size_t i;
  size_t behind = 0;
  json_t *vm;
  json_array_foreach (json_object_get (status, "vms"), i, vm)
  {
    if (json_is_true (json_object_get (vm, "silent"))
        || lt_ctl_number (vm, "version") >= version)
      continue;
    if (behind < VMS_NAMED)
      lt_buf_printf (names, " %s", lt_ctl_text (vm, "vm_id"));
    behind++;
  }
  return behind;
}

static size_t
vms_silent (const json_t *status, lt_buf_t *names)
{
  size_t i;
  size_t silent = 0;
  json_t *vm;
  json_array_foreach (json_object_get (status, "vms"), i, vm)
  {
    if (!json_is_true (json_object_get (vm, "silent")))
      continue;
    if (silent < VMS_NAMED)
      lt_buf_printf (names, " %s", lt_ctl_text (vm, "vm_id"));
    silent++;
  }
  return silent;
}

static void
print_in_force (lt_ctl_t *ctl, const json_t *status, int64_t version)
{
  lt_buf_t names = { 0 };
  size_t count = json_array_size (json_object_get (status, "vms"));
  size_t silent = vms_silent (status, &names);
  fprintf (ctl->err, "version %lld is in force on %zu VMs", (long long)version,
           count - silent);
  if (silent > 0)
    fprintf (ctl->err, "; not confirmed by %zu silent VMs:%.*s", silent,
             STR_ARG (names));
  fputc ('\n', ctl->err);
  lt_buf_destroy (&names);
}

int
lt_ctl_wait_in_force (lt_ctl_t *ctl, int64_t version)
{
  const struct timespec pause = { 0, POLL_NS };
  lt_clock_t *clock = lt_clock_system ();
  int64_t end_us = lt_clock_now_us (clock) + ctl->timeout_s * LT_US_PER_S;
  lt_buf_t names = { 0 };
  size_t behind = 0;
  do
    {
      json_t *status = NULL;
      lt_buf_clear (&names);
      if (lt_ctl_get (ctl, "/v1/status", &status) != LT_CTL_DONE)
        break;
      behind = vms_behind (status, version, &names);
      size_t count = json_array_size (json_object_get (status, "vms"));
      if (behind == 0 && count > 0)
        {
          print_in_force (ctl, status, version);
          json_decref (status);
          lt_buf_destroy (&names);
          return LT_CTL_DONE;
        }
      json_decref (status);
      nanosleep (&pause, NULL);
    }
  while (lt_clock_now_us (clock) < end_us);
  fprintf (ctl->err,
           "version %lld is accepted but not yet in force everywhere; see "
           "\"lavenderctl status\"; %zu VMs behind:%.*s\n",
           (long long)version, behind, STR_ARG (names));
  lt_buf_destroy (&names);
  return LT_CTL_NOT_IN_FORCE;
}

int
lt_ctl_finish_change (lt_ctl_t *ctl, const json_t *change, bool no_wait)
{
  int64_t version = lt_ctl_number (change, "version");
  if (ctl->json)
    lt_ctl_print_json (ctl, change);
  else
    fprintf (ctl->out, "accepted as version %lld\n", (long long)version);
  fflush (ctl->out);
  return no_wait ? LT_CTL_DONE : lt_ctl_wait_in_force (ctl, version);
}
