// The machines of a failure domain are replaced one after the other.  Later
// all processes are killed once and started again: the domain does not come
// back, since its machines wait for those that are gone.
#include "rig.h"

using namespace rig;

namespace
{

constexpr int REPLACED = 18;
constexpr int LIVE = 2;
constexpr int RATE_PER_S = 50;
constexpr int RECOVERY_MS = 15000;
constexpr int JUDGED_MS = 6000;
constexpr int GRACE_MS = 6000;
constexpr int CALM_MS = 8000;
constexpr int READY_MS = 2500; // Longest wait for a machine in the series.

struct Count
{
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> over_rate{ 0 };
};

// A machine and the platform's view of it.
struct Machine
{
  explicit Machine (std::unique_ptr<Vm> vm_) : vm (std::move (vm_)) {}

  std::unique_ptr<Vm> vm;
  std::atomic<bool> present{ true };
  std::atomic<int> misses{ 0 };
  int64_t term_ms = 0;
};

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  std::vector<std::unique_ptr<Desk>> desks;
  for (int i = 0; i < 3; i++)
    {
      desks.push_back (std::make_unique<Desk> (6, 50));
      store.put ("servers", "i-" + std::to_string (i),
                 server_row ("desk", desks.back ()->address (), 6));
    }
  store.put ("op", "config",
             config (route ("r-once", "/once/", "unsafe", "desk", 6000), 58));
  std::mutex mutex;
  std::vector<std::unique_ptr<Machine>> machines;
  auto add = [&] {
    VmOptions options;
    options.id = "edge-a-" + std::to_string (10 + machines.size ());
    auto machine = std::make_unique<Machine> (
        std::make_unique<Vm> (place, store, options));
    machine->vm->start ();
    std::lock_guard<std::mutex> hold (mutex);
    machines.push_back (std::move (machine));
    return machines.back ().get ();
  };
  std::atomic<bool> stop{ false };
  // The platform: asks each machine once a second; two misses take it out of
  // rotation, unless that would leave none.
  auto ask_machines = [&] {
    while (!stop)
      {
        std::vector<Machine *> all;
        {
          std::lock_guard<std::mutex> hold (mutex);
          for (auto &m : machines)
            if (m->present)
              all.push_back (m.get ());
        }
        for (Machine *m : all)
          m->misses = m->vm->is_ready () ? 0 : m->misses + 1;
        sleep_ms (1000);
      }
  };
  auto pick = [&] (unsigned number) -> Vm * {
    std::lock_guard<std::mutex> hold (mutex);
    std::vector<Machine *> ready;
    std::vector<Machine *> present;
    for (auto &m : machines)
      if (m->present)
        {
          present.push_back (m.get ());
          if (m->misses < 2)
            ready.push_back (m.get ());
        }
    const auto &from = ready.empty () ? present : ready;
    return from.empty () ? nullptr : from[number % from.size ()]->vm.get ();
  };
  Count before;
  Count after;
  std::atomic<Count *> counting{ &before };
  auto run_requests = [&] {
    for (unsigned n = 0; !stop; n++)
      {
        Vm *vm = pick (n);
        Count *count = counting;
        std::thread ([&, n, vm, count] {
          if (count == nullptr || vm == nullptr)
            return;
          count->sent++;
          Stream stream (connect_to (vm->ip, vm->front));
          Message answer;
          stream.write (request ("POST", "/once/1", "q" + std::to_string (n),
                                 "", "body"));
          if (!stream.read (&answer, now_ms () + 7000))
            return;
          count->served += answer.status () == 200;
          count->over_rate += answer.status () == 429;
        }).detach ();
        sleep_ms (1000 / RATE_PER_S);
      }
  };
  for (int i = 0; i < LIVE; i++)
    if (!add ()->vm->wait_ready (10000))
      record.finish (2);
  std::thread (ask_machines).detach ();
  std::thread (run_requests).detach ();
  sleep_ms (CALM_MS);
  for (int i = 0; i < REPLACED; i++)
    {
      Machine *leaving
          = machines[(size_t)(place.trouble ? i : i % LIVE)].get ();
      if (place.trouble)
        {
          Machine *added = add ();
          bool ready = added->vm->wait_ready (READY_MS);
          record.line ("%s is added (%s), %s leaves by SIGTERM",
                       added->vm->options.id.c_str (),
                       ready ? "ready" : "not ready yet",
                       leaving->vm->options.id.c_str ());
        }
      leaving->vm->signal (SIGTERM);
      int status = 0;
      if (!place.trouble)
        {
          // The same machine starts again.
          int64_t until = now_ms () + GRACE_MS;
          while (!leaving->vm->ended (&status) && now_ms () < until)
            sleep_ms (20);
          leaving->vm->end ();
          leaving->vm->start ();
          leaving->vm->wait_ready (READY_MS);
          continue;
        }
      leaving->present = false;
      leaving->term_ms = now_ms ();
      for (auto &m : machines)
        if (!m->present && m->vm->pid > 0
            && (m->vm->ended (&status) || now_ms () > m->term_ms + GRACE_MS))
          m->vm->end ();
    }
  counting = nullptr;
  record.line ("all processes are killed, and started again after 1 s");
  for (auto &m : machines)
    m->vm->end ();
  sleep_ms (1000);
  for (auto &m : machines)
    if (m->present)
      m->vm->start ();
  sleep_ms (RECOVERY_MS + 1000);
  counting = &after;
  sleep_ms (JUDGED_MS);
  counting = nullptr;
  sleep_ms (3000);
  for (auto &m : machines)
    if (m->present)
      record.line ("%s: %s", m->vm->options.id.c_str (),
                   m->vm->is_ready () ? "ready" : "not ready");
  record.line ("before: %d of %d served, %d got 429", (int)before.served,
               (int)before.sent, (int)before.over_rate);
  record.line ("15 s after the processes are back: %d of %d served, %d got "
               "429",
               (int)after.served, (int)after.sent, (int)after.over_rate);
  bool broken
      = after.served * 4 < after.sent && before.served * 4 >= before.sent;
  record.finish (broken ? 1 : 0);
}
