/* Handlers that list, issue and withdraw callers' keys.  */
#include <sodium.h>

#include "admin_common.h"
#include "lt/base/error.h"
#include "lt/config/sheet.h"

enum
{
  SECRET_BYTES = 32,
  SECRET_TEXT_BYTES = sodium_base64_ENCODED_LEN (
      SECRET_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING)
};

void
lt_admin_handle_key_list (lt_admin_request_t *request)
{
  static const char *const states[] = { "sheet", "issued", "withdrawn" };
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL)
    return;
  json_t *keys = json_array ();
  for (uint32_t i = 0; i < s->key_count; i++)
    {
      const lt_key_t *key = &s->keys[i];
      str_t workspace = key->workspace == LT_NO_INDEX
                            ? str_make (NULL, 0)
                            : s->workspaces[key->workspace].name;
      json_array_append_new (
          keys, json_pack ("{s:o, s:o, s:s}", "name", lt_admin_str (key->name),
                           "workspace", lt_admin_str (workspace), "state",
                           states[key->state]));
    }
  lt_admin_respond_json (request, 200,
                         json_pack ("{s:I, s:o}", "version",
                                    (json_int_t)s->version, "keys", keys));
}

/* Generates a key, proposes a snapshot that holds its hash, and responds with
   the key itself, which is not stored.  */
static void
add_key (lt_admin_request_t *request, const lt_snapshot_t *s, str_t name,
         str_t workspace)
{
  unsigned char secret[SECRET_BYTES];
  char text[SECRET_TEXT_BYTES];
  randombytes_buf (secret, sizeof (secret));
  sodium_bin2base64 (text, sizeof (text), secret, sizeof (secret),
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  lt_digest_t hash = lt_key_hash (request->node->settings->key_hash_secret,
                                  str_from (text));
  lt_edit_t edit = lt_admin_edit (request, s->version);
  lt_snapshot_t *next = NULL;
  int err = lt_edit_add_key (s, &edit, name, workspace, &hash, &next);
  if (err == 0)
    lt_admin_propose (request, next, s->version,
                      json_pack ("{s:o, s:o, s:s}", "name",
                                 lt_admin_str (name), "workspace",
                                 lt_admin_str (workspace), "key", text),
                      201);
  else
    lt_admin_respond_edit_error (request, err);
  sodium_memzero (secret, sizeof (secret));
  sodium_memzero (text, sizeof (text));
}

void
lt_admin_handle_key_add (lt_admin_request_t *request)
{
  const char *name = NULL;
  const char *workspace = NULL;
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL || !lt_admin_check_author (request))
    return;
  json_t *body = json_loadb (request->body.len == 0 ? "" : request->body.data,
                             request->body.len, JSON_REJECT_DUPLICATES, NULL);
  if (json_unpack (body, "{s:s, s:s}", "name", &name, "workspace", &workspace)
      == 0)
    add_key (request, s, str_from (name), str_from (workspace));
  else
    lt_admin_respond_problem (request, 400, "body-invalid",
                              "the body must be {\"name\": NAME, "
                              "\"workspace\": WORKSPACE}");
  json_decref (body);
}

void
lt_admin_handle_key_withdraw (lt_admin_request_t *request)
{
  const lt_snapshot_t *s = lt_admin_snapshot (request);
  if (s == NULL || !lt_admin_check_author (request))
    return;
  lt_edit_t edit = lt_admin_edit (request, s->version);
  lt_snapshot_t *next = NULL;
  int err = lt_edit_withdraw_key (s, &edit, request->suffix, &next);
  if (err == 0)
    lt_admin_propose (
        request, next, s->version,
        json_pack ("{s:o}", "name", lt_admin_str (request->suffix)), 200);
  else
    lt_admin_respond_edit_error (request, err);
}
