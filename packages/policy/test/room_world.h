// A hosted fleet in virtual time: VMs with the choice and room modules, and
// upstreams with slots and a bounded queue.  VMs of a failure domain learn of
// each other's requests in flight 0.1 s after a change.
#ifndef POLICY_TEST_ROOM_WORLD_H
#define POLICY_TEST_ROOM_WORLD_H

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "lt/base/error.h"
#include "lt/base/rng.h"
#include "lt/policy/choice.h"
#include "lt/policy/room.h"
#include "room_load.h"

namespace room_world
{

class World
{
public:
  World (const Options &options_, std::vector<Kind> kinds_)
      : options (options_), kinds (std::move (kinds_)),
        totals (std::make_shared<std::vector<Tally>> ())
  {
    lt_rng_init (&rng, options.seed);
    int upstream_count = options.domains * options.upstreams;
    upstreams.resize ((size_t)upstream_count);
    for (int i = 0; i < upstream_count; i++)
      upstreams[(size_t)i].domain = i / options.upstreams;
    for (int i = 0; i < options.domains * options.vms; i++)
      vms.push_back (std::make_unique<Vm> (this, i / options.vms, i));
    for (auto &vm : vms)
      report_load (*vm);
    // Called with the time, kind and domain; a factor of the kind's rate.
    demand = [] (int64_t, size_t, int) { return 1.0; };
    for (size_t k = 0; k < kinds.size (); k++)
      for (int d = 0; d < options.domains; d++)
        schedule_arrival (k, d);
  }

  // Runs until END_US.  Returns the tallies of the requests that arrive in
  // this time; requests in progress are counted in them when they end.
  std::shared_ptr<std::vector<Tally>>
  run_until (int64_t end_us)
  {
    totals = std::make_shared<std::vector<Tally>> (kinds.size ());
    while (!events.empty () && events.top ().at <= end_us)
      {
        Event event = events.top ();
        events.pop ();
        now = event.at;
        event.run ();
      }
    now = end_us;
    return totals;
  }

  // As run_until, and then lets the requests that arrived end.
  std::vector<Tally>
  run_and_finish (int64_t end_us)
  {
    counting_ends_us = end_us;
    auto result = run_until (end_us);
    run_until (end_us + 12 * S);
    return *result;
  }

  struct Upstream
  {
    int domain = 0;
    bool gone = false;         // Does not answer.
    double rejected_share = 0; // Of its requests, whatever its load.
    int running = 0;
    std::deque<std::function<void ()>> waiting;
    int most = 0;        // Requests at the same time, at most.
    int64_t used_us = 0; // Last request.
  };

  struct Request
  {
    uint64_t id;
    size_t kind;
    int vm;
    int64_t started_us;
    lt_room_request_t room;
    std::vector<uint32_t> tried;
    bool ended = false;
    std::shared_ptr<std::vector<Tally>> totals;
  };
  typedef std::shared_ptr<Request> RequestPtr;

  struct Outcomes
  {
    uint32_t successes = 0;
    uint32_t rejections = 0;
  };

  struct Vm
  {
    Vm (World *world_, int domain_, int index_)
        : world (world_), domain (domain_), index (index_)
    {
      lt_rng_init (&rng, world->options.seed * 1000 + (uint64_t)index);
      lt_choice_options_t choice_options = LT_CHOICE_OPTIONS_DEFAULT;
      if (world->options.on) // As the upstream controller does.
        {
          choice_options.rejection_loss = 0.6;
          choice_options.jitter = 0.02;
          choice_options.trusted_share = 0.1;
        }
      choice = lt_choice_create (&choice_options, &rng);
      room = lt_room_create (&world->options.room);
      uint32_t levels = 0;
      for (const Kind &kind : world->kinds)
        if (kind.level >= levels)
          levels = kind.level + 1;
      lt_room_set_levels (room, 1, levels);
      for (size_t i = 0; i < world->upstreams.size (); i++)
        {
          lt_choice_upstream_t u = {};
          u.id = i + 1;
          u.distance = world->distance (domain, world->upstreams[i].domain);
          u.slots = world->options.slots;
          descriptions.push_back (u);
        }
      lt_choice_configure (choice, descriptions.data (),
                           (uint32_t)descriptions.size (), world->now);
    }
    ~Vm ()
    {
      lt_choice_destroy (choice);
      lt_room_destroy (room);
    }
    Vm (const Vm &) = delete;
    Vm &operator= (const Vm &) = delete;

    World *world;
    int domain;
    int index;
    bool cut_off = false;
    bool off = false;
    lt_rng_t rng;
    lt_choice_t *choice;
    lt_room_t *room;
    std::vector<lt_choice_upstream_t> descriptions;
    std::map<uint64_t, RequestPtr> waiting;
    std::map<uint32_t, int> in_flight;
    std::map<uint32_t, Outcomes> changed;
    bool flush_planned = false;
    bool pump_planned = false;
    double retry_budget = 1;
  };

  lt_distance_t
  distance (int a, int b) const
  {
    if (a == b)
      return LT_DISTANCE_SAME_DOMAIN;
    return a / options.domains_per_region == b / options.domains_per_region
               ? LT_DISTANCE_SAME_REGION
               : LT_DISTANCE_OTHER_REGION;
  }

  Options options;
  std::vector<Kind> kinds;
  std::function<double (int64_t, size_t, int)> demand;
  // Workspace of a request of KIND; default: one of its equally busy ones.
  std::function<uint64_t (size_t)> workspace;
  std::vector<Upstream> upstreams;
  std::vector<std::unique_ptr<Vm>> vms;
  std::shared_ptr<std::vector<Tally>> totals;
  std::map<uint64_t, Tally> by_workspace;
  std::map<int, int> most_in_flight; // Of each VM.
  int64_t now = 100 * S;
  int64_t counting_ends_us = INT64_MAX;
  int64_t retry_pause_us = 0;

  double
  busy_share () const
  {
    int running = 0;
    for (const Upstream &u : upstreams)
      running += u.running;
    return (double)running / ((double)upstreams.size () * options.slots);
  }

private:
  struct Event
  {
    int64_t at;
    uint64_t order;
    std::function<void ()> run;
    bool
    operator<(const Event &other) const
    {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void
  at (int64_t time, std::function<void ()> run)
  {
    events.push ({ time, ++order, std::move (run) });
  }

  void
  schedule_arrival (size_t k, int d)
  {
    double factor = demand (now, k, d);
    double rate = kinds[k].rate_per_s * factor;
    if (rate <= 0)
      {
        at (now + 20 * MS, [=] { schedule_arrival (k, d); });
        return;
      }
    int64_t wait = (int64_t)lt_rng_exponential (&rng, (double)S / rate);
    at (now + wait, [=] {
      if (now < counting_ends_us)
        {
          arrive (k, d);
          schedule_arrival (k, d);
        }
    });
  }

  void
  arrive (size_t k, int d)
  {
    int vm = d * options.vms + (int)lt_rng_below (&rng, (uint64_t)options.vms);
    while (vms[(size_t)vm]->off)
      vm = d * options.vms + (int)lt_rng_below (&rng, (uint64_t)options.vms);
    uint64_t w
        = workspace ? workspace (k)
                    : 1 + k * 100
                          + lt_rng_below (&rng, (uint64_t)kinds[k].workspaces);
    (*totals)[k].offered++;
    by_workspace[w].offered++;
    submit (k, vm, w, now, totals);
  }

  void
  submit (size_t k, int vm, uint64_t w, int64_t first_us,
          std::shared_ptr<std::vector<Tally>> tallies)
  {
    auto request = std::make_shared<Request> ();
    request->id = ++order;
    request->totals = std::move (tallies);
    request->kind = k;
    request->vm = vm;
    request->started_us = first_us;
    request->room.id = request->id;
    request->room.service = 1;
    request->room.route = 50 + k;
    request->room.workspace = w;
    request->room.level = kinds[k].level;
    request->room.target_us = now + kinds[k].target_us;
    request->room.deadline_us = now + kinds[k].deadline_us / 2;
    request->room.bytes = 1000;
    vms[(size_t)vm]->retry_budget += 0.18;
    start (request);
  }

  lt_room_view_t
  view (const Vm &vm)
  {
    lt_room_view_t v = {};
    v.vms = (uint32_t)options.vms;
    for (const auto &u : vm.descriptions)
      lt_choice_load_add (v.loads, vm.choice, &u, now);
    return v;
  }

  void
  refuse (const RequestPtr &request, int64_t retry_after_us)
  {
    if (request->ended)
      return;
    request->ended = true;
    const Kind &kind = kinds[request->kind];
    bool again
        = kind.retries_at_once
          && now + retry_pause_us < request->started_us + kind.target_us;
    (void)retry_after_us;
    if (!again)
      {
        (*request->totals)[request->kind].refused++;
        return;
      }
    int vm = (int)lt_rng_below (&rng, (uint64_t)options.vms)
             + request->vm / options.vms * options.vms;
    at (now + retry_pause_us, [=] {
      submit (request->kind, vm, request->room.workspace, request->started_us,
              request->totals);
    });
  }

  void
  start (const RequestPtr &request)
  {
    Vm &vm = *vms[(size_t)request->vm];
    if (!options.on || !lt_room_covers (vm.room, 1))
      {
        if (attempt (request, nullptr, false) != 0)
          refuse (request, S);
        return;
      }
    lt_room_answer_t answer = {};
    lt_room_view_t v = view (vm);
    lt_room_verdict_t verdict
        = lt_room_offer (vm.room, &request->room, &v, now, &answer);
    if (verdict == LT_ROOM_SEND)
      {
        int error = attempt (request, &answer.limits, false);
        if (error == 0)
          return;
        if (error != -LT_EFULL)
          {
            refuse (request, S);
            return;
          }
        verdict = lt_room_hold (vm.room, &request->room, &v, now, &answer);
      }
    if (verdict != LT_ROOM_WAIT)
      {
        refuse (request, answer.retry_after_us);
        return;
      }
    vm.waiting[request->id] = request;
    plan_pump (vm, 25 * MS);
  }

  void
  plan_pump (Vm &vm, int64_t wait_us)
  {
    if (vm.pump_planned || vm.waiting.empty ())
      return;
    vm.pump_planned = true;
    at (now + wait_us, [this, &vm] {
      vm.pump_planned = false;
      pump (vm);
      plan_pump (vm, 25 * MS);
    });
  }

  void
  pump (Vm &vm)
  {
    lt_room_view_t v = view (vm);
    lt_room_refusal_t refusals[64];
    size_t count = lt_room_expire (vm.room, &v, 1, now, refusals, 64);
    for (size_t i = 0; i < count; i++)
      {
        RequestPtr request = vm.waiting[refusals[i].id];
        vm.waiting.erase (refusals[i].id);
        refuse (request, refusals[i].retry_after_us);
      }
    lt_room_answer_t answer = {};
    uint64_t id;
    while ((v = view (vm), id = lt_room_next (vm.room, 1, &v, now, &answer))
           != 0)
      {
        RequestPtr request = vm.waiting[id];
        int error = attempt (request, &answer.limits, answer.owed);
        if (error == -LT_EFULL)
          return;
        vm.waiting.erase (id);
        if (error == 0)
          continue;
        lt_room_cancel (vm.room, id);
        refuse (request, S);
      }
  }

  int
  attempt (const RequestPtr &request, const lt_choice_limits_t *limits,
           bool owed)
  {
    Vm &vm = *vms[(size_t)request->vm];
    lt_choice_request_t pick = {};
    pick.tried = request->tried.data ();
    pick.tried_count = (uint32_t)request->tried.size ();
    pick.repeatable = kinds[request->kind].repeatable;
    pick.limits = limits;
    int64_t index = lt_choice_pick (vm.choice, &pick, now);
    if (index < 0)
      return (int)index;
    uint32_t u = (uint32_t)index;
    lt_distance_t far = vm.descriptions[u].distance;
    request->tried.push_back (u);
    lt_choice_begin_attempt (vm.choice, u + 1, now);
    vm.in_flight[u]++;
    int sum = 0;
    for (const auto &f : vm.in_flight)
      sum += f.second;
    if (sum > most_in_flight[vm.index])
      most_in_flight[vm.index] = sum;
    if (options.on)
      lt_room_sent (vm.room, &request->room, far, owed, now);
    mark_changed (vm, u);
    int64_t network = far == LT_DISTANCE_OTHER_REGION ? 40 * MS : 2 * MS;
    int64_t sent_us = now;
    at (now + network / 2, [=] { deliver (request, u, network, sent_us); });
    return 0;
  }

  void
  deliver (const RequestPtr &request, uint32_t u, int64_t network,
           int64_t sent_us)
  {
    Upstream &upstream = upstreams[u];
    upstream.used_us = now;
    if (upstream.gone)
      {
        at (now + network / 2,
            [=] { end (request, u, LT_CHOICE_UNREACHABLE, sent_us); });
        return;
      }
    if (lt_rng_unit (&rng) < upstream.rejected_share
        || (int)upstream.waiting.size () >= options.queue)
      {
        (*request->totals)[request->kind].rejected++;
        at (now + network / 2,
            [=] { end (request, u, LT_CHOICE_SHED, sent_us); });
        return;
      }
    const Kind &kind = kinds[request->kind];
    double factor = 0.6 + 0.7 * lt_rng_unit (&rng);
    if (lt_rng_unit (&rng) < 0.02)
      factor *= 6;
    int64_t work = (int64_t)(factor * (double)kind.mean_us);
    auto run = [=] {
      upstreams[u].running++;
      at (now + work, [=] {
        Upstream &self = upstreams[u];
        self.running--;
        at (now + network / 2,
            [=] { end (request, u, LT_CHOICE_SUCCESS, sent_us); });
        if (self.waiting.empty ())
          return;
        auto next = self.waiting.front ();
        self.waiting.pop_front ();
        next ();
      });
    };
    if (upstream.running < options.slots)
      run ();
    else
      upstream.waiting.push_back (run);
    int count = upstream.running + (int)upstream.waiting.size ();
    if (count > upstream.most)
      upstream.most = count;
  }

  void
  end (const RequestPtr &request, uint32_t u, lt_choice_evidence_t evidence,
       int64_t sent_us)
  {
    Vm &vm = *vms[(size_t)request->vm];
    lt_choice_end_attempt (vm.choice, u + 1);
    vm.in_flight[u]--;
    lt_choice_observe (vm.choice, u + 1, evidence, now);
    if (options.on)
      lt_room_ended (vm.room, 1, request->room.route,
                     vm.descriptions[u].distance, evidence == LT_CHOICE_SHED,
                     evidence == LT_CHOICE_SUCCESS ? now - sent_us : -1, now);
    mark_changed (vm, u);
    vm.changed[u].successes += evidence == LT_CHOICE_SUCCESS;
    vm.changed[u].rejections += evidence == LT_CHOICE_SHED;
    if (evidence == LT_CHOICE_SUCCESS)
      finish (request);
    else if (evidence == LT_CHOICE_UNREACHABLE
             || (request->tried.size () < 3 && vm.retry_budget >= 1))
      {
        if (evidence != LT_CHOICE_UNREACHABLE)
          vm.retry_budget -= 1;
        if (request->tried.size () < 6)
          start (request);
        else
          refuse (request, S);
      }
    else
      refuse (request, S);
    if (options.on)
      pump (vm);
  }

  void
  finish (const RequestPtr &request)
  {
    if (request->ended)
      return;
    request->ended = true;
    const Kind &kind = kinds[request->kind];
    Tally &tally = (*request->totals)[request->kind];
    int64_t took = now - request->started_us;
    if (took > kind.deadline_us / 2)
      return;
    tally.served++;
    tally.finished += now <= counting_ends_us;
    by_workspace[request->room.workspace].served++;
    tally.on_time += took <= kind.target_us;
    tally.value
        += took <= kind.target_us
               ? 1
               : 1
                     - (double)(took - kind.target_us)
                           / (double)(kind.deadline_us - kind.target_us);
  }

  // Each 0.25 s a VM reports the load of its failure domain to one VM of
  // another failure domain of the region and to one of another region.
  void
  report_load (Vm &vm)
  {
    at (now + (int64_t)lt_rng_below (&rng, 500 * MS), [this, &vm] {
      if (counting_ends_us == INT64_MAX || now < counting_ends_us + 10 * S)
        report_load (vm);
      if (!options.on || vm.cut_off)
        return;
      for (lt_distance_t d :
           { LT_DISTANCE_SAME_REGION, LT_DISTANCE_OTHER_REGION })
        {
          std::vector<Vm *> others;
          for (auto &other : vms)
            if (distance (vm.domain, other->domain) == d && !other->cut_off)
              others.push_back (other.get ());
          lt_choice_load_t near = view (vm).loads[LT_DISTANCE_SAME_DOMAIN];
          if (others.empty () || near.slots == 0)
            continue;
          Vm *other = others[lt_rng_below (&rng, others.size ())];
          int32_t load_milli = near.in_flight * 1000 / near.slots;
          at (now + 20 * MS, [=, &vm] {
            lt_room_set_load (other->room, 1, d, (uint64_t)vm.domain + 1,
                              load_milli, now);
          });
        }
    });
  }

  void
  mark_changed (Vm &vm, uint32_t u)
  {
    (void)vm.changed[u];
    if (vm.flush_planned)
      return;
    vm.flush_planned = true;
    at (now + 100 * MS, [this, &vm] { flush (vm); });
  }

  void
  flush (Vm &vm)
  {
    vm.flush_planned = false;
    std::map<uint32_t, int> items;
    std::map<uint32_t, Outcomes> outcomes;
    for (const auto &changed : vm.changed)
      items[changed.first] = vm.in_flight[changed.first];
    outcomes.swap (vm.changed);
    if (vm.cut_off)
      return;
    at (now + 2 * MS, [=, &vm] {
      for (auto &other : vms)
        {
          if (other->domain != vm.domain || other.get () == &vm
              || other->cut_off)
            continue;
          for (const auto &item : items)
            {
              const Outcomes &o = outcomes.at (item.first);
              lt_choice_observe_peer (other->choice, item.first + 1,
                                      o.successes, 0, now);
              if (options.on && o.rejections > 0)
                lt_choice_observe_peer_rejections (
                    other->choice, item.first + 1, o.rejections, now);
              lt_choice_set_peer_load (other->choice, item.first + 1,
                                       (uint64_t)vm.index + 1, item.second,
                                       now);
            }
          lt_room_note_peer (other->room, (uint64_t)vm.index + 1, now);
          if (options.on)
            plan_pump (*other, 5 * MS);
        }
    });
  }

  lt_rng_t rng;
  std::priority_queue<Event> events;
  uint64_t order = 0;
};

} // namespace room_world

#endif
