/** @file
    Lending of token batches; internal to the holder.  An ask with hold waits
    here for a token for up to 100 ms, and held asks take turns with this VM's
    own requests: otherwise the requests next to the tokens win every one.  */
#ifndef LT_POLICY_LIMIT_LEND_H
#define LT_POLICY_LIMIT_LEND_H

#include "limit_share.h"

/** Answers the tokens_ask MESSAGE of VM with TOKENS and the parts of SHARE,
    which may be NULL.  */
void lt_limit_lend_reply (const lt_limit_share_t *share,
                          const lt_limit_vm_t *vm,
                          const lt_limit_message_t *message, int64_t tokens,
                          lt_limit_actions_t *actions);
/** Lends, holds or denies; SHARE was filled.  */
void lt_limit_lend_ask (lt_limit_share_t *share, const lt_limit_vm_t *vm,
                        const lt_limit_message_t *message, int64_t batch_us,
                        int64_t now_us, lt_limit_actions_t *actions);
/** Serves held asks whose turn it is; SHARE was filled.  */
void lt_limit_lend_held (lt_limit_share_t *share, int64_t batch_us,
                         int64_t now_us, lt_limit_actions_t *actions);
/** The same, and denies those that were held too long.  */
void lt_limit_lend_tick (lt_limit_share_t *share, int64_t batch_us,
                         int64_t now_us, lt_limit_actions_t *actions);

#endif
