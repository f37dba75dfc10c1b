#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/node/request.h"
#include "quota_internal.h"
#include "waiting.h"

enum
{
  /* VMs that start together lease their allocations within about half a
     second, and the tokens for the requests that callers sent meanwhile come
     over the next second.  Until then, requests that were denied a token try
     again.  */
  START_MS = 1500,
  RETRY_AFTER_MS = 500,
  /* Time for the buckets to fill with a few tokens.  */
  SETTLE_MS = 200,
  PERMILLE = 1000
};

#define COUNT_NAME(name, text) (text),
static const char *const count_names[] = { QUOTA_COUNT_TABLE (COUNT_NAME) };

void
lt_quota_count (lt_quota_controller_t *c, quota_count_t count)
{
  c->counts[count]->value++;
}

uint32_t
lt_quota_vms (const lt_quota_controller_t *c)
{
  lt_node_t *node = c->base.node;
  if (node->directory == NULL || !node->directory->is_complete (node))
    return 0;
  uint32_t listed = (uint32_t)node->directory->others (node, NULL, 0) + 1;
  return listed > c->max_reported_vms ? listed : c->max_reported_vms;
}

bool
lt_quota_controller_is_ready (lt_quota_controller_t *c, int64_t now_us)
{
  return c->vms > 0 && lt_quota_can_use_home (c, now_us)
         && (lt_quota_is_self (c, c->home_lease.id)
             || c->home_lease.responded_us > 0)
         && now_us - c->vms_known_since_us >= SETTLE_MS * LT_US_PER_MS;
}

static void
waiting_free (lt_quota_controller_t *c, quota_waiting_t *waiting)
{
  lt_waiting_end (waiting->request);
  waiting->request->filter_state[waiting->slot] = NULL;
  DL_DELETE (c->waiting, waiting); /* NOLINT(clang-analyzer-*) */
  free (waiting);
}

void
lt_quota_controller_cancel (lt_request_t *request, int slot)
{
  quota_waiting_t *waiting = request->filter_state[slot];
  if (waiting != NULL)
    waiting_free (request->node->quota_controller, waiting);
}

static bool
is_starting (const lt_quota_controller_t *c, int64_t now_us)
{
  return c->vms == 0
         || now_us - c->vms_known_since_us < START_MS * LT_US_PER_MS;
}

static int64_t
token_wait_us (const quota_waiting_t *waiting, bool has_home)
{
  lt_quota_phase_t phase = has_home ? LT_QUOTA_SERVED : LT_QUOTA_NO_HOME;
  if (waiting->starting)
    phase = LT_QUOTA_STARTING;
  return lt_quota_token_wait_us (phase, waiting->request->deadline_us
                                            - waiting->since_us);
}

/* Only requests that came while the VM was starting ask again when they were
   denied a token: each time counts as demand at the home.  */
static bool
may_retry (const quota_waiting_t *waiting, int64_t now_us)
{
  return waiting->starting
         && now_us - waiting->since_us < token_wait_us (waiting, true);
}

static lt_filter_result_t
deny (lt_quota_controller_t *c, lt_request_t *request, const char *place)
{
  const lt_workspace_t *workspace
      = &request->snapshot->workspaces[request->workspace];
  lt_quota_count (c, QUOTA_COUNT_DENIED);
  lt_log (LT_LOG_INFO, "quota",
          "msg=\"over the rate\" request=%s workspace=%.*s place=%s home=%s "
          "rate_milli=%lld heard_ms=%lld vms=%u",
          request->request_id, STR_ARG (workspace->name), place,
          c->home_lease.id, (long long)workspace->rate_milli_per_s,
          c->home_lease.responded_us == 0
              ? -1
              : (long long)((lt_node_now_us (c->base.node)
                             - c->home_lease.responded_us)
                            / LT_US_PER_MS),
          lt_quota_vms (c));
  return lt_request_refuse_after (request, LT_REFUSE_RATE, RETRY_AFTER_MS);
}

static lt_filter_result_t
admit (lt_quota_controller_t *c, lt_request_t *request, bool admitted,
       const char *place)
{
  if (!admitted)
    return deny (c, request, place);
  lt_quota_count (c, QUOTA_COUNT_ADMITTED);
  return LT_FILTER_CONTINUE;
}

lt_filter_result_t
lt_quota_controller_spend (lt_quota_controller_t *c, lt_request_t *request,
                           int slot)
{
  const lt_workspace_t *workspace
      = &request->snapshot->workspaces[request->workspace];
  int64_t now_us = lt_node_now_us (c->base.node);
  uint64_t hash = lt_hash64 (workspace->name);
  if (workspace->unlimited)
    return LT_FILTER_CONTINUE;
  bool alone = c->vms > 0 && lt_quota_uses_own_allocation (c, now_us);
  if (alone)
    {
      bool taken = lt_quota_buckets_take (c->own_buckets, hash, true, now_us);
      lt_quota_count (c, QUOTA_COUNT_OWN_ALLOCATION);
      /* The home of a VM that starts has not responded yet.  */
      if (taken || !is_starting (c, now_us))
        return admit (c, request, taken, "alone");
    }
  bool reachable = !alone && lt_quota_can_use_home (c, now_us);
  bool self = reachable && lt_quota_is_self (c, c->home_lease.id);
  if (self && lt_quota_buckets_take (c->home_buckets, hash, true, now_us))
    return admit (c, request, true, "home");
  quota_waiting_t *waiting = lt_alloc (sizeof (*waiting));
  *waiting = (quota_waiting_t){ .request = request,
                                .slot = slot,
                                .number = ++c->next_number,
                                .workspace = hash,
                                .since_us = now_us,
                                .starting = is_starting (c, now_us),
                                .token_requested = reachable };
  request->filter_state[slot] = waiting;
  DL_APPEND (c->waiting, waiting);
  lt_waiting_begin (request, LT_WAIT_LIMIT);
  if (self)
    {
      if (lt_quota_borrow (c, str_make (NULL, 0), waiting->number, hash,
                           now_us))
        return LT_FILTER_WAIT;
      waiting->token_requested = false;
      if (may_retry (waiting, now_us))
        return LT_FILTER_WAIT;
      waiting_free (c, waiting);
      return deny (c, request, "home");
    }
  if (reachable)
    {
      lt_quota_count (c, QUOTA_COUNT_REQUESTED);
      lt_quota_send_request (c, hash, 1, waiting->number, now_us);
    }
  return LT_FILTER_WAIT;
}

static quota_waiting_t *
find_waiting (const lt_quota_controller_t *c, uint64_t number)
{
  quota_waiting_t *waiting;
  DL_FOREACH (c->waiting, waiting)
  {
    if (waiting->number == number)
      break;
  }
  return waiting;
}

static void
finish_waiting (lt_quota_controller_t *c, quota_waiting_t *waiting,
                bool admitted)
{
  if (!admitted && may_retry (waiting, lt_node_now_us (c->base.node)))
    {
      waiting->token_requested = false;
      waiting->denied = true;
      return;
    }
  lt_request_t *request = waiting->request;
  waiting_free (c, waiting);
  if (admit (c, request, admitted, "home") == LT_FILTER_CONTINUE)
    lt_request_resume (request);
}

void
lt_quota_finish (lt_quota_controller_t *c, uint64_t number, bool admitted)
{
  quota_waiting_t *waiting = find_waiting (c, number);
  if (waiting != NULL)
    finish_waiting (c, waiting, admitted);
}

static void
request_token (lt_quota_controller_t *c, quota_waiting_t *waiting,
               int64_t now_us)
{
  uint64_t number = waiting->number;
  uint64_t workspace = waiting->workspace;
  waiting->token_requested = true;
  if (!lt_quota_is_self (c, c->home_lease.id))
    lt_quota_send_request (c, workspace, 1, number, now_us);
  else if (lt_quota_buckets_take (c->home_buckets, workspace, true, now_us))
    lt_quota_finish (c, number, true);
  else if (!lt_quota_borrow (c, str_make (NULL, 0), number, workspace, now_us))
    lt_quota_finish (c, number, false);
}

static void
on_grant (lt_quota_controller_t *c, const lt_peer_message_t *message,
          int64_t now_us)
{
  lt_wire_quota_tokens_t grant;
  quota_waiting_t *waiting;
  if (lt_wire_quota_tokens_decode (message->payload, &grant) != 0)
    {
      lt_quota_count (c, QUOTA_COUNT_MALFORMED);
      return;
    }
  lt_quota_note_grant (c, message->sender, &grant, now_us);
  waiting = find_waiting (c, message->correlation);
  if (waiting != NULL && grant.home_clock_us == 0)
    waiting->token_requested = false; /* The next home will be. */
  else if (waiting != NULL)
    finish_waiting (c, waiting, grant.count > 0);
}

/* Refuses requests that waited too long, and requests tokens for those that
   have not done so.  */
static void
process_waiting (lt_quota_controller_t *c, int64_t now_us)
{
  quota_waiting_t *waiting;
  quota_waiting_t *next;
  bool ready = lt_quota_controller_is_ready (c, now_us);
  DL_FOREACH_SAFE (c->waiting, waiting, next)
  {
    if (now_us - waiting->since_us > token_wait_us (waiting, ready))
      {
        lt_request_t *request = waiting->request;
        const char *place = waiting->denied ? "home" : "no-answer";
        lt_quota_count (c, QUOTA_COUNT_EXPIRED);
        waiting_free (c, waiting);
        deny (c, request, place);
      }
    else if (!waiting->token_requested && lt_quota_can_use_home (c, now_us))
      request_token (c, waiting, now_us);
  }
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_quota_controller_t *c = (lt_quota_controller_t *)base;
  uint32_t vms = lt_quota_vms (c);
  /* No request is admitted before the number of VMs that share the rates is
     known.  */
  if (vms == 0)
    {
      process_waiting (c, now_us);
      return;
    }
  if (vms != c->vms)
    {
      if (c->vms == 0)
        c->vms_known_since_us = now_us;
      c->vms = vms;
      lt_quota_buckets_set_all (c->own_buckets, LT_QUOTA_WHOLE_PPM / vms,
                                now_us);
    }
  lt_quota_update_home (c, now_us);
  lt_quota_update_parent (c, now_us);
  lt_quota_expire_borrows (c, now_us);
  process_waiting (c, now_us);
}

static void
on_frame (lt_controller_t *base, const lt_peer_message_t *message,
          int64_t now_us)
{
  lt_quota_controller_t *c = (lt_quota_controller_t *)base;
  switch (message->type)
    {
    case LT_MESSAGE_QUOTA_REQUEST:
      lt_quota_on_request (c, message, now_us);
      break;
    case LT_MESSAGE_QUOTA_GRANT:
      on_grant (c, message, now_us);
      break;
    case LT_MESSAGE_QUOTA_REPORT:
      lt_quota_on_report (c, message, now_us);
      break;
    case LT_MESSAGE_QUOTA_SHARES:
      lt_quota_on_shares (c, message, now_us);
      break;
    case LT_MESSAGE_QUOTA_BORROW:
      lt_quota_on_borrow (c, message, now_us);
      break;
    case LT_MESSAGE_QUOTA_LENT:
      lt_quota_on_lent (c, message, now_us);
      break;
    }
}

static void
on_config (lt_controller_t *base, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  lt_quota_controller_t *c = (lt_quota_controller_t *)base;
  if (old != NULL && old->source_version == current->source_version)
    return;
  const lt_settings_t *settings = base->node->settings;
  int64_t permille = PERMILLE + settings->rate_over_permille;
  lt_quota_rate_t *rates
      = lt_alloc ((current->workspace_count + 1) * sizeof (*rates));
  uint32_t count = 0;
  for (uint32_t i = 0; i < current->workspace_count; i++)
    {
      const lt_workspace_t *workspace = &current->workspaces[i];
      if (workspace->unlimited)
        continue;
      rates[count++] = (lt_quota_rate_t){
        .workspace = lt_hash64 (workspace->name),
        .rate_milli_per_s = workspace->rate_milli_per_s * permille / PERMILLE,
        .burst = workspace->burst * permille / PERMILLE + settings->rate_slack,
      };
    }
  lt_quota_buckets_configure (c->own_buckets, rates, count, now_us);
  lt_quota_buckets_configure (c->home_buckets, rates, count, now_us);
  lt_quota_buckets_configure (c->reserve_buckets, rates, count, now_us);
  free (rates);
}

static json_t *
status (lt_controller_t *base)
{
  const lt_quota_controller_t *c = (lt_quota_controller_t *)base;
  int64_t now_us = lt_node_now_us (base->node);
  json_t *json = json_pack (
      "{s:s, s:s, s:b, s:i, s:I}", "home", c->home_lease.id, "parent",
      c->parent_lease.id, "alone",
      (int)lt_quota_uses_own_allocation (c, now_us), "members",
      (int)lt_quota_members_count (c->members, now_us), "shares_age_us",
      (json_int_t)(c->shares_received_us == 0
                       ? -1
                       : now_us - c->shares_received_us));
  return json;
}

static void
destroy (lt_controller_t *base)
{
  lt_quota_controller_t *c = (lt_quota_controller_t *)base;
  quota_waiting_t *waiting;
  quota_waiting_t *next;
  DL_FOREACH_SAFE (c->waiting, waiting, next) { waiting_free (c, waiting); }
  lt_quota_buckets_destroy (c->own_buckets);
  lt_quota_buckets_destroy (c->home_buckets);
  lt_quota_buckets_destroy (c->reserve_buckets);
  lt_quota_destroy_borrows (c);
  lt_quota_members_destroy (c->members);
  lt_quota_parent_destroy (c->parent);
  base->node->quota_controller = NULL;
  free (c);
}

static const lt_controller_vtable_t vtable
    = { .name = "quota",
        .message_types = LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUOTA_REQUEST)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUOTA_GRANT)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUOTA_REPORT)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUOTA_SHARES)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUOTA_BORROW)
                         | LT_MESSAGE_TYPE_BIT (LT_MESSAGE_QUOTA_LENT),
        .tick = tick,
        .on_message = on_frame,
        .on_config = on_config,
        .status = status,
        .destroy = destroy };

lt_controller_t *
lt_quota_controller_create (lt_node_t *node)
{
  lt_quota_controller_t *c = lt_alloc (sizeof (*c));
  c->base.vtable = &vtable;
  c->base.node = node;
  c->times = LT_QUOTA_TIMES_DEFAULT;
  c->own_buckets = lt_quota_buckets_create (&c->times, &node->rng);
  c->home_buckets = lt_quota_buckets_create (&c->times, &node->rng);
  c->reserve_buckets = lt_quota_buckets_create (&c->times, &node->rng);
  c->members = lt_quota_members_create (&c->times);
  c->parent = lt_quota_parent_create (&c->times);
  for (int i = 0; i < QUOTA_COUNTS; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\"", count_names[i]);
      c->counts[i]
          = lt_metrics_counter (node->metrics, "lavendertrack_quota_total",
                                "Events of fleet-wide rates.", labels);
    }
  node->quota_controller = c;
  return &c->base;
}
