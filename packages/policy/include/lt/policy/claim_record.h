/** @file
    The record of a claimed action in the table: its key, its versions and its
    byte encoding (fixed little-endian fields, then length-counted texts).  */
#ifndef LT_POLICY_CLAIM_RECORD_H
#define LT_POLICY_CLAIM_RECORD_H

#include "lt/base/hash.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Longest response body that a record keeps.  The table holds 300 KiB per
    item; records share a transaction of 4 MiB.  */
#define LT_CLAIM_BODY_MAX_BYTES (64 * 1024)
#define LT_CLAIM_VM_ID_MAX_BYTES 64
/** "claim/", 64 hexadecimal digits and a NUL.  */
#define LT_CLAIM_KEY_BYTES 71

  /** Names one attempt in the fleet, also across restarts of its VM.  */
  typedef struct lt_claim_attempt
  {
    char vm_id[LT_CLAIM_VM_ID_MAX_BYTES];
    uint8_t vm_id_len;
    uint64_t incarnation;
    uint64_t sequence;
  } lt_claim_attempt_t;

  typedef enum lt_claim_record_state
  {
    LT_CLAIM_RECORD_CLAIMED = 1, /**< May have been sent. */
    LT_CLAIM_RECORD_ANSWERED,    /**< Holds the response. */
    LT_CLAIM_RECORD_LOST         /**< Sent; no complete response came. */
  } lt_claim_record_state_t;

  typedef struct lt_claim_record
  {
    lt_claim_record_state_t state;
    lt_claim_attempt_t attempt;
    lt_digest_t fingerprint;
    int64_t deadline_wall_us; /**< Of the attempt; decides only which 409 a
                                 repeat gets, so clock skew is harmless. */
    uint16_t status;
    bool body_kept; /**< False: the body exceeded the bound. */
    str_t content_type;
    str_t body;
  } lt_claim_record_t;

  int lt_claim_attempt_make (str_t vm_id, uint64_t incarnation,
                             uint64_t sequence, lt_claim_attempt_t *attempt);
  bool lt_claim_attempt_equal (const lt_claim_attempt_t *a,
                               const lt_claim_attempt_t *b);
  /** Returns the table version of the inserted record: positive, even, below
      2^62 and specific to the attempt.  The update that records the outcome
      leaves this plus one.  A conditional delete on it cannot remove the
      claim of another attempt.  */
  int64_t lt_claim_attempt_version (const lt_claim_attempt_t *attempt);
  /** Writes the table key of (workspace, route, idempotency key).  */
  void lt_claim_key (str_t workspace, str_t route, str_t idempotency_key,
                     char key[LT_CLAIM_KEY_BYTES]);
  /** Digest of what a repeat must have in common.  TARGET is the path with
      the query.  */
  lt_digest_t lt_claim_fingerprint (str_t method, str_t target, str_t body);
  /** Appends the encoding of RECORD; a body over the bound is left out.  */
  void lt_claim_record_encode (const lt_claim_record_t *record, lt_buf_t *out);
  /** Decodes BYTES; texts point into them.  Returns 0 or -LT_EPROTO.  */
  int lt_claim_record_decode (str_t bytes, lt_claim_record_t *record);

#ifdef __cplusplus
}
#endif

#endif
