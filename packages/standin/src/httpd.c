#include "httpd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "lt/base/error.h"

enum
{
  TIMER_IDLE_S = 1
};

struct standin_httpd
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct sockaddr_in address;
  standin_handler_t handler;
  void *user;
  standin_request_t *requests;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
};

static void
request_free (standin_request_t *request)
{
  ev_timer_stop (request->httpd->loop, &request->timer);
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  DL_DELETE (request->httpd->requests, request);
  lt_buf_destroy (&request->body);
  free (request->method);
  free (request->path);
  free (request->user);
  free (request);
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  (void)cls;
  (void)connection;
  (void)code;
  if (*con_cls != NULL)
    request_free (*con_cls);
  *con_cls = NULL;
}

static void
request_resume (standin_request_t *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
}

static void
on_delay (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  standin_request_t *request = timer->data;
  standin_httpd_t *httpd = request->httpd;
  struct MHD_Daemon *daemon = httpd->daemon;
  if (request->deferred)
    {
      request->deferred = false;
      httpd->handler (httpd->user, request);
    }
  if (!ev_is_active (&request->timer))
    request_resume (request);
  MHD_run (daemon);
}

static standin_request_t *
request_create (standin_httpd_t *httpd, struct MHD_Connection *connection,
                const char *method, const char *path)
{
  standin_request_t *request = lt_alloc (sizeof (*request));
  request->httpd = httpd;
  request->connection = connection;
  request->method = str_dup (str_from (method));
  request->path = str_dup (str_from (path));
  ev_timer_init (&request->timer, on_delay, 0., 0.);
  request->timer.data = request;
  DL_APPEND (httpd->requests, request);
  return request;
}

/** Sends a TCP reset.  SO_LINGER would not do: libmicrohttpd shuts the socket
    down before it closes it.  */
static enum MHD_Result
connection_reset (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct sockaddr none = { .sa_family = AF_UNSPEC };
  if (info != NULL)
    (void)!connect (info->connect_fd, &none, sizeof (none));
  return MHD_NO;
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **con_cls)
{
  (void)version;
  standin_httpd_t *httpd = cls;
  standin_request_t *request = *con_cls;
  if (request == NULL)
    {
      *con_cls = request_create (httpd, connection, method, url);
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      lt_buf_append (&request->body, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (!request->handled)
    {
      request->handled = true;
      httpd->handler (httpd->user, request);
    }
  if (request->suspended)
    return MHD_YES;
  if (request->reset || request->response == NULL)
    return connection_reset (connection);
  return MHD_queue_response (connection, request->status, request->response);
}

static void
on_event (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  MHD_run (((standin_httpd_t *)io->data)->daemon);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  MHD_run (((standin_httpd_t *)timer->data)->daemon);
}

/** Sets the timer to what the daemon asks for before the loop blocks.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  (void)events;
  standin_httpd_t *httpd = prepare->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout (httpd->daemon, &timeout_ms) != MHD_YES)
    timeout_ms = TIMER_IDLE_S * 1000;
  ev_timer_stop (loop, &httpd->timer);
  ev_timer_set (&httpd->timer, (double)timeout_ms / 1e3, 0.);
  ev_timer_start (loop, &httpd->timer);
}

int
standin_httpd_start (standin_httpd_t *httpd)
{
  httpd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
      httpd, MHD_OPTION_SOCK_ADDR, &httpd->address,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_LIMIT,
      4000U, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)65536,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd, MHD_OPTION_END);
  if (httpd->daemon == NULL)
    return -LT_EIO;
  const union MHD_DaemonInfo *port
      = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_BIND_PORT);
  httpd->address.sin_port = htons (port->port);
  const union MHD_DaemonInfo *epoll
      = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_set (&httpd->io, epoll->epoll_fd, EV_READ);
  ev_io_start (httpd->loop, &httpd->io);
  ev_prepare_start (httpd->loop, &httpd->prepare);
  return 0;
}

void
standin_httpd_stop (standin_httpd_t *httpd)
{
  if (httpd->daemon == NULL)
    return;
  ev_io_stop (httpd->loop, &httpd->io);
  ev_timer_stop (httpd->loop, &httpd->timer);
  ev_prepare_stop (httpd->loop, &httpd->prepare);
  standin_request_t *request;
  DL_FOREACH (httpd->requests, request)
  {
    request->reset = true;
    request_resume (request);
  }
  MHD_stop_daemon (httpd->daemon);
  httpd->daemon = NULL;
}

/** Parses "ip:port".  */
static int
parse_address (str_t listen, struct sockaddr_in *address)
{
  str_t port;
  str_t ip = str_split (listen, ':', &port);
  int64_t number = 0;
  if (str_to_i64 (port, &number) != 0 || number < 0 || number > UINT16_MAX)
    return -LT_EINVAL;
  char *text = str_dup (ip);
  *address = (struct sockaddr_in){ .sin_family = AF_INET,
                                   .sin_port = htons ((uint16_t)number) };
  int parsed = inet_pton (AF_INET, text, &address->sin_addr);
  free (text);
  return parsed == 1 ? 0 : -LT_EINVAL;
}

int
standin_httpd_create (struct ev_loop *loop, str_t listen,
                      standin_handler_t handler, void *user,
                      standin_httpd_t **httpd)
{
  standin_httpd_t *self = lt_alloc (sizeof (*self));
  self->loop = loop;
  self->handler = handler;
  self->user = user;
  ev_io_init (&self->io, on_event, -1, EV_READ);
  ev_timer_init (&self->timer, on_timeout, 0., 0.);
  ev_prepare_init (&self->prepare, on_prepare);
  self->io.data = self;
  self->timer.data = self;
  self->prepare.data = self;
  int rc = parse_address (listen, &self->address);
  if (rc == 0)
    rc = standin_httpd_start (self);
  if (rc != 0)
    {
      free (self);
      return rc;
    }
  *httpd = self;
  return 0;
}

void
standin_httpd_destroy (standin_httpd_t *httpd)
{
  if (httpd == NULL)
    return;
  standin_httpd_stop (httpd);
  free (httpd);
}

int
standin_httpd_port (const standin_httpd_t *httpd)
{
  return ntohs (httpd->address.sin_port);
}

/** Suspends the connection for DELAY_MS.  */
static void
request_delay (standin_request_t *request, int64_t delay_ms)
{
  if (delay_ms == 0)
    return;
  if (!request->suspended)
    MHD_suspend_connection (request->connection);
  request->suspended = true;
  if (delay_ms < 0)
    return;
  struct ev_loop *loop = request->httpd->loop;
  ev_now_update (loop);
  ev_timer_set (&request->timer, (double)delay_ms / 1e3, 0.);
  ev_timer_start (loop, &request->timer);
}

void
standin_reply (standin_request_t *request, unsigned status,
               struct MHD_Response *response, int64_t delay_ms)
{
  request->status = status;
  request->response = response;
  request_delay (request, delay_ms);
}

void
standin_reply_text (standin_request_t *request, unsigned status,
                    const char *content_type, str_t body, int64_t delay_ms)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", content_type);
  standin_reply (request, status, response, delay_ms);
}

void
standin_defer (standin_request_t *request, int64_t delay_ms)
{
  request->deferred = true;
  request_delay (request, delay_ms > 0 ? delay_ms : 1);
}

void
standin_reply_reset (standin_request_t *request, int64_t delay_ms)
{
  request->reset = true;
  request_delay (request, delay_ms);
}

const char *
standin_request_header (const standin_request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

typedef struct cut_body
{
  size_t sent;
  char bytes[];
} cut_body_t;

static ssize_t
cut_read (void *cls, uint64_t pos, char *buf, size_t max)
{
  cut_body_t *body = cls;
  if (pos >= body->sent)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t len = body->sent - (size_t)pos;
  if (len > max)
    len = max;
  memcpy (buf, body->bytes + pos, len);
  return (ssize_t)len;
}

struct MHD_Response *
standin_response_cut (str_t data, size_t sent)
{
  cut_body_t *body = lt_alloc (sizeof (*body) + data.len);
  if (data.len > 0)
    memcpy (body->bytes, data.data, data.len);
  body->sent = sent < data.len ? sent : data.len;
  return MHD_create_response_from_callback (data.len + 1, 4096, cut_read, body,
                                            free);
}
