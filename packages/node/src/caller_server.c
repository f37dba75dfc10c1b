#include "caller_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "caller_internal.h"
#include "dispatch.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "request_parse.h"

enum
{
  /* Limits the size of the request header.  */
  CONNECTION_MEMORY_BYTES = 16 * 1024,
  /* The header size that a hosting platform allows, plus libmicrohttpd's
     overhead.  */
  HOSTED_CONNECTION_MEMORY_BYTES = 40 * 1024,
  IDLE_TIMEOUT_S = 75,
  RESPONSE_BLOCK_BYTES = 16 * 1024,
  /* Memory of a request besides its body and response: header lists, and
     libcurl's state of an attempt with a buffer of 16 KiB.  */
  REQUEST_BYTES = 32 * 1024
};

static void
detached_wake (void *sink, lt_request_t *request)
{
  (void)sink;
  if (request->response.complete || request->response.failed)
    lt_request_destroy (request);
  else if (request->response.header_ready)
    {
      lt_buf_clear (&request->response.body);
      lt_dispatch_body_consumed (request);
    }
}

/* Consumes the response of a request whose caller has disconnected.  */
static const lt_request_sink_t detached_sink = { detached_wake };

void
lt_exchange_release_request (exchange_t *exchange)
{
  lt_request_t *request = exchange->request;
  exchange->request = NULL;
  if (request == NULL)
    return;
  bool keep = exchange->chain_started && !request->ended && request->byte_sent
              && request->route != NULL
              && request->route->action == LT_ACTION_NEVER_REPEAT;
  if (!keep)
    {
      lt_request_destroy (request);
      return;
    }
  request->caller_disconnected = true;
  request->sink = &detached_sink;
  request->sink_data = NULL;
}

void
lt_exchange_resume (exchange_t *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  lt_hangup_watch_stop (&exchange->hangup);
  MHD_resume_connection (exchange->connection);
  lt_http_loop_wake (&exchange->server->http);
}

static void
on_left (lt_hangup_watch_t *watch)
{
  exchange_t *exchange = (exchange_t *)watch;
  exchange->caller_disconnected = true;
  lt_exchange_release_request (exchange);
  lt_exchange_resume (exchange);
}

static void
on_request_waiting (lt_hangup_watch_t *watch)
{
  exchange_t *exchange = (exchange_t *)watch;
  caller_connection_t *caller = exchange->caller;
  if (caller != NULL && caller->waiting_since_us == 0)
    caller->waiting_since_us = lt_node_now_us (exchange->server->node);
}

static const lt_hangup_vtable_t hangup_vtable
    = { .request_waiting = on_request_waiting, .left = on_left };

void
lt_exchange_suspend (exchange_t *exchange)
{
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
  if (exchange->caller != NULL)
    lt_hangup_watch_start (&exchange->hangup, exchange->server->node->loop,
                           exchange->caller->fd, &hangup_vtable);
}

static void
on_wake (void *sink, lt_request_t *request)
{
  (void)request;
  lt_exchange_resume (sink);
}

static const lt_request_sink_t caller_sink = { on_wake };

/* Passes the next bytes of a streamed response to libmicrohttpd.  */
static ssize_t
read_response_body (void *cls, uint64_t pos, char *out, size_t max)
{
  (void)pos;
  exchange_t *exchange = cls;
  if (exchange->request == NULL)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  lt_response_t *response = &exchange->request->response;
  if (response->body.len > 0)
    {
      size_t len = response->body.len < max ? response->body.len : max;
      memcpy (out, response->body.data, len);
      lt_buf_consume (&response->body, len);
      lt_dispatch_body_consumed (exchange->request);
      return (ssize_t)len;
    }
  if (response->failed)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (response->complete)
    return MHD_CONTENT_READER_END_OF_STREAM;
  lt_exchange_suspend (exchange);
  return 0;
}

static struct MHD_Response *
make_response (exchange_t *exchange)
{
  lt_response_t *response = &exchange->request->response;
  /* The request outlives the response, see on_completed.  */
  if (response->complete)
    return MHD_create_response_from_buffer (
        response->body.len, response->body.data, MHD_RESPMEM_PERSISTENT);
  uint64_t size
      = response->length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)response->length;
  return MHD_create_response_from_callback (
      size, RESPONSE_BLOCK_BYTES, read_response_body, exchange, NULL);
}

static void
add_header (struct MHD_Response *mhd_response, str_t name, str_t value)
{
  char *name_text = str_dup (name);
  char *value_text = str_dup (value);
  MHD_add_response_header (mhd_response, name_text, value_text);
  free (name_text);
  free (value_text);
}

static enum MHD_Result
queue_response (exchange_t *exchange)
{
  lt_request_t *request = exchange->request;
  lt_response_t *response = &request->response;
  exchange->responded = true;
  if (response->failed && !response->complete && response->body.len == 0)
    return MHD_NO;
  struct MHD_Response *mhd_response = make_response (exchange);
  if (mhd_response == NULL)
    return MHD_NO;
  for (size_t i = 0; i < response->headers.count; i++)
    add_header (mhd_response, response->headers.items[i].name,
                response->headers.items[i].value);
  if (request->request_id[0] != '\0')
    add_header (mhd_response, request->node->dialect->request_id,
                str_from (request->request_id));
  if (exchange->server->node->draining || request->framing_invalid)
    add_header (mhd_response, STR_LIT ("Connection"), STR_LIT ("close"));
  response->header_sent = true;
  lt_exchange_deliver (exchange);
  enum MHD_Result result = MHD_queue_response (
      exchange->connection, (unsigned int)response->status, mhd_response);
  MHD_destroy_response (mhd_response);
  return result;
}

enum MHD_Result
lt_exchange_respond (exchange_t *exchange)
{
  if (exchange->request == NULL)
    return MHD_NO;
  if (exchange->request->response.header_ready)
    return queue_response (exchange);
  lt_exchange_suspend (exchange);
  return MHD_YES;
}

static enum MHD_Result
start_request (exchange_t *exchange, const char *method, const char *version)
{
  lt_request_t *request = lt_request_create (exchange->server->node);
  exchange->request = request;
  request->sink = &caller_sink;
  request->sink_data = exchange;
  request->started_us = exchange->received_us;
  lt_request_parse_head (request, exchange->connection, str_from (method),
                         str_from (exchange->target), str_from (version));
  if (request->body_too_large || request->framing_invalid)
    {
      /* Refused before the body is read; the connection is closed
         afterwards.  */
      exchange->chain_started = true;
      lt_request_start (request);
      return lt_exchange_respond (exchange);
    }
  return lt_exchange_admit (exchange);
}

/* Returns when the input of CALLER that libmicrohttpd passes on now arrived.
   Bytes that waited on the socket while the request before was served may be
   read in the run that completes it: they count from when they were seen
   there.  Otherwise, without a read since the last call or response, that is
   the time of the read before: the bytes waited in its buffer.  */
static int64_t
note_input (lt_caller_server_t *server, caller_connection_t *caller)
{
  int64_t now_us = lt_node_now_us (server->node);
  if (caller == NULL)
    return now_us;
  if (caller->input_run == server->http.runs
      && (caller->waiting_since_us == 0 || lt_socket_has_input (caller->fd)))
    return caller->input_us;
  int64_t first_us
      = caller->waiting_since_us != 0 ? caller->waiting_since_us : now_us;
  caller->waiting_since_us = 0;
  caller->input_us = now_us;
  caller->input_run = server->http.runs;
  return first_us;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **con_cls)
{
  (void)cls;
  (void)url;
  exchange_t *exchange = *con_cls;
  exchange->connection = connection;
  if (exchange->caller_disconnected)
    return MHD_NO;
  int64_t input_us = exchange->chain_started
                         ? 0
                         : note_input (exchange->server, exchange->caller);
  if (exchange->request == NULL)
    {
      /* The head took more than one read.  */
      if (exchange->received_run != exchange->server->http.runs)
        exchange->received_us = input_us;
      return start_request (exchange, method, version);
    }
  if (*upload_data_size > 0)
    return lt_exchange_receive (exchange, upload_data, upload_data_size);
  if (exchange->at_header)
    {
      exchange->at_header = false;
      if (!exchange->chain_started)
        return MHD_YES;
    }
  if (!exchange->chain_started)
    {
      exchange->chain_started = true;
      if (exchange->memory.state != LT_MEMORY_NONE)
        lt_memory_budget_complete (exchange->server->node->memory,
                                   &exchange->memory);
      lt_request_start (exchange->request);
    }
  return exchange->responded ? MHD_YES : lt_exchange_respond (exchange);
}

static caller_connection_t *
find_caller_connection (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == NULL ? NULL : info->socket_context;
}

static void
on_connection (void *cls, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  lt_caller_server_t *server = cls;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      const union MHD_ConnectionInfo *info = MHD_get_connection_info (
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      caller_connection_t *caller = lt_alloc (sizeof (*caller));
      caller->fd = info->connect_fd;
      caller->since_us = lt_node_now_us (server->node);
      server->connection_count++;
      lt_memory_budget_charge (server->node->memory, server->connection_bytes);
      DL_APPEND (server->connections, caller);
      *socket_context = caller;
      return;
    }
  caller_connection_t *caller = *socket_context;
  if (!caller->reset)
    lt_linger_add (&server->linger, caller->fd);
  DL_DELETE (server->connections, caller);
  /* At its limit libmicrohttpd does not accept, and tries again only when it
     runs; without an event of a connection that would be never.  */
  if (server->connection_count >= server->connections_max)
    lt_http_loop_wake (&server->http);
  server->connection_count--;
  lt_memory_budget_charge (server->node->memory, -server->connection_bytes);
  free (caller);
  *socket_context = NULL;
}

/* Closes connections between two requests, as their callers can tell that the
   next one was not read.  The first request of a connection may be on its
   way.  A request that has arrived is served.  The kernel still passes on the
   bytes of one that arrives later; it is dropped (see on_target), since the
   end of input behind it would look like its caller leaving.  A request that
   arrives when both sides are closed resets the connection, so the caller must
   have received the last response before.  */
static void
close_idle (lt_caller_server_t *server)
{
  caller_connection_t *caller;
  DL_FOREACH (server->connections, caller)
  {
    if (caller->read_closed || caller->open_exchanges > 0
        || caller->input_us == 0 || lt_socket_has_input (caller->fd)
        || lt_socket_has_unread_output (caller->fd))
      continue;
    caller->read_closed = true;
    shutdown (caller->fd, SHUT_RD);
  }
}

static void *
on_target (void *cls, const char *uri, struct MHD_Connection *connection)
{
  exchange_t *exchange = lt_alloc (sizeof (*exchange));
  exchange->server = cls;
  exchange->connection = connection;
  exchange->target = str_dup (str_from (uri));
  exchange->caller = find_caller_connection (connection);
  exchange->received_us = note_input (exchange->server, exchange->caller);
  exchange->received_run = exchange->server->http.runs;
  if (exchange->caller != NULL)
    {
      exchange->caller->open_exchanges++;
      exchange->caller->exchange = exchange;
      exchange->caller_disconnected = exchange->caller->read_closed;
      if (exchange->caller_disconnected)
        lt_log (LT_LOG_INFO, "caller-server",
                "msg=\"request on a connection that is closing dropped\"");
    }
  DL_APPEND (exchange->server->exchanges, exchange);
  lt_memory_budget_charge (exchange->server->node->memory, REQUEST_BYTES);
  return exchange;
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  (void)cls;
  (void)connection;
  (void)code;
  exchange_t *exchange = *con_cls;
  *con_cls = NULL;
  if (exchange == NULL)
    return;
  lt_hangup_watch_stop (&exchange->hangup);
  lt_exchange_release_request (exchange);
  DL_DELETE (exchange->server->exchanges, exchange);
  lt_memory_budget_release (exchange->server->node->memory, &exchange->memory);
  lt_memory_budget_charge (exchange->server->node->memory, -REQUEST_BYTES);
  if (exchange->caller != NULL)
    {
      exchange->caller->exchange = NULL;
      exchange->caller->open_exchanges--;
      /* What follows in this run was read before the response.  */
      exchange->caller->input_run = exchange->server->http.runs;
    }
  if (exchange->target != NULL)
    memset (exchange->target, 0, strlen (exchange->target));
  free (exchange->target);
  free (exchange);
}

static struct MHD_Daemon *
start_daemon (lt_caller_server_t *server, const struct sockaddr_in *address)
{
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
      NULL, on_access, server, MHD_OPTION_EXTERNAL_LOGGER, lt_http_loop_log,
      NULL, MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)address,
      MHD_OPTION_URI_LOG_CALLBACK, on_target, server,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)server->connection_bytes,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)server->connections_max,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
      /* Level 1 also requires a Host, but libmicrohttpd 0.9.75 then writes its
         response head twice; lt_request_parse_head checks it.  */
      MHD_OPTION_STRICT_FOR_CLIENT, 0, MHD_OPTION_END);
}

int
lt_caller_server_create (lt_node_t *node, lt_caller_server_t **result)
{
  struct sockaddr_in address;
  if (lt_parse_address (node->settings->listen, &address) != 0)
    return -LT_EINVAL;
  lt_caller_server_t *server = lt_alloc (sizeof (*server));
  server->node = node;
  server->linger.loop = node->loop;
  server->connection_bytes = node->registry != NULL
                                 ? HOSTED_CONNECTION_MEMORY_BYTES
                                 : CONNECTION_MEMORY_BYTES;
  lt_caller_memory_start (server);
  struct MHD_Daemon *daemon = start_daemon (server, &address);
  if (daemon == NULL
      || lt_http_loop_start (&server->http, node->loop, daemon) != 0)
    {
      lt_log (LT_LOG_ERROR, "caller-server",
              "msg=\"cannot listen\" address=%.*s error=\"%s\"",
              STR_ARG (node->settings->listen), strerror (errno));
      free (server);
      return -LT_EIO;
    }
  *result = server;
  return 0;
}

uint16_t
lt_caller_server_port (const lt_caller_server_t *server)
{
  return lt_http_loop_port (&server->http);
}

/* Accepts the connections in the backlog of the listening socket, since
   closing that socket would reset them.  */
static void
accept_pending (lt_caller_server_t *server, int listen_fd)
{
  struct sockaddr_storage address;
  for (;;)
    {
      socklen_t len = sizeof (address);
      int fd = accept4 (listen_fd, (struct sockaddr *)&address, &len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      MHD_add_connection (server->http.daemon, fd, (struct sockaddr *)&address,
                          len);
    }
}

void
lt_caller_server_quiesce (lt_caller_server_t *server)
{
  if (server->quiesced)
    return;
  server->quiesced = true;
  server->quiesced_us = lt_node_now_us (server->node);
  close_idle (server);
  int listen_fd = MHD_quiesce_daemon (server->http.daemon);
  if (listen_fd < 0)
    return;
  accept_pending (server, listen_fd);
  close (listen_fd);
  lt_http_loop_wake (&server->http);
}

int
lt_caller_server_connections (const lt_caller_server_t *server)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (
      server->http.daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return server->linger.count
         + (info == NULL ? 0 : (int)info->num_connections);
}

bool
lt_caller_server_has_unread (const lt_caller_server_t *server)
{
  const caller_connection_t *caller;
  DL_FOREACH (server->connections, caller)
  {
    if (lt_socket_has_unread_output (caller->fd))
      return true;
  }
  return lt_linger_has_unread (&server->linger);
}

/* libmicrohttpd ends the process when it stops with suspended connections.  */
static void
resume_all (lt_caller_server_t *server)
{
  exchange_t *exchange;
  DL_FOREACH (server->exchanges, exchange)
  {
    exchange->caller_disconnected = true;
    lt_exchange_resume (exchange);
  }
}

void
lt_caller_server_tick (lt_caller_server_t *server, int64_t now_us)
{
  if (server->quiesced)
    close_idle (server);
  lt_caller_memory_tick (server, now_us);
}

void
lt_caller_server_destroy (lt_caller_server_t *server)
{
  if (server == NULL)
    return;
  lt_caller_memory_stop (server);
  resume_all (server);
  lt_http_loop_stop (&server->http);
  lt_linger_end (&server->linger);
  free (server);
}
