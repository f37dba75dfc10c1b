// Golden sessions of a fleet of processes.  A file holds commands ("> ...")
// and the transcript that each must give; what differs between runs (ports,
// times, generated keys) is replaced by placeholders.  No command prints a
// state that may still change: "await" polls until it is reached.
//
//   > ctl VM [lavenderctl arguments]   {NAME.csv} is a sheet of test/golden
//   > request VM METHOD TARGET [| HEADER]...      {key NAME} is an added key
//   > connect CALLER VM                opens a connection that is kept
//   > send CALLER METHOD TARGET [| HEADER]...     on that connection
//   > hold NAME VM METHOD TARGET       starts a request
//   > answer NAME                      waits for its answer
//   > behave UPSTREAM JSON
//   > work UPSTREAM VM COUNT METHOD TARGET   sends COUNT requests; prints how
//                                      many arrive at UPSTREAM
//   > stop VM, kill VM, start VM, replace VM NEW
//   > store down|up
//   > await ready VM
//   > await vms VM COUNT               just COUNT VMs report, others silent
//   > await received UPSTREAM          a request since the last "behave"
//   > await work UPSTREAM VM METHOD TARGET   requests arrive there
//   > await STATUS VM METHOD TARGET [| HEADER]...
#ifndef LT_NODE_TEST_DAY_H
#define LT_NODE_TEST_DAY_H

#include <gtest/gtest.h>
#include <jansson.h>

#include <future>
#include <regex>

#include "fleet.h"

// A caller that keeps its connection.
class Caller
{
public:
  explicit Caller (int port) : address (local (port)), easy (curl_easy_init ())
  {
  }
  ~Caller () { curl_easy_cleanup (easy); }
  Caller (const Caller &) = delete;
  Caller &operator= (const Caller &) = delete;

  std::string
  send (const std::string &target, const std::vector<std::string> &headers)
  {
    std::string body;
    std::string url = "http://" + address + target;
    curl_slist *lines = nullptr;
    for (const std::string &h : headers)
      lines = curl_slist_append (lines, h.c_str ());
    curl_easy_setopt (easy, CURLOPT_URL, url.c_str ());
    curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt (easy, CURLOPT_PROXY, "");
    curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect_body);
    curl_easy_setopt (easy, CURLOPT_WRITEDATA, &body);
    CURLcode code = curl_easy_perform (easy);
    curl_slist_free_all (lines);
    long status = 0, connects = 0;
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo (easy, CURLINFO_NUM_CONNECTS, &connects);
    if (code != CURLE_OK)
      return std::string (curl_easy_strerror (code)) + "\n";
    return std::to_string (status)
           + (connects == 0 ? " same connection\n" : " new connection\n");
  }

private:
  std::string address;
  CURL *easy;
};

class DaySession
{
public:
  explicit DaySession (const std::string &name)
      : path (std::string (LT_TEST_DIR) + "/golden/" + name)
  {
    for (const char *upstream : { "q1", "q2", "o1" })
      fleet.start_upstream (upstream);
  }

  void
  run ()
  {
    std::string expected = read_file (path);
    ASSERT_FALSE (expected.empty ()) << path;
    std::istringstream lines (expected);
    std::string line, transcript;
    while (std::getline (lines, line))
      {
        if (line.empty () || line[0] == '#')
          transcript += line + "\n";
        if (line.rfind ("> ", 0) == 0)
          transcript += line + "\n" + command (line.substr (2));
      }
    if (getenv ("LT_UPDATE_GOLDEN") != nullptr)
      std::ofstream (path) << transcript;
    else
      EXPECT_EQ (expected, transcript) << path;
  }

  Fleet fleet{ 3 };

private:
  static std::vector<std::string>
  words_of (const std::string &text)
  {
    std::istringstream in (text);
    std::vector<std::string> words;
    for (std::string w; in >> w;)
      words.push_back (w);
    return words;
  }

  int
  vm (const std::string &id) const
  {
    for (size_t i = 0; i < fleet.vms.size (); i++)
      if (fleet.vms[i].id == id)
        return static_cast<int> (i);
    abort ();
  }

  int
  admin_port (const std::string &id) const
  {
    return fleet.vms[static_cast<size_t> (vm (id))].admin_port;
  }

  // Indented, so that no output is taken for a command.
  static std::string
  indent (const std::string &text)
  {
    std::istringstream lines (text);
    std::string line, out;
    while (std::getline (lines, line))
      out += "  " + line + "\n";
    return out;
  }

  std::string
  scrub (std::string text) const
  {
    for (const auto &p : fleet.ports)
      text = std::regex_replace (text, std::regex (local (p.second)),
                                 "{" + p.first + "}");
    text = std::regex_replace (text, std::regex (fleet.directory + "/"), "");
    static const std::pair<const char *, const char *> volatile_parts[] = {
      { "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "TIME" },
      { "(duration_us +)[0-9]+", "$1NUMBER" },
      { "(key [^ ]+: )[A-Za-z0-9_+/=-]{16,}", "$1SECRET" },
    };
    for (const auto &part : volatile_parts)
      text = std::regex_replace (text, std::regex (part.first), part.second);
    return text;
  }

  std::string
  ctl (std::vector<std::string> words)
  {
    std::string id = words[0];
    words.erase (words.begin ());
    for (std::string &w : words)
      if (w[0] == '{' && w.find (".csv}") != std::string::npos)
        w = fleet.sheet (w.substr (1, w.size () - 2));
    CommandResult result = fleet.ctl (vm (id), words);
    std::smatch key;
    if (std::regex_search (result.output, key,
                           std::regex ("key ([^ ]+): ([^\n]+)\n")))
      keys[key[1]] = key[2];
    return indent (scrub (result.output)) + "exit "
           + std::to_string (result.status) + "\n";
  }

  struct Parsed
  {
    std::vector<std::string> words;
    std::vector<std::string> headers;
  };

  Parsed
  parse (std::string text) const
  {
    for (const auto &k : keys)
      text = std::regex_replace (
          text, std::regex ("\\{key " + k.first + "\\}"), k.second);
    std::istringstream parts (text);
    std::string head, header;
    std::getline (parts, head, '|');
    Parsed parsed{ words_of (head), {} };
    while (std::getline (parts, header, '|'))
      parsed.headers.push_back (
          header.substr (1, header.find_last_not_of (' ')));
    return parsed;
  }

  static std::string
  show (const Reply &reply)
  {
    if (reply.code != CURLE_OK)
      return std::string (curl_easy_strerror (reply.code)) + "\n";
    std::string out = std::to_string (reply.status);
    std::smatch reason;
    if (std::regex_search (reply.body, reason,
                           std::regex ("\"reason\":\"([^\"]+)\"")))
      out += " " + reason[1].str ();
    auto ran = reply.headers.find ("x-request-ran");
    if (ran != reply.headers.end ())
      out += " " + ran->second;
    return out + "\n";
  }

  Reply
  request (const Parsed &p, size_t first) const
  {
    return fleet.request (vm (p.words[first]), p.words[first + 1],
                          p.words[first + 2], p.headers);
  }

  long
  received (const std::string &upstream) const
  {
    Reply log = fetch (
        "GET", "http://" + local (fleet.ports.at (upstream)) + "/standin/log",
        {}, "");
    json_t *json = json_loads (log.body.c_str (), 0, nullptr);
    long count = json_integer_value (json_object_get (json, "received"));
    json_decref (json);
    return count;
  }

  // True when just COUNT VMs have reported to VM I and all others are silent.
  bool
  vms_report (int i, size_t count) const
  {
    const Fleet::VmProcess &asked = fleet.vms[static_cast<size_t> (i)];
    Reply reply = fetch (
        "GET", "http://" + local (asked.admin_port) + "/v1/status",
        { std::string ("Authorization: Bearer ") + Vm::kOperatorKey }, "");
    json_t *json = json_loads (reply.body.c_str (), 0, nullptr);
    size_t index, reported = 0;
    bool unclear = json == nullptr;
    json_t *entry;
    json_array_foreach (json_object_get (json, "vms"), index, entry)
    {
      if (json_is_true (json_object_get (entry, "silent")))
        continue;
      bool heard = json_is_integer (json_object_get (entry, "heard_age_ms"));
      unclear |= !heard;
      reported += heard;
    }
    json_decref (json);
    return !unclear && reported == count;
  }

  std::string
  await (const std::string &text)
  {
    Parsed p = parse (text);
    const std::vector<std::string> &w = p.words;
    auto reached = [&] {
      if (w[0] == "ready")
        return fetch ("GET", "http://" + local (admin_port (w[1])) + "/readyz",
                      {}, "")
                   .status
               == 200;
      if (w[0] == "vms")
        return vms_report (vm (w[1]), std::stoul (w[2]));
      if (w[0] == "received")
        return received (w[1]) > received_before.at (w[1]);
      if (w[0] == "work")
        {
          long before = received (w[1]);
          request (p, 2);
          return received (w[1]) > before;
        }
      return request (p, 1).status == std::stol (w[0]);
    };
    if (fleet.wait_for (reached) || fleet.wait_for (reached))
      return "";
    return "not reached\n";
  }

  std::string
  store (bool down) const
  {
    fleet.store_fault (std::string (R"({"kind": "all", "down": )")
                       + (down ? "true}" : "false}"));
    return "";
  }

  void
  behave (const std::string &upstream, const std::string &json)
  {
    received_before[upstream] = received (upstream);
    Reply reply = fetch ("POST",
                         "http://" + local (fleet.ports.at (upstream))
                             + "/standin/behaviour",
                         {}, json);
    EXPECT_EQ (200, reply.status) << json;
  }

  std::string
  process (const std::string &verb, const std::vector<std::string> &w)
  {
    size_t i = static_cast<size_t> (vm (w[0]));
    if (verb == "start")
      fleet.start_vm (static_cast<int> (i));
    else if (verb == "replace")
      {
        Fleet::VmProcess &old = fleet.vms[i];
        old = Fleet::VmProcess{ w[1],         old.region,   old.domain,
                                free_port (), free_port (), free_port (),
                                nullptr };
        fleet.start_vm (static_cast<int> (i));
      }
    else
      {
        fleet.vms[i].process->signal (verb == "stop" ? SIGTERM : SIGKILL);
        int status = fleet.vms[i].process->wait ();
        return verb == "stop" ? "exit " + std::to_string (status) + "\n" : "";
      }
    return "";
  }

  std::string
  work (const Parsed &p)
  {
    long before = received (p.words[0]);
    std::map<std::string, int> replies;
    for (int i = 0; i < std::stoi (p.words[2]); i++)
      replies[show (fleet.request (vm (p.words[1]), p.words[3], p.words[4],
                                   p.headers))]++;
    std::string out;
    for (const auto &r : replies)
      out += std::to_string (r.second) + " times " + r.first;
    return out + std::to_string (received (p.words[0]) - before) + " at "
           + p.words[0] + "\n";
  }

  std::string
  command (const std::string &text)
  {
    size_t space = text.find (' ');
    std::string verb = text.substr (0, space), rest = text.substr (space + 1);
    Parsed p = parse (rest);
    if (verb == "ctl")
      return ctl (p.words);
    if (verb == "request")
      return show (request (p, 0));
    if (verb == "await")
      return await (rest);
    if (verb == "work")
      return work (p);
    if (verb == "store")
      return store (rest == "down");
    if (verb == "connect")
      callers[p.words[0]] = std::make_unique<Caller> (
          fleet.vms[static_cast<size_t> (vm (p.words[1]))].port);
    else if (verb == "send")
      return callers.at (p.words[0])->send (p.words[2], p.headers);
    else if (verb == "hold")
      held[p.words[0]] = std::async (
          std::launch::async, [this, p] { return show (request (p, 1)); });
    else if (verb == "answer")
      return held.at (p.words[0]).get ();
    else if (verb == "behave")
      behave (p.words[0], rest.substr (rest.find ('{')));
    else if (verb == "stop" || verb == "kill" || verb == "start"
             || verb == "replace")
      return process (verb, p.words);
    else
      return "unknown command\n";
    return "";
  }

  std::string path;
  std::map<std::string, long> received_before;
  std::map<std::string, std::string> keys;
  std::map<std::string, std::unique_ptr<Caller>> callers;
  std::map<std::string, std::future<std::string>> held;
};

#endif
