// The store comes back from a copy some seconds old, for the first time: its
// era rises from 0 to 1.  A key that is withdrawn just then stays in use.
// START_ERA: the era before that.
#include "rig.h"

using namespace rig;

namespace
{

constexpr int SERVERS = 10;
constexpr int COPY_AGE_MS = 3000;
constexpr int AWAY_MS = 1500;
// contactMs, in which the machines are not in touch yet, and configApplyMs.
constexpr int APPLY_MS = 4000 + 3000;
constexpr int JUDGED_MS = 6000;

struct Count
{
  int sent = 0;
  int ran = 0;
  int refused = 0; // With 401.
};

const std::string KEPT_KEY = "i9n73hh2b9wu3fexd9dn";
const std::string WITHDRAWN_KEY = "w4k2m8qq71zt5yhc0rgd";

// Version NUMBER, with or without the tenant whose key is withdrawn.
std::string
configuration (int number, int timeout_ms, bool with_tenant)
{
  std::string text
      = config (route ("r-1", "/once/", "unsafe", "desk", timeout_ms));
  std::string old_version = "00000007";
  text.replace (text.find (old_version), old_version.size (),
                "0000000" + std::to_string (number));
  std::string tenants = "\"tenants\":{";
  if (with_tenant)
    text.insert (text.find (tenants) + tenants.size (),
                 "\"tenant-2\":{\"apiKeys\":[\"" + WITHDRAWN_KEY
                     + "\"],\"priority\":1,\"ratePerS\":0,\"burst\":0},");
  return text;
}

void
ask (const Vm &vm, const std::string &key, const std::string &id, Count *count)
{
  Stream stream (connect_to (vm.ip, vm.front));
  std::string text = request ("POST", "/once/1", id, "", "body");
  text.replace (text.find (KEPT_KEY), KEPT_KEY.size (), key);
  Message answer;
  stream.write (text);
  count->sent++;
  if (!stream.read (&answer, now_ms () + 7000))
    return;
  count->ran += answer.status () == 200;
  count->refused += answer.status () == 401;
}

} // namespace

int
main (int, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  Record record (argv[1]);
  Place place = find_place ();
  Store store;
  const char *start_era = getenv ("START_ERA");
  store.era = start_era != nullptr ? atoi (start_era) : 0;
  std::vector<std::unique_ptr<Desk>> desks;
  auto write_servers = [&] (int sequence) {
    for (size_t i = 0; i < desks.size (); i++)
      {
        store.put ("servers", "i-" + std::to_string (i),
                   server_row ("desk", desks[i]->address (), sequence % 2 + 5,
                               "ready", 1764000000000, "zone-a", sequence));
      }
  };
  for (int i = 0; i < SERVERS; i++)
    desks.push_back (std::make_unique<Desk> (6, 20));
  write_servers (4);
  store.put ("op", "config", configuration (7, 3000, true));
  std::vector<std::unique_ptr<Vm>> vms;
  for (int i = 0; i < 2; i++)
    {
      VmOptions options;
      options.id = "edge-a-" + std::to_string (i + 1);
      vms.push_back (std::make_unique<Vm> (place, store, options));
      vms.back ()->start ();
    }
  for (auto &vm : vms)
    if (!vm->wait_ready (10000))
      record.finish (2);
  sleep_ms (3000);
  Count before;
  for (auto &vm : vms)
    ask (*vm, WITHDRAWN_KEY, "before-" + vm->options.id, &before);
  store.copy ();
  sleep_ms (1000);
  write_servers (5);
  store.put ("op", "config", configuration (8, 2900, true));
  record.line ("version 8 is acknowledged (ver %lld)",
               (long long)store.newest ());
  sleep_ms (COPY_AGE_MS - 1000);
  if (place.trouble)
    {
      store.leave ();
      sleep_ms (AWAY_MS);
      store.come_back ();
      record.line ("the store is back from a copy %d ms old (ver %lld, era "
                   "%lld)",
                   COPY_AGE_MS, (long long)store.newest (),
                   (long long)store.era);
      // The operator and the servers write again.
      store.put ("op", "config", configuration (8, 2900, true));
    }
  store.put ("op", "config", configuration (9, 2900, false));
  int64_t ack_ms = now_ms ();
  record.line ("version 9, without the key, is acknowledged (ver %lld)",
               (long long)store.newest ());
  write_servers (6);
  record.line ("the servers have written again (ver %lld)",
               (long long)store.newest ());
  sleep_ms (ack_ms + APPLY_MS + 200 - now_ms ());
  Count withdrawn;
  Count kept;
  for (int n = 0; now_ms () < ack_ms + APPLY_MS + JUDGED_MS; n++)
    {
      for (auto &vm : vms)
        {
          std::string id = std::to_string (n) + "-" + vm->options.id;
          ask (*vm, WITHDRAWN_KEY, "w" + id, &withdrawn);
          ask (*vm, KEPT_KEY, "k" + id, &kept);
        }
      sleep_ms (200);
    }
  record.line ("before: %d of %d ran with the key that is withdrawn later",
               before.ran, before.sent);
  record.line ("7.2 s to 13 s after the acknowledgement: with the withdrawn "
               "key %d of %d ran, %d got 401; with a key in force %d of %d",
               withdrawn.ran, withdrawn.sent, withdrawn.refused, kept.ran,
               kept.sent);
  if (before.ran != before.sent || kept.ran == 0)
    record.finish (2);
  record.finish (withdrawn.ran > 0 ? 1 : 0);
}
