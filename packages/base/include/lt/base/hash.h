/** @file
    Hashes by libsodium: BLAKE2b for fingerprints and keyed hashes, SipHash
    for placement.  */
#ifndef LT_BASE_HASH_H
#define LT_BASE_HASH_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

#define LT_DIGEST_BYTES 32

  typedef struct lt_digest
  {
    unsigned char bytes[LT_DIGEST_BYTES];
  } lt_digest_t;

  /** BLAKE2b of DATA under KEY (empty key: unkeyed).  Keys longer than 64
     bytes are hashed first.  */
  lt_digest_t lt_digest_make (str_t key, str_t data);
  bool lt_digest_equal (const lt_digest_t *a, const lt_digest_t *b);
  /** Writes 64 lower-case hexadecimal digits and a NUL.  */
  void lt_digest_hex (const lt_digest_t *digest, char out[65]);
  /** Writes the first 16 of these digits and a NUL, for logs.  */
  void lt_digest_short_hex (const lt_digest_t *digest, char out[17]);
  /** Parses 64 hexadecimal digits.  Returns 0 or -LT_EINVAL.  */
  int lt_digest_parse (str_t hex, lt_digest_t *digest);
  /** 64-bit SipHash under a fixed key; for placement, not for secrets.  */
  uint64_t lt_hash64 (str_t data);
  /** Rendezvous weight of NODE for KEY (Thaler and Ravishankar 1998): the node
      with the highest weight owns the key.  */
  uint64_t lt_rendezvous (str_t key, str_t node);

#ifdef __cplusplus
}
#endif

#endif
