#include <string.h>

#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "quota_internal.h"

enum
{
  VMS_MAX = 1024,
  /* Within a failure domain a response takes about a millisecond; a busy VM
     may need a few tens.  */
  HOME_RESPONSE_TIMEOUT_MS = 400,
  /* Shorter without a connection: the host of a VM whose process has ended
     refuses connections at once.  */
  HOME_CONNECT_TIMEOUT_MS = 150,
  HOME_EXCLUSION_MS = 3000,
  /* Interval of renewals; several fit into the duration of a lease.  */
  RENEW_MS = 600,
  /* Wait before a reclaimed allocation is leased to another home.  It can be
     short when the old home is told to end the lease, or when its connection
     has closed, since then its process and its leases have most likely ended.
   */
  RECLAIM_MS = 100
};

bool
lt_quota_is_self (const lt_quota_controller_t *c, const char *id)
{
  return str_equal (str_from (id), c->base.node->settings->vm_id);
}

void
lt_quota_choose_vm (const lt_quota_controller_t *c, const quota_lease_t *lease,
                    const str_t *others, size_t count, int64_t now_us,
                    char out[QUOTA_NAME_BYTES])
{
  const lt_node_t *node = c->base.node;
  str_t best = node->settings->vm_id;
  bool prefers_other = node->draining;
  for (size_t i = 0; i < count; i++)
    {
      if ((!prefers_other && str_compare (others[i], best) >= 0)
          || lt_quota_is_excluded (lease, others[i], now_us))
        continue;
      best = others[i];
      prefers_other = false;
    }
  memcpy (out, best.data, best.len);
  out[best.len] = '\0';
}

static void
find_home (const lt_quota_controller_t *c, int64_t now_us,
           char out[QUOTA_NAME_BYTES])
{
  lt_node_t *node = c->base.node;
  str_t ids[VMS_MAX];
  size_t count = 0;
  if (node->directory != NULL && node->directory->others_near != NULL)
    count = node->directory->others_near (node, true, ids, VMS_MAX);
  lt_quota_choose_vm (c, &c->home_lease, ids, count, now_us, out);
}

bool
lt_quota_is_excluded (const quota_lease_t *lease, str_t id, int64_t now_us)
{
  uint64_t vm = lt_hash64 (id);
  for (int i = 0; i < QUOTA_EXCLUDED_MAX; i++)
    if (lease->excluded[i].vm == vm && now_us < lease->excluded[i].until_us)
      return true;
  return false;
}

void
lt_quota_exclude (quota_lease_t *lease, str_t id, int64_t until_us)
{
  int oldest = 0;
  for (int i = 1; i < QUOTA_EXCLUDED_MAX; i++)
    if (lease->excluded[i].until_us < lease->excluded[oldest].until_us)
      oldest = i;
  lease->excluded[oldest].vm = lt_hash64 (id);
  lease->excluded[oldest].until_us = until_us;
}

static void
set_home (lt_quota_controller_t *c, const char *id, int64_t now_us)
{
  quota_lease_t *home = &c->home_lease;
  lt_node_t *node = c->base.node;
  if (node->draining && lt_quota_is_self (c, home->id))
    lt_quota_resign_home (c, now_us);
  if (home->id[0] != '\0' && !lt_quota_is_self (c, home->id)
      && home->responded_us > 0)
    {
      int64_t until_us = home->responded_us + c->times.home_lease_us;
      int64_t reclaim_us = now_us + RECLAIM_MS * LT_US_PER_MS;
      bool responsive = home->unanswered_since_us == 0
                        || now_us - home->unanswered_since_us
                               <= HOME_RESPONSE_TIMEOUT_MS * LT_US_PER_MS;
      bool connected
          = node->directory->is_connected (node, str_from (home->id));
      home->holder_clock_us = 0;
      if (connected)
        lt_quota_send_request (c, 0, 0, 0, now_us);
      if ((responsive || !connected) && until_us > reclaim_us)
        until_us = reclaim_us;
      if (until_us > home->reclaimed_from_us)
        home->reclaimed_from_us = until_us;
    }
  lt_log (LT_LOG_INFO, "quota",
          "msg=\"home of the rates\" home=%s before=%s loan_ms=%lld", id,
          home->id,
          (long long)((home->reclaimed_from_us - now_us) / LT_US_PER_MS));
  memcpy (home->id, id, QUOTA_NAME_BYTES);
  home->holder_clock_us = home->responded_us = home->unanswered_since_us = 0;
  if (lt_quota_is_self (c, id))
    lt_quota_buckets_empty (c->home_buckets, now_us);
}

static bool
is_home_unresponsive (const lt_quota_controller_t *c, int64_t now_us)
{
  const quota_lease_t *home = &c->home_lease;
  lt_node_t *node = c->base.node;
  if (home->unanswered_since_us == 0)
    return false;
  int64_t limit_ms = node->directory->is_connected (node, str_from (home->id))
                         ? HOME_RESPONSE_TIMEOUT_MS
                         : HOME_CONNECT_TIMEOUT_MS;
  return now_us - home->unanswered_since_us > limit_ms * LT_US_PER_MS;
}

void
lt_quota_update_home (lt_quota_controller_t *c, int64_t now_us)
{
  quota_lease_t *home = &c->home_lease;
  char best[QUOTA_NAME_BYTES] = "";
  if (is_home_unresponsive (c, now_us))
    lt_quota_exclude (home, str_from (home->id),
                      now_us + HOME_EXCLUSION_MS * LT_US_PER_MS);
  find_home (c, now_us, best);
  if (strcmp (best, home->id) != 0)
    set_home (c, best, now_us);
  if (c->base.node->draining
      && lt_quota_members_count (c->members, now_us) > 0)
    lt_quota_resign_home (c, now_us);
  if (!lt_quota_is_self (c, home->id) && now_us >= home->reclaimed_from_us
      && now_us - c->renewed_us >= RENEW_MS * LT_US_PER_MS)
    lt_quota_send_request (c, 0, 0, 0, now_us);
}

bool
lt_quota_can_use_home (const lt_quota_controller_t *c, int64_t now_us)
{
  return c->home_lease.id[0] != '\0'
         && now_us >= c->home_lease.reclaimed_from_us;
}

bool
lt_quota_uses_own_allocation (const lt_quota_controller_t *c, int64_t now_us)
{
  const quota_lease_t *home = &c->home_lease;
  if (home->id[0] == '\0')
    return true;
  if (lt_quota_is_self (c, home->id))
    return false;
  return now_us >= home->reclaimed_from_us
         && now_us - home->responded_us >= c->times.home_lease_us;
}

void
lt_quota_send_request (lt_quota_controller_t *c, uint64_t workspace,
                       uint32_t count, uint64_t number, int64_t now_us)
{
  quota_lease_t *home = &c->home_lease;
  lt_wire_quota_tokens_t request = { .workspace = workspace,
                                     .count = count,
                                     .home_clock_us = home->holder_clock_us };
  lt_buf_t payload = { 0 };
  lt_wire_quota_tokens_encode (&request, &payload);
  lt_node_send (c->base.node, str_from (home->id), LT_MESSAGE_QUOTA_REQUEST,
                number, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
  c->renewed_us = now_us;
  if (home->unanswered_since_us == 0)
    home->unanswered_since_us = now_us;
}

void
lt_quota_on_request (lt_quota_controller_t *c,
                     const lt_peer_message_t *message, int64_t now_us)
{
  lt_wire_quota_tokens_t request;
  if (lt_wire_quota_tokens_decode (message->payload, &request) != 0)
    {
      lt_quota_count (c, QUOTA_COUNT_MALFORMED);
      return;
    }
  bool admitted = false;
  if (c->base.node->draining)
    {
      /* The response ends the member's lease, so its allocation must not be
         used any more.  */
      if (c->vms > 0)
        lt_quota_update_home (c, now_us);
    }
  else
    {
      lt_quota_members_renew (c->members, lt_hash64 (message->sender),
                              request.home_clock_us, now_us);
      lt_quota_count (c, QUOTA_COUNT_SERVED);
      admitted = request.count > 0
                 && lt_quota_buckets_take (c->home_buckets, request.workspace,
                                           true, now_us);
      if (request.count > 0 && !admitted
          && lt_quota_borrow (c, message->sender, message->correlation,
                              request.workspace, now_us))
        return;
    }
  lt_quota_send_grant (c, message->sender, message->correlation,
                       request.workspace, admitted, now_us);
}

void
lt_quota_send_grant (lt_quota_controller_t *c, str_t member,
                     uint64_t correlation, uint64_t workspace, bool admitted,
                     int64_t now_us)
{
  /* A clock of 0 tells the member that this home is leaving and no longer uses
     the member's allocation.  */
  lt_wire_quota_tokens_t grant
      = { .workspace = workspace,
          .count = admitted ? 1 : 0,
          .home_clock_us = c->base.node->draining ? 0 : now_us };
  lt_buf_t payload = { 0 };
  lt_wire_quota_tokens_encode (&grant, &payload);
  lt_node_send (c->base.node, member, LT_MESSAGE_QUOTA_GRANT, correlation,
                lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

void
lt_quota_note_grant (lt_quota_controller_t *c, str_t sender,
                     const lt_wire_quota_tokens_t *grant, int64_t now_us)
{
  quota_lease_t *home = &c->home_lease;
  if (!str_equal (sender, str_from (home->id)))
    return;
  home->unanswered_since_us = 0;
  if (grant->home_clock_us == 0)
    {
      /* It stays away until it has ended.  */
      lt_quota_exclude (
          home, sender,
          now_us + c->base.node->settings->stop_grace_ms * LT_US_PER_MS);
      home->responded_us = 0;
      return;
    }
  home->responded_us = now_us;
  home->holder_clock_us = grant->home_clock_us;
}
