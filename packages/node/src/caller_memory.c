/* The caller server's part of the memory budget: carries out its decisions on
   request bodies and slow readers, and bounds connections.  */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <utlist.h>

#include "caller_internal.h"
#include "lt/base/log.h"
#include "lt/node/node.h"
#include "node_memory.h"
#include "upstream_client.h"

enum
{
  /* First step of a body of unknown length, and its second.  */
  FIRST_STEP_BYTES = 16 * 1024,
  SECOND_STEP_BYTES = 64 * 1024,
  STEP_BYTES = 1024 * 1024,
  /* Connections may take this part of the budget.  */
  CONNECTION_SHARE = 2,
  CONNECTIONS_MIN = 64,
  /* Descriptors of this process besides those of requests.  Of the others a
     quarter is left for connections to upstreams, as only requests that are
     served have one.  */
  OWN_DESCRIPTORS = 128,
  /* What the kernel may hold of a body that is paused in its middle, when the
     socket's buffer may have grown to megabytes; it doubles the number.  Less
     than a few segments (64 KiB on loopback) delays the rest by timers.  */
  PAUSED_RECEIVE_BYTES = 128 * 1024,
  STOP_RETRY_AFTER_MS = 10,
  /* Between two measurements of what the process itself needs.  */
  UPDATE_TICKS = 20
};

/* Used while the configuration in force has none.  */
static const int64_t HEADER_TIMEOUT_US = 3 * LT_US_PER_S;
static const int64_t IDLE_TIMEOUT_US = 15 * LT_US_PER_S;
/* A body waits this long at most, or until the deadline in its header.  */
static const int64_t WAIT_MAX_US = 10 * LT_US_PER_S;
/* In a planned stop, a client without progress for this time is dropped.  */
static const int64_t STOP_STALL_US = 1500 * LT_US_PER_MS;
/* In a planned stop, incomplete bodies are refused this long before the
   process is killed.  */
static const int64_t STOP_MARGIN_US = 1 * LT_US_PER_S;

static lt_memory_budget_t *
budget_of (const exchange_t *exchange)
{
  return exchange->server->node->memory;
}

static exchange_t *
exchange_of (lt_memory_entry_t *entry)
{
  return (exchange_t *)((char *)entry - offsetof (exchange_t, memory));
}

/* Returns the length of the body that the header announces, 0 without a body,
   or -1 for chunks.  */
static int64_t
announced_bytes (const lt_request_t *request)
{
  int64_t length = 0;
  str_t text
      = lt_header_list_get (&request->headers, STR_LIT ("Content-Length"));
  if (text.data != NULL)
    return str_to_i64 (text, &length) == 0 && length > 0 ? length : 0;
  text = lt_header_list_get (&request->headers, STR_LIT ("Transfer-Encoding"));
  return text.data != NULL ? -1 : 0;
}

static int64_t
wait_until_us (const lt_request_t *request, int64_t now_us)
{
  int64_t until_us = now_us + WAIT_MAX_US;
  int64_t deadline_ms = 0;
  str_t text = lt_header_list_get (&request->headers,
                                   request->node->dialect->deadline);
  if (text.data == NULL || str_to_i64 (str_trim (text), &deadline_ms) != 0
      || deadline_ms <= 0 || deadline_ms > WAIT_MAX_US / LT_US_PER_MS)
    return until_us;
  int64_t deadline_us = request->started_us + deadline_ms * LT_US_PER_MS;
  return deadline_us < until_us ? deadline_us : until_us;
}

static void
wait_for_memory (exchange_t *exchange, int64_t bytes, int64_t now_us)
{
  lt_caller_server_t *server = exchange->server;
  int size = PAUSED_RECEIVE_BYTES;
  lt_memory_budget_wait (server->node->memory, &exchange->memory, bytes,
                         wait_until_us (exchange->request, now_us), now_us);
  server->node->body_pauses->value++;
  if (exchange->caller != NULL && exchange->memory.received_bytes > 0)
    setsockopt (exchange->caller->fd, SOL_SOCKET, SO_RCVBUF, &size,
                sizeof (size));
  lt_exchange_suspend (exchange);
  if (!ev_is_active (&server->grant))
    ev_prepare_start (server->node->loop, &server->grant);
  lt_log (LT_LOG_DEBUG, "caller-server",
          "msg=\"body waits for memory\" received=%lld wanted=%lld",
          (long long)exchange->memory.received_bytes, (long long)bytes);
}

/* Starts the chain so that it refuses the request, whose body has not been
   read.  */
static enum MHD_Result
refuse_at_header (exchange_t *exchange, lt_refusal_t refusal)
{
  lt_request_t *request = exchange->request;
  request->body_refused = true;
  request->body_refusal = refusal;
  request->body_retry_after_ms = 0;
  exchange->chain_started = true;
  lt_request_start (request);
  return lt_exchange_respond (exchange);
}

enum MHD_Result
lt_exchange_admit (exchange_t *exchange)
{
  int64_t bytes = announced_bytes (exchange->request);
  if (bytes == 0)
    return MHD_YES;
  if (bytes < 0)
    bytes = FIRST_STEP_BYTES;
  int64_t now_us = exchange->caller == NULL ? exchange->request->started_us
                                            : exchange->caller->input_us;
  switch (lt_memory_budget_reserve (budget_of (exchange), &exchange->memory,
                                    bytes, now_us))
    {
    case LT_MEMORY_GRANTED:
      return MHD_YES;
    case LT_MEMORY_NEVER:
      return refuse_at_header (exchange, LT_REFUSE_BODY_OVER_MEMORY);
    case LT_MEMORY_FULL:
      break;
    }
  exchange->at_header = true;
  wait_for_memory (exchange, bytes, lt_node_now_us (exchange->server->node));
  return MHD_YES;
}

/* Returns the next size of a body of unknown length that must hold BYTES.  */
static int64_t
next_step (const lt_request_t *request, int64_t bytes)
{
  int64_t step = STEP_BYTES;
  if (bytes <= FIRST_STEP_BYTES)
    step = FIRST_STEP_BYTES;
  else if (bytes <= SECOND_STEP_BYTES)
    step = SECOND_STEP_BYTES;
  int64_t size = (bytes + step - 1) / step * step;
  return size < request->body_limit_bytes ? size : request->body_limit_bytes;
}

enum MHD_Result
lt_exchange_receive (exchange_t *exchange, const char *data, size_t *len)
{
  lt_request_t *request = exchange->request;
  lt_node_t *node = exchange->server->node;
  int64_t need = (int64_t)(request->body.len + *len);
  int64_t now_us = exchange->caller == NULL ? lt_node_now_us (node)
                                            : exchange->caller->input_us;
  if (need > request->body_limit_bytes)
    {
      request->body_too_large = true;
      lt_exchange_refuse_upload (exchange, LT_REFUSE_BODY_TOO_LARGE, 0);
      return MHD_NO;
    }
  if (need > exchange->memory.held_bytes)
    {
      int64_t step = next_step (request, need);
      lt_memory_answer_t answer = lt_memory_budget_reserve (
          node->memory, &exchange->memory, step, now_us);
      if (answer == LT_MEMORY_NEVER)
        {
          lt_exchange_refuse_upload (exchange, LT_REFUSE_BODY_OVER_MEMORY, 0);
          return MHD_NO;
        }
      if (answer == LT_MEMORY_FULL)
        {
          wait_for_memory (exchange, step, lt_node_now_us (node));
          return MHD_YES;
        }
    }
  lt_buf_reserve (&request->body, (size_t)exchange->memory.held_bytes);
  lt_buf_append (&request->body, data, *len);
  lt_memory_budget_progress (node->memory, &exchange->memory, (int64_t)*len,
                             now_us);
  *len = 0;
  return MHD_YES;
}

/* The body is no longer needed when the response is complete, as no attempt
   follows.  A client that reads slowly would hold it otherwise.  */
void
lt_exchange_deliver (exchange_t *exchange)
{
  lt_request_t *request = exchange->request;
  lt_node_t *node = exchange->server->node;
  if (request->response.complete && request->ended)
    {
      lt_upstream_client_free_body (node->upstreams, &request->body);
      lt_memory_budget_shrink (node->memory, &exchange->memory, 0);
    }
  lt_memory_budget_deliver (node->memory, &exchange->memory,
                            request->response_charged_bytes,
                            lt_node_now_us (node));
}

/* Reports what the client has read of its response since the last look.  A
   client that has read all there is makes progress.  */
static void
look_at_reader (void *user, lt_memory_entry_t *entry)
{
  lt_caller_server_t *server = user;
  exchange_t *exchange = exchange_of (entry);
  struct tcp_info info = { 0 };
  socklen_t len = sizeof (info);
  if (exchange->caller == NULL
      || getsockopt (exchange->caller->fd, IPPROTO_TCP, TCP_INFO, &info, &len)
             != 0)
    return;
  int64_t bytes
      = (int64_t)(info.tcpi_bytes_acked - exchange->caller->acked_bytes);
  bool all_read = info.tcpi_notsent_bytes == 0 && info.tcpi_unacked == 0
                  && exchange->suspended;
  exchange->caller->acked_bytes = info.tcpi_bytes_acked;
  lt_memory_budget_progress (server->node->memory, entry,
                             all_read ? INT32_MAX : bytes,
                             lt_node_now_us (server->node));
}

/* Closes the connection of a client that does not read its response.  The
   reset discards what the kernel holds of it.  */
static void
drop_reader (exchange_t *exchange)
{
  struct linger reset = { 1, 0 };
  lt_request_t *request = exchange->request;
  lt_node_t *node = exchange->server->node;
  node->readers_dropped->value++;
  lt_log (LT_LOG_INFO, "caller-server",
          "msg=\"slow reader dropped\" request=%s held=%lld used=%lld",
          request == NULL ? "" : request->request_id,
          (long long)(exchange->memory.held_bytes
                      + exchange->memory.response_bytes),
          (long long)lt_memory_budget_used_bytes (node->memory));
  lt_memory_budget_complete (node->memory, &exchange->memory);
  if (exchange->caller != NULL)
    {
      setsockopt (exchange->caller->fd, SOL_SOCKET, SO_LINGER, &reset,
                  sizeof (reset));
      shutdown (exchange->caller->fd, SHUT_RDWR);
      exchange->caller->reset = true;
    }
  lt_exchange_resume (exchange);
}

static void
drop (exchange_t *exchange, lt_refusal_t refusal, int64_t retry_after_ms)
{
  if (exchange->memory.state == LT_MEMORY_DELIVERING)
    {
      drop_reader (exchange);
      return;
    }
  bool suspended = exchange->suspended;
  lt_exchange_refuse_upload (exchange, refusal, retry_after_ms);
  /* libmicrohttpd waits for bytes of the body, and now sees an end.  */
  if (!suspended && exchange->caller != NULL)
    shutdown (exchange->caller->fd, SHUT_RD);
}

static void
grant_waiting (lt_caller_server_t *server, int64_t now_us)
{
  lt_memory_budget_t *budget = server->node->memory;
  lt_memory_entry_t *entry;
  while ((entry = lt_memory_budget_next_grant (budget, now_us)) != NULL)
    lt_exchange_resume (exchange_of (entry));
  if (lt_memory_budget_waiting (budget) == 0)
    ev_prepare_stop (server->node->loop, &server->grant);
}

static void
on_grant (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  lt_caller_server_t *server = watcher->data;
  grant_waiting (server, lt_node_now_us (server->node));
}

static void
drop_for_waiting (lt_caller_server_t *server, int64_t now_us)
{
  lt_memory_budget_t *budget = server->node->memory;
  lt_memory_cause_t cause;
  lt_memory_entry_t *entry;
  lt_memory_budget_each_delivering (budget, look_at_reader, server);
  while ((entry = lt_memory_budget_next_drop (budget, now_us, &cause)) != NULL)
    {
      int64_t wanted = entry->wanted_bytes;
      if (cause == LT_MEMORY_TIMED_OUT)
        drop (exchange_of (entry), LT_REFUSE_MEMORY,
              lt_memory_budget_retry_after_ms (budget, wanted, now_us));
      else
        drop (exchange_of (entry), LT_REFUSE_BODY_STALLED, 0);
      grant_waiting (server, now_us);
    }
}

/* A planned stop ends without clients that stall: bodies that wait, and
   clients without progress.  */
static void
drop_for_stop (lt_caller_server_t *server, int64_t now_us)
{
  lt_node_t *node = server->node;
  lt_memory_budget_t *budget = node->memory;
  lt_memory_entry_t *entry;
  int64_t before_us = now_us - STOP_STALL_US;
  while ((entry = lt_memory_budget_first_waiting (budget)) != NULL)
    drop (exchange_of (entry), LT_REFUSE_STOPPING, STOP_RETRY_AFTER_MS);
  if (now_us - server->quiesced_us < STOP_STALL_US)
    return;
  lt_memory_budget_each_delivering (budget, look_at_reader, server);
  while ((entry = lt_memory_budget_stalled_since (budget, before_us)) != NULL)
    drop (exchange_of (entry), LT_REFUSE_STOPPING, STOP_RETRY_AFTER_MS);
  if (node->drain_ends_us == 0
      || now_us < node->drain_ends_us - STOP_MARGIN_US)
    return;
  exchange_t *exchange;
  exchange_t *next;
  DL_FOREACH_SAFE (server->exchanges, exchange, next)
  {
    if (exchange->memory.state == LT_MEMORY_RECEIVING)
      drop (exchange, LT_REFUSE_STOPPING, STOP_RETRY_AFTER_MS);
  }
}

static bool
header_is_incomplete (const caller_connection_t *caller)
{
  return caller->input_us == 0
         || (caller->exchange != NULL && caller->exchange->request == NULL);
}

static void
close_connection (caller_connection_t *caller)
{
  caller->read_closed = true;
  shutdown (caller->fd, header_is_incomplete (caller) ? SHUT_RDWR : SHUT_RD);
}

/* Closes connections whose header takes too long and, between two requests,
   those that are idle for too long; with FORCE also the one that is idle for
   the longest time.  */
static void
close_unused (lt_caller_server_t *server, bool force, int64_t now_us)
{
  const lt_snapshot_ref_t *config = server->node->config;
  int64_t header_us = HEADER_TIMEOUT_US;
  int64_t idle_us = IDLE_TIMEOUT_US;
  if (config != NULL && config->snapshot->limits.header_timeout_ms > 0)
    header_us = config->snapshot->limits.header_timeout_ms * LT_US_PER_MS;
  if (config != NULL && config->snapshot->limits.idle_timeout_ms > 0)
    idle_us = config->snapshot->limits.idle_timeout_ms * LT_US_PER_MS;
  caller_connection_t *caller;
  caller_connection_t *oldest = NULL;
  int closed = 0;
  DL_FOREACH (server->connections, caller)
  {
    bool incomplete = header_is_incomplete (caller);
    if (caller->read_closed || (caller->open_exchanges > 0 && !incomplete))
      continue;
    int64_t since_us = caller->input_us == 0 ? caller->since_us
                       : caller->exchange != NULL
                           ? caller->exchange->received_us
                           : caller->input_us;
    if (now_us - since_us >= (incomplete ? header_us : idle_us)
        && (incomplete || !lt_socket_has_input (caller->fd)))
      {
        close_connection (caller);
        closed++;
      }
    else if (!incomplete && (oldest == NULL || since_us < oldest->input_us))
      oldest = caller;
  }
  if (force && closed == 0 && oldest != NULL
      && !lt_socket_has_input (oldest->fd))
    {
      close_connection (oldest);
      closed++;
    }
  server->node->connections_closed->value += (uint64_t)closed;
}

void
lt_caller_memory_tick (lt_caller_server_t *server, int64_t now_us)
{
  lt_node_t *node = server->node;
  node->memory_used->value
      = (double)lt_memory_budget_used_bytes (node->memory);
  if (++server->ticks >= UPDATE_TICKS)
    {
      server->ticks = 0;
      lt_node_memory_update (node);
    }
  if (server->quiesced)
    drop_for_stop (server, now_us);
  if (lt_memory_budget_waiting (node->memory) > 0)
    drop_for_waiting (server, now_us);
  if (server->connection_count >= server->connections_max / 4 * 3)
    close_unused (server,
                  server->connection_count >= server->connections_max * 7 / 8,
                  now_us);
}

/* Returns the number of connections that MEMORY and the limit on descriptors
   allow.  */
static int
connections_allowed (const lt_caller_server_t *server)
{
  int64_t count = server->node->settings->max_connections;
  int64_t by_memory = lt_memory_budget_total_bytes (server->node->memory)
                      / CONNECTION_SHARE / server->connection_bytes;
  struct rlimit files;
  if (count > by_memory)
    count = by_memory;
  if (getrlimit (RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY
      && files.rlim_cur > OWN_DESCRIPTORS)
    {
      int64_t by_files = ((int64_t)files.rlim_cur - OWN_DESCRIPTORS) / 4 * 3;
      if (count > by_files)
        count = by_files;
    }
  if (count < CONNECTIONS_MIN
      && server->node->settings->max_connections >= CONNECTIONS_MIN)
    count = CONNECTIONS_MIN;
  return (int)count;
}

void
lt_caller_memory_start (lt_caller_server_t *server)
{
  server->connections_max = connections_allowed (server);
  ev_prepare_init (&server->grant, on_grant);
  server->grant.data = server;
}

void
lt_caller_memory_stop (lt_caller_server_t *server)
{
  ev_prepare_stop (server->node->loop, &server->grant);
}
