#include "lt/store/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "lt/base/error.h"
#include "lt/base/log.h"
#include "lt/store/curl_loop.h"
#include "lt/store/response_head.h"

enum
{
  CONNECTIONS_MAX = 32,
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024
};

typedef struct transfer transfer_t;

struct http_client
{
  lt_curl_loop_t *curl;
  lt_clock_t *clock;
  char *region;
  char *credentials;
  int64_t silence_ms;
  int64_t connect_ms;
  int64_t reuse_ms;
  int64_t responded_us; /* Last complete response; 0: none. */
  bool timed_out;       /* The last request to end timed out. */
  transfer_t *transfers;
};

struct transfer
{
  transfer_t *prev;
  transfer_t *next;
  http_client_t *client;
  CURL *easy;
  struct curl_slist *headers;
  lt_buf_t body;
  size_t body_read;
  lt_response_head_t head;
  const char *fault; /* Why the response is malformed; NULL: it is not. */
  lt_buf_t response;
  const char *response_header;
  http_done_t done;
  void *user;
};

static void
transfer_free (transfer_t *transfer)
{
  DL_DELETE (transfer->client->transfers, transfer);
  curl_multi_remove_handle (lt_curl_loop_multi (transfer->client->curl),
                            transfer->easy);
  curl_easy_cleanup (transfer->easy);
  curl_slist_free_all (transfer->headers);
  lt_buf_destroy (&transfer->body);
  lt_buf_destroy (&transfer->response);
  lt_response_head_destroy (&transfer->head);
  free (transfer);
}

static int
error_from_curl (CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return 0;
    case CURLE_COULDNT_CONNECT:
      return -LT_EUNAVAILABLE;
    case CURLE_OPERATION_TIMEDOUT:
      return -LT_ETIMEOUT;
    default:
      return -LT_EIO;
    }
}

static bool
has_final_head (const transfer_t *transfer)
{
  return transfer->head.state == LT_RESPONSE_HEAD_COMPLETE;
}

/* Returns 0 if CODE and the head of the response say that it is whole. libcurl
   reports success also when a connection is closed within the head, and may
   find another length in it.  */
static int
check_response (const transfer_t *transfer, CURLcode code)
{
  const lt_response_head_t *head = &transfer->head;
  if (code != CURLE_OK)
    return error_from_curl (code);
  if (!has_final_head (transfer)
      || (lt_response_head_has_body (head, false) && head->length >= 0
          && head->length != (int64_t)transfer->response.len))
    return -LT_EIO;
  return 0;
}

static void
transfer_end (transfer_t *transfer, int error)
{
  http_response_t response = { .error = error };
  if (error == 0)
    {
      response.status = transfer->head.status;
      response.body = lt_buf_str (&transfer->response);
      if (transfer->response_header != NULL)
        response.header = lt_header_list_get (
            &transfer->head.headers, str_from (transfer->response_header));
    }
  http_done_t done = transfer->done;
  transfer->done = NULL;
  if (done != NULL)
    done (transfer->user, &response);
}

static void
on_ended (void *user, CURL *easy, CURLcode code)
{
  http_client_t *client = user;
  transfer_t *transfer = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &transfer);
  client->timed_out = code == CURLE_OPERATION_TIMEDOUT;
  if (transfer->fault != NULL)
    lt_log (LT_LOG_WARN, "store", "msg=\"malformed response\" fault=\"%s\"",
            transfer->fault);
  int error = check_response (transfer, code);
  if (error == 0)
    client->responded_us = lt_clock_now_us (client->clock);
  transfer_end (transfer, error);
  transfer_free (transfer);
}

static const lt_curl_loop_vtable_t curl_vtable = { .ended = on_ended };

static size_t
read_body (char *buffer, size_t size, size_t count, void *user)
{
  transfer_t *transfer = user;
  size_t len = transfer->body.len - transfer->body_read;
  if (len > size * count)
    len = size * count;
  memcpy (buffer, transfer->body.data + transfer->body_read, len);
  transfer->body_read += len;
  return len;
}

static size_t
read_head_line (char *data, size_t size, size_t count, void *user)
{
  transfer_t *transfer = user;
  size_t total = size * count;
  if (has_final_head (transfer))
    return total; /* A trailer field. */
  if (lt_response_head_read (&transfer->head, str_make (data, total)) == 0)
    return total;
  transfer->fault = transfer->head.fault;
  return 0;
}

static size_t
write_response (char *data, size_t size, size_t count, void *user)
{
  transfer_t *transfer = user;
  if (!has_final_head (transfer))
    {
      transfer->fault = "body without a head";
      return 0;
    }
  if (transfer->response.len + size * count > RESPONSE_MAX_BYTES)
    return 0;
  lt_buf_append (&transfer->response, data, size * count);
  return size * count;
}

/** Adds the header with the SHA-256 of the body.  libcurl computes it only for
    CURLOPT_POSTFIELDS, but a body set that way is also resent by libcurl.  */
static void
add_body_hash (transfer_t *transfer)
{
  unsigned char hash[crypto_hash_sha256_BYTES];
  char hex[2 * sizeof (hash) + 1];
  char header[128];
  crypto_hash_sha256 (hash, (const unsigned char *)transfer->body.data,
                      transfer->body.len);
  sodium_bin2hex (hex, sizeof (hex), hash, sizeof (hash));
  snprintf (header, sizeof (header), "x-amz-content-sha256: %s", hex);
  transfer->headers = curl_slist_append (transfer->headers, header);
}

static void
set_body (transfer_t *transfer, const char *method)
{
  CURL *easy = transfer->easy;
  if (strcmp (method, "GET") == 0)
    return;
  bool post = strcmp (method, "POST") == 0;
  /* Without a seek callback libcurl cannot rewind the body, so it cannot
     resend a request once body bytes have been sent.  A request without a
     body is kept from being resent only by a new connection.  */
  if (transfer->body.len == 0)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_READFUNCTION, read_body);
  curl_easy_setopt (easy, CURLOPT_READDATA, transfer);
  curl_easy_setopt (easy, post ? CURLOPT_POST : CURLOPT_UPLOAD, 1L);
  curl_easy_setopt (
      easy, post ? CURLOPT_POSTFIELDSIZE_LARGE : CURLOPT_INFILESIZE_LARGE,
      (curl_off_t)transfer->body.len);
}

static void
set_headers (transfer_t *transfer, const http_request_t *request)
{
  size_t max = sizeof (request->headers) / sizeof (request->headers[0]);
  for (size_t i = 0; i < max && request->headers[i] != NULL; i++)
    transfer->headers
        = curl_slist_append (transfer->headers, request->headers[i]);
  transfer->headers = curl_slist_append (transfer->headers, "Expect:");
  if (request->service != NULL)
    add_body_hash (transfer);
  curl_easy_setopt (transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void
set_signature (transfer_t *transfer, const char *service)
{
  char provider[128];
  if (service == NULL)
    return;
  snprintf (provider, sizeof (provider), "aws:amz:%s:%s",
            transfer->client->region, service);
  curl_easy_setopt (transfer->easy, CURLOPT_AWS_SIGV4, provider);
  curl_easy_setopt (transfer->easy, CURLOPT_USERPWD,
                    transfer->client->credentials);
}

/* TCP keep-alive probes find a peer that vanished without a reset.  */
static int
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's signature. */
on_socket (void *cls, curl_socket_t fd, curlsocktype purpose)
{
  (void)purpose;
  const http_client_t *client = cls;
  int on = 1;
  int count = 2;
  int seconds = (int)(client->silence_ms / 1000 / (count + 1));
  unsigned int silence_ms = (unsigned int)client->silence_ms;
  if (seconds < 1)
    seconds = 1;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof (on));
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof (seconds));
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof (seconds));
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof (count));
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
              sizeof (silence_ms));
  return CURL_SOCKOPT_OK;
}

static bool
needs_new_connection (const http_client_t *client)
{
  int64_t now_us = lt_clock_now_us (client->clock);
  return client->reuse_ms > 0
         && (client->timed_out
             || now_us - client->responded_us
                    > client->reuse_ms * LT_US_PER_MS);
}

static void
set_connection_limits (transfer_t *transfer)
{
  http_client_t *client = transfer->client;
  if (needs_new_connection (client))
    curl_easy_setopt (transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
  if (client->reuse_ms > 0)
    curl_easy_setopt (transfer->easy, CURLOPT_MAXAGE_CONN,
                      (long)(client->reuse_ms / 1000 + 1));
  if (client->connect_ms > 0)
    curl_easy_setopt (transfer->easy, CURLOPT_CONNECTTIMEOUT_MS,
                      (long)client->connect_ms);
  if (client->silence_ms == 0)
    return;
  curl_easy_setopt (transfer->easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
  curl_easy_setopt (transfer->easy, CURLOPT_SOCKOPTDATA, client);
}

int
http_client_submit (http_client_t *client, const http_request_t *request,
                    http_done_t done, void *user)
{
  transfer_t *transfer = lt_alloc (sizeof (*transfer));
  transfer->client = client;
  transfer->easy = curl_easy_init ();
  transfer->done = done;
  transfer->user = user;
  transfer->response_header = request->response_header;
  lt_buf_append_str (&transfer->body, request->body);
  CURL *easy = transfer->easy;
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, read_head_line);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, write_response);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  set_connection_limits (transfer);
  set_body (transfer, request->method);
  set_headers (transfer, request);
  set_signature (transfer, request->service);
  DL_APPEND (client->transfers, transfer);
  lt_curl_loop_add (client->curl, easy);
  return 0;
}

int
http_client_create (const http_client_options_t *options,
                    http_client_t **client)
{
  http_client_t *self = lt_alloc (sizeof (*self));
  int error
      = lt_curl_loop_create (options->loop, &curl_vtable, self, &self->curl);
  if (error != 0)
    {
      free (self);
      return error;
    }
  lt_buf_t credentials = { 0 };
  lt_buf_printf (&credentials, "%.*s:%.*s", STR_ARG (options->access_key),
                 STR_ARG (options->secret_key));
  self->credentials = str_dup (lt_buf_str (&credentials));
  lt_buf_destroy (&credentials);
  self->region = str_dup (options->region);
  self->silence_ms = options->silence_ms;
  self->connect_ms = options->connect_ms;
  self->clock = options->clock == NULL ? lt_clock_system () : options->clock;
  self->reuse_ms = options->reuse_ms;
  curl_multi_setopt (lt_curl_loop_multi (self->curl),
                     CURLMOPT_MAX_TOTAL_CONNECTIONS, (long)CONNECTIONS_MAX);
  *client = self;
  return 0;
}

void
http_client_destroy (http_client_t *client)
{
  if (client == NULL)
    return;
  transfer_t *transfer;
  transfer_t *next;
  DL_FOREACH_SAFE (client->transfers, transfer, next)
  {
    transfer_end (transfer, -LT_ECANCELED);
    transfer_free (transfer);
  }
  lt_curl_loop_destroy (client->curl);
  free (client->region);
  free (client->credentials);
  free (client);
}
