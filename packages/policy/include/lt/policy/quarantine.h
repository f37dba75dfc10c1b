/** @file
    Requests that crash the upstream that runs them.  A request whose
    connection is reset or closed before the response header is a suspect; when
    the same fingerprint has lost two different upstreams it is refused for a
    time that doubles with each repeat.  VMs share suspects and quarantines.
  */
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
    int losses_max; /**< Upstreams lost before quarantine, at most 4. */
    /** The same for a fingerprint that had a response within good_us: such a
        request has run without harm, so its upstreams more likely died of
        something else.  */
    int losses_good_max;
    int64_t good_us;
    /** Time in which a notice reaches all VMs.  A retry after a loss and the
        reply to the caller wait for it; else a caller that sends again at once
        through other VMs is faster than the notices.  */
    int64_t notice_us;
    int64_t first_us; /**< Length of the first quarantine. */
    int64_t longest_us;
    int64_t suspect_us; /**< A suspect is forgotten after this. */
    int64_t memory_us;  /**< The doubling is forgotten this long after the end
                           of a quarantine. */
    /** VMs end a quarantine at different times within this, so that one of
        them tries the request first.  */
    int64_t spread_us;
    int64_t trial_us; /**< Longest time of that try. */
    uint64_t vm;      /**< Hash of the VM's name. */
    size_t entries_max;
  } lt_quarantine_options_t;

#define LT_QUARANTINE_OPTIONS_DEFAULT                                         \
  ((lt_quarantine_options_t){ .losses_max = 2,                                \
                              .losses_good_max = 4,                           \
                              .good_us = 30 * 1000000LL,                      \
                              .notice_us = 60 * 1000LL,                       \
                              .first_us = 60 * 1000000LL,                     \
                              .longest_us = 600 * 1000000LL,                  \
                              .suspect_us = 60 * 1000000LL,                   \
                              .memory_us = 1800 * 1000000LL,                  \
                              .spread_us = 10 * 1000000LL,                    \
                              .trial_us = 2 * 1000000LL,                      \
                              .vm = 0,                                        \
                              .entries_max = 4096 })

#define LT_QUARANTINE_LOSSES_MAX 4

  /** What VMs tell each other (message 17).  Times are relative, because VMs
      share no clock.  */
  typedef struct lt_quarantine_notice
  {
    lt_digest_t fingerprint;
    uint32_t level;       /**< Quarantines so far; 0: suspect only. */
    int64_t remaining_us; /**< Of the quarantine, or of the suspicion. */
    bool cleared;         /**< The request got a response: not a suspect. */
    uint32_t loss_count;
    uint64_t upstreams[LT_QUARANTINE_LOSSES_MAX]; /**< Lost, by name hash. */
  } lt_quarantine_notice_t;

  typedef enum lt_quarantine_verdict
  {
    LT_QUARANTINE_CLEAN,
    LT_QUARANTINE_SUSPECT, /**< Runs. */
    LT_QUARANTINE_REFUSED
  } lt_quarantine_verdict_t;

  typedef struct lt_quarantine_check_result
  {
    lt_quarantine_verdict_t verdict;
    int64_t retry_after_us; /**< Of a refusal. */
  } lt_quarantine_check_result_t;

  lt_quarantine_t *
  lt_quarantine_create (const lt_quarantine_options_t *options);
  void lt_quarantine_destroy (lt_quarantine_t *quarantine);
  /** PATH is with the query.  */
  lt_digest_t lt_quarantine_fingerprint (str_t workspace, str_t route,
                                         str_t method, str_t path,
                                         const lt_digest_t *body);
  /** Asked before every attempt, also before retries.  After a quarantine, one
      caller at a time gets LT_QUARANTINE_SUSPECT.  */
  lt_quarantine_check_result_t
  lt_quarantine_check (lt_quarantine_t *quarantine,
                       const lt_digest_t *fingerprint, int64_t now_us);
  /** Reports that the connection to UPSTREAM (hash of its name) ended before
      the response header.  Returns true when NOTICE is to be sent to all
      VMs.  */
  bool lt_quarantine_on_loss (lt_quarantine_t *quarantine,
                              const lt_digest_t *fingerprint,
                              uint64_t upstream, int64_t now_us,
                              lt_quarantine_notice_t *notice);
  /** Returns how long a retry, or the reply to the caller, must wait for the
      notice of this VM's last loss; 0 for none.  */
  int64_t lt_quarantine_wait_us (const lt_quarantine_t *quarantine,
                                 const lt_digest_t *fingerprint,
                                 int64_t now_us);
  /** Reports a response header for a request; for every request.  Returns true
     when NOTICE is to be sent to all VMs.  */
  bool lt_quarantine_on_response (lt_quarantine_t *quarantine,
                                  const lt_digest_t *fingerprint,
                                  int64_t now_us,
                                  lt_quarantine_notice_t *notice);
  /** Merges what another VM sent.  A VM that saw the request run without harm
      does not join a quarantine below losses_good_max.  Returns true when the
      merge quarantined a request that neither VM had quarantined; NOTICE is
      then to be sent to all VMs.  Only a VM with a loss of its own judges, so
      that one loss does not make every VM send notices.  */
  bool lt_quarantine_on_notice (lt_quarantine_t *quarantine,
                                const lt_quarantine_notice_t *received,
                                int64_t now_us,
                                lt_quarantine_notice_t *notice);
  /** Returns whether FINGERPRINT has lost an upstream already: a further reset
      then says more about the request than about the upstream.  */
  bool lt_quarantine_has_losses (lt_quarantine_t *quarantine,
                                 const lt_digest_t *fingerprint,
                                 int64_t now_us);
  /** Drops entries whose time is over.  */
  void lt_quarantine_tick (lt_quarantine_t *quarantine, int64_t now_us);
  /** Number of fingerprints refused at NOW_US.  */
  size_t lt_quarantine_active (const lt_quarantine_t *quarantine,
                               int64_t now_us);
  size_t lt_quarantine_entries (const lt_quarantine_t *quarantine);

#ifdef __cplusplus
}
#endif

#endif
