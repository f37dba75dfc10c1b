#include "lt/standin/store.h"

#include <stdlib.h>
#include <string.h>

#include "httpd.h"
#include "lt/base/error.h"
#include "signature.h"
#include "store_table.h"

struct lt_standin_store
{
  struct ev_loop *loop;
  standin_httpd_t *httpd;
  char *access_key;
  char *secret_key;
  json_t *tables;
  json_t *objects; /**< Path to body in hexadecimal. */
  lt_standin_fault_t faults[LT_STANDIN_CALL_KINDS];
  lt_standin_counters_t counters[LT_STANDIN_CALL_KINDS];
  int64_t wrong_signatures;
  int64_t refuse_ms;
  ev_timer stop;
  ev_timer restart;
};

static const char *const call_names[LT_STANDIN_CALL_KINDS]
    = { "table-read", "table-write", "object-get", "object-put" };

/** Takes the fault of one call and counts it down.  */
static lt_standin_fault_t
fault_take (lt_standin_store_t *self, lt_standin_call_t kind)
{
  lt_standin_fault_t *fault = &self->faults[kind];
  lt_standin_fault_t taken = *fault;
  if (fault->count > 0 && --fault->count == 0)
    *fault = (lt_standin_fault_t){ 0 };
  return taken;
}

/** A request between its arrival and its effect.  */
typedef struct pending
{
  lt_standin_fault_t fault;
  bool deferred;
} pending_t;

static void
reply_json (standin_request_t *request, unsigned status, const json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  standin_reply_text (request, status, "application/x-amz-json-1.0",
                      str_from (text), 0);
  free (text);
}

static void
reply_empty (standin_request_t *request, unsigned status)
{
  standin_reply_text (request, status, "application/xml", STR_LIT (""), 0);
}

static str_t
table_operation (const standin_request_t *request)
{
  str_t operation = { 0 };
  str_split (str_from (standin_request_header (request, "X-Amz-Target")), '.',
             &operation);
  return operation;
}

static lt_standin_call_t
call_kind (const standin_request_t *request)
{
  if (strcmp (request->path, "/") == 0)
    return table_operation_writes (table_operation (request))
               ? LT_STANDIN_TABLE_WRITE
               : LT_STANDIN_TABLE_READ;
  return strcmp (request->method, "GET") == 0 ? LT_STANDIN_OBJECT_GET
                                              : LT_STANDIN_OBJECT_PUT;
}

static void
run_table (lt_standin_store_t *self, standin_request_t *request, bool lose)
{
  json_t *root = json_loadb (request->body.data, request->body.len, 0, NULL);
  table_reply_t result
      = table_run (self->tables, table_operation (request), root);
  lt_standin_counters_t *counters = &self->counters[call_kind (request)];
  counters->items += (int64_t)table_request_items (root);
  counters->refused += result.status != 200;
  if (lose)
    standin_reply_reset (request, 0);
  else
    reply_json (request, result.status, result.body);
  json_decref (result.body);
  json_decref (root);
}

/** Objects are bytes, which JSON texts cannot hold; a hexadecimal text
    can.  */
static json_t *
json_hex (str_t body)
{
  lt_buf_t hex = { 0 };
  for (size_t i = 0; i < body.len; i++)
    lt_buf_printf (&hex, "%02x", (unsigned char)body.data[i]);
  json_t *text = json_stringn (hex.len > 0 ? hex.data : "", hex.len);
  lt_buf_destroy (&hex);
  return text;
}

static void
append_unhex (lt_buf_t *out, const json_t *text)
{
  const char *hex = json_string_value (text);
  for (size_t i = 0; i + 1 < json_string_length (text); i += 2)
    {
      char byte
          = (char)(str_hex_digit (hex[i]) * 16 + str_hex_digit (hex[i + 1]));
      lt_buf_append (out, &byte, 1);
    }
}

static void
run_object_get (lt_standin_store_t *self, standin_request_t *request,
                bool lose)
{
  const json_t *object = json_object_get (self->objects, request->path);
  if (lose)
    standin_reply_reset (request, 0);
  else if (object == NULL)
    reply_empty (request, MHD_HTTP_NOT_FOUND);
  else
    {
      lt_buf_t body = { 0 };
      append_unhex (&body, object);
      standin_reply_text (request, MHD_HTTP_OK, "application/octet-stream",
                          lt_buf_str (&body), 0);
      lt_buf_destroy (&body);
    }
}

static void
run_object_put (lt_standin_store_t *self, standin_request_t *request,
                bool lose)
{
  bool if_absent = standin_request_header (request, "If-None-Match") != NULL;
  bool refused
      = if_absent && json_object_get (self->objects, request->path) != NULL;
  if (!refused)
    lt_standin_store_set_object (self, str_from (request->path),
                                 lt_buf_str (&request->body));
  self->counters[LT_STANDIN_OBJECT_PUT].refused += refused;
  if (lose)
    standin_reply_reset (request, 0);
  else
    reply_empty (request,
                 refused ? MHD_HTTP_PRECONDITION_FAILED : MHD_HTTP_OK);
}

static void
run (lt_standin_store_t *self, standin_request_t *request,
     lt_standin_call_t kind, const lt_standin_fault_t *fault)
{
  if (fault->down)
    reply_empty (request, MHD_HTTP_SERVICE_UNAVAILABLE);
  else if (kind == LT_STANDIN_OBJECT_GET)
    run_object_get (self, request, fault->lose_response);
  else if (kind == LT_STANDIN_OBJECT_PUT)
    run_object_put (self, request, fault->lose_response);
  else
    run_table (self, request, fault->lose_response);
}

static void
handle_call (lt_standin_store_t *self, standin_request_t *request)
{
  lt_standin_call_t kind = call_kind (request);
  pending_t *pending = request->user;
  if (pending == NULL)
    {
      bool verified = self->access_key[0] == '\0'
                      || signature_valid (request, str_from (self->access_key),
                                          str_from (self->secret_key));
      if (!verified)
        {
          self->wrong_signatures++;
          reply_empty (request, MHD_HTTP_FORBIDDEN);
          return;
        }
      self->counters[kind].calls++;
      pending = lt_alloc (sizeof (*pending));
      pending->fault = fault_take (self, kind);
      request->user = pending;
    }
  if (pending->fault.delay_ms > 0 && !pending->deferred)
    {
      pending->deferred = true;
      standin_defer (request, pending->fault.delay_ms);
      return;
    }
  run (self, request, kind, &pending->fault);
}

static int
configure_fault (lt_standin_store_t *self, str_t json)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  const char *kind = "";
  int down = 0;
  int lose = 0;
  lt_standin_fault_t fault = { 0 };
  int rc = json_unpack (root, "{s:s, s?b, s?b, s?I, s?i !}", "kind", &kind,
                        "down", &down, "lose_answer", &lose, "delay_ms",
                        &fault.delay_ms, "count", &fault.count);
  fault.down = down != 0;
  fault.lose_response = lose != 0;
  int found = -LT_EINVAL;
  for (int i = 0; rc == 0 && i < LT_STANDIN_CALL_KINDS; i++)
    if (strcmp (kind, call_names[i]) == 0 || strcmp (kind, "all") == 0)
      {
        self->faults[i] = fault;
        found = 0;
      }
  json_decref (root);
  return found;
}

static int
configure_refuse (lt_standin_store_t *self, str_t json)
{
  json_t *root = json_loadb (json.data, json.len, 0, NULL);
  int rc = json_unpack (root, "{s:I !}", "for_ms", &self->refuse_ms);
  json_decref (root);
  if (rc != 0)
    return -LT_EINVAL;
  ev_timer_set (&self->stop, 0.01, 0.);
  ev_timer_start (self->loop, &self->stop);
  return 0;
}

static void
reply_counters (const lt_standin_store_t *self, standin_request_t *request)
{
  json_t *root = json_object ();
  for (int i = 0; i < LT_STANDIN_CALL_KINDS; i++)
    json_object_set_new (
        root, call_names[i],
        json_pack ("{s:I, s:I, s:I}", "calls",
                   (json_int_t)self->counters[i].calls, "items",
                   (json_int_t)self->counters[i].items, "refused",
                   (json_int_t)self->counters[i].refused));
  reply_json (request, MHD_HTTP_OK, root);
  json_decref (root);
}

static void
handle (void *user, standin_request_t *request)
{
  lt_standin_store_t *self = user;
  str_t body = lt_buf_str (&request->body);
  int rc = 0;
  if (strcmp (request->path, "/standin/counters") == 0)
    {
      reply_counters (self, request);
      return;
    }
  if (strcmp (request->path, "/standin/fault") == 0)
    rc = configure_fault (self, body);
  else if (strcmp (request->path, "/standin/refuse") == 0)
    rc = configure_refuse (self, body);
  else
    {
      handle_call (self, request);
      return;
    }
  reply_empty (request, rc == 0 ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST);
}

static void
on_stop (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  lt_standin_store_t *self = timer->data;
  lt_standin_store_stop (self);
  ev_timer_set (&self->restart, (double)self->refuse_ms / 1e3, 0.);
  ev_timer_start (loop, &self->restart);
}

static void
on_restart (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  lt_standin_store_start (timer->data);
}

int
lt_standin_store_create (const lt_standin_store_options_t *options,
                         lt_standin_store_t **store)
{
  lt_standin_store_t *self = lt_alloc (sizeof (*self));
  self->loop = options->loop;
  self->access_key = str_dup (options->access_key);
  self->secret_key = str_dup (options->secret_key);
  self->tables = json_object ();
  self->objects = json_object ();
  ev_timer_init (&self->stop, on_stop, 0., 0.);
  ev_timer_init (&self->restart, on_restart, 0., 0.);
  self->stop.data = self;
  self->restart.data = self;
  str_t listen
      = options->listen.len > 0 ? options->listen : STR_LIT ("127.0.0.1:0");
  int rc
      = standin_httpd_create (self->loop, listen, handle, self, &self->httpd);
  if (rc != 0)
    {
      lt_standin_store_destroy (self);
      return rc;
    }
  *store = self;
  return 0;
}

void
lt_standin_store_destroy (lt_standin_store_t *store)
{
  if (store == NULL)
    return;
  ev_timer_stop (store->loop, &store->stop);
  ev_timer_stop (store->loop, &store->restart);
  standin_httpd_destroy (store->httpd);
  json_decref (store->tables);
  json_decref (store->objects);
  free (store->access_key);
  free (store->secret_key);
  free (store);
}

int
lt_standin_store_port (const lt_standin_store_t *store)
{
  return standin_httpd_port (store->httpd);
}

void
lt_standin_store_set_fault (lt_standin_store_t *store, lt_standin_call_t kind,
                            lt_standin_fault_t fault)
{
  store->faults[kind] = fault;
}

lt_standin_counters_t
lt_standin_store_counters (const lt_standin_store_t *store,
                           lt_standin_call_t kind)
{
  return store->counters[kind];
}

int64_t
lt_standin_store_unsigned (const lt_standin_store_t *store)
{
  return store->wrong_signatures;
}

void
lt_standin_store_stop (lt_standin_store_t *store)
{
  standin_httpd_stop (store->httpd);
}

int
lt_standin_store_start (lt_standin_store_t *store)
{
  return standin_httpd_start (store->httpd);
}

void
lt_standin_store_set_object (lt_standin_store_t *store, str_t path, str_t body)
{
  json_object_setn_new (store->objects, path.data, path.len, json_hex (body));
}
