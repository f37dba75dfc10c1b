#include "upstream_client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "chunked_body.h"
#include "lt/base/error.h"
#include "lt/store/curl_loop.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000
};

struct lt_transfer
{
  lt_upstream_client_t *client;
  lt_transfer_t *prev;
  lt_transfer_t *next;
  CURL *easy;
  const lt_transfer_vtable_t *vtable;
  void *owner; /* NULL once cancelled. */
  struct curl_slist *header_lines;
  lt_response_head_t head;
  bool to_head_method;
  int64_t body_bytes; /* Received, in the transfer coding. */
  lt_chunked_body_t chunked_body;
  int send_count; /* Number of times the request was about to be sent. */
  int64_t timeout_ms;
  bool has_connect_timeout; /* The owner set one below timeout_ms. */
  const char *fault; /* Why the response is malformed; NULL: it is not. */
  bool aborted;
  bool free_pending; /* Cancelled in a callback; freed after it. */
};

/* A body that is freed after the callback in progress.  */
typedef struct freed_body
{
  struct freed_body *next;
  lt_buf_t body;
} freed_body_t;

struct lt_upstream_client
{
  lt_curl_loop_t *curl;
  lt_transfer_t *transfers;
  freed_body_t *freed_bodies;
  bool any_free_pending;
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
  curl_multi_remove_handle (lt_curl_loop_multi (client->curl), transfer->easy);
  /* A used handle keeps a pointer to a header of its last response, and
     libcurl before 8.0 writes there when a response begins with a folded
     line.  */
  curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->header_lines);
  lt_response_head_destroy (&transfer->head);
  free (transfer);
}

static void
free_pending_transfers (lt_upstream_client_t *client)
{
  if (!client->any_free_pending)
    return;
  client->any_free_pending = false;
  lt_transfer_t *transfer = client->transfers;
  while (transfer != NULL)
    {
      lt_transfer_t *next = transfer->next;
      if (transfer->free_pending)
        transfer_free (transfer);
      transfer = next;
    }
}

static void
free_bodies (lt_upstream_client_t *client)
{
  while (client->freed_bodies != NULL)
    {
      freed_body_t *freed = client->freed_bodies;
      client->freed_bodies = freed->next;
      lt_buf_destroy (&freed->body);
      free (freed);
    }
}

/* Returns whether the connect timeout expired but the timeout of the transfer
   did not.  */
static bool
only_connect_timed_out (const lt_transfer_t *transfer)
{
  curl_off_t total_us = 0;
  curl_easy_getinfo (transfer->easy, CURLINFO_TOTAL_TIME_T, &total_us);
  return transfer->has_connect_timeout
         && total_us < (curl_off_t)transfer->timeout_ms * 1000;
}

static bool
has_final_head (const lt_transfer_t *transfer)
{
  return transfer->head.state == LT_RESPONSE_HEAD_COMPLETE;
}

/* Returns whether libcurl found the end of the body where its head says that
   it is.  */
static bool
is_body_whole (const lt_transfer_t *transfer)
{
  const lt_response_head_t *head = &transfer->head;
  if (!lt_response_head_has_body (head, transfer->to_head_method))
    return true;
  if (head->chunked)
    return transfer->chunked_body.state == LT_CHUNKED_END;
  return head->length < 0 || head->length == transfer->body_bytes;
}

/* Returns what libcurl found wrong with a response, or NULL.  */
static const char *
find_fault (CURLcode code)
{
  return code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL
             ? curl_easy_strerror (code)
             : NULL;
}

static lt_transfer_end_t
transfer_end (const lt_transfer_t *transfer, CURLcode code)
{
  if (transfer->fault != NULL)
    return LT_TRANSFER_MALFORMED;
  if (transfer->aborted)
    return LT_TRANSFER_ABORTED;
  /* libcurl reports success when a connection is closed within the header.  */
  if (code == CURLE_OK && has_final_head (transfer))
    return is_body_whole (transfer) ? LT_TRANSFER_COMPLETE
                                    : LT_TRANSFER_TRUNCATED;
  if (transfer->send_count == 0
      && (code != CURLE_OPERATION_TIMEDOUT
          || only_connect_timed_out (transfer)))
    return LT_TRANSFER_REFUSED;
  if (has_final_head (transfer))
    return LT_TRANSFER_TRUNCATED;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return LT_TRANSFER_TIMEOUT;
  return LT_TRANSFER_RESET;
}

static void
finish_transfer (lt_transfer_t *transfer, CURLcode code)
{
  if (transfer->fault == NULL && transfer->send_count > 0)
    transfer->fault = find_fault (code);
  lt_transfer_result_t result = { .end = transfer_end (transfer, code),
                                  .byte_sent = transfer->send_count > 0,
                                  .fault = transfer->fault };
  result.connection_lost = result.end == LT_TRANSFER_RESET
                           || (result.end == LT_TRANSFER_TRUNCATED
                               && code != CURLE_OPERATION_TIMEDOUT);
  void *owner = transfer->owner;
  const lt_transfer_vtable_t *vtable = transfer->vtable;
  transfer_free (transfer);
  if (owner != NULL)
    vtable->on_done (owner, &result);
}

static void
on_ended (void *user, CURL *easy, CURLcode code)
{
  (void)user;
  lt_transfer_t *transfer = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &transfer);
  finish_transfer (transfer, code);
}

static void
on_worked (void *user)
{
  lt_upstream_client_t *client = user;
  free_pending_transfers (client);
  if (!lt_curl_loop_in_libcurl (client->curl))
    free_bodies (client);
}

static const lt_curl_loop_vtable_t curl_vtable
    = { .progressed = on_worked, .ended = on_ended };

static bool
deliver_head (lt_transfer_t *transfer)
{
  if (transfer->owner == NULL)
    return false;
  transfer->aborted
      = !transfer->vtable->on_header (transfer->owner, &transfer->head);
  return !transfer->aborted;
}

static size_t
on_header_line (char *data, size_t size, size_t count, void *cls)
{
  lt_transfer_t *transfer = cls;
  size_t total = size * count;
  if (has_final_head (transfer))
    return total; /* A trailer field. */
  if (lt_response_head_read (&transfer->head, str_make (data, total)) != 0)
    {
      transfer->fault = transfer->head.fault;
      return 0;
    }
  return !has_final_head (transfer) || deliver_head (transfer) ? total : 0;
}

/* Passes on the part of a chunked body in DATA.  Returns the number of bytes
   handled, as libcurl expects it.  */
static size_t
pass_chunked (lt_transfer_t *transfer, str_t data)
{
  lt_chunked_body_t before = transfer->chunked_body;
  lt_buf_t part = { 0 };
  size_t handled = data.len;
  if (lt_chunked_body_decode (&transfer->chunked_body, data, &part) != 0)
    {
      transfer->fault = "chunked body";
      handled = 0;
    }
  else if (part.len > 0
           && !transfer->vtable->on_body (transfer->owner, lt_buf_str (&part)))
    {
      /* libcurl passes DATA again after the pause.  */
      transfer->chunked_body = before;
      handled = CURL_WRITEFUNC_PAUSE;
    }
  lt_buf_destroy (&part);
  return handled;
}

static size_t
on_body_data (char *data, size_t size, size_t count, void *cls)
{
  lt_transfer_t *transfer = cls;
  size_t total = size * count;
  if (transfer->owner == NULL)
    return 0;
  if (!has_final_head (transfer))
    {
      transfer->fault = "body without a head";
      return 0;
    }
  size_t handled = total;
  if (transfer->head.chunked)
    handled = pass_chunked (transfer, str_make (data, total));
  else if (!transfer->vtable->on_body (transfer->owner,
                                       str_make (data, total)))
    handled = CURL_WRITEFUNC_PAUSE;
  if (handled == total)
    transfer->body_bytes += (int64_t)total;
  return handled;
}

/* libcurl may retry a request by itself.  The second send is aborted here,
   because only the dispatcher may decide on a retry.  */
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
  if (transfer->owner == NULL || transfer->send_count > 0)
    return CURL_PREREQFUNC_ABORT;
  if (!transfer->vtable->on_send (transfer->owner))
    return CURL_PREREQFUNC_ABORT;
  transfer->send_count++;
  return CURL_PREREQFUNC_OK;
}

static struct curl_slist *
append_line (struct curl_slist *lines, str_t name, str_t value)
{
  lt_buf_t line = { 0 };
  /* libcurl expects "Name;" for a header with an empty value.  */
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
  static const char *const libcurl_defaults[]
      = { "Accept", "Content-Type", "User-Agent" };
  struct curl_slist *lines = curl_slist_append (NULL, "Expect:");
  for (size_t i = 0; i < headers->count; i++)
    lines
        = append_line (lines, headers->items[i].name, headers->items[i].value);
  /* Suppress headers that libcurl would add by itself.  */
  for (size_t i = 0;
       i < sizeof (libcurl_defaults) / sizeof (libcurl_defaults[0]); i++)
    {
      if (lt_header_list_count (headers, str_from (libcurl_defaults[i])) > 0)
        continue;
      lt_buf_t line = { 0 };
      lt_buf_printf (&line, "%s:", libcurl_defaults[i]);
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
  transfer->to_head_method = str_equal (options->method, STR_LIT ("HEAD"));
  if (transfer->to_head_method)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (options->body.len > 0
           || str_equal (options->method, STR_LIT ("POST"))
           || str_equal (options->method, STR_LIT ("PUT"))
           || str_equal (options->method, STR_LIT ("PATCH")))
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)options->body.len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
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
  int64_t connect_ms
      = options->connect_ms > 0 ? options->connect_ms : CONNECT_TIMEOUT_MS;
  if (options->timeout_ms < connect_ms)
    connect_ms = options->timeout_ms;
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
  /* Chunks are decoded here, as libcurl does not limit their framing.  */
  curl_easy_setopt (easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  /* A spare copy of a response may arrive at any time after it, so no
     connection serves a second request.  */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
}

lt_transfer_t *
lt_upstream_client_send (lt_upstream_client_t *client,
                         const lt_transfer_options_t *options,
                         const lt_transfer_vtable_t *vtable, void *owner)
{
  CURL *easy = curl_easy_init ();
  if (easy == NULL)
    return NULL;
  lt_transfer_t *transfer = lt_alloc (sizeof (*transfer));
  transfer->client = client;
  transfer->easy = easy;
  transfer->vtable = vtable;
  transfer->owner = owner;
  transfer->timeout_ms = options->timeout_ms;
  transfer->has_connect_timeout
      = options->connect_ms > 0 && options->connect_ms < options->timeout_ms;
  set_callbacks (transfer);
  set_request (transfer, options);
  set_transport (easy, options);
  transfer->next = client->transfers;
  if (transfer->next != NULL)
    transfer->next->prev = transfer;
  client->transfers = transfer;
  if (lt_curl_loop_add (client->curl, easy) == 0)
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
  if (!lt_curl_loop_in_libcurl (transfer->client->curl))
    {
      transfer_free (transfer);
      return;
    }
  transfer->free_pending = true;
  transfer->client->any_free_pending = true;
}

void
lt_upstream_client_free_body (lt_upstream_client_t *client, lt_buf_t *body)
{
  if (client == NULL || body->data == NULL
      || !lt_curl_loop_in_libcurl (client->curl))
    {
      lt_buf_destroy (body);
      return;
    }
  freed_body_t *freed = lt_alloc (sizeof (*freed));
  freed->body = *body;
  freed->next = client->freed_bodies;
  client->freed_bodies = freed;
  *body = (lt_buf_t){ 0 };
}

void
lt_transfer_unpause (lt_transfer_t *transfer)
{
  lt_curl_loop_unpause (transfer->client->curl, transfer->easy);
}

int
lt_upstream_client_create (struct ev_loop *loop, lt_upstream_client_t **result)
{
  lt_upstream_client_t *client = lt_alloc (sizeof (*client));
  int error = lt_curl_loop_create (loop, &curl_vtable, client, &client->curl);
  if (error != 0)
    {
      free (client);
      return error;
    }
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
  free_bodies (client);
  lt_curl_loop_destroy (client->curl);
  free (client);
}
