/* Handlers that evacuate failure domains, end that, and list them.  */
#include "admin_common.h"

/* Returns whether an upstream before INDEX has its failure domain.  */
static bool
is_listed (const lt_snapshot_t *s, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (s->upstreams[i].evacuated
        && str_equal (s->upstreams[i].failure_domain,
                      s->upstreams[index].failure_domain))
      return true;
  return false;
}

static json_int_t
count_upstreams (const lt_snapshot_t *s, str_t domain)
{
  json_int_t count = 0;
  for (uint32_t i = 0; i < s->upstream_count; i++)
    count += str_equal (s->upstreams[i].failure_domain, domain);
  return count;
}

void
lt_admin_handle_evacuation_list (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  json_t *list = json_array ();
  for (uint32_t i = 0; i < s->upstream_count; i++)
    {
      str_t domain = s->upstreams[i].failure_domain;
      if (!s->upstreams[i].evacuated || is_listed (s, i))
        continue;
      json_array_append_new (list,
                             json_pack ("{s:o, s:I}", "failure_domain",
                                        lt_admin_str (domain), "upstreams",
                                        count_upstreams (s, domain)));
    }
  lt_admin_respond_json (request, 200,
                         json_pack ("{s:I, s:o}", "version",
                                    (json_int_t)s->version, "evacuations",
                                    list));
}

static void
set_evacuated (lt_admin_request_t *request, bool evacuated)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL || !lt_admin_check_author (request))
    return;
  lt_edit_t edit = lt_admin_edit (request, s->version);
  lt_snapshot_t *next = NULL;
  int err
      = lt_edit_set_evacuated (s, &edit, request->suffix, evacuated, &next);
  if (err == 0)
    lt_admin_propose (request, next, s->version,
                      json_pack ("{s:o, s:b}", "failure_domain",
                                 lt_admin_str (request->suffix), "evacuated",
                                 evacuated),
                      200);
  else
    lt_admin_respond_edit_error (request, err);
}

void
lt_admin_handle_evacuate (lt_admin_request_t *request)
{
  set_evacuated (request, true);
}

void
lt_admin_handle_evacuation_end (lt_admin_request_t *request)
{
  set_evacuated (request, false);
}
