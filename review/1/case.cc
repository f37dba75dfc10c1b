// A planned stop of one machine while a tenant asks for more than its rate.
#include "../standin/fleet.h"

#include <algorithm>

using namespace fleet;

namespace
{

constexpr int MACHINES = 3;
constexpr int SERVERS = 28;
constexpr int CLIENTS = 12; // For each machine.
constexpr int PAUSE_MS = 100;
constexpr int WORK_MS = 20;
constexpr int DEADLINE_MS = 1500;
constexpr int STOP_MS = 1000; // SIGTERM, after the traffic's start.
constexpr int LENGTH_MS = 9000;
constexpr int GRACE_MS = 6000;

// As in the example of the configuration on the pages.
const Tenant TENANT = { "kaje80", "i9n73hh2b9wu3fexd9dn", 78, 78 };

// The bounds of the site.
constexpr int WINDOW_MS = 5000;
constexpr double OVER = 0.1;
constexpr int SLACK = 20;

std::mutex lock;
std::map<std::string, int64_t> sent_ms; // By attempt.
// When requests began to run, and were sent.
std::vector<std::pair<int64_t, int64_t>> runs;
std::atomic<int> refused{ 0 };

void
send_requests (Record *record, Entry *entry, int number, int64_t until_ms)
{
  sleep_ms (number * PAUSE_MS / (CLIENTS * MACHINES));
  while (now_ms () < until_ms)
    {
      const Machine *machine = entry->pick ((size_t)number);
      auto link = connect_to (machine->ip, Ports::front);
      std::string attempt = next_attempt ();
      std::string status = "nothing";
      Message answer;
      record->add ("sent     %s to %s", attempt.c_str (),
                   machine->id.c_str ());
      {
        std::lock_guard<std::mutex> guard (lock);
        sent_ms[attempt] = now_ms ();
      }
      if (link != nullptr
          && link->write (request_text (attempt, "POST", "/unsafe/2f",
                                        TENANT.key, DEADLINE_MS))
          && link->read (&answer, now_ms () + DEADLINE_MS) == Wait::Arrived)
        status = answer.word (1);
      refused += status == "429";
      record->add ("answered %s %s", attempt.c_str (), status.c_str ());
      sleep_ms (PAUSE_MS);
    }
}

// Returns the largest number of requests that were both sent and run within
// one window.
size_t
count_most (int64_t *at_ms)
{
  std::sort (runs.begin (), runs.end ());
  size_t most = 0;
  for (size_t i = 0; i < runs.size (); i++)
    {
      int64_t begin_ms = runs[i].second;
      size_t count = 0;
      for (const auto &run : runs)
        count += run.second >= begin_ms && run.first < begin_ms + WINDOW_MS;
      if (count <= most)
        continue;
      most = count;
      *at_ms = begin_ms;
    }
  return most;
}

} // namespace

int
main (int argc, char **argv)
{
  Deployment deployment (argc > 1 ? argv[1] : ".");
  Record &record = deployment.record;
  for (int i = 0; i < SERVERS; i++)
    deployment.add_server ("quotes-desk", 3, WORK_MS).on_run
        = [] (const std::string &attempt, const Message &) {
            std::lock_guard<std::mutex> guard (lock);
            runs.push_back ({ now_ms (), sent_ms[attempt] });
          };
  deployment.store.put ("op", "config", config_text ("00000007", { TENANT }));
  for (int i = 0; i < MACHINES; i++)
    deployment.add_machine ();
  if (!deployment.start ())
    deployment.finish (EXIT_COULD_NOT_RUN, "the fleet did not start");
  Entry entry (&deployment);
  sleep_ms (4000); // As on the platform, traffic comes some seconds later.
  int64_t began_ms = now_ms ();
  std::vector<std::thread> clients;
  for (int i = 0; i < CLIENTS * MACHINES; i++)
    clients.emplace_back (send_requests, &record, &entry, i,
                          began_ms + LENGTH_MS);
  sleep_ms (STOP_MS);
  Machine &stopped = *deployment.machines[0];
  if (has_trouble ())
    {
      record.add ("SIGTERM  to %s", stopped.id.c_str ());
      stopped.send (SIGTERM);
      while (!stopped.has_ended ()
             && now_ms () < began_ms + STOP_MS + GRACE_MS)
        sleep_ms (5);
      record.add ("ended    %s", stopped.id.c_str ());
      stopped.end ();
      stopped.start ();
    }
  for (std::thread &client : clients)
    client.join ();
  std::lock_guard<std::mutex> guard (lock);
  int64_t at_ms = 0;
  size_t most = count_most (&at_ms);
  double allowed
      = (TENANT.rate_per_s * WINDOW_MS / 1000.0 + TENANT.burst) * (1 + OVER)
        + SLACK;
  char summary[240];
  snprintf (summary, sizeof (summary),
            "requests run %zu, refused with 429 %d; in the %d ms from %lld ms "
            "after the traffic's start %zu ran, %.1f are allowed",
            runs.size (), refused.load (), WINDOW_MS,
            (long long)(at_ms - began_ms), most, allowed);
  if (refused.load () == 0 || most < (size_t)TENANT.burst)
    deployment.finish (EXIT_COULD_NOT_RUN, summary);
  deployment.finish ((double)most > allowed ? EXIT_BROKEN : EXIT_HELD,
                     summary);
}
