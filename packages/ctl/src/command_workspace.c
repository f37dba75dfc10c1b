#include <stdlib.h>

#include "client.h"
#include "commands.h"
#include "list.h"

static const lt_ctl_usage_t usage
    = { "[NAME]",
        "Shows all workspaces with their limits, or one.\v"
        "Examples:\n\n  lavenderctl workspace\n"
        "  lavenderctl workspace demo\n",
        0, 0, 1 };

int
lt_ctl_workspace (lt_ctl_t *ctl, int argc, char **argv)
{
  static const lt_ctl_column_t columns[] = { { "WORKSPACE", "name" },
                                             { "RATE_PER_S", "rate_per_s" },
                                             { "BURST", "burst" },
                                             { "KEYS", "keys" } };
  lt_ctl_arguments_t a;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  char *target
      = lt_ctl_target (a.count > 0 ? "/v1/workspaces/" : "/v1/workspaces",
                       str_from (a.words[0]), "");
  int status = lt_ctl_list (ctl, target, "workspaces", columns,
                            sizeof (columns) / sizeof (columns[0]));
  free (target);
  return status;
}
