/* Refusals of requests whose body is incomplete.  libmicrohttpd takes a
   response before the body or after it only, so these are written to the
   socket; none of its own bytes are on their way then.  */
#include <stdio.h>
#include <sys/socket.h>
#include <time.h>

#include "caller_internal.h"
#include "lt/base/clock.h"
#include "lt/base/log.h"
#include "lt/node/node.h"

static const char *
reason_phrase (int status)
{
  switch (status)
    {
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Refused";
    }
}

static void
print_response (const lt_request_t *request, lt_buf_t *out)
{
  const lt_response_t *response = &request->response;
  char date[64];
  struct tm utc;
  time_t now = (time_t)(lt_clock_wall_us (request->node->clock) / LT_US_PER_S);
  gmtime_r (&now, &utc);
  strftime (date, sizeof (date), "%a, %d %b %Y %H:%M:%S GMT", &utc);
  lt_buf_printf (out, "HTTP/1.1 %d %s\r\nDate: %s\r\nConnection: close\r\n",
                 response->status, reason_phrase (response->status), date);
  lt_buf_printf (out, "Content-Length: %zu\r\n", response->body.len);
  for (size_t i = 0; i < response->headers.count; i++)
    lt_buf_printf (out, "%.*s: %.*s\r\n",
                   STR_ARG (response->headers.items[i].name),
                   STR_ARG (response->headers.items[i].value));
  if (request->request_id[0] != '\0')
    lt_buf_printf (out, "%.*s: %s\r\n",
                   STR_ARG (request->node->dialect->request_id),
                   request->request_id);
  lt_buf_append_str (out, STR_LIT ("\r\n"));
  lt_buf_append_str (out, lt_buf_str (&response->body));
}

/* Sends the refusal if the chain has made one at once.  */
static void
write_refusal (exchange_t *exchange)
{
  lt_request_t *request = exchange->request;
  if (exchange->caller == NULL || !request->response.complete)
    return;
  lt_buf_t text = { 0 };
  print_response (request, &text);
  ssize_t sent = send (exchange->caller->fd, text.data, text.len,
                       MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < (ssize_t)text.len)
    lt_log (LT_LOG_DEBUG, "caller-server",
            "msg=\"refusal not delivered\" request=%s", request->request_id);
  lt_buf_destroy (&text);
}

void
lt_exchange_refuse_upload (exchange_t *exchange, lt_refusal_t refusal,
                           int64_t retry_after_ms)
{
  lt_request_t *request = exchange->request;
  lt_node_t *node = exchange->server->node;
  bool at_header = exchange->at_header && exchange->suspended;
  int64_t received = exchange->memory.received_bytes;
  int64_t held = exchange->memory.held_bytes;
  lt_buf_destroy (&request->body);
  lt_memory_budget_release (node->memory, &exchange->memory);
  request->body_refused = true;
  request->body_refusal = refusal;
  request->body_retry_after_ms = retry_after_ms;
  exchange->chain_started = true;
  lt_request_start (request);
  lt_log (LT_LOG_INFO, "caller-server",
          "msg=\"body refused\" request=%s reason=%s received=%lld held=%lld "
          "used=%lld",
          request->request_id, lt_refusal_get (refusal)->reason,
          (long long)received, (long long)held,
          (long long)lt_memory_budget_used_bytes (node->memory));
  if (at_header)
    {
      lt_exchange_resume (exchange);
      return;
    }
  write_refusal (exchange);
  exchange->caller_disconnected = true;
  lt_exchange_release_request (exchange);
  lt_exchange_resume (exchange);
}
