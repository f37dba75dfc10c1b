#include "lt/policy/balance.h"

#include "lt/base/error.h"
#include "lt/base/hash.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Shared load older than this says nothing about the present.  */
#define SHARED_LOAD_VALID_US 5000000LL
/* Cross-region spill starts at this load of the region's slots and is complete
   at the second one.  */
#define SPILL_FROM 0.85
#define SPILL_ALL 1.1
/* Without shared load: sites plan for 60% use, so a region that has this share
   of its slots carries its own demand at 85% use.  */
#define PLANNED_SHARE 0.7
#define LEAST_WEIGHT 0.05
#define SHED_FIRST_US 100000LL
#define SHED_LONGEST_US 5000000LL
#define SHED_MOST_STEPS 6
/* Connections that each tier of VMs may use of an upstream, in percent.  The
   rest is left for connections that are closing.  */
#define TIER_PERCENT 30

typedef enum tier
{
  TIER_DOMAIN,
  TIER_REGION,
  TIER_REMOTE,
  TIERS
} tier_t;

typedef struct item
{
  tier_t tier;
  uint32_t domain; /**< Index of the failure domain within the pool. */
  int32_t slots;
  int32_t connections;
  uint64_t rank; /**< Rendezvous weight for this VM. */
  bool usable;
  bool member; /**< In this VM's subset. */
  uint32_t in_flight;
  double shared;
  int64_t shared_us;
  int64_t slow_since_us; /**< -1: no slow start. */
  uint32_t shed_steps;
  int64_t shed_until_us;
} item_t;

struct lt_balance_pool
{
  lt_balance_options_t options;
  uint32_t count;
  int32_t limit; /**< Connections to one upstream. */
  item_t *items;
  uint32_t *order; /**< Indexes by tier, then by falling rank. */
  double *weights; /**< Scratch of one choice. */
};

static uint32_t
domain_index (const lt_balance_upstream_t *upstreams, uint32_t u)
{
  uint32_t first = 0;
  while (!str_equal (upstreams[first].failure_domain,
                     upstreams[u].failure_domain))
    first++;
  return first;
}

static tier_t
tier_of (const lt_balance_options_t *options,
         const lt_balance_upstream_t *upstream)
{
  if (!str_equal (options->region, upstream->region))
    return TIER_REMOTE;
  return str_equal (options->failure_domain, upstream->failure_domain)
             ? TIER_DOMAIN
             : TIER_REGION;
}

static int
by_tier_and_rank (const void *a, const void *b, void *items)
{
  const item_t *x = &((item_t *)items)[*(const uint32_t *)a];
  const item_t *y = &((item_t *)items)[*(const uint32_t *)b];
  if (x->tier != y->tier)
    return x->tier < y->tier ? -1 : 1;
  return (x->rank < y->rank) - (x->rank > y->rank);
}

static uint32_t
tier_vms (const lt_balance_options_t *options, tier_t tier)
{
  uint32_t near = options->domain_vms;
  uint32_t far = options->region_vms;
  if (tier == TIER_DOMAIN)
    return near;
  if (tier == TIER_REGION)
    return far > near ? far - near : 0;
  return options->vms > far ? options->vms - far : 0;
}

/* Sets how many upstreams of each tier this VM may use with LIMIT connections
   each.  Returns false when the VMs of some tier exceed the connections even
   with one upstream for each VM.  */
static bool
fit_members (const lt_balance_pool_t *pool, int32_t limit,
             uint32_t members[TIERS])
{
  int64_t connections[TIERS] = { 0 };
  uint32_t counts[TIERS] = { 0 };
  bool fits = true;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      connections[pool->items[u].tier] += pool->items[u].connections;
      counts[pool->items[u].tier]++;
    }
  for (tier_t tier = TIER_DOMAIN; tier < TIERS; tier++)
    {
      members[tier] = counts[tier];
      int64_t wanted = (int64_t)tier_vms (&pool->options, tier) * limit;
      if (wanted <= 0 || counts[tier] == 0)
        continue;
      int64_t most = connections[tier] * TIER_PERCENT / 100 / wanted;
      fits &= most >= 1;
      if (most < (int64_t)counts[tier])
        members[tier] = most < 1 ? 1 : (uint32_t)most;
    }
  return fits;
}

/* Chooses the members: in each tier the usable upstreams of highest rank.  */
static void
choose_subset (lt_balance_pool_t *pool)
{
  uint32_t left[TIERS];
  pool->limit = pool->options.pool_connections;
  while (!fit_members (pool, pool->limit, left) && pool->limit > 1)
    pool->limit--;
  for (uint32_t i = 0; i < pool->count; i++)
    {
      item_t *item = &pool->items[pool->order[i]];
      item->member = item->usable && left[item->tier] > 0;
      left[item->tier] -= item->member;
    }
}

lt_balance_pool_t *
lt_balance_pool_create (const lt_balance_options_t *options,
                        const lt_balance_upstream_t *upstreams, uint32_t count)
{
  lt_balance_pool_t *pool = lt_alloc (sizeof *pool);
  pool->options = *options;
  pool->count = count;
  pool->items = lt_alloc ((count + 1) * sizeof *pool->items);
  pool->order = lt_alloc ((count + 1) * sizeof *pool->order);
  pool->weights = lt_alloc ((count + 1) * sizeof *pool->weights);
  for (uint32_t u = 0; u < count; u++)
    {
      pool->items[u] = (item_t){ .tier = tier_of (options, &upstreams[u]),
                                 .domain = domain_index (upstreams, u),
                                 .slots = upstreams[u].slots,
                                 .connections = upstreams[u].connections,
                                 .rank = lt_rendezvous (options->vm_id,
                                                        upstreams[u].name),
                                 .usable = true,
                                 .slow_since_us = -1 };
      pool->order[u] = u;
    }
  if (count > 0)
    qsort_r (pool->order, count, sizeof *pool->order, by_tier_and_rank,
             pool->items);
  /* The texts belong to the caller and are not needed any more.  */
  pool->options.vm_id = (str_t){ 0 };
  pool->options.region = (str_t){ 0 };
  pool->options.failure_domain = (str_t){ 0 };
  choose_subset (pool);
  return pool;
}

void
lt_balance_pool_destroy (lt_balance_pool_t *pool)
{
  if (!pool)
    return;
  free (pool->items);
  free (pool->order);
  free (pool->weights);
  free (pool);
}

static double
slow_start_weight (const lt_balance_pool_t *pool, const item_t *item,
                   int64_t now_us)
{
  if (item->slow_since_us < 0)
    return 1;
  double age = (double)(now_us - item->slow_since_us);
  double weight = age / (double)pool->options.slow_start_us;
  return fmin (fmax (weight, LEAST_WEIGHT), 1);
}

static double
shared_load (const item_t *item, int64_t now_us)
{
  bool fresh = item->shared_us > 0
               && now_us - item->shared_us <= SHARED_LOAD_VALID_US;
  return fresh ? item->shared : 0;
}

static bool
was_tried (const lt_balance_request_t *request, uint32_t u)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == u)
      return true;
  return false;
}

static bool
domain_was_tried (const lt_balance_pool_t *pool,
                  const lt_balance_request_t *request, uint32_t domain)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] < pool->count
        && pool->items[request->tried[i]].domain == domain)
      return true;
  return false;
}

/* Which upstreams one draw may take.  */
typedef struct scope
{
  tier_t first;
  tier_t last;
  bool spread; /**< Not in a failure domain that was tried. */
} scope_t;

/* Sets the weights of the upstreams in SCOPE and returns their sum.  */
static double
weigh (lt_balance_pool_t *pool, const lt_balance_request_t *request,
       scope_t scope, int64_t now_us)
{
  double sum = 0;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      const item_t *item = &pool->items[u];
      bool eligible = item->member && item->tier >= scope.first
                      && item->tier <= scope.last
                      && now_us >= item->shed_until_us
                      && !was_tried (request, u);
      if (eligible && scope.spread)
        eligible = !domain_was_tried (pool, request, item->domain);
      pool->weights[u] = 0;
      if (eligible)
        pool->weights[u]
            = item->slots * slow_start_weight (pool, item, now_us);
      sum += pool->weights[u];
    }
  return sum;
}

static int
draw (const lt_balance_pool_t *pool, double sum, lt_rng_t *rng)
{
  double left = lt_rng_unit (rng) * sum;
  int last = -LT_EUNAVAILABLE;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      if (pool->weights[u] <= 0)
        continue;
      last = (int)u;
      left -= pool->weights[u];
      if (left < 0)
        break;
    }
  return last;
}

/* Load after one more request; the one more keeps an idle upstream in slow
   start from winning every comparison.  */
static double
load_of (const lt_balance_pool_t *pool, int u, int64_t now_us)
{
  const item_t *item = &pool->items[u];
  double weight = slow_start_weight (pool, item, now_us);
  double busy = item->in_flight + shared_load (item, now_us);
  return (busy + 1) / (item->slots * weight);
}

/* Two choices: the first from SCOPE's nearest tier, the second from all of
   SCOPE.  Equal loads are decided by chance: otherwise an idle service would
   be seen from its own failure domains only, and the health module would have
   no evidence from a second one.  */
static int
pick_in (lt_balance_pool_t *pool, const lt_balance_request_t *request,
         scope_t scope, lt_rng_t *rng, int64_t now_us)
{
  int near = -LT_EUNAVAILABLE;
  scope_t nearest = { scope.first, scope.first, scope.spread };
  double sum = weigh (pool, request, nearest, now_us);
  if (sum > 0)
    near = draw (pool, sum, rng);
  sum = weigh (pool, request, scope, now_us);
  if (sum <= 0)
    return -LT_EUNAVAILABLE;
  if (near < 0)
    near = draw (pool, sum, rng);
  if (sum > pool->weights[near])
    {
      sum -= pool->weights[near];
      pool->weights[near] = 0;
    }
  int other = draw (pool, sum, rng);
  double near_load = load_of (pool, near, now_us);
  double other_load = load_of (pool, other, now_us);
  if (other_load == near_load)
    return lt_rng_unit (rng) < 0.5 ? other : near;
  return other_load < near_load ? other : near;
}

/* Returns how likely a request leaves the region.  */
static double
spill_share (const lt_balance_pool_t *pool, int64_t now_us)
{
  double slots[2] = { 0, 0 };
  double usable[2] = { 0, 0 };
  double busy[2] = { 0, 0 };
  bool shared = false;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      const item_t *item = &pool->items[u];
      int far = item->tier == TIER_REMOTE;
      slots[far] += item->slots;
      if (!item->usable)
        continue;
      shared |= item->shared_us > 0
                && now_us - item->shared_us <= SHARED_LOAD_VALID_US;
      usable[far] += item->slots;
      busy[far] += item->in_flight + shared_load (item, now_us);
    }
  if (usable[1] <= 0)
    return 0;
  if (usable[0] <= 0)
    return 1;
  if (!shared)
    {
      double have = usable[0] / slots[0];
      return have < PLANNED_SHARE ? 1 - have / PLANNED_SHARE : 0;
    }
  double near_load = busy[0] / usable[0];
  double far_load = busy[1] / usable[1];
  if (near_load <= SPILL_FROM || far_load >= near_load)
    return 0;
  return fmin ((near_load - SPILL_FROM) / (SPILL_ALL - SPILL_FROM), 1);
}

int
lt_balance_pick (lt_balance_pool_t *pool, const lt_balance_request_t *request,
                 lt_rng_t *rng, int64_t now_us)
{
  static const lt_balance_request_t none = { NULL, 0 };
  if (!request)
    request = &none;
  bool spill = lt_rng_unit (rng) < spill_share (pool, now_us);
  for (int spread = request->tried_count > 0; spread >= 0; spread--)
    {
      scope_t near = { TIER_DOMAIN, TIER_REGION, spread };
      scope_t far = { TIER_REMOTE, TIER_REMOTE, spread };
      int found = pick_in (pool, request, spill ? far : near, rng, now_us);
      if (found >= 0)
        return found;
      found = pick_in (pool, request, spill ? near : far, rng, now_us);
      if (found >= 0)
        return found;
    }
  return -LT_EUNAVAILABLE;
}

void
lt_balance_begin (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream < pool->count)
    pool->items[upstream].in_flight++;
}

void
lt_balance_end (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream < pool->count && pool->items[upstream].in_flight > 0)
    pool->items[upstream].in_flight--;
}

uint32_t
lt_balance_in_flight (const lt_balance_pool_t *pool, uint32_t upstream)
{
  return upstream < pool->count ? pool->items[upstream].in_flight : 0;
}

void
lt_balance_set_usable (lt_balance_pool_t *pool, uint32_t upstream, bool usable,
                       int64_t now_us)
{
  if (upstream >= pool->count || pool->items[upstream].usable == usable)
    return;
  item_t *item = &pool->items[upstream];
  item->usable = usable;
  item->slow_since_us = usable ? now_us : -1;
  item->shed_steps = 0;
  item->shed_until_us = 0;
  choose_subset (pool);
}

void
lt_balance_set_shared_load (lt_balance_pool_t *pool, uint32_t upstream,
                            double in_flight, int64_t now_us)
{
  if (upstream >= pool->count)
    return;
  pool->items[upstream].shared = fmax (in_flight, 0);
  pool->items[upstream].shared_us = now_us;
}

void
lt_balance_shed (lt_balance_pool_t *pool, uint32_t upstream,
                 int64_t retry_after_us, lt_rng_t *rng, int64_t now_us)
{
  if (upstream >= pool->count)
    return;
  item_t *item = &pool->items[upstream];
  int64_t most = SHED_LONGEST_US;
  if (retry_after_us > 0 && retry_after_us < most)
    most = retry_after_us;
  int64_t wait = SHED_FIRST_US << item->shed_steps;
  if (item->shed_steps < SHED_MOST_STEPS)
    item->shed_steps++;
  if (wait > most)
    wait = most;
  /* The jitter keeps VMs from coming back all at once.  */
  wait = (int64_t)((double)wait * (0.5 + 0.5 * lt_rng_unit (rng)));
  if (now_us + wait > item->shed_until_us)
    item->shed_until_us = now_us + wait;
}

void
lt_balance_accepted (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream < pool->count)
    pool->items[upstream].shed_steps = 0;
}

void
lt_balance_set_vms (lt_balance_pool_t *pool, uint32_t vms, uint32_t region_vms,
                    uint32_t domain_vms)
{
  pool->options.vms = vms;
  pool->options.region_vms = region_vms;
  pool->options.domain_vms = domain_vms;
  choose_subset (pool);
}

int32_t
lt_balance_connection_limit (const lt_balance_pool_t *pool)
{
  return pool->limit;
}

bool
lt_balance_in_subset (const lt_balance_pool_t *pool, uint32_t upstream)
{
  return upstream < pool->count && pool->items[upstream].member;
}
