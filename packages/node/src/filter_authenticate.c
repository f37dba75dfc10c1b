#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "filters.h"
#include "lt/config/sheet.h"
#include "lt/node/node.h"
#include "lt/node/request.h"
#include "request_parse.h"

enum
{
  KEY_MAX_BYTES = 512
};

/* Copies the bearer key from the Authorization header.  Returns false when the
   header is repeated or is not a well-formed bearer key; returns true without
   a key when the header is missing.  */
static bool
take_key (lt_request_t *request)
{
  str_t name = STR_LIT ("Authorization");
  size_t count = lt_header_list_count (&request->headers, name);
  if (count == 0)
    return true;
  str_t key;
  str_t scheme = str_split (
      str_trim (lt_header_list_get (&request->headers, name)), ' ', &key);
  key = str_trim (key);
  if (count > 1 || !str_equal_nocase (scheme, STR_LIT ("Bearer"))
      || key.len == 0 || key.len > KEY_MAX_BYTES)
    return false;
  request->key = str_dup (key);
  return true;
}

/* Returns whether the path or the body contains the key, which would then
   reach the upstream.  */
static bool
key_in_request (const lt_request_t *request)
{
  str_t key = str_from (request->key);
  if (str_find (lt_buf_str (&request->body), key) >= 0)
    return true;
  lt_buf_t decoded = { 0 };
  lt_percent_decode (str_from (request->path), &decoded);
  bool found = str_find (lt_buf_str (&decoded), key) >= 0;
  lt_buf_destroy (&decoded);
  return found;
}

static void
strip_query (lt_request_t *request)
{
  if (request->query == NULL)
    return;
  lt_buf_t kept = { 0 };
  lt_query_strip_key (str_from (request->query), str_from (request->key),
                      &kept);
  sodium_memzero (request->query, strlen (request->query));
  free (request->query);
  request->query = kept.len == 0 ? NULL : str_dup (lt_buf_str (&kept));
  lt_buf_destroy (&kept);
}

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  bool keyed = request->route->access == LT_ACCESS_KEYED;
  bool well_formed = take_key (request);
  if (keyed && !well_formed)
    return lt_request_refuse (request, LT_REFUSE_KEY_UNKNOWN);
  if (request->key == NULL)
    return keyed ? lt_request_refuse (request, LT_REFUSE_KEY_MISSING)
                 : LT_FILTER_CONTINUE;
  if (key_in_request (request))
    return lt_request_refuse (request, LT_REFUSE_KEY_IN_REQUEST);
  strip_query (request);
  /* On an open route a key is removed but neither grants access nor selects
     a rate limit.  */
  if (!keyed)
    return LT_FILTER_CONTINUE;
  lt_digest_t hash = lt_key_hash (filter->node->settings->key_hash_secret,
                                  str_from (request->key));
  const lt_key_t *key = lt_snapshot_find_key (request->snapshot, &hash);
  if (key == NULL)
    return lt_request_refuse (request, LT_REFUSE_KEY_UNKNOWN);
  if (!lt_route_allows (request->route, key->workspace))
    return lt_request_refuse (request, LT_REFUSE_WORKSPACE);
  request->workspace = key->workspace;
  return LT_FILTER_CONTINUE;
}

static const lt_filter_vtable_t vtable = { .name = "authenticate",
                                           .request = filter_request,
                                           .destroy = lt_filter_free };

lt_filter_t *
lt_filter_authenticate_create (void)
{
  return lt_filter_stateless_create (&vtable);
}
