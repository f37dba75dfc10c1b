/** @file
    The table record of a claimed action: its key, versions and encoding, which
    consists of fixed-size little-endian fields and of strings prefixed with a
    64-bit length.  */
#ifndef LT_POLICY_CLAIM_RECORD_H
#define LT_POLICY_CLAIM_RECORD_H

#include "lt/base/hash.h"
#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Longest response body that a record stores.  The table allows 300 KiB per
    item, and the records of a batch share a transaction of at most 4 MiB.  */
#define LT_CLAIM_BODY_MAX_BYTES (64 * 1024)
#define LT_CLAIM_VM_ID_MAX_BYTES 64
/** Size of a table key: "claim/", 64 hexadecimal digits and a NUL.  */
#define LT_CLAIM_KEY_BYTES 71

  /** Identifies one attempt uniquely in the fleet and across restarts of its
      VM.  */
  typedef struct lt_claim_attempt
  {
    char vm_id[LT_CLAIM_VM_ID_MAX_BYTES];
    uint8_t vm_id_len;
    uint64_t incarnation;
    uint64_t sequence;
  } lt_claim_attempt_t;

  typedef enum lt_claim_record_state
  {
    LT_CLAIM_RECORD_CLAIMED = 1, /**< The request may have been sent. */
    LT_CLAIM_RECORD_COMPLETED,   /**< The record holds the response. */
    LT_CLAIM_RECORD_NO_RESPONSE  /**< Sent, but no complete response came. */
  } lt_claim_record_state_t;

  typedef struct lt_claim_record
  {
    lt_claim_record_state_t state;
    lt_claim_attempt_t attempt;
    lt_digest_t fingerprint;
    int64_t deadline_wall_us; /**< Deadline of the attempt.  Only selects which
                                 409 a repeat gets, so clock skew between VMs
                                 is harmless. */
    uint16_t status;          /**< HTTP status of the response. */
    bool body_kept;           /**< False if the body was too long to store. */
    str_t content_type;
    str_t body;
  } lt_claim_record_t;

  /** Fills in ATTEMPT.  Returns 0, or -LT_EINVAL if VM_ID is empty or longer
      than LT_CLAIM_VM_ID_MAX_BYTES.  */
  int lt_claim_attempt_make (str_t vm_id, uint64_t incarnation,
                             uint64_t sequence, lt_claim_attempt_t *attempt);
  bool lt_claim_attempt_equal (const lt_claim_attempt_t *a,
                               const lt_claim_attempt_t *b);
  /** Returns the table version of the inserted record: a hash of the attempt,
      positive, even and below 2^62.  Recording the outcome increments the
      version by one.  Since versions differ between attempts, a delete
      conditional on it cannot remove the claim of another attempt.  */
  int64_t lt_claim_attempt_version (const lt_claim_attempt_t *attempt);
  /** Writes the NUL-terminated table key of (workspace, route, idempotency
      key) to KEY.  */
  void lt_claim_key (str_t workspace, str_t route, str_t idempotency_key,
                     char key[LT_CLAIM_KEY_BYTES]);
  /** Returns a digest of the parts of a request that must be equal in a repeat
      with the same idempotency key.  TARGET is the path with the query.  */
  lt_digest_t lt_claim_fingerprint (str_t method, str_t target, str_t body);
  /** Appends the encoding of RECORD to OUT.  A body longer than
      LT_CLAIM_BODY_MAX_BYTES is left out.  */
  void lt_claim_record_encode (const lt_claim_record_t *record, lt_buf_t *out);
  /** Decodes BYTES into RECORD, whose strings point into BYTES.  Returns 0, or
      -LT_EPROTO if BYTES is not a valid record.  */
  int lt_claim_record_decode (str_t bytes, lt_claim_record_t *record);

#ifdef __cplusplus
}
#endif

#endif
