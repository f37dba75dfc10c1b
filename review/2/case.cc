// The operator takes the last tenant out of the configuration, because its key
// has become known.
#include "../standin/fleet.h"

using namespace fleet;

namespace
{

constexpr int MACHINES = 3;
constexpr int SERVERS = 6;
constexpr int WORK_MS = 20;
constexpr int DEADLINE_MS = 1500;
constexpr int APPLY_MS = 2500; // configApplyMs
constexpr int ROUNDS = 10;

const char WITHDRAWN[] = "i9n73hh2b9wu3fexd9dn";
const char NEVER_VALID[] = "zz0000000000000000zz";

std::mutex lock;
std::map<std::string, int> runs; // By attempt.

struct Outcome
{
  int sent = 0;
  int ran = 0;
};

void
send_order (Deployment *deployment, const Machine &machine, const char *key,
            Outcome *outcome)
{
  Record &record = deployment->record;
  std::string attempt = next_attempt ();
  auto link = connect_to (machine.ip, Ports::front);
  Message answer;
  record.add ("sent     %s with key %s to %s", attempt.c_str (), key,
              machine.id.c_str ());
  if (link == nullptr
      || !link->write (request_text (attempt, "POST", "/unsafe/2f", key,
                                     DEADLINE_MS, "one panel"))
      || link->read (&answer, now_ms () + DEADLINE_MS) != Wait::Arrived)
    deployment->finish (EXIT_COULD_NOT_RUN, "a machine does not answer");
  outcome->sent++;
  std::lock_guard<std::mutex> guard (lock);
  outcome->ran += runs.count (attempt) > 0;
  record.add ("answered %s %s, %s", attempt.c_str (), answer.word (1).c_str (),
              runs.count (attempt) > 0 ? "ran" : "did not run");
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
            runs[attempt]++;
          };
  deployment.store.put (
      "op", "config",
      config_text ("00000007", { { "kaje80", WITHDRAWN, 78, 78 } }));
  for (int i = 0; i < MACHINES; i++)
    deployment.add_machine ();
  if (!deployment.start ())
    deployment.finish (EXIT_COULD_NOT_RUN, "the fleet did not start");
  sleep_ms (4000);
  Outcome before;
  Outcome unknown_before;
  for (auto &machine : deployment.machines)
    {
      send_order (&deployment, *machine, WITHDRAWN, &before);
      send_order (&deployment, *machine, NEVER_VALID, &unknown_before);
    }
  if (before.ran < MACHINES || unknown_before.ran > 0)
    deployment.finish (EXIT_COULD_NOT_RUN, "keys do not work as configured");
  if (has_trouble ())
    {
      deployment.store.put ("op", "config", config_text ("0000000c", {}));
      record.add ("version 0000000c, with no tenants, is acknowledged");
    }
  sleep_ms (APPLY_MS + 500);
  Outcome withdrawn;
  Outcome never_valid;
  for (int i = 0; i < ROUNDS; i++)
    for (auto &machine : deployment.machines)
      {
        send_order (&deployment, *machine, WITHDRAWN, &withdrawn);
        send_order (&deployment, *machine, NEVER_VALID, &never_valid);
      }
  char summary[200];
  snprintf (summary, sizeof (summary),
            "%d ms after the acknowledgement: with the tenant's key %d of %d "
            "orders ran, with a key that no version ever held %d of %d",
            APPLY_MS + 500, withdrawn.ran, withdrawn.sent, never_valid.ran,
            never_valid.sent);
  bool broken = never_valid.ran > 0 || (has_trouble () && withdrawn.ran > 0);
  deployment.finish (broken ? EXIT_BROKEN : EXIT_HELD, summary);
}
