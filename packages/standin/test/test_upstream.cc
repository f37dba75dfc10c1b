// Guards against a stand-in that does not do what a test of the fleet asks of
// it; such a test would then pass for the wrong reason.
#include <arpa/inet.h>
#include <ev.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "lt/standin/upstream.h"

namespace
{

class Upstream : public testing::Test
{
protected:
  Upstream () : loop (ev_loop_new (EVFLAG_AUTO))
  {
    lt_standin_upstream_options_t options = {};
    options.loop = loop;
    options.name = STR_LIT ("u1");
    options.seed = 1;
    EXPECT_EQ (0, lt_standin_upstream_create (&options, &upstream));
  }
  ~Upstream () override
  {
    lt_standin_upstream_destroy (upstream);
    ev_loop_destroy (loop);
  }

  // Sends one request; returns all bytes up to the end of the connection, and
  // "RESET" or "REFUSED" when there was no orderly end.
  std::string
  call (const std::string &path, const std::string &body,
        const std::string &headers = "")
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons (lt_standin_upstream_port (upstream));
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    if (connect (fd, (struct sockaddr *)&address, sizeof (address)) != 0)
      {
        close (fd);
        return "REFUSED";
      }
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers
                       + "Connection: close\r\nContent-Length: "
                       + std::to_string (body.size ()) + "\r\n\r\n" + body;
    EXPECT_EQ ((ssize_t)text.size (),
               send (fd, text.data (), text.size (), MSG_NOSIGNAL));
    std::string out;
    char buffer[4096];
    for (;;)
      {
        ssize_t n = recv (fd, buffer, sizeof (buffer), MSG_DONTWAIT);
        if (n > 0)
          out.append (buffer, n);
        else if (n == 0)
          break;
        else if (errno == EAGAIN)
          ev_run (loop, EVRUN_NOWAIT);
        else
          {
            out += "RESET";
            break;
          }
      }
    close (fd);
    return out;
  }

  void
  configure (const char *json)
  {
    std::string out = call ("/standin/behaviour", json);
    EXPECT_NE (std::string::npos, out.find (" 200 OK")) << out;
  }

  struct ev_loop *loop;
  lt_standin_upstream_t *upstream = nullptr;
};

TEST_F (Upstream, Behaviours)
{
  const struct
  {
    const char *behaviour;
    const char *expected; // Part of what the client receives.
    bool complete;
    int runs;
  } cases[] = {
    { "{\"latency_ms\":2}", " 200 OK", true, 1 },
    { "{\"latency_ms\":1,\"slow_share\":1,\"slow_factor\":3}", " 200 OK", true,
      1 },
    { "{\"slow_share\":0,\"fail_share\":1}", " 500 Internal", true, 1 },
    { "{\"fail_share\":0,\"shed_share\":1,\"retry_after_s\":7}",
      "Retry-After: 7", true, 0 },
    { "{\"shed_share\":0,\"reset_share\":1}", "RESET", false, 1 },
    { "{\"reset_share\":0,\"cut_share\":1}", " 200 OK", false, 1 },
    { "{\"cut_share\":0,\"truncate_share\":1}", "{\"upstream\"", false, 1 },
    { "{\"truncate_share\":0,\"drain\":true}", "Connection: close", true, 1 },
  };
  int i = 0;
  for (const auto &c : cases)
    {
      std::string key = "key" + std::to_string (i++);
      configure (c.behaviour);
      std::string out
          = call ("/p", "body", "Idempotency-Key: " + key + "\r\n");
      EXPECT_NE (std::string::npos, out.find (c.expected))
          << c.behaviour << out;
      bool complete = out.find ("Content-Length: 0\r\n") != std::string::npos
                      || out.find ("}") != std::string::npos;
      EXPECT_EQ (c.complete, complete) << c.behaviour << out;
      EXPECT_EQ (c.runs,
                 lt_standin_upstream_runs (upstream, str_from (key.c_str ())))
          << c.behaviour;
    }
}

TEST_F (Upstream, RefusesUnknownBehaviour)
{
  for (const char *json : { "", "[]", "{\"latency\":1}", "{\"drain\":3}" })
    EXPECT_NE (std::string::npos,
               call ("/standin/behaviour", json).find (" 400 Bad Request"))
        << json;
}

TEST_F (Upstream, CrashClosesThePortAndRestarts)
{
  configure ("{\"crash_marker\":\"boom\",\"restart_ms\":20}");
  EXPECT_NE (std::string::npos, call ("/p", "safe").find (" 200 OK"));
  EXPECT_EQ ("RESET", call ("/p", "a boom b"));
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ ("REFUSED", call ("/p", "safe"));
  std::string out = "REFUSED";
  while (out == "REFUSED")
    {
      ev_run (loop, EVRUN_ONCE);
      out = call ("/p", "safe");
    }
  EXPECT_NE (std::string::npos, out.find (" 200 OK")) << out;
  EXPECT_EQ ("RESET", call ("/p", "", "X-Any: boom\r\n"));
  EXPECT_EQ (4, lt_standin_upstream_total (upstream));
}

TEST_F (Upstream, LogHoldsHeadersAndCounts)
{
  call ("/p?a=secret", "one", "Idempotency-Key: k\r\nX-Key: secret\r\n");
  call ("/p", "two", "Idempotency-Key: k\r\n");
  std::string log = call ("/standin/log", "");
  for (const char *part :
       { "\"X-Key\":\"secret\"", "\"arguments\":{\"a\":\"secret\"}",
         "\"keys\":{\"k\":2}", "\"paths\":{\"/p\":2}", "\"body\":\"two\"" })
    EXPECT_NE (std::string::npos, log.find (part)) << part << log;
}

} // namespace
