#include <stdlib.h>

#include "lt/base/error.h"
#include "pools.h"

typedef struct round_robin
{
  lt_pools_t base;
  lt_node_t *node;
  uint32_t next;
} round_robin_t;

static lt_snapshot_ref_t *
pools_config (lt_pools_t *pools)
{
  return ((round_robin_t *)pools)->node->config;
}

static bool
was_tried (uint32_t upstream, const uint32_t *tried, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (tried[i] == upstream)
      return true;
  return false;
}

static int64_t
pools_pick (lt_pools_t *pools, uint32_t service, const uint32_t *tried,
            uint32_t tried_count, int64_t now_us)
{
  (void)now_us;
  round_robin_t *self = (round_robin_t *)pools;
  const lt_snapshot_t *snapshot = self->node->config->snapshot;
  const lt_service_t *s = &snapshot->services[service];
  for (uint32_t i = 0; i < s->upstream_count; i++)
    {
      uint32_t upstream = s->first_upstream + self->next++ % s->upstream_count;
      if (!snapshot->upstreams[upstream].drained
          && !was_tried (upstream, tried, tried_count))
        return upstream;
    }
  return -LT_EUNAVAILABLE;
}

static void
pools_ignore (lt_pools_t *pools, const lt_snapshot_t *snapshot,
              uint32_t upstream)
{
  (void)pools;
  (void)snapshot;
  (void)upstream;
}

static const lt_pools_vtable_t vtable = { .config = pools_config,
                                          .pick = pools_pick,
                                          .begin = pools_ignore,
                                          .end = pools_ignore };

lt_pools_t *
lt_pools_round_robin_create (lt_node_t *node)
{
  round_robin_t *self = lt_alloc (sizeof (*self));
  self->base.vtable = &vtable;
  self->node = node;
  return &self->base;
}

void
lt_pools_round_robin_destroy (lt_pools_t *pools)
{
  free (pools);
}
