// Checks invariant I5: whatever fails, all VMs together admit at most
// rate * W + burst requests of a workspace in any time window W.
#include <gtest/gtest.h>

#include <functional>
#include <vector>

#include "limit_world.h"
#include "lt/base/clock.h"

namespace
{

// One token bucket from which every admission of the fleet takes a token.  Its
// level stays at or above zero if and only if no window exceeds
// rate * W + burst.
struct ReferenceBucket
{
  int64_t level, at_us, admitted, refused;
};

struct AdmissionChecker
{
  ReferenceBucket workspaces[WORLD_WORKSPACES];
  int64_t violations;
  int64_t worst;
};

void
on_admitted (world_t *w, int, int workspace, int64_t)
{
  auto *checker = static_cast<AdmissionChecker *> (w->user);
  ReferenceBucket &r = checker->workspaces[workspace];
  const lt_limit_rate_t &rate = w->rates[workspace];
  int64_t burst = rate.burst * LT_LIMIT_TOKEN;
  __int128 level
      = r.level + (__int128)(w->now_us - r.at_us) * rate.rate_milli_per_s;
  r.level = level < burst ? (int64_t)level : burst;
  r.at_us = w->now_us;
  r.level -= LT_LIMIT_TOKEN;
  r.admitted++;
  if (r.level >= 0)
    return;
  checker->violations++;
  checker->worst = std::min (checker->worst, r.level);
}

void
on_refused (world_t *w, int, int workspace)
{
  static_cast<AdmissionChecker *> (w->user)->workspaces[workspace].refused++;
}

struct World
{
  world_t w;
  AdmissionChecker checker = {};

  World (uint64_t seed, int vms, std::vector<lt_limit_rate_t> rates,
         lt_limit_times_t times)
  {
    world_init (&w, seed);
    w.user = &checker;
    w.admitted = on_admitted;
    w.refused = on_refused;
    w.times = times;
    w.vm_count = vms;
    w.workspace_count = (int)rates.size ();
    for (int i = 0; i < w.workspace_count; i++)
      {
        w.rates[i] = rates[i];
        checker.workspaces[i].level = rates[i].burst * LT_LIMIT_TOKEN;
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
  set_home (int workspace, int vm)
  {
    int lenders[] = { 0, 1, 2 };
    for (int i = 0; i < w.vm_count; i++)
      {
        lenders[0] = i % 3;
        lenders[1] = (i + 1) % 3;
        lenders[2] = (i + 2) % 3;
        world_set_view (&w, i, workspace, vm, lenders, 3);
      }
  }

  // Sends PER_S requests per second and VM for SECONDS; all of them to VM
  // HOT_VM unless that is -1.
  void
  offer (double seconds, double per_s, int hot_vm = -1)
  {
    int64_t end = w.now_us + (int64_t)(seconds * 1e6);
    while (w.now_us < end)
      {
        world_run (&w, w.now_us
                           + (int64_t)lt_rng_exponential (
                               &w.rng, 1e6 / (per_s * w.vm_count)));
        int vm = (int)lt_rng_below (&w.rng, (uint64_t)w.vm_count);
        if (hot_vm >= 0)
          vm = hot_vm;
        if (w.vms[vm].alive && w.vms[vm].paused_until_us <= w.now_us)
          world_request (
              &w, vm, (int)lt_rng_below (&w.rng, (uint64_t)w.workspace_count));
      }
  }

  int64_t
  admitted ()
  {
    int64_t sum = 0;
    for (int i = 0; i < w.workspace_count; i++)
      sum += checker.workspaces[i].admitted;
    return sum;
  }
};

const lt_limit_times_t SHORT_TIMES
    = { 40 * LT_US_PER_S, 3 * LT_US_PER_S, 1 * LT_US_PER_S };

// Starts or ends a random fault on a random VM, workspace or region.
void
random_fault (World &world)
{
  world_t *w = &world.w;
  int vm = (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count);
  int workspace = (int)lt_rng_below (&w->rng, (uint64_t)w->workspace_count);
  int region = (int)lt_rng_below (&w->rng, WORLD_REGIONS);
  auto random_vm
      = [w] { return (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count); };
  switch (lt_rng_below (&w->rng, 10))
    {
    case 0:
    case 1: // Crash, or restart with a newer incarnation or a new id.
      if (w->vms[vm].alive)
        world_stop (w, vm);
      else
        world_start (w, vm, lt_rng_below (&w->rng, 2) == 0);
      break;
    case 2: // Pause, sometimes for longer than the home lease or the share
            // validity.
      w->vms[vm].paused_until_us
          = w->now_us
            + (int64_t)lt_rng_below (
                &w->rng, lt_rng_below (&w->rng, 4) == 0 ? 60000000 : 8000000);
      break;
    case 3:
      w->store_up = lt_rng_below (&w->rng, 3) > 0;
      break;
    case 4:
    case 5: // VMs disagree about the home; two may act as home.
      for (int i = 0; i < w->vm_count; i++)
        {
          int lenders[] = { random_vm (), random_vm () - 1 };
          world_set_view (w, i, workspace,
                          random_vm () % 2 == 0 ? vm : random_vm (), lenders,
                          2);
        }
      break;
    case 6:
      world.set_home (workspace, vm);
      break;
    case 7:
      for (int i = 0; i < WORLD_REGIONS; i++)
        w->cut[region][i] = w->cut[i][region]
            = i != region && lt_rng_below (&w->rng, 2) == 0;
      break;
    case 8:
      w->loss = lt_rng_unit (&w->rng) * 0.3;
      w->duplicated = lt_rng_unit (&w->rng) * 0.3;
      w->delayed = lt_rng_unit (&w->rng) * 0.3;
      w->max_delay_us = 1 + (int64_t)lt_rng_below (&w->rng, 50000000);
      break;
    default:
      w->lost_response = lt_rng_unit (&w->rng) * 0.3;
      w->delayed_write = lt_rng_unit (&w->rng) * 0.3;
    }
}

// Checks I5 under any mixture of crashes, pauses, restarts, replacements,
// lost, duplicated and delayed messages, table outages, lost responses,
// delayed writes, disagreement about the home, partitions and drifting clocks.
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
                   SHORT_TIMES);
      world_t *w = &world.w;
      for (int i = 0; i < w->vm_count; i++)
        w->vms[i].drift = (lt_rng_unit (&w->rng) - 0.5) * 0.001;
      for (int i = 0; i < w->workspace_count; i++)
        world.set_home (i, i);
      bool faults = seed % 4 != 0;
      for (int step = 0; step < 120; step++)
        {
          static const double loads[] = { 0, 5, 40, 200 };
          // Load moves between VMs, so that shares and tokens move too.
          int hot_vm = (int)lt_rng_below (&w->rng, (uint64_t)w->vm_count);
          world.offer (2, 0.1 + loads[lt_rng_below (&w->rng, 4)],
                       lt_rng_below (&w->rng, 2) == 0 ? hot_vm : -1);
          if (faults && lt_rng_below (&w->rng, 2) == 0)
            random_fault (world);
        }
      admitted += world.admitted ();
      ASSERT_EQ (0, world.checker.violations)
          << "seed " << seed << " worst level "
          << (double)world.checker.worst / LT_LIMIT_TOKEN;
    }
  RecordProperty ("admitted", std::to_string (admitted));
  // Without enough admissions the check above would prove nothing.
  EXPECT_GT (admitted, (int64_t)(1000 * (end - seed)));
  printf ("admitted %lld over seeds up to %llu\n", (long long)admitted,
          (unsigned long long)(end - 1));
}

const uint64_t WORKSPACE = 1;

lt_limit_message_t
message (lt_limit_message_type_t type, int64_t generation, int64_t transfer,
         int32_t ppm)
{
  lt_limit_message_t m = {};
  m.type = type;
  m.workspace = WORKSPACE;
  m.incarnation = 5;
  m.generation = generation;
  m.sequence = transfer;
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
  m.entry_missing = true;
  return m;
}

// A duplicated, delayed or misdirected message must not increase the share.
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
    { "grant number skipped", { grant (7, 2, 50) }, 0 },
    { "late", { grant (7, 1, 50), grant (9, 1, 30), grant (7, 2, 50) }, 30 },
    { "new entry, not its first", { grant (7, 1, 50), grant (9, 2, 30) }, 50 },
    { "other incarnation", { grant (7, 1, 50, 4) }, 0 },
    { "requested before the share was created",
      { grant (7, 1, 50, 5, 9) },
      0 },
    { "requested in the future", { grant (7, 1, 50, 5, 5000) }, 0 },
    { "entry gone", { grant (7, 1, 50), gone (7) }, 0 },
    { "other entry gone", { grant (7, 1, 50), gone (6) }, 50 }
  };
  for (const auto &c : cases)
    {
      lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
      options.incarnation = 5;
      lt_limit_holder_t *holder = lt_limit_holder_create (&options);
      lt_limit_rate_t rate = { WORKSPACE, 1000, 10 };
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

// The share whose tokens are lent must not be returned before the tokens have
// expired: its next holder would refill the same tokens a second time.
TEST (LimitHolder, KeepsTheShareOfLentTokens)
{
  lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  options.incarnation = 5;
  lt_limit_holder_t *holder = lt_limit_holder_create (&options);
  lt_limit_rate_t rate = { WORKSPACE, 1000, 10 };
  lt_limit_actions_t actions = { nullptr, 0, 0 };
  lt_limit_vm_t vm = { "other" };
  lt_limit_holder_configure (holder, &rate, 1, 0);
  lt_limit_holder_set_home (holder, WORKSPACE, LT_LIMIT_HOME_REMOTE);
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

// The tokens of a returned share must not also stay with the holder.
TEST (LimitHolder, MovesTokensWithReturnedShare)
{
  lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
  options.incarnation = 5;
  lt_limit_holder_t *holder = lt_limit_holder_create (&options);
  lt_limit_rate_t rate = { WORKSPACE, 1000, 10 };
  lt_limit_actions_t actions = { nullptr, 0, 0 };
  lt_limit_vm_t vm = { "home" };
  lt_limit_holder_configure (holder, &rate, 1, 0);
  lt_limit_holder_set_home (holder, WORKSPACE, LT_LIMIT_HOME_REMOTE);
  lt_limit_holder_spend (holder, 0, false, 10, &actions);
  lt_limit_message_t m = grant (7, 1, LT_LIMIT_WHOLE_PPM);
  m.tokens = 4 * LT_LIMIT_TOKEN;
  lt_limit_holder_message (holder, &vm, &m, 200, &actions);
  m = message (LT_LIMIT_SHARE_REQUEST, 7, 0, 500000);
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

// A request must not be refused because the VMs that lend have no share yet,
// as after a start; if they have one and lend nothing, it is refused at once.
TEST (LimitHolder, WaitsWhileLendersHaveNoShare)
{
  for (int32_t lender_ppm : { 0, 500000 })
    {
      lt_limit_holder_options_t options = LT_LIMIT_HOLDER_OPTIONS_DEFAULT;
      options.incarnation = 5;
      lt_limit_holder_t *holder = lt_limit_holder_create (&options);
      lt_limit_rate_t rate = { WORKSPACE, 1000, 10 };
      lt_limit_actions_t actions = { nullptr, 0, 0 };
      lt_limit_vm_t lender = { "lender" };
      lt_limit_holder_configure (holder, &rate, 1, 0);
      lt_limit_holder_set_home (holder, WORKSPACE, LT_LIMIT_HOME_REMOTE);
      lt_limit_holder_set_lenders (holder, WORKSPACE, 1, false);
      EXPECT_EQ (
          LT_LIMIT_WAIT,
          lt_limit_holder_spend (holder, 0, false, 100, &actions).verdict);
      // It asks twice if the first reply names a share.
      for (size_t i = 0; i < actions.count; i++)
        if (actions.items[i].type == LT_LIMIT_SEND_LENDER)
          {
            lt_limit_message_t m = actions.items[i].message;
            m.type = LT_LIMIT_TOKENS_LEND;
            m.tokens = 0;
            m.ppm = lender_ppm;
            lt_limit_holder_message (holder, &lender, &m, 200, &actions);
          }
      EXPECT_EQ (
          lender_ppm == 0 ? LT_LIMIT_WAIT : LT_LIMIT_REFUSED,
          lt_limit_holder_spend (holder, 0, true, 200, &actions).verdict)
          << lender_ppm;
      lt_limit_message_t m = grant (7, 1, LT_LIMIT_WHOLE_PPM);
      m.tokens = 4 * LT_LIMIT_TOKEN;
      lt_limit_holder_message (holder, &lender, &m, 300, &actions);
      EXPECT_EQ (
          LT_LIMIT_GRANTED,
          lt_limit_holder_spend (holder, 0, true, 300, &actions).verdict);
      lt_limit_actions_destroy (&actions);
      lt_limit_holder_destroy (holder);
    }
}

// A home whose table is an in-memory record.
struct Home
{
  lt_limit_home_t *home;
  lt_limit_record_t record = {};
  std::vector<lt_limit_message_t> sent;
  int64_t now_us = 1000000;

  explicit Home (const char *name)
  {
    lt_limit_home_options_t options = LT_LIMIT_HOME_OPTIONS_DEFAULT;
    options.group = WORKSPACE;
    lt_limit_vm_set (&options.vm, name, strlen (name));
    home = lt_limit_home_create (&options);
    lt_limit_rate_t rate = { WORKSPACE, 1000, 100 };
    lt_limit_home_configure (home, &rate, 1, now_us);
    lt_limit_home_set_role (home, true);
  }
  ~Home ()
  {
    lt_limit_home_destroy (home);
    lt_limit_record_destroy (&record);
  }

  // Ticks for SECONDS; every table call completes at once.
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
      lt_limit_home_read_done (home, LT_LIMIT_DONE, &record, now_us, &more);
    else if (action.expected_version == record.version)
      {
        lt_limit_record_copy (&record, lt_limit_home_draft (home));
        lt_limit_home_write_done (home, LT_LIMIT_DONE, now_us, &more);
      }
    else
      lt_limit_home_write_done (home, LT_LIMIT_CONFLICT, now_us, &more);
    for (size_t i = 0; i < more.count; i++)
      answer (more.items[i]);
    lt_limit_actions_destroy (&more);
  }

  void
  deliver (const lt_limit_message_t &m, const char *from = "holder")
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
    for (size_t i = 0; i < record.count; i++)
      sum += record.grants[i].ppm;
    return sum;
  }
};

lt_limit_message_t
return_message (int64_t generation, int64_t number, int32_t ppm)
{
  lt_limit_message_t m = message (LT_LIMIT_SHARE_RETURN, generation, 1, ppm);
  m.return_seq = number;
  return m;
}

lt_limit_message_t
request_message (int64_t generation, int64_t transfer, int64_t incarnation = 5)
{
  lt_limit_message_t m
      = message (LT_LIMIT_SHARE_REQUEST, generation, transfer, 100000);
  m.incarnation = incarnation;
  return m;
}

// The record must not list a smaller share than the holder may have.  Each
// case follows one grant of 100,000 ppm under generation 2.
TEST (LimitHome, RecordsEachMessageOnce)
{
  struct
  {
    const char *name;
    std::vector<lt_limit_message_t> messages;
    int32_t ppm;
  } cases[] = {
    { "first request repeated", { request_message (0, 0) }, 100000 },
    { "grant lost, request repeated", { request_message (2, 0) }, 100000 },
    { "request for more", { request_message (2, 1) }, 200000 },
    { "request for more, delayed repetition",
      { request_message (2, 1), request_message (2, 0) },
      200000 },
    { "return", { return_message (2, 1, 40000) }, 60000 },
    { "return repeated",
      { return_message (2, 1, 40000), return_message (2, 1, 40000) },
      60000 },
    { "return of another entry", { return_message (1, 1, 40000) }, 100000 },
    { "return of more than granted",
      { return_message (2, 1, 200000) },
      100000 },
    { "return skips a number", { return_message (2, 2, 40000) }, 100000 },
    { "request of a former incarnation",
      { request_message (0, 0, 4) },
      100000 },
    { "request of a newer incarnation", { request_message (0, 0, 6) }, 100000 }
  };
  for (const auto &c : cases)
    {
      Home h ("a");
      h.run (1);
      ASSERT_EQ (1, h.record.version);
      h.deliver (request_message (0, 0));
      ASSERT_EQ (100000, h.granted ());
      ASSERT_EQ (2, h.record.grants[0].generation);
      for (const auto &m : c.messages)
        h.deliver (m);
      EXPECT_EQ (c.ppm, h.granted ()) << c.name;
    }
}

// A new home must not grant tokens that the former home may have granted from
// its pool.
TEST (LimitHome, StartsWithoutTokensAfterATakeover)
{
  Home a ("a");
  a.run (1);
  a.deliver (request_message (0, 0));
  ASSERT_EQ (LT_LIMIT_SHARE_GRANT, a.sent.back ().type);
  EXPECT_EQ (10 * LT_LIMIT_TOKEN, a.sent.back ().tokens);
  Home b ("b");
  lt_limit_record_copy (&b.record, &a.record);
  b.run (10);
  EXPECT_EQ (1, b.record.epoch) << "took over within the lease";
  for (int i = 0; i < 20 && b.record.epoch == 1; i++)
    b.deliver (request_message (0, 0), "other");
  EXPECT_EQ (2, b.record.epoch);
  ASSERT_FALSE (b.sent.empty ());
  EXPECT_EQ (LT_LIMIT_SHARE_GRANT, b.sent[0].type);
  EXPECT_EQ (0, b.sent[0].tokens);

  // The same when the former home takes over again.
  lt_limit_record_copy (&a.record, &b.record);
  a.sent.clear ();
  for (int i = 0; i < 60 && a.record.epoch == 2; i++)
    a.deliver (request_message (0, 0), "third");
  EXPECT_EQ (3, a.record.epoch);
  a.deliver (request_message (0, 0), "fourth");
  ASSERT_FALSE (a.sent.empty ());
  EXPECT_EQ (LT_LIMIT_SHARE_GRANT, a.sent.back ().type);
  EXPECT_LT (a.sent.back ().tokens, LT_LIMIT_TOKEN);
}

// Tokens of the pool must not be granted twice.
TEST (LimitHome, SubtractsGrantedTokensFromThePool)
{
  Home h ("a");
  h.run (1);
  h.deliver (request_message (0, 0));
  h.deliver (return_message (2, 1, 100000));
  ASSERT_EQ (0, h.granted ());
  lt_limit_message_t half = request_message (0, 0);
  half.ppm = 500000;
  h.deliver (half, "first");
  EXPECT_NEAR (45, (double)h.sent.back ().tokens / LT_LIMIT_TOKEN, 2);
  half.ppm = 400000;
  h.deliver (half, "second");
  EXPECT_NEAR (36, (double)h.sent.back ().tokens / LT_LIMIT_TOKEN, 2);
}

// The share of a dead VM is reclaimed without a return from it, but not before
// the share has expired.
TEST (LimitHome, ReclaimsOnlyExpiredShares)
{
  const lt_limit_times_t times = LT_LIMIT_TIMES_DEFAULT;
  Home h ("a");
  h.run (1);
  h.deliver (request_message (0, 0));
  h.run ((double)times.share_validity_us / 1e6 + 10);
  EXPECT_EQ (100000, h.granted ());
  h.run (200);
  EXPECT_EQ (0, h.granted ());
}

// One fault each, with the default times: I5 holds, and the fleet still admits
// at least the given ratio of a demand of half the rate.
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
              w.set_home (0, 4);
            },
            0.80 },
          { "home restarts",
            [] (World &w) {
              world_stop (&w.w, 3);
              world_start (&w.w, 3, false);
              w.set_home (0, 3);
            },
            0.95 },
          { "home paused past its lease",
            [] (World &w) {
              w.w.vms[3].paused_until_us = w.w.now_us + 30000000;
              w.set_home (0, 4);
            },
            0.75 },
          { "lender replaced",
            [] (World &w) {
              world_stop (&w.w, 1);
              world_start (&w.w, 1, true);
              w.set_home (0, 3);
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
          { "messages duplicated and delayed",
            [] (World &w) {
              w.w.duplicated = 1;
              w.w.delayed = 0.2;
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
      world.set_home (0, 3);
      world.offer (20, 5);
      c.fault (world);
      ReferenceBucket before = world.checker.workspaces[0];
      world.offer (60, 5);
      double admitted
          = (double)(world.checker.workspaces[0].admitted - before.admitted);
      double refused
          = (double)(world.checker.workspaces[0].refused - before.refused);
      EXPECT_EQ (0, world.checker.violations) << c.name;
      EXPECT_GE (admitted / (admitted + refused), c.served) << c.name;
    }
}

}
