#include <string.h>

#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "quota_internal.h"

enum
{
  VMS_MAX = 1024,
  /* Within a failure domain an answer takes about a millisecond; a busy VM may
     need a few tens.  */
  HOME_SILENCE_MS = 400,
  HOME_AVOID_MS = 3000,
  /* Several signs of life fit into the time of a loan.  */
  SIGN_MS = 600,
  /* A home whose connection has closed has most likely ended, and its members'
     loans with it.  */
  LOST_LOAN_MS = 300
};

bool
lt_quota_is_self (const lt_quota_controller_t *c, const char *id)
{
  return str_equal (str_from (id), c->base.node->settings->vm_id);
}

/* The VM with the lowest id in the failure domain is the home, if it
   answers.  */
static void
find_home (const lt_quota_controller_t *c, int64_t now_us,
           char out[QUOTA_NAME_BYTES])
{
  lt_node_t *node = c->base.node;
  str_t ids[VMS_MAX];
  str_t best = node->settings->vm_id;
  size_t count = 0;
  if (node->directory != NULL && node->directory->near != NULL)
    count = node->directory->near (node, true, ids, VMS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      bool avoided = now_us < c->to_home.avoided_until_us
                     && str_equal (ids[i], str_from (c->to_home.avoided));
      if (!avoided && node->directory->is_connected (node, ids[i])
          && str_compare (ids[i], best) < 0)
        best = ids[i];
    }
  memcpy (out, best.data, best.len);
  out[best.len] = '\0';
}

static void
avoid (quota_upper_t *upper, int64_t until_us)
{
  memcpy (upper->avoided, upper->id, sizeof (upper->avoided));
  upper->avoided_until_us = until_us;
}

static void
set_home (lt_quota_controller_t *c, const char *id, int64_t now_us)
{
  quota_upper_t *home = &c->to_home;
  lt_node_t *node = c->base.node;
  if (home->id[0] != '\0' && !lt_quota_is_self (c, home->id)
      && home->heard_us > 0)
    {
      int64_t until_us = home->heard_us + c->times.member_us;
      if (!node->directory->is_connected (node, str_from (home->id))
          && until_us > now_us + LOST_LOAN_MS * LT_US_PER_MS)
        until_us = now_us + LOST_LOAN_MS * LT_US_PER_MS;
      if (until_us > home->loan_until_us)
        home->loan_until_us = until_us;
    }
  lt_log (LT_LOG_INFO, "quota",
          "msg=\"home of the rates\" home=%s before=%s loan_ms=%lld", id,
          home->id,
          (long long)((home->loan_until_us - now_us) / LT_US_PER_MS));
  memcpy (home->id, id, QUOTA_NAME_BYTES);
  home->upper_us = home->heard_us = home->asked_us = 0;
  if (lt_quota_is_self (c, id))
    lt_quota_buckets_empty (c->home, now_us);
}

void
lt_quota_follow_home (lt_quota_controller_t *c, int64_t now_us)
{
  quota_upper_t *home = &c->to_home;
  char best[QUOTA_NAME_BYTES] = "";
  if (home->asked_us > 0
      && now_us - home->asked_us > HOME_SILENCE_MS * LT_US_PER_MS)
    avoid (home, now_us + HOME_AVOID_MS * LT_US_PER_MS);
  find_home (c, now_us, best);
  if (strcmp (best, home->id) != 0)
    set_home (c, best, now_us);
  if (!lt_quota_is_self (c, home->id) && now_us >= home->loan_until_us
      && now_us - c->signed_us >= SIGN_MS * LT_US_PER_MS)
    lt_quota_send_ask (c, 0, 0, 0, now_us);
}

bool
lt_quota_has_home (const lt_quota_controller_t *c, int64_t now_us)
{
  return c->to_home.id[0] != '\0' && now_us >= c->to_home.loan_until_us;
}

bool
lt_quota_is_alone (const lt_quota_controller_t *c, int64_t now_us)
{
  const quota_upper_t *home = &c->to_home;
  if (home->id[0] == '\0')
    return true;
  if (lt_quota_is_self (c, home->id))
    return false;
  return now_us >= home->loan_until_us
         && now_us - home->heard_us >= c->times.member_us;
}

void
lt_quota_send_ask (lt_quota_controller_t *c, uint64_t workspace,
                   uint32_t count, uint64_t number, int64_t now_us)
{
  quota_upper_t *home = &c->to_home;
  lt_wire_quota_tokens_t ask
      = { .workspace = workspace, .count = count, .home_us = home->upper_us };
  lt_buf_t payload = { 0 };
  lt_wire_quota_tokens_encode (&ask, &payload);
  lt_node_send (c->base.node, str_from (home->id), LT_MESSAGE_QUOTA_ASK,
                number, lt_buf_str (&payload));
  lt_buf_destroy (&payload);
  c->signed_us = now_us;
  if (home->asked_us == 0)
    home->asked_us = now_us;
}

void
lt_quota_take_ask (lt_quota_controller_t *c, const lt_peer_message_t *message,
                   int64_t now_us)
{
  lt_wire_quota_tokens_t ask;
  if (lt_wire_quota_tokens_decode (message->payload, &ask) != 0)
    {
      lt_quota_count (c, QUOTA_COUNT_MALFORMED);
      return;
    }
  bool admitted = false;
  if (!c->base.node->leaving)
    {
      lt_quota_members_note (c->members, lt_hash64 (message->sender),
                             ask.home_us, now_us);
      lt_quota_count (c, QUOTA_COUNT_SERVED);
      admitted
          = ask.count > 0
            && lt_quota_buckets_take (c->home, ask.workspace, true, now_us);
      if (ask.count > 0 && !admitted
          && lt_quota_borrow (c, message->sender, message->correlation,
                              ask.workspace, now_us))
        return;
    }
  lt_quota_send_grant (c, message->sender, message->correlation, ask.workspace,
                       admitted, now_us);
}

void
lt_quota_send_grant (lt_quota_controller_t *c, str_t member,
                     uint64_t correlation, uint64_t workspace, bool admitted,
                     int64_t now_us)
{
  /* A home that stops gives its members their loans back.  */
  lt_wire_quota_tokens_t grant
      = { .workspace = workspace,
          .count = admitted ? 1 : 0,
          .home_us = c->base.node->leaving ? 0 : now_us };
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
  quota_upper_t *home = &c->to_home;
  if (!str_equal (sender, str_from (home->id)))
    return;
  home->asked_us = 0;
  if (grant->home_us == 0)
    {
      avoid (home, now_us + HOME_AVOID_MS * LT_US_PER_MS);
      home->heard_us = 0;
      return;
    }
  home->heard_us = now_us;
  home->upper_us = grant->home_us;
}
