#include "lt/node/health_controller.h"
#include "lt/node/node.h"
#include "lt/policy/membership.h"

static str_t
owner (void *user, str_t key)
{
  lt_node_t *node = user;
  return lt_membership_owner (node->membership, key);
}

static bool
is_live (const lt_member_view_t *member)
{
  return member->info.state == LT_MEMBER_ALIVE
         || member->info.state == LT_MEMBER_SUSPECT;
}

/* Includes leaving VMs: they still serve, so they need the ejections too.  */
static size_t
others (void *user, str_t *ids, size_t cap)
{
  lt_node_t *node = user;
  size_t count = 0;
  for (size_t i = 0; i < lt_membership_count (node->membership); i++)
    {
      lt_member_view_t member = lt_membership_at (node->membership, i);
      if (member.self || member.info.state == LT_MEMBER_DEAD)
        continue;
      if (cap > 0 && count == cap)
        break;
      if (cap > 0)
        ids[count] = member.info.id;
      count++;
    }
  return count;
}

static void
count_vms (void *user, uint32_t *vms, uint32_t *region_vms,
           uint32_t *domain_vms)
{
  lt_node_t *node = user;
  const lt_settings_t *settings = node->settings;
  *vms = 0;
  *region_vms = 0;
  *domain_vms = 0;
  for (size_t i = 0; i < lt_membership_count (node->membership); i++)
    {
      lt_member_view_t member = lt_membership_at (node->membership, i);
      if (!is_live (&member))
        continue;
      bool near = str_equal (member.info.region, settings->region);
      *vms += 1;
      *region_vms += near;
      *domain_vms += near
                     && str_equal (member.info.failure_domain,
                                   settings->failure_domain);
    }
}

lt_health_hooks_t
lt_health_hooks_membership (lt_node_t *node)
{
  return (lt_health_hooks_t){
    .user = node, .owner = owner, .others = others, .count_vms = count_vms
  };
}
