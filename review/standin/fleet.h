// Stand-ins for the platform, its store, servers and clients, and a fleet of
// the project's processes on loopback addresses.  They speak plain HTTP/1.1
// and behave as the users' pages say; a case adds its own disruption.
#ifndef REVIEW_STANDIN_FLEET_H
#define REVIEW_STANDIN_FLEET_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fleet
{

constexpr int EXIT_HELD = 0;
constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_COULD_NOT_RUN = 2;

inline int64_t
now_ms ()
{
  using namespace std::chrono;
  return duration_cast<milliseconds> (steady_clock::now ().time_since_epoch ())
      .count ();
}

inline void
sleep_ms (int64_t ms)
{
  if (ms > 0)
    std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

// Writes what was sent, answered and run, with the time since its creation.
class Record
{
public:
  explicit Record (const std::string &path)
      : file (fopen (path.c_str (), "w")), began_ms (now_ms ())
  {
    if (file == nullptr)
      exit (EXIT_COULD_NOT_RUN);
  }
  ~Record () { fclose (file); }
  Record (const Record &) = delete;
  Record &operator= (const Record &) = delete;

  __attribute__ ((format (printf, 2, 3))) void
  add (const char *format, ...)
  {
    std::lock_guard<std::mutex> guard (lock);
    fprintf (file, "%9.3f ", (double)(now_ms () - began_ms) / 1000);
    va_list args;
    va_start (args, format);
    vfprintf (file, format, args);
    va_end (args);
    fputc ('\n', file);
    fflush (file);
  }

private:
  FILE *file;
  int64_t began_ms;
  std::mutex lock;
};

struct Message
{
  std::string first_line;
  std::map<std::string, std::string> headers; // Lower-case names.
  std::string body;

  std::string
  word (int index) const
  {
    size_t begin = 0;
    for (; index > 0; index--)
      begin = first_line.find (' ', begin) + 1;
    return first_line.substr (begin, first_line.find (' ', begin) - begin);
  }

  std::string
  header (const std::string &name) const
  {
    auto found = headers.find (name);
    return found == headers.end () ? "" : found->second;
  }
};

enum class Wait
{
  Arrived,
  TimedOut,
  Ended // Closed or reset by the peer.
};

// A TCP connection with blocking calls.
class Link
{
public:
  explicit Link (int fd_) : fd (fd_)
  {
    int on = 1;
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  }
  ~Link ()
  {
    if (fd >= 0)
      close (fd);
  }
  Link (const Link &) = delete;
  Link &operator= (const Link &) = delete;

  bool
  write (const std::string &bytes) const
  {
    size_t done = 0;
    while (done < bytes.size ())
      {
        ssize_t sent = send (fd, bytes.data () + done, bytes.size () - done,
                             MSG_NOSIGNAL);
        if (sent <= 0)
          return false;
        done += (size_t)sent;
      }
    return true;
  }

  // Reads a whole message; the first line and the headers are kept also when
  // the connection ends within the body.
  Wait
  read (Message *message, int64_t until_ms)
  {
    size_t head;
    while ((head = input.find ("\r\n\r\n")) == std::string::npos)
      {
        Wait wait = fill (until_ms);
        if (wait != Wait::Arrived)
          return wait;
      }
    parse_head (input.substr (0, head), message);
    size_t length
        = (size_t)atoll (message->header ("content-length").c_str ());
    size_t end = head + 4 + length;
    while (input.size () < end)
      {
        Wait wait = fill (until_ms);
        if (wait != Wait::Arrived)
          return wait;
      }
    message->body = input.substr (head + 4, length);
    input.erase (0, end);
    return Wait::Arrived;
  }

  bool
  peer_has_left () const
  {
    struct pollfd state = { fd, POLLRDHUP, 0 };
    return poll (&state, 1, 0) > 0;
  }

  std::string input;
  const int fd;

private:
  Wait
  fill (int64_t until_ms)
  {
    static thread_local char bytes[256 * 1024];
    int64_t left_ms = until_ms - now_ms ();
    struct pollfd state = { fd, POLLIN, 0 };
    if (left_ms <= 0 || poll (&state, 1, (int)left_ms) <= 0)
      return Wait::TimedOut;
    ssize_t got = recv (fd, bytes, sizeof (bytes), 0);
    if (got <= 0)
      return Wait::Ended;
    input.append (bytes, (size_t)got);
    return Wait::Arrived;
  }

  static void
  parse_head (const std::string &text, Message *message)
  {
    size_t at = text.find ("\r\n");
    message->first_line = text.substr (0, at);
    while (at != std::string::npos)
      {
        size_t begin = at + 2;
        at = text.find ("\r\n", begin);
        std::string line = text.substr (begin, at - begin);
        size_t colon = line.find (':');
        if (colon == std::string::npos)
          continue;
        std::string name = line.substr (0, colon);
        for (char &c : name)
          c = (char)tolower (c);
        size_t value = line.find_first_not_of (' ', colon + 1);
        message->headers[name]
            = value == std::string::npos ? "" : line.substr (value);
      }
  }
};

inline int
open_socket (const std::string &ip, int port, sockaddr_in *address)
{
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip.c_str (), &address->sin_addr);
  return socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

inline std::unique_ptr<Link>
connect_to (const std::string &ip, int port)
{
  sockaddr_in address;
  int fd = open_socket (ip, port, &address);
  if (connect (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address))
      == 0)
    return std::make_unique<Link> (fd);
  close (fd);
  return nullptr;
}

// Serves each connection in a thread of its own until the process ends.
class Server
{
public:
  Server (std::string ip_, int port_) : ip (std::move (ip_)), port (port_) {}
  virtual ~Server () = default;

  std::string
  address () const
  {
    return ip + ":" + std::to_string (port);
  }

  void
  start ()
  {
    sockaddr_in address;
    int on = 1;
    int fd = open_socket (ip, port, &address);
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
    if (bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address))
            != 0
        || listen (fd, 1024) != 0)
      {
        fprintf (stderr, "cannot listen on %s\n", this->address ().c_str ());
        _exit (EXIT_COULD_NOT_RUN);
      }
    std::thread ([this, fd] { accept_all (fd); }).detach ();
  }

  const std::string ip;
  const int port;

protected:
  // Answers MESSAGE.  Returns whether the connection stays open.
  virtual bool handle (Link *link, const Message &message) = 0;

private:
  static constexpr int64_t IDLE_MS = 100 * 1000;

  void
  accept_all (int listener)
  {
    for (;;)
      {
        int fd = accept4 (listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          continue;
        std::thread ([this, fd] {
          Link link (fd);
          for (;;)
            {
              Message message;
              if (link.read (&message, now_ms () + IDLE_MS) != Wait::Arrived
                  || !handle (&link, message))
                return;
            }
        }).detach ();
      }
  }
};

inline std::string
make_response (int status, const std::string &headers, const std::string &body)
{
  return "HTTP/1.1 " + std::to_string (status) + " Status\r\n" + headers
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

inline std::string
base64 (const std::string &text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size (); i += 3)
    {
      unsigned group = 0;
      size_t count = std::min<size_t> (3, text.size () - i);
      for (size_t k = 0; k < 3; k++)
        group = group << 8 | (k < count ? (unsigned char)text[i + k] : 0);
      for (size_t k = 0; k < 4; k++)
        out += k <= count ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
  return out;
}

// The metadata store: versioned rows, a feed of changes with a long poll, and
// conditional transactions.
class Store : public Server
{
public:
  enum class Mode
  {
    Normal,
    Busy,  // Answers 503; nothing is done.
    Silent // Does and answers nothing.
  };

  using Server::Server;

  void
  put (const std::string &table, const std::string &key,
       const std::string &value)
  {
    std::lock_guard<std::mutex> guard (lock);
    rows[table][key] = { base64 (value), ++version, false };
    changed.notify_all ();
  }

  void
  remove (const std::string &table, const std::string &key)
  {
    std::lock_guard<std::mutex> guard (lock);
    rows[table][key] = { "", ++version, true };
    changed.notify_all ();
  }

  std::atomic<Mode> mode{ Mode::Normal };

protected:
  bool
  handle (Link *link, const Message &message) override
  {
    static const char json_type[] = "Content-Type: application/json\r\n";
    std::string target = message.word (1);
    if (mode == Mode::Silent)
      {
        while (!link->peer_has_left ())
          sleep_ms (50);
        return false;
      }
    if (mode == Mode::Busy)
      return link->write (make_response (503, json_type, "{}"));
    int status = 200;
    std::string body;
    if (message.word (0) == "POST")
      body = transact (message.body, &status);
    else if (target.find ("/rows-feed") != std::string::npos)
      body = feed (target);
    else
      body = get (target);
    return link->write (make_response (status, json_type, body));
  }

private:
  struct Row
  {
    std::string value; // Base64.
    int64_t version;
    bool tombstone;
  };

  static std::string
  parameter (const std::string &target, const std::string &name)
  {
    size_t at = target.find (name + "=");
    if (at == std::string::npos)
      return "";
    std::string value = target.substr (at + name.size () + 1);
    return value.substr (0, value.find ('&'));
  }

  static std::string
  row_text (const std::string &table, const std::string &key, const Row &row)
  {
    std::string text = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\""
                       + key + "\",\"ver\":" + std::to_string (row.version);
    return text
           + (row.tombstone ? ",\"tombstone\":true}"
                            : ",\"value\":\"" + row.value + "\"}");
  }

  std::string
  envelope (const std::string &list) const
  {
    return "{\"rows\":[" + list
           + "],\"hasMore\":false,\"ver\":" + std::to_string (version)
           + ",\"nowMs\":" + std::to_string (now_ms ()) + "}";
  }

  std::string
  get (const std::string &target)
  {
    std::lock_guard<std::mutex> guard (lock);
    std::string table = parameter (target, "table");
    std::string list;
    for (const auto &row : rows[table])
      if (!row.second.tombstone)
        list += (list.empty () ? "" : ",")
                + row_text (table, row.first, row.second);
    return envelope (list);
  }

  std::string
  feed (const std::string &target)
  {
    std::unique_lock<std::mutex> guard (lock);
    std::string table = parameter (target, "table");
    int64_t after = atoll (parameter (target, "after").c_str ());
    int64_t until_ms
        = now_ms () + atoll (parameter (target, "waitMs").c_str ());
    for (;;)
      {
        std::map<int64_t, std::string> found;
        for (const auto &row : rows[table])
          if (row.second.version > after)
            found[row.second.version]
                = row_text (table, row.first, row.second);
        std::string list;
        for (const auto &row : found)
          list += (list.empty () ? "" : ",") + row.second;
        int64_t left_ms = until_ms - now_ms ();
        if (!list.empty () || left_ms <= 0)
          return envelope (list);
        changed.wait_for (guard, std::chrono::milliseconds (left_ms));
      }
  }

  static std::string
  text (const json_t *object, const char *name)
  {
    const char *value = json_string_value (json_object_get (object, name));
    return value == nullptr ? "" : value;
  }

  std::string
  transact (const std::string &body, int *status)
  {
    std::lock_guard<std::mutex> guard (lock);
    json_t *json = json_loadb (body.data (), body.size (), 0, nullptr);
    size_t i;
    json_t *item;
    std::string conflicts;
    json_array_foreach (json_object_get (json, "expected"), i, item)
    {
      const Row &row = rows[text (item, "table")][text (item, "key")];
      int64_t found = row.tombstone ? 0 : row.version;
      if (found != json_integer_value (json_object_get (item, "ver")))
        conflicts
            += (conflicts.empty () ? "" : ",")
               + row_text (text (item, "table"), text (item, "key"), row);
    }
    if (conflicts.empty ())
      {
        version++;
        json_array_foreach (json_object_get (json, "upserts"), i, item)
            rows[text (item, "table")][text (item, "key")]
            = { text (item, "value"), version, false };
        json_array_foreach (json_object_get (json, "remove"), i, item)
            rows[text (item, "table")][text (item, "key")]
            = { "", version, true };
        changed.notify_all ();
      }
    else
      *status = 412;
    json_decref (json);
    return envelope (conflicts);
  }

  std::mutex lock;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Row>> rows;
  int64_t version = 100;
};

// A server of a service.  It works on CAPACITY requests at a time, queues a
// few more, and drops a request whose connection is closed.
class Backend : public Server
{
public:
  static constexpr int QUEUE = 12;

  Backend (const std::string &id_, const std::string &service_,
           const std::string &ip_, int port_, int capacity_, int work_ms_,
           Record *record_)
      : Server (ip_, port_), id (id_), service (service_),
        capacity (capacity_), work_ms (work_ms_), record (record_)
  {
  }

  std::string
  entry (const std::string &zone, const std::string &state = "ready") const
  {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address ()
           + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"capacity\":"
           + std::to_string (capacity) + ",\"state\":\"" + state
           + "\",\"warmupLeftMs\":0,\"sequence\":4,\"born\":1780000000000}";
  }

  const std::string id;
  const std::string service;
  const int capacity;
  std::atomic<int> work_ms;
  // Called when a run begins, with the id of the request.
  std::function<void (const std::string &, const Message &)> on_run;

protected:
  bool
  handle (Link *link, const Message &message) override
  {
    std::string attempt = message.header ("attempt-id");
    std::string echo = "Attempt-Id: " + attempt + "\r\n";
    if (message.word (1) == "/health")
      return link->write (
          make_response (200, "Instance-Id: " + id + "\r\n", ""));
    std::string expected = message.header ("expect-instance");
    if (!expected.empty () && expected != id)
      return link->write (
          make_response (421, echo + "Instance-Id: " + id + "\r\n", ""));
    if (attempt.empty ())
      return link->write (make_response (400, "Not-Executed: 1\r\n", ""));
    if (!take_slot (link))
      return link->write (
          make_response (503, echo + "Not-Executed: 1\r\n", ""));
    if (record != nullptr)
      record->add ("run      %s at %s", attempt.c_str (), id.c_str ());
    if (on_run)
      on_run (attempt, message);
    int64_t end_ms = now_ms () + work_ms;
    bool dropped = false;
    while (!dropped && now_ms () < end_ms)
      {
        sleep_ms (std::min<int64_t> (5, end_ms - now_ms ()));
        dropped = link->peer_has_left ();
      }
    free_slot ();
    if (record != nullptr)
      record->add ("%s %s at %s", dropped ? "dropped " : "finished",
                   attempt.c_str (), id.c_str ());
    return !dropped
           && link->write (make_response (
               200, echo + "Server-Seal: 3e1b.07.5a2\r\n", "done by " + id));
  }

private:
  bool
  take_slot (const Link *link)
  {
    std::unique_lock<std::mutex> guard (lock);
    if (busy >= capacity && queued >= QUEUE)
      return false;
    queued++;
    while (busy >= capacity && !link->peer_has_left ())
      freed.wait_for (guard, std::chrono::milliseconds (20));
    queued--;
    busy++;
    return true;
  }

  void
  free_slot ()
  {
    std::lock_guard<std::mutex> guard (lock);
    busy--;
    freed.notify_one ();
  }

  Record *record;
  std::mutex lock;
  std::condition_variable freed;
  int busy = 0;
  int queued = 0;
};

struct Ports
{
  static constexpr int front = 8689;
  static constexpr int ready = 8687;
  static constexpr int first_internal = 7360;
  static constexpr int last_internal = 7375;
  static constexpr int store = 8688;
  static constexpr int server = 8080;
};

// A machine with one process, started as the deploy file says.
class Machine
{
public:
  Machine (const std::string &id_, const std::string &ip_,
           const std::string &zone_, const std::string &folder)
      : id (id_), ip (ip_), zone (zone_), path (folder + "/" + id_)
  {
  }
  ~Machine () { end (); }
  Machine (const Machine &) = delete;
  Machine &operator= (const Machine &) = delete;

  // Settings with the figures of sites/kovacic-gw.toml.
  void
  write_settings (const std::string &store, bool bootstrap) const
  {
    std::ofstream file (path + ".conf");
    file << "self.nodeId=" << id << "\nself.role=proxy"
         << "\nself.machineClass=edge\nself.serves=edge\nself.ip=" << ip
         << "\nself.zone=" << zone << "\nself.region=ljubljana"
         << "\nself.failureCounted=false\nself.bootstrap="
         << (bootstrap ? "true" : "false")
         << "\nself.limits.cpuShare=0.2\nself.limits.cores=1"
         << "\nself.limits.memoryMb=260\nself.limits.maxFds=4100"
         << "\nself.limits.linkMbps=1000.0\nself.limits.diskMb=0"
         << "\nnetwork.listen.front=" << ip << ":" << Ports::front
         << "\nnetwork.listen.ready=" << ip << ":" << Ports::ready
         << "\nnetwork.internalPorts=" << Ports::first_internal << ","
         << Ports::last_internal << "\nnetwork.zones.lj-a=ljubljana"
         << "\nnetwork.zones.lj-b=ljubljana"
         << "\nprovider.discovery=platform\nprovider.entry=vip"
         << "\nprovider.heartbeatMs=1500\nprovider.provider.address=" << store
         << "\nprovider.provider.form=table"
         << "\nprovider.provider.writesPerS=400"
         << "\nprovider.provider.readsPerS=2000"
         << "\nprovider.provider.txMs=3.0"
         << "\nprovider.provider.historyS=20"
         << "\nterms.contracts=base,drain,config,cost,retry,recover,health,"
            "tenants,quota,platform"
         << "\nterms.bounds.seedLagS=3\nterms.bounds.reuseAfterS=2"
         << "\nterms.bounds.contactMs=3000\nterms.bounds.ackMs=4000"
         << "\nterms.bounds.catchUpS=4\nterms.bounds.drainMs=2500"
         << "\nterms.bounds.graceS=6\nterms.bounds.lossSlackMs=200"
         << "\nterms.bounds.configApplyMs=2500"
         << "\nterms.bounds.rollbackSlackMs=250"
         << "\nterms.bounds.outerMs=5000\nterms.bounds.failClosed=false"
         << "\nterms.bounds.revokeMs=5000"
         << "\nterms.bounds.retryBudgetRatio=0.2"
         << "\nterms.bounds.budgetWindowS=10"
         << "\nterms.bounds.retryBudgetSlack=62"
         << "\nterms.bounds.quotaWindowS=5\nterms.bounds.quotaOver=0.1"
         << "\nterms.bounds.quotaSlack=20\nterms.bounds.recoveryS=15"
         << "\nterms.bounds.probesPerS=3\nterms.bounds.floorShare=0.7\n";
  }

  void
  start ()
  {
    static const char *const arguments[]
        = { "target/packages/node/lavendertrackd", "--platform", "host",
            nullptr };
    std::string settings = "LAVENDERTRACK_SETTINGS=" + path + ".conf";
    std::string log = path + ".log";
    const char *environment[] = { settings.c_str (), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init (&actions);
    posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log.c_str (),
                                      O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2 (&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn (&pid, arguments[0], &actions, nullptr,
                     const_cast<char **> (arguments),
                     const_cast<char **> (environment))
        != 0)
      pid = 0;
    posix_spawn_file_actions_destroy (&actions);
    if (pid == 0)
      {
        fprintf (stderr, "cannot start %s\n", arguments[0]);
        _exit (EXIT_COULD_NOT_RUN);
      }
  }

  void
  send (int signal_number) const
  {
    if (pid > 0)
      kill (pid, signal_number);
  }

  // Returns whether the process has ended.
  bool
  has_ended ()
  {
    int status;
    if (pid > 0 && waitpid (pid, &status, WNOHANG) == pid)
      pid = 0;
    return pid == 0;
  }

  void
  end ()
  {
    if (pid <= 0)
      return;
    kill (pid, SIGKILL);
    waitpid (pid, nullptr, 0);
    pid = 0;
  }

  bool
  is_ready () const
  {
    auto link = connect_to (ip, Ports::ready);
    Message answer;
    return link != nullptr
           && link->write ("GET /lavendertrack/readiness HTTP/1.1\r\n"
                           "Host: platform\r\n\r\n")
           && link->read (&answer, now_ms () + 500) == Wait::Arrived
           && answer.word (1) == "200";
  }

  // Resident memory in MB; 0 when the process has ended.
  long
  memory_mb () const
  {
    std::ifstream file ("/proc/" + std::to_string (pid) + "/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return resident * sysconf (_SC_PAGESIZE) / (1024 * 1024);
  }

  const std::string id;
  const std::string ip;
  const std::string zone;
  const std::string path;
  pid_t pid = 0;
};

// A small deployment: a store, servers and machines, each at an address of its
// own in a part of the loopback network that belongs to this process.
class Deployment
{
public:
  explicit Deployment (const std::string &folder_)
      : folder (folder_), record (folder_ + "/record.txt"),
        store (ip (2), Ports::store)
  {
    signal (SIGPIPE, SIG_IGN);
    char text[] = "/tmp/review-XXXXXX";
    if (mkdtemp (text) == nullptr)
      exit (EXIT_COULD_NOT_RUN);
    work = text;
    store.start ();
  }

  static std::string
  ip (int host)
  {
    int pid = getpid ();
    return "127." + std::to_string (64 + (pid >> 8) % 128) + "."
           + std::to_string (pid & 255) + "." + std::to_string (host);
  }

  Backend &
  add_server (const std::string &service, int capacity, int work_ms,
              const std::string &zone = "lj-a", bool recorded = true)
  {
    int number = (int)servers.size ();
    servers.push_back (std::make_unique<Backend> (
        "i-7f3a91c" + std::to_string (number), service, ip (100 + number),
        Ports::server, capacity, work_ms, recorded ? &record : nullptr));
    Backend &server = *servers.back ();
    server.start ();
    store.put ("servers", server.id, server.entry (zone));
    return server;
  }

  Machine &
  add_machine (const std::string &zone = "lj-a")
  {
    int number = (int)machines.size () + 1;
    machines.push_back (std::make_unique<Machine> (
        "edge-" + zone + "-" + std::to_string (number), ip (10 + number), zone,
        work));
    machines.back ()->write_settings (store.address (), true);
    return *machines.back ();
  }

  // Starts all machines and waits until each says that it is ready.
  bool
  start ()
  {
    for (auto &machine : machines)
      machine->start ();
    int64_t until_ms = now_ms () + 15 * 1000;
    for (auto &machine : machines)
      while (!machine->is_ready ())
        {
          if (now_ms () > until_ms || machine->has_ended ())
            return false;
          sleep_ms (50);
        }
    return true;
  }

  // Ends the case with STATUS.  The threads of the stand-ins are not waited
  // for.
  [[noreturn]] void
  finish (int status, const std::string &summary)
  {
    for (auto &machine : machines)
      machine->end ();
    record.add ("%s", summary.c_str ());
    printf ("%s\n", summary.c_str ());
    fflush (nullptr);
    if (getenv ("KEEP_LOGS") == nullptr)
      for (auto &machine : machines)
        {
          unlink ((machine->path + ".conf").c_str ());
          unlink ((machine->path + ".log").c_str ());
        }
    rmdir (work.c_str ());
    _exit (status);
  }

  const std::string folder;
  std::string work;
  Record record;
  Store store;
  std::vector<std::unique_ptr<Backend>> servers;
  std::vector<std::unique_ptr<Machine>> machines;
};

// The entry of the platform: it asks each machine once per second whether it
// is ready, and sends no new connection to one that has missed twice.
class Entry
{
public:
  explicit Entry (Deployment *deployment_)
      : deployment (deployment_), misses (deployment_->machines.size ())
  {
    std::thread ([this] { poll_all (); }).detach ();
  }

  // Returns the machine for the next connection of client CLIENT.
  Machine *
  pick (size_t client)
  {
    size_t count = misses.size ();
    for (size_t i = 0; i < count; i++)
      if (misses[(client + i) % count] < 2)
        return deployment->machines[(client + i) % count].get ();
    return deployment->machines[client % count].get ();
  }

private:
  void
  poll_all ()
  {
    for (int64_t next_ms = now_ms ();; next_ms += 1000)
      {
        sleep_ms (next_ms - now_ms ());
        for (size_t i = 0; i < misses.size (); i++)
          {
            if (deployment->machines[i]->is_ready ())
              misses[i] = 0;
            else
              misses[i]++;
          }
      }
  }

  Deployment *deployment;
  std::vector<std::atomic<int>> misses;
};

struct Tenant
{
  std::string name;
  std::string key;
  int rate_per_s;
  int burst;
};

// A configuration with a safe and an unsafe route to "quotes-desk".
inline std::string
config_text (const std::string &version, const std::vector<Tenant> &tenants,
             int timeout_ms = 1500)
{
  std::string routes;
  for (const char *kind : { "safe", "unsafe" })
    routes += std::string (routes.empty () ? "" : ",") + "\"r-" + kind
              + "\":{\"host\":\"ficu95.example\",\"prefix\":\"/" + kind
              + "/\",\"kind\":\"" + kind
              + "\",\"timeoutMs\":" + std::to_string (timeout_ms)
              + ",\"targetLatencyMs\":600,\"priority\":1,"
                "\"service\":\"quotes-desk\",\"maxAttempts\":2,"
                "\"public\":false}";
  std::string list;
  for (const Tenant &tenant : tenants)
    list += (list.empty () ? "\"" : ",\"") + tenant.name
            + "\":{\"apiKeys\":[\"" + tenant.key
            + "\"],\"priority\":1,\"ratePerS\":"
            + std::to_string (tenant.rate_per_s)
            + ",\"burst\":" + std::to_string (tenant.burst) + "}";
  return "{\"version\":\"" + version + "\",\"routes\":{" + routes
         + "},\"services\":{\"quotes-desk\":{\"healthPath\":\"/health\","
           "\"maxConns\":390,\"protocol\":\"h1\",\"tls\":false}},"
           "\"limits\":{\"maxHeaderBytes\":16384,"
           "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},\"tenants\":{"
         + list + "},\"baseVersion\":\"\"}";
}

// Returns an id for a new client attempt.
inline std::string
next_attempt ()
{
  static std::atomic<unsigned> count{ 0 };
  char text[17];
  snprintf (text, sizeof (text), "%08x%08x", (unsigned)getpid (), ++count);
  return text;
}

inline std::string
request_text (const std::string &attempt, const std::string &method,
              const std::string &path, const std::string &key, int deadline_ms,
              const std::string &body = "")
{
  return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n"
         + "Attempt-Id: " + attempt + "\r\nDeadline-Ms: "
         + std::to_string (deadline_ms) + "\r\nAuthorization: Bearer " + key
         + "\r\nContent-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

inline bool
has_trouble ()
{
  const char *text = getenv ("TROUBLE");
  return text == nullptr || strcmp (text, "0") != 0;
}

} // namespace fleet

#endif
