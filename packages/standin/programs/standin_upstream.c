/** @file
    Program: one stand-in upstream.  */
#include <argp.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "lt/base/error.h"
#include "lt/standin/upstream.h"

enum
{
  KEY_LISTEN = 256,
  KEY_NAME,
  KEY_SEED,
  KEY_BEHAVIOUR,
  CRASH_STATUS = 70
};

typedef struct settings
{
  lt_standin_upstream_options_t options;
  str_t behaviour;
} settings_t;

static const struct argp_option option_list[]
    = { { "listen", KEY_LISTEN, "IP:PORT", 0, "Address to listen on", 0 },
        { "name", KEY_NAME, "NAME", 0, "Name in responses", 0 },
        { "seed", KEY_SEED, "NUMBER", 0, "Seed of random behaviour", 0 },
        { "behaviour", KEY_BEHAVIOUR, "JSON", 0, "Initial behaviour", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  settings_t *settings = state->input;
  switch (key)
    {
    case KEY_LISTEN:
      settings->options.listen = str_from (arg);
      return 0;
    case KEY_NAME:
      settings->options.name = str_from (arg);
      return 0;
    case KEY_SEED:
      settings->options.seed = strtoull (arg, NULL, 10);
      return 0;
    case KEY_BEHAVIOUR:
      settings->behaviour = str_from (arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
on_crash (void *user)
{
  (void)user;
  _exit (CRASH_STATUS);
}

static void
on_signal (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { option_list, parse_option,
          NULL,        "Serves as a stand-in upstream until SIGTERM.",
          NULL,        NULL,
          NULL };
  struct ev_loop *loop = ev_default_loop (0);
  settings_t settings = { .options = { .loop = loop,
                                       .listen = STR_LIT ("127.0.0.1:0"),
                                       .name = STR_LIT ("upstream"),
                                       .on_crash = on_crash },
                          .behaviour = STR_LIT ("{}") };
  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  lt_standin_upstream_t *upstream = NULL;
  int rc = lt_standin_upstream_create (&settings.options, &upstream);
  if (rc == 0)
    rc = lt_standin_upstream_configure (upstream, settings.behaviour);
  if (rc != 0)
    {
      fprintf (stderr, "standin_upstream: %s\n", lt_error_text (rc));
      lt_standin_upstream_destroy (upstream);
      return EXIT_FAILURE;
    }
  printf ("port %d\n", lt_standin_upstream_port (upstream));
  fflush (stdout);
  ev_signal term;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (loop, &term);
  ev_run (loop, 0);
  lt_standin_upstream_destroy (upstream);
  return EXIT_SUCCESS;
}
