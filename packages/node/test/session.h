// Runs a whole session from a script and writes a transcript: one VM with the
// embedded platform and a paused clock, stand-in upstreams, and a caller, all
// on one loop.
#ifndef LT_NODE_TEST_SESSION_H
#define LT_NODE_TEST_SESSION_H

#include <curl/curl.h>
#include <ev.h>
#include <netinet/in.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "caller_server.h"
#include "daemon.h"
#include "lt/base/clock.h"
#include "lt/config/sheet.h"
#include "lt/node/config_controller.h"
#include "lt/node/node.h"
#include "lt/store/memory.h"
#include "lt/policy/freshness.h"
#include "lt/standin/upstream.h"

inline str_t
view (const std::string &s)
{
  return str_make (s.data (), s.size ());
}

struct Reply
{
  CURLcode code = CURLE_OK;
  long status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

inline size_t
collect_body (char *data, size_t size, size_t count, void *out)
{
  static_cast<std::string *> (out)->append (data, size * count);
  return size * count;
}

inline size_t
collect_header (char *data, size_t size, size_t count, void *out)
{
  std::string line (data, size * count);
  size_t colon = line.find (':');
  if (colon != std::string::npos)
    {
      std::string name = line.substr (0, colon);
      for (char &c : name)
        c = static_cast<char> (tolower (c));
      size_t end = line.find_last_not_of ("\r\n");
      size_t start = line.find_first_not_of (' ', colon + 1);
      (*static_cast<std::map<std::string, std::string> *> (out))[name]
          = start > end ? "" : line.substr (start, end - start + 1);
    }
  return size * count;
}

// Blocking request; runs on a thread of its own.
inline Reply
fetch (const std::string &method, const std::string &url,
       const std::vector<std::string> &headers, const std::string &body)
{
  Reply reply;
  CURL *easy = curl_easy_init ();
  curl_slist *lines = curl_slist_append (nullptr, "Expect:");
  for (const std::string &h : headers)
    lines = curl_slist_append (lines, h.c_str ());
  curl_easy_setopt (easy, CURLOPT_URL, url.c_str ());
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method.c_str ());
  if (method == "HEAD")
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  if (!body.empty () || method == "POST" || method == "PUT")
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        static_cast<curl_off_t> (body.size ()));
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body.c_str ());
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lines);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 20000L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &reply.body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, collect_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &reply.headers);
  reply.code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &reply.status);
  curl_slist_free_all (lines);
  curl_easy_cleanup (easy);
  return reply;
}

// One VM on a loop of its own, with stand-in upstreams by name.
class Vm
{
public:
  static constexpr const char *kOperatorKey = "operator-key-0123456789";
  static constexpr const char *kHashSecret = "hash-secret-0123456789";

  Vm ()
  {
    static const int sodium = sodium_init ();
    (void)sodium;
    loop = ev_loop_new (EVFLAG_AUTO);
    lt_manual_clock_init (&clock, 1000000000000);
    lt_settings_init (&settings);
    settings.listen = STR_LIT ("127.0.0.1:0");
    settings.admin_listen = STR_LIT ("127.0.0.1:0");
    settings.operator_key = str_from (kOperatorKey);
    settings.key_hash_secret = str_from (kHashSecret);
    settings.log_level = LT_LOG_ERROR;
    settings.seed = 7;
    lt_log_set_level (LT_LOG_ERROR);
    if (lt_daemon_create (loop, &clock.base, &settings, &daemon) != 0)
      abort ();
    node = lt_daemon_node (daemon);
  }

  ~Vm ()
  {
    lt_daemon_destroy (daemon);
    for (auto &u : upstreams)
      lt_standin_upstream_destroy (u.second);
    ev_loop_destroy (loop);
  }

  Vm (const Vm &) = delete;
  Vm &operator= (const Vm &) = delete;

  lt_standin_upstream_t *
  add_upstream (const std::string &name)
  {
    lt_standin_upstream_options_t options = {};
    options.loop = loop;
    options.listen = STR_LIT ("127.0.0.1:0");
    options.name = view (name);
    options.seed = 11;
    lt_standin_upstream_t *u = nullptr;
    if (lt_standin_upstream_create (&options, &u) != 0)
      abort ();
    upstreams[name] = u;
    return u;
  }

  // Replaces "{NAME}" by the address of the upstream NAME.
  std::string
  with_addresses (std::string text) const
  {
    for (const auto &u : upstreams)
      {
        std::string mark = "{" + u.first + "}";
        std::string address
            = "127.0.0.1:"
              + std::to_string (lt_standin_upstream_port (u.second));
        for (size_t at; (at = text.find (mark)) != std::string::npos;)
          text.replace (at, mark.size (), address);
      }
    return text;
  }

  // Installs a sheet as the given version; returns the findings as text.
  std::string
  propose (const std::string &sheet, int64_t version)
  {
    lt_sheet_options_t options = LT_SHEET_OPTIONS_DEFAULT;
    options.source = STR_LIT ("sheet");
    options.hash_secret = settings.key_hash_secret;
    lt_findings_t findings = {};
    lt_snapshot_t *snapshot = nullptr;
    std::string text = with_addresses (sheet);
    int error = lt_sheet_parse (view (text), &options, &findings, &snapshot);
    lt_buf_t out = {};
    lt_findings_print (&findings, &out);
    std::string result (out.data == nullptr ? "" : out.data, out.len);
    lt_buf_destroy (&out);
    lt_findings_destroy (&findings);
    if (error != 0)
      return result.empty () ? "refused" : result;
    bool accepted = false;
    if (lt_config_controller_apply (
            node->config_controller, snapshot, version - 1,
            STR_LIT ("session"),
            [] (void *user, const lt_apply_result_t *applied) {
              *static_cast<bool *> (user)
                  = applied->outcome == LT_APPLY_ACCEPTED;
            },
            &accepted)
        != 0)
      return "busy";
    turn (20);
    if (!accepted)
      return "stale";
    return result;
  }

  // The same, and waits until keyed requests are served with it.
  std::string
  install (const std::string &sheet, int64_t version)
  {
    std::string result = propose (sheet, version);
    if (node->config != nullptr && node->config->snapshot->version == version)
      await_confirmation ();
    return result;
  }

  // Lets the VM read the head record after the clock has moved.
  void
  await_confirmation ()
  {
    while (!lt_freshness_allows_keyed (node->freshness, clock.now_us))
      ev_run (loop, EVRUN_ONCE);
  }

  // Lets the loop run for a few turns without blocking.
  void
  turn (int turns)
  {
    for (int i = 0; i < turns; i++)
      ev_run (loop, EVRUN_NOWAIT);
  }

  // Runs the loop while WORK runs on a thread of its own.
  template <typename Work>
  void
  run_while (Work work)
  {
    std::atomic<bool> done{ false };
    ev_async wake;
    ev_async_init (&wake, [] (struct ev_loop *, ev_async *, int) {});
    ev_async_start (loop, &wake);
    std::thread thread ([&] {
      work ();
      done = true;
      ev_async_send (loop, &wake);
    });
    while (!done)
      ev_run (loop, EVRUN_ONCE);
    thread.join ();
    ev_async_stop (loop, &wake);
    turn (5);
  }

  std::string
  caller_url () const
  {
    return "http://127.0.0.1:" + std::to_string (lt_daemon_port (daemon));
  }

  std::string
  admin_url () const
  {
    return "http://127.0.0.1:"
           + std::to_string (lt_daemon_admin_port (daemon));
  }

  Reply
  request (const std::string &method, const std::string &target,
           const std::vector<std::string> &headers = {},
           const std::string &body = "")
  {
    Reply reply;
    std::string url = caller_url () + target;
    run_while ([&] { reply = fetch (method, url, headers, body); });
    return reply;
  }

  Reply
  admin (const std::string &method, const std::string &target,
         const std::string &body = "", const std::string &author = "anna")
  {
    Reply reply;
    std::string url = admin_url () + target;
    std::vector<std::string> headers
        = { std::string ("Authorization: Bearer ") + kOperatorKey,
            "X-Author: " + author };
    run_while ([&] { reply = fetch (method, url, headers, body); });
    return reply;
  }

  // Sends raw bytes and returns everything until the connection closes; with
  // HANG_UP closes it at once instead.
  std::string
  raw (const std::string &bytes, bool hang_up = false)
  {
    std::string received;
    uint16_t port = lt_daemon_port (daemon);
    run_while ([&] {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      sockaddr_in to = {};
      to.sin_family = AF_INET;
      to.sin_port = htons (port);
      to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      timeval patience = { 5, 0 };
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof (patience));
      if (connect (fd, reinterpret_cast<sockaddr *> (&to), sizeof (to)) == 0)
        {
          (void)!write (fd, bytes.data (), bytes.size ());
          char buffer[4096];
          ssize_t got;
          while (!hang_up && (got = read (fd, buffer, sizeof (buffer))) > 0)
            received.append (buffer, static_cast<size_t> (got));
        }
      close (fd);
    });
    return received;
  }

  struct ev_loop *loop;
  lt_manual_clock_t clock;
  lt_settings_t settings;
  lt_daemon_t *daemon = nullptr;
  lt_node_t *node = nullptr;
  std::map<std::string, lt_standin_upstream_t *> upstreams;
};

inline std::string
read_file (const std::string &path)
{
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

#endif
