#include "list.h"

#include "client.h"

int
lt_ctl_list (lt_ctl_t *ctl, const char *target, const char *member,
             const lt_ctl_column_t *columns, size_t count)
{
  json_t *body = NULL;
  int status = lt_ctl_get (ctl, target, &body);
  if (status != LT_CTL_DONE)
    return status;
  if (ctl->json)
    lt_ctl_print_json (ctl, body);
  else
    lt_ctl_print_table (ctl, json_object_get (body, member), columns, count);
  json_decref (body);
  return LT_CTL_DONE;
}
