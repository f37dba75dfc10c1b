#include "lt/policy/balance.h"

#include "lt/base/error.h"
#include "lt/base/hash.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Added to the load, in requests.  Of idle upstreams, those in the VM's own
   failure domain are chosen, so that fewer VMs share an upstream and each sees
   more of its load.  One more request in flight outweighs the penalty.  */
#define OTHER_DOMAIN_PENALTY 0.2
/* Share of the requests that go to the region's other failure domains.
   Without them, the upstreams of a service with little traffic would get
   requests from their own domain only, and the health module would have no
   evidence from a second one.  */
#define EXPLORE_SHARE 0.15
/* The same while the VM has other requests in flight to the service, which
   then has enough traffic to detect a failure with a smaller share.  With 0.15
   throughout, 24.5% of the requests met an upstream without a free slot;
   without any, 20.9%.  */
#define EXPLORE_BUSY_SHARE 0.06
/* Sites are planned for 60% use of their slots, so a region in which this
   share of the slots is usable serves its own requests at 85% use.  */
#define PLANNED_SHARE 0.7
#define TARGET_LOAD 0.85
/* Change of the share that leaves the region, per second and unit of error in
   load.  */
#define CORRECTION_PER_S 0.2
/* Bounds the error, so that a queue of any length changes the correction by at
   most 0.04 a second and the VMs together overshoot little.  */
#define MAX_ERROR 0.2
#define CORRECTION_INTERVAL_US 500000LL
/* Reported load is ignored when it is older than this.  */
#define CORRECTION_STALE_S 5.0
#define MIN_SLOW_START_WEIGHT 0.05
/* Back-off after shed responses.  */
#define SHED_FIRST_US 100000LL
#define SHED_MAX_US 5000000LL
#define SHED_MAX_STEPS 6
/* Percentage of an upstream's connections that the VMs of each tier may use
   together.  The rest is for connections that are closing.  */
#define TIER_PERCENT 30

/* Distance from this VM to an upstream.  */
typedef enum tier
{
  TIER_DOMAIN, /**< In the same failure domain. */
  TIER_REGION, /**< In another failure domain of the region. */
  TIER_REMOTE, /**< In another region. */
  TIERS
} tier_t;

typedef struct upstream_state
{
  tier_t tier;
  uint32_t domain; /**< Index of the failure domain within the pool. */
  int32_t slots;
  int32_t connections;
  uint64_t rank; /**< Rendezvous hash of this VM and the upstream. */
  bool usable;
  bool member; /**< In this VM's subset. */
  uint32_t in_flight;
  double peers_in_flight; /**< In flight from other VMs, as last reported. */
  uint64_t last_use;      /**< The pool's use_count at that time. */
  uint64_t passed;        /**< Last choice in which it was passed over. */
  int64_t slow_since_us;  /**< -1: no slow start. */
  uint32_t shed_steps;
  int64_t shed_until_us;
} upstream_state_t;

struct lt_balance_pool
{
  lt_balance_options_t options;
  uint32_t count;
  int32_t limit; /**< Maximum of connections of this VM to one upstream. */
  upstream_state_t *by_upstream;
  uint32_t *order;    /**< Indexes by tier, then by falling rank. */
  uint64_t use_count; /**< Counts uses, to order upstreams by the last. */
  uint64_t choice;    /**< Number of the current choice. */
  uint64_t in_flight;
  double correction; /**< Added to the spill by capacity. */
  int64_t correction_us;
};

/* Returns the index of the first upstream in the failure domain of U.  */
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
by_tier_and_rank (const void *a, const void *b, void *by_upstream)
{
  const upstream_state_t *x
      = &((upstream_state_t *)by_upstream)[*(const uint32_t *)a];
  const upstream_state_t *y
      = &((upstream_state_t *)by_upstream)[*(const uint32_t *)b];
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

/* Sets MEMBERS to the number of upstreams of each tier that this VM may use
   with LIMIT connections each.  Returns false when the VMs of some tier would
   exceed the upstreams' connections even with one upstream per VM.  */
static bool
fit_members (const lt_balance_pool_t *pool, int32_t limit,
             uint32_t members[TIERS])
{
  int64_t connections[TIERS] = { 0 };
  uint32_t counts[TIERS] = { 0 };
  bool fits = true;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      connections[pool->by_upstream[u].tier]
          += pool->by_upstream[u].connections;
      counts[pool->by_upstream[u].tier]++;
    }
  for (tier_t tier = TIER_DOMAIN; tier < TIERS; tier++)
    {
      members[tier] = counts[tier];
      int64_t wanted = (int64_t)tier_vms (&pool->options, tier) * limit;
      if (wanted <= 0 || counts[tier] == 0)
        continue;
      int64_t fitting = connections[tier] * TIER_PERCENT / 100 / wanted;
      fits &= fitting >= 1;
      if (fitting < (int64_t)counts[tier])
        members[tier] = fitting < 1 ? 1 : (uint32_t)fitting;
    }
  return fits;
}

/* Chooses the subset: in each tier, the usable upstreams of highest rank.  */
static void
choose_subset (lt_balance_pool_t *pool)
{
  uint32_t left[TIERS];
  pool->limit = pool->options.pool_connections;
  while (!fit_members (pool, pool->limit, left) && pool->limit > 1)
    pool->limit--;
  for (uint32_t i = 0; i < pool->count; i++)
    {
      upstream_state_t *entry = &pool->by_upstream[pool->order[i]];
      entry->member = entry->usable && left[entry->tier] > 0;
      left[entry->tier] -= entry->member;
    }
}

lt_balance_pool_t *
lt_balance_pool_create (const lt_balance_options_t *options,
                        const lt_balance_upstream_t *upstreams, uint32_t count)
{
  lt_balance_pool_t *pool = lt_alloc (sizeof *pool);
  pool->options = *options;
  pool->count = count;
  pool->by_upstream = lt_alloc ((count + 1) * sizeof *pool->by_upstream);
  pool->order = lt_alloc ((count + 1) * sizeof *pool->order);
  for (uint32_t u = 0; u < count; u++)
    {
      pool->by_upstream[u]
          = (upstream_state_t){ .tier = tier_of (options, &upstreams[u]),
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
             pool->by_upstream);
  /* The strings belong to the caller and are not used after this.  */
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
  free (pool->by_upstream);
  free (pool->order);
  free (pool);
}

static double
slow_start_weight (const lt_balance_pool_t *pool,
                   const upstream_state_t *entry, int64_t now_us)
{
  if (entry->slow_since_us < 0)
    return 1;
  double age = (double)(now_us - entry->slow_since_us);
  double weight = age / (double)pool->options.slow_start_us;
  return fmin (fmax (weight, MIN_SLOW_START_WEIGHT), 1);
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
        && pool->by_upstream[request->tried[i]].domain == domain)
      return true;
  return false;
}

/* The upstreams from which one choice is made.  */
typedef struct scope
{
  tier_t first;
  tier_t last;
  bool spread;     /**< Leaves out failure domains that were tried. */
  bool slow_start; /**< Upstreams in slow start may be passed over. */
  bool outside;    /**< Usable upstreams outside of this VM's subset. */
} scope_t;

static bool
is_eligible (const lt_balance_pool_t *pool,
             const lt_balance_request_t *request, scope_t scope, uint32_t u,
             int64_t now_us)
{
  const upstream_state_t *entry = &pool->by_upstream[u];
  if (request->allowed != NULL && !request->allowed[u])
    return false;
  if (scope.outside && (entry->member || !entry->usable))
    return false;
  if ((!entry->member && !scope.outside) || entry->tier < scope.first
      || entry->tier > scope.last || now_us < entry->shed_until_us
      || was_tried (request, u))
    return false;
  if (scope.slow_start && entry->passed == pool->choice)
    return false;
  return !scope.spread || !domain_was_tried (pool, request, entry->domain);
}

/* Returns the load after one more request.  */
static double
load_of (const upstream_state_t *entry)
{
  double penalty = entry->tier == TIER_REGION ? OTHER_DOMAIN_PENALTY : 0;
  return (entry->in_flight + 1 + penalty) / entry->slots;
}

/* Returns the upstream of SCOPE with the lowest load; of several, the one
   unused for the longest time.  */
static int
least_loaded (const lt_balance_pool_t *pool,
              const lt_balance_request_t *request, scope_t scope,
              int64_t now_us)
{
  int best = -LT_EUNAVAILABLE;
  double best_load = 0;
  for (uint32_t u = 0; u < pool->count; u++)
    {
      const upstream_state_t *entry = &pool->by_upstream[u];
      if (!is_eligible (pool, request, scope, u, now_us))
        continue;
      double load = load_of (entry);
      if (best >= 0 && load > best_load)
        continue;
      if (best >= 0 && load == best_load
          && entry->last_use > pool->by_upstream[best].last_use)
        continue;
      best = (int)u;
      best_load = load;
    }
  return best;
}

/* Chooses from SCOPE.  An upstream in slow start is passed over at random, so
   that it gets a fair share times its weight.  */
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
      upstream_state_t *entry = &pool->by_upstream[best];
      double weight = slow_start_weight (pool, entry, now_us);
      if (weight >= 1 || lt_rng_unit (rng) < weight)
        return best;
      entry->last_use = ++pool->use_count;
      entry->passed = pool->choice;
    }
}

/* Slots and load of this region (index 0) and of all other regions (1).  */
typedef struct region_use
{
  double slots[2];
  double usable[2]; /**< Slots of usable upstreams. */
  double busy[2];   /**< Requests in flight to usable upstreams. */
} region_use_t;

static region_use_t
measure_use (const lt_balance_pool_t *pool)
{
  region_use_t use = { { 0 }, { 0 }, { 0 } };
  for (uint32_t u = 0; u < pool->count; u++)
    {
      const upstream_state_t *entry = &pool->by_upstream[u];
      int far = entry->tier == TIER_REMOTE;
      use.slots[far] += entry->slots;
      if (!entry->usable)
        continue;
      use.usable[far] += entry->slots;
      use.busy[far] += entry->in_flight + entry->peers_in_flight;
    }
  return use;
}

/* Returns the share of requests that leaves the region because of its usable
   capacity, before the correction.  */
static double
spill_by_capacity (const region_use_t *use)
{
  if (use->usable[1] <= 0)
    return 0;
  if (use->usable[0] <= 0)
    return 1;
  double usable_share = use->usable[0] / use->slots[0];
  return usable_share < PLANNED_SHARE ? 1 - usable_share / PLANNED_SHARE : 0;
}

/* Changes the correction gradually, so that the region's load approaches its
   target.  Reported load is up to a second old; when VMs followed it directly,
   all of them turned to the same upstreams or regions at once.  */
static void
update_correction (lt_balance_pool_t *pool, int64_t now_us)
{
  region_use_t use = measure_use (pool);
  double capacity = spill_by_capacity (&use);
  double elapsed_s = (double)(now_us - pool->correction_us) / 1e6;
  bool first = pool->correction_us == 0 || elapsed_s > CORRECTION_STALE_S;
  pool->correction_us = now_us;
  if (first || use.usable[0] <= 0 || use.usable[1] <= 0)
    return;
  double near = use.busy[0] / use.usable[0];
  double far = use.busy[1] / use.usable[1];
  double error = far < near ? near - TARGET_LOAD : -TARGET_LOAD;
  error = fmin (fmax (error, -MAX_ERROR), MAX_ERROR);
  pool->correction += CORRECTION_PER_S * error * elapsed_s;
  pool->correction = fmin (fmax (pool->correction, -capacity), 1 - capacity);
}

/* Returns the probability with which a request leaves the region.  */
static double
spill_share (const lt_balance_pool_t *pool, int64_t now_us)
{
  region_use_t use = measure_use (pool);
  double share = spill_by_capacity (&use);
  double age_s = (double)(now_us - pool->correction_us) / 1e6;
  if (pool->correction_us > 0 && age_s <= CORRECTION_STALE_S)
    share += pool->correction;
  return share;
}

int
lt_balance_pick (lt_balance_pool_t *pool, const lt_balance_request_t *request,
                 lt_rng_t *rng, int64_t now_us)
{
  static const lt_balance_request_t none = { .tried = NULL };
  if (!request)
    request = &none;
  bool spill = lt_rng_unit (rng) < spill_share (pool, now_us);
  double explore_share
      = pool->in_flight > 0 ? EXPLORE_BUSY_SHARE : EXPLORE_SHARE;
  bool explore = lt_rng_unit (rng) < explore_share;
  for (int spread = request->tried_count > 0; spread >= 0; spread--)
    for (int slow_start = 1; slow_start >= 0; slow_start--)
      {
        scope_t scopes[]
            = { { explore ? TIER_REGION : TIER_DOMAIN, TIER_REGION, spread,
                  slow_start, false },
                { TIER_DOMAIN, TIER_REGION, spread, slow_start, false },
                { TIER_REMOTE, TIER_REMOTE, spread, slow_start, false } };
        for (int i = 0; i < 3; i++)
          {
            scope_t scope = scopes[spill ? 2 - i : i];
            int found = pick_in (pool, request, scope, rng, now_us);
            if (found >= 0)
              return found;
          }
      }
  scope_t outside = { TIER_DOMAIN, TIER_REMOTE, false, false, true };
  return request->allowed == NULL
             ? -LT_EUNAVAILABLE
             : pick_in (pool, request, outside, rng, now_us);
}

void
lt_balance_begin (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream >= pool->count)
    return;
  pool->in_flight++;
  pool->by_upstream[upstream].in_flight++;
  pool->by_upstream[upstream].last_use = ++pool->use_count;
}

void
lt_balance_end (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream >= pool->count || pool->by_upstream[upstream].in_flight == 0)
    return;
  pool->in_flight--;
  pool->by_upstream[upstream].in_flight--;
}

uint32_t
lt_balance_in_flight (const lt_balance_pool_t *pool, uint32_t upstream)
{
  return upstream < pool->count ? pool->by_upstream[upstream].in_flight : 0;
}

void
lt_balance_set_usable (lt_balance_pool_t *pool, uint32_t upstream, bool usable,
                       int64_t now_us)
{
  if (upstream >= pool->count || pool->by_upstream[upstream].usable == usable)
    return;
  upstream_state_t *entry = &pool->by_upstream[upstream];
  entry->usable = usable;
  entry->slow_since_us = usable ? now_us : -1;
  entry->shed_steps = 0;
  entry->shed_until_us = 0;
  choose_subset (pool);
}

void
lt_balance_set_peer_load (lt_balance_pool_t *pool, uint32_t upstream,
                          double in_flight, int64_t now_us)
{
  if (upstream >= pool->count)
    return;
  pool->by_upstream[upstream].peers_in_flight = fmax (in_flight, 0);
  if (now_us - pool->correction_us >= CORRECTION_INTERVAL_US)
    update_correction (pool, now_us);
}

void
lt_balance_record_shed (lt_balance_pool_t *pool, uint32_t upstream,
                        int64_t retry_after_us, lt_rng_t *rng, int64_t now_us)
{
  if (upstream >= pool->count)
    return;
  upstream_state_t *entry = &pool->by_upstream[upstream];
  int64_t max_wait = SHED_MAX_US;
  if (retry_after_us > 0 && retry_after_us < max_wait)
    max_wait = retry_after_us;
  int64_t wait = SHED_FIRST_US << entry->shed_steps;
  if (entry->shed_steps < SHED_MAX_STEPS)
    entry->shed_steps++;
  if (wait > max_wait)
    wait = max_wait;
  /* The jitter prevents all VMs from sending requests again at once.  */
  wait = (int64_t)((double)wait * (0.5 + 0.5 * lt_rng_unit (rng)));
  if (now_us + wait > entry->shed_until_us)
    entry->shed_until_us = now_us + wait;
}

void
lt_balance_record_accepted (lt_balance_pool_t *pool, uint32_t upstream)
{
  if (upstream < pool->count)
    pool->by_upstream[upstream].shed_steps = 0;
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
  return upstream < pool->count && pool->by_upstream[upstream].member;
}
