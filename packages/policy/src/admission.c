#include "lt/policy/admission.h"

#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"
#include "lt/base/str.h"

/** Weight of a new sample in the moving average of the service time.  */
#define SERVICE_WEIGHT 0.05
/** The same for the time between two starts of a workspace.  */
#define INTERVAL_WEIGHT 0.1

typedef struct queued_request
{
  uint64_t request;
  int64_t deadline_us;
  uint64_t order; /**< Arrival number, for LT_ADMISSION_FIFO. */
} queued_request_t;

/** Queued requests of one workspace, oldest first.  */
typedef struct flow
{
  uint32_t workspace;
  double finish;      /**< Virtual finish time of its last started request. */
  double start;       /**< Virtual start time of its first queued request. */
  double interval_us; /**< Moving average of the time between its starts while
                         it has a queue; 0: unknown. */
  int64_t started_us; /**< Time of the last start if requests were still
                         queued after it, else 0. */
  queued_request_t *items;
  uint32_t count;
  uint32_t cap;
} flow_t;

struct lt_admission
{
  lt_admission_options_t options;
  uint32_t in_progress;
  uint32_t queued;
  uint64_t order;
  double virtual_time; /**< Virtual start time of the last started request. */
  double service_us;   /**< Moving average of the service time. */
  flow_t *flows; /**< Workspaces with queued requests or a finish time after
                    the virtual time; may include idle ones. */
  uint32_t flow_count;
  uint32_t flow_cap;
};

lt_admission_t *
lt_admission_create (const lt_admission_options_t *options)
{
  lt_admission_t *admission = lt_alloc (sizeof (*admission));
  admission->options = *options;
  admission->service_us = (double)options->initial_service_us;
  return admission;
}

void
lt_admission_destroy (lt_admission_t *admission)
{
  if (admission == NULL)
    return;
  for (uint32_t i = 0; i < admission->flow_count; i++)
    free (admission->flows[i].items);
  free (admission->flows);
  free (admission);
}

void
lt_admission_set_slots (lt_admission_t *admission, uint32_t slots)
{
  admission->options.slots = slots;
}

static flow_t *
find_flow (const lt_admission_t *admission, uint32_t workspace)
{
  for (uint32_t i = 0; i < admission->flow_count; i++)
    if (admission->flows[i].workspace == workspace)
      return &admission->flows[i];
  return NULL;
}

/* Removes workspaces whose state no longer affects the order: those without
   queued requests whose finish time has passed in virtual time.  */
static void
remove_idle_flows (lt_admission_t *admission)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < admission->flow_count; i++)
    {
      const flow_t *flow = &admission->flows[i];
      if (flow->count > 0 || flow->finish > admission->virtual_time)
        admission->flows[kept++] = *flow;
    }
  admission->flow_count = kept;
}

static flow_t *
get_flow (lt_admission_t *admission, uint32_t workspace)
{
  flow_t *flow = find_flow (admission, workspace);
  if (flow != NULL)
    return flow;
  if (admission->flow_count == admission->flow_cap)
    remove_idle_flows (admission);
  if (admission->flow_count == admission->flow_cap)
    {
      admission->flow_cap
          = admission->flow_cap == 0 ? 16 : 2 * admission->flow_cap;
      admission->flows = lt_realloc (
          admission->flows, admission->flow_cap * sizeof (*admission->flows));
    }
  flow = &admission->flows[admission->flow_count++];
  *flow
      = (flow_t){ .workspace = workspace, .finish = admission->virtual_time };
  return flow;
}

static double
max_double (double a, double b)
{
  return a > b ? a : b;
}

/* Accounts for a request of FLOW that starts at virtual time START.  */
static void
account_start (lt_admission_t *admission, flow_t *flow, double start)
{
  admission->virtual_time = start;
  flow->finish = start + 1;
  admission->in_progress++;
}

static void
remove_request (lt_admission_t *admission, flow_t *flow, uint32_t at)
{
  flow->count--;
  memmove (&flow->items[at], &flow->items[at + 1],
           (flow->count - at) * sizeof (*flow->items));
  admission->queued--;
  if (flow->count > 0)
    return;
  free (flow->items);
  flow->items = NULL;
  flow->cap = 0;
}

/* Returns how many queued requests would start before a new one of WORKSPACE:
   those with an earlier virtual start time.  */
static double
requests_ahead (const lt_admission_t *admission, uint32_t workspace)
{
  if (admission->options.order == LT_ADMISSION_FIFO)
    return admission->queued;
  const flow_t *own = find_flow (admission, workspace);
  double start = admission->virtual_time;
  if (own != NULL && own->count > 0)
    start = own->start + own->count;
  else if (own != NULL)
    start = max_double (start, own->finish);
  double ahead = 0;
  for (uint32_t i = 0; i < admission->flow_count; i++)
    {
      const flow_t *flow = &admission->flows[i];
      if (flow->count == 0)
        continue;
      double earlier = start - flow->start + 1;
      if (flow == own || earlier > flow->count)
        earlier = flow->count;
      ahead += max_double (earlier, 0);
    }
  return ahead;
}

int64_t
lt_admission_expected_wait_us (const lt_admission_t *admission,
                               uint32_t workspace)
{
  if (admission->in_progress < admission->options.slots
      && admission->queued == 0)
    return 0;
  uint32_t slots = admission->options.slots;
  double ahead = requests_ahead (admission, workspace) + 1;
  double wait_us = ahead * admission->service_us / (slots > 0 ? slots : 1);
  /* Requests of other workspaces that arrive later may still start before this
     one.  The rate at which this workspace was served accounts for them.  */
  const flow_t *own = find_flow (admission, workspace);
  if (own != NULL && own->count > 0)
    wait_us = max_double (wait_us, (own->count + 1) * own->interval_us);
  return (int64_t)wait_us;
}

static void
enqueue (lt_admission_t *admission, flow_t *flow,
         const queued_request_t *request)
{
  if (flow->count == flow->cap)
    {
      flow->cap = flow->cap == 0 ? 8 : 2 * flow->cap;
      flow->items
          = lt_realloc (flow->items, flow->cap * sizeof (*flow->items));
    }
  if (flow->count == 0)
    flow->start = max_double (admission->virtual_time, flow->finish);
  flow->items[flow->count++] = *request;
  admission->queued++;
}

lt_admission_verdict_t
lt_admission_offer (lt_admission_t *admission, uint64_t request,
                    uint32_t workspace, int64_t now_us, int64_t deadline_us)
{
  const lt_admission_options_t *options = &admission->options;
  if (admission->queued == 0 && admission->in_progress < options->slots)
    {
      flow_t *flow = get_flow (admission, workspace);
      account_start (admission, flow,
                     max_double (admission->virtual_time, flow->finish));
      return LT_ADMISSION_ADMIT;
    }
  const flow_t *own = find_flow (admission, workspace);
  if (admission->queued >= options->queue_limit
      || (own != NULL && own->count >= options->workspace_limit))
    return LT_ADMISSION_QUEUE_FULL;
  int64_t left_us = deadline_us - now_us;
  int64_t wait_us = lt_admission_expected_wait_us (admission, workspace);
  if (left_us <= 0
      || (options->refuse_early
          && wait_us + (int64_t)admission->service_us > left_us))
    return LT_ADMISSION_TOO_LATE;
  queued_request_t queued = { .request = request,
                              .deadline_us = deadline_us,
                              .order = admission->order++ };
  enqueue (admission, get_flow (admission, workspace), &queued);
  return LT_ADMISSION_QUEUED;
}

static bool
starts_before (const lt_admission_t *admission, const flow_t *a,
               const flow_t *b)
{
  if (admission->options.order == LT_ADMISSION_FAIR && a->start != b->start)
    return a->start < b->start;
  return a->items[0].order < b->items[0].order;
}

/* Updates the average time between starts of FLOW while it has a queue.  */
static void
update_interval (flow_t *flow, int64_t now_us)
{
  if (flow->started_us > 0)
    {
      double interval_us = (double)(now_us - flow->started_us);
      double weight = flow->interval_us > 0 ? INTERVAL_WEIGHT : 1;
      flow->interval_us += weight * (interval_us - flow->interval_us);
    }
  flow->started_us = flow->count > 0 ? now_us : 0;
}

/* Returns the flow whose first request starts next, or NULL if none has queued
   requests.  */
static flow_t *
next_flow (lt_admission_t *admission)
{
  flow_t *first = NULL;
  for (uint32_t i = 0; i < admission->flow_count; i++)
    {
      flow_t *flow = &admission->flows[i];
      if (flow->count > 0
          && (first == NULL || starts_before (admission, flow, first)))
        first = flow;
    }
  return first;
}

size_t
lt_admission_start_queued (lt_admission_t *admission, int64_t now_us,
                           uint64_t *started, size_t cap)
{
  size_t count = 0;
  while (count < cap && admission->in_progress < admission->options.slots)
    {
      flow_t *flow = next_flow (admission);
      if (flow == NULL)
        break;
      started[count++] = flow->items[0].request;
      remove_request (admission, flow, 0);
      account_start (admission, flow, flow->start);
      flow->start = flow->finish;
      update_interval (flow, now_us);
    }
  return count;
}

size_t
lt_admission_release (lt_admission_t *admission, int64_t service_us,
                      int64_t now_us, uint64_t *started, size_t cap)
{
  if (admission->in_progress > 0)
    admission->in_progress--;
  if (service_us >= 0)
    admission->service_us
        += SERVICE_WEIGHT * ((double)service_us - admission->service_us);
  return lt_admission_start_queued (admission, now_us, started, cap);
}

size_t
lt_admission_expire (lt_admission_t *admission, int64_t now_us,
                     uint64_t *expired, size_t cap)
{
  size_t count = 0;
  int64_t needed_us
      = admission->options.refuse_early ? (int64_t)admission->service_us : 0;
  for (uint32_t i = 0; i < admission->flow_count; i++)
    {
      flow_t *flow = &admission->flows[i];
      for (uint32_t at = flow->count; at > 0 && count < cap; at--)
        {
          if (flow->items[at - 1].deadline_us > now_us + needed_us)
            continue;
          expired[count++] = flow->items[at - 1].request;
          remove_request (admission, flow, at - 1);
        }
    }
  return count;
}

int
lt_admission_cancel (lt_admission_t *admission, uint64_t request)
{
  for (uint32_t i = 0; i < admission->flow_count; i++)
    {
      flow_t *flow = &admission->flows[i];
      for (uint32_t at = 0; at < flow->count; at++)
        {
          if (flow->items[at].request != request)
            continue;
          remove_request (admission, flow, at);
          return 0;
        }
    }
  return -LT_ENOTFOUND;
}

lt_admission_status_t
lt_admission_status (const lt_admission_t *admission)
{
  return (lt_admission_status_t){ .in_progress = admission->in_progress,
                                  .queued = admission->queued,
                                  .slots = admission->options.slots,
                                  .service_us
                                  = (int64_t)admission->service_us };
}
