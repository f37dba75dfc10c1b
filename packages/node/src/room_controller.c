#include "room_controller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "lt/base/error.h"
#include "lt/base/hash.h"
#include "lt/base/log.h"
#include "pools.h"
#include "room_levels.h"
#include "room_report.h"
#include "upstream_places.h"
#include "waiting.h"

enum
{
  REFUSALS_MAX = 64,
  /* Of the header fields, which are not counted one by one.  */
  HEADER_BYTES = 2048,
  /* The first requests that wait, after none did for this long, are logged. */
  LOG_PAUSE_US = 5 * LT_US_PER_S,
  /* With 20 VMs in each failure domain, each VM receives reports of the
     region's other one about four times a second.  */
  REPORT_INTERVAL_US = 250 * LT_US_PER_MS,
  LOAD_MILLI_MAX = 100000
};

/* Time between attempts to send waiting requests without an event.  */
#define RETRY_INTERVAL_S 0.025
/* Reports of other VMs arrive about every 10 ms; each makes few slots free. */
#define REPORT_DELAY_S 0.01
/* An own attempt that ended; requests are sent from the event loop.  */
#define ENDED_DELAY_S 0.0

/* What becomes of a request: enumerator, label.  */
#define ROOM_EVENT_TABLE(X)                                                   \
  X (ROOM_EVENT_SENT, "sent")                                                 \
  X (ROOM_EVENT_WAITED, "waited")                                             \
  X (ROOM_EVENT_OWED, "owed")                                                 \
  X (ROOM_EVENT_LATE, "late")                                                 \
  X (ROOM_EVENT_FULL, "full")                                                 \
  X (ROOM_EVENT_LEFT, "left")                                                 \
  X (ROOM_EVENT_STOPPING, "stopping")

#define ROOM_EVENT_ENUM(name, text) name,
typedef enum room_event
{
  ROOM_EVENT_TABLE (ROOM_EVENT_ENUM) ROOM_EVENTS
} room_event_t;
#undef ROOM_EVENT_ENUM

/* A service, by the hash of its name: its index changes.  */
typedef struct service
{
  UT_hash_handle hh;
  uint64_t key;
  uint64_t report_id;
  lt_buf_t name;
  lt_room_levels_t levels;
  uint32_t waiting;
  int64_t waited_us; /* Last time that a request waited; 0: never. */
} service_t;

struct lt_room_controller
{
  lt_controller_t base;
  lt_room_t *room;
  service_t *services;
  lt_dispatch_t *waiting;
  int64_t reported_us; /* Last report to other failure domains. */
  uint32_t vms;        /* Of the failure domain, this one included. */
  ev_timer pump;
  lt_counter_t *events[ROOM_EVENTS][LT_ROOM_LEVELS_MAX];
  lt_gauge_t *waiting_gauge;
  lt_gauge_t *bytes_gauge;
  lt_histogram_t *wait_time;
};

static void
count_event (lt_room_controller_t *c, room_event_t event, uint32_t level)
{
#define ROOM_EVENT_NAME(name, text) text,
  static const char *const names[] = { ROOM_EVENT_TABLE (ROOM_EVENT_NAME) };
#undef ROOM_EVENT_NAME
  if (level >= LT_ROOM_LEVELS_MAX)
    level = LT_ROOM_LEVELS_MAX - 1;
  lt_counter_t **counter = &c->events[event][level];
  if (*counter == NULL)
    {
      char labels[64];
      snprintf (labels, sizeof (labels), "event=\"%s\",level=\"%u\"",
                names[event], (unsigned)level);
      *counter = lt_metrics_counter (
          c->base.node->metrics, "lavendertrack_room_total",
          "Requests admitted by priority, by event and level.", labels);
    }
  (*counter)->value++;
}

static service_t *
find_service (const lt_room_controller_t *c, uint64_t key)
{
  service_t *service = NULL;
  HASH_FIND (hh, c->services, &key, sizeof (key), service);
  return service;
}

/* Sends waiting requests in DELAY_S or earlier.  */
static void
wake (lt_room_controller_t *c, double delay_s)
{
  struct ev_loop *loop = c->base.node->loop;
  if (c->waiting == NULL
      || (ev_is_active (&c->pump)
          && ev_timer_remaining (loop, &c->pump) <= delay_s))
    return;
  ev_timer_stop (loop, &c->pump);
  ev_timer_set (&c->pump, delay_s, 0.0);
  ev_timer_start (loop, &c->pump);
}

static void
update_gauges (lt_room_controller_t *c)
{
  c->waiting_gauge->value = lt_room_waiting (c->room);
  c->bytes_gauge->value = (double)lt_room_waiting_bytes (c->room);
}

/* Returns what this VM knows of SERVICE.  */
static lt_room_view_t
make_view (const lt_room_controller_t *c, const service_t *service,
           int64_t now_us)
{
  lt_pools_t *pools = c->base.node->pools;
  lt_snapshot_ref_t *config = pools->vtable->config (pools);
  lt_room_view_t view = { .vms = c->vms };
  uint32_t index = config == NULL
                       ? LT_NO_INDEX
                       : lt_snapshot_find_service (
                           config->snapshot, lt_buf_str (&service->name));
  if (index != LT_NO_INDEX)
    pools->vtable->load (pools, index, now_us, view.loads);
  return view;
}

static lt_distance_t
attempt_distance (const lt_room_controller_t *c, const attempt_t *attempt)
{
  const lt_settings_t *settings = c->base.node->settings;
  const lt_upstream_t *upstream
      = &attempt->config->snapshot->upstreams[attempt->upstream];
  return lt_upstream_distance (upstream->failure_domain, upstream->region,
                               settings->failure_domain, settings->region);
}

static lt_room_request_t
describe (const lt_dispatch_t *dispatch, const service_t *service)
{
  const lt_request_t *request = dispatch->request;
  const lt_route_t *route = request->route;
  int64_t target_us = route->latency_target_ms * LT_US_PER_MS;
  return (lt_room_request_t){
    .id = (uint64_t)(uintptr_t)dispatch,
    .service = service->key,
    .route = lt_hash64 (route->name),
    .workspace = dispatch->workspace_hash,
    .level = lt_room_levels_find (
        &service->levels,
        lt_room_level_key (request->snapshot, route, request->workspace)),
    .target_us = target_us == 0 ? 0 : request->started_us + target_us,
    .deadline_us = request->deadline_us,
    .bytes = request->body.len + HEADER_BYTES,
    .other_regions_only
    = lt_room_excludes_region (request->snapshot, route, request->workspace,
                               request->node->settings->region),
  };
}

static void
record_sent (lt_room_controller_t *c, lt_dispatch_t *dispatch, bool owed,
             int64_t now_us)
{
  const attempt_t *attempt = &dispatch->attempts[dispatch->attempt_count - 1];
  lt_room_sent (c->room, &dispatch->room_request,
                attempt_distance (c, attempt), owed, now_us);
}

static void
log_waiting (service_t *service, const lt_room_view_t *view, int64_t now_us)
{
  const lt_choice_load_t *near = &view->loads[LT_DISTANCE_SAME_DOMAIN];
  if (service->waited_us == 0 || now_us - service->waited_us > LOG_PAUSE_US)
    lt_log (LT_LOG_INFO, "room",
            "msg=\"requests wait for room\" service=%.*s load=%d slots=%d "
            "vms=%u",
            STR_ARG (lt_buf_str (&service->name)), near->in_flight,
            near->slots, (unsigned)view->vms);
  service->waited_us = now_us;
}

static void
begin_waiting (lt_room_controller_t *c, lt_dispatch_t *dispatch,
               service_t *service, const lt_room_view_t *view, int64_t now_us)
{
  dispatch->waiting = true;
  dispatch->waiting_since_us = now_us;
  service->waiting++;
  DL_APPEND2 (c->waiting, dispatch, previous_waiting, next_waiting);
  lt_waiting_begin (dispatch->request, LT_WAIT_ROOM);
  log_waiting (service, view, now_us);
  update_gauges (c);
  wake (c, RETRY_INTERVAL_S);
}

static void
end_waiting (lt_room_controller_t *c, lt_dispatch_t *dispatch)
{
  service_t *service = find_service (c, dispatch->room_request.service);
  dispatch->waiting = false;
  service->waiting--;
  DL_DELETE2 (c->waiting, dispatch, previous_waiting, /* NOLINT */
              next_waiting);
  lt_room_cancel (c->room, dispatch->room_request.id);
  lt_waiting_end (dispatch->request);
  update_gauges (c);
}

static void
record_refusal (lt_room_controller_t *c, lt_dispatch_t *dispatch,
                lt_room_verdict_t verdict, int64_t retry_after_us)
{
  bool full = verdict == LT_ROOM_FULL;
  uint32_t level = dispatch->room_request.level;
  dispatch->room_refusal
      = full ? LT_REFUSE_QUEUE_FULL : LT_REFUSE_DEADLINE_UNREACHABLE;
  dispatch->room_retry_after_ms = retry_after_us / LT_US_PER_MS + 1;
  count_event (c, full ? ROOM_EVENT_FULL : ROOM_EVENT_LATE, level);
  lt_log (LT_LOG_INFO, "room",
          "msg=\"no room\" request=%s service=%.*s level=%u cause=%s "
          "retry_after_ms=%lld",
          dispatch->request->request_id, STR_ARG (dispatch->service_name),
          (unsigned)level, full ? "full" : "late",
          (long long)dispatch->room_retry_after_ms);
}

bool
lt_room_controller_start (lt_room_controller_t *c, lt_dispatch_t *dispatch)
{
  service_t *service = find_service (c, dispatch->service_hash);
  if (service == NULL || service->levels.count < 2)
    return lt_dispatch_start_now (dispatch);
  int64_t now_us = lt_node_now_us (c->base.node);
  lt_room_view_t view = make_view (c, service, now_us);
  lt_room_answer_t answer;
  dispatch->room_request = describe (dispatch, service);
  dispatch->room_retry_after_ms = 0;
  lt_room_verdict_t verdict = lt_room_offer (c->room, &dispatch->room_request,
                                             &view, now_us, &answer);
  if (verdict == LT_ROOM_SEND)
    {
      int error = lt_dispatch_try (dispatch, &answer.limits);
      if (error == 0)
        {
          count_event (c, ROOM_EVENT_SENT, dispatch->room_request.level);
          record_sent (c, dispatch, false, now_us);
          return true;
        }
      if (error != -LT_EFULL)
        return false;
      verdict = lt_room_hold (c->room, &dispatch->room_request, &view, now_us,
                              &answer);
    }
  if (verdict == LT_ROOM_WAIT)
    {
      begin_waiting (c, dispatch, service, &view, now_us);
      return true;
    }
  record_refusal (c, dispatch, verdict, answer.retry_after_us);
  return false;
}

void
lt_room_controller_leave (lt_room_controller_t *c, lt_dispatch_t *dispatch,
                          bool stopping)
{
  if (!dispatch->waiting)
    return;
  count_event (c, stopping ? ROOM_EVENT_STOPPING : ROOM_EVENT_LEFT,
               dispatch->room_request.level);
  end_waiting (c, dispatch);
}

void
lt_room_controller_attempt_ended (lt_room_controller_t *c,
                                  const attempt_t *attempt,
                                  lt_attempt_outcome_t outcome,
                                  int64_t latency_us)
{
  const lt_dispatch_t *dispatch = attempt->dispatch;
  lt_room_ended (c->room, dispatch->service_hash,
                 lt_hash64 (dispatch->request->route->name),
                 attempt_distance (c, attempt), outcome == LT_ATTEMPT_SHED,
                 outcome == LT_ATTEMPT_OK ? latency_us : -1,
                 lt_node_now_us (c->base.node));
  wake (c, ENDED_DELAY_S);
}

/* Takes over the loads that a VM of another failure domain reported.  */
static void
take_loads (lt_room_controller_t *c, lt_distance_t distance, uint64_t domain,
            const lt_wire_upstream_updates_t *updates, int64_t now_us)
{
  service_t *service;
  service_t *next;
  HASH_ITER (hh, c->services, service, next)
  {
    for (uint32_t i = 0; i < updates->count; i++)
      if (updates->items[i].upstream == service->report_id
          && updates->items[i].in_flight <= LOAD_MILLI_MAX)
        lt_room_set_load (c->room, service->key, distance, domain,
                          (int32_t)updates->items[i].in_flight, now_us);
  }
}

void
lt_room_controller_note_peer (lt_room_controller_t *c, str_t vm_id,
                              const lt_wire_upstream_updates_t *updates,
                              int64_t now_us)
{
  uint64_t domain = 0;
  lt_distance_t distance
      = lt_room_report_distance (c->base.node, vm_id, &domain);
  if (distance != LT_DISTANCE_SAME_DOMAIN)
    {
      if (domain != 0)
        take_loads (c, distance, domain, updates, now_us);
      return;
    }
  lt_room_note_peer (c->room, lt_hash64 (vm_id), now_us);
  wake (c, REPORT_DELAY_S);
}

/* Reports the load of this failure domain to others.  */
static void
report_loads (lt_room_controller_t *c, int64_t now_us)
{
  lt_wire_upstream_updates_t updates = { .count = 0 };
  service_t *service;
  service_t *next;
  HASH_ITER (hh, c->services, service, next)
  {
    if (!lt_room_covers (c->room, service->key)
        || updates.count == LT_WIRE_UPSTREAM_UPDATES_MAX)
      continue;
    lt_room_view_t view = make_view (c, service, now_us);
    const lt_choice_load_t *near = &view.loads[LT_DISTANCE_SAME_DOMAIN];
    if (near->slots > 0 && near->in_flight >= 0)
      updates.items[updates.count++] = (lt_wire_upstream_update_t){
        .upstream = service->report_id,
        .in_flight = (uint32_t)((int64_t)near->in_flight * 1000 / near->slots)
      };
  }
  lt_room_report_send (c->base.node, &updates);
}

/* Refuses the waiting requests of SERVICE that will not end in time.  */
static void
expire (lt_room_controller_t *c, service_t *service)
{
  int64_t now_us = lt_node_now_us (c->base.node);
  lt_room_view_t view = make_view (c, service, now_us);
  lt_room_refusal_t refusals[REFUSALS_MAX];
  size_t count = lt_room_expire (c->room, &view, service->key, now_us,
                                 refusals, REFUSALS_MAX);
  lt_dispatch_t *expired[REFUSALS_MAX];
  for (size_t i = 0; i < count; i++)
    {
      expired[i] = (lt_dispatch_t *)(uintptr_t)refusals[i].id;
      end_waiting (c, expired[i]);
    }
  for (size_t i = 0; i < count; i++)
    {
      record_refusal (c, expired[i], refusals[i].verdict,
                      refusals[i].retry_after_us);
      lt_dispatch_refuse (expired[i]);
    }
}

/* Sends waiting requests of SERVICE while there is room.  */
static void
send_waiting (lt_room_controller_t *c, service_t *service)
{
  while (service->waiting > 0)
    {
      lt_room_answer_t answer;
      int64_t now_us = lt_node_now_us (c->base.node);
      lt_room_view_t view = make_view (c, service, now_us);
      uint64_t id
          = lt_room_next (c->room, service->key, &view, now_us, &answer);
      lt_dispatch_t *dispatch = (lt_dispatch_t *)(uintptr_t)id;
      if (dispatch == NULL)
        return;
      int error = lt_dispatch_try (dispatch, &answer.limits);
      if (error == -LT_EFULL)
        return;
      end_waiting (c, dispatch);
      if (error != 0)
        {
          lt_dispatch_refuse (dispatch);
          continue;
        }
      record_sent (c, dispatch, answer.owed, now_us);
      count_event (c, answer.owed ? ROOM_EVENT_OWED : ROOM_EVENT_WAITED,
                   dispatch->room_request.level);
      lt_histogram_add (c->wait_time, now_us - dispatch->waiting_since_us);
    }
}

static void
on_pump (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_room_controller_t *c = watcher->data;
  service_t *service;
  service_t *next;
  HASH_ITER (hh, c->services, service, next)
  {
    if (service->waiting == 0)
      continue;
    expire (c, service);
    send_waiting (c, service);
  }
  wake (c, RETRY_INTERVAL_S);
}

static void
set_levels (lt_room_controller_t *c, str_t name,
            const lt_room_levels_t *levels)
{
  uint64_t key = lt_hash64 (name);
  service_t *service = find_service (c, key);
  if (service == NULL && levels->count < 2)
    return;
  if (service == NULL)
    {
      service = lt_alloc (sizeof (*service));
      service->key = key;
      service->report_id = lt_room_report_id (name);
      lt_buf_append_str (&service->name, name);
      HASH_ADD (hh, c->services, key, sizeof (service->key), service);
    }
  if (service->levels.count != levels->count)
    lt_log (LT_LOG_INFO, "room",
            "msg=\"levels of priority\" service=%.*s levels=%u before=%u",
            STR_ARG (name), (unsigned)levels->count,
            (unsigned)service->levels.count);
  service->levels = *levels;
  lt_room_set_levels (c->room, key, levels->count);
}

static void
on_config (lt_controller_t *base, const lt_snapshot_t *old,
           const lt_snapshot_t *current, int64_t now_us)
{
  (void)old;
  (void)now_us;
  lt_room_controller_t *c = (lt_room_controller_t *)base;
  lt_room_levels_t *levels
      = lt_alloc ((current->service_count + 1) * sizeof (*levels));
  lt_room_levels_collect (current, levels);
  for (uint32_t i = 0; i < current->service_count; i++)
    set_levels (c, current->services[i].name, &levels[i]);
  free (levels);
  wake (c, ENDED_DELAY_S);
}

static void
tick (lt_controller_t *base, int64_t now_us)
{
  lt_room_controller_t *c = (lt_room_controller_t *)base;
  lt_node_t *node = base->node;
  if (now_us - c->reported_us >= REPORT_INTERVAL_US)
    {
      c->reported_us = now_us;
      report_loads (c, now_us);
    }
  if (node->directory != NULL && node->directory->others_near != NULL)
    c->vms = (uint32_t)node->directory->others_near (node, true, NULL, 0) + 1;
}

static json_t *
status (lt_controller_t *base)
{
  lt_room_controller_t *c = (lt_room_controller_t *)base;
  int64_t now_us = lt_node_now_us (base->node);
  json_t *list = json_array ();
  service_t *service;
  service_t *next;
  HASH_ITER (hh, c->services, service, next)
  {
    lt_room_status_t state;
    if (lt_room_look_up (c->room, service->key, now_us, &state) != 0)
      continue;
    lt_room_view_t view = make_view (c, service, now_us);
    const lt_choice_load_t *near = &view.loads[LT_DISTANCE_SAME_DOMAIN];
    json_t *levels = json_array ();
    for (uint32_t i = 0; i < state.levels; i++)
      json_array_append_new (
          levels, json_pack ("{s:i, s:f}", "waiting", (int)state.waiting[i],
                             "sent_per_s", state.sent_per_s[i]));
    str_t name = lt_buf_str (&service->name);
    json_array_append_new (
        list,
        json_pack ("{s:s%, s:i, s:i, s:i, s:f, s:f, s:f, s:f, s:o}", "service",
                   name.data, name.len, "load", (int)near->in_flight, "slots",
                   (int)near->slots, "vms", (int)view.vms, "region_load",
                   state.loads[LT_DISTANCE_SAME_REGION], "other_load",
                   state.loads[LT_DISTANCE_OTHER_REGION], "credit",
                   state.credit, "rejected_share", state.rejected_share,
                   "levels", levels));
  }
  return list;
}

static void
destroy (lt_controller_t *base)
{
  lt_room_controller_t *c = (lt_room_controller_t *)base;
  service_t *service;
  service_t *next;
  ev_timer_stop (base->node->loop, &c->pump);
  HASH_ITER (hh, c->services, service, next)
  {
    HASH_DEL (c->services, service); /* NOLINT(clang-analyzer-*) */
    lt_buf_destroy (&service->name);
    free (service);
  }
  lt_room_destroy (c->room);
  base->node->room_controller = NULL;
  free (c);
}

static const lt_controller_vtable_t vtable = { .name = "room",
                                               .tick = tick,
                                               .on_config = on_config,
                                               .status = status,
                                               .destroy = destroy };

lt_controller_t *
lt_room_controller_create (lt_node_t *node)
{
  lt_room_controller_t *c = lt_alloc (sizeof (*c));
  lt_room_options_t options = LT_ROOM_OPTIONS_DEFAULT;
  c->base.vtable = &vtable;
  c->base.node = node;
  c->room = lt_room_create (&options);
  c->vms = 1;
  ev_timer_init (&c->pump, on_pump, RETRY_INTERVAL_S, 0.0);
  c->pump.data = c;
  c->waiting_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_room_waiting",
                          "Requests that wait for room at upstreams.", "");
  c->bytes_gauge
      = lt_metrics_gauge (node->metrics, "lavendertrack_room_waiting_bytes",
                          "Bytes that these requests hold.", "");
  c->wait_time = lt_metrics_histogram (
      node->metrics, "lavendertrack_room_wait_seconds",
      "Time that requests waited for room before they were sent.", "");
  node->room_controller = c;
  return &c->base;
}
