#include "node_memory.h"

#include <malloc.h>
#include <unistd.h>

#include "lt/node/node.h"
#include "lt/policy/memory_budget.h"

enum
{
  /* Of the machine's memory, without a limit in the settings.  */
  DEFAULT_SHARE = 2,
  /* The least that is left to the process itself, which is the target for the
     control of the fleet, and what it has besides its heap.  */
  OWN_MIN_BYTES = 32 * 1024 * 1024,
  OWN_BESIDES_HEAP_BYTES = 8 * 1024 * 1024,
  /* Part of the limit left for unused memory of the allocator.  */
  ALLOCATOR_SHARE = 8,
  /* The budget is never below this part of the limit.  */
  MIN_SHARE = 4,
  /* Part of the budget that only small bodies may use.  */
  RESERVED_SHARE = 8,
  /* What the process needs is measured while callers hold less than this part
     of the budget.  */
  QUIET_SHARE = 16,
  /* A response of this size is charged in any case.  */
  SMALL_RESPONSE_BYTES = 64 * 1024
};

static const int64_t MIB = 1024 * 1024;

int64_t
lt_node_memory_budget_bytes (const lt_settings_t *settings, int64_t own_bytes)
{
  int64_t limit_bytes = settings->memory_limit_mb * MIB;
  if (limit_bytes == 0)
    limit_bytes = (int64_t)sysconf (_SC_PHYS_PAGES)
                  * (int64_t)sysconf (_SC_PAGESIZE) / DEFAULT_SHARE;
  if (own_bytes < OWN_MIN_BYTES)
    own_bytes = OWN_MIN_BYTES;
  int64_t budget_bytes
      = limit_bytes - own_bytes - limit_bytes / ALLOCATOR_SHARE;
  int64_t least_bytes = limit_bytes / MIN_SHARE;
  return budget_bytes > least_bytes ? budget_bytes : least_bytes;
}

void
lt_node_memory_create (lt_node_t *node)
{
  lt_memory_budget_options_t options = LT_MEMORY_BUDGET_OPTIONS_DEFAULT;
  options.total_bytes = lt_node_memory_budget_bytes (node->settings, 0);
  options.reserved_bytes = options.total_bytes / RESERVED_SHARE;
  node->memory = lt_memory_budget_create (&options);
  node->memory_used = lt_metrics_gauge (
      node->metrics, "lavendertrack_memory_held_bytes",
      "Bytes held for callers: connections, bodies and responses.", "");
  node->memory_total
      = lt_metrics_gauge (node->metrics, "lavendertrack_memory_budget_bytes",
                          "Bytes that may be held for callers.", "");
  node->memory_total->value = (double)options.total_bytes;
  node->body_pauses = lt_metrics_counter (
      node->metrics, "lavendertrack_memory_total",
      "Events of the memory budget.", "event=\"body-paused\"");
  node->readers_dropped = lt_metrics_counter (
      node->metrics, "lavendertrack_memory_total",
      "Events of the memory budget.", "event=\"reader-dropped\"");
  node->connections_closed = lt_metrics_counter (
      node->metrics, "lavendertrack_memory_total",
      "Events of the memory budget.", "event=\"connection-closed\"");
}

void
lt_node_memory_update (lt_node_t *node)
{
  int64_t total_bytes = lt_memory_budget_total_bytes (node->memory);
  if (lt_memory_budget_used_bytes (node->memory) > total_bytes / QUIET_SHARE)
    return;
  struct mallinfo2 heap = mallinfo2 ();
  total_bytes = lt_node_memory_budget_bytes (
      node->settings,
      (int64_t)(heap.uordblks + heap.hblkhd) + OWN_BESIDES_HEAP_BYTES);
  lt_memory_budget_resize (node->memory, total_bytes,
                           total_bytes / RESERVED_SHARE);
  node->memory_total->value = (double)total_bytes;
}

/* Charges the budget for a response that holds BYTES.  */
static bool
charge_response (lt_request_t *request, size_t bytes)
{
  int64_t more = (int64_t)bytes - request->response_charged_bytes;
  if (more <= 0)
    return true;
  if (bytes <= SMALL_RESPONSE_BYTES)
    lt_memory_budget_charge (request->node->memory, more);
  else if (!lt_memory_budget_take (request->node->memory, more))
    return false;
  request->response_charged_bytes += more;
  return true;
}

bool
lt_node_memory_append_response (lt_request_t *request, str_t data,
                                size_t limit)
{
  lt_response_t *response = &request->response;
  size_t held = response->body.len + data.len;
  bool room = held <= limit && charge_response (request, held);
  if (!room && response->body.len > 0)
    return false;
  if (!response->header_ready && response->body.cap == 0
      && response->length > 0 && response->length <= (int64_t)limit)
    lt_buf_reserve (&response->body, (size_t)response->length);
  lt_buf_append_str (&response->body, data);
  return true;
}

void
lt_node_memory_shrink_response (lt_request_t *request, size_t bytes)
{
  int64_t less = request->response_charged_bytes - (int64_t)bytes;
  if (less <= 0)
    return;
  lt_buf_shrink (&request->response.body, bytes);
  lt_memory_budget_charge (request->node->memory, -less);
  request->response_charged_bytes -= less;
}

void
lt_node_memory_release_response (lt_request_t *request)
{
  if (request->response_charged_bytes == 0)
    return;
  lt_memory_budget_charge (request->node->memory,
                           -request->response_charged_bytes);
  request->response_charged_bytes = 0;
}
