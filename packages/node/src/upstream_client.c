#include "upstream_client.h"

#include <curl/curl.h>
#include <ev.h>
#include <stdlib.h>
#include <string.h>

#include "lt/base/error.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  IDLE_HANDLES_MAX = 256,
  IDLE_CONNECTIONS_MAX = 1024,
  /* Idle connections older than this are not reused: upstreams commonly
     close theirs after 60 s.  */
  CONNECTION_MAX_IDLE_S = 30
};

typedef struct socket_watch
{
  ev_io io;
  struct lt_upstream_client *client;
} socket_watch_t;

struct lt_transfer
{
  lt_upstream_client_t *client;
  lt_transfer_t *prev;
  lt_transfer_t *next;
  CURL *easy;
  const lt_transfer_vtable_t *vtable;
  void *owner; /* NULL once cancelled. */
  struct curl_slist *header_lines;
  lt_header_list_t answer_headers;
  int sends; /* How often libcurl was about to send the request. */
  bool header_done;
  bool aborted;
  bool doomed;
};

struct lt_upstream_client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  lt_transfer_t *transfers;
  CURL *idle[IDLE_HANDLES_MAX];
  int idle_count;
  int depth; /* Nesting of calls into libcurl. */
  bool doomed_left;
};

static void
transfer_free (lt_transfer_t *transfer)
{
  lt_upstream_client_t *client = transfer->client;
  if (transfer->prev != NULL)
    transfer->prev->next = transfer->next;
  else
    client->transfers = transfer->next;
  if (transfer->next != NULL)
    transfer->next->prev = transfer->prev;
  curl_multi_remove_handle (client->multi, transfer->easy);
  if (client->idle_count < IDLE_HANDLES_MAX)
    {
      curl_easy_reset (transfer->easy);
      client->idle[client->idle_count++] = transfer->easy;
    }
  else
    curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->header_lines);
  lt_header_list_destroy (&transfer->answer_headers);
  free (transfer);
}

static void
free_doomed (lt_upstream_client_t *client)
{
  if (!client->doomed_left)
    return;
  client->doomed_left = false;
  lt_transfer_t *transfer = client->transfers;
  while (transfer != NULL)
    {
      lt_transfer_t *next = transfer->next;
      if (transfer->doomed)
        transfer_free (transfer);
      transfer = next;
    }
}

static lt_transfer_end_t
transfer_end (const lt_transfer_t *transfer, CURLcode code)
{
  if (transfer->aborted)
    return LT_TRANSFER_ABORTED;
  if (code == CURLE_OK)
    return LT_TRANSFER_COMPLETE;
  if (transfer->sends == 0 && code != CURLE_OPERATION_TIMEDOUT)
    return LT_TRANSFER_REFUSED;
  if (transfer->header_done)
    return LT_TRANSFER_TRUNCATED;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return LT_TRANSFER_TIMEOUT;
  return LT_TRANSFER_RESET;
}

static void
finish_transfer (lt_transfer_t *transfer, CURLcode code)
{
  lt_transfer_result_t result = { .end = transfer_end (transfer, code),
                                  .byte_sent = transfer->sends > 0 };
  void *owner = transfer->owner;
  const lt_transfer_vtable_t *vtable = transfer->vtable;
  transfer_free (transfer);
  if (owner != NULL)
    vtable->on_done (owner, &result);
}

static void
read_messages (lt_upstream_client_t *client)
{
  int left = 0;
  CURLMsg *message;
  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      lt_transfer_t *transfer = NULL;
      CURLcode code = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      finish_transfer (transfer, code);
    }
}

static void
socket_action (lt_upstream_client_t *client, curl_socket_t fd, int mask)
{
  int running = 0;
  client->depth++;
  curl_multi_socket_action (client->multi, fd, mask, &running);
  client->depth--;
  free_doomed (client);
  read_messages (client);
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  socket_watch_t *watch = watcher->data;
  int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
             | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  socket_action (watch->client, watcher->fd, mask);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  socket_action (watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_curl_timer (CURLM *multi, long timeout_ms, void *cls)
{
  (void)multi;
  lt_upstream_client_t *client = cls;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&client->timer, (double)timeout_ms / 1000.0, 0.0);
  ev_timer_start (client->loop, &client->timer);
  return 0;
}

static int
on_curl_socket (CURL *easy, curl_socket_t fd, int what, void *cls,
                void *socket_data)
{
  (void)easy;
  lt_upstream_client_t *client = cls;
  socket_watch_t *watch = socket_data;
  if (what == CURL_POLL_REMOVE)
    {
      if (watch == NULL)
        return 0;
      ev_io_stop (client->loop, &watch->io);
      free (watch);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (watch == NULL)
    {
      watch = lt_alloc (sizeof (*watch));
      watch->client = client;
      watch->io.data = watch;
      ev_init (&watch->io, on_socket_ready);
      watch->io.data = watch;
      curl_multi_assign (client->multi, fd, watch);
    }
  int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0)
               | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_stop (client->loop, &watch->io);
  ev_io_set (&watch->io, fd, events);
  ev_io_start (client->loop, &watch->io);
  return 0;
}

static bool
deliver_header (lt_transfer_t *transfer)
{
  long status = 0;
  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200)
    {
      lt_header_list_destroy (&transfer->answer_headers);
      return true;
    }
  transfer->header_done = true;
  if (transfer->owner == NULL)
    return false;
  return transfer->vtable->on_header (transfer->owner, (int)status,
                                      &transfer->answer_headers);
}

static size_t
on_header_line (char *data, size_t size, size_t count, void *cls)
{
  lt_transfer_t *transfer = cls;
  size_t total = size * count;
  str_t line = str_trim (str_make (data, total));
  if (transfer->header_done)
    return total; /* A trailer field. */
  if (line.len == 0)
    {
      if (deliver_header (transfer))
        return total;
      transfer->aborted = true;
      return 0;
    }
  str_t value;
  str_t name = str_split (line, ':', &value);
  if (value.data == NULL || str_starts_with (line, STR_LIT ("HTTP/")))
    {
      lt_header_list_destroy (&transfer->answer_headers);
      return total;
    }
  lt_header_list_add (&transfer->answer_headers, name, str_trim (value));
  return total;
}

static size_t
on_body_data (char *data, size_t size, size_t count, void *cls)
{
  lt_transfer_t *transfer = cls;
  size_t total = size * count;
  if (transfer->owner == NULL)
    return 0;
  if (transfer->vtable->on_body (transfer->owner, str_make (data, total)))
    return total;
  return CURL_WRITEFUNC_PAUSE;
}

/* libcurl sends a request again by itself when a reused connection turns out
   to be closed.  The second send is stopped here: whether a request may be
   sent again is the dispatcher's decision.  */
static int
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's signature. */
on_before_send (void *cls, char *primary_ip, char *local_ip, int primary_port,
                int local_port)
{
  (void)primary_ip;
  (void)local_ip;
  (void)primary_port;
  (void)local_port;
  lt_transfer_t *transfer = cls;
  if (transfer->owner == NULL || transfer->sends > 0)
    return CURL_PREREQFUNC_ABORT;
  if (!transfer->vtable->on_send (transfer->owner))
    return CURL_PREREQFUNC_ABORT;
  transfer->sends++;
  return CURL_PREREQFUNC_OK;
}

static struct curl_slist *
append_line (struct curl_slist *lines, str_t name, str_t value)
{
  lt_buf_t line = { 0 };
  /* libcurl takes "Name;" for a header with an empty value.  */
  if (value.len == 0)
    lt_buf_printf (&line, "%.*s;", STR_ARG (name));
  else
    lt_buf_printf (&line, "%.*s: %.*s", STR_ARG (name), STR_ARG (value));
  struct curl_slist *longer = curl_slist_append (lines, line.data);
  lt_buf_destroy (&line);
  return longer == NULL ? lines : longer;
}

static struct curl_slist *
make_header_lines (const lt_header_list_t *headers)
{
  static const char *const own[] = { "Accept", "Content-Type", "User-Agent" };
  struct curl_slist *lines = curl_slist_append (NULL, "Expect:");
  for (size_t i = 0; i < headers->count; i++)
    lines
        = append_line (lines, headers->items[i].name, headers->items[i].value);
  /* Suppress headers that libcurl would add by itself.  */
  for (size_t i = 0; i < sizeof (own) / sizeof (own[0]); i++)
    {
      if (lt_header_list_count (headers, str_from (own[i])) > 0)
        continue;
      lt_buf_t line = { 0 };
      lt_buf_printf (&line, "%s:", own[i]);
      lines = curl_slist_append (lines, line.data);
      lt_buf_destroy (&line);
    }
  return lines;
}

static void
set_callbacks (lt_transfer_t *transfer)
{
  CURL *easy = transfer->easy;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header_line);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
}

static void
set_request (lt_transfer_t *transfer, const lt_transfer_options_t *options)
{
  CURL *easy = transfer->easy;
  lt_buf_t url = { 0 };
  lt_buf_printf (&url, "http://%.*s%.*s", STR_ARG (options->address),
                 STR_ARG (options->target));
  curl_easy_setopt (easy, CURLOPT_URL, url.data);
  lt_buf_destroy (&url);
  if (str_equal (options->method, STR_LIT ("HEAD")))
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (options->body.len > 0
           || str_equal (options->method, STR_LIT ("POST"))
           || str_equal (options->method, STR_LIT ("PUT"))
           || str_equal (options->method, STR_LIT ("PATCH")))
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)options->body.len);
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS,
                        options->body.data == NULL ? "" : options->body.data);
    }
  char *method = str_dup (options->method);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  free (method);
  transfer->header_lines = make_header_lines (options->headers);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->header_lines);
}

static void
set_transport (CURL *easy, const lt_transfer_options_t *options)
{
  long connect_ms = options->timeout_ms < CONNECT_TIMEOUT_MS
                        ? (long)options->timeout_ms
                        : CONNECT_TIMEOUT_MS;
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)CONNECTION_MAX_IDLE_S);
  if (!options->fresh_connection)
    return;
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
}

lt_transfer_t *
lt_upstream_client_send (lt_upstream_client_t *client,
                         const lt_transfer_options_t *options,
                         const lt_transfer_vtable_t *vtable, void *owner)
{
  CURL *easy = client->idle_count > 0 ? client->idle[--client->idle_count]
                                      : curl_easy_init ();
  if (easy == NULL)
    return NULL;
  lt_transfer_t *transfer = lt_alloc (sizeof (*transfer));
  transfer->client = client;
  transfer->easy = easy;
  transfer->vtable = vtable;
  transfer->owner = owner;
  set_callbacks (transfer);
  set_request (transfer, options);
  set_transport (easy, options);
  transfer->next = client->transfers;
  if (transfer->next != NULL)
    transfer->next->prev = transfer;
  client->transfers = transfer;
  if (curl_multi_add_handle (client->multi, easy) == CURLM_OK)
    return transfer;
  transfer_free (transfer);
  return NULL;
}

void
lt_transfer_cancel (lt_transfer_t *transfer)
{
  if (transfer == NULL)
    return;
  transfer->owner = NULL;
  if (transfer->client->depth == 0)
    {
      transfer_free (transfer);
      return;
    }
  transfer->doomed = true;
  transfer->client->doomed_left = true;
}

void
lt_transfer_unpause (lt_transfer_t *transfer)
{
  lt_upstream_client_t *client = transfer->client;
  client->depth++;
  curl_easy_pause (transfer->easy, CURLPAUSE_CONT);
  client->depth--;
}

int
lt_upstream_client_create (struct ev_loop *loop, int64_t connections,
                           lt_upstream_client_t **result)
{
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return -LT_EIO;
  lt_upstream_client_t *client = lt_alloc (sizeof (*client));
  client->loop = loop;
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    {
      free (client);
      return -LT_EIO;
    }
  ev_timer_init (&client->timer, on_timer, 0.0, 0.0);
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)connections);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     (long)IDLE_CONNECTIONS_MAX);
  *result = client;
  return 0;
}

void
lt_upstream_client_destroy (lt_upstream_client_t *client)
{
  if (client == NULL)
    return;
  while (client->transfers != NULL)
    /* transfer_free unlinks the head.
       NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
    transfer_free (client->transfers);
  for (int i = 0; i < client->idle_count; i++)
    curl_easy_cleanup (client->idle[i]);
  ev_timer_stop (client->loop, &client->timer);
  curl_multi_cleanup (client->multi);
  free (client);
}
