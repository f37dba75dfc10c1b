#include <stdlib.h>
#include <string.h>

#include "commands.h"

enum
{
  KEY_ADMIN = 'a',
  KEY_AUTHOR = 'u',
  KEY_JSON = 'j',
  KEY_TIMEOUT = 't',
  KEY_DAY = 'd',
  KEY_BASE = 'b',
  KEY_COUNT = 'n',
  KEY_BEFORE = 0x100,
  KEY_REMOVAL,
  KEY_FLOOR,
  KEY_NO_WAIT,
  KEY_COMPARE,
  KEY_IN_FORCE,
  KEY_REQUEST_MS,
  KEY_UNDO,
  OPTIONS_MAX = 16,
  TIMEOUT_MAX_S = 600,
  DEFAULT_TIMEOUT_S = 30,
  /* Below the means of the kinds of requests that were measured.  */
  DEFAULT_REQUEST_MS = 100
};

#define DEFAULT_ADMIN "127.0.0.1:18081"

const struct argp_option lt_ctl_shared_options[] = {
  { "admin", KEY_ADMIN, "IP:PORT", 0,
    "Admin address of any VM (LAVENDERTRACK_ADMIN, " DEFAULT_ADMIN ")", 10 },
  { "author", KEY_AUTHOR, "NAME", 0,
    "Who makes the change (LAVENDERTRACK_AUTHOR, or the user name)", 10 },
  { "json", KEY_JSON, NULL, 0, "Print JSON instead of tables", 10 },
  { "timeout", KEY_TIMEOUT, "SECONDS", 0,
    "Longest wait for an answer, and for a change to be in force (30)", 10 },
  { 0 }
};

typedef struct option_entry
{
  lt_ctl_option_t bit;
  struct argp_option option;
} option_entry_t;

static const option_entry_t own_options[] = {
  { LT_CTL_OPTION_DAY,
    { "day", KEY_DAY, "YYYY-MM-DD", 0,
      "Day the sheet must be for (today); \"any\" accepts every day", 1 } },
  { LT_CTL_OPTION_BASE,
    { "base", KEY_BASE, "VERSION", 0,
      "Version the change was decided on (the one in force now)", 1 } },
  { LT_CTL_OPTION_REMOVAL,
    { "allow-removal", KEY_REMOVAL, NULL, 0,
      "Permit the removal of more than 20% of keys, routes or upstreams",
      1 } },
  { LT_CTL_OPTION_FLOOR,
    { "allow-below-floor", KEY_FLOOR, NULL, 0,
      "Permit a drain that leaves the service below its floor", 1 } },
  { LT_CTL_OPTION_NO_WAIT,
    { "no-wait", KEY_NO_WAIT, NULL, 0,
      "Do not wait until the change is in force on all VMs", 1 } },
  { LT_CTL_OPTION_CHECK,
    { "compare", KEY_COMPARE, "FILE", 0,
      "Also say what differs from the configuration in FILE", 1 } },
  { LT_CTL_OPTION_CHECK,
    { "in-force", KEY_IN_FORCE, NULL, 0,
      "Also say what a sheet changes in the configuration in force; asks a VM",
      1 } },
  { LT_CTL_OPTION_CHECK,
    { "request-ms", KEY_REQUEST_MS, "MS", 0,
      "Time that a request needs, to compare rates with slots (100)", 1 } },
  { LT_CTL_OPTION_UNDO,
    { "undo", KEY_UNDO, NULL, 0, "Use the failure domain again", 1 } },
  { LT_CTL_OPTION_RANGE,
    { "count", KEY_COUNT, "COUNT", 0, "Entries to list (20)", 1 } },
  { LT_CTL_OPTION_RANGE,
    { "before", KEY_BEFORE, "VERSION", 0, "List entries below this version",
      1 } },
};

/* The shared options include the end of the list.  */
_Static_assert(sizeof (own_options) / sizeof (own_options[0])
                       + sizeof (lt_ctl_shared_options)
                             / sizeof (lt_ctl_shared_options[0])
                   <= OPTIONS_MAX,
               "OPTIONS_MAX holds all options");

void
lt_ctl_read_environment (lt_ctl_t *ctl)
{
  const char *admin = getenv ("LAVENDERTRACK_ADMIN");
  const char *author = getenv ("LAVENDERTRACK_AUTHOR");
  const char *user = getenv ("USER");
  ctl->admin = admin == NULL ? DEFAULT_ADMIN : admin;
  ctl->operator_key = getenv ("LAVENDERTRACK_OPERATOR_KEY");
  ctl->author = author != NULL ? author : user != NULL ? user : "unknown";
  ctl->timeout_s = DEFAULT_TIMEOUT_S;
}

error_t
lt_ctl_parse_shared (int key, char *arg, struct argp_state *state,
                     lt_ctl_t *ctl)
{
  int64_t seconds = 0;
  switch (key)
    {
    case KEY_ADMIN:
      ctl->admin = arg;
      return 0;
    case KEY_AUTHOR:
      ctl->author = arg;
      return 0;
    case KEY_JSON:
      ctl->json = true;
      return 0;
    case KEY_TIMEOUT:
      if (str_to_i64 (str_from (arg), &seconds) != 0 || seconds < 1
          || seconds > TIMEOUT_MAX_S)
        argp_error (state, "--timeout: \"%s\": seconds from 1 to %d", arg,
                    TIMEOUT_MAX_S);
      ctl->timeout_s = (int)seconds;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
check_number (struct argp_state *state, const char *option, const char *arg)
{
  int64_t value = 0;
  if (str_to_i64 (str_from (arg), &value) != 0 || value < 0)
    argp_error (state, "%s: \"%s\": a whole number of at least 0", option,
                arg);
}

static error_t
parse_own (int key, char *arg, struct argp_state *state, lt_ctl_arguments_t *a)
{
  switch (key)
    {
    case KEY_DAY:
      a->day = arg;
      return 0;
    case KEY_BASE:
      check_number (state, "--base", arg);
      a->base = arg;
      return 0;
    case KEY_COUNT:
      check_number (state, "--count", arg);
      a->count_text = arg;
      return 0;
    case KEY_BEFORE:
      check_number (state, "--before", arg);
      a->before = arg;
      return 0;
    case KEY_REMOVAL:
      a->allow_removal = true;
      return 0;
    case KEY_FLOOR:
      a->allow_below_floor = true;
      return 0;
    case KEY_COMPARE:
      a->compare = arg;
      return 0;
    case KEY_IN_FORCE:
      a->in_force = true;
      return 0;
    case KEY_REQUEST_MS:
      check_number (state, "--request-ms", arg);
      str_to_i64 (str_from (arg), &a->request_ms);
      return 0;
    case KEY_UNDO:
      a->undo = true;
      return 0;
    case KEY_NO_WAIT:
      a->no_wait = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  lt_ctl_arguments_t *a = state->input;
  if (key == ARGP_KEY_ARG)
    {
      if (a->count >= a->most)
        argp_error (state, "unexpected argument \"%s\"", arg);
      a->words[a->count++] = arg;
      return 0;
    }
  if (key == ARGP_KEY_END)
    {
      if (a->count < a->least)
        argp_error (state, "an argument is missing");
      return 0;
    }
  error_t err = parse_own (key, arg, state, a);
  return err == ARGP_ERR_UNKNOWN
             ? lt_ctl_parse_shared (key, arg, state, a->ctl)
             : err;
}

void
lt_ctl_parse (lt_ctl_t *ctl, const lt_ctl_usage_t *usage, int argc,
              char **argv, lt_ctl_arguments_t *arguments)
{
  struct argp_option options[OPTIONS_MAX] = { { 0 } };
  size_t count = 0;
  for (size_t i = 0; i < sizeof (own_options) / sizeof (own_options[0]); i++)
    if ((usage->options & own_options[i].bit) != 0)
      options[count++] = own_options[i].option;
  for (const struct argp_option *o = lt_ctl_shared_options; o->name != NULL;
       o++)
    options[count++] = *o;
  *arguments = (lt_ctl_arguments_t){ .ctl = ctl,
                                     .least = usage->least,
                                     .most = usage->most,
                                     .request_ms = DEFAULT_REQUEST_MS };
  const struct argp argp
      = { options, parse_option, usage->words, usage->text, NULL, NULL, NULL };
  argp_parse (&argp, argc, argv, 0, NULL, arguments);
}
