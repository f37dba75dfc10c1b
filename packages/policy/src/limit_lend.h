/** @file
    Lending of tokens; internal to the holder.  A token request that may queue
    waits here for up to 100 ms.  Queued requests and this VM's own requests
    are served in turns: otherwise the own requests, which have no network
    delay, would take every token.  */
#ifndef LT_POLICY_LIMIT_LEND_H
#define LT_POLICY_LIMIT_LEND_H

#include "limit_share.h"

/** Answers the token request MESSAGE of VM with TOKENS and the size of SHARE,
    which may be NULL.  */
void lt_limit_lend_reply (const lt_limit_share_t *share,
                          const lt_limit_vm_t *vm,
                          const lt_limit_message_t *message, int64_t tokens,
                          lt_limit_actions_t *actions);
/** Answers the token request MESSAGE of VM or queues it.  SHARE must have been
    refilled to NOW_US.  */
void lt_limit_lend_handle_request (lt_limit_share_t *share,
                                   const lt_limit_vm_t *vm,
                                   const lt_limit_message_t *message,
                                   int64_t loan_us, int64_t now_us,
                                   lt_limit_actions_t *actions);
/** Lends tokens to the queued requests whose turn it is.  SHARE must have been
    refilled to NOW_US.  */
void lt_limit_lend_serve_queue (lt_limit_share_t *share, int64_t loan_us,
                                int64_t now_us, lt_limit_actions_t *actions);
/** Lends tokens to the queued requests without regard to turns, and refuses
    requests that were queued for too long.  */
void lt_limit_lend_tick (lt_limit_share_t *share, int64_t loan_us,
                         int64_t now_us, lt_limit_actions_t *actions);

#endif
