/** @file
    Which VMs of a failure domain read the registry for the others.  The VM
    with the lowest id reads and reports to the others, which start to read
    when its reports become too old, the next ids first.  Several VMs may read
    at a time: records carry versions, so nothing depends on a single
    reader.

    Reports carry times of the sender's clock.  The receiver takes the shortest
    time that a report seemed to need as the difference of the clocks; a report
    that was held up on the way then counts as old.  */
#ifndef LT_POLICY_RELAY_H
#define LT_POLICY_RELAY_H

#include "lt/base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

/** Maximum number of other VMs of a failure domain that are considered.  */
#define LT_RELAY_PEERS_MAX 256

  typedef struct lt_relay lt_relay_t;

  typedef struct lt_relay_options
  {
    int64_t fresh_us; /**< Knowledge of the registry is fresh for this long
                         after the registry responded. */
    int64_t step_us;  /**< Further wait for each VM that is to read before. */
    uint32_t steps_max;
    uint32_t fast_retries; /**< This many VMs repeat failed calls quickly. */
    int64_t outage_us; /**< If no VM got a response for this long, the registry
                          was unavailable. */
  } lt_relay_options_t;

  /** Returns options for registries of which leaving upstreams must be known
      within LEAVE_US: fresh_us, all steps and a read fit into it.  */
  lt_relay_options_t lt_relay_options_for (int64_t leave_us);

  /** State of the registry at the sender.  Times are of its clock.  */
  typedef struct lt_relay_report
  {
    int64_t sent_us;
    int64_t verified_us; /**< When the registry had last responded to the calls
                            for every kind of record. */
    bool serving; /**< The sender reads for others; false: its calls fail, or
                     it is about to stop. */
    uint64_t incarnation; /**< Of the sender. */
  } lt_relay_report_t;

  /** OWN_ID is copied.  */
  lt_relay_t *lt_relay_create (const lt_relay_options_t *options, str_t own_id,
                               int64_t now_us);
  void lt_relay_destroy (lt_relay_t *relay);

  /** Sets the other VMs of the failure domain to which a connection is open.
      KNOWN counts those without one as well.  Not called before the list of
      VMs is complete.  */
  void lt_relay_set_peers (lt_relay_t *relay, const str_t *ids, size_t count,
                           size_t known);
  /** Takes a report and returns the time on this VM's clock at which the
      registry responded to the sender; 0: unknown, as it does not serve.  */
  int64_t lt_relay_on_report (lt_relay_t *relay, str_t vm_id,
                              const lt_relay_report_t *report, int64_t now_us);
  /** The registry has responded to this VM; VERIFIED_US as in a report, on
      this VM's clock.  Returns whether it had been unavailable (see
      outage_us).  */
  bool lt_relay_on_response (lt_relay_t *relay, int64_t verified_us,
                             int64_t now_us);
  void lt_relay_on_failure (lt_relay_t *relay);
  /** Returns whether the registry has responded to any VM since the calls of
      this VM began to fail at FAILING_SINCE_US: it was not unavailable
      then.  */
  bool lt_relay_failed_alone (const lt_relay_t *relay,
                              int64_t failing_since_us);

  /** Decides whether this VM reads the registry now.  */
  bool lt_relay_reads (lt_relay_t *relay, int64_t now_us);
  /** Returns whether this VM repeats failed calls quickly: a few VMs suffice
      to notice that the registry is back.  */
  bool lt_relay_retries_fast (const lt_relay_t *relay);
  /** Returns whether other VMs of the failure domain are known.  */
  bool lt_relay_has_peers (const lt_relay_t *relay);

#ifdef __cplusplus
}
#endif

#endif
