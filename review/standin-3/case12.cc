// A planned stop under steady load: requests that the process has read, and
// has passed on to no server, end with a closed connection.
#include <set>

#include "rig.h"

using namespace rig;

namespace
{

constexpr int CLIENTS = 72;
constexpr int SERVERS = 2;
constexpr int SLOTS = 6;
constexpr int WORK_MS
    = 1300; // regnly-gw-grown: 660 on average, 4,000 at most.
constexpr int TIMEOUT_MS = 6000;
constexpr int GRACE_MS = 6000;
constexpr int SLACK_MS = 200; // lossSlackMs.
constexpr int STEADY_MS = 8000;

struct Lost
{
  std::string id;
  int64_t sent_ms;
  int64_t closed_ms;
};

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  std::mutex mutex;
  std::set<std::string> arrived;
  std::vector<std::unique_ptr<Desk>> desks;
  for (int i = 0; i < SERVERS; i++)
    {
      desks.push_back (std::make_unique<Desk> (SLOTS, WORK_MS));
      desks.back ()->on_arrival = [&] (const Message &m) {
        std::lock_guard<std::mutex> hold (mutex);
        arrived.insert (m.header ("attempt-id"));
      };
      store.put ("servers", "i-" + std::to_string (i),
                 server_row ("desk", desks.back ()->address (), SLOTS));
    }
  store.put (
      "op", "config",
      config (route ("r-once", "/once/", "unsafe", "desk", TIMEOUT_MS)));
  VmOptions options;
  options.id = "edge-a-1";
  Vm vm (place, store, options);
  vm.start ();
  if (!vm.wait_ready (10000))
    record.finish (2);
  sleep_ms (1500);
  std::atomic<bool> stop{ false };
  std::map<int, int> statuses;
  std::vector<Lost> closed;
  std::vector<std::thread> clients;
  auto run_client = [&] (int number) {
    for (int n = 0; !stop;)
      {
        Stream stream (connect_to (vm.ip, vm.front));
        if (stream.fd < 0)
          return;
        bool kept = true;
        while (kept && !stop)
          {
            std::string id
                = "c" + std::to_string (number) + "-" + std::to_string (n++);
            if (!stream.write (request ("POST", "/once/1", id, "", "body")))
              break;
            int64_t sent_ms = now_ms ();
            Message answer;
            bool got = stream.read (&answer, now_ms () + 13000);
            std::lock_guard<std::mutex> hold (mutex);
            if (got)
              statuses[answer.status ()]++;
            else if (!stop || place.trouble)
              closed.push_back ({ id, sent_ms, now_ms () });
            kept = got && answer.header ("connection") != "close"
                   && answer.status () != 503;
          }
        sleep_ms (100);
      }
  };
  for (int i = 0; i < CLIENTS; i++)
    clients.emplace_back (run_client, i);
  sleep_ms (STEADY_MS);
  int64_t term_ms = now_ms ();
  int status = 0;
  bool ended = false;
  if (place.trouble)
    {
      record.line ("SIGTERM; SIGKILL follows after graceS");
      vm.signal (SIGTERM);
    }
  while (!ended && now_ms () < term_ms + GRACE_MS)
    {
      ended = vm.ended (&status);
      sleep_ms (10);
    }
  int64_t end_ms = now_ms ();
  if (!place.trouble)
    {
      stop = true; // Each client still gets its answer.
      for (auto &client : clients)
        client.join ();
    }
  record.line (ended ? "the process has ended" : "SIGKILL");
  vm.end ();
  stop = true;
  if (place.trouble)
    for (auto &client : clients)
      client.join ();
  int lost = 0;
  for (const Lost &l : closed)
    {
      bool passed_on = arrived.count (l.id) > 0;
      bool counts = !passed_on && l.closed_ms - l.sent_ms > SLACK_MS
                    && l.closed_ms - l.sent_ms < TIMEOUT_MS
                    && l.sent_ms < end_ms;
      record.line ("%s: sent %lld ms after SIGTERM, closed without an answer "
                   "%lld ms later; %s%s",
                   l.id.c_str (), (long long)(l.sent_ms - term_ms),
                   (long long)(l.closed_ms - l.sent_ms),
                   passed_on ? "a server is at work on it"
                             : "no server has got it",
                   counts ? ": LOST" : "");
      lost += counts;
    }
  for (const auto &entry : statuses)
    record.line ("answers %d: %d", entry.first, entry.second);
  record.line ("lost: %d", lost);
  record.finish (lost > 0 ? 1 : 0);
}
