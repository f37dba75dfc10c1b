#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "quota_internal.h"

enum
{
  /* More than twice the fleet that docs/CAPACITY.md plans for.  */
  VMS_MAX = 4096,
  /* Two round trips between regions and the delay of a busy VM.  */
  PARENT_RESPONSE_TIMEOUT_MS = 700,
  PARENT_EXCLUSION_MS = 5000,
  /* Shorter for a VM that has never responded: VMs that start together do not
     reach each other at first.  */
  PARENT_START_EXCLUSION_MS = 1000
};

static void
find_parent (const lt_quota_controller_t *c, int64_t now_us,
             char out[QUOTA_NAME_BYTES])
{
  lt_node_t *node = c->base.node;
  size_t count
      = node->directory == NULL ? 0 : node->directory->others (node, NULL, 0);
  str_t *ids = lt_alloc ((count + 1) * sizeof (*ids));
  if (count > 0)
    count = node->directory->others (node, ids, count);
  lt_quota_choose_vm (c, &c->parent_lease, ids, count, now_us, out);
  free (ids);
}

static uint32_t
own_members (lt_quota_controller_t *c, int64_t now_us)
{
  return lt_quota_members_count (c->members, now_us)
         + (lt_quota_is_self (c, c->home_lease.id) ? 1 : 0);
}

static void
fill_report (lt_quota_controller_t *c, lt_wire_quota_shares_t *report,
             int64_t now_us)
{
  static lt_quota_share_t rows[LT_WIRE_QUOTA_MAX];
  report->represented_vms = own_members (c, now_us);
  report->fleet_size = lt_quota_vms (c);
  report->parent_clock_us = c->parent_lease.holder_clock_us;
  report->serial = c->shares_serial;
  report->count = lt_quota_buckets_report (c->home_buckets, rows,
                                           LT_WIRE_QUOTA_MAX, now_us);
  for (uint32_t i = 0; i < report->count; i++)
    report->items[i]
        = (lt_wire_quota_share_t){ .workspace = rows[i].workspace,
                                   .demand_milli = rows[i].demand_milli,
                                   .ppm = rows[i].ppm };
}

/* Keeps the largest fleet size that was reported.  A VM that read the list of
   VMs while others were starting counts too few VMs, so its allocations would
   be too large.  */
static void
note_vms (lt_quota_controller_t *c, uint32_t vms)
{
  if (vms > c->max_reported_vms && vms <= VMS_MAX)
    c->max_reported_vms = vms;
}

static void
apply_shares (lt_quota_controller_t *c, const lt_wire_quota_shares_t *shares,
              int64_t now_us)
{
  note_vms (c, shares->fleet_size);
  c->parent_lease.holder_clock_us = shares->parent_clock_us;
  c->parent_lease.responded_us = now_us;
  c->parent_lease.unanswered_since_us = 0;
  c->shares_serial = shares->serial;
  if (c->shares_received_us == 0)
    lt_log (LT_LOG_INFO, "quota", "msg=\"shares by demand\" parent=%s",
            c->parent_lease.id);
  c->shares_received_us = now_us;
  for (uint32_t i = 0; i < shares->count; i++)
    lt_quota_buckets_set (c->home_buckets, shares->items[i].workspace,
                          shares->items[i].ppm, now_us);
}

/* Applies REPORT of HOME, which may be this VM, and fills the response
   SHARES.  */
static void
respond_to_report (lt_quota_controller_t *c, uint64_t home,
                   const lt_wire_quota_shares_t *report,
                   lt_wire_quota_shares_t *shares, int64_t now_us)
{
  static lt_quota_share_t rows[LT_WIRE_QUOTA_MAX];
  static lt_quota_share_t assigned[LT_WIRE_QUOTA_MAX];
  note_vms (c, report->fleet_size);
  for (uint32_t i = 0; i < report->count; i++)
    rows[i]
        = (lt_quota_share_t){ .workspace = report->items[i].workspace,
                              .demand_milli = report->items[i].demand_milli,
                              .ppm = report->items[i].ppm };
  lt_quota_report_t input = { .home = home,
                              .members = report->represented_vms,
                              .vms = report->fleet_size,
                              .echoed_us = report->parent_clock_us,
                              .serial = report->serial,
                              .rows = rows,
                              .count = report->count };
  shares->serial = lt_quota_parent_report (c->parent, &input, lt_quota_vms (c),
                                           assigned, now_us);
  lt_quota_buckets_set_all (
      c->reserve_buckets,
      lt_quota_parent_reserve_ppm (c->parent, lt_quota_vms (c), now_us),
      now_us);
  shares->parent_clock_us = now_us;
  shares->represented_vms = 0;
  shares->fleet_size = lt_quota_vms (c);
  shares->count = report->count;
  for (uint32_t i = 0; i < report->count; i++)
    shares->items[i]
        = (lt_wire_quota_share_t){ .workspace = assigned[i].workspace,
                                   .ppm = assigned[i].ppm };
}

static void
send_shares (lt_quota_controller_t *c, str_t vm_id, uint16_t type,
             const lt_wire_quota_shares_t *message)
{
  lt_buf_t payload = { 0 };
  lt_wire_quota_shares_encode (message, &payload);
  lt_node_send (c->base.node, vm_id, type, 0, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

static void
report (lt_quota_controller_t *c, int64_t now_us)
{
  lt_wire_quota_shares_t *message = lt_alloc (sizeof (*message));
  lt_wire_quota_shares_t *shares = lt_alloc (sizeof (*shares));
  quota_lease_t *parent = &c->parent_lease;
  fill_report (c, message, now_us);
  c->last_report
      = (lt_quota_last_report_t){ .sent_us = now_us,
                                  .members = message->represented_vms,
                                  .leased = parent->holder_clock_us != 0 };
  if (lt_quota_is_self (c, parent->id))
    {
      respond_to_report (c, lt_hash64 (c->base.node->settings->vm_id), message,
                         shares, now_us);
      apply_shares (c, shares, now_us);
    }
  else
    {
      send_shares (c, str_from (parent->id), LT_MESSAGE_QUOTA_REPORT, message);
      if (parent->unanswered_since_us == 0)
        parent->unanswered_since_us = now_us;
    }
  free (message);
  free (shares);
}

/* Ends the lease to the old parent with a report that has no members.  */
static void
end_parent_lease (lt_quota_controller_t *c)
{
  if (c->parent_lease.responded_us == 0
      || lt_quota_is_self (c, c->parent_lease.id))
    return;
  lt_wire_quota_shares_t *end = lt_alloc (sizeof (*end));
  end->fleet_size = lt_quota_vms (c);
  send_shares (c, str_from (c->parent_lease.id), LT_MESSAGE_QUOTA_REPORT, end);
  free (end);
}

static void
set_parent (lt_quota_controller_t *c, const char *id)
{
  quota_lease_t *parent = &c->parent_lease;
  snprintf (parent->id, sizeof (parent->id), "%s", id);
  parent->holder_clock_us = parent->unanswered_since_us = parent->responded_us
      = 0;
  c->shares_serial = 0;
}

static void
choose_parent (lt_quota_controller_t *c, int64_t now_us)
{
  quota_lease_t *parent = &c->parent_lease;
  char best[QUOTA_NAME_BYTES] = "";
  if (parent->unanswered_since_us > 0
      && now_us - parent->unanswered_since_us
             > PARENT_RESPONSE_TIMEOUT_MS * LT_US_PER_MS)
    lt_quota_exclude (parent, str_from (parent->id),
                      now_us
                          + (parent->responded_us == 0
                                 ? PARENT_START_EXCLUSION_MS
                                 : PARENT_EXCLUSION_MS)
                                * LT_US_PER_MS);
  find_parent (c, now_us, best);
  if (strcmp (best, parent->id) == 0)
    return;
  end_parent_lease (c);
  lt_log (LT_LOG_INFO, "quota",
          "msg=\"parent of the homes\" parent=%s "
          "before=%s",
          best, parent->id);
  set_parent (c, best);
}

void
lt_quota_resign_home (lt_quota_controller_t *c, int64_t now_us)
{
  lt_log (LT_LOG_INFO, "quota", "msg=\"home resigns\" members=%u parent=%s",
          lt_quota_members_count (c->members, now_us), c->parent_lease.id);
  lt_quota_members_clear (c->members);
  end_parent_lease (c);
  set_parent (c, "");
  c->shares_received_us = 0;
  lt_quota_buckets_set_all (c->home_buckets, LT_QUOTA_WHOLE_PPM / c->vms,
                            now_us);
  lt_quota_buckets_empty (c->home_buckets, now_us);
  lt_quota_buckets_empty (c->own_buckets, now_us);
}

void
lt_quota_update_parent (lt_quota_controller_t *c, int64_t now_us)
{
  /* While no shares are in force, the share of every workspace is the sum of
     the members' allocations.  */
  bool in_force = c->shares_received_us > 0
                  && now_us - c->shares_received_us < c->times.parent_lease_us;
  uint32_t members = own_members (c, now_us);
  if (!in_force)
    {
      if (c->shares_received_us > 0)
        lt_log (LT_LOG_INFO, "quota",
                "msg=\"shares ended\" parent=%s members=%u",
                c->parent_lease.id, members);
      c->shares_received_us = 0;
      uint64_t ppm = (uint64_t)members * LT_QUOTA_WHOLE_PPM / lt_quota_vms (c);
      if (ppm > LT_QUOTA_WHOLE_PPM)
        ppm = LT_QUOTA_WHOLE_PPM;
      lt_quota_buckets_set_all (c->home_buckets, (uint32_t)ppm, now_us);
    }
  if (c->base.node->draining && lt_quota_is_self (c, c->parent_lease.id))
    choose_parent (c, now_us);
  if (!lt_quota_report_is_due (&c->times, &c->last_report, members,
                               c->parent_lease.holder_clock_us != 0, now_us))
    return;
  choose_parent (c, now_us);
  report (c, now_us);
}

void
lt_quota_on_report (lt_quota_controller_t *c, const lt_peer_message_t *message,
                    int64_t now_us)
{
  lt_wire_quota_shares_t *received = lt_alloc (sizeof (*received));
  lt_wire_quota_shares_t *shares = lt_alloc (sizeof (*shares));
  if (lt_wire_quota_shares_decode (message->payload, received) != 0)
    lt_quota_count (c, QUOTA_COUNT_MALFORMED);
  else if (!c->base.node->draining && lt_quota_vms (c) > 0)
    {
      respond_to_report (c, lt_hash64 (message->sender), received, shares,
                         now_us);
      send_shares (c, message->sender, LT_MESSAGE_QUOTA_SHARES, shares);
    }
  free (received);
  free (shares);
}

void
lt_quota_on_shares (lt_quota_controller_t *c, const lt_peer_message_t *message,
                    int64_t now_us)
{
  lt_wire_quota_shares_t *shares = lt_alloc (sizeof (*shares));
  if (lt_wire_quota_shares_decode (message->payload, shares) != 0)
    lt_quota_count (c, QUOTA_COUNT_MALFORMED);
  else if (str_equal (message->sender, str_from (c->parent_lease.id)))
    apply_shares (c, shares, now_us);
  free (shares);
}
