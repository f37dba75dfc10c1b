#include "lt/node/admin.h"

#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "http_loop.h"
#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/node/node.h"

enum
{
  TABLES_MAX = 16,
  ADMIN_CONNECTIONS_MAX = 64,
  ADMIN_IDLE_TIMEOUT_S = 60,
  ADMIN_BODY_MAX_BYTES = 32 * 1024 * 1024
};

typedef struct handler_table
{
  const lt_admin_handler_t *handlers;
  size_t count;
} handler_table_t;

struct lt_admin
{
  lt_node_t *node;
  lt_http_loop_t http;
  handler_table_t tables[TABLES_MAX];
  size_t table_count;
};

/* A request on an admin connection.  REQUEST comes first, so that the pointer
   that handlers hold converts to the call.  */
typedef struct admin_call
{
  lt_admin_request_t request;
  lt_admin_t *admin;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  lt_buf_t body;
  bool body_too_large;
  bool started;      /* The handler was called. */
  bool suspended;    /* The connection waits for the response. */
  bool disconnected; /* The connection ended before the response. */
  struct MHD_Response *response;
  unsigned int status;
} admin_call_t;

static void
call_free (admin_call_t *call)
{
  if (call->response != NULL)
    MHD_destroy_response (call->response);
  free (call->method);
  free (call->path);
  lt_buf_destroy (&call->body);
  free (call);
}

str_t
lt_admin_query (const lt_admin_request_t *request, const char *name)
{
  const admin_call_t *call = (const admin_call_t *)request;
  if (call->disconnected)
    return str_make (NULL, 0);
  return str_from (MHD_lookup_connection_value (call->connection,
                                                MHD_GET_ARGUMENT_KIND, name));
}

static void
respond (lt_admin_request_t *request, int status, const char *content_type,
         str_t body)
{
  admin_call_t *call = (admin_call_t *)request;
  if (call->disconnected)
    {
      call_free (call);
      return;
    }
  call->status = (unsigned int)status;
  call->response = MHD_create_response_from_buffer (
      body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (call->response, "Content-Type", content_type);
  if (!call->suspended)
    return;
  call->suspended = false;
  MHD_resume_connection (call->connection);
  lt_http_loop_wake (&call->admin->http);
}

void
lt_admin_respond_text (lt_admin_request_t *request, int status,
                       const char *content_type, str_t body)
{
  respond (request, status, content_type, body);
}

void
lt_admin_respond_json (lt_admin_request_t *request, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  respond (request, status, "application/json", str_from (text));
  free (text);
}

void
lt_admin_respond_problem (lt_admin_request_t *request, int status,
                          const char *reason, const char *detail)
{
  json_t *problem
      = json_pack ("{s:s, s:i, s:s, s:s}", "type", "about:blank", "status",
                   status, "reason", reason, "detail", detail);
  char *text = json_dumps (problem, JSON_COMPACT);
  json_decref (problem);
  respond (request, status, "application/problem+json", str_from (text));
  free (text);
}

/* Compares digests, so that the time of the comparison does not depend on the
   key.  */
static bool
operator_key_is_valid (const admin_call_t *call)
{
  str_t value = str_from (MHD_lookup_connection_value (
      call->connection, MHD_HEADER_KIND, "Authorization"));
  str_t key;
  str_t scheme = str_split (str_trim (value), ' ', &key);
  if (!str_equal_nocase (scheme, STR_LIT ("Bearer")))
    return false;
  lt_digest_t given = lt_digest_make (STR_LIT (""), str_trim (key));
  lt_digest_t expected = lt_digest_make (
      STR_LIT (""), call->admin->node->settings->operator_key);
  return lt_digest_equal (&given, &expected);
}

static bool
prefix_matches (str_t path, str_t prefix)
{
  if (prefix.len > 0 && prefix.data[prefix.len - 1] == '/')
    return path.len > prefix.len && str_starts_with (path, prefix);
  return str_equal (path, prefix);
}

static const lt_admin_handler_t *
find_handler (const lt_admin_t *admin, str_t method, str_t path,
              bool *path_known)
{
  *path_known = false;
  for (size_t t = 0; t < admin->table_count; t++)
    for (size_t i = 0; i < admin->tables[t].count; i++)
      {
        const lt_admin_handler_t *handler = &admin->tables[t].handlers[i];
        if (!prefix_matches (path, str_from (handler->prefix)))
          continue;
        *path_known = true;
        if (str_equal (method, str_from (handler->method)))
          return handler;
      }
  return NULL;
}

static void
fill_request (admin_call_t *call, const lt_admin_handler_t *handler)
{
  lt_admin_request_t *request = &call->request;
  str_t prefix = str_from (handler->prefix);
  request->suffix = str_make (request->path.data + prefix.len,
                              request->path.len - prefix.len);
  const char *author = MHD_lookup_connection_value (
      call->connection, MHD_HEADER_KIND, "X-Author");
  request->author = str_from (author == NULL ? "unknown" : author);
  request->body = lt_buf_str (&call->body);
}

static void
run_handler (admin_call_t *call)
{
  lt_admin_request_t *request = &call->request;
  bool path_known;
  request->node = call->admin->node;
  request->method = str_from (call->method);
  request->path = str_from (call->path);
  const lt_admin_handler_t *handler = find_handler (
      call->admin, request->method, request->path, &path_known);
  if (call->body_too_large)
    lt_admin_respond_problem (request, 413, "body-too-large",
                              "the body exceeds 32 MiB");
  else if (handler == NULL && path_known)
    lt_admin_respond_problem (request, 405, "method-not-allowed",
                              "the path does not allow the method");
  else if (handler == NULL)
    lt_admin_respond_problem (request, 404, "not-found", "no such path");
  else if (handler->needs_operator && !operator_key_is_valid (call))
    lt_admin_respond_problem (request, 401, "operator-key-invalid",
                              "the operator key is missing or wrong");
  else
    {
      fill_request (call, handler);
      handler->handle (request);
    }
}

static void
append_body (admin_call_t *call, const char *data, size_t len)
{
  if (call->body.len + len > ADMIN_BODY_MAX_BYTES)
    call->body_too_large = true;
  if (!call->body_too_large)
    lt_buf_append (&call->body, data, len);
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **con_cls)
{
  (void)version;
  admin_call_t *call = *con_cls;
  if (call == NULL)
    {
      call = lt_alloc (sizeof (*call));
      call->admin = cls;
      call->connection = connection;
      call->method = str_dup (str_from (method));
      call->path = str_dup (str_from (url));
      *con_cls = call;
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      append_body (call, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (!call->started)
    {
      call->started = true;
      run_handler (call);
    }
  /* respond frees the call only if its connection has ended.
     NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
  if (call->response == NULL)
    {
      call->suspended = true;
      MHD_suspend_connection (connection);
      return MHD_YES;
    }
  return MHD_queue_response (connection, call->status, call->response);
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  (void)cls;
  (void)connection;
  (void)code;
  admin_call_t *call = *con_cls;
  *con_cls = NULL;
  if (call == NULL)
    return;
  if (call->started && call->response == NULL)
    call->disconnected = true; /* Freed when the handler responds. */
  else
    call_free (call);
}

static void
handle_healthz (lt_admin_request_t *request)
{
  lt_admin_respond_text (request, 200, "text/plain", STR_LIT ("ok\n"));
}

static void
handle_readyz (lt_admin_request_t *request)
{
  if (request->node->draining)
    lt_admin_respond_text (request, 503, "text/plain", STR_LIT ("draining\n"));
  else if (request->node->config == NULL)
    lt_admin_respond_text (request, 503, "text/plain",
                           STR_LIT ("no configuration\n"));
  else if (!request->node->config_was_confirmed)
    lt_admin_respond_text (request, 503, "text/plain",
                           STR_LIT ("configuration not confirmed yet\n"));
  else
    lt_admin_respond_text (request, 200, "text/plain", STR_LIT ("ready\n"));
}

static void
handle_metrics (lt_admin_request_t *request)
{
  lt_buf_t text = { 0 };
  lt_log_counts_t lines = lt_log_get_counts ();
  lt_buf_printf (&text,
                 "# HELP lavendertrack_log_lines_total Lines of the log, and "
                 "lines dropped.\n"
                 "# TYPE lavendertrack_log_lines_total counter\n"
                 "lavendertrack_log_lines_total{event=\"written\"} %llu\n"
                 "lavendertrack_log_lines_total{event=\"over-bound\"} %llu\n"
                 "lavendertrack_log_lines_total{event=\"blocked\"} %llu\n",
                 (unsigned long long)lines.written,
                 (unsigned long long)lines.over_bound,
                 (unsigned long long)lines.blocked);
  lt_metrics_print (request->node->metrics, &text);
  lt_admin_respond_text (request, 200, "text/plain; version=0.0.4",
                         lt_buf_str (&text));
  lt_buf_destroy (&text);
}

static const lt_admin_handler_t basic_handlers[] = {
  { "GET", "/healthz", false, handle_healthz },
  { "GET", "/metrics", false, handle_metrics },
  { "GET", "/readyz", false, handle_readyz },
};

void
lt_admin_add_handlers (lt_admin_t *admin, const lt_admin_handler_t *handlers,
                       size_t count)
{
  if (admin->table_count == TABLES_MAX)
    abort ();
  admin->tables[admin->table_count++] = (handler_table_t){ handlers, count };
}

int
lt_admin_create (lt_node_t *node, lt_admin_t **result)
{
  struct sockaddr_in address;
  if (lt_parse_address (node->settings->admin_listen, &address) != 0)
    return -LT_EINVAL;
  lt_admin_t *admin = lt_alloc (sizeof (*admin));
  admin->node = node;
  lt_admin_add_handlers (admin, basic_handlers,
                         sizeof (basic_handlers) / sizeof (basic_handlers[0]));
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
      NULL, on_access, admin, MHD_OPTION_EXTERNAL_LOGGER, lt_http_loop_log,
      NULL, MHD_OPTION_SOCK_ADDR, (const struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, admin,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)ADMIN_CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)ADMIN_IDLE_TIMEOUT_S,
      MHD_OPTION_END);
  if (daemon == NULL
      || lt_http_loop_start (&admin->http, node->loop, daemon) != 0)
    {
      lt_log (LT_LOG_ERROR, "admin",
              "msg=\"cannot listen\" address=%.*s error=\"%s\"",
              STR_ARG (node->settings->admin_listen), strerror (errno));
      free (admin);
      return -LT_EIO;
    }
  *result = admin;
  return 0;
}

uint16_t
lt_admin_port (const lt_admin_t *admin)
{
  return lt_http_loop_port (&admin->http);
}

void
lt_admin_destroy (lt_admin_t *admin)
{
  if (admin == NULL)
    return;
  lt_http_loop_stop (&admin->http);
  free (admin);
}
