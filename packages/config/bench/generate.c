/* Prints a sheet of a given size.  */
#include <argp.h>
#include <stdio.h>

#include "generate.h"

typedef struct arguments
{
  generate_size_t size;
  const char *day;
} arguments_t;

static const struct argp_option options[]
    = { { "workspaces", 'w', "COUNT", 0, "Workspaces (45000)", 0 },
        { "services", 's', "COUNT", 0, "Services (1300)", 0 },
        { "upstreams", 'u', "COUNT", 0, "Upstreams (28000)", 0 },
        { "routes", 'r', "COUNT", 0, "Routes (19000)", 0 },
        { "day", 'd', "YYYY-MM-DD", 0, "Day of the sheet (2026-12-04)", 0 },
        { 0 } };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  arguments_t *a = state->input;
  uint32_t *count = key == 'w'   ? &a->size.workspaces
                    : key == 's' ? &a->size.services
                    : key == 'u' ? &a->size.upstreams
                    : key == 'r' ? &a->size.routes
                                 : NULL;
  if (key == 'd')
    {
      a->day = arg;
      return 0;
    }
  if (count == NULL)
    return ARGP_ERR_UNKNOWN;
  int64_t value = 0;
  if (str_to_i64 (str_from (arg), &value) != 0 || value < 1
      || value > 10000000)
    argp_error (state, "-%c: \"%s\": a count from 1 to 10000000", key, arg);
  *count = (uint32_t)value;
  return 0;
}

int
main (int argc, char **argv)
{
  arguments_t a = { { 45000, 1300, 28000, 19000 }, "2026-12-04" };
  const struct argp argp = {
    options, parse_option, NULL, "Prints a generated sheet of the given size.",
    NULL,    NULL,         NULL
  };
  argp_parse (&argp, argc, argv, 0, NULL, &a);
  if (a.size.upstreams < a.size.services)
    {
      fprintf (stderr, "upstreams must be at least as many as services\n");
      return 2;
    }
  lt_buf_t out = { 0 };
  generate_sheet (&a.size, a.day, &out);
  bool written = fwrite (out.data, 1, out.len, stdout) == out.len;
  lt_buf_destroy (&out);
  return written ? 0 : 1;
}
