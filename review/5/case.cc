// Planned stops while clients send one request right after the other on kept
// connections.
#include "../standin/fleet.h"

using namespace fleet;

namespace
{

constexpr int MACHINES = 2;
constexpr int SERVERS = 28;
constexpr int CLIENTS = 30; // Of each machine, one request at a time.
constexpr int WORK_MS = 800;
constexpr int DEADLINE_MS = 1500; // Also the timeout of the route.
constexpr int THINK_MS = 0;       // Between an answer and the next request.
constexpr int LENGTH_MS = 30000;
constexpr int FIRST_STOP_MS = 3000;
constexpr int STOP_EVERY_MS = 6000;

const char KEY[] = "i9n73hh2b9wu3fexd9dn";

struct Run
{
  int64_t began_ms;
};

std::mutex lock;
std::map<std::string, Run> runs; // By attempt.
std::map<const Machine *, int64_t> stopped_ms;
std::atomic<int> sent{ 0 };
std::atomic<int> served{ 0 };
std::atomic<int> cut_early{ 0 };
std::atomic<int> lost{ 0 };

void
send_orders (Deployment *deployment, const Machine *machine, int number,
             int64_t until_ms)
{
  std::unique_ptr<Link> link;
  sleep_ms (number * 7919 % WORK_MS);
  while (now_ms () < until_ms)
    {
      if (link == nullptr)
        link = connect_to (machine->ip, Ports::front);
      if (link == nullptr)
        {
          sleep_ms (20);
          continue;
        }
      sleep_ms (THINK_MS);
      std::string attempt = next_attempt ();
      std::string text = request_text (attempt, "POST", "/unsafe/2f", KEY,
                                       DEADLINE_MS, std::string (300, 'b'));
      Message answer;
      int64_t sent_ms = now_ms ();
      sent++;
      deployment->record.add ("sent     %s to %s", attempt.c_str (),
                              machine->id.c_str ());
      Wait wait = Wait::Ended;
      if (link->write (text))
        wait = link->read (&answer, sent_ms + DEADLINE_MS + 500);
      int64_t took_ms = now_ms () - sent_ms;
      if (wait != Wait::Arrived)
        {
          deployment->record.add ("no answer %s", attempt.c_str ());
          link = nullptr;
          continue;
        }
      deployment->record.add ("answered %s %s after %lld ms", attempt.c_str (),
                              answer.word (1).c_str (), (long long)took_ms);
      served += !answer.header ("server-seal").empty ();
      if (answer.header ("connection") == "close")
        link = nullptr;
      std::lock_guard<std::mutex> guard (lock);
      if (answer.word (1) != "504" || took_ms > DEADLINE_MS - 200
          || runs.count (attempt) == 0)
        continue;
      cut_early++;
      int64_t stop_ms = stopped_ms[machine];
      if (stop_ms == 0 || now_ms () < stop_ms)
        continue;
      lost++;
      deployment->record.add (
          "LOST     %s broken off at %lld of %d ms, %lld ms after SIGTERM, "
          "while its server was at work",
          attempt.c_str (), (long long)took_ms, DEADLINE_MS,
          (long long)(now_ms () - stop_ms));
    }
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
            runs[attempt].began_ms = now_ms ();
          };
  deployment.store.put ("op", "config",
                        config_text ("00000007", { { "kaje80", KEY, 0, 0 } }));
  for (int i = 0; i < MACHINES; i++)
    deployment.add_machine ();
  if (!deployment.start ())
    deployment.finish (EXIT_COULD_NOT_RUN, "the fleet did not start");
  int64_t began_ms = now_ms ();
  std::vector<std::thread> clients;
  for (auto &machine : deployment.machines)
    for (int i = 0; i < CLIENTS; i++)
      clients.emplace_back (send_orders, &deployment, machine.get (), i,
                            began_ms + LENGTH_MS);
  int64_t next_ms = began_ms + FIRST_STOP_MS;
  for (size_t i = 0; has_trouble () && next_ms < began_ms + LENGTH_MS; i++)
    {
      Machine &machine = *deployment.machines[i % MACHINES];
      sleep_ms (next_ms - now_ms ());
      {
        std::lock_guard<std::mutex> guard (lock);
        stopped_ms[&machine] = now_ms ();
      }
      record.add ("SIGTERM  to %s", machine.id.c_str ());
      machine.send (SIGTERM);
      while (!machine.has_ended ())
        sleep_ms (5);
      record.add ("ended    %s", machine.id.c_str ());
      sleep_ms (300);
      {
        std::lock_guard<std::mutex> guard (lock);
        stopped_ms[&machine] = 0;
      }
      machine.start ();
      next_ms += STOP_EVERY_MS;
    }
  for (std::thread &client : clients)
    client.join ();
  char summary[200];
  snprintf (summary, sizeof (summary),
            "orders sent %d, served %d, broken off early %d, of these after "
            "SIGTERM %d",
            sent.load (), served.load (), cut_early.load (), lost.load ());
  if (served.load () < CLIENTS * MACHINES)
    deployment.finish (EXIT_COULD_NOT_RUN, summary);
  deployment.finish (lost.load () > 0 ? EXIT_BROKEN : EXIT_HELD, summary);
}
