#include "dispatch_internal.h"
#include "lt/base/log.h"
#include "pools.h"

enum
{
  STATUS_OK_FIRST = 200,
  STATUS_OK_LAST = 299,
  STATUS_MISDIRECTED = 421,
  /* A longer warm-up is ignored: it would keep requests away.  */
  WARM_UP_MAX_MS = 3600 * 1000,
  MILLI = 1000
};

/* Returns whether the response names this request, or names none.  */
static bool
is_of_request (const attempt_t *attempt, const lt_header_list_t *headers)
{
  const lt_request_t *request = attempt->dispatch->request;
  str_t name = request->node->dialect->request_id;
  size_t count = lt_header_list_count (headers, name);
  return count == 0
         || (count == 1
             && str_equal (lt_header_list_get (headers, name),
                           str_from (request->request_id)));
}

/* Returns whether the response is not the upstream's response to this request.
   A success must carry the request id and the upstream's seal.  A failure
   without a request id is accepted, because it cannot be taken for a success.
   */
static bool
is_wrong_response (const attempt_t *attempt, const lt_header_list_t *headers)
{
  const lt_dialect_t *dialect = attempt->dispatch->request->node->dialect;
  bool success = attempt->status >= STATUS_OK_FIRST
                 && attempt->status <= STATUS_OK_LAST;
  if (!is_of_request (attempt, headers))
    return true;
  if (!success)
    return false;
  return lt_header_list_count (headers, dialect->request_id) != 1
         || lt_header_list_count (headers, dialect->seal) != 1
         || lt_header_list_count (headers, STR_LIT ("Content-Encoding")) > 0;
}

void
lt_dispatch_check_response (attempt_t *attempt,
                            const lt_header_list_t *headers)
{
  const lt_dialect_t *dialect = attempt->dispatch->request->node->dialect;
  if (!dialect->response_echoes_id)
    return;
  bool says_not_run
      = (dialect->misdirected_is_not_run
         && attempt->status == STATUS_MISDIRECTED)
        || (attempt->status >= 400
            && lt_header_list_count (headers, dialect->not_run) > 0);
  attempt->not_run = says_not_run && is_of_request (attempt, headers);
  attempt->wrong_response
      = !attempt->not_run && is_wrong_response (attempt, headers);
}

int64_t
lt_dispatch_read_rate (const attempt_t *attempt,
                       const lt_header_list_t *headers)
{
  const lt_request_t *request = attempt->dispatch->request;
  const lt_dialect_t *dialect = request->node->dialect;
  const lt_snapshot_t *snapshot = attempt->config->snapshot;
  int64_t rate_milli_per_s = 0;
  if (attempt->wrong_response || attempt->status == STATUS_MISDIRECTED)
    return -1;
  str_t text = dialect->rate_limit.len == 0
                   ? str_make (NULL, 0)
                   : lt_header_list_get (headers, dialect->rate_limit);
  if (text.data == NULL)
    return 0;
  if (str_to_milli (str_trim (text), &rate_milli_per_s) != 0)
    {
      lt_log (LT_LOG_WARN, "dispatch",
              "msg=\"unreadable rate of an upstream\" request=%s "
              "upstream=%.*s",
              request->request_id,
              STR_ARG (snapshot->upstreams[attempt->upstream].name));
      return -1;
    }
  /* A rate of 0 is a rate.  */
  return rate_milli_per_s > 0 ? rate_milli_per_s : 1;
}

int64_t
lt_dispatch_read_warm_until (const attempt_t *attempt,
                             const lt_header_list_t *headers)
{
  const lt_request_t *request = attempt->dispatch->request;
  const lt_snapshot_t *snapshot = attempt->config->snapshot;
  str_t name = request->node->dialect->warm_up_left;
  int64_t left_us = 0;
  if (name.len == 0 || attempt->wrong_response
      || attempt->status == STATUS_MISDIRECTED)
    return 0;
  str_t text = lt_header_list_get (headers, name);
  if (text.data == NULL)
    return 0;
  if (str_to_milli (str_trim (text), &left_us) != 0
      || left_us > (int64_t)WARM_UP_MAX_MS * MILLI)
    {
      lt_log (LT_LOG_WARN, "dispatch",
              "msg=\"unreadable warm-up of an upstream\" request=%s "
              "upstream=%.*s",
              request->request_id,
              STR_ARG (snapshot->upstreams[attempt->upstream].name));
      return 0;
    }
  return left_us > 0 ? attempt->header_us + left_us : 0;
}

/* Returns the upstream that sent the response, or LT_NO_INDEX if it is not
   known: the address of the attempt may have passed to another upstream.  */
static uint32_t
find_responder (const attempt_t *attempt, const lt_header_list_t *headers)
{
  const lt_dialect_t *dialect = attempt->dispatch->request->node->dialect;
  str_t name = dialect->instance.len == 0
                   ? str_make (NULL, 0)
                   : lt_header_list_get (headers, dialect->instance);
  if (name.data != NULL)
    return lt_snapshot_find_upstream (attempt->config->snapshot,
                                      str_trim (name));
  return attempt->status == STATUS_MISDIRECTED ? LT_NO_INDEX
                                               : attempt->upstream;
}

void
lt_dispatch_read_leaving (const attempt_t *attempt,
                          const lt_header_list_t *headers)
{
  const lt_request_t *request = attempt->dispatch->request;
  lt_pools_t *pools = request->node->pools;
  const lt_snapshot_t *snapshot = attempt->config->snapshot;
  str_t name = request->node->dialect->leaving;
  str_t text = name.len == 0 ? str_make (NULL, 0)
                             : lt_header_list_get (headers, name);
  if (text.data == NULL || pools->vtable->on_leaving == NULL)
    return;
  uint32_t upstream = find_responder (attempt, headers);
  if (!str_equal (str_trim (text), STR_LIT ("1")))
    lt_log (LT_LOG_WARN, "dispatch",
            "msg=\"unreadable departure of an upstream\" request=%s "
            "upstream=%.*s",
            request->request_id,
            STR_ARG (snapshot->upstreams[attempt->upstream].name));
  else if (upstream != LT_NO_INDEX)
    pools->vtable->on_leaving (pools, snapshot, upstream, attempt->status,
                               request->request_id);
}

bool
lt_dispatch_status_implies_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static const char *
outcome_name (lt_attempt_outcome_t outcome)
{
  static const char *const names[]
      = { "ok",        "failed",      "reset",     "refused",
          "shed",      "timeout",     "truncated", "mixed-up",
          "malformed", "misdirected", "canceled" };
  return names[outcome];
}

void
lt_dispatch_log_attempt (const attempt_t *attempt,
                         lt_attempt_outcome_t outcome)
{
  if (outcome == LT_ATTEMPT_OK)
    return;
  const lt_request_t *request = attempt->dispatch->request;
  const lt_snapshot_t *snapshot = attempt->config->snapshot;
  const lt_upstream_t *upstream = &snapshot->upstreams[attempt->upstream];
  int64_t now_us = lt_node_now_us (request->node);
  char fingerprint[17];
  lt_digest_short_hex (&request->fingerprint, fingerprint);
  lt_log (LT_LOG_INFO, "dispatch",
          "msg=\"attempt failed\" request=%s attempt=%u upstream=%.*s "
          "address=%.*s outcome=%s status=%d sent=%d ms=%lld config=%lld "
          "fingerprint=%s fault=\"%s\"",
          request->request_id,
          (unsigned)(attempt - attempt->dispatch->attempts) + 1,
          STR_ARG (upstream->name), STR_ARG (upstream->address),
          outcome_name (outcome), attempt->status, attempt->byte_sent,
          (long long)((now_us - attempt->started_us) / LT_US_PER_MS),
          (long long)snapshot->source_version, fingerprint,
          attempt->fault == NULL ? "" : attempt->fault);
}
