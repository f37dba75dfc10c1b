#include <jansson.h>
#include <stdlib.h>

#include "client.h"
#include "commands.h"
#include "output.h"
#include "story.h"

static const lt_ctl_usage_t usage = {
  "REQUEST-ID [LOG...]",
  "Says what happened to a recent request.  VMs keep records in memory "
  "only, so ask the VM that served it.  With logs of VMs (\"-\": "
  "standard input) no VM is asked: the lines of the request are shown in "
  "order, with what each VM knew of its upstreams, and the versions that "
  "the VMs that had it held, and since when, before the request's end.\v"
  "Examples:\n\n  lavenderctl explain 7f0c9a4be1d24f6c\n"
  "  lavenderctl explain 7f0c9a4be1d24f6c edge-1.log edge-2.log\n",
  0, 1, LT_CTL_ARGUMENTS_MAX
};

int
lt_ctl_explain (lt_ctl_t *ctl, int argc, char **argv)
{
  lt_ctl_arguments_t a;
  json_t *body = NULL;
  lt_ctl_parse (ctl, &usage, argc, argv, &a);
  if (a.count > 1)
    return lt_ctl_story (ctl, a.words[0], a.words + 1, a.count - 1);
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
