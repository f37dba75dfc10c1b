#include "upstream_probe.h"

#include <stdlib.h>

enum
{
  PROBE_TIMEOUT_MS = 1000,
  BODY_MAX_BYTES = 64 * 1024,
  FIRST_FAILED_STATUS = 500
};

struct lt_upstream_probe
{
  lt_transfer_t *transfer;
  lt_upstream_probe_done_t done;
  void *user;
  int status;
  size_t body_bytes;
  bool closing;
};

bool
lt_headers_connection_close (const lt_header_list_t *headers)
{
  str_t value = lt_header_list_get (headers, STR_LIT ("Connection"));
  return str_equal_nocase (str_trim (value), STR_LIT ("close"));
}

static bool
on_header (void *owner, const lt_response_head_t *head)
{
  lt_upstream_probe_t *probe = owner;
  probe->status = head->status;
  probe->closing = lt_headers_connection_close (&head->headers);
  return true;
}

static bool
on_body (void *owner, str_t data)
{
  lt_upstream_probe_t *probe = owner;
  /* A longer body pauses the transfer, which then times out.  */
  probe->body_bytes += data.len;
  return probe->body_bytes <= BODY_MAX_BYTES;
}

static bool
on_send (void *owner)
{
  (void)owner;
  return true;
}

static void
on_done (void *owner, const lt_transfer_result_t *result)
{
  lt_upstream_probe_t *probe = owner;
  bool ok = result->end == LT_TRANSFER_COMPLETE && probe->status > 0
            && probe->status < FIRST_FAILED_STATUS;
  lt_upstream_probe_done_t done = probe->done;
  void *user = probe->user;
  bool closing = probe->closing;
  free (probe);
  done (user, ok, closing);
}

static const lt_transfer_vtable_t vtable = { .on_header = on_header,
                                             .on_body = on_body,
                                             .on_done = on_done,
                                             .on_send = on_send };

lt_upstream_probe_t *
lt_upstream_probe_start (lt_upstream_client_t *client, str_t address,
                         lt_upstream_probe_done_t done, void *user)
{
  lt_header_list_t headers = { 0 };
  lt_transfer_options_t options = { .address = address,
                                    .method = STR_LIT ("GET"),
                                    .target = STR_LIT ("/healthz"),
                                    .headers = &headers,
                                    .timeout_ms = PROBE_TIMEOUT_MS };
  lt_upstream_probe_t *probe = lt_alloc (sizeof (*probe));
  probe->done = done;
  probe->user = user;
  probe->transfer = lt_upstream_client_send (client, &options, &vtable, probe);
  if (probe->transfer != NULL)
    return probe;
  free (probe);
  return NULL;
}

void
lt_upstream_probe_cancel (lt_upstream_probe_t *probe)
{
  if (probe == NULL)
    return;
  lt_transfer_cancel (probe->transfer);
  free (probe);
}
