// HTTP interface for callers: malformed requests, what is forwarded to
// upstreams, and damaged or late responses of upstreams.
#include <gtest/gtest.h>

#include "session.h"

class CallerHttp : public testing::Test
{
protected:
  void
  SetUp () override
  {
    for (const char *name : { "q1", "q2", "o1" })
      vm.add_upstream (name);
    std::string sheet
        = read_file (std::string (LT_TEST_DIR) + "/golden/basic.csv");
    ASSERT_EQ ("", vm.install (sheet, 1));
  }

  void
  configure_upstream (const char *name, const char *json)
  {
    ASSERT_EQ (0, lt_standin_upstream_configure (vm.upstreams.at (name),
                                                 str_from (json)));
  }

  std::string
  upstream_log (const char *name)
  {
    lt_buf_t out = {};
    lt_standin_upstream_log (vm.upstreams.at (name), &out);
    std::string text (out.data, out.len);
    lt_buf_destroy (&out);
    return text;
  }

  Vm vm;
  const std::string key = "Authorization: Bearer demo-key-1";
};

// Guards against malformed requests that crash the process, are forwarded, or
// get no clear error.
TEST_F (CallerHttp, RejectsMalformedRequestsAndKeepsServing)
{
  const std::string auth = "Host: x\r\nConnection: close\r\n" + key + "\r\n";
  struct
  {
    const char *name;
    std::string bytes;
    std::vector<const char *> statuses; // "": closed without a response.
  } cases[] = {
    { "oversized header",
      "GET /quotes HTTP/1.1\r\n" + auth
          + "X-Long: " + std::string (64 * 1024, 'a') + "\r\n\r\n",
      { "431", "413" } },
    { "oversized target",
      "GET /quotes/" + std::string (64 * 1024, 'a') + " HTTP/1.1\r\n" + auth
          + "\r\n",
      { "414", "431" } },
    { "conflicting lengths",
      "POST /quotes HTTP/1.1\r\n" + auth
          + "Content-Length: 5\r\nContent-Length: 7\r\n\r\nhello",
      { "400" } },
    { "length and chunked",
      "POST /quotes HTTP/1.1\r\n" + auth
          + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      { "400" } },
    { "negative length",
      "POST /quotes HTTP/1.1\r\n" + auth + "Content-Length: -1\r\n\r\n",
      { "400" } },
    { "broken chunk",
      "POST /quotes HTTP/1.1\r\n" + auth
          + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
      { "400", "" } },
    { "no host", "GET /quotes HTTP/1.1\r\n" + key + "\r\n\r\n", { "400" } },
    { "unknown method",
      "BREW /quotes HTTP/1.1\r\n" + auth + "\r\n",
      { "405" } },
    { "wrong version",
      "GET /quotes HTTP/3.7\r\n" + auth + "\r\n",
      { "505", "400" } },
    { "no request line", "\x01\x02\x03\r\n\r\n", { "400", "" } },
    { "truncated header",
      "GET /quotes HTTP/1.1\r\nHost: x\r\nAuthor",
      { "" } },
    { "truncated body",
      "POST /quotes HTTP/1.1\r\n" + auth + "Content-Length: 50\r\n\r\nhello",
      { "" } },
    { "invalid utf-8 in path",
      "GET /quotes/\xff\xfe HTTP/1.1\r\n" + auth + "\r\n",
      { "400" } },
    { "encoded nul",
      "GET /quotes/%00 HTTP/1.1\r\n" + auth + "\r\n",
      { "400" } },
    { "empty key",
      "GET /quotes HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: "
      "Bearer \r\n\r\n",
      { "401" } },
    { "giant key",
      "GET /quotes HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: "
      "Bearer "
          + std::string (8000, 'k') + "\r\n\r\n",
      { "401" } },
    { "two keys",
      "GET /quotes HTTP/1.1\r\n" + auth + key + "\r\n\r\n",
      { "401" } },
    { "absolute target",
      "GET http://other/quotes HTTP/1.1\r\n" + auth + "\r\n",
      { "400" } },
  };
  for (const auto &c : cases)
    {
      bool hang_up = c.statuses[0][0] == '\0';
      std::string reply = vm.raw (c.bytes, hang_up);
      std::string status = reply.size () < 12 ? "" : reply.substr (9, 3);
      bool allowed = false;
      for (const char *s : c.statuses)
        allowed = allowed || status == s;
      EXPECT_TRUE (allowed) << c.name << ": " << reply.substr (0, 200);
      Reply after = vm.request ("GET", "/quotes/1", { key });
      EXPECT_EQ (200, after.status) << "after " << c.name;
    }
  std::string log = upstream_log ("q1") + upstream_log ("q2");
  EXPECT_EQ (std::string::npos, log.find ("\"POST\"")) << log;
}

// Guards against a caller's key reaching an upstream in any part of a request
// (invariant I3), and against forged proxy headers.
TEST_F (CallerHttp, KeyIsNeverForwardedToUpstreams)
{
  std::vector<std::string> places[] = {
    { key },
    { "authorization: bearer demo-key-1" },
    { key, "X-Api-Key: demo-key-1" },
    { key, "Cookie: a=b; key=demo-key-1" },
    { key, "Proxy-Authorization: Bearer demo-key-1" },
    { key, "X-demo-key-1: 1" },
    { key, "X-Request-Id: demo-key-1" },
    { key, "X-Workspace: other" },
    { key, "X_Workspace: other" },
    { key, "Connection: X-Hop", "X-Hop: 1" },
  };
  for (const auto &headers : places)
    EXPECT_EQ (200, vm.request ("GET", "/quotes/1?k=demo-key-1&x=%64emo-key-1",
                                headers)
                        .status)
        << headers.back ();
  EXPECT_EQ (200, vm.request ("GET", "/stock?k=demo-key-1", { key }).status);
  EXPECT_EQ (400,
             vm.request ("POST", "/quotes", { key }, "k=demo-key-1").status);
  std::string log = upstream_log ("q1") + upstream_log ("q2");
  for (char &c : log)
    c = static_cast<char> (tolower (c));
  EXPECT_NE (std::string::npos, log.find ("x-workspace"));
  for (const char *leak :
       { "demo-key-1", "%64emo", "authorization", "x-hop", "\"other\"" })
    EXPECT_EQ (std::string::npos, log.find (leak)) << leak << "\n" << log;
}

// Guards against a body that the upstream truncated being passed to the caller
// as complete (invariant I6).
TEST_F (CallerHttp, TruncatedResponsesAreNeverPassedAsComplete)
{
  struct
  {
    const char *behaviour;
    const char *target;
  } cases[] = {
    { R"({"truncate_share": 1, "body_bytes": 200})", "/notes" },
    { R"({"truncate_share": 1, "body_bytes": 3000000})", "/notes" },
    { R"({"cut_share": 1})", "/notes" },
    { R"({"reset_share": 1})", "/notes" },
  };
  std::string body;
  for (const auto &c : cases)
    {
      configure_upstream ("q1", c.behaviour);
      configure_upstream ("q2", c.behaviour);
      /* The same request would be quarantined after two lost upstreams.  */
      body += "x";
      Reply reply = vm.request ("POST", c.target, { key }, body);
      bool refused
          = reply.status == 502 && reply.headers["x-request-ran"] == "unknown";
      bool broken = reply.code != CURLE_OK;
      EXPECT_TRUE (refused || broken) << c.behaviour << reply.status;
      configure_upstream ("q1", R"({"truncate_share": 0, "cut_share": 0,
                        "reset_share": 0, "body_bytes": 0
    })");
      configure_upstream ("q2", R"({"truncate_share": 0, "cut_share": 0,
                        "reset_share": 0, "body_bytes": 0
})");
    }
}

// Guards against losing or reordering bytes of responses larger than any
// buffer.
TEST_F (CallerHttp, LargeResponsesArriveComplete)
{
  configure_upstream ("q1", R"({"body_bytes": 3000000})");
  configure_upstream ("q2", R"({"body_bytes": 3000000})");
  Reply direct;
  std::string url
      = "http://127.0.0.1:"
        + std::to_string (lt_standin_upstream_port (vm.upstreams["q1"]))
        + "/quotes/1";
  vm.run_while ([&] { direct = fetch ("GET", url, {}, ""); });
  Reply reply = vm.request ("GET", "/quotes/1", { key });
  EXPECT_EQ (200, reply.status);
  EXPECT_GT (reply.body.size (), 3000000u);
  ASSERT_GT (direct.body.size (), 3000000u);
  EXPECT_EQ (direct.body.substr (direct.body.size () - 2900000),
             reply.body.substr (reply.body.size () - 2900000));
}

// Guards against bodies over the route's limit reaching an upstream.
TEST_F (CallerHttp, EnforcesBodyLimitOfRoute)
{
  EXPECT_EQ (
      200,
      vm.request ("POST", "/notes", { key }, std::string (65536, 'a')).status);
  EXPECT_EQ (
      413,
      vm.request ("POST", "/notes", { key }, std::string (65537, 'a')).status);
  std::string chunked = "POST /notes HTTP/1.1\r\nHost: x\r\n" + key
                        + "\r\nConnection: close\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n11170\r\n"
                        + std::string (70000, 'a') + "\r\n0\r\n\r\n";
  EXPECT_EQ ("413", vm.raw (chunked).substr (9, 3));
  int64_t runs = lt_standin_upstream_total (vm.upstreams["q1"])
                 + lt_standin_upstream_total (vm.upstreams["q2"]);
  EXPECT_EQ (1, runs);
}

// Guards against reporting "not run" for a request that ran (invariant I7),
// and against retrying a request that may have run.
TEST_F (CallerHttp, ReportsNotRunOnlyWhenNothingWasSent)
{
  configure_upstream ("q1", R"({"reset_share": 1})");
  configure_upstream ("q2", R"({"reset_share": 1})");
  Reply reset = vm.request ("POST", "/notes", { key }, "x");
  EXPECT_EQ (502, reset.status);
  EXPECT_EQ ("unknown", reset.headers["x-request-ran"]);
  int64_t runs = lt_standin_upstream_total (vm.upstreams["q1"])
                 + lt_standin_upstream_total (vm.upstreams["q2"]);
  EXPECT_EQ (1, runs);
  lt_standin_upstream_stop (vm.upstreams["q1"]);
  lt_standin_upstream_stop (vm.upstreams["q2"]);
  Reply refused = vm.request ("POST", "/notes", { key }, "x");
  EXPECT_EQ (503, refused.status);
  EXPECT_EQ ("not-run", refused.headers["x-request-ran"]);
}

// Guards against a late response on a reused connection reaching another
// request (invariant I6).
TEST_F (CallerHttp, LateResponsesNeverReachAnotherRequest)
{
  configure_upstream ("q1", R"({"latency_ms": 300})");
  configure_upstream ("q2", R"({"latency_ms": 300})");
  for (int i = 0; i < 4; i++)
    {
      std::string id = "late-" + std::to_string (i);
      Reply late = vm.request (
          "POST", "/notes/late",
          { key, "X-Deadline-Ms: 100", "X-Request-Id: " + id }, "x");
      EXPECT_EQ (504, late.status);
      EXPECT_EQ (std::string::npos, late.body.find ("\"upstream\""));
    }
  configure_upstream ("q1", R"({"latency_ms": 0})");
  configure_upstream ("q2", R"({"latency_ms": 0})");
  for (int i = 0; i < 8; i++)
    {
      std::string id = "next-" + std::to_string (i);
      Reply next = vm.request ("POST", "/notes/next",
                               { key, "X-Request-Id: " + id }, "x");
      EXPECT_EQ (200, next.status);
      EXPECT_NE (std::string::npos, next.body.find (id)) << next.body;
    }
}
