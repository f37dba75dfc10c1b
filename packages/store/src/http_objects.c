/* S3 REST subset (path-style) and the list of VMs kept in an object.  */
#include <jansson.h>
#include <stdlib.h>

#include "http_adapters.h"
#include "lt/base/error.h"

typedef struct http_objects
{
  lt_object_store_t base;
  http_shared_t *shared;
  char *url;
} http_objects_t;

typedef struct object_call
{
  bool if_absent;
  lt_object_done_t done;
  void *user;
} object_call_t;

typedef struct http_vms
{
  lt_vm_list_t base;
  http_shared_t *shared;
  lt_object_store_t *objects;
  char *object_name;
} http_vms_t;

typedef struct vms_call
{
  lt_vm_list_done_t done;
  void *user;
} vms_call_t;

static void
on_response (void *user, const http_response_t *response)
{
  object_call_t *call = user;
  lt_object_result_t result
      = { .outcome = LT_OUTCOME_UNKNOWN, .error = response->error };
  if (response->error != 0)
    result.outcome = LT_OUTCOME_UNKNOWN;
  else if (response->status == 200)
    {
      result.outcome = LT_OUTCOME_DONE;
      result.body = response->body;
    }
  else if (response->status == 404)
    {
      result.outcome = LT_OUTCOME_REFUSED;
      result.error = -LT_ENOTFOUND;
    }
  else if (call->if_absent && response->status == 412)
    {
      result.outcome = LT_OUTCOME_REFUSED;
      result.error = -LT_EEXISTS;
    }
  else
    result.error = response->status < 500 ? -LT_EUNAVAILABLE : -LT_EIO;
  call->done (call->user, &result);
  free (call);
}

/** Returns whether NAME can be used in a URL path without escaping.  */
static bool
name_valid (str_t name)
{
  for (size_t i = 0; i < name.len; i++)
    {
      char c = name.data[i];
      bool word = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                  || (c >= '0' && c <= '9');
      if (!word && c != '-' && c != '_' && c != '.' && c != '/')
        return false;
    }
  return name.len > 0 && name.data[0] != '/'
         && str_find (name, STR_LIT ("..")) < 0;
}

static int
submit (http_objects_t *self, http_request_t *request, str_t name,
        lt_object_done_t done, void *user)
{
  if (!name_valid (name))
    return -LT_EINVAL;
  object_call_t *call = lt_alloc (sizeof (*call));
  call->done = done;
  call->user = user;
  call->if_absent = request->headers[1] != NULL;
  lt_buf_t url = { 0 };
  lt_buf_printf (&url, "%s/%.*s", self->url, STR_ARG (name));
  lt_buf_append (&url, "", 1);
  request->service = "s3";
  request->url = url.data;
  int rc
      = http_client_submit (self->shared->client, request, on_response, call);
  lt_buf_destroy (&url);
  return rc;
}

static int
get (lt_object_store_t *store, str_t name, int64_t timeout_ms,
     lt_object_done_t done, void *user)
{
  http_request_t request = { .method = "GET", .timeout_ms = timeout_ms };
  return submit ((http_objects_t *)store, &request, name, done, user);
}

static int
put (lt_object_store_t *store, str_t name, str_t body, bool if_absent,
     int64_t timeout_ms, lt_object_done_t done, void *user)
{
  http_request_t request
      = { .method = "PUT",
          .body = body,
          .headers = { "Content-Type: application/octet-stream",
                       if_absent ? "If-None-Match: *" : NULL },
          .timeout_ms = timeout_ms };
  return submit ((http_objects_t *)store, &request, name, done, user);
}

static void
destroy (lt_object_store_t *store)
{
  http_objects_t *self = (http_objects_t *)store;
  http_shared_release (self->shared);
  free (self->url);
  free (self);
}

static const lt_object_store_vtable_t objects_vtable
    = { .get = get, .put = put, .destroy = destroy };

lt_object_store_t *
http_objects_create (http_shared_t *shared, str_t url)
{
  http_objects_t *self = lt_alloc (sizeof (*self));
  self->base.vtable = &objects_vtable;
  self->shared = shared;
  self->url = str_dup (url);
  shared->references++;
  return &self->base;
}

/** Decodes one entry; the strings in VM are owned by ITEM.  Returns 0 or
    -LT_EPROTO.  */
static int
decode_vm (json_t *item, lt_vm_entry_t *vm)
{
  const char *id = NULL;
  const char *address = NULL;
  const char *region = NULL;
  const char *domain = NULL;
  int leaving = 0;
  if (json_unpack (item, "{s:s, s:s, s:s, s:s, s?b}", "id", &id,
                   "peer_address", &address, "region", &region,
                   "failure_domain", &domain, "leaving", &leaving)
      != 0)
    return -LT_EPROTO;
  *vm = (lt_vm_entry_t){ .id = str_from (id),
                         .peer_address = str_from (address),
                         .region = str_from (region),
                         .failure_domain = str_from (domain),
                         .leaving = leaving != 0 };
  return 0;
}

static void
report_vms (vms_call_t *call, str_t body)
{
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  const json_t *list = json_object_get (root, "vms");
  size_t count = json_array_size (list);
  lt_vm_entry_t *vms = lt_alloc (count * sizeof (*vms));
  int rc = json_is_array (list) ? 0 : -LT_EPROTO;
  for (size_t i = 0; rc == 0 && i < count; i++)
    rc = decode_vm (json_array_get (list, i), &vms[i]);
  lt_vm_list_result_t result = { .outcome = LT_OUTCOME_DONE };
  if (rc != 0)
    result
        = (lt_vm_list_result_t){ .outcome = LT_OUTCOME_UNKNOWN, .error = rc };
  else
    {
      result.vms = vms;
      result.count = count;
    }
  call->done (call->user, &result);
  free (vms);
  json_decref (root);
}

static void
on_vms_object (void *user, const lt_object_result_t *object)
{
  vms_call_t *call = user;
  if (object->outcome == LT_OUTCOME_DONE)
    report_vms (call, object->body);
  else
    call->done (call->user, &(lt_vm_list_result_t){ .outcome = object->outcome,
                                                    .error = object->error });
  free (call);
}

static int
list (lt_vm_list_t *vms, int64_t timeout_ms, lt_vm_list_done_t done,
      void *user)
{
  http_vms_t *self = (http_vms_t *)vms;
  vms_call_t *call = lt_alloc (sizeof (*call));
  call->done = done;
  call->user = user;
  int rc = self->objects->vtable->get (self->objects,
                                       str_from (self->object_name),
                                       timeout_ms, on_vms_object, call);
  if (rc != 0)
    free (call);
  return rc;
}

static void
vms_destroy (lt_vm_list_t *vms)
{
  http_vms_t *self = (http_vms_t *)vms;
  http_shared_release (self->shared);
  free (self->object_name);
  free (self);
}

static const lt_vm_list_vtable_t vms_vtable
    = { .list = list, .destroy = vms_destroy };

lt_vm_list_t *
http_vms_create (http_shared_t *shared, lt_object_store_t *objects,
                 str_t object_name)
{
  http_vms_t *self = lt_alloc (sizeof (*self));
  self->base.vtable = &vms_vtable;
  self->shared = shared;
  self->objects = objects;
  self->object_name = str_dup (object_name);
  shared->references++;
  return &self->base;
}
