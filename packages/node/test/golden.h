// Golden files of whole sessions.  A file holds commands ("> ...") and the
// transcript that each command must give.  Set LT_UPDATE_GOLDEN=1 to write the
// transcript of this run into the file, then review the difference.
//
//   > upstream NAME                starts a stand-in upstream
//   > behave NAME JSON             changes its behaviour
//   > install VERSION FILE         puts a sheet of test/golden in force
//   > request METHOD TARGET [| HEADER]... [|| BODY]
//   > runs NAME [IDEMPOTENCY-KEY]  prints how often requests ran there
//   > advance MS                   moves the clock
//   > fault KIND down|lose|none    faults of the platform
//   > admin METHOD TARGET [|| FILE]
#ifndef LT_NODE_TEST_GOLDEN_H
#define LT_NODE_TEST_GOLDEN_H

#include <gtest/gtest.h>

#include "session.h"

class GoldenSession
{
public:
  explicit GoldenSession (const std::string &name)
      : path (std::string (LT_TEST_DIR) + "/golden/" + name)
  {
  }

  void
  run ()
  {
    std::string expected = read_file (path);
    ASSERT_FALSE (expected.empty ()) << path;
    std::istringstream lines (expected);
    std::string line;
    std::string transcript;
    while (std::getline (lines, line))
      {
        if (!line.empty () && line[0] == '#')
          transcript += line + "\n";
        if (line.rfind ("> ", 0) == 0)
          transcript += line + "\n" + command (line.substr (2));
      }
    if (getenv ("LT_UPDATE_GOLDEN") != nullptr)
      std::ofstream (path) << transcript;
    else
      EXPECT_EQ (expected, transcript) << path;
  }

  Vm vm;

private:
  static std::string
  trim (const std::string &s)
  {
    str_t t = str_trim (view (s));
    return std::string (t.data, t.len);
  }

  // Which upstream served is a random choice and not part of the transcript.
  static std::string
  show (const Reply &reply)
  {
    if (reply.code != CURLE_OK)
      return std::string ("error: ") + curl_easy_strerror (reply.code) + "\n";
    std::string out = std::to_string (reply.status);
    for (const char *name : { "x-request-ran", "retry-after", "allow" })
      {
        auto found = reply.headers.find (name);
        if (found != reply.headers.end ())
          out += std::string (" ") + name + "=" + found->second;
      }
    std::string type = "content-type";
    auto found = reply.headers.find (type);
    bool problem = found != reply.headers.end ()
                   && found->second == "application/problem+json";
    out += "\n";
    if (problem)
      out += "  " + reply.body + "\n";
    return out;
  }

  std::string
  request (const std::string &rest)
  {
    std::string text = rest, body;
    size_t bar = text.find ("||");
    if (bar != std::string::npos)
      {
        body = trim (text.substr (bar + 2));
        text = text.substr (0, bar);
      }
    std::istringstream parts (text);
    std::string head, header;
    std::getline (parts, head, '|');
    std::vector<std::string> headers;
    while (std::getline (parts, header, '|'))
      headers.push_back (trim (header));
    std::istringstream words (head);
    std::string method, target;
    words >> method >> target;
    return show (vm.request (method, target, headers, body));
  }

  std::string
  admin (const std::string &rest)
  {
    std::string text = rest, body;
    size_t bar = text.find ("||");
    if (bar != std::string::npos)
      {
        std::string file = trim (text.substr (bar + 2));
        body = vm.with_addresses (
            read_file (std::string (LT_TEST_DIR) + "/golden/" + file));
        text = text.substr (0, bar);
      }
    std::istringstream words (text);
    std::string method, target;
    words >> method >> target;
    return show (vm.admin (method, target, body));
  }

  std::string
  fault (std::istringstream &words)
  {
    std::string kind, what;
    words >> kind >> what;
    static const std::map<std::string, lt_platform_call_t> kinds
        = { { "read", LT_CALL_TABLE_READ },
            { "write", LT_CALL_TABLE_WRITE },
            { "get", LT_CALL_OBJECT_GET },
            { "put", LT_CALL_OBJECT_PUT } };
    lt_platform_fault_t f = {};
    f.down = what == "down";
    f.lose_response = what == "lose";
    lt_platform_memory_set_fault (&vm.node->platform, kinds.at (kind), f);
    return "";
  }

  std::string
  command (const std::string &text)
  {
    std::istringstream words (text);
    std::string verb, name, rest;
    words >> verb;
    if (verb == "fault")
      return fault (words);
    if (verb == "request" || verb == "admin")
      {
        std::getline (words, rest);
        return verb == "request" ? request (rest) : admin (rest);
      }
    words >> name;
    if (verb == "upstream")
      vm.add_upstream (name);
    else if (verb == "advance")
      {
        lt_manual_clock_advance (&vm.clock, std::stoll (name) * 1000);
        vm.run_while ([] { usleep (250000); }); // Two ticks of the node.
      }
    else if (verb == "install")
      {
        words >> rest;
        return vm.install (
            read_file (std::string (LT_TEST_DIR) + "/golden/" + rest),
            std::stoll (name));
      }
    else if (verb == "behave")
      {
        std::getline (words, rest);
        if (lt_standin_upstream_configure (vm.upstreams.at (name), view (rest))
            != 0)
          return "bad behaviour\n";
      }
    else if (verb == "runs")
      {
        words >> rest;
        lt_standin_upstream_t *u = vm.upstreams.at (name);
        int64_t runs = rest.empty ()
                           ? lt_standin_upstream_total (u)
                           : lt_standin_upstream_runs (u, view (rest));
        return std::to_string (runs) + "\n";
      }
    else
      return "unknown command\n";
    return "";
  }

  std::string path;
};

#endif
