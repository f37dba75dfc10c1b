#include "limit_controller_internal.h"

#include <stdio.h>

#include "lt/base/str.h"
#include "lt/policy/membership.h"

#define REGIONS_MAX 8
/** Rendezvous weights computed in one tick.  At 2,000 VMs, computing those of
    all groups at once would block the event loop for tens of milliseconds.  */
#define WEIGHTS_PER_TICK 65536

static void
set_home_role (lt_limit_controller_t *controller, uint32_t index, bool own,
               int64_t now_us)
{
  lt_limit_group_t *group = &controller->groups[index];
  if (group->home == NULL && !own)
    return;
  if (group->home == NULL)
    {
      lt_limit_home_options_t options = LT_LIMIT_HOME_OPTIONS_DEFAULT;
      options.group = index;
      options.vm = controller->vm;
      options.incarnation = (int64_t)controller->base.node->incarnation;
      group->home = lt_limit_home_create (&options);
      lt_limit_home_configure (group->home, group->rates, group->rate_count,
                               now_us);
    }
  lt_limit_home_set_role (group->home, own);
}

static size_t
find_regions (const lt_node_t *node, str_t *regions)
{
  size_t found = 0;
  regions[found++] = node->settings->region;
  size_t members = lt_membership_count (node->membership);
  for (size_t i = 0; i < members && found < REGIONS_MAX; i++)
    {
      str_t region = lt_membership_at (node->membership, i).info.region;
      bool known = region.len == 0;
      for (size_t k = 0; k < found; k++)
        known |= str_equal (region, regions[k]);
      if (!known)
        regions[found++] = region;
    }
  return found;
}

/* Assigns home and lenders to a group by rendezvous hashing of the
   members.  */
static void
assign_group (lt_limit_controller_t *controller, uint32_t index,
              const str_t *regions, size_t region_count, int64_t now_us)
{
  const lt_node_t *node = controller->base.node;
  lt_limit_group_t *group = &controller->groups[index];
  char text[32];
  snprintf (text, sizeof (text), "limits/%u", index);
  str_t key = str_from (text);
  str_t owner = lt_membership_owner (node->membership, key);
  str_t self = node->settings->vm_id;
  bool own = str_equal (owner, self);
  bool lends = false;
  group->lender_count = 0;
  for (size_t i = 0; i < region_count; i++)
    {
      str_t lender;
      if (lt_membership_owners (node->membership, key, regions[i], &lender, 1)
          == 0)
        continue;
      if (str_equal (lender, self))
        lends = true;
      else if (group->lender_count < LT_LIMIT_LENDERS_MAX
               && lt_limit_vm_set (&group->lenders[group->lender_count],
                                   lender.data, lender.len)
                      == 0)
        group->lender_count++;
    }
  (void)lt_limit_vm_set (&group->owner, owner.data, owner.len);
  lt_limit_holder_set_home (controller->holder, index,
                            own             ? LT_LIMIT_HOME_LOCAL
                            : owner.len > 0 ? LT_LIMIT_HOME_REMOTE
                                            : LT_LIMIT_HOME_NONE);
  lt_limit_holder_set_lenders (controller->holder, index, group->lender_count,
                               lends);
  set_home_role (controller, index, own && group->rate_count > 0, now_us);
}

/* Without a membership this VM is home and lender of all groups.  */
static void
assign_all_to_self (lt_limit_controller_t *controller, int64_t now_us)
{
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    {
      controller->groups[i].owner = controller->vm;
      lt_limit_holder_set_home (controller->holder, i, LT_LIMIT_HOME_LOCAL);
      lt_limit_holder_set_lenders (controller->holder, i, 0, true);
      set_home_role (controller, i, controller->groups[i].rate_count > 0,
                     now_us);
    }
}

void
lt_limit_controller_assign_groups (lt_limit_controller_t *controller,
                                   int64_t now_us)
{
  const lt_node_t *node = controller->base.node;
  if (node->membership == NULL)
    {
      assign_all_to_self (controller, now_us);
      return;
    }
  str_t regions[REGIONS_MAX];
  size_t region_count = find_regions (node, regions);
  size_t weights = lt_membership_count (node->membership) * (region_count + 1);
  uint32_t left = (uint32_t)(WEIGHTS_PER_TICK / weights) + 1;
  for (; left > 0 && controller->assigned_groups < LT_LIMIT_GROUPS; left--)
    assign_group (controller, controller->assigned_groups++, regions,
                  region_count, now_us);
}

void
lt_limit_controller_update_members (lt_limit_controller_t *controller,
                                    int64_t now_us)
{
  const lt_membership_t *membership = controller->base.node->membership;
  if (membership == NULL)
    return;
  uint64_t members = lt_membership_generation (membership);
  if (members != controller->membership_generation)
    controller->assigned_groups = 0;
  controller->membership_generation = members;
  if (controller->assigned_groups < LT_LIMIT_GROUPS)
    lt_limit_controller_assign_groups (controller, now_us);
}
