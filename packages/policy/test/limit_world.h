// Discrete-event simulation of a fleet for the rate limiter: VMs with drifting
// clocks, a network that loses, duplicates and delays messages, and a table
// that can be down or lose a response.  Used by test_limit.cc and
// bench_limit.c, so it compiles as C and C++.
#ifndef LT_POLICY_TEST_LIMIT_WORLD_H
#define LT_POLICY_TEST_LIMIT_WORLD_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/rng.h"
#include "lt/base/str.h"
#include "lt/policy/limit_holder.h"
#include "lt/policy/limit_home.h"

#define WORLD_VMS 64
#define WORLD_WORKSPACES 8
#define WORLD_REGIONS 3

typedef enum world_kind
{
  WORLD_TICK,
  WORLD_MESSAGE,
  WORLD_READ,
  WORLD_WRITE,       // A write reaches the table.
  WORLD_WRITE_REPLY, // Its response reaches the VM.
  WORLD_ARRIVAL,
  WORLD_WAIT_TIMEOUT
} world_kind_t;

typedef struct world_event
{
  int64_t at_us;
  uint64_t order; // Of events at the same time.
  world_kind_t kind;
  int vm;
  int process; // Events for an ended process are dropped.
  int workspace;
  lt_limit_vm_t from;
  lt_limit_message_t message;
  lt_limit_record_t *record; // Owned by the event.
  lt_limit_outcome_t outcome;
  int64_t expected_version;
  int64_t request; // WORLD_WAIT_TIMEOUT: number of the waiting request.
} world_event_t;

typedef struct world_vm
{
  lt_limit_vm_t name;
  int process; // Number of the process that runs on this VM.
  int64_t incarnation;
  bool alive;
  int64_t paused_until_us;
  int region;
  double drift;
  int64_t offset_us;
  lt_limit_holder_t *holder;
  lt_limit_home_t *homes[WORLD_WORKSPACES];
  int known_home[WORLD_WORKSPACES];             // Index of the VM, or -1.
  int lenders[WORLD_WORKSPACES][WORLD_REGIONS]; // Indexes of other VMs.
  int lender_count[WORLD_WORKSPACES];
} world_vm_t;

typedef struct world_waiting
{
  int64_t arrived_us;
  uint64_t number;
} world_waiting_t;

// Waiting requests of one workspace on one VM.
typedef struct world_queue
{
  world_waiting_t *items;
  size_t count;
  size_t cap;
} world_queue_t;

typedef struct world
{
  int64_t now_us;
  uint64_t order;
  lt_rng_t rng;
  world_event_t *events; // Binary heap by (at_us, order).
  size_t event_count;
  size_t event_cap;
  world_vm_t vms[WORLD_VMS];
  int vm_count;
  int workspace_count;
  lt_limit_rate_t rates[WORLD_WORKSPACES];
  lt_limit_times_t times;
  lt_limit_record_t table[WORLD_WORKSPACES];
  bool store_up;
  bool cut[WORLD_REGIONS][WORLD_REGIONS];
  double loss, duplicated, delayed;    // Probabilities per message.
  double lost_response, delayed_write; // Probabilities per write.
  int64_t max_delay_us;
  // Latencies within a region, between regions, and of the table.
  int64_t local_latency_us, remote_latency_us, store_latency_us;
  int64_t max_wait_us;
  world_queue_t waiting[WORLD_VMS][WORLD_WORKSPACES];
  uint64_t messages, writes, reads;
  void *user;
  // Called for each admitted and each refused request.
  void (*admitted) (struct world *, int vm, int workspace, int64_t waited_us);
  void (*refused) (struct world *, int vm, int workspace);
  // Called for each request before the limiter; may be NULL.
  void (*arrived) (struct world *, int vm, int workspace);
} world_t;

static bool
world_before (const world_event_t *a, const world_event_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
world_push (world_t *w, world_event_t event)
{
  event.order = w->order++;
  if (w->event_count == w->event_cap)
    {
      w->event_cap = w->event_cap == 0 ? 256 : 2 * w->event_cap;
      w->events = (world_event_t *)lt_realloc (
          w->events, w->event_cap * sizeof (*w->events));
    }
  size_t i = w->event_count++;
  while (i > 0 && world_before (&event, &w->events[(i - 1) / 2]))
    {
      w->events[i] = w->events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  w->events[i] = event;
}

static world_event_t
world_pop (world_t *w)
{
  world_event_t top = w->events[0];
  world_event_t last = w->events[--w->event_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= w->event_count)
        break;
      if (child + 1 < w->event_count
          && world_before (&w->events[child + 1], &w->events[child]))
        child++;
      if (!world_before (&w->events[child], &last))
        break;
      w->events[i] = w->events[child];
      i = child;
    }
  w->events[i] = last;
  return top;
}

static int64_t
world_clock (const world_t *w, int vm)
{
  return w->vms[vm].offset_us
         + (int64_t)((double)w->now_us * (1 + w->vms[vm].drift));
}

static bool
world_reaches (const world_t *w, int from, int to)
{
  return !w->cut[w->vms[from].region][w->vms[to].region];
}

static bool
world_store_reached (const world_t *w, int vm)
{
  return w->store_up && !w->cut[w->vms[vm].region][0];
}

static void
world_send (world_t *w, int from, int to, const lt_limit_message_t *message)
{
  w->messages += from != to;
  if (!w->vms[to].alive || !world_reaches (w, from, to))
    return;
  if (from != to && lt_rng_unit (&w->rng) < w->loss)
    return;
  world_event_t event;
  memset (&event, 0, sizeof (event));
  event.kind = WORLD_MESSAGE;
  event.vm = to;
  event.process = w->vms[to].process;
  event.from = w->vms[from].name;
  event.message = *message;
  bool same_region = w->vms[from].region == w->vms[to].region;
  event.at_us = w->now_us
                + (from == to    ? 0
                   : same_region ? w->local_latency_us
                                 : w->remote_latency_us);
  if (lt_rng_unit (&w->rng) < w->delayed)
    event.at_us += (int64_t)lt_rng_below (&w->rng, (uint64_t)w->max_delay_us);
  world_push (w, event);
  if (lt_rng_unit (&w->rng) >= w->duplicated)
    return;
  event.at_us += (int64_t)lt_rng_below (&w->rng, (uint64_t)w->max_delay_us);
  world_push (w, event);
}

static int
world_find (const world_t *w, const lt_limit_vm_t *name)
{
  for (int i = 0; i < w->vm_count; i++)
    if (memcmp (&w->vms[i].name, name, sizeof (*name)) == 0)
      return i;
  return -1;
}

static lt_limit_record_t *
world_copy_record (const lt_limit_record_t *record)
{
  lt_limit_record_t *copy = (lt_limit_record_t *)lt_alloc (sizeof (*copy));
  lt_limit_record_copy (copy, record);
  return copy;
}

static void
world_table_call (world_t *w, int vm, const lt_limit_action_t *action)
{
  world_event_t event;
  memset (&event, 0, sizeof (event));
  event.vm = vm;
  event.process = w->vms[vm].process;
  event.workspace = (int)action->group;
  event.at_us = w->now_us + w->store_latency_us;
  event.expected_version = action->expected_version;
  if (action->type == LT_LIMIT_READ)
    {
      w->reads++;
      event.kind = WORLD_READ;
      world_push (w, event);
      return;
    }
  w->writes++;
  event.kind = WORLD_WRITE;
  event.record = world_copy_record (
      lt_limit_home_draft (w->vms[vm].homes[action->group]));
  if (lt_rng_unit (&w->rng) < w->delayed_write)
    {
      // The VM times out; the write is applied afterwards.
      world_event_t reply = event;
      reply.record = NULL;
      reply.kind = WORLD_WRITE_REPLY;
      reply.outcome = LT_LIMIT_UNKNOWN;
      reply.at_us = w->now_us + 1000000;
      world_push (w, reply);
      event.process = -1;
      event.at_us
          += (int64_t)lt_rng_below (&w->rng, (uint64_t)w->max_delay_us);
    }
  world_push (w, event);
}

static void world_wake (world_t *w, int vm, uint64_t workspace);

static void
world_perform (world_t *w, int vm, lt_limit_actions_t *actions)
{
  for (size_t i = 0; i < actions->count; i++)
    {
      const lt_limit_action_t *action = &actions->items[i];
      if (action->type == LT_LIMIT_SEND)
        {
          int to = world_find (w, &action->vm);
          if (to >= 0)
            world_send (w, vm, to, &action->message);
        }
      else if (action->type == LT_LIMIT_SEND_HOME)
        {
          int to = w->vms[vm].known_home[action->group];
          if (to >= 0)
            world_send (w, vm, to, &action->message);
        }
      else if (action->type == LT_LIMIT_SEND_LENDER)
        {
          int to = w->vms[vm].lenders[action->group][action->rank];
          if (to >= 0)
            world_send (w, vm, to, &action->message);
        }
      else if (action->type == LT_LIMIT_WAKE)
        world_wake (w, vm, action->message.workspace);
      else
        world_table_call (w, vm, action);
    }
  lt_limit_actions_destroy (actions);
}

static lt_limit_verdict_t
world_spend (world_t *w, int vm, int workspace, bool repeat,
             int64_t arrived_us)
{
  lt_limit_actions_t actions = { NULL, 0, 0 };
  lt_limit_spend_t spend
      = lt_limit_holder_spend (w->vms[vm].holder, (uint32_t)workspace, repeat,
                               world_clock (w, vm), &actions);
  if (spend.verdict == LT_LIMIT_GRANTED)
    w->admitted (w, vm, workspace, w->now_us - arrived_us);
  else if (spend.verdict == LT_LIMIT_REFUSED)
    w->refused (w, vm, workspace);
  world_perform (w, vm, &actions);
  return spend.verdict;
}

static void
world_wait (world_t *w, int vm, int workspace, world_waiting_t waiting)
{
  world_queue_t *queue = &w->waiting[vm][workspace];
  if (queue->count == queue->cap)
    {
      queue->cap = queue->cap == 0 ? 16 : 2 * queue->cap;
      queue->items = (world_waiting_t *)lt_realloc (
          queue->items, queue->cap * sizeof (*queue->items));
    }
  queue->items[queue->count++] = waiting;
}

static void
world_wake (world_t *w, int vm, uint64_t workspace)
{
  world_queue_t woken = w->waiting[vm][workspace];
  world_queue_t empty = { NULL, 0, 0 };
  w->waiting[vm][workspace] = empty;
  for (size_t i = 0; i < woken.count; i++)
    if (world_spend (w, vm, (int)workspace, true, woken.items[i].arrived_us)
        == LT_LIMIT_WAIT)
      world_wait (w, vm, (int)workspace, woken.items[i]);
  free (woken.items);
}

static void
world_request (world_t *w, int vm, int workspace)
{
  if (w->arrived != NULL)
    w->arrived (w, vm, workspace);
  if (!w->vms[vm].alive)
    {
      w->refused (w, vm, workspace);
      return;
    }
  if (world_spend (w, vm, workspace, false, w->now_us) != LT_LIMIT_WAIT)
    return;
  world_waiting_t waiting = { w->now_us, w->order };
  world_wait (w, vm, workspace, waiting);
  world_event_t event;
  memset (&event, 0, sizeof (event));
  event.kind = WORLD_WAIT_TIMEOUT;
  event.vm = vm;
  event.process = w->vms[vm].process;
  event.workspace = workspace;
  event.at_us = w->now_us + w->max_wait_us;
  event.request = (int64_t)waiting.number;
  world_push (w, event);
}

static void
world_time_out (world_t *w, const world_event_t *event)
{
  world_queue_t *queue = &w->waiting[event->vm][event->workspace];
  for (size_t i = 0; i < queue->count; i++)
    {
      if (queue->items[i].number != (uint64_t)event->request)
        continue;
      queue->items[i] = queue->items[--queue->count];
      w->refused (w, event->vm, event->workspace);
      return;
    }
}

static void
world_apply (world_t *w, world_event_t *event)
{
  lt_limit_record_t *row = &w->table[event->workspace];
  lt_limit_outcome_t outcome = LT_LIMIT_UNKNOWN;
  if (world_store_reached (w, event->vm))
    {
      outcome = LT_LIMIT_CONFLICT;
      if (row->version == event->expected_version)
        {
          lt_limit_record_copy (row, event->record);
          outcome = LT_LIMIT_DONE;
        }
    }
  lt_limit_record_destroy (event->record);
  free (event->record);
  event->record = NULL;
  if (lt_rng_unit (&w->rng) < w->lost_response)
    outcome = LT_LIMIT_UNKNOWN;
  event->kind = WORLD_WRITE_REPLY;
  event->outcome = outcome;
  event->at_us
      = w->now_us
        + (outcome == LT_LIMIT_UNKNOWN ? 1000000 : w->store_latency_us);
  world_push (w, *event);
}

static void
world_message (world_t *w, const world_event_t *event,
               lt_limit_actions_t *actions)
{
  world_vm_t *vm = &w->vms[event->vm];
  const lt_limit_message_t *message = &event->message;
  int64_t now_us = world_clock (w, event->vm);
  bool to_home = !message->recall
                 && (message->type == LT_LIMIT_SHARE_REQUEST
                     || message->type == LT_LIMIT_SHARE_RENEW
                     || message->type == LT_LIMIT_SHARE_RETURN);
  if (!to_home)
    {
      lt_limit_holder_message (vm->holder, &event->from, message, now_us,
                               actions);
      return;
    }
  lt_limit_home_t *home = vm->homes[lt_limit_group (message->workspace)];
  lt_limit_home_message (home, &event->from, message, now_us);
  lt_limit_home_tick (home, now_us, actions);
}

static void
world_tick (world_t *w, int vm, lt_limit_actions_t *actions)
{
  int64_t now_us = world_clock (w, vm);
  lt_limit_holder_tick (w->vms[vm].holder, now_us, actions);
  for (int i = 0; i < w->workspace_count; i++)
    lt_limit_home_tick (w->vms[vm].homes[i], now_us, actions);
}

static void
world_deliver (world_t *w, world_event_t *event)
{
  world_vm_t *vm = &w->vms[event->vm];
  lt_limit_actions_t actions = { NULL, 0, 0 };
  int64_t now_us = world_clock (w, event->vm);
  switch (event->kind)
    {
    case WORLD_TICK:
      world_tick (w, event->vm, &actions);
      event->at_us = w->now_us + 100000;
      world_push (w, *event);
      break;
    case WORLD_MESSAGE:
      world_message (w, event, &actions);
      break;
    case WORLD_READ:
      lt_limit_home_read_done (vm->homes[event->workspace],
                               world_store_reached (w, event->vm)
                                   ? LT_LIMIT_DONE
                                   : LT_LIMIT_UNKNOWN,
                               &w->table[event->workspace], now_us, &actions);
      break;
    case WORLD_WRITE_REPLY:
      lt_limit_home_write_done (vm->homes[event->workspace], event->outcome,
                                now_us, &actions);
      break;
    case WORLD_ARRIVAL:
      world_request (w, event->vm, event->workspace);
      break;
    case WORLD_WAIT_TIMEOUT:
      world_time_out (w, event);
      break;
    case WORLD_WRITE:
      break;
    }
  world_perform (w, event->vm, &actions);
}

// Runs all events up to UNTIL_US.
static void
world_run (world_t *w, int64_t until_us)
{
  while (w->event_count > 0 && w->events[0].at_us <= until_us)
    {
      world_event_t event = world_pop (w);
      w->now_us = event.at_us;
      if (event.kind == WORLD_WRITE)
        {
          world_apply (w, &event);
          continue;
        }
      const world_vm_t *vm = &w->vms[event.vm];
      bool stale = event.process != vm->process && event.kind != WORLD_ARRIVAL;
      if (stale)
        continue;
      if (vm->paused_until_us > w->now_us)
        {
          event.at_us = vm->paused_until_us;
          world_push (w, event);
          continue;
        }
      world_deliver (w, &event);
    }
  w->now_us = until_us;
}

static void
world_stop (world_t *w, int vm)
{
  world_vm_t *v = &w->vms[vm];
  v->alive = false;
  v->process++;
  lt_limit_holder_destroy (v->holder);
  v->holder = NULL;
  for (int i = 0; i < w->workspace_count; i++)
    {
      lt_limit_home_destroy (v->homes[i]);
      v->homes[i] = NULL;
      w->waiting[vm][i].count = 0;
    }
}

// Starts a process on VM with a newer incarnation and, with RENAME, a new id.
static void
world_start (world_t *w, int vm, bool rename)
{
  world_vm_t *v = &w->vms[vm];
  char name[32];
  if (rename || v->name.id[0] == '\0')
    {
      snprintf (name, sizeof (name), "vm%d-%d", vm, v->process);
      lt_limit_vm_set (&v->name, name, strlen (name));
    }
  v->alive = true;
  v->paused_until_us = 0;
  v->incarnation++;
  lt_limit_holder_options_t holder = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  holder.incarnation = v->incarnation;
  holder.times = w->times;
  v->holder = lt_limit_holder_create (&holder);
  lt_limit_holder_configure (v->holder, w->rates, (uint32_t)w->workspace_count,
                             world_clock (w, vm));
  lt_limit_home_options_t home = LT_LIMIT_HOME_OPTIONS_DEFAULT;
  home.vm = v->name;
  home.incarnation = v->incarnation;
  home.times = w->times;
  for (int i = 0; i < w->workspace_count; i++)
    {
      home.group = (uint32_t)i;
      v->homes[i] = lt_limit_home_create (&home);
      lt_limit_home_configure (v->homes[i], &w->rates[i], 1,
                               world_clock (w, vm));
      v->known_home[i] = -1;
      v->lender_count[i] = 0;
    }
  world_event_t event;
  memset (&event, 0, sizeof (event));
  event.kind = WORLD_TICK;
  event.vm = vm;
  event.process = v->process;
  event.at_us = w->now_us + (int64_t)lt_rng_below (&w->rng, 100000);
  world_push (w, event);
}

// Sets what VM uses as the home of WORKSPACE (the VM with index HOME, -1:
// none) and as its lenders (the VMs with the indexes LENDERS; VM itself may be
// one).
static void
world_set_view (world_t *w, int vm, int workspace, int home,
                const int *lenders, int count)
{
  world_vm_t *v = &w->vms[vm];
  if (!v->alive)
    return;
  bool self = false;
  v->known_home[workspace] = home;
  v->lender_count[workspace] = 0;
  for (int i = 0; i < count; i++)
    if (lenders[i] == vm)
      self = true;
    else if (lenders[i] >= 0)
      v->lenders[workspace][v->lender_count[workspace]++] = lenders[i];
  lt_limit_holder_set_home (v->holder, (uint32_t)workspace,
                            home == vm  ? LT_LIMIT_HOME_LOCAL
                            : home >= 0 ? LT_LIMIT_HOME_REMOTE
                                        : LT_LIMIT_HOME_NONE);
  lt_limit_holder_set_lenders (v->holder, (uint32_t)workspace,
                               (uint32_t)v->lender_count[workspace], self);
  lt_limit_home_set_role (v->homes[workspace], home == vm);
}

static void
world_init (world_t *w, uint64_t seed)
{
  memset (w, 0, sizeof (*w));
  lt_rng_init (&w->rng, seed);
  w->times = LT_LIMIT_TIMES_DEFAULT;
  w->store_up = true;
  w->local_latency_us = 500;
  w->remote_latency_us = 20000;
  w->store_latency_us = 5000;
  w->max_delay_us = 5000000;
  w->max_wait_us = 250000;
}

static void
world_destroy (world_t *w)
{
  for (int i = 0; i < w->vm_count; i++)
    if (w->vms[i].alive)
      world_stop (w, i);
  for (size_t i = 0; i < w->event_count; i++)
    if (w->events[i].record != NULL)
      {
        lt_limit_record_destroy (w->events[i].record);
        free (w->events[i].record);
      }
  for (int i = 0; i < WORLD_WORKSPACES; i++)
    lt_limit_record_destroy (&w->table[i]);
  free (w->events);
  for (int vm = 0; vm < WORLD_VMS; vm++)
    for (int i = 0; i < WORLD_WORKSPACES; i++)
      free (w->waiting[vm][i].items);
}

#endif
