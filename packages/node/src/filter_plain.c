#include <stdlib.h>

#include "filters.h"

void
lt_filter_free (lt_filter_t *filter)
{
  free (filter);
}

lt_filter_t *
lt_filter_stateless_create (const lt_filter_vtable_t *vtable)
{
  lt_filter_t *filter = lt_alloc (sizeof (*filter));
  filter->vtable = vtable;
  return filter;
}
