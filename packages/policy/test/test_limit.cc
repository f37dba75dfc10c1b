// Guards invariant I5: over all VMs together no workspace is admitted more
// than rate * W + burst in any window W, whatever fails.
#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "limit_world.h"
#include "lt/base/clock.h"

namespace
{

// One token bucket fed with every admission of the fleet: its level stays at
// or above zero exactly if no window exceeds rate * W + burst.
struct Reference
{
  int64_t level, at_us, admitted, refused;
};

struct Judge
{
  Reference of[WORLD_SPACES];
  int64_t violations;
  int64_t worst;
};

void
on_admitted (world_t *w, int, int space, int64_t)
{
  auto *judge = static_cast<Judge *> (w->user);
  Reference &r = judge->of[space];
  const lt_limit_rate_t &rate = w->rates[space];
  int64_t burst = rate.burst * LT_LIMIT_TOKEN;
  __int128 level
      = r.level + (__int128)(w->now_us - r.at_us) * rate.rate_milli_per_s;
  r.level = level < burst ? (int64_t)level : burst;
  r.at_us = w->now_us;
  r.level -= LT_LIMIT_TOKEN;
  r.admitted++;
  if (r.level >= 0)
    return;
  judge->violations++;
  judge->worst = std::min (judge->worst, r.level);
}

void
on_refused (world_t *w, int, int space)
{
  static_cast<Judge *> (w->user)->of[space].refused++;
}

struct World
{
  world_t w;
  Judge judge = {};

  World (uint64_t seed, int vms, std::vector<lt_limit_rate_t> rates,
         lt_limit_times_t times)
  {
    world_init (&w, seed);
    w.user = &judge;
    w.admitted = on_admitted;
    w.refused = on_refused;
    w.times = times;
    w.vm_count = vms;
    w.space_count = (int)rates.size ();
    for (int i = 0; i < w.space_count; i++)
      {
        w.rates[i] = rates[i];
        judge.of[i].level = rates[i].burst * LT_LIMIT_TOKEN;
      }
    for (int i = 0; i < vms; i++)
      {
        w.vms[i].region = i % WORLD_REGIONS;
        w.vms[i].offset_us = 3600 * LT_US_PER_S * (i + 1);
        world_start (&w, i, false);
      }
  }
  ~World () { world_destroy (&w); }

  void
  home (int space, int vm)
  {
    int lenders[] = { 0, 1, 2 };
    for (int i = 0; i < w.vm_count; i++)
      {
        lenders[0] = i % 3;
        lenders[1] = (i + 1) % 3;
        lenders[2] = (i + 2) % 3;
        world_set_view (&w, i, space, vm, lenders, 3);
      }
  }

  // Offers PER_S requests a second per VM for SECONDS, all of them to VM HOT
  // unless that is -1.
  void
  load (double seconds, double per_s, int hot = -1)
  {
    int64_t end = w.now_us + (int64_t)(seconds * 1e6);
    while (w.now_us < end)
      {
        world_run (&w, w.now_us
                           + (int64_t)lt_rng_exponential (
                               &w.rng, 1e6 / (per_s * w.vm_count)));
        int vm = (int)lt_rng_below (&w.rng, (uint64_t)w.vm_count);
        if (hot >= 0)
          vm = hot;
        if (w.vms[vm].alive && w.vms[vm].paused_until_us <= w.now_us)
          world_arrive (&w, vm,
                        (int)lt_rng_below (&w.rng, (uint64_t)w.space_count));
      }
  }

  int64_t
  admitted ()
  {
    int64_t sum = 0;
    for (int i = 0; i < w.space_count; i++)
      sum += judge.of[i].admitted;
    return sum;
  }
};

const lt_limit_times_t SHORT
    = { 40 * LT_US_PER_S, 3 * LT_US_PER_S, 1 * LT_US_PER_S };

// One random fault at a random place.
void
random_fault (World &world)
{
  world_t *w = &world.w;
  int vm = (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count);
  int space = (int)lt_rng_below (&w->rng, (uint64_t)w->space_count);
  int region = (int)lt_rng_below (&w->rng, WORLD_REGIONS);
  auto any
      = [w] { return (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count); };
  switch (lt_rng_below (&w->rng, 10))
    {
    case 0:
    case 1: // Crash, then newer incarnation or a new id.
      if (w->vms[vm].alive)
        world_stop (w, vm);
      else
        world_start (w, vm, lt_rng_below (&w->rng, 2) == 0);
      break;
    case 2: // Pause, also past lease and validity.
      w->vms[vm].paused_until_us
          = w->now_us
            + (int64_t)lt_rng_below (
                &w->rng, lt_rng_below (&w->rng, 4) == 0 ? 60000000 : 8000000);
      break;
    case 3:
      w->store_up = lt_rng_below (&w->rng, 3) > 0;
      break;
    case 4:
    case 5: // Each VM picks its own home; two may believe they are.
      for (int i = 0; i < w->vm_count; i++)
        {
          int lenders[] = { any (), any () - 1 };
          world_set_view (w, i, space, any () % 2 == 0 ? vm : any (), lenders,
                          2);
        }
      break;
    case 6:
      world.home (space, vm);
      break;
    case 7:
      for (int i = 0; i < WORLD_REGIONS; i++)
        w->cut[region][i] = w->cut[i][region]
            = i != region && lt_rng_below (&w->rng, 2) == 0;
      break;
    case 8:
      w->loss = lt_rng_unit (&w->rng) * 0.3;
      w->repeat = lt_rng_unit (&w->rng) * 0.3;
      w->late = lt_rng_unit (&w->rng) * 0.3;
      w->late_us = 1 + (int64_t)lt_rng_below (&w->rng, 50000000);
      break;
    default:
      w->lost_response = lt_rng_unit (&w->rng) * 0.3;
      w->late_write = lt_rng_unit (&w->rng) * 0.3;
    }
}

// Guards I5 against any mixture of crashes, pauses, restarts, replacements,
// lost, repeated and late messages, store outages, lost responses, late
// writes, divided opinions about the home, partitions and drifting clocks.
TEST (Limit, NeverExceedsRateAndBurstOnRandomSchedules)
{
  const char *first = getenv ("LT_LIMIT_SEED");
  const char *runs = getenv ("LT_LIMIT_RUNS");
  uint64_t seed = first != nullptr ? strtoull (first, nullptr, 10) : 1;
  uint64_t end = seed + (runs != nullptr ? strtoull (runs, nullptr, 10) : 200);
  int64_t admitted = 0;
  for (; seed < end; seed++)
    {
      World world (seed, 6,
                   { { 0, 40000, 30 },
                     { 1, 5000, 3 },
                     { 2, 300000, 600 },
                     { 3, 2000, 300 } },
                   SHORT);
      world_t *w = &world.w;
      for (int i = 0; i < w->vm_count; i++)
        w->vms[i].drift = (lt_rng_unit (&w->rng) - 0.5) * 0.001;
      for (int i = 0; i < w->space_count; i++)
        world.home (i, i);
      bool faults = seed % 4 != 0;
      for (int step = 0; step < 120; step++)
        {
          static const double loads[] = { 0, 5, 40, 200 };
          // Load moves between VMs, so that parts and tokens move too.
          int hot = (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count);
          world.load (2, 0.1 + loads[lt_rng_below (&w->rng, 4)],
                      lt_rng_below (&w->rng, 2) == 0 ? hot : -1);
          if (faults && lt_rng_below (&w->rng, 2) == 0)
            random_fault (world);
        }
      admitted += world.admitted ();
      ASSERT_EQ (0, world.judge.violations)
          << "seed " << seed << " worst level "
          << (double)world.judge.worst / LT_LIMIT_TOKEN;
    }
  RecordProperty ("admitted", std::to_string (admitted));
  // The check means nothing when little is admitted.
  EXPECT_GT (admitted, (int64_t)(1000 * (end - seed)));
  printf ("admitted %lld over seeds up to %llu\n", (long long)admitted,
          (unsigned long long)(end - 1));
}

const uint64_t SPACE = 1;

lt_limit_message_t
message (lt_limit_message_type_t type, int64_t generation, int64_t transfer,
         int32_t ppm)
{
  lt_limit_message_t m = {};
  m.type = type;
  m.workspace = SPACE;
  m.incarnation = 5;
  m.generation = generation;
  m.transfer = transfer;
  m.ppm = ppm;
  m.sent_us = 100;
  return m;
}

lt_limit_message_t
grant (int64_t generation, int64_t transfer, int32_t ppm,
       int64_t incarnation = 5, int64_t sent_us = 100)
{
  lt_limit_message_t m
      = message (LT_LIMIT_SHARE_GRANT, generation, transfer, ppm);
  m.incarnation = incarnation;
  m.sent_us = sent_us;
  return m;
}

lt_limit_message_t
gone (int64_t generation)
{
  lt_limit_message_t m = message (LT_LIMIT_SHARE_ACK, generation, 0, 0);
  m.gone = true;
  return m;
}

// Guards against a repeated, late or misdirected message adding rights.
TEST (LimitHolder, AppliesEachGrantOnce)
{
  struct
  {
    const char *name;
    std::vector<lt_limit_message_t> messages;
    int32_t ppm;
  } cases[] = {
    { "one", { grant (7, 1, 50) }, 50 },
    { "two", { grant (7, 1, 50), grant (7, 2, 30) }, 80 },
    { "repeated", { grant (7, 1, 50), grant (7, 1, 50) }, 50 },
    { "number skipped", { grant (7, 2, 50) }, 0 },
    { "late", { grant (7, 1, 50), grant (9, 1, 30), grant (7, 2, 50) }, 30 },
    { "new entry, not its first", { grant (7, 1, 50), grant (9, 2, 30) }, 50 },
    { "other incarnation", { grant (7, 1, 50, 4) }, 0 },
    { "asked before the share was made", { grant (7, 1, 50, 5, 9) }, 0 },
    { "asked in the future", { grant (7, 1, 50, 5, 5000) }, 0 },
    { "entry gone", { grant (7, 1, 50), gone (7) }, 0 },
    { "other entry gone", { grant (7, 1, 50), gone (6) }, 50 }
  };
  for (const auto &c : cases)
    {
      lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
      options.incarnation = 5;
      lt_limit_holder_t *holder = lt_limit_holder_create (&options);
      lt_limit_rate_t rate = { SPACE, 1000, 10 };
      lt_limit_actions_t actions = { nullptr, 0, 0 };
      lt_limit_vm_t home = { "home" };
      lt_limit_holder_configure (holder, &rate, 1, 0);
      lt_limit_holder_spend (holder, 0, false, 10, &actions);
      for (const auto &m : c.messages)
        lt_limit_holder_message (holder, &home, &m, 200, &actions);
      lt_limit_holder_status_t status;
      EXPECT_EQ (0, lt_limit_holder_status (holder, 0, &status));
      EXPECT_EQ (c.ppm, status.ppm) << c.name;
      lt_limit_actions_destroy (&actions);
      lt_limit_holder_destroy (holder);
    }
}

// Guards against returning parts whose tokens are lent out: until they have
// expired, the new holder of the parts could fill them a second time.
TEST (LimitHolder, KeepsThePartsOfLentTokens)
{
  lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  options.incarnation = 5;
  lt_limit_holder_t *holder = lt_limit_holder_create (&options);
  lt_limit_rate_t rate = { SPACE, 1000, 10 };
  lt_limit_actions_t actions = { nullptr, 0, 0 };
  lt_limit_vm_t vm = { "other" };
  lt_limit_holder_configure (holder, &rate, 1, 0);
  lt_limit_holder_set_home (holder, SPACE, LT_LIMIT_PLACE_OTHER);
  lt_limit_holder_spend (holder, 0, false, 10, &actions);
  lt_limit_message_t m = grant (7, 1, LT_LIMIT_WHOLE_PPM);
  m.tokens = 10 * LT_LIMIT_TOKEN;
  lt_limit_holder_message (holder, &vm, &m, 200, &actions);
  m = message (LT_LIMIT_TOKENS_REQUEST, 0, 1, 0);
  m.tokens = 4 * LT_LIMIT_TOKEN;
  lt_limit_holder_message (holder, &vm, &m, 200, &actions);
  actions.count = 0;
  lt_limit_holder_drain (holder, 300, &actions);
  ASSERT_EQ (1u, actions.count);
  EXPECT_EQ (LT_LIMIT_SHARE_RETURN, actions.items[0].message.type);
  EXPECT_EQ (600000, actions.items[0].message.ppm);
  lt_limit_actions_destroy (&actions);
  lt_limit_holder_destroy (holder);
}

// Guards against tokens that stay with the giver and move as well.
TEST (LimitHolder, MovesTokensWithReturnedParts)
{
  lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  options.incarnation = 5;
  lt_limit_holder_t *holder = lt_limit_holder_create (&options);
  lt_limit_rate_t rate = { SPACE, 1000, 10 };
  lt_limit_actions_t actions = { nullptr, 0, 0 };
  lt_limit_vm_t vm = { "home" };
  lt_limit_holder_configure (holder, &rate, 1, 0);
  lt_limit_holder_set_home (holder, SPACE, LT_LIMIT_PLACE_OTHER);
  lt_limit_holder_spend (holder, 0, false, 10, &actions);
  lt_limit_message_t m = grant (7, 1, LT_LIMIT_WHOLE_PPM);
  m.tokens = 4 * LT_LIMIT_TOKEN;
  lt_limit_holder_message (holder, &vm, &m, 200, &actions);
  m = message (LT_LIMIT_SHARE_ASK, 7, 0, 500000);
  m.recall = true;
  actions.count = 0;
  lt_limit_holder_message (holder, &vm, &m, 200, &actions);
  ASSERT_EQ (1u, actions.count);
  EXPECT_EQ (500000, actions.items[0].message.ppm);
  EXPECT_EQ (2 * LT_LIMIT_TOKEN, actions.items[0].message.tokens);
  lt_limit_holder_status_t status;
  EXPECT_EQ (0, lt_limit_holder_status (holder, 0, &status));
  EXPECT_EQ (2 * LT_LIMIT_TOKEN, status.tokens);
  lt_limit_actions_destroy (&actions);
  lt_limit_holder_destroy (holder);
}

// A home with an in-memory record.
struct Home
{
  lt_limit_home_t *home;
  lt_limit_record_t row = {};
  std::vector<lt_limit_message_t> sent;
  int64_t now_us = 1000000;

  explicit Home (const char *name)
  {
    lt_limit_home_options_t options = LT_LIMIT_HOME_OPTIONS_DEFAULT;
    options.group = SPACE;
    lt_limit_vm_set (&options.vm, name, strlen (name));
    home = lt_limit_home_create (&options);
    lt_limit_rate_t rate = { SPACE, 1000, 100 };
    lt_limit_home_configure (home, &rate, 1, now_us);
    lt_limit_home_set_role (home, true);
  }
  ~Home ()
  {
    lt_limit_home_destroy (home);
    lt_limit_record_destroy (&row);
  }

  // Ticks for SECONDS; every table call is answered at once.
  void
  run (double seconds)
  {
    for (int64_t end = now_us + (int64_t)(seconds * 1e6); now_us < end;
         now_us += 100000)
      {
        lt_limit_actions_t actions = { nullptr, 0, 0 };
        lt_limit_home_tick (home, now_us, &actions);
        for (size_t i = 0; i < actions.count; i++)
          answer (actions.items[i]);
        lt_limit_actions_destroy (&actions);
      }
  }

  void
  answer (const lt_limit_action_t &action)
  {
    lt_limit_actions_t more = { nullptr, 0, 0 };
    if (action.type == LT_LIMIT_SEND)
      sent.push_back (action.message);
    else if (action.type == LT_LIMIT_READ)
      lt_limit_home_read_done (home, LT_LIMIT_DONE, &row, now_us, &more);
    else if (action.expected_version == row.version)
      {
        lt_limit_record_copy (&row, lt_limit_home_draft (home));
        lt_limit_home_write_done (home, LT_LIMIT_DONE, now_us, &more);
      }
    else
      lt_limit_home_write_done (home, LT_LIMIT_CONFLICT, now_us, &more);
    for (size_t i = 0; i < more.count; i++)
      answer (more.items[i]);
    lt_limit_actions_destroy (&more);
  }

  void
  tell (const lt_limit_message_t &m, const char *from = "holder")
  {
    lt_limit_vm_t vm = {};
    lt_limit_vm_set (&vm, from, strlen (from));
    lt_limit_home_message (home, &vm, &m, now_us);
    run (0.5);
  }

  int32_t
  granted ()
  {
    int32_t sum = 0;
    for (size_t i = 0; i < row.count; i++)
      sum += row.grants[i].ppm;
    return sum;
  }
};

lt_limit_message_t
give_back (int64_t generation, int64_t number, int32_t ppm)
{
  lt_limit_message_t m = message (LT_LIMIT_SHARE_RETURN, generation, 1, ppm);
  m.returned = number;
  return m;
}

lt_limit_message_t
ask (int64_t generation, int64_t transfer, int64_t incarnation = 5)
{
  lt_limit_message_t m
      = message (LT_LIMIT_SHARE_ASK, generation, transfer, 100000);
  m.incarnation = incarnation;
  return m;
}

// Guards against the record listing fewer parts than the holder may have.
// Each case follows one grant of 100,000 ppm under generation 2.
TEST (LimitHome, RecordsEachMessageOnce)
{
  struct
  {
    const char *name;
    std::vector<lt_limit_message_t> messages;
    int32_t ppm;
  } cases[] = {
    { "first ask repeated", { ask (0, 0) }, 100000 },
    { "grant lost, ask again", { ask (2, 0) }, 100000 },
    { "ask for more", { ask (2, 1) }, 200000 },
    { "ask for more, late repetition", { ask (2, 1), ask (2, 0) }, 200000 },
    { "return", { give_back (2, 1, 40000) }, 60000 },
    { "return repeated",
      { give_back (2, 1, 40000), give_back (2, 1, 40000) },
      60000 },
    { "return of another entry", { give_back (1, 1, 40000) }, 100000 },
    { "return of more than granted", { give_back (2, 1, 200000) }, 100000 },
    { "return skips a number", { give_back (2, 2, 40000) }, 100000 },
    { "ask of a former incarnation", { ask (0, 0, 4) }, 100000 },
    { "ask of a newer incarnation", { ask (0, 0, 6) }, 100000 }
  };
  for (const auto &c : cases)
    {
      Home h ("a");
      h.run (1);
      ASSERT_EQ (1, h.row.version);
      h.tell (ask (0, 0));
      ASSERT_EQ (100000, h.granted ());
      ASSERT_EQ (2, h.row.grants[0].generation);
      for (const auto &m : c.messages)
        h.tell (m);
      EXPECT_EQ (c.ppm, h.granted ()) << c.name;
    }
}

// Guards against a new home granting tokens that the former home's pool may
// have granted before.
TEST (LimitHome, StartsWithoutTokensAfterATakeover)
{
  Home a ("a");
  a.run (1);
  a.tell (ask (0, 0));
  ASSERT_EQ (LT_LIMIT_SHARE_GRANT, a.sent.back ().type);
  EXPECT_EQ (10 * LT_LIMIT_TOKEN, a.sent.back ().tokens);
  Home b ("b");
  lt_limit_record_copy (&b.row, &a.row);
  b.run (10);
  EXPECT_EQ (1, b.row.epoch) << "took over within the lease";
  for (int i = 0; i < 20 && b.row.epoch == 1; i++)
    b.tell (ask (0, 0), "other");
  EXPECT_EQ (2, b.row.epoch);
  ASSERT_FALSE (b.sent.empty ());
  EXPECT_EQ (LT_LIMIT_SHARE_GRANT, b.sent[0].type);
  EXPECT_EQ (0, b.sent[0].tokens);

  // The same when the former home takes over again.
  lt_limit_record_copy (&a.row, &b.row);
  a.sent.clear ();
  for (int i = 0; i < 60 && a.row.epoch == 2; i++)
    a.tell (ask (0, 0), "third");
  EXPECT_EQ (3, a.row.epoch);
  a.tell (ask (0, 0), "fourth");
  ASSERT_FALSE (a.sent.empty ());
  EXPECT_EQ (LT_LIMIT_SHARE_GRANT, a.sent.back ().type);
  EXPECT_LT (a.sent.back ().tokens, LT_LIMIT_TOKEN);
}

// Guards against granting the same tokens of the pool twice.
TEST (LimitHome, SubtractsGrantedTokensFromThePool)
{
  Home h ("a");
  h.run (1);
  h.tell (ask (0, 0));
  h.tell (give_back (2, 1, 100000));
  ASSERT_EQ (0, h.granted ());
  lt_limit_message_t half = ask (0, 0);
  half.ppm = 500000;
  h.tell (half, "first");
  EXPECT_NEAR (45, (double)h.sent.back ().tokens / LT_LIMIT_TOKEN, 2);
  half.ppm = 400000;
  h.tell (half, "second");
  EXPECT_NEAR (36, (double)h.sent.back ().tokens / LT_LIMIT_TOKEN, 2);
}

// Guards the recovery of a dead VM's parts: not before its share has expired,
// and then without its return.
TEST (LimitHome, ReclaimsOnlyExpiredShares)
{
  const lt_limit_times_t times = LT_LIMIT_TIMES_DEFAULT;
  Home h ("a");
  h.run (1);
  h.tell (ask (0, 0));
  h.run ((double)times.share_validity_us / 1e6 + 10);
  EXPECT_EQ (100000, h.granted ());
  h.run (200);
  EXPECT_EQ (0, h.granted ());
}

// One fault each, at the sites' times: I5 holds, and the fleet still serves
// at least the given part of a demand of half the rate.
TEST (Limit, ServesThroughSingleFaults)
{
  struct
  {
    const char *name;
    std::function<void (World &)> fault;
    double served;
  } cases[]
      = { { "none", [] (World &) {}, 0.98 },
          { "store down", [] (World &w) { w.w.store_up = false; }, 0.95 },
          { "home crashes",
            [] (World &w) {
              world_stop (&w.w, 3);
              w.home (0, 4);
            },
            0.80 },
          { "home restarts",
            [] (World &w) {
              world_stop (&w.w, 3);
              world_start (&w.w, 3, false);
              w.home (0, 3);
            },
            0.95 },
          { "home paused past its lease",
            [] (World &w) {
              w.w.vms[3].paused_until_us = w.w.now_us + 30000000;
              w.home (0, 4);
            },
            0.75 },
          { "lender replaced",
            [] (World &w) {
              world_stop (&w.w, 1);
              world_start (&w.w, 1, true);
              w.home (0, 3);
            },
            0.60 },
          { "region cut off",
            [] (World &w) {
              for (int i = 0; i < 2; i++)
                w.w.cut[i][2] = w.w.cut[2][i] = true;
            },
            0.75 },
          { "responses of the table lost",
            [] (World &w) { w.w.lost_response = 1; }, 0.95 },
          { "messages repeated and late",
            [] (World &w) {
              w.w.repeat = 1;
              w.w.late = 0.2;
            },
            0.85 },
          { "two homes",
            [] (World &w) {
              for (int i = 0; i < w.w.vm_count; i++)
                {
                  int lenders[] = { 0, 1, 2 };
                  world_set_view (&w.w, i, 0, i % 2 == 0 ? 3 : 4, lenders, 3);
                }
            },
            0.95 } };
  for (const auto &c : cases)
    {
      World world (1, 6, { { 0, 60000, 60 } }, LT_LIMIT_TIMES_DEFAULT);
      world.home (0, 3);
      world.load (20, 5);
      c.fault (world);
      Reference before = world.judge.of[0];
      world.load (60, 5);
      double admitted = (double)(world.judge.of[0].admitted - before.admitted);
      double refused = (double)(world.judge.of[0].refused - before.refused);
      EXPECT_EQ (0, world.judge.violations) << c.name;
      EXPECT_GE (admitted / (admitted + refused), c.served) << c.name;
    }
}

}
