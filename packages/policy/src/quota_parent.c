#include <stdlib.h>
#include <uthash.h>

#include "lt/base/str.h"
#include "lt/policy/quota.h"

/* Part of a share that follows the demand; the rest follows the number of VMs,
   so that a domain whose demand begins is not without.  */
#define BY_DEMAND 0.8
/* Part that the parent lends request by request: peaks of the domains seldom
   coincide.  */
#define RESERVE 0.4

typedef struct member
{
  UT_hash_handle hh;
  uint64_t vm;
  int64_t until_us;
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
lt_quota_members_destroy (lt_quota_members_t *members)
{
  if (members == NULL)
    return;
  member_t *member;
  member_t *next;
  HASH_ITER (hh, members->members, member, next)
  {
    HASH_DEL (members->members, member); /* NOLINT(clang-analyzer-*) */
    free (member);
  }
  free (members);
}

void
lt_quota_members_note (lt_quota_members_t *members, uint64_t vm,
                       int64_t heard_us, int64_t now_us)
{
  int64_t until_us = heard_us + members->times.member_us;
  member_t *member;
  HASH_FIND (hh, members->members, &vm, sizeof (vm), member);
  if (heard_us == 0 && member != NULL)
    {
      HASH_DEL (members->members, member); /* NOLINT(clang-analyzer-*) */
      free (member);
      return;
    }
  /* A message that was held up tells nothing of the present.  */
  if (heard_us <= 0 || heard_us > now_us || until_us <= now_us)
    return;
  if (member == NULL)
    {
      member = lt_alloc (sizeof (*member));
      member->vm = vm;
      HASH_ADD (hh, members->members, vm, sizeof (vm), member);
    }
  if (until_us > member->until_us)
    member->until_us = until_us;
}

uint32_t
lt_quota_members_count (lt_quota_members_t *members, int64_t now_us)
{
  member_t *member;
  member_t *next;
  HASH_ITER (hh, members->members, member, next)
  {
    if (member->until_us > now_us)
      continue;
    HASH_DEL (members->members, member); /* NOLINT(clang-analyzer-*) */
    free (member);
  }
  return HASH_COUNT (members->members); /* NOLINT(clang-analyzer-*) */
}

bool
lt_quota_report_is_due (const lt_quota_times_t *times,
                        const lt_quota_reported_t *last, uint32_t members,
                        bool lent, int64_t now_us)
{
  if (members == 0)
    return false;
  bool changed = members != last->members || lent != last->lent;
  return now_us - last->sent_us
         >= (changed ? times->report_changed_us : times->report_us);
}

/* One workspace at one home.  */
typedef struct holding
{
  UT_hash_handle hh;
  uint64_t workspace;
  uint64_t demand_milli;
  uint32_t used_ppm;  /* As last reported. */
  uint32_t given_ppm; /* In the last shares. */
} holding_t;

typedef struct home
{
  UT_hash_handle hh;
  uint64_t id;
  uint32_t members;
  uint64_t serial;  /* Of the last shares sent. */
  uint64_t acked;   /* Of the shares that it uses. */
  int64_t heard_us; /* Its last report. */
  int64_t until_us; /* Its loan to this parent holds. */
  holding_t *holdings;
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
  holding_t *holding;
  holding_t *next;
  HASH_ITER (hh, home->holdings, holding, next)
  {
    HASH_DEL (home->holdings, holding); /* NOLINT(clang-analyzer-*) */
    free (holding);
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
forget_home (lt_quota_parent_t *parent, uint64_t id)
{
  home_t *home;
  HASH_FIND (hh, parent->homes, &id, sizeof (id), home); /* NOLINT(*) */
  if (home != NULL)
    home_destroy (parent, home);
}

static holding_t *
holding_of (home_t *home, uint64_t workspace, bool create)
{
  holding_t *holding;
  HASH_FIND (hh, home->holdings, &workspace, sizeof (workspace), holding);
  if (holding != NULL || !create)
    return holding;
  holding = lt_alloc (sizeof (*holding));
  holding->workspace = workspace;
  HASH_ADD (hh, home->holdings, workspace, sizeof (workspace), holding);
  return holding;
}

static void
drop_ended (lt_quota_parent_t *parent, int64_t now_us)
{
  home_t *home;
  home_t *next;
  HASH_ITER (hh, parent->homes, home, next)
  {
    if (home->until_us <= now_us
        && now_us - home->heard_us > parent->times.share_us)
      home_destroy (parent, home);
  }
}

static home_t *
take_report (lt_quota_parent_t *parent, const lt_quota_report_t *report,
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
  int64_t until_us = report->heard_us + parent->times.share_us;
  home->members = report->members;
  home->heard_us = now_us;
  home->acked = report->serial;
  if (report->heard_us > 0 && report->heard_us <= now_us
      && until_us > home->until_us)
    home->until_us = until_us;
  for (uint32_t i = 0; i < report->count; i++)
    {
      holding_t *holding = holding_of (home, report->rows[i].workspace, true);
      holding->demand_milli = report->rows[i].demand_milli;
      holding->used_ppm = report->rows[i].ppm;
    }
  return home;
}

/* A home that has not been heard for a while may soon be on its own again.  */
static bool
is_lending (const lt_quota_parent_t *parent, const home_t *home,
            int64_t now_us)
{
  return home->until_us > now_us
         && now_us - home->heard_us <= parent->times.quiet_us;
}

/* What a home may be using: what it said, or what it was sent since.  */
static uint32_t
held_ppm (home_t *home, uint64_t workspace)
{
  const holding_t *holding = holding_of (home, workspace, false);
  if (holding == NULL)
    return 0;
  if (home->acked == home->serial || holding->used_ppm > holding->given_ppm)
    return holding->used_ppm;
  return holding->given_ppm;
}

static uint32_t
deal (lt_quota_parent_t *parent, home_t *to, uint64_t workspace, uint32_t vms,
      int64_t now_us)
{
  double members = 0;
  double demand = 0;
  double held = 0;
  for (home_t *home = parent->homes; home != NULL; home = home->hh.next)
    {
      if (home != to)
        held += held_ppm (home, workspace);
      if (!is_lending (parent, home, now_us))
        continue;
      const holding_t *holding = holding_of (home, workspace, false);
      members += home->members;
      demand += holding == NULL ? 0 : (double)holding->demand_milli;
    }
  const holding_t *holding = holding_of (to, workspace, true);
  /* A home that is new here goes on with what it has: its own part, or the
     shares of the parent before.  */
  if (!is_lending (parent, to, now_us) || members == 0)
    return holding->used_ppm;
  double pool = members / vms * LT_QUOTA_WHOLE_PPM;
  if (pool > LT_QUOTA_WHOLE_PPM)
    pool = LT_QUOTA_WHOLE_PPM;
  pool *= 1 - RESERVE;
  double by_members = to->members / members;
  double by_demand
      = demand > 0 ? (double)holding->demand_milli / demand : by_members;
  double part = pool * (BY_DEMAND * by_demand + (1 - BY_DEMAND) * by_members);
  if (part > pool - held)
    part = pool - held;
  return part > 0 ? (uint32_t)part : 0;
}

uint32_t
lt_quota_parent_reserve_ppm (lt_quota_parent_t *parent, uint32_t vms,
                             int64_t now_us)
{
  double members = 0;
  for (home_t *home = parent->homes; home != NULL; home = home->hh.next)
    if (is_lending (parent, home, now_us))
      members += home->members;
  double part = members / vms < 1 ? members / vms : 1;
  return (uint32_t)(part * RESERVE * LT_QUOTA_WHOLE_PPM);
}

uint64_t
lt_quota_parent_report (lt_quota_parent_t *parent,
                        const lt_quota_report_t *report, uint32_t vms,
                        lt_quota_share_t *rows, int64_t now_us)
{
  drop_ended (parent, now_us);
  if (report->members == 0)
    {
      forget_home (parent, report->home);
      return ++parent->serial;
    }
  home_t *home = take_report (parent, report, now_us);
  if (vms < report->vms)
    vms = report->vms;
  home->serial = ++parent->serial;
  for (uint32_t i = 0; i < report->count; i++)
    {
      uint64_t workspace = report->rows[i].workspace;
      uint32_t ppm = deal (parent, home, workspace, vms, now_us);
      holding_of (home, workspace, true)->given_ppm = ppm;
      rows[i] = (lt_quota_share_t){ .workspace = workspace, .ppm = ppm };
    }
  return home->serial;
}
