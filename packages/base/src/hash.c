#include "lt/base/hash.h"

#include <sodium.h>
#include <string.h>

#include "lt/base/error.h"

lt_digest_t
lt_digest_make (str_t key, str_t data)
{
  lt_digest_t digest;
  lt_digest_t short_key;
  if (key.len > crypto_generichash_KEYBYTES_MAX)
    {
      short_key = lt_digest_make (str_make (NULL, 0), key);
      key = str_make ((const char *)short_key.bytes, LT_DIGEST_BYTES);
    }
  crypto_generichash_state state;
  crypto_generichash_init (&state, (const unsigned char *)key.data, key.len,
                           LT_DIGEST_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)data.data,
                             data.len);
  crypto_generichash_final (&state, digest.bytes, LT_DIGEST_BYTES);
  return digest;
}

bool
lt_digest_equal (const lt_digest_t *a, const lt_digest_t *b)
{
  return sodium_memcmp (a->bytes, b->bytes, LT_DIGEST_BYTES) == 0;
}

void
lt_digest_hex (const lt_digest_t *digest, char out[65])
{
  sodium_bin2hex (out, 65, digest->bytes, LT_DIGEST_BYTES);
}

void
lt_digest_short_hex (const lt_digest_t *digest, char out[17])
{
  sodium_bin2hex (out, 17, digest->bytes, 8);
}

int
lt_digest_parse (str_t hex, lt_digest_t *digest)
{
  size_t len = 0;
  if (hex.len != 2 * LT_DIGEST_BYTES)
    return -LT_EINVAL;
  if (sodium_hex2bin (digest->bytes, LT_DIGEST_BYTES, hex.data, hex.len, NULL,
                      &len, NULL)
          != 0
      || len != LT_DIGEST_BYTES)
    return -LT_EINVAL;
  return 0;
}

static uint64_t
siphash (const unsigned char *key, str_t data)
{
  uint64_t value;
  crypto_shorthash ((unsigned char *)&value, (const unsigned char *)data.data,
                    data.len, key);
  return value;
}

uint64_t
lt_hash64 (str_t data)
{
  static const unsigned char key[crypto_shorthash_KEYBYTES] = { 0 };
  return siphash (key, data);
}

uint64_t
lt_rendezvous (str_t key, str_t node)
{
  unsigned char node_key[crypto_shorthash_KEYBYTES] = { 0 };
  uint64_t node_hash = lt_hash64 (node);
  memcpy (node_key, &node_hash, sizeof (node_hash));
  return siphash (node_key, key);
}
