#include <jansson.h>
#include <stdlib.h>

#include "client.h"
#include "commands.h"
#include "output.h"

static const lt_ctl_usage_t usage
    = { "REQUEST-ID",
        "Says what happened to a recent request.  VMs keep records in memory "
        "only, so ask the VM that served it.\v"
        "Example:\n\n  lavenderctl explain 7f0c9a4be1d24f6c\n",
        0, 1, 1 };

int
lt_ctl_explain (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  json_t *body = NULL;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  char *target = lt_ctl_target ("/v1/requests/", str_from (a.words[0]), "");
  int status = lt_ctl_get (ctl, target, &body);
  free (target);
  if (status != LT_CTL_DONE)
    return status;
  if (ctl->json)
    lt_ctl_print_json (ctl, body);
  else
    {
      const char *name;
      json_t *value;
      json_object_foreach (body, name, value)
      {
        char *text = json_dumps (value, JSON_ENCODE_ANY);
        fprintf (ctl->out, "%-16s %s\n", name,
                 json_is_string (value) ? json_string_value (value) : text);
        free (text);
      }
    }
  json_decref (body);
  return LT_CTL_DONE;
}
