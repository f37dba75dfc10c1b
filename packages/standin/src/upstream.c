#include "lt/standin/upstream.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "httpd.h"
#include "lt/base/error.h"
#include "lt/base/rng.h"

enum
{
  LOG_REQUESTS_MAX = 200,
  LOG_BODY_MAX_BYTES = 4096
};

struct lt_standin_upstream
{
  struct ev_loop *loop;
  standin_httpd_t *httpd;
  char *name;
  lt_standin_behaviour_t behaviour;
  lt_rng_t rng;
  void (*on_crash) (void *user);
  void *user;
  ev_timer stop;
  ev_timer restart;
  int64_t received;
  int64_t runs;
  int64_t crashes;
  json_t *paths;
  json_t *keys;
  json_t *requests;
};

/** What becomes of one request.  */
typedef enum fate
{
  FATE_OK,
  FATE_SHED,
  FATE_HANG,
  FATE_RESET,
  FATE_CUT,
  FATE_TRUNCATE,
  FATE_FAIL
} fate_t;

static void
count_add (json_t *counts, const char *name)
{
  json_int_t count = json_integer_value (json_object_get (counts, name));
  json_object_set_new (counts, name, json_integer (count + 1));
}

static enum MHD_Result
add_header (void *cls, enum MHD_ValueKind kind, const char *key,
            const char *value)
{
  (void)kind;
  json_object_set_new (cls, key, json_string (value == NULL ? "" : value));
  return MHD_YES;
}

static void
log_request (lt_standin_upstream_t *self, const standin_request_t *request)
{
  json_t *headers = json_object ();
  json_t *arguments = json_object ();
  MHD_get_connection_values (request->connection, MHD_HEADER_KIND, add_header,
                             headers);
  MHD_get_connection_values (request->connection, MHD_GET_ARGUMENT_KIND,
                             add_header, arguments);
  MHD_get_connection_values (request->connection, MHD_FOOTER_KIND, add_header,
                             headers);
  size_t len = request->body.len < LOG_BODY_MAX_BYTES ? request->body.len
                                                      : LOG_BODY_MAX_BYTES;
  json_t *body = json_stringn (request->body.data, len);
  json_t *entry = json_pack (
      "{s:s, s:s, s:o, s:o, s:o?}", "method", request->method, "path",
      request->path, "arguments", arguments, "headers", headers, "body", body);
  json_array_append_new (self->requests, entry);
  if (json_array_size (self->requests) > LOG_REQUESTS_MAX)
    json_array_remove (self->requests, 0);
  self->received++;
}

static bool
holds (str_t haystack, const char *marker)
{
  return str_find (haystack, str_from (marker)) >= 0;
}

typedef struct marker_search
{
  const char *marker;
  bool found;
} marker_search_t;

static enum MHD_Result
search_header (void *cls, enum MHD_ValueKind kind, const char *key,
               const char *value)
{
  (void)kind;
  (void)key;
  marker_search_t *search = cls;
  search->found |= value != NULL && holds (str_from (value), search->marker);
  return MHD_YES;
}

static bool
request_crashes (const lt_standin_upstream_t *self,
                 const standin_request_t *request)
{
  marker_search_t search = { .marker = self->behaviour.crash_marker };
  if (search.marker[0] == '\0')
    return false;
  search.found = holds (lt_buf_str (&request->body), search.marker);
  MHD_get_connection_values (request->connection, MHD_HEADER_KIND,
                             search_header, &search);
  return search.found;
}

static void
on_stop (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  lt_standin_upstream_t *self = timer->data;
  if (self->behaviour.restart_ms == 0 && self->on_crash != NULL)
    self->on_crash (self->user);
  standin_httpd_stop (self->httpd);
  if (self->behaviour.restart_ms == 0)
    return;
  ev_timer_set (&self->restart, (double)self->behaviour.restart_ms / 1e3, 0.);
  ev_timer_start (loop, &self->restart);
}

static void
on_restart (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  lt_standin_upstream_start (timer->data);
}

/** Resets the connection, then closes all others from the loop.  */
static void
crash (lt_standin_upstream_t *self, standin_request_t *request)
{
  self->crashes++;
  standin_reply_reset (request, 0);
  ev_timer_set (&self->stop, 0., 0.);
  ev_timer_start (self->loop, &self->stop);
}

static fate_t
draw_fate (lt_standin_upstream_t *self)
{
  const lt_standin_behaviour_t *b = &self->behaviour;
  const struct
  {
    double share;
    fate_t fate;
  } draws[]
      = { { b->shed_share, FATE_SHED },         { b->hang_share, FATE_HANG },
          { b->reset_share, FATE_RESET },       { b->cut_share, FATE_CUT },
          { b->truncate_share, FATE_TRUNCATE }, { b->fail_share, FATE_FAIL } };
  for (size_t i = 0; i < sizeof (draws) / sizeof (draws[0]); i++)
    if (lt_rng_unit (&self->rng) < draws[i].share)
      return draws[i].fate;
  return FATE_OK;
}

static int64_t
draw_delay_ms (lt_standin_upstream_t *self)
{
  const lt_standin_behaviour_t *b = &self->behaviour;
  if (lt_rng_unit (&self->rng) >= b->slow_share)
    return b->latency_ms;
  return (int64_t)((double)b->latency_ms * b->slow_factor);
}

/** Returns the response body; it names the request, so that a test can tell
    whose response it holds.  */
static char *
make_body (const lt_standin_upstream_t *self, const standin_request_t *request)
{
  const char *id = standin_request_header (request, "X-Request-Id");
  json_t *body
      = json_pack ("{s:s, s:s, s:s, s:s*, s:I}", "upstream", self->name,
                   "method", request->method, "path", request->path,
                   "request_id", id, "run", (json_int_t)self->runs);
  if (self->behaviour.body_bytes > 0)
    {
      char *padding = lt_alloc ((size_t)self->behaviour.body_bytes + 1);
      memset (padding, 'x', (size_t)self->behaviour.body_bytes);
      json_object_set_new (body, "padding", json_string (padding));
      free (padding);
    }
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static void
reply_shed (lt_standin_upstream_t *self, standin_request_t *request)
{
  char seconds[32];
  snprintf (seconds, sizeof (seconds), "%lld",
            (long long)self->behaviour.retry_after_s);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, "Retry-After", seconds);
  standin_reply (request, MHD_HTTP_SERVICE_UNAVAILABLE, response, 0);
}

static void
reply_run (lt_standin_upstream_t *self, standin_request_t *request,
           fate_t fate)
{
  char *body = make_body (self, request);
  str_t text = str_from (body);
  struct MHD_Response *response;
  if (fate == FATE_CUT || fate == FATE_TRUNCATE)
    response
        = standin_response_cut (text, fate == FATE_CUT ? 0 : text.len / 2);
  else
    response = MHD_create_response_from_buffer (text.len, body,
                                                MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "X-Upstream", self->name);
  if (self->behaviour.drain)
    MHD_add_response_header (response, "Connection", "close");
  unsigned status
      = fate == FATE_FAIL ? MHD_HTTP_INTERNAL_SERVER_ERROR : MHD_HTTP_OK;
  standin_reply (request, status, response, draw_delay_ms (self));
  free (body);
}

static void
handle_run (lt_standin_upstream_t *self, standin_request_t *request)
{
  log_request (self, request);
  bool crashes = request_crashes (self, request);
  fate_t fate = crashes ? FATE_RESET : draw_fate (self);
  if (fate == FATE_SHED)
    {
      reply_shed (self, request);
      return;
    }
  self->runs++;
  count_add (self->paths, request->path);
  const char *key = standin_request_header (request, "Idempotency-Key");
  if (key != NULL)
    count_add (self->keys, key);
  if (crashes)
    crash (self, request);
  else if (fate == FATE_HANG)
    standin_reply_reset (request, STANDIN_NEVER);
  else if (fate == FATE_RESET)
    standin_reply_reset (request, draw_delay_ms (self));
  else
    reply_run (self, request, fate);
}

static void
reply_json (standin_request_t *request, unsigned status, str_t body)
{
  standin_reply_text (request, status, "application/json", body, 0);
}

static void
handle_behaviour (lt_standin_upstream_t *self, standin_request_t *request)
{
  int rc = lt_standin_upstream_configure (self, lt_buf_str (&request->body));
  if (rc == 0)
    reply_json (request, MHD_HTTP_OK, STR_LIT ("{}"));
  else
    reply_json (request, MHD_HTTP_BAD_REQUEST,
                STR_LIT ("{\"error\":\"unknown member or wrong type\"}"));
}

static void
log_clear (lt_standin_upstream_t *self)
{
  json_object_clear (self->paths);
  json_object_clear (self->keys);
  json_array_clear (self->requests);
  self->received = 0;
  self->runs = 0;
  self->crashes = 0;
}

static void
handle (void *user, standin_request_t *request)
{
  lt_standin_upstream_t *self = user;
  if (strcmp (request->path, "/standin/behaviour") == 0)
    handle_behaviour (self, request);
  else if (strcmp (request->path, "/standin/log") == 0)
    {
      lt_buf_t log = { 0 };
      lt_standin_upstream_log (self, &log);
      reply_json (request, MHD_HTTP_OK, lt_buf_str (&log));
      lt_buf_destroy (&log);
    }
  else if (strcmp (request->path, "/standin/reset-log") == 0)
    {
      log_clear (self);
      reply_json (request, MHD_HTTP_OK, STR_LIT ("{}"));
    }
  else if (strcmp (request->path, "/healthz") == 0)
    reply_json (request, (unsigned)self->behaviour.health_status,
                STR_LIT ("{}"));
  else
    handle_run (self, request);
}

int
lt_standin_upstream_create (const lt_standin_upstream_options_t *options,
                            lt_standin_upstream_t **upstream)
{
  lt_standin_upstream_t *self = lt_alloc (sizeof (*self));
  self->loop = options->loop;
  self->name = str_dup (options->name);
  self->on_crash = options->on_crash;
  self->user = options->user;
  self->behaviour = (lt_standin_behaviour_t){ .slow_factor = 1,
                                              .retry_after_s = 1,
                                              .health_status = MHD_HTTP_OK };
  lt_rng_init (&self->rng, options->seed);
  ev_timer_init (&self->stop, on_stop, 0., 0.);
  ev_timer_init (&self->restart, on_restart, 0., 0.);
  self->stop.data = self;
  self->restart.data = self;
  self->paths = json_object ();
  self->keys = json_object ();
  self->requests = json_array ();
  str_t listen
      = options->listen.len > 0 ? options->listen : STR_LIT ("127.0.0.1:0");
  int rc
      = standin_httpd_create (self->loop, listen, handle, self, &self->httpd);
  if (rc != 0)
    {
      lt_standin_upstream_destroy (self);
      return rc;
    }
  *upstream = self;
  return 0;
}

void
lt_standin_upstream_destroy (lt_standin_upstream_t *upstream)
{
  if (upstream == NULL)
    return;
  ev_timer_stop (upstream->loop, &upstream->stop);
  ev_timer_stop (upstream->loop, &upstream->restart);
  standin_httpd_destroy (upstream->httpd);
  json_decref (upstream->paths);
  json_decref (upstream->keys);
  json_decref (upstream->requests);
  free (upstream->name);
  free (upstream);
}

int
lt_standin_upstream_port (const lt_standin_upstream_t *upstream)
{
  return standin_httpd_port (upstream->httpd);
}

lt_standin_behaviour_t *
lt_standin_upstream_behaviour (lt_standin_upstream_t *upstream)
{
  return &upstream->behaviour;
}

int
lt_standin_upstream_configure (lt_standin_upstream_t *upstream, str_t json)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  lt_standin_behaviour_t b = upstream->behaviour;
  const char *marker = b.crash_marker;
  int drain = b.drain;
  int rc = json_unpack (
      root,
      "{s?I, s?F, s?F, s?F, s?I, s?F, s?F, s?F, s?F, s?F, s?I, s?I, s?b, "
      "s?s, s?I !}",
      "latency_ms", &b.latency_ms, "slow_share", &b.slow_share, "slow_factor",
      &b.slow_factor, "shed_share", &b.shed_share, "retry_after_s",
      &b.retry_after_s, "hang_share", &b.hang_share, "reset_share",
      &b.reset_share, "cut_share", &b.cut_share, "truncate_share",
      &b.truncate_share, "fail_share", &b.fail_share, "body_bytes",
      &b.body_bytes, "health_status", &b.health_status, "drain", &drain,
      "crash_marker", &marker, "restart_ms", &b.restart_ms);
  if (rc == 0 && strlen (marker) < sizeof (b.crash_marker))
    {
      b.drain = drain != 0;
      if (marker != b.crash_marker)
        memcpy (b.crash_marker, marker, strlen (marker) + 1);
      upstream->behaviour = b;
    }
  else
    rc = -LT_EINVAL;
  json_decref (root);
  return rc;
}

void
lt_standin_upstream_stop (lt_standin_upstream_t *upstream)
{
  standin_httpd_stop (upstream->httpd);
}

int
lt_standin_upstream_start (lt_standin_upstream_t *upstream)
{
  return standin_httpd_start (upstream->httpd);
}

int64_t
lt_standin_upstream_runs (const lt_standin_upstream_t *upstream,
                          str_t idempotency_key)
{
  return json_integer_value (json_object_getn (
      upstream->keys, idempotency_key.data, idempotency_key.len));
}

int64_t
lt_standin_upstream_total (const lt_standin_upstream_t *upstream)
{
  return upstream->runs;
}

void
lt_standin_upstream_log (const lt_standin_upstream_t *upstream, lt_buf_t *out)
{
  json_t *log
      = json_pack ("{s:s, s:I, s:I, s:I, s:O, s:O, s:O}", "name",
                   upstream->name, "received", (json_int_t)upstream->received,
                   "runs", (json_int_t)upstream->runs, "crashes",
                   (json_int_t)upstream->crashes, "paths", upstream->paths,
                   "keys", upstream->keys, "requests", upstream->requests);
  char *text = json_dumps (log, JSON_COMPACT);
  lt_buf_append_str (out, str_from (text));
  free (text);
  json_decref (log);
}
