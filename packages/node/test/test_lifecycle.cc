// Callers that disconnect, planned stops of a VM, and its readiness.
#include <gtest/gtest.h>

#include <cstring>

#include "session.h"

class Lifecycle : public testing::Test
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
  configure_upstreams (const char *json)
  {
    for (auto &u : vm.upstreams)
      ASSERT_EQ (0, lt_standin_upstream_configure (u.second, str_from (json)));
  }

  // Connects, sends a request and returns the socket.
  int
  open_request (const std::string &bytes)
  {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons (lt_daemon_port (vm.daemon));
    to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    EXPECT_EQ (0, connect (fd, reinterpret_cast<sockaddr *> (&to), sizeof to));
    EXPECT_EQ (static_cast<ssize_t> (bytes.size ()),
               write (fd, bytes.data (), bytes.size ()));
    return fd;
  }

  // Runs the loop until READY returns true, at most 5000 times.  Returns
  // whether it did.
  template <typename Ready>
  bool
  run_until (Ready ready)
  {
    for (int i = 0; i < 5000 && !ready (); i++)
      {
        ev_run (vm.loop, EVRUN_NOWAIT);
        usleep (1000);
      }
    return ready ();
  }

  int64_t
  runs ()
  {
    int64_t sum = 0;
    for (auto &u : vm.upstreams)
      sum += lt_standin_upstream_total (u.second);
    return sum;
  }

  Vm vm;
  const std::string key = "Authorization: Bearer demo-key-1";
};

// Guards against requests that continue upstream after their caller has
// disconnected.
TEST_F (Lifecycle, CallerDisconnectCancelsItsRequest)
{
  configure_upstreams (R"({"hang_share": 1})");
  int fd = open_request ("POST /notes HTTP/1.1\r\nHost: x\r\n" + key
                         + "\r\nContent-Length: 1\r\n\r\nx");
  ASSERT_TRUE (run_until ([&] { return runs () == 1; }));
  EXPECT_EQ (1, vm.node->in_flight);
  close (fd);
  EXPECT_TRUE (run_until ([&] { return vm.node->in_flight == 0; }));
}

// Guards against a revoked key that keeps working because its caller sends the
// body slowly (invariant I4): the key must be checked against the
// configuration that is current when the body is complete.
TEST_F (Lifecycle, KeyRevokedDuringBodyUploadIsRefused)
{
  int fd = open_request ("POST /notes HTTP/1.1\r\nHost: x\r\n" + key
                         + "\r\nContent-Length: 2\r\n\r\nx");
  ASSERT_TRUE (run_until ([&] { return vm.node->in_flight == 1; }));
  std::string sheet
      = read_file (std::string (LT_TEST_DIR) + "/golden/basic.csv");
  size_t at = sheet.find ("demo-key-1");
  sheet.replace (at, strlen ("demo-key-1"), "demo-key-2");
  ASSERT_EQ ("", vm.install (sheet, 2));
  ASSERT_EQ (1, write (fd, "y", 1));
  char answer[4096];
  ssize_t got = -1;
  ASSERT_TRUE (run_until ([&] {
    if (got <= 0)
      got = recv (fd, answer, sizeof (answer), MSG_DONTWAIT);
    return got > 0;
  }));
  EXPECT_EQ ("401",
             std::string (answer, static_cast<size_t> (got)).substr (9, 3));
  EXPECT_EQ (0, runs ());
  close (fd);
}

// Guards against losing the outcome of a never-repeat action whose caller
// disconnects after it was sent.
TEST_F (Lifecycle, NeverRepeatActionCompletesAfterCallerDisconnects)
{
  configure_upstreams (R"({"latency_ms": 50})");
  int fd = open_request ("POST /orders HTTP/1.1\r\nHost: x\r\n" + key
                         + "\r\nIdempotency-Key: gone-1\r\n"
                           "Content-Length: 1\r\n\r\nx");
  ASSERT_TRUE (run_until ([&] { return runs () == 1; }));
  close (fd);
  ev_run (vm.loop, EVRUN_NOWAIT);
  EXPECT_TRUE (run_until ([&] { return vm.node->in_flight == 0; }));
  EXPECT_EQ (
      1, lt_standin_upstream_runs (vm.upstreams["o1"], STR_LIT ("gone-1")));
}

// Guards against a planned stop that interrupts a request (invariant I10), and
// against a drain that never ends.
TEST_F (Lifecycle, DrainFinishesRequestsInFlight)
{
  configure_upstreams (R"({"latency_ms": 100})");
  std::string url = vm.caller_url () + "/quotes/1";
  Reply reply;
  vm.run_while ([&] {
    std::thread stopper ([&] { usleep (30000); });
    reply = fetch ("GET", url, { key }, "");
    stopper.join ();
  });
  EXPECT_EQ (200, reply.status);
  int fd = open_request ("GET /quotes/2 HTTP/1.1\r\nHost: x\r\n" + key
                         + "\r\n\r\n");
  ASSERT_TRUE (run_until ([&] { return vm.node->in_flight == 1; }));
  lt_daemon_drain (vm.daemon);
  EXPECT_EQ (503, vm.admin ("GET", "/readyz").status);
  lt_manual_clock_advance (&vm.clock,
                           vm.settings.drain_grace_ms * LT_US_PER_MS + 1);
  ev_run (vm.loop, 0); // Returns when the drain has ended.
  EXPECT_EQ (0, vm.node->in_flight);
  char answer[4096];
  ssize_t got = recv (fd, answer, sizeof (answer), MSG_DONTWAIT);
  ASSERT_GT (got, 12);
  std::string text (answer, static_cast<size_t> (got));
  EXPECT_EQ ("200", text.substr (9, 3));
  EXPECT_NE (std::string::npos, text.find ("Connection: close"));
  EXPECT_NE (std::string::npos, text.find ("/quotes/2"));
  close (fd);
}

// Guards against a load balancer sending keyed requests to a VM that still
// refuses them because its configuration is not confirmed: the first request
// of `make run` then got a 503.
TEST (Readiness, ReadyOnlyAfterFirstConfirmation)
{
  Vm vm;
  EXPECT_EQ (503, vm.admin ("GET", "/readyz").status);
  for (const char *name : { "q1", "q2", "o1" })
    vm.add_upstream (name);
  std::string sheet
      = read_file (std::string (LT_TEST_DIR) + "/golden/basic.csv");
  ASSERT_EQ ("", vm.propose (sheet, 1));
  while (vm.admin ("GET", "/readyz").status != 200)
    vm.turn (1);
  EXPECT_EQ (200, vm.request ("GET", "/quotes/1",
                              { "Authorization: Bearer demo-key-1" })
                      .status);
}

// Guards against two processes that listen on the same address and each get
// part of the callers.
TEST_F (Lifecycle, AddressInUseIsAnError)
{
  std::string caller
      = "127.0.0.1:" + std::to_string (lt_daemon_port (vm.daemon));
  std::string admin
      = "127.0.0.1:" + std::to_string (lt_daemon_admin_port (vm.daemon));
  lt_daemon_t *second = nullptr;
  lt_settings_t settings = vm.settings;
  settings.listen = view (caller);
  EXPECT_NE (0,
             lt_daemon_create (vm.loop, &vm.clock.base, &settings, &second));
  settings = vm.settings;
  settings.admin_listen = view (admin);
  EXPECT_NE (0,
             lt_daemon_create (vm.loop, &vm.clock.base, &settings, &second));
}
