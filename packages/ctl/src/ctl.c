#include "lt/ctl/ctl.h"

#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "lt/config/sheet.h"

/* Sorted by name.  */
static const lt_ctl_command_t commands[] = {
  { "apply", "make a sheet the configuration in force", lt_ctl_apply },
  { "check", "find mistakes in a sheet or configuration", lt_ctl_check },
  { "diff", "say what a sheet would change", lt_ctl_diff },
  { "evacuate", "evacuate a failure domain, undo or list", lt_ctl_evacuate },
  { "explain", "say what happened to a request", lt_ctl_explain },
  { "history", "list accepted changes", lt_ctl_history },
  { "key", "add, withdraw or list callers' keys", lt_ctl_key },
  { "route", "show routes", lt_ctl_route },
  { "status", "show the fleet's state and configuration", lt_ctl_status },
  { "upstream", "drain or return an upstream", lt_ctl_upstream },
  { "workspace", "show workspaces and their limits", lt_ctl_workspace },
};

enum
{
  COMMAND_COUNT = sizeof (commands) / sizeof (commands[0]),
  NAME_MAX_BYTES = 64
};

typedef struct line
{
  lt_ctl_t *ctl;
  int command_at; /* Index of the command's name; 0: none. */
} line_t;

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  line_t *line = state->input;
  if (key == ARGP_KEY_ARG)
    {
      line->command_at = state->next - 1;
      state->next = state->argc;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    argp_error (state, "a command is missing");
  return lt_ctl_parse_shared (key, arg, state, line->ctl);
}

static int
compare_name (const void *name, const void *command)
{
  return strcmp (name, ((const lt_ctl_command_t *)command)->name);
}

/* Returns the list of commands for --help.  */
static char *
help_text (void)
{
  lt_buf_t text = { 0 };
  lt_buf_printf (&text, "Operates a fleet of lavendertrackd VMs.\v"
                        "Commands (COMMAND --help shows more):\n\n");
  for (int i = 0; i < COMMAND_COUNT; i++)
    lt_buf_printf (&text, "  %-10s %s\n", commands[i].name,
                   commands[i].summary);
  lt_buf_printf (
      &text,
      "\nExit status: 0 done, 1 refused, 2 usage error or findings, 3 "
      "conflict with another change, 4 outcome unknown, 5 accepted but not "
      "yet in force everywhere, 6 unavailable.\n\n"
      "The operator key is read from LAVENDERTRACK_OPERATOR_KEY.\n\n"
      "Examples:\n\n  lavenderctl check today.csv\n"
      "  lavenderctl --admin 10.0.0.1:18081 --author ana apply today.csv\n");
  return text.data;
}

static int
run_command (lt_ctl_t *ctl, const lt_ctl_command_t *command, int argc,
             char **argv)
{
  char name[NAME_MAX_BYTES];
  snprintf (name, sizeof (name), "lavenderctl %s", command->name);
  argv[0] = name;
  return command->run (ctl, argc, argv);
}

int
lt_ctl_main (lt_ctl_t *ctl, int argc, char **argv)
{
  line_t line = { .ctl = ctl };
  lt_ctl_read_environment (ctl);
  argp_err_exit_status = LT_CTL_FINDINGS;
  char *help = help_text ();
  const struct argp argp = { lt_ctl_shared_options,
                             parse_option,
                             "COMMAND [ARGUMENT...]",
                             help,
                             NULL,
                             NULL,
                             NULL };
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &line);
  free (help);
  const char *name = argv[line.command_at];
  const lt_ctl_command_t *command = bsearch (
      name, commands, COMMAND_COUNT, sizeof (commands[0]), compare_name);
  if (command == NULL)
    {
      fprintf (ctl->err, "lavenderctl: \"%s\": not a command; try --help\n",
               name);
      return LT_CTL_FINDINGS;
    }
  return run_command (ctl, command, argc - line.command_at,
                      argv + line.command_at);
}
