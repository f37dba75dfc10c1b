#include <stdlib.h>

#include "http_adapters.h"

void
http_shared_release (http_shared_t *shared)
{
  if (--shared->references > 0)
    return;
  http_client_destroy (shared->client);
  free (shared);
}

int
lt_platform_http_create (struct ev_loop *loop,
                         const lt_platform_http_options_t *options,
                         lt_platform_t *platform)
{
  http_client_options_t client_options = { .loop = loop,
                                           .region = options->region,
                                           .access_key = options->access_key,
                                           .secret_key = options->secret_key };
  http_shared_t *shared = lt_alloc (sizeof (*shared));
  int rc = http_client_create (&client_options, &shared->client);
  if (rc != 0)
    {
      free (shared);
      return rc;
    }
  platform->table
      = http_table_create (shared, options->table_url, options->table_name);
  platform->objects = http_objects_create (shared, options->object_url);
  platform->vms
      = http_vms_create (shared, platform->objects, options->vm_list_object);
  return 0;
}
