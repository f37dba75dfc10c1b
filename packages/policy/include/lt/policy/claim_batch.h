/** @file
    Group commit of table writes: operations that arrive while earlier ones
    are under way form the next transaction.  The operations of a refused
    transaction, except the one at fault, go into the next one.  Reads can be
    grouped in the same way.  */
#ifndef LT_POLICY_CLAIM_BATCH_H
#define LT_POLICY_CLAIM_BATCH_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_claim_batch lt_claim_batch_t;

  typedef struct lt_claim_batch_options
  {
    size_t ops_max;     /**< Of one transaction. */
    size_t bytes_max;   /**< Of one transaction. */
    size_t open_max;    /**< Transactions under way. */
    size_t waiting_max; /**< Operations that may wait. */
  } lt_claim_batch_options_t;

#define LT_CLAIM_BATCH_OPTIONS_DEFAULT                                        \
  ((lt_claim_batch_options_t){ .ops_max = 100,                                \
                               .bytes_max = 3 * 1024 * 1024,                  \
                               .open_max = 2,                                 \
                               .waiting_max = 4096 })

  /** One operation as the batch sees it.  */
  typedef struct lt_claim_batch_op
  {
    uint64_t key; /**< Hash of the table key; equal ones never share a
                     transaction. */
    size_t bytes;
    void *user;
  } lt_claim_batch_op_t;

  lt_claim_batch_t *
  lt_claim_batch_create (const lt_claim_batch_options_t *options);
  void lt_claim_batch_destroy (lt_claim_batch_t *batch);
  /** Queues an operation.  Returns 0 or -LT_EFULL.  */
  int lt_claim_batch_add (lt_claim_batch_t *batch,
                          const lt_claim_batch_op_t *op);
  /** Starts a transaction if one may start now: writes up to ops_max
      operations to OPS and returns their number, 0 if none.  */
  size_t lt_claim_batch_take (lt_claim_batch_t *batch,
                              lt_claim_batch_op_t *ops);
  /** Ends a transaction.  */
  void lt_claim_batch_end (lt_claim_batch_t *batch);
  /** Ends a refused transaction of COUNT operations: all except FAILED wait
      again, ahead of the others.  */
  void lt_claim_batch_refused (lt_claim_batch_t *batch,
                               const lt_claim_batch_op_t *ops, size_t count,
                               size_t failed);
  size_t lt_claim_batch_waiting (const lt_claim_batch_t *batch);

#ifdef __cplusplus
}
#endif

#endif
