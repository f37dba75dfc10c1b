/** @file
    Quarantine of requests that crash the upstreams that run them.  When an
    upstream ends the connection of a request before its response is complete,
    this counts as a loss of the upstream, and requests with the same
    fingerprint are suspect.  After losses of two different upstreams the
    fingerprint is quarantined: such requests are refused for a time that
    doubles with each quarantine.  VMs exchange notices of losses and
    quarantines.  */
#ifndef LT_POLICY_QUARANTINE_H
#define LT_POLICY_QUARANTINE_H

#include "lt/base/hash.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct lt_quarantine lt_quarantine_t;

  typedef struct lt_quarantine_options
  {
    int losses_max; /**< Lost upstreams that cause a quarantine, at most
                       LT_QUARANTINE_LOSSES_MAX. */
    /** The same for a fingerprint that had a response within the last
        response_memory_us: since the request has run without a crash, its
        upstreams more likely crashed for another reason.  */
    int losses_after_response_max;
    int64_t response_memory_us;
    /** A VM on which the request had a response this recently objects to a
        quarantine, which then ends on all VMs; 0: never.  Where losses go to a
        few VMs, those do not see that a frequent request has responses.  */
    int64_t objection_us;
    /** Time in which a notice reaches all VMs.  After a loss, a retry and the
        reply to the caller are delayed by it.  Otherwise a caller that repeats
        the request at once through other VMs would outrun the notices.  */
    int64_t notice_delay_us;
    int64_t first_length_us; /**< Length of the first quarantine. */
    int64_t length_max_us;   /**< Maximum length of a quarantine. */
    int64_t suspicion_us;    /**< How long a fingerprint stays suspect. */
    int64_t probation_us;    /**< Probation after a quarantine, after which
                                the doubling starts anew. */
    /** Each VM ends a quarantine at a different time within this period, so
        that a single VM tries the request first.  */
    int64_t end_jitter_us;
    /** Losses are sent to a few VMs only, which decide for all; otherwise to
        all VMs, and only one that saw a loss itself decides, so that one loss
        does not make every VM send notices.  */
    bool decides_for_others;
    int64_t trial_us;   /**< Time limit of a trial request on probation. */
    uint64_t vm_hash;   /**< Hash of the VM's name. */
    size_t entries_max; /**< Maximum number of tracked fingerprints. */
  } lt_quarantine_options_t;

#define LT_QUARANTINE_OPTIONS_DEFAULT                                         \
  ((lt_quarantine_options_t){ .losses_max = 2,                                \
                              .losses_after_response_max = 4,                 \
                              .response_memory_us = 30 * 1000000LL,           \
                              .objection_us = 0,                              \
                              .notice_delay_us = 60 * 1000LL,                 \
                              .first_length_us = 60 * 1000000LL,              \
                              .length_max_us = 600 * 1000000LL,               \
                              .suspicion_us = 60 * 1000000LL,                 \
                              .probation_us = 1800 * 1000000LL,               \
                              .end_jitter_us = 10 * 1000000LL,                \
                              .decides_for_others = false,                    \
                              .trial_us = 2 * 1000000LL,                      \
                              .vm_hash = 0,                                   \
                              .entries_max = 4096 })

#define LT_QUARANTINE_LOSSES_MAX 4

  /** Notice that VMs send each other (message 17).  Times are relative, since
      the clocks of VMs are not synchronised.  */
  typedef struct lt_quarantine_notice
  {
    lt_digest_t fingerprint;
    uint32_t level;       /**< Number of quarantines; 0: suspect only. */
    int64_t remaining_us; /**< Until the quarantine or suspicion ends. */
    bool cleared;         /**< The request got a response: not suspect.  With
                             a level: an objection to that quarantine. */
    uint32_t loss_count;
    uint64_t upstreams[LT_QUARANTINE_LOSSES_MAX]; /**< Hashes of the lost
                                                     upstreams. */
  } lt_quarantine_notice_t;

  typedef enum lt_quarantine_verdict
  {
    LT_QUARANTINE_CLEAN,
    LT_QUARANTINE_SUSPECT, /**< The request may run. */
    LT_QUARANTINE_REFUSED
  } lt_quarantine_verdict_t;

  typedef struct lt_quarantine_check_result
  {
    lt_quarantine_verdict_t verdict;
    int64_t retry_after_us; /**< Set if refused. */
  } lt_quarantine_check_result_t;

  /** Where a notice must be sent.  */
  typedef enum lt_quarantine_send
  {
    LT_QUARANTINE_SEND_NONE,
    LT_QUARANTINE_SEND_REPLY, /**< To the sender of the notice received. */
    LT_QUARANTINE_SEND_ALL
  } lt_quarantine_send_t;

  lt_quarantine_t *
  lt_quarantine_create (const lt_quarantine_options_t *options);
  void lt_quarantine_destroy (lt_quarantine_t *quarantine);
  /** Returns the fingerprint of a request.  PATH includes the query; BODY is
      the digest of the body.  */
  lt_digest_t lt_quarantine_fingerprint (str_t workspace, str_t route,
                                         str_t method, str_t path,
                                         const lt_digest_t *body);
  /** Checks whether a request may run.  To be called before every attempt,
      including retries.  During probation, only one request per trial_us gets
      LT_QUARANTINE_SUSPECT; the others are refused.  */
  lt_quarantine_check_result_t
  lt_quarantine_check (lt_quarantine_t *quarantine,
                       const lt_digest_t *fingerprint, int64_t now_us);
  /** Reports that UPSTREAM, a hash that differs for each start of an upstream,
      ended the connection before its response was complete.  Returns true if
      NOTICE must be sent.  */
  bool lt_quarantine_on_loss (lt_quarantine_t *quarantine,
                              const lt_digest_t *fingerprint,
                              uint64_t upstream, int64_t now_us,
                              lt_quarantine_notice_t *notice);
  /** Returns how long a retry or the reply to the caller must be delayed until
      the notice of this VM's last loss has reached all VMs; 0: no delay.  */
  int64_t lt_quarantine_notice_wait_us (const lt_quarantine_t *quarantine,
                                        const lt_digest_t *fingerprint,
                                        int64_t now_us);
  /** Reports that a request got a response header.  To be called for every
      request.  Returns true if NOTICE must be sent to all VMs.  */
  bool lt_quarantine_on_response (lt_quarantine_t *quarantine,
                                  const lt_digest_t *fingerprint,
                                  int64_t now_us,
                                  lt_quarantine_notice_t *notice);
  /** Merges a notice from another VM.  A VM on which the request recently got
      a response does not adopt a quarantine with fewer than
      losses_after_response_max losses.  If the merged losses caused a new
      quarantine (see decides_for_others), NOTICE must be sent to all VMs.  A
      VM that decides for others sends its quarantine to a VM that reports a
      loss because it does not know of it.  An objection (see objection_us) is
      sent to the VM that announced the quarantine, which tells all VMs.  */
  lt_quarantine_send_t
  lt_quarantine_on_notice (lt_quarantine_t *quarantine,
                           const lt_quarantine_notice_t *received,
                           int64_t now_us, lt_quarantine_notice_t *notice);
  /** Copies the quarantines in force to NOTICES, at most CAP, and returns
      their number.  */
  size_t lt_quarantine_list_active (const lt_quarantine_t *quarantine,
                                    int64_t now_us,
                                    lt_quarantine_notice_t *notices,
                                    size_t cap);
  /** Returns whether an upstream was already lost to FINGERPRINT.  A further
      reset then indicates a fault of the request rather than of the upstream.
   */
  bool lt_quarantine_has_losses (lt_quarantine_t *quarantine,
                                 const lt_digest_t *fingerprint,
                                 int64_t now_us);
  /** Removes expired entries.  */
  void lt_quarantine_expire (lt_quarantine_t *quarantine, int64_t now_us);
  /** Returns the number of fingerprints in quarantine at NOW_US.  */
  size_t lt_quarantine_active_count (const lt_quarantine_t *quarantine,
                                     int64_t now_us);
  /** Returns the number of tracked fingerprints.  */
  size_t lt_quarantine_entry_count (const lt_quarantine_t *quarantine);

#ifdef __cplusplus
}
#endif

#endif
