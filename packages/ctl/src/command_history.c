#include "commands.h"
#include "list.h"

static const lt_ctl_usage_t usage
    = { NULL,
        "Lists accepted changes, newest first, with who made them.\v"
        "Examples:\n\n  lavenderctl history\n"
        "  lavenderctl history --before 40 --count 10\n",
        LT_CTL_OPTION_RANGE, 0, 0 };

int
lt_ctl_history (lt_ctl_t *ctl, int argc, char **argv)
{
  static const lt_ctl_column_t columns[] = { { "VERSION", "version" },
                                             { "AUTHOR", "author" },
                                             { "TIME", "created" } };
  lt_ctl_arguments_t a;
  lt_buf_t target = { 0 };
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  lt_buf_printf (&target, "/v1/history?count=%s",
                 a.count_text == NULL ? "20" : a.count_text);
  if (a.before != NULL)
    lt_buf_printf (&target, "&before=%s", a.before);
  int status = lt_ctl_list (ctl, target.data, "changes", columns,
                            sizeof (columns) / sizeof (columns[0]));
  lt_buf_destroy (&target);
  return status;
}
