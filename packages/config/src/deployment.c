#include "lt/config/deployment.h"

#include <stdlib.h>

#include "arena.h"
#include "index.h"
#include "lt/base/error.h"
#include "lt/config/sheet.h"
#include "regions.h"

/* Rows begin with their name; find_name in snapshot.c needs them sorted.  */
static int
compare_names (const void *a, const void *b)
{
  return str_compare (*(const str_t *)a, *(const str_t *)b);
}

static bool
has_repeated_name (const void *rows, uint32_t count, size_t size)
{
  for (uint32_t i = 1; i < count; i++)
    {
      const str_t *before
          = (const str_t *)((const char *)rows + (i - 1) * size);
      const str_t *here = (const str_t *)((const char *)rows + i * size);
      if (str_equal (*before, *here))
        return true;
    }
  return false;
}

static int
add_regions (lt_snapshot_t *s, const lt_deployment_t *d)
{
  lt_region_names_t names = { .count = 0 };
  for (uint32_t i = 0; i < d->route_count; i++)
    for (uint32_t k = 0; k < d->routes[i].allowed_region_count; k++)
      lt_region_names_add (&names, d->routes[i].allowed_regions[k]);
  for (uint32_t i = 0; i < d->workspace_count; i++)
    for (uint32_t k = 0; k < d->workspaces[i].allowed_region_count; k++)
      lt_region_names_add (&names, d->workspaces[i].allowed_regions[k]);
  return lt_regions_build (s, &names);
}

static int
add_services (lt_snapshot_t *s, const lt_deployment_t *d)
{
  s->services
      = lt_arena_alloc (s->arena, d->service_count * sizeof (*s->services));
  s->service_count = d->service_count;
  for (uint32_t i = 0; i < d->service_count; i++)
    {
      s->services[i].name = lt_arena_copy (s->arena, d->services[i].name);
      s->services[i].health_path
          = lt_arena_copy (s->arena, d->services[i].health_path);
      s->services[i].warm_up_ms = d->services[i].warm_up_ms;
      s->services[i].warm_up_rate_milli_per_s
          = d->services[i].warm_up_rate_milli_per_s;
    }
  qsort (s->services, s->service_count, sizeof (*s->services), compare_names);
  return has_repeated_name (s->services, s->service_count,
                            sizeof (*s->services))
             ? -LT_EINVAL
             : 0;
}

static int
add_workspaces (lt_snapshot_t *s, const lt_deployment_t *d)
{
  s->workspaces = lt_arena_alloc (s->arena, d->workspace_count
                                                * sizeof (*s->workspaces));
  s->workspace_count = d->workspace_count;
  for (uint32_t i = 0; i < d->workspace_count; i++)
    {
      const lt_deployment_workspace_t *from = &d->workspaces[i];
      s->workspaces[i]
          = (lt_workspace_t){ .name = lt_arena_copy (s->arena, from->name),
                              .rate_milli_per_s = from->rate_milli_per_s,
                              .burst = from->burst,
                              .priority = from->priority,
                              .unlimited = from->rate_milli_per_s == 0,
                              .allowed_regions
                              = lt_regions_mask (s, from->allowed_regions,
                                                 from->allowed_region_count) };
      s->key_count += from->key_count;
    }
  qsort (s->workspaces, s->workspace_count, sizeof (*s->workspaces),
         compare_names);
  return has_repeated_name (s->workspaces, s->workspace_count,
                            sizeof (*s->workspaces))
             ? -LT_EINVAL
             : 0;
}

static void
add_keys (lt_snapshot_t *s, const lt_deployment_t *d, str_t secret)
{
  uint32_t count = 0;
  s->keys = lt_arena_alloc (s->arena, s->key_count * sizeof (*s->keys));
  for (uint32_t i = 0; i < d->workspace_count; i++)
    {
      const lt_deployment_workspace_t *from = &d->workspaces[i];
      uint32_t workspace = lt_snapshot_find_workspace (s, from->name);
      for (uint32_t k = 0; k < from->key_count; k++)
        s->keys[count++]
            = (lt_key_t){ .name = str_make ("", 0),
                          .state = LT_KEY_SHEET,
                          .workspace = workspace,
                          .hash = lt_key_hash (secret, from->keys[k]) };
    }
}

static int
add_route (lt_snapshot_t *s, const lt_deployment_route_t *from,
           lt_route_t *route)
{
  if (from->split_count == 0)
    return -LT_EINVAL;
  *route = (lt_route_t){
    .name = lt_arena_copy (s->arena, from->name),
    .path = lt_arena_copy (s->arena, from->prefix),
    .host = lt_arena_copy (s->arena, from->host),
    .access = from->access,
    .action = from->action,
    .timeout_ms = from->timeout_ms,
    .max_body_bytes
    = s->limits.body_max_bytes > 0 ? s->limits.body_max_bytes : INT64_MAX,
    .all_workspaces = true,
    .split_count = from->split_count,
    .attempts_max = from->attempts_max,
    .latency_target_ms = from->latency_target_ms,
    .priority = from->priority,
    .allowed_regions
    = lt_regions_mask (s, from->allowed_regions, from->allowed_region_count),
  };
  route->splits
      = lt_arena_alloc (s->arena, from->split_count * sizeof (*route->splits));
  for (uint32_t i = 0; i < from->split_count; i++)
    {
      const lt_deployment_split_t *split = &from->splits[i];
      uint32_t service = lt_snapshot_find_service (s, split->service);
      if (service == LT_NO_INDEX || split->weight < 0)
        return -LT_EINVAL;
      route->splits[i]
          = (lt_split_t){ .service = service, .weight = split->weight };
    }
  route->service = route->splits[0].service;
  return 0;
}

static int
add_routes (lt_snapshot_t *s, const lt_deployment_t *d)
{
  s->routes = lt_arena_alloc (s->arena, d->route_count * sizeof (*s->routes));
  s->route_count = d->route_count;
  for (uint32_t i = 0; i < d->route_count; i++)
    {
      int error = add_route (s, &d->routes[i], &s->routes[i]);
      if (error != 0)
        return error;
    }
  qsort (s->routes, s->route_count, sizeof (*s->routes), compare_names);
  return has_repeated_name (s->routes, s->route_count, sizeof (*s->routes))
             ? -LT_EINVAL
             : 0;
}

int
lt_snapshot_from_deployment (const lt_deployment_t *deployment,
                             str_t key_secret, lt_snapshot_t **snapshot)
{
  lt_snapshot_t *s = lt_alloc (sizeof (*s));
  s->arena = lt_arena_create ();
  s->version = deployment->version;
  s->source_version = deployment->version;
  s->limits = deployment->limits;
  s->by_host = true;
  int error = add_regions (s, deployment);
  if (error == 0)
    error = add_services (s, deployment);
  if (error == 0)
    error = add_workspaces (s, deployment);
  if (error == 0)
    {
      add_keys (s, deployment, key_secret);
      error = add_routes (s, deployment);
    }
  if (error == 0)
    error = lt_snapshot_build_index (s);
  if (error != 0)
    {
      lt_snapshot_destroy (s);
      return error;
    }
  *snapshot = s;
  return 0;
}

static void
add_upstream (lt_snapshot_t *s, uint32_t service,
              const lt_deployment_upstream_t *from)
{
  s->upstreams[s->upstream_count++] = (lt_upstream_t){
    .name = lt_arena_copy (s->arena, from->name),
    .service = service,
    .region = lt_arena_intern (s->arena, from->region),
    .failure_domain = lt_arena_intern (s->arena, from->failure_domain),
    .address = lt_arena_copy (s->arena, from->address),
    .slots = from->slots,
    .drained = from->draining,
    .evacuated = from->evacuated,
    .incarnation = from->incarnation,
    .warm_until_us = from->warm_until_us,
  };
}

int
lt_snapshot_with_upstreams (const lt_snapshot_t *base, int64_t version,
                            const lt_deployment_upstream_t *upstreams,
                            uint32_t count, lt_snapshot_t **snapshot)
{
  lt_snapshot_t *s = lt_alloc (sizeof (*s));
  *s = *base;
  s->version = version;
  s->shared = lt_arena_acquire (base->arena);
  s->arena = lt_arena_create ();
  s->services
      = lt_arena_alloc (s->arena, s->service_count * sizeof (*s->services));
  s->upstreams = lt_arena_alloc (s->arena, count * sizeof (*s->upstreams));
  s->upstream_count = 0;
  for (uint32_t i = 0; i < s->service_count; i++)
    {
      lt_service_t *service = &s->services[i];
      *service = base->services[i];
      service->first_upstream = s->upstream_count;
      for (uint32_t k = 0; k < count; k++)
        if (str_equal (upstreams[k].service, service->name))
          add_upstream (s, i, &upstreams[k]);
      service->upstream_count = s->upstream_count - service->first_upstream;
    }
  int error = lt_snapshot_derive_index (base, s);
  if (error != 0)
    {
      lt_snapshot_destroy (s);
      return error;
    }
  *snapshot = s;
  return 0;
}
