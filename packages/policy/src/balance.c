#include "lt/policy/balance.h"

#include "lt/base/error.h"
#include "lt/base/hash.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* In requests.  Among idle upstreams those of the own failure domain win, so
   fewer VMs share an upstream and each knows more of its load; one more
   request in flight outweighs it.  */
#define OTHER_DOMAIN_PENALTY 0.2
/* Part of the requests that go to the region's other failure domains.  Without
   them an idle service is seen from its own domain only, and the health module
   has no evidence from a second one.  */
#define EXPLORE_SHARE 0.15
/* The same while the VM has other requests in flight to the service: such a
   service is busy enough that fewer show a failure.  With 0.15 throughout,
   0.245 of the requests met a full upstream, without any 0.209.  */
#define EXPLORE_BUSY_SHARE 0.06
/* Sites plan for 60% use, so a region that has this share of its slots carries
   its own demand at 85% use.  */
#define PLANNED_SHARE 0.7
#define TARGET_LOAD 0.85
#define CORRECTION_PER_S 0.2
/* A queue of any length moves the correction by at most 0.04 a second, so that
   the VMs' joint overshoot stays small.  */
#define MOST_ERROR 0.2
#define CORRECTION_INTERVAL_US 500000LL
/* Shared load older than this says nothing about the present.  */
#define CORRECTION_STALE_S 5.0
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
  double shared;         /**< In-flight of the other VMs, as last heard. */
  uint64_t picked;       /**< Number of the last request. */
  uint64_t passed;       /**< Last choice in which it gave up its turn. */
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
  uint64_t begun;  /**< Requests so far. */
  uint64_t choice;
  uint64_t in_flight;
  double correction; /**< Of the spill by capacity. */
  int64_t corrected_us;
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

/* Which upstreams one choice may take.  */
typedef struct scope
{
  tier_t first;
  tier_t last;
  bool spread;     /**< Not in a failure domain that was tried. */
  bool slow_start; /**< Upstreams in slow start may pass. */
} scope_t;

static bool
is_eligible (const lt_balance_pool_t *pool,
             const lt_balance_request_t *request, scope_t scope, uint32_t u,
             int64_t now_us)
{
  const item_t *item = &pool->items[u];
  if (!item->member || item->tier < scope.first || item->tier > scope.last
      || now_us < item->shed_until_us || was_tried (request, u))
    return false;
  if (scope.slow_start && item->passed == pool->choice)
    return false;
  return !scope.spread || !domain_was_tried (pool, request, item->domain);
}

/* Load after one more request.  */
static double
load_of (const item_t *item)
{
  double penalty = item->tier == TIER_REGION ? OTHER_DOMAIN_PENALTY : 0;
  return (item->in_flight + 1 + penalty) / item->slots;
}

/* Returns the member of SCOPE with the lowest load, the longest unused one of
   several.  */
static int
least_loaded (const lt_balance_pool_t *pool,
              const lt_balance_request_t *request, scope_t scope,
              int64_t now_us)
{
  int best = -LT_EUNAVAILABLE;
  double best_load = 0;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      const item_t *item = &pool->items[u];
      if (!is_eligible (pool, request, scope, u, now_us))
        continue;
      double load = load_of (item);
      if (best >= 0 && load > best_load)
        continue;
      if (best >= 0 && load == best_load
          && item->picked > pool->items[best].picked)
        continue;
      best = (int)u;
      best_load = load;
    }
  return best;
}

/* An upstream in slow start gives up a part of its turns, so that it gets its
   weight's part of a fair share.  */
static int
pick_in (lt_balance_pool_t *pool, const lt_balance_request_t *request,
         scope_t scope, lt_rng_t *rng, int64_t now_us)
{
  pool->choice++;
  for (;;)
    {
      int best = least_loaded (pool, request, scope, now_us);
      if (best < 0 || !scope.slow_start)
        return best;
      item_t *item = &pool->items[best];
      double weight = slow_start_weight (pool, item, now_us);
      if (weight >= 1 || lt_rng_unit (rng) < weight)
        return best;
      item->picked = ++pool->begun;
      item->passed = pool->choice;
    }
}

/* Sums slots and load of the region (0) and the other regions (1).  */
typedef struct region_use
{
  double slots[2];
  double usable[2];
  double busy[2];
} region_use_t;

static region_use_t
measure_use (const lt_balance_pool_t *pool)
{
  region_use_t use = { { 0 }, { 0 }, { 0 } };
  for (uint32_t u = 0; u < pool->count; u++)
    {
      const item_t *item = &pool->items[u];
      int far = item->tier == TIER_REMOTE;
      use.slots[far] += item->slots;
      if (!item->usable)
        continue;
      use.usable[far] += item->slots;
      use.busy[far] += item->in_flight + item->shared;
    }
  return use;
}

/* Returns the part of requests that leaves the region by capacity alone.  */
static double
spill_by_capacity (const region_use_t *use)
{
  if (use->usable[1] <= 0)
    return 0;
  if (use->usable[0] <= 0)
    return 1;
  double have = use->usable[0] / use->slots[0];
  return have < PLANNED_SHARE ? 1 - have / PLANNED_SHARE : 0;
}

/* Moves the correction so that the region's load approaches its target.
   Shared load is up to a second old; following it directly made all VMs turn
   to the same upstreams or regions at once.  */
static void
correct_spill (lt_balance_pool_t *pool, int64_t now_us)
{
  region_use_t use = measure_use (pool);
  double capacity = spill_by_capacity (&use);
  double elapsed_s = (double)(now_us - pool->corrected_us) / 1e6;
  bool first = pool->corrected_us == 0 || elapsed_s > CORRECTION_STALE_S;
  pool->corrected_us = now_us;
  if (first || use.usable[0] <= 0 || use.usable[1] <= 0)
    return;
  double near = use.busy[0] / use.usable[0];
  double far = use.busy[1] / use.usable[1];
  double error = far < near ? near - TARGET_LOAD : -TARGET_LOAD;
  error = fmin (fmax (error, -MOST_ERROR), MOST_ERROR);
  pool->correction += CORRECTION_PER_S * error * elapsed_s;
  pool->correction = fmin (fmax (pool->correction, -capacity), 1 - capacity);
}

/* Returns how likely a request leaves the region.  */
static double
spill_share (const lt_balance_pool_t *pool, int64_t now_us)
{
  region_use_t use = measure_use (pool);
  double share = spill_by_capacity (&use);
  double age_s = (double)(now_us - pool->corrected_us) / 1e6;
  if (pool->corrected_us > 0 && age_s <= CORRECTION_STALE_S)
    share += pool->correction;
  return share;
}

int
lt_balance_pick (lt_balance_pool_t *pool, const lt_balance_request_t *request,
                 lt_rng_t *rng, int64_t now_us)
{
  static const lt_balance_request_t none = { NULL, 0 };
  if (!request)
    request = &none;
  bool spill = lt_rng_unit (rng) < spill_share (pool, now_us);
  double exploring = pool->in_flight > 0 ? EXPLORE_BUSY_SHARE : EXPLORE_SHARE;
  bool explore = lt_rng_unit (rng) < exploring;
  for (int spread = request->tried_count > 0; spread >= 0; spread--)
    for (int slow_start = 1; slow_start >= 0; slow_start--)
      {
        scope_t scopes[]
            = { { explore ? TIER_REGION : TIER_DOMAIN, TIER_REGION, spread,
                  slow_start },
                { TIER_DOMAIN, TIER_REGION, spread, slow_start },
                { TIER_REMOTE, TIER_REMOTE, spread, slow_start } };
        for (int i = 0; i < 3; i++)
          {
            scope_t scope = scopes[spill ? 2 - i : i];
            int found = pick_in (pool, request, scope, rng, now_us);
            if (found >= 0)
              return found;
          }
      }
  return -LT_EUNAVAILABLE;
}

void
lt_balance_begin (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream >= pool->count)
    return;
  pool->in_flight++;
  pool->items[upstream].in_flight++;
  pool->items[upstream].picked = ++pool->begun;
}

void
lt_balance_end (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream >= pool->count || pool->items[upstream].in_flight == 0)
    return;
  pool->in_flight--;
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
  if (now_us - pool->corrected_us >= CORRECTION_INTERVAL_US)
    correct_spill (pool, now_us);
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
