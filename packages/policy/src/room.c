#include "lt/policy/room.h"

#include <stdlib.h>

#include "lt/base/clock.h"
#include "lt/base/error.h"
#include "lt/base/str.h"
#include "lt/policy/service_time.h"
#include "room_queue.h"
#include "room_service.h"

enum
{
  PEERS_MAX = 256,
  /* Requests that a level may be owed, at most.  */
  OWED_MAX = 2,
  /* Requests that may be sent after a pause, at least.  */
  CREDIT_MIN = 2
};

/* Share of this VM's part of the slots at which a level is assumed to be sent
   when nothing was sent lately.  */
#define IDLE_RATE_SHARE 0.25
/* A waiting request is refused early only when its expected wait exceeds the
   time that it has by this factor: estimates vary.  */
#define WAIT_TOLERANCE 1.5

typedef struct peer
{
  uint64_t id;
  int64_t heard_us;
} peer_t;

struct lt_room
{
  lt_room_options_t options;
  lt_room_service_t *services;
  lt_room_queue_t queue;
  lt_service_times_t times;
  peer_t peers[PEERS_MAX];
  uint32_t peer_count;
};

lt_room_t *
lt_room_create (const lt_room_options_t *options)
{
  lt_room_t *room = lt_alloc (sizeof (*room));
  room->options = *options;
  return room;
}

void
lt_room_destroy (lt_room_t *room)
{
  if (room == NULL)
    return;
  lt_room_service_t *service;
  lt_room_service_t *next;
  HASH_ITER (hh, room->services, service, next)
  {
    HASH_DEL (room->services, service); /* NOLINT(clang-analyzer-*) */
    free (service);
  }
  free (room->queue.entries);
  free (room);
}

static lt_room_service_t *
find (const lt_room_t *room, uint64_t key)
{
  lt_room_service_t *service = NULL;
  HASH_FIND (hh, room->services, &key, sizeof (key), service);
  return service;
}

static uint32_t
clamp_level (const lt_room_service_t *service, uint32_t level)
{
  return level < service->levels ? level : service->levels - 1;
}

void
lt_room_set_levels (lt_room_t *room, uint64_t key, uint32_t levels)
{
  lt_room_service_t *service = find (room, key);
  if (service == NULL)
    {
      service = lt_alloc (sizeof (*service));
      service->key = key;
      service->credit = CREDIT_MIN;
      HASH_ADD (hh, room->services, key, sizeof (key), service);
    }
  service->levels = levels < LT_ROOM_LEVELS_MAX ? levels : LT_ROOM_LEVELS_MAX;
  if (service->levels == 0)
    service->levels = 1;
  for (uint32_t i = 0; i < room->queue.count; i++)
    {
      lt_room_request_t *request = &room->queue.entries[i].request;
      if (request->service == key)
        request->level = clamp_level (service, request->level);
    }
}

bool
lt_room_covers (const lt_room_t *room, uint64_t key)
{
  const lt_room_service_t *service = find (room, key);
  return service != NULL && service->levels > 1;
}

static double
service_time_us (const lt_room_t *room, uint64_t route)
{
  double mean_us = lt_service_times_mean_us (&room->times, route);
  return mean_us > 0 ? mean_us : (double)room->options.initial_service_us;
}

void
lt_room_note_peer (lt_room_t *room, uint64_t peer, int64_t now_us)
{
  uint32_t at = 0;
  while (at < room->peer_count && room->peers[at].id != peer)
    at++;
  if (at == PEERS_MAX)
    {
      /* Replaces the VM that has been silent for longest.  */
      at = 0;
      for (uint32_t i = 1; i < PEERS_MAX; i++)
        if (room->peers[i].heard_us < room->peers[at].heard_us)
          at = i;
    }
  else if (at == room->peer_count)
    room->peer_count++;
  room->peers[at] = (peer_t){ peer, now_us };
}

/* Returns whether this VM knows the load of its failure domain: most of its
   VMs reported lately.  */
static bool
knows_domain (const lt_room_t *room, const lt_room_view_t *view,
              int64_t now_us)
{
  uint32_t heard = 0;
  for (uint32_t i = 0; i < room->peer_count; i++)
    heard += now_us - room->peers[i].heard_us < room->options.peer_max_age_us;
  return view->vms <= 1 || 2 * heard >= view->vms - 1;
}

static double
threshold (const lt_room_t *room, const lt_room_service_t *service,
           uint32_t level)
{
  const lt_room_options_t *o = &room->options;
  uint32_t last = service->levels - 1;
  if (level == 0)
    return o->urgent_load;
  return o->last_load
         + (o->urgent_load - o->last_load) * (last - level) / last;
}

static double
equal_part (const lt_choice_load_t *load, const lt_room_view_t *view)
{
  return (double)load->slots / (view->vms > 0 ? view->vms : 1);
}

/* Adds the credit for the room below the threshold of LEVEL: all VMs together
   may take ROOM_SHARE of it within the delay of their reports.  */
static void
refill (const lt_room_t *room, lt_room_service_t *service, uint32_t level,
        const lt_room_view_t *view, int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  const lt_choice_load_t *near = &view->loads[LT_DISTANCE_SAME_DOMAIN];
  double free_slots
      = threshold (room, service, level) * near->slots - near->in_flight;
  double part = free_slots <= 0 ? 0
                                : o->room_share * free_slots
                                      / (view->vms > 0 ? view->vms : 1);
  double periods
      = (double)(now_us - service->credit_us) / (double)o->report_delay_us;
  double most = part > CREDIT_MIN ? part : CREDIT_MIN;
  service->credit += part * (periods < 1 ? periods : 1);
  if (service->credit > most)
    service->credit = most;
  service->credit_us = now_us;
}

static bool
near_is_open (const lt_room_t *room, lt_room_service_t *service,
              uint32_t level, const lt_room_view_t *view, int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  const lt_choice_load_t *near = &view->loads[LT_DISTANCE_SAME_DOMAIN];
  double most = threshold (room, service, level);
  if (near->slots == 0)
    return false;
  if (!knows_domain (room, view, now_us))
    return near->own_in_flight
           < o->alone_share * most * equal_part (near, view) + 1;
  if (near->in_flight >= most * near->slots)
    return false;
  if (level == 0 || o->room_share == 0)
    return true;
  refill (room, service, level, view, now_us);
  return service->credit >= 1;
}

/* Returns whether upstreams at DISTANCE, outside the failure domain, may get
   requests of LEVEL.  */
static bool
distant_is_open (const lt_room_t *room, const lt_room_service_t *service,
                 lt_distance_t distance, uint32_t level,
                 const lt_room_view_t *view, int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  const lt_choice_load_t *load = &view->loads[distance];
  double known
      = lt_room_service_load (service, distance, o->load_max_age_us, now_us);
  if (load->slots == 0)
    return false;
  if (known >= 0)
    return known < threshold (room, service, level) - o->distance_load;
  if (level == 0)
    return true;
  if (lt_room_service_rejected (service, distance, o->rate_decay_us, now_us)
      >= o->rejected_share)
    return false;
  double share = view->loads[LT_DISTANCE_SAME_DOMAIN].slots == 0
                     ? o->alone_share
                     : o->blind_share;
  return load->own_in_flight < share * equal_part (load, view);
}

/* Sets the limits for LEVEL.  FAR: other regions may be used.  Returns whether
   there is a distance that is open.  */
static bool
set_limits (const lt_room_t *room, lt_room_service_t *service, uint32_t level,
            bool far, const lt_room_view_t *view, int64_t now_us,
            lt_choice_limits_t *limits)
{
  const lt_room_options_t *o = &room->options;
  int32_t above = level == 0 ? o->urgent_queue : o->level_queue;
  bool open[LT_DISTANCES] = { false };
  open[LT_DISTANCE_SAME_DOMAIN]
      = near_is_open (room, service, level, view, now_us);
  open[LT_DISTANCE_SAME_REGION] = distant_is_open (
      room, service, LT_DISTANCE_SAME_REGION, level, view, now_us);
  bool near = view->loads[LT_DISTANCE_SAME_DOMAIN].slots
                  + view->loads[LT_DISTANCE_SAME_REGION].slots
              > 0;
  open[LT_DISTANCE_OTHER_REGION]
      = (far || !near)
        && distant_is_open (room, service, LT_DISTANCE_OTHER_REGION, level,
                            view, now_us);
  for (int i = 0; i < LT_DISTANCES; i++)
    limits->above_slots[i] = open[i] ? above : LT_CHOICE_CLOSED;
  return open[LT_DISTANCE_SAME_DOMAIN] || open[LT_DISTANCE_SAME_REGION]
         || open[LT_DISTANCE_OTHER_REGION];
}

typedef struct usage
{
  const lt_room_t *room;
  const lt_room_service_t *service;
  int64_t now_us;
} usage_t;

static double
used_by_workspace (const void *user, uint64_t workspace)
{
  const usage_t *usage = user;
  const lt_room_workspace_t *found
      = lt_room_service_workspace (usage->service, workspace);
  return found == NULL ? 0
                       : lt_room_count_at (&found->sent,
                                           usage->room->options.rate_decay_us,
                                           usage->now_us);
}

/* Returns the rate in requests per second at which this VM sends requests of
   LEVEL or less urgent ones: what more urgent levels leave.  */
static double
rate_per_s (const lt_room_t *room, const lt_room_service_t *service,
            uint32_t level, double service_us, const lt_room_view_t *view,
            int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  double sent = 0;
  for (uint32_t i = level; i < service->levels; i++)
    sent += lt_room_count_at (&service->sent[i], o->rate_decay_us, now_us);
  double slots = 0;
  for (int i = 0; i < LT_DISTANCES; i++)
    if (slots == 0)
      slots = equal_part (&view->loads[i], view);
  double least = IDLE_RATE_SHARE * slots * LT_US_PER_S / service_us;
  double rate = sent * LT_US_PER_S / (double)o->rate_decay_us;
  return rate > least ? rate : least;
}

static int64_t
expected_wait_us (const lt_room_t *room, const lt_room_service_t *service,
                  const lt_room_entry_t *entry, const lt_room_view_t *view,
                  int64_t now_us)
{
  usage_t usage = { room, service, now_us };
  lt_room_order_t order = { used_by_workspace, &usage, now_us };
  uint32_t ahead = lt_room_queue_ahead (&room->queue, &order, entry);
  double rate = rate_per_s (room, service, entry->request.level,
                            service_time_us (room, entry->request.route), view,
                            now_us);
  return rate <= 0 ? INT64_MAX / 4
                   : (int64_t)((ahead + 1) * (double)LT_US_PER_S / rate);
}

static int64_t
retry_after_us (const lt_room_t *room, int64_t wait_us)
{
  const lt_room_options_t *o = &room->options;
  if (wait_us < o->retry_after_min_us)
    return o->retry_after_min_us;
  return wait_us < o->retry_after_max_us ? wait_us : o->retry_after_max_us;
}

static lt_room_entry_t
make_entry (const lt_room_t *room, const lt_room_service_t *service,
            const lt_room_request_t *request, int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  int64_t finish_us
      = (int64_t)(o->finish_margin * service_time_us (room, request->route));
  int64_t deadline_us = request->deadline_us;
  int64_t target_us
      = request->target_us > 0 && request->target_us < deadline_us
            ? request->target_us
            : deadline_us;
  int64_t late_us
      = (int64_t)(o->late_share * (double)(deadline_us - target_us));
  lt_room_entry_t entry
      = { .request = *request,
          .queued_us = now_us,
          .on_time_until_us = target_us - finish_us,
          .start_until_us = target_us + late_us - finish_us };
  entry.request.level = clamp_level (service, request->level);
  return entry;
}

/* Makes space for ENTRY among the waiting requests, if need be by displacing a
   less urgent one.  */
static bool
make_space (lt_room_t *room, const lt_room_entry_t *entry)
{
  const lt_room_options_t *o = &room->options;
  const lt_room_request_t *request = &entry->request;
  if (lt_room_queue_of_workspace (&room->queue, request->service,
                                  request->workspace)
      >= o->workspace_max)
    return false;
  bool full = room->queue.count >= o->waiting_max
              || room->queue.bytes + request->bytes > o->waiting_max_bytes;
  if (!full)
    return true;
  lt_room_entry_t *last = lt_room_queue_last (&room->queue);
  if (last == NULL || last->request.level <= request->level
      || last->request.bytes < request->bytes
      || room->queue.count >= 2 * o->waiting_max)
    return false;
  last->displaced = true;
  return true;
}

lt_room_verdict_t
lt_room_hold (lt_room_t *room, const lt_room_request_t *request,
              const lt_room_view_t *view, int64_t now_us,
              lt_room_answer_t *answer)
{
  lt_room_service_t *service = find (room, request->service);
  lt_room_entry_t entry = make_entry (room, service, request, now_us);
  answer->wait_us = expected_wait_us (room, service, &entry, view, now_us);
  answer->retry_after_us = retry_after_us (room, answer->wait_us);
  if (now_us + answer->wait_us > entry.start_until_us)
    return LT_ROOM_LATE;
  if (!make_space (room, &entry))
    return LT_ROOM_FULL;
  lt_room_queue_add (&room->queue, &entry);
  return LT_ROOM_WAIT;
}

static bool
has_waiting (const lt_room_t *room, const lt_room_service_t *service,
             uint32_t level)
{
  for (uint32_t i = 0; i <= level; i++)
    if (lt_room_queue_of_level (&room->queue, service->key, i) > 0)
      return true;
  return false;
}

lt_room_verdict_t
lt_room_offer (lt_room_t *room, const lt_room_request_t *request,
               const lt_room_view_t *view, int64_t now_us,
               lt_room_answer_t *answer)
{
  lt_room_service_t *service = find (room, request->service);
  uint32_t level = clamp_level (service, request->level);
  *answer = (lt_room_answer_t){ 0 };
  /* A request does not overtake those that wait.  */
  if (!has_waiting (room, service, level)
      && set_limits (room, service, level, request->other_regions_only, view,
                     now_us, &answer->limits))
    return LT_ROOM_SEND;
  return lt_room_hold (room, request, view, now_us, answer);
}

/* Returns whether ENTRY has waited for so long that it may be sent to another
   region.  */
static bool
may_go_far (const lt_room_t *room, const lt_room_entry_t *entry,
            int64_t now_us)
{
  double allowed = (double)(entry->start_until_us - entry->queued_us);
  return entry->request.other_regions_only
         || (double)(now_us - entry->queued_us)
                >= room->options.far_wait_share * allowed;
}

uint64_t
lt_room_next (lt_room_t *room, uint64_t key, const lt_room_view_t *view,
              int64_t now_us, lt_room_answer_t *answer)
{
  lt_room_service_t *service = find (room, key);
  if (service == NULL || room->queue.count == 0)
    return 0;
  usage_t usage = { room, service, now_us };
  lt_room_order_t order = { used_by_workspace, &usage, now_us };
  *answer = (lt_room_answer_t){ 0 };
  for (uint32_t level = 0; level < service->levels; level++)
    {
      const lt_room_entry_t *first
          = lt_room_queue_first (&room->queue, &order, key, level);
      if (first == NULL)
        continue;
      answer->owed = level > 0 && service->owed[level] >= 1;
      bool far = may_go_far (room, first, now_us);
      if (set_limits (room, service, answer->owed ? 0 : level, far, view,
                      now_us, &answer->limits))
        return first->request.id;
    }
  return 0;
}

void
lt_room_cancel (lt_room_t *room, uint64_t id)
{
  lt_room_entry_t *entry = lt_room_queue_find (&room->queue, id);
  if (entry != NULL)
    lt_room_queue_remove (&room->queue, entry);
}

void
lt_room_sent (lt_room_t *room, const lt_room_request_t *request,
              lt_distance_t distance, bool owed, int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  lt_room_service_t *service = find (room, request->service);
  uint32_t level = clamp_level (service, request->level);
  lt_room_cancel (room, request->id);
  lt_room_count_add (&service->sent[level], 1, o->rate_decay_us, now_us);
  lt_room_service_use (service, request->workspace, o->rate_decay_us, now_us);
  lt_room_count_add (&service->distances[distance].attempts, 1,
                     o->rate_decay_us, now_us);
  if (distance == LT_DISTANCE_SAME_DOMAIN && !owed)
    service->credit = service->credit > 1 ? service->credit - 1 : 0;
  if (owed)
    service->owed[level] -= 1;
  for (uint32_t i = 1; i < service->levels; i++)
    {
      if (lt_room_queue_of_level (&room->queue, request->service, i) == 0)
        service->owed[i] = 0;
      else if (i != level && service->owed[i] < OWED_MAX)
        service->owed[i] += o->least_share;
    }
}

size_t
lt_room_expire (lt_room_t *room, const lt_room_view_t *view, uint64_t key,
                int64_t now_us, lt_room_refusal_t *refusals, size_t cap)
{
  size_t count = 0;
  const lt_room_service_t *service = find (room, key);
  for (uint32_t i = room->queue.count; i > 0 && count < cap; i--)
    {
      lt_room_entry_t *entry = &room->queue.entries[i - 1];
      if (entry->request.service != key)
        continue;
      int64_t wait_us = expected_wait_us (room, service, entry, view, now_us);
      int64_t left_us = entry->start_until_us - now_us;
      bool late
          = left_us < 0
            || (double)wait_us > (double)left_us * WAIT_TOLERANCE
                                     + (double)room->options.report_delay_us;
      if (!entry->displaced && !late)
        continue;
      refusals[count++] = (lt_room_refusal_t){
        .id = entry->request.id,
        .verdict = entry->displaced ? LT_ROOM_FULL : LT_ROOM_LATE,
        .retry_after_us = retry_after_us (room, wait_us)
      };
      lt_room_queue_remove (&room->queue, entry);
    }
  return count;
}

void
lt_room_ended (lt_room_t *room, uint64_t key, uint64_t route,
               lt_distance_t distance, bool rejected, int64_t latency_us,
               int64_t now_us)
{
  const lt_room_options_t *o = &room->options;
  lt_room_service_t *service = find (room, key);
  if (service == NULL)
    return;
  if (rejected)
    lt_room_count_add (&service->distances[distance].rejected, 1,
                       o->rate_decay_us, now_us);
  /* A slot that this VM's own request frees is this VM's to fill.  */
  if (distance == LT_DISTANCE_SAME_DOMAIN && !rejected)
    service->credit += 1;
  if (latency_us >= 0)
    lt_service_times_add (&room->times, route, latency_us, o->service_weight);
}

void
lt_room_set_load (lt_room_t *room, uint64_t key, lt_distance_t distance,
                  uint64_t domain, int32_t load_milli, int64_t now_us)
{
  lt_room_service_t *service = find (room, key);
  if (service != NULL)
    lt_room_service_set_load (service, distance, domain, load_milli, now_us);
}

uint32_t
lt_room_waiting (const lt_room_t *room)
{
  return room->queue.count;
}

size_t
lt_room_waiting_bytes (const lt_room_t *room)
{
  return room->queue.bytes;
}

int
lt_room_look_up (const lt_room_t *room, uint64_t key, int64_t now_us,
                 lt_room_status_t *status)
{
  const lt_room_options_t *o = &room->options;
  const lt_room_service_t *service = find (room, key);
  if (service == NULL)
    return -LT_ENOTFOUND;
  *status = (lt_room_status_t){ .levels = service->levels,
                                .credit = service->credit };
  status->rejected_share = lt_room_service_rejected (
      service, LT_DISTANCE_SAME_DOMAIN, o->rate_decay_us, now_us);
  for (int i = 0; i < LT_DISTANCES; i++)
    status->loads[i] = lt_room_service_load (service, (lt_distance_t)i,
                                             o->load_max_age_us, now_us);
  for (uint32_t i = 0; i < service->levels; i++)
    {
      status->waiting[i] = lt_room_queue_of_level (&room->queue, key, i);
      status->sent_per_s[i]
          = lt_room_count_at (&service->sent[i], o->rate_decay_us, now_us)
            * LT_US_PER_S / (double)o->rate_decay_us;
    }
  return 0;
}
