// Callers that send further requests before the first is answered, and what
// becomes of the requests behind a response that closes the connection.
#include <gtest/gtest.h>

#include <chrono>

#include "session.h"

namespace
{

const char *const kKey = "Authorization: Bearer demo-key-1\r\n";

class Pipelining : public testing::Test
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
  configure (const char *json)
  {
    for (const char *name : { "q1", "q2" })
      ASSERT_EQ (0, lt_standin_upstream_configure (vm.upstreams.at (name),
                                                   str_from (json)));
  }

  int64_t
  runs ()
  {
    return lt_standin_upstream_total (vm.upstreams["q1"])
           + lt_standin_upstream_total (vm.upstreams["q2"]);
  }

  Vm vm;
};

std::string
get (const std::string &target, const std::string &headers = "")
{
  return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + kKey + headers
         + "\r\n";
}

size_t
content_length (std::string head)
{
  for (char &c : head)
    c = static_cast<char> (tolower (c));
  size_t at = head.find ("content-length: ");
  return at == std::string::npos
             ? 0
             : static_cast<size_t> (atol (head.c_str () + at + 16));
}

// Splits TEXT into responses with a length; "" marks bytes that are none.
std::vector<std::string>
split_responses (std::string text)
{
  std::vector<std::string> responses;
  while (!text.empty ())
    {
      size_t end = text.find ("\r\n\r\n");
      if (text.compare (0, 9, "HTTP/1.1 ") != 0 || end == std::string::npos)
        {
          responses.push_back ("");
          return responses;
        }
      size_t length = content_length (text.substr (0, end + 4));
      responses.push_back (text.substr (0, end + 4 + length));
      text.erase (0, end + 4 + length);
    }
  return responses;
}

// Returns a connection to PORT whose reads wait for at most 5 s, or -1.
int
connect_to_vm (uint16_t port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in to = {};
  to.sin_family = AF_INET;
  to.sin_port = htons (port);
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  timeval limit = { 5, 0 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof (limit));
  if (connect (fd, reinterpret_cast<sockaddr *> (&to), sizeof (to)) == 0)
    return fd;
  close (fd);
  return -1;
}

std::string
read_to_end (int fd)
{
  std::string received;
  char buffer[4096];
  ssize_t got;
  while ((got = read (fd, buffer, sizeof (buffer))) > 0)
    received.append (buffer, static_cast<size_t> (got));
  return received;
}

// Reads one response with a length; it is cut off if the connection ends.
std::string
read_response (int fd)
{
  std::string received;
  char buffer[4096];
  for (;;)
    {
      size_t end = received.find ("\r\n\r\n");
      if (end != std::string::npos
          && received.size ()
                 >= end + 4 + content_length (received.substr (0, end + 4)))
        return received;
      ssize_t got = read (fd, buffer, sizeof (buffer));
      if (got <= 0)
        return received;
      received.append (buffer, static_cast<size_t> (got));
    }
}

int
status_of (const std::string &response)
{
  return response.size () < 12 ? 0 : atoi (response.c_str () + 9);
}

} // namespace

// Responses arrive in the order of the requests, each whole.
TEST_F (Pipelining, ResponsesKeepTheOrder)
{
  configure (R"({"latency_ms": 20})");
  std::string bytes;
  for (int i = 1; i <= 4; i++)
    bytes += get ("/quotes/" + std::to_string (i));
  bytes += get ("/quotes/5", "Connection: close\r\n");
  std::vector<std::string> responses = split_responses (vm.raw (bytes));
  ASSERT_EQ (5u, responses.size ());
  for (size_t i = 0; i < responses.size (); i++)
    {
      EXPECT_EQ (200, status_of (responses[i]));
      EXPECT_NE (std::string::npos,
                 responses[i].find ("/quotes/" + std::to_string (i + 1)))
          << responses[i];
    }
}

// A request that is malformed gets one whole response, also between others,
// and what follows it is not run.
TEST_F (Pipelining, MalformedRequestsGetOneResponse)
{
  const std::string no_host
      = std::string ("GET /quotes/x HTTP/1.1\r\n") + kKey + "\r\n";
  struct
  {
    const char *name;
    std::string bytes;
    std::vector<int> statuses;
  } cases[] = {
    { "first", no_host, { 400 } },
    { "first of two", no_host + get ("/quotes/1"), { 400 } },
    { "second", get ("/quotes/1") + no_host, { 200, 400 } },
    { "between",
      get ("/quotes/1") + no_host + get ("/quotes/2"),
      { 200, 400 } },
    { "post",
      std::string ("POST /quotes/x HTTP/1.1\r\n") + kKey
          + "Content-Length: 4\r\n\r\nbody",
      { 400 } },
    { "two hosts",
      std::string ("GET /quotes/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n") + kKey
          + "Connection: close\r\n\r\n",
      { 400 } },
  };
  for (const auto &c : cases)
    {
      std::string reply = vm.raw (c.bytes);
      std::vector<std::string> responses = split_responses (reply);
      std::vector<int> statuses;
      for (const std::string &r : responses)
        statuses.push_back (status_of (r));
      EXPECT_EQ (c.statuses, statuses) << c.name << "\n" << reply;
    }
}

// Requests behind a response that closes the connection count as not read:
// they must not run, and the response before them must arrive whole although
// bytes were left unread.
TEST_F (Pipelining, RequestsBehindAClosingResponseDoNotRun)
{
  configure (R"({"body_bytes": 200000})");
  int64_t before = runs ();
  std::string bytes = get ("/quotes/1", "Connection: close\r\n");
  for (int i = 2; i <= 200; i++)
    bytes += get ("/quotes/" + std::to_string (i));
  std::vector<std::string> responses = split_responses (vm.raw (bytes));
  ASSERT_EQ (1u, responses.size ());
  EXPECT_EQ (200, status_of (responses[0]));
  EXPECT_GT (responses[0].size (), 200000u);
  EXPECT_EQ (before + 1, runs ());
}

// A caller that leaves while further requests wait behind the first: the
// running one is cancelled, the others do not run.
TEST_F (Pipelining, DisconnectWithRequestsWaitingIsNoticed)
{
  configure (R"({"latency_ms": 1500})");
  std::string bytes = get ("/quotes/1") + get ("/quotes/2") + get ("/quotes/3")
                      + std::string (20000, ' ');
  uint16_t port = lt_daemon_port (vm.daemon);
  int64_t in_flight_before = vm.node->in_flight;
  vm.run_while ([&] {
    int fd = connect_to_vm (port);
    ASSERT_GE (fd, 0);
    (void)!write (fd, bytes.data (), bytes.size ());
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    (void)!write (fd, bytes.data (), bytes.size ());
    std::this_thread::sleep_for (std::chrono::milliseconds (200));
    close (fd);
    std::this_thread::sleep_for (std::chrono::milliseconds (500));
  });
  EXPECT_EQ (in_flight_before, vm.node->in_flight);
  vm.run_while (
      [] { std::this_thread::sleep_for (std::chrono::milliseconds (1500)); });
  EXPECT_LE (runs (), 1);
}

// The deadline of a request that waits behind another counts from its
// arrival.
TEST_F (Pipelining, DeadlineCountsFromArrival)
{
  vm.clock.now_us += 1;
  configure (R"({"latency_ms": 400})");
  std::string first = get ("/quotes/1");
  std::string second
      = get ("/quotes/2", "X-Deadline-Ms: 300\r\nConnection: close\r\n");
  std::vector<std::string> responses;
  uint16_t port = lt_daemon_port (vm.daemon);
  vm.run_while ([&] {
    int fd = connect_to_vm (port);
    ASSERT_GE (fd, 0);
    (void)!write (fd, first.data (), first.size ());
    std::this_thread::sleep_for (std::chrono::milliseconds (100));
    (void)!write (fd, second.data (), second.size ());
    std::this_thread::sleep_for (std::chrono::milliseconds (100));
    vm.clock.now_us += 500 * 1000;
    responses = split_responses (read_to_end (fd));
    close (fd);
  });
  ASSERT_EQ (2u, responses.size ());
  EXPECT_EQ (200, status_of (responses[0]));
  EXPECT_EQ (504, status_of (responses[1])) << responses[1];
  EXPECT_EQ (1, runs ());
}

// A caller that sends its next request right behind a response gets the whole
// deadline for it: a request read within the turn of the loop that completed
// the one before was taken for a pipelined one, and its deadline began with
// that one.
TEST_F (Pipelining, PromptFollowUpKeepsItsOwnDeadline)
{
  constexpr int kCallers = 6;
  constexpr int kRounds = 60;
  configure (R"({"latency_ms": 10})");
  // Open routes need no confirmed configuration, which ages with the clock.
  std::string bytes = get ("/stock/1", "X-Deadline-Ms: 800\r\n");
  uint16_t port = lt_daemon_port (vm.daemon);
  std::atomic<int> sent{ 0 };
  std::atomic<int> not_served{ 0 };
  auto call = [&] {
    int fd = connect_to_vm (port);
    for (int round = 0; round < kRounds; round++)
      {
        (void)!write (fd, bytes.data (), bytes.size ());
        sent++;
        not_served += status_of (read_response (fd)) != 200;
      }
    close (fd);
  };
  vm.run_while ([&] {
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; i++)
      callers.emplace_back (call);
    // The clock moves once while each request is served, by less than its
    // deadline.
    for (int round = 1; round <= kRounds; round++)
      {
        while (sent < round * kCallers)
          std::this_thread::sleep_for (std::chrono::microseconds (100));
        std::this_thread::sleep_for (std::chrono::milliseconds (3));
        vm.clock.now_us += 500 * 1000;
      }
    for (std::thread &caller : callers)
      caller.join ();
  });
  EXPECT_EQ (0, not_served);
}

// A caller that takes long to send the head of its request gets the whole
// deadline: it began with the request line, so that the request was broken off
// early.
TEST_F (Pipelining, DeadlineCountsFromTheEndOfTheHead)
{
  vm.clock.now_us += 1;
  configure (R"({"latency_ms": 100})");
  // Open routes need no confirmed configuration, which ages with the clock.
  const std::string bytes = get ("/stock/1", "X-Deadline-Ms: 700\r\n");
  const std::string before = get ("/stock/2");
  uint16_t port = lt_daemon_port (vm.daemon);
  for (size_t part : { bytes.find ('\n') + 1, bytes.size () - 2 })
    for (bool follows : { false, true })
      {
        int status = 0;
        vm.run_while ([&] {
          int fd = connect_to_vm (port);
          ASSERT_GE (fd, 0);
          std::string first = (follows ? before : "") + bytes.substr (0, part);
          (void)!write (fd, first.data (), first.size ());
          if (follows)
            {
              EXPECT_EQ (200, status_of (read_response (fd)));
            }
          std::this_thread::sleep_for (std::chrono::milliseconds (50));
          vm.clock.now_us += 800 * 1000;
          (void)!write (fd, bytes.data () + part, bytes.size () - part);
          status = status_of (read_response (fd));
          close (fd);
        });
        EXPECT_EQ (200, status)
            << part << " bytes ahead, behind another: " << follows;
      }
}

// The deadline of a request that arrives with the rest of an upload counts
// from then, also when the upload's head had been sent ahead of it.
TEST_F (Pipelining, DeadlineBehindALateBodyCountsFromArrival)
{
  vm.clock.now_us += 1;
  configure (R"({"latency_ms": 100})");
  std::string ahead = get ("/quotes/1")
                      + "POST /quotes/2 HTTP/1.1\r\nHost: x\r\n" + kKey
                      + "Content-Length: 4\r\n\r\n";
  std::string late
      = "body"
        + get ("/quotes/3", "X-Deadline-Ms: 950\r\nConnection: close\r\n");
  std::vector<int> statuses;
  uint16_t port = lt_daemon_port (vm.daemon);
  vm.run_while ([&] {
    int fd = connect_to_vm (port);
    ASSERT_GE (fd, 0);
    (void)!write (fd, ahead.data (), ahead.size ());
    std::this_thread::sleep_for (std::chrono::milliseconds (30));
    vm.clock.now_us += 500 * 1000;
    statuses.push_back (status_of (read_response (fd)));
    (void)!write (fd, late.data (), late.size ());
    std::this_thread::sleep_for (std::chrono::milliseconds (30));
    vm.clock.now_us += 500 * 1000;
    for (const std::string &response : split_responses (read_to_end (fd)))
      statuses.push_back (status_of (response));
    close (fd);
  });
  EXPECT_EQ ((std::vector<int>{ 200, 200, 200 }), statuses);
}

// A planned stop between two pipelined requests: the first is answered with
// "Connection: close", the rest counts as not read.
TEST_F (Pipelining, StopAnswersTheFirstAndClosesTheConnection)
{
  configure (R"({"latency_ms": 400, "body_bytes": 100000})");
  std::string bytes;
  for (int i = 1; i <= 300; i++)
    bytes += get ("/quotes/" + std::to_string (i));
  uint16_t port = lt_daemon_port (vm.daemon);
  std::string received;
  std::atomic<bool> sent{ false };
  struct Stop
  {
    ev_timer timer;
    Vm *vm;
  } stop;
  stop.vm = &vm;
  ev_timer_init (
      &stop.timer,
      [] (struct ev_loop *, ev_timer *timer, int) {
        lt_daemon_drain (static_cast<Stop *> (timer->data)->vm->daemon);
      },
      0.2, 0.0);
  stop.timer.data = &stop;
  ev_timer_start (vm.loop, &stop.timer);
  vm.run_while ([&] {
    int fd = connect_to_vm (port);
    ASSERT_GE (fd, 0);
    (void)!write (fd, bytes.data (), bytes.size ());
    received = read_to_end (fd);
    close (fd);
  });
  ev_timer_stop (vm.loop, &stop.timer);
  std::vector<std::string> responses = split_responses (received);
  ASSERT_EQ (1u, responses.size ());
  EXPECT_EQ (200, status_of (responses[0]));
  EXPECT_GT (responses[0].size (), 100000u);
  EXPECT_NE (std::string::npos, responses[0].find ("Connection: close"));
  EXPECT_EQ (1, runs ());
}
