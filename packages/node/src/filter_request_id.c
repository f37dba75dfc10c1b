#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "filters.h"
#include "lt/node/node.h"
#include "lt/node/request.h"

static bool
id_is_valid (str_t id)
{
  if (id.len == 0 || id.len > LT_REQUEST_ID_MAX)
    return false;
  for (size_t i = 0; i < id.len; i++)
    if (id.data[i] <= ' ' || id.data[i] > '~' || id.data[i] == '"')
      return false;
  return true;
}

/* The request id is forwarded and logged, so it must not contain the key.  */
static bool
id_holds_key (const lt_request_t *request, str_t id)
{
  str_t value
      = lt_header_list_get (&request->headers, STR_LIT ("Authorization"));
  str_t key;
  str_split (str_trim (value), ' ', &key);
  key = str_trim (key);
  return key.len > 0 && str_find (id, key) >= 0;
}

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  lt_node_t *node = filter->node;
  const lt_dialect_t *dialect = node->dialect;
  str_t id = lt_header_list_get (&request->headers, dialect->request_id);
  if (id_is_valid (id) && !id_holds_key (request, id))
    memcpy (request->request_id, id.data, id.len);
  else if (dialect->generates_request_id)
    snprintf (request->request_id, sizeof (request->request_id),
              "%.*s-%" PRIx64 "-%" PRIx64, STR_ARG (node->settings->vm_id),
              node->incarnation, request->sequence);
  return LT_FILTER_CONTINUE;
}

static const lt_filter_vtable_t vtable = { .name = "request-id",
                                           .request = filter_request,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_request_id_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
