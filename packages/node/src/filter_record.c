#include "filter_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/log.h"
#include "lt/node/node.h"

enum
{
  /* About 1.2 MB of the 32 MB that the process may use.  */
  RECORDS_MAX = 4096
};

typedef struct record_filter
{
  lt_filter_t base;
  uint64_t count; /* Records since the start; the ring buffer keeps the
                     last RECORDS_MAX.  */
  lt_request_record_t records[RECORDS_MAX];
} record_filter_t;

static lt_filter_result_t
filter_request (lt_filter_t *filter, lt_request_t *request)
{
  (void)filter;
  (void)request;
  return LT_FILTER_CONTINUE;
}

/* Truncates at a character boundary, so that the text stays valid UTF-8.  */
static void
copy_text (char *out, size_t size, str_t text)
{
  if (text.len > size - 1)
    text.len = size - 1;
  while (text.len > 0 && !str_is_utf8 (text))
    text.len--;
  if (text.len > 0)
    memcpy (out, text.data, text.len);
  out[text.len] = '\0';
}

/* Logs the single line that each request gets.  */
static void
log_request (const lt_request_t *request, const lt_request_record_t *record)
{
  const char *outcome = "answered";
  if (request->refused)
    outcome = "refused";
  else if (!request->response.header_ready)
    outcome = "caller-left";
  else if (request->response.failed)
    outcome = "cut";
  lt_log (LT_LOG_INFO, "request",
          "msg=\"request ended\" request=%s method=%s route=%s workspace=%s "
          "outcome=%s status=%d reason=%s ran=%s attempts=%d upstream=%s "
          "ms=%lld config=%lld",
          request->request_id, record->method, record->route,
          record->workspace, outcome, record->status,
          record->reason == NULL ? "" : record->reason, record->ran,
          request->attempts, request->upstream,
          (long long)(record->duration_us / LT_US_PER_MS),
          request->snapshot == NULL
              ? -1
              : (long long)(request->snapshot->source_version > 0
                                ? request->snapshot->source_version
                                : request->snapshot->version));
}

static void
filter_done (lt_filter_t *base, lt_request_t *request)
{
  record_filter_t *filter = (record_filter_t *)base;
  lt_node_t *node = base->node;
  const lt_snapshot_t *s = request->snapshot;
  lt_request_record_t *r = &filter->records[filter->count++ % RECORDS_MAX];
  *r = (lt_request_record_t){
    .status = request->response.status,
    .failed = request->response.failed,
    .config_version = s == NULL ? 0 : s->version,
    .ended_wall_us = lt_clock_wall_us (node->clock),
    .duration_us = lt_node_now_us (node) - request->started_us,
  };
  if (request->refused)
    r->reason = lt_refusal_get (request->refusal)->reason;
  copy_text (r->request_id, sizeof (r->request_id),
             str_from (request->request_id));
  copy_text (r->method, sizeof (r->method), str_from (request->method));
  if (request->route != NULL)
    copy_text (r->route, sizeof (r->route), request->route->name);
  if (s != NULL && request->workspace != LT_NO_INDEX)
    copy_text (r->workspace, sizeof (r->workspace),
               s->workspaces[request->workspace].name);
  copy_text (r->ran, sizeof (r->ran),
             lt_header_list_get (&request->response.headers,
                                 node->dialect->run_state));
  log_request (request, r);
}

static void
filter_destroy (lt_filter_t *filter)
{
  free (filter);
}

static const lt_filter_vtable_t vtable = { .name = "record",
                                           .request = filter_request,
                                           .done = filter_done,
                                           .destroy = filter_destroy };

lt_filter_t *
lt_filter_record_create (void)
{
  record_filter_t *filter = lt_alloc (sizeof (*filter));
  filter->base.vtable = &vtable;
  return &filter->base;
}

const lt_request_record_t *
lt_filter_record_find (const lt_node_t *node, str_t request_id)
{
  for (int i = 0; i < node->filter_count; i++)
    {
      if (node->filters[i]->vtable != &vtable)
        continue;
      const record_filter_t *filter
          = (const record_filter_t *)node->filters[i];
      uint64_t oldest
          = filter->count > RECORDS_MAX ? filter->count - RECORDS_MAX : 0;
      for (uint64_t n = filter->count; n > oldest; n--)
        {
          const lt_request_record_t *r
              = &filter->records[(n - 1) % RECORDS_MAX];
          if (str_equal (str_from (r->request_id), request_id))
            return r;
        }
    }
  return NULL;
}
