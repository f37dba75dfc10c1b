#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "quota_internal.h"

enum
{
  /* Longest wait for the parent: two round trips between regions.  Members
     wait a little longer for their home.  */
  BORROW_MS = 100,
  /* Pause after the reserve had no token for a workspace.  Without it, a
     workspace far over its rate would cause a message to the parent for every
     request.  */
  EXHAUSTED_MS = 100
};

static bool
is_exhausted (const lt_quota_controller_t *c, uint64_t workspace,
              int64_t now_us)
{
  for (int i = 0; i < QUOTA_EXHAUSTED_MAX; i++)
    if (c->exhausted[i].workspace == workspace
        && now_us < c->exhausted[i].until_us)
      return true;
  return false;
}

static void
note_exhausted (lt_quota_controller_t *c, uint64_t workspace, int64_t now_us)
{
  int oldest = 0;
  for (int i = 0; i < QUOTA_EXHAUSTED_MAX; i++)
    {
      if (c->exhausted[i].workspace == workspace)
        {
          oldest = i;
          break;
        }
      if (c->exhausted[i].until_us < c->exhausted[oldest].until_us)
        oldest = i;
    }
  c->exhausted[oldest]
      = (quota_exhausted_t){ workspace, now_us + EXHAUSTED_MS * LT_US_PER_MS };
}

static void
send (lt_quota_controller_t *c, str_t vm_id, uint16_t type, uint64_t number,
      uint64_t workspace, uint32_t count)
{
  lt_wire_quota_tokens_t message = { .workspace = workspace, .count = count };
  lt_buf_t payload = { 0 };
  lt_wire_quota_tokens_encode (&message, &payload);
  lt_node_send (c->base.node, vm_id, type, number, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
}

static bool
take_reserve (lt_quota_controller_t *c, uint64_t workspace, int64_t now_us)
{
  bool taken
      = lt_quota_buckets_take (c->reserve_buckets, workspace, true, now_us);
  lt_quota_count (c, taken ? QUOTA_COUNT_BORROWED : QUOTA_COUNT_NOT_LENT);
  return taken;
}

static void
finish (lt_quota_controller_t *c, const char *member, uint64_t correlation,
        uint64_t workspace, bool admitted, int64_t now_us)
{
  if (member[0] == '\0')
    lt_quota_finish (c, correlation, admitted);
  else
    lt_quota_send_grant (c, str_from (member), correlation, workspace,
                         admitted, now_us);
}

bool
lt_quota_borrow (lt_quota_controller_t *c, str_t member, uint64_t correlation,
                 uint64_t workspace, int64_t now_us)
{
  bool in_force = c->shares_received_us > 0
                  && now_us - c->shares_received_us < c->times.parent_lease_us;
  if (!in_force || member.len >= QUOTA_NAME_BYTES
      || is_exhausted (c, workspace, now_us))
    return false;
  if (lt_quota_is_self (c, c->parent_lease.id))
    {
      if (!take_reserve (c, workspace, now_us))
        return false;
      char name[QUOTA_NAME_BYTES] = "";
      if (member.len > 0)
        memcpy (name, member.data, member.len);
      finish (c, name, correlation, workspace, true, now_us);
      return true;
    }
  quota_borrow_t *borrow = lt_alloc (sizeof (*borrow));
  borrow->number = ++c->next_number;
  borrow->workspace = workspace;
  borrow->since_us = now_us;
  borrow->correlation = correlation;
  if (member.len > 0)
    memcpy (borrow->member, member.data, member.len);
  DL_APPEND (c->borrows, borrow);
  send (c, str_from (c->parent_lease.id), LT_MESSAGE_QUOTA_BORROW,
        borrow->number, workspace, 1);
  return true;
}

void
lt_quota_on_borrow (lt_quota_controller_t *c, const lt_peer_message_t *message,
                    int64_t now_us)
{
  lt_wire_quota_tokens_t request;
  if (lt_wire_quota_tokens_decode (message->payload, &request) != 0)
    {
      lt_quota_count (c, QUOTA_COUNT_MALFORMED);
      return;
    }
  bool taken
      = !c->base.node->draining && take_reserve (c, request.workspace, now_us);
  send (c, message->sender, LT_MESSAGE_QUOTA_LENT, message->correlation,
        request.workspace, taken ? 1 : 0);
}

static void
borrow_end (lt_quota_controller_t *c, quota_borrow_t *borrow, bool admitted,
            int64_t now_us)
{
  quota_borrow_t copy = *borrow;
  DL_DELETE (c->borrows, borrow);
  free (borrow);
  finish (c, copy.member, copy.correlation, copy.workspace, admitted, now_us);
}

void
lt_quota_on_lent (lt_quota_controller_t *c, const lt_peer_message_t *message,
                  int64_t now_us)
{
  lt_wire_quota_tokens_t lent;
  quota_borrow_t *borrow;
  if (lt_wire_quota_tokens_decode (message->payload, &lent) != 0)
    {
      lt_quota_count (c, QUOTA_COUNT_MALFORMED);
      return;
    }
  if (lent.count == 0)
    note_exhausted (c, lent.workspace, now_us);
  DL_FOREACH (c->borrows, borrow)
  {
    if (borrow->number == message->correlation)
      break;
  }
  if (borrow != NULL)
    borrow_end (c, borrow, lent.count > 0, now_us);
}

void
lt_quota_expire_borrows (lt_quota_controller_t *c, int64_t now_us)
{
  quota_borrow_t *borrow;
  quota_borrow_t *next;
  DL_FOREACH_SAFE (c->borrows, borrow, next)
  {
    if (now_us - borrow->since_us > BORROW_MS * LT_US_PER_MS)
      borrow_end (c, borrow, false, now_us);
  }
}

void
lt_quota_destroy_borrows (lt_quota_controller_t *c)
{
  quota_borrow_t *borrow;
  quota_borrow_t *next;
  DL_FOREACH_SAFE (c->borrows, borrow, next)
  {
    DL_DELETE (c->borrows, borrow);
    free (borrow);
  }
}
