/* Simulates a fleet of VMs with the freshness module: network delays, loss and
   partitions, paused and restarted VMs, and an unavailable store.  The
   benchmark and the property test use it.  All random numbers come from one
   seed.  */
#ifndef LT_POLICY_BENCH_FLEET_H
#define LT_POLICY_BENCH_FLEET_H

#include <stdio.h>
#include <stdlib.h>

#include "lt/policy/freshness.h"

enum
{
  FLEET_VM_MAX = 2048,
  FLEET_VERSION_MAX = 4096,
  FLEET_REGIONS = 3,
  FLEET_TICK_US = 100000,
  FLEET_ASK_US = 250000, /* Interval at which a VM asks a random peer. */
  FLEET_FANOUT = 4,      /* Peers to which a VM sends a new version. */
  FLEET_READ_TIMEOUT_US = 1500000,
  FLEET_ANNOUNCE_TIMEOUT_US = 2000000
};

typedef enum fleet_kind
{
  FLEET_TICK,
  FLEET_ASK,            /* Time for the VM to ask a peer. */
  FLEET_REPORT_REQUEST, /* A peer's request for a report arrives. */
  FLEET_REPORT,         /* A report arrives. */
  FLEET_READ_DONE,      /* A read of the store's version ends. */
  FLEET_FETCH_REQUEST,  /* A peer's request for a version arrives. */
  FLEET_FETCH_DONE,     /* A version arrives from a peer or the store. */
  FLEET_WRITE_ARRIVES,  /* A write arrives at the store. */
  FLEET_WRITE_DONE      /* The response to an accepted write arrives. */
} fleet_kind_t;

typedef struct fleet_event
{
  int64_t at_us;
  uint64_t order;
  fleet_kind_t kind;
  int vm;
  int from;
  uint32_t generation; /* Of the VM's process; older events are dropped. */
  uint64_t read_id;
  bool failed;
  int64_t version;
  lt_freshness_report_t *report;
} fleet_event_t;

typedef struct fleet_vm
{
  char id[16];
  char failure_domain[16];
  char region[16];
  int domain;
  int region_index;
  lt_freshness_t *freshness;
  uint32_t generation;
  bool watcher;
  bool slow;
  int64_t cut_until_us;     /* Cannot reach any VM or the store. */
  int64_t paused_until_us;  /* Handles no events until then. */
  int64_t proposed_version; /* Version that is being announced; 0: none. */
  int64_t propose_until_us;
  int64_t base_version;
} fleet_vm_t;

typedef struct fleet
{
  fleet_vm_t vms[FLEET_VM_MAX];
  int vm_count;
  lt_rng_t rng;
  int64_t now_us;
  fleet_event_t *heap;
  size_t heap_count;
  size_t heap_cap;
  uint64_t order;
  double loss;
  int64_t region_cut_until_us[FLEET_REGIONS];
  int64_t store_down_from_us;
  int64_t store_down_until_us;
  bool outage_after_accept; /* The store fails after the next write. */
  bool cut_after_accept;    /* Then the VM that wrote is cut off as well. */
  int64_t outage_us;
  int64_t head;
  int64_t accepted_us[FLEET_VERSION_MAX];
  uint64_t messages;
  uint64_t reads;
  uint64_t violations;
  uint64_t allowed_ticks;
  uint64_t refused_ticks;
  /* Ticks that allow keyed requests although the last confirmation is older
     than max_age_us.  */
  uint64_t outage_allowed_ticks;
  /* Omits announcements of writes, to show that the property test detects
     it.  */
  bool no_announcement;
} fleet_t;

static inline bool
fleet_event_before (const fleet_event_t *a, const fleet_event_t *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->order < b->order);
}

static inline void
fleet_push (fleet_t *fleet, fleet_event_t event)
{
  if (fleet->heap_count == fleet->heap_cap)
    {
      fleet->heap_cap = fleet->heap_cap == 0 ? 1024 : fleet->heap_cap * 2;
      fleet->heap = (fleet_event_t *)lt_realloc (
          fleet->heap, fleet->heap_cap * sizeof (*fleet->heap));
    }
  event.order = ++fleet->order;
  size_t at = fleet->heap_count++;
  while (at > 0 && fleet_event_before (&event, &fleet->heap[(at - 1) / 2]))
    {
      fleet->heap[at] = fleet->heap[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  fleet->heap[at] = event;
}

static inline fleet_event_t
fleet_pop (fleet_t *fleet)
{
  fleet_event_t top = fleet->heap[0];
  fleet_event_t last = fleet->heap[--fleet->heap_count];
  size_t at = 0;
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= fleet->heap_count)
        break;
      if (child + 1 < fleet->heap_count
          && fleet_event_before (&fleet->heap[child + 1], &fleet->heap[child]))
        child++;
      if (!fleet_event_before (&fleet->heap[child], &last))
        break;
      fleet->heap[at] = fleet->heap[child];
      at = child;
    }
  fleet->heap[at] = last;
  return top;
}

static inline int64_t
fleet_delay (fleet_t *fleet, const fleet_vm_t *vm, bool cross_region)
{
  int64_t base_us = cross_region ? 20000 : 1500;
  double jitter = lt_rng_exponential (&fleet->rng, (double)base_us / 4);
  int64_t slow_us
      = vm->slow ? 300000 + (int64_t)lt_rng_below (&fleet->rng, 700000) : 0;
  return base_us + (int64_t)jitter + slow_us;
}

static inline bool
fleet_region_reaches (const fleet_t *fleet, int a, int b)
{
  return a == b
         || (fleet->region_cut_until_us[a] <= fleet->now_us
             && fleet->region_cut_until_us[b] <= fleet->now_us);
}

static inline bool
fleet_reaches (const fleet_t *fleet, int a, int b)
{
  const fleet_vm_t *from = &fleet->vms[a];
  const fleet_vm_t *to = &fleet->vms[b];
  return from->cut_until_us <= fleet->now_us
         && to->cut_until_us <= fleet->now_us
         && fleet_region_reaches (fleet, from->region_index, to->region_index);
}

/* The store is in region 0.  */
static inline bool
fleet_reaches_store (const fleet_t *fleet, int vm)
{
  return fleet->vms[vm].cut_until_us <= fleet->now_us
         && fleet_region_reaches (fleet, fleet->vms[vm].region_index, 0);
}

static inline bool
fleet_store_down (const fleet_t *fleet)
{
  return fleet->now_us >= fleet->store_down_from_us
         && fleet->now_us < fleet->store_down_until_us;
}

/* Sends EVENT with a copy of REPORT to its VM, unless the path is cut or the
   message is lost.  */
static inline void
fleet_send (fleet_t *fleet, fleet_event_t event,
            const lt_freshness_report_t *report)
{
  fleet->messages++;
  if (!fleet_reaches (fleet, event.from, event.vm)
      || lt_rng_unit (&fleet->rng) < fleet->loss)
    return;
  fleet_vm_t *to = &fleet->vms[event.vm];
  bool cross = to->region_index != fleet->vms[event.from].region_index;
  event.at_us = fleet->now_us + fleet_delay (fleet, to, cross);
  event.generation = to->generation;
  if (report != NULL)
    {
      event.report
          = (lt_freshness_report_t *)lt_alloc (sizeof (*event.report));
      *event.report = *report;
      for (uint32_t i = 0; i < report->attestation_count; i++)
        {
          str_t id = report->attestations[i].vm_id;
          int vm = atoi (id.data + 3);
          lt_attestation_t *copy = &event.report->attestations[i];
          copy->vm_id = str_from (fleet->vms[vm].id);
          copy->failure_domain = str_from (fleet->vms[vm].failure_domain);
        }
    }
  fleet_push (fleet, event);
}

static inline void
fleet_request_report (fleet_t *fleet, int from, int to)
{
  lt_freshness_report_t report;
  lt_freshness_fill_query (fleet->vms[from].freshness, fleet->now_us, &report);
  fleet_event_t event = {};
  event.kind = FLEET_REPORT_REQUEST;
  event.vm = to;
  event.from = from;
  fleet_send (fleet, event, &report);
}

static inline int
fleet_random_peer (fleet_t *fleet, int vm)
{
  int other = (int)lt_rng_below (&fleet->rng, (uint64_t)fleet->vm_count - 1);
  return other >= vm ? other + 1 : other;
}

/* Schedules EVENT at VM for when the store responds or the call times out.  */
static inline void
fleet_call_store (fleet_t *fleet, int vm, fleet_event_t event)
{
  bool reached = fleet_reaches_store (fleet, vm);
  bool cross = fleet->vms[vm].region_index != 0;
  int64_t delay_us = 2 * fleet_delay (fleet, &fleet->vms[vm], cross) + 3000;
  event.vm = vm;
  event.failed = !reached || fleet_store_down (fleet)
                 || lt_rng_unit (&fleet->rng) < fleet->loss;
  event.at_us = fleet->now_us
                + (event.failed ? (int64_t)FLEET_READ_TIMEOUT_US : delay_us);
  event.version = fleet->head;
  event.generation = fleet->vms[vm].generation;
  fleet->reads++;
  fleet_push (fleet, event);
}

static inline void
fleet_fetch (fleet_t *fleet, int vm, str_t peer, int64_t version)
{
  fleet_event_t event = {};
  event.kind = FLEET_FETCH_DONE;
  if (peer.len == 0)
    {
      fleet_call_store (fleet, vm, event);
      return;
    }
  event.kind = FLEET_FETCH_REQUEST;
  event.vm = atoi (peer.data + 3);
  event.from = vm;
  event.version = version;
  fleet_send (fleet, event, NULL);
}

static inline void
fleet_send_report (fleet_t *fleet, int vm, int to)
{
  lt_freshness_report_t report;
  char id[16];
  snprintf (id, sizeof (id), "vm-%d", to);
  lt_freshness_fill_answer (fleet->vms[vm].freshness, fleet->now_us,
                            str_from (id), &report);
  fleet_event_t event = {};
  event.kind = FLEET_REPORT;
  event.vm = to;
  event.from = vm;
  fleet_send (fleet, event, &report);
}

static inline void
fleet_run_actions (fleet_t *fleet, int vm)
{
  lt_freshness_action_t action;
  while (lt_freshness_next_action (fleet->vms[vm].freshness, &action))
    switch (action.type)
      {
      case LT_FRESHNESS_READ_STORE:
        {
          fleet_event_t event = {};
          event.kind = FLEET_READ_DONE;
          event.read_id = action.read_id;
          fleet_call_store (fleet, vm, event);
          break;
        }
      case LT_FRESHNESS_FETCH:
        fleet_fetch (fleet, vm, action.peer, action.version);
        break;
      case LT_FRESHNESS_ANSWER:
        fleet_send_report (fleet, vm, atoi (action.peer.data + 3));
        break;
      case LT_FRESHNESS_ANNOUNCE:
        fleet_request_report (fleet, vm, atoi (action.peer.data + 3));
        break;
      case LT_FRESHNESS_GOSSIP:
        for (int i = 0; i < FLEET_FANOUT; i++)
          fleet_send_report (fleet, vm, fleet_random_peer (fleet, vm));
        break;
      }
}

/* Starts a configuration change at VM, which announces, writes, applies and
   distributes it.  Like the daemon, VM starts only with the latest version as
   base.  */
static inline void
fleet_propose (fleet_t *fleet, int vm)
{
  fleet_vm_t *self = &fleet->vms[vm];
  if (self->proposed_version != 0 || fleet_store_down (fleet)
      || !fleet_reaches_store (fleet, vm))
    return;
  lt_freshness_watcher_t watchers[LT_FRESHNESS_ANNOUNCED_MAX];
  size_t count = 0;
  for (int i = 0; i < fleet->vm_count; i++)
    if (fleet->vms[i].watcher && fleet->vms[i].region_index == 0
        && count < LT_FRESHNESS_ANNOUNCED_MAX)
      {
        watchers[count].vm_id = str_from (fleet->vms[i].id);
        watchers[count++].failure_domain
            = str_from (fleet->vms[i].failure_domain);
      }
  self->base_version = fleet->head;
  self->proposed_version = fleet->head + 1;
  self->propose_until_us = fleet->now_us + FLEET_ANNOUNCE_TIMEOUT_US;
  if (!fleet->no_announcement)
    lt_freshness_on_write_begin (self->freshness, fleet->now_us,
                                 self->proposed_version, watchers, count);
}

static inline void
fleet_continue_proposal (fleet_t *fleet, int vm)
{
  fleet_vm_t *self = &fleet->vms[vm];
  if (self->proposed_version == 0)
    return;
  if (fleet->no_announcement || lt_freshness_write_announced (self->freshness))
    {
      fleet_event_t event = {};
      event.kind = FLEET_WRITE_ARRIVES;
      event.vm = vm;
      event.version = self->proposed_version;
      event.at_us
          = fleet->now_us + fleet_delay (fleet, self, self->region_index != 0);
      event.generation = self->generation;
      fleet_push (fleet, event);
      lt_freshness_on_write_end (self->freshness);
      self->proposed_version = 0;
    }
  else if (fleet->now_us > self->propose_until_us)
    {
      lt_freshness_on_write_refused (self->freshness, self->proposed_version);
      self->proposed_version = 0;
    }
}

static inline void
fleet_write_arrives (fleet_t *fleet, fleet_event_t event)
{
  if (fleet_store_down (fleet) || !fleet_reaches_store (fleet, event.vm)
      || fleet->head != event.version - 1
      || event.version >= FLEET_VERSION_MAX)
    return;
  fleet->head = event.version;
  fleet->accepted_us[event.version] = fleet->now_us;
  if (fleet->outage_after_accept)
    {
      fleet->outage_after_accept = false;
      fleet->store_down_from_us = fleet->now_us + 1;
      fleet->store_down_until_us = fleet->now_us + fleet->outage_us;
      if (fleet->cut_after_accept)
        fleet->vms[event.vm].cut_until_us = fleet->store_down_until_us;
    }
  if (lt_rng_unit (&fleet->rng) < fleet->loss
      || fleet->vms[event.vm].cut_until_us > fleet->now_us)
    return;
  event.kind = FLEET_WRITE_DONE;
  event.at_us = fleet->now_us
                + fleet_delay (fleet, &fleet->vms[event.vm],
                               fleet->vms[event.vm].region_index != 0);
  fleet_push (fleet, event);
}

/* Counts a violation when VM allows keyed requests although its applied
   version lacks a change that was accepted more than max_age_us ago.  A
   withdrawn key could then still be used.  */
static inline void
fleet_check (fleet_t *fleet, int vm)
{
  const lt_freshness_t *f = fleet->vms[vm].freshness;
  int64_t applied = lt_freshness_applied (f);
  if (!lt_freshness_allows_keyed (f, fleet->now_us))
    {
      fleet->refused_ticks++;
      return;
    }
  fleet->allowed_ticks++;
  int64_t max_age_us = LT_FRESHNESS_OPTIONS_DEFAULT.max_age_us;
  if (lt_freshness_confirmation_age_us (f, fleet->now_us) > max_age_us)
    fleet->outage_allowed_ticks++;
  if (applied < fleet->head
      && fleet->now_us > fleet->accepted_us[applied + 1] + max_age_us)
    fleet->violations++;
}

static inline void
fleet_handle (fleet_t *fleet, fleet_event_t *event)
{
  fleet_vm_t *vm = &fleet->vms[event->vm];
  lt_freshness_t *f = vm->freshness;
  int64_t now_us = fleet->now_us;
  lt_freshness_report_t reply;
  fleet_event_t next = {};
  next.vm = event->from;
  next.from = event->vm;
  switch (event->kind)
    {
    case FLEET_TICK:
      lt_freshness_tick (f, now_us);
      fleet_continue_proposal (fleet, event->vm);
      fleet_check (fleet, event->vm);
      event->at_us = now_us + FLEET_TICK_US;
      fleet_push (fleet, *event);
      break;
    case FLEET_ASK:
      fleet_request_report (fleet, event->vm,
                            fleet_random_peer (fleet, event->vm));
      event->at_us = now_us + FLEET_ASK_US;
      fleet_push (fleet, *event);
      break;
    case FLEET_REPORT_REQUEST:
      lt_freshness_on_query (f, now_us, str_from (fleet->vms[event->from].id),
                             event->report, &reply);
      next.kind = FLEET_REPORT;
      fleet_send (fleet, next, &reply);
      break;
    case FLEET_REPORT:
      lt_freshness_on_answer (f, now_us, str_from (fleet->vms[event->from].id),
                              event->report);
      break;
    case FLEET_READ_DONE:
      lt_freshness_on_read (f, now_us, event->read_id, event->failed,
                            event->version);
      break;
    case FLEET_FETCH_REQUEST:
      next.kind = FLEET_FETCH_DONE;
      next.version = lt_freshness_applied (f);
      if (next.version >= event->version)
        fleet_send (fleet, next, NULL);
      break;
    case FLEET_FETCH_DONE:
      if (!event->failed)
        lt_freshness_on_applied (f, now_us, event->version);
      break;
    case FLEET_WRITE_DONE:
      lt_freshness_on_known (f, now_us, event->version, str_make (NULL, 0));
      lt_freshness_on_applied (f, now_us, event->version);
      break;
    case FLEET_WRITE_ARRIVES:
      break;
    }
  fleet_run_actions (fleet, event->vm);
}

/* Runs all events up to UNTIL_US.  */
static inline void
fleet_run (fleet_t *fleet, int64_t until_us)
{
  while (fleet->heap_count > 0 && fleet->heap[0].at_us <= until_us)
    {
      fleet_event_t event = fleet_pop (fleet);
      fleet->now_us = event.at_us;
      fleet_vm_t *vm = &fleet->vms[event.vm];
      if (event.kind == FLEET_WRITE_ARRIVES)
        {
          fleet_write_arrives (fleet, event);
          continue;
        }
      if (event.generation == vm->generation
          && vm->paused_until_us > fleet->now_us)
        {
          event.at_us = vm->paused_until_us;
          fleet_push (fleet, event);
          continue;
        }
      if (event.generation == vm->generation)
        fleet_handle (fleet, &event);
      free (event.report);
    }
  fleet->now_us = until_us;
}

/* Starts a new process of the VM with INDEX.  */
static inline void
fleet_start_vm (fleet_t *fleet, int index)
{
  fleet_vm_t *vm = &fleet->vms[index];
  lt_freshness_destroy (vm->freshness);
  vm->generation++;
  vm->proposed_version = 0;
  vm->paused_until_us = 0;
  lt_freshness_options_t options = LT_FRESHNESS_OPTIONS_DEFAULT;
  options.vm_id = str_from (vm->id);
  options.region = str_from (vm->region);
  options.failure_domain = str_from (vm->failure_domain);
  options.store_region = str_from ("region-0");
  vm->freshness = lt_freshness_create (&options, &fleet->rng);
  lt_freshness_set_role (vm->freshness, vm->watcher, true);
  fleet_event_t event = {};
  event.vm = index;
  event.generation = vm->generation;
  event.kind = FLEET_TICK;
  event.at_us
      = fleet->now_us + (int64_t)lt_rng_below (&fleet->rng, FLEET_TICK_US);
  fleet_push (fleet, event);
  event.kind = FLEET_ASK;
  event.at_us
      = fleet->now_us + (int64_t)lt_rng_below (&fleet->rng, FLEET_ASK_US);
  fleet_push (fleet, event);
}

/* Creates a fleet of COUNT VMs over DOMAINS failure domains; two VMs of each
   domain watch the store.  All VMs have applied version 1.  */
static inline fleet_t *
fleet_create (int count, int domains, uint64_t seed)
{
  fleet_t *fleet = (fleet_t *)lt_alloc (sizeof (*fleet));
  lt_rng_init (&fleet->rng, seed);
  fleet->vm_count = count;
  fleet->head = 1;
  for (int i = 0; i < count; i++)
    {
      fleet_vm_t *vm = &fleet->vms[i];
      vm->domain = i % domains;
      vm->region_index = vm->domain * FLEET_REGIONS / domains;
      vm->watcher = i < LT_FRESHNESS_WATCHERS * domains;
      snprintf (vm->id, sizeof (vm->id), "vm-%d", i);
      snprintf (vm->region, sizeof (vm->region), "region-%d",
                vm->region_index);
      snprintf (vm->failure_domain, sizeof (vm->failure_domain), "domain-%d",
                vm->domain);
      fleet_start_vm (fleet, i);
      lt_freshness_on_applied (vm->freshness, 0, 1);
      fleet_run_actions (fleet, i);
    }
  return fleet;
}

static inline void
fleet_destroy (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->heap_count; i++)
    free (fleet->heap[i].report);
  for (int i = 0; i < fleet->vm_count; i++)
    lt_freshness_destroy (fleet->vms[i].freshness);
  free (fleet->heap);
  free (fleet);
}

#endif
