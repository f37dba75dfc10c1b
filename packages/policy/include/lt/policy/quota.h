/** @file
    Fleet-wide rate limits in two levels, without a record in a store.  Each of
    the N known VMs owns an allocation of 1/N of every rate and burst.  It
    leases this allocation to the home of its failure domain: one VM, which
    admits requests for all VMs of the domain (its members) from one token
    bucket per workspace.  The homes in turn lease their allocations to the
    parent: one VM of the fleet, which assigns most of the sum to the homes in
    proportion to demand and keeps the rest as a reserve, from which homes
    borrow single tokens at peaks.  An owner does not use a leased allocation
    until the lease has expired for both sides, so under any partition the
    allocations never add up to more than the full rate.  A VM that reaches no
    other VM uses its own 1/N.  */
#ifndef LT_POLICY_QUOTA_H
#define LT_POLICY_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  struct lt_rng;

/** The full rate and burst of a workspace.  */
#define LT_QUOTA_WHOLE_PPM 1000000

  /** Times that must be the same on all VMs.  A lease is long enough for
      several reports, so that a lost one does not end it, and short, because a
      VM that is cut off has to wait until its lease expires.  */
  typedef struct lt_quota_times
  {
    int64_t home_lease_us; /**< Lease of a VM's allocation to its home. */
    /** Lease of a home's allocation to the parent; also how long the shares in
        the parent's response are valid.  */
    int64_t parent_lease_us;
    /** The allocation of a home that has not reported for this long is not
        assigned to others any more, although its lease has not expired.  */
    int64_t report_timeout_us;
    int64_t demand_tau_us; /**< Time constant of the demand average. */
    /** When a bucket's share grows within startup_us of the bucket's creation,
        the bucket receives this ratio of the added burst as tokens.  It is
        neither 0 nor 1 because the fleet admitted nothing for at least some
        tenths of a second, but how many tokens the previous processes had
        spent is unknown.  */
    int64_t startup_us;
    double startup_burst_ratio;
    int64_t report_interval_us; /**< Of a home's reports to the parent. */
    /** Interval when the number of leased allocations has changed since the
        last report.  Shares stay in force until the next report, so without a
        shorter interval a starting fleet would be limited for a whole
        report_interval_us to the allocations of its first few VMs.  */
    int64_t changed_report_interval_us;
  } lt_quota_times_t;

#define LT_QUOTA_TIMES_DEFAULT                                                \
  ((lt_quota_times_t){ .home_lease_us = 2 * 1000 * 1000,                      \
                       .parent_lease_us = 3 * 1000 * 1000,                    \
                       .report_timeout_us = 1600 * 1000,                      \
                       .demand_tau_us = 2 * 1000 * 1000,                      \
                       .startup_us = 3 * 1000 * 1000,                         \
                       .startup_burst_ratio = 0.25,                           \
                       .report_interval_us = 1000 * 1000,                     \
                       .changed_report_interval_us = 100 * 1000 })

  /** What a VM that waits for a token knows of its home.  */
  typedef enum lt_quota_phase
  {
    LT_QUOTA_SERVED, /**< It has a home that responds. */
    LT_QUOTA_NO_HOME,
    /** It started lately.  VMs that start together meet the requests that
        callers sent while they were away, and the tokens for these come over
        the next second.  */
    LT_QUOTA_STARTING
  } lt_quota_phase_t;

  /** Returns how long a request waits for a token that it was not granted at
      once, if TIME_LEFT_US remain until its deadline.  */
  int64_t lt_quota_token_wait_us (lt_quota_phase_t phase,
                                  int64_t time_left_us);

  /** Rate and burst of one workspace.  */
  typedef struct lt_quota_rate
  {
    uint64_t workspace;
    int64_t rate_milli_per_s;
    int64_t burst;
  } lt_quota_rate_t;

  /** Token buckets, one per workspace, of a home, of the parent's reserve, or
      of a VM that reaches no home.  */
  typedef struct lt_quota_buckets lt_quota_buckets_t;

  /** Creates an empty set of buckets.  RNG must outlive it.  */
  lt_quota_buckets_t *lt_quota_buckets_create (const lt_quota_times_t *times,
                                               struct lt_rng *rng);
  void lt_quota_buckets_destroy (lt_quota_buckets_t *buckets);
  /** Sets the rates of all workspaces.  Buckets of known workspaces keep their
      tokens up to the new burst; those of other workspaces are removed.  */
  void lt_quota_buckets_configure (lt_quota_buckets_t *buckets,
                                   const lt_quota_rate_t *rates,
                                   uint32_t count, int64_t now_us);
  /** Sets the share of every workspace, also of those that are configured
      later, to PPM parts per million of its rate and burst.  */
  void lt_quota_buckets_set_all (lt_quota_buckets_t *buckets, uint32_t ppm,
                                 int64_t now_us);
  /** Sets the share of WORKSPACE; unknown workspaces are ignored.  */
  void lt_quota_buckets_set (lt_quota_buckets_t *buckets, uint64_t workspace,
                             uint32_t ppm, int64_t now_us);
  /** Removes the tokens of all buckets.  */
  void lt_quota_buckets_empty (lt_quota_buckets_t *buckets, int64_t now_us);
  /** Takes one token.  Returns false when there is none or WORKSPACE is not
      configured.  FIRST is true for the first attempt of a request, which
      counts as demand; repeated attempts do not.  */
  bool lt_quota_buckets_take (lt_quota_buckets_t *buckets, uint64_t workspace,
                              bool first, int64_t now_us);

  /** Demand and share of one workspace at one home.  */
  typedef struct lt_quota_share
  {
    uint64_t workspace;
    uint64_t demand_milli; /**< Requests per 1,000 s. */
    uint32_t ppm;          /**< Of the workspace's rate and burst. */
  } lt_quota_share_t;

  /** Writes the demand and share of up to CAP workspaces into ROWS and returns
      the number of rows.  */
  uint32_t lt_quota_buckets_report (lt_quota_buckets_t *buckets,
                                    lt_quota_share_t *rows, uint32_t cap,
                                    int64_t now_us);

  /** VMs that lease their allocation to this home.  */
  typedef struct lt_quota_members lt_quota_members_t;

  lt_quota_members_t *lt_quota_members_create (const lt_quota_times_t *times);
  void lt_quota_members_destroy (lt_quota_members_t *members);
  /** Renews the lease of VM, a hash of the VM's id.  ECHOED_US is this home's
      clock in the latest message that VM received from it, as VM returns it;
      the lease runs from that time.  0: VM has no lease, or ends it.  */
  void lt_quota_members_renew (lt_quota_members_t *members, uint64_t vm,
                               int64_t echoed_us, int64_t now_us);
  /** Ends all leases.  */
  void lt_quota_members_clear (lt_quota_members_t *members);
  /** Returns the number of unexpired leases, without this VM's own
      allocation.  */
  uint32_t lt_quota_members_count (lt_quota_members_t *members,
                                   int64_t now_us);

  /** A home's last report to the parent.  */
  typedef struct lt_quota_last_report
  {
    int64_t sent_us;
    uint32_t members;
    bool leased; /**< The report contained the parent's clock, so it leased the
                  home's allocation. */
  } lt_quota_last_report_t;

  /** Returns whether a home with MEMBERS allocations sends its next report
      now.  LENT says whether that report would be a lease.  */
  bool lt_quota_report_is_due (const lt_quota_times_t *times,
                               const lt_quota_last_report_t *last,
                               uint32_t members, bool lent, int64_t now_us);

  /** The parent: assigns shares of the allocations that homes lease to it.  */
  typedef struct lt_quota_parent lt_quota_parent_t;

  /** A home's report to the parent.  */
  typedef struct lt_quota_report
  {
    uint64_t home;     /**< Hash of the home's VM id. */
    uint32_t members;  /**< VMs whose allocations the home leases to the
                            parent, with its own; 0 ends the lease. */
    uint32_t vms;      /**< Size of the fleet as known to the home. */
    int64_t echoed_us; /**< Parent's clock in the last response that the home
                           received; 0: none. */
    uint64_t serial;   /**< Serial of the shares that the home uses. */
    const lt_quota_share_t *rows;
    uint32_t count;
  } lt_quota_report_t;

  lt_quota_parent_t *lt_quota_parent_create (const lt_quota_times_t *times);
  void lt_quota_parent_destroy (lt_quota_parent_t *parent);
  /** Applies REPORT and writes the home's new shares, one per row of the
      report, into ROWS.  A report with 0 members ends the home's lease and has
      no rows.  VMS is the size of the fleet as known to the parent.  Returns
      the serial of the new shares.  */
  uint64_t lt_quota_parent_report (lt_quota_parent_t *parent,
                                   const lt_quota_report_t *report,
                                   uint32_t vms, lt_quota_share_t *rows,
                                   int64_t now_us);

  /** Returns the parts per million of every rate that the parent keeps as a
      reserve.  */
  uint32_t lt_quota_parent_reserve_ppm (lt_quota_parent_t *parent,
                                        uint32_t vms, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
