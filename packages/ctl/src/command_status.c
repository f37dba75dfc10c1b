#include <jansson.h>

#include "client.h"
#include "commands.h"
#include "output.h"
#include "status_tables.h"

static const lt_ctl_usage_t usage = {
  NULL,
  "Shows the configuration in force, what each VM last reported, and the "
  "state of this VM: store, members, upstreams out of service with "
  "their evidence, shares, claims, quarantines.\v"
  "Example:\n\n  lavenderctl --admin 10.0.0.1:18081 status\n",
  0, 0, 0
};

static void
print_status (lt_ctl_t *ctl, const json_t *status)
{
  static const lt_ctl_column_t columns[]
      = { { "VM", "vm_id" },
          { "VERSION", "version" },
          { "CONFIRMED_MS_AGO", "confirm_age_ms" },
          { "HEARD_MS_AGO", "heard_age_ms" },
          { "SILENT", "silent" } };
  fprintf (ctl->out, "version %lld by %s at %s, sheet of %s (%s)\n",
           (long long)lt_ctl_number (status, "version"),
           lt_ctl_text (status, "author"), lt_ctl_text (status, "created"),
           lt_ctl_text (status, "day"), lt_ctl_text (status, "deployment"));
  fprintf (ctl->out, "newest accepted version %lld\n",
           (long long)lt_ctl_number (status, "known_version"));
  lt_ctl_print_table (ctl, json_object_get (status, "vms"), columns,
                      sizeof (columns) / sizeof (columns[0]));
  lt_ctl_print_controllers (ctl, json_object_get (status, "controllers"));
}

int
lt_ctl_status (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  json_t *body = NULL;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  int status = lt_ctl_get (ctl, "/v1/status", &body);
  if (status != LT_CTL_DONE)
    return status;
  if (ctl->json)
    lt_ctl_print_json (ctl, body);
  else
    print_status (ctl, body);
  json_decref (body);
  return LT_CTL_DONE;
}
