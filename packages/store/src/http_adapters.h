/** @file
    Table, object store and VM list on top of one HTTP client.  */
#ifndef LT_STORE_HTTP_ADAPTERS_H
#define LT_STORE_HTTP_ADAPTERS_H

#include "lt/store/http_client.h"

/** Reference-counted client of the adapters; the last release destroys it.  */
typedef struct http_shared
{
  http_client_t *client;
  int references;
} http_shared_t;

void http_shared_release (http_shared_t *shared);
lt_table_t *http_table_create (http_shared_t *shared, str_t url, str_t name);
lt_object_store_t *http_objects_create (http_shared_t *shared, str_t url);
/** Reads the list from OBJECT_NAME.  OBJECTS is not owned.  */
lt_vm_list_t *http_vms_create (http_shared_t *shared,
                               lt_object_store_t *objects, str_t object_name);

#endif
