/** @file
    Table calls of claims.  Writes are grouped into transactions (group
    commit), reads are sent one by one; each call may be delayed.  */
#ifndef LT_NODE_CLAIM_TABLE_H
#define LT_NODE_CLAIM_TABLE_H

#include "lt/base/metrics.h"
#include "lt/store/store.h"
#include "lt/policy/claim.h"

#ifdef __cplusplus
extern "C"
{
#endif

  struct ev_loop;
  typedef struct claim_table claim_table_t;

  /** Reports the result of a call.  ITEM is set for successful reads.  */
  typedef void (*claim_table_done_t) (void *user, lt_claim_action_kind_t kind,
                                      lt_claim_table_result_t outcome,
                                      const lt_table_item_t *item);

  typedef struct claim_call
  {
    lt_claim_action_kind_t kind; /**< Insert, read, release or record. */
    str_t key;
    int64_t version; /**< Version of the attempt. */
    str_t value;
    int64_t expires_wall_s;
    int64_t delay_us;
    claim_table_done_t done;
    void *user;
  } claim_call_t;

  claim_table_t *claim_table_create (struct ev_loop *loop, lt_table_t *table,
                                     lt_metrics_t *metrics);
  /** Pending calls end without a call of their DONE.  */
  void claim_table_destroy (claim_table_t *table);
  /** Copies CALL.  DONE is called exactly once, after this returns.  */
  void claim_table_submit (claim_table_t *table, const claim_call_t *call);
  size_t claim_table_queued_writes (const claim_table_t *table);

#ifdef __cplusplus
}
#endif

#endif
