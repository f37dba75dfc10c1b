#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filters.h"
#include "lt/base/hash.h"
#include "lt/node/node.h"
#include "lt/node/request.h"
#include "lt/policy/admission.h"
#include "lt/policy/membership.h"
#include "waiting.h"

/** A VM may use this many times its even share of a service's slots, because
    callers are not spread evenly over VMs; upstreams shed any excess.  */
#define SLOT_SHARE_FACTOR 2
#define SLOTS_MIN 4
/** Interval between checks of queued requests against their deadlines.  */
#define EXPIRE_INTERVAL_S 0.01
#define BATCH_SIZE 64

#define EVENT_TABLE(X)                                                        \
  X (EVENT_ADMITTED, "admitted")                                              \
  X (EVENT_QUEUED, "queued")                                                  \
  X (EVENT_STARTED, "started")                                                \
  X (EVENT_QUEUE_FULL, "queue-full")                                          \
  X (EVENT_DEADLINE_UNREACHABLE, "deadline-unreachable")                      \
  X (EVENT_EXPIRED, "expired")                                                \
  X (EVENT_CANCELED, "canceled")

#define EVENT_ENUM(name, text) name,
typedef enum admission_event
{
  EVENT_TABLE (EVENT_ENUM) EVENT_COUNT
} admission_event_t;

#define EVENT_NAME(name, text) (text),
static const char *const event_names[] = { EVENT_TABLE (EVENT_NAME) };

/** Admission queue of a service; kept when the configuration changes.  */
typedef struct service
{
  uint64_t key; /**< Hash of the service name. */
  lt_admission_t *admission;
  int64_t slots_version;     /**< Snapshot version used for the slots. */
  uint64_t slots_membership; /**< Membership generation used. */
} service_t;

typedef enum entry_state
{
  ENTRY_QUEUED,
  ENTRY_READY, /**< Admitted or expired; the event loop resumes it. */
  ENTRY_RUNNING
} entry_state_t;

/** A request in the queue or in progress.  */
typedef struct entry
{
  struct entry *next_ready;
  lt_request_t *request;
  uint64_t service;
  entry_state_t state;
  bool expired;
  int64_t started_us;
} entry_t;

typedef struct filter_admission
{
  lt_filter_t base;
  service_t *services;
  size_t count;
  entry_t *ready;
  entry_t **ready_end;
  ev_timer resume;
  ev_timer expire;
  lt_counter_t *event_counters[EVENT_COUNT];
} filter_admission_t;

static void
count_event (filter_admission_t *filter, admission_event_t event)
{
  filter->event_counters[event]->value++;
}

static service_t *
find_service (filter_admission_t *filter, uint64_t key)
{
  for (size_t i = 0; i < filter->count; i++)
    if (filter->services[i].key == key)
      return &filter->services[i];
  return NULL;
}

static uint32_t
slots_for_this_vm (const lt_node_t *node, const lt_snapshot_t *snapshot,
                   const lt_service_t *config)
{
  int64_t slots = 0;
  for (uint32_t i = 0; i < config->upstream_count; i++)
    {
      const lt_upstream_t *u
          = &snapshot->upstreams[config->first_upstream + i];
      slots += u->drained || u->evacuated ? 0 : u->slots;
    }
  size_t vms = node->membership == NULL
                   ? 1
                   : lt_membership_live_count (node->membership);
  int64_t share = slots;
  if (vms > SLOT_SHARE_FACTOR)
    share = (SLOT_SHARE_FACTOR * slots + (int64_t)vms - 1) / (int64_t)vms;
  return (uint32_t)(share > SLOTS_MIN ? share : SLOTS_MIN);
}

/* Returns the service of REQUEST with its number of slots up to date.  */
static service_t *
get_service (filter_admission_t *filter, const lt_request_t *request)
{
  const lt_node_t *node = filter->base.node;
  const lt_snapshot_t *snapshot = request->snapshot;
  const lt_service_t *config = &snapshot->services[request->route->service];
  uint64_t key = lt_hash64 (config->name);
  uint64_t members = node->membership == NULL
                         ? 0
                         : lt_membership_generation (node->membership);
  service_t *service = find_service (filter, key);
  if (service == NULL)
    {
      filter->services = lt_realloc (
          filter->services, (filter->count + 1) * sizeof (*filter->services));
      service = &filter->services[filter->count++];
      lt_admission_options_t options = LT_ADMISSION_OPTIONS_DEFAULT;
      *service = (service_t){ .key = key, .slots_version = -1 };
      service->admission = lt_admission_create (&options);
    }
  if (service->slots_version == snapshot->version
      && service->slots_membership == members)
    return service;
  service->slots_version = snapshot->version;
  service->slots_membership = members;
  lt_admission_set_slots (service->admission,
                          slots_for_this_vm (node, snapshot, config));
  return service;
}

static uint64_t
entry_id (const entry_t *entry)
{
  return (uint64_t)(uintptr_t)entry;
}

static void
mark_ready (filter_admission_t *filter, uint64_t id, bool expired,
            int64_t now_us)
{
  entry_t *entry = (entry_t *)(uintptr_t)id;
  entry->state = ENTRY_READY;
  entry->expired = expired;
  entry->started_us = now_us;
  entry->next_ready = NULL;
  *filter->ready_end = entry;
  filter->ready_end = &entry->next_ready;
  count_event (filter, expired ? EVENT_EXPIRED : EVENT_STARTED);
  if (!ev_is_active (&filter->resume))
    {
      ev_timer_set (&filter->resume, 0, 0);
      ev_timer_start (filter->base.node->loop, &filter->resume);
    }
}

static void
expire (filter_admission_t *filter, service_t *service, int64_t now_us)
{
  uint64_t ids[BATCH_SIZE];
  size_t found;
  do
    {
      found
          = lt_admission_expire (service->admission, now_us, ids, BATCH_SIZE);
      for (size_t i = 0; i < found; i++)
        mark_ready (filter, ids[i], true, now_us);
    }
  while (found == BATCH_SIZE);
}

/* Starts queued requests while slots are free.  */
static void
advance (filter_admission_t *filter, service_t *service, int64_t now_us)
{
  uint64_t ids[BATCH_SIZE];
  size_t found;
  expire (filter, service, now_us);
  do
    {
      found = lt_admission_start_queued (service->admission, now_us, ids,
                                         BATCH_SIZE);
      for (size_t i = 0; i < found; i++)
        mark_ready (filter, ids[i], false, now_us);
    }
  while (found == BATCH_SIZE);
}

static void
on_expire (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  filter_admission_t *filter = watcher->data;
  int64_t now_us = lt_node_now_us (filter->base.node);
  bool queued = false;
  for (size_t i = 0; i < filter->count; i++)
    {
      advance (filter, &filter->services[i], now_us);
      queued |= lt_admission_status (filter->services[i].admission).queued > 0;
    }
  if (!queued)
    ev_timer_stop (loop, watcher);
}

/* Resumes requests from the event loop, so that requests that end at once and
   thereby start others do not recurse.  */
static void
on_resume (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  filter_admission_t *filter = watcher->data;
  while (filter->ready != NULL)
    {
      entry_t *entry = filter->ready;
      filter->ready = entry->next_ready;
      if (filter->ready == NULL)
        filter->ready_end = &filter->ready;
      lt_request_t *request = entry->request;
      if (entry->expired)
        {
          request->filter_state[filter->base.slot] = NULL;
          free (entry);
          lt_request_refuse (request, LT_REFUSE_DEADLINE_UNREACHABLE);
          continue;
        }
      entry->state = ENTRY_RUNNING;
      lt_request_resume (request);
    }
}

static lt_filter_result_t
filter_request (lt_filter_t *base, lt_request_t *request)
{
  filter_admission_t *filter = (filter_admission_t *)base;
  int64_t now_us = lt_node_now_us (base->node);
  service_t *service = get_service (filter, request);
  entry_t *entry = lt_alloc (sizeof (*entry));
  entry->request = request;
  entry->service = service->key;
  entry->started_us = now_us;
  lt_admission_verdict_t verdict
      = lt_admission_offer (service->admission, entry_id (entry),
                            request->workspace, now_us, request->deadline_us);
  if (verdict == LT_ADMISSION_ADMIT || verdict == LT_ADMISSION_QUEUED)
    request->filter_state[base->slot] = entry;
  if (verdict == LT_ADMISSION_ADMIT)
    {
      entry->state = ENTRY_RUNNING;
      count_event (filter, EVENT_ADMITTED);
      return LT_FILTER_CONTINUE;
    }
  if (verdict == LT_ADMISSION_QUEUED)
    {
      entry->state = ENTRY_QUEUED;
      count_event (filter, EVENT_QUEUED);
      lt_waiting_begin (request, LT_WAIT_ADMISSION);
      if (!ev_is_active (&filter->expire))
        ev_timer_again (base->node->loop, &filter->expire);
      return LT_FILTER_WAIT;
    }
  free (entry);
  bool full = verdict == LT_ADMISSION_QUEUE_FULL;
  count_event (filter, full ? EVENT_QUEUE_FULL : EVENT_DEADLINE_UNREACHABLE);
  return lt_request_refuse (request, full ? LT_REFUSE_QUEUE_FULL
                                          : LT_REFUSE_DEADLINE_UNREACHABLE);
}

static void
remove_ready (filter_admission_t *filter, const entry_t *entry)
{
  entry_t **at = &filter->ready;
  while (*at != NULL && *at != entry)
    at = &(*at)->next_ready;
  if (*at == NULL)
    return;
  *at = entry->next_ready;
  if (*at == NULL)
    filter->ready_end = at;
}

static void
filter_done (lt_filter_t *base, lt_request_t *request)
{
  filter_admission_t *filter = (filter_admission_t *)base;
  entry_t *entry = request->filter_state[base->slot];
  if (entry == NULL)
    return;
  request->filter_state[base->slot] = NULL;
  int64_t now_us = lt_node_now_us (base->node);
  service_t *service = find_service (filter, entry->service);
  bool release = entry->state == ENTRY_RUNNING;
  if (entry->state == ENTRY_QUEUED)
    {
      (void)lt_admission_cancel (service->admission, entry_id (entry));
      count_event (filter, EVENT_CANCELED);
    }
  else if (entry->state == ENTRY_READY)
    {
      remove_ready (filter, entry);
      release = !entry->expired;
    }
  if (release)
    {
      /* The service time is measured only on requests that an upstream
         completed.  */
      bool ran = entry->state == ENTRY_RUNNING && request->response.complete
                 && !request->refused;
      expire (filter, service, now_us);
      lt_admission_release (service->admission,
                            ran ? now_us - entry->started_us : -1, now_us,
                            NULL, 0);
      advance (filter, service, now_us);
    }
  free (entry);
}

static void
filter_destroy (lt_filter_t *base)
{
  filter_admission_t *filter = (filter_admission_t *)base;
  ev_timer_stop (base->node->loop, &filter->resume);
  ev_timer_stop (base->node->loop, &filter->expire);
  for (size_t i = 0; i < filter->count; i++)
    lt_admission_destroy (filter->services[i].admission);
  free (filter->services);
  free (filter);
}

static const lt_filter_vtable_t vtable = { .name = "admission",
                                           .request = filter_request,
                                           .done = filter_done,
                                           .destroy = filter_destroy };

lt_filter_t *
lt_filter_admission_create (lt_metrics_t *metrics)
{
  filter_admission_t *filter = lt_alloc (sizeof (*filter));
  filter->base.vtable = &vtable;
  filter->ready_end = &filter->ready;
  ev_timer_init (&filter->resume, on_resume, 0, 0);
  ev_timer_init (&filter->expire, on_expire, EXPIRE_INTERVAL_S,
                 EXPIRE_INTERVAL_S);
  filter->resume.data = filter;
  filter->expire.data = filter;
  for (int i = 0; i < EVENT_COUNT; i++)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\"", event_names[i]);
      filter->event_counters[i]
          = lt_metrics_counter (metrics, "lavendertrack_admission_total",
                                "Events of the admission queue.", labels);
    }
  return &filter->base;
}
