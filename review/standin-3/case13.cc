// Seconds after the first start of a fleet, the store comes back from a copy
// that is older than this start, and half of the machines are killed and
// start again.  The fleet falls into two parts for good, and both lend out the
// rate of a tenant.
#include "rig.h"

using namespace rig;

namespace
{

constexpr int MACHINES = 6;
constexpr int KILLED = 3; // herd_kill, share 0.5.
constexpr int AWAY_MS = 1000;
constexpr int SETTLE_MS = 8000;
constexpr int RATE_PER_S = 58; // And its burst.
constexpr int HOT_TIMES = 8;
constexpr int HOT_MS = 6000; // hot_tenant.
constexpr int PAUSE_MS = 3500;
constexpr int CLIENTS = 4; // Of each machine, each 20 requests a second.
constexpr int64_t WINDOW_MS = 5000;
constexpr double ALLOWED = (RATE_PER_S * 5 + RATE_PER_S) * 1.1 + 20;

struct Run
{
  int64_t sent_ms;
  int64_t arrived_ms;
};

// Returns the most runs that were both sent and arrived in one window.
size_t
worst_window (const std::vector<Run> &runs)
{
  size_t worst = 0;
  for (const Run &first : runs)
    {
      size_t count = 0;
      for (const Run &run : runs)
        count += run.sent_ms >= first.sent_ms
                 && run.arrived_ms < first.sent_ms + WINDOW_MS;
      worst = std::max (worst, count);
    }
  return worst;
}

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  std::mutex mutex;
  std::vector<Run> runs;
  std::vector<std::unique_ptr<Desk>> desks;
  for (int i = 0; i < 4; i++)
    {
      desks.push_back (std::make_unique<Desk> (30, 20));
      desks.back ()->on_arrival = [&] (const Message &m) {
        int64_t sent_ms = atoll (m.header ("attempt-id").c_str ());
        std::lock_guard<std::mutex> hold (mutex);
        runs.push_back ({ sent_ms, now_ms () });
      };
      store.put ("servers", "i-" + std::to_string (i),
                 server_row ("desk", desks.back ()->address (), 30));
    }
  store.put (
      "op", "config",
      config (route ("r-1", "/once/", "unsafe", "desk", 3000), RATE_PER_S));
  store.copy ();
  int64_t copy_ms = now_ms ();
  std::vector<std::unique_ptr<Vm>> vms;
  for (int i = 0; i < MACHINES; i++)
    {
      VmOptions options;
      options.id = "edge-a-" + std::to_string (i + 1);
      vms.push_back (std::make_unique<Vm> (place, store, options));
      vms.back ()->start ();
    }
  for (auto &vm : vms)
    if (!vm->wait_ready (10000))
      record.finish (2);
  sleep_ms (1000);
  if (place.trouble)
    {
      record.line ("the store leaves; its copy is %lld ms old",
                   (long long)(now_ms () - copy_ms));
      store.leave ();
      sleep_ms (AWAY_MS);
    }
  for (int i = 0; i < KILLED; i++)
    vms[(size_t)i]->end ();
  if (place.trouble)
    store.come_back ();
  for (int i = 0; i < KILLED; i++)
    vms[(size_t)i]->start ();
  record.line ("%d of %d machines were killed, and start again", KILLED,
               MACHINES);
  sleep_ms (SETTLE_MS);
  for (auto &vm : vms)
    record.line ("%s: %s", vm->options.id.c_str (),
                 vm->is_ready () ? "ready" : "not ready");
  std::atomic<bool> stop{ false };
  std::atomic<bool> hot{ false };
  auto run_client = [&] (const Vm &vm, int client) {
    while (!stop)
      {
        sleep_ms (hot ? 50 : 20);
        if (!hot)
          continue;
        Stream stream (connect_to (vm.ip, vm.front));
        std::string id = std::to_string (now_ms ()) + "-" + vm.options.id + "-"
                         + std::to_string (client);
        Message answer;
        stream.write (request ("POST", "/once/1", id, "", "body"));
        stream.read (&answer, now_ms () + 4000);
      }
  };
  std::vector<std::thread> clients;
  for (auto &vm : vms)
    for (int i = 0; i < CLIENTS; i++)
      clients.emplace_back (run_client, std::cref (*vm), i);
  size_t worst = 0;
  for (int n = 0; n < HOT_TIMES; n++)
    {
      hot = true;
      sleep_ms (HOT_MS);
      hot = false;
      sleep_ms (PAUSE_MS);
      std::lock_guard<std::mutex> hold (mutex);
      size_t found = worst_window (runs);
      record.line ("load %d: %zu requests ran, %zu in the worst 5 s of %.1f "
                   "allowed",
                   n + 1, runs.size (), found, ALLOWED);
      worst = std::max (worst, found);
      runs.clear ();
    }
  stop = true;
  for (auto &client : clients)
    client.join ();
  record.finish ((double)worst > ALLOWED ? 1 : 0);
}
