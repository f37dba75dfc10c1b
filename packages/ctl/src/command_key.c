#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.h"
#include "client.h"
#include "commands.h"
#include "list.h"
#include "lt/base/error.h"

static const lt_ctl_usage_t usage
    = { "add WORKSPACE [NAME]\nlist\nwithdraw NAME",
        "Adds, lists or withdraws callers' keys.  A new key is shown once; "
        "only its keyed hash is stored.  A withdrawn key stops working "
        "within seconds and cannot come back.\v"
        "Examples:\n\n  lavenderctl key add demo\n"
        "  lavenderctl key add demo demo-2\n"
        "  lavenderctl key withdraw demo-1\n  lavenderctl key list\n",
        LT_CTL_OPTION_NO_WAIT, 1, 3 };

enum
{
  SUFFIX_BYTES = 4,
  QUERIES = 12,
  QUERY_PAUSE_S = 1
};

static int
list_keys (lt_ctl_t *ctl)
{
  static const lt_ctl_column_t columns[] = { { "KEY", "name" },
                                             { "WORKSPACE", "workspace" },
                                             { "STATE", "state" } };
  return lt_ctl_list (ctl, "/v1/keys", "keys", columns,
                      sizeof (columns) / sizeof (columns[0]));
}

/* Returns the state of the key, "" when it is not listed.  */
static const char *
find_state (const json_t *body, const char *name)
{
  size_t i;
  json_t *key;
  json_array_foreach (json_object_get (body, "keys"), i, key)
  {
    if (strcmp (lt_ctl_text (key, "name"), name) == 0)
      return lt_ctl_text (key, "state");
  }
  return "";
}

/* After a lost answer, looks whether the key is there, and never sends the
   change again.  */
static int
query_key (lt_ctl_t *ctl, const char *name, bool adding)
{
  const struct timespec pause = { QUERY_PAUSE_S, 0 };
  fprintf (ctl->err, "the answer is lost; querying the keys\n");
  for (int i = 0; i < QUERIES; i++)
    {
      json_t *body = NULL;
      int status = lt_ctl_get (ctl, "/v1/keys", &body);
      const char *state = find_state (body, name);
      bool usable = state[0] != '\0' && strcmp (state, "withdrawn") != 0;
      json_decref (body);
      if (status == LT_CTL_DONE && !adding && !usable)
        {
          fprintf (ctl->out, "key %s is withdrawn\n", name);
          return LT_CTL_DONE;
        }
      if (status == LT_CTL_DONE && adding && usable)
        {
          fprintf (ctl->err,
                   "key %s exists, but its secret was in the lost answer; "
                   "withdraw it and add another key\n",
                   name);
          return LT_CTL_UNKNOWN;
        }
      nanosleep (&pause, NULL);
    }
  fprintf (ctl->err, "the outcome is unknown; see \"lavenderctl key list\" "
                     "before trying again\n");
  return LT_CTL_UNKNOWN;
}

static int
finish (lt_ctl_t *ctl, int err, lt_ctl_answer_t *answer, const char *name,
        bool adding, bool no_wait)
{
  if (err == -LT_EUNKNOWN)
    return query_key (ctl, name, adding);
  if (err != 0)
    return LT_CTL_UNAVAILABLE;
  bool done = answer->status == 200 || answer->status == 201;
  if (!done)
    {
      bool unknown
          = strcmp (lt_ctl_text (answer->body, "reason"), "outcome-unknown")
            == 0;
      int status = unknown ? query_key (ctl, name, adding)
                           : lt_ctl_explain_refusal (ctl, answer, "");
      lt_ctl_answer_clear (answer);
      return status;
    }
  if (adding && !ctl->json)
    fprintf (ctl->out, "key %s: %s\n", name,
             lt_ctl_text (answer->body, "key"));
  int status = lt_ctl_finish_change (ctl, answer->body, no_wait);
  lt_ctl_answer_clear (answer);
  return status;
}

static int
add_key (lt_ctl_t *ctl, const lt_ctl_arguments_t *a)
{
  unsigned char random[SUFFIX_BYTES];
  char hex[2 * SUFFIX_BYTES + 1];
  lt_buf_t name = { 0 };
  lt_ctl_answer_t answer;
  randombytes_buf (random, sizeof (random));
  sodium_bin2hex (hex, sizeof (hex), random, sizeof (random));
  if (a->count == 3)
    lt_buf_printf (&name, "%s", a->words[2]);
  else
    lt_buf_printf (&name, "%s-%s", a->words[1], hex);
  json_t *body
      = json_pack ("{s:s, s:s}", "name", name.data, "workspace", a->words[1]);
  char *text = body == NULL ? NULL : json_dumps (body, JSON_COMPACT);
  json_decref (body);
  if (text == NULL)
    {
      fprintf (ctl->err, "lavenderctl: names must be UTF-8\n");
      lt_buf_destroy (&name);
      return LT_CTL_FINDINGS;
    }
  int err = lt_ctl_request (ctl, "POST", "/v1/keys", str_from (text), &answer);
  free (text);
  int status = finish (ctl, err, &answer, name.data, true, a->no_wait);
  lt_buf_destroy (&name);
  return status;
}

static int
withdraw_key (lt_ctl_t *ctl, const lt_ctl_arguments_t *a)
{
  lt_ctl_answer_t answer;
  char *target = lt_ctl_target ("/v1/keys/", str_from (a->words[1]), "");
  int err
      = lt_ctl_request (ctl, "DELETE", target, str_make (NULL, 0), &answer);
  free (target);
  return finish (ctl, err, &answer, a->words[1], false, a->no_wait);
}

int
lt_ctl_key (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  if (strcmp (a.words[0], "list") == 0 && a.count == 1)
    return list_keys (ctl);
  if (strcmp (a.words[0], "withdraw") == 0 && a.count == 2)
    return withdraw_key (ctl, &a);
  if (strcmp (a.words[0], "add") == 0 && a.count >= 2)
    return add_key (ctl, &a);
  fprintf (ctl->err, "lavenderctl key: add WORKSPACE [NAME], list, or "
                     "withdraw NAME\n");
  return LT_CTL_FINDINGS;
}
