#include <stdlib.h>
#include <uthash.h>

#include "lt/base/str.h"
#include "lt/policy/quota.h"

/* Weight of demand in a home's share.  The rest of the weight is on the home's
   number of VMs, so that a failure domain whose demand has just begun is not
   left without tokens.  */
#define DEMAND_WEIGHT 0.8
/* Ratio of the leased allocations that the parent keeps and lends to homes one
   request at a time, because peaks of the failure domains seldom coincide.  */
#define RESERVE_RATIO 0.4

typedef struct member
{
  UT_hash_handle hh;
  uint64_t vm; /* Hash of the VM's id. */
  int64_t lease_until_us;
} member_t;

struct lt_quota_members
{
  lt_quota_times_t times;
  member_t *members;
};

lt_quota_members_t *
lt_quota_members_create (const lt_quota_times_t *times)
{
  lt_quota_members_t *members = lt_alloc (sizeof (*members));
  members->times = *times;
  return members;
}

void
lt_quota_members_clear (lt_quota_members_t *members)
{
  member_t *member;
  member_t *next;
  HASH_ITER (hh, members->members, member, next)
  {
    HASH_DEL (members->members, member); /* NOLINT(clang-analyzer-*) */
    free (member);
  }
}

void
lt_quota_members_destroy (lt_quota_members_t *members)
{
  if (members == NULL)
    return;
  lt_quota_members_clear (members);
  free (members);
}

void
lt_quota_members_renew (lt_quota_members_t *members, uint64_t vm,
                        int64_t echoed_us, int64_t now_us)
{
  int64_t lease_until_us = echoed_us + members->times.home_lease_us;
  member_t *member;
  HASH_FIND (hh, members->members, &vm, sizeof (vm), member);
  if (echoed_us == 0 && member != NULL)
    {
      HASH_DEL (members->members, member); /* NOLINT(clang-analyzer-*) */
      free (member);
      return;
    }
  /* A delayed message must not renew a lease that has already expired.  */
  if (echoed_us <= 0 || echoed_us > now_us || lease_until_us <= now_us)
    return;
  if (member == NULL)
    {
      member = lt_alloc (sizeof (*member));
      member->vm = vm;
      HASH_ADD (hh, members->members, vm, sizeof (vm), member);
    }
  if (lease_until_us > member->lease_until_us)
    member->lease_until_us = lease_until_us;
}

uint32_t
lt_quota_members_count (lt_quota_members_t *members, int64_t now_us)
{
  member_t *member;
  member_t *next;
  HASH_ITER (hh, members->members, member, next)
  {
    if (member->lease_until_us > now_us)
      continue;
    HASH_DEL (members->members, member); /* NOLINT(clang-analyzer-*) */
    free (member);
  }
  return HASH_COUNT (members->members); /* NOLINT(clang-analyzer-*) */
}

bool
lt_quota_report_is_due (const lt_quota_times_t *times,
                        const lt_quota_last_report_t *last, uint32_t members,
                        bool lent, int64_t now_us)
{
  if (members == 0)
    return false;
  bool changed = members != last->members || lent != last->leased;
  return now_us - last->sent_us >= (changed ? times->changed_report_interval_us
                                            : times->report_interval_us);
}

/* Demand and share of one workspace at one home.  */
typedef struct allocation
{
  UT_hash_handle hh;
  uint64_t workspace;
  uint64_t demand_milli;
  uint32_t used_ppm; /* Share in the home's last report. */
  uint32_t sent_ppm; /* Share in the last response to it. */
} allocation_t;

typedef struct home
{
  UT_hash_handle hh;
  uint64_t id;
  uint32_t members;
  uint64_t sent_serial; /* Serial of the last shares sent. */
  uint64_t used_serial; /* Serial of the shares that it uses. */
  int64_t reported_us;  /* Arrival of its last report. */
  int64_t lease_until_us;
  allocation_t *allocations;
} home_t;

struct lt_quota_parent
{
  lt_quota_times_t times;
  home_t *homes;
  uint64_t serial;
};

lt_quota_parent_t *
lt_quota_parent_create (const lt_quota_times_t *times)
{
  lt_quota_parent_t *parent = lt_alloc (sizeof (*parent));
  parent->times = *times;
  return parent;
}

static void
home_destroy (lt_quota_parent_t *parent, home_t *home)
{
  allocation_t *allocation;
  allocation_t *next;
  HASH_ITER (hh, home->allocations, allocation, next)
  {
    HASH_DEL (home->allocations, allocation); /* NOLINT(clang-analyzer-*) */
    free (allocation);
  }
  HASH_DEL (parent->homes, home); /* NOLINT(clang-analyzer-*) */
  free (home);
}

void
lt_quota_parent_destroy (lt_quota_parent_t *parent)
{
  if (parent == NULL)
    return;
  home_t *home;
  home_t *next;
  HASH_ITER (hh, parent->homes, home, next) { home_destroy (parent, home); }
  free (parent);
}

static void
remove_home (lt_quota_parent_t *parent, uint64_t id)
{
  home_t *home;
  HASH_FIND (hh, parent->homes, &id, sizeof (id), home); /* NOLINT(*) */
  if (home != NULL)
    home_destroy (parent, home);
}

static allocation_t *
allocation_of (home_t *home, uint64_t workspace, bool create)
{
  allocation_t *allocation;
  HASH_FIND (hh, home->allocations, &workspace, sizeof (workspace),
             allocation);
  if (allocation != NULL || !create)
    return allocation;
  allocation = lt_alloc (sizeof (*allocation));
  allocation->workspace = workspace;
  HASH_ADD (hh, home->allocations, workspace, sizeof (workspace), allocation);
  return allocation;
}

static void
remove_expired_homes (lt_quota_parent_t *parent, int64_t now_us)
{
  home_t *home;
  home_t *next;
  HASH_ITER (hh, parent->homes, home, next)
  {
    if (home->lease_until_us <= now_us
        && now_us - home->reported_us > parent->times.parent_lease_us)
      home_destroy (parent, home);
  }
}

static home_t *
apply_report (lt_quota_parent_t *parent, const lt_quota_report_t *report,
              int64_t now_us)
{
  home_t *home;
  HASH_FIND (hh, parent->homes, &report->home, sizeof (report->home), home);
  if (home == NULL)
    {
      home = lt_alloc (sizeof (*home));
      home->id = report->home;
      HASH_ADD (hh, parent->homes, id, sizeof (home->id), home);
    }
  int64_t lease_until_us = report->echoed_us + parent->times.parent_lease_us;
  home->members = report->members;
  home->reported_us = now_us;
  home->used_serial = report->serial;
  if (report->echoed_us > 0 && report->echoed_us <= now_us
      && lease_until_us > home->lease_until_us)
    home->lease_until_us = lease_until_us;
  for (uint32_t i = 0; i < report->count; i++)
    {
      allocation_t *allocation
          = allocation_of (home, report->rows[i].workspace, true);
      allocation->demand_milli = report->rows[i].demand_milli;
      allocation->used_ppm = report->rows[i].ppm;
    }
  return home;
}

/* Returns whether the allocation of HOME can be assigned to others.  A home
   without a recent report may be about to use its own allocation again.  */
static bool
is_leased (const lt_quota_parent_t *parent, const home_t *home, int64_t now_us)
{
  return home->lease_until_us > now_us
         && now_us - home->reported_us <= parent->times.report_timeout_us;
}

/* Upper bound of the share that HOME uses.  Until the home confirms the last
   shares sent, this is the larger of its reported and its sent share.  */
static uint32_t
possibly_used_ppm (home_t *home, uint64_t workspace)
{
  const allocation_t *allocation = allocation_of (home, workspace, false);
  if (allocation == NULL)
    return 0;
  if (home->used_serial == home->sent_serial
      || allocation->used_ppm > allocation->sent_ppm)
    return allocation->used_ppm;
  return allocation->sent_ppm;
}

/* Returns the new share of WORKSPACE, in parts per million, for the home TO.
   The share is limited to what no other home may still be using.  */
static uint32_t
compute_share (lt_quota_parent_t *parent, home_t *to, uint64_t workspace,
               uint32_t vms, int64_t now_us)
{
  double members = 0;
  double demand = 0;
  double used_by_others = 0;
  for (home_t *home = parent->homes; home != NULL; home = home->hh.next)
    {
      if (home != to)
        used_by_others += possibly_used_ppm (home, workspace);
      if (!is_leased (parent, home, now_us))
        continue;
      const allocation_t *allocation = allocation_of (home, workspace, false);
      members += home->members;
      demand += allocation == NULL ? 0 : (double)allocation->demand_milli;
    }
  const allocation_t *allocation = allocation_of (to, workspace, true);
  /* A home whose lease to this parent has not begun keeps the share that it
     uses: its own allocation, or the share from the previous parent.  */
  if (!is_leased (parent, to, now_us) || members == 0)
    return allocation->used_ppm;
  double pool = members / vms * LT_QUOTA_WHOLE_PPM;
  if (pool > LT_QUOTA_WHOLE_PPM)
    pool = LT_QUOTA_WHOLE_PPM;
  pool *= 1 - RESERVE_RATIO;
  double by_members = to->members / members;
  double by_demand
      = demand > 0 ? (double)allocation->demand_milli / demand : by_members;
  double share
      = pool * (DEMAND_WEIGHT * by_demand + (1 - DEMAND_WEIGHT) * by_members);
  if (share > pool - used_by_others)
    share = pool - used_by_others;
  return share > 0 ? (uint32_t)share : 0;
}

uint32_t
lt_quota_parent_reserve_ppm (lt_quota_parent_t *parent, uint32_t vms,
                             int64_t now_us)
{
  double members = 0;
  for (home_t *home = parent->homes; home != NULL; home = home->hh.next)
    if (is_leased (parent, home, now_us))
      members += home->members;
  double leased = members / vms < 1 ? members / vms : 1;
  return (uint32_t)(leased * RESERVE_RATIO * LT_QUOTA_WHOLE_PPM);
}

uint64_t
lt_quota_parent_report (lt_quota_parent_t *parent,
                        const lt_quota_report_t *report, uint32_t vms,
                        lt_quota_share_t *rows, int64_t now_us)
{
  remove_expired_homes (parent, now_us);
  if (report->members == 0)
    {
      remove_home (parent, report->home);
      return ++parent->serial;
    }
  home_t *home = apply_report (parent, report, now_us);
  if (vms < report->vms)
    vms = report->vms;
  home->sent_serial = ++parent->serial;
  for (uint32_t i = 0; i < report->count; i++)
    {
      uint64_t workspace = report->rows[i].workspace;
      uint32_t ppm = compute_share (parent, home, workspace, vms, now_us);
      allocation_of (home, workspace, true)->sent_ppm = ppm;
      rows[i] = (lt_quota_share_t){ .workspace = workspace, .ppm = ppm };
    }
  return home->sent_serial;
}
