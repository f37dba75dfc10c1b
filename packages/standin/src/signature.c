#include "signature.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/** The parts of an Authorization header.  */
typedef struct parts
{
  str_t access_key;
  str_t scope; /**< date/region/service/aws4_request */
  str_t signed_headers;
  str_t signature;
} parts_t;

typedef struct mac
{
  unsigned char bytes[crypto_auth_hmacsha256_BYTES];
} mac_t;

static mac_t
hmac (str_t key, str_t data)
{
  mac_t mac;
  crypto_auth_hmacsha256_state state;
  crypto_auth_hmacsha256_init (&state, (const unsigned char *)key.data,
                               key.len);
  crypto_auth_hmacsha256_update (&state, (const unsigned char *)data.data,
                                 data.len);
  crypto_auth_hmacsha256_final (&state, mac.bytes);
  return mac;
}

static str_t
mac_str (const mac_t *mac)
{
  return str_make ((const char *)mac->bytes, sizeof (mac->bytes));
}

static void
append_sha256_hex (lt_buf_t *out, str_t data)
{
  unsigned char hash[crypto_hash_sha256_BYTES];
  char hex[2 * sizeof (hash) + 1];
  crypto_hash_sha256 (hash, (const unsigned char *)data.data, data.len);
  sodium_bin2hex (hex, sizeof (hex), hash, sizeof (hash));
  lt_buf_append (out, hex, sizeof (hex) - 1);
}

/** Returns the text after NAME up to the next comma or the end.  */
static str_t
part (str_t header, str_t name)
{
  ptrdiff_t at = str_find (header, name);
  if (at < 0)
    return (str_t){ 0 };
  size_t start = (size_t)at + name.len;
  str_t rest;
  return str_split (str_make (header.data + start, header.len - start), ',',
                    &rest);
}

static bool
parse (const char *text, parts_t *parts)
{
  str_t header = str_from (text);
  if (!str_starts_with (header, STR_LIT ("AWS4-HMAC-SHA256 ")))
    return false;
  str_t credential = part (header, STR_LIT ("Credential="));
  parts->access_key = str_split (credential, '/', &parts->scope);
  parts->signed_headers = part (header, STR_LIT ("SignedHeaders="));
  parts->signature = part (header, STR_LIT ("Signature="));
  return parts->signature.len > 0 && parts->scope.len > 0;
}

static void
append_canonical (const standin_request_t *request, const parts_t *parts,
                  lt_buf_t *out)
{
  lt_buf_printf (out, "%s\n%s\n\n", request->method, request->path);
  str_t rest = parts->signed_headers;
  while (rest.data != NULL)
    {
      char *name = str_dup (str_split (rest, ';', &rest));
      const char *value = standin_request_header (request, name);
      str_t trimmed = str_trim (str_from (value));
      lt_buf_printf (out, "%s:%.*s\n", name, STR_ARG (trimmed));
      free (name);
    }
  lt_buf_printf (out, "\n%.*s\n", STR_ARG (parts->signed_headers));
  append_sha256_hex (out, lt_buf_str (&request->body));
}

/** Derives the key of the scope's day, region and service, and signs TEXT. */
static mac_t
sign (str_t secret_key, str_t scope, str_t text)
{
  lt_buf_t first = { 0 };
  lt_buf_printf (&first, "AWS4%.*s", STR_ARG (secret_key));
  str_t rest;
  mac_t key = hmac (lt_buf_str (&first), str_split (scope, '/', &rest));
  while (rest.data != NULL)
    key = hmac (mac_str (&key), str_split (rest, '/', &rest));
  lt_buf_destroy (&first);
  return hmac (mac_str (&key), text);
}

bool
signature_valid (const standin_request_t *request, str_t access_key,
                 str_t secret_key)
{
  parts_t parts = { 0 };
  const char *date = standin_request_header (request, "X-Amz-Date");
  const char *header = standin_request_header (request, "Authorization");
  if (header == NULL || date == NULL || !parse (header, &parts)
      || !str_equal (parts.access_key, access_key))
    return false;
  lt_buf_t canonical = { 0 };
  lt_buf_t text = { 0 };
  append_canonical (request, &parts, &canonical);
  lt_buf_printf (&text, "AWS4-HMAC-SHA256\n%s\n%.*s\n", date,
                 STR_ARG (parts.scope));
  append_sha256_hex (&text, lt_buf_str (&canonical));
  mac_t mac = sign (secret_key, parts.scope, lt_buf_str (&text));
  char hex[2 * sizeof (mac.bytes) + 1];
  sodium_bin2hex (hex, sizeof (hex), mac.bytes, sizeof (mac.bytes));
  bool valid = str_equal (str_from (hex), parts.signature);
  lt_buf_destroy (&canonical);
  lt_buf_destroy (&text);
  return valid;
}
