// Many clients at once whose requests have many header lines, all within the
// limits: the process takes more memory than its machine has.
#include <poll.h>
#include <sys/resource.h>

#include "rig.h"

using namespace rig;

namespace
{

constexpr int MEMORY_MB = 160; // LATER.md: 160 to 512 MB.
constexpr int CLIENTS = 1300;
constexpr size_t LIMIT_BYTES = 16384; // maxHeaderBytes.
constexpr size_t VALUE_BYTES = 24;
constexpr size_t LINES_BYTES = 12800;
constexpr int SERVERS = 6;
constexpr int WORK_MS = 1300;
constexpr int WATCH_MS = 8000;

std::string
lines (size_t bytes)
{
  std::string out;
  for (int i = 0; out.size () + VALUE_BYTES < bytes; i++)
    out += "X" + std::to_string (i) + ": " + std::string (VALUE_BYTES, 'v')
           + "\r\n";
  return out;
}

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  struct rlimit files;
  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max < 8192 ? files.rlim_max : 8192;
  setrlimit (RLIMIT_NOFILE, &files);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  std::vector<std::unique_ptr<Desk>> desks;
  std::atomic<int> arrived{ 0 };
  for (int i = 0; i < SERVERS; i++)
    {
      desks.push_back (std::make_unique<Desk> (6, WORK_MS));
      desks.back ()->on_arrival = [&] (const Message &) { arrived++; };
      store.put ("servers", "i-" + std::to_string (i),
                 server_row ("desk", desks.back ()->address (), 6));
    }
  store.put ("op", "config",
             config (route ("r-safe", "/safe/", "safe", "desk", 5000)));
  VmOptions options;
  options.id = "edge-a-1";
  options.memory_mb = MEMORY_MB;
  Vm vm (place, store, options);
  vm.start ();
  if (!vm.wait_ready (10000))
    record.finish (2);
  record.line ("limit %d KiB; at rest %ld KiB", MEMORY_MB * 1024,
               vm.status_kb ("VmRSS"));
  std::vector<std::unique_ptr<Stream>> clients;
  std::string fields = lines (place.trouble ? LINES_BYTES : 600);
  size_t head_bytes = 0;
  for (int i = 0; i < CLIENTS; i++)
    {
      clients.push_back (
          std::make_unique<Stream> (connect_to (vm.ip, vm.front)));
      std::string text
          = request ("GET", "/safe/2f", "c" + std::to_string (i), fields);
      head_bytes = text.size ();
      if (head_bytes > LIMIT_BYTES || clients.back ()->fd < 0
          || !clients.back ()->write (text))
        record.finish (2);
    }
  record.line ("%d clients have sent a request each, head of %zu bytes",
               CLIENTS, head_bytes);
  long peak_kb = 0;
  int status = 0;
  bool ended = false;
  for (int64_t until = now_ms () + WATCH_MS; !ended && now_ms () < until;)
    {
      ended = vm.ended (&status);
      if (!ended)
        peak_kb = vm.status_kb ("VmHWM");
      sleep_ms (50);
    }
  std::map<int, int> statuses;
  for (auto &client : clients)
    {
      Message answer;
      bool got = client->read (&answer, now_ms () + 10);
      statuses[got ? answer.status () : 0]++;
    }
  for (const auto &entry : statuses)
    record.line ("answers %d: %d", entry.first, entry.second);
  record.line ("servers got %d; peak %ld KiB of %d KiB; process alive: %d",
               (int)arrived, peak_kb, MEMORY_MB * 1024, !ended);
  vm.end ();
  record.finish (ended || peak_kb > MEMORY_MB * 1024 ? 1 : 0);
}
