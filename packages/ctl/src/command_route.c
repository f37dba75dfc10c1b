#include <stdlib.h>

#include "client.h"
#include "commands.h"
#include "list.h"

static const lt_ctl_usage_t usage
    = { "[NAME]",
        "Shows all routes, or one.\v"
        "Examples:\n\n  lavenderctl route\n  lavenderctl route orders\n",
        0, 0, 1 };

int
lt_ctl_route (lt_ctl_t *ctl, int argc, char **argv)
{
  static const lt_ctl_column_t columns[] = { { "ROUTE", "name" },
                                             { "PATH", "path" },
                                             { "METHODS", "methods" },
                                             { "SERVICE", "service" },
                                             { "ACCESS", "access" },
                                             { "ACTION", "action" },
                                             { "HEDGE", "hedge" },
                                             { "TIMEOUT_MS", "timeout_ms" },
                                             { "MAX_BODY", "max_body_bytes" },
                                             { "WORKSPACES", "workspaces" } };
  lt_ctl_arguments_t a;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  char *target = lt_ctl_target (a.count > 0 ? "/v1/routes/" : "/v1/routes",
                                str_from (a.words[0]), "");
  int status = lt_ctl_list (ctl, target, "routes", columns,
                            sizeof (columns) / sizeof (columns[0]));
  free (target);
  return status;
}
