#include "lt/node/limit_controller.h"

#include <ev.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "limit_codec.h"
#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "lt/node/node.h"
#include "lt/policy/limit_holder.h"
#include "lt/policy/limit_home.h"
#include "lt/policy/membership.h"
#include "lt/wire/frame.h"

/** Longest wait of a request for borrowed tokens.  */
#define WAIT_MAX_US 250000
/** A planned stop gives up returning shares after this time; what was not
    returned is recovered when its validity ends.  */
#define DRAIN_MAX_US (3 * LT_US_PER_S)
#define TABLE_TIMEOUT_MS 1000
#define REGIONS_MAX 8
#define LENDERS_MAX 3
/** Rendezvous weights computed in one tick: at 2,000 VMs all groups together
    would hold up the loop for tens of milliseconds.  */
#define WEIGHTS_PER_TICK 65536

#define COUNT_TABLE(X)                                                        \
  X (COUNT_GRANTED, "granted")                                                \
  X (COUNT_REFUSED, "refused")                                                \
  X (COUNT_WAITED, "waited")                                                  \
  X (COUNT_WAIT_OVER, "wait-over")                                            \
  X (COUNT_SENT, "message-sent")                                              \
  X (COUNT_UNSENT, "message-unsent")                                          \
  X (COUNT_RECEIVED, "message-received")                                      \
  X (COUNT_MALFORMED, "message-malformed")                                    \
  X (COUNT_READ, "record-read")                                               \
  X (COUNT_WRITTEN, "record-written")                                         \
  X (COUNT_TABLE_FAILED, "record-failed")

#define COUNT_ENUM(name, text) name,
typedef enum count
{
  COUNT_TABLE (COUNT_ENUM) COUNTS
} count_t;

#define COUNT_NAME(name, text) (text),
static const char *const count_names[] = { COUNT_TABLE (COUNT_NAME) };

typedef struct group
{
  lt_limit_home_t *home; /**< NULL: this VM is not its home. */
  lt_limit_rate_t *rates;
  uint32_t rate_count;
  lt_limit_vm_t owner; /**< Of the record; empty: none. */
  lt_limit_vm_t lenders[LENDERS_MAX];
  uint32_t lender_count;
} group_t;

/** A request that waits for tokens, or is about to be resumed.  */
typedef struct waiting
{
  struct waiting *prev;
  struct waiting *next;
  lt_request_t *request;
  uint64_t workspace;
  int64_t until_us;
  bool granted;
  int64_t retry_after_us;
} waiting_t;

/** A table call; outlives the controller.  */
typedef struct call
{
  struct call *prev;
  struct call *next;
  lt_limit_controller_t *controller; /**< NULL: destroyed. */
  uint32_t group;
  bool write;
} call_t;

struct lt_limit_controller
{
  lt_controller_t base;
  lt_limit_vm_t vm;
  lt_limit_holder_t *holder;
  group_t groups[LT_LIMIT_GROUPS];
  bool configured;
  uint64_t members;  /**< Generation that the owners stand on. */
  uint32_t placed;   /**< Groups that stand on it. */
  waiting_t waiting; /**< List heads. */
  waiting_t ready;
  ev_timer resume;
  call_t calls;
  int64_t drain_started_us;
  lt_counter_t *counts[COUNTS];
};

static void
count (lt_limit_controller_t *controller, count_t name)
{
  controller->counts[name]->value++;
}

static void
waiting_unlink (waiting_t *waiting)
{
  waiting->prev->next = waiting->next;
  waiting->next->prev = waiting->prev;
}

static void
waiting_append (waiting_t *head, waiting_t *waiting)
{
  waiting->prev = head->prev;
  waiting->next = head;
  head->prev->next = waiting;
  head->prev = waiting;
}

/* Resumes requests from the loop, so that a long chain of them does not grow
   the stack.  */
static void
on_resume (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_limit_controller_t *controller = watcher->data;
  while (controller->ready.next != &controller->ready)
    {
      waiting_t *waiting = controller->ready.next;
      waiting_unlink (waiting);
      waiting->prev = waiting->next = waiting;
      if (waiting->granted)
        lt_request_resume (waiting->request);
      else
        lt_request_refuse_after (waiting->request, LT_REFUSE_RATE,
                                 waiting->retry_after_us / LT_US_PER_MS + 1);
    }
}

static void
make_ready (lt_limit_controller_t *controller, waiting_t *waiting,
            const lt_limit_spend_t *spend)
{
  waiting_unlink (waiting);
  waiting->granted = spend->verdict == LT_LIMIT_GRANTED;
  waiting->retry_after_us = spend->retry_after_us;
  waiting_append (&controller->ready, waiting);
  count (controller, waiting->granted ? COUNT_GRANTED : COUNT_REFUSED);
  if (!ev_is_active (&controller->resume))
    {
      ev_timer_set (&controller->resume, 0, 0);
      ev_timer_start (controller->base.node->loop, &controller->resume);
    }
}

/* Spends again for the waiting requests of WORKSPACE.  */
static void
wake (lt_limit_controller_t *controller, uint64_t workspace, int64_t now_us,
      lt_limit_actions_t *actions)
{
  uint32_t index = lt_limit_holder_index (controller->holder, workspace);
  for (waiting_t *w = controller->waiting.next, *next;
       w != &controller->waiting; w = next)
    {
      next = w->next;
      if (w->workspace != workspace)
        continue;
      lt_limit_spend_t spend = lt_limit_holder_spend (
          controller->holder, index, true, now_us, actions);
      if (spend.verdict != LT_LIMIT_WAIT)
        make_ready (controller, w, &spend);
    }
}

static bool
for_home (const lt_limit_message_t *message)
{
  return !message->recall
         && (message->type == LT_LIMIT_SHARE_ASK
             || message->type == LT_LIMIT_SHARE_RENEW
             || message->type == LT_LIMIT_SHARE_RETURN);
}

static void
receive (lt_limit_controller_t *controller, const lt_limit_vm_t *from,
         const lt_limit_message_t *message, int64_t now_us,
         lt_limit_actions_t *actions)
{
  if (!for_home (message))
    {
      lt_limit_holder_message (controller->holder, from, message, now_us,
                               actions);
      return;
    }
  lt_limit_home_t *home
      = controller->groups[lt_limit_group (message->workspace)].home;
  if (home == NULL)
    return;
  lt_limit_home_message (home, from, message, now_us);
  lt_limit_home_tick (home, now_us, actions);
}

/* Messages to this VM itself are delivered at once.  */
static void
send (lt_limit_controller_t *controller, const lt_limit_vm_t *to,
      const lt_limit_message_t *message, int64_t now_us,
      lt_limit_actions_t *actions)
{
  if (to->id[0] == '\0')
    return;
  if (memcmp (to, &controller->vm, sizeof (*to)) == 0)
    {
      receive (controller, to, message, now_us, actions);
      return;
    }
  lt_buf_t payload = { 0 };
  lt_limit_message_encode (message, &payload);
  int error = lt_node_send (controller->base.node, str_from (to->id),
                            (uint16_t)message->type, 0, lt_buf_str (&payload));
  count (controller, error == 0 ? COUNT_SENT : COUNT_UNSENT);
  lt_buf_destroy (&payload);
}

static void call_table (lt_limit_controller_t *controller,
                        const lt_limit_action_t *action);

/* Carries out ACTIONS, which grows meanwhile, and destroys it.  */
static void
carry_out (lt_limit_controller_t *controller, lt_limit_actions_t *actions,
           int64_t now_us)
{
  for (size_t i = 0; i < actions->count; i++)
    {
      lt_limit_action_t action = actions->items[i];
      const group_t *group = &controller->groups[action.group];
      if (action.type == LT_LIMIT_SEND)
        send (controller, &action.vm, &action.message, now_us, actions);
      else if (action.type == LT_LIMIT_SEND_HOME)
        send (controller, &group->owner, &action.message, now_us, actions);
      else if (action.type == LT_LIMIT_SEND_LENDER
               && action.rank < group->lender_count)
        send (controller, &group->lenders[action.rank], &action.message,
              now_us, actions);
      else if (action.type == LT_LIMIT_WAKE)
        wake (controller, action.message.workspace, now_us, actions);
      else if (action.type == LT_LIMIT_READ || action.type == LT_LIMIT_WRITE)
        call_table (controller, &action);
    }
  lt_limit_actions_destroy (actions);
}

static void
read_done (lt_limit_controller_t *controller, lt_limit_home_t *home,
           const lt_table_result_t *result, int64_t now_us,
           lt_limit_actions_t *actions)
{
  lt_limit_record_t record = { 0 };
  lt_limit_outcome_t outcome = LT_LIMIT_UNKNOWN;
  if (result->outcome == LT_OUTCOME_DONE && result->count == 1)
    {
      const lt_table_item_t *item = &result->items[0];
      outcome = LT_LIMIT_DONE;
      record.version = item->version;
      if (item->version > 0
          && lt_limit_record_decode (item->value, &record) != 0)
        {
          /* Nothing can be granted against a record that is not understood. */
          lt_log (LT_LOG_ERROR, "limit", "msg=\"malformed record\" key=%.*s",
                  STR_ARG (item->key));
          outcome = LT_LIMIT_UNKNOWN;
        }
    }
  if (outcome != LT_LIMIT_DONE)
    count (controller, COUNT_TABLE_FAILED);
  lt_limit_home_read_done (home, outcome, &record, now_us, actions);
  lt_limit_record_destroy (&record);
}

static void
on_table (void *user, const lt_table_result_t *result)
{
  call_t *call = user;
  lt_limit_controller_t *controller = call->controller;
  uint32_t group = call->group;
  bool write = call->write;
  if (controller != NULL)
    {
      call->prev->next = call->next;
      call->next->prev = call->prev;
    }
  free (call);
  if (controller == NULL || controller->groups[group].home == NULL)
    return;
  lt_limit_home_t *home = controller->groups[group].home;
  int64_t now_us = lt_node_now_us (controller->base.node);
  lt_limit_actions_t actions = { 0 };
  if (!write)
    read_done (controller, home, result, now_us, &actions);
  else
    {
      lt_limit_outcome_t outcome
          = result->outcome == LT_OUTCOME_DONE      ? LT_LIMIT_DONE
            : result->outcome == LT_OUTCOME_REFUSED ? LT_LIMIT_CONFLICT
                                                    : LT_LIMIT_UNKNOWN;
      if (outcome != LT_LIMIT_DONE)
        count (controller, COUNT_TABLE_FAILED);
      lt_limit_home_write_done (home, outcome, now_us, &actions);
    }
  lt_limit_home_tick (home, now_us, &actions);
  carry_out (controller, &actions, now_us);
}

static void
call_table (lt_limit_controller_t *controller, const lt_limit_action_t *action)
{
  char key[32];
  snprintf (key, sizeof (key), "limits/%u", action->group);
  lt_buf_t value = { 0 };
  lt_table_op_t op = { .kind = LT_TABLE_GET, .key = str_from (key) };
  bool write = action->type == LT_LIMIT_WRITE;
  if (write)
    {
      lt_limit_record_encode (
          lt_limit_home_draft (controller->groups[action->group].home),
          &value);
      op.kind = LT_TABLE_PUT;
      op.expected_version = action->expected_version;
      op.value = lt_buf_str (&value);
    }
  call_t *call = lt_alloc (sizeof (*call));
  call->controller = controller;
  call->group = action->group;
  call->write = write;
  call->prev = &controller->calls;
  call->next = controller->calls.next;
  call->next->prev = call;
  controller->calls.next = call;
  count (controller, write ? COUNT_WRITTEN : COUNT_READ);
  lt_table_t *table = controller->base.node->platform.table;
  if (table->vtable->submit (table, &op, 1, TABLE_TIMEOUT_MS, on_table, call)
      != 0)
    {
      lt_table_result_t failed = { .outcome = LT_OUTCOME_UNKNOWN };
      on_table (call, &failed);
    }
  lt_buf_destroy (&value);
}

static void
own_group (lt_limit_controller_t *controller, uint32_t index, bool own,
           int64_t now_us)
{
  group_t *group = &controller->groups[index];
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
      str_t region = lt_membership_at (node->membership, i).last.region;
      bool known = region.len == 0;
      for (size_t k = 0; k < found; k++)
        known |= str_equal (region, regions[k]);
      if (!known)
        regions[found++] = region;
    }
  return found;
}

/* Sets home and lenders of a group from the membership.  */
static void
place_group (lt_limit_controller_t *controller, uint32_t index,
             const str_t *regions, size_t region_count, int64_t now_us)
{
  const lt_node_t *node = controller->base.node;
  group_t *group = &controller->groups[index];
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
      else if (group->lender_count < LENDERS_MAX
               && lt_limit_vm_set (&group->lenders[group->lender_count],
                                   lender.data, lender.len)
                      == 0)
        group->lender_count++;
    }
  (void)lt_limit_vm_set (&group->owner, owner.data, owner.len);
  lt_limit_holder_set_home (controller->holder, index,
                            own             ? LT_LIMIT_PLACE_SELF
                            : owner.len > 0 ? LT_LIMIT_PLACE_OTHER
                                            : LT_LIMIT_PLACE_NONE);
  lt_limit_holder_set_lenders (controller->holder, index, group->lender_count,
                               lends);
  own_group (controller, index, own && group->rate_count > 0, now_us);
}

/* Without other VMs, this one is home and lender of all groups.  */
static void
place_alone (lt_limit_controller_t *controller, int64_t now_us)
{
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    {
      controller->groups[i].owner = controller->vm;
      lt_limit_holder_set_home (controller->holder, i, LT_LIMIT_PLACE_SELF);
      lt_limit_holder_set_lenders (controller->holder, i, 0, true);
      own_group (controller, i, controller->groups[i].rate_count > 0, now_us);
    }
}

/* Places the next groups after a change of the membership.  */
static void
place_groups (lt_limit_controller_t *controller, int64_t now_us)
{
  const lt_node_t *node = controller->base.node;
  if (node->membership == NULL)
    {
      place_alone (controller, now_us);
      return;
    }
  str_t regions[REGIONS_MAX];
  size_t region_count = find_regions (node, regions);
  size_t weights = lt_membership_count (node->membership) * (region_count + 1);
  uint32_t left = (uint32_t)(WEIGHTS_PER_TICK / weights) + 1;
  for (; left > 0 && controller->placed < LT_LIMIT_GROUPS; left--)
    place_group (controller, controller->placed++, regions, region_count,
                 now_us);
}

static void
follow_members (lt_limit_controller_t *controller, int64_t now_us)
{
  const lt_membership_t *membership = controller->base.node->membership;
  if (membership == NULL)
    return;
  uint64_t members = lt_membership_generation (membership);
  if (members != controller->members)
    controller->placed = 0;
  controller->members = members;
  if (controller->placed < LT_LIMIT_GROUPS)
    place_groups (controller, now_us);
}

/* Refuses requests that waited too long.  */
static void
end_waits (lt_limit_controller_t *controller, int64_t now_us)
{
  for (waiting_t *w = controller->waiting.next, *next;
       w != &controller->waiting; w = next)
    {
      next = w->next;
      if (now_us < w->until_us)
        continue;
      lt_limit_spend_t spend = { LT_LIMIT_REFUSED, LT_US_PER_S };
      count (controller, COUNT_WAIT_OVER);
      make_ready (controller, w, &spend);
    }
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  if (!controller->configured)
    return;
  follow_members (controller, now_us);
  lt_limit_actions_t actions = { 0 };
  lt_limit_holder_tick (controller->holder, now_us, &actions);
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    if (controller->groups[i].home != NULL)
      lt_limit_home_tick (controller->groups[i].home, now_us, &actions);
  carry_out (controller, &actions, now_us);
  end_waits (controller, now_us);
}

static void
on_frame (lt_controller_t *base, const lt_peer_message_t *peer, int64_t now_us)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  lt_limit_message_t message;
  lt_limit_vm_t from;
  count (controller, COUNT_RECEIVED);
  /* Only the holder itself may speak for its incarnation.  */
  if (lt_limit_vm_set (&from, peer->sender.data, peer->sender.len) != 0
      || lt_limit_message_decode ((lt_limit_message_type_t)peer->type,
                                  peer->payload, &message)
             != 0
      || (for_home (&message)
          && message.incarnation != (int64_t)peer->incarnation))
    {
      count (controller, COUNT_MALFORMED);
      return;
    }
  lt_limit_actions_t actions = { 0 };
  receive (controller, &from, &message, now_us, &actions);
  carry_out (controller, &actions, now_us);
}

static void
configure_groups (lt_limit_controller_t *controller,
                  const lt_limit_rate_t *rates, uint32_t rate_count,
                  int64_t now_us)
{
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    controller->groups[i].rate_count = 0;
  for (uint32_t i = 0; i < rate_count; i++)
    {
      group_t *group
          = &controller->groups[lt_limit_group (rates[i].workspace)];
      group->rates = lt_realloc (group->rates, (group->rate_count + 1)
                                                   * sizeof (*group->rates));
      group->rates[group->rate_count++] = rates[i];
    }
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    if (controller->groups[i].home != NULL)
      lt_limit_home_configure (controller->groups[i].home,
                               controller->groups[i].rates,
                               controller->groups[i].rate_count, now_us);
}

static void
on_config (lt_controller_t *base, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  (void)old;
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  uint32_t rate_count = current->workspace_count;
  lt_limit_rate_t *rates = lt_alloc ((rate_count + 1) * sizeof (*rates));
  for (uint32_t i = 0; i < rate_count; i++)
    {
      const lt_workspace_t *workspace = &current->workspaces[i];
      rates[i].workspace = lt_hash64 (workspace->name);
      rates[i].rate_milli_per_s = workspace->rate_milli_per_s;
      rates[i].burst = workspace->burst < LT_LIMIT_BURST_MAX
                           ? workspace->burst
                           : LT_LIMIT_BURST_MAX;
      if (rates[i].rate_milli_per_s > LT_LIMIT_RATE_MILLI_MAX)
        rates[i].rate_milli_per_s = LT_LIMIT_RATE_MILLI_MAX;
    }
  lt_limit_holder_configure (controller->holder, rates, rate_count, now_us);
  configure_groups (controller, rates, rate_count, now_us);
  free (rates);
  controller->configured = true;
  controller->placed = 0;
  place_groups (controller, now_us);
  tick (base, now_us);
}

static bool
stop (lt_controller_t *base, int64_t now_us)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  if (controller->drain_started_us == 0)
    controller->drain_started_us = now_us;
  lt_limit_actions_t actions = { 0 };
  lt_limit_holder_drain (controller->holder, now_us, &actions);
  carry_out (controller, &actions, now_us);
  if (base->node->membership == NULL)
    return true;
  bool drained = lt_limit_holder_drained (controller->holder);
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    if (controller->groups[i].home != NULL
        && lt_limit_home_status (controller->groups[i].home, now_us).leased)
      drained = false;
  return drained || now_us - controller->drain_started_us > DRAIN_MAX_US;
}

static void
add_home_status (const lt_limit_controller_t *controller, json_t *json)
{
  int64_t now_us = lt_node_now_us (controller->base.node);
  int64_t homes = 0;
  int64_t leased = 0;
  int64_t reclaimed = 0;
  int64_t conflicts = 0;
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    {
      if (controller->groups[i].home == NULL)
        continue;
      lt_limit_home_status_t home
          = lt_limit_home_status (controller->groups[i].home, now_us);
      homes++;
      leased += home.leased;
      reclaimed += (int64_t)home.reclaimed;
      conflicts += (int64_t)home.conflicts;
    }
  json_object_set_new (json, "homes", json_integer (homes));
  json_object_set_new (json, "leased", json_integer (leased));
  json_object_set_new (json, "reclaimed", json_integer (reclaimed));
  json_object_set_new (json, "conflicts", json_integer (conflicts));
}

static json_t *
status (lt_controller_t *base)
{
  const lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  json_t *json = json_object ();
  json_t *shares = json_object ();
  const lt_snapshot_ref_t *config = base->node->config;
  uint32_t workspaces = config == NULL ? 0 : config->snapshot->workspace_count;
  for (uint32_t i = 0; i < workspaces; i++)
    {
      str_t name = config->snapshot->workspaces[i].name;
      lt_limit_holder_status_t share;
      uint32_t index
          = lt_limit_holder_index (controller->holder, lt_hash64 (name));
      if (lt_limit_holder_status (controller->holder, index, &share) != 0
          || share.ppm == 0)
        continue;
      json_object_setn_new (shares, name.data, name.len,
                            json_pack ("{s:I, s:f, s:f}", "ppm",
                                       (json_int_t)share.ppm, "tokens",
                                       (double)share.tokens / LT_LIMIT_TOKEN,
                                       "demand_per_s", share.demand_per_s));
    }
  json_object_set_new (json, "shares", shares);
  add_home_status (controller, json);
  for (int i = 0; i < COUNTS; i++)
    json_object_set_new (
        json, count_names[i],
        json_integer ((json_int_t)controller->counts[i]->value));
  return json;
}

static void
destroy (lt_controller_t *base)
{
  lt_limit_controller_t *controller = (lt_limit_controller_t *)base;
  for (call_t *call = controller->calls.next; call != &controller->calls;
       call = call->next)
    call->controller = NULL;
  for (waiting_t *head = &controller->waiting; head != NULL;
       head = head == &controller->waiting ? &controller->ready : NULL)
    while (head->next != head)
      {
        waiting_t *waiting = head->next;
        waiting_unlink (waiting);
        waiting->prev = waiting->next = waiting;
      }
  ev_timer_stop (base->node->loop, &controller->resume);
  for (uint32_t i = 0; i < LT_LIMIT_GROUPS; i++)
    {
      lt_limit_home_destroy (controller->groups[i].home);
      free (controller->groups[i].rates);
    }
  lt_limit_holder_destroy (controller->holder);
  base->node->limit_controller = NULL;
  free (controller);
}

static const lt_controller_vtable_t vtable
    = { .name = "limit",
        .types = LT_TYPE_BIT (LT_MESSAGE_SHARE_ASK)
                 | LT_TYPE_BIT (LT_MESSAGE_SHARE_GRANT)
                 | LT_TYPE_BIT (LT_MESSAGE_SHARE_RETURN)
                 | LT_TYPE_BIT (LT_MESSAGE_SHARE_RENEW)
                 | LT_TYPE_BIT (LT_MESSAGE_SHARE_ACK)
                 | LT_TYPE_BIT (LT_MESSAGE_TOKENS_ASK)
                 | LT_TYPE_BIT (LT_MESSAGE_TOKENS_LEND),
        .tick = tick,
        .on_frame = on_frame,
        .on_config = on_config,
        .status = status,
        .stop = stop,
        .destroy = destroy };

lt_controller_t *
lt_limit_controller_create (lt_node_t *node)
{
  lt_limit_controller_t *controller = lt_alloc (sizeof (*controller));
  controller->base.vtable = &vtable;
  controller->base.node = node;
  str_t id = node->settings->vm_id;
  if (lt_limit_vm_set (&controller->vm, id.data, id.len) != 0)
    lt_log (LT_LOG_ERROR, "limit", "msg=\"VM id empty or too long\"");
  lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  options.incarnation = (int64_t)node->incarnation;
  controller->holder = lt_limit_holder_create (&options);
  controller->waiting.prev = controller->waiting.next = &controller->waiting;
  controller->ready.prev = controller->ready.next = &controller->ready;
  controller->calls.prev = controller->calls.next = &controller->calls;
  ev_timer_init (&controller->resume, on_resume, 0, 0);
  controller->resume.data = controller;
  for (int i = 0; i < COUNTS; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\"", count_names[i]);
      controller->counts[i]
          = lt_metrics_counter (node->metrics, "lavendertrack_limit_total",
                                "Events of the rate limit.", labels);
    }
  node->limit_controller = controller;
  return &controller->base;
}

static lt_filter_result_t
wait (lt_limit_controller_t *controller, lt_request_t *request, int slot,
      uint64_t workspace, int64_t now_us)
{
  waiting_t *waiting = lt_alloc (sizeof (*waiting));
  waiting->request = request;
  waiting->workspace = workspace;
  waiting->until_us = now_us + WAIT_MAX_US;
  if (request->deadline_us > 0 && request->deadline_us < waiting->until_us)
    waiting->until_us = request->deadline_us;
  waiting_append (&controller->waiting, waiting);
  request->filter_state[slot] = waiting;
  count (controller, COUNT_WAITED);
  return LT_FILTER_WAIT;
}

lt_filter_result_t
lt_limit_controller_spend (lt_limit_controller_t *controller,
                           lt_request_t *request, int slot)
{
  int64_t now_us = lt_node_now_us (controller->base.node);
  str_t name = request->snapshot->workspaces[request->workspace].name;
  uint64_t workspace = lt_hash64 (name);
  lt_limit_actions_t actions = { 0 };
  lt_limit_spend_t spend = lt_limit_holder_spend (
      controller->holder,
      lt_limit_holder_index (controller->holder, workspace), false, now_us,
      &actions);
  lt_filter_result_t result = LT_FILTER_CONTINUE;
  if (spend.verdict == LT_LIMIT_WAIT)
    result = wait (controller, request, slot, workspace, now_us);
  carry_out (controller, &actions, now_us);
  if (spend.verdict == LT_LIMIT_GRANTED)
    count (controller, COUNT_GRANTED);
  if (spend.verdict != LT_LIMIT_REFUSED)
    return result;
  count (controller, COUNT_REFUSED);
  return lt_request_refuse_after (request, LT_REFUSE_RATE,
                                  spend.retry_after_us / LT_US_PER_MS + 1);
}

void
lt_limit_controller_forget (lt_limit_controller_t *controller,
                            lt_request_t *request, int slot)
{
  (void)controller;
  waiting_t *waiting = request->filter_state[slot];
  if (waiting == NULL)
    return;
  waiting_unlink (waiting);
  free (waiting);
  request->filter_state[slot] = NULL;
}
