/** @file
    Reports of the load of services between failure domains.  They travel as
    items of upstream_updates whose upstream is lt_room_report_id, which VMs
    without admission by priority ignore as unknown.  */
#ifndef LT_NODE_ROOM_REPORT_H
#define LT_NODE_ROOM_REPORT_H

#include "lt/node/node.h"
#include "lt/policy/distance.h"
#include "lt/wire/message.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /** Returns the id under which the load of a service is reported; the item's
      in_flight is the load in requests per 1,000 slots of the sender's failure
      domain.  */
  uint64_t lt_room_report_id (str_t service);
  /** Sends UPDATES to a random VM of another failure domain of the region, and
      to one of another region.  */
  void lt_room_report_send (lt_node_t *node,
                            const lt_wire_upstream_updates_t *updates);
  /** Returns the distance to VM_ID, and writes a hash of its failure domain to
      DOMAIN.  A VM whose place is not known is in another region.  */
  lt_distance_t lt_room_report_distance (lt_node_t *node, str_t vm_id,
                                         uint64_t *domain);

#ifdef __cplusplus
}
#endif

#endif
