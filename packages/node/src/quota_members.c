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
  /* A VM that has ended refuses the connection at once.  */
  HOME_CONNECT_MS = 150,
  HOME_AVOID_MS = 3000,
  /* Several signs of life fit into the time of a loan.  */
  SIGN_MS = 600,
  /* A loan is taken back with a message; and a home whose connection has
     closed has most likely ended, and its members' loans with it.  */
  BACK_MS = 100
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
      if (str_compare (ids[i], best) < 0
          && !lt_quota_avoids (&c->to_home, ids[i], now_us))
        best = ids[i];
    }
  memcpy (out, best.data, best.len);
  out[best.len] = '\0';
}

bool
lt_quota_avoids (const quota_upper_t *upper, str_t id, int64_t now_us)
{
  uint64_t vm = lt_hash64 (id);
  for (int i = 0; i < QUOTA_AVOIDED_MAX; i++)
    if (upper->avoided[i].vm == vm && now_us < upper->avoided[i].until_us)
      return true;
  return false;
}

void
lt_quota_avoid (quota_upper_t *upper, str_t id, int64_t until_us)
{
  int oldest = 0;
  for (int i = 1; i < QUOTA_AVOIDED_MAX; i++)
    if (upper->avoided[i].until_us < upper->avoided[oldest].until_us)
      oldest = i;
  upper->avoided[oldest].vm = lt_hash64 (id);
  upper->avoided[oldest].until_us = until_us;
}

static void
set_home (lt_quota_controller_t *c, const char *id, int64_t now_us)
{
  quota_upper_t *home = &c->to_home;
  lt_node_t *node = c->base.node;
  if (home->id[0] != '\0' && !lt_quota_is_self (c, home->id)
      && home->heard_us > 0)
    {
      int64_t until_us = home->heard_us + c->times.home_lease_us;
      int64_t back_us = now_us + BACK_MS * LT_US_PER_MS;
      bool answers
          = home->asked_us == 0
            || now_us - home->asked_us <= HOME_SILENCE_MS * LT_US_PER_MS;
      bool connected
          = node->directory->is_connected (node, str_from (home->id));
      home->upper_us = 0;
      if (connected)
        lt_quota_send_ask (c, 0, 0, 0, now_us);
      if ((answers || !connected) && until_us > back_us)
        until_us = back_us;
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

static bool
is_silent (const lt_quota_controller_t *c, int64_t now_us)
{
  const quota_upper_t *home = &c->to_home;
  lt_node_t *node = c->base.node;
  if (home->asked_us == 0)
    return false;
  int64_t limit_ms = node->directory->is_connected (node, str_from (home->id))
                         ? HOME_SILENCE_MS
                         : HOME_CONNECT_MS;
  return now_us - home->asked_us > limit_ms * LT_US_PER_MS;
}

void
lt_quota_follow_home (lt_quota_controller_t *c, int64_t now_us)
{
  quota_upper_t *home = &c->to_home;
  char best[QUOTA_NAME_BYTES] = "";
  if (is_silent (c, now_us))
    lt_quota_avoid (home, str_from (home->id),
                    now_us + HOME_AVOID_MS * LT_US_PER_MS);
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
         && now_us - home->heard_us >= c->times.home_lease_us;
}

void
lt_quota_send_ask (lt_quota_controller_t *c, uint64_t workspace,
                   uint32_t count, uint64_t number, int64_t now_us)
{
  quota_upper_t *home = &c->to_home;
  lt_wire_quota_tokens_t ask = { .workspace = workspace,
                                 .count = count,
                                 .home_clock_us = home->upper_us };
  lt_buf_t payload = { 0 };
  lt_wire_quota_tokens_encode (&ask, &payload);
  lt_node_send (c->base.node, str_from (home->id), LT_MESSAGE_QUOTA_REQUEST,
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
      lt_quota_members_renew (c->members, lt_hash64 (message->sender),
                              ask.home_clock_us, now_us);
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
          .home_clock_us = c->base.node->leaving ? 0 : now_us };
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
  if (grant->home_clock_us == 0)
    {
      lt_quota_avoid (home, sender, now_us + HOME_AVOID_MS * LT_US_PER_MS);
      home->heard_us = 0;
      return;
    }
  home->heard_us = now_us;
  home->upper_us = grant->home_clock_us;
}
