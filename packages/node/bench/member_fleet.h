/* Simulates a fleet of membership modules that exchange encoded heartbeats,
   with delays, frame loss, one-way partitions, kills, restarts and pauses.
   Shared by the benchmark and the property test.  All randomness comes from
   one seed.  */
#ifndef LT_NODE_BENCH_MEMBER_FLEET_H
#define LT_NODE_BENCH_MEMBER_FLEET_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "heartbeat.h"
#include "lt/base/hash.h"
#include "lt/policy/membership.h"
#include "lt/wire/frame.h"
#include "lt/wire/message.h"

enum
{
  MEMBER_FLEET_MAX = 2048,
  MEMBER_TICK_US = 100000
};

typedef struct member_event
{
  int64_t at_us;
  uint64_t order;
  int vm;
  int from;
  uint32_t generation;
  uint16_t type; /* 0: tick. */
  uint64_t correlation;
  lt_buf_t payload;
} member_event_t;

typedef struct member_vm
{
  char id[16];
  char address[32];
  char region[24];
  char domain[24];
  lt_membership_t *membership; /* NULL: not running. */
  uint32_t generation;
  uint64_t incarnation;
  int64_t started_us;
  int64_t paused_until_us;
  bool cut_out; /* Frames from this VM are lost. */
  bool cut_in;  /* Frames to this VM are lost. */
} member_vm_t;

typedef struct member_fleet
{
  member_vm_t vms[MEMBER_FLEET_MAX];
  int vm_count;
  lt_rng_t rng;
  int64_t now_us;
  double loss;
  int split; /* VMs with a lower index do not reach the others; 0: no split. */
  member_event_t *heap;
  size_t heap_count;
  size_t heap_cap;
  uint64_t order;
  uint64_t frames;
  uint64_t bytes;
  int64_t cpu_ns;
  uint64_t false_deaths; /* Declarations of a running, reachable VM as dead. */
  uint64_t pauses_noticed;
} member_fleet_t;

static inline bool
member_event_before (const member_event_t *a, const member_event_t *b)
{
  return a->at_us < b->at_us || (a->at_us == b->at_us && a->order < b->order);
}

static inline void
member_push (member_fleet_t *fleet, member_event_t event)
{
  if (fleet->heap_count == fleet->heap_cap)
    {
      fleet->heap_cap = fleet->heap_cap == 0 ? 4096 : fleet->heap_cap * 2;
      fleet->heap = (member_event_t *)lt_realloc (
          fleet->heap, fleet->heap_cap * sizeof (*fleet->heap));
    }
  event.order = ++fleet->order;
  size_t at = fleet->heap_count++;
  while (at > 0 && member_event_before (&event, &fleet->heap[(at - 1) / 2]))
    {
      fleet->heap[at] = fleet->heap[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  fleet->heap[at] = event;
}

static inline member_event_t
member_pop (member_fleet_t *fleet)
{
  member_event_t top = fleet->heap[0];
  member_event_t last = fleet->heap[--fleet->heap_count];
  size_t at = 0;
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= fleet->heap_count)
        break;
      if (child + 1 < fleet->heap_count
          && member_event_before (&fleet->heap[child + 1],
                                  &fleet->heap[child]))
        child++;
      if (!member_event_before (&fleet->heap[child], &last))
        break;
      fleet->heap[at] = fleet->heap[child];
      at = child;
    }
  fleet->heap[at] = last;
  return top;
}

static inline int64_t
member_cpu_now_ns (void)
{
  struct timespec at;
  clock_gettime (CLOCK_MONOTONIC, &at);
  return at.tv_sec * 1000000000LL + at.tv_nsec;
}

static inline int
member_index (str_t id)
{
  return atoi (id.data + 3);
}

static inline bool
member_reaches (const member_fleet_t *fleet, int from, int to)
{
  bool split
      = fleet->split > 0 && (from < fleet->split) != (to < fleet->split);
  return !split && !fleet->vms[from].cut_out && !fleet->vms[to].cut_in;
}

/* Seals and sends a frame, which may be lost.  */
static inline void
member_send (member_fleet_t *fleet, int from, int to, uint16_t type,
             uint64_t correlation, lt_buf_t payload)
{
  static lt_digest_t key;
  member_vm_t *sender = &fleet->vms[from];
  lt_frame_t frame
      = { (lt_message_type_t)type, correlation, str_from (sender->id),
          sender->incarnation, lt_buf_str (&payload) };
  static lt_buf_t sealed;
  lt_buf_clear (&sealed);
  lt_frame_encode (&key, 0, &frame, &sealed);
  fleet->frames++;
  fleet->bytes += sealed.len;
  if (!member_reaches (fleet, from, to)
      || lt_rng_unit (&fleet->rng) < fleet->loss)
    {
      lt_buf_destroy (&payload);
      return;
    }
  bool near = strcmp (sender->region, fleet->vms[to].region) == 0;
  double delay_us = near ? 1000 : 20000;
  member_event_t event = {};
  event.at_us = fleet->now_us + (int64_t)delay_us
                + (int64_t)lt_rng_exponential (&fleet->rng, delay_us / 4);
  event.vm = to;
  event.from = from;
  event.generation = fleet->vms[to].generation;
  event.type = type;
  event.correlation = correlation;
  event.payload = payload;
  member_push (fleet, event);
}

static inline void
member_send_heartbeat (member_fleet_t *fleet, int from, str_t to,
                       uint64_t correlation)
{
  static lt_heartbeat_t heartbeat;
  lt_heartbeat_init (&heartbeat);
  lt_membership_fill_heartbeat (fleet->vms[from].membership, fleet->now_us, to,
                                &heartbeat.members);
  lt_buf_t payload = {};
  lt_heartbeat_encode (&heartbeat, &payload);
  member_send (fleet, from, member_index (to), LT_MESSAGE_HEARTBEAT,
               correlation, payload);
}

static inline lt_member_update_t
member_identity (const member_vm_t *vm)
{
  lt_member_update_t update = {};
  update.id = str_from (vm->id);
  update.incarnation = vm->incarnation;
  update.address = str_from (vm->address);
  update.region = str_from (vm->region);
  update.failure_domain = str_from (vm->domain);
  return update;
}

static inline void
member_note_change (member_fleet_t *fleet, int vm,
                    const lt_membership_action_t *action)
{
  int other = member_index (action->id);
  const member_vm_t *target = &fleet->vms[other];
  bool running = target->membership != NULL
                 && target->paused_until_us <= fleet->now_us
                 && fleet->now_us - target->started_us > 5000000;
  bool clean = !target->cut_in && !target->cut_out && !fleet->vms[vm].cut_in
               && !fleet->vms[vm].cut_out && fleet->split == 0;
  if (action->state == LT_MEMBER_DEAD && running && clean)
    fleet->false_deaths++;
}

static inline void
member_run_actions (member_fleet_t *fleet, int vm)
{
  lt_membership_t *m = fleet->vms[vm].membership;
  lt_membership_action_t action;
  while (lt_membership_next_action (m, &action))
    {
      lt_buf_t payload = {};
      lt_wire_probe_request_t request
          = { action.target, action.target_address };
      lt_wire_probe_result_t result = { action.target, action.reached };
      lt_member_update_t peer;
      switch (action.type)
        {
        case LT_MEMBERSHIP_HEARTBEAT:
          member_send_heartbeat (fleet, vm, action.id, action.correlation);
          break;
        case LT_MEMBERSHIP_CONNECT:
          /* The handshake is not simulated: it succeeds when frames pass in
             both directions.  */
          for (int i = 0; i < fleet->vm_count; i++)
            if (str_equal (action.address, str_from (fleet->vms[i].address))
                && fleet->vms[i].membership != NULL
                && member_reaches (fleet, vm, i)
                && member_reaches (fleet, i, vm))
              {
                peer = member_identity (&fleet->vms[i]);
                lt_membership_on_connected (m, fleet->now_us, &peer, true);
                peer = member_identity (&fleet->vms[vm]);
                lt_membership_on_connected (fleet->vms[i].membership,
                                            fleet->now_us, &peer, false);
              }
          break;
        case LT_MEMBERSHIP_PROBE_REQUEST:
          lt_wire_probe_request_encode (&request, &payload);
          member_send (fleet, vm, member_index (action.id),
                       LT_MESSAGE_PROBE_REQUEST, action.correlation, payload);
          break;
        case LT_MEMBERSHIP_PROBE_RESULT:
          lt_wire_probe_result_encode (&result, &payload);
          member_send (fleet, vm, member_index (action.id),
                       LT_MESSAGE_PROBE_RESULT, action.correlation, payload);
          break;
        case LT_MEMBERSHIP_CHANGED:
          member_note_change (fleet, vm, &action);
          break;
        case LT_MEMBERSHIP_PAUSED:
          fleet->pauses_noticed++;
          break;
        }
    }
}

static inline void
member_receive_heartbeat (member_fleet_t *fleet, const member_event_t *event)
{
  static lt_heartbeat_t heartbeat;
  static lt_heartbeat_t ack;
  lt_membership_t *m = fleet->vms[event->vm].membership;
  lt_member_update_t from = member_identity (&fleet->vms[event->from]);
  if (lt_heartbeat_decode (lt_buf_str (&event->payload), &heartbeat) != 0)
    abort ();
  if (event->type == LT_MESSAGE_HEARTBEAT_ACK)
    {
      lt_membership_on_ack (m, fleet->now_us, &from, event->correlation,
                            &heartbeat.members);
      return;
    }
  lt_heartbeat_init (&ack);
  lt_membership_on_heartbeat (m, fleet->now_us, &from, &heartbeat.members,
                              &ack.members);
  lt_buf_t payload = {};
  lt_heartbeat_encode (&ack, &payload);
  member_send (fleet, event->vm, event->from, LT_MESSAGE_HEARTBEAT_ACK,
               event->correlation, payload);
}

static inline void
member_handle (member_fleet_t *fleet, member_event_t *event)
{
  lt_membership_t *m = fleet->vms[event->vm].membership;
  lt_wire_probe_request_t request;
  lt_wire_probe_result_t result;
  str_t payload = lt_buf_str (&event->payload);
  str_t from = str_from (fleet->vms[event->from].id);
  switch (event->type)
    {
    case 0:
      lt_membership_tick (m, fleet->now_us);
      event->at_us = fleet->now_us + MEMBER_TICK_US;
      member_push (fleet, *event);
      break;
    case LT_MESSAGE_PROBE_REQUEST:
      if (lt_wire_probe_request_decode (payload, &request) == 0)
        lt_membership_on_probe_request (m, fleet->now_us, from,
                                        event->correlation, request.target);
      break;
    case LT_MESSAGE_PROBE_RESULT:
      if (lt_wire_probe_result_decode (payload, &result) == 0)
        lt_membership_on_probe_result (m, fleet->now_us, result.target,
                                       result.reached);
      break;
    default:
      member_receive_heartbeat (fleet, event);
    }
  member_run_actions (fleet, event->vm);
}

/* Runs all events up to UNTIL_US.  */
static inline void
member_run (member_fleet_t *fleet, int64_t until_us)
{
  while (fleet->heap_count > 0 && fleet->heap[0].at_us <= until_us)
    {
      member_event_t event = member_pop (fleet);
      member_vm_t *vm = &fleet->vms[event.vm];
      fleet->now_us = event.at_us;
      if (vm->membership == NULL || event.generation != vm->generation)
        {
          lt_buf_destroy (&event.payload);
          continue;
        }
      if (vm->paused_until_us > fleet->now_us)
        {
          event.at_us = vm->paused_until_us;
          member_push (fleet, event);
          continue;
        }
      int64_t before_ns = member_cpu_now_ns ();
      member_handle (fleet, &event);
      fleet->cpu_ns += member_cpu_now_ns () - before_ns;
      lt_buf_destroy (&event.payload);
    }
  fleet->now_us = until_us;
}

static inline void
member_kill (member_fleet_t *fleet, int index)
{
  member_vm_t *vm = &fleet->vms[index];
  lt_membership_destroy (vm->membership);
  vm->membership = NULL;
  vm->generation++;
}

/* Starts a new process of the VM with one seed.  */
static inline void
member_start (member_fleet_t *fleet, int index, int seed)
{
  member_vm_t *vm = &fleet->vms[index];
  member_kill (fleet, index);
  lt_membership_options_t options = LT_MEMBERSHIP_OPTIONS_DEFAULT;
  vm->incarnation = (uint64_t)(1700000000000000LL + fleet->now_us + 1);
  vm->paused_until_us = 0;
  vm->started_us = fleet->now_us;
  options.id = str_from (vm->id);
  options.incarnation = vm->incarnation;
  options.address = str_from (vm->address);
  options.region = str_from (vm->region);
  options.failure_domain = str_from (vm->domain);
  vm->membership = lt_membership_create (&options, &fleet->rng);
  if (seed != index)
    lt_membership_add_hint (vm->membership, fleet->now_us, str_make (NULL, 0),
                            str_from (fleet->vms[seed].address));
  member_event_t event = {};
  event.at_us
      = fleet->now_us + (int64_t)lt_rng_below (&fleet->rng, MEMBER_TICK_US);
  event.vm = index;
  event.generation = vm->generation;
  member_push (fleet, event);
}

/* Returns whether the live members in the view of every running VM are exactly
   the running VMs.  */
static inline bool
member_agree (const member_fleet_t *fleet)
{
  size_t running = 0;
  for (int i = 0; i < fleet->vm_count; i++)
    running += fleet->vms[i].membership != NULL;
  for (int i = 0; i < fleet->vm_count; i++)
    {
      const lt_membership_t *m = fleet->vms[i].membership;
      if (m == NULL)
        continue;
      if (lt_membership_live_count (m) != running)
        return false;
      for (int j = 0; j < fleet->vm_count; j++)
        {
          lt_member_view_t view;
          bool known
              = lt_membership_find (m, str_from (fleet->vms[j].id), &view);
          bool live = known
                      && (view.info.state == LT_MEMBER_ALIVE
                          || view.info.state == LT_MEMBER_SUSPECT);
          if (live != (fleet->vms[j].membership != NULL))
            return false;
        }
    }
  return true;
}

/* Gives every VM a complete view, as after running for a long time.  */
static inline void
member_prime (member_fleet_t *fleet)
{
  static lt_heartbeat_t page;
  for (int i = 0; i < fleet->vm_count; i++)
    for (int first = 0; first < fleet->vm_count;
         first += LT_HEARTBEAT_UPDATES_MAX)
      {
        lt_heartbeat_init (&page);
        for (int j = first;
             j < fleet->vm_count && j < first + LT_HEARTBEAT_UPDATES_MAX; j++)
          page.updates[page.members.update_count++]
              = member_identity (&fleet->vms[j]);
        lt_member_update_t from
            = member_identity (&fleet->vms[(i + 1) % fleet->vm_count]);
        page.members.page = 3; /* A page of a full exchange. */
        lt_membership_on_ack (fleet->vms[i].membership, fleet->now_us, &from,
                              0, &page.members);
      }
}

static inline member_fleet_t *
member_fleet_create (int count, int domains, uint64_t seed)
{
  member_fleet_t *fleet = (member_fleet_t *)lt_alloc (sizeof (*fleet));
  lt_rng_init (&fleet->rng, seed);
  fleet->vm_count = count;
  for (int i = 0; i < count; i++)
    {
      member_vm_t *vm = &fleet->vms[i];
      snprintf (vm->id, sizeof (vm->id), "vm-%d", i);
      snprintf (vm->address, sizeof (vm->address), "10.0.%d.%d:7000", i / 250,
                i % 250);
      snprintf (vm->region, sizeof (vm->region), "region-%d",
                i % domains * 3 / domains);
      snprintf (vm->domain, sizeof (vm->domain), "domain-%d", i % domains);
    }
  for (int i = 0; i < count; i++)
    member_start (fleet, i,
                  i == 0 ? 0 : (int)lt_rng_below (&fleet->rng, (uint64_t)i));
  return fleet;
}

static inline void
member_fleet_destroy (member_fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->heap_count; i++)
    lt_buf_destroy (&fleet->heap[i].payload);
  for (int i = 0; i < fleet->vm_count; i++)
    lt_membership_destroy (fleet->vms[i].membership);
  free (fleet->heap);
  free (fleet);
}

#endif
