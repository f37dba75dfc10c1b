// Bytes of upstreams that belong to no request: spare copies of a response,
// and bytes without end in a head or a body.
#include <gtest/gtest.h>

#include <sys/ioctl.h>

#include "raw_upstream.h"
#include "session.h"

namespace
{

const char *const kKey = "Authorization: Bearer demo-key-1";

// Most bytes that the proxy may read of a response that is not one; what the
// sockets of both sides hold comes on top.
const int64_t kReadMax = 512 * 1024;
const int64_t kSocketBuffers = 8 * 1024 * 1024;

std::string
ok_response (const std::string &body, const std::string &headers = "")
{
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

std::string
target_of (const std::string &head)
{
  size_t begin = head.find (' ') + 1;
  return head.substr (begin, head.find (' ', begin) - begin);
}

void
install_with (Vm &vm, const RawUpstream &upstream)
{
  std::string sheet
      = read_file (std::string (LT_TEST_DIR) + "/golden/basic.csv");
  for (const char *mark : { "{q1}", "{q2}" })
    sheet.replace (sheet.find (mark), 4, upstream.address ());
  // Both rows would name one address, so the second goes.
  size_t row = sheet.find ("upstream,q2");
  sheet.erase (row, sheet.find ('\n', row) - row + 1);
  size_t rows = sheet.find (",15,");
  sheet.replace (rows, 4, ",14,");
  vm.add_upstream ("o1");
  ASSERT_EQ ("", vm.install (sheet, 1));
}

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

struct SpareCase
{
  const char *name;
  const char *method;
  // Writes the response to the request for TARGET, and its spare copy.
  void (*respond) (RawUpstream &u, int fd, const std::string &target);
};

const SpareCase kSpares[] = {
  { "at once", "GET",
    [] (RawUpstream &u, int fd, const std::string &target) {
      u.send_text (fd, ok_response (target) + ok_response (target));
    } },
  { "20 ms later", "GET",
    [] (RawUpstream &u, int fd, const std::string &target) {
      u.send_text (fd, ok_response (target));
      sleep_ms (20);
      u.send_text (fd, ok_response (target));
    } },
  { "in two parts", "GET",
    [] (RawUpstream &u, int fd, const std::string &target) {
      std::string spare = ok_response (target);
      u.send_text (fd, spare);
      sleep_ms (5);
      u.send_text (fd, spare.substr (0, 20));
      sleep_ms (15);
      u.send_text (fd, spare.substr (20));
    } },
  { "after a 204", "GET",
    [] (RawUpstream &u, int fd, const std::string &target) {
      u.send_text (fd, "HTTP/1.1 204 No Content\r\n\r\n");
      sleep_ms (10);
      u.send_text (fd, ok_response (target));
    } },
  { "after a 304", "GET",
    [] (RawUpstream &u, int fd, const std::string &target) {
      u.send_text (fd, "HTTP/1.1 304 Not Modified\r\n\r\n");
      sleep_ms (10);
      u.send_text (fd, ok_response (target));
    } },
  { "after informational responses", "GET",
    [] (RawUpstream &u, int fd, const std::string &target) {
      u.send_text (fd,
                   "HTTP/1.1 103 Early Hints\r\n\r\n" + ok_response (target));
      sleep_ms (10);
      u.send_text (fd,
                   "HTTP/1.1 103 Early Hints\r\n\r\n" + ok_response (target));
    } },
};

} // namespace

// An upstream sends a spare copy of its response, late, on a connection that
// the proxy has taken into use again: the next caller must not get it.
TEST (StrayBytes, SpareCopiesReachNoOtherCaller)
{
  for (const SpareCase &c : kSpares)
    {
      RawUpstream upstream (
          [&] (RawUpstream &u, int fd, const std::string &head) {
            c.respond (u, fd, target_of (head));
            return true;
          });
      Vm vm;
      install_with (vm, upstream);
      for (int i = 1; i <= 6; i++)
        {
          std::string target = "/quotes/" + std::to_string (i);
          Reply reply = vm.request (c.method, target, { kKey });
          if (reply.status == 200)
            EXPECT_EQ (target, reply.body) << c.name;
          else
            EXPECT_TRUE (reply.status == 204 || reply.status == 304)
                << c.name << " " << reply.status;
        }
    }
}

// The response of a request that timed out arrives when the connection could
// serve the next one.
TEST (StrayBytes, ResponsesAfterTimeoutsReachNoOtherCaller)
{
  std::atomic<int> seen{ 0 };
  RawUpstream upstream ([&] (RawUpstream &u, int fd, const std::string &head) {
    if (++seen % 2 == 1)
      sleep_ms (150);
    u.send_text (fd, ok_response (target_of (head)));
    return true;
  });
  Vm vm;
  install_with (vm, upstream);
  for (int i = 1; i <= 8; i++)
    {
      std::string target = "/quotes/" + std::to_string (i);
      Reply reply = vm.request ("GET", target, { kKey, "X-Deadline-Ms: 100" });
      if (reply.status == 200)
        {
          EXPECT_EQ (target, reply.body);
        }
    }
}

struct EndlessCase
{
  const char *name;
  std::string begin;
  std::string repeated;
};

// An upstream sends bytes that are no response without end.  The proxy must
// stop reading after a bounded number and must not pass them on as a whole
// response.
TEST (StrayBytes, EndlessBytesAreCutOff)
{
  const std::string kilobyte (1000, 'a');
  const std::string chunked
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const EndlessCase cases[] = {
    { "garbage", "", kilobyte },
    { "one header line", "HTTP/1.1 200 OK\r\nX-Long: ", kilobyte },
    { "header lines", "HTTP/1.1 200 OK\r\n", "X-Line: " + kilobyte + "\r\n" },
    { "informational responses", "",
      "HTTP/1.1 103 Early Hints\r\nX-Line: " + kilobyte + "\r\n\r\n" },
    { "chunk extension", chunked + "5;x=", kilobyte },
    { "extension of many chunks", chunked, "1;x=" + kilobyte + "\r\na\r\n" },
    { "leading zeros of a chunk size", chunked, std::string (1000, '0') },
    { "trailer lines", chunked + "0\r\n", "X-Line: " + kilobyte + "\r\n" },
  };
  for (const EndlessCase &c : cases)
    for (const char *method : { "GET", "POST" })
      {
        RawUpstream upstream (
            [&] (RawUpstream &u, int fd, const std::string &) {
              u.send_text (fd, c.begin);
              u.send_endlessly (fd, c.repeated);
              return false;
            });
        Vm vm;
        install_with (vm, upstream);
        Reply reply = vm.request (method, "/quotes/1",
                                  { kKey, "X-Deadline-Ms: 1500" });
        EXPECT_TRUE (reply.status != 200 || reply.code != CURLE_OK)
            << c.name << " " << method;
        int requests = upstream.requests;
        EXPECT_LT (upstream.bytes_sent, requests * (kReadMax + kSocketBuffers))
            << c.name << " " << method;
      }
}

// A body of proper form without end is held back while the caller does not
// read, and is never complete for the caller.
TEST (StrayBytes, EndlessBodiesNeverComplete)
{
  const std::string kilobyte (1000, 'a');
  const EndlessCase cases[] = {
    { "no length", "HTTP/1.1 200 OK\r\n\r\n", kilobyte },
    { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "3e8\r\n" + kilobyte + "\r\n" },
  };
  for (const EndlessCase &c : cases)
    {
      RawUpstream upstream ([&] (RawUpstream &u, int fd, const std::string &) {
        u.send_text (fd, c.begin);
        u.send_endlessly (fd, c.repeated);
        return false;
      });
      Vm vm;
      install_with (vm, upstream);
      Reply reply
          = vm.request ("GET", "/quotes/1", { kKey, "X-Deadline-Ms: 500" });
      EXPECT_TRUE (reply.status != 200 || reply.code != CURLE_OK) << c.name;
    }
}

// Returns the largest number of unread bytes on a socket of this process.
int
most_unread_bytes ()
{
  int most = 0;
  for (int fd = 3; fd < 1024; fd++)
    {
      int unread = 0;
      if (ioctl (fd, FIONREAD, &unread) == 0 && unread > most)
        most = unread;
    }
  return most;
}

struct HeldBody
{
  int64_t kept = -1; // Sent by the upstream and not read by the caller.
  int unread = -1;   // In the fullest socket.
  Reply other;       // To another caller meanwhile.
};

// A caller reads a part of a body without end, and then nothing.
HeldBody
hold_endless_body ()
{
  const int64_t kReadBytes = 200 << 20;
  const std::string block (100000, 'a');
  RawUpstream upstream ([&] (RawUpstream &u, int fd, const std::string &head) {
    bool endless = target_of (head) == "/quotes/endless";
    u.send_text (fd,
                 endless ? "HTTP/1.1 200 OK\r\n\r\n" : ok_response ("whole"));
    if (endless)
      u.send_endlessly (fd, block);
    return false;
  });
  Vm vm;
  install_with (vm, upstream);
  uint16_t port = lt_daemon_port (vm.daemon);
  HeldBody held;
  vm.run_while ([&] {
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons (port);
    to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    int received = 128 * 1024;
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &received, sizeof (received));
    ASSERT_EQ (0,
               connect (fd, reinterpret_cast<sockaddr *> (&to), sizeof (to)));
    std::string text
        = std::string ("GET /quotes/endless HTTP/1.1\r\nHost: x\r\n") + kKey
          + "\r\n\r\n";
    (void)!write (fd, text.data (), text.size ());
    std::string buffer (1 << 20, '\0');
    int64_t left = kReadBytes;
    ssize_t got = 1;
    while (left > 0 && (got = read (fd, &buffer[0], buffer.size ())) > 0)
      left -= got;
    EXPECT_GT (got, 0);
    sleep_ms (300);
    held.unread = most_unread_bytes ();
    held.kept = upstream.bytes_sent - (kReadBytes - left);
    held.other = fetch (
        "GET", "http://127.0.0.1:" + std::to_string (port) + "/quotes/1",
        { kKey }, "");
    close (fd);
  });
  printf ("kept %lld unread %d\n", (long long)held.kept, held.unread);
  return held;
}

// The VM must keep a bounded part of a body whose caller stops reading, and
// serve other callers.
TEST (StrayBytes, EndlessBodiesAreHeldBackWithTheirCaller)
{
  HeldBody held = hold_endless_body ();
  EXPECT_GE (held.kept, 0);
  EXPECT_LE (held.kept, kReadMax + 2 * kSocketBuffers);
  EXPECT_EQ (200, held.other.status);
  EXPECT_EQ ("whole", held.other.body);
}

// What has arrived and is not read counts as the VM's memory, too.
TEST (StrayBytes, EndlessBodiesFillNoSocket)
{
  HeldBody held = hold_endless_body ();
  EXPECT_GE (held.unread, 0);
  EXPECT_LE (held.unread, 1024 * 1024);
}
