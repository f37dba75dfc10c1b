#include "lt/store/store.h"

void
lt_platform_destroy (lt_platform_t *platform)
{
  if (platform->table != NULL)
    platform->table->vtable->destroy (platform->table);
  if (platform->objects != NULL)
    platform->objects->vtable->destroy (platform->objects);
  if (platform->vms != NULL)
    platform->vms->vtable->destroy (platform->vms);
  *platform = (lt_platform_t){ 0 };
}
