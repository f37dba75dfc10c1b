// A server leaves under steady load: requests reach it later than drainMs
// after the store has acknowledged that, and end with it.
#include <set>

#include "rig.h"

using namespace rig;

namespace
{

constexpr int CLIENTS = 96;
constexpr int SLOTS = 6;
constexpr int WORK_MS
    = 1300; // regnly-gw-grown: 660 on average, 4,000 at most.
constexpr int TIMEOUT_MS = 6000;
constexpr int DRAIN_MS = 3000;
constexpr int STEADY_MS = 8000;
constexpr int LONGER_MS = 1500; // "and a little longer".
constexpr int ROUNDS = 3;

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  std::mutex mutex;
  std::map<std::string, int64_t> sent;
  std::set<std::string> cut;
  std::vector<std::unique_ptr<Desk>> desks;
  std::vector<int64_t> left_ms (ROUNDS + 2, 0);
  int late = 0;
  auto add_desk = [&] (int number) {
    desks.push_back (std::make_unique<Desk> (SLOTS, WORK_MS));
    desks.back ()->on_arrival = [&, number] (const Message &m) {
      std::lock_guard<std::mutex> hold (mutex);
      std::string id = m.header ("attempt-id");
      int64_t since_ms = now_ms () - left_ms[(size_t)number];
      if (left_ms[(size_t)number] == 0 || since_ms <= DRAIN_MS)
        return;
      late++;
      record.line ("%s reaches i-%d %lld ms after the acknowledgement; sent "
                   "by its client %lld ms before it: DRAIN",
                   id.c_str (), number, (long long)since_ms,
                   (long long)(left_ms[(size_t)number] - sent[id]));
    };
    desks.back ()->on_end = [&] (const Message &m, bool whole) {
      std::lock_guard<std::mutex> hold (mutex);
      if (!whole)
        cut.insert (m.header ("attempt-id"));
    };
    store.put ("servers", "i-" + std::to_string (number),
               server_row ("desk", desks.back ()->address (), SLOTS));
  };
  add_desk (0);
  add_desk (1);
  store.put (
      "op", "config",
      config (route ("r-once", "/once/", "unsafe", "desk", TIMEOUT_MS)));
  VmOptions options;
  options.id = "edge-a-1";
  Vm vm (place, store, options);
  vm.start ();
  if (!vm.wait_ready (10000))
    record.finish (2);
  std::atomic<bool> stop{ false };
  std::map<int, int> statuses;
  int cut_work = 0;
  auto run_client = [&] (int number) {
    Stream stream (connect_to (vm.ip, vm.front));
    for (int n = 0; !stop && stream.fd >= 0; n++)
      {
        std::string id
            = "c" + std::to_string (number) + "-" + std::to_string (n);
        {
          std::lock_guard<std::mutex> hold (mutex);
          sent[id] = now_ms ();
        }
        Message answer;
        if (!stream.write (request ("POST", "/once/1", id, "", "body"))
            || !stream.read (&answer, now_ms () + 13000))
          return;
        std::lock_guard<std::mutex> hold (mutex);
        statuses[answer.status ()]++;
        if (answer.status () != 200 && cut.count (id) > 0)
          {
            cut_work++;
            record.line ("%s: its run was cut; the client gets %d",
                         id.c_str (), answer.status ());
          }
      }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < CLIENTS; i++)
    clients.emplace_back (run_client, i);
  sleep_ms (STEADY_MS);
  for (int round = 0; round < ROUNDS; round++)
    {
      // A server is taken away (scale_in); later one is added (scale_out).
      if (!place.trouble)
        {
          sleep_ms (STEADY_MS);
          continue;
        }
      store.put ("servers", "i-" + std::to_string (round),
                 server_row ("desk", desks[(size_t)round]->address (), SLOTS,
                             "draining", 1764000000000, "zone-a", 5));
      {
        std::lock_guard<std::mutex> hold (mutex);
        left_ms[(size_t)round] = now_ms ();
      }
      record.line ("i-%d says that it leaves; the store has acknowledged it",
                   round);
      sleep_ms (DRAIN_MS + LONGER_MS);
      desks[(size_t)round]->exit_now ();
      store.remove ("servers", "i-" + std::to_string (round));
      record.line ("i-%d exits", round);
      add_desk (round + 2);
      sleep_ms (STEADY_MS);
    }
  stop = true;
  for (auto &client : clients)
    client.join ();
  vm.end ();
  for (const auto &entry : statuses)
    record.line ("answers %d: %d", entry.first, entry.second);
  record.line ("requests that reached a leaving server too late: %d; runs "
               "that ended with their server: %d",
               late, cut_work);
  record.finish (late > 0 ? 1 : 0);
}
