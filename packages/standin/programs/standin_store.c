/** @file
    Program: the stand-in for the platform's table and object store.  */
#include <argp.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>

#include "lt/base/error.h"
#include "lt/standin/store.h"

enum
{
  KEY_LISTEN = 256,
  KEY_VMS,
  KEY_BUCKET,
  LINE_BYTES = 65536
};

typedef struct settings
{
  lt_standin_store_options_t options;
  const char *vms_file;
  const char *bucket;
} settings_t;

static const struct argp_option option_list[]
    = { { "listen", KEY_LISTEN, "IP:PORT", 0, "Address to listen on", 0 },
        { "vms", KEY_VMS, "FILE", 0,
          "JSON list of VMs, served as platform/vms.json", 0 },
        { "bucket", KEY_BUCKET, "NAME", 0, "Bucket of that list", 0 },
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
    case KEY_VMS:
      settings->vms_file = arg;
      return 0;
    case KEY_BUCKET:
      settings->bucket = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
load_vms (lt_standin_store_t *store, const settings_t *settings)
{
  FILE *file = fopen (settings->vms_file, "rb");
  if (file == NULL)
    return -LT_ENOTFOUND;
  char *bytes = lt_alloc (LINE_BYTES);
  lt_buf_t body = { 0 };
  size_t len;
  while ((len = fread (bytes, 1, LINE_BYTES, file)) > 0)
    lt_buf_append (&body, bytes, len);
  lt_buf_t path = { 0 };
  lt_buf_printf (&path, "/%s/platform/vms.json", settings->bucket);
  lt_standin_store_set_object (store, lt_buf_str (&path), lt_buf_str (&body));
  lt_buf_destroy (&path);
  lt_buf_destroy (&body);
  free (bytes);
  fclose (file);
  return 0;
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
      = { option_list,
          parse_option,
          NULL,
          "Serves as a stand-in for the platform until SIGTERM.  Signatures "
          "are verified when LAVENDERTRACK_ACCESS_KEY and "
          "LAVENDERTRACK_SECRET_KEY are set.",
          NULL,
          NULL,
          NULL };
  struct ev_loop *loop = ev_default_loop (0);
  settings_t settings
      = { .options
          = { .loop = loop,
              .listen = STR_LIT ("127.0.0.1:0"),
              .access_key = str_from (getenv ("LAVENDERTRACK_ACCESS_KEY")),
              .secret_key = str_from (getenv ("LAVENDERTRACK_SECRET_KEY")) },
          .bucket = "lavendertrack" };
  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  lt_standin_store_t *store = NULL;
  int rc = lt_standin_store_create (&settings.options, &store);
  if (rc == 0 && settings.vms_file != NULL)
    rc = load_vms (store, &settings);
  if (rc != 0)
    {
      fprintf (stderr, "standin_store: %s\n", lt_error_text (rc));
      lt_standin_store_destroy (store);
      return EXIT_FAILURE;
    }
  printf ("port %d\n", lt_standin_store_port (store));
  fflush (stdout);
  ev_signal term;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (loop, &term);
  ev_run (loop, 0);
  lt_standin_store_destroy (store);
  return EXIT_SUCCESS;
}
