#include <stdlib.h>

#include "check.h"

enum
{
  MILLI = 1000
};

typedef struct used_key
{
  str_t key;
  const lt_deployment_workspace_t *workspace;
} used_key_t;

static int
by_key (const void *a, const void *b)
{
  const used_key_t *x = a;
  const used_key_t *y = b;
  int order = str_compare (x->key, y->key);
  return order != 0
             ? order
             : (x->workspace > y->workspace) - (x->workspace < y->workspace);
}

/* Keys are secret and not shown.  */
static void
check_keys (const lt_check_t *check)
{
  const lt_deployment_t *d = check->deployment;
  uint32_t count = 0;
  for (uint32_t i = 0; i < d->workspace_count; i++)
    count += d->workspaces[i].key_count;
  used_key_t *keys = lt_alloc ((count + 1) * sizeof (*keys));
  count = 0;
  for (uint32_t i = 0; i < d->workspace_count; i++)
    for (uint32_t k = 0; k < d->workspaces[i].key_count; k++)
      keys[count++]
          = (used_key_t){ d->workspaces[i].keys[k], &d->workspaces[i] };
  if (count > 0)
    qsort (keys, count, sizeof (*keys), by_key);
  for (uint32_t i = 0; i < count; i++)
    {
      const lt_deployment_workspace_t *workspace = keys[i].workspace;
      if (keys[i].key.len == 0)
        lt_check_add (check, LT_SEVERITY_ERROR, "workspace", workspace->name,
                      str_make ("", 0), "keys that are not empty");
      else if (i > 0 && str_equal (keys[i - 1].key, keys[i].key))
        lt_check_add (check, LT_SEVERITY_ERROR, "workspace", workspace->name,
                      str_make ("", 0),
                      "keys of its own; \"%.*s\" has the same key",
                      STR_ARG (keys[i - 1].workspace->name));
    }
  free (keys);
}

static void
check_workspace (const lt_check_t *check,
                 const lt_deployment_workspace_t *workspace)
{
  int64_t rate = workspace->rate_milli_per_s;
  if (workspace->key_count == 0)
    lt_check_add (check, LT_SEVERITY_WARNING, "workspace", workspace->name,
                  str_make ("", 0), "a key; no request is of this workspace");
  if (rate > 0 && workspace->burst * MILLI < rate)
    lt_check_add (check, LT_SEVERITY_WARNING, "workspace", workspace->name,
                  str_make ("", 0),
                  "a burst (%lld) of at least one second of the rate "
                  "(%lld.%03lld)",
                  (long long)workspace->burst, (long long)(rate / MILLI),
                  (long long)(rate % MILLI));
  if (rate == 0 && workspace->burst > 0)
    lt_check_add (check, LT_SEVERITY_WARNING, "workspace", workspace->name,
                  str_make ("", 0),
                  "a rate beside the burst (%lld); without it there is no "
                  "limit",
                  (long long)workspace->burst);
}

void
lt_check_workspaces (const lt_check_t *check)
{
  const lt_deployment_t *d = check->deployment;
  for (uint32_t i = 0; i < d->workspace_count; i++)
    check_workspace (check, &d->workspaces[i]);
  check_keys (check);
}

static bool
share_region (const str_t *a, uint32_t a_count, const str_t *b,
              uint32_t b_count)
{
  for (uint32_t i = 0; i < a_count; i++)
    for (uint32_t k = 0; k < b_count; k++)
      if (str_equal (a[i], b[k]))
        return true;
  return a_count == 0 || b_count == 0;
}

void
lt_check_regions (const lt_check_t *check)
{
  const lt_deployment_t *d = check->deployment;
  for (uint32_t i = 0; i < d->workspace_count; i++)
    {
      const lt_deployment_workspace_t *w = &d->workspaces[i];
      const lt_deployment_route_t *first = NULL;
      uint32_t apart = 0;
      for (uint32_t k = 0; k < d->route_count && w->allowed_region_count > 0;
           k++)
        {
          const lt_deployment_route_t *route = &d->routes[k];
          if (share_region (w->allowed_regions, w->allowed_region_count,
                            route->allowed_regions,
                            route->allowed_region_count))
            continue;
          first = apart++ == 0 ? route : first;
        }
      if (apart > 0)
        lt_check_add (check,
                      apart == d->route_count ? LT_SEVERITY_ERROR
                                              : LT_SEVERITY_WARNING,
                      "workspace", w->name, str_make ("", 0),
                      "an allowed region in common with each route; %u have "
                      "none, the first is \"%.*s\"",
                      apart, STR_ARG (first->name));
    }
}
