/* Simulates the rate limiter on a fleet and prints the requests that it
   refused within the rate, waits, messages and table calls.  For comparison,
   the same requests are also offered to equal static shares and to a central
   counter.

   Usage: policy_bench_limit [seed...]
   LT_BENCH_ONLY=SCENARIO runs one scenario, LT_BENCH_EACH prints each
   workspace.  */
#include <math.h>

#include "../test/limit_world.h"
#include "lt/base/clock.h"
#include "lt/base/hash.h"
#include "lt/base/metrics.h"

#define VMS 40
#define VIEW_DELAY_US (3 * LT_US_PER_S)

typedef struct bucket
{
  double level;
  int64_t at_us;
} bucket_t;

typedef struct tally
{
  /* Requests, and admissions by one ideal bucket, by the rate limiter, by
     equal static shares and by a central counter.  */
  uint64_t offered, ideal, shares, fixed, central;
  uint64_t excess; /* Admissions above rate and burst. */
} tally_t;

typedef struct bench
{
  world_t w;
  bucket_t ideal[WORLD_WORKSPACES];
  bucket_t central[WORLD_WORKSPACES];
  bucket_t spent[WORLD_WORKSPACES];
  bucket_t fixed[VMS][WORLD_WORKSPACES];
  tally_t tally[WORLD_WORKSPACES];
  double load[WORLD_WORKSPACES]; /* Ratio of demand to rate. */
  double weight[VMS];            /* Proportion of arrivals. */
  bool leaving[VMS];             /* Draining; known to all VMs. */
  lt_histogram_t waits;
  int64_t view_due_us;
  int64_t measured_from_us;
} bench_t;

/* Refills BUCKET at RATIO times RATE and takes one token if there is one.  */
static bool
bucket_take (bucket_t *bucket, const lt_limit_rate_t *rate, double ratio,
             int64_t now_us)
{
  double per_us = (double)rate->rate_milli_per_s / 1e9;
  bucket->level += (double)(now_us - bucket->at_us) * per_us * ratio;
  bucket->level = fmin (bucket->level, (double)rate->burst * ratio);
  bucket->at_us = now_us;
  if (bucket->level < 1 - 1e-6)
    return false;
  bucket->level -= 1;
  return true;
}

static void
on_arrived (world_t *w, int vm, int workspace)
{
  bench_t *b = w->user;
  tally_t *tally = &b->tally[workspace];
  const lt_limit_rate_t *rate = &w->rates[workspace];
  tally->offered++;
  tally->ideal += bucket_take (&b->ideal[workspace], rate, 1, w->now_us);
  tally->fixed
      += bucket_take (&b->fixed[vm][workspace], rate, 1.0 / VMS, w->now_us);
  /* The central counter is on VM 0.  */
  if (w->vms[0].alive && world_reaches (w, vm, 0))
    tally->central += bucket_take (&b->central[workspace], rate, 1, w->now_us);
}

static void
on_admitted (world_t *w, int vm, int workspace, int64_t waited_us)
{
  (void)vm;
  bench_t *b = w->user;
  b->tally[workspace].shares++;
  lt_histogram_add (&b->waits, waited_us);
  if (!bucket_take (&b->spent[workspace], &w->rates[workspace], 1, w->now_us))
    b->tally[workspace].excess++;
}

static void
on_refused (world_t *w, int vm, int workspace)
{
  (void)w;
  (void)vm;
  (void)workspace;
}

/* Returns the first VM by rendezvous hash that VM reaches, in REGION unless
   that is -1.  Returns -1 when there is none.  */
static int
first_vm (const bench_t *b, int vm, int workspace, int region)
{
  const world_t *w = &b->w;
  int best = -1;
  uint64_t best_weight = 0;
  str_t key = str_make ((const char *)&workspace, sizeof (workspace));
  for (int i = 0; i < w->vm_count; i++)
    {
      if (!w->vms[i].alive || b->leaving[i] || !world_reaches (w, vm, i)
          || (region >= 0 && w->vms[i].region != region))
        continue;
      uint64_t weight = lt_rendezvous (key, str_from (w->vms[i].name.id));
      if (best >= 0 && weight <= best_weight)
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

static void
update_view (bench_t *b, int vm)
{
  int own = b->w.vms[vm].region;
  for (int workspace = 0; workspace < b->w.workspace_count; workspace++)
    {
      int lenders[WORLD_REGIONS];
      for (int i = 0; i < WORLD_REGIONS; i++)
        lenders[i] = first_vm (b, vm, workspace, (own + i) % WORLD_REGIONS);
      world_set_view (&b->w, vm, workspace, first_vm (b, vm, workspace, -1),
                      lenders, WORLD_REGIONS);
    }
}

static void
update_views (bench_t *b)
{
  for (int vm = 0; vm < b->w.vm_count; vm++)
    if (b->w.vms[vm].alive)
      update_view (b, vm);
}

static int
pick_vm (bench_t *b)
{
  world_t *w = &b->w;
  double sum = 0;
  for (int i = 0; i < VMS; i++)
    sum += w->vms[i].alive ? b->weight[i] : 0;
  double at = lt_rng_unit (&w->rng) * sum;
  int last = 0;
  for (int i = 0; i < VMS; i++)
    {
      if (!w->vms[i].alive)
        continue;
      last = i;
      at -= b->weight[i];
      if (at < 0)
        return i;
    }
  return last;
}

static void
offer (bench_t *b, double seconds)
{
  world_t *w = &b->w;
  int64_t end_us = w->now_us + (int64_t)(seconds * 1e6);
  double total = 0;
  double each[WORLD_WORKSPACES] = { 0 };
  for (int i = 0; i < w->workspace_count; i++)
    {
      each[i] = b->load[i] * (double)w->rates[i].rate_milli_per_s / 1000;
      total += each[i];
    }
  while (w->now_us < end_us)
    {
      world_run (w, w->now_us
                        + (int64_t)lt_rng_exponential (&w->rng, 1e6 / total));
      if (b->view_due_us > 0 && w->now_us >= b->view_due_us)
        {
          b->view_due_us = 0;
          update_views (b);
        }
      double at = lt_rng_unit (&w->rng) * total;
      int workspace = 0;
      while (workspace + 1 < w->workspace_count && at >= each[workspace])
        at -= each[workspace++];
      world_request (w, pick_vm (b), workspace);
    }
}

static void
start (bench_t *b, uint64_t seed)
{
  static const int64_t rates[WORLD_WORKSPACES]
      = { 400, 250, 120, 40, 20, 10, 5, 2 };
  memset (b, 0, sizeof (*b));
  world_t *w = &b->w;
  world_init (w, seed);
  w->user = b;
  w->arrived = on_arrived;
  w->admitted = on_admitted;
  w->refused = on_refused;
  w->vm_count = VMS;
  w->workspace_count = WORLD_WORKSPACES;
  for (int i = 0; i < WORLD_WORKSPACES; i++)
    {
      int64_t burst = rates[i] < 8 ? 8 : rates[i];
      w->rates[i] = (lt_limit_rate_t){ .workspace = (uint64_t)i,
                                       .rate_milli_per_s = rates[i] * 1000,
                                       .burst = burst };
      b->ideal[i].level = b->central[i].level = b->spent[i].level
          = (double)burst;
      b->load[i] = 0.8;
      for (int vm = 0; vm < VMS; vm++)
        b->fixed[vm][i].level = (double)burst / VMS;
    }
  for (int i = 0; i < VMS; i++)
    {
      b->weight[i] = 1;
      w->vms[i].region = i % WORLD_REGIONS;
      w->vms[i].offset_us = LT_US_PER_S * (i + 1);
      w->vms[i].drift = (lt_rng_unit (&w->rng) - 0.5) * 0.0001;
      world_start (w, i, false);
    }
  update_views (b);
}

static void
measure (bench_t *b)
{
  memset (b->tally, 0, sizeof (b->tally));
  memset (&b->waits, 0, sizeof (b->waits));
  b->w.messages = b->w.writes = b->w.reads = 0;
  b->measured_from_us = b->w.now_us;
}

static double
percent_short (uint64_t ideal, uint64_t got)
{
  return ideal > got ? 100.0 * (double)(ideal - got) / (double)ideal : 0;
}

static void
report (bench_t *b, const char *name, uint64_t seed)
{
  tally_t sum = { 0 };
  double worst[3] = { 0 };
  for (int i = 0; i < WORLD_WORKSPACES; i++)
    {
      const tally_t *t = &b->tally[i];
      sum.ideal += t->ideal;
      sum.shares += t->shares < t->ideal ? t->shares : t->ideal;
      sum.fixed += t->fixed < t->ideal ? t->fixed : t->ideal;
      sum.central += t->central < t->ideal ? t->central : t->ideal;
      sum.excess += t->excess;
      worst[0] = fmax (worst[0], percent_short (t->ideal, t->shares));
      worst[1] = fmax (worst[1], percent_short (t->ideal, t->fixed));
      worst[2] = fmax (worst[2], percent_short (t->ideal, t->central));
    }
  double seconds = (double)(b->w.now_us - b->measured_from_us) / 1e6;
  printf ("%-12s %4llu  shares %6.2f %6.2f  static %6.2f %6.2f  central "
          "%6.2f %6.2f  wait99 %6.1f  msg/s %7.1f  writes/s %5.2f  reads/s "
          "%5.2f  excess %llu\n",
          name, (unsigned long long)seed,
          percent_short (sum.ideal, sum.shares), worst[0],
          percent_short (sum.ideal, sum.fixed), worst[1],
          percent_short (sum.ideal, sum.central), worst[2],
          (double)lt_histogram_quantile (&b->waits, 0.99) / 1e3,
          (double)b->w.messages / seconds, (double)b->w.writes / seconds,
          (double)b->w.reads / seconds, (unsigned long long)sum.excess);
  if (getenv ("LT_BENCH_EACH") != NULL)
    for (int i = 0; i < WORLD_WORKSPACES; i++)
      printf ("    workspace %d rate %lld: shares %.2f static %.2f\n", i,
              (long long)b->w.rates[i].rate_milli_per_s / 1000,
              percent_short (b->tally[i].ideal, b->tally[i].shares),
              percent_short (b->tally[i].ideal, b->tally[i].fixed));
  fflush (stdout);
}

/* Sends 80% of the arrivals to four VMs.  */
static void
concentrate (bench_t *b, int first)
{
  for (int i = 0; i < VMS; i++)
    b->weight[i] = 1;
  for (int i = 0; i < 4; i++)
    b->weight[(first + i) % VMS] = 36;
}

static void
run_cold (bench_t *b)
{
  measure (b);
  offer (b, 10);
}

static void
run_steady (bench_t *b)
{
  offer (b, 30);
  measure (b);
  offer (b, 120);
}

static void
run_uneven (bench_t *b)
{
  offer (b, 30);
  measure (b);
  for (int i = 0; i < 6; i++)
    {
      concentrate (b, 7 * i);
      offer (b, 30);
    }
}

static void
run_overload (bench_t *b)
{
  offer (b, 30);
  measure (b);
  b->load[1] = 5;
  offer (b, 120);
}

static void
run_store_down (bench_t *b)
{
  offer (b, 30);
  b->w.store_up = false;
  measure (b);
  for (int i = 0; i < 12; i++)
    {
      if (i >= 6)
        concentrate (b, 7 * i);
      offer (b, 900);
    }
}

static void
run_region_cut (bench_t *b)
{
  offer (b, 30);
  for (int i = 0; i < 2; i++)
    b->w.cut[i][2] = b->w.cut[2][i] = true;
  b->view_due_us = b->w.now_us + VIEW_DELAY_US;
  measure (b);
  offer (b, 300);
}

/* Planned replacement: each VM drains for 3 s, then one with a new id takes
   its place.  */
static void
run_rolling (bench_t *b)
{
  world_t *w = &b->w;
  offer (b, 30);
  measure (b);
  for (int vm = 0; vm < VMS; vm++)
    {
      double weight = b->weight[vm];
      b->weight[vm] = 0;
      b->leaving[vm] = true;
      update_views (b);
      for (int step = 0; step < 30; step++)
        {
          lt_limit_actions_t actions = { 0 };
          lt_limit_holder_drain (w->vms[vm].holder, world_clock (w, vm),
                                 &actions);
          world_perform (w, vm, &actions);
          offer (b, 0.1);
        }
      world_stop (w, vm);
      world_start (w, vm, true);
      b->weight[vm] = weight;
      b->leaving[vm] = false;
      update_views (b);
      offer (b, 7);
    }
}

static void
crash (bench_t *b, bool rename)
{
  world_t *w = &b->w;
  offer (b, 30);
  measure (b);
  for (int i = 0; i < 4; i++)
    {
      int vm = 1 + 9 * i;
      world_stop (w, vm);
      b->view_due_us = w->now_us + VIEW_DELAY_US;
      offer (b, 20);
      world_start (w, vm, rename);
      update_views (b);
      offer (b, 40);
    }
}

static void
run_restarted (bench_t *b)
{
  crash (b, false);
}

static void
run_crashed (bench_t *b)
{
  crash (b, true);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*run) (bench_t *);
  } scenarios[] = { { "cold", run_cold },
                    { "steady", run_steady },
                    { "uneven", run_uneven },
                    { "overload", run_overload },
                    { "region-cut", run_region_cut },
                    { "rolling", run_rolling },
                    { "restarted", run_restarted },
                    { "crashed", run_crashed },
                    { "store-down", run_store_down } };
  printf ("refused within rate in %%: of all, of the worst-served "
          "workspace\n");
  const char *only = getenv ("LT_BENCH_ONLY");
  for (size_t s = 0; s < sizeof (scenarios) / sizeof (scenarios[0]); s++)
    for (int i = 1; i < (argc > 1 ? argc : 2); i++)
      {
        if (only != NULL && strcmp (only, scenarios[s].name) != 0)
          continue;
        uint64_t seed = argc > 1 ? strtoull (argv[i], NULL, 10) : 1;
        bench_t *b = lt_alloc (sizeof (*b));
        start (b, seed);
        scenarios[s].run (b);
        report (b, scenarios[s].name, seed);
        world_destroy (&b->w);
        free (b);
      }
  return 0;
}
