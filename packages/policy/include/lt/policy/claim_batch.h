/** @file
    Group commit of table writes: operations that arrive while earlier
    transactions are pending form the next transaction.  When a transaction is
    refused because of one operation, the others go into the next one.  Reads
    can be grouped in the same way.  */
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
    size_t ops_max;     /**< Operations in one transaction. */
    size_t bytes_max;   /**< Bytes in one transaction. */
    size_t pending_max; /**< Pending transactions. */
    size_t queue_max;   /**< Queued operations. */
  } lt_claim_batch_options_t;

#define LT_CLAIM_BATCH_OPTIONS_DEFAULT                                        \
  ((lt_claim_batch_options_t){ .ops_max = 100,                                \
                               .bytes_max = 3 * 1024 * 1024,                  \
                               .pending_max = 2,                              \
                               .queue_max = 4096 })

  /** One queued operation.  */
  typedef struct lt_claim_batch_op
  {
    uint64_t key; /**< Hash of the table key; operations with equal hashes
                     never share a transaction. */
    size_t bytes;
    void *user; /**< For the caller; not owned. */
  } lt_claim_batch_op_t;

  lt_claim_batch_t *
  lt_claim_batch_create (const lt_claim_batch_options_t *options);
  void lt_claim_batch_destroy (lt_claim_batch_t *batch);
  /** Queues a copy of OP.  Returns 0, or -LT_EFULL if queue_max operations
      are queued.  */
  int lt_claim_batch_add (lt_claim_batch_t *batch,
                          const lt_claim_batch_op_t *op);
  /** Starts a transaction if fewer than pending_max are pending: moves up to
      ops_max queued operations to OPS and returns their number.  Returns 0 if
      none was started.  */
  size_t lt_claim_batch_start (lt_claim_batch_t *batch,
                               lt_claim_batch_op_t *ops);
  /** Ends a transaction without queueing its operations again.  */
  void lt_claim_batch_complete (lt_claim_batch_t *batch);
  /** Ends a refused transaction of COUNT operations: all except the one at
      index FAILED are queued again, ahead of the others.  */
  void lt_claim_batch_requeue (lt_claim_batch_t *batch,
                               const lt_claim_batch_op_t *ops, size_t count,
                               size_t failed);
  size_t lt_claim_batch_queued (const lt_claim_batch_t *batch);

#ifdef __cplusplus
}
#endif

#endif
