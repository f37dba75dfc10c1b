#include "room_report.h"

#include "lt/base/hash.h"
#include "lt/base/rng.h"
#include "lt/wire/frame.h"
#include "upstream_places.h"

enum
{
  VMS_MAX = 2048,
  /* VMs looked at to find one of another region.  With three regions all of
     them are of the own region once in 6,500 reports.  */
  TRIES = 8
};

uint64_t
lt_room_report_id (str_t service)
{
  return lt_hash64 (service) ^ lt_hash64 (STR_LIT ("load of a service"));
}

lt_distance_t
lt_room_report_distance (lt_node_t *node, str_t vm_id, uint64_t *domain)
{
  str_t failure_domain = { 0 };
  str_t region = { 0 };
  if (node->directory == NULL || node->directory->locate == NULL
      || !node->directory->locate (node, vm_id, &failure_domain, &region))
    return LT_DISTANCE_OTHER_REGION;
  *domain = lt_hash64 (failure_domain);
  return lt_upstream_distance (failure_domain, region,
                               node->settings->failure_domain,
                               node->settings->region);
}

void
lt_room_report_send (lt_node_t *node,
                     const lt_wire_upstream_updates_t *updates)
{
  str_t ids[VMS_MAX];
  if (updates->count == 0 || node->directory == NULL
      || node->directory->others_near == NULL)
    return;
  lt_buf_t payload = { 0 };
  lt_wire_upstream_updates_encode (updates, &payload);
  size_t count = node->directory->others_near (node, false, ids, VMS_MAX);
  if (count > 0)
    lt_node_send (node, ids[lt_rng_below (&node->rng, count)],
                  LT_MESSAGE_UPSTREAM_UPDATES, 0, lt_buf_str (&payload));
  count = node->directory->others (node, ids, VMS_MAX);
  for (int i = 0; i < TRIES && count > 0; i++)
    {
      str_t id = ids[lt_rng_below (&node->rng, count)];
      uint64_t domain;
      if (lt_room_report_distance (node, id, &domain)
          != LT_DISTANCE_OTHER_REGION)
        continue;
      lt_node_send (node, id, LT_MESSAGE_UPSTREAM_UPDATES, 0,
                    lt_buf_str (&payload));
      break;
    }
  lt_buf_destroy (&payload);
}
