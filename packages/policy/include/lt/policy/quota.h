/** @file
    Fleet-wide rates in two levels, without a record in a store.  Each of the N
    VMs that are known has the right to 1/N of every rate and burst.  It lends
    that right to the home of its failure domain, which admits for its members
    from one token bucket; the homes lend theirs to a parent, which deals most
    of the sum out by demand and keeps a reserve for peaks.  What is lent is
   not used by its owner until the loan has ended for both sides, so the parts
   never add up to more than the whole, whoever is cut off.  A VM that reaches
   nobody has its own 1/N.  */
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

#define LT_QUOTA_WHOLE_PPM 1000000

  /** Times that all VMs must agree on.  Several reports fit into a loan; it is
      short, because a VM that is cut off waits for its end.  */
  typedef struct lt_quota_times
  {
    int64_t member_us; /**< Loan of a VM to its home. */
    int64_t share_us;  /**< Loan of a home to the parent. */
    int64_t quiet_us;  /**< A home silent this long gets no part of others. */
    int64_t demand_us; /**< Time constant of the measured demand. */
    /** A part that comes within start_us of a bucket's start brings this share
        of its burst along: the fleet was away for some tenths of a second at
        least, and the predecessor's use is not known.  */
    int64_t start_us;
    double start_share;
    int64_t report_us; /**< Between two reports of a home to the parent. */
    /** The same when what the home has to lend has changed: its shares hold
        for a whole report_us, so a fleet that starts would be kept to the few
        VMs that were there first.  */
    int64_t report_changed_us;
  } lt_quota_times_t;

#define LT_QUOTA_TIMES_DEFAULT                                                \
  ((lt_quota_times_t){ .member_us = 2 * 1000 * 1000,                          \
                       .share_us = 3 * 1000 * 1000,                           \
                       .quiet_us = 1600 * 1000,                               \
                       .demand_us = 2 * 1000 * 1000,                          \
                       .start_us = 3 * 1000 * 1000,                           \
                       .start_share = 0.25,                                   \
                       .report_us = 1000 * 1000,                              \
                       .report_changed_us = 100 * 1000 })

  /** Rate and burst of one workspace.  */
  typedef struct lt_quota_rate
  {
    uint64_t workspace;
    int64_t rate_milli_per_s;
    int64_t burst;
  } lt_quota_rate_t;

  /** Buckets of one admitting place: a home, or a VM on its own.  */
  typedef struct lt_quota_buckets lt_quota_buckets_t;

  lt_quota_buckets_t *lt_quota_buckets_create (const lt_quota_times_t *times,
                                               struct lt_rng *rng);
  void lt_quota_buckets_destroy (lt_quota_buckets_t *buckets);
  void lt_quota_buckets_configure (lt_quota_buckets_t *buckets,
                                   const lt_quota_rate_t *rates,
                                   uint32_t count, int64_t now_us);
  /** Every workspace has PPM of the whole from now on.  */
  void lt_quota_buckets_set_all (lt_quota_buckets_t *buckets, uint32_t ppm,
                                 int64_t now_us);
  void lt_quota_buckets_set (lt_quota_buckets_t *buckets, uint64_t workspace,
                             uint32_t ppm, int64_t now_us);
  /** Empties all buckets.  */
  void lt_quota_buckets_empty (lt_quota_buckets_t *buckets, int64_t now_us);
  /** Takes one token.  Returns false when there is none; the demand is counted
      once, with FIRST.  A workspace that is not configured has no tokens.  */
  bool lt_quota_buckets_take (lt_quota_buckets_t *buckets, uint64_t workspace,
                              bool first, int64_t now_us);

  /** One row of a table of shares.  */
  typedef struct lt_quota_share
  {
    uint64_t workspace;
    uint64_t demand_milli; /**< Requests in 1,000 s. */
    uint32_t ppm;
  } lt_quota_share_t;

  /** Writes at most CAP rows and returns their number.  */
  uint32_t lt_quota_buckets_report (lt_quota_buckets_t *buckets,
                                    lt_quota_share_t *rows, uint32_t cap,
                                    int64_t now_us);

  /** VMs that have lent their right to this home.  */
  typedef struct lt_quota_members lt_quota_members_t;

  lt_quota_members_t *lt_quota_members_create (const lt_quota_times_t *times);
  void lt_quota_members_destroy (lt_quota_members_t *members);
  /** VM has heard from this home at HEARD_US of this home's clock; 0: it has
      lent nothing, or takes back what it lent.  */
  void lt_quota_members_note (lt_quota_members_t *members, uint64_t vm,
                              int64_t heard_us, int64_t now_us);
  /** Counts the loans that hold, without this VM's own.  */
  uint32_t lt_quota_members_count (lt_quota_members_t *members,
                                   int64_t now_us);

  /** What a home told the parent last.  */
  typedef struct lt_quota_reported
  {
    int64_t sent_us;
    uint32_t members;
    bool lent; /**< The parent's clock was known, so the report was a loan. */
  } lt_quota_reported_t;

  /** Returns whether a home with MEMBERS reports again.  */
  bool lt_quota_report_is_due (const lt_quota_times_t *times,
                               const lt_quota_reported_t *last,
                               uint32_t members, bool lent, int64_t now_us);

  /** The parent: deals out what the homes have lent it.  */
  typedef struct lt_quota_parent lt_quota_parent_t;

  typedef struct lt_quota_report
  {
    uint64_t home;    /**< Hash of the home's VM id. */
    uint32_t members; /**< VMs that the home speaks for. */
    uint32_t vms;     /**< VMs of the fleet that it knows. */
    int64_t heard_us; /**< Parent's clock in the last shares it had; 0. */
    uint64_t serial;  /**< Of the shares in use. */
    const lt_quota_share_t *rows;
    uint32_t count;
  } lt_quota_report_t;

  lt_quota_parent_t *lt_quota_parent_create (const lt_quota_times_t *times);
  void lt_quota_parent_destroy (lt_quota_parent_t *parent);
  /** Takes a report and writes the home's new shares, one per row of the
      report, into ROWS.  A report without members takes back what the home has
      lent and has no rows.  Returns the serial of these shares.  VMS is the
     number of VMs that the parent knows.  */
  uint64_t lt_quota_parent_report (lt_quota_parent_t *parent,
                                   const lt_quota_report_t *report,
                                   uint32_t vms, lt_quota_share_t *rows,
                                   int64_t now_us);

  /** Returns the part of the whole that the parent keeps as a reserve.  */
  uint32_t lt_quota_parent_reserve_ppm (lt_quota_parent_t *parent,
                                        uint32_t vms, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
