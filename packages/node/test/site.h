// Nodes without callers, for tests of controllers: loop, platform, bus, the
// config controller and, with a peer address, the membership controller.
#ifndef LT_NODE_TEST_SITE_H
#define LT_NODE_TEST_SITE_H

#include <ev.h>
#include <gtest/gtest.h>
#include <sodium.h>

#include <string>

#include "bus.h"
#include "lt/base/error.h"
#include "lt/config/sheet.h"
#include "lt/node/config_controller.h"
#include "lt/node/node.h"
#include "lt/store/memory.h"
#include "lt/policy/freshness.h"
#include "lt/policy/membership.h"
#include "membership_controller.h"

struct Outcome
{
  int calls = 0;
  lt_apply_outcome_t outcome = LT_APPLY_UNAVAILABLE;
  int64_t version = -1;
  std::string author;
};

inline void
on_applied (void *user, const lt_apply_result_t *result)
{
  Outcome *o = static_cast<Outcome *> (user);
  const lt_change_record_t &change = result->change;
  o->calls++;
  o->outcome = result->outcome;
  o->version = change.version;
  o->author.assign (change.author.data == nullptr ? "" : change.author.data,
                    change.author.len);
}

inline lt_snapshot_t *
make_snapshot (const std::string &workspace)
{
  std::string sheet = "kind;name;day;rows;workspace;rate_per_s;burst\n"
                      "sheet;shop;2026-12-04;2\n"
                      "workspace;"
                      + workspace + "\nlimit;;;;" + workspace + ";5;5\n";
  lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
  options.source = STR_LIT ("sheet");
  options.hash_secret = STR_LIT ("hash-secret-0123456789");
  lt_findings_t findings = {};
  lt_snapshot_t *result = nullptr;
  EXPECT_EQ (0, lt_sheet_parse (str_make (sheet.data (), sheet.size ()),
                                &options, &findings, &result));
  lt_findings_destroy (&findings);
  return result;
}

// What several VMs share: loop, clock and store.
struct World
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  lt_manual_clock_t clock;
  lt_platform_t platform;

  World ()
  {
    (void)!sodium_init ();
    lt_log_set_level (LT_LOG_ERROR);
    lt_manual_clock_init (&clock, 1000000000000);
    lt_platform_memory_create (loop, &clock.base, &platform);
  }
  World (const World &) = delete;
  ~World ()
  {
    lt_platform_destroy (&platform);
    ev_loop_destroy (loop);
  }
  void
  turn ()
  {
    for (int i = 0; i < 10; i++)
      ev_run (loop, EVRUN_NOWAIT);
  }
  void
  fault (lt_platform_call_t kind, lt_platform_fault_t f)
  {
    lt_platform_memory_set_fault (&platform, kind, f);
  }
};

struct Site
{
  World &world;
  std::string id;
  std::string domain;
  std::string seeds;
  lt_settings_t settings;
  lt_node_t node = {};
  uint64_t incarnation = 0;

  explicit Site (World &w, const std::string &vm_id = "vm-1",
                 const std::string &failure_domain = "vest-a",
                 const std::string &seed_list = "", bool with_peers = false)
      : world (w), id (vm_id), domain (failure_domain), seeds (seed_list)
  {
    lt_settings_init (&settings);
    settings.vm_id = str_make (id.data (), id.size ());
    settings.region = settings.store_region = STR_LIT ("vest");
    settings.failure_domain = str_make (domain.data (), domain.size ());
    settings.seeds = str_make (seeds.data (), seeds.size ());
    settings.peer_secret = STR_LIT ("peer-secret-0123456789");
    if (with_peers)
      settings.peer_listen = STR_LIT ("127.0.0.1:0");
    node.loop = world.loop;
    node.dialect = &lt_dialect_default;
    node.clock = &world.clock.base;
    node.settings = &settings;
    node.platform = world.platform;
    start ();
  }
  Site (const Site &) = delete;
  ~Site () { stop (); }

  void
  start ()
  {
    node.metrics = lt_metrics_create ();
    lt_rng_init (&node.rng, std::hash<std::string>{}(id));
    node.incarnation = ++incarnation;
    node.bus = lt_bus_create (&node);
    lt_node_add_controller (&node, lt_config_controller_create (&node));
    lt_controller_t *membership = nullptr;
    if (settings.peer_listen.len == 0)
      return;
    ASSERT_EQ (0, lt_membership_controller_create (&node, &membership));
    lt_node_add_controller (&node, membership);
  }
  // The process ends; the platform stays.
  void
  stop ()
  {
    if (node.bus == nullptr)
      return;
    while (node.controller_count > 0)
      {
        lt_controller_t *c = node.controllers[--node.controller_count];
        c->vtable->destroy (c);
      }
    lt_bus_destroy (node.bus);
    node.bus = nullptr;
    lt_snapshot_ref_release (node.config);
    node.config = nullptr;
    lt_metrics_destroy (node.metrics);
    world.turn ();
  }
  void
  tick ()
  {
    for (int i = 0; i < node.controller_count; i++)
      node.controllers[i]->vtable->tick (node.controllers[i],
                                         world.clock.now_us);
  }
  std::string
  address () const
  {
    str_t text = lt_membership_controller_address (node.controllers[1]);
    return std::string (text.data, text.len);
  }

  int
  apply (const std::string &workspace, int64_t base, const char *author,
         Outcome *outcome)
  {
    return lt_config_controller_apply (node.config_controller,
                                       make_snapshot (workspace), base,
                                       str_from (author), on_applied, outcome);
  }
  int64_t
  applied () const
  {
    return node.config == nullptr ? 0 : node.config->snapshot->version;
  }
  bool
  serves () const
  {
    return lt_freshness_allows_keyed (node.freshness, world.clock.now_us);
  }
};

#endif
